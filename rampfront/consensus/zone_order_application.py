"""Applies orders on zones to the state. No I/O, no clock.

`evacuations.py` says what an order does to the holds on a zone. `order_application.py` calls this module.
"""

from .evacuations import Evacuation, with_zone
from .events import OrderKind, Outcome
from .late_orders import ZoneOrder
from .state import State


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
