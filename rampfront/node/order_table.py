"""Orders that the leader has taken from nodes, itself among them: each is carried out once, however often it comes.

An order is known by its `OrderKey`. While it is under way a repeat changes nothing, and for KEPT behind its end a
repeat gets the same verdict: callers repeat an order while they hear nothing, and a datagram may come late, when the
operator has given the next order already. No I/O, no clock; times are ns of a steady clock.
"""

from enum import Enum

from ..consensus.events import OrderKind, Outcome
from .order_messages import OrderKey

SEC = 10**9
MOST_UNDER_WAY = 256
MOST_KEPT = 1024  # answers; the oldest go first
KEPT = 5 * SEC  # beyond what a caller waits and a datagram may be late
ABANDONED = 10 * SEC  # an order that the core never answered is let go; the core itself answers each within 2.5 s


class Admission(Enum):
    """What is to be done with an order that came."""

    NEW = "new"
    UNDER_WAY = "under way"
    FULL = "full"


class OrderTable:
    """Under way and lately answered orders, by key."""

    def __init__(self) -> None:
        """An empty table."""
        # Kind, came at, digest of its body; emptied by answers and by time.
        self.under_way: dict[OrderKey, tuple[str, int, bytes]] = {}
        self.answered: dict[OrderKey, tuple[str, int]] = {}  # verdict, answered at; emptied by time and by number

    def known(self, key: OrderKey) -> str | None:
        """The verdict of an order that was answered lately."""
        found = self.answered.get(key)
        return found[0] if found else None

    def admit(self, key: OrderKey, kind: str, now: int, mark: bytes = b"") -> Admission:
        """Notes a new order as under way. `mark`: the digest of the body that it brought."""
        if key in self.under_way:
            return Admission.UNDER_WAY
        if len(self.under_way) >= MOST_UNDER_WAY:
            return Admission.FULL
        self.under_way[key] = kind, now, mark
        return Admission.NEW

    def answer(self, key: OrderKey, verdict: str, now: int) -> bytes | None:
        """The order has ended so. The digest of its body, or None if it was not under way: nobody is owed an answer.

        A verdict of what is in force, or may be, is kept: carried out once more it could undo a later order, or count
        twice. One that was not taken may come anew, and a read changes nothing."""
        found = self.under_way.pop(key, None)
        if found is None:
            return None
        kind, _, mark = found
        if kind != OrderKind.READ and verdict in (Outcome.DONE, Outcome.UNKNOWN):
            if len(self.answered) >= MOST_KEPT:
                del self.answered[next(iter(self.answered))]
            self.answered[key] = verdict, now
        return mark

    def expire(self, now: int) -> int:
        """Lets go of what is too old; returns how many orders never got their answer."""
        for key, (_, at) in list(self.answered.items()):
            if now - at <= KEPT:
                break  # in the order in which they were answered
            del self.answered[key]
        lost = [key for key, (_, at, _) in self.under_way.items() if now - at > ABANDONED]
        for key in lost:
            del self.under_way[key]
        return len(lost)
