"""The X-Call-Terms field of a transaction: the units that it takes, and over how many nodes its account is spread.

The syntax is `units=<number>,spread=<count>,first=<index>`. The parameters may be in any order; each appears exactly
once, and no others are allowed.
"""

import re
from typing import NamedTuple

from .http_status import BAD_REQUEST, HttpStatusError

_TERM = re.compile(rb"\s*(units|spread|first)\s*=\s*(\d{1,9}(?:\.\d{1,6})?)\s*")


class CallTerms(NamedTuple):
    """The parsed value of the field.

    Attributes:
        units: the units that the transaction takes from its account's quota.
        spread: the number of nodes over which the account's transactions are spread.
    """

    units: float
    spread: int


class CallTermsParser:
    """Parses the field and caches the results, because clients send the same few texts repeatedly."""

    def __init__(self, max_units: float, nodes: int, max_cached: int) -> None:
        """Starts with an empty cache.

        Args:
            max_units: the maximum number of units that a transaction may take.
            nodes: the number of nodes.
            max_cached: the maximum number of cached texts.
        """
        self._max_units = max_units
        self._nodes = nodes
        self._max_cached = max_cached
        self._cache: dict[bytes, CallTerms] = {}

    def parse(self, text: bytes) -> CallTerms:
        """Parses the field. Raises HttpStatusError if it is invalid."""
        terms = self._cache.get(text)
        if terms is None:
            terms = self._check(_split(text))
            if len(self._cache) >= self._max_cached:
                self._cache.clear()
            self._cache[text] = terms
        return terms

    def _check(self, values: dict[bytes, bytes]) -> CallTerms:
        """Checks that the values are within their ranges. Raises HttpStatusError."""
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
    """Returns the values by parameter name. Raises HttpStatusError if the syntax is invalid."""
    values: dict[bytes, bytes] = {}
    for part in text.split(b","):
        match = _TERM.fullmatch(part)
        if match and match.group(1) not in values:
            values[match.group(1)] = match.group(2)
        else:
            raise HttpStatusError(BAD_REQUEST, "odd X-Call-Terms")
    return values
