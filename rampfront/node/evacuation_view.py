"""The representation of an evacuated zone in operators' answers and views."""

from typing import TypeAlias

from ..consensus.evacuations import IDENTITY_LIMIT, is_explicit
from ..consensus.state import State

HoldView: TypeAlias = dict[str, str]
EvacuationView: TypeAlias = dict[str, str | bool | int | list[HoldView]]

MAX_HOLD_DIGITS = len(f"{IDENTITY_LIMIT - 1:x}")


def evacuation_view(zone: str, state: State) -> EvacuationView:
    """Return whether a zone is evacuated, by how many holds, and the names of those that have one.

    Only answers of the core have the names. `Repeated` and `Returned` are for command lines of older versions.
    """
    evacuation = state.evacuation_of(zone)
    view: EvacuationView = {
        "Zone": zone,
        "Emptied": zone in state.evacuated_zones,
        "Operators": evacuation.holds,
        "Repeated": False,
        "Returned": False,
    }
    if evacuation.named:
        view["HeldBy"] = [{"Hold": hold_name(identity)} for identity in evacuation.named]
    return view


def still_held_message(zone: str, state: State) -> str:
    """Return why a zone stays evacuated behind an order to restore it."""
    names = ", ".join(map(hold_name, state.evacuation_of(zone).named))
    return f"{zone} stays emptied, as holds of other keys are left: {names}; empty.finish with hold=NAME ends one"


def hold_name(identity: int) -> str:
    """Return the name of the hold with this identity."""
    return f"{identity:x}"


def parse_hold(text: str) -> int | None:
    """Return the identity in the name of a hold, or None if it is none."""
    if not 0 < len(text) <= MAX_HOLD_DIGITS or not set(text) <= set("0123456789abcdef"):
        return None
    identity = int(text, 16)
    return identity if identity < IDENTITY_LIMIT and is_explicit(identity) else None
