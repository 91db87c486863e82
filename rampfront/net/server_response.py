"""Parses extension header fields and load reports of servers. Invalid values count as absent."""

from collections.abc import Mapping
from math import isfinite

_MAX_UNITS = 1e9
_MAX_UNITS_CHARACTERS = 15
_MAX_USE_DIGITS = 6
_PERCENT = 100
_MAX_REPORTED = 1e9

Report = dict[str, float]


def parse_units(text: bytes) -> float:
    """X-Cost-Units: the units that the transaction took. Returns 0 if unknown, which does not mean zero units."""
    if len(text) > _MAX_UNITS_CHARACTERS or b"_" in text:
        return 0
    try:
        units = float(text)
    except ValueError:
        return 0
    return units if isfinite(units) and 0.0 < units < _MAX_UNITS else 0


def parse_quota_use(text: bytes) -> float | None:
    """X-Ratelimit-Used: the share of its quota that the account has used over all nodes. Returns None for unknown.

    The value of the field is the usage in percent plus 1, so that 0 means unknown.
    """
    text = text.strip()
    if not text.isdigit() or len(text) > _MAX_USE_DIGITS or not int(text):
        return None
    return (int(text) - 1) / _PERCENT


def parse_report(text: bytes) -> Report:
    """Parses a load report in JSON. Returns its numbers by name.

    Raises:
        ValueError: it is not JSON, or not an object.
    """
    import orjson  # imported on first use to save memory, as not every process reads reports

    report = orjson.loads(text)
    if not isinstance(report, Mapping):
        raise ValueError("load report is not a JSON object")
    return {name: value for name, value in report.items() if type(value) in (int, float) and 0 <= value < _MAX_REPORTED}
