"""Evacuations of zones as nodes report them, and their description in the output of commands."""

import json

from .control_answers import Json

EVACUATION_FIELDS = {"Emptied", "Operators", "Repeated", "Returned"}


def parse_evacuation(body: bytes) -> Json:
    """Returns the zone's state in the answer to an evacuation order; empty for nodes of earlier versions."""
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    if not isinstance(document, dict) or not document.keys() >= EVACUATION_FIELDS:
        return {}
    return document


def evacuation_note(evacuation: Json) -> str:
    """Returns a note in parentheses on the holds that keep a zone evacuated; empty for a single one without a name."""
    holds = [hold["Hold"] for hold in evacuation.get("HeldBy", ())]
    if holds:
        return f" (holds: {', '.join(holds)})"
    return f" ({evacuation['Operators']} holds)" if evacuation["Operators"] > 1 else ""


def evacuated_zones(status: Json) -> list[str]:
    """Returns the evacuated zones of a system's status, each with its note."""
    notes = {row["Zone"]: evacuation_note(row) for row in status["Evacuations"]}
    return [f"{zone}{notes.get(zone, '')}" for zone in status["Emptied"]]
