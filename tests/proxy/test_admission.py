"""Admission of requests, and rejections before a server is selected."""

import pytest
from proxy_fixtures import READ, TWO_SERVERS, WRITE, FakeLimiter, ProxyHarness, reset, rule


def test_before_the_first_configuration_requests_are_told_to_come_back():
    """Without a configuration, unknown routes and keys cannot be recognised: 503 with Retry-After, never 401 or 404."""
    proxy = ProxyHarness()
    for path, key in ((READ, "ann-key"), ("/nowhere/", "ann-key"), (READ, "wrong"), (READ, None)):
        proxy.send_request(path, key=key)
        response = proxy.response()
        assert response.status == 503 and float(response["retry-after"]) > 0
    assert not proxy.client_front.ready()
    proxy.configure()
    assert not proxy.client_front.ready()  # the server list is still missing
    proxy.send_request()
    assert proxy.response().status == 503
    proxy.set_servers(TWO_SERVERS)
    assert proxy.client_front.ready()
    proxy.send_request()
    proxy.respond()
    assert proxy.response().status == 200


def test_a_stale_configuration_serves_nothing():
    """Keys may have been revoked since: no request is executed, and none is rejected permanently."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.fresh = False
    for path, key in ((READ, "ann-key"), ("/free/x", None), ("/nowhere/", None), (READ, "wrong")):
        proxy.send_request(path, key=key)
        response = proxy.response()
        assert response.status == 503 and response["retry-after"]
    assert not proxy.pending() and not proxy.client_front.ready()
    proxy.fresh = True
    proxy.send_request()
    assert proxy.pending()


def test_the_route_is_found_by_host_and_longest_prefix():
    """By host, in any letter case and with a port, and by the longest path prefix; without a matching route 404."""
    proxy = ProxyHarness(TWO_SERVERS | {"s3": ("two", "a1")})
    for path, host, service in (
        (READ, "host.example", "one"),
        ("/read/two/x", "HOST.example:80", "two"),
        ("/read/two", "host.example", "one"),
        ("/read/x?a=/read/two/", "host.example", "one"),
        ("/split/x", "host.example", "two"),
    ):
        proxy.send_request(path, host=host)
        assert (proxy.pending_server() == "s3") == (service == "two")
        assert proxy.forwarded()[0] == f"GET {path} HTTP/1.1"
        proxy.respond()
        assert proxy.response().status == 200
    for path, host in (("/rea/x", "host.example"), ("/read", "host.example"), (READ, "other.example")):
        proxy.send_request(path, host=host)
        assert proxy.response().status == 404
    proxy.client().feed(
        b"GET http://host.example/read/two/x HTTP/1.1\r\nHost: host.example\r\nTry-Id: t1\r\n"
        b"Authorization: bearer ann-key\r\n\r\n"
    )
    assert proxy.pending_server() == "s3"


def test_a_new_configuration_binds_at_once():
    proxy = ProxyHarness(TWO_SERVERS | {"s3": ("two", "a1")})
    proxy.configure(2, rules=[rule("/read/", service="two")], customers=[{"Name": "ann", "ApiKeys": ["new-key"]}])
    proxy.send_request(WRITE)
    assert proxy.response().status == 404
    proxy.send_request(key="ann-key")
    assert proxy.response().status == 401
    proxy.send_request(key="new-key")
    assert proxy.pending_server() == "s3"


def test_the_key_selects_the_customer():
    """401 without a valid key. The customer's name is forwarded instead of the key, even if the client sends a name."""
    proxy = ProxyHarness(TWO_SERVERS)
    for key in (None, "wrong", "ann-key2", "ANN-KEY"):
        proxy.send_request(key=key)
        assert proxy.response().status == 401
    proxy.send_request(key=None, more="Authorization: Basic ann-key\r\n")
    assert proxy.response().status == 401
    assert not proxy.pending()
    proxy.send_request(more="customer: eve\r\nCUSTOMER: bea\r\n")
    assert proxy.forwarded()[1]["Customer"] == "ann" and b"ann-key" not in proxy.pipes[proxy.pending_server()].data
    proxy.respond()
    proxy.send_request("/free/x", try_id="t2", key="wrong", more="Customer: eve\r\n")
    fields = proxy.forwarded()[1]
    assert not {"customer", "authorization"} & {name.lower() for name in fields}
    proxy.respond(try_id="t2")
    proxy.configure(2, customers=[])
    # Without customers no keys are required, and none is forwarded.
    proxy.send_request(try_id="t3", key="whatever", more="Customer: eve\r\n")
    assert not {"customer", "authorization"} & {name.lower() for name in proxy.forwarded()[1]}


def test_an_identifier_in_use_is_refused():
    """A second request with the same id, while the first is in progress, is rejected and refunded to the quota."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request(WRITE)
    proxy.send_request(WRITE, client="d")
    assert proxy.response("d").status == 409 and len(proxy.pending()) == 1 and len(proxy.quota.refunded) == 1
    proxy.respond()
    assert proxy.response().status == 200


def test_a_request_beyond_the_quota_is_rejected():
    """Beyond the quota: 429 with Retry-After, and nothing is sent. Requests without a customer are not counted."""
    proxy = ProxyHarness(TWO_SERVERS, quota=FakeLimiter(1))
    proxy.send_request()
    proxy.respond()
    assert proxy.response().status == 200
    proxy.send_request(try_id="t2")
    response = proxy.response()
    assert response.status == 429 and response["retry-after"] == "0.700" and not proxy.pending()
    proxy.send_request("/free/x", try_id="t3", key=None)
    assert proxy.pending()


@pytest.mark.parametrize("end,back", (("refused", 1), ("Not-Run", 1), ("ran", 0), ("unknown", 0), ("no server", 0)))
def test_a_request_that_was_not_executed_returns_its_quota(end, back):
    """A request that no server executed is refunded; one that may have been executed is not."""
    proxy = ProxyHarness(TWO_SERVERS)
    if end == "refused":
        proxy.ways["s1"] = proxy.ways["s2"] = "refuses"
    if end == "no server":
        proxy.set_servers({})
    proxy.send_request(WRITE)
    if end == "Not-Run":
        while proxy.pending():
            proxy.reject()
    elif end == "ran":
        proxy.respond()
    elif end == "unknown":
        reset(proxy)
    assert proxy.response().status == {"ran": 200, "unknown": 502}.get(end, 503)
    assert len(proxy.quota.refunded) == back and (end != "no server" or proxy.quota.left == 1000)
