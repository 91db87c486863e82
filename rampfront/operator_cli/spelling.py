"""What the commands share in words: tables of text, spans, and the error for what was typed wrong."""


class Misused(ValueError):
    """What was typed, or a file, does not hold what it should; the text names the field and the way out."""


def spell(ms):
    """A span in ms, as people read it."""
    if ms is None:
        return "none"
    if ms < 10_000:
        return f"{ms} ms"
    return f"{ms / 1000:.0f} s" if ms < 600_000 else f"{ms / 60000:.0f} min"


def yes(value):
    return "yes" if value else "no"


def table(heads, rows):
    """Rows below their heads, in columns."""
    cells = [[str(cell) for cell in row] for row in (heads, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return "\n".join("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip() for row in cells)
