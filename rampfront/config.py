"""The TOML configuration of an edge node, in our own words: typed, checked, and turned into the platform's JSON form.

`load_toml(path)` returns that form, which `net/launch.py` reads like any other; `BadConfig` names the line, the key
path and the reason. Unknown keys are errors. `reference()` writes docs/configuration.md from the same types, so the
page cannot say otherwise. Times are ms, as the names say.
"""

import re
import tomllib
from pathlib import Path
from typing import Annotated, Literal, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta, Struct, field

from .mqtt.codec import Malformed, topic_filter

Least0 = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(gt=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Count0 = Annotated[int, Meta(ge=0)]
Text = Annotated[str, Meta(min_length=1)]
Place = Annotated[str, Meta(pattern=r"^[^\s:]+:[1-9][0-9]{0,4}$")]
Level = Literal["debug", "info", "warning", "error"]


class BadConfig(Exception):
    """The configuration file does not hold what it should; the text names line, key and reason."""


class Part(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    pass


EFFECTS = {"inquiry": "pure", "referenced": "token", "once_only": "side_effect"}  # the platform's words


def placed(trouble):
    """A msgspec error as (key path, reason); the path is empty where it names none."""
    reason, _, path = str(trouble).rpartition(" - at `$")
    return (path.rstrip("`").lstrip("."), reason) if reason else ("", str(trouble))


class Product(Part, kw_only=True):
    """A product: what its txns may do."""
    name: Annotated[Text, Meta(description="as clients name it in X-Class")]
    effect: Annotated[Literal["inquiry", "referenced", "once_only"], Meta(
        description="may run again; carries a mark by which repeats are known; must never run twice")]
    sla_ms: Annotated[Positive, Meta(description="the SLA time: within it an answer is wanted")]
    group: Annotated[Literal["all", "zone", "cell"], Meta(description="which boxes drop a referenced txn's repeats")] = "all"
    repeat_window_ms: Annotated[Least0, Meta(description="for how long they remember it")] = 0.0
    late_value: Annotated[Least0, Meta(description="part of its value that an answer past the SLA time has")] = 0.0
    patience_ms: Annotated[Least0, Meta(description="how long a client waits over all its tries; 0: not told")] = 0.0


class Plan(Part, kw_only=True):
    """A plan: the quotas that hold for each of its accounts, over all nodes together."""
    name: Annotated[Text, Meta(description="as clients name it in X-Tier")]
    rate: Annotated[Least0, Meta(description="units a second; 0: no such quota")] = 0.0
    burst: Annotated[Least0, Meta(description="units that may come at once")] = 0.0
    at_once: Annotated[Count0, Meta(description="submissions out at once; 0: no such quota")] = 0
    ceiling_rate: Annotated[Least0, Meta(description="units a second of the hard ceiling; 0: none")] = 0.0
    ceiling_depth: Annotated[Least0, Meta(description="units that the ceiling holds")] = 0.0
    beyond_earns: Annotated[Least0, Meta(description="part of its value that a txn beyond the quota earns")] = 0.0
    beyond_costs: Annotated[Least0, Meta(description="and what it costs")] = 0.0


class Fleet(Part, kw_only=True):
    """The fleet that this node is one of, and the registry boxes behind it."""
    nodes: Annotated[Count, Meta(description="edge nodes in all")] = 1
    zones: Annotated[list[str], Meta(description="names of zones, as discovery gives them")] = field(default_factory=list)
    cold_share: Annotated[Share, Meta(description="part of its capacity that a box has at its start")] = 0.25
    warm_ms: Annotated[Positive, Meta(description="until it has all of it")] = 10000.0
    fall_multiple: Annotated[Positive, Meta(description="times its capacity at which a cold box falls over,")] = 3.0
    tip_after_ms: Annotated[Positive, Meta(description="when it lasts so long")] = 1000.0


class Box(Part, kw_only=True):
    """A registry box known at the start, before discovery has spoken."""
    uid: Text
    endpoint: Annotated[Place, Meta(description="host:port")]
    zone: str = ""
    state: Literal["in_service", "terminating"] = "in_service"


class Txns(Part, kw_only=True):
    """What may be done for a txn."""
    submissions: Annotated[Count, Meta(description="at most, for one txn")] = 3
    cancel: Annotated[bool, Meta(description="a submission may be called off")] = True
    copies: Annotated[bool, Meta(description="an inquiry-like txn may have two submissions out")] = False
    probes: Annotated[bool, Meta(description="boxes may be probed")] = False
    probe_fee: Annotated[Least0, Meta(description="what one probe for each txn costs, in parts of all value; past 0.01 probes go down in step")] = 0.0
    retry_after: Annotated[bool, Meta(description="clients are told when to come back")] = True
    longest_retry_after_ms: Annotated[Least0, Meta(description="and no later than that")] = 5000.0
    connect_timeout_ms: Annotated[Positive, Meta(description="a connection to a box is up by then")] = 250.0
    keepalive_ms: Annotated[Positive, Meta(description="boxes close idle connections at this age")] = 30000.0
    largest_units: Annotated[Positive, Meta(description="most units of one txn")] = 1.0


class Quotas(Part, kw_only=True):
    """How quotas are shared."""
    counter_wait_ms: Annotated[Positive, Meta(description="a call to the counter has timed out by then")] = 80.0
    marks: Annotated[bool, Meta(description="nodes mark the counter, to tell a new or split one")] = False
    use_period_ms: Annotated[Least0, Meta(description="answers tell an account's use over so long; 0: they do not")] = 0.0


class Limits(Part, kw_only=True):
    """What the process may use."""
    sockets: Annotated[int, Meta(ge=128, description="descriptors")] = 1024
    memory_mb: Annotated[Count, Meta(description="memory")] = 192


class Logging(Part, kw_only=True):
    """The log on standard error: JSON, one line an event."""
    level: Annotated[Level, Meta(description="events below it are not written")] = "info"
    modules: Annotated[dict[str, Level], Meta(description="and by module: counter, discovery, upstream, syslog, journal, node")] = field(
        default_factory=dict)


class Syslog(Part, kw_only=True):
    """Decisions as RFC 5424 messages to a collector. Without this table nothing is sent."""
    collector: Annotated[Place, Meta(description="host:port")]
    transport: Annotated[Literal["tcp", "udp"], Meta(description="TCP with octet counting, or one datagram a message")] = "tcp"
    memory: Annotated[int, Meta(ge=64, description="messages that wait in memory at most")] = 16384
    spill_dir: Annotated[str, Meta(description="folder for what waits beyond; empty: none")] = ""
    spill_mb: Annotated[Positive, Meta(description="and its size at most")] = 64.0
    settled: Annotated[bool, Meta(description="also a message for each settled txn")] = False
    enterprise: Annotated[Count, Meta(description="private enterprise number in the SD-ID")] = 32473


class StormTable(Part, kw_only=True):
    """Retry and reconnect storms. Without this table nothing is damped."""
    retry_share: Annotated[Least0, Meta(description="retries let in for each first try, in a storm")] = 0.2
    retries_per_s: Annotated[Least0, Meta(description="and a second, whatever comes")] = 10.0
    window_ms: Annotated[Positive, Meta(description="for how long a try that did not settle is known")] = 30000.0
    accepts_per_s: Annotated[Positive, Meta(description="new connections a second; past it told to come back")] = 500.0
    longest_retry_after_ms: Annotated[Positive, Meta(description="of the advice in a storm")] = 5000.0
    values: Annotated[dict[str, Positive], Meta(description="worth of products: dearer ones keep more of the budget")] = field(
        default_factory=dict)


class JournalTable(Part, kw_only=True):
    """A durable journal of once-only txns: recorded before they leave. Without this table there is none."""
    dir: Annotated[Text, Meta(description="its folder, on a disk that outlives the process; one process writes it")]
    batch_ms: Annotated[Least0, Meta(description="a record waits so long for others to be made durable with it")] = 2.0
    segment_mb: Annotated[Positive, Meta(description="size of a file")] = 16.0
    most_mb: Annotated[Positive, Meta(description="of all files; twice segment_mb or more")] = 256.0
    keep_s: Annotated[Positive, Meta(description="age at which a file goes")] = 86400.0


class MqttTopic(Part, kw_only=True):
    """Which txn a PUBLISH under a topic is. The first row that matches is taken."""
    filter: Annotated[Text, Meta(description="topic filter, with + and # as MQTT has them")]
    product: Annotated[Text, Meta(description="the product of its txns")]
    path: Annotated[str, Meta(pattern="^/[!-~]*$", description="asked of the box; {1}, {2}... are the levels under the wildcards")]
    units: Annotated[Positive, Meta(description="that a txn takes")] = 1.0


class MqttTable(Part, kw_only=True):
    """MQTT 3.1.1 and 5.0 clients. Without this table there is no such front."""
    listen: Annotated[Place, Meta(description="host:port for MQTT clients")]
    topics: Annotated[list[MqttTopic], Meta(min_length=1)]
    plan: Annotated[str, Meta(description="of users that name none; empty: they must")] = ""
    answers: Annotated[str, Meta(pattern="^[^+#]+$", description="first levels of the topics under which answers are told")] = "answers"
    connections: Annotated[Count, Meta(description="at most; their descriptors are taken from limits.sockets")] = 256
    sessions: Annotated[Count, Meta(description="at most, with those whose client is away")] = 1024
    inflight: Annotated[int, Meta(ge=1, le=65535, description="txns of one client that wait for their answer; it is read no faster")] = 64
    expiry_ms: Annotated[float, Meta(gt=0, le=600000, description="of a PUBLISH that tells none")] = 10000.0
    session_expiry_s: Annotated[Least0, Meta(description="longest life of a session whose client is away")] = 3600.0


class Config(Part, kw_only=True):
    """One edge node."""
    name: Annotated[Text, Meta(description="of this node, the same after a restart")]
    listen: Annotated[Place, Meta(description="host:port for clients")]
    discovery: Annotated[Place, Meta(description="host:port of the server list")]
    counter: Annotated[str, Meta(description="host:port of the shared counter; empty: none")] = ""
    admin: Annotated[str, Meta(description="host:port for operators; empty: none")] = ""
    seed: Annotated[Count0, Meta(description="of the node's chance; 0: drawn at start")] = 0
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


MODULES = ("counter", "discovery", "upstream", "syslog", "journal", "node")


def check(config):
    """The checks between keys; `BadConfig` with the key path."""
    for where, rows in (("products", config.products), ("plans", config.plans)):
        for k, row in enumerate(rows):
            if row.name in [other.name for other in rows[:k]]:
                raise BadConfig(f"{where}[{k}].name: {row.name!r} is taken already")
    for k, plan in enumerate(config.plans):
        if plan.rate > 0 and plan.burst <= 0:
            raise BadConfig(f"plans[{k}].burst: a plan with a rate needs one above 0")
        if plan.ceiling_rate > 0 and plan.ceiling_depth <= 0:
            raise BadConfig(f"plans[{k}].ceiling_depth: a ceiling needs one above 0")
    for key in ("counter", "admin"):
        value = getattr(config, key)
        if value and not re.match(r"^[^\s:]+:[1-9][0-9]{0,4}$", value):
            raise BadConfig(f"{key}: should be host:port, not {value!r}")
    for place in [config.listen, config.discovery, config.counter, config.admin, *(b.endpoint for b in config.boxes),
                  config.mqtt.listen if config.mqtt else ""]:
        if place and int(place.rpartition(":")[2]) > 65535:
            raise BadConfig(f"{place!r}: no such port")
    if config.quotas.marks and not config.counter:
        raise BadConfig("quotas.marks: there is no counter to mark")
    for module in config.log.modules:
        if module not in MODULES:
            raise BadConfig(f"log.modules.{module}: no such module; there are {', '.join(MODULES)}")
    for name in config.storm.values if config.storm else ():
        if name not in [product.name for product in config.products]:
            raise BadConfig(f"storm.values.{name}: no such product")
    for k, topic in enumerate(config.mqtt.topics if config.mqtt else ()):
        if topic.product not in [product.name for product in config.products]:
            raise BadConfig(f"mqtt.topics[{k}].product: no such product")
        try:
            topic_filter(topic.filter)
        except Malformed as trouble:
            raise BadConfig(f"mqtt.topics[{k}].filter: {trouble}") from None
        wild = len([level for level in topic.filter.split("/") if level in ("+", "#")])
        if any(not 0 < int(number) <= wild for number in re.findall(r"{(\d+)}", topic.path)):
            raise BadConfig(f"mqtt.topics[{k}].path: a level that the filter does not have")
    if config.journal and config.journal.most_mb < 2 * config.journal.segment_mb:
        raise BadConfig("journal.most_mb: should be twice segment_mb or more")
    if config.mqtt and config.mqtt.plan and config.mqtt.plan not in [plan.name for plan in config.plans]:
        raise BadConfig("mqtt.plan: no such plan")
    for k, box in enumerate(config.boxes):
        if box.zone and box.zone not in config.fleet.zones:
            raise BadConfig(f"boxes[{k}].zone: {box.zone!r} is not among fleet.zones")
    return config


def platform_form(config):
    """The platform's JSON form of a configuration, in its words and units."""
    c, txns, quotas = config, config.txns, config.quotas
    form = {
        "name": c.name, "listen": c.listen, "discovery": c.discovery, "seed": c.seed,
        "limits": {"memory_mb": c.limits.memory_mb, "sockets": c.limits.sockets},
        "known": {"rev": 0, "all": True, "targets": [
            {"uid": b.uid, "endpoint": b.endpoint, "az": b.zone, "state": b.state, "boot_ms": 0} for b in c.boxes]},
        "log": {"level": c.log.level, "modules": dict(c.log.modules)},
        "settings": {
            "Classes": [{"Name": p.name, "Effect": EFFECTS[p.effect], "Group": p.group, "OnTime": p.sla_ms,
                         "RepeatWindow": p.repeat_window_ms, "LateWorth": p.late_value, "HardLimit": p.patience_ms}
                        for p in c.products],
            "Packages": [{"Name": p.name, "PerSecond": p.rate, "StoreSize": p.burst, "AtOnce": p.at_once,
                          "NeverOverRate": p.ceiling_rate, "CapDepth": p.ceiling_depth,
                          "BeyondEarns": p.beyond_earns, "ExcessCost": p.beyond_costs} for p in c.plans],
            "PeersTotal": c.fleet.nodes,
            "Domain": {"HasCounter": bool(c.counter), "CountWait": quotas.counter_wait_ms,
                       "Largest": txns.largest_units, "UsePeriod": quotas.use_period_ms, "Marks": quotas.marks},
            "Prices": {"Probe": txns.probe_fee},
            "Limits": {"AttemptsCap": txns.submissions, "MayCancel": txns.cancel, "MayDuplicate": txns.copies,
                       "Probing": txns.probes, "RetryAfter": txns.retry_after,
                       "MaxRetryAfter": txns.longest_retry_after_ms, "ConnectTimeout": txns.connect_timeout_ms,
                       "Keepalive": txns.keepalive_ms},
            "Rules": {"ColdShare": c.fleet.cold_share, "WarmWithin": c.fleet.warm_ms,
                      "FallMultiple": c.fleet.fall_multiple, "TipAfter": c.fleet.tip_after_ms},
            "Tick": 1.0}}
    if c.fleet.zones:
        form["settings"]["Areas"] = list(c.fleet.zones)
    if c.counter:
        form["counter"] = c.counter
    if c.admin:
        form["admin_addr"] = c.admin
    if c.storm:
        form["storm"] = msgspec.to_builtins(c.storm)
    if c.journal:
        form["journal"] = msgspec.to_builtins(c.journal)
    if c.mqtt:
        form["mqtt"] = msgspec.to_builtins(c.mqtt)
    if c.syslog:
        form["syslog"] = msgspec.to_builtins(c.syslog)
    return form


def line_of(text, path):
    """The line on which a key path such as `plans[1].burst` stands, or its table does; None if neither is found."""
    parts = [(name, int(index) if index else None) for name, index in re.findall(r"([^.\[\]]+)(?:\[(\d+)\])?", path)]
    table, best, counts = [], None, {}
    for number, line in enumerate(text.splitlines(), 1):
        if header := re.match(r"\s*\[(\[)?\s*([^\]]+?)\s*\]", line):
            names = [name.strip().strip('"') for name in header.group(2).split(".")]
            if header.group(1):
                counts[header.group(2)] = counts.get(header.group(2), -1) + 1
            table = [(name, counts.get(".".join(names[:k + 1]))) for k, name in enumerate(names)]
            if table == parts[:len(table)]:
                best = number
        elif key := re.match(r'\s*"?([\w-]+)"?\s*=', line):
            full = [*table, (key.group(1), None)]
            if [name for name, _ in full] == [name for name, _ in parts[:len(full)]] and table == parts[:len(table)]:
                return number
    return best


def parse_toml(text, where="the configuration"):
    """A checked `Config`; `BadConfig` says where, on which line, which key and why."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as trouble:
        raise BadConfig(f"{where}: no TOML: {trouble}") from None
    try:
        return check(msgspec.convert(table, Config))
    except msgspec.ValidationError as trouble:
        path, reason = placed(trouble)
        if odd := re.search(r"(?:unknown|required) field `([^`]+)`", reason):
            path = f"{path}.{odd.group(1)}".lstrip(".")
            reason = "no such key" if "unknown" in reason else "is missing"
    except BadConfig as trouble:
        path, _, reason = str(trouble).partition(": ")
    line = line_of(text, path)
    raise BadConfig(f"{where}{f', line {line}' if line else ''}: {path}: {reason}")


def read_toml(path):
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as trouble:
        raise BadConfig(f"{path}: {trouble.strerror}") from None
    except UnicodeDecodeError:
        raise BadConfig(f"{path}: not UTF-8") from None
    return parse_toml(text, str(path))


def load_toml(path):
    return platform_form(read_toml(path))


# ---- the reference page


def said(kind):
    """A type as the page words it, and its description."""
    if get_origin(kind) is Annotated:
        base, *metas = get_args(kind)
        word, about = said(base)
        for meta in metas:
            about = meta.description or about
            for key, mark in (("ge", "at least"), ("gt", "above"), ("le", "at most")):
                if getattr(meta, key) is not None:
                    word += f", {mark} {getattr(meta, key):g}"
        return word, about
    if get_origin(kind) is Literal:
        return " or ".join(f"`{value}`" for value in get_args(kind)), ""
    if get_origin(kind) is list:
        return f"list of {said(get_args(kind)[0])[0]}", ""
    if get_origin(kind) is dict:
        return "table", ""
    return {str: "text", int: "whole number", float: "number", bool: "true or false"}.get(kind, "table"), ""


def rows_of(struct):
    hints = get_type_hints(struct, include_extras=True)
    for one in msgspec.structs.fields(struct):
        word, about = said(hints[one.name])
        if one.required:
            default = "required"
        elif one.default is not msgspec.NODEFAULT:
            default = f"`{msgspec.json.encode(one.default).decode()}`"
        else:
            default = "`{}`" if word == "table" else "`[]`"
        yield one.name, word, default, about


def reference():
    """docs/configuration.md."""
    lines = ["# Configuration of an edge node", "",
             "Generated from `rampfront/config.py` by `rampfront check-config --reference`; a test holds it to the code.", "",
             "One TOML file: `rampfront serve --config rampfront.toml`. `rampfront check-config FILE` checks it: exit 0, or 2 and",
             "the line, the key and the reason. Unknown keys are errors. SIGHUP reads it again: the addresses of discovery and the",
             "counter are taken over, a faulty file changes nothing and is named in the log. The platform's JSON form is read",
             "as before (`RELAY_CONFIG` naming a file that does not end in `.toml`), and its environment variables keep their meaning.", ""]
    tables = ((Config, "top of the file"), (Product, "`[[products]]`"), (Plan, "`[[plans]]`"), (Fleet, "`[fleet]`"),
              (Txns, "`[txns]`"), (Quotas, "`[quotas]`"), (Limits, "`[limits]`"), (Logging, "`[log]`"),
              (Syslog, "`[syslog]`"), (StormTable, "`[storm]`"),
              (MqttTable, "`[mqtt]`"), (MqttTopic, "`[[mqtt.topics]]`"),
              (JournalTable, "`[journal]`"), (Box, "`[[boxes]]`"))
    nested = {"products", "plans", "fleet", "txns", "quotas", "limits", "log", "syslog", "storm", "mqtt", "journal", "boxes"}
    for struct, title in tables:
        lines += [f"## {title}", "", (struct.__doc__ or "").strip(), "", "| key | holds | default | meaning |",
                  "| --- | --- | --- | --- |"]
        lines += [f"| `{name}` | {word} | {default} | {about} |" for name, word, default, about in rows_of(struct)
                  if not (struct is Config and name in nested)]
        lines.append("")
    return "\n".join(lines)
