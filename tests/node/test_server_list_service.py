"""The leader polls the platform's server list, and numbers it."""

from node_fixtures import receive_update

from rampfront.membership.leadership import CoreStatus


def test_a_list_is_renumbered_above_that_of_an_older_leader(node_process):
    """The polled list is unchanged, but another node holds a different list with a higher number of an older term,
    which it would keep."""
    disseminator = node_process.disseminator
    receive_update(node_process, 5, servers=(7, ["s1"]))
    status = CoreStatus(True, node_process.context.process_settings.ip, 2, node_process.context.clock())
    disseminator.set_leadership(status, node_process.context.clock())
    same = node_process.request_proxy.servers
    node_process.server_list.on_polled(same)
    assert disseminator.endpoints_version == 7
    node_process.frame_dispatcher.dispatch(
        "10.1.0.4",
        {
            "k": "hail",
            "n": "n4",
            "z": "a1",
            "f": "",
            "r": True,
            "i": 5,
            "s": 8,
            "o": 0,
            "t": node_process.context.clock(),
        },
    )
    node_process.server_list.on_polled(same)
    assert disseminator.endpoints_version == node_process.request_proxy.servers.version > 8
    node_process.server_list.on_polled(same)
    assert disseminator.endpoints_version == node_process.request_proxy.servers.version == (2 << 20) + 1
