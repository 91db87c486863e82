"""The emulator's counts: executions, admitted units by account, and the shared counter's values. No I/O, no clock.

Reports rely on `Executions` and `Admissions` as the ground truth. Both grow with the transactions of a run, whose
duration is bounded.
"""

from array import array

MS, SEC = 10**6, 10**9
INQUIRY, REFERENCED, ONCE_ONLY = range(3)


class Executions:
    """Number of executions of each transaction. `txn` is the client's transaction ID, which is the same for all of its
    tries."""

    def __init__(self):
        """Starts without executions."""
        self.once_only_counts, self.last_run_by_key, self.dropped_repeats = {}, {}, 0

    def record(self, effect, txn, key, window_ns, now):
        """Counts one execution. Returns False for a referenced transaction whose key was executed within its window: it
        is dropped as a repeat."""
        if effect == ONCE_ONLY:
            self.once_only_counts[txn] = self.once_only_counts.get(txn, 0) + 1
        elif effect == REFERENCED:
            if key in self.last_run_by_key and now - self.last_run_by_key[key] < window_ns:
                self.dropped_repeats += 1
                return False
            self.last_run_by_key[key] = now
        return True

    def executed_more_than_once(self):
        """Returns the once-only transactions that were executed more than once, with their number of executions."""
        return {txn: times for txn, times in self.once_only_counts.items() if times > 1}


class Admissions:
    """First submissions as they arrive at a server: time, account and units. A later submission with the same
    X-Request-Id belongs to the same try and takes no units."""

    def __init__(self):
        """Starts without admissions."""
        self.times, self.account, self.units, self.seen_requests, self.repeated = (
            array("q"),
            array("l"),
            array("d"),
            set(),
            0,
        )

    def record(self, request, account, units, now):
        """Records a submission. Returns False if its request ID has been seen before."""
        if request in self.seen_requests:
            self.repeated += 1
            return False
        self.seen_requests.add(request)
        self.times.append(now)
        self.account.append(account)
        self.units.append(units)
        return True


class CounterStore:
    """The counter's values by name, each with a lifetime. Expired values are replaced when they are used, and removed
    once a second."""

    def __init__(self):
        """Starts empty."""
        self.rows, self.swept_at = {}, 0

    def add(self, name, amount, lifetime_ns, now):
        """Adds to a value and returns the total. `lifetime_ns` applies to a new name; it is at least 1 ms and at most
        60 s."""
        row = self.rows.get(name)
        if row is None or row[1] <= now:
            row = self.rows[name] = [0.0, now + min(max(lifetime_ns, MS), 60 * SEC)]
        row[0] += amount
        if now - self.swept_at > SEC:
            self.swept_at = now
            self.rows = {key: row for key, row in self.rows.items() if row[1] > now}
        return row[0]


class RateLimitedQueue:
    """A queue of calls that are served in order at a fixed rate."""

    def __init__(self, per_s, longest_wait_ms):
        """`per_s`: calls served a second; `longest_wait_ms`: calls that would wait longer are rejected."""
        self.interval_ns, self.longest_wait_ns, self.next_free_at = SEC / per_s, longest_wait_ms * MS, 0.0

    def take(self, now):
        """Returns the time in ns when a call that arrives now is answered, or None if it is rejected."""
        start = max(now, self.next_free_at)
        if start - now > self.longest_wait_ns:
            return None
        self.next_free_at = start + self.interval_ns
        return self.next_free_at


def format_total(number):
    """Returns a total as the counter writes it, exact to ten digits."""
    return b"%.10g" % number


class TokenBucket:
    """The exact token bucket of a quota over all nodes: it starts full, fills at `rate` and holds `burst`. A try that
    fits takes its units; one that does not fit exceeds the quota and takes nothing."""

    def __init__(self, rate, burst):
        """`rate`: units a second; `burst`: units that it holds."""
        self.rate, self.burst, self.level, self.updated_at = rate, burst, burst, 0

    def take(self, units, now):
        """Takes the units and returns True if the bucket holds them at `now` (ns)."""
        self.level = min(self.burst, self.level + (now - self.updated_at) / SEC * self.rate)
        self.updated_at = now
        if self.level + 1e-9 < units:
            return False
        self.level -= units
        return True
