"""Responses of the HTTP server that come later, on loopback, and the ends of their connections."""

import asyncio
import socket
import struct

import pytest

from rampfront.net.http_messages import IncomingRequest
from rampfront.net.http_routing import endpoint
from rampfront.net.http_server import HttpServer
from rampfront.net.limits import HttpServerLimits

CALL = b"GET /later HTTP/1.1\r\nHost: h\r\n%s\r\n"
CLOSE = b"Connection: close\r\n"
RESET = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close resets the connection
LARGE_BODY = b"x" * (256 << 10)  # exceeds the client's receive buffer, fits into the server's send buffer


class Stage:
    """A server and one client."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.now = loop, 10**9
        self.pending: list[IncomingRequest] = []
        limits = HttpServerLimits(sweep_interval_ns=0)
        self.server = HttpServer(loop, lambda: self.now, [self], limits)
        address = self.run(self.server.listen("127.0.0.1", 0))
        self.caller = socket.socket()
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.caller.settimeout(5)
        self.caller.connect(address)

    @endpoint("GET", "/later")
    def later(self, request: IncomingRequest) -> None:
        self.pending.append(request)

    def run(self, awaitable):
        return self.loop.run_until_complete(asyncio.wait_for(awaitable, 5))

    def until(self, condition) -> None:
        async def turn() -> None:
            while not condition():
                await asyncio.sleep(0)

        self.run(turn())

    def call(self, fields: bytes = b"") -> IncomingRequest:
        self.caller.sendall(CALL % fields)
        self.until(lambda: self.pending)
        return self.pending.pop()

    def respond(self, request: IncomingRequest, body: bytes = b"yes") -> bool:
        return request.respond(200, body)


@pytest.fixture
def stage(any_loop):
    stage = Stage(any_loop)
    yield stage
    stage.caller.close()
    stage.server.close()


@pytest.mark.parametrize("fields", [b"", CLOSE], ids=["kept", "close"])
def test_a_response_is_read_before_the_end(stage, fields) -> None:
    assert stage.respond(stage.call(fields))
    assert stage.caller.recv(1000).endswith(b"yes")
    if fields:
        stage.until(lambda: stage.caller.recv(1000) == b"")
    stage.caller.close()
    stage.until(lambda: not stage.server.connections)


def test_a_further_request_is_answered_on_the_same_connection(stage) -> None:
    for _ in range(2):
        assert stage.respond(stage.call())
        assert stage.caller.recv(1000).endswith(b"yes")


@pytest.mark.parametrize("fields", [b"", CLOSE], ids=["kept", "close"])
@pytest.mark.parametrize("is_read", [True, False])
def test_a_reset_behind_a_response_ends_the_connection(stage, fields, is_read) -> None:
    request = stage.call(fields)
    stage.caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    stage.respond(request)
    if is_read:
        assert stage.caller.recv(1000).endswith(b"yes")
    stage.caller.close()
    stage.until(lambda: not stage.server.connections)


@pytest.mark.parametrize("is_reset", [True, False])
def test_a_caller_that_leaves_in_the_middle_of_a_response_ends_the_connection(stage, is_reset) -> None:
    stage.respond(stage.call(), LARGE_BODY)
    stage.caller.recv(1000)
    if is_reset:
        stage.caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    stage.caller.close()
    stage.until(lambda: not stage.server.connections)


def test_a_response_behind_the_end_of_its_connection_is_not_written(stage) -> None:
    request = stage.call()
    stage.caller.close()
    stage.until(lambda: not stage.server.connections)
    assert not stage.respond(request)


def test_a_caller_that_never_ends_its_stream_is_ended(stage) -> None:
    stage.respond(stage.call(CLOSE))
    stage.now += 60 * 10**9
    stage.server.sweep()
    stage.until(lambda: not stage.server.connections)


def test_bytes_behind_the_last_request_take_nothing_from_its_response(stage) -> None:
    """Some callers send an empty line behind a body."""
    stage.respond(stage.call(CLOSE))
    assert stage.caller.recv(1000).endswith(b"yes")
    stage.caller.sendall(b"\r\n")
    stage.until(lambda: not stage.server.connections)
