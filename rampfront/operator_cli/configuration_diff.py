"""Compares two configurations (tables of JSON): routes, customers, services, caps. Does no I/O.

API keys are never shown, only how many were added and removed. `unused_fields` names fields that no reader uses, which
are often misspelled.
"""

from collections.abc import Iterator
from dataclasses import fields

from ..settings import configuration
from ..settings.field_types import key_of
from .control_answers import Json

MAX_VALUE_CHARS = 60  # of a value in a line of output
TOP_FIELDS = frozenset(("Revision", "Caps", "Customers", "Sockets", "Groups"))
HOST_FIELDS = frozenset(("Hostname", "Rulebook"))
ROUTE_FIELDS = frozenset(("Name", "Type", "Target", "Priority", "Public", "MatchesWhen", "ThenDo"))
ACTION_FIELDS = frozenset(("Service", "Shares", "GiveUp", "Tries", "HomeRegions"))
CHANGE_SIGNS = {"added": "+", "removed": "-", "changed": "~"}


def _items(document: Json) -> dict[tuple[str, str], Json]:
    """Returns each item of a configuration by (kind, name), which is unique in a valid configuration."""
    items: dict[tuple[str, str], Json] = {}
    if document.get("Caps"):
        items["caps", ""] = document["Caps"]
    for row in document.get("Groups") or ():
        items["service", row["Name"]] = row
    for row in document.get("Customers") or ():
        items["tenant", row["Name"]] = row
    for host in document.get("Sockets") or ():
        hostname = configuration.normalize_host(host["Hostname"].encode()).decode()
        for rule in host.get("Rulebook") or ():
            items["route", hostname + rule["MatchesWhen"]["PathStart"]] = rule
    return items


def _flatten(row: Json, path: str = "") -> Iterator[tuple[str, object]]:
    """Yields the path and value of each field of nested tables."""
    for name, value in row.items():
        if isinstance(value, dict):
            yield from _flatten(value, f"{path}{name}.")
        else:
            yield path + name, value


def changes(old: Json, new: Json) -> list[Json]:
    """Returns [{"Kind", "Name", "Change": added | removed | changed, "Fields": [[field, before, after]]}], sorted by
    kind and name."""
    old_items = _items(old)
    new_items = _items(new)
    rows: list[Json] = []
    for kind, name in sorted(old_items.keys() | new_items.keys()):
        before = old_items.get((kind, name))
        after = new_items.get((kind, name))
        if before is None or after is None:
            change = "added" if before is None else "removed"
            rows.append({"Kind": kind, "Name": name, "Change": change, "Fields": []})
        elif changed := _changed_fields(before, after):
            rows.append({"Kind": kind, "Name": name, "Change": "changed", "Fields": changed})
    return rows


def _changed_fields(old: Json, new: Json) -> list[list[object]]:
    """Returns [field, before, after] for each field that differs."""
    before = dict(_flatten(old))
    after = dict(_flatten(new))
    rows: list[list[object]] = []
    for name in sorted(before.keys() | after.keys()):
        if before.get(name) == after.get(name):
            continue
        if name != "ApiKeys":
            rows.append([name, before.get(name), after.get(name)])
            continue
        old_keys = set(old.get(name) or ())
        new_keys = set(new.get(name) or ())
        if old_keys != new_keys:
            rows.append([name, f"{len(old_keys - new_keys)} taken away", f"{len(new_keys - old_keys)} new"])
    return rows


def _file_keys(data_class: type) -> set[str]:
    """Returns the keys that the fields of a table have in the file."""
    return {row.metadata.get("key") or key_of(row.name) for row in fields(data_class) if row.metadata}


def unused_fields(document: Json) -> list[str]:
    """Returns the paths of fields that no part of the system reads, each once."""
    hosts = document.get("Sockets") or ()
    rules = [rule for host in hosts for rule in host.get("Rulebook") or ()]
    tables = (
        ("Caps", [document.get("Caps") or {}], _file_keys(configuration.Caps)),
        ("Groups[]", document.get("Groups") or (), _file_keys(configuration.Service)),
        ("Customers[]", document.get("Customers") or (), _file_keys(configuration.Customer)),
        ("Sockets[]", hosts, HOST_FIELDS),
        ("Sockets[].Rulebook[]", rules, ROUTE_FIELDS),
        ("Sockets[].Rulebook[].ThenDo", [rule["ThenDo"] for rule in rules], ACTION_FIELDS),
    )
    paths = dict.fromkeys(sorted(document.keys() - TOP_FIELDS))  # used as an ordered set
    for path, rows, known in tables:
        for row in rows:
            paths |= dict.fromkeys(f"{path}.{name}" for name in sorted(row.keys() - known))
    return list(paths)


def format_change(change: Json) -> str:
    """Returns a change as one line of text."""
    item = f"{CHANGE_SIGNS[change['Change']]} {change['Kind']} {change['Name']}".rstrip()
    details = ", ".join(f"{name}: {_shorten(before)} -> {_shorten(after)}" for name, before, after in change["Fields"])
    return f"{item}  {details}" if details else item


def _shorten(value: object) -> str:
    text = "none" if value is None else str(value)
    return text if len(text) <= MAX_VALUE_CHARS else text[: MAX_VALUE_CHARS - 3] + "..."
