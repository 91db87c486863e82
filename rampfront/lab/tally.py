"""What the emulator counts: executions of txns, units let in by account, the counter's numbers. No I/O, no clock.

`Executions` and `Admissions` are the ground truth that reports go by; they grow with the txns of a run, which ends.
"""

from array import array

MS, SEC = 10**6, 10**9
INQUIRY, REFERENCED, ONCE_ONLY = range(3)


class Executions:
    """How often each txn ran. `txn` is the client's own txn, the same over all of its tries."""

    def __init__(self):
        self.once_only_counts, self.last_run_by_key, self.dropped_repeats = {}, {}, 0

    def record(self, effect, txn, key, window_ns, now):
        """Counts one run. A referenced txn whose key ended well within its window is dropped as a repeat."""
        if effect == ONCE_ONLY:
            self.once_only_counts[txn] = self.once_only_counts.get(txn, 0) + 1
        elif effect == REFERENCED:
            if key in self.last_run_by_key and now - self.last_run_by_key[key] < window_ns:
                self.dropped_repeats += 1
                return False
            self.last_run_by_key[key] = now
        return True

    def executed_more_than_once(self):
        """Once-only txns that ran more than once, with how often."""
        return {txn: times for txn, times in self.once_only_counts.items() if times > 1}


class Admissions:
    """First submissions as they reach a box: when, whose, how many units. A later submission under the same
    X-Request-Id is of the same try and takes nothing."""

    def __init__(self):
        self.times, self.account, self.units, self.seen_requests, self.repeated = (
            array("q"),
            array("l"),
            array("d"),
            set(),
            0,
        )

    def record(self, request, account, units, now):
        if request in self.seen_requests:
            self.repeated += 1
            return False
        self.seen_requests.add(request)
        self.times.append(now)
        self.account.append(account)
        self.units.append(units)
        return True


class CounterStore:
    """The counter's numbers by name, each with its life. Emptied of what has run out as it is asked, and swept."""

    def __init__(self):
        self.rows, self.swept_at = {}, 0

    def add(self, name, amount, lifetime_ns, now):
        """The total behind an add. `lifetime_ns` in ns counts for a new name; 60 s at most."""
        row = self.rows.get(name)
        if row is None or row[1] <= now:
            row = self.rows[name] = [0.0, now + min(max(lifetime_ns, MS), 60 * SEC)]
        row[0] += amount
        if now - self.swept_at > SEC:
            self.swept_at = now
            self.rows = {key: last_run_by_key for key, last_run_by_key in self.rows.items() if last_run_by_key[1] > now}
        return row[0]


class RateLimitedQueue:
    """Calls served in turn at a fixed rate: when a call that comes now is answered; None if it is turned away."""

    def __init__(self, per_s, longest_wait_ms):
        self.interval_ns, self.longest_wait_ns, self.next_free_at = SEC / per_s, longest_wait_ms * MS, 0.0

    def take(self, now):
        start = max(now, self.next_free_at)
        if start - now > self.longest_wait_ns:
            return None
        self.next_free_at = start + self.interval_ns
        return self.next_free_at


def format_total(number):
    """A total as the counter words it: exact to ten digits."""
    return b"%.10g" % number


class TokenBucket:
    """A quota's true store: starts full, fills at `rate`, holds `burst`. A try that fits takes its units; one that
    does not is beyond the quota and takes nothing."""

    def __init__(self, rate, burst):
        self.rate, self.burst, self.level, self.updated_at = rate, burst, burst, 0

    def take(self, units, now):
        self.level = min(self.burst, self.level + (now - self.updated_at) / SEC * self.rate)
        self.updated_at = now
        if self.level + 1e-9 < units:
            return False
        self.level -= units
        return True
