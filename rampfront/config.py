"""The TOML configuration of an edge node: its types, its validation, and its conversion to the platform's JSON form.

`load_toml(path)` returns the JSON form, which `edge/configuration.py` reads in the same way as one that the platform
supplies. `ConfigFileError` names the line, the key path and the reason. Unknown keys are errors. `reference()`
generates docs/configuration.md from the same types, so that the page agrees with them. Times are in ms, as the names
say.
"""

import re
import tomllib
from pathlib import Path
from typing import Annotated, Literal, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta, field

from . import tables
from .tables import (
    Fraction,
    HostPort,
    JournalTable,
    MqttTable,
    MqttTopic,
    NonEmptyText,
    NonNegative,
    NonNegativeInt,
    Positive,
    PositiveInt,
    StormTable,
    StrictTable,
    Syslog,
    split_validation_error,
)

Level = Literal["debug", "info", "warning", "error"]


class ConfigFileError(Exception):
    """The configuration file is invalid; the message names the line, the key and the reason."""


PLATFORM_EFFECTS = {"inquiry": "pure", "referenced": "token", "once_only": "side_effect"}  # in the platform's terms


class Product(StrictTable, kw_only=True):
    """A product: what its txns may do."""

    name: Annotated[NonEmptyText, Meta(description="as clients name it in X-Class")]
    effect: Annotated[
        Literal["inquiry", "referenced", "once_only"],
        Meta(description="may run again; carries a mark by which repeats are known; must never run twice"),
    ]
    sla_ms: Annotated[Positive, Meta(description="the SLA time: within it an answer is wanted")]
    group: Annotated[
        Literal["all", "zone", "cell"], Meta(description="which boxes drop a referenced txn's repeats")
    ] = "all"
    repeat_window_ms: Annotated[NonNegative, Meta(description="for how long they remember it")] = 0.0
    late_value: Annotated[NonNegative, Meta(description="part of its value that an answer past the SLA time has")] = 0.0
    patience_ms: Annotated[NonNegative, Meta(description="how long a client waits over all its tries; 0: not told")] = (
        0.0
    )


class Plan(StrictTable, kw_only=True):
    """A plan: the quotas that hold for each of its accounts, over all nodes together."""

    name: Annotated[NonEmptyText, Meta(description="as clients name it in X-Tier")]
    rate: Annotated[NonNegative, Meta(description="units a second; 0: no such quota")] = 0.0
    burst: Annotated[NonNegative, Meta(description="units that may come at once")] = 0.0
    at_once: Annotated[NonNegativeInt, Meta(description="submissions out at once; 0: no such quota")] = 0
    ceiling_rate: Annotated[NonNegative, Meta(description="units a second of the hard ceiling; 0: none")] = 0.0
    ceiling_depth: Annotated[NonNegative, Meta(description="units that the ceiling holds")] = 0.0
    beyond_earns: Annotated[NonNegative, Meta(description="part of its value that a txn beyond the quota earns")] = 0.0
    beyond_costs: Annotated[NonNegative, Meta(description="and what it costs")] = 0.0


class Fleet(StrictTable, kw_only=True):
    """The fleet that this node is one of, and the registry boxes behind it."""

    nodes: Annotated[PositiveInt, Meta(description="edge nodes in all")] = 1
    zones: Annotated[list[str], Meta(description="names of zones, as discovery gives them")] = field(
        default_factory=list
    )
    cold_share: Annotated[Fraction, Meta(description="part of its capacity that a box has at its start")] = 0.25
    warm_ms: Annotated[Positive, Meta(description="until it has all of it")] = 10000.0
    fall_multiple: Annotated[Positive, Meta(description="times its capacity at which a cold box falls over,")] = 3.0
    tip_after_ms: Annotated[Positive, Meta(description="when it lasts so long")] = 1000.0


class Box(StrictTable, kw_only=True):
    """A registry box known at the start, before discovery has spoken."""

    uid: NonEmptyText
    endpoint: Annotated[HostPort, Meta(description="host:port")]
    zone: str = ""
    state: Literal["in_service", "terminating"] = "in_service"


class Txns(StrictTable, kw_only=True):
    """What may be done for a txn."""

    submissions: Annotated[PositiveInt, Meta(description="at most, for one txn")] = 3
    cancel: Annotated[bool, Meta(description="a submission may be called off")] = True
    copies: Annotated[bool, Meta(description="an inquiry-like txn may have two submissions out")] = False
    probes: Annotated[bool, Meta(description="boxes may be probed")] = False
    probe_fee: Annotated[
        NonNegative,
        Meta(description="what one probe for each txn costs, in parts of all value; past 0.01 probes go down in step"),
    ] = 0.0
    retry_after: Annotated[bool, Meta(description="clients are told when to come back")] = True
    longest_retry_after_ms: Annotated[NonNegative, Meta(description="and no later than that")] = 5000.0
    connect_timeout_ms: Annotated[Positive, Meta(description="a connection to a box is up by then")] = 250.0
    keepalive_ms: Annotated[Positive, Meta(description="boxes close idle connections at this age")] = 30000.0
    largest_units: Annotated[Positive, Meta(description="most units of one txn")] = 1.0


class Quotas(StrictTable, kw_only=True):
    """How quotas are shared."""

    counter_wait_ms: Annotated[Positive, Meta(description="a call to the counter has timed out by then")] = 80.0
    marks: Annotated[bool, Meta(description="nodes mark the counter, to tell a new or split one")] = False
    use_period_ms: Annotated[
        NonNegative, Meta(description="answers tell an account's use over so long; 0: they do not")
    ] = 0.0


class Limits(StrictTable, kw_only=True):
    """What the process may use."""

    sockets: Annotated[int, Meta(ge=128, description="descriptors")] = 1024
    memory_mb: Annotated[
        PositiveInt, Meta(description="memory of the machine, in MB, which bounds what clients can make the node hold")
    ] = 192


class Logging(StrictTable, kw_only=True):
    """The log on standard error: JSON, one line an event."""

    level: Annotated[Level, Meta(description="events below it are not written")] = "info"
    modules: Annotated[
        dict[str, Level], Meta(description="and by module: counter, discovery, upstream, syslog, journal, node")
    ] = field(default_factory=dict)


class Config(StrictTable, kw_only=True):
    """One edge node."""

    name: Annotated[NonEmptyText, Meta(description="of this node, the same after a restart")]
    listen: Annotated[HostPort, Meta(description="host:port for clients")]
    discovery: Annotated[HostPort, Meta(description="host:port of the server list")]
    counter: Annotated[str, Meta(description="host:port of the shared counter; empty: none")] = ""
    admin: Annotated[str, Meta(description="host:port for operators; empty: none")] = ""
    seed: Annotated[NonNegativeInt, Meta(description="of the node's chance; 0: drawn at start")] = 0
    products: Annotated[list[Product], Meta(min_length=1)]
    plans: Annotated[list[Plan], Meta(min_length=1)]
    fleet: Fleet = Fleet()
    txns: Txns = Txns()
    quotas: Quotas = Quotas()
    limits: Limits = Limits()
    log: Logging = Logging()
    syslog: Syslog | None = None
    storm: StormTable | None = None
    mqtt: MqttTable | None = None
    journal: JournalTable | None = None
    boxes: list[Box] = field(default_factory=list)


LOG_MODULES = ("counter", "discovery", "upstream", "syslog", "journal", "node")


def check(config):
    """Checks the conditions between keys and returns `config`. Raises `ConfigFileError` with the key path."""
    for table, rows in (("products", config.products), ("plans", config.plans)):
        for k, row in enumerate(rows):
            if row.name in [other.name for other in rows[:k]]:
                raise ConfigFileError(f"{table}[{k}].name: {row.name!r} is taken already")
    for k, plan in enumerate(config.plans):
        if plan.rate > 0 and plan.burst <= 0:
            raise ConfigFileError(f"plans[{k}].burst: a plan with a rate needs one above 0")
        if plan.ceiling_rate > 0 and plan.ceiling_depth <= 0:
            raise ConfigFileError(f"plans[{k}].ceiling_depth: a ceiling needs one above 0")
    for key in ("counter", "admin"):
        value = getattr(config, key)
        if value and not re.match(r"^[^\s:]+:[1-9][0-9]{0,4}$", value):
            raise ConfigFileError(f"{key}: should be host:port, not {value!r}")
    for address in [
        config.listen,
        config.discovery,
        config.counter,
        config.admin,
        *(b.endpoint for b in config.boxes),
        config.mqtt.listen if config.mqtt else "",
    ]:
        if address and int(address.rpartition(":")[2]) > 65535:
            raise ConfigFileError(f"{address!r}: no such port")
    if config.quotas.marks and not config.counter:
        raise ConfigFileError("quotas.marks: there is no counter to mark")
    for module in config.log.modules:
        if module not in LOG_MODULES:
            raise ConfigFileError(f"log.modules.{module}: no such module; there are {', '.join(LOG_MODULES)}")
    try:
        tables.check(
            {name: getattr(config, name) for name in tables.TABLE_TYPES},
            [product.name for product in config.products],
            [plan.name for plan in config.plans],
        )
    except tables.TableError as error:
        raise ConfigFileError(str(error)) from None
    for k, box in enumerate(config.boxes):
        if box.zone and box.zone not in config.fleet.zones:
            raise ConfigFileError(f"boxes[{k}].zone: {box.zone!r} is not among fleet.zones")
    return config


def platform_form(config):
    """Returns a configuration in the platform's JSON form, with its names and units."""
    c, txns, quotas = config, config.txns, config.quotas
    form = {
        "name": c.name,
        "listen": c.listen,
        "discovery": c.discovery,
        "seed": c.seed,
        "limits": {"memory_mb": c.limits.memory_mb, "sockets": c.limits.sockets},
        "known": {
            "rev": 0,
            "all": True,
            "targets": [
                {"uid": b.uid, "endpoint": b.endpoint, "az": b.zone, "state": b.state, "boot_ms": 0} for b in c.boxes
            ],
        },
        "log": {"level": c.log.level, "modules": dict(c.log.modules)},
        "settings": {
            "Classes": [
                {
                    "Name": p.name,
                    "Effect": PLATFORM_EFFECTS[p.effect],
                    "Group": p.group,
                    "OnTime": p.sla_ms,
                    "RepeatWindow": p.repeat_window_ms,
                    "LateWorth": p.late_value,
                    "HardLimit": p.patience_ms,
                }
                for p in c.products
            ],
            "Packages": [
                {
                    "Name": p.name,
                    "PerSecond": p.rate,
                    "StoreSize": p.burst,
                    "AtOnce": p.at_once,
                    "NeverOverRate": p.ceiling_rate,
                    "CapDepth": p.ceiling_depth,
                    "BeyondEarns": p.beyond_earns,
                    "ExcessCost": p.beyond_costs,
                }
                for p in c.plans
            ],
            "PeersTotal": c.fleet.nodes,
            "Domain": {
                "HasCounter": bool(c.counter),
                "CountWait": quotas.counter_wait_ms,
                "Largest": txns.largest_units,
                "UsePeriod": quotas.use_period_ms,
                "Marks": quotas.marks,
            },
            "Prices": {"Probe": txns.probe_fee},
            "Limits": {
                "AttemptsCap": txns.submissions,
                "MayCancel": txns.cancel,
                "MayDuplicate": txns.copies,
                "Probing": txns.probes,
                "RetryAfter": txns.retry_after,
                "MaxRetryAfter": txns.longest_retry_after_ms,
                "ConnectTimeout": txns.connect_timeout_ms,
                "Keepalive": txns.keepalive_ms,
            },
            "Rules": {
                "ColdShare": c.fleet.cold_share,
                "WarmWithin": c.fleet.warm_ms,
                "FallMultiple": c.fleet.fall_multiple,
                "TipAfter": c.fleet.tip_after_ms,
            },
            "Tick": 1.0,
        },
    }
    if c.fleet.zones:
        form["settings"]["Areas"] = list(c.fleet.zones)
    if c.counter:
        form["counter"] = c.counter
    if c.admin:
        form["admin_addr"] = c.admin
    for name in tables.TABLE_TYPES:
        if getattr(c, name):
            form[name] = msgspec.to_builtins(getattr(c, name))
    return form


def find_line(text, path):
    """Returns the number of the line that sets a key path such as `plans[1].burst`, or of its table's header, or None."""
    parts = [(name, int(index) if index else None) for name, index in re.findall(r"([^.\[\]]+)(?:\[(\d+)\])?", path)]
    table, table_line, counts = [], None, {}
    for number, line in enumerate(text.splitlines(), 1):
        if header := re.match(r"\s*\[(\[)?\s*([^\]]+?)\s*\]", line):
            names = [name.strip().strip('"') for name in header.group(2).split(".")]
            if header.group(1):
                counts[header.group(2)] = counts.get(header.group(2), -1) + 1
            table = [(name, counts.get(".".join(names[: k + 1]))) for k, name in enumerate(names)]
            if table == parts[: len(table)]:
                table_line = number
        elif key := re.match(r'\s*"?([\w-]+)"?\s*=', line):
            key_path = [*table, (key.group(1), None)]
            if [name for name, _ in key_path] == [name for name, _ in parts[: len(key_path)]] and table == parts[
                : len(table)
            ]:
                return number
    return table_line


def parse_toml(text, source="the configuration"):
    """Returns the validated `Config` in a TOML text. `ConfigFileError` names the source, line, key and reason."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigFileError(f"{source}: no TOML: {error}") from None
    try:
        return check(msgspec.convert(table, Config))
    except msgspec.ValidationError as error:
        path, reason = split_validation_error(error)
        if match := re.search(r"(?:unknown|required) field `([^`]+)`", reason):
            path = f"{path}.{match.group(1)}".lstrip(".")
            reason = "no such key" if "unknown" in reason else "is missing"
    except ConfigFileError as error:
        path, _, reason = str(error).partition(": ")
    line = find_line(text, path)
    raise ConfigFileError(f"{source}{f', line {line}' if line else ''}: {path}: {reason}")


def read_toml(path):
    """Returns the validated `Config` in the TOML file at `path`. Raises `ConfigFileError`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigFileError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigFileError(f"{path}: not UTF-8") from None
    return parse_toml(text, str(path))


def load_toml(path):
    """Returns the TOML file at `path` in the platform's JSON form. Raises `ConfigFileError`."""
    return platform_form(read_toml(path))


# The reference page.


def describe_type(kind):
    """Returns the text that the page has for a type, and the type's description."""
    if get_origin(kind) is Annotated:
        base, *metas = get_args(kind)
        type_text, description = describe_type(base)
        for meta in metas:
            description = meta.description or description
            for key, relation in (("ge", "at least"), ("gt", "above"), ("le", "at most")):
                if getattr(meta, key) is not None:
                    type_text += f", {relation} {getattr(meta, key):g}"
        return type_text, description
    if get_origin(kind) is Literal:
        return " or ".join(f"`{value}`" for value in get_args(kind)), ""
    if get_origin(kind) is list:
        return f"list of {describe_type(get_args(kind)[0])[0]}", ""
    if get_origin(kind) is dict:
        return "table", ""
    return {str: "text", int: "whole number", float: "number", bool: "true or false"}.get(kind, "table"), ""


def field_rows(struct):
    """Yields the name, type, default and description of each field, as the page shows them."""
    hints = get_type_hints(struct, include_extras=True)
    for struct_field in msgspec.structs.fields(struct):
        type_text, description = describe_type(hints[struct_field.name])
        if struct_field.required:
            default = "required"
        elif struct_field.default is not msgspec.NODEFAULT:
            default = f"`{msgspec.json.encode(struct_field.default).decode()}`"
        else:
            default = "`{}`" if type_text == "table" else "`[]`"
        yield struct_field.name, type_text, default, description


def reference():
    """Returns the text of docs/configuration.md."""
    lines = [
        "# Configuration of an edge node",
        "",
        "Generated from `rampfront/config.py` by `rampfront check-config --reference`; a test holds it to the code.",
        "",
        "One TOML file: `rampfront serve --config rampfront.toml`. `rampfront check-config FILE` checks it: exit 0, or 2 and",
        "the line, the key and the reason. Unknown keys are errors. SIGHUP reads it again: the addresses of discovery and the",
        "counter are taken over, a faulty file changes nothing and is named in the log. The platform's JSON form is read",
        "as before (`RELAY_CONFIG` naming a file that does not end in `.toml`), and its environment variables keep their meaning.",
        "",
    ]
    parts = (
        (Config, "top of the file"),
        (Product, "`[[products]]`"),
        (Plan, "`[[plans]]`"),
        (Fleet, "`[fleet]`"),
        (Txns, "`[txns]`"),
        (Quotas, "`[quotas]`"),
        (Limits, "`[limits]`"),
        (Logging, "`[log]`"),
        (Syslog, "`[syslog]`"),
        (StormTable, "`[storm]`"),
        (MqttTable, "`[mqtt]`"),
        (MqttTopic, "`[[mqtt.topics]]`"),
        (JournalTable, "`[journal]`"),
        (Box, "`[[boxes]]`"),
    )
    nested = {
        "products",
        "plans",
        "fleet",
        "txns",
        "quotas",
        "limits",
        "log",
        "syslog",
        "storm",
        "mqtt",
        "journal",
        "boxes",
    }
    for struct, title in parts:
        lines += [
            f"## {title}",
            "",
            (struct.__doc__ or "").strip(),
            "",
            "| key | holds | default | meaning |",
            "| --- | --- | --- | --- |",
        ]
        lines += [
            f"| `{name}` | {type_text} | {default} | {description} |"
            for name, type_text, default, description in field_rows(struct)
            if not (struct is Config and name in nested)
        ]
        lines.append("")
    return "\n".join(lines)
