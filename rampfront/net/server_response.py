"""What servers say in header fields and reports, apart from their responses. What cannot be read says nothing."""

from collections.abc import Mapping
from math import isfinite

_MAX_UNITS = 1e9
_MAX_UNITS_CHARACTERS = 15
_MAX_USE_DIGITS = 6
_PERCENT = 100
_MAX_REPORTED = 1e9

Report = dict[str, float]


def parse_units(text: bytes) -> float:
    """X-Cost-Units: what the transaction drew; 0 if the server does not say, which is not the same as nothing."""
    if len(text) > _MAX_UNITS_CHARACTERS or b"_" in text:
        return 0
    try:
        units = float(text)
    except ValueError:
        return 0
    return units if isfinite(units) and 0.0 < units < _MAX_UNITS else 0


def parse_quota_use(text: bytes) -> float | None:
    """X-Ratelimit-Used: what the account used of its quota, over all nodes; None if the server does not say.

    The field holds 1 and the use in percent, so that 0 says nothing.
    """
    text = text.strip()
    if not text.isdigit() or len(text) > _MAX_USE_DIGITS or not int(text):
        return None
    return (int(text) - 1) / _PERCENT


def parse_report(text: bytes) -> Report:
    """The numbers of a report of load in JSON.

    Raises:
        ValueError: it is no JSON, or no object.
    """
    import orjson  # not every process reads reports, and it takes memory

    report = orjson.loads(text)
    if not isinstance(report, Mapping):
        raise ValueError("no object")
    return {name: value for name, value in report.items() if type(value) in (int, float) and 0 <= value < _MAX_REPORTED}
