"""Checks the configuration's values. An error names the key, the expected kind of value, and the value found."""

from collections.abc import Callable
from typing import Any, Generic, TypeGuard, TypeVar

from .server_list import parse_address

Value = TypeVar("Value")


class ConfigurationError(Exception):
    """The configuration is invalid. The message names the key and the reason."""

    @classmethod
    def for_key(cls, key: str, expected: str, value: object) -> "ConfigurationError":
        """Returns the error for a key with an invalid value. `value`: the value found; None if the key is missing."""
        found = "; it is missing" if value is None else f", not {value!r:.80}"
        return cls(f"{key} should be {expected}{found}")


class Kind(Generic[Value]):
    """A kind of value.

    Attributes:
        description: its description in error messages.
        accepts: returns whether a value is of this kind.
    """

    __slots__ = ("description", "accepts")

    def __init__(self, description: str, accepts: Callable[[object], TypeGuard[Value]]) -> None:
        """See the class's attributes."""
        self.description = description
        self.accepts = accepts


def _is_number(value: object) -> TypeGuard[float]:
    """Returns whether the value is a number of 0 or more."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0


def _is_count(value: object) -> TypeGuard[int]:
    """Returns whether the value is an integer of 1 or more."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 1


def _is_text(value: object) -> TypeGuard[str]:
    """Returns whether the value is a non-empty string."""
    return isinstance(value, str) and value != ""


def _is_list(value: object) -> TypeGuard[list[Any]]:
    """Returns whether the value is a non-empty list."""
    return isinstance(value, list) and bool(value)


def _is_object(value: object) -> TypeGuard[dict[str, Any]]:
    """Returns whether the value is an object."""
    return isinstance(value, dict)


def _is_flag(value: object) -> TypeGuard[bool]:
    """Returns whether the value is a boolean."""
    return isinstance(value, bool)


NUMBER = Kind("a number", _is_number)
COUNT = Kind("a whole number of 1 or more", _is_count)
TEXT = Kind("a text", _is_text)
LIST = Kind("a list", _is_list)
OBJECT = Kind("an object", _is_object)
FLAG = Kind("true or false", _is_flag)


def check_value(value: object, kind: Kind[Value], key: str) -> Value:
    """Returns the value if it is of the kind. `key`: its key, for the error. Raises ConfigurationError."""
    if not kind.accepts(value):
        raise ConfigurationError.for_key(key, kind.description, value)
    return value


def check_address(value: object, key: str) -> tuple[str, int]:
    """Returns the host and port of an address. `key`: its key, for the error. Raises ConfigurationError."""
    text = check_value(value, TEXT, key)
    try:
        return parse_address(text)
    except ValueError:
        raise ConfigurationError.for_key(key, "host:port", value) from None


def check_path(content: dict[str, Any], path: str, kind: Kind[Any], required: bool, key: str) -> None:
    """Checks the value at a path in an object.

    Args:
        content: the object.
        path: keys separated by dots; a key followed by `[]` is a list, of which every row is checked.
        kind: the expected kind of the value.
        required: whether a missing value is an error.
        key: the object's own key, for the error.

    Raises:
        ConfigurationError: the value is of another kind, or is required and missing.
    """
    head, *deeper = path.split(".", 1)
    name = head.removesuffix("[]")
    key = f"{key}.{name}"
    value = content.get(name)
    if value is None and not required:
        return
    if not deeper:
        check_value(value, kind, key)
    elif head.endswith("[]"):
        rows = check_value(value, LIST, key)
        for number, row in enumerate(rows):
            row_key = f"{key}[{number}]"
            check_path(check_value(row, OBJECT, row_key), deeper[0], kind, required, row_key)
    else:
        check_path(check_value(value, OBJECT, key), deeper[0], kind, required, key)
