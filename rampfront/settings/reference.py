"""Generates the reference page of settings and configuration fields from the dataclasses that read them."""

from collections.abc import Iterator
from dataclasses import MISSING, Field, fields, is_dataclass
from typing import Any, get_args, get_type_hints

from . import configuration, settings_file
from .field_types import Address, Duration, Integer, Real, UrlPath, key_of
from .scalars import MS, SEC

Annotation = Any  # a field's annotation: a type, a union or a generic alias

SHAPES: dict[Annotation, str] = {
    Duration: "duration",
    Integer: "integer",
    int: "integer",
    Real: "number",
    Address: "address",
    UrlPath: "path",
    str: "text",
    bool: "true or false",
}
HEAD = """# Reference: settings and configuration

Written by `python -m rampfront.settings`; do not edit. A duration is a number and `ms` or `s` (`1500ms`, `2.5s`), an
address `10.1.0.13:8381`. Unknown fields are ignored; null counts as absent. What cannot be read is rejected with the
path of the field and the reason; `python -m rampfront.settings check FILE` (`--settings`) says so beforehand.
"""
CONFIGURATION_TABLES = (  # tables of a configuration: heading of the section, and the class
    ("Caps", configuration.Caps),
    ("Customers[] (customers, or tenants; absent or empty: no route requires an API key)", configuration.Customer),
    (
        "Sockets[].Rulebook[] (routes of the host `Sockets[].Hostname`, compared without letter case and port)",
        configuration.Route,
    ),
    ("Groups[] (services)", configuration.Service),
)


def _duration_text(ns: int) -> str:
    return f"{ns // SEC}s" if ns % SEC == 0 else f"{ns // MS}ms"


def _default_text(row: Field[Any], shape: str) -> str:
    """Returns a field's default as the page shows it."""
    if row.default is not MISSING:
        value = row.default
    elif row.default_factory is not MISSING:
        value = row.default_factory()
    else:
        return "required"
    if value is None or value == "" or is_dataclass(value) or value in ((), frozenset()) or value in ([], {}):
        return "none"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, bytes):
        value = value.decode()
    if shape == "duration":
        return f"`{_duration_text(value)}`"
    return f"`{value:g}`" if isinstance(value, float) else f"`{value}`"


def _shape_text(kind: Annotation) -> str:
    """Returns the name that the page has for a type."""
    inner = [part for part in get_args(kind) if part is not type(None)]
    origin = getattr(kind, "__origin__", None)
    if origin is list:
        return f"list of {_shape_text(inner[0])}"
    if origin is dict:
        return "table of texts"
    if inner:
        return _shape_text(inner[0])
    return SHAPES[kind]


def _settings_rows(table: type, path: str) -> Iterator[str]:
    """Yields the page's rows for a table of the settings file, and for the tables nested in it."""
    hints = get_type_hints(table)
    for row in fields(table):
        kind = next((part for part in get_args(hints[row.name]) if is_dataclass(part)), hints[row.name])
        key = path + key_of(row.name)
        if is_dataclass(kind):
            assert isinstance(kind, type)
            yield from _settings_rows(kind, f"{key}.")
        else:
            shape = _shape_text(kind)
            yield f"| `{key}` | {shape} | {_default_text(row, shape)} | {row.metadata['meaning']} |"


def _configuration_rows(table: type) -> Iterator[str]:
    """Yields the page's rows for a table of a configuration; a field's metadata may override its key and type."""
    hints = get_type_hints(table)
    for row in fields(table):
        if not row.metadata:
            continue
        shape = row.metadata.get("shape") or _shape_text(hints[row.name])
        key = row.metadata["key"] or key_of(row.name)
        yield f"| `{key}` | {shape} | {_default_text(row, shape)} | {row.metadata['meaning']} |"


def page() -> str:
    """Returns the complete page, as Markdown."""
    top = "| field | type | default | meaning |\n|---|---|---|---|"
    parts = [
        HEAD,
        "## Settings file\n",
        top,
        *_settings_rows(settings_file.SettingsFile, ""),
        "\n## Configuration\n\n`Revision` is `r` and a number; `Caps`, `Sockets` and `Groups` are required.\n",
    ]
    for title, table in CONFIGURATION_TABLES:
        parts += [f"### {title}\n", top, *_configuration_rows(table), ""]
    return "\n".join(parts).rstrip() + "\n"
