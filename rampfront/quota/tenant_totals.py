"""The counter's totals of one tenant: sliding window, token bucket (or slots), and the request rate at all proxies.

Times are ns of the counter's clock. `missing_share` is the share of the proxies that are missing (`proxy_registry.py`):
the counter subtracts their even shares from the quota, as they may continue to use them.
"""

from math import exp

from ..terms import slotted
from .limits import SEC, Quota
from .messages import CountDelta, FullCount, TenantTotal
from .slot_counts import SlotCounts

REQUEST_RATE_TIME_CONSTANT_NS = SEC // 4  # short, so that the rate follows a surge at once
SPLIT_SLACK_SHARE = 0.4  # of the slack, for connected proxies while few are missing; 0 when half are missing
MIN_USABLE_SHARE = 0.05  # of a quota, for the connected proxies, however many are missing
FULL_BUCKET_TOLERANCE = 0.5  # a tenant that lacks less than this from a full bucket is not in use
NO_DEADLINE = 1 << 62  # ns; later than any time

ProxyIncarnation = tuple[str, int]  # name of a proxy, and its incarnation


def usable_share(quota: Quota, missing_share: float) -> float:
    """The share of a quota that the connected proxies may use; all of it if no proxy is missing.

    The even shares of the missing proxies are reserved for them. If two counters each miss the other's proxies, their
    usable shares add up to one: the part of the slack that is added is zero at half, and cancels out between the two.
    """
    spread = SPLIT_SLACK_SHARE * quota.slack / quota.allowance
    return max(MIN_USABLE_SHARE, min(1.0, 1.0 + spread * (1.0 - 2.0 * missing_share) - missing_share))


class WindowTotal:
    """The requests that all proxies admitted in one window. `TenantTotals.window` has the window's number."""

    __slots__ = ("by_proxy", "count")

    def __init__(self) -> None:
        """Starts with no counts."""
        self.count = 0
        self.by_proxy: dict[ProxyIncarnation, int] = {}

    def add(self, proxy: ProxyIncarnation, count: int) -> None:
        """Adds requests that a proxy admitted."""
        self.by_proxy[proxy] = self.by_proxy.get(proxy, 0) + count
        self.count += count

    def growth_to(self, proxy: ProxyIncarnation, count: int) -> int:
        """By how much `count` exceeds the known count of the proxy (the RFC's GREATEST)."""
        return max(0, count - self.by_proxy.get(proxy, 0))


@slotted
class TenantTotals:
    """The totals of one tenant."""

    name: str
    quota: Quota
    window: int  # number of the current window
    current: WindowTotal
    previous: WindowTotal
    slots: SlotCounts | None  # for a tenant without burst, instead of a bucket
    unaccounted: float  # for a tenant without burst: requests of the quota that no proxy has accounted for yet
    remaining: float  # requests left in the quota; negative if it is overdrawn
    remaining_at: int  # when `remaining` was computed
    announced_at: int  # time of the last announcement
    requested_at: int  # when `requested` was computed
    requested: float = 0.0  # requests per second at all proxies, with exponential decay
    unaccounted_until: int = NO_DEADLINE

    @classmethod
    def new(cls, name: str, quota: Quota, now: int, exhausted: bool) -> "TenantTotals":
        """Makes the totals of a new tenant.

        Args:
            name: of the tenant.
            quota: of the tenant.
            now: ns.
            exhausted: the quota counts as exhausted until proxies are credited with their shares (`credit_share`). This
                protects a counter that starts in a surge, and does not affect normal load, which is below the rate.
        """
        unaccounted = quota.depth if exhausted else 0.0
        return cls(
            name=name,
            quota=quota,
            window=now // quota.window,
            current=WindowTotal(),
            previous=WindowTotal(),
            slots=SlotCounts(quota) if quota.without_burst else None,
            unaccounted=unaccounted,
            remaining=quota.depth - unaccounted,
            remaining_at=now,
            announced_at=now - SEC,
            requested_at=now,
        )

    def start_refill(self, now: int) -> None:
        """Starts to refill the bucket, at the first update from any proxy."""
        self.remaining_at = now
        self.unaccounted_until = now + self.quota.window

    def change_quota(self, quota: Quota, now: int, missing_share: float) -> None:
        """Changes to a quota with the same window; an increase of the depth is available at once."""
        widened = max(0.0, quota.depth - self.quota.depth)
        self.remaining = min(quota.depth, self.update_remaining(now, missing_share) + widened)
        self.quota = quota

    def take_over(self, former: "TenantTotals", now: int, missing_share: float) -> None:
        """Takes over the remaining quota of `former`, which has another kind of window."""
        self.remaining = min(self.quota.depth, former.update_remaining(now, missing_share))
        self.unaccounted = 0.0

    def credit_share(self, share: float, unserved_ns: int, now: int, missing_share: float) -> None:
        """Credits a proxy that moves here from another counter with its even share of the quota.

        Args:
            share: fraction of the quota.
            unserved_ns: how long this counter has not given out that share.
            now: ns.
            missing_share: share of the proxies that are missing.
        """
        self.update_remaining(now, missing_share)
        credit = self.quota.depth * share * min(1.0, unserved_ns / self.quota.window)
        if self.slots is None:
            self.remaining += credit
        else:
            self.unaccounted = max(0.0, self.unaccounted - credit)

    def apply_delta(
        self, proxy: ProxyIncarnation, row: CountDelta, same_windows: bool, now: int, missing_share: float
    ) -> bool:
        """Adds the increase of a proxy's counts; returns whether the totals have changed.

        `same_windows`: the proxy numbers windows by this counter's time.
        """
        self.requested_per_s(now, row.current + row.previous + row.rejected)
        growth = self._align_windows(row, same_windows)
        if growth is None:
            return False
        current, previous = growth
        if current:
            self.current.add(proxy, current)
        if previous:
            self.previous.add(proxy, previous)
        self.update_remaining(now, missing_share)
        if self.slots is not None:
            self.slots.add(now, now, current + previous)
        weight = 1.0 - now % self.quota.window / self.quota.window
        self.remaining -= current + previous * weight
        return bool(current or previous)

    def apply_full(
        self, proxy: ProxyIncarnation, row: FullCount, same_windows: bool, now: int, missing_share: float
    ) -> bool:
        """Raises the known counts of a proxy to its full counts; returns whether the totals have changed.

        `same_windows` as in `apply_delta`.
        """
        self.requested_per_s(now)
        counts = self._align_windows(row, same_windows)
        if counts is None:
            return False
        current = self.current.growth_to(proxy, counts[0])
        previous = self.previous.growth_to(proxy, counts[1])
        if current:
            self.current.add(proxy, current)
        if previous:
            self.previous.add(proxy, previous)
        self.update_remaining(now, missing_share)
        weight = row.previous_weight_percent / 100
        if self.slots is not None:
            # When the proxy's previous window ended, by the proxy's own windows.
            previous_ended_at = now - int((1.0 - min(1.0, weight)) * self.quota.window)
            self.slots.add(now, now, current)
            self.slots.add(now, previous_ended_at, previous)
        self.remaining -= current + previous * weight
        return bool(current or previous)

    def _align_windows(self, row: CountDelta | FullCount, same_windows: bool) -> tuple[int, int] | None:
        """Returns the row's counts as (current, previous) of this counter's windows; None if the row is too old."""
        window = row.window if same_windows else self.window
        if window == self.window - 1:  # the window changed while the message was in flight
            return 0, row.current
        if 0 <= window < self.window:
            return None
        return row.current, row.previous

    def requested_per_s(self, now: int, requests: int = 0) -> float:
        """Request rate at all proxies, including rejected requests, with `requests` that were reported now."""
        if now == self.requested_at and not requests:
            return self.requested
        self.requested *= exp((self.requested_at - now) / REQUEST_RATE_TIME_CONSTANT_NS)
        self.requested += requests * SEC / REQUEST_RATE_TIME_CONSTANT_NS
        self.requested_at = now
        return self.requested

    def roll(self, now: int) -> None:
        """Rolls the windows."""
        window = now // self.quota.window
        if window != self.window:
            self.previous = self.current if window == self.window + 1 else WindowTotal()
            self.current = WindowTotal()
            self.window = window

    def update_remaining(self, now: int, missing_share: float) -> float:
        """Updates and returns the remaining quota.

        It is the bucket's level or, without burst, the limit minus the count of the last window.
        """
        quota = self.quota
        share = usable_share(quota, missing_share) if missing_share else 1.0
        if self.slots is None:
            refill = quota.per_s * (now - self.remaining_at) / SEC
            self.remaining = min(quota.depth * share, self.remaining + refill * share)
        else:
            if now >= self.unaccounted_until:
                self.unaccounted = 0.0
            admitted = self.slots.admitted(now)
            self.remaining = quota.limit * share - admitted - self.unaccounted - self.slots.reserved(quota, now)
        self.remaining_at = now
        return self.remaining

    def in_use(self, now: int, missing_share: float) -> bool:
        """Whether the tenant has counts, or its bucket is not full."""
        if self.current.count or self.previous.count:
            return True
        return self.update_remaining(now, missing_share) < self.quota.depth - FULL_BUCKET_TOLERANCE

    def row(self, now: int, missing_share: float) -> TenantTotal:
        """Returns the tenant's row for a message."""
        remaining = self.update_remaining(now, missing_share)
        # The missing proxies' part of the slack is reserved for them too.
        if missing_share:
            remaining -= self.quota.connected_slack * (1.0 - usable_share(self.quota, missing_share))
        proxies = len(self.current.by_proxy) or 1
        requested_per_s = round(self.requested_per_s(now))
        return TenantTotal(
            self.name,
            self.window,
            self.current.count,
            self.previous.count,
            round(remaining),
            proxies,
            requested_per_s,
        )
