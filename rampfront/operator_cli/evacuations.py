"""Evacuations of zones as nodes report them, and what the commands say of them."""

import json

from .control_answers import Json

EVACUATION_FIELDS = {"Emptied", "Operators", "Repeated", "Returned"}


def parse_evacuation(body: bytes) -> Json:
    """Returns what an answer to an evacuation order says of the zone; empty for nodes of earlier versions."""
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    if not isinstance(document, dict) or not document.keys() >= EVACUATION_FIELDS:
        return {}
    return document


def evacuation_note(evacuation: Json) -> str:
    """Returns who keeps a zone evacuated, in parentheses; empty for the plain case of one operator."""
    operators = evacuation["Operators"]
    if not operators:
        return " (taken back; opens by itself within seconds, as there may be one more operator)"
    notes = []
    if operators > 1 or evacuation["Returned"]:
        who = f"{operators} more" if evacuation["Returned"] else f"{operators} operators"
        notes.append(f"to be taken back by {who}")
    if evacuation["Repeated"]:
        notes.append("emptied again within seconds: a repeat, or one operator more")
    return f" ({'; '.join(notes)})" if notes else ""


def evacuated_zones(status: Json) -> list[str]:
    """Returns the evacuated zones of a system's status, each with its note."""
    notes = {row["Zone"]: evacuation_note(row) for row in status["Evacuations"]}
    return [f"{zone}{notes.get(zone, '')}" for zone in status["Emptied"]]
