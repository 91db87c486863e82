"""Tests of the choice of a proxy's counter: rank, failover and return."""

from random import Random

from quota_fixtures import T0, CounterNetwork

from rampfront.quota.counter_placement import (
    ANSWER_TIMEOUT_NS,
    FAILOVER_TIMEOUT_NS,
    MAX_ANSWERS,
    STALL_NS,
    CounterPlacement,
)
from rampfront.quota.limiter import Limiter
from rampfront.quota.limits import MS, SEC


def test_all_proxies_rank_the_members_alike_and_those_that_do_not_serve_last():
    ips = [f"127.0.0.{n}" for n in range(2, 8)]
    first, other = (CounterPlacement(Limiter("a", Random(n), now=T0).link) for n in (1, 2))
    first.rank(T0, ips, set(ips)), other.rank(T0, reversed(ips), set(ips))
    assert first.ranked == other.ranked and first.counter_ip == first.ranked[0] and sorted(first.ranked) == ips
    other.rank(T0, ips, set(ips) - {first.counter_ip})
    assert other.ranked == (*first.ranked[1:], first.counter_ip) and other.counter_ip == first.ranked[1]
    assert CounterPlacement(Limiter("b", Random(3), now=T0).link).rank(T0, [], set()) == ()


def test_a_silent_counter_fails_over_with_full_counts_and_is_returned_to_once_it_answers():
    network = CounterNetwork("a", "b", "c")
    assert network.counter_ips() == ["m1"] * 3
    network.unreachable.add("m1")
    admitted = sum(limiter.take("acme", network.now) is None for limiter in network.limiters.values() for _ in range(2))
    begun = network.now
    network.run((60 * MS + FAILOVER_TIMEOUT_NS + 200 * MS) / SEC)
    totals = network.counters["m2"].tenants["acme"]
    assert network.counter_ips() == ["m2"] * 3 and totals.current.count + totals.previous.count == admitted == 6
    network.run(1.0)
    assert (
        not any(limiter.is_isolated(network.now) for limiter in network.limiters.values())
        and network.deregistrations == 3
    )
    assert network.counters["m2"].missing_share == 0
    network.unreachable.clear()
    network.run(
        2.0, lambda now: [limiter.take("acme", now) for limiter in network.limiters.values() if now % (500 * MS) == 0]
    )
    assert network.counter_ips() == ["m1"] * 3 and network.deregistrations == 6 and network.now - begun < 5 * SEC
    # Each counter counts as missing the proxies that it does not hear from, at once.
    assert network.counters["m2"].missing_share == 1 and network.counters["m1"].missing_share == 0


def test_a_counter_that_answers_only_probes_is_tried_less_and_less():
    network = CounterNetwork("a", members=("m1", "m2"))
    network.answers_probes_only.add("m1")
    network.run(60, lambda now: now % (200 * MS) or network.limiters["a"].take("acme", now))
    assert 2 < network.deregistrations < 25 and network.placements["a"].answers_needed == MAX_ANSWERS


def test_late_probe_answers_do_not_bring_a_proxy_back():
    """A counter that was suspended answers all earlier probes at once when it resumes."""
    network = CounterNetwork("a", members=("m1", "m2"))
    placement, ip = network.placements["a"], "m2"
    placement.switch_to(network.now, ip)
    for late in (300 * MS,) * 6 + (20 * MS,) * 3:
        assert placement.counter_ip == ip
        network.now += SEC
        ((probed, probe),) = placement.tick(network.now)
        placement.receive(network.now + late, probed, probe)
    assert placement.counter_ip == "m1"


def test_a_proxy_that_nobody_answers_backs_off():
    network = CounterNetwork("a")
    network.unreachable.update(network.counters)
    network.run(5, lambda now: now % (200 * MS) or network.limiters["a"].take("acme", now))
    early, network.sent = network.sent, 0
    network.run(20)
    assert network.sent < 3 * early and network.deregistrations < 3 + 3 + 20 // 2 + 1


def test_a_proxy_that_stood_still_itself_keeps_its_counter():
    network = CounterNetwork("a")
    network.limiters["a"].take("acme", network.now)
    while not network.limiters["a"].link.pending:
        network.run(0.01)
    network.now += STALL_NS + ANSWER_TIMEOUT_NS  # its answer is not read yet
    assert network.placements["a"].tick(network.now) == ()
    network.run(0.1)
    assert network.counter_ips() == ["m1"] and not network.limiters["a"].is_isolated(network.now)


def test_a_proxy_brings_its_share_of_a_quota_once():
    """A proxy that moves is credited with the part of its share that the counter did not give out meanwhile; a proxy
    that has just started is not."""
    network = CounterNetwork("a", "b", "c", "d", acme=(40, 40))
    for name in "abcd":
        network.rank(name, {"m2", "m3"})
    network.run(0.2)
    totals = network.counters["m2"].tenants["acme"]
    # The bucket is not empty, since all proxies reported that they admitted nothing.
    assert network.counter_ips() == ["m2"] * 4 and totals.remaining > 0.88 * 40
    for limiter in network.limiters.values():
        while limiter.take("acme", network.now) is None:
            pass
    network.run(0.1)
    low = totals.update_remaining(network.now, network.counters["m2"].missing_share)
    assert low < 5
    for _ in range(4):  # back and forth
        for serving in ({"m1"}, {"m2"}):
            network.rank("a", serving)
            network.run(0.05)
    assert totals.update_remaining(network.now, network.counters["m2"].missing_share) < low + 40 * 0.4 + 1
    recent = CounterNetwork("a", "b", acme=(40, 40), age=0.1)
    recent.rank("a", {"m2"}), recent.rank("b", {"m2"})
    recent.run(0.1)
    assert recent.counters["m2"].tenants["acme"].remaining < 40 * 0.35
