"""Reads the hosts and routes of a configuration (`Sockets[]` and their `Rulebook[]`)."""

from collections.abc import Mapping

from .configuration import HostRoutes, Route, Service, normalize_host
from .errors import FieldError, quoted
from .json_fields import (
    check_table,
    optional_list,
    read_duration,
    read_home_regions,
    read_integer,
    read_name,
    read_number,
)
from .limits import MAX_TARGET_EXCESS_NS
from .scalars import Json

REQUEST_TYPES = frozenset(("read_only", "changing", "upload"))


class _Action:
    """The validated `ThenDo` table of a route."""

    __slots__ = "timeout_ns", "service_weights", "max_attempts", "home_regions"

    def __init__(self, action: Mapping[str, Json], services: Mapping[str, Service]) -> None:
        """Reads and checks the table. Raises `FieldError`."""
        self.timeout_ns = read_duration(action, "GiveUp")
        if not self.timeout_ns:
            raise FieldError("missing, or 0", "GiveUp")
        self.service_weights = _read_service_weights(action, services)
        self.max_attempts = read_integer(action, "Tries", 1) or 1
        self.home_regions = read_home_regions(action)


def read_hosts(rows: list[Json], services: Mapping[str, Service]) -> dict[bytes, HostRoutes]:
    """Returns the routes by host. A host may be listed more than once, but each of its prefixes only once.

    Raises:
        FieldError: a row is invalid, names a service that is not in `services`, or repeats a prefix of its host.
    """
    hosts: dict[bytes, dict[bytes, Route]] = {}
    first_index = 0
    for index, row in enumerate(rows):
        try:
            check_table(row)
            routes = hosts.setdefault(normalize_host(read_name(row, "Hostname").encode()), {})
            rules = optional_list(row, "Rulebook")
            _add_routes(routes, rules, first_index, services)
            first_index += len(rules)
        except FieldError as error:
            error.add_parent(f"Sockets[{index}]")
            raise
    return {host: HostRoutes(routes, max(map(len, routes), default=0)) for host, routes in hosts.items()}


def _add_routes(
    routes: dict[bytes, Route], rules: list[Json], first_index: int, services: Mapping[str, Service]
) -> None:
    """Adds a rulebook's routes to those of its host; `first_index` is the `Route.index` of the first."""
    for index, rule in enumerate(rules):
        try:
            route = _read_route(check_table(rule), first_index + index, services)
            if routes.setdefault(route.prefix, route) is not route:
                raise FieldError("the host already has a route with this prefix", "MatchesWhen.PathStart")
        except FieldError as error:
            error.add_parent(f"Rulebook[{index}]")
            raise


def _read_route(rule: Mapping[str, Json], index: int, services: Mapping[str, Service]) -> Route:
    request_type = _read_request_type(rule)
    prefix = _read_prefix(rule.get("MatchesWhen"))
    name = rule.get("Name")
    if name is not None and type(name) is not str:
        raise FieldError(f"not a text: {quoted(name)}", "Name")
    public = rule.get("Public")
    if public is not None and type(public) is not bool:
        raise FieldError(f"neither true nor false: {quoted(public)}", "Public")
    action = _read_action(rule.get("ThenDo"), services)
    latency_target_ns = read_duration(rule, "Target") or action.timeout_ns
    if latency_target_ns - action.timeout_ns >= MAX_TARGET_EXCESS_NS:
        raise FieldError("60s or more above GiveUp", "Target")
    return Route(
        index=index,
        prefix=prefix,
        request_type=request_type,
        service_weights=action.service_weights,
        timeout_ns=action.timeout_ns,
        latency_target_ns=latency_target_ns,
        name=name or "",
        priority=read_integer(rule, "Priority", 0),
        public=public or False,
        max_attempts=action.max_attempts,
        home_regions=action.home_regions,
    )


def _read_request_type(rule: Mapping[str, Json]) -> str:
    request_type = rule.get("Type")
    if type(request_type) is not str or request_type not in REQUEST_TYPES:
        reason = "missing" if request_type is None else f"not a type of request: {quoted(request_type)}"
        raise FieldError(reason, "Type")
    return request_type


def _read_prefix(condition: Json) -> bytes:
    prefix = condition.get("PathStart") if type(condition) is dict else None
    if type(prefix) is not str or prefix[:1] != "/" or prefix[-1] != "/" or "?" in prefix:
        reason = "missing" if prefix is None else f"not a path that begins and ends with a slash: {quoted(prefix)}"
        raise FieldError(reason, "MatchesWhen.PathStart")
    return prefix.encode()


def _read_action(action: Json, services: Mapping[str, Service]) -> _Action:
    try:
        return _Action(check_table(action), services)
    except FieldError as error:
        error.add_parent("ThenDo")
        raise


def _read_service_weights(action: Mapping[str, Json], services: Mapping[str, Service]) -> tuple[tuple[str, float], ...]:
    """Returns the (service, weight) pairs with a weight above 0; `Shares` takes precedence over `Service`."""
    shares = action.get("Shares")
    if not shares and (shares is None or action.get("Service")):
        return ((_read_service_name(action, services), 1),)
    if type(shares) is not list:
        raise FieldError(f"not a list: {quoted(shares)}", "Shares")
    weights: dict[str, float] = {}
    for index, share in enumerate(shares):
        try:
            name = _read_service_name(check_table(share), services)
            weights[name] = weights.get(name, 0) + read_number(share, "Weight")
        except FieldError as error:
            error.add_parent(f"Shares[{index}]")
            raise
    if sum(weights.values()) <= 0:
        raise FieldError("the weights sum to 0", "Shares")
    return tuple((name, weight) for name, weight in weights.items() if weight)


def _read_service_name(row: Mapping[str, Json], services: Mapping[str, Service]) -> str:
    name = row.get("Service")
    if type(name) is not str or name not in services:
        raise FieldError("missing" if not name else f"no such service: {quoted(name)}", "Service")
    return name
