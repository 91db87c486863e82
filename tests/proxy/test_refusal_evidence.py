"""Each conclusion that an attempt was not executed is counted by its ground, and a refusal keeps its evidence."""

import pytest
from proxy_fixtures import SEC, WRITE, ProxyHarness

from rampfront.net.non_execution import NonExecution

ONE = {"s1": ("one", "a1")}


def refuse_connect(proxy):
    proxy.ways["s1"] = "refuses"
    proxy.send_request(WRITE)


def leave_connect_open(proxy):
    proxy.ways["s1"] = "silent"
    proxy.send_request(WRITE)


def drain_during_connect(proxy):
    proxy.ways["s1"] = "silent"
    proxy.send_request(WRITE)
    proxy.set_servers({"s1": ("one", "a1", "emptying")})
    proxy.ways.clear()
    proxy.settle()


def connect_after_the_deadline(proxy):
    proxy.ways["s1"] = "silent"
    proxy.send_request(WRITE)
    proxy.now += 5 * SEC  # the loop stands still: no timer has run
    proxy.ways.clear()
    proxy.settle()


def use_all_connections(proxy):
    pool = proxy.request_proxy.service_pools["one"].connection_pool
    pool.limits = pool.limits._replace(max_server_connections=0)
    proxy.send_request(WRITE)


def answer(status, try_id, more=""):
    def send(proxy):
        proxy.send_request(WRITE)
        proxy.respond(None, status, b"", try_id, None, more)

    return send


CASES = {
    NonExecution.NO_CONNECTION: use_all_connections,
    NonExecution.EXPIRED: connect_after_the_deadline,
    NonExecution.CONNECT_FAILED: refuse_connect,
    NonExecution.CONNECT_TIMED_OUT: leave_connect_open,
    NonExecution.DELISTED: drain_during_connect,
    NonExecution.REJECTED: answer(503, "t1", "Not-Run: 1\r\n"),
    NonExecution.REJECTED_UNNAMED: answer(503, None, "Not-Run: 1\r\n"),
    NonExecution.MISDIRECTED: answer(421, "t1"),
}


@pytest.mark.parametrize("ground", CASES, ids=lambda ground: ground.value)
def test_a_conclusion_that_nothing_ran_is_counted_by_its_ground(ground):
    proxy = ProxyHarness(ONE)
    CASES[ground](proxy)
    proxy.wait(400)
    assert set(CASES) == set(NonExecution)
    assert proxy.log.counts[f"unexecuted_{ground.value}"] >= 1
    counted = {name for name, count in proxy.log.counts.items() if name.startswith("unexecuted_") and count}
    assert counted == {f"unexecuted_{ground.value}"}


def test_a_refusal_keeps_the_evidence_of_each_written_attempt():
    proxy = ProxyHarness({"s1": ("one", "a1"), "s2": ("one", "a2")})
    proxy.send_request(WRITE)
    servers = []
    while proxy.pending():
        servers.append(proxy.pending_server())
        proxy.reject()
    assert proxy.response().status == 503
    (refusal,) = proxy.request_proxy.refusals
    assert refusal.try_id == b"t1" and [attempt.server_id for attempt in refusal.attempts] == servers
    assert {attempt.ground for attempt in refusal.attempts} == {NonExecution.REJECTED}
    assert str(refusal.attempts[0]) == f"{servers[0]}/1:rejected"


def test_a_refusal_without_a_written_attempt_is_not_kept():
    proxy = ProxyHarness(ONE)
    refuse_connect(proxy)
    assert proxy.response().status == 503 and not list(proxy.request_proxy.refusals)


def test_a_request_with_an_attempt_in_flight_is_never_refused():
    proxy = ProxyHarness(ONE)
    proxy.send_request(WRITE)
    (request,) = proxy.request_proxy.service_pools["one"].open_requests
    proxy.request_proxy.decline(request, 0)
    response = proxy.response()
    assert response.status == 502 and not response["retry-after"] and not proxy.quota.refunded
    assert proxy.log.counts["declined_in_flight"] == 1 and not proxy.log.counts["declined"]
