"""The errors of settings files and configurations: the path of an invalid field, and the reason.

The readers raise `FieldError`; the package's public functions catch it and return it as a `Fault`.
"""

from typing import NamedTuple

MAX_QUOTE_CHARS = 60  # of a value that is quoted in a reason


class Fault(NamedTuple):
    """Why input is invalid: the path of the field (empty for the whole text), and the reason."""

    field: str
    reason: str

    def __str__(self) -> str:
        """Returns the message for operators, such as `Sockets[0].Hostname: missing`."""
        return f"{self.field}: {self.reason}" if self.field else self.reason


class FieldError(ValueError):
    """A value is invalid. Callers prepend their table to the path in `field`; the public functions return a `Fault`."""

    def __init__(self, reason: str, field: str = "") -> None:
        """`field`: its path within the table that is being read; empty for the table itself."""
        super().__init__(reason)
        self.reason = reason
        self.field = field

    def add_parent(self, parent: str) -> None:
        """Prepends the table that contains the field to its path."""
        separator = "." if self.field and self.field[0] != "[" else ""
        self.field = parent + separator + self.field

    def fault(self) -> Fault:
        """Returns the `Fault` that the public functions return to their callers."""
        return Fault(self.field, self.reason)


def quoted(value: object) -> str:
    """Returns a value for quoting in a reason: its type for a table or list, otherwise its text, cut if it is long."""
    text = type(value).__name__ if isinstance(value, (dict, list)) else repr(value)
    return text if len(text) <= MAX_QUOTE_CHARS else text[: MAX_QUOTE_CHARS - 3] + "..."
