"""A proxy's decision on each request by its tenant's quota, from shared counts (RFC 0015).

`Limiter.take` decides on the request path without a remote call. The RFC's check compares the limit with the requests
that this proxy and the others admitted in a sliding window, with the previous fixed window weighted by the share that
remains of it. Three more rules protect the quota: the bucket that the counter keeps (`available`), a lower admission
rate as it runs low (`_admit_at_rate`), and an even share for an isolated proxy (`TenantCounts.update_even_share`).

Off the request path, `due_update` returns the messages to the counter and `receive` handles its answers
(`counter_link.py`). No I/O, no clock; times in ns.
"""

from collections.abc import Mapping
from random import Random

from ..epoch import roll, weigh
from .codec import WireMap
from .counter_clock import CounterClock
from .counter_link import CounterLink
from .limits import DEFAULT_RULE, MS, SEC, QuotaRule, QuotaSettings
from .tenant_counts import ANNOUNCEMENT_TIMEOUT_NS, TenantCounts
from .tenant_table import TenantTable
from .update_schedule import TICK_NS

# An early update is sent within this time once the unsent increase exceeds a fraction of the proxy's share of the
# remaining quota.
EARLY_UPDATE_NS = 60 * MS
EARLY_SHARE = 0.5
# Level at which a surge keeps the bucket: this fraction of the connected slack below zero.
LEVEL_TARGET_SHARE = 0.5
LEVEL_SETTLING_S = 0.2  # time constant with which the bucket approaches that level
MIN_RETRY_AFTER_NS = 50 * MS  # bounds of the time after which to retry
MAX_RETRY_AFTER_NS = 2 * SEC
RETRY_AFTER_PER_OVERLOAD_S = 0.5  # multiplied by the ratio of requests to the quota
DEFAULT_PROXY_COUNT = 32  # assumed number of proxies until it is known
MAX_UNANSWERED_ATTEMPTS = 3  # after this many, a proxy no longer lowers its number of proxies


class Limiter:
    """One proxy's quotas. `link` is its exchange with the counter."""

    def __init__(self, proxy_name: str, random: Random, now: int = 0, rule: QuotaRule = DEFAULT_RULE) -> None:
        """Starts with no counts, and requests all totals.

        Args:
            proxy_name: name that distinguishes this proxy from others.
            random: source of random admissions and jitter.
            now: ns.
            rule: the tolerance beyond quotas.
        """
        self.proxy_name = proxy_name
        self.random = random
        self.clock = CounterClock()
        self.table = TenantTable(rule, self.clock)
        self.tenants = self.table.tenants
        self.link = CounterLink(self.table, self.clock, random, now)
        self.proxy_count = DEFAULT_PROXY_COUNT

    # ---- configuration and membership

    def set_quotas(self, settings: Mapping[str, QuotaSettings], now: int) -> None:
        """Applies a configuration's quotas by tenant. A changed quota keeps its counts; a removed one expires."""
        has_new = self.table.set_quotas(settings, now)
        self.link.tenants_changed(now, has_new)

    def set_proxy_count(self, count: int) -> None:
        """Sets how many proxies serve. An isolated proxy does not lower it, as it cannot tell if others stopped."""
        if self.link.attempts >= MAX_UNANSWERED_ATTEMPTS:
            count = max(count, self.proxy_count)
        self.proxy_count = max(1, count)

    # ---- the request path

    def take(self, name: str, now: int) -> int | None:
        """Decides on one request of a tenant.

        Args:
            name: of the tenant; requests of tenants without a quota are always admitted.
            now: ns.

        Returns:
            None if the request is admitted and counted, otherwise the time in ns after which the client should retry.
        """
        tenant = self.tenants.get(name)
        if tenant is None:
            return None
        tenant.used_at = now
        self.table.unreported[name] = tenant
        self.link.note_request(now)
        own, others = weigh(tenant, roll(tenant, self.clock.time(now)))
        quota = tenant.quota
        link = self.link
        isolated = link.is_silent(now) or tenant.read_at < 0 or self._reading_is_unreliable(tenant, now)
        age_ns = tenant.reading_age(now, link.last_contact_at)
        if isolated:
            available = tenant.update_even_share(now, link.last_contact_at, self.proxy_count)
        else:
            available = tenant.available(age_ns)
        # The RFC's check. The window remembers a burst longer than the bucket, which then still admits the request.
        if own + others + 1 > quota.limit + quota.connected_slack and available < 1:
            admitted = False
        elif isolated:
            admitted = self._admit_by_chance(tenant, available)
        else:
            admitted = self._admit_at_rate(tenant, available, age_ns)
        if not admitted:
            return self._reject(tenant, available, now)
        tenant.current.own += 1
        tenant.even_share -= 1
        self._schedule_early_update(tenant, now)
        return None

    def refund(self, name: str, now: int) -> None:
        """Removes an admitted request that reached no server from the counts."""
        if tenant := self.tenants.get(name):
            self.table.roll(tenant, now)
            tenant.refund()

    def _reading_is_unreliable(self, tenant: TenantCounts, now: int) -> bool:
        """Whether an answer is late and requests of the tenant have been admitted since the last one.

        In a surge at all proxies while some are partitioned, each of these would use up the same full reading before it
        detects the partition. The first request of a tenant still uses the reading, so that a slow link does not reject
        tenants that rarely send requests.
        """
        return self.link.answer_is_overdue(now) and tenant.unacknowledged() >= 1

    def _admit_at_rate(self, tenant: TenantCounts, available: float, age_ns: int) -> bool:
        """Admits the fraction of all requests that brings the bucket to its target level soon.

        Otherwise all proxies would use the last of a quota at once. The target is slightly below zero, within the
        rule's slack, so that no request is rejected while quota is left.
        """
        quota = tenant.quota
        if available <= -quota.connected_slack:
            return False
        rate = quota.per_s + (available + LEVEL_TARGET_SHARE * quota.connected_slack) / LEVEL_SETTLING_S
        requested = tenant.requested_per_s * min(1.0, ANNOUNCEMENT_TIMEOUT_NS / max(1, age_ns))
        return rate >= requested or self.random.random() * requested < rate

    def _admit_by_chance(self, tenant: TenantCounts, available: float) -> bool:
        """Admits a request if a whole one is left. A fraction is a probability, so that all shares add up."""
        if available >= 1:
            return True
        if available <= 0:
            return False
        admitted = self.random.random() < available
        tenant.even_share = 1.0 if admitted else 0.0
        return admitted

    def _reject(self, tenant: TenantCounts, available: float, now: int) -> int:
        """Counts a rejected request; returns the time in ns after which to retry, which grows with the overload."""
        tenant.rejected += 1
        if tenant.read_at < now - tenant.reading_lifetime_ns:
            self.link.request_reading(now)
        per_s = tenant.quota.per_s
        refilled_s = (1 - available) / per_s
        overload = max(1.0, tenant.requested_per_s / per_s)
        wait_ns = max(refilled_s, RETRY_AFTER_PER_OVERLOAD_S * overload) * SEC
        return int(max(MIN_RETRY_AFTER_NS, self.random.uniform(0.5, 1.0) * min(MAX_RETRY_AFTER_NS, wait_ns)))

    def _schedule_early_update(self, tenant: TenantCounts, now: int) -> None:
        """Schedules an early update if the unsent increase exceeds a part of this proxy's share, for fast surges."""
        share = 0.0
        if not tenant.quota.without_burst:
            share = (max(0.0, tenant.remaining) + tenant.quota.slack / 2) / self.proxy_count
        if tenant.unsent() >= max(1.0, EARLY_SHARE * share):
            self.link.update_by(now + int(self.random.uniform(0.5, 1.0) * EARLY_UPDATE_NS))
        elif tenant.read_at < now - TICK_NS:
            self.link.request_reading(now)

    # ---- state of this proxy

    def is_isolated(self, now: int) -> bool:
        """Whether the counter is silent, so that all tenants are limited to even shares."""
        return self.link.is_silent(now)

    def available(self, tenant: TenantCounts, now: int) -> float:
        """The tenant's remaining quota in requests, as far as this proxy knows; negative if it is overdrawn."""
        return tenant.available(tenant.reading_age(now, self.link.last_contact_at))

    def in_present_window(self, tenant: TenantCounts, now: int) -> bool:
        """Whether the tenant's counts are of the current window; an unused tenant has older ones."""
        return tenant.current.number == self.clock.peek(now) // tenant.quota.window

    # ---- exchange with the counter

    @property
    def next_update_at(self) -> int:
        """When `due_update` has the next message; `NEVER` while no tenant is in use. May be earlier after `take` or
        `receive`."""
        return self.link.schedule.next_at

    def due_update(self, now: int) -> WireMap | None:
        """Returns the message to the counter that is due now, or None."""
        return self.link.due_update(now)

    def receive(self, now: int, wire_map: object) -> None:
        """Handles the counter's message. Raises `codec.InvalidMessageError`."""
        self.link.receive(now, wire_map)
