"""Read calls for the operators' tools, which show this node's current state from its own snapshots.

No call changes anything or contacts another node, so a node that is cut off answers them as well. The answer is this
node's own view: `OutOfTouchMs` tells for how long no majority of the core has confirmed it (null: it is in touch). No
API key is shown.

Times are durations in ms, remaining or elapsed, because the clocks of two nodes differ. Lists are paged, so that no
call blocks the event loop for long: `after=ID` continues after an id, and `Next` gives that id (null on the last page).
The names of the answers' fields are defined by the operators (PROTOCOL.md, "The operator"); `COUNTERS_SHOWN` maps the
fields of `Counts` to counters.
"""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING, Any

from ..net.http_messages import error_response, json_response
from ..net.http_routing import endpoint
from ..proxy.slow_start import warm_up_started_at
from .evacuation_view import evacuation_view

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import TypeVar

    from ..membership.endpoint_list import Endpoint
    from ..net.http_messages import IncomingRequest, Response
    from ..proxy.request_proxy import RequestProxy
    from ..quota.limiter import Limiter
    from ..quota.tenant_counts import TenantCounts
    from .node_process import NodeProcess

    T = TypeVar("T")

MS = 10**6
PAGE_ROWS = 500  # maximum rows of an answer
RETRY_SHORTLY = ((b"Retry-After", b"0.3"),)
COUNTERS_SHOWN = {  # field of the answer: counter
    "faults": "faults",
    "stores_failed": "stores_failed",
    "lists_failed": "server_lists_failed",
    "orders_refused": "orders_refused",
    "over_quota": "over_quota",
    "unknown_key": "unknown_key",
    "unknown_route": "unknown_route",
    "no_word": "no_lease",
    "no_server": "no_server",
    "taken": "taken",
    "settled": "settled",
    "declined": "declined",
    "voided": "voided",
    "frames_odd": "frames_invalid",
    "frames_lost": "frames_lost",
}


class StatusViews:
    """The read calls of one node."""

    def __init__(self, node: NodeProcess) -> None:
        """`node`: the node whose state is shown."""
        self._node = node

    @endpoint("POST", "/api/rpc", operation="state.read")
    def state(self, _: IncomingRequest) -> Response:
        """Return the node's identity, its state, and the age of its lease."""
        node = self._node
        settings = node.context.process_settings
        state = node.replicated_state.state
        now = node.context.clock()
        node.core.step_down_if_overdue(now)
        disseminator = node.disseminator
        fields: dict[str, Any] = {
            "Node": settings.name,
            "Ip": settings.ip,
            "Zone": settings.zone,
            "Ready": disseminator.ready,
            "Ending": node.shutdown.in_progress,
            "Disk": node.core.has_member,
            "Leads": disseminator.is_leader,
            "Leader": disseminator.leader,
            "Term": state.term if state else 0,
            "Index": state.index if state else 0,
            "Revision": f"r{state.revision}" if state and state.revision else None,
            "Members": [[name, ip] for name, (ip, _) in sorted(state.members.items())] if state else [],
            "Core": self._core_fields(now),
            "OutsideCoreMs": _to_ms(node.leadership.outside_core_for(now)),
            "Emptied": sorted(state.evacuated_zones) if state else [],
            "Evacuations": [evacuation_view(zone, state) for zone in sorted(state.evacuated_zones)] if state else [],
            "Zones": settings.zones,
            **self._lease_fields(now),
            "Servers": disseminator.endpoints_version,
            "Roster": disseminator.roster_version,
            "Spare": self._retry_budgets(),
            "Counts": {field: node.context.counts[counter] for field, counter in COUNTERS_SHOWN.items()},
        }
        return self._view(fields)

    def _core_fields(self, now: int) -> dict[str, Any] | None:
        """Return what the leader knows about the core's members; None on all other nodes."""
        strength = self._node.core.strength(now)
        if strength is None:
            return None
        return {
            "Wanted": strength.wanted,
            "FullMs": _to_ms(strength.full_for),
            "BelowTargetMs": _to_ms(strength.below_target_for),
            "Members": [{"Name": row.name, "Ip": row.ip, "State": row.condition} for row in strength.members],
        }

    def _lease_fields(self, now: int) -> dict[str, Any]:
        lease = self._node.lease
        age = lease.age(now)
        silent_for = lease.leader_silent_for(now)
        return {
            "WordAgeMs": None if age is None else max(0, age) // MS,
            "LeaseMs": lease.duration // MS,
            "Fresh": lease.is_valid(now),
            "LeaderSilentMs": _to_ms(silent_for),
        }

    def _retry_budgets(self) -> dict[str, float]:
        """Return the retry budget of each service."""
        service_pools = self._node.request_proxy.service_pools
        return {name: round(service_pool.saved_attempts, 1) for name, service_pool in service_pools.items()}

    @endpoint("POST", "/api/rpc", operation="nodes.read")
    def nodes(self, request: IncomingRequest) -> Response:
        """Return the roster. All machines use the same ports (DEPLOY.md), so the ip gives a node's control address."""
        control = self._node.context.process_settings.control
        assert control is not None  # this call arrived at that address
        entries, next_id = page_of(request, self._node.disseminator.roster, attrgetter("name"))
        views = [
            {
                "Name": entry.name,
                "Ip": entry.ip,
                "Zone": entry.zone,
                "Front": entry.front,
                "Control": f"{entry.ip}:{control[1]}",
                "Ready": entry.ready,
            }
            for entry in entries
        ]
        return self._view({"Nodes": views, "Next": next_id})

    @endpoint("POST", "/api/rpc", operation="servers.read")
    def servers(self, request: IncomingRequest) -> Response:
        """Return the server list at this node. `Links`: connections to the server; `of`: shows one service only."""
        request_proxy, now = self._node.request_proxy, self._node.context.clock()
        servers = request_proxy.servers
        if servers is None:
            return error_response(503, "no list of servers has come to this node yet", RETRY_SHORTLY)
        service = request.query.get("of")
        matching = [row for row in servers.endpoints if service in (None, row.service)]
        rows, next_id = page_of(request, matching, attrgetter("id"))
        connection_counts = open_connections(request_proxy)
        views = [server_view(request_proxy, row, connection_counts, now) for row in rows]
        changed_ms = max(0, now - servers.read_at_ns) // MS
        return self._view({"Servers": views, "ChangedMs": changed_ms, "Next": next_id})

    @endpoint("POST", "/api/rpc", operation="quotas.read")
    def quotas(self, request: IncomingRequest) -> Response:
        """Return this node's counts for the tenants with a quota; `AskedPerS` is the rate at all nodes."""
        quota_exchange, now = self._node.quota_exchange, self._node.context.clock()
        limiter = quota_exchange.limiter
        rows, next_id = page_of(request, limiter.tenants.values(), attrgetter("name"))
        is_isolated = limiter.is_isolated(now)
        views = [tenant_view(limiter, row, now) for row in rows]
        counter_ip = quota_exchange.placement.counter_ip
        return self._view({"Holder": counter_ip, "Alone": is_isolated, "Quotas": views, "Next": next_id})

    def _view(self, fields: dict[str, Any]) -> Response:
        """Return an answer with the given fields, and for how long the node has been out of touch."""
        out_of_touch_for = self._node.lease.out_of_touch_for(self._node.context.clock())
        return json_response({**fields, "OutOfTouchMs": _to_ms(out_of_touch_for)})


def _to_ms(duration_ns: int | None) -> int | None:
    return None if duration_ns is None else duration_ns // MS


def page_of(request: IncomingRequest, rows: Iterable[T], id_of: Callable[[T], str]) -> tuple[list[T], str | None]:
    """Return at most PAGE_ROWS rows after the query's id `after`, and the id to continue after, if there are more."""
    after = request.query.get("after", "")
    remaining = sorted([row for row in rows if id_of(row) > after], key=id_of)
    page = remaining[:PAGE_ROWS]
    return page, id_of(page[-1]) if len(remaining) > PAGE_ROWS else None


def open_connections(request_proxy: RequestProxy) -> dict[str, int]:
    """Return the number of this node's connections to each server, by server id."""
    return {
        server.uid: server.connections
        for service_pool in request_proxy.service_pools.values()
        for server in service_pool.connection_pool.servers.values()
    }


def server_view(
    request_proxy: RequestProxy, row: Endpoint, connection_counts: dict[str, int], now: int
) -> dict[str, Any]:
    """Return the view of a server."""
    return {
        "Id": row.id,
        "Service": row.service,
        "Address": f"{row.host}:{row.port}",
        "Zone": row.zone,
        "Capacity": row.capacity,
        "State": row.state,
        "Emptied": row.zone in request_proxy.evacuated_zones,
        "ColdMs": slow_start_remaining(request_proxy, row, now) // MS,
        "Links": connection_counts.get(row.id, 0),
    }


def slow_start_remaining(request_proxy: RequestProxy, row: Endpoint, now: int) -> int:
    """Return the ns until the server's slow start ends, which the list or a restored zone has started."""
    configuration = request_proxy.configuration
    service = configuration.services.get(row.service) if configuration else None
    if service is None:
        return max(0, row.warming_until_ns - now)
    started_at = warm_up_started_at(row, service, request_proxy.reopened_zones.get(row.zone), now)
    return started_at + service.warmup - now if started_at else 0


def tenant_view(limiter: Limiter, row: TenantCounts, now: int) -> dict[str, Any]:
    """Return the view of a tenant's quota."""
    return {
        "Tenant": row.name,
        "PerS": row.quota.per_s,
        "Burst": row.quota.burst,
        "Left": round(limiter.available(row, now), 1),
        "AskedPerS": round(row.requested_per_s, 1),
        "Own": window_count(limiter, row, row.current.own, now),
        "Others": window_count(limiter, row, row.current.others, now),
    }


def window_count(limiter: Limiter, row: TenantCounts, count: float, now: int) -> int:
    """Return the count if it belongs to the current window, else 0: an idle tenant's counts are of an older window."""
    return round(count) if limiter.in_present_window(row, now) else 0
