"""The leader's table of orders, which ensures that each is executed once, however often its request arrives.

Submitters resend a request until they get a reply, and a datagram may arrive late, after the operator has submitted the
next order. Therefore the table keeps an order by its `OrderKey` while it is in flight, when a repeat is ignored, and
for `RETENTION_NS` after its answer, when a repeat gets the same outcome. This is the session table of Raft
(dissertation, section 6.3), bounded by time and by number.

No I/O, no clock; times are ns of a monotonic clock.
"""

from enum import Enum

from ..consensus.events import OrderKind, Outcome
from .order_messages import OrderKey

SEC = 10**9
MAX_IN_FLIGHT = 256
MAX_ANSWERED = 1024  # the oldest answers are evicted first
RETENTION_NS = 5 * SEC  # exceeds the submitters' timeout and the maximum delay of a datagram
KEPT_OUTCOMES = frozenset((Outcome.DONE, Outcome.UNKNOWN, Outcome.NEEDS_REPEAT))
ABANDONED_AFTER_NS = 10 * SEC  # the core answers each order within 2.5 s


class Admission(Enum):
    """Whether the table admits a request."""

    NEW = "new"
    IN_FLIGHT = "in flight"
    FULL = "full"


class InFlightOrder:
    """An order that the core has not answered yet."""

    __slots__ = ("kind", "admitted_at", "body_digest")

    def __init__(self, kind: str, admitted_at: int, body_digest: bytes) -> None:
        """`admitted_at` in ns; `body_digest`: of the configuration in the order, else empty."""
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
    """Orders in flight and recently answered orders, by key."""

    def __init__(self) -> None:
        """Start empty."""
        self.in_flight: dict[OrderKey, InFlightOrder] = {}  # each is removed by its answer or by time
        self.answered: dict[OrderKey, AnsweredOrder] = {}  # oldest first; bounded by time and by number

    def outcome_of(self, key: OrderKey) -> str | None:
        """Return the outcome of a recently answered order, or None."""
        found = self.answered.get(key)
        return found.outcome if found else None

    def is_in_flight(self, key: OrderKey) -> bool:
        """Return whether the core has the order and has not answered it yet."""
        return key in self.in_flight

    def admit(self, key: OrderKey, kind: str, now: int, body_digest: bytes = b"") -> Admission:
        """Record an order as in flight, unless it already is or the table is full.

        `body_digest`: of the configuration in the order.
        """
        if key in self.in_flight:
            return Admission.IN_FLIGHT
        if len(self.in_flight) >= MAX_IN_FLIGHT:
            return Admission.FULL
        self.in_flight[key] = InFlightOrder(kind, now, body_digest)
        return Admission.NEW

    def answer(self, key: OrderKey, outcome: str, now: int) -> bytes | None:
        """Record how an order ended.

        Returns the digest of its body, or None if it was not in flight, so that no answer is due.

        The outcome is kept if the order has taken effect or may have: a second execution could undo a later order, or
        count twice. So is that of an order that its caller must repeat, since the same request is no repeat. Any other
        order that was not accepted may be executed when it arrives again, and a read changes nothing.
        """
        order = self.in_flight.pop(key, None)
        if order is None:
            return None
        if order.kind != OrderKind.READ and outcome in KEPT_OUTCOMES:
            if len(self.answered) >= MAX_ANSWERED:
                oldest = next(iter(self.answered))
                del self.answered[oldest]
            self.answered[key] = AnsweredOrder(outcome, now)
        return order.body_digest

    def expire(self, now: int) -> int:
        """Remove orders that are too old. Returns how many of them never got an answer."""
        for key, order in list(self.answered.items()):
            if now - order.answered_at <= RETENTION_NS:
                break  # the rest were answered later
            del self.answered[key]
        abandoned = [key for key, order in self.in_flight.items() if now - order.admitted_at > ABANDONED_AFTER_NS]
        for key in abandoned:
            del self.in_flight[key]
        return len(abandoned)
