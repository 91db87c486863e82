"""The lease under which a node lets requests run."""

from node_fixtures import LEADER, receive_update
from proxy_fixtures import SEC


def test_requests_are_rejected_once_the_lease_has_expired(node_process):
    """Without a word for as long as `RevokeWithin` allows, less what is on its way by then: 503 here, not ready, and no
    key acts; with the next word it goes on."""
    loop = node_process.context.loop
    loop.send_request()
    assert loop.response().status == 503 and not node_process.disseminator.ready
    receive_update(node_process, 5, servers=(7, ["s1"]))
    assert node_process.disseminator.ready
    loop.wait(4200)
    loop.send_request()
    assert loop.pending()
    loop.respond_to("t1")
    loop.response()
    loop.wait(300)
    loop.send_request()
    assert loop.response().status == 503 and not loop.pending() and not node_process.disseminator.ready
    node_process.frame_dispatcher.dispatch(
        LEADER, {"k": "word", "l": LEADER, "e": 1, "t": node_process.context.clock() - 5 * SEC, "a": 0}
    )  # late: as old as its question
    loop.send_request()
    assert loop.response().status == 503
    receive_update(node_process)
    loop.send_request()
    assert loop.pending() and node_process.disseminator.ready
