"""A proxy's table of tenants: those with a quota, those recently removed from the configuration, and those to report.

RFC 0015, "Flush path": only tenants with requests since their last acknowledged update are reported (the change
filter).
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..epoch import roll
from ..state import Window
from .counter_clock import CounterClock
from .limits import QuotaRule, QuotaSettings, quota_of
from .messages import MAX_ROWS, CountRow, TenantTotal
from .tenant_counts import TenantCounts


class Report(NamedTuple):
    """The rows of one update."""

    rows: list[CountRow]
    windows: list[Window]  # the windows whose increase is in the rows
    more: bool  # whether more rows are left than fit into one message


class TenantTable:
    """All tenants, as one proxy knows them."""

    def __init__(self, rule: QuotaRule, clock: CounterClock) -> None:
        """`clock` numbers the windows."""
        self.rule = rule
        self.clock = clock
        self.tenants: dict[str, TenantCounts] = {}  # those with a quota; always the same dict object
        self.dropped: dict[str, TenantCounts] = {}  # by a configuration; the next one removes them, once out of use
        self.unreported: dict[str, TenantCounts] = {}  # tenants with requests since they were last reported

    def set_quotas(self, settings: Mapping[str, QuotaSettings], now: int) -> bool:
        """Applies a configuration's quotas by tenant. A changed quota keeps its counts; a removed one expires.

        Returns whether there are tenants that were not known.
        """
        counter_time = self.clock.time(now)
        known = self.dropped | self.tenants
        tenants = {}
        has_new = False
        for name, tenant_settings in settings.items():
            if tenant_settings.per_s <= 0:
                continue
            quota = quota_of(tenant_settings.per_s, tenant_settings.burst, self.rule)
            tenant = known.get(name)
            if tenant is None:
                tenant = TenantCounts.new(name, quota, now, counter_time)
                has_new = True
            elif tenant.quota != quota:
                weight = self.roll(tenant, now)
                tenant.change_quota(quota, weight, counter_time)
            tenants[name] = tenant
        self.dropped = {
            name: tenant
            for name, tenant in known.items()
            if name not in tenants and now - tenant.used_at < 2 * tenant.quota.window
        }
        self.tenants.clear()
        self.tenants.update(tenants)
        return has_new

    def roll(self, tenant: TenantCounts, now: int) -> float:
        """Rolls the windows; returns the weight of the previous one."""
        return roll(tenant, self.clock.time(now))

    def report(self, now: int, full: bool) -> Report:
        """Takes the rows of an update, which is in flight from now on. `full`: all counts instead of the increase."""
        rows: list[CountRow] = []
        windows: list[Window] = []
        if not self.unreported:
            return Report(rows, windows, False)
        counter_time = self.clock.time(now)
        for name, tenant in list(self.unreported.items()):
            if len(rows) == MAX_ROWS:
                return Report(rows, windows, True)
            # A tenant without burst stays for the length of its window, since its count falls without a request.
            if not tenant.quota.without_burst or now - tenant.used_at > tenant.quota.window:
                del self.unreported[name]
            weight = roll(tenant, counter_time)
            row = tenant.report(full, weight, now)
            if row is not None:
                rows.append(row)
                windows += (tenant.current, tenant.previous)
        return Report(rows, windows, False)

    def read(self, totals: Sequence[TenantTotal], now: int, acknowledges: bool) -> None:
        """Applies the totals of the tenants that have a quota here.

        `acknowledges`: no update is in flight, so the totals include the counts of the last one.
        """
        for total in totals:
            if tenant := self.tenants.get(total.tenant):
                roll(tenant, self.clock.time(now))
                tenant.read(total, now, acknowledges)

    def forget_acknowledged(self, now: int) -> None:
        """Marks all counts as not acknowledged, so that they are reported again: the counter does not know them."""
        for name, tenant in self.tenants.items():
            self.roll(tenant, now)
            tenant.forget_acknowledged()
            if tenant.current.own or tenant.previous.own:
                self.unreported[name] = tenant

    def renumber(self, counter_time: int) -> None:
        """Renumbers the windows for another counter, whose windows start at other times but count as the same."""
        for tenant in self.tenants.values():
            tenant.renumber(counter_time)

    def read_unused(self, now: int) -> None:
        """Sets all quotas to full, since the counter lists all tenants in use. Must be called before `read`."""
        for tenant in self.tenants.values():
            tenant.read_full(now)
