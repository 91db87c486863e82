"""The leader's memory of orders: each is carried out once, however often its request arrives.

Submitters repeat a request while they hear nothing, and a datagram may arrive late, when the operator has submitted the
next order already. So an order is known by its `OrderKey` while it is in flight, when a repeat changes nothing, and for
`RETENTION_NS` after its answer, when a repeat gets the same outcome. This is the session table of Raft (dissertation,
section 6.3), bounded by time and by number.

No I/O, no clock; times are ns of a steady clock.
"""

from enum import Enum

from ..consensus.events import OrderKind, Outcome
from .order_messages import OrderKey

SEC = 10**9
MAX_IN_FLIGHT = 256
MAX_ANSWERED = 1024  # answers; the oldest go first
RETENTION_NS = 5 * SEC  # longer than a submitter waits and than a datagram may be late
ABANDONED_AFTER_NS = 10 * SEC  # the core answers each order within 2.5 s; one it never answered is forgotten


class Admission(Enum):
    """What is to be done with a request that arrived."""

    NEW = "new"
    IN_FLIGHT = "in flight"
    FULL = "full"


class InFlightOrder:
    """An order that the core has not answered yet."""

    __slots__ = ("kind", "admitted_at", "body_digest")

    def __init__(self, kind: str, admitted_at: int, body_digest: bytes) -> None:
        """`admitted_at` in ns; `body_digest`: of the configuration that it brought, else empty."""
        self.kind = kind
        self.admitted_at = admitted_at
        self.body_digest = body_digest


class AnsweredOrder:
    """An order that the core has answered."""

    __slots__ = ("outcome", "answered_at")

    def __init__(self, outcome: str, answered_at: int) -> None:
        """`answered_at` in ns."""
        self.outcome = outcome
        self.answered_at = answered_at


class OrderTable:
    """Orders in flight and orders answered lately, by key."""

    def __init__(self) -> None:
        """Start empty."""
        self.in_flight: dict[OrderKey, InFlightOrder] = {}  # emptied by answers and by time
        self.answered: dict[OrderKey, AnsweredOrder] = {}  # oldest first; emptied by time and by number

    def outcome_of(self, key: OrderKey) -> str | None:
        """Return the outcome of an order that was answered lately, or None."""
        found = self.answered.get(key)
        return found.outcome if found else None

    def admit(self, key: OrderKey, kind: str, now: int, body_digest: bytes = b"") -> Admission:
        """Record an order as in flight, unless it is already or the table is full.

        `body_digest`: of the configuration that the order brought.
        """
        if key in self.in_flight:
            return Admission.IN_FLIGHT
        if len(self.in_flight) >= MAX_IN_FLIGHT:
            return Admission.FULL
        self.in_flight[key] = InFlightOrder(kind, now, body_digest)
        return Admission.NEW

    def answer(self, key: OrderKey, outcome: str, now: int) -> bytes | None:
        """Record how an order ended.

        Returns the digest of its body, or None if it was not in flight, when nobody is owed an answer.

        An outcome that is in force, or may be, is kept: carried out once more the order could undo a later one, or
        count twice. An order that was not taken may arrive anew, and a read changes nothing.
        """
        order = self.in_flight.pop(key, None)
        if order is None:
            return None
        if order.kind != OrderKind.READ and outcome in (Outcome.DONE, Outcome.UNKNOWN):
            if len(self.answered) >= MAX_ANSWERED:
                oldest = next(iter(self.answered))
                del self.answered[oldest]
            self.answered[key] = AnsweredOrder(outcome, now)
        return order.body_digest

    def expire(self, now: int) -> int:
        """Forget what is too old. Returns how many orders never got their answer."""
        for key, order in list(self.answered.items()):
            if now - order.answered_at <= RETENTION_NS:
                break  # the rest were answered later
            del self.answered[key]
        abandoned = [key for key, order in self.in_flight.items() if now - order.admitted_at > ABANDONED_AFTER_NS]
        for key in abandoned:
            del self.in_flight[key]
        return len(abandoned)
