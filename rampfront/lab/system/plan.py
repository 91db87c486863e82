"""The experiment file of a whole system: one TOML file. `read_plan(path)` gives a checked `Experiment`, or raises
`InvalidPlanError` with the key path and the reason.

Words and units are those of the edge node's experiments (`lab/plan.py`), whose parts are used here. Rates are requests a
second over the whole system. `configuration(plan, ...)` words what the operator sends. Nothing does I/O but `read_plan`.
"""

import json
from ipaddress import IPv4Address
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

from ...config import NonNegative, Positive, PositiveInt, StrictTable, split_validation_error
from ...settings import configuration_reader, settings_reader
from ..plan import Fault, InvalidPlanError, Latency, Name, Retries, Shape, Share, check_unique_names, read_table
from ..simulated_servers import RESPONSE_FAULTS

HOST = "lab.example"
VARIANTS = ("system", "split", "unshared", "random")


class Pilots(StrictTable, kw_only=True):
    """The pilots of one zone."""

    zone: Name
    count: PositiveInt = 1
    disks: Annotated[int, Meta(ge=0)] = 1  # so many of them, the first ones, have a disk and keep the core


class Service(StrictTable, kw_only=True):
    """A service and its stand-in servers. What is not said here is as in `lab/simulated_servers.py`."""

    name: Name
    servers: dict[str, PositiveInt]  # by zone
    slots: PositiveInt = 4
    queue: Annotated[int, Meta(ge=0)] = 8
    latency: Latency = Latency(mean_ms=20.0, kind="exponential")
    warm_s: NonNegative = 0.0  # slow for so long behind its start
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.25
    warmup_s: Positive = 3.0  # cold for so long, where it comes up during traffic
    cold_per_s: Positive = 2.0
    connections: PositiveInt = 130
    idle_s: Positive = 15.0
    tells_load: bool = True
    body_bytes: Annotated[int, Meta(ge=16, le=1 << 20)] = 64
    spoils: dict[str, Share] = field(default_factory=dict)  # share of answers that are spoilt so, all the time


class Route(StrictTable, kw_only=True):
    name: Name
    service: str = ""
    shares: dict[str, NonNegative] = field(default_factory=dict)  # instead of `service`: weights
    kind: Literal["read_only", "changing", "upload"] = "read_only"
    target_ms: Positive = 800.0
    give_up_ms: Positive = 3000.0
    tries: Annotated[int, Meta(ge=1, le=8)] = 2
    priority: Annotated[int, Meta(ge=0)] = 0
    public: bool = False
    homes: list[str] = field(default_factory=list)
    worth: Positive = 1.0
    late: NonNegative = 0.3  # worth of an answer past the target

    @property
    def sla_ms(self):
        return self.target_ms


class Tenant(StrictTable, kw_only=True):
    """Has two keys; half of its requests bear either."""

    name: Name
    per_s: NonNegative = 0.0  # 0: no limit
    burst: NonNegative = 0.0
    priority: Annotated[int, Meta(ge=0)] = 0
    homes: list[str] = field(default_factory=list)


class Stream(StrictTable, kw_only=True):
    """An open-loop stream of requests on one route."""

    name: Name
    route: str
    rate: Positive
    tenants: dict[str, Positive] = field(default_factory=dict)  # weights; empty: all alike, on a public route none
    zones: dict[str, Positive] = field(default_factory=dict)  # weights of the clients' zones; empty: all alike
    shape: Shape = Shape()
    deadline_ms: Positive = 3000.0
    body_bytes: Annotated[int, Meta(ge=0, le=1 << 22)] = 0
    chunked: Share = 0.0  # of its bodies come in chunks
    kept: Share = 0.7  # of its requests may go on a kept connection
    impatient: Share = 0.0  # do not wait as they are told, and try more often
    retries: Retries = Retries(most=2)
    from_s: NonNegative = 0.0
    until_s: NonNegative = 0.0  # 0: the end of the run


class PlatformModel(StrictTable, kw_only=True):
    lag_s: NonNegative = 0.5
    page: PositiveInt = 50
    per_s: Positive = 40.0
    listed_s: NonNegative = 2.0  # a crashed server stays on the list for so long
    drain_s: NonNegative = 4.0  # a server that is emptying serves for so long


class Order(StrictTable, kw_only=True):
    """What the operator does. `replace`: a new version with all the changes named here; `race`: another operator sends
    the next version to another node at the same moment; `invalid`: a version that is not valid."""

    kind: Literal["replace", "race", "invalid", "empty", "return"]
    at_s: NonNegative
    zone: str = ""  # empty, return
    move: dict[str, str] = field(default_factory=dict)  # route to service
    limits: dict[str, list[NonNegative]] = field(default_factory=dict)  # tenant to [per_s, burst]
    revoke: list[str] = field(default_factory=list)  # tenants whose first key goes
    drop: list[str] = field(default_factory=list)  # routes


class Speed(StrictTable, kw_only=True):
    """For `lab system speed`: rates of the first stream, each for so many seconds, straight to the servers, through one
    pilot and through all."""

    rates: list[Positive] = field(default_factory=lambda: [100.0, 300.0, 600.0])
    seconds: Positive = 4.0
    rounds: PositiveInt = 1  # all ways in turn so often, their rows together


class Experiment(StrictTable, kw_only=True):
    name: Name
    duration_s: Positive = 20.0
    warmup_s: NonNegative = 2.0  # left out of worth and latency, not of what is judged
    seed: int = 1
    base: str = "127.0.0.11"  # the first node's address
    zones: dict[str, str]  # zone to region
    pilots: Annotated[list[Pilots], Meta(min_length=1)]
    services: Annotated[list[Service], Meta(min_length=1)]
    routes: Annotated[list[Route], Meta(min_length=1)]
    tenants: list[Tenant] = field(default_factory=list)
    platform: PlatformModel = PlatformModel()
    streams: Annotated[list[Stream], Meta(min_length=1)]
    clients: PositiveInt = 6  # in each zone; each keeps its own answer of the directory and its own connections
    most_lag_ms: Positive = 50.0  # a run whose p99 lag from intended to real send is above is refused
    orders: list[Order] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    guarantees: dict[str, Any] = field(default_factory=dict)  # figures of the rules, in the settings file's words
    variants: list[Literal[VARIANTS]] = field(default_factory=lambda: ["system"])  # played side by side
    speed: Speed = Speed()

    @property
    def products(self):
        return self.routes

    @property
    def load(self):
        return self


SERVER_FAULTS = ("crash", "release", "chill", *sorted(RESPONSE_FAULTS))
NODE_FAULTS = ("kill", "stop", "freeze", "wipe", "cut", "lossy", "disk", "slow_disk")
PLATFORM_FAULTS = ("silent", "garbled", "cut", "500")


def places(plan):
    """(zone, has a disk) of each pilot, in the order of their numbers."""
    return [(group.zone, k < group.disks) for group in plan.pilots for k in range(group.count)]


def servers(plan):
    """(service, zone) of each server, in the order of their numbers."""
    return [
        (service, zone) for service in plan.services for zone, count in service.servers.items() for _ in range(count)
    ]


def targets(plan, text, rng):
    """("node" | "server" | "platform", numbers) that a fault's target names; `InvalidPlanError` for none."""
    head, _, which = text.partition(":")
    nodes, boxes = places(plan), servers(plan)
    if text == "platform":
        return "platform", [0]
    if head in ("node", "server") and which:
        there = len(nodes if head == "node" else boxes)
        if which == "any":
            return head, [rng.randrange(there)]
        if which.isdigit() and int(which) < there:
            return head, [int(which)]
    found = {
        "nodes": range(len(nodes)),
        "core": [k for k, (_, disk) in enumerate(nodes) if disk],
        "zone": [k for k, (zone, _) in enumerate(nodes) if zone == which],
    }.get(head)
    if found and (head == "zone") == bool(which):
        return "node", list(found)
    found = {"servers": range(len(boxes)), "service": [k for k, (s, _) in enumerate(boxes) if s.name == which]}.get(
        head
    )
    if found and (head == "service") == bool(which):
        return "server", list(found)
    raise InvalidPlanError(
        f"{text!r} is no node:K, nodes, core, zone:ZONE, server:K, servers, service:NAME or platform"
    )


def check(plan):
    """The checks between keys. Returns the plan."""
    from random import Random

    services, routes = check_unique_names(plan.services, "services"), check_unique_names(plan.routes, "routes")
    tenants = check_unique_names(plan.tenants, "tenants")
    check_unique_names(plan.streams, "streams")

    def known(what, names, where):
        for name in names:
            if name not in what:
                raise InvalidPlanError(f"{where}: unknown {name!r}; there are {', '.join(sorted(what)) or 'none'}")

    if plan.warmup_s >= plan.duration_s:
        raise InvalidPlanError(f"warmup_s: {plan.warmup_s:g} leaves nothing of duration_s {plan.duration_s:g}")
    for k, group in enumerate(plan.pilots):
        known(plan.zones, [group.zone], f"pilots[{k}].zone")
    if not any(disk for _, disk in places(plan)):
        raise InvalidPlanError("pilots: none has a disk, so there is no core")
    for k, service in enumerate(plan.services):
        known(plan.zones, service.servers, f"services[{k}].servers")
        known(RESPONSE_FAULTS, service.spoils, f"services[{k}].spoils")
    for k, route in enumerate(plan.routes):
        if bool(route.service) == bool(route.shares):
            raise InvalidPlanError(f"routes[{k}].service: should stand there, or shares instead")
        known(services, [route.service] if route.service else route.shares, f"routes[{k}]")
    for k, stream in enumerate(plan.streams):
        known(routes, [stream.route], f"streams[{k}].route")
        known(tenants, stream.tenants, f"streams[{k}].tenants")
        known(plan.zones, stream.zones, f"streams[{k}].zones")
        if (stream.until_s or plan.duration_s) <= stream.from_s:
            raise InvalidPlanError(f"streams[{k}].until_s: not after from_s {stream.from_s:g}")
    for k, order in enumerate(plan.orders):
        where = f"orders[{k}]"
        known(routes, [*order.move, *order.drop], where)
        known(services, order.move.values(), f"{where}.move")
        known(tenants, [*order.limits, *order.revoke], where)
        if order.kind in ("empty", "return"):
            known(plan.zones, [order.zone], f"{where}.zone")
        if any(len(limit) != 2 for limit in order.limits.values()):
            raise InvalidPlanError(f"{where}.limits: each should be [per_s, burst]")
    for k, fault in enumerate(plan.faults):
        where = f"faults[{k}]"
        try:
            kind, _ = targets(plan, fault.target, Random(0))
        except InvalidPlanError as trouble:
            raise InvalidPlanError(f"{where}.target: {trouble}") from None
        knows = {"node": NODE_FAULTS, "server": SERVER_FAULTS, "platform": PLATFORM_FAULTS}[kind]
        if fault.kind not in knows:
            raise InvalidPlanError(f"{where}.kind: {fault.target} knows no {fault.kind!r}, only {', '.join(knows)}")
        if (fault.at_s if isinstance(fault.at_s, (int, float)) else fault.at_s[1]) >= plan.duration_s:
            raise InvalidPlanError(f"{where}.at_s: not before the end at {plan.duration_s:g} s")
    try:
        ip(plan.base)
    except ValueError as trouble:
        raise InvalidPlanError(f"base: {trouble}") from None
    read = configuration_reader.read(json.dumps(configuration(plan, 1)).encode())
    if read.is_err():
        raise InvalidPlanError(f"its configuration is not valid: {read.err_value}")
    terms(plan)
    return plan


def parse(table):
    try:
        return check(msgspec.convert(table, Experiment))
    except msgspec.ValidationError as trouble:
        where, reason = split_validation_error(trouble)
        raise InvalidPlanError(f"{where or 'the file'}: {reason}") from None


def read_plan(path):
    table = read_table(path)
    try:
        return parse(table)
    except InvalidPlanError as trouble:
        raise InvalidPlanError(f"{path}: {trouble}") from None


def terms(plan):
    """The figures of the rules, as pilots read them."""
    zone = next(iter(plan.zones))
    read = settings_reader.read(
        {
            "Self": {"NodeName": "n", "Zone": zone, "Ip": "127.0.0.1"},
            "Network": {"ListenOn": {}, "PortRange": [1, 1], "Zones": plan.zones},
            "AgreedTerms": {"Guarantees": plan.guarantees},
        }
    )
    if read.is_err():
        raise InvalidPlanError(f"guarantees: {read.err_value}")
    return read.ok_value.guarantees


def keys(tenant):
    return [f"key-{tenant}-{k}" for k in (1, 2)]


def ip(text):
    return IPv4Address(text)


def ms(number):
    return f"{number:g}ms"


def configuration(plan, revision, moved=(), limits=(), revoked=(), dropped=()):
    """A configuration as the operator puts it: the plan's, with changes laid over."""
    moved, limits = dict(moved), dict(limits)
    rules, tenants = [], []
    for route in plan.routes:
        if route.name in dropped:
            continue
        shares = {moved[route.name]: 1.0} if route.name in moved else route.shares or {route.service: 1.0}
        then = (
            {"Service": next(iter(shares))}
            if len(shares) == 1
            else {"Shares": [{"Service": name, "Weight": weight} for name, weight in shares.items()]}
        )
        rules.append(
            {
                "Name": route.name,
                "Type": route.kind,
                "Target": ms(route.target_ms),
                "Priority": route.priority,
                "Public": route.public,
                "MatchesWhen": {"PathStart": f"/{route.name}/"},
                "ThenDo": {**then, "GiveUp": ms(route.give_up_ms), "Tries": route.tries, "HomeRegions": route.homes},
            }
        )
    for tenant in plan.tenants:
        per_s, burst = limits.get(tenant.name, (tenant.per_s, tenant.burst))
        tenants.append(
            {
                "Name": tenant.name,
                "ApiKeys": keys(tenant.name)[tenant.name in revoked :],
                "PerS": per_s,
                "Burst": burst,
                "Priority": tenant.priority,
                "HomeRegions": tenant.homes,
            }
        )
    return {
        "Revision": f"r{revision}",
        "Caps": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 64 << 20, "HeaderWait": "3s", "Idle": "15s"},
        "Customers": tenants,
        "Sockets": [{"Hostname": HOST, "Rulebook": rules}],
        "Groups": [
            {
                "Name": s.name,
                "HealthPath": "/health",
                "MaxConns": s.connections,
                "Warmup": ms(1000 * s.warmup_s),
                "ColdPerS": s.cold_per_s,
            }
            for s in plan.services
        ],
    }
