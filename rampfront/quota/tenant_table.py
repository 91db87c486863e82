"""A proxy's table of tenants: those with a quota, those that a configuration dropped lately, and who is to be reported.

RFC 0015, "Flush path": only tenants that were asked for since their last acknowledged update are reported (the change
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
    windows: list[Window]  # whose growth the rows tell
    more: bool  # whether there is more than fits into one message


class TenantTable:
    """All tenants as one proxy knows them."""

    def __init__(self, rule: QuotaRule, clock: CounterClock) -> None:
        """`clock`: windows are numbered by it."""
        self.rule = rule
        self.clock = clock
        self.tenants: dict[str, TenantCounts] = {}  # those with a quota; the same object throughout
        self.dropped: dict[str, TenantCounts] = {}  # by a configuration; emptied by the next one, once out of use
        self.unreported: dict[str, TenantCounts] = {}  # asked for since they were last reported

    def set_quotas(self, settings: Mapping[str, QuotaSettings], now: int) -> bool:
        """Takes in a configuration's quotas by tenant. One that changed keeps its counts; one that is gone ages out.
        Returns whether there are tenants that were not known."""
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
        """Ages windows out; returns the past window's weight."""
        return roll(tenant, self.clock.time(now))

    def report(self, now: int, full: bool) -> Report:
        """Takes the rows of an update, which is under way from now on. `full`: with all counts, not what grew."""
        rows: list[CountRow] = []
        windows: list[Window] = []
        if not self.unreported:
            return Report(rows, windows, False)
        counter_time = self.clock.time(now)
        for name, tenant in list(self.unreported.items()):
            if len(rows) == MAX_ROWS:
                return Report(rows, windows, True)
            # One without burst stays for as long as its window: its count falls without a request.
            if not tenant.quota.without_burst or now - tenant.used_at > tenant.quota.window:
                del self.unreported[name]
            weight = roll(tenant, counter_time)
            row = tenant.report(full, weight, now)
            if row is not None:
                rows.append(row)
                windows += (tenant.now, tenant.past)
        return Report(rows, windows, False)

    def read(self, totals: Sequence[TenantTotal], now: int, acknowledges: bool) -> None:
        """Takes in the totals of those tenants that have a quota here. `acknowledges`: no update is under way, so that
        what was in the last one is in the totals."""
        for total in totals:
            if tenant := self.tenants.get(total.tenant):
                roll(tenant, self.clock.time(now))
                tenant.read(total, now, acknowledges)

    def forget_acknowledged(self, now: int) -> None:
        """The counter knows nothing of this proxy: all counts are to be reported again."""
        for name, tenant in self.tenants.items():
            self.roll(tenant, now)
            tenant.forget_acknowledged()
            if tenant.now.own or tenant.past.own:
                self.unreported[name] = tenant

    def renumber(self, counter_time: int) -> None:
        """Another counter's windows begin at other moments: the present ones are taken to be the same."""
        for tenant in self.tenants.values():
            tenant.renumber(counter_time)

    def read_unused(self, now: int) -> None:
        """The counter listed all tenants in use: the others' quotas are full. To be called before `read`."""
        for tenant in self.tenants.values():
            tenant.read_full(now)
