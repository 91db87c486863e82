"""What servers get of a request, and clients of a response."""

import pytest
from proxy_fixtures import READ, TWO_SERVERS, WRITE, ProxyHarness


def test_which_header_fields_are_forwarded():
    """Fields of one connection alone, and those that are ours to set, stay behind; all else goes as it came."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ask(
        more="Connection: keep-alive, X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\nProxy-Connection: x\r\n"
        "Wanted-Server: s9\r\nTime-Left-Ms: 3000\r\nX-Other: a  b\r\nCookie: c=d\r\n"
    )
    line, fields, _ = proxy.sent()
    assert fields == {
        "Host": "host.example",
        "Try-Id": "t1",
        "X-Other": "a  b",
        "Cookie": "c=d",
        "Customer": "ann",
        "Wanted-Server": proxy.where(),
        "Time-Left-Ms": fields["Time-Left-Ms"],
    }


def test_trailers_and_the_connection_field_change_nothing():
    """Neither trailers nor what `Connection` names can change who asks, or what for."""
    proxy = ProxyHarness(TWO_SERVERS)
    chunks = "1\r\na\r\n0\r\n"
    proxy.ask(WRITE, more="Transfer-Encoding: chunked\r\nConnection: host, try-id\r\n")
    proxy.client().feed(chunks + "Customer: eve\r\nX-T: 1\r\nTry-Id: t2\r\nAuthorization: Bearer bea-key\r\n\r\n")
    line, fields, body = proxy.sent()
    assert (fields["Host"], fields["Try-Id"], fields["Customer"], body) == ("host.example", "t1", "ann", b"a")
    assert "X-T" not in fields
    proxy.reply()
    assert proxy.got().status == 200
    proxy.ask(WRITE, tag="t3", key=None, more="Transfer-Encoding: chunked\r\n")
    proxy.client().feed(chunks + "Authorization: Bearer ann-key\r\n\r\n")
    assert proxy.got().status == 401
    proxy.ask(tag="t4", client="d")  # of the server's answer, too
    proxy.say_raw(b"HTTP/1.1 200 OK\r\nTry-Id: t4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nServer-Seal: x\r\n\r\n")
    assert proxy.where() and proxy.got("d") is None  # not stamped: it goes elsewhere


def test_responses_to_head_have_no_body():
    """Answers to HEAD have no body, whoever gives them: what followed would pass for the next answer."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ask(method="HEAD")
    proxy.say_raw(b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nServer-Seal: x\r\nContent-Length: 50\r\n\r\n")
    assert proxy.got().text.endswith(b"\r\n\r\n")
    for path, key, status in (("/nowhere/", "ann-key", 404), (READ, "wrong", 401)):
        proxy.ask(path, key=key, method="HEAD")
        got = proxy.got()
        assert got.status == status and got.body == b""
    proxy.ask("/nowhere/")
    assert proxy.got().body


def test_the_time_left_counts_down():
    """It counts down here: by the wait for a connect, by a first try elsewhere, and no more than the route allows."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ways["s1"] = proxy.ways["s2"] = "silent"
    proxy.ask(more="Time-Left-Ms: 3000\r\n")
    proxy.wait(200)
    proxy.ways.clear()
    proxy.settle()
    first = proxy.where()
    assert 2700 < int(proxy.sent()[1]["Time-Left-Ms"]) < 2800
    proxy.wait(500)
    proxy.not_run()
    assert proxy.where() != first and 2200 < int(proxy.sent()[1]["Time-Left-Ms"]) < 2300
    proxy.reply()
    proxy.ask(tag="t2", more="Time-Left-Ms: 60000\r\n")
    assert 3900 < int(proxy.sent()[1]["Time-Left-Ms"]) <= 4000  # GiveUp
    proxy.reply(tag="t2")
    proxy.got()
    proxy.ask(tag="t3", more="Time-Left-Ms: 5\r\n")  # too late for any answer
    assert proxy.got().status == 503 and not proxy.out()


@pytest.mark.parametrize("chunked", (False, True))
def test_a_body_is_forwarded_unchanged(chunked):
    """Whole and unchanged, however it came: in chunks, with a length, in many pieces."""
    proxy, body = ProxyHarness(TWO_SERVERS), bytes(range(256)) * 700
    if chunked:
        proxy.ask("/put/x?y=1", method="PUT", more="Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n")
        assert proxy.pipes["c"].take() == b"HTTP/1.1 100 Continue\r\n\r\n"
        for at in range(0, len(body), 50000):
            part = body[at : at + 50000]
            proxy.client().feed(b"%x\r\n%s\r\n" % (len(part), part))
        assert not proxy.out()  # nothing leaves before it is whole
        proxy.client().feed(b"0\r\n\r\n")
    else:
        proxy.ask("/put/x?y=1", method="PUT", body=body)
    line, fields, sent = proxy.sent()
    assert line == "PUT /put/x?y=1 HTTP/1.1" and sent == body and fields["Content-Length"] == str(len(body))
    assert not {"Transfer-Encoding", "Expect"} & set(fields)
    proxy.reply(body=body)
    assert proxy.got().body == body and proxy.client_front.buffered_bytes == 0


def test_a_response_is_returned_unchanged():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ask()
    proxy.say_raw(
        b"HTTP/1.1 201 Made\r\nTry-Id: t1\r\nServer-Seal: 3e1b.07\r\nX-A: b\r\nKeep-Alive: timeout=5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    got = proxy.got()
    assert (got.status, got.body, got["server-seal"], got["try-id"], got["x-a"]) == (
        201,
        b"abcde",
        "3e1b.07",
        "t1",
        "b",
    )
    assert got["content-length"] == "5" and not got["transfer-encoding"] and not got["keep-alive"]
    proxy.ask(tag="t2")
    proxy.reply(status=404, body=b"none", tag="t2", seal=None)  # of the server, for the client to see
    assert proxy.got().status == 404
