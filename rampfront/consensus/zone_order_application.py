"""Applies orders on zones to the state. No I/O, no clock.

`evacuations.py` says what an order does to the holds on a zone; `late_orders.py` decides whether it may be a late
attempt. `order_application.py` calls this module.
"""

from .evacuations import Evacuation, with_zone
from .events import OrderKind, Outcome
from .identifiers import TimeNs
from .late_orders import LateOrderDetector, ZoneOrder
from .state import State


class ZoneOrderApplication:
    """Applies orders on zones to states, on one leader."""

    def __init__(self, late_orders: LateOrderDetector) -> None:
        """`late_orders`: of the same leader; it knows the last orders on each zone."""
        self._late_orders = late_orders

    def must_be_repeated(self, state: State, order: ZoneOrder, now: TimeNs) -> bool:
        """Whether an order may be late and would change its zone, so that it is carried out only if given again."""
        return applied(state, order) is not state and self._late_orders.must_be_repeated(order, now)

    def note(self, order: ZoneOrder, now: TimeNs) -> None:
        """Records an order that was accepted, for the detection of late ones."""
        self._late_orders.note_accepted(order, now)


def applied(state: State, order: ZoneOrder) -> State:
    """Returns the state after an order; the same object if nothing changes."""
    before = state.evacuation_of(order.zone)
    after = _evacuation_after(before, order)
    if after == before:
        return state
    others = state.evacuated_zones - {order.zone}
    zones = others | {order.zone} if after.holds else others
    return state.next_entry(evacuated_zones=zones, evacuations=with_zone(state.evacuations, order.zone, after))


def _evacuation_after(before: Evacuation, order: ZoneOrder) -> Evacuation:
    match order.kind:
        case OrderKind.EVACUATE:
            return before.evacuated(order.identity)
        case OrderKind.RESTORE:
            return before.restored(order.identity)
        case _:
            return before.released(order.identity)


def outcome(state: State, order: ZoneOrder) -> Outcome:
    """Returns the outcome of an order, given that the state resulting from it is committed.

    A restoration is done only if the zone is open then: named holds that it does not end are a conflict.
    """
    if order.kind is OrderKind.RESTORE and applied(state, order).evacuation_of(order.zone).holds:
        return Outcome.CONFLICT
    return Outcome.DONE
