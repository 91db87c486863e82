"""Computes the changes that restoring a snapshot would make. Does no I/O.

Versions never decrease: if the snapshot's version or a later one is in force, the configuration is applied under the
next version above the one in force.
"""

import json
import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .configuration_diff import changes, format_change
from .control_answers import Json
from .snapshot_file import Snapshot

_REVISION_FIELD = re.compile(rb'("Revision"\s*:\s*")r\d+(")')


class CurrentConfiguration(NamedTuple):
    """The configuration in force."""

    document: Json
    revision: int


def plan_restore(snapshot: Snapshot, current: CurrentConfiguration | None, evacuated: Iterable[str]) -> Json:
    """Returns the steps of a restore, as `snapshot restore --json` prints them. `evacuated`: the zones that are now.

    `Emptied` lists the zones that are evacuated now and were not at the time of the snapshot.
    """
    old_document = current.document if current else {}
    is_same = current is not None and _without_revision(old_document) == _without_revision(snapshot.document)
    revision = snapshot.revision
    if current is not None and revision <= current.revision:
        revision = current.revision + 1
    evacuated_then = set(snapshot.header["Emptied"])
    evacuated_now = set(evacuated)
    return {
        "Holds": f"r{current.revision}" if current else None,
        "Snapshot": f"r{snapshot.revision}",
        "Same": is_same,
        "Gives": None if is_same else f"r{revision}",
        "Raised": not is_same and revision != snapshot.revision,
        "Changes": changes(old_document, snapshot.document),
        "Evacuates": sorted(evacuated_then - evacuated_now),
        "Emptied": sorted(evacuated_now - evacuated_then),
    }


def _without_revision(document: Json) -> Json:
    return {**document, "Revision": ""}


def with_revision(snapshot: Snapshot, revision: int) -> tuple[bytes, Json]:
    """Returns the body and the tables of a snapshot's configuration with another version. The rest of the body stays
    the same byte for byte, unless its text has more than one field `Revision`."""
    document = {**snapshot.document, "Revision": f"r{revision}"}
    body, replaced = _REVISION_FIELD.subn(rb"\g<1>r%d\g<2>" % revision, snapshot.body)
    if replaced != 1 or json.loads(body) != document:  # the text has another field of this name
        body = json.dumps(document).encode()
    return body, document


def format_restore(plan: Json) -> str:
    """Returns the steps that a restore has taken (`Done`) or would take, one per line."""
    lines = [*_zone_lines(plan)]
    if not plan["Done"]:
        lines += [format_change(row) for row in plan["Changes"]]
    lines += _configuration_lines(plan)
    if not plan["Done"]:
        lines.append("nothing was changed: --dry-run")
    return "\n".join(lines)


def _zone_lines(plan: Json) -> Iterator[str]:
    verb = "is" if plan["Done"] else "would be"
    for zone in plan["Evacuates"]:
        yield f"zone {zone} {verb} emptied"
    for zone in plan["TakesBack"]:
        yield f"zone {zone} {verb} taken back"
    for zone in plan["StayEmptied"]:
        yield f"zone {zone} is emptied now and was not in the snapshot: it stays so; --take-back takes it back"


def _configuration_lines(plan: Json) -> Iterator[str]:
    if plan["Gives"]:
        verb = "given" if plan["Done"] else "would be given"
        raised = f", raised from {plan['Snapshot']} as {plan['Holds']} holds" if plan["Raised"] else ""
        acknowledged = f"; acknowledged by {plan['By']}, and in force" if plan["Done"] else ""
        yield f"configuration {verb} as {plan['Gives']}{raised}{acknowledged}"
    elif plan["Same"] and plan["Holds"]:
        yield f"configuration: {plan['Holds']} stays"
