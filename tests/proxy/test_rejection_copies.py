"""A server sends a rejection twice, the second one late, in the place of the next answer on its connection."""

from proxy_fixtures import RULES, WRITE, ProxyHarness, rule

PROMISES = (408, 421, 429, 503)
SERVERS = {"s1": ("one", "a1"), "s2": ("one", "a2")}


def rejection(status):
    return b"HTTP/1.1 %d Said\r\nTry-Id: t1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" % status


class CopyingServers:
    """Servers that reject the first `rejections` requests they read and run all later ones, without an answer."""

    def __init__(self, proxy, rejections, status):
        self.proxy, self.rejections, self.status = proxy, rejections, status
        self.copied_on = set()  # connections on which a second copy of a rejection is still to come
        self.runs = 0

    def read_requests(self):
        """Reads what was written to the servers, until nothing more is."""
        while pending := self.proxy.pending_connections():
            for connection in pending:
                connection.take()
                if connection in self.copied_on:
                    self.copied_on.discard(connection)
                    self.runs += 1
                    connection.feed(rejection(self.status))
                elif self.rejections:
                    self.rejections -= 1
                    self.copied_on.add(connection)
                    connection.feed(rejection(self.status))
                else:
                    self.runs += 1


def send_to_copying_servers(servers, tries, status):
    """Sends one request that may run only once; returns its status and how often it ran."""
    rules = [*RULES, rule("/write/", "changing", tries=tries)]
    proxy = ProxyHarness(servers, rules=[row for row in rules if row is not RULES[2]])
    stand_in = CopyingServers(proxy, len(servers), status)
    proxy.send_request(WRITE, body=b"1")
    stand_in.read_requests()
    proxy.wait(6000)
    return proxy.response().status, stand_in.runs


def test_a_late_copy_of_a_rejection_does_not_refuse_a_request_that_runs():
    for servers in (SERVERS, {"s1": SERVERS["s1"]}):
        for status in (503, 429):
            answer, runs = send_to_copying_servers(servers, len(servers) + 1, status)
            assert answer not in PROMISES or not runs, (servers, status)


def test_a_late_copy_of_a_rejection_does_not_run_a_request_twice():
    for status in (503, 429):
        _, runs = send_to_copying_servers({"s1": SERVERS["s1"]}, 3, status)
        assert runs <= 1, status


def test_a_request_does_not_return_to_a_connection_that_rejected_it():
    """Other requests still use that connection."""
    proxy = ProxyHarness({"s1": SERVERS["s1"]})
    proxy.send_request(WRITE)
    (rejecting,) = proxy.pending_connections()
    proxy.reject()
    (other,) = proxy.pending_connections()
    assert other is not rejecting and not rejecting.closed
    proxy.respond()
    assert proxy.response().status == 200
    proxy.send_request(WRITE, try_id="t2")
    proxy.send_request(WRITE, try_id="t3", client="d")
    assert {rejecting, other} == set(proxy.pending_connections())
    assert proxy.log.counts["connects"] == 2 and not proxy.log.counts["resent_same_connection"]


def test_a_connection_is_closed_before_it_forgets_a_rejection():
    proxy = ProxyHarness({"s1": SERVERS["s1"]})
    rejecting = None
    for number in range(40):
        proxy.send_request(WRITE, try_id=f"t{number}")
        rejecting = rejecting or proxy.pipes["s1"]
        while proxy.pending():
            proxy.reject(try_id=f"t{number}")
        proxy.response()
    assert rejecting.closed and not proxy.log.counts["resent_same_connection"]
