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
    """Returns a note in parentheses on the holds that keep a zone evacuated; empty if it is exactly one."""
    operators = evacuation["Operators"]
    if not operators:  # only nodes of earlier versions
        return " (taken back; opens by itself within seconds, as there may be one more operator)"
    notes = []
    if operators > 1 or evacuation["Returned"]:
        holders = f"{operators} more" if evacuation["Returned"] else f"{operators} operators"
        notes.append(f"to be taken back by {holders}")
    if evacuation["Repeated"]:  # only nodes of earlier versions
        notes.append("emptied again within seconds: a repeat, or one operator more")
    if notes and evacuation.get("HeldBy"):
        holds = ", ".join(f"{hold['Hold']} (answer {hold['Answer']})" for hold in evacuation["HeldBy"])
        notes.append(f"holds: {holds}")
    return f" ({'; '.join(notes)})" if notes else ""


def evacuated_zones(status: Json) -> list[str]:
    """Returns the evacuated zones of a system's status, each with its note."""
    notes = {row["Zone"]: evacuation_note(row) for row in status["Evacuations"]}
    return [f"{zone}{notes.get(zone, '')}" for zone in status["Emptied"]]
