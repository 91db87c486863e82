"""The request path: a once-only request is sent once, and no response promises non-execution if it is uncertain.

Scripted clients and servers run on the fake event loop of `proxy_fixtures`. The tests record the requests sent to each
server: it may have executed every request that reached a connection, except those that its response to that request
states were not executed.
"""

import random

import pytest
from proxy_fixtures import MS, RULES, ProxyHarness, rule

READ, WRITE, PUT = "/read/x", "/write/x", "/put/x"
SERVERS = {f"s{k}": ("one", "a1") for k in range(1, 5)}
PROMISES = (408, 421, 429, 503)
ONE = {"s1": ("one", "a1")}


def complete_response(try_id, status=200, seal="x", body=b"ok", more=""):
    """A complete response of a server."""
    head = f"HTTP/1.1 {status} Said\r\nContent-Length: {len(body)}\r\n{more}"
    head += f"Try-Id: {try_id}\r\n" if try_id else ""
    head += f"Server-Seal: {seal}\r\n" if seal else ""
    return head.encode() + b"\r\n" + body


NOT_RUN = "Not-Run: 1\r\n"


# ---- one request, one outcome


def reset(proxy):
    proxy.pipes[proxy.pending_server()].cut()


def partial_then_close(proxy):
    name = proxy.pending_server()
    proxy.respond_raw(complete_response("t1")[:-1])
    proxy.pipes[name].cut()


def silence(proxy):
    for pipe in proxy.pending().values():
        pipe.take()
    proxy.wait(6000)


def late_answer_of_another(proxy):
    proxy.respond_raw(complete_response("t0"))


def late_not_run_without_id(proxy):
    """On a reused connection, where it may be a second response to the earlier request."""
    proxy.respond_raw(complete_response(None, 503, None, b"", NOT_RUN))


ENDS = {
    "reset": reset,
    "closed behind part of an answer": partial_then_close,
    "silence": silence,
    "an answer of an earlier request": late_answer_of_another,
    "a Not-Run of an earlier request": lambda proxy: proxy.respond_raw(
        complete_response("t0", 503, None, b"", NOT_RUN)
    ),
    "a 421 of an earlier request": lambda proxy: proxy.respond_raw(complete_response("t0", 421, None, b"")),
    "a Not-Run that names no request": late_not_run_without_id,
    "a 421 that names no request": lambda proxy: proxy.respond_raw(complete_response(None, 421, None, b"")),
    "garbage": lambda proxy: proxy.respond_raw(b"\x16\x03\x01 no answer\r\n\r\n"),
    "no seal": lambda proxy: proxy.respond_raw(complete_response("t1", seal=None)),
    "a 503 that does not say that it has not run": lambda proxy: proxy.respond_raw(complete_response("t1", 503)),
    "a 429 that does not say so": lambda proxy: proxy.respond_raw(complete_response("t1", 429)),
    "a 408 that does not say so": lambda proxy: proxy.respond_raw(complete_response("t1", 408)),
}


@pytest.mark.parametrize("path", [WRITE, PUT])
@pytest.mark.parametrize("end", ENDS)
def test_a_once_only_request_that_may_have_run_is_sent_once(end, path):
    """On a reused connection, with other servers free: one dispatch, and no promise that it was not executed."""
    proxy = ProxyHarness(SERVERS)
    proxy.send_request(path, try_id="t0", body=b"0")
    first = proxy.pending_server()
    proxy.respond_to("t0")
    proxy.set_servers({first: SERVERS[first]})  # so that the next request uses the same connection
    proxy.response()
    sent = proxy.log.counts["dispatches"]
    proxy.send_request(path, body=b"1")
    proxy.set_servers(SERVERS)
    ENDS[end](proxy)
    proxy.wait(6000)
    response = proxy.response()
    assert response.status in (502, 504) and not response["retry-after"] and not response["server-seal"]
    assert proxy.log.counts["dispatches"] == sent + 1 and not proxy.pending()


@pytest.mark.parametrize("end", ["a Not-Run that names no request", "a 421 that names no request"])
def test_a_not_run_without_an_id_counts_on_a_fresh_connection(end):
    """The connection carried no other request, so the response can only belong to this one."""
    proxy = ProxyHarness(SERVERS)
    proxy.send_request(WRITE, body=b"1")
    first = proxy.pending_server()
    ENDS[end](proxy)
    assert proxy.pending_server() != first
    proxy.respond()
    assert proxy.response().status == 200


def test_a_request_whose_client_left_is_not_sent_again():
    """It is not retried, regardless of the server's response."""
    for end in (reset, partial_then_close, lambda proxy: proxy.reject()):
        proxy = ProxyHarness(SERVERS)
        proxy.send_request(WRITE, body=b"1")
        pipe = next(iter(proxy.pending().values()))
        proxy.pipes["c"].cut()
        assert pipe.closed
        if proxy.pending():
            end(proxy)
        proxy.wait(3000)
        assert proxy.log.counts["dispatches"] == 1 and not proxy.pending()


def test_an_id_that_is_open_at_one_service_is_open_at_all():
    """On a route with weights, a repeated id may select another service: it must not run there at the same time."""
    shares = [{"Service": "one", "Weight": 1}, {"Service": "two", "Weight": 1}]
    proxy = ProxyHarness(SERVERS | {"s9": ("two", "a1")}, rules=[*RULES, rule("/both/", "changing", shares=shares)])
    for k in range(12):  # the random selection picks both services
        proxy.send_request("/both/x", method="POST", client=f"a{k}", body=b"1")
    assert proxy.log.counts["dispatches"] == 1
    assert [proxy.response(f"a{k}").status for k in range(1, 12)] == 11 * [409]


# ---- the rules on failures, attempts and time limits


@pytest.mark.parametrize("path", [READ, WRITE])
def test_a_failure_carries_the_seal_of_its_own_server(path):
    """MIXED: a sealed failure has the status, seal and body of one server; the proxy's own failures have no seal."""
    proxy = ProxyHarness(SERVERS)
    proxy.send_request(path)
    said = []
    while proxy.pending():
        name = proxy.pending_server()
        status = 500 + len(said)
        said.append((status, f"seal-{name}", f"of {name}".encode()))
        proxy.respond(status=status, seal=said[-1][1], body=said[-1][2])
    proxy.wait(6000)
    response = proxy.response()
    if response["server-seal"]:
        assert (response.status, response["server-seal"], response.body) in said
    else:
        assert response.status in (502, 504)


@pytest.mark.parametrize("tries", [1, 2, 3])
@pytest.mark.parametrize("how", ["silent", "reset", "not run", "500"])
def test_no_more_servers_are_asked_than_the_route_has_attempts(tries, how):
    """BUDGET: hedges of late requests, and retries of failed and rejected ones, all count."""
    proxy = ProxyHarness(SERVERS, rules=[rule("/read/", tries=tries, give_up="4s")])
    for k in range(30):  # the usual duration is known, so late requests are hedged
        proxy.send_request(try_id=f"w{k}", client=f"w{k}")
        proxy.wait(20)
        proxy.respond_to(f"w{k}")
    earlier_id = proxy.log.counts["dispatches"]
    proxy.send_request()
    seen = set()
    for _ in range(200):
        for name in list(proxy.pending()):
            seen.add(name)
            if how == "reset":
                proxy.pipes[name].cut()
            elif how == "not run":
                proxy.reject(name)
            elif how == "500":
                proxy.respond(name, status=500)
        proxy.wait(25)
    assert len(seen) <= tries and proxy.log.counts["dispatches"] - earlier_id <= tries
    assert proxy.response().status in (500, 502, 503, 504)


@pytest.mark.parametrize("path", [READ, WRITE])
def test_every_request_is_answered_within_its_routes_time(path):
    """By `GiveUp`, also if the server is silent, sends its response slowly, or attempts fail one after the other."""
    for outcome in ("silence", "drips", "again"):
        kind = "changing" if path == WRITE else "read_only"
        proxy = ProxyHarness(SERVERS, rules=[rule(path[:-1], kind, give_up="2s")])
        proxy.send_request(path, more="Time-Left-Ms: 60000\r\n")
        began, data, at = proxy.now, complete_response("t1", body=b"x" * 4000), 0
        while proxy.pipes["c"].data == b"" and proxy.now - began < 3000 * MS:
            proxy.wait(40)
            for name, pipe in list(proxy.pending().items()):
                if outcome == "drips":
                    pipe.feed(data[at : at + 40])
                    at += 40
                elif outcome == "again" and proxy.now - began > 400 * MS:
                    proxy.pipes[name].cut()
        assert proxy.response().status in (502, 504) and proxy.now - began <= 2040 * MS


# ---- planned changes


def test_planned_changes_cut_off_no_request():
    """LOST: a request that was already forwarded gets its server's response.

    The changes are a configuration without the route, the removal of the servers, an evacuation, and SIGTERM.
    """
    works = {
        "a configuration without the route": lambda proxy: proxy.configure(2, rules=[rule("/other/", service="two")]),
        "its servers leave the list": lambda proxy: proxy.set_servers({"s9": ("two", "a1")}),
        "its zone is emptied": lambda proxy: proxy.request_proxy.apply_evacuations(frozenset(["a1"])),
        "lower caps": lambda proxy: proxy.configure(2, MaxBodyBytes=1, MaxHeaderBytes=64),
        "drained": lambda proxy: proxy.client_front.drain(),
        "retired": lambda proxy: (
            setattr(proxy.client_front, "server", proxy),
            proxy.client_front.retire(lambda: None),
        ),
    }
    for work in works.values():
        for path in (READ, WRITE):
            proxy = ProxyHarness(SERVERS)
            proxy.send_request(path, body=b"" if path == READ else b"x")
            pipe = next(iter(proxy.pending().values()))
            work(proxy)
            proxy.wait(200)
            assert not pipe.closed and proxy.log.counts["dispatches"] == 1
            proxy.respond_to("t1")
            assert proxy.response().status == 200


# ---- random faults


class RandomFaults:
    """Clients and servers with random behaviour, including failures and misplaced responses; records what was sent."""

    outcomes = ("ok", "ok", "ok", "reset", "part", "not run", "421", "late", "extra", "500", "odd", "hang")

    def __init__(self, seed):
        self.proxy, self.random_source = ProxyHarness(SERVERS | {"s5": ("one", "a2")}), random.Random(seed)
        self.open_ids, self.once_only_ids = {}, set()  # client to the id that it waits for; ids of once-only requests
        self.sent, self.rejections = {}, {}  # id to the servers that got it; id to the number of rejections
        self.seals = {}  # seal to the status of its response

    def may_have_run(self, try_id):
        """The number of servers that may have executed the request."""
        return len(self.sent.get(try_id, ())) - self.rejections.get(try_id, 0)

    def record_requests(self):
        """Records new requests at servers; returns the unanswered ones as (pipe, id)."""
        waiting = []
        for pipe in self.proxy.pending_connections():
            try_id = pipe.data.partition(b"Try-Id: ")[2].split(b"\r\n")[0].decode()
            if getattr(pipe, "recorded_id", None) != try_id:
                pipe.recorded_id = try_id
                self.sent.setdefault(try_id, []).append(pipe.name)
            waiting.append((pipe, try_id))
        return waiting

    def end(self, pipe, try_id):
        """Ends a request at a server in a random way."""
        outcome, random_source = self.random_source.choice(self.outcomes), self.random_source
        if outcome == "hang":
            return
        pipe.take()
        earlier_id, pipe.earlier_id, pipe.recorded_id = getattr(pipe, "earlier_id", try_id), try_id, None
        if outcome == "reset":
            pipe.cut()
        elif outcome == "part":
            pipe.feed(complete_response(try_id)[: random_source.randrange(1, len(complete_response(try_id)))])
            pipe.cut()
        elif outcome == "late" and earlier_id != try_id:  # only a second response to the connection's earlier request
            pipe.feed(
                random_source.choice(
                    (
                        complete_response(earlier_id),
                        complete_response(earlier_id, 503, None, b"", NOT_RUN),
                        complete_response(None, 421, None, b""),
                    )
                )
            )
        elif outcome == "odd":
            pipe.feed(
                random_source.choice(
                    (b"junk\r\n\r\n", complete_response(try_id, seal=None), complete_response(try_id, 503))
                )
            )
        else:
            self.answer(pipe, try_id, outcome)

    def answer(self, pipe, try_id, outcome):
        """Sends a response to this request."""
        if outcome in ("not run", "421"):
            self.rejections[try_id] = self.rejections.get(try_id, 0) + 1
            return pipe.feed(
                complete_response(try_id, 421, None, b"")
                if outcome == "421"
                else complete_response(try_id, 503, None, b"", NOT_RUN)
            )
        seal = f"{try_id}/{pipe.name}"
        self.seals[seal] = 500 if outcome == "500" else 200
        return pipe.feed(
            complete_response(try_id, self.seals[seal], seal, try_id.encode())
            + (complete_response(try_id) if outcome == "extra" else b"")
        )

    def check(self, client):
        """Whether the client has its response; checks that it belongs to the client's request."""
        try_id, response = self.open_ids[client], self.proxy.response(client)
        if response is None:
            return self.proxy.pipes[client].closed
        seal = response["server-seal"]
        assert response.status >= 400 if seal is None else self.seals[seal] == response.status
        if seal is not None:
            assert seal.startswith(f"{try_id}/") and response.body == try_id.encode()
        if response.status in PROMISES and try_id in self.once_only_ids:
            assert not self.may_have_run(try_id), f"{try_id} was promised not to have run"
        return True

    def send_random_request(self, client, try_id):
        path = self.random_source.choice((READ, WRITE, PUT))
        if path != READ:
            self.once_only_ids.add(try_id)
        self.open_ids[client] = try_id
        body = b"" if path == READ else b"x" * self.random_source.choice((1, 3000))
        self.proxy.send_request(path, try_id=try_id, client=client, body=body)

    def step(self, client, try_id):
        if client not in self.open_ids:
            self.send_random_request(client, try_id)
        if self.random_source.random() < 0.05:
            self.proxy.pipes[self.random_source.choice(list(self.open_ids))].cut()
        for pipe, at in self.record_requests():
            if self.random_source.random() < 0.5 and not pipe.closed:
                self.end(pipe, at)
                self.record_requests()
        self.advance(self.random_source.choice((1, 20, 120)))

    def advance(self, ms):
        self.proxy.wait(ms)
        self.record_requests()
        self.open_ids = {client: try_id for client, try_id in self.open_ids.items() if not self.check(client)}


@pytest.mark.parametrize("seed", range(24))
def test_random_faults_keep_requests_once_only_and_answers_their_own(seed):
    """All outcomes mixed: at most one server may have executed a once-only request.

    Non-execution is promised only if no server executed the request; each response belongs to its own request, and has
    a seal only if it came from a server.
    """
    faults = RandomFaults(seed)
    for k in range(120):
        faults.step(f"c{k % 12}", f"r{k}")
    faults.advance(8000)
    assert len(faults.once_only_ids) > 20 and faults.proxy.log.counts["resent"] > 2 and not faults.open_ids
    for try_id in faults.once_only_ids:
        assert faults.may_have_run(try_id) <= 1, f"{try_id} may have run at {faults.sent[try_id]}"
