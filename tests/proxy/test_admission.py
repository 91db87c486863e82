"""Requests that are admitted, or rejected before any server is asked."""

import pytest
from proxy_fixtures import READ, TWO_SERVERS, WRITE, FakeLimiter, ProxyHarness, reset, rule


def test_before_the_first_configuration_requests_are_told_to_come_back():
    """Who knows no configuration yet cannot tell a wrong route or key: 503 and when to come back, never 401 or 404."""
    proxy = ProxyHarness()
    for path, key in ((READ, "ann-key"), ("/nowhere/", "ann-key"), (READ, "wrong"), (READ, None)):
        proxy.ask(path, key=key)
        got = proxy.got()
        assert got.status == 503 and float(got["retry-after"]) > 0
    assert not proxy.client_front.ready()
    proxy.order()
    assert not proxy.client_front.ready()  # no server is known
    proxy.ask()
    assert proxy.got().status == 503
    proxy.list(TWO_SERVERS)
    assert proxy.client_front.ready()
    proxy.ask()
    proxy.reply()
    assert proxy.got().status == 200


def test_a_stale_configuration_serves_nothing():
    """A key may have been taken away by now: without a fresh word nothing runs, and nothing is refused for good."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.fresh = False
    for path, key in ((READ, "ann-key"), ("/free/x", None), ("/nowhere/", None), (READ, "wrong")):
        proxy.ask(path, key=key)
        got = proxy.got()
        assert got.status == 503 and got["retry-after"]
    assert not proxy.out() and not proxy.client_front.ready()
    proxy.fresh = True
    proxy.ask()
    assert proxy.out()


def test_the_route_is_found_by_host_and_longest_prefix():
    """By host, in any case and with a port, and by the longest prefix; what no route begins is 404, for good."""
    proxy = ProxyHarness(TWO_SERVERS | {"s3": ("two", "a1")})
    for path, host, service in (
        (READ, "host.example", "one"),
        ("/read/two/x", "HOST.example:80", "two"),
        ("/read/two", "host.example", "one"),
        ("/read/x?a=/read/two/", "host.example", "one"),
        ("/split/x", "host.example", "two"),
    ):
        proxy.ask(path, host=host)
        assert (proxy.where() == "s3") == (service == "two")
        assert proxy.sent()[0] == f"GET {path} HTTP/1.1"
        proxy.reply()
        assert proxy.got().status == 200
    for path, host in (("/rea/x", "host.example"), ("/read", "host.example"), (READ, "other.example")):
        proxy.ask(path, host=host)
        assert proxy.got().status == 404
    proxy.client().feed(
        b"GET http://host.example/read/two/x HTTP/1.1\r\nHost: host.example\r\nTry-Id: t1\r\n"
        b"Authorization: bearer ann-key\r\n\r\n"
    )
    assert proxy.where() == "s3"


def test_a_new_configuration_binds_at_once():
    proxy = ProxyHarness(TWO_SERVERS | {"s3": ("two", "a1")})
    proxy.order(2, rules=[rule("/read/", service="two")], tenants=[{"Name": "ann", "ApiKeys": ["new-key"]}])
    proxy.ask(WRITE)
    assert proxy.got().status == 404
    proxy.ask(key="ann-key")
    assert proxy.got().status == 401
    proxy.ask(key="new-key")
    assert proxy.where() == "s3"


def test_the_key_selects_the_customer():
    """401 without a key that is held; the tenant's name goes on in place of the key, whatever the client says it is."""
    proxy = ProxyHarness(TWO_SERVERS)
    for key in (None, "wrong", "ann-key2", "ANN-KEY"):
        proxy.ask(key=key)
        assert proxy.got().status == 401
    proxy.ask(key=None, more="Authorization: Basic ann-key\r\n")
    assert proxy.got().status == 401
    assert not proxy.out()
    proxy.ask(more="customer: eve\r\nCUSTOMER: bea\r\n")
    assert proxy.sent()[1]["Customer"] == "ann" and b"ann-key" not in proxy.pipes[proxy.where()].data
    proxy.reply()
    proxy.ask("/free/x", tag="t2", key="wrong", more="Customer: eve\r\n")
    fields = proxy.sent()[1]
    assert not {"customer", "authorization"} & {name.lower() for name in fields}
    proxy.reply(tag="t2")
    proxy.order(2, tenants=[])
    proxy.ask(
        tag="t3", key="whatever", more="Customer: eve\r\n"
    )  # no tenants: no keys are asked for, and none passed on
    assert not {"customer", "authorization"} & {name.lower() for name in proxy.sent()[1]}


def test_an_identifier_in_use_is_refused():
    """The same id while the first is at work: refused, and not counted to the quota."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ask(WRITE)
    proxy.ask(WRITE, client="d")
    assert proxy.got("d").status == 409 and len(proxy.out()) == 1 and len(proxy.quota.refunded) == 1
    proxy.reply()
    assert proxy.got().status == 200


def test_a_request_beyond_the_quota_is_rejected():
    """Beyond it 429 and when to come back, nothing sent; routes without a tenant are not counted."""
    proxy = ProxyHarness(TWO_SERVERS, quota=FakeLimiter(1))
    proxy.ask()
    proxy.reply()
    assert proxy.got().status == 200
    proxy.ask(tag="t2")
    got = proxy.got()
    assert got.status == 429 and got["retry-after"] == "0.700" and not proxy.out()
    proxy.ask("/free/x", tag="t3", key=None)
    assert proxy.out()


@pytest.mark.parametrize("end,back", (("refused", 1), ("Not-Run", 1), ("ran", 0), ("unknown", 0), ("no server", 0)))
def test_a_request_that_was_not_executed_returns_its_quota(end, back):
    """What did not run anywhere does not use the quota up; what may have does."""
    proxy = ProxyHarness(TWO_SERVERS)
    if end == "refused":
        proxy.ways["s1"] = proxy.ways["s2"] = "refuses"
    if end == "no server":
        proxy.list({})
    proxy.ask(WRITE)
    if end == "Not-Run":
        while proxy.out():
            proxy.not_run()
    elif end == "ran":
        proxy.reply()
    elif end == "unknown":
        reset(proxy)
    assert proxy.got().status == {"ran": 200, "unknown": 502}.get(end, 503)
    assert len(proxy.quota.refunded) == back and (end != "no server" or proxy.quota.left == 1000)
