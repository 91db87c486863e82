"""The X-Call-Terms field of a transaction: the units that it takes, and over how many nodes its account is spread.

The field reads `units=<number>,spread=<count>,first=<index>`, in any order, each name once and
nothing else.
"""

import re
from typing import NamedTuple

from .http_status import BAD_REQUEST, HttpStatusError

_TERM = re.compile(rb"\s*(units|spread|first)\s*=\s*(\d{1,9}(?:\.\d{1,6})?)\s*")


class CallTerms(NamedTuple):
    """What the field says.

    Attributes:
        units: what the transaction takes of its account's quota.
        spread: over how many nodes the account's transactions are spread.
    """

    units: float
    spread: int


class CallTermsParser:
    """Parses the field, and keeps what it parsed lately: clients send the same few texts again and again."""

    def __init__(self, max_units: float, nodes: int, max_cached: int) -> None:
        """Parses nothing yet.

        Args:
            max_units: the most units that a transaction may take.
            nodes: how many nodes there are.
            max_cached: how many texts are kept.
        """
        self._max_units = max_units
        self._nodes = nodes
        self._max_cached = max_cached
        self._cache: dict[bytes, CallTerms] = {}

    def parse(self, text: bytes) -> CallTerms:
        """Parses the field. Raises HttpStatusError if it is not as it should be."""
        terms = self._cache.get(text)
        if terms is None:
            terms = self._check(_split(text))
            if len(self._cache) >= self._max_cached:
                self._cache.clear()
            self._cache[text] = terms
        return terms

    def _check(self, values: dict[bytes, bytes]) -> CallTerms:
        """Checks the values against what there is."""
        units = float(values.get(b"units", 0))
        spread = values.get(b"spread", b"")
        first = values.get(b"first", b"")
        if not (
            0 < units <= self._max_units
            and spread.isdigit()
            and 1 <= int(spread) <= self._nodes
            and first.isdigit()
            and int(first) < self._nodes
        ):
            raise HttpStatusError(BAD_REQUEST, "odd X-Call-Terms")
        return CallTerms(int(units) if units.is_integer() else units, int(spread))


def _split(text: bytes) -> dict[bytes, bytes]:
    """The values by name."""
    values: dict[bytes, bytes] = {}
    for part in text.split(b","):
        match = _TERM.fullmatch(part)
        if match and match.group(1) not in values:
            values[match.group(1)] = match.group(2)
        else:
            raise HttpStatusError(BAD_REQUEST, "odd X-Call-Terms")
    return values
