"""The counter's totals of one tenant: sliding window, bucket (or slots), and how many requests all proxies have.

Times are ns of the counter's clock. `missing_share` is the part of the proxies that the counter does not hear
(`proxy_registry.py`): it takes their even shares off the quota, as they may go on using them.
"""

from math import exp

from ..terms import slotted
from .limits import SEC, Quota
from .messages import CountDelta, FullCount, TenantTotal
from .slot_counts import SlotCounts

REQUEST_RATE_TIME_CONSTANT_NS = SEC // 4  # time constant of the requested rate: it follows a surge at once
SPLIT_SLACK_SHARE = 0.4  # of the slack, for proxies in touch while few others are missing; none for half of them
MIN_USABLE_SHARE = 0.05  # of a quota that the proxies in touch may use, whoever is missing
FULL_BUCKET_TOLERANCE = 0.5  # requests missing from a full bucket below which a tenant is taken to be out of use
NO_DEADLINE = 1 << 62  # ns: later than any time

ProxyIncarnation = tuple[str, int]  # a proxy's name, and its incarnation


def usable_share(quota: Quota, missing_share: float) -> float:
    """The part of a quota that the proxies in touch may use, while some are missing; else it is all of it.

    The even shares of the missing ones are left to them. Two counters that each miss the other's proxies add up to one:
    the part of the slack that is added is nothing at half, and cancels out between the two."""
    spread = SPLIT_SLACK_SHARE * quota.slack / quota.allowance
    return max(MIN_USABLE_SHARE, min(1.0, 1.0 + spread * (1.0 - 2.0 * missing_share) - missing_share))


class WindowTotal:
    """Requests admitted in one window by all proxies. Its number stands in `TenantTotals.window`."""

    __slots__ = ("by_proxy", "count")

    def __init__(self) -> None:
        """None yet."""
        self.count = 0
        self.by_proxy: dict[ProxyIncarnation, int] = {}

    def add(self, proxy: ProxyIncarnation, count: int) -> None:
        """Counts requests that a proxy admitted."""
        self.by_proxy[proxy] = self.by_proxy.get(proxy, 0) + count
        self.count += count

    def growth_to(self, proxy: ProxyIncarnation, count: int) -> int:
        """By how much `count` is more than what is known of the proxy: the RFC's GREATEST."""
        return max(0, count - self.by_proxy.get(proxy, 0))


@slotted
class TenantTotals:
    """One tenant's totals."""

    name: str
    quota: Quota
    window: int  # number of the present window
    current: WindowTotal
    previous: WindowTotal
    slots: SlotCounts | None  # without burst, in place of a bucket
    unaccounted: float  # without burst, requests of the quota that nobody has accounted for yet
    remaining: float  # requests that the quota has left; below 0 a debt
    remaining_at: int  # when that was
    announced_at: int  # when it was last announced
    requested_at: int  # when `requested` was
    requested: float = 0.0  # requests a second to all proxies, fading
    unaccounted_until: int = NO_DEADLINE

    @classmethod
    def new(cls, name: str, quota: Quota, now: int, exhausted: bool) -> "TenantTotals":
        """A tenant that is not known yet.

        Args:
            name: of the tenant.
            quota: of the tenant.
            now: ns.
            used_up: the quota is taken to be used up, until proxies bring their shares of it (`bring_share`). Guards
                against a counter that starts in a surge. Harm: none to usual load, which is below the rate.
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
        """The first update of all came: the bucket fills from now on."""
        self.remaining_at = now
        self.unaccounted_until = now + self.quota.window

    def change_quota(self, quota: Quota, now: int, missing_share: float) -> None:
        """Goes on under another quota with the same window: what it is wider by is free at once."""
        widened = max(0.0, quota.depth - self.quota.depth)
        self.remaining = min(quota.depth, self.update_remaining(now, missing_share) + widened)
        self.quota = quota

    def take_over(self, former: "TenantTotals", now: int, missing_share: float) -> None:
        """Goes on with what `former` had left, whose quota has another kind of window."""
        self.remaining = min(self.quota.depth, former.update_remaining(now, missing_share))
        self.unaccounted = 0.0

    def credit_share(self, share: float, unserved_ns: int, now: int, missing_share: float) -> None:
        """A proxy brings its even share of the quota from another counter.

        Args:
            share: of each quota.
            unserved_ns: for how long its share was not given out here.
            now: ns.
            missing_share: of the proxies.
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
        """Adds what a proxy's counts grew by; returns whether totals changed. `same_windows`: the proxy numbers windows
        by this counter's time."""
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
        """Raises what is known of a proxy to all of its counts; returns whether totals changed. `same_windows` as in
        `apply_delta`."""
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
            # The proxy's previous window ended so long ago, by its own windows.
            previous_ended_at = now - int((1.0 - min(1.0, weight)) * self.quota.window)
            self.slots.add(now, now, current)
            self.slots.add(now, previous_ended_at, previous)
        self.remaining -= current + previous * weight
        return bool(current or previous)

    def _align_windows(self, row: CountDelta | FullCount, same_windows: bool) -> tuple[int, int] | None:
        """The row's counts of this counter's (current, previous) window; None: they are of windows that ended."""
        window = row.window if same_windows else self.window
        if window == self.window - 1:  # the message crossed the window's end
            return 0, row.current
        if 0 <= window < self.window:
            return None
        return row.current, row.previous

    def requested_per_s(self, now: int, requests: int = 0) -> float:
        """The rate of requests to all proxies, rejected ones too, with `requests` that came now."""
        if now == self.requested_at and not requests:
            return self.requested
        self.requested *= exp((self.requested_at - now) / REQUEST_RATE_TIME_CONSTANT_NS)
        self.requested += requests * SEC / REQUEST_RATE_TIME_CONSTANT_NS
        self.requested_at = now
        return self.requested

    def roll(self, now: int) -> None:
        """Ages windows out."""
        window = now // self.quota.window
        if window != self.window:
            self.previous = self.current if window == self.window + 1 else WindowTotal()
            self.current = WindowTotal()
            self.window = window

    def update_remaining(self, now: int, missing_share: float) -> float:
        """Works out and returns what the quota has left: the bucket's level; without burst, the limit less the last
        window's count."""
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
        """Whether there are counts, or less than a full bucket."""
        if self.current.count or self.previous.count:
            return True
        return self.update_remaining(now, missing_share) < self.quota.depth - FULL_BUCKET_TOLERANCE

    def row(self, now: int, missing_share: float) -> TenantTotal:
        """The tenant as a message has it."""
        remaining = self.update_remaining(now, missing_share)
        # The missing proxies' part of the slack is left to them too.
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
