"""What becomes of a proxy's attempts at servers: what may have run, what has not, connections kept and dropped."""

import pytest
from proxy_fixtures import READ, TWO, WRITE, Quay, reset

GARBLED = b"HTP/1.1 200\x00 OK\r\n\r\n"


CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTry-Id: t1\r\nServer-Seal: x\r\n\r\nhalf"


UNENDED = b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nServer-Seal: x\r\n\r\nall of it?"


def silence(q):
    for pipe in q.out().values():
        pipe.take()
    q.wait(6000)


def cut_behind(data):
    def end(q):
        name = q.where()
        q.say_raw(data)
        q.pipes[name].cut()

    return end


# ends of a submission that was written, and what a client gets for them where nothing may be repeated
ENDS = {
    "reset": (reset, 502),
    "silence": (silence, 504),
    "garbled head": (lambda q: q.say_raw(GARBLED), 502),
    "answer cut": (cut_behind(CUT), 502),
    "answer ends with its connection": (cut_behind(UNENDED), 502),
    "answer stops": (lambda q: (q.say_raw(CUT), q.wait(3100)), 502),
    "a length that lies": (lambda q: q.say_raw(CUT.replace(b": 9", b": x")), 502),
    "no seal": (lambda q: q.reply(seal=None), 502),
    "wrong id": (lambda q: q.reply(tag="t0"), 502),
    "no id": (lambda q: q.reply(tag=None), 502),
    "encoded": (lambda q: q.reply(more="Content-Encoding: gzip\r\n"), 502),
    "500 of its own": (lambda q: q.reply(status=500, seal=None), 500),
    "504 of its own": (lambda q: q.reply(status=504, seal=None), 504),
    "503 that does not say that it has not run": (lambda q: q.reply(status=503, seal=None), 502),
    "429 that does not say so": (lambda q: q.reply(status=429, seal=None), 502),
    "408 that does not say so": (lambda q: q.reply(status=408, seal=None), 502),
    "Not-Run of another request": (lambda q: q.not_run(tag="t0"), 502),
    "421 of another request": (lambda q: q.reply(status=421, tag="t0", seal=None), 502),
}


@pytest.mark.parametrize("end", ENDS)
def test_may_have_run(end):
    """What may have run is told as such, and what must not be repeated goes nowhere else."""
    end, status = ENDS[end]
    q = Quay(TWO)
    q.ask(WRITE, body=b"x")
    end(q)
    q.wait(5000)
    got = q.got()
    assert got.status == status and not q.out() and q.log.counts["dispatches"] == 1
    assert status == 500 or not got["retry-after"]


def test_an_upload_is_not_repeated():
    q = Quay(TWO)
    q.ask("/put/x", body=b"x" * 20000)
    reset(q)
    assert q.got().status == 502 and not q.out()


@pytest.mark.parametrize("end", ENDS)
def test_reads_go_on(end):
    """A read goes to another server; when all fail it gets no promise that it has not run."""
    end, status = ENDS[end]
    q = Quay(TWO)
    q.ask()
    first = q.where()
    end(q)
    if end is not silence:
        assert q.where() != first
    while q.out():
        end(q)
    q.wait(6000)
    got = q.got()
    assert got.status in (status, 504) and not q.out() and q.log.counts["dispatches"] <= 3


def test_the_budget_of_further_tries():
    """However many fail, repeats stay within what they earn and a part of what the fleet may save up."""
    q = Quay(TWO)
    q.saved = False
    for k in range(400):  # calm: what is saved up has an end
        q.ask(tag=f"c{k}")
        q.reply(tag=f"c{k}")
        q.wait(20)
    for k in range(100):
        q.ask(client=f"f{k}", tag=f"f{k}")
        while q.out():
            reset(q)
        q.wait(20)
    terms, again = q.process_settings.guarantees, q.log.counts["resent"] + q.log.counts["copies"]
    assert 10 < again <= terms.retry_ratio * 100 + terms.extra_tries / 8


def not_run(q):
    q.not_run()


# what certainly did not run
UNRUN = {
    "Not-Run 503": not_run,
    "Not-Run 429": lambda q: q.not_run(status=429),
    "421": lambda q: q.reply(status=421, seal=None),
    "Not-Run 421": lambda q: q.not_run(status=421),
    "Not-Run without an id": lambda q: q.not_run(tag=None),
}


@pytest.mark.parametrize("path", (READ, WRITE))
@pytest.mark.parametrize("end", UNRUN)
def test_has_not_run(path, end):
    """What says that it has not run may go to another server, and answers what it was asked there."""
    q = Quay(TWO)
    q.ask(path)
    first = q.where()
    UNRUN[end](q)
    assert q.where() != first
    q.reply()
    assert q.got().status == 200


@pytest.mark.parametrize("path", (READ, WRITE))
def test_all_turn_it_away(path):
    """Not run anywhere: 503 with Retry-After at once, not held, after no more servers than the route's tries."""
    q = Quay(TWO | {"s3": ("one", "a1"), "s4": ("one", "a1"), "s5": ("one", "a1")})
    q.ask(path)
    for _ in range(3):
        q.not_run()
    got = q.got()
    assert got.status == 503 and float(got["retry-after"]) > 0 and not q.out()


def test_connects_that_fail():
    """Refused or never up: nothing was sent, so it goes elsewhere, whatever it is; and is promised not to have run."""
    q = Quay(TWO)
    q.ways["s1"] = "refuses"
    for k in range(6):
        q.ask(WRITE, tag=f"t{k}")
        assert q.where() == "s2"
        q.reply(tag=f"t{k}")
        assert q.got().status == 200
    q.pipes["s2"].cut()
    q.ways["s2"] = "refuses"
    q.ask(WRITE)
    assert q.got().status == 503
    q.ways["s1"] = q.ways["s2"] = "silent"
    q.ask(WRITE, tag="t9")
    q.wait(5000)
    assert q.got().status == 503
    q.ways.clear()
    q.settle()
    assert not q.out()  # what came up behind it sends nothing


def test_a_promise_after_another_end():
    """Not run at one server, unknown at the first: no promise."""
    q = Quay(TWO)
    q.ask()
    reset(q)
    for _ in range(2):
        if q.out():
            q.not_run()
    assert q.got().status == 502


def test_the_servers_failure_goes_back_when_nothing_better_comes():
    q = Quay(TWO)
    q.ask()
    q.reply(status=500, body=b"first", seal=None)
    reset(q)
    q.wait(5000)
    got = q.got()
    assert (got.status, got.body) == (500, b"first")


def test_bytes_behind_a_whole_answer():
    """They belong to no request: the answer stands, the connection goes, the next request finds a clean one."""
    for then in (b"junk", b"HTTP/1.1 200 OK\r\nTry-Id: t2\r\nServer-Seal: x\r\nContent-Length: 3\r\n\r\nbad"):
        q = Quay({"s1": ("one", "a1")})
        q.ask()
        old = q.pipes["s1"]
        q.reply(then=then)
        assert q.got().body == b"yes" and old.closed
        q.ask(tag="t2")
        assert q.pipes["s1"] is not old
        q.reply(tag="t2", body=b"good")
        assert q.got().body == b"good"


def test_bytes_on_an_idle_connection():
    """A late second answer, as what is unread there or as it comes: the connection goes before it can pass for
    another's."""
    q = Quay({"s1": ("one", "a1")})
    q.ask()
    q.reply()
    old = q.pipes["s1"]
    old.feed(b"HTTP/1.1 200 OK\r\nTry-Id: t2\r\nServer-Seal: x\r\nContent-Length: 3\r\n\r\nbad")
    assert old.closed
    q.ask(tag="t2")
    assert q.pipes["s1"] is not old


def test_connections_are_kept():
    """One after the other on the same connection, but not behind `Connection: close`, nor past the idle bound."""
    q = Quay({"s1": ("one", "a1")})
    for k in range(3):
        q.ask(tag=f"t{k}")
        q.reply(tag=f"t{k}", more="Connection: close\r\n" if k == 1 else "")
    assert q.log.counts["connects"] == 2
    q.wait(7500)
    for service_pool in q.request_proxy.service_pools.values():
        service_pool.connection_pool.sweep()
    assert q.pipes["s1"].closed


def test_keep_alive_is_heeded():
    """Guards requests against a server that closes an idle connection just as they are sent."""
    q = Quay({"s1": ("one", "a1")})
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
        q.wait(wait)
        q.ask(tag=f"t{k}")
        q.reply(tag=f"t{k}", more=f"Keep-Alive: {more}\r\n" if more else "")
        assert q.got().status == 200 and q.log.counts["connects"] == connects, k


def test_a_forgotten_connection_is_not_trusted_again():
    """A server that forgets idle connections without a word costs one request that may run once, not one for each of
    them."""
    q = Quay({"s1": ("one", "a1")})
    q.ask(WRITE)
    q.reply()
    assert q.got().status == 200
    q.wait(3000)
    q.ask(WRITE, tag="t2")
    reset(q)
    assert q.got().status == 502 and q.log.counts["connects"] == 1
    for tag, rest, connects in (
        ("t3", 0, 2),
        ("t4", 300, 2),
        ("t5", 500, 3),
        ("t6", 2000, 4),
        ("t7", 5500, 4),
    ):  # and is, later
        q.wait(rest)
        q.ask(WRITE, tag=tag)
        q.reply(tag=tag)
        assert q.got().status == 200 and q.log.counts["connects"] == connects, tag


def test_a_late_read_gets_a_copy():
    """Once what is usual is known: elsewhere, beside the first; one answer goes back, and the other is called off. What
    must run once never gets one."""
    q = Quay(TWO)
    for k in range(20):
        q.ask(READ, tag=f"r{k}", client="r")
        q.ask(WRITE, tag=f"w{k}", client="w")
        q.wait(50)
        q.answer(f"r{k}")
        q.answer(f"w{k}")
    q.got("r"), q.got("w")
    q.ask(READ, tag="r", client="r")
    q.ask(WRITE, tag="w", client="w")
    q.wait(1500)
    copies = [pipe for pipe in q.waiting() if b"Try-Id: r\r\n" in pipe.data]
    assert {pipe.name for pipe in copies} == {"s1", "s2"}
    assert sum(b"Try-Id: w\r\n" in pipe.data for pipe in q.waiting()) == 1
    copies[1].feed("HTTP/1.1 200 OK\r\nTry-Id: r\r\nServer-Seal: x\r\nContent-Length: 3\r\n\r\nyes")
    assert q.got("r").body == b"yes" and all(pipe.closed for pipe in copies if pipe is not copies[1])
    assert q.got("r") is None
