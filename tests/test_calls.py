"""Calls of servers and operators, and calls of ours to others, on loopback: no sleeps, times by a clock that the test
sets, sweeps by hand."""

import asyncio
import json

import pytest
import uvloop

from rampfront.net.calls import SEC, Answer, CallBounds, Calls, call, said

BOUNDS = CallBounds(head=2000, body=2500, callers=4, sweep=0, held=6000)


class Handlers:
    def __init__(self):
        self.held, self.seen = [], []

    @call("GET", "/api/lookup")
    def lookup(self, asked):
        return said(asked.query)

    @call("POST", "/api/rpc", call="config.replace", body=4000)
    def replace(self, asked):
        self.seen.append(asked.body)
        return Answer(200, str(len(asked.body)).encode(), ((b"Location", b"/x\r\nOdd: 1"),))

    @call("POST", "/api/rpc", call="small", body=10)
    @call("GET", "/api/later")
    def later(self, asked):
        self.held.append(asked)

    @call("GET", "/api/task")
    async def task(self, asked):
        await asyncio.sleep(0)
        return Answer(204)

    @call("GET", "/api/fault")
    def fault(self, asked):
        raise KeyError("ours")


class Stage:
    """One listener, its handlers and a clock."""

    def __init__(self, loop, bounds=BOUNDS):
        self.loop, self.now, self.faults = loop, SEC, []
        self.handlers = Handlers()
        self.calls = Calls(loop, lambda: self.now, [self.handlers], bounds, lambda asked, odd: self.faults.append(odd))
        self.address = self.run(self.calls.listen("127.0.0.1", 0))

    def run(self, what):
        return self.loop.run_until_complete(asyncio.wait_for(what, 5))

    def dial(self, text=b""):
        read, write = self.run(asyncio.open_connection(*self.address))
        write.write(text)
        return read, write

    def answer(self, read):
        """(status, fields, body) of one answer with a length."""

        async def whole():
            head = await read.readuntil(b"\r\n\r\n")
            first, *lines = head.decode().strip().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines)
            return int(first.split(" ")[1]), fields, await read.readexactly(int(fields.get("Content-Length", 0)))

        return self.run(whole())

    def until(self, true):
        async def turn():
            while not true():
                await asyncio.sleep(0)

        self.run(turn())


@pytest.fixture(params=[uvloop.new_event_loop, asyncio.new_event_loop], ids=["uvloop", "asyncio"])
def loop(request):
    loop = request.param()
    yield loop
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@pytest.fixture
def stage(loop):
    stage = Stage(loop)
    yield stage
    stage.calls.close()


GET = b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n"
RPC = b"POST /api/rpc?call=config.replace HTTP/1.1\r\nHost: h\r\n"
BAD = [
    (b"HELLO\r\n\r\n", 400, "not HTTP/1.1"),
    (GET % b"/api/none", 404, "no such call"),
    (b"POST /api/lookup HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", 405, "not the method"),
    (GET % b"/api/rpc?call=config.replace", 405, "not the method"),
    (b"POST /api/rpc HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400, "call: missing"),
    (b"POST /api/rpc?call=odd HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404, "call: 'odd' is not known"),
    (GET % b"/api/lookup?Name=a&Name=b", 400, "Name: comes twice"),
    (GET % b"/api/lookup?Name=a&Name=b" + b"and more", 400, "Name: comes twice"),
    (GET % b"/api/lookup?Name=%ff", 400, "query: not UTF-8"),
    (b"GET /api/lookup HTTP/1.1\r\nLong: " + b"x" * 2100, 431, "head is too large"),  # no end of the field in sight
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


def test_bad_input(stage):
    """Each is named in JSON, whoever keeps sending behind it reads the answer all the same, nothing is held."""
    for text, status, message in BAD:
        read, write = stage.dial(text)
        got, fields, body = stage.answer(read)
        assert (got, message in json.loads(body)["Message"]) == (status, True), (text[:80], got, body)
        assert (got == 405) == ("Allow" in fields)
        if fields.get("Connection") == "close":
            write.write(b"x" * 5000)
            assert stage.run(read.read()) == b""
        write.close()
    stage.until(lambda: not stage.calls.callers)
    assert stage.calls.counts["refused"] == len(BAD) and not stage.handlers.seen


def test_one_connection_for_many_calls(stage):
    read, write = stage.dial(GET % b"/api/lookup?Name=a%2Eb+c&Zone=")
    assert stage.answer(read)[2] == b'{"Name":"a.b c","Zone":""}'
    write.write(RPC + b"Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n")
    assert stage.run(read.readuntil(b"\r\n\r\n")) == b"HTTP/1.1 100 Continue\r\n\r\n"
    for part in (b"3\r\nab", b"c\r\n2\r\n", b"de\r\n0\r\n", b"\r\n"):
        write.write(part)
        stage.run(asyncio.sleep(0))
    status, fields, body = stage.answer(read)
    assert (status, body, fields["Location"]) == (200, b"5", "/x Odd: 1")  # a value does not end its line
    assert stage.handlers.seen == [b"abcde"]
    write.write(GET % b"http://h:1/api/task")
    assert stage.answer(read)[0] == 204
    write.write(b"HEAD /api/none HTTP/1.1\r\n\r\n" + GET % b"/api/fault")  # HEAD: a length, and no body
    assert stage.run(read.readuntil(b"\r\n\r\n")).endswith(b"Content-Length: 27\r\nConnection: close\r\n\r\n")
    assert stage.run(read.read()) == b""  # what is sent before the answer is there is not read
    read, write = stage.dial(GET % b"/api/fault")
    assert stage.answer(read)[0] == 500 and isinstance(stage.faults[0], KeyError)
    write.write(b"GET /api/lookup HTTP/1.0\r\n\r\n")
    assert stage.answer(read)[1]["Connection"] == "close" and stage.run(read.read()) == b""


def test_an_answer_later_is_given_once(stage):
    read, write = stage.dial(GET % b"/api/later")
    stage.until(lambda: stage.handlers.held)
    asked = stage.handlers.held.pop()
    write.write(b"odd\r\n\r\n")  # bytes behind a call do it no harm
    assert not asked.gone and stage.calls.owed == 1 and asked.peer[0] == "127.0.0.1"
    stage.until(lambda: next(iter(stage.calls.callers)).deaf)
    assert asked.answer(202, b"{}") and not asked.answer(500, b"no") and asked.gone
    assert stage.answer(read)[::2] == (202, b"{}")
    read, write = stage.dial(GET % b"/api/later")
    stage.until(lambda: stage.handlers.held)
    write.close()
    stage.until(lambda: not stage.calls.callers)
    asked = stage.handlers.held.pop()
    assert asked.gone and not asked.answer(200, b"late") and stage.calls.counts["left"] == 1
    assert stage.calls.owed == 0


def test_times(stage):
    """Slow bodies and half heads are refused with 408, idle connections cut off, a caller that is owed an answer
    waits on; one that takes nothing of its answer is given up."""
    b = stage.calls.bounds
    body, head, idle, owed = (
        stage.dial(text)
        for text in (RPC + b"Content-Length: 30\r\n\r\nhalf", b"GET /api/loo", b"", GET % b"/api/later")
    )
    stage.until(
        lambda: stage.handlers.held and len(stage.calls.callers) == 4 and sum(c.begun for c in stage.calls.callers) == 2
    )

    def pass_by(span):
        stage.now += span
        stage.calls.sweep()

    pass_by(b.head_wait + 1)
    assert stage.answer(head[0])[0] == 408 and stage.run(head[0].read()) == b""
    pass_by(b.body_wait)
    assert stage.answer(body[0])[0] == 408 and stage.run(body[0].read()) == b""
    pass_by(b.idle)
    assert stage.run(idle[0].read()) == b""
    assert stage.calls.owed == 1
    pass_by(b.answer_wait)
    assert stage.run(owed[0].read()) == b"" and stage.calls.counts["unanswered"] == 1
    read, write = stage.dial(GET % b"/api/later")
    stage.until(lambda: len(stage.handlers.held) == 2)
    stage.handlers.held[1].answer(200, b"x" * (32 << 20))
    stage.until(lambda: any(c.stuck for c in stage.calls.callers))
    stage.run(read.readexactly(8 << 20))
    pass_by(b.write_wait + 1)  # it took some of it: it is slow, and not gone
    assert len(stage.calls.callers) == 1
    pass_by(b.write_wait + 1)
    stage.until(lambda: not stage.calls.callers)
    assert stage.calls.counts["slow"] == 3


def test_a_crowd(stage):
    """Past the bound the one idle longest makes room, then one half way through its call; a call that is owed its
    answer is never cut for one that has asked nothing."""
    owed = [stage.dial(GET % b"/api/later") for _ in range(2)]
    stage.until(lambda: len(stage.handlers.held) == 2)
    stage.now += 1
    half = stage.dial(b"GET /api/loo")
    stage.until(lambda: any(c.begun for c in stage.calls.callers))
    for _ in range(20):
        stage.now += 1
        last = stage.dial()
    stage.until(lambda: stage.calls.counts["callers"] == 23)
    assert len(stage.calls.callers) <= 4 + 1  # uvloop parts with one that was cut a turn later
    half[1].write(b"kup HTTP/1.1\r\n\r\n")
    assert stage.answer(half[0])[0] == 200
    last[1].write(GET % b"/api/lookup")
    assert stage.answer(last[0])[0] == 200
    for asked, (read, _) in zip(stage.handlers.held, owed):
        asked.answer(200, b"1")
        assert stage.answer(read)[2] == b"1"


def test_many_large_bodies(stage):
    """What is held of bodies is bounded over all callers, until their calls are answered or their callers gone."""
    large = [stage.dial(RPC + b"Content-Length: 4000\r\n\r\n" + b"x" * 2000) for _ in range(2)]
    stage.until(lambda: stage.calls.held == 4000)
    for text in (b"Content-Length: 4000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n" + b"7d1\r\n" + b"x" * 2001):
        read, write = stage.dial(RPC + text)
        assert stage.answer(read)[0] == 503
        write.close()
    large[0][1].close()
    stage.until(lambda: stage.calls.held == 2000)
    large[1][1].write(b"x" * 2000)
    assert stage.answer(large[1][0])[2] == b"4000" and stage.calls.held == 0


def test_drain(stage):
    idle = stage.dial()
    stage.until(lambda: stage.calls.callers)
    stage.calls.drain()
    assert stage.run(idle[0].read()) == b""
    read, _ = stage.dial(GET % b"/api/lookup")
    assert stage.answer(read)[1]["Connection"] == "close"


def test_declared_twice():
    class Twice(Handlers):
        @call("GET", "/api/lookup")
        def other(self, asked):
            pass

    with pytest.raises(ValueError, match="GET /api/lookup  is declared twice"):
        Calls(None, None, [Twice()])
