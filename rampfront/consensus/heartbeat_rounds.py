"""A leader's rounds of heartbeats, and what a majority's answer to one of them shows.

A round is confirmed once a majority has answered it or a later one. The leader then knows that it still led when it
sent the round, so no newer leader had committed anything before that moment. Three things rest on it:

- a read is answered once a round that began after it is confirmed (ReadIndex, Ongaro's dissertation, section 6.4);
- a leader without a confirmed round for `LEADERSHIP_LEASE_NS` gives up (check quorum, section 6.2);
- what nodes hold is as fresh as the newest confirmed round (leases by the sender's clock, section 6.4.1).

No I/O, no clock; times are ns of the leader's clock. `Leader` starts rounds and counts who has answered.
"""

from collections.abc import Callable

from .identifiers import MS, SEC, RoundNumber, TimeNs

HEARTBEAT_INTERVAL_NS = 280 * MS  # ticks come each 100 ms
MIN_INTERVAL_NS = 20 * MS  # rounds for the sake of a read are no closer than this
LEADERSHIP_LEASE_NS = 1200 * MS  # after its last confirmed round, until a leader gives up
MAX_UNCONFIRMED = 64


class HeartbeatRounds:
    """The rounds of one leader in one term."""

    def __init__(self, now: TimeNs) -> None:
        """`now`: when the leader was elected, which counts as its first confirmation."""
        self.current: RoundNumber = 0
        self.confirmed: RoundNumber = 0  # the newest one that a majority answered
        self.confirmed_at: TimeNs = now  # when that one was sent
        self._started_at: TimeNs = -SEC
        self._unconfirmed: dict[RoundNumber, TimeNs] = {}  # by number: when it was sent

    def start(self, now: TimeNs) -> None:
        """The next round; its heartbeats leave at this moment."""
        self.current += 1
        self._started_at = now
        self._unconfirmed[self.current] = now
        if len(self._unconfirmed) > MAX_UNCONFIRMED:
            del self._unconfirmed[next(iter(self._unconfirmed))]

    def is_due(self, now: TimeNs) -> bool:
        """Whether the next round is due by itself."""
        return now - self._started_at >= HEARTBEAT_INTERVAL_NS

    def may_start(self, now: TimeNs) -> bool:
        """Whether a round may start early, for the sake of an order."""
        return now - self._started_at >= MIN_INTERVAL_NS

    def confirm(self, is_answered: Callable[[RoundNumber], bool]) -> None:
        """Looks for the newest round that `is_answered` by a majority."""
        for number in sorted(self._unconfirmed, reverse=True):
            if is_answered(number):
                self.confirmed = number
                self.confirmed_at = self._unconfirmed[number]
                self._unconfirmed = {later: at for later, at in self._unconfirmed.items() if later > number}
                return

    def is_expired(self, now: TimeNs) -> bool:
        """Whether no majority has answered for so long that another member may lead."""
        return now - self.confirmed_at > LEADERSHIP_LEASE_NS
