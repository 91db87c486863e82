"""A proxy's counts of one tenant: its own admissions, those of the other proxies, and the remaining quota.

Windows are `state.Window`; `epoch` rolls, weights and settles them, as for the edge node (RFC 0015, "Counter entry
shape" and "Sync path"). In a window, `own` is the count of requests admitted here, `acknowledged` the part of it that
the counter has acknowledged, `in_flight` the part in the update in flight, `others` the count of the other proxies,
which only increases, and `last_total` the last total.
"""

from ..epoch import settle, weigh
from ..state import Window
from ..terms import slotted
from .limits import MS, SEC, Quota
from .messages import PROXY_TIMEOUT_NS, CountDelta, CountRow, FullCount, TenantTotal
from .update_schedule import TICK_NS

NEVER_READ = -(10**18)  # ns; long ago
NEVER_USED = -(1 << 62)  # ns
NOT_COMPUTED = -1
# The counter announces a quota that runs low more often than this; without an announcement nobody uses it.
ANNOUNCEMENT_TIMEOUT_NS = SEC // 4
ANNOUNCEMENT_TIMEOUT_S = ANNOUNCEMENT_TIMEOUT_NS / SEC
# Fraction of its even share of the rate that an isolated proxy uses, since many proxies admit at random and exceed it.
ISOLATED_RATE_SHARE = 0.85
ISOLATED_DEPTH_S = 0.25  # bucket depth of an isolated proxy for a tenant without burst, at the quota's rate
READING_WITHOUT_BURST_NS = 100 * MS  # the remaining quota of such a tenant rises in steps, so it is read more often


def _reading_lifetime_ns(quota: Quota) -> int:
    return READING_WITHOUT_BURST_NS if quota.without_burst else TICK_NS


@slotted
class TenantCounts:
    """One tenant, as a proxy knows it."""

    name: str
    quota: Quota
    current: Window  # the current window; `epoch` uses this name
    previous: Window  # the previous window
    used_at: int  # when the last request arrived
    remaining: float  # requests left in the quota according to the counter; negative if it is overdrawn
    remaining_at: int  # time of that information
    reading_lifetime_ns: int  # age after which the totals are requested again
    read_at: int = NEVER_READ  # when the last totals arrived
    requested_per_s: float = 0.0  # at all proxies, including rejected requests, according to the counter
    rejected: int = 0  # requests rejected here since the last update
    even_share: float = 0.0  # requests left in the even share of an isolated proxy
    even_share_at: int = NOT_COMPUTED  # when `even_share` was computed

    @classmethod
    def new(cls, name: str, quota: Quota, now: int, counter_time: int) -> "TenantCounts":
        """Makes a tenant without counts. Until totals arrive its quota counts as full, except at an isolated proxy."""
        number = counter_time // quota.window
        return cls(
            name, quota, Window(number), Window(number - 1), NEVER_USED, quota.depth, now, _reading_lifetime_ns(quota)
        )

    def change_quota(self, quota: Quota, weight: float, counter_time: int) -> None:
        """Changes the quota. The windows have been rolled; the previous one counts by `weight`."""
        if quota.window != self.quota.window:
            # The new windows have another length, so both counts are merged, and treated as already acknowledged.
            own, others = weigh(self, weight)
            number = counter_time // quota.window
            self.current = Window(number, own, own)
            self.previous = Window(number - 1)
            self.current.others = others
        self.remaining = min(quota.depth, self.remaining + max(0.0, quota.depth - self.quota.depth))
        self.reading_lifetime_ns = _reading_lifetime_ns(quota)
        self.quota = quota

    def unacknowledged(self) -> float:
        """Requests admitted here that the counter has not acknowledged."""
        return self.current.own - self.current.acknowledged + self.previous.own - self.previous.acknowledged

    def unsent(self) -> float:
        """Requests admitted here that are neither acknowledged nor in the update in flight."""
        present = self.current
        past = self.previous
        unacknowledged = present.own - present.acknowledged + past.own - past.acknowledged
        return unacknowledged - (present.in_flight or 0) - (past.in_flight or 0)

    def refund(self) -> None:
        """Removes an admitted request that reached no server. If it is acknowledged, it offsets later increases."""
        window = self.current if self.current.own >= 1 else self.previous
        if window.own >= 1:
            window.own -= 1
            self.even_share += 1

    # ---- remaining quota

    def reading_age(self, now: int, last_contact_at: int) -> int:
        """Age in ns up to which the reading of the quota is known to be valid.

        Only a message from the counter shows that it had nothing more to announce about this tenant. Otherwise, a
        quota would seem to refill at a proxy that has just become isolated.
        """
        valid_until = last_contact_at + ANNOUNCEMENT_TIMEOUT_NS
        valid_until = min(valid_until, now)
        age_ns = valid_until - self.remaining_at
        return age_ns if age_ns > 0 else 0

    def available(self, reading_age_ns: int) -> float:
        """Remaining quota in requests: the last reading plus the refill since, minus the unacknowledged requests."""
        age_s = reading_age_ns / SEC
        known_s = min(age_s, ANNOUNCEMENT_TIMEOUT_S)
        refill = self.quota.per_s * age_s - min(self.quota.per_s, self.requested_per_s) * known_s
        return min(self.quota.depth, self.remaining + refill) - self.unacknowledged()

    def update_even_share(self, now: int, last_contact_at: int, proxy_count: int) -> float:
        """Updates and returns the even share that an isolated proxy has left, in requests.

        It is an even share of the remaining quota at the last reading. It grows by the proxy's share of the rate from
        the time at which the counter counts the proxy as missing and reserves that share for it.
        """
        quota = self.quota
        depth = quota.depth
        grows_from = last_contact_at + PROXY_TIMEOUT_NS
        if quota.without_burst:  # connected proxies may have used the quota of a whole window at once
            depth = quota.per_s * ISOLATED_DEPTH_S
            grows_from = last_contact_at + quota.window
        if self.even_share_at < self.remaining_at:
            left = min(depth, max(0.0, self.remaining)) + quota.isolated_slack
            self.even_share = left / proxy_count - self.unacknowledged()
            self.even_share_at = self.remaining_at
        if now > grows_from:
            elapsed_ns = now - max(grows_from, self.even_share_at)
            self.even_share += ISOLATED_RATE_SHARE * quota.per_s / proxy_count * elapsed_ns / SEC
            self.even_share_at = now
        self.even_share = min((depth + quota.isolated_slack) / proxy_count, self.even_share)
        return self.even_share

    # ---- exchange with the counter

    def report(self, full: bool, weight: float, now: int) -> CountRow | None:
        """Returns the tenant's row for an update, which is in flight from now on; None if there is nothing to report.

        Args:
            full: report all counts instead of the increase; none of them are acknowledged in this case.
            weight: of the previous window.
            now: ns.
        """
        present = self.current
        past = self.previous
        growth = present.own - present.acknowledged
        current = round(growth) if growth > 0 else 0
        growth = past.own - past.acknowledged
        previous = round(growth) if growth > 0 else 0
        if not (current or previous or self.rejected or self.read_at < now - self.reading_lifetime_ns):
            return None
        present.in_flight = current
        past.in_flight = previous
        rejected = self.rejected
        self.rejected = 0
        if full:
            return FullCount(self.name, present.number, current, previous, round(100 * weight))
        return CountDelta(self.name, present.number, current, previous, rejected)

    def forget_acknowledged(self) -> None:
        """Marks all counts as not acknowledged, for a counter that does not know them."""
        for window in (self.current, self.previous):
            window.acknowledged = 0.0
            window.last_total = 0.0
            window.in_flight = None

    def renumber(self, counter_time: int) -> None:
        """Renumbers the windows for another counter, whose windows start at other times but count as the same."""
        self.current.number = counter_time // self.quota.window
        self.previous.number = self.current.number - 1

    def read_full(self, now: int) -> None:
        """Sets the quota to full, as the counter reported that the tenant is not in use."""
        self.remaining = self.quota.depth
        self.remaining_at = now
        self.read_at = now

    def read(self, total: TenantTotal, now: int, acknowledges: bool) -> None:
        """Applies a tenant's totals: the others' counts are raised to the larger value (the RFC's `atomicMax`).

        `acknowledges`: no update is in flight, so the totals include the counts of the last one.
        """
        for window in (self.current, self.previous):
            if window.number == total.window:
                count = total.current
            elif window.number == total.window - 1:
                count = total.previous
            else:
                continue
            amount = (window.in_flight or 0.0) if acknowledges else 0.0
            if count >= window.last_total + amount:
                settle(window, amount, count)
            else:  # totals older than the last ones raise nothing
                window.acknowledged += amount
            if acknowledges:
                window.in_flight = None
        self.remaining = min(self.quota.depth, total.remaining)
        self.remaining_at = now
        self.read_at = now
        self.requested_per_s = total.requested_per_s
