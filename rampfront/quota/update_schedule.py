"""Schedules a proxy's updates: at a jittered tick, earlier if counts have grown, and again until they are answered.

The tick is the RFC's flush period with its jitter, but shorter than `PROXY_TIMEOUT_NS`, so that a proxy in use does not
count as missing.
"""

from random import Random

from .limits import MS, SEC

TICK_NS = 3 * SEC // 5  # mean interval of updates while a tenant is in use
JITTER = 0.2  # as a fraction of the interval, in both directions
MAX_TICK_NS = int(TICK_NS * (1 + JITTER))
RETRY_NS = 150 * MS  # an update without an answer is resent after this time
MAX_BACKOFF = 8  # limit of the factor for RETRY_NS
NEVER = 1 << 62  # ns; later than any time


class UpdateSchedule:
    """The times at which updates are due, in ns."""

    def __init__(self, random: Random, flush_at: int) -> None:
        """The first update is due at `flush_at`; `random` is the source of jitter."""
        self.random = random
        self.flush_at = flush_at  # time of the next update if counts have grown or totals are needed
        self.tick_at = NEVER  # time of the next update in any case
        self.retry_at: int | None = None  # when to resend the update in flight; None: none is in flight
        self.next_at = flush_at  # when the next update is due; NEVER while no tenant is in use

    def flush_by(self, at: int) -> None:
        """Schedules an update no later than `at`."""
        if at < self.flush_at:
            self.flush_at = at
            self._update()

    def tick_after(self, now: int, interval_ns: int) -> None:
        """Schedules an update after about `interval_ns`, whether or not counts have grown."""
        self.tick_at = self._jittered(now, interval_ns)
        self._update()

    def sent_new(self, now: int, flush_at: int, interval_ns: int | None) -> None:
        """Schedules after a new update was sent.

        Args:
            now: ns.
            flush_at: time of the next update if more is already known to be reported, otherwise NEVER.
            interval_ns: approximate time until the next update in any case; None: only once counts have grown.
        """
        self.flush_at = flush_at
        self.tick_at = NEVER if interval_ns is None else self._jittered(now, interval_ns)
        self.retry_at = self.next_at = now + RETRY_NS

    def sent_again(self, now: int, attempts: int) -> None:
        """Schedules the next retry after the update in flight was resent; `attempts` counts all transmissions."""
        backoff = min(MAX_BACKOFF, 1 << max(0, attempts - 2))
        self.retry_at = self.next_at = now + RETRY_NS * backoff

    def end_retry(self) -> None:
        """Ends the retries, as no update is in flight any more."""
        self.retry_at = None
        self.next_at = min(self.flush_at, self.tick_at)

    def _jittered(self, now: int, interval_ns: int) -> int:
        return now + int(self.random.uniform(1 - JITTER, 1 + JITTER) * interval_ns)

    def _update(self) -> None:
        if self.retry_at is not None:
            self.next_at = self.retry_at
        else:
            self.next_at = min(self.flush_at, self.tick_at)
