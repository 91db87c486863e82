"""Graceful shutdown: every accepted request is answered, and the process ends in time."""

from http_server_fixtures import LATER, HttpCalls
from node_fixtures import LEADER, NodeHarness, receive_update
from proxy_fixtures import SEC


def test_a_node_serves_on_until_its_clients_are_answered(node_process):
    """On SIGTERM the node announces at once that it is not ready, keeps serving with `Connection: close`, and ends
    within Grace."""
    loop = node_process.context.loop
    receive_update(node_process, 5, servers=(7, ["s1"]))
    assert node_process.disseminator.ready and node_process.client_front.ready()
    loop.send_request(client="running", try_id="t0")
    loop.send_request(client="idle")
    node_process.context.wire.sent.clear()
    node_process.shutdown.begin()
    assert not node_process.client_front.ready()
    assert [m["r"] for ip, m in node_process.context.wire.sent if ip == LEADER and m["k"] == "hail"] == [False]
    began = loop.now
    loop.send_request(client="late", try_id="t2")
    for name, try_id in (("running", "t0"), ("idle", "t1"), ("late", "t2")):
        loop.respond_to(try_id)
        got = loop.response(name)
        assert got.status == 200 and got["connection"] == "close" and loop.pipes[name].closed
    node_process.shutdown.begin()  # a second call changes nothing
    loop.wait(20000)
    assert loop.stopped and loop.stopped[0] - began < 6 * SEC


def test_operators_calls_are_answered_before_the_process_ends():
    """A call that is pending when the last client has left is answered before the process ends, which in any case is
    within Grace."""
    for answers in (True, False):
        node, calls, stopped = NodeHarness(), HttpCalls(), []
        node.loop.stop = lambda stopped=stopped, node=node: stopped.append(node.loop.now)
        node.process.client_front.server = node.loop
        node.process.shutdown.listeners.add(calls.server)
        node.process.shutdown.begin()
        node.loop.wait(2900)
        idle, caller = calls.connect(), calls.connect(LATER)
        node.loop.wait(300)
        assert idle.transport.closed and not caller.transport.closed and not stopped
        if answers:
            calls.pending[0].respond(200, b"{}")
            ((_, head, _),) = calls.responses(caller)
            assert "connection: close" in head
        node.loop.wait(100)
        assert bool(stopped) == answers
        node.loop.wait(2500)
        assert stopped and stopped[0] <= 6 * SEC
