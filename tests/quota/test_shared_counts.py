"""Tests of counting over several proxies: sliding windows, updates, announcements, changed quotas."""

from random import Random

from quota_fixtures import SharedCounts, quotas_by_tenant, transmitted

from rampfront.quota.codec import TOTALS, UNSOLICITED
from rampfront.quota.counter import ANNOUNCEMENT_INTERVAL_NS
from rampfront.quota.counter_link import STOP_SENDING_AFTER_NS
from rampfront.quota.limiter import Limiter
from rampfront.quota.limits import MS, SEC, QuotaRule, quota_of
from rampfront.quota.update_schedule import NEVER


def test_a_request_over_the_limit_is_rejected_by_own_and_others_counts():
    shared = SharedCounts("a", "b")
    a, b = shared.limiters
    assert shared.take(b, 8) == 8
    shared.now += 60 * MS
    shared.exchange(b)
    shared.take(a)  # requests a reading off the request path
    shared.now += 60 * MS
    shared.exchange(a)
    counts = a.tenants["acme"]
    assert counts.current.own + counts.previous.own == 1 and counts.current.others + counts.previous.others == 8
    results = [a.take("acme", shared.now) for _ in range(40)]
    admitted = sum(retry_after_ns is None for retry_after_ns in results)
    assert 1 <= admitted <= 10 + quota_of(10, 10, QuotaRule()).connected_slack - 9 + 1
    assert all(50 * MS <= retry_after_ns <= 2 * SEC for retry_after_ns in results if retry_after_ns is not None)
    assert results[-1] is not None and a.take("unlimited", shared.now) is None


def test_figures_of_other_proxies_only_rise():
    shared = SharedCounts("a", "b")
    a, b = shared.limiters
    shared.now = (shared.counter.tenants["acme"].window + 20) * SEC + 100 * MS  # start of a window
    for limiter in shared.limiters:
        shared.exchange(limiter)
    shared.take(b, 3), shared.take(a)
    shared.now += 60 * MS
    _, old = shared.exchange(a, answered=False)
    shared.exchange(b)
    shared.take(b, 4)
    shared.now += 730 * MS
    shared.exchange(b)
    _, fresh = shared.exchange(a)
    a.receive(shared.now, {**fresh, UNSOLICITED: 1})
    held = a.tenants["acme"].current.others
    a.receive(shared.now, {**old, UNSOLICITED: 1})  # reordered: older totals
    assert held == 7 and a.tenants["acme"].current.others == held
    assert a.tenants["acme"].unacknowledged() == 0  # acknowledged counts are not sent again


def test_an_update_that_timed_out_yet_arrived_counts_once():
    shared = SharedCounts("a")
    (a,) = shared.limiters
    shared.take(a, 4)
    shared.now += 60 * MS
    first, _ = shared.exchange(a, answered=False)
    shared.take(a, 2)  # admitted while the update is in flight
    shared.now += 200 * MS
    second, answer = shared.exchange(a, answered=False)
    assert second is first and shared.total() == 4
    a.receive(shared.now, answer), a.receive(shared.now, answer)
    shared.now += 700 * MS
    shared.exchange(a)
    assert shared.total() == 6 and a.tenants["acme"].unacknowledged() == 0


def test_a_low_reading_refills_only_while_the_counter_is_heard():
    shared = SharedCounts("a", "b", acme=(20, 20), other=(20, 20))
    a, b = shared.limiters
    shared.take(a, 30), a.link.update_by(shared.now)
    shared.now += MS
    shared.exchange(a)
    counts, announced = b.tenants["acme"], transmitted(dict(shared.counter.announcements(shared.now)))["b"]
    b.receive(shared.now, announced)
    low = b.available(counts, shared.now)
    assert low <= 0 and b.available(counts, shared.now + 5 * SEC) < low + 20 * 0.25 + 1
    # Any message shows that the counter had no other announcement of this tenant.
    b.receive(shared.now + SEC, {**announced, TOTALS: []})
    assert b.available(counts, shared.now + SEC) >= low + 15


def test_proxies_with_unrelated_clocks_number_windows_alike():
    shared = SharedCounts("a", "b", acme=(50, 50))
    b, far = shared.limiters[1], 10**15 + 123_456_789
    a = Limiter("far", Random(1), shared.now + far)
    a.set_proxy_count(2), a.set_quotas(shared.configuration, shared.now + far)
    shared.take(b, 3), b.link.update_by(shared.now)
    shared.exchange(b)
    shared.now += SEC
    a.receive(
        shared.now + far,
        shared.deliver("far", a.due_update(shared.now + far) or a.link.compose_update(shared.now + far)),
    )
    a.take("acme", shared.now + far), a.link.update_by(shared.now + far)
    a.receive(shared.now + far, shared.deliver("far", a.due_update(shared.now + far)))
    assert a.tenants["acme"].previous.others == 3
    for limiter, shift in ((b, 0), (a, far)) * 4:
        shared.now += 300 * MS
        limiter.take("acme", shared.now + shift), limiter.link.update_by(shared.now + shift)
        limiter.receive(
            shared.now + shift,
            shared.deliver(limiter.proxy_name, limiter.due_update(shared.now + shift)),
        )
    totals, counts = shared.counter.tenants["acme"], a.tenants["acme"]
    assert (counts.current.number, counts.previous.number) == (totals.window, totals.window - 1)
    assert counts.current.own + counts.current.others == totals.current.count
    assert counts.previous.own + counts.previous.others == totals.previous.count


def test_totals_are_announced_to_all_proxies_when_a_quota_runs_low_and_only_then():
    shared = SharedCounts("a", "b", "c")
    a, b, c = shared.limiters
    shared.take(a, 2)
    shared.now += 60 * MS
    shared.exchange(a)
    assert shared.counter.announcements(shared.now) == []
    shared.take(a, 7), shared.take(c, 7)
    shared.now += 60 * MS
    a.link.update_by(shared.now), c.link.update_by(shared.now)
    shared.exchange(c)
    shared.exchange(a)
    announced = transmitted(dict(shared.counter.announcements(shared.now)))
    assert set(announced) == {"a", "b", "c"} and shared.counter.announcements(shared.now) == []
    before = b.available(b.tenants["acme"], shared.now)
    b.receive(shared.now, announced["b"])
    assert b.available(b.tenants["acme"], shared.now) < before - 8 and b.tenants["acme"].current.others >= 10
    a.take("acme", shared.now), a.link.update_by(shared.now)
    shared.take(c, 3), c.link.update_by(shared.now)
    shared.exchange(c)
    assert shared.counter.announcements(shared.now) == []  # not again so soon
    assert shared.now < shared.counter.next_announcement_at <= shared.now + ANNOUNCEMENT_INTERVAL_NS


def test_an_idle_proxy_stops_sending():
    shared = SharedCounts("a")
    (a,) = shared.limiters
    shared.take(a)
    shared.run(5)
    sent = a.link.sequence
    shared.run(STOP_SENDING_AFTER_NS / SEC)
    assert sent < a.link.sequence <= sent + 15 and shared.counter.registry.records["a"].idle
    sent = a.link.sequence
    shared.run(30)
    assert a.link.sequence == sent and a.next_update_at == NEVER
    assert a.take("acme", shared.now) is None and a.next_update_at < shared.now + 100 * MS


def test_a_refunded_request_is_taken_out_of_the_count():
    shared = SharedCounts("a")
    (a,) = shared.limiters
    shared.take(a, 5)
    for _ in range(2):
        a.refund("acme", shared.now)
    shared.now += 60 * MS
    shared.exchange(a)
    assert shared.total() == 3
    shared.take(a, 2), a.refund("acme", shared.now), a.refund("acme", shared.now), a.refund("acme", shared.now)
    shared.take(a, 2)
    shared.now += 700 * MS
    shared.exchange(a)
    assert shared.total() == 4 and a.tenants["acme"].unacknowledged() == 0


def test_changed_quotas_keep_the_counts():
    shared = SharedCounts("a", acme=(10, 10), other=(5, 5))
    (a,) = shared.limiters
    shared.take(a, 9)
    shared.now += 60 * MS
    shared.exchange(a)
    shared.configuration = quotas_by_tenant(acme=(4, 4))
    for one in (a, shared.counter):
        one.set_quotas(shared.configuration, shared.now)
    assert shared.take(a, 20) <= 2 + quota_of(4, 4, QuotaRule()).connected_slack  # a lower quota applies at once
    shared.configuration = quotas_by_tenant(acme=(10, 40))  # windows of another length
    for one in (a, shared.counter):
        one.set_quotas(shared.configuration, shared.now)
    counts = a.tenants["acme"]
    assert counts.quota.window == 4 * SEC and counts.current.own >= 9 * 0.5 and counts.unacknowledged() <= 8
    shared.configuration = quotas_by_tenant(acme=(0, 0))
    a.set_quotas(shared.configuration, shared.now)
    assert shared.take(a, 100) == 100 and shared.take(a, 100, "other") == 100  # no limit, or no longer a tenant
