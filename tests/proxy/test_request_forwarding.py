"""Forwarding of requests to servers and of responses to clients."""

import pytest
from proxy_fixtures import READ, TWO_SERVERS, WRITE, ProxyHarness


def test_which_header_fields_are_forwarded():
    """Hop-by-hop fields and those that the proxy sets are dropped; all others are forwarded unchanged."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request(
        more="Connection: keep-alive, X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\nProxy-Connection: x\r\n"
        "Wanted-Server: s9\r\nTime-Left-Ms: 3000\r\nX-Other: a  b\r\nCookie: c=d\r\n"
    )
    line, fields, _ = proxy.forwarded()
    assert fields == {
        "Host": "host.example",
        "Try-Id": "t1",
        "X-Other": "a  b",
        "Cookie": "c=d",
        "Customer": "ann",
        "Wanted-Server": proxy.pending_server(),
        "Time-Left-Ms": fields["Time-Left-Ms"],
    }


def test_trailers_and_the_connection_field_change_nothing():
    """Neither trailers nor fields named by `Connection` can change the customer or the target of a request."""
    proxy = ProxyHarness(TWO_SERVERS)
    chunks = "1\r\na\r\n0\r\n"
    proxy.send_request(WRITE, more="Transfer-Encoding: chunked\r\nConnection: host, try-id\r\n")
    proxy.client().feed(chunks + "Customer: eve\r\nX-T: 1\r\nTry-Id: t2\r\nAuthorization: Bearer bea-key\r\n\r\n")
    line, fields, body = proxy.forwarded()
    assert (fields["Host"], fields["Try-Id"], fields["Customer"], body) == ("host.example", "t1", "ann", b"a")
    assert "X-T" not in fields
    proxy.respond()
    assert proxy.response().status == 200
    proxy.send_request(WRITE, try_id="t3", key=None, more="Transfer-Encoding: chunked\r\n")
    proxy.client().feed(chunks + "Authorization: Bearer ann-key\r\n\r\n")
    assert proxy.response().status == 401
    proxy.send_request(try_id="t4", client="d")  # the same holds for the server's response
    proxy.respond_raw(b"HTTP/1.1 200 OK\r\nTry-Id: t4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nServer-Seal: x\r\n\r\n")
    assert proxy.pending_server() and proxy.response("d") is None  # without a valid seal it is retried


def test_responses_to_head_have_no_body():
    """Also those of the proxy itself: a client would take the body for the next response."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request(method="HEAD")
    proxy.respond_raw(b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nServer-Seal: x\r\nContent-Length: 50\r\n\r\n")
    assert proxy.response().text.endswith(b"\r\n\r\n")
    for path, key, status in (("/nowhere/", "ann-key", 404), (READ, "wrong", 401)):
        proxy.send_request(path, key=key, method="HEAD")
        response = proxy.response()
        assert response.status == status and response.body == b""
    proxy.send_request("/nowhere/")
    assert proxy.response().body


def test_the_time_left_counts_down():
    """It decreases by the connect time and by earlier attempts, and starts at no more than the route's `GiveUp`."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ways["s1"] = proxy.ways["s2"] = "silent"
    proxy.send_request(more="Time-Left-Ms: 3000\r\n")
    proxy.wait(200)
    proxy.ways.clear()
    proxy.settle()
    first = proxy.pending_server()
    assert 2700 < int(proxy.forwarded()[1]["Time-Left-Ms"]) < 2800
    proxy.wait(500)
    proxy.reject()
    assert proxy.pending_server() != first and 2200 < int(proxy.forwarded()[1]["Time-Left-Ms"]) < 2300
    proxy.respond()
    proxy.send_request(try_id="t2", more="Time-Left-Ms: 60000\r\n")
    assert 3900 < int(proxy.forwarded()[1]["Time-Left-Ms"]) <= 4000  # the route's GiveUp
    proxy.respond(try_id="t2")
    proxy.response()
    proxy.send_request(try_id="t3", more="Time-Left-Ms: 5\r\n")  # too short for any response
    assert proxy.response().status == 503 and not proxy.pending()


@pytest.mark.parametrize("chunked", (False, True))
def test_a_body_is_forwarded_unchanged(chunked):
    """Chunked or with a length, and received in many parts."""
    proxy, body = ProxyHarness(TWO_SERVERS), bytes(range(256)) * 700
    if chunked:
        proxy.send_request("/put/x?y=1", method="PUT", more="Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n")
        assert proxy.pipes["c"].take() == b"HTTP/1.1 100 Continue\r\n\r\n"
        for at in range(0, len(body), 50000):
            part = body[at : at + 50000]
            proxy.client().feed(b"%x\r\n%s\r\n" % (len(part), part))
        assert not proxy.pending()  # nothing is forwarded before the body is complete
        proxy.client().feed(b"0\r\n\r\n")
    else:
        proxy.send_request("/put/x?y=1", method="PUT", body=body)
    line, fields, sent = proxy.forwarded()
    assert line == "PUT /put/x?y=1 HTTP/1.1" and sent == body and fields["Content-Length"] == str(len(body))
    assert not {"Transfer-Encoding", "Expect"} & set(fields)
    proxy.respond(body=body)
    assert proxy.response().body == body and proxy.memory.used_bytes == 0


def test_a_response_is_returned_unchanged():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request()
    proxy.respond_raw(
        b"HTTP/1.1 201 Made\r\nTry-Id: t1\r\nServer-Seal: 3e1b.07\r\nX-A: b\r\nKeep-Alive: timeout=5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    response = proxy.response()
    assert (response.status, response.body, response["server-seal"], response["try-id"], response["x-a"]) == (
        201,
        b"abcde",
        "3e1b.07",
        "t1",
        "b",
    )
    assert response["content-length"] == "5" and not response["transfer-encoding"] and not response["keep-alive"]
    proxy.send_request(try_id="t2")
    # The server's own failure is returned to the client.
    proxy.respond(status=404, body=b"none", try_id="t2", seal=None)
    assert proxy.response().status == 404
