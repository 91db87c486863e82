"""A proxy's counts of one tenant: what it admitted itself, the others' admissions, and what the quota has left.

Windows are `state.Window`, aged, weighed and settled by `epoch`, as the edge node's are (RFC 0015, "Counter entry
shape" and "Sync path"). In a window `own` is what was admitted here, `sent` the part of it that the counter
acknowledged, `flying` the part that is in the update under way, `held` the others' admissions, which are only ever
raised, and `seen` the last total.
"""

from ..epoch import settle, weigh
from ..state import Window
from ..terms import slotted
from .limits import MS, SEC, Quota
from .messages import PROXY_TIMEOUT_NS, CountDelta, CountRow, FullCount, TenantTotal
from .update_schedule import TICK_NS

NEVER_READ = -(10**18)  # ns: long ago
NEVER_USED = -(1 << 62)  # ns
NOT_GRANTED = -1
# While a quota runs low the counter announces it more often than this: silence means that nobody uses it.
ANNOUNCEMENT_TIMEOUT_NS = SEC // 4
ANNOUNCEMENT_TIMEOUT_S = ANNOUNCEMENT_TIMEOUT_NS / SEC
# Of its even share of the rate, for an isolated proxy: what many of them draw by chance scatters.
ISOLATED_RATE_SHARE = 0.85
ISOLATED_DEPTH_S = 0.25  # of the rate, for an isolated proxy of a tenant without burst
READING_WITHOUT_BURST_NS = 100 * MS  # such a count falls by leaps, and is read anew sooner


def _reading_lifetime_ns(quota: Quota) -> int:
    return READING_WITHOUT_BURST_NS if quota.without_burst else TICK_NS


@slotted
class TenantCounts:
    """One tenant as a proxy knows it."""

    name: str
    quota: Quota
    now: Window  # of the present; named as `epoch` reads it
    past: Window  # the one before
    used_at: int  # when a request came last
    remaining: float  # requests that the quota had left, as the counter said; below 0 a debt
    remaining_at: int  # when it said so
    reading_lifetime_ns: int  # how old a reading may be before it is read anew
    read_at: int = NEVER_READ  # when totals came last
    requested_per_s: float = 0.0  # by requests to all proxies, rejected ones too, as the counter said
    rejected: int = 0  # requests rejected here since the last update
    even_share: float = 0.0  # requests that an isolated proxy has left of its even share of the quota
    even_share_at: int = NOT_GRANTED  # when that was

    @classmethod
    def new(cls, name: str, quota: Quota, now: int, counter_time: int) -> "TenantCounts":
        """A tenant without counts. Its quota is taken to be full, but to an isolated proxy, until totals come."""
        number = counter_time // quota.window
        return cls(
            name, quota, Window(number), Window(number - 1), NEVER_USED, quota.depth, now, _reading_lifetime_ns(quota)
        )

    def change_quota(self, quota: Quota, weight: float, counter_time: int) -> None:
        """Goes on under another quota; the windows are rolled, and the past one counts by `weight`."""
        if quota.window != self.quota.window:
            # Windows of another length: both counts as one, all of it acknowledged under the old quota already.
            own, others = weigh(self, weight)
            number = counter_time // quota.window
            self.now = Window(number, own, own)
            self.past = Window(number - 1)
            self.now.held = others
        self.remaining = min(quota.depth, self.remaining + max(0.0, quota.depth - self.quota.depth))
        self.reading_lifetime_ns = _reading_lifetime_ns(quota)
        self.quota = quota

    def unacknowledged(self) -> float:
        """Requests admitted here that the counter has not acknowledged."""
        return self.now.own - self.now.sent + self.past.own - self.past.sent

    def unsent(self) -> float:
        """Requests admitted here that are not in the update under way either."""
        present = self.now
        past = self.past
        unacknowledged = present.own - present.sent + past.own - past.sent
        return unacknowledged - (present.flying or 0) - (past.flying or 0)

    def refund(self) -> None:
        """One admitted request reached no server. Where it is acknowledged already, it nets against later growth."""
        window = self.now if self.now.own >= 1 else self.past
        if window.own >= 1:
            window.own -= 1
            self.even_share += 1

    # ---- what the quota has left

    def reading_age(self, now: int, last_contact_at: int) -> int:
        """How old the reading of the quota is known to be, in ns.

        Only a message from the counter shows that it had no more to announce of this tenant. Guards against a proxy
        that was just cut off, to which a full quota would seem to refill."""
        known_until = last_contact_at + ANNOUNCEMENT_TIMEOUT_NS
        known_until = min(known_until, now)
        age_ns = known_until - self.remaining_at
        return age_ns if age_ns > 0 else 0

    def available(self, reading_age_ns: int) -> float:
        """What the quota has left in requests: as last read, what refilled since, less what was admitted here and is
        not acknowledged."""
        age_s = reading_age_ns / SEC
        known_s = min(age_s, ANNOUNCEMENT_TIMEOUT_S)
        refill = self.quota.per_s * age_s - min(self.quota.per_s, self.requested_per_s) * known_s
        return min(self.quota.depth, self.remaining + refill) - self.unacknowledged()

    def update_even_share(self, now: int, last_contact_at: int, proxy_count: int) -> float:
        """Works out and returns what an isolated proxy has left, in requests.

        It is an even share of what the quota had left at the last reading, and grows from when the counter misses the
        proxy, and leaves it its share of the rate."""
        quota = self.quota
        depth = quota.depth
        grows_from = last_contact_at + PROXY_TIMEOUT_NS
        if quota.without_burst:  # the proxies in touch may have admitted a whole window's at once
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
        """What is to be sent of the tenant, which is under way from now on; None if there is nothing.

        Args:
            full: all counts are sent, not what grew; none are acknowledged then.
            weight: of the past window.
            now: ns.
        """
        present = self.now
        past = self.past
        growth = present.own - present.sent
        current = round(growth) if growth > 0 else 0
        growth = past.own - past.sent
        previous = round(growth) if growth > 0 else 0
        if not (current or previous or self.rejected or self.read_at < now - self.reading_lifetime_ns):
            return None
        present.flying = current
        past.flying = previous
        rejected = self.rejected
        self.rejected = 0
        if full:
            return FullCount(self.name, present.number, current, previous, round(100 * weight))
        return CountDelta(self.name, present.number, current, previous, rejected)

    def forget_acknowledged(self) -> None:
        """The counter knows nothing of this proxy's counts."""
        for window in (self.now, self.past):
            window.sent = 0.0
            window.seen = 0.0
            window.flying = None

    def renumber(self, counter_time: int) -> None:
        """Another counter's windows begin at other moments: the present ones are taken to be the same."""
        self.now.number = counter_time // self.quota.window
        self.past.number = self.now.number - 1

    def read_full(self, now: int) -> None:
        """The counter said that nobody uses the tenant."""
        self.remaining = self.quota.depth
        self.remaining_at = now
        self.read_at = now

    def read(self, total: TenantTotal, now: int, acknowledges: bool) -> None:
        """Takes in a tenant's totals: the others' figures are raised to the larger value (the RFC's `atomicMax`).
        `acknowledges`: no update is under way, so that what was in the last one is in the totals."""
        for window in (self.now, self.past):
            if window.number == total.window:
                count = total.current
            elif window.number == total.window - 1:
                count = total.previous
            else:
                continue
            amount = (window.flying or 0.0) if acknowledges else 0.0
            if count >= window.seen + amount:
                settle(window, amount, count)
            else:  # an older total than the last raises nothing
                window.sent += amount
            if acknowledges:
                window.flying = None
        self.remaining = min(self.quota.depth, total.remaining)
        self.remaining_at = now
        self.read_at = now
        self.requested_per_s = total.requested_per_s
