"""Explains how a request would be handled: `explain` follows the steps of `proxy/request_proxy.py` in one node's view.

It never sends the request and reads no clock. Whether the quota admits the request depends on the time of its arrival,
so the explanation only has the rest of the quota. `choice.py` decides which of the eligible servers gets the request.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple
from urllib.parse import urlsplit

from ..settings.configuration import Configuration, Customer, HostRoutes, Route, normalize_host
from .control_answers import Json
from .errors import InvalidInputError
from .formatting import format_duration

NS_PER_MS = 10**6
MAX_LISTED_NAMES = 8
REQUEST_TYPE_MEANINGS = {
    "read_only": "may run more than once",
    "changing": "runs at most once a try",
    "upload": "large body; runs at most once a try",
}


def split_url(url: str) -> tuple[bytes, bytes]:
    """Returns host and path of a URL with or without its scheme. Raises `InvalidInputError`."""
    try:
        parts = urlsplit(url if "://" in url else "http://" + url)
        host = parts.netloc.encode("ascii" if parts.netloc.isascii() else "idna")
    except ValueError as error:
        raise InvalidInputError(f"URL: {url!r} is none: {error}") from None
    if not host:
        raise InvalidInputError(f"URL: {url!r} has no host; write it as in http://shop.example/read/1")
    return host, parts.path.encode() or b"/"


class NodeView(NamedTuple):
    """One node's view: its answers to `state.read`, `servers.read` and `quotas.read`."""

    state: Json
    servers: list[Json]
    quotas: list[Json]


class _Explanation:
    """Builds the document of `explain --json`. The first rejection determines the status and its reason; the fields of
    later steps are filled in regardless."""

    def __init__(self, host: bytes, path: bytes, node: str, revision: int) -> None:
        self.document: Json = {
            "Host": normalize_host(host).decode("ascii"),
            "Path": path.decode(),
            "Node": node,
            "Revision": f"r{revision}",
            "Route": None,
            "Tenant": None,
            "Quota": None,
            "Zones": None,
            "Services": [],
            "Status": None,
            "Why": "",
            "WayOut": "",
        }

    @property
    def is_rejected(self) -> bool:
        """Whether the request would be answered without reaching a server."""
        return self.document["Status"] is not None

    def reject(self, status: int, reason: str, hint: str = "") -> None:
        """Sets the status and the reason, unless an earlier step has rejected the request."""
        if not self.is_rejected:
            self.document["Status"] = status
            self.document["Why"] = reason
            self.document["WayOut"] = hint


def explain(configuration: Configuration, view: NodeView, url: str, api_key: str = "") -> Json:
    """Returns the document of `explain --json` for a request with this key, or without one.

    Raises `InvalidInputError` for an invalid URL.
    """
    host, path = split_url(url)
    state = view.state
    explanation = _Explanation(host, path, state["Node"], configuration.revision)
    document = explanation.document
    _check_lease(explanation, state)
    route = configuration.route(host, path)
    if route is None:
        explanation.reject(404, *_no_route(configuration, host))
        return document
    document["Route"] = _describe_route(route)
    customer = _authenticate(explanation, configuration, route, api_key)
    zones = _allowed_zones(state["Zones"], route.home_regions, customer.home_regions if customer else frozenset())
    document["Zones"] = sorted(zones)
    document["Services"] = _describe_services(route, view.servers, zones, state.get("Spare", {}))
    unavailable = _check_servers(explanation)
    _check_quota(explanation, customer, view.quotas)
    if not explanation.is_rejected:
        document["Why"] = _destination(document["Services"], unavailable)
    return document


def _check_lease(explanation: _Explanation, state: Json) -> None:
    if state["Fresh"]:
        return
    explanation.reject(
        503,
        f"{state['Node']} is out of touch with the core (its word is {format_duration(state['WordAgeMs'])} old, and "
        f"binds for {format_duration(state['LeaseMs'])}): it lets nothing run",
        "status shows whom the core still reaches",
    )


def _no_route(configuration: Configuration, host: bytes) -> tuple[str, str]:
    """Returns the reason and the hint for a request without a matching route."""
    normalized = normalize_host(host)
    host_routes: HostRoutes | None = configuration.hosts.get(normalized)
    if host_routes is None:
        hosts = sorted(name.decode() for name in configuration.hosts)
        return f"no host {normalized.decode()}", "hosts there are: " + _enumerate(hosts)
    prefixes = sorted(prefix.decode() for prefix in host_routes.routes)
    return "no route of this host begins the path", "prefixes there are: " + _enumerate(prefixes)


def _enumerate(names: list[str]) -> str:
    rest = len(names) - MAX_LISTED_NAMES
    return (", ".join(names[:MAX_LISTED_NAMES]) + (f" and {rest} more" if rest > 0 else "")) or "none"


def _describe_route(route: Route) -> Json:
    return {
        "Name": route.name,
        "PathStart": route.prefix.decode(),
        "Type": route.request_type,
        "Means": REQUEST_TYPE_MEANINGS[route.request_type],
        "Priority": route.priority,
        "Public": route.public,
        "TargetMs": route.latency_target_ns // NS_PER_MS,
        "GiveUpMs": route.timeout_ns // NS_PER_MS,
        "Tries": route.max_attempts,
        "HomeRegions": sorted(route.home_regions),
    }


def _authenticate(explanation: _Explanation, configuration: Configuration, route: Route, key: str) -> Customer | None:
    """Returns the customer that has the key; rejects the request if there is none and the route requires one."""
    if not configuration.requires_key:
        return None
    customer = configuration.customer(key.encode()) if key else None
    if customer is not None:
        explanation.document["Tenant"] = {
            "Name": customer.name,
            "Priority": customer.priority,
            "HomeRegions": sorted(customer.home_regions),
        }
    elif not route.public:
        if key:
            reason = "no tenant has this key"
            hint = "show lists the tenants; a newer version may have taken the key away"
        else:
            reason = "the route is not public, and no key is shown"
            hint = "name one of a tenant's ApiKeys with --key"
        explanation.reject(401, reason, hint)
    return customer


def _allowed_zones(zones: Mapping[str, str], *home_regions: frozenset[str]) -> set[str]:
    """Returns the zones that every set of home regions allows; an empty set allows all zones."""
    return {zone for zone, region in zones.items() if all(not regions or region in regions for regions in home_regions)}


def _describe_services(
    route: Route, server_rows: list[Json], zones: set[str], saved_retries: Mapping[str, float]
) -> list[Json]:
    """The services that the route goes to, each with its servers."""
    total = sum(weight for _, weight in route.service_weights)
    services = []
    for name, weight in route.service_weights:
        rows = [_describe_server(row, zones) for row in server_rows if row["Service"] == name]
        services.append(
            {
                "Service": name,
                "Share": round(weight / total, 4),
                "Servers": rows,
                "Spare": saved_retries.get(name),  # nodes of earlier versions do not tell
                "May": sum(row["MayGet"] for row in rows),
            }
        )
    return services


def _describe_server(row: Json, zones: set[str]) -> Json:
    reason = _exclusion_reason(row, zones)
    return {
        "Id": row["Id"],
        "Address": row["Address"],
        "Zone": row["Zone"],
        "MayGet": not reason,
        "Why": reason,
        "ColdMs": row["ColdMs"],
    }


def _exclusion_reason(row: Json, zones: set[str]) -> str:
    """Returns why the server gets no new request, or an empty text if it does."""
    if row["Zone"] not in zones:
        return "outside the home regions"
    if row["Emptied"]:
        return "its zone is emptied"
    return "" if row["State"] == "ready" else "it is emptying"


def _check_servers(explanation: _Explanation) -> list[str]:
    """Returns the services without an eligible server; rejects the request if no service has one."""
    services = explanation.document["Services"]
    unavailable = [service["Service"] for service in services if not service["May"]]
    if len(unavailable) == len(services):
        explanation.reject(
            503,
            f"no server of {', '.join(unavailable)} may get it",
            "servers tells the state and zone of each; return takes a zone back",
        )
    return unavailable


def _check_quota(explanation: _Explanation, customer: Customer | None, quota_rows: Iterable[Json]) -> None:
    if customer is None:
        return
    quota = next((row for row in quota_rows if row["Tenant"] == customer.name), None)
    if not quota:
        return
    explanation.document["Quota"] = quota
    if quota["Left"] < 1:
        explanation.reject(
            429,
            f"{customer.name} has {quota['Left']:g} of its quota left ({quota['PerS']:g}/s, burst "
            f"{quota['Burst']:g}); all nodes are asked for {quota['AskedPerS']:g}/s",
            "it refills by its PerS; a newer version with a higher PerS or Burst holds at once",
        )


def _destination(services: list[Json], unavailable: list[str]) -> str:
    """Returns a text on the services and servers that may get an admitted request."""
    text = f"goes to one of {sum(service['May'] for service in services)} servers"
    if len(services) > 1:
        largest = max(services, key=_share)
        text += f", mostly of {largest['Service']}"
    eligible = [row for service in services for row in service["Servers"] if row["MayGet"]]
    if all(row["ColdMs"] for row in eligible):
        text += ", all of them cold: what goes beyond their services' ColdPerS gets 503, come back"
    if unavailable:
        text += f"; 503 where its share falls to {', '.join(unavailable)}, of which no server may get it"
    return text


def _share(service: Json) -> float:
    return float(service["Share"])
