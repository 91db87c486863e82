"""The HTTP server for calls of nodes and operators, on loopback, with a simulated clock and without sleeps."""

import asyncio
import json

import pytest

from rampfront.net.connection_timeouts import Phase
from rampfront.net.http_messages import Response, json_response
from rampfront.net.http_routing import endpoint
from rampfront.net.http_server import HttpServer
from rampfront.net.limits import HttpServerLimits

SEC = 10**9
LIMITS = HttpServerLimits(max_head_bytes=2000, max_body_bytes=2500, max_connections=4, sweep_interval_ns=0)
MEMORY_BYTES = 10_000  # for two calls with bodies of 4,000 bytes, and some besides


class Handlers:
    """`pending`: requests without a response; `bodies`: the bodies of requests to replace the configuration."""

    def __init__(self):
        self.pending = []
        self.bodies = []

    @endpoint("GET", "/api/lookup")
    def lookup(self, request):
        return json_response(request.query)

    @endpoint("POST", "/api/rpc", operation="config.replace", max_body_bytes=4000)
    def replace(self, request):
        self.bodies.append(request.body)
        return Response(200, str(len(request.body)).encode(), ((b"Location", b"/x\r\nOdd: 1"),))

    @endpoint("POST", "/api/rpc", operation="small", max_body_bytes=10)
    @endpoint("GET", "/api/later")
    def later(self, request):
        self.pending.append(request)

    @endpoint("GET", "/api/task")
    async def task(self, request):
        await asyncio.sleep(0)
        return Response(204)

    @endpoint("GET", "/api/fault")
    def fault(self, request):
        raise KeyError("ours")


class Stage:
    """One server with its handlers and a simulated clock."""

    def __init__(self, loop):
        self.loop = loop
        self.now = SEC
        self.faults = []
        self.handlers = Handlers()
        self.server = HttpServer(
            loop, lambda: self.now, [self.handlers], LIMITS, lambda request, error: self.faults.append(error)
        )
        self.server.memory.capacity_bytes = MEMORY_BYTES
        self.address = self.run(self.server.listen("127.0.0.1", 0))

    def run(self, awaitable):
        return self.loop.run_until_complete(asyncio.wait_for(awaitable, 5))

    def connect(self, text=b""):
        read, write = self.run(asyncio.open_connection(*self.address))
        write.write(text)
        return read, write

    def response(self, read):
        """Returns (status, fields, body) of one response with a Content-Length."""

        async def complete():
            head = await read.readuntil(b"\r\n\r\n")
            first, *lines = head.decode().strip().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines)
            return int(first.split(" ")[1]), fields, await read.readexactly(int(fields.get("Content-Length", 0)))

        return self.run(complete())

    def until(self, condition):
        async def turn():
            while not condition():
                await asyncio.sleep(0)

        self.run(turn())

    def count(self, *phases):
        """Returns the number of connections in one of these phases."""
        return sum(connection.phase in phases for connection in self.server.connections)

    def advance(self, span_ns):
        """Advances the clock and sweeps."""
        self.now += span_ns
        self.server.sweep()


@pytest.fixture
def stage(any_loop):
    stage = Stage(any_loop)
    yield stage
    stage.server.close()


GET = b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n"
RPC = b"POST /api/rpc?call=config.replace HTTP/1.1\r\nHost: h\r\n"
READING = (Phase.READING_HEAD, Phase.READING_BODY)
REJECTED = [
    (b"HELLO\r\n\r\n", 400, "not HTTP/1.1"),
    (GET % b"/api/none", 404, "no such call"),
    (b"POST /api/lookup HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", 405, "not the method"),
    (GET % b"/api/rpc?call=config.replace", 405, "not the method"),
    (b"POST /api/rpc HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400, "call: missing"),
    (b"POST /api/rpc?call=odd HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404, "call: 'odd' is not known"),
    (GET % b"/api/lookup?Name=a&Name=b", 400, "Name: comes twice"),
    (GET % b"/api/lookup?Name=a&Name=b" + b"and more", 400, "Name: comes twice"),
    (GET % b"/api/lookup?Name=%ff", 400, "query: not UTF-8"),
    (b"GET /api/lookup HTTP/1.1\r\nLong: " + b"x" * 2100, 431, "head is too large"),  # a field without an end
    (b"GET /api/lookup HTTP/1.1\r\n" + b"A: bb\r\n" * 400, 431, "head is too large"),
    (RPC + b"Content-Length: 4001\r\n\r\n", 413, "body is too large"),
    (RPC + b"Content-Length: 99999999999999\r\n\r\n", 413, "body is too large"),
    (
        RPC + b"Transfer-Encoding: chunked\r\n\r\n" + b"7d0\r\n" + b"x" * 2000 + b"\r\n7d1\r\n" + b"x" * 2001,
        413,
        "body is too large",
    ),
    (RPC + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 1200, 413, "body is too large"),
    (RPC + b"Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc", 400, "not HTTP/1.1"),
    (RPC + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "not HTTP/1.1"),
    (b"GET /api/lookup HTTP/1.1\r\nContent-Length: 2501\r\n\r\n", 413, "body is too large"),
    (b"POST /api/rpc?call=small HTTP/1.1\r\nContent-Length: 11\r\n\r\n12345678901", 413, "body is too large"),
]


def test_rejected_requests_are_explained_and_leave_nothing_buffered(stage):
    """Each response names the error in JSON. A client that continues to send can still read it."""
    for text, status, message in REJECTED:
        read, write = stage.connect(text)
        got, fields, body = stage.response(read)
        assert (got, message in json.loads(body)["Message"]) == (status, True), (text[:80], got, body)
        assert (got == 405) == ("Allow" in fields)
        if fields.get("Connection") == "close":
            write.write(b"x" * 5000)
            assert stage.run(read.read()) == b""
        write.close()
    stage.until(lambda: not stage.server.connections)
    assert stage.server.counts["refused"] == len(REJECTED) and not stage.handlers.bodies


def test_one_connection_carries_many_requests(stage):
    read, write = stage.connect(GET % b"/api/lookup?Name=a%2Eb+c&Zone=")
    assert stage.response(read)[2] == b'{"Name":"a.b c","Zone":""}'
    write.write(RPC + b"Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n")
    assert stage.run(read.readuntil(b"\r\n\r\n")) == b"HTTP/1.1 100 Continue\r\n\r\n"
    for part in (b"3\r\nab", b"c\r\n2\r\n", b"de\r\n0\r\n", b"\r\n"):
        write.write(part)
        stage.run(asyncio.sleep(0))
    status, fields, body = stage.response(read)
    assert (status, body, fields["Location"]) == (200, b"5", "/x Odd: 1")  # a line break in a value is replaced
    assert stage.handlers.bodies == [b"abcde"]
    write.write(GET % b"http://h:1/api/task")
    assert stage.response(read)[0] == 204
    # The response to HEAD has a length and no body.
    write.write(b"HEAD /api/none HTTP/1.1\r\n\r\n" + GET % b"/api/fault")
    assert stage.run(read.readuntil(b"\r\n\r\n")).endswith(b"Content-Length: 27\r\nConnection: close\r\n\r\n")
    assert stage.run(read.read()) == b""  # a request sent before the previous response is not read
    read, write = stage.connect(GET % b"/api/fault")
    assert stage.response(read)[0] == 500 and isinstance(stage.faults[0], KeyError)
    write.write(b"GET /api/lookup HTTP/1.0\r\n\r\n")
    assert stage.response(read)[1]["Connection"] == "close" and stage.run(read.read()) == b""


def test_a_later_response_is_sent_once(stage):
    read, write = stage.connect(GET % b"/api/later")
    stage.until(lambda: stage.handlers.pending)
    request = stage.handlers.pending.pop()
    write.write(b"odd\r\n\r\n")  # invalid bytes after a request do not affect it
    assert not request.finished and stage.server.pending_requests == 1 and request.peer[0] == "127.0.0.1"
    stage.until(lambda: next(iter(stage.server.connections)).ignores_input)
    assert request.respond(202, b"{}") and not request.respond(500, b"no") and request.finished
    assert stage.response(read)[::2] == (202, b"{}")
    read, write = stage.connect(GET % b"/api/later")
    stage.until(lambda: stage.handlers.pending)
    write.close()
    stage.until(lambda: not stage.server.connections)
    request = stage.handlers.pending.pop()
    assert request.finished and not request.respond(200, b"late") and stage.server.counts["abandoned"] == 1
    assert stage.server.pending_requests == 0


def test_each_phase_of_a_connection_has_its_timeout(stage):
    """Incomplete heads and bodies are refused with 408, and idle connections are closed. A pending request waits until
    the response timeout. The connection of a peer that reads nothing of its response is aborted."""
    limits = stage.server.limits
    body, head, idle, pending = (
        stage.connect(text)
        for text in (RPC + b"Content-Length: 30\r\n\r\nhalf", b"GET /api/loo", b"", GET % b"/api/later")
    )
    stage.until(lambda: stage.handlers.pending and len(stage.server.connections) == 4 and stage.count(*READING) == 2)
    stage.advance(limits.head_timeout_ns + 1)
    assert stage.response(head[0])[0] == 408 and stage.run(head[0].read()) == b""
    stage.advance(limits.body_timeout_ns)
    assert stage.response(body[0])[0] == 408 and stage.run(body[0].read()) == b""
    stage.advance(limits.idle_timeout_ns)
    assert stage.run(idle[0].read()) == b""
    assert stage.server.pending_requests == 1
    stage.advance(limits.response_timeout_ns)
    assert stage.run(pending[0].read()) == b"" and stage.server.counts["unanswered"] == 1
    read, write = stage.connect(GET % b"/api/later")
    stage.until(lambda: len(stage.handlers.pending) == 2)
    stage.handlers.pending[1].respond(200, b"x" * (32 << 20))
    stage.until(lambda: stage.count(Phase.WRITING))
    stage.run(read.readexactly(8 << 20))
    stage.advance(limits.write_timeout_ns + 1)  # it has read a part of it, so it is slow but connected
    assert len(stage.server.connections) == 1
    stage.advance(limits.write_timeout_ns + 1)
    stage.until(lambda: not stage.server.connections)
    assert stage.server.counts["slow"] == 3


def test_newcomers_shed_idle_connections_and_no_pending_request(stage):
    """Past the limit the connection idle longest is closed, then one with an incomplete request. A connection with a
    pending response is never closed for a new one without a request."""
    pending = [stage.connect(GET % b"/api/later") for _ in range(2)]
    stage.until(lambda: len(stage.handlers.pending) == 2)
    stage.now += 1
    half = stage.connect(b"GET /api/loo")
    stage.until(lambda: stage.count(*READING))
    for _ in range(20):
        stage.now += 1
        last = stage.connect()
    stage.until(lambda: stage.server.counts["connections"] == 23)
    assert len(stage.server.connections) <= 4 + 1  # uvloop reports the end of an aborted connection one iteration later
    half[1].write(b"kup HTTP/1.1\r\n\r\n")
    assert stage.response(half[0])[0] == 200
    last[1].write(GET % b"/api/lookup")
    assert stage.response(last[0])[0] == 200
    for request, (read, _) in zip(stage.handlers.pending, pending, strict=True):
        request.respond(200, b"1")
        assert stage.response(read)[2] == b"1"


def test_calls_of_all_connections_share_an_account(stage):
    """The memory of calls applies to all connections together, a declared length at once; responses and disconnects
    free it."""
    large = [stage.connect(RPC + b"Content-Length: 4000\r\n\r\n" + b"x" * 2000) for _ in range(2)]
    stage.until(lambda: stage.server.memory.used_bytes > 8000)
    for text in (b"Content-Length: 4000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n" + b"7d1\r\n" + b"x" * 2001):
        read, write = stage.connect(RPC + text)
        assert stage.response(read)[0] == 503
        write.close()
    large[0][1].close()
    stage.until(lambda: 4000 < stage.server.memory.used_bytes < 4500)
    large[1][1].write(b"x" * 2000)
    assert stage.response(large[1][0])[2] == b"4000"
    stage.server.sweep()
    assert stage.server.memory.used_bytes == 0


def test_draining_closes_idle_connections(stage):
    idle = stage.connect()
    stage.until(lambda: stage.server.connections)
    stage.server.drain()
    assert stage.run(idle[0].read()) == b""
    read, _ = stage.connect(GET % b"/api/lookup")
    assert stage.response(read)[1]["Connection"] == "close"


def test_an_endpoint_is_declared_once():
    class Twice(Handlers):
        @endpoint("GET", "/api/lookup")
        def other(self, request):
            pass

    with pytest.raises(ValueError, match="GET /api/lookup  is declared twice"):
        HttpServer(None, None, [Twice()])
