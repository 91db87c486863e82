"""Formats tables and durations as text."""

from collections.abc import Iterable, Sequence

MAX_SHOWN_AS_MS = 10_000  # ms; longer durations are shown in seconds
MAX_SHOWN_AS_S = 600_000  # ms; longer ones in minutes


def format_duration(duration_ms: float | None) -> str:
    """Returns a duration (ms) as text in ms, s or min, by its length."""
    if duration_ms is None:
        return "none"
    if duration_ms < MAX_SHOWN_AS_MS:
        return f"{duration_ms} ms"
    return f"{duration_ms / 1000:.0f} s" if duration_ms < MAX_SHOWN_AS_S else f"{duration_ms / 60000:.0f} min"


def yes_or_no(value: object) -> str:
    """Returns a truth value as text."""
    return "yes" if value else "no"


def format_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Returns rows below their headings, in columns."""
    lines = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip() for line in lines
    )
