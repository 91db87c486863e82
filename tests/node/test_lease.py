"""The lease under which a node serves requests."""

from node_fixtures import LEADER, receive_update
from proxy_fixtures import SEC


def test_requests_are_rejected_once_the_lease_has_expired(node_process):
    """Without a confirmation for `RevokeWithin`, less a margin, the node answers 503 and is not ready; it serves again
    after the next confirmation."""
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
    )  # late: its age counts from the node's heartbeat
    loop.send_request()
    assert loop.response().status == 503
    receive_update(node_process)
    loop.send_request()
    assert loop.pending() and node_process.disseminator.ready
