"""A node applies updates of the core's state and of the server list, and never an older version."""

import zlib

import pytest
from node_fixtures import LEADER, receive_update
from proxy_fixtures import configuration_bytes

from rampfront.consensus.state import State, digest


def test_late_and_repeated_updates_change_nothing(node_process):
    """A late or repeated update changes no route, key, evacuation or server."""
    loop = node_process.context.loop
    receive_update(
        node_process,
        5,
        revision=3,
        servers=(7, ["s1", "s2"]),
        customers=[{"Name": "ann", "ApiKeys": ["new"]}],
        zones=["b1"],
    )
    for index in (4, 5):
        receive_update(node_process, index, revision=2, servers=(index, ["s3"]))
    loop.send_request(key="ann-key")
    assert (
        loop.response().status == 401
        and node_process.replicated_state.state.revision == 3
        and node_process.request_proxy.evacuated_zones == {"b1"}
    )
    loop.send_request(key="new")
    assert loop.pending_server() != "s3"
    receive_update(node_process, 6, revision=3, zones=["a1"])  # the same configuration, another evacuation
    loop.send_request(key="new", client="d", try_id="t2")
    assert loop.response("d").status == 503


def test_a_malformed_update_is_not_applied(node_process):
    """A state whose body does not match its digest, or an undecodable server list, is not applied."""
    loop = node_process.context.loop
    receive_update(node_process, 5, servers=(7, ["s1"]))
    body = zlib.compress(configuration_bytes(9))
    state = State(9, 1, 9, body, frozenset(), {"x": (LEADER, 1)}, None, digest(b"other")).encode()
    for fields in ({"S": state}, {"S": state[:-1]}, {"S": 5}, {"V": 5}, {"V": [99, [["s1"]]]}, {"V": None}):
        with pytest.raises((ValueError, TypeError, KeyError, IndexError, AttributeError)):
            node_process.frame_dispatcher.dispatch(LEADER, {"k": "word", "l": LEADER, "e": 1, "t": 0} | fields)
    assert node_process.replicated_state.state.revision == 1 and node_process.disseminator.endpoints_version == 7
    loop.send_request()
    assert loop.pending_server() == "s1"
