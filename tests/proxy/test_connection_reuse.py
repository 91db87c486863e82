"""Connections to servers: which of them are reused."""

from proxy_fixtures import WRITE, ProxyHarness, reset


def test_bytes_behind_a_complete_response_close_the_connection():
    """They belong to no request: the response is returned, and the next request uses a new connection."""
    for then in (b"junk", b"HTTP/1.1 200 OK\r\nTry-Id: t2\r\nServer-Seal: x\r\nContent-Length: 3\r\n\r\nbad"):
        proxy = ProxyHarness({"s1": ("one", "a1")})
        proxy.send_request()
        old = proxy.pipes["s1"]
        proxy.respond(then=then)
        assert proxy.response().body == b"yes" and old.closed
        proxy.send_request(try_id="t2")
        assert proxy.pipes["s1"] is not old
        proxy.respond(try_id="t2", body=b"good")
        assert proxy.response().body == b"good"


def test_bytes_on_an_idle_connection_close_it():
    """A late second response must not be taken for the response to the next request."""
    proxy = ProxyHarness({"s1": ("one", "a1")})
    proxy.send_request()
    proxy.respond()
    old = proxy.pipes["s1"]
    old.feed(b"HTTP/1.1 200 OK\r\nTry-Id: t2\r\nServer-Seal: x\r\nContent-Length: 3\r\n\r\nbad")
    assert old.closed
    proxy.send_request(try_id="t2")
    assert proxy.pipes["s1"] is not old


def test_connections_are_reused():
    """Sequential requests share a connection, but not after `Connection: close` or the idle timeout."""
    proxy = ProxyHarness({"s1": ("one", "a1")})
    for k in range(3):
        proxy.send_request(try_id=f"t{k}")
        proxy.respond(try_id=f"t{k}", more="Connection: close\r\n" if k == 1 else "")
    assert proxy.log.counts["connects"] == 2
    proxy.wait(7500)
    for service_pool in proxy.request_proxy.service_pools.values():
        service_pool.connection_pool.sweep()
    assert proxy.pipes["s1"].closed


def test_the_keep_alive_of_a_server_is_followed():
    """Guards against sending a request just as the server closes the idle connection."""
    proxy = ProxyHarness({"s1": ("one", "a1")})
    for k, (wait, more, connects) in enumerate(
        (
            (0, "timeout=2", 1),
            (1500, "timeout=2, max=5", 1),
            (1900, "3", 2),
            (2500, "timeout=1", 2),
            (800, "timeout=0", 3),
            (0, "odd", 4),
            (5000, "", 4),
        )
    ):
        proxy.wait(wait)
        proxy.send_request(try_id=f"t{k}")
        proxy.respond(try_id=f"t{k}", more=f"Keep-Alive: {more}\r\n" if more else "")
        assert proxy.response().status == 200 and proxy.log.counts["connects"] == connects, k


def test_after_a_forgotten_connection_idle_ones_are_distrusted():
    """A server that drops idle connections without closing them costs one once-only request, not one per connection."""
    proxy = ProxyHarness({"s1": ("one", "a1")})
    proxy.send_request(WRITE)
    proxy.respond()
    assert proxy.response().status == 200
    proxy.wait(3000)
    proxy.send_request(WRITE, try_id="t2")
    reset(proxy)
    assert proxy.response().status == 502 and proxy.log.counts["connects"] == 1
    for try_id, rest, connects in (
        ("t3", 0, 2),
        ("t4", 300, 2),
        ("t5", 500, 3),
        ("t6", 2000, 4),
        ("t7", 5500, 4),
    ):  # idle connections are trusted again later
        proxy.wait(rest)
        proxy.send_request(WRITE, try_id=try_id)
        proxy.respond(try_id=try_id)
        assert proxy.response().status == 200 and proxy.log.counts["connects"] == connects, try_id
