"""Detects and damps retry and reconnect storms, and advises clients. No I/O, no clock, no choice of servers.

It runs before `choice.py`: it says whether an attempt repeats one that this node knows, whether it is declined at once
because of a storm, and when its client should come back. Attempts that pass are decided by `choice.py` as usual.

- A repeat is an attempt of a txn whose earlier attempt was not settled (or is open): the same account, product and key,
  or the same fingerprint if there is no key. Its units are not taken from the account's rate again. Ceilings count
  each attempt, as the rules demand.
- Retries are admitted within a budget: `retry_share` of a retry for each first attempt, and `min_retries_per_s` in any
  case.
- In a storm the budget goes first to the products of higher value: the lower the value, the more budget must be left.
- While retries are many, a retry that is already too late for its latency target is admitted only within the budget,
  and only while nearly all admitted attempts settle.
- Retry-After is the number of waiting txns over those settled a second, as measured. It is spread, so that the clients
  do not come back in one wave.

State: `Repeats` holds two generations of at most `max_rows` rows, each for one window. Rows are removed when their txn
settles, and by age.
"""

from hashlib import blake2b

MS, SEC = 10**6, 10**9
SPREAD = 0.5  # advice is drawn between SPREAD and 1 + SPREAD times the computed time
HALF_LIFE_NS = 2 * SEC  # of the events in a measured rate
MIN_RETRY_SHARE, MIN_ATTEMPTS_PER_S = 0.05, 20.0  # a storm needs a larger part of retries; of at least so many attempts
# parts of the admitted attempts that settle: below the first capacity is short, below the second none is to spare
SHORT_SHARE, FULL_SHARE = (0.5, 0.9)


class Repeats:
    """Recent attempts that did not settle: mark to [attempts, whether units were counted, time of the first]."""

    def __init__(self, window, max_rows):
        """Starts empty. `window`: ns."""
        self.window, self.max_rows, self.rotated_at, self.current, self.previous = window, max_rows, 0, {}, {}

    def rotate(self, at):
        """Starts a new generation once the current one is full or older than a window."""
        if at - self.rotated_at >= self.window or len(self.current) >= self.max_rows:
            self.previous = self.current if at - self.rotated_at < 2 * self.window else {}
            self.current, self.rotated_at = {}, at

    def record_attempt(self, mark, at):
        """Counts an attempt. Returns the row of its txn if an earlier one did not settle; None for a first attempt."""
        self.rotate(at)
        row = self.current.get(mark)
        if row is None and mark in self.previous:
            row = self.current[mark] = self.previous.pop(mark)
        if row is None:
            self.current[mark] = [1, False, at]
            return None
        row[0] += 1
        return row

    def sent(self, mark):
        """Notes that the units of the txn were counted."""
        row = self.current.get(mark) or self.previous.get(mark)
        if row:
            row[1] = True

    def settled(self, mark):
        """Removes the row of a settled txn."""
        self.current.pop(mark, None)
        self.previous.pop(mark, None)


class Rate:
    """An exponentially decaying rate of events, per second."""

    def __init__(self):
        """Starts at zero."""
        self.sum, self.at = 0.0, 0

    def read(self, at):
        """Returns the rate at `at`, in ns."""
        self.sum *= 0.5 ** ((at - self.at) / HALF_LIFE_NS)
        self.at = at
        return self.sum * 0.693147 * SEC / HALF_LIFE_NS

    def add(self, at, amount=1.0):
        """Counts an event."""
        self.read(at)
        self.sum += amount


class Bucket:
    """A token bucket: `rate` tokens a second, at most `depth`."""

    def __init__(self, rate, depth):
        """Starts full."""
        self.rate, self.depth, self.level, self.at = rate, depth, depth, 0

    def refill(self, at):
        """Adds the tokens earned since the last call. Returns the level."""
        if self.at:
            self.level = min(self.depth, self.level + (at - self.at) / SEC * self.rate)
        self.at = at
        return self.level

    def take(self, at, amount=1.0):
        """Takes tokens if there are enough. Returns whether it did."""
        if self.refill(at) < amount:
            return False
        self.level -= amount
        return True


class Storm:
    """Storm control of one node.

    Attributes:
        draw: `draw(low, high)` returns a random number.
        retry_share: retries admitted for each first attempt.
        max_retry_after: the longest advice, ns.
        latency_targets: of the products, by index, ns.
        counts: the log's counters, among them the `storm_` ones.
    """

    def __init__(
        self,
        values,
        latency_targets,
        draw,
        counts,
        retry_share=0.2,
        min_retries_per_s=10.0,
        window=30 * SEC,
        max_rows=50_000,
        accepts_per_s=500.0,
        max_retry_after=5 * SEC,
    ):
        """Starts without attempts.

        Args:
            values: of the products, by index.
            latency_targets: of the products, by index, ns.
            draw: as in the attributes.
            counts: as in the attributes.
            retry_share: as in the attributes.
            min_retries_per_s: retries admitted in any case.
            window: how long an attempt is remembered, ns.
            max_rows: of a generation of `Repeats`.
            accepts_per_s: new connections admitted.
            max_retry_after: as in the attributes.
        """
        self.draw, self.retry_share, self.max_retry_after, self.latency_targets, self.counts = (
            draw,
            retry_share,
            max_retry_after,
            latency_targets,
            counts,
        )
        top = max(values)
        # by product: the part of the budget that a retry leaves to products of higher value
        self.floors = [1.0 - value / top for value in values]
        self.repeats = Repeats(window, max_rows)
        self.budget = Bucket(min_retries_per_s, max(20.0, 2.0 * min_retries_per_s))
        self.accepts = Bucket(accepts_per_s, accepts_per_s)
        self.attempts, self.retries, self.settles = Rate(), Rate(), Rate()
        self.admitted = Rate()  # attempts that were passed to `choice.py`

    # ---- attempts

    @staticmethod
    def mark(account, product, key, url, body):
        """The mark of a txn: a digest of its key, or of its target and body if it has no key."""
        digest = blake2b(key or url, digest_size=8)
        digest.update(b"" if key else body)
        return account, product, digest.digest()

    def arrived(self, mark, product, flagged, at):
        """An attempt arrived. `flagged`: its client marked it as a retry.

        Returns (counted, retry_after): whether its units were counted for an earlier attempt, and, if it is declined
        because of the storm, the advice in ns, else None."""
        row = self.repeats.record_attempt(mark, at)
        self.attempts.add(at)
        if row is None and not flagged:
            self.counts["storm_firsts"] += 1
            self.budget.level = min(self.budget.depth, self.budget.refill(at) + self.retry_share)
            self.admitted.add(at)
            return False, None
        self.retries.add(at)
        self.counts["storm_repeats"] += 1
        counted = bool(row and row[1])
        late = row is not None and at - row[2] > self.latency_targets[product]
        if not (self.is_storm(at) and (late or self.is_short(at, SHORT_SHARE))):
            self.admitted.add(at)
            return counted, None
        floor = self.floors[product] * 0.5 * self.budget.depth
        if self.budget.refill(at) < 1.0 + floor or late and self.is_short(at, FULL_SHARE):
            self.counts["storm_shed"] += 1
            return counted, self.advice(0, at)
        self.budget.level -= 1.0
        self.counts["storm_spent"] += 1
        self.admitted.add(at)
        return counted, None

    def is_storm(self, at):
        """Returns whether there are more retries than in normal operation."""
        return self.retries.read(at) > MIN_RETRY_SHARE * max(MIN_ATTEMPTS_PER_S, self.attempts.read(at))

    def is_short(self, at, part):
        """Returns whether the fleet settles less than `part` of the admitted attempts.

        Prevents a storm from outliving its cause. Once admitted attempts settle again, retries that may be in time are
        admitted, and the fleet's own capacity decides. Late retries get the budget, and only while nearly all settle:
        otherwise they would take capacity from first attempts, which would then be late as well, and so on."""
        return self.settles.read(at) < part * self.admitted.read(at)

    def sent(self, mark):
        """A submission of the txn was sent, so its units are counted."""
        self.repeats.sent(mark)

    def settled(self, mark, at):
        """The txn was answered with a response."""
        self.repeats.settled(mark)
        self.settles.add(at)

    def advice(self, least, at):
        """Returns when a declined client should come back, in ns: waiting txns over those settled a second, spread.

        It is at least `least`, and without a storm just that, as `choice.py` decided. This protects well-behaved
        clients after an outage: one decline for want of capacity would otherwise send them away for as long as those
        txns take that were settled on another node long ago."""
        if least and not (self.is_storm(at) and self.is_short(at, SHORT_SHARE)):
            return least
        waits = len(self.repeats.current)  # txns, not attempts: aggressive clients must not lengthen the wait of others
        computed = waits / max(1.0, self.settles.read(at)) * SEC
        # The longest advice is spread like any other, so that the clients that got it do not return in one wave.
        longest = self.max_retry_after / (1.0 + SPREAD)
        return int(min(longest, max(least, 100 * MS, computed)) * self.draw(SPREAD, 1.0 + SPREAD))

    # ---- connections

    def connected(self, at):
        """Returns whether a new connection is within the accept rate. If not, it is closed after a declined txn."""
        if self.accepts.take(at):
            return True
        self.counts["storm_damped"] += 1
        return False
