"""Which servers may get requests: home regions, draining, evacuations, addresses."""

import pytest
from proxy_fixtures import READ, TWO_SERVERS, WRITE, ProxyHarness


def test_home_regions_of_route_and_customer_both_bind():
    """Also if servers elsewhere are idle."""
    proxy = ProxyHarness({"s1": ("one", "a1"), "s2": ("one", "a2"), "s3": ("one", "b1"), "s4": ("one", "b1")})
    for path, key, allowed in (("/home/x", "ann-key", {"s1", "s2"}), (READ, "bea-key", {"s3", "s4"})):
        seen = set()
        for k in range(12):
            proxy.send_request(path, key=key, client=f"c{k}", try_id=f"{path}{k}")
            seen |= set(proxy.pending())
        assert seen and seen <= allowed
        for name in seen:
            proxy.respond(name, try_id=None)  # the attempt fails; the retry stays in the home regions too
        assert set(proxy.pending()) <= allowed
        for k in range(12):
            proxy.client(f"c{k}").cut()
        proxy.wait(100)
    proxy.send_request("/home/x", key="bea-key", client="d")  # no zone is in home regions of both
    assert proxy.response("d").status == 503


def test_draining_servers_get_nothing():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.set_servers({"s1": ("one", "a1", "emptying"), "s2": ("one", "a2")})
    for k in range(8):
        proxy.send_request(client=f"c{k}", try_id=f"t{k}")
    assert set(proxy.pending()) == {"s2"}
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.set_servers({"s1": ("one", "a1", "emptying"), "s2": ("one", "a2", "emptying")})
    proxy.send_request()
    assert proxy.response().status == 503 and not proxy.client_front.ready()


def empty(proxy):
    proxy.set_servers({"s1": ("one", "a1", "emptying")})


def evacuate(proxy):
    proxy.request_proxy.apply_evacuations(frozenset(["a1"]))


def gone(proxy):
    proxy.set_servers({"s2": ("two", "a1")})


@pytest.mark.parametrize("ends", (empty, evacuate, gone))
def test_a_connect_that_outlasts_the_use_of_its_server_sends_nothing(ends):
    """The connection is established after its server was withdrawn: nothing is sent, and running requests complete."""
    proxy = ProxyHarness({"s1": ("one", "a1")})
    proxy.send_request(client="old", try_id="t0")
    running = proxy.pipes["s1"]
    proxy.ways["s1"] = "silent"
    proxy.send_request(WRITE)
    ends(proxy)
    proxy.ways.clear()
    proxy.settle()
    assert set(proxy.pending().values()) == {running}
    proxy.wait(5000)
    assert proxy.response().status == 503


def test_an_evacuated_zone_gets_nothing_until_it_is_reopened():
    """An evacuated zone gets no new requests and its idle connections are closed; running requests complete.

    After the evacuation it gets requests again.
    """
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.request_proxy.apply_evacuations(frozenset(["a2"]))
    for k in range(8):
        proxy.send_request(client=f"c{k}", try_id=f"t{k}")
    assert set(proxy.pending()) == {"s1"}
    proxy = ProxyHarness({"s1": ("one", "a1")})
    proxy.send_request()
    proxy.request_proxy.apply_evacuations(frozenset(["a1"]))
    proxy.respond()
    assert proxy.response().status == 200 and proxy.pipes["s1"].closed
    proxy.send_request(try_id="t2")
    assert proxy.response().status == 503
    proxy.set_servers({"s1": ("one", "a1"), "s2": ("one", "a1")})  # a new server list does not end the evacuation
    proxy.send_request(try_id="t2")
    assert proxy.response().status == 503
    proxy.request_proxy.apply_evacuations(frozenset())
    proxy.wait(3100)  # its servers may be in slow start
    proxy.send_request(try_id="t3")
    assert proxy.pending()


def test_a_server_whose_address_was_reused_gets_nothing():
    """A 421 means that another server has the address: the request is retried elsewhere.

    The server gets no more requests and its idle connections are closed, until the server list changes its entry.
    """
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request()
    gone = proxy.pending_server()
    proxy.respond(status=421, seal=None)
    assert proxy.pending_server() != gone
    proxy.respond()
    for k in range(8):
        proxy.send_request(client=f"c{k}", try_id=f"t{k}")
    assert len(proxy.pending()) == 1 and gone not in proxy.pending()
    assert proxy.log.counts["misdirected"] == 1 and proxy.log.counts["unseen"] == 1
    proxy.set_servers({"s1": ("one", "a1"), "s2": ("one", "a2")}, at={gone: 9100})
    for k in range(8):
        proxy.send_request(client=f"d{k}", try_id=f"u{k}")
    assert gone in proxy.pending()


def test_connections_to_a_former_address_are_closed():
    """Connections to a server's former address are not reused after its address has changed."""
    proxy = ProxyHarness({"s1": ("one", "a1")})
    proxy.send_request()
    proxy.respond()
    old = proxy.pipes["s1"]
    proxy.set_servers({"s1": ("one", "a1")}, at={"s1": 9100})
    assert old.closed
    proxy.send_request(try_id="t2")
    assert proxy.pipes["s1"] is not old
