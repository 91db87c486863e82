"""The representation of an evacuated zone in operators' answers and views."""

from typing import TypeAlias

from ..consensus.evacuation_claims import IDENTITY_LIMIT, Delivery
from ..consensus.events import OrderKind
from ..consensus.restorations import find
from ..consensus.state import State

HoldView: TypeAlias = dict[str, str]
EvacuationView: TypeAlias = dict[str, str | bool | int | list[HoldView]]

ANSWERS = {Delivery.UNKNOWN: "unknown", Delivery.DELIVERED: "delivered", Delivery.LOST: "lost"}
STILL_HELD = "the zone stays emptied, as the holds in HeldBy are left; empty.finish with hold=NAME ends one of them"
MAY_BE_REPEAT = (
    "taken for a repeat of the empty.finish before it, so it has ended no hold; "
    "empty.finish with hold=NAME ends one of those in HeldBy"
)
MAX_HOLD_DIGITS = len(f"{IDENTITY_LIMIT - 1:x}")


def order_view(zone: str, state: State, kind: str, identity: int) -> EvacuationView:
    """Return the answer to an order on a zone: the zone's view, and what the caller must know of its own order.

    `identity`: of the order. One that evacuates the zone has a hold of that name. One that restores it may be taken for
    a repeat, and then says so.
    """
    view = evacuation_view(zone, state)
    restoration = find(state.restorations.get(zone, ()), identity)
    if kind == OrderKind.EVACUATE:
        view["Hold"] = f"{identity:x}"
    elif restoration is not None and restoration.is_pending:
        view["Message"] = MAY_BE_REPEAT
    elif view["Emptied"]:
        view["Message"] = STILL_HELD
    return view


def evacuation_view(zone: str, state: State) -> EvacuationView:
    """Return whether a zone is evacuated, by how many operators, and by which holds as far as this node knows them."""
    evacuation = state.evacuation_of(zone)
    if zone in state.evacuated_zones:
        evacuation = evacuation.normalized()
    view: EvacuationView = {
        "Zone": zone,
        "Emptied": zone in state.evacuated_zones,
        "Operators": evacuation.operators,
        "Repeated": evacuation.repeated,
        "Returned": evacuation.returned,
    }
    held_by = [
        {"Hold": f"{claim.identity:x}", "Answer": ANSWERS[claim.delivery]}
        for claim in evacuation.claims
        if claim.counted
    ]
    if held_by:
        view["HeldBy"] = held_by
    return view


def parse_hold(text: str) -> int | None:
    """Return the identity in the name of a hold, or None if it is none."""
    if not 0 < len(text) <= MAX_HOLD_DIGITS or not set(text) <= set("0123456789abcdef"):
        return None
    identity = int(text, 16)
    return identity if 0 < identity < IDENTITY_LIMIT else None
