"""Hedged requests: a second attempt, concurrent with a late first one."""

from proxy_fixtures import READ, TWO_SERVERS, WRITE, ProxyHarness


def test_a_late_read_is_hedged_and_a_write_is_not():
    """Once the usual duration is known, a late read gets a second attempt at another server.

    One response is returned and the other attempt is cancelled. A once-only request is never hedged.
    """
    proxy = ProxyHarness(TWO_SERVERS)
    for k in range(20):
        proxy.send_request(READ, try_id=f"r{k}", client="r")
        proxy.send_request(WRITE, try_id=f"w{k}", client="w")
        proxy.wait(50)
        proxy.respond_to(f"r{k}")
        proxy.respond_to(f"w{k}")
    proxy.response("r"), proxy.response("w")
    proxy.send_request(READ, try_id="r", client="r")
    proxy.send_request(WRITE, try_id="w", client="w")
    proxy.wait(1500)
    copies = [pipe for pipe in proxy.pending_connections() if b"Try-Id: r\r\n" in pipe.data]
    assert {pipe.name for pipe in copies} == {"s1", "s2"}
    assert sum(b"Try-Id: w\r\n" in pipe.data for pipe in proxy.pending_connections()) == 1
    copies[1].feed("HTTP/1.1 200 OK\r\nTry-Id: r\r\nServer-Seal: x\r\nContent-Length: 3\r\n\r\nyes")
    assert proxy.response("r").body == b"yes" and all(pipe.closed for pipe in copies if pipe is not copies[1])
    assert proxy.response("r") is None
