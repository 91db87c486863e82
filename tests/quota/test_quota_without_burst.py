"""Tests of tenants without burst: the window is the rule's own, counted by slots."""

import pytest
from quota_fixtures import T0, SharedCounts

from rampfront.quota.limits import MS, SEC, QuotaRule, quota_of


@pytest.mark.parametrize("bursts", [{0: 34}, {0: 17, 2500: 17}, {n: 4 for n in range(0, 5000, 500)}])
def test_without_burst_nothing_within_quota_is_rejected_and_the_rule_holds(bursts):
    shared = SharedCounts("a", acme=(8, 0))
    (a,) = shared.limiters
    shared.run(6)
    begun, span = shared.now, 5600 * MS  # QuotaWindow, and the lag of slots and readings
    for turn in range(4):
        for at, requests in bursts.items():
            shared.run((begun + turn * span + at * MS - shared.now) / SEC)
            admitted = shared.take(a, requests)
            for _ in range(3 * (admitted < requests)):  # the remaining quota rose since the last reading: retry
                shared.run(0.2)
                admitted += shared.take(a, requests - admitted)
            assert admitted == requests
    times = []
    for _ in range(600):
        shared.now += 20 * MS
        times += [shared.now] * shared.take(a, 3)
        shared.exchange(a)
    assert max(sum(t - 5 * SEC < at <= t for at in times) for t in times) <= 8 * 5 * 1.1 + 20


def test_without_burst_a_surge_leaves_a_reserve_for_proxies_just_cut_off():
    shared = SharedCounts("a", acme=(27, 0))
    (a,) = shared.limiters

    def surge(seconds):
        admitted, until = 0, shared.now + int(seconds * SEC)
        while shared.now < until:
            shared.now += 20 * MS
            admitted += shared.take(a, 6)
            shared.exchange(a)
        return admitted

    shared.run(6)
    quota = quota_of(27, 0, QuotaRule())
    first = surge(0.9)
    assert first <= quota.limit + quota.connected_slack - (quota.limit / 3 - 0.6 * quota.slack) + 6
    assert quota.limit - 6 <= first + surge(1.5) <= quota.limit + quota.connected_slack + 1


def test_without_burst_a_new_counter_without_known_proxies_admits_nothing_for_a_window():
    """After all restarted in a surge, only a proxy that was running before has counts, and the counter trusts them."""
    shared = SharedCounts("a", acme=(27, 0), now=T0)
    shared.run(6)
    for age, least, most in ((10.0, 50, 141), (0.0, 0, 15)):
        shared.counter = shared.new_counter(8)
        shared.counter.set_proxy_count(1)
        a = shared.new_limiter("a", 1) if not age else shared.limiters[0]
        a.link.switch_counter(shared.now)
        admitted = 0
        for _ in range(100):
            shared.now += 20 * MS
            admitted += shared.take(a, 6)
            shared.exchange(a)
        assert least <= admitted <= most


def test_without_burst_full_counts_age_from_the_end_of_their_window():
    shared = SharedCounts("a", acme=(27, 0))
    (a,) = shared.limiters
    shared.run((5 * SEC - shared.now % (5 * SEC) + 4 * SEC) / SEC)  # a second before the end of a window
    assert shared.take(a, 90) == 90
    shared.run(3.5)
    shared.counter = shared.new_counter(8)
    shared.counter.set_proxy_count(1)
    a.link.switch_counter(shared.now)
    shared.run(0.2)
    totals = shared.counter.tenants["acme"]
    assert totals.update_remaining(shared.now, shared.counter.missing_share) <= 45
    shared.now += 2800 * MS  # a QuotaWindow and a slot after that end
    assert totals.update_remaining(shared.now, shared.counter.missing_share) >= 0.9 * 135
