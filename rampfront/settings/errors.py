"""Why a value of a settings file or configuration was rejected, with the path of its field.

Readers raise `FieldError` on their way down; the public functions catch it and return the `Fault` that it becomes.
"""

from typing import NamedTuple

MAX_QUOTE_CHARS = 60  # of a value that a reason quotes


class Fault(NamedTuple):
    """Why something could not be read: the path of the field (empty: the whole text), and the reason."""

    field: str
    reason: str

    def __str__(self) -> str:
        """As operators read it: `Sockets[0].Hostname: missing`."""
        return f"{self.field}: {self.reason}" if self.field else self.reason


class FieldError(ValueError):
    """A value that is not valid. `field` grows to its full path on the way up, and becomes a `Fault` in the end."""

    def __init__(self, reason: str, field: str = "") -> None:
        """`field`: its path below the table that is read at the moment; empty: that table itself."""
        super().__init__(reason)
        self.reason = reason
        self.field = field

    def add_parent(self, parent: str) -> None:
        """Puts the table that holds the field before its path."""
        joint = "." if self.field and self.field[0] != "[" else ""
        self.field = parent + joint + self.field

    def fault(self) -> Fault:
        """Returns the value that the public functions hand to their callers."""
        return Fault(self.field, self.reason)


def quoted(value: object) -> str:
    """Returns a value as a reason quotes it: short, whatever was sent."""
    text = type(value).__name__ if isinstance(value, (dict, list)) else repr(value)
    return text if len(text) <= MAX_QUOTE_CHARS else text[: MAX_QUOTE_CHARS - 3] + "..."
