"""The counter: adds up the requests that proxies admitted, by tenant and window (the fleet counter that RFC 0015
assumes).

Each node has one; the proxies choose which one they use (`counter_placement.py`). An update is identified by proxy,
incarnation and sequence number, so a repeated one counts once. Full counts, sent after a change of the counter, raise
the known count of that proxy to the larger value (the RFC's GREATEST). The counter also keeps the token bucket of each
quota, since only it sees all updates in order. It announces the level of a bucket that runs low, because proxies that
admit nothing for the tenant at that time would otherwise use an outdated reading.

No I/O, no clock; times in ns. Messages come from other machines: an invalid one raises `codec.InvalidMessageError`, a
`ValueError`, and changes nothing.
"""

from collections.abc import Mapping
from typing import assert_never

from .codec import WireMap, check_name, decode_request, encode_probe, encode_totals, with_sequence
from .limits import DEFAULT_RULE, MS, Quota, QuotaRule, QuotaSettings, quota_of
from .messages import (
    MAX_ROWS,
    PROXY_TIMEOUT_NS,
    CountDelta,
    CounterTotals,
    CounterUpdate,
    Deregistration,
    Probe,
    TenantTotal,
)
from .proxy_registry import ProxyRecord, ProxyRegistry
from .tenant_totals import TenantTotals

ANNOUNCEMENT_INTERVAL_NS = 100 * MS  # minimum interval between announcements of a tenant
# A tenant is announced below this share of the bucket's depth, less a share of the slack.
LOW_DEPTH_SHARE = 0.4
LOW_SLACK_SHARE = 0.25
# Fraction of its even share that a moving proxy is credited with. The rest allows for requests that its former counter
# may have admitted from that share before it noticed that the proxy was missing.
CREDITED_SHARE = 0.9


class QuotaCounter:
    """The counts of all tenants at one node."""

    def __init__(self, incarnation: int, now: int, rule: QuotaRule = DEFAULT_RULE) -> None:
        """Starts with no counts.

        Args:
            incarnation: a random integer that distinguishes this start of the counter from all others.
            now: ns.
            rule: the tolerance beyond quotas.
        """
        self.incarnation = incarnation
        self.rule = rule
        self.has_updates = False  # whether an update was ever received
        self.tenants: dict[str, TenantTotals] = {}  # the tenants with a quota in the configuration
        self.announcement_candidates: dict[str, TenantTotals] = {}  # by name
        self.registry = ProxyRegistry(now)
        self.missing_share = 0.0  # share of the proxies that are missing
        self.next_announcement_at: int | None = None  # when to call `announcements` next; None: no announcement waits

    def set_quotas(self, settings: Mapping[str, QuotaSettings], now: int) -> None:
        """Applies a configuration's quotas by tenant. A changed quota keeps its counts, a removed one is dropped.

        Must be called before the first update, since updates of unknown tenants are not counted.
        """
        tenants = {}
        for name, tenant_settings in settings.items():
            if tenant_settings.per_s > 0:
                quota = quota_of(tenant_settings.per_s, tenant_settings.burst, self.rule)
                tenants[name] = self._with_quota(name, quota, now)
        self.tenants = tenants
        self.announcement_candidates = {
            name: tenant for name, tenant in self.announcement_candidates.items() if tenants.get(name) is tenant
        }

    def _with_quota(self, name: str, quota: Quota, now: int) -> TenantTotals:
        """Returns the tenant's totals under a quota, which may differ from the previous one."""
        tenant = self.tenants.get(name)
        if tenant is None:
            return TenantTotals.new(name, quota, now, exhausted=not self.has_updates)
        former = tenant.quota
        if former.window != quota.window or former.without_burst != quota.without_burst:
            replacement = TenantTotals.new(name, quota, now, exhausted=not self.has_updates)
            replacement.take_over(tenant, now, self.missing_share)
            return replacement
        if former != quota:
            tenant.change_quota(quota, now, self.missing_share)
        return tenant

    def set_proxy_count(self, count: int) -> None:
        """Sets how many proxies serve according to the membership; those not heard from may be isolated."""
        self.registry.serving_count = count

    def receive(self, now: int, proxy: str, wire_map: object) -> WireMap | None:
        """Handles a proxy's message.

        Args:
            now: ns.
            proxy: identifies the proxy: its address.
            wire_map: the message as received.

        Returns:
            The answer, or None.

        Raises:
            InvalidMessageError: the message is invalid, or comes from a former incarnation of the proxy.
        """
        message = decode_request(wire_map)
        match message:
            case CounterUpdate():
                return encode_totals(self._apply_update(now, proxy, message))
            case Probe():
                return encode_probe(message)
            case Deregistration():
                self._deregister(now, proxy, message.incarnation)
                return None
            case _:
                assert_never(message)

    def _apply_update(self, now: int, proxy: str, update: CounterUpdate) -> CounterTotals:
        """Counts an update unless it is repeated, and returns the totals of its tenants."""
        record = self.registry.get_or_add(check_name(proxy), update.incarnation, now)
        if not self.has_updates:
            self._start_refill(now)
        is_new = update.sequence > record.last_sequence
        record.last_seen_at = now
        if is_new and update.history_ms:
            self._credit_share(record, update.history_ms * MS, now)
        if self.registry.missing_share_is_due(now):
            self.update_missing_share(now)
        if is_new:
            record.missing_since = now + PROXY_TIMEOUT_NS
            record.last_sequence = update.sequence
            record.idle = update.idle
        rows = self._apply_rows(now, proxy, update, is_new)
        if update.wants_all:
            rows += self._others_in_use(now, rows)
        return CounterTotals(self.incarnation, update.sequence, now // MS, rows, update.wants_all)

    def _apply_rows(self, now: int, proxy: str, update: CounterUpdate, is_new: bool) -> list[TenantTotal]:
        """Counts the rows if `is_new`; returns the totals of their tenants."""
        same_windows = update.counter_incarnation == self.incarnation
        source = (proxy, update.incarnation)
        totals = []
        for row in update.rows:
            tenant = self.tenants.get(row.tenant)
            if tenant is None:
                continue
            tenant.roll(now)
            if is_new:
                if isinstance(row, CountDelta):
                    changed = tenant.apply_delta(source, row, same_windows, now, self.missing_share)
                else:
                    changed = tenant.apply_full(source, row, same_windows, now, self.missing_share)
                if changed:
                    self.announcement_candidates[tenant.name] = tenant
            totals.append(tenant.row(now, self.missing_share))
        return totals

    def _start_refill(self, now: int) -> None:
        """Starts to refill all buckets at the first update from any proxy."""
        self.has_updates = True
        for tenant in self.tenants.values():
            tenant.start_refill(now)

    def _deregister(self, now: int, proxy: str, incarnation: int) -> None:
        """Handles a proxy's move to another counter. Its even share is reserved for it at once; its counts stay."""
        if self.registry.deregister(proxy, incarnation, now):
            self.update_missing_share(now)

    def _credit_share(self, record: ProxyRecord, history_ns: int, now: int) -> None:
        """Credits a proxy that moves here, and sends full counts, with its even share of each quota.

        The credit covers only the time in which this counter did not give out that share. So a new counter to which all
        proxies move knows what is left, and proxies that move back and forth are not credited twice.
        `history_ns` is how far the proxy's counts reach back; a proxy that has just started is not credited.
        """
        self.update_missing_share(now)
        unserved_ns = min(history_ns, now - record.missing_since)
        if unserved_ns <= 0:
            return
        proxy_count = self.registry.known_count()
        share = CREDITED_SHARE / proxy_count if proxy_count else 0.0
        for tenant in self.tenants.values():
            tenant.credit_share(share, unserved_ns, now, self.missing_share)

    def update_missing_share(self, now: int) -> None:
        """Updates the share of the proxies that are missing."""
        # After a long time without a call there was no update, so buckets need no refill with the previous share.
        in_use = now - self.registry.missing_share_updated_at <= PROXY_TIMEOUT_NS
        missing_share = self.registry.update_missing_share(now)
        if missing_share == self.missing_share:
            return
        if in_use:
            for tenant in self.tenants.values():
                tenant.update_remaining(now, self.missing_share)
        self.missing_share = missing_share

    def _others_in_use(self, now: int, listed: list[TenantTotal]) -> list[TenantTotal]:
        """Returns all tenants in use besides those listed, least remaining first: a new proxy starts with them."""
        names = {row.tenant for row in listed}
        in_use = []
        for tenant in self.tenants.values():
            tenant.roll(now)
            if tenant.name not in names and tenant.in_use(now, self.missing_share):
                in_use.append((tenant.remaining / tenant.quota.depth, tenant.name))
        room = MAX_ROWS - len(listed)
        return [self.tenants[name].row(now, self.missing_share) for _, name in sorted(in_use)[:room]]

    def announcements(self, now: int) -> list[tuple[str, WireMap]]:
        """Returns unsolicited messages as (proxy, message). Call after each `receive` and at `next_announcement_at`."""
        due = self._due_announcements(now)
        if not due:
            return []
        rows = [tenant.row(now, self.missing_share) for tenant in due]
        totals = encode_totals(CounterTotals(self.incarnation, 0, now // MS, rows, unsolicited=True))
        return [
            (name, with_sequence(totals, record.last_sequence))
            for name, record in self.registry.announcement_receivers(now)
        ]

    def _due_announcements(self, now: int) -> list[TenantTotals]:
        """Returns tenants that run low and were not announced recently; sets `next_announcement_at` for the rest."""
        due: list[TenantTotals] = []
        self.next_announcement_at = None
        for name, tenant in list(self.announcement_candidates.items()):
            low = tenant.quota.depth * LOW_DEPTH_SHARE - tenant.quota.slack * LOW_SLACK_SHARE
            if tenant.update_remaining(now, self.missing_share) >= low:
                del self.announcement_candidates[name]
            elif now - tenant.announced_at >= ANNOUNCEMENT_INTERVAL_NS and len(due) < MAX_ROWS:
                tenant.announced_at = now
                tenant.roll(now)
                due.append(tenant)
                del self.announcement_candidates[name]
            else:
                at = tenant.announced_at + ANNOUNCEMENT_INTERVAL_NS
                if self.next_announcement_at is None or at < self.next_announcement_at:
                    self.next_announcement_at = at
        return due
