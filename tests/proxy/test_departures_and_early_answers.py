"""Clients that disconnect, servers that respond before they have read the body, and responses without a length."""

import pytest
from proxy_fixtures import READ, TWO_SERVERS, WRITE, ProxyHarness

LARGE = b"x" * (256 << 10)  # the body of a large response
HEAD = b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nServer-Seal: stamp\r\n"
UNFRAMED = HEAD + b"Connection: close\r\n\r\n"


def close_orderly(pipe) -> None:
    """Ends the server's connection by an orderly close."""
    pipe.protocol.eof_received()
    if not pipe.closed:
        pipe.closed = True
        pipe.protocol.connection_lost(None)
    pipe.stage.settle()


@pytest.mark.parametrize("path", [READ, WRITE])
def test_a_client_that_leaves_in_the_midst_of_a_streamed_response_ends_the_servers_connection(path):
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request(path)
    server = proxy.pending()[proxy.pending_server()]
    server.feed(HEAD + b"Content-Length: %d\r\n\r\n" % len(LARGE) + LARGE[: len(LARGE) // 2])
    assert not server.closed
    proxy.client().cut()
    proxy.wait(100)
    assert server.closed and not proxy.request_proxy.service_pools["one"].driver.in_flight


def test_a_client_that_leaves_while_its_request_waits_for_a_connection_reaches_no_server():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ways["s1"] = proxy.ways["s2"] = "silent"
    proxy.send_request()
    proxy.wait(50)
    proxy.client().cut()
    proxy.ways.clear()
    proxy.wait(1000)
    assert not proxy.pending() and not proxy.request_proxy.service_pools["one"].driver.in_flight


def test_a_server_that_answers_early_gets_the_rest_of_the_body_before_anything_else():
    """The server continues to read later, and must find the rest of the body there."""
    proxy = ProxyHarness(TWO_SERVERS)
    body = bytes(range(256)) * 12
    proxy.send_request(WRITE, body=body)
    server = proxy.pending()[proxy.pending_server()]
    seen = server.take()
    server.feed(HEAD + b"Content-Length: 2\r\n\r\nok")
    assert proxy.response().status == 200
    for number in range(4):
        proxy.send_request(try_id=f"n{number}", client=f"d{number}")
    seen += server.take() if not server.closed else b""
    head, _, rest = seen.partition(b"\r\n\r\n")
    assert rest[: len(body)] == body and rest[len(body) :][:4] in (b"", b"GET ")


@pytest.mark.parametrize("ends, complete", [("in order", True), ("reset", False)])
def test_a_response_without_a_length_is_complete_if_its_connection_ends_in_order(ends, complete):
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request(WRITE)  # once-only, so that it is not retried at another server
    server = proxy.pending()[proxy.pending_server()]
    server.take()
    server.feed(UNFRAMED + b"half and half")
    if ends == "in order":
        close_orderly(server)
    else:
        server.cut()
    proxy.wait(10)
    response = proxy.response()
    if complete:
        assert response.status == 200 and response.body == b"half and half" and response["content-length"] == "13"
    else:
        assert response.status == 502


def test_a_long_response_without_a_length_that_is_reset_must_not_look_complete():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request()
    client = proxy.client()
    server = proxy.pending()[proxy.pending_server()]
    server.take()
    server.feed(UNFRAMED + LARGE)
    server.cut()
    proxy.wait(10)
    assert b"0\r\n\r\n" not in client.data[-16:] and (client.closed or not client.data.startswith(b"HTTP/1.1 200"))
