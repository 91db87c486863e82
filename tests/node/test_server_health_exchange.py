"""Reports and verdicts on the health of servers, exchanged between the nodes and the leader."""

import pytest
from node_fixtures import CALLER, LEADER, OTHER, NodeHarness

from rampfront.membership.server_health import UNHEALTHY


def test_verdicts_of_an_older_leader_are_dropped():
    """Verdicts are dropped if their term is older, even from the current leader's address, or if another node sent
    them."""
    node, seen = NodeHarness(), []
    node.process.request_proxy.apply_health_verdicts = seen.append
    node.process.disseminator.leadership.term = 3
    node.receive(LEADER, {"k": "dim", "e": 2, "r": [["old", UNHEALTHY]]})
    node.receive(OTHER, {"k": "dim", "e": 4, "r": [["elsewhere", UNHEALTHY]]})
    for change in ({}, {"e": None}):
        with pytest.raises((KeyError, ValueError)):
            node.receive(LEADER, {"k": "dim", "r": [["change", UNHEALTHY]]} | change)
    assert not seen
    node.receive(LEADER, {"k": "dim", "e": 3, "r": [["now", UNHEALTHY]]})
    assert seen == [[("now", UNHEALTHY)]]


def test_verdicts_carry_the_leaders_term():
    node = NodeHarness(leads=True)
    disseminator = node.process.disseminator
    disseminator.leadership.is_leader, disseminator.leadership.term = True, 4
    node.process.server_health.registry.add_reports = lambda *about: [["s1", 10]]
    node.process.server_health.on_report(CALLER, {"k": "sight", "r": []}, 0)
    assert [message["e"] for _, message in node.wire.take("dim")] == [4]
