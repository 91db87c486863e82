"""A leader's heartbeat rounds, which confirm that it still leads.

A round is confirmed once a majority has answered it or a later one. The leader then knows that it was still the leader
when it sent the round, so no newer leader had committed anything before that moment. This is used in three places:

- A read is answered once a round that began after the read is confirmed (ReadIndex, Ongaro's dissertation, section
  6.4).
- A leader without a confirmed round for `LEADERSHIP_LEASE_NS` steps down (check quorum, section 6.2).
- The age of the state that nodes hold is measured from the newest confirmed round (leases on the sender's clock,
  section 6.4.1).

No I/O, no clock; times are ns of the leader's monotonic clock. `Leader` starts rounds and counts the answers.
"""

from collections.abc import Callable

from .identifiers import MS, SEC, RoundNumber, TimeNs

HEARTBEAT_INTERVAL_NS = 280 * MS  # checked at each tick, every 100 ms
MIN_INTERVAL_NS = 20 * MS  # between rounds that are started early for a read
LEADERSHIP_LEASE_NS = 1200 * MS  # from the last confirmed round until a leader steps down
MAX_UNCONFIRMED = 64


class HeartbeatRounds:
    """The heartbeat rounds of one leader in one term."""

    def __init__(self, now: TimeNs) -> None:
        """`now`: the time of the election, which counts as the first confirmation."""
        self.current: RoundNumber = 0
        self.confirmed: RoundNumber = 0  # the newest round that a majority answered
        self.confirmed_at: TimeNs = now  # when that round was sent
        self._started_at: TimeNs = -SEC
        self._unconfirmed: dict[RoundNumber, TimeNs] = {}  # send time by round number

    def start(self, now: TimeNs) -> None:
        """Starts the next round; the caller sends its heartbeats at this time."""
        self.current += 1
        self._started_at = now
        self._unconfirmed[self.current] = now
        if len(self._unconfirmed) > MAX_UNCONFIRMED:
            del self._unconfirmed[next(iter(self._unconfirmed))]

    def is_due(self, now: TimeNs) -> bool:
        """Whether the heartbeat interval has passed."""
        return now - self._started_at >= HEARTBEAT_INTERVAL_NS

    def may_start(self, now: TimeNs) -> bool:
        """Whether a round may start early to answer an order."""
        return now - self._started_at >= MIN_INTERVAL_NS

    def confirm(self, is_answered: Callable[[RoundNumber], bool]) -> None:
        """Confirms the newest round for which `is_answered` says that a majority answered."""
        for number in sorted(self._unconfirmed, reverse=True):
            if is_answered(number):
                self.confirmed = number
                self.confirmed_at = self._unconfirmed[number]
                self._unconfirmed = {later: at for later, at in self._unconfirmed.items() if later > number}
                return

    def is_expired(self, now: TimeNs) -> bool:
        """Whether no round has been confirmed for so long that another member may have become the leader."""
        return now - self.confirmed_at > LEADERSHIP_LEASE_NS
