"""The experiment file: a TOML file that defines topology, load, faults, settings and repeats.

`read_plan(path)` returns a checked `Experiment`, or raises `InvalidPlanError` with the key path and the reason. Times
in the file are seconds (`_s`) or milliseconds (`_ms`), as their names say; rates are transactions a second; units are
quota units. Only `read_plan` and `read_table` do I/O. msgspec validates each value; `check` validates the relations
between keys.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

from ..config import PLATFORM_EFFECTS, NonNegative, Positive, PositiveInt, StrictTable, split_validation_error

Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
ValueOrRange = (
    NonNegative | Annotated[list[NonNegative], Meta(min_length=2, max_length=2)]
)  # a value, or a range [low, high] that it is drawn from


class InvalidPlanError(Exception):
    """The experiment file is invalid; the message names the key."""


class Latency(StrictTable, kw_only=True):
    """The service time of a transaction in ms, at a warm server that processes nothing else."""

    kind: Literal["constant", "exponential", "lognormal", "pareto"] = "constant"
    mean_ms: NonNegative = 5.0
    cv: Annotated[float, Meta(gt=0, le=10)] = 1.0  # standard deviation over mean; lognormal and pareto


class ServerGroup(StrictTable, kw_only=True):
    """A group of app servers (registry boxes) with the same properties."""

    name: Name = "box"
    count: PositiveInt = 3
    latency: Latency = Latency()
    slots: PositiveInt = 8  # transactions in progress at once
    queue: Annotated[int, Meta(ge=0)] = 64  # transactions that wait; beyond that they are turned away without execution
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.25  # share of the full speed at the start
    warm_s: NonNegative = 5.0  # from the start to full speed
    zone: str = "a"
    idle_s: Positive = 30.0  # after which an idle connection is closed
    connections: PositiveInt = 4096  # with more, transactions are turned away without execution
    body_bytes: Annotated[int, Meta(ge=0, le=1 << 24)] = 64


class CounterModel(StrictTable, kw_only=True):
    """The properties of the emulated counter."""

    latency_ms: NonNegative = 0.3
    per_s: Positive = 20000.0  # calls a second; beyond that they wait
    longest_wait_ms: Positive = 200.0  # beyond that calls are rejected (-BUSY)
    timeout_ms: Positive = 80.0  # the time-out in the nodes (settings.Domain.CountWait)


class DiscoveryModel(StrictTable, kw_only=True):
    """The properties of the emulated discovery service."""

    notice_s: NonNegative = 0.5  # delay until a change reaches the nodes


class Topology(StrictTable, kw_only=True):
    """The nodes and the emulated parts around them."""

    nodes: Annotated[int, Meta(ge=0, le=64)] = 1  # 0: clients connect directly to the servers
    counter: bool = True
    boxes: Annotated[list[ServerGroup], Meta(min_length=1)] = field(default_factory=lambda: [ServerGroup()])
    counter_model: CounterModel = CounterModel()
    discovery: DiscoveryModel = DiscoveryModel()
    collector: bool = False  # whether there is a syslog collector that the nodes send their decisions to
    syslog: dict[str, Any] = field(default_factory=dict)  # merged over the nodes' syslog table
    storm: dict[str, Any] | None = None  # the nodes' storm table; None: off
    mqtt: dict[str, Any] | None = None  # the nodes' mqtt table without the address; None: off
    journal: dict[str, Any] | None = None  # the nodes' journal table without the folder; None: off
    root: str = ""  # the checkout whose edge nodes are run, with its .venv; empty: the present one


class Product(StrictTable, kw_only=True):
    """A product (class of transactions), with its effect and times."""

    name: Name
    effect: Literal["inquiry", "referenced", "once_only"] = "inquiry"
    sla_ms: Positive = 500.0
    expiry_ms: Annotated[float, Meta(ge=10, le=600000)] = 2000.0
    repeat_window_ms: NonNegative = 5000.0
    units: Positive = 1.0


class Plan(StrictTable, kw_only=True):
    """An account's quota over all nodes. `rate` 0 means that there is no rate limit."""

    name: Name
    rate: NonNegative = 0.0  # units a second
    burst: NonNegative = 0.0
    at_once: Annotated[int, Meta(ge=0)] = 0
    ceiling_rate: NonNegative = 0.0
    ceiling_depth: NonNegative = 0.0


class Retries(StrictTable, kw_only=True):
    """What a client does after a response that did not settle its transaction. Each later try has a new X-Request-Id,
    and a referenced transaction keeps its key. A voided once-only transaction is never retried."""

    most: Annotated[int, Meta(ge=0, le=100)] = 0
    wait_ms: NonNegative = 100.0
    factor: Annotated[float, Meta(ge=1, le=10)] = 2.0
    longest_ms: Positive = 10000.0  # limit of a wait that was not advised by a response
    jitter: Share = 0.5
    honours: bool = True  # whether it waits as Retry-After advises


class Shape(StrictTable, kw_only=True):
    """How a stream's rate changes: `poisson` is constant; `bursts` multiplies it by `factor` for `on_s` out of every
    `every_s`; `ramp` changes it linearly from `factor` times the rate at the start to the rate at the end."""

    kind: Literal["poisson", "bursts", "ramp"] = "poisson"
    every_s: Positive = 10.0
    on_s: Positive = 1.0
    factor: NonNegative = 5.0


class Stream(StrictTable, kw_only=True):
    """An open-loop stream of transactions from a number of accounts on one plan."""

    name: Name
    plan: str
    rate: Positive  # transactions a second over all accounts, counting first tries only
    accounts: PositiveInt = 1
    skew: NonNegative = 0.0  # Zipf exponent over the accounts; 0: uniform
    products: dict[str, Positive] = field(default_factory=dict)  # weights; empty: all equal
    spread: Annotated[int, Meta(ge=0)] = 0  # number of nodes that each account connects to; 0: all
    shape: Shape = Shape()
    retries: Retries = Retries()
    front: Literal["http", "mqtt", "both"] = "http"  # mqtt: QoS 1, topic PRODUCT/ACCOUNT/TXN; both: alternately
    from_s: NonNegative = 0.0
    until_s: NonNegative = 0.0  # 0: the end of the run


class Load(StrictTable, kw_only=True):
    """The load of an experiment and the limits of the load tool."""

    workers: Annotated[int, Meta(ge=1, le=64)] = 1  # load processes
    streams: Annotated[list[Stream], Meta(min_length=1)]
    most_lag_ms: Positive = 5.0  # limit of the p99 lag from intended to actual send; a run above it is refused
    connections: Annotated[int, Meta(ge=1, le=20000)] = 400  # limit of a worker's connections to each node
    hold_idle_s: Positive = 1.5


BOX_FAULTS = ("slow", "hang", "drop_idle", "close_idle", "refuse", "crash", "drain", "errors", "turn_away")
COUNTER_FAULTS = ("down", "silent", "slow", "restart", "split")
DISCOVERY_FAULTS = ("down", "silent", "stale")
COLLECTOR_FAULTS = ("away", "abort")  # closes its connections in good order, or resets them
NODE_FAULTS = ("kill", "stop", "restart")


class Fault(StrictTable, kw_only=True):
    """One scripted fault. `target` is a server (`box:0`, `box:any`, the name of a group for all of its servers, `boxes`
    for all servers), `counter`, `discovery`, `collector`, or a node (`node:0`, `node:any`). The meaning of `size`
    depends on the kind: slow, the factor of the service time (for the counter: additional ms); errors and turn_away,
    the share of transactions; drop_idle and close_idle, the idle time in seconds."""

    target: Annotated[str, Meta(min_length=1)]
    kind: str
    at_s: ValueOrRange
    for_s: ValueOrRange = 0.0  # 0: to the end of the run; a restart of the counter is instantaneous
    size: ValueOrRange = 0.0
    halves: list[list[int]] = field(default_factory=list)  # split: the nodes of each half; empty: alternating


class Pin(StrictTable, kw_only=True):
    """CPU cores for each kind of process; empty: the system chooses."""

    nodes: list[int] = field(default_factory=list)
    emulator: list[int] = field(default_factory=list)
    load: list[int] = field(default_factory=list)


class Experiment(StrictTable, kw_only=True):
    """The whole experiment file."""

    name: Name
    duration_s: Positive = 10.0
    warmup_s: NonNegative = 2.0  # excluded from latency figures, but not from quotas
    seed: int = 1
    repeats: PositiveInt = 1  # seeds seed, seed + 1, ...
    topology: Topology = Topology()
    products: Annotated[list[Product], Meta(min_length=1)]
    plans: Annotated[list[Plan], Meta(min_length=1)]
    load: Load
    faults: list[Fault] = field(default_factory=list)
    settings: dict[str, Any] = field(default_factory=dict)  # merged over the nodes' settings, with the platform's names
    pin: Pin = Pin()


def check_unique_names(rows, key_path):
    """Returns the names of the rows. Raises `InvalidPlanError` if one occurs twice."""
    names = set()
    for k, row in enumerate(rows):
        if row.name in names:
            raise InvalidPlanError(f"{key_path}[{k}].name: {row.name!r} is taken already")
        names.add(row.name)
    return names


def fault_kinds(target, group_names, nodes, server_count, key_path):
    """Returns the kinds of faults that a target supports. Raises `InvalidPlanError` for a target that does not
    exist."""
    target_kind, _, number = target.partition(":")
    if target in ("counter", "discovery", "collector"):
        return {"counter": COUNTER_FAULTS, "discovery": DISCOVERY_FAULTS, "collector": COLLECTOR_FAULTS}[target]
    if target_kind in ("box", "node") and number:
        count = server_count if target_kind == "box" else nodes
        if number != "any" and not (number.isdigit() and int(number) < count):
            raise InvalidPlanError(
                f"{key_path}.target: there is no {target!r}; {target_kind}s are numbered from 0 to {count - 1}"
            )
        if not count:
            raise InvalidPlanError(f"{key_path}.target: there are no {target_kind}s")
        return BOX_FAULTS if target_kind == "box" else NODE_FAULTS
    if target == "boxes" or target in group_names:
        return BOX_FAULTS
    raise InvalidPlanError(f"{key_path}.target: {target!r} is not a box, group, node, counter, discovery or collector")


def check(plan):
    """Checks the relations between keys, and returns the plan."""
    products, plans = check_unique_names(plan.products, "products"), check_unique_names(plan.plans, "plans")
    check_unique_names(plan.load.streams, "load.streams")
    group_names = check_unique_names(plan.topology.boxes, "topology.boxes")
    if plan.warmup_s >= plan.duration_s:
        raise InvalidPlanError(f"warmup_s: {plan.warmup_s:g} is not shorter than duration_s {plan.duration_s:g}")
    for k, quota in enumerate(plan.plans):
        if quota.rate > 0 and quota.burst <= 0:
            raise InvalidPlanError(f"plans[{k}].burst: must be above 0 for a plan with a rate")
    for k, stream in enumerate(plan.load.streams):
        key_path = f"load.streams[{k}]"
        if stream.front != "http" and (plan.topology.mqtt is None or not plan.topology.nodes):
            raise InvalidPlanError(f"{key_path}.front: no node has an MQTT front without topology.mqtt")
        if stream.plan not in plans:
            raise InvalidPlanError(f"{key_path}.plan: unknown plan {stream.plan!r}")
        for name in stream.products:
            if name not in products:
                raise InvalidPlanError(f"{key_path}.products: unknown product {name!r}")
        if stream.spread > max(1, plan.topology.nodes):
            raise InvalidPlanError(f"{key_path}.spread: {stream.spread} of {plan.topology.nodes} nodes")
        if stream.shape.kind == "bursts" and stream.shape.on_s > stream.shape.every_s:
            raise InvalidPlanError(f"{key_path}.shape.on_s: longer than every_s")
        if (stream.until_s or plan.duration_s) <= stream.from_s:
            raise InvalidPlanError(f"{key_path}.until_s: not after from_s {stream.from_s:g}")
    server_count = sum(group.count for group in plan.topology.boxes)
    for k, fault in enumerate(plan.faults):
        key_path = f"faults[{k}]"
        allowed_kinds = fault_kinds(fault.target, group_names, plan.topology.nodes, server_count, key_path)
        if fault.kind not in allowed_kinds:
            raise InvalidPlanError(
                f"{key_path}.kind: {fault.target} does not support {fault.kind!r}, only {', '.join(allowed_kinds)}"
            )
        for key in ("at_s", "for_s", "size"):
            span = getattr(fault, key)
            if isinstance(span, list) and span[0] > span[1]:
                raise InvalidPlanError(f"{key_path}.{key}: [low, high] with low above high")
        if (fault.at_s if isinstance(fault.at_s, (int, float)) else fault.at_s[1]) >= plan.duration_s:
            raise InvalidPlanError(f"{key_path}.at_s: not before the end at {plan.duration_s:g} s")
        if fault.target in ("counter", "collector") and not getattr(plan.topology, fault.target):
            raise InvalidPlanError(f"{key_path}.target: this topology has no {fault.target}")
        if any(not 0 <= node < plan.topology.nodes for half in fault.halves for node in half):
            raise InvalidPlanError(f"{key_path}.halves: names a node that does not exist")
    return plan


def convert(table):
    """Returns the checked `Experiment` of a parsed TOML table."""
    try:
        return check(msgspec.convert(table, Experiment))
    except msgspec.ValidationError as error:
        key_path, reason = split_validation_error(error)
        raise InvalidPlanError(f"{key_path or 'the file'}: {reason}") from None


def parse_plan(text):
    """Returns the `Experiment` in a TOML text. `InvalidPlanError` names the key, or the line if it is not valid
    TOML."""
    try:
        return convert(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise InvalidPlanError(f"not valid TOML: {error}") from None


def read_table(path, depth=0):
    """Returns the TOML table of a file, merged over that of the file that `extends` names, if any."""
    try:
        table = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise InvalidPlanError(f"{path}: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidPlanError(f"{path}: not valid TOML: {error}") from None
    base = table.pop("extends", None)
    if base is None:
        return table
    if not isinstance(base, str) or depth > 4:
        raise InvalidPlanError(f"{path}: extends: must name a file, nested at most four deep")
    return merge_tables(read_table(Path(path).parent / base, depth + 1), table)


def read_plan(path):
    """Returns the `Experiment` in a file. Raises `InvalidPlanError` with the path, the key and the reason."""
    table = read_table(path)
    try:
        return convert(table)
    except InvalidPlanError as error:
        raise InvalidPlanError(f"{path}: {error}") from None


def changed(plan, **parts):
    """Returns the plan with top-level parts replaced, and checks it again."""
    return check(msgspec.structs.replace(plan, **parts))


def named_servers(plan):
    """Returns `(uid, group)` of each server, in the order of their numbers."""
    return [(f"{group.name}-{k}", group) for group in plan.topology.boxes for k in range(group.count)]


def merge_tables(base, overrides):
    """Returns `overrides` merged over `base`, tables key by key; neither is changed."""
    return {
        **base,
        **{
            key: merge_tables(base[key], value)
            if isinstance(value, dict) and isinstance(base.get(key), dict)
            else value
            for key, value in overrides.items()
        },
    }


def settings(plan):
    """Returns the nodes' settings, with the names and units that the platform uses."""
    group = plan.topology.boxes[0]
    base = {
        "Classes": [
            {
                "Name": p.name,
                "Effect": PLATFORM_EFFECTS[p.effect],
                "OnTime": p.sla_ms,
                "RepeatWindow": p.repeat_window_ms,
            }
            for p in plan.products
        ],
        "Packages": [
            {
                "Name": p.name,
                "PerSecond": p.rate,
                "StoreSize": p.burst,
                "AtOnce": p.at_once,
                "NeverOverRate": p.ceiling_rate,
                "CapDepth": p.ceiling_depth,
            }
            for p in plan.plans
        ],
        "PeersTotal": max(1, plan.topology.nodes),
        "Domain": {
            "HasCounter": plan.topology.counter,
            "CountWait": plan.topology.counter_model.timeout_ms,
            "Largest": max(p.units for p in plan.products),
        },
        "Limits": {
            "AttemptsCap": 3,
            "MayCancel": True,
            "Probing": False,
            "ConnectTimeout": 250.0,
            "Keepalive": 1000.0 * min(g.idle_s for g in plan.topology.boxes),
            "RetryAfter": True,
            "MaxRetryAfter": 5000.0,
        },
        "Rules": {
            "ColdShare": group.cold_share,
            "WarmWithin": 1000.0 * max(0.001, group.warm_s),
            "FallMultiple": 3.0,
            "TipAfter": 2000.0,
        },
        "Areas": sorted({g.zone for g in plan.topology.boxes}),
        "Tick": 1.0,
    }
    return merge_tables(base, plan.settings)
