"""The configuration: the one place where it is read, checked and given defaults; what is wrong names its key.

It owns the meaning of the configuration's keys. It must never hand raw settings on: others get terms, names,
addresses and bounds.
"""

import os
import resource
import secrets

import orjson

from ..announced import Names, Odd, ns, read_terms
from ..net.limits import compute_limits
from ..terms import slotted
from .discovery import address, read_list
from .log import LEVELS

OPTIONS = ("syslog", "storm", "mqtt", "journal")  # tables that only some nodes have
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
SETTINGS = {"Keepalive": 30000.0, "ConnectTimeout": 250.0}
# What must stand in the settings: where, its kind, and how that is said. `[]` is each row of a list.
NUMBER, COUNT, TEXT, LIST, OBJECT = "a number", "a whole number of 1 or more", "a text", "a list", "an object"
FLAG = "true or false"
NEEDED = (
    ("Classes", LIST),
    ("Classes[].Name", TEXT),
    ("Classes[].Effect", TEXT),
    ("Classes[].OnTime", NUMBER),
    ("Packages", LIST),
    ("Packages[].Name", TEXT),
    ("PeersTotal", COUNT),
    ("Limits", OBJECT),
    ("Limits.AttemptsCap", COUNT),
    ("Rules", OBJECT),
    ("Rules.ColdShare", NUMBER),
    ("Rules.WarmWithin", NUMBER),
    ("Rules.FallMultiple", NUMBER),
    ("Rules.TipAfter", NUMBER),
)
OPTIONAL = (
    ("Limits.Keepalive", NUMBER),
    ("Limits.ConnectTimeout", NUMBER),
    ("Limits.MaxRetryAfter", NUMBER),
    ("Domain", OBJECT),
    ("Domain.CountWait", NUMBER),
    ("Domain.Largest", NUMBER),
    ("Domain.UsePeriod", NUMBER),
    ("Domain.Marks", FLAG),
    ("Prices", OBJECT),
    ("Prices.Probe", NUMBER),
    ("Limits.MayDuplicate", FLAG),
    ("Classes[].HardLimit", NUMBER),
    ("Tick", NUMBER),
    ("Areas", LIST),
    ("Classes[].RepeatWindow", NUMBER),
    ("Classes[].LateWorth", NUMBER),
    ("Packages[].PerSecond", NUMBER),
    ("Packages[].StoreSize", NUMBER),
    ("Packages[].AtOnce", NUMBER),
    ("Packages[].NeverOverRate", NUMBER),
    ("Packages[].CapDepth", NUMBER),
    ("Packages[].BeyondEarns", NUMBER),
    ("Packages[].ExcessCost", NUMBER),
    ("Reporting", OBJECT),
)
KINDS = {
    NUMBER: lambda v: isinstance(v, (int, float)) and not isinstance(v, bool) and v >= 0,
    COUNT: lambda v: isinstance(v, int) and not isinstance(v, bool) and v >= 1,
    TEXT: lambda v: isinstance(v, str) and v != "",
    LIST: lambda v: isinstance(v, list) and v,
    OBJECT: lambda v: isinstance(v, dict),
    FLAG: lambda v: isinstance(v, bool),
}


class Faulty(Exception):
    """A key of the configuration does not hold what it should."""

    def __init__(self, key, should, value):
        found = "; it is missing" if value is None else f", not {value!r:.80}"
        super().__init__(f"{key} should be {should}{found}")

    @classmethod
    def worded(cls, text):
        """One that says what is wrong by itself."""
        trouble = cls.__new__(cls)
        Exception.__init__(trouble, text)
        return trouble


@slotted
class Launch:
    name: str
    listen: tuple
    inherited: int | None  # a listening socket handed down by the platform: served on, nothing is bound
    admin: tuple | None  # the operators' address
    discovery: tuple
    counter: tuple | None
    seed: int
    known: tuple  # version, whole, rows
    terms: object
    names: object
    bounds: object
    reports: bool
    levels: dict  # of the log: module to level; the empty module is all others
    syslog: dict | None
    storm: dict | None
    mqtt: dict | None
    journal: dict | None


def check(value, kind, key):
    if not KINDS[kind](value):
        raise Faulty(key, kind, value)
    return value


def walk(value, path, kind, needed, key):
    """Checks what stands at `path`, in each row where it says so."""
    head, _, rest = path.partition(".")
    name, many = head.removesuffix("[]"), head.endswith("[]")
    value, key = value.get(name), f"{key}.{name}"
    if value is None and not needed:
        return
    if not rest:
        return check(value, kind, key)
    for k, row in enumerate(check(value, LIST, key)) if many else ((None, value),):
        where = f"{key}[{k}]" if many else key
        walk(check(row, OBJECT, where), rest, kind, needed, where)


def place(value, key):
    try:
        return address(check(value, TEXT, key))
    except ValueError:
        raise Faulty(key, "host:port", value) from None


def descriptor(environ):
    fd = environ.get("RELAY_LISTEN_FD")
    if fd is None or fd == "":
        return None
    if not fd.isdigit() or int(fd) < 3:
        raise Faulty("RELAY_LISTEN_FD", "the number of an open listening socket, 3 or more", fd)
    return int(fd)


def levels(told):
    check(told, OBJECT, "log")
    modules = check(told.get("modules", {}), OBJECT, "log.modules")
    for key, level in (
        ("log.level", told.get("level", "info")),
        *((f"log.modules.{m}", v) for m, v in modules.items()),
    ):
        if level not in LEVELS:
            raise Faulty(key, "one of " + ", ".join(LEVELS), level)
    return {"": told.get("level", "info"), **modules}


def tabled(config, names):
    """Name to table of what only some nodes have (`tables.KINDS`); None: off."""
    if all(config.get(name) is None for name in OPTIONS):
        return dict.fromkeys(OPTIONS)
    from .. import tables  # its library is for those who use it

    try:
        return tables.read(config, names.products, names.plans)
    except tables.Odd as odd:
        raise Faulty.worded(str(odd)) from None


def storm(table, classes):
    """What the storm's decisions are started with; None: off."""
    return table and {
        "values": [float(table.values.get(row["Name"], 1.0)) for row in classes],
        "slas": [ns(row["OnTime"]) for row in classes],
        "share": table.retry_share,
        "least": table.retries_per_s,
        "window": ns(table.window_ms),
        "accepts": table.accepts_per_s,
        "longest": ns(table.longest_retry_after_ms),
    }


def syslog(table):
    """Where decisions are sent."""
    return table and {
        "address": place(table.collector, "syslog.collector"),
        "udp": table.transport == "udp",
        "memory": table.memory,
        "spill": table.spill_dir or None,
        "spill_most": int(table.spill_mb * 1e6),
        "enterprise": table.enterprise,
        "settled": table.settled,
    }


def journal(table):
    """What the journal is started with; None: off."""
    return table and {
        "folder": table.dir,
        "batch": ns(table.batch_ms),
        "segment": int(table.segment_mb * 1e6),
        "most": int(table.most_mb * 1e6),
        "keep": table.keep_s,
    }


def mqtt(table, names, terms):
    """What the MQTT front is started with; None: there is none."""
    if table is None:
        return None
    from ..mqtt.topics import Route

    routes = []
    for k, row in enumerate(table.topics):
        if row.units > terms.largest:
            raise Faulty(f"mqtt.topics[{k}].units", "what one txn may have", row.units)
        routes.append(
            Route(
                row.filter,
                row.product,
                row.path,
                row.units,
                terms.products[names.products[row.product]].kind,
                terms.nodes,
            )
        )
    return {
        "address": place(table.listen, "mqtt.listen"),
        "routes": routes,
        "plan": table.plan,
        "answers": table.answers,
        "connections": table.connections,
        "sessions": table.sessions,
        "inflight": table.inflight,
        "expiry": ns(table.expiry_ms),
        "session_expiry": int(table.session_expiry_s * 1e9),
    }


def read(config, environ, descriptors=1 << 20):
    check(config, OBJECT, "the configuration")
    environs = {"name": "RELAY_NAME", "listen": "RELAY_LISTEN", "discovery": "RELAY_DISCOVERY"}
    config = {**{key: environ[name] for key, name in environs.items() if environ.get(name)}, **config}
    settings = check(config.get("settings"), OBJECT, "settings")
    for paths, needed in ((NEEDED, True), (OPTIONAL, False)):
        for path, kind in paths:
            walk(settings, path, kind, needed, "settings")
    try:
        names, terms = Names(settings), read_terms(settings)
    except (Odd, KeyError, TypeError, ValueError) as trouble:
        raise Faulty("settings", "as the simulator's first message has it", str(trouble)) from None
    if terms.has_counter and not terms.counter_wait:
        raise Faulty("settings.Domain.CountWait", "more than 0 where there is a counter", 0)
    limits = {**LIMITS, **check(config.get("limits", {}), OBJECT, "limits")}
    for key, value in limits.items():
        if key in LIMITS:
            check(value, NUMBER, f"limits.{key}")
    sockets = int(min(limits["sockets"], descriptors))
    if sockets < 128:
        raise Faulty("limits.sockets", "128 or more, and the process's own limit too", sockets)
    told = tabled(config, names)
    heard = mqtt(told["mqtt"], names, terms)
    if heard and sockets - heard["connections"] < 128:
        raise Faulty("mqtt.connections", f"{sockets - 128} or less, to leave 128 descriptors", heard["connections"])
    seed = config.get("seed", "0")
    try:
        seed = seed if isinstance(seed, int) else int(seed, 16)
    except (TypeError, ValueError):
        raise Faulty("seed", "hex digits", seed) from None
    known = config.get("known") or {"rev": 0, "all": True, "targets": []}
    try:
        known = read_list(known, names.zones)
    except (KeyError, TypeError, ValueError, AttributeError) as trouble:
        raise Faulty("known", "a list as discovery gives it", f"{type(trouble).__name__} {trouble}") from None
    more = {**SETTINGS, **settings["Limits"]}
    # The operators' address of this process: an upgrade starts the same configuration with a new one told.
    admin = environ.get("RELAY_ADMIN_ADDR") or config.get("admin_addr")
    admin = place(admin, "admin_addr") if admin else None
    return Launch(
        name=check(config.get("name"), TEXT, "name"),
        listen=place(config.get("listen"), "listen"),
        inherited=descriptor(environ),
        admin=admin,
        discovery=place(config.get("discovery"), "discovery"),
        counter=place(config.get("counter"), "counter") if terms.has_counter else None,
        seed=seed,
        known=known,
        terms=terms,
        names=names,
        bounds=compute_limits(
            sockets - (heard["connections"] if heard else 0), ns(more["ConnectTimeout"]), ns(more["Keepalive"])
        ),
        reports=settings.get("Reporting", {}).get("How", "none") != "none",
        levels=levels(config.get("log") or {}),
        syslog=syslog(told["syslog"]),
        storm=storm(told["storm"], settings["Classes"]),
        mqtt=heard,
        journal=journal(told["journal"]),
    )


def load(environ=os.environ):
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise Faulty("RELAY_CONFIG", "the path of the configuration", None)
    try:
        if path.endswith(".toml"):
            from ..config import BadConfig, load_toml  # its libraries are for those who use it

            try:
                config = load_toml(path)
            except BadConfig as trouble:
                raise Odd(str(trouble)) from None
            config["seed"] = config["seed"] or secrets.randbits(63)
        else:
            with open(path, "rb") as file:
                config = orjson.loads(file.read())
    except Odd as trouble:
        raise Faulty.worded(str(trouble)) from None
    except OSError as trouble:
        raise Faulty("RELAY_CONFIG", f"a file that can be read ({trouble.strerror})", path) from None
    except orjson.JSONDecodeError as trouble:
        raise Faulty("RELAY_CONFIG", f"a file of JSON ({trouble})", path) from None
    return read(config, environ, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
