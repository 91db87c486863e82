"""Responses of the HTTP server: each request gets exactly one response, which is its own."""

from http_server_fixtures import LATER, HttpCalls

SEC = 10**9  # ns


def test_what_follows_a_pending_request_is_not_read():
    """The first request gets one response, with Connection: close; input after it reaches no handler."""
    for text in (LATER + LATER, LATER + b"odd"):
        calls = HttpCalls()
        caller = calls.connect(text)
        (request,) = calls.pending
        caller.data_received(LATER)
        assert request.respond(200, b"{}") and not request.respond(200, b"{}")
        ((status, head, _),) = calls.responses(caller)
        assert status == 200 and "connection: close" in head and caller.transport.closed and len(calls.pending) == 1


def test_each_response_goes_to_its_own_request_once():
    """Responses on a connection are in order. A second one, or one to a closed connection, is discarded."""
    calls = HttpCalls()
    one, other = calls.connect(LATER), calls.connect(LATER)
    first, others = calls.pending
    first.respond(200, b"1")
    one.data_received(LATER)
    assert not first.respond(200, b"again") and len(calls.responses(one)) == 1  # the second request is still pending
    calls.pending[2].respond(200, b"2")
    assert [body for _, _, body in calls.responses(one)] == [b"1", b"2"]
    other.connection_lost(None)
    assert not others.respond(200, b"late") and not other.transport.written and calls.server.counts["abandoned"] == 1


def test_a_full_server_rejects_the_newest_connection():
    """If all connections have a pending request, the newest one gets 503 and no pending response is lost."""
    calls = HttpCalls(max_connections=3)
    pending = [calls.connect(LATER) for _ in range(3)]
    newest = calls.connect()
    newest.data_received(LATER)
    ((status, head, body),) = calls.responses(newest)
    assert status == 503 and "retry-after: " in head and b"callers" in body and len(calls.pending) == 3
    for request, caller in zip(calls.pending, pending, strict=True):
        assert request.respond(200, b"{}") and len(calls.responses(caller)) == 1


def test_an_incomplete_request_is_answered_408():
    """An incomplete head and an incomplete body both get a response after their timeout."""
    for text in (b"GET /la", b"GET /later HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"):
        calls = HttpCalls()
        caller = calls.connect(text)
        calls.now += 11 * SEC
        calls.server.sweep()
        ((status, _, body),) = calls.responses(caller)
        assert status == 408 and b"never became whole" in body


def test_bodies_beyond_the_budget_are_told_to_come_back():
    calls = HttpCalls()
    calls.server.memory.capacity_bytes = 1
    ((status, head, _),) = calls.responses(calls.connect(b"GET /later HTTP/1.1\r\nContent-Length: 5\r\n\r\n"))
    assert status == 503 and "retry-after: " in head
