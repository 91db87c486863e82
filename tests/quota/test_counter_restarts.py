"""Tests of counters and proxies that restart or move: full counts, incarnations, deregistration."""

from random import Random

import pytest
from quota_fixtures import SharedCounts

from rampfront.quota.codec import encode_deregistration
from rampfront.quota.limits import MS
from rampfront.quota.messages import Deregistration
from rampfront.quota.proxy_registry import FormerIncarnationError


def test_a_new_counter_gets_full_counts_and_a_former_one_counts_them_once():
    shared = SharedCounts("a", "b")
    for limiter in shared.limiters:
        shared.take(limiter, 4)
    shared.now += 60 * MS
    [shared.exchange(limiter) for limiter in shared.limiters]
    old, shared.counter = shared.counter, shared.new_counter(8)
    for counter, incarnation in ((shared.counter, 8), (old, 7)):
        shared.counter = counter
        for limiter in shared.limiters:
            limiter.link.switch_counter(shared.now)
        shared.now += 60 * MS
        [shared.exchange(limiter) for limiter in shared.limiters]
        assert shared.total() == 8 and all(
            limiter.link.counter_incarnation == incarnation and not limiter.is_isolated(shared.now)
            for limiter in shared.limiters
        )
        assert shared.counter.tenants["acme"].remaining <= 10 - 8 + 2  # a second burst is not admitted


def test_a_proxy_that_said_farewell_is_missing_at_once_and_its_late_updates_count_once():
    shared = SharedCounts("a", "b", serving=2)
    a, b = shared.limiters
    shared.take(a, 4)
    shared.now += 60 * MS
    late, _ = shared.exchange(a)
    shared.deliver("a", encode_deregistration(Deregistration(a.link.incarnation + 1)))  # another incarnation: ignored
    assert shared.counter.missing_share == 0
    assert shared.deliver("a", encode_deregistration(Deregistration(a.link.incarnation))) is None
    assert shared.counter.missing_share == 0.5
    shared.deliver("a", late)
    assert shared.total() == 4


def test_a_restarted_counter_is_known_by_its_incarnation():
    shared = SharedCounts("a")
    (a,) = shared.limiters
    shared.take(a, 6)
    shared.now += 60 * MS
    shared.exchange(a)
    shared.counter = shared.new_counter(9)
    shared.take(a)
    shared.now += 30 * MS
    a.link.update_by(shared.now)
    shared.exchange(a)
    shared.now += 60 * MS
    shared.exchange(a)
    assert a.link.counter_incarnation == 9 and shared.total() == 7


def test_messages_of_a_proxys_former_incarnation_are_rejected():
    shared = SharedCounts("a")
    (a,) = shared.limiters
    shared.take(a, 3)
    shared.now += 60 * MS
    stray, _ = shared.exchange(a)
    shared.limiters[0] = again = shared.new_limiter("a", 1)
    again.random = again.link.random = again.link.schedule.random = Random(5)
    again.link.incarnation = a.link.incarnation + 1
    shared.now += 60 * MS
    shared.exchange(again)
    assert not again.is_isolated(shared.now)
    with pytest.raises(FormerIncarnationError):
        shared.deliver("a", stray)
    assert shared.total() == 3
