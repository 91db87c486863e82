"""The counter: adds up what proxies admitted, for each tenant and window (the fleet counter that RFC 0015 assumes).

Each node has one; the proxies choose whose they use (`counter_placement.py`). An update is known by proxy, incarnation
and sequence number, so a repeated one counts once. Full counts, sent after the counter changed, raise what is known of
that proxy to the larger value (the RFC's GREATEST). The counter also keeps each quota's bucket, since it alone sees all
updates in order, and announces its level as it runs low: proxies that admit nothing for the tenant just then would go
by an old reading.

No I/O, no clock; times in ns. What is received comes from other machines: what is not valid raises
`codec.InvalidMessageError`, a `ValueError`, and changes nothing.
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

ANNOUNCEMENT_INTERVAL_NS = 100 * MS  # between two announcements of a tenant
LOW_DEPTH_SHARE = 0.4  # announced below that part of the bucket,
LOW_SLACK_SHARE = 0.25  # less that part of the slack
# Of its share that a proxy brings: the counter that it left may have given some of it out until the proxy was missed.
CREDITED_SHARE = 0.9


class QuotaCounter:
    """The counts of all tenants at one node."""

    def __init__(self, incarnation: int, now: int, rule: QuotaRule = DEFAULT_RULE) -> None:
        """Starts with no counts.

        Args:
            incarnation: a drawn whole number that tells this start of this counter from all others.
            now: ns.
            rule: what is tolerated beyond quotas.
        """
        self.incarnation = incarnation
        self.rule = rule
        self.has_updates = False  # whether an update came
        self.tenants: dict[str, TenantTotals] = {}  # those with a quota, by the configuration
        self.announcement_candidates: dict[str, TenantTotals] = {}  # whose level may have to be announced; emptied by `announcements`
        self.registry = ProxyRegistry(now)
        self.missing_share = 0.0  # part of the proxies that is not heard
        self.next_announcement_at: int | None = None  # when `announcements` has something next

    def set_quotas(self, settings: Mapping[str, QuotaSettings], now: int) -> None:
        """Takes in a configuration's quotas by tenant. One that changed keeps its counts, one that is gone is dropped.
        To be called before the first update: what grew for an unknown tenant is not counted."""
        tenants = {}
        for name, tenant_settings in settings.items():
            if tenant_settings.per_s > 0:
                quota = quota_of(tenant_settings.per_s, tenant_settings.burst, self.rule)
                tenants[name] = self._with_quota(name, quota, now)
        self.tenants = tenants
        self.announcement_candidates = {name: tenant for name, tenant in self.announcement_candidates.items() if tenants.get(name) is tenant}

    def _with_quota(self, name: str, quota: Quota, now: int) -> TenantTotals:
        """The tenant's totals under a quota, which may be another one than before."""
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
        """How many proxies serve by the membership: those of them that are not heard may be cut off."""
        self.registry.serving_count = count

    def receive(self, now: int, proxy: str, wire_map: object) -> WireMap | None:
        """Takes in a proxy's message.

        Args:
            now: ns.
            proxy: what names it: its address.
            wire_map: the message as it came.

        Returns:
            The answer to it, or None.

        Raises:
            InvalidMessageError: the message is not valid, or of a process that has ended.
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
        """Counts an update, unless it is a repeated one, and returns the totals of its tenants."""
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
        """Counts the rows if the update is `fresh`; returns the totals of their tenants."""
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
        """The first update of all starts all buckets."""
        self.has_updates = True
        for tenant in self.tenants.values():
            tenant.start_refill(now)

    def _deregister(self, now: int, proxy: str, incarnation: int) -> None:
        """A proxy moves to another counter. Its even share goes with it at once; its counts stay."""
        if self.registry.deregister(proxy, incarnation, now):
            self.update_missing_share(now)

    def _credit_share(self, record: ProxyRecord, history_ns: int, now: int) -> None:
        """A proxy comes from another counter with its full counts: it brings its even share of each quota, as far as
        that was not given out here meanwhile.

        So a new counter that all moved to knows what is left, and those that move to and fro bring nothing twice.
        `lived_ns`: how long its counts reach back; a proxy that just started brings nothing."""
        self.update_missing_share(now)
        unserved_ns = min(history_ns, now - record.missing_since)
        if unserved_ns <= 0:
            return
        proxy_count = self.registry.known_count()
        share = CREDITED_SHARE / proxy_count if proxy_count else 0.0
        for tenant in self.tenants.values():
            tenant.credit_share(share, unserved_ns, now, self.missing_share)

    def update_missing_share(self, now: int) -> None:
        """Works out which part of the proxies is missing."""
        # With no survey for long no update came, and buckets need not be brought up to date under the old share.
        in_use = now - self.registry.missing_share_updated_at <= PROXY_TIMEOUT_NS
        missing_share = self.registry.update_missing_share(now)
        if missing_share == self.missing_share:
            return
        if in_use:
            for tenant in self.tenants.values():
                tenant.update_remaining(now, self.missing_share)
        self.missing_share = missing_share

    def _others_in_use(self, now: int, listed: list[TenantTotal]) -> list[TenantTotal]:
        """All that is in use besides those listed, the fullest first: what a proxy that just started goes by."""
        names = {row.tenant for row in listed}
        in_use = []
        for tenant in self.tenants.values():
            tenant.roll(now)
            if tenant.name not in names and tenant.in_use(now, self.missing_share):
                in_use.append((tenant.remaining / tenant.quota.depth, tenant.name))
        room = MAX_ROWS - len(listed)
        return [self.tenants[name].row(now, self.missing_share) for _, name in sorted(in_use)[:room]]

    def announcements(self, now: int) -> list[tuple[str, WireMap]]:
        """What proxies are to be sent unsolicited: (proxy, message) each. To be asked after each `receive`, and at
        `next_announcement_at`."""
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
        """The tenants that run low and were not announced for a while; sets `next_announcement_at` for those that
        wait."""
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
