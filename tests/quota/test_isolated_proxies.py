"""Tests of isolated proxies: they use even shares, which the counter reserves for them."""

from random import Random

from quota_fixtures import SharedCounts, quotas_by_tenant

from rampfront.quota.counter_link import COUNTER_TIMEOUT_NS, STALE_NS
from rampfront.quota.limits import MS, SEC, QuotaRule, quota_of
from rampfront.quota.messages import PROXY_TIMEOUT_NS
from rampfront.quota.tenant_totals import usable_share
from rampfront.quota.update_schedule import NEVER


def test_an_unread_tenant_gets_an_even_share_until_the_first_reading():
    shared = SharedCounts("a", serving=10, acme=(40, 40))
    fresh = shared.new_limiter("z", 10)
    part = (40 + quota_of(40, 40, QuotaRule()).isolated_slack) / 10
    assert part - 1 < shared.take(fresh, 8) <= part + 1 < 8
    shared.now += 60 * MS
    shared.exchange(fresh)
    assert shared.take(fresh, 10) == 10


def test_a_tenant_that_a_configuration_adds_is_unread_too():
    shared = SharedCounts("a", serving=10)
    (a,) = shared.limiters
    shared.configuration = quotas_by_tenant(acme=(10, 10), late=(40, 40))
    for one in (shared.counter, a):
        one.set_quotas(shared.configuration, shared.now)
    assert shared.take(a, 8, "late") < 8 and shared.take(a, 8) == 8
    shared.now += 60 * MS
    shared.exchange(a)
    assert shared.take(a, 8, "late") == 8


def test_isolated_proxies_keep_to_the_rule_in_sum():
    """82 proxies become isolated one by one as a surge begins. An even share below one request is a probability."""
    quota = quota_of(27, 27, QuotaRule())
    shared = SharedCounts(*[f"n{i}" for i in range(82)], acme=(27, 27))
    random, times, until = Random(1), [], shared.now + 8 * SEC
    while shared.now < until:
        shared.now += 5 * MS
        for limiter in random.choices(shared.limiters, k=random.choice((0, 1, 1))):
            limiter.due_update(shared.now)
            times += [shared.now] * shared.take(limiter)
    most = max(sum(t - 5 * SEC < at <= t for at in times) for t in times)
    assert 60 < most <= (27 * 5 + 27) * 1.1 + 20
    assert all(limiter.is_isolated(shared.now) for limiter in shared.limiters) and quota.isolated_slack < quota.slack


def test_a_silent_counter_and_a_stale_contact_are_noticed():
    shared = SharedCounts("a", serving=4)
    (a,) = shared.limiters
    shared.take(a)
    shared.now += 60 * MS
    shared.exchange(a, answered=False)
    assert not a.is_isolated(shared.now + COUNTER_TIMEOUT_NS) and a.is_isolated(shared.now + COUNTER_TIMEOUT_NS + 1)
    shared.now += 200 * MS
    shared.exchange(a)
    a.link.schedule.next_at = NEVER
    assert not a.is_isolated(shared.now + STALE_NS) and a.is_isolated(shared.now + STALE_NS + 1)


def test_a_proxy_without_a_counter_goes_by_its_even_share():
    shared = SharedCounts("a", serving=10)
    (a,) = shared.limiters
    assert shared.take(a) and not a.is_isolated(shared.now)
    shared.now += COUNTER_TIMEOUT_NS + 100 * MS  # its update was due, but there was no counter to send it to
    assert a.is_isolated(shared.now) and shared.take(a, 9) < 3


def test_the_share_of_missing_proxies_is_left_to_them_but_not_that_of_idle_ones():
    shared = SharedCounts("a", "b", "c", "d", acme=(100, 100))
    quota = shared.counter.tenants["acme"].quota
    assert usable_share(quota, shared.counter.missing_share) == 1.0
    cut_off, shared.limiters = shared.limiters[2:], shared.limiters[:2]
    for limiter in shared.limiters:
        shared.take(limiter)
    for _ in range(3):
        shared.now += 2 * PROXY_TIMEOUT_NS // 5
        for limiter in shared.limiters:
            shared.take(limiter)
            shared.exchange(limiter)
    assert shared.counter.missing_share == 0.0  # they had reported that they were idle
    for limiter in cut_off:
        shared.take(limiter, 9)
        shared.now += 60 * MS
        shared.exchange(limiter)
    for _ in range(6):
        shared.now += 2 * PROXY_TIMEOUT_NS // 5
        for limiter in shared.limiters:
            shared.take(limiter)
            shared.exchange(limiter)
    assert shared.counter.missing_share == 0.5 and usable_share(quota, shared.counter.missing_share) == 0.5
