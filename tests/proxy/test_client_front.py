"""Client connections: disconnects, malformed requests, slow and idle clients."""

import pytest
from proxy_fixtures import TWO_SERVERS, WRITE, ProxyHarness


def test_a_client_that_disconnects_cancels_its_request():
    """The attempt is cancelled at the server at once, and the body is no longer counted as buffered."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request(WRITE, body=b"x" * 1000)
    server = proxy.pipes[proxy.pending_server()]
    proxy.client().cut()
    assert (
        server.closed and proxy.memory.used_bytes == 0 and not proxy.request_proxy.service_pools["one"].driver.in_flight
    )


MALFORMED = {
    "no id": (b"GET /read/x HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer ann-key\r\n\r\n", 400),
    "two ids": (b"GET /read/x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\nTry-Id: b\r\n\r\n", 400),
    "two keys": (b"GET /read/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer a\r\nauthorization: Bearer b\r\n\r\n", 400),
    "no host": (b"GET /read/x HTTP/1.1\r\nTry-Id: a\r\n\r\n", 400),
    "two hosts": (b"GET /read/x HTTP/1.1\r\nHost: a\r\nHost: b\r\nTry-Id: a\r\n\r\n", 400),
    "two lengths": (
        b"POST /write/x HTTP/1.1\r\nHost: host.example\r\nTry-Id: a\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab",
        400,
    ),
    "a length and chunks": (
        b"POST /write/x HTTP/1.1\r\nHost: host.example\r\nTry-Id: a\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
        400,
    ),
    "a large head": (b"GET /read/x HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 3000 + b"\r\n\r\n", 431),
    "a large body": (b"POST /write/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5001\r\n\r\n", 413),
    "many chunks": (
        b"POST /write/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"400\r\n"
        + b"x" * 1024
        + b"\r\n"
        + b"fff\r\n"
        + b"x" * 4095
        + b"\r\n",
        413,
    ),
    "no request": (b"\x16\x03\x01\x00\xa5\r\n\r\n", 400),
    "a second behind it": (
        b"GET /read/x HTTP/1.1\r\nHost: host.example\r\nTry-Id: a\r\nAuthorization: Bearer ann-key\r\n\r\n"
        b"GET /read/y HTTP/1.1\r\nHost: host.example\r\nTry-Id: b\r\n\r\n",
        400,
    ),
}


@pytest.mark.parametrize("what", MALFORMED)
def test_a_malformed_request_reaches_no_server(what):
    """Guards against request smuggling: the client gets an error, its connection is closed, no server gets anything."""
    data, status = MALFORMED[what]
    proxy = ProxyHarness(TWO_SERVERS, MaxHeaderBytes=2000, MaxBodyBytes=5000)
    proxy.client().feed(data)
    assert (
        proxy.response().status == status
        and proxy.pipes["c"].closed
        and not proxy.pending()
        and proxy.memory.used_bytes == 0
    )


def test_incomplete_requests_and_idle_connections_time_out():
    """An incomplete request gets 408 after the configured limit; idle connections are closed after `Idle`."""
    proxy = ProxyHarness(TWO_SERVERS, Idle="4s")
    proxy.client().feed(b"GET /read/x HTTP/1.1\r\nHost: host.exam")
    proxy.client("idle")
    proxy.send_request(client="kept")
    proxy.respond()
    for _ in range(60):
        proxy.wait(250)
        proxy.client_front.sweep()
    assert proxy.response().status == 408 and proxy.pipes["kept"].closed and proxy.pipes["idle"].closed


def test_a_request_beyond_the_limit_of_connections_reaches_no_server():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.client_front.limits = proxy.client_front.limits._replace(max_clients=1)
    proxy.send_request(client="first")
    proxy.send_request(WRITE, try_id="t2", client="second", body=b"1")
    response = proxy.response("second")
    assert response.status == 503 and float(response["retry-after"]) > 0 and proxy.pipes["second"].closed
    assert proxy.log.counts["dispatches"] == 1 and proxy.log.counts["turned_away"] == 1


def test_a_request_whose_body_finds_no_memory_reaches_no_server():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.memory.capacity_bytes = 10_000
    proxy.send_request(WRITE, body=b"x" * 8001)
    assert proxy.response().status == 503 and not proxy.log.counts["dispatches"] and not proxy.memory.used_bytes
    proxy.wait(1)
    proxy.send_request(WRITE, try_id="t2", client="d", body=b"x" * 4000)
    assert proxy.pending() and proxy.memory.used_bytes > 4000
