"""How attempts at servers end: what may have run, what has not, and what the client is told of it."""

import pytest
from proxy_fixtures import READ, TWO_SERVERS, WRITE, ProxyHarness, reset

GARBLED = b"HTP/1.1 200\x00 OK\r\n\r\n"


CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTry-Id: t1\r\nServer-Seal: x\r\n\r\nhalf"


UNENDED = b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nServer-Seal: x\r\n\r\nall of it?"


def silence(proxy):
    for pipe in proxy.out().values():
        pipe.take()
    proxy.wait(6000)


def cut_behind(data):
    def end(proxy):
        name = proxy.where()
        proxy.say_raw(data)
        proxy.pipes[name].cut()

    return end


# ends of a submission that was written, and what a client gets for them where nothing may be repeated
ENDS = {
    "reset": (reset, 502),
    "silence": (silence, 504),
    "garbled head": (lambda proxy: proxy.say_raw(GARBLED), 502),
    "answer cut": (cut_behind(CUT), 502),
    "answer ends with its connection": (cut_behind(UNENDED), 502),
    "answer stops": (lambda proxy: (proxy.say_raw(CUT), proxy.wait(3100)), 502),
    "a length that lies": (lambda proxy: proxy.say_raw(CUT.replace(b": 9", b": x")), 502),
    "no seal": (lambda proxy: proxy.reply(seal=None), 502),
    "wrong id": (lambda proxy: proxy.reply(tag="t0"), 502),
    "no id": (lambda proxy: proxy.reply(tag=None), 502),
    "encoded": (lambda proxy: proxy.reply(more="Content-Encoding: gzip\r\n"), 502),
    "500 of its own": (lambda proxy: proxy.reply(status=500, seal=None), 500),
    "504 of its own": (lambda proxy: proxy.reply(status=504, seal=None), 504),
    "503 that does not say that it has not run": (lambda proxy: proxy.reply(status=503, seal=None), 502),
    "429 that does not say so": (lambda proxy: proxy.reply(status=429, seal=None), 502),
    "408 that does not say so": (lambda proxy: proxy.reply(status=408, seal=None), 502),
    "Not-Run of another request": (lambda proxy: proxy.not_run(tag="t0"), 502),
    "421 of another request": (lambda proxy: proxy.reply(status=421, tag="t0", seal=None), 502),
}


@pytest.mark.parametrize("end", ENDS)
def test_what_may_have_run_and_must_not_repeat_is_not_retried(end):
    """What may have run is told as such, and what must not be repeated goes nowhere else."""
    end, status = ENDS[end]
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ask(WRITE, body=b"x")
    end(proxy)
    proxy.wait(5000)
    got = proxy.got()
    assert got.status == status and not proxy.out() and proxy.log.counts["dispatches"] == 1
    assert status == 500 or not got["retry-after"]


def test_an_upload_is_not_retried():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ask("/put/x", body=b"x" * 20000)
    reset(proxy)
    assert proxy.got().status == 502 and not proxy.out()


@pytest.mark.parametrize("end", ENDS)
def test_a_read_is_retried_at_another_server(end):
    """A read goes to another server; when all fail it gets no promise that it has not run."""
    end, status = ENDS[end]
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ask()
    first = proxy.where()
    end(proxy)
    if end is not silence:
        assert proxy.where() != first
    while proxy.out():
        end(proxy)
    proxy.wait(6000)
    got = proxy.got()
    assert got.status in (status, 504) and not proxy.out() and proxy.log.counts["dispatches"] <= 3


def not_run(proxy):
    proxy.not_run()


# what certainly did not run
UNRUN = {
    "Not-Run 503": not_run,
    "Not-Run 429": lambda proxy: proxy.not_run(status=429),
    "421": lambda proxy: proxy.reply(status=421, seal=None),
    "Not-Run 421": lambda proxy: proxy.not_run(status=421),
    "Not-Run without an id": lambda proxy: proxy.not_run(tag=None),
}


@pytest.mark.parametrize("path", (READ, WRITE))
@pytest.mark.parametrize("end", UNRUN)
def test_what_has_not_run_is_retried_at_another_server(path, end):
    """What says that it has not run may go to another server, and answers what it was asked there."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ask(path)
    first = proxy.where()
    UNRUN[end](proxy)
    assert proxy.where() != first
    proxy.reply()
    assert proxy.got().status == 200


@pytest.mark.parametrize("path", (READ, WRITE))
def test_a_request_that_all_servers_reject_is_declined_at_once(path):
    """Not run anywhere: 503 with Retry-After at once, not held, after no more servers than the route's tries."""
    proxy = ProxyHarness(TWO_SERVERS | {"s3": ("one", "a1"), "s4": ("one", "a1"), "s5": ("one", "a1")})
    proxy.ask(path)
    for _ in range(3):
        proxy.not_run()
    got = proxy.got()
    assert got.status == 503 and float(got["retry-after"]) > 0 and not proxy.out()


def test_failed_connects_are_retried_at_another_server():
    """Refused or never up: nothing was sent, so it goes elsewhere, whatever it is; and is promised not to have run."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ways["s1"] = "refuses"
    for k in range(6):
        proxy.ask(WRITE, tag=f"t{k}")
        assert proxy.where() == "s2"
        proxy.reply(tag=f"t{k}")
        assert proxy.got().status == 200
    proxy.pipes["s2"].cut()
    proxy.ways["s2"] = "refuses"
    proxy.ask(WRITE)
    assert proxy.got().status == 503
    proxy.ways["s1"] = proxy.ways["s2"] = "silent"
    proxy.ask(WRITE, tag="t9")
    proxy.wait(5000)
    assert proxy.got().status == 503
    proxy.ways.clear()
    proxy.settle()
    assert not proxy.out()  # what came up behind it sends nothing


def test_an_attempt_that_may_have_run_forbids_the_promise_that_none_has():
    """Not run at one server, unknown at the first: no promise."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ask()
    reset(proxy)
    for _ in range(2):
        if proxy.out():
            proxy.not_run()
    assert proxy.got().status == 502


def test_a_servers_failure_is_returned_when_nothing_better_comes():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ask()
    proxy.reply(status=500, body=b"first", seal=None)
    reset(proxy)
    proxy.wait(5000)
    got = proxy.got()
    assert (got.status, got.body) == (500, b"first")
