"""Which servers a proxy may send to: homes, evacuations, addresses, quotas, cold servers."""

from itertools import pairwise

import pytest
from proxy_fixtures import READ, SEC, TWO, WRITE, Quay, Quota, orders, reset

from rampfront.settings import configuration_reader


def test_homes():
    """Route and tenant both bind, whatever stands free elsewhere."""
    q = Quay({"s1": ("one", "a1"), "s2": ("one", "a2"), "s3": ("one", "b1"), "s4": ("one", "b1")})
    for path, key, allowed in (("/home/x", "ann-key", {"s1", "s2"}), (READ, "bea-key", {"s3", "s4"})):
        seen = set()
        for k in range(12):
            q.ask(path, key=key, client=f"c{k}", tag=f"{path}{k}")
            seen |= set(q.out())
        assert seen and seen <= allowed
        for name in seen:
            q.reply(name, tag=None)  # fails: the next try stays at home too
        assert set(q.out()) <= allowed
        for k in range(12):
            q.client(f"c{k}").cut()
        q.wait(100)
    q.ask("/home/x", key="bea-key", client="d")  # no zone is a home of both
    assert q.got("d").status == 503


def test_emptying_servers_get_nothing():
    q = Quay(TWO)
    q.list({"s1": ("one", "a1", "emptying"), "s2": ("one", "a2")})
    for k in range(8):
        q.ask(client=f"c{k}", tag=f"t{k}")
    assert set(q.out()) == {"s2"}
    q = Quay(TWO)
    q.list({"s1": ("one", "a1", "emptying"), "s2": ("one", "a2", "emptying")})
    q.ask()
    assert q.got().status == 503 and not q.client_front.ready()


def empty(q):
    q.list({"s1": ("one", "a1", "emptying")})


def evacuate(q):
    q.request_proxy.apply_evacuations(frozenset(["a1"]))


def gone(q):
    q.list({"s2": ("two", "a1")})


@pytest.mark.parametrize("ends", (empty, evacuate, gone))
def test_nothing_is_sent_behind_a_connect(ends):
    """The connect was waiting when its server's use ended: it comes up and sends nothing, and what ran before ends
    well."""
    q = Quay({"s1": ("one", "a1")})
    q.ask(client="old", tag="t0")
    running = q.pipes["s1"]
    q.ways["s1"] = "silent"
    q.ask(WRITE)
    ends(q)
    q.ways.clear()
    q.settle()
    assert set(q.out().values()) == {running}
    q.wait(5000)
    assert q.got().status == 503


def test_evacuation():
    """Nothing more to a zone that is emptied, what is idle there is closed; what runs there ends; taken back, it
    serves."""
    q = Quay(TWO)
    q.request_proxy.apply_evacuations(frozenset(["a2"]))
    for k in range(8):
        q.ask(client=f"c{k}", tag=f"t{k}")
    assert set(q.out()) == {"s1"}
    q = Quay({"s1": ("one", "a1")})
    q.ask()
    q.request_proxy.apply_evacuations(frozenset(["a1"]))
    q.reply()
    assert q.got().status == 200 and q.pipes["s1"].closed
    q.ask(tag="t2")
    assert q.got().status == 503
    q.list({"s1": ("one", "a1"), "s2": ("one", "a1")})  # a new list does not undo it
    q.ask(tag="t2")
    assert q.got().status == 503
    q.request_proxy.apply_evacuations(frozenset())
    q.wait(3100)  # its servers may have become cold
    q.ask(tag="t3")
    assert q.out()


def test_a_reused_address():
    """A 421 says that another server has the address: it goes elsewhere, that server is asked no more, and its idle
    connections are closed, until the list says something new of it."""
    q = Quay(TWO)
    q.ask()
    gone = q.where()
    q.reply(status=421, seal=None)
    assert q.where() != gone
    q.reply()
    for k in range(8):
        q.ask(client=f"c{k}", tag=f"t{k}")
    assert len(q.out()) == 1 and gone not in q.out()
    assert q.log.counts["misplaced"] == 1 and q.log.counts["unseen"] == 1
    q.list({"s1": ("one", "a1"), "s2": ("one", "a2")}, at={gone: 9100})
    for k in range(8):
        q.ask(client=f"d{k}", tag=f"u{k}")
    assert gone in q.out()


def test_another_address_of_the_same_name():
    """Connections to where a server stood are not used for where it stands now."""
    q = Quay({"s1": ("one", "a1")})
    q.ask()
    q.reply()
    old = q.pipes["s1"]
    q.list({"s1": ("one", "a1")}, at={"s1": 9100})
    assert old.closed
    q.ask(tag="t2")
    assert q.pipes["s1"] is not old


def test_quota():
    """Beyond it 429 and when to come back, nothing sent; routes without a tenant are not counted."""
    q = Quay(TWO, quota=Quota(1))
    q.ask()
    q.reply()
    assert q.got().status == 200
    q.ask(tag="t2")
    got = q.got()
    assert got.status == 429 and got["retry-after"] == "0.700" and not q.out()
    q.ask("/free/x", tag="t3", key=None)
    assert q.out()


@pytest.mark.parametrize("end,back", (("refused", 1), ("Not-Run", 1), ("ran", 0), ("unknown", 0), ("no server", 0)))
def test_quota_is_given_back(end, back):
    """What did not run anywhere does not use the quota up; what may have does."""
    q = Quay(TWO)
    if end == "refused":
        q.ways["s1"] = q.ways["s2"] = "refuses"
    if end == "no server":
        q.list({})
    q.ask(WRITE)
    if end == "Not-Run":
        while q.out():
            q.not_run()
    elif end == "ran":
        q.reply()
    elif end == "unknown":
        reset(q)
    assert q.got().status == {"ran": 200, "unknown": 502}.get(end, 503)
    assert len(q.quota.back) == back and (end != "no server" or q.quota.left == 1000)


def test_a_server_is_cold_for_as_long_as_its_service_says():
    q = Quay()
    configuration = configuration_reader.read(orders().replace(b'"3s"', b'"6s"')).ok_value
    q.client_front.apply_caps(configuration.caps)
    q.request_proxy.apply_configuration(configuration)
    q.list({"s1": ("one", "a1")}, cold={"s1": 6000})
    node = q.request_proxy.service_pools["one"].driver.node
    (server,) = node.servers.values()
    for tag, wait, cold in (("t1", 4000, True), ("t2", 2500, False)):
        q.wait(wait)
        q.ask(tag=tag)
        assert (node.ready(server) < 1.0) is cold, tag


@pytest.mark.parametrize("back", (False, True))
def test_a_cold_server(back):
    """It gets this proxy's part of what it bears, in any second, and its full share once it is warm. So does one whose
    zone is taken back: it may have become cold, and the list tells that late."""
    warm = {f"s{k}": ("one", "a1") for k in range(1, 5)}
    q, came = Quay(warm), []
    if back:
        q.request_proxy.apply_evacuations(frozenset(["a2"]))
        q.list(warm | {"s9": ("one", "a2")})
    for k in range(400):
        if k == 100:
            q.request_proxy.apply_evacuations(frozenset()) if back else q.list(
                warm | {"s9": ("one", "a1")}, cold={"s9": 3000}
            )
        q.ask(tag=f"t{k}")
        if q.where() == "s9":
            came.append(q.now / SEC)
        q.wait(10)
        q.answer(f"t{k}")
        q.wait(10)
    early = [at for at in came if at < 5]
    assert len(early) <= 3 and all(b - a >= 1 for a, b in pairwise(early))
    assert sum(at > 5.1 for at in came) > 15


@pytest.mark.parametrize("load", ("3,0,8", "3,0", "3,0,0", "a,b,c", "-1,0,8", "1e9,0,8", "99999999,0,8", "", "3, 0, 8"))
def test_what_answers_tell_of_their_server(load):
    """Odd figures are left alone: the answer stands, and the next request is served."""
    q = Quay({"s1": ("one", "a1")})
    for k in range(3):
        q.ask(tag=f"t{k}")
        q.reply(tag=f"t{k}", more=f"Server-Load: {load}\r\n")
        assert q.got().status == 200
    assert not q.log.counts["faults"] and not q.log.counts["odd_answers"]
