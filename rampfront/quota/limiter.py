"""A proxy's verdict on each request by its tenant's quota, from shared counts (RFC 0015).

`Limiter.take` decides on the request path and asks nobody. The design's test: requests admitted here and by others in a
sliding window, the past fixed window counted by the weight that it has left, against the limit. Guards around it: the
bucket that the counter keeps (`available`), fewer admitted as it runs low (`_admit_at_rate`), and an even
share for a proxy that nobody answers (`TenantCounts.update_even_share`).

Off the request path `due_update` has the messages to the counter, `receive` takes in its answers (`counter_link.py`).
No I/O, no clock; times in ns.
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

EARLY_UPDATE_NS = 60 * MS  # an early update goes out within so long,
EARLY_SHARE = 0.5  # once what grew passes that part of the proxy's share of what is left
# Where a surge keeps the bucket: that part of the connected slack below nothing,
LEVEL_TARGET_SHARE = 0.5
LEVEL_SETTLING_S = 0.2  # and how soon it comes there
MIN_RETRY_AFTER_NS = 50 * MS  # when to come back
MAX_RETRY_AFTER_NS = 2 * SEC
RETRY_AFTER_PER_OVERLOAD_S = 0.5  # times by how much the quota is exceeded
DEFAULT_PROXY_COUNT = 32  # proxies taken to serve until it is known how many do
MAX_UNANSWERED_ATTEMPTS = 3  # without an answer, after which a proxy does not believe that there are fewer others


class Limiter:
    """One proxy's quotas. `link` is its exchange with the counter."""

    def __init__(self, proxy_name: str, random: Random, now: int = 0, rule: QuotaRule = DEFAULT_RULE) -> None:
        """Starts with no counts, and asks for all totals.

        Args:
            proxy_name: names it among the proxies.
            random: draws chances and jitter.
            now: ns.
            rule: what is tolerated beyond quotas.
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
        """Takes in a configuration's quotas by tenant. One that changed keeps its counts; one that is gone ages out."""
        has_new = self.table.set_quotas(settings, now)
        self.link.tenants_changed(now, has_new)

    def set_proxy_count(self, count: int) -> None:
        """How many proxies serve now. One that nobody answers does not believe that the others are gone."""
        if self.link.attempts >= MAX_UNANSWERED_ATTEMPTS:
            count = max(count, self.proxy_count)
        self.proxy_count = max(1, count)

    # ---- the request path

    def take(self, name: str, now: int) -> int | None:
        """Decides on one request of a tenant.

        Args:
            name: of the tenant; one without a quota is always admitted.
            now: ns.

        Returns:
            None if it is admitted, and counted; else in how many ns the client should come back.
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
        isolated = link.is_silent(now) or tenant.read_at < 0 or self._reading_is_doubtful(tenant, now)
        age_ns = tenant.reading_age(now, link.last_contact_at)
        if isolated:
            available = tenant.update_even_share(now, link.last_contact_at, self.proxy_count)
        else:
            available = tenant.available(age_ns)
        # The design's test. The bucket admits what a window rejects that remembers a burst longer than it does.
        if own + others + 1 > quota.limit + quota.connected_slack and available < 1:
            admitted = False
        elif isolated:
            admitted = self._admit_by_chance(tenant, available)
        else:
            admitted = self._admit_at_rate(tenant, available, age_ns)
        if not admitted:
            return self._reject(tenant, available, now)
        tenant.now.own += 1
        tenant.even_share -= 1
        self._schedule_early_update(tenant, now)
        return None

    def refund(self, name: str, now: int) -> None:
        """A request of the tenant that was admitted reached no server."""
        if tenant := self.tenants.get(name):
            self.table.roll(tenant, now)
            tenant.refund()

    def _reading_is_doubtful(self, tenant: TenantCounts, now: int) -> bool:
        """Whether an answer is late and requests of the tenant have been admitted meanwhile.

        Guards against a surge at all proxies as some are cut off: each would use up the same full reading until it
        finds out. The first request of a tenant goes by the reading still, so that a slow link rejects nobody who
        seldom asks."""
        return self.link.answer_is_overdue(now) and tenant.unacknowledged() >= 1

    def _admit_at_rate(self, tenant: TenantCounts, available: float, age_ns: int) -> bool:
        """Guards against proxies that all find the last of a quota free: of what all are asked for, such a fraction is
        admitted that the bucket comes to its target level soon. That is a little below nothing, on the rule's slack, so
        that none is rejected while there is room."""
        quota = tenant.quota
        if available <= -quota.connected_slack:
            return False
        rate = quota.per_s + (available + LEVEL_TARGET_SHARE * quota.connected_slack) / LEVEL_SETTLING_S
        requested = tenant.requested_per_s * min(1.0, ANNOUNCEMENT_TIMEOUT_NS / max(1, age_ns))
        return rate >= requested or self.random.random() * requested < rate

    def _admit_by_chance(self, tenant: TenantCounts, available: float) -> bool:
        """A fraction of a request is a chance, drawn once, so that the shares of many proxies add up to the quota."""
        if available >= 1:
            return True
        if available <= 0:
            return False
        won = self.random.random() < available
        tenant.even_share = 1.0 if won else 0.0
        return won

    def _reject(self, tenant: TenantCounts, available: float, now: int) -> int:
        """Counts a rejected request; returns in how many ns to come back, later the more is asked for."""
        tenant.rejected += 1
        if tenant.read_at < now - tenant.reading_lifetime_ns:
            self.link.request_reading(now)
        per_s = tenant.quota.per_s
        refilled_s = (1 - available) / per_s
        overload = max(1.0, tenant.requested_per_s / per_s)
        wait_ns = max(refilled_s, RETRY_AFTER_PER_OVERLOAD_S * overload) * SEC
        return int(max(MIN_RETRY_AFTER_NS, self.random.uniform(0.5, 1.0) * min(MAX_RETRY_AFTER_NS, wait_ns)))

    def _schedule_early_update(self, tenant: TenantCounts, now: int) -> None:
        """Guards against a surge at all proxies at once: what grew past a part of this proxy's share goes out early."""
        share = 0.0
        if not tenant.quota.without_burst:
            share = (max(0.0, tenant.remaining) + tenant.quota.slack / 2) / self.proxy_count
        if tenant.unsent() >= max(1.0, EARLY_SHARE * share):
            self.link.update_by(now + int(self.random.uniform(0.5, 1.0) * EARLY_UPDATE_NS))
        elif tenant.read_at < now - TICK_NS:
            self.link.request_reading(now)

    # ---- what the proxy knows

    def is_isolated(self, now: int) -> bool:
        """Whether the counter is silent, so that all tenants go by even shares."""
        return self.link.is_silent(now)

    def available(self, tenant: TenantCounts, now: int) -> float:
        """What the tenant's quota has left in requests, as far as this proxy knows; below 0 a debt."""
        return tenant.available(tenant.reading_age(now, self.link.last_contact_at))

    def in_present_window(self, tenant: TenantCounts, now: int) -> bool:
        """Whether the tenant's counts are of the window that runs: one that is out of use has older ones."""
        return tenant.now.number == self.clock.peek(now) // tenant.quota.window

    # ---- exchange with the counter

    @property
    def next_update_at(self) -> int:
        """When `due_update` has the next message; later than any time while nothing is in use. To be looked at after
        `take` and `receive`: an early update may be due."""
        return self.link.schedule.next_at

    def due_update(self, now: int) -> WireMap | None:
        """The message to the counter that is due now, or None."""
        return self.link.due_update(now)

    def receive(self, now: int, wire_map: object) -> None:
        """Takes in the counter's message. Raises `codec.InvalidMessageError`."""
        self.link.receive(now, wire_map)
