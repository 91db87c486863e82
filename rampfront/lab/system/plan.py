"""The experiment file of a whole system: one TOML file.

`read_plan(path)` returns a checked `Experiment`, or raises `InvalidPlanError` with the key path and the reason. Keys and units are
those of the edge node's experiments (`lab/plan.py`), whose classes are used here. Rates are requests a second over the
whole system. `configuration(plan, ...)` returns the configuration that the operator sends. Only `read_plan` does I/O.
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


class ProxyGroup(StrictTable, kw_only=True):
    """The proxy nodes of one zone."""

    zone: Name
    count: PositiveInt = 1
    disks: Annotated[int, Meta(ge=0)] = 1  # the first nodes of the group have a disk and are members of the core


class Service(StrictTable, kw_only=True):
    """A service and its emulated servers. `lab/simulated_servers.py` describes the other keys."""

    name: Name
    servers: dict[str, PositiveInt]  # by zone
    slots: PositiveInt = 4
    queue: Annotated[int, Meta(ge=0)] = 8
    latency: Latency = Latency(mean_ms=20.0, kind="exponential")
    warm_s: NonNegative = 0.0  # the server is slow for this time after its start
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.25
    warmup_s: Positive = 3.0  # the server is cold for this time if it starts during traffic
    cold_per_s: Positive = 2.0
    connections: PositiveInt = 130
    idle_s: Positive = 15.0
    tells_load: bool = True
    body_bytes: Annotated[int, Meta(ge=16, le=1 << 20)] = 64
    spoils: dict[str, Share] = field(
        default_factory=dict
    )  # kind to the share of answers that are spoilt, during the whole run


class Route(StrictTable, kw_only=True):
    """A route: its service or its shares of several, and the worth of its answers."""

    name: Name
    service: str = ""
    shares: dict[str, NonNegative] = field(default_factory=dict)  # service to weight, instead of `service`
    kind: Literal["read_only", "changing", "upload"] = "read_only"
    target_ms: Positive = 800.0
    give_up_ms: Positive = 3000.0
    tries: Annotated[int, Meta(ge=1, le=8)] = 2
    priority: Annotated[int, Meta(ge=0)] = 0
    public: bool = False
    homes: list[str] = field(default_factory=list)
    worth: Positive = 1.0
    late: NonNegative = 0.3  # worth of an answer after the target

    @property
    def sla_ms(self):
        """The target, under the name that the edge node's reports use."""
        return self.target_ms


class Tenant(StrictTable, kw_only=True):
    """A tenant with two API keys; each is used by half of its requests."""

    name: Name
    per_s: NonNegative = 0.0  # 0 for no limit
    burst: NonNegative = 0.0
    priority: Annotated[int, Meta(ge=0)] = 0
    homes: list[str] = field(default_factory=list)


class Stream(StrictTable, kw_only=True):
    """An open-loop stream of requests on one route."""

    name: Name
    route: str
    rate: Positive
    tenants: dict[str, Positive] = field(
        default_factory=dict
    )  # weights; if empty, all have the same weight, and a public route has no tenant
    zones: dict[str, Positive] = field(
        default_factory=dict
    )  # weights of the clients' zones; if empty, all have the same weight
    shape: Shape = Shape()
    deadline_ms: Positive = 3000.0
    body_bytes: Annotated[int, Meta(ge=0, le=1 << 22)] = 0
    chunked: Share = 0.0  # of the bodies that are sent chunked
    kept: Share = 0.7  # of the requests that may use an idle connection
    impatient: Share = 0.0  # of the requests whose client ignores the advised wait and tries more often
    retries: Retries = Retries(most=2)
    from_s: NonNegative = 0.0
    until_s: NonNegative = 0.0  # 0 for the end of the run


class PlatformModel(StrictTable, kw_only=True):
    """The emulated platform: the lag of its list, the size of a page, and the calls a second that it allows."""

    lag_s: NonNegative = 0.5
    page: PositiveInt = 50
    per_s: Positive = 40.0
    listed_s: NonNegative = 2.0  # a crashed server remains on the list for this time
    drain_s: NonNegative = 4.0  # a server that is emptying serves for this time


class Order(StrictTable, kw_only=True):
    """An order of the operator.

    `replace`: a new version with all changes that the order names; `race`: the same, and another operator sends the next
    version to another node at the same time; `invalid`: an invalid version; `empty` and `return`: evacuates a zone, and
    takes it back."""

    kind: Literal["replace", "race", "invalid", "empty", "return"]
    at_s: NonNegative
    zone: str = ""  # of `empty` and `return`
    move: dict[str, str] = field(default_factory=dict)  # route to service
    limits: dict[str, list[NonNegative]] = field(default_factory=dict)  # tenant to [per_s, burst]
    revoke: list[str] = field(default_factory=list)  # tenants whose first key is revoked
    drop: list[str] = field(default_factory=list)  # routes to remove


class Speed(StrictTable, kw_only=True):
    """A speed measurement (`lab system speed`).

    It runs each rate of the first stream for `seconds` straight to the servers, through one proxy and through all."""

    rates: list[Positive] = field(default_factory=lambda: [100.0, 300.0, 600.0])
    seconds: Positive = 4.0
    rounds: PositiveInt = 1  # repetitions of all paths in turn; the report combines them


class Experiment(StrictTable, kw_only=True):
    """The experiment file."""

    name: Name
    duration_s: Positive = 20.0
    warmup_s: NonNegative = 2.0  # excluded from worth and latency, but not from the judgement of the rules
    seed: int = 1
    base: str = "127.0.0.11"  # the first node's address
    zones: dict[str, str]  # zone to region
    pilots: Annotated[list[ProxyGroup], Meta(min_length=1)]
    services: Annotated[list[Service], Meta(min_length=1)]
    routes: Annotated[list[Route], Meta(min_length=1)]
    tenants: list[Tenant] = field(default_factory=list)
    platform: PlatformModel = PlatformModel()
    streams: Annotated[list[Stream], Meta(min_length=1)]
    clients: PositiveInt = 6  # in each zone; each has its own answer of the directory and its own connections
    most_lag_ms: Positive = (
        50.0  # a report is refused if the p99 lag from the intended to the actual send time is above
    )
    orders: list[Order] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    guarantees: dict[str, Any] = field(
        default_factory=dict
    )  # figures of the rules, under the keys of the settings file
    variants: list[Literal[VARIANTS]] = field(default_factory=lambda: ["system"])  # run one after another and compared
    speed: Speed = Speed()

    @property
    def products(self):
        """The routes, under the name that the edge node's reports use."""
        return self.routes

    @property
    def load(self):
        """The experiment itself: it holds the keys that an edge node's experiment has in its table `load`."""
        return self


SERVER_FAULTS = ("crash", "release", "chill", *sorted(RESPONSE_FAULTS))
NODE_FAULTS = ("kill", "stop", "freeze", "wipe", "cut", "lossy", "disk", "slow_disk")
PLATFORM_FAULTS = ("silent", "garbled", "cut", "500")


def node_placements(plan):
    """Returns (zone, whether it has a disk) of each proxy node, in the order of their numbers."""
    return [(group.zone, index < group.disks) for group in plan.pilots for index in range(group.count)]


def server_placements(plan):
    """Returns (service, zone) of each server, in the order of their numbers."""
    return [
        (service, zone) for service in plan.services for zone, count in service.servers.items() for _ in range(count)
    ]


def resolve_target(plan, text, rng):
    """Returns the ("node" | "server" | "platform", numbers) that a fault's target names. Raises `InvalidPlanError`."""
    kind, _, selector = text.partition(":")
    nodes, servers = node_placements(plan), server_placements(plan)
    if text == "platform":
        return "platform", [0]
    if kind in ("node", "server") and selector:
        count = len(nodes if kind == "node" else servers)
        if selector == "any":
            return kind, [rng.randrange(count)]
        if selector.isdigit() and int(selector) < count:
            return kind, [int(selector)]
    matches = {
        "nodes": range(len(nodes)),
        "core": [index for index, (_, disk) in enumerate(nodes) if disk],
        "zone": [index for index, (zone, _) in enumerate(nodes) if zone == selector],
    }.get(kind)
    if matches and (kind == "zone") == bool(selector):
        return "node", list(matches)
    matches = {
        "servers": range(len(servers)),
        "service": [index for index, (service, _) in enumerate(servers) if service.name == selector],
    }.get(kind)
    if matches and (kind == "service") == bool(selector):
        return "server", list(matches)
    raise InvalidPlanError(
        f"{text!r} is not one of node:K, nodes, core, zone:ZONE, server:K, servers, service:NAME, platform"
    )


def check(plan):
    """Checks the relations between keys and returns the plan. Raises `InvalidPlanError`."""
    from random import Random

    services, routes = check_unique_names(plan.services, "services"), check_unique_names(plan.routes, "routes")
    tenants = check_unique_names(plan.tenants, "tenants")
    check_unique_names(plan.streams, "streams")

    def check_known(known, names, where):
        for name in names:
            if name not in known:
                raise InvalidPlanError(f"{where}: unknown {name!r}; there are {', '.join(sorted(known)) or 'none'}")

    if plan.warmup_s >= plan.duration_s:
        raise InvalidPlanError(f"warmup_s: {plan.warmup_s:g} is not less than duration_s {plan.duration_s:g}")
    for index, group in enumerate(plan.pilots):
        check_known(plan.zones, [group.zone], f"pilots[{index}].zone")
    if not any(disk for _, disk in node_placements(plan)):
        raise InvalidPlanError("pilots: none has a disk, so there is no core")
    for index, service in enumerate(plan.services):
        check_known(plan.zones, service.servers, f"services[{index}].servers")
        check_known(RESPONSE_FAULTS, service.spoils, f"services[{index}].spoils")
    for index, route in enumerate(plan.routes):
        if bool(route.service) == bool(route.shares):
            raise InvalidPlanError(f"routes[{index}].service: either service or shares must be set")
        check_known(services, [route.service] if route.service else route.shares, f"routes[{index}]")
    for index, stream in enumerate(plan.streams):
        check_known(routes, [stream.route], f"streams[{index}].route")
        check_known(tenants, stream.tenants, f"streams[{index}].tenants")
        check_known(plan.zones, stream.zones, f"streams[{index}].zones")
        if (stream.until_s or plan.duration_s) <= stream.from_s:
            raise InvalidPlanError(f"streams[{index}].until_s: not after from_s {stream.from_s:g}")
    for index, order in enumerate(plan.orders):
        where = f"orders[{index}]"
        check_known(routes, [*order.move, *order.drop], where)
        check_known(services, order.move.values(), f"{where}.move")
        check_known(tenants, [*order.limits, *order.revoke], where)
        if order.kind in ("empty", "return"):
            check_known(plan.zones, [order.zone], f"{where}.zone")
        if any(len(limit) != 2 for limit in order.limits.values()):
            raise InvalidPlanError(f"{where}.limits: each should be [per_s, burst]")
    for index, fault in enumerate(plan.faults):
        where = f"faults[{index}]"
        try:
            kind, _ = resolve_target(plan, fault.target, Random(0))
        except InvalidPlanError as error:
            raise InvalidPlanError(f"{where}.target: {error}") from None
        allowed_kinds = {"node": NODE_FAULTS, "server": SERVER_FAULTS, "platform": PLATFORM_FAULTS}[kind]
        if fault.kind not in allowed_kinds:
            raise InvalidPlanError(
                f"{where}.kind: {fault.kind!r} is not a fault of {fault.target}; there are {', '.join(allowed_kinds)}"
            )
        if (fault.at_s if isinstance(fault.at_s, (int, float)) else fault.at_s[1]) >= plan.duration_s:
            raise InvalidPlanError(f"{where}.at_s: not before the end of the run at {plan.duration_s:g} s")
    try:
        parse_ip(plan.base)
    except ValueError as error:
        raise InvalidPlanError(f"base: {error}") from None
    result = configuration_reader.read(json.dumps(configuration(plan, 1)).encode())
    if result.is_err():
        raise InvalidPlanError(f"the configuration of the experiment is not valid: {result.err_value}")
    read_terms(plan)
    return plan


def parse(table):
    """Returns the checked experiment of a TOML table. Raises `InvalidPlanError`."""
    try:
        return check(msgspec.convert(table, Experiment))
    except msgspec.ValidationError as error:
        where, reason = split_validation_error(error)
        raise InvalidPlanError(f"{where or 'the file'}: {reason}") from None


def read_plan(path):
    """Returns the checked experiment in a file. Raises `InvalidPlanError`."""
    table = read_table(path)
    try:
        return parse(table)
    except InvalidPlanError as error:
        raise InvalidPlanError(f"{path}: {error}") from None


def read_terms(plan):
    """Returns the agreed figures of the rules, as the proxies read them. Raises `InvalidPlanError`."""
    zone = next(iter(plan.zones))
    result = settings_reader.read(
        {
            "Self": {"NodeName": "n", "Zone": zone, "Ip": "127.0.0.1"},
            "Network": {"ListenOn": {}, "PortRange": [1, 1], "Zones": plan.zones},
            "AgreedTerms": {"Guarantees": plan.guarantees},
        }
    )
    if result.is_err():
        raise InvalidPlanError(f"guarantees: {result.err_value}")
    return result.ok_value.guarantees


def api_keys(tenant):
    """Returns the two API keys of a tenant."""
    return [f"key-{tenant}-{index}" for index in (1, 2)]


def parse_ip(text):
    """Returns an IPv4 address. Raises ValueError."""
    return IPv4Address(text)


def format_ms(number):
    """Returns a duration in ms as settings and configurations hold it."""
    return f"{number:g}ms"


def configuration(plan, revision, moved=(), limits=(), revoked=(), dropped=()):
    """Returns the configuration of the plan as the operator sends it, with changes.

    `moved`: route to its new service; `limits`: tenant to (per_s, burst); `revoked`: tenants whose first key is revoked;
    `dropped`: routes to remove."""
    moved, limits = dict(moved), dict(limits)
    rules, tenants = [], []
    for route in plan.routes:
        if route.name in dropped:
            continue
        shares = {moved[route.name]: 1.0} if route.name in moved else route.shares or {route.service: 1.0}
        target = (
            {"Service": next(iter(shares))}
            if len(shares) == 1
            else {"Shares": [{"Service": name, "Weight": weight} for name, weight in shares.items()]}
        )
        rules.append(
            {
                "Name": route.name,
                "Type": route.kind,
                "Target": format_ms(route.target_ms),
                "Priority": route.priority,
                "Public": route.public,
                "MatchesWhen": {"PathStart": f"/{route.name}/"},
                "ThenDo": {
                    **target,
                    "GiveUp": format_ms(route.give_up_ms),
                    "Tries": route.tries,
                    "HomeRegions": route.homes,
                },
            }
        )
    for tenant in plan.tenants:
        per_s, burst = limits.get(tenant.name, (tenant.per_s, tenant.burst))
        tenants.append(
            {
                "Name": tenant.name,
                "ApiKeys": api_keys(tenant.name)[tenant.name in revoked :],
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
                "Name": service.name,
                "HealthPath": "/health",
                "MaxConns": service.connections,
                "Warmup": format_ms(1000 * service.warmup_s),
                "ColdPerS": service.cold_per_s,
            }
            for service in plan.services
        ],
    }
