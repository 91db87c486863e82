"""What two configurations (tables of JSON) differ in, thing by thing: hosts' routes, tenants, services, caps. Keys are
never shown, only how many came and went. Fields that no reader of ours uses are named by `unused`: often a slip."""

from dataclasses import fields

from ..settings import configuration
from ..settings.field_types import key_of

SHOWN = 60
ROUTE = frozenset(("Name", "Type", "Target", "Priority", "Public", "MatchesWhen", "ThenDo"))
THEN = frozenset(("Service", "Shares", "GiveUp", "Tries", "HomeRegions"))
TOP = frozenset(("Revision", "Caps", "Customers", "Sockets", "Groups"))


def things(data):
    """Every thing by (kind, name); of two with one name the later, which no valid configuration has."""
    found = {("caps", ""): data["Caps"]} if data.get("Caps") else {}
    for row in data.get("Groups") or ():
        found["service", row["Name"]] = row
    for row in data.get("Customers") or ():
        found["tenant", row["Name"]] = row
    for host in data.get("Sockets") or ():
        for rule in host.get("Rulebook") or ():
            name = configuration.normalize_host(host["Hostname"].encode()).decode() + rule["MatchesWhen"]["PathStart"]
            found["route", name] = rule
    return found


def flat(row, path=""):
    for name, value in row.items():
        if isinstance(value, dict):
            yield from flat(value, f"{path}{name}.")
        else:
            yield path + name, value


def changes(old, new):
    """[{"Kind", "Name", "Change": added | removed | changed, "Fields": [[field, was, is]]}], by kind and name."""
    was, now, told = things(old), things(new), []
    for key in sorted(was.keys() | now.keys()):
        if key not in now or key not in was:
            told.append({"Kind": key[0], "Name": key[1], "Change": "added" if key in now else "removed", "Fields": []})
            continue
        before, after = dict(flat(was[key])), dict(flat(now[key]))
        rows = []
        for name in sorted(before.keys() | after.keys()):
            if name == "ApiKeys":
                lost, got = set(before.get(name) or ()), set(after.get(name) or ())
                lost, got = lost - got, got - lost
                if lost or got:
                    rows.append([name, f"{len(lost)} taken away", f"{len(got)} new"])
            elif before.get(name) != after.get(name):
                rows.append([name, before.get(name), after.get(name)])
        if rows:
            told.append({"Kind": key[0], "Name": key[1], "Change": "changed", "Fields": rows})
    return told


def words(data_class):
    return {row.metadata.get("key") or key_of(row.name) for row in fields(data_class) if row.metadata}


def unused(data):
    """Paths of fields that no part of the system reads, once each."""
    found = dict.fromkeys(sorted(data.keys() - TOP))
    tables = [
        ("Caps", [data.get("Caps") or {}], words(configuration.Caps)),
        ("Groups[]", data.get("Groups") or (), words(configuration.Service)),
        ("Customers[]", data.get("Customers") or (), words(configuration.Customer)),
        ("Sockets[]", data.get("Sockets") or (), {"Hostname", "Rulebook"}),
    ]
    rules = [rule for host in data.get("Sockets") or () for rule in host.get("Rulebook") or ()]
    tables += [
        ("Sockets[].Rulebook[]", rules, ROUTE),
        ("Sockets[].Rulebook[].ThenDo", [rule["ThenDo"] for rule in rules], THEN),
    ]
    for path, rows, known in tables:
        for row in rows:
            found |= dict.fromkeys(f"{path}.{name}" for name in sorted(row.keys() - known))
    return list(found)


def line(change):
    """A change in one line of text."""
    sign = {"added": "+", "removed": "-", "changed": "~"}[change["Change"]]
    what = f"{sign} {change['Kind']} {change['Name']}".rstrip()
    told = ", ".join(f"{name}: {short(was)} -> {short(now)}" for name, was, now in change["Fields"])
    return f"{what}  {told}" if told else what


def short(value):
    text = "none" if value is None else str(value)
    return text if len(text) <= SHOWN else text[: SHOWN - 3] + "..."
