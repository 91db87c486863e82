"""Checks, decodes and encodes the messages of `messages.py`. Wire keys stand here and nowhere else.

On the wire a message is a map with keys of one letter and rows are arrays without keys, as each byte between regions is
priced. A row's named tuple is encoded as such an array, its fields in order; what is decoded has lists. Old and new
nodes run side by side: keys, their order, and which of them are absent stay as they are.

A map that is not valid raises `InvalidMessageError`. What the checks below do not name is only compared, or a flag.
"""

from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, NoReturn

from .messages import (
    MAX_ROWS,
    CountDelta,
    CounterTotals,
    CounterUpdate,
    CountRow,
    Deregistration,
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
HISTORY_MS = "f"
WANTS_ALL = "w"
IDLE = "z"
# A counter's totals, besides COUNTER_INCARNATION and SEQUENCE.
COUNTER_TIME_MS = "h"
TOTALS = "t"
LISTS_ALL = "w"
UNSOLICITED = "p"
# A probe, and a farewell besides INCARNATION.
PROBE_NUMBER = "q"
DEREGISTRATION = "b"

MAX_NAME_CHARACTERS = 128  # of a tenant or proxy, in characters
MAX_VALUE = 10**9  # the largest figure that is valid
MAX_WINDOW_NUMBER = 1 << 62  # past the largest number of a window
MAX_COUNTER_TIME_MS = 1 << 50  # past the largest time of a counter
COUNT_WIDTH = len(CountDelta._fields)
TOTAL_WIDTH = len(TenantTotal._fields)

INVALID_NAME = "a name is missing or too long"
INVALID_INTEGER = "a figure is missing or out of bounds"
INVALID_ROWS = "rows are missing or out of bounds"

# Named tuples from rows; in a third of the time of their own constructors, which run Python code.
_new_count_delta = partial(tuple.__new__, CountDelta)
_new_full_count = partial(tuple.__new__, FullCount)
_new_tenant_total = partial(tuple.__new__, TenantTotal)


class InvalidMessageError(ValueError):
    """A message from another machine that is not taken in."""


def encode_update(update: CounterUpdate) -> WireMap:
    """The update's wire form."""
    wire_map: dict[str, Any] = {
        INCARNATION: update.incarnation,
        SEQUENCE: update.sequence,
        COUNTS: update.rows,
    }
    if update.counter_incarnation is not None:
        wire_map[COUNTER_INCARNATION] = update.counter_incarnation
    if update.history_ms:
        wire_map[HISTORY_MS] = update.history_ms
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
        TOTALS: totals.rows,
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


def encode_deregistration(deregistration: Deregistration) -> WireMap:
    """The farewell's wire form."""
    return {INCARNATION: deregistration.incarnation, DEREGISTRATION: 1}


def decode_request(wire_map: object) -> CounterUpdate | Probe | Deregistration:
    """Decodes what a proxy sent to the counter. Raises `InvalidMessageError`."""
    fields = _check_map(wire_map)
    if PROBE_NUMBER in fields:
        return Probe(_check_integer(fields[PROBE_NUMBER]))
    if fields.get(DEREGISTRATION):
        return Deregistration(_check_integer(fields.get(INCARNATION)))
    history_ms = fields.get(HISTORY_MS, 0)
    incarnation = fields.get(INCARNATION)
    sequence = fields.get(SEQUENCE)
    if not (
        type(history_ms) is type(incarnation) is type(sequence) is int
        and 0 <= history_ms <= MAX_VALUE
        and 0 <= incarnation <= MAX_VALUE
        and 1 <= sequence <= MAX_VALUE
    ):
        _reject(INVALID_INTEGER)
    return CounterUpdate(
        incarnation,
        sequence,
        _decode_counts(fields.get(COUNTS), _new_full_count if history_ms else _new_count_delta),
        fields.get(COUNTER_INCARNATION),
        history_ms,
        bool(fields.get(WANTS_ALL)),
        bool(fields.get(IDLE)),
    )


def decode_totals(wire_map: object) -> CounterTotals:
    """Decodes what a counter sent to a proxy, other than a probe's answer. Raises `InvalidMessageError`."""
    fields = _check_map(wire_map)
    incarnation = fields.get(COUNTER_INCARNATION)
    sequence = fields.get(SEQUENCE)
    time_ms = fields.get(COUNTER_TIME_MS)
    if not (
        type(incarnation) is type(sequence) is type(time_ms) is int
        and 0 <= incarnation <= MAX_VALUE
        and 0 <= sequence <= MAX_VALUE
        and 0 <= time_ms <= MAX_COUNTER_TIME_MS
    ):
        _reject(INVALID_INTEGER)
    rows = _decode_totals_rows(fields.get(TOTALS))
    return CounterTotals(
        incarnation, sequence, time_ms, rows, bool(fields.get(LISTS_ALL)), bool(fields.get(UNSOLICITED))
    )


def decode_probe_answer(wire_map: object) -> Probe | None:
    """The answer to a probe, or None for another message. Raises `InvalidMessageError` for what is no map."""
    if type(wire_map) is not dict:
        _reject("no message")
    return Probe(wire_map[PROBE_NUMBER]) if PROBE_NUMBER in wire_map else None


def check_name(value: object) -> str:
    """Returns `value` if it can name a tenant or a proxy. Raises `InvalidMessageError`."""
    if type(value) is not str or not 0 < len(value) <= MAX_NAME_CHARACTERS:
        _reject(INVALID_NAME)
    return value


def _reject(reason: str) -> NoReturn:
    raise InvalidMessageError(reason)


def _check_map(value: object) -> WireMap:
    if type(value) is not dict:
        _reject("no message")
    return value


def _check_integer(value: object) -> int:
    """`value`, if it is an integer from 0 to `MOST`."""
    if type(value) is not int or not 0 <= value <= MAX_VALUE:
        _reject(INVALID_INTEGER)
    return value


def _check_rows(value: object, width: int) -> list[list[Any]]:
    """`value`, if it is a list of lists of that width, not too many; what they hold is not looked at."""
    if type(value) is not list or len(value) > MAX_ROWS:
        _reject(INVALID_ROWS)
    for row in value:
        if type(row) is not list or len(row) != width:
            _reject(INVALID_ROWS)
    return value


def _decode_counts(value: object, new_row: Callable[[list[Any]], CountRow]) -> list[CountRow]:
    """Rows of a proxy's update. The checks stand in line, as there are up to 40 rows to a message."""
    rows = _check_rows(value, COUNT_WIDTH)
    for tenant, window, current, previous, last in rows:
        if type(tenant) is not str or not 0 < len(tenant) <= MAX_NAME_CHARACTERS:
            _reject(INVALID_NAME)
        if not (
            type(window) is type(current) is type(previous) is type(last) is int
            and -1 <= window <= MAX_WINDOW_NUMBER
            and 0 <= current <= MAX_VALUE
            and 0 <= previous <= MAX_VALUE
            and 0 <= last <= MAX_VALUE
        ):
            _reject(INVALID_INTEGER)
    return list(map(new_row, rows))


def _decode_totals_rows(value: object) -> list[TenantTotal]:
    """Rows of a counter's totals, checked in line as those of an update are."""
    rows = _check_rows(value, TOTAL_WIDTH)
    for tenant, window, current, previous, remaining, proxies, requested_per_s in rows:
        if type(tenant) is not str or not 0 < len(tenant) <= MAX_NAME_CHARACTERS:
            _reject(INVALID_NAME)
        if not (
            type(window) is type(current) is type(previous) is type(remaining) is int
            and type(proxies) is type(requested_per_s) is int
            and 0 <= window <= MAX_WINDOW_NUMBER
            and 0 <= current <= MAX_VALUE
            and 0 <= previous <= MAX_VALUE
            and -MAX_VALUE <= remaining <= MAX_VALUE
            and 0 <= proxies <= MAX_VALUE
            and 0 <= requested_per_s <= MAX_VALUE
        ):
            _reject(INVALID_INTEGER)
    return list(map(_new_tenant_total, rows))
