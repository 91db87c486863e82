"""Tests that fail for a fault which is known and not mended yet: `KNOWN-RED.txt` at the root names them.

Each line: the test's id, the cause, the issue, with ` | ` between them. A run plays these tests, prints their outcome
and passes over their failed assertions, and over nothing else: a listed test that has begun to pass fails the run until
its line is taken out, as does one that ends by another error than an AssertionError. `--runxfail` has them fail as they
do.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import pytest

FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
SEPARATOR = " | "
MOST = 3  # lines; the first thing to mend, so there are few


class KnownRed(NamedTuple):
    """A line of the file."""

    test: str
    cause: str
    issue: str


def read(text: str) -> list[KnownRed]:
    """The lines of the file. Raises ValueError if there are too many, or one of another form."""
    rows = [line.split(SEPARATOR) for line in text.splitlines() if line.strip()]
    if len(rows) > MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(rows)} lines, {MOST} at most")
    for row in rows:
        if len(row) != len(KnownRed._fields) or not all(field.strip() for field in row) or "::" not in row[0]:
            raise ValueError(f"KNOWN-RED.txt: not `test{SEPARATOR}cause{SEPARATOR}issue`: {SEPARATOR.join(row)}")
    return [KnownRed(*row) for row in rows]


def listed() -> dict[str, KnownRed]:
    """The lines of the repository's file, by test; none without a file."""
    return {row.test: row for row in read(FILE.read_text())} if FILE.exists() else {}


def expect_failures(items: Iterable[pytest.Item], known: dict[str, KnownRed]) -> None:
    """Marks the listed tests: each must fail, by an assertion."""
    for item in items:
        if row := known.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=row.cause, strict=True, raises=AssertionError))


def print_outcome(reporter: Any, known: dict[str, KnownRed]) -> None:
    """Says of each listed test that was played how it ended; `reporter`: pytest's terminal reporter."""
    for outcome, reports in reporter.stats.items():
        for report in reports if outcome else ():  # set-up and tear-down that went well have no outcome
            if row := known.get(getattr(report, "nodeid", "")):
                ended = "failed, as listed" if outcome == "xfailed" else f"{outcome}: CI FAILS, see KNOWN-RED.txt"
                reporter.write_line(f"KNOWN RED {ended}: {row.test}\n  cause: {row.cause} ({row.issue})")
