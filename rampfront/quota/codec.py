"""Checks, decodes and encodes the messages of `messages.py`. Wire keys stand here and nowhere else.

On the wire a message is a map with keys of one letter and rows are lists without keys, as each byte between regions is
priced. Old and new nodes run side by side: keys, their order, and which of them are absent stay as they are. A map that
is not valid raises `InvalidMessageError`; what is not named in the checks below is only compared, or taken as a flag.
"""

from collections.abc import Mapping
from typing import Any, NoReturn

from .messages import (
    MOST_ROWS,
    CountDelta,
    CounterTotals,
    CounterUpdate,
    CountRow,
    Farewell,
    FullCount,
    Probe,
    TenantTotal,
)

WireMap = Mapping[str, Any]

# A proxy's update.
INCARNATION = "l"
SEQUENCE = "s"
COUNTS = "a"
COUNTER_INCARNATION = "g"
LIVED_MS = "f"
WANTS_ALL = "w"
IDLE = "z"
# A counter's totals, besides COUNTER_INCARNATION and SEQUENCE.
COUNTER_TIME_MS = "h"
TOTALS = "t"
LISTS_ALL = "w"
UNSOLICITED = "p"
# A probe, and a farewell besides INCARNATION.
PROBE_NUMBER = "q"
FAREWELL = "b"

LONGEST_NAME = 128  # of a tenant or proxy, in characters
MOST = 10**9  # the largest figure that is valid
MOST_WINDOWS = 1 << 62  # past the largest number of a window
MOST_TIME_MS = 1 << 50  # past the largest time of a counter
COUNT_WIDTH = len(CountDelta._fields)
TOTAL_WIDTH = len(TenantTotal._fields)


class InvalidMessageError(ValueError):
    """A message from another machine that is not taken in."""


def encode_update(update: CounterUpdate) -> WireMap:
    """The update's wire form."""
    wire_map: dict[str, Any] = {
        INCARNATION: update.incarnation,
        SEQUENCE: update.sequence,
        COUNTS: list(map(list, update.rows)),
    }
    if update.counter_incarnation is not None:
        wire_map[COUNTER_INCARNATION] = update.counter_incarnation
    if update.lived_ms:
        wire_map[LIVED_MS] = update.lived_ms
    if update.wants_all:
        wire_map[WANTS_ALL] = 1
    if update.idle:
        wire_map[IDLE] = 1
    return wire_map


def encode_totals(totals: CounterTotals) -> WireMap:
    """The totals' wire form."""
    wire_map: dict[str, Any] = {
        COUNTER_INCARNATION: totals.counter_incarnation,
        SEQUENCE: totals.sequence,
        COUNTER_TIME_MS: totals.counter_time_ms,
        TOTALS: list(map(list, totals.rows)),
    }
    if totals.lists_all:
        wire_map[LISTS_ALL] = 1
    if totals.unsolicited:
        wire_map[UNSOLICITED] = 1
    return wire_map


def with_sequence(totals: WireMap, sequence: int) -> WireMap:
    """Encoded totals under another sequence number: an announcement is encoded once for all proxies."""
    return {**totals, SEQUENCE: sequence}


def encode_probe(probe: Probe) -> WireMap:
    """The probe's wire form, which is that of its answer too."""
    return {PROBE_NUMBER: probe.number}


def encode_farewell(farewell: Farewell) -> WireMap:
    """The farewell's wire form."""
    return {INCARNATION: farewell.incarnation, FAREWELL: 1}


def decode_request(wire_map: object) -> CounterUpdate | Probe | Farewell:
    """Decodes what a proxy sent to the counter. Raises `InvalidMessageError`."""
    fields = _check_map(wire_map)
    if PROBE_NUMBER in fields:
        return Probe(_check_whole(fields[PROBE_NUMBER]))
    if fields.get(FAREWELL):
        return Farewell(_check_whole(fields.get(INCARNATION)))
    lived_ms = _check_whole(fields.get(LIVED_MS, 0))
    return CounterUpdate(
        incarnation=_check_whole(fields.get(INCARNATION)),
        sequence=_check_whole(fields.get(SEQUENCE), 1),
        rows=_decode_counts(fields.get(COUNTS), FullCount if lived_ms else CountDelta),
        counter_incarnation=fields.get(COUNTER_INCARNATION),
        lived_ms=lived_ms,
        wants_all=bool(fields.get(WANTS_ALL)),
        idle=bool(fields.get(IDLE)),
    )


def decode_totals(wire_map: object) -> CounterTotals:
    """Decodes what a counter sent to a proxy, other than a probe's answer. Raises `InvalidMessageError`."""
    fields = _check_map(wire_map)
    return CounterTotals(
        counter_incarnation=_check_whole(fields.get(COUNTER_INCARNATION)),
        sequence=_check_whole(fields.get(SEQUENCE)),
        counter_time_ms=_check_whole(fields.get(COUNTER_TIME_MS), 0, MOST_TIME_MS),
        rows=_decode_totals_rows(fields.get(TOTALS)),
        lists_all=bool(fields.get(LISTS_ALL)),
        unsolicited=bool(fields.get(UNSOLICITED)),
    )


def decode_probe_answer(wire_map: object) -> Probe | None:
    """The answer to a probe, or None for another message. Raises `InvalidMessageError` for what is no map."""
    fields = _check_map(wire_map)
    return Probe(fields[PROBE_NUMBER]) if PROBE_NUMBER in fields else None


def check_name(value: object) -> str:
    """Returns `value` if it can name a tenant or a proxy. Raises `InvalidMessageError`."""
    if type(value) is not str or not 0 < len(value) <= LONGEST_NAME:
        raise InvalidMessageError("a name is missing or too long")
    return value


def _check_map(value: object) -> WireMap:
    if type(value) is not dict:
        raise InvalidMessageError("no message")
    return value


def _check_whole(value: object, least: int = 0, most: int = MOST) -> int:
    """`value`, if it is a whole number within the bounds, both included."""
    if type(value) is not int or not least <= value <= most:
        _refuse_figure()
    return value


def _refuse_figure() -> NoReturn:
    raise InvalidMessageError("a figure is missing or out of bounds")


def _check_rows(value: object, width: int) -> list[list[Any]]:
    """`value`, if it is a list of lists of that width, not too many; what they hold is not looked at."""
    if type(value) is not list or len(value) > MOST_ROWS:
        raise InvalidMessageError("rows are missing or out of bounds")
    for row in value:
        if type(row) is not list or len(row) != width:
            raise InvalidMessageError("rows are missing or out of bounds")
    return value


def _decode_counts(value: object, row_type: type[CountDelta] | type[FullCount]) -> list[CountRow]:
    """Rows of a proxy's update. The checks stand in line: there are up to 40 rows to a message."""
    decoded: list[CountRow] = []
    for row in _check_rows(value, COUNT_WIDTH):
        tenant, window, *figures = row
        check_name(tenant)
        if type(window) is not int or not -1 <= window <= MOST_WINDOWS:
            _refuse_figure()
        for figure in figures:
            if type(figure) is not int or not 0 <= figure <= MOST:
                _refuse_figure()
        decoded.append(row_type._make(row))
    return decoded


def _decode_totals_rows(value: object) -> list[TenantTotal]:
    """Rows of a counter's totals, checked in line as those of an update are."""
    decoded = []
    for row in _check_rows(value, TOTAL_WIDTH):
        total = TenantTotal._make(row)
        check_name(total.tenant)
        if type(total.window) is not int or not 0 <= total.window <= MOST_WINDOWS:
            _refuse_figure()
        if type(total.remaining) is not int or not -MOST <= total.remaining <= MOST:
            _refuse_figure()
        for figure in (total.current, total.previous, total.proxies, total.requested_per_s):
            if type(figure) is not int or not 0 <= figure <= MOST:
                _refuse_figure()
        decoded.append(total)
    return decoded
