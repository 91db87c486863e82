"""Detects orders on a zone that may be late copies: attempts that their callers gave up and repeated elsewhere.

Nodes do not carry out an order whose caller is known to be gone, and give the leader a deadline. What is late on the
way from the caller to the node looks like a new order nevertheless. If an operator restores a zone, another one
evacuates it, and then a copy of the restoration arrives, it would reopen the zone for both. A copy of an evacuation
would count as one more operator, who never restores the zone.

A copy has a pattern: an order of the same kind on its zone was accepted in the last minute, whatever happened since.
If such an order would change who keeps the zone evacuated, it is carried out only if it is given once more: a caller
who waits repeats an order that was not carried out, and one who has gone does not. So neither is a late copy carried
out, nor is the order of an operator who waits ignored. An order that its caller named is exempt while the names of the
similar orders are known and differ, since its own shows whether it is a repeat. A restoration with the same name
changes nothing; an evacuation with the same name is in force, or was ended: then its caller must not be told that it
is. An order without an identity, which an older node sent, is exempt, too.

The mechanism is specific to this project. No I/O, no clock: times are ns of the member's monotonic clock.
"""

from typing import NamedTuple

from .evacuation_claims import is_explicit
from .events import OrderKind
from .identifiers import SEC, DurationNs, TimeNs
from .zone_order_history import MAX_ZONES, ZONE_ORDER_KINDS, ZoneOrder, ZoneOrderHistory, set_newest

COPY_WINDOW_NS = 60 * SEC  # from an order to the last copy of it; what relays requests ends them by then


class Demand(NamedTuple):
    """What an order must agree in with the one that it repeats. `name`: the identity that the caller gave it, or 0."""

    zone: str
    kind: OrderKind
    name: int


class Deferral(NamedTuple):
    """The first of two orders that were demanded: its identity, and when it arrived."""

    identity: int
    at: TimeNs


class LateOrderDetector:
    """Decides at one leader which orders must be repeated, by what it knows of earlier ones."""

    def __init__(self, history: ZoneOrderHistory, repeats_within: DurationNs) -> None:
        """`history`: of this leader alone; `repeats_within`: how long after an order its caller may repeat it."""
        self._history = history
        self._repeats_within = repeats_within
        self._deferred: dict[Demand, Deferral] = {}

    def is_known_repeat(self, order: ZoneOrder, now: TimeNs) -> bool:
        """Whether an order with this identity was accepted recently."""
        accepted_at = self._history.accepted_at(order)
        return accepted_at is not None and now - accepted_at <= COPY_WINDOW_NS

    def may_be_late_copy(self, order: ZoneOrder, now: TimeNs) -> bool:
        """Whether a similar order was accepted so recently that this one may be a copy of it."""
        if not order.identity:
            return False
        previous = self._history.last_similar(order)
        return previous is not None and now - previous <= COPY_WINDOW_NS

    def must_be_repeated(self, order: ZoneOrder, now: TimeNs) -> bool:
        """Whether an order that may be a late copy, and would have an effect, is carried out only if given again."""
        deferral = self._deferral(order, now)
        if deferral is None:
            row = Deferral(order.identity, now)
            set_newest(self._deferred, _demand(order), row, len(ZONE_ORDER_KINDS) * MAX_ZONES)
            return True
        # Each attempt has an identity of its own, unless the caller supplied it: then the submitting node's request
        # number tells the attempts apart (`node/order_table.py`).
        return deferral.identity == order.identity and not is_explicit(order.identity)

    def _deferral(self, order: ZoneOrder, now: TimeNs) -> Deferral | None:
        """Returns the attempt that this one may repeat."""
        deferral = self._deferred.get(_demand(order))
        return None if deferral is None or now - deferral.at > self._repeats_within else deferral

    def first_attempt_at(self, order: ZoneOrder, now: TimeNs) -> TimeNs:
        """Returns when the attempt arrived that this one repeats, or `now` if it is the first one.

        What an order counts as depends on when its caller first gave it: the demand for a repeat must not change that.
        """
        deferral = self._deferral(order, now)
        return now if deferral is None else deferral.at

    def note_delivered(self, order: ZoneOrder, now: TimeNs) -> None:
        """Records that the answer to a restoration was delivered."""
        self._history.note_delivered(order, now)

    def note_accepted(self, order: ZoneOrder, now: TimeNs) -> None:
        """Records an order that was accepted, whether it changed the zone or not."""
        for demand in [demand for demand in self._deferred if demand.zone == order.zone]:
            del self._deferred[demand]
        self._history.note(order, now)


def _demand(order: ZoneOrder) -> Demand:
    return Demand(order.zone, order.kind, order.identity if is_explicit(order.identity) else 0)
