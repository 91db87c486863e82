"""The representation of an evacuated zone in operators' answers and views."""

from typing import TypeAlias

from ..consensus.evacuations import SINGLE_OPERATOR
from ..consensus.state import State

EvacuationView: TypeAlias = dict[str, str | bool | int]


def evacuation_view(zone: str, state: State) -> EvacuationView:
    """Return whether a zone is evacuated, and by how many operators as far as that is known."""
    if zone not in state.evacuated_zones:
        return {"Zone": zone, "Emptied": False, "Operators": 0, "Repeated": False, "Returned": False}
    evacuation = state.evacuations.get(zone, SINGLE_OPERATOR)
    return {
        "Zone": zone,
        "Emptied": True,
        "Operators": evacuation.operators,
        "Repeated": evacuation.repeated,
        "Returned": evacuation.returned,
    }
