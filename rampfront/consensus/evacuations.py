"""How many operators keep a zone evacuated, as far as that can be known: orders on a zone name no operator.

Callers repeat an order whose answer got lost. Within the time for which they do, a repeat cannot be distinguished
from the order of a second operator. No lost answer may leave a zone evacuated for ever, and none may restore it early:

- evacuated again later than that: certainly another operator, who is counted, and restores the zone himself;
- evacuated again sooner: perhaps another one. He is counted, but for a bounded time: the last certain operator's
  restoration opens the zone after one such time more (`Evacuation.operators` is 0 meanwhile);
- restored again sooner: taken as the same order, which changes nothing.

The mechanism is our own. Nothing here reads a clock: the leader's `RepeatWindow` (`repeat_window.py`) says whether an
order may be a repeat. `order_application.py` calls the three changes below.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from .errors import RemoteProtocolError

MAX_OPERATORS = 8  # that are counted for one zone
MAX_ROWS = 512  # of all zones, in an older record


class Evacuation(NamedTuple):
    """What is known of who keeps one zone evacuated.

    `operators`: who certainly evacuated the zone and did not restore it; 0: it opens by itself. `repeated`: there may
    be one more. `returned`: somebody has restored it, and that order may come again.
    """

    operators: int = 1
    repeated: bool = False
    returned: bool = False


SINGLE_OPERATOR = Evacuation()
EvacuationTable: TypeAlias = Mapping[str, Evacuation]  # of evacuated zones, where it is not `SINGLE_OPERATOR`


class ZoneChange(NamedTuple):
    """What is evacuated after an order, and by whom."""

    zones: frozenset[str]
    evacuations: EvacuationTable


def evacuate(zones: frozenset[str], evacuations: EvacuationTable, zone: str, may_be_repeat: bool) -> ZoneChange:
    """The zones after an order to evacuate one; the same two objects if nothing changes."""
    if zone not in zones:
        return ZoneChange(zones | {zone}, evacuations)
    before = evacuations.get(zone, SINGLE_OPERATOR)
    if not before.operators:
        after = SINGLE_OPERATOR
    elif may_be_repeat:
        after = before._replace(repeated=True)
    else:
        after = before._replace(operators=min(before.operators + 1, MAX_OPERATORS))
    return ZoneChange(zones, evacuations if after == before else {**evacuations, zone: after})


def restore(zones: frozenset[str], evacuations: EvacuationTable, zone: str, may_be_repeat: bool) -> ZoneChange:
    """The zones after an order to restore one; the same two objects if nothing changes."""
    if zone not in zones:
        return ZoneChange(zones, evacuations)
    before = evacuations.get(zone, SINGLE_OPERATOR)
    if before.returned and may_be_repeat:
        return ZoneChange(zones, evacuations)
    left = max(0, before.operators - 1)
    if left or (before.repeated and before.operators):
        return ZoneChange(zones, {**evacuations, zone: Evacuation(left, before.repeated, True)})
    return reopen(zones, evacuations, zone)


def reopen(zones: frozenset[str], evacuations: EvacuationTable, zone: str) -> ZoneChange:
    """Without the zone, whoever evacuated it."""
    others = {other: evacuation for other, evacuation in evacuations.items() if other != zone}
    return ZoneChange(zones - {zone}, others)


def encode_evacuations(evacuations: EvacuationTable) -> list[list[object]]:
    """The table as cbor2 carries it."""
    return [[zone, each.operators, each.repeated, each.returned] for zone, each in sorted(evacuations.items())]


def decode_evacuations(rows: object, zones: frozenset[str]) -> EvacuationTable:
    """The checked table. An older record has a zone's name once for each operator.

    Raises:
        RemoteProtocolError: for what `encode_evacuations` does not make, or a zone that is not among `zones`.
    """
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise RemoteProtocolError("evacuations")
    if all(isinstance(row, str) for row in rows):
        table = {zone: Evacuation(min(rows.count(zone), MAX_OPERATORS)) for zone in rows}
    else:
        table = dict(map(_decode_row, rows))
    if len(table) > len(zones) or any(zone not in zones for zone in table):
        raise RemoteProtocolError("evacuations")
    return {zone: evacuation for zone, evacuation in table.items() if evacuation != SINGLE_OPERATOR}


def _decode_row(row: object) -> tuple[str, Evacuation]:
    """One zone and its checked evacuation. Raises RemoteProtocolError."""
    match row:
        case [str() as zone, int() as operators, bool() as repeated, bool() as returned]:
            if 0 <= operators <= MAX_OPERATORS and (operators or returned):
                return zone, Evacuation(operators, repeated, returned)
    raise RemoteProtocolError("evacuation")
