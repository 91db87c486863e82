"""A configuration as the system uses it: an immutable snapshot that `configuration_reader` builds for each revision.

A node replaces the whole `Configuration` at once. It finds the route of a request by host and longest path prefix, and
a customer by API key. Both use dictionary look-ups alone, since they happen for every request.

Durations are in ns. `key` is a field's name in the configuration on the wire (PROTOCOL.md) where it differs from the
attribute's name. The reference page (docs/system/reference.md) is generated from these descriptions.
"""

from .field_types import Duration, Integer, Real, UrlPath, described, frozen
from .scalars import SEC

EVERY_REGION: frozenset[str] = frozenset()  # home regions where none are named: all may serve


@frozen
class Caps:
    """Limits on the size of requests, and on how long a client may take to send one or stay idle; 0: the default."""

    header_bytes: Integer = described("size limit of a request's head", default=16384)
    body_bytes: Integer = described("size limit of a request's body", default=67108864)
    header_wait: Duration = described("time limit for a request's head", default=3 * SEC)
    idle: Duration = described("idle time-out between requests on a connection", default=15 * SEC)


@frozen
class Service:
    """A service (`Groups[]`): the properties that all its servers share."""

    name: str = described("the name that routes and the list of servers use")
    health_path: UrlPath = described("path of the health check", default=UrlPath(b"/health"))
    max_conns: Integer = described("limit of connections to one server, of all nodes together; 0: none", default=0)
    warmup: Duration = described("slow start: how long a server that was started counts as cold", default=0)
    cold_per_s: Real = described(
        "slow start: rate limit of a cold server, in requests per second; 0: none", default=0.0
    )


@frozen
class Customer:
    """A customer (tenant), with its API keys and its quota."""

    name: str = described("the name that servers get in the header `Customer`", key="Name")
    api_keys: tuple[bytes, ...] = described(
        "keys that authenticate its clients; none may belong to another customer",
        key="ApiKeys",
        shape="list of text",
        default=(),
    )
    priority: int = described("compared before the priority of the route; 0 is the highest", key="Priority", default=0)
    per_s: float = described(
        "quota: requests per second, at all nodes together; 0: no quota", key="PerS", shape="number", default=0.0
    )
    burst: float = described(
        "quota: requests that may come at once above that rate", key="Burst", shape="number", default=0.0
    )
    home_regions: frozenset[str] = described(
        "regions that may serve it; none: all", key="HomeRegions", shape="list of text", default=EVERY_REGION
    )


@frozen
class Route:
    """A route (`Sockets[].Rulebook[]`). `index` is its position among all routes of the configuration, from 0."""

    index: int
    prefix: bytes = described(
        "prefix of the path; begins and ends with a slash, and is unique within its host",
        key="MatchesWhen.PathStart",
        shape="text",
    )
    request_type: str = described("`read_only`, `changing` or `upload`", key="Type")
    service_weights: tuple[tuple[str, float], ...] = described(
        "services and their weights; weights of 0 are dropped, and their sum must be above 0",
        key="ThenDo.Service` or `ThenDo.Shares[].{Service,Weight}",
        shape="text or list",
    )
    timeout_ns: int = described("time-out of a request; above 0", key="ThenDo.GiveUp", shape="duration")
    latency_target_ns: int = described(
        "latency target (SLO); less than 60s above `GiveUp`; absent or 0: `GiveUp`",
        key="Target",
        shape="duration",
        default=0,
    )
    name: str = described("shown to operators", key="Name", default="")
    priority: int = described("0 is the highest", key="Priority", default=0)
    public: bool = described("no API key is required", key="Public", default=False)
    max_attempts: int = described("limit of attempts for one request; 0 counts as 1", key="ThenDo.Tries", default=1)
    home_regions: frozenset[str] = described(
        "regions that may serve it; none: all", key="ThenDo.HomeRegions", shape="list of text", default=EVERY_REGION
    )


@frozen
class HostRoutes:
    """The routes of one host by prefix; `longest_prefix` (bytes) bounds the part of a path that a look-up reads."""

    routes: dict[bytes, Route]
    longest_prefix: int


@frozen
class Configuration:
    """One revision of the configuration."""

    revision: int
    caps: Caps
    services: dict[str, Service]  # by name
    customers_by_key: dict[bytes, Customer]
    customers_by_name: dict[str, Customer]
    requires_key: bool  # customers are configured, so routes that are not public require an API key
    hosts: dict[bytes, HostRoutes]  # by host, as `normalize_host` returns it

    def route(self, host: bytes, path: bytes) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        `host` is the `Host` header and `path` the request target, both as received. A query string in the target does
        not affect the match, since no prefix contains a question mark. The number of look-ups is bounded by the length
        of the longest prefix in bytes, however many slashes the path has.
        """
        host_routes = self.hosts.get(host) or self.hosts.get(normalize_host(host))
        if host_routes is None:
            return None
        routes = host_routes.routes
        end = host_routes.longest_prefix
        while end := path.rfind(b"/", 0, end) + 1:  # from the longest possible prefix down to "/"
            route = routes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None

    def customer(self, api_key: bytes) -> Customer | None:
        """Returns the customer that has the API key, or None."""
        return self.customers_by_key.get(api_key)


def revokes_keys(old: Configuration | None, new: Configuration) -> bool:
    """Returns whether `new` removes an API key or gives it to another customer. Every node has to know of such a change
    before it takes effect."""
    if old is None:
        return False
    for key, customer in old.customers_by_key.items():
        successor = new.customers_by_key.get(key)
        if successor is None or successor.name != customer.name:
            return True
    return False


def normalize_host(host: bytes) -> bytes:
    """Returns a `Host` header in the form that keys `hosts`: lower case, no port, no closing dot (RFC 9110, 7.2)."""
    host = host.strip().lower()
    colon = host.rfind(b":")
    name = host[:colon]
    port = host[colon + 1 :]
    if colon >= 0 and (port.isdigit() or not port) and (b":" not in name or name.endswith(b"]")):
        host = name
    return host.removesuffix(b".")
