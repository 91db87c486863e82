"""A server's response that finds no memory is read to its end and discarded. Its server is not blamed for it."""

import pytest
from proxy_fixtures import READ, TWO_SERVERS, WRITE, ProxyHarness

BODY = b"x" * 9000


@pytest.fixture
def proxy():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.memory.capacity_bytes = 10_000
    return proxy


@pytest.mark.parametrize("path", (READ, WRITE))
def test_its_client_is_told_that_the_request_may_have_run(proxy, path):
    proxy.send_request(path)
    proxy.respond(body=BODY)
    response = proxy.response()
    assert response.status == 502 and not response["retry-after"]
    assert proxy.log.counts["dispatches"] == proxy.log.counts["done"] == 1, "it was retried, or counts as a failure"


def test_its_connection_is_used_again_and_nothing_stays_charged(proxy):
    proxy.send_request()
    proxy.respond(body=BODY)
    assert proxy.response().status == 502 and proxy.memory.used_bytes == 0
    connects = proxy.log.counts["connects"]
    proxy.send_request(try_id="t2")
    proxy.respond(body=b"small", try_id="t2")
    assert (proxy.response().body, proxy.log.counts["connects"]) == (b"small", connects)


def test_a_response_in_chunks_is_discarded_where_memory_ends(proxy):
    proxy.send_request()
    chunk = b"7d0\r\n" + b"x" * 2000 + b"\r\n"
    head = b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    proxy.respond_raw(head + 5 * chunk + b"0\r\n\r\n")
    assert proxy.response().status == 502 and proxy.log.counts["done"] == 1 and proxy.memory.used_bytes == 0


def test_a_rejection_without_memory_for_its_body_is_still_retried(proxy):
    proxy.send_request(WRITE)
    first = proxy.pending_server()
    proxy.respond(status=503, body=BODY, seal=None, more="Not-Run: 1\r\n")
    assert proxy.pending_server() != first
    proxy.respond()
    assert proxy.response().status == 200


def test_the_response_to_head_needs_no_memory(proxy):
    proxy.send_request(method="HEAD")
    proxy.respond_raw(b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nServer-Seal: s\r\nContent-Length: 9000\r\n\r\n")
    assert proxy.response().status == 200


def test_a_failure_that_is_kept_for_the_client_is_charged(proxy):
    proxy.send_request()
    charged = proxy.memory.used_bytes
    proxy.respond(status=500, body=b"x" * 3000)
    assert proxy.pending() and proxy.memory.used_bytes == charged + 3000
    proxy.respond(body=b"y")
    assert proxy.response().status == 200 and proxy.memory.used_bytes == 0
