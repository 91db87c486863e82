"""The counter's time, as a proxy reckons it: the windows of all proxies are numbered by it.

The steady clocks of two machines have nothing in common, and the time of day steps; so each proxy learns the difference
from answers, the better the sooner they came.
"""

from math import inf


class CounterClock:
    """Maps a proxy's time to the counter's, in ns."""

    def __init__(self) -> None:
        """Begins with the proxy's own time."""
        self.offset = 0  # the counter's time less the proxy's,
        self.best_round_trip: float = inf  # learned from an answer that took so long
        self.latest = 0  # the last time that was told: time does not go back

    def time(self, now: int) -> int:
        """The counter's time at the proxy's time `now`; never before one that was returned earlier."""
        counter_time = now + self.offset
        self.latest = max(self.latest, counter_time)
        return self.latest

    def peek(self, now: int) -> int:
        """As `time`, without taking it to be told."""
        return now + self.offset

    def reset_round_trip(self) -> None:
        """Whatever answers next, its time is better than what is known."""
        self.best_round_trip = inf

    def learn(self, now: int, counter_time: int, sent_at: int, repeated: bool) -> None:
        """Takes in an answer if it came sooner than the best so far.

        Args:
            now: when it came.
            counter_time: the counter's time in it.
            sent_at: when the request was sent last.
            repeated: whether the request was sent before that too, so that the round trip is not known.
        """
        if not repeated and now - sent_at < self.best_round_trip:
            self._take(now, counter_time, sent_at, repeated)

    def adopt(self, now: int, counter_time: int, sent_at: int, repeated: bool) -> int:
        """Goes by another counter's clock from its first answer on, and returns its time. Arguments as in `learn`."""
        self._take(now, counter_time, sent_at, repeated)
        self.latest = now + self.offset
        return self.latest

    def _take(self, now: int, counter_time: int, sent_at: int, repeated: bool) -> None:
        round_trip = now - sent_at
        self.offset = counter_time + round_trip // 2 - now
        self.best_round_trip = inf if repeated else round_trip
