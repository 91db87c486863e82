"""Field types for dacite, which reads the small tables of settings and configurations.

`read_table(data_class, data)` reads one table. A field `cpu_share` is `CpuShare` in the file. Unknown fields are
ignored, and null counts as absent.
"""

from collections.abc import Callable
from dataclasses import MISSING, dataclass, field, fields
from math import floor
from typing import Any, TypeVar, dataclass_transform

from dacite import Config, from_dict
from dacite.exceptions import DaciteFieldError, MissingValueError, WrongTypeError

from .errors import FieldError, quoted
from .scalars import Json, check_number, parse_address, parse_duration

Table = TypeVar("Table")
FieldValue = Any  # a value of the type that the field is annotated with

IRREGULAR_KEYS = {"own": "Self", "ttl_max": "ttl_max", "header_bytes": "MaxHeaderBytes", "body_bytes": "MaxBodyBytes"}


class Duration(int):
    """A duration, in ns."""


class Integer(int):
    """An integer. Fractions are rounded down: an allowance that is too low still complies with its rule."""


class Real(float):
    """A finite number."""


class Address(tuple[str, int]):
    """An address, as (host, port)."""


class UrlPath(bytes):
    """A path that is sent in a request line."""


PLAIN_TYPES: dict[type, Callable[[Any], Any]] = {
    Duration: int,
    Integer: int,
    Real: float,
    Address: tuple,
    UrlPath: bytes,
}


def described(
    meaning: str,
    key: str | None = None,
    shape: str | None = None,
    *,
    default: FieldValue = MISSING,
    default_factory: FieldValue = MISSING,
) -> FieldValue:
    """Declares a dataclass field with its meaning for the reference page. A field without a default is required.

    `key` and `shape` are its key and type in the file, where these do not follow from the attribute's name and type."""
    metadata = {"meaning": meaning, "key": key, "shape": shape}
    return field(metadata=metadata, default=default, default_factory=default_factory)


@dataclass_transform(frozen_default=True, eq_default=False, field_specifiers=(described,))
def frozen(cls: type[Table]) -> type[Table]:
    """Makes a frozen dataclass without unused methods, so two instances are equal only if they are the same object.

    The dataclass decorator compiles each method whenever a process starts. Leaving out `__eq__`, `__hash__` and
    `__repr__` saves 12 ms of the 42 ms that these classes take."""
    return dataclass(frozen=True, slots=True, eq=False, repr=False, match_args=False)(cls)


@dataclass_transform(eq_default=False, field_specifiers=(described,))
def table(cls: type[Table]) -> type[Table]:
    """Makes a dataclass as `frozen` does, but mutable, for tables that are converted right after they are read. The
    methods that forbid assignment would add 2 ms to each start of a process."""
    return dataclass(slots=True, eq=False, repr=False, match_args=False)(cls)


def key_of(name: str) -> str:
    """Returns a field's key in the file: `CpuShare` for `cpu_share`."""
    return IRREGULAR_KEYS.get(name) or "".join(part.capitalize() for part in name.split("_"))


class _RejectedValueError(WrongTypeError):
    """A `FieldError` as an error class of dacite, which adds the field's path to it."""

    def __init__(self, kind: type, value: object, reason: str) -> None:
        super().__init__(kind, value)
        self.reason = reason


def _hook(check: Callable[[Any], Any], kind: type) -> Callable[[object], Any]:
    """Returns a type hook for dacite that calls `check` for fields of type `kind`."""

    def hook(value: object) -> FieldValue:
        """Checks one value."""
        try:
            return kind(check(value))
        except FieldError as error:
            raise _RejectedValueError(kind, value, error.reason) from None

    return hook


def _check_path(value: object) -> bytes:
    if not isinstance(value, str) or value[:1] != "/" or not value.isascii() or not value.isprintable() or " " in value:
        raise FieldError(f"not a path: {quoted(value)}")
    return value.encode()


READ_CONFIG = Config(
    convert_key=key_of,
    type_hooks={
        Duration: _hook(parse_duration, Duration),
        Address: _hook(parse_address, Address),
        UrlPath: _hook(_check_path, UrlPath),
        Real: _hook(check_number, Real),
        Integer: _hook(lambda value: floor(check_number(value)), Integer),
    },
)


def without_nulls(data: Json) -> Json:
    """Returns `data` without its null values, which count as absent."""
    if type(data) is not dict:
        return data
    return {key: without_nulls(value) for key, value in data.items() if value is not None}


def to_plain(row: Table) -> Table:
    """Returns `row` with plain ints, floats, tuples and bytes in place of the subclasses above, which are slower."""
    plain = {}
    for row_field in fields(row):  # type: ignore[arg-type]  # any class made by `frozen`
        value = getattr(row, row_field.name)
        convert = PLAIN_TYPES.get(type(value))
        plain[row_field.name] = convert(value) if convert else value
    return type(row)(**plain)


def read_table(data_class: type[Table], data: object) -> Table:
    """Returns `data` as a `data_class`. Raises `FieldError` with the path of the invalid field, in the file's keys."""
    if type(data) is not dict:
        raise FieldError(f"not a table: {quoted(data)}")
    try:
        return from_dict(data_class, without_nulls(data), READ_CONFIG)
    except DaciteFieldError as error:
        path = ".".join(key_of(name) for name in (error.field_path or "").split("."))
        raise FieldError(_reason(error), path) from None


def _reason(error: DaciteFieldError) -> str:
    if isinstance(error, MissingValueError):
        return "missing"
    if isinstance(error, _RejectedValueError):
        return error.reason
    return f"invalid value: {quoted(getattr(error, 'value', None))}"
