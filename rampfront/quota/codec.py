"""Validates, decodes and encodes the messages of `messages.py`. Only this module knows the keys on the wire.

On the wire a message is a map with keys of one letter, and rows are arrays without keys, since each byte between
regions has a price. The named tuple of a row is encoded as such an array, its fields in order; decoding yields lists.
Nodes of an older and a newer version run side by side, so keys, their order and which of them are omitted stay.

An invalid map raises `InvalidMessageError`. Fields without a check below are only compared, or used as flags.
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

# Keys of a proxy's update.
INCARNATION = "l"
SEQUENCE = "s"
COUNTS = "a"
COUNTER_INCARNATION = "g"
HISTORY_MS = "f"
WANTS_ALL = "w"
IDLE = "z"
# Keys of a counter's totals, besides COUNTER_INCARNATION and SEQUENCE.
COUNTER_TIME_MS = "h"
TOTALS = "t"
LISTS_ALL = "w"
UNSOLICITED = "p"
# Keys of a probe, and of a deregistration, which also has INCARNATION.
PROBE_NUMBER = "q"
DEREGISTRATION = "b"

MAX_NAME_CHARACTERS = 128  # of a tenant or a proxy
MAX_VALUE = 10**9  # limit of most integers
MAX_WINDOW_NUMBER = 1 << 62  # above all numbers of windows
MAX_COUNTER_TIME_MS = 1 << 50  # above all times of a counter
COUNT_WIDTH = len(CountDelta._fields)
TOTAL_WIDTH = len(TenantTotal._fields)

INVALID_NAME = "name missing or too long"
INVALID_INTEGER = "integer missing or out of range"
INVALID_ROWS = "rows missing, malformed or too many"

# Construct named tuples from rows in a third of the time of their own constructors, which run Python code.
_new_count_delta = partial(tuple.__new__, CountDelta)
_new_full_count = partial(tuple.__new__, FullCount)
_new_tenant_total = partial(tuple.__new__, TenantTotal)


class InvalidMessageError(ValueError):
    """A message from another machine was rejected as invalid."""


def encode_update(update: CounterUpdate) -> WireMap:
    """Encodes an update."""
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
    """Encodes a counter's totals."""
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
    """Returns encoded totals with another sequence number, so that an announcement is encoded once for all proxies."""
    return {**totals, SEQUENCE: sequence}


def encode_probe(probe: Probe) -> WireMap:
    """Encodes a probe, or the answer to it, which is the same."""
    return {PROBE_NUMBER: probe.number}


def encode_deregistration(deregistration: Deregistration) -> WireMap:
    """Encodes a deregistration."""
    return {INCARNATION: deregistration.incarnation, DEREGISTRATION: 1}


def decode_request(wire_map: object) -> CounterUpdate | Probe | Deregistration:
    """Decodes a proxy's message to the counter. Raises `InvalidMessageError`."""
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
    """Decodes a counter's message to a proxy, other than the answer to a probe. Raises `InvalidMessageError`."""
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
    """Decodes the answer to a probe; returns None for another message. Raises `InvalidMessageError` if it is no map."""
    if type(wire_map) is not dict:
        _reject("message is not a map")
    return Probe(wire_map[PROBE_NUMBER]) if PROBE_NUMBER in wire_map else None


def check_name(value: object) -> str:
    """Returns `value` if it is a valid name of a tenant or a proxy. Raises `InvalidMessageError`."""
    if type(value) is not str or not 0 < len(value) <= MAX_NAME_CHARACTERS:
        _reject(INVALID_NAME)
    return value


def _reject(reason: str) -> NoReturn:
    raise InvalidMessageError(reason)


def _check_map(value: object) -> WireMap:
    if type(value) is not dict:
        _reject("message is not a map")
    return value


def _check_integer(value: object) -> int:
    """Returns `value` if it is an integer from 0 to `MAX_VALUE`."""
    if type(value) is not int or not 0 <= value <= MAX_VALUE:
        _reject(INVALID_INTEGER)
    return value


def _check_rows(value: object, width: int) -> list[list[Any]]:
    """Returns `value` if it is a list of at most `MAX_ROWS` lists of that width. Does not check their contents."""
    if type(value) is not list or len(value) > MAX_ROWS:
        _reject(INVALID_ROWS)
    for row in value:
        if type(row) is not list or len(row) != width:
            _reject(INVALID_ROWS)
    return value


def _decode_counts(value: object, new_row: Callable[[list[Any]], CountRow]) -> list[CountRow]:
    """Decodes the rows of a proxy's update. The checks are inline, since a message has up to 40 rows."""
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
    """Decodes the rows of a counter's totals. The checks are inline, as in `_decode_counts`."""
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
