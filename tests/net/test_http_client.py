"""Requests of the HTTP client to a scripted server, on loopback and without sleeps."""

import asyncio
import socket

import pytest

from rampfront.net.http_client import HttpClient, HttpRequest, encode_request, send_request

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nOne: 1\r\n\r\nok"


class ScriptedConnection(asyncio.Protocol):
    """Writes the next entry of the server's script for each received chunk of data."""

    def __init__(self, server):
        self.server = server

    def connection_made(self, transport):
        self.transport = transport
        self.server.transports.append(transport)

    def data_received(self, data):
        self.server.received.append(data)
        for part in self.server.script.pop(0):
            self.transport.close() if part == "close" else self.transport.write(part)


class ScriptedServer:
    """`script` has one list per request: bytes to write, or `close` to end the connection; empty for no response."""

    def __init__(self, loop):
        self.script = []
        self.received = []
        self.transports = []
        self.listener = loop.run_until_complete(loop.create_server(lambda: ScriptedConnection(self), "127.0.0.1", 0))
        self.address = self.listener.sockets[0].getsockname()


@pytest.fixture
def server(any_loop):
    server = ScriptedServer(any_loop)
    yield server
    server.listener.close()
    for transport in server.transports:
        transport.abort()


def test_requests_reuse_the_kept_connection(any_loop, server):
    run = any_loop.run_until_complete
    client = HttpClient(any_loop, server.address)
    server.script = [
        [OK],
        [
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 Too Many Requests\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n2\r\nno\r\n0\r\n\r\n"
        ],
        [OK + b"HTTP/1.1 200 OK\r\n"],
        [OK],
        ["close"],
        [OK],
        [OK],
    ]
    response = run(client.request(HttpRequest("GET", "/a?b=1"))).ok_value
    assert (response.status, response.body, response.headers[b"one"]) == (200, b"ok", b"1")
    response = run(client.request(HttpRequest("POST", "/b", b"{}", ((b"X", b"y"),)))).ok_value
    assert (response.status, response.body, client.connects) == (429, b"no", 1)
    assert server.received[1] == (
        b"POST /b HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nX: y\r\nContent-Length: 2\r\n\r\n{}" % server.address[1]
    )
    error = run(client.request(HttpRequest("GET", "/c"))).err_value
    assert error.reason == "bytes behind the answer" and error.may_have_run
    assert run(client.request(HttpRequest("GET", "/d"))).is_ok() and client.connects == 2
    # The server closes the connection while a GET is sent on it: the GET is retried on a new connection.
    assert run(client.request(HttpRequest("GET", "/e"))).is_ok() and client.connects == 3
    closing = run(client.request(HttpRequest("GET", "/f"), keep_alive=False))
    assert closing.is_ok() and b"Connection: close" in server.received[-1]
    server.script = [[OK], ["close"]]
    assert run(client.request(HttpRequest("POST", "/g"))).is_ok()
    error = run(client.request(HttpRequest("POST", "/h"))).err_value  # a POST may have run, so it is not retried
    assert error.reason == "the connection ended" and error.may_have_run
    assert not server.script and sum(b"/h" in text for text in server.received) == 1
    client.close()
    assert run(client.request(HttpRequest("GET", "/i"))).err_value.reason == "closed"


@pytest.mark.parametrize(
    "answer, why",
    [
        ([b"HTTP/1.1 200 OK\r\n\r\nsome", "close"], "the response has no length"),
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "close"], "the connection ended"),
        ([b"garbage\r\n\r\n"], "no HTTP/1.1"),
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000], "the response is too large"),
        ([b"HTTP/1.1 200 OK\r\nA: " + b"x" * 90000], "the response is too large"),
        ([], "no answer in time"),
    ],
)
def test_untrustworthy_responses_are_errors(any_loop, server, answer, why):
    server.script = [answer]
    timeout_s = 0.05 if not answer else 2
    sending = send_request(any_loop, server.address, HttpRequest("GET", "/"), timeout_s, max_body_bytes=4000)
    error = any_loop.run_until_complete(sending).err_value
    assert error.reason == why and error.may_have_run


def test_unreachable_server_and_unsendable_requests(any_loop):
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    error = any_loop.run_until_complete(send_request(any_loop, address, HttpRequest("GET", "/"))).err_value
    assert error.reason.startswith("no connection: ") and not error.may_have_run
    for target, headers in (("/a b", ()), ("/a\r\nB: c", ()), ("a", ()), ("/", ((b"A", b"b\r\nC: d"),))):
        with pytest.raises(ValueError):
            encode_request(address, HttpRequest("GET", target, b"", headers), keep_alive=False)
