"""When a proxy sends its next update: at a jittered tick, earlier if something grew, repeated until it is answered.

The tick is the RFC's flush period with its jitter, but shorter than `SILENCE_NS`, so that a proxy in use is not taken
to be missing.
"""

from random import Random

from .limits import MS, SEC

TICK_NS = 3 * SEC // 5  # mean gap of updates while a tenant is in use
JITTER = 0.2  # part of the gap that it varies by
MAX_TICK_NS = int(TICK_NS * (1 + JITTER))
RETRY_NS = 150 * MS  # an update without an answer is sent again
MAX_BACKOFF = 8  # times RETRY_NS
NEVER = 1 << 62  # ns: later than any time


class UpdateSchedule:
    """When updates are due, in ns."""

    def __init__(self, random: Random, flush_at: int) -> None:
        """The first update is due at `flush_at`; `random` draws the jitter."""
        self.random = random
        self.flush_at = flush_at  # an update goes out by then, as something grew or is to be read
        self.tick_at = NEVER  # ... whatever grew
        self.retry_at: int | None = None  # when the one under way is sent again; None: none is
        self.next_at = flush_at  # when an update is due; NEVER while nothing is in use

    def flush_by(self, at: int) -> None:
        """An update goes out by then."""
        if at < self.flush_at:
            self.flush_at = at
            self._update()

    def tick_after(self, now: int, interval_ns: int) -> None:
        """An update goes out after about `gap_ns`, whatever grew."""
        self.tick_at = self._jittered(now, interval_ns)
        self._update()

    def sent_new(self, now: int, flush_at: int, interval_ns: int | None) -> None:
        """A new update was sent.

        Args:
            now: ns.
            flush_at: when the next one goes out, because of what is known to be reported already; else NEVER.
            gap_ns: after about which the next one goes out, whatever grew; None: not before something grew.
        """
        self.flush_at = flush_at
        self.tick_at = NEVER if interval_ns is None else self._jittered(now, interval_ns)
        self.retry_at = self.next_at = now + RETRY_NS

    def sent_again(self, now: int, attempts: int) -> None:
        """The update under way was sent for the nth time."""
        backoff = min(MAX_BACKOFF, 1 << max(0, attempts - 2))
        self.retry_at = self.next_at = now + RETRY_NS * backoff

    def end_retry(self) -> None:
        """No update is under way any more."""
        self.retry_at = None
        self.next_at = min(self.flush_at, self.tick_at)

    def _jittered(self, now: int, interval_ns: int) -> int:
        return now + int(self.random.uniform(1 - JITTER, 1 + JITTER) * interval_ns)

    def _update(self) -> None:
        if self.retry_at is not None:
            self.next_at = self.retry_at
        else:
            self.next_at = min(self.flush_at, self.tick_at)
