"""Parses durations, addresses and numbers of settings files, configurations and the platform (PROTOCOL.md).

Every function raises `FieldError` for an invalid value."""

from functools import lru_cache
from math import isfinite
from typing import Any

from .errors import FieldError, quoted

MS = 10**6  # ns
SEC = 10**9  # ns
MAX_DURATION_NS = 2**62  # a longer one is a mistake, and would not fit into the 64 bits that it is sent in
MAX_NUMBER = 2**62  # a larger one is a mistake, and would not fit into the 64 bits that it is sent in
UNITS_NS = (("ms", MS), ("s", SEC))  # in the order in which they are tried, since "ms" also ends with "s"
MAX_DURATION_CHARS = 40
MAX_DURATION_DIGITS = 19  # of an integral number of units
MAX_PORT_DIGITS = 5
PORTS = range(1, 65536)
CACHED_DURATIONS = 256  # the routes of a configuration share few distinct durations

Json = Any  # a value of any type that the JSON parser returns


def parse_duration(text: object) -> int:
    """Returns `1500ms` or `2.5s` in ns."""
    if type(text) is not str or len(text) > MAX_DURATION_CHARS or not text.isascii():
        raise FieldError(f"not a time such as 1500ms or 2.5s: {quoted(text)}")
    return _parse_duration(text)


@lru_cache(CACHED_DURATIONS)
def _parse_duration(text: str) -> int:
    for unit, unit_ns in UNITS_NS:
        if text.endswith(unit):
            duration = _units_to_ns(text[: -len(unit)], unit_ns)
            if duration is None:
                break
            if duration >= MAX_DURATION_NS:
                raise FieldError(f"too long a time: {quoted(text)}")
            return duration
    raise FieldError(f"not a time such as 1500ms or 2.5s: {quoted(text)}")


def _units_to_ns(digits: str, unit_ns: int) -> int | None:
    """Returns a number of units in ns, or None if the text is not a number."""
    if digits.isdecimal() and len(digits) <= MAX_DURATION_DIGITS:
        return int(digits) * unit_ns
    if not digits[:1].isdigit() or not digits[-1:].isdigit() or "_" in digits:
        return None
    try:
        count = float(digits)
    except ValueError:
        return None
    return round(count * unit_ns) if isfinite(count) else MAX_DURATION_NS


def parse_address(text: object) -> tuple[str, int]:
    """Returns `10.1.0.13:8381` as (host, port)."""
    if type(text) is str:
        colon = text.rfind(":")
        port = text[colon + 1 :]
        is_number = port.isdecimal() and port.isascii() and len(port) <= MAX_PORT_DIGITS
        if colon > 0 and is_number and int(port) in PORTS:
            return text[:colon], int(port)
    raise FieldError(f"not an address such as 10.1.0.13:8381: {quoted(text)}")


def check_number(value: Json) -> int | float:
    """Returns a value that must be a finite number, 0 or above."""
    if type(value) not in (int, float) or not -MAX_NUMBER < value < MAX_NUMBER:  # also rejects NaN
        raise FieldError(f"not a number: {quoted(value)}")
    if value < 0:
        raise FieldError(f"below 0: {quoted(value)}")
    number: int | float = value
    return number
