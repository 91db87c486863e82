"""The request path: what may run only once goes out once, and no promise is given for what may have run.

Scripted clients and servers on the fake loop of `proxy_fixtures`. A ledger follows what each server was sent: it may
have run whatever reached a connection, but for what an answer to that very request said was not run.
"""

import random

import pytest
from proxy_fixtures import MS, RULES, ProxyHarness, rule

READ, WRITE, PUT = "/read/x", "/write/x", "/put/x"
SERVERS = {f"s{k}": ("one", "a1") for k in range(1, 5)}
PROMISES = (408, 421, 429, 503)
ONE = {"s1": ("one", "a1")}


def whole(try_id, status=200, seal="x", body=b"ok", more=""):
    """A server's answer."""
    head = f"HTTP/1.1 {status} Said\r\nContent-Length: {len(body)}\r\n{more}"
    head += f"Try-Id: {try_id}\r\n" if try_id else ""
    head += f"Server-Seal: {seal}\r\n" if seal else ""
    return head.encode() + b"\r\n" + body


NOT_RUN = "Not-Run: 1\r\n"


# ---- one request, one end


def reset(proxy):
    proxy.pipes[proxy.pending_server()].cut()


def partial_then_close(proxy):
    name = proxy.pending_server()
    proxy.respond_raw(whole("t1")[:-1])
    proxy.pipes[name].cut()


def silence(proxy):
    for pipe in proxy.pending().values():
        pipe.take()
    proxy.wait(6000)


def late_answer_of_another(proxy):
    proxy.respond_raw(whole("t0"))


def late_not_run_without_id(proxy):
    """On a connection that served another request before: it may be that one's second answer."""
    proxy.respond_raw(whole(None, 503, None, b"", NOT_RUN))


ENDS = {
    "reset": reset,
    "closed behind part of an answer": partial_then_close,
    "silence": silence,
    "an answer of an earlier request": late_answer_of_another,
    "a Not-Run of an earlier request": lambda proxy: proxy.respond_raw(whole("t0", 503, None, b"", NOT_RUN)),
    "a 421 of an earlier request": lambda proxy: proxy.respond_raw(whole("t0", 421, None, b"")),
    "a Not-Run that names no request": late_not_run_without_id,
    "a 421 that names no request": lambda proxy: proxy.respond_raw(whole(None, 421, None, b"")),
    "garbage": lambda proxy: proxy.respond_raw(b"\x16\x03\x01 no answer\r\n\r\n"),
    "no seal": lambda proxy: proxy.respond_raw(whole("t1", seal=None)),
    "a 503 that does not say that it has not run": lambda proxy: proxy.respond_raw(whole("t1", 503)),
    "a 429 that does not say so": lambda proxy: proxy.respond_raw(whole("t1", 429)),
    "a 408 that does not say so": lambda proxy: proxy.respond_raw(whole("t1", 408)),
}


@pytest.mark.parametrize("path", [WRITE, PUT])
@pytest.mark.parametrize("end", ENDS)
def test_a_once_only_request_that_may_have_run_is_sent_once(end, path):
    """On a connection that was used before, and with other servers free: one dispatch, and no promise."""
    proxy = ProxyHarness(SERVERS)
    proxy.send_request(path, try_id="t0", body=b"0")
    first = proxy.pending_server()
    proxy.respond_to("t0")
    proxy.set_servers({first: SERVERS[first]})  # the next one takes the same connection
    proxy.response()
    sent = proxy.log.counts["dispatches"]
    proxy.send_request(path, body=b"1")
    proxy.set_servers(SERVERS)
    ENDS[end](proxy)
    proxy.wait(6000)
    got = proxy.response()
    assert got.status in (502, 504) and not got["retry-after"] and not got["server-seal"]
    assert proxy.log.counts["dispatches"] == sent + 1 and not proxy.pending()


@pytest.mark.parametrize("end", ["a Not-Run that names no request", "a 421 that names no request"])
def test_a_not_run_without_an_id_counts_on_a_fresh_connection(end):
    """Nothing else was ever asked there, so it can only be the answer to this request."""
    proxy = ProxyHarness(SERVERS)
    proxy.send_request(WRITE, body=b"1")
    first = proxy.pending_server()
    ENDS[end](proxy)
    assert proxy.pending_server() != first
    proxy.respond()
    assert proxy.response().status == 200


def test_a_request_whose_client_left_is_not_sent_again():
    """Whatever its server then says, nothing is sent again for it."""
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
    """Of a route in shares, the same try may be drawn to another service: it is not run there beside the first."""
    shares = [{"Service": "one", "Weight": 1}, {"Service": "two", "Weight": 1}]
    proxy = ProxyHarness(SERVERS | {"s9": ("two", "a1")}, rules=[*RULES, rule("/both/", "changing", shares=shares)])
    for k in range(12):  # the draws fall on both
        proxy.send_request("/both/x", method="POST", client=f"a{k}", body=b"1")
    assert proxy.log.counts["dispatches"] == 1
    assert [proxy.response(f"a{k}").status for k in range(1, 12)] == 11 * [409]


# ---- the rules on failures, tries and holding


@pytest.mark.parametrize("path", [READ, WRITE])
def test_a_failure_carries_the_seal_of_its_own_server(path):
    """MIXED: a sealed failure goes back with the status, seal and body that one server gave; our own have no seal."""
    proxy = ProxyHarness(SERVERS)
    proxy.send_request(path)
    said = []
    while proxy.pending():
        name = proxy.pending_server()
        status = 500 + len(said)
        said.append((status, f"seal-{name}", f"of {name}".encode()))
        proxy.respond(status=status, seal=said[-1][1], body=said[-1][2])
    proxy.wait(6000)
    got = proxy.response()
    if got["server-seal"]:
        assert (got.status, got["server-seal"], got.body) in said
    else:
        assert got.status in (502, 504)


@pytest.mark.parametrize("tries", [1, 2, 3])
@pytest.mark.parametrize("how", ["silent", "reset", "not run", "500"])
def test_no_more_servers_are_asked_than_the_route_has_attempts(tries, how):
    """BUDGET: copies of what is late, repeats of what failed and of what was turned away all count."""
    proxy = ProxyHarness(SERVERS, rules=[rule("/read/", tries=tries, give_up="4s")])
    for k in range(30):  # its usual time is known, so what is late gets copies
        proxy.send_request(try_id=f"w{k}", client=f"w{k}")
        proxy.wait(20)
        proxy.respond_to(f"w{k}")
    before = proxy.log.counts["dispatches"]
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
    assert len(seen) <= tries and proxy.log.counts["dispatches"] - before <= tries
    assert proxy.response().status in (500, 502, 503, 504)


@pytest.mark.parametrize("path", [READ, WRITE])
def test_every_request_is_answered_within_its_routes_time(path):
    """Neither by silence, nor by an answer that drips, nor by tries behind each other: it is told by GiveUp."""
    for way in ("silence", "drips", "again"):
        kind = "changing" if path == WRITE else "read_only"
        proxy = ProxyHarness(SERVERS, rules=[rule(path[:-1], kind, give_up="2s")])
        proxy.send_request(path, more="Time-Left-Ms: 60000\r\n")
        began, data, at = proxy.now, whole("t1", body=b"x" * 4000), 0
        while proxy.pipes["c"].data == b"" and proxy.now - began < 3000 * MS:
            proxy.wait(40)
            for name, pipe in list(proxy.pending().items()):
                if way == "drips":
                    pipe.feed(data[at : at + 40])
                    at += 40
                elif way == "again" and proxy.now - began > 400 * MS:
                    proxy.pipes[name].cut()
        assert proxy.response().status in (502, 504) and proxy.now - began <= 2040 * MS


# ---- around planned work


def test_planned_changes_cut_off_no_request():
    """LOST: a new configuration that drops the route, its service's servers leaving the list, an evacuation, SIGTERM:
    what was passed on by then gets its server's answer."""
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


# ---- anything at once


class Scene:
    """Clients that ask and leave, servers that answer, fail and mix up answers, all by chance, and a ledger of it."""

    ways = ("ok", "ok", "ok", "reset", "part", "not run", "421", "late", "extra", "500", "odd", "hang")

    def __init__(self, seed):
        self.proxy, self.draw = ProxyHarness(SERVERS | {"s5": ("one", "a2")}), random.Random(seed)
        self.asked, self.once = {}, set()  # client to the id that it waits for; ids of what may run only once
        self.sent, self.unrun = {}, {}  # id to the servers that it reached; id to how often it was turned away there
        self.seals = {}  # seal to the status that came with it

    def may_have_run(self, try_id):
        """At how many servers."""
        return len(self.sent.get(try_id, ())) - self.unrun.get(try_id, 0)

    def look(self):
        """Notes requests as they arrive; returns those that wait: (pipe, id)."""
        waiting = []
        for pipe in self.proxy.pending_connections():
            try_id = pipe.data.partition(b"Try-Id: ")[2].split(b"\r\n")[0].decode()
            if getattr(pipe, "noted", None) != try_id:
                pipe.noted = try_id
                self.sent.setdefault(try_id, []).append(pipe.name)
            waiting.append((pipe, try_id))
        return waiting

    def end(self, pipe, try_id):
        """What a server does with a request."""
        way, draw = self.draw.choice(self.ways), self.draw
        if way == "hang":
            return
        pipe.take()
        before, pipe.before, pipe.noted = getattr(pipe, "before", try_id), try_id, None
        if way == "reset":
            pipe.cut()
        elif way == "part":
            pipe.feed(whole(try_id)[: draw.randrange(1, len(whole(try_id)))])
            pipe.cut()
        elif way == "late" and before != try_id:  # a second answer to what was asked there before, and nothing else
            pipe.feed(draw.choice((whole(before), whole(before, 503, None, b"", NOT_RUN), whole(None, 421, None, b""))))
        elif way == "odd":
            pipe.feed(draw.choice((b"junk\r\n\r\n", whole(try_id, seal=None), whole(try_id, 503))))
        else:
            self.answer(pipe, try_id, way)

    def answer(self, pipe, try_id, way):
        """An answer to the very request."""
        if way in ("not run", "421"):
            self.unrun[try_id] = self.unrun.get(try_id, 0) + 1
            return pipe.feed(whole(try_id, 421, None, b"") if way == "421" else whole(try_id, 503, None, b"", NOT_RUN))
        seal = f"{try_id}/{pipe.name}"
        self.seals[seal] = 500 if way == "500" else 200
        return pipe.feed(
            whole(try_id, self.seals[seal], seal, try_id.encode()) + (whole(try_id) if way == "extra" else b"")
        )

    def check(self, client):
        """Whether the client has its answer, which must be its own."""
        try_id, got = self.asked[client], self.proxy.response(client)
        if got is None:
            return self.proxy.pipes[client].closed
        seal = got["server-seal"]
        assert got.status >= 400 if seal is None else self.seals[seal] == got.status
        if seal is not None:
            assert seal.startswith(f"{try_id}/") and got.body == try_id.encode()
        if got.status in PROMISES and try_id in self.once:
            assert not self.may_have_run(try_id), f"{try_id} was promised not to have run"
        return True

    def ask(self, client, try_id):
        path = self.draw.choice((READ, WRITE, PUT))
        if path != READ:
            self.once.add(try_id)
        self.asked[client] = try_id
        body = b"" if path == READ else b"x" * self.draw.choice((1, 3000))
        self.proxy.send_request(path, try_id=try_id, client=client, body=body)

    def step(self, client, try_id):
        if client not in self.asked:
            self.ask(client, try_id)
        if self.draw.random() < 0.05:
            self.proxy.pipes[self.draw.choice(list(self.asked))].cut()
        for pipe, at in self.look():
            if self.draw.random() < 0.5 and not pipe.closed:
                self.end(pipe, at)
                self.look()
        self.pass_by(self.draw.choice((1, 20, 120)))

    def pass_by(self, ms):
        self.proxy.wait(ms)
        self.look()
        self.asked = {client: try_id for client, try_id in self.asked.items() if not self.check(client)}


@pytest.mark.parametrize("seed", range(24))
def test_random_faults_keep_requests_once_only_and_answers_their_own(seed):
    """Requests under every end at once: what may run only once may have run at one server at most; a promise is given
    only for what ran nowhere; each answer is that of its own request, with a seal only where a server gave it."""
    scene = Scene(seed)
    for k in range(120):
        scene.step(f"c{k % 12}", f"r{k}")
    scene.pass_by(8000)
    assert len(scene.once) > 20 and scene.proxy.log.counts["resent"] > 2 and not scene.asked
    for try_id in scene.once:
        assert scene.may_have_run(try_id) <= 1, f"{try_id} may have run at {scene.sent[try_id]}"
