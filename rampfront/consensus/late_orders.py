"""Detects orders on a zone that may be late: attempts whose callers gave them up, carried out after later orders.

Nodes do not carry out an order whose caller is known to be gone, and give the leader a deadline. What is late on the
way from the caller to the node looks like a new order nevertheless. It does harm only if it undoes an order of the
other kind that was acknowledged after it was sent: a late restoration would open a zone that was evacuated meanwhile,
and a late evacuation would evacuate one that was restored.

So an order that would change its zone within `LATE_WINDOW_NS` of an order of the other kind is carried out only if it
is given once more: a caller who waits repeats an order that was not carried out, and one who has gone does not. Whether
the order of the other kind changed the zone doesn't matter, since its caller was told that the zone is as it wants it.
A leader doesn't know what its predecessors accepted, so for that time after its election it demands this of every order
that would change a zone, unless it is the first leader of a new core. An order without an identity, which an older node
sent, is exempt.

The mechanism is specific to this project. No I/O, no clock: times are ns of the leader's monotonic clock.
"""

from typing import NamedTuple

from .evacuations import MAX_ZONES, is_explicit
from .events import OrderKind
from .identifiers import SEC, DurationNs, TimeNs

LATE_WINDOW_NS = 60 * SEC  # from the sending of an order to its latest arrival; what relays requests ends them by then
DEFAULT_REPEAT_NS = 6 * SEC  # how long callers retry an order, unless the settings say otherwise
IN_FLIGHT_NS = SEC  # how long an order may be in transit to the leader


class ZoneOrder(NamedTuple):
    """An order to evacuate or restore a zone, or to end a named hold on it.

    `identity`: of the order, 0 if it is not known; of the hold that is to end.
    """

    kind: OrderKind
    zone: str
    identity: int


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
    """Decides at one leader which orders must be repeated, by what it has accepted."""

    def __init__(self, known_since: TimeNs, repeats_within: DurationNs) -> None:
        """`known_since`: since when the leader knows all accepted orders; `repeats_within`: how long callers retry."""
        self._known_since = known_since
        self._repeat_window = repeats_within + IN_FLIGHT_NS
        self._evacuated_at: dict[str, TimeNs] = {}  # when an order to evacuate each zone was last accepted
        self._restored_at: dict[str, TimeNs] = {}  # when one to restore it was, or to end a hold
        self._deferred: dict[Demand, Deferral] = {}

    def must_be_repeated(self, order: ZoneOrder, now: TimeNs) -> bool:
        """Whether an order that would change its zone is carried out only if it is given again."""
        if not self._may_be_late(order, now):
            return False
        demand = _demand(order)
        deferral = self._deferred.get(demand)
        if deferral is None or now - deferral.at > self._repeat_window:
            if len(self._deferred) >= MAX_ZONES:
                del self._deferred[next(iter(self._deferred))]
            self._deferred[demand] = Deferral(order.identity, now)
            return True
        # Each attempt has an identity of its own, unless the caller supplied it: then the submitting node's request
        # number tells the attempts apart (`node/order_table.py`).
        return deferral.identity == order.identity and not is_explicit(order.identity)

    def note_accepted(self, order: ZoneOrder, now: TimeNs) -> None:
        """Records an order that was accepted, whether it changed the zone or not.

        It ends all demands on the zone: the attempts that they deferred were sent before it was acknowledged.
        """
        for demand in [demand for demand in self._deferred if demand.zone == order.zone]:
            del self._deferred[demand]
        table = self._evacuated_at if order.kind is OrderKind.EVACUATE else self._restored_at
        if order.zone not in table and len(table) >= MAX_ZONES:
            table.clear()
            self._known_since = now
        table[order.zone] = now

    def _may_be_late(self, order: ZoneOrder, now: TimeNs) -> bool:
        """Whether an order of the other kind may have been acknowledged since this one was sent."""
        opposite = self._restored_at if order.kind is OrderKind.EVACUATE else self._evacuated_at
        accepted_at = max(self._known_since, opposite.get(order.zone, self._known_since))
        return bool(order.identity) and now - accepted_at <= LATE_WINDOW_NS


def _demand(order: ZoneOrder) -> Demand:
    return Demand(order.zone, order.kind, order.identity if is_explicit(order.identity) else 0)
