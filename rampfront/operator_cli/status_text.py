"""Formats the status of the system as text."""

from .control_answers import Json
from .evacuations import evacuated_zones
from .formatting import format_duration, format_table, yes_or_no

HEADINGS = ("NODE", "ZONE", "CONTROL", "ROLE", "READY", "CONFIG", "INDEX", "AGE", "LEASE", "TAKEN", "429")
COLUMNS_OF_SILENT_NODES = 4


def format_status(status: Json) -> str:
    """Returns a status (`system_status.assess`) as a table, with the problems below it."""
    rows = [_node_row(report) for report in status["Nodes"]]
    problems = [f"! {problem}" for problem in status["Amiss"] or ()]
    return "\n".join([_headline(status), "", format_table(HEADINGS, rows), "", *problems]).rstrip()


def _headline(status: Json) -> str:
    return (
        f"configuration {status['Revision'] or 'none'}, led by {status['Leader'] or 'nobody'} (term {status['Term']}), "
        f"{format_core(status)}, zones emptied: {', '.join(evacuated_zones(status)) or 'none'}"
    )


def format_core(status: Json) -> str:
    """Returns the core's size and strength for the first line of the status."""
    core = status.get("Core")
    members = len(status["Members"])
    if core is None:
        return f"core of {members}"
    if core["FullMs"] is None:
        strength = "not at full strength"
    else:
        strength = f"at full strength for {format_duration(core['FullMs'])}"
    return f"core of {members} ({core['Wanted']} wanted, {strength})"


def _node_row(report: Json) -> tuple[object, ...]:
    """A node's cells, in the order of `HEADINGS`."""
    if not report["Answers"]:
        blank = ["-"] * (len(HEADINGS) - COLUMNS_OF_SILENT_NODES)
        return (report["Node"], report["Zone"], report["Control"], "silent", *blank)
    age_ms = report["WordAgeMs"]
    lease_left_ms = max(0, report["LeaseMs"] - age_ms) if age_ms is not None else 0
    return (
        report["Node"],
        report["Zone"],
        report["Control"],
        _role(report),
        yes_or_no(report["Ready"]),
        report["Revision"] or "-",
        report["Index"],
        format_duration(age_ms),
        format_duration(lease_left_ms),
        report["Counts"].get("taken", "-"),
        report["Counts"].get("over_quota", "-"),
    )


def _role(report: Json) -> str:
    if report["Leads"]:
        return "leads"
    return "core" if report["Disk"] else "-"
