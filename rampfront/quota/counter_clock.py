"""A proxy's estimate of the counter's time, by which the windows of all proxies are numbered.

The steady clocks of two machines are unrelated, and the time of day can step. Each proxy therefore estimates the offset
from answers; the shorter the round trip, the better the estimate.
"""

from math import inf


class CounterClock:
    """Converts a proxy's time to the counter's, in ns."""

    def __init__(self) -> None:
        """Starts with an offset of 0."""
        self.offset = 0  # the counter's time minus the proxy's
        self.best_round_trip: float = inf  # round trip of the answer that gave the offset
        self.latest = 0  # latest time returned: time must not go back

    def time(self, now: int) -> int:
        """Returns the counter's time at the proxy's time `now`; never earlier than a time returned before."""
        counter_time = now + self.offset
        self.latest = max(self.latest, counter_time)
        return self.latest

    def peek(self, now: int) -> int:
        """Returns the same as `time`, but without recording it as returned."""
        return now + self.offset

    def reset_round_trip(self) -> None:
        """Makes the next answer replace the estimate, whatever its round trip."""
        self.best_round_trip = inf

    def learn(self, now: int, counter_time: int, sent_at: int, repeated: bool) -> None:
        """Updates the estimate from an answer if its round trip is the shortest so far.

        Args:
            now: arrival time.
            counter_time: the counter's time in the answer.
            sent_at: when the request was last sent.
            repeated: the request was sent more than once, so the round trip is not known.
        """
        if not repeated and now - sent_at < self.best_round_trip:
            self._take(now, counter_time, sent_at, repeated)

    def adopt(self, now: int, counter_time: int, sent_at: int, repeated: bool) -> int:
        """Switches to another counter's clock at its first answer; returns its time. Arguments as in `learn`."""
        self._take(now, counter_time, sent_at, repeated)
        self.latest = now + self.offset
        return self.latest

    def _take(self, now: int, counter_time: int, sent_at: int, repeated: bool) -> None:
        round_trip = now - sent_at
        self.offset = counter_time + round_trip // 2 - now
        self.best_round_trip = inf if repeated else round_trip
