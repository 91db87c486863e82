"""Checks of the configuration's values: an error names the key, what it should hold, and what it holds."""

from collections.abc import Callable
from typing import Any, Generic, TypeGuard, TypeVar

from .server_list import parse_address

Value = TypeVar("Value")


class ConfigurationError(Exception):
    """The configuration is invalid; the message says where and why."""

    @classmethod
    def for_key(cls, key: str, expected: str, value: object) -> "ConfigurationError":
        """The error of a key that does not hold what it should. `value`: what it holds; None if it is missing."""
        found = "; it is missing" if value is None else f", not {value!r:.80}"
        return cls(f"{key} should be {expected}{found}")


class Kind(Generic[Value]):
    """A kind of values.

    Attributes:
        description: what an error calls it.
        accepts: whether a value is of it.
    """

    __slots__ = ("description", "accepts")

    def __init__(self, description: str, accepts: Callable[[object], TypeGuard[Value]]) -> None:
        """`description`, `accepts`: as the attributes."""
        self.description = description
        self.accepts = accepts


def _is_number(value: object) -> TypeGuard[float]:
    """Whether it is a number of 0 or more."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0


def _is_count(value: object) -> TypeGuard[int]:
    """Whether it is a whole number of 1 or more."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 1


def _is_text(value: object) -> TypeGuard[str]:
    """Whether it is a text that is not empty."""
    return isinstance(value, str) and value != ""


def _is_list(value: object) -> TypeGuard[list[Any]]:
    """Whether it is a list that is not empty."""
    return isinstance(value, list) and bool(value)


def _is_object(value: object) -> TypeGuard[dict[str, Any]]:
    """Whether it is an object."""
    return isinstance(value, dict)


def _is_flag(value: object) -> TypeGuard[bool]:
    """Whether it is true or false."""
    return isinstance(value, bool)


NUMBER = Kind("a number", _is_number)
COUNT = Kind("a whole number of 1 or more", _is_count)
TEXT = Kind("a text", _is_text)
LIST = Kind("a list", _is_list)
OBJECT = Kind("an object", _is_object)
FLAG = Kind("true or false", _is_flag)


def check_value(value: object, kind: Kind[Value], key: str) -> Value:
    """Returns a value that is of a kind. `key`: where it stands. Raises ConfigurationError."""
    if not kind.accepts(value):
        raise ConfigurationError.for_key(key, kind.description, value)
    return value


def check_address(value: object, key: str) -> tuple[str, int]:
    """Host and port of a value that is an address. `key`: where it stands. Raises ConfigurationError."""
    text = check_value(value, TEXT, key)
    try:
        return parse_address(text)
    except ValueError:
        raise ConfigurationError.for_key(key, "host:port", value) from None


def check_path(content: dict[str, Any], path: str, kind: Kind[Any], required: bool, key: str) -> None:
    """Checks what stands at a path below an object.

    Args:
        content: the object.
        path: keys with dots between them; one with `[]` behind it is a list, of which each row is checked.
        kind: what should stand there.
        required: whether something must stand there.
        key: where the object itself stands.

    Raises:
        ConfigurationError: it is of another kind, or missing.
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
