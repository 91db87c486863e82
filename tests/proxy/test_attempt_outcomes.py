"""Outcomes of attempts: which may have been executed, which were not, and the response to the client."""

import pytest
from proxy_fixtures import READ, TWO_SERVERS, WRITE, ProxyHarness, reset

GARBLED = b"HTP/1.1 200\x00 OK\r\n\r\n"


CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTry-Id: t1\r\nServer-Seal: x\r\n\r\nhalf"


UNENDED = b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nServer-Seal: x\r\n\r\nall of it?"


def silence(proxy):
    for pipe in proxy.pending().values():
        pipe.take()
    proxy.wait(6000)


def cut_behind(data):
    def end(proxy):
        name = proxy.pending_server()
        proxy.respond_raw(data)
        proxy.pipes[name].cut()

    return end


# Outcomes of an attempt whose request was written, and the client's status if the request must not be retried.
ENDS = {
    "reset": (reset, 502),
    "silence": (silence, 504),
    "garbled head": (lambda proxy: proxy.respond_raw(GARBLED), 502),
    "answer cut": (cut_behind(CUT), 502),
    "answer ends with its connection": (cut_behind(UNENDED), 502),
    "answer stops": (lambda proxy: (proxy.respond_raw(CUT), proxy.wait(3100)), 502),
    "a length that lies": (lambda proxy: proxy.respond_raw(CUT.replace(b": 9", b": x")), 502),
    "no seal": (lambda proxy: proxy.respond(seal=None), 502),
    "wrong id": (lambda proxy: proxy.respond(try_id="t0"), 502),
    "no id": (lambda proxy: proxy.respond(try_id=None), 502),
    "encoded": (lambda proxy: proxy.respond(more="Content-Encoding: gzip\r\n"), 502),
    "500 of its own": (lambda proxy: proxy.respond(status=500, seal=None), 500),
    "504 of its own": (lambda proxy: proxy.respond(status=504, seal=None), 504),
    "503 that does not say that it has not run": (lambda proxy: proxy.respond(status=503, seal=None), 502),
    "429 that does not say so": (lambda proxy: proxy.respond(status=429, seal=None), 502),
    "408 that does not say so": (lambda proxy: proxy.respond(status=408, seal=None), 502),
    "Not-Run of another request": (lambda proxy: proxy.reject(try_id="t0"), 502),
    "421 of another request": (lambda proxy: proxy.respond(status=421, try_id="t0", seal=None), 502),
}


@pytest.mark.parametrize("end", ENDS)
def test_what_may_have_run_and_must_not_repeat_is_not_retried(end):
    """The response does not promise that the request was not executed, and no other server gets it."""
    end, status = ENDS[end]
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request(WRITE, body=b"x")
    end(proxy)
    proxy.wait(5000)
    response = proxy.response()
    assert response.status == status and not proxy.pending() and proxy.log.counts["dispatches"] == 1
    assert status == 500 or not response["retry-after"]


def test_an_upload_is_not_retried():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request("/put/x", body=b"x" * 20000)
    reset(proxy)
    assert proxy.response().status == 502 and not proxy.pending()


@pytest.mark.parametrize("end", ENDS)
def test_a_read_is_retried_at_another_server(end):
    """If all attempts fail, the response does not promise that the request was not executed."""
    end, status = ENDS[end]
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request()
    first = proxy.pending_server()
    end(proxy)
    if end is not silence:
        assert proxy.pending_server() != first
    while proxy.pending():
        end(proxy)
    proxy.wait(6000)
    response = proxy.response()
    assert response.status in (status, 504) and not proxy.pending() and proxy.log.counts["dispatches"] <= 3


def not_run(proxy):
    proxy.reject()


# Outcomes after which the request certainly was not executed.
NOT_EXECUTED_ENDS = {
    "Not-Run 503": not_run,
    "Not-Run 429": lambda proxy: proxy.reject(status=429),
    "421": lambda proxy: proxy.respond(status=421, seal=None),
    "Not-Run 421": lambda proxy: proxy.reject(status=421),
    "Not-Run without an id": lambda proxy: proxy.reject(try_id=None),
}


@pytest.mark.parametrize("path", (READ, WRITE))
@pytest.mark.parametrize("end", NOT_EXECUTED_ENDS)
def test_what_has_not_run_is_retried_at_another_server(path, end):
    """After a rejection that states so, another server gets the request, and its response is returned."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request(path)
    first = proxy.pending_server()
    NOT_EXECUTED_ENDS[end](proxy)
    assert proxy.pending_server() != first
    proxy.respond()
    assert proxy.response().status == 200


@pytest.mark.parametrize("path", (READ, WRITE))
def test_a_request_that_all_servers_reject_is_declined_at_once(path):
    """503 with Retry-After at once, without queueing, after no more servers than the route's attempts."""
    proxy = ProxyHarness(TWO_SERVERS | {"s3": ("one", "a1"), "s4": ("one", "a1"), "s5": ("one", "a1")})
    proxy.send_request(path)
    for _ in range(3):
        proxy.reject()
    response = proxy.response()
    assert response.status == 503 and float(response["retry-after"]) > 0 and not proxy.pending()


def test_failed_connects_are_retried_at_another_server():
    """Nothing was sent, so any request is retried; if all connects fail, the response says that it was not executed."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.ways["s1"] = "refuses"
    for k in range(6):
        proxy.send_request(WRITE, try_id=f"t{k}")
        assert proxy.pending_server() == "s2"
        proxy.respond(try_id=f"t{k}")
        assert proxy.response().status == 200
    proxy.pipes["s2"].cut()
    proxy.ways["s2"] = "refuses"
    proxy.send_request(WRITE)
    assert proxy.response().status == 503
    proxy.ways["s1"] = proxy.ways["s2"] = "silent"
    proxy.send_request(WRITE, try_id="t9")
    proxy.wait(5000)
    assert proxy.response().status == 503
    proxy.ways.clear()
    proxy.settle()
    assert not proxy.pending()  # connections that are established later carry no request


def test_an_attempt_that_may_have_run_forbids_the_promise_that_none_has():
    """The first attempt is uncertain and the next is rejected: 502, which promises nothing."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request()
    reset(proxy)
    for _ in range(2):
        if proxy.pending():
            proxy.reject()
    assert proxy.response().status == 502


def test_a_servers_failure_is_returned_when_nothing_better_comes():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.send_request()
    proxy.respond(status=500, body=b"first", seal=None)
    reset(proxy)
    proxy.wait(5000)
    response = proxy.response()
    assert (response.status, response.body) == (500, b"first")
