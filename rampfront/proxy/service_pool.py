"""One service as this proxy serves it: its decisions, its servers and the connections to them.

The decisions are those of a `choice.Node` of its own, which a `net.desk.Desk` feeds and whose effects it carries out;
the connections are a `ConnectionPool`. The service pool keeps the two of one mind about the servers.
"""

from __future__ import annotations

from collections.abc import Container
from typing import Protocol

from .. import terms as t
from ..choice import Line
from ..net.desk import Desk
from ..settings.configuration import Route
from .attempt_policy import node_terms, product_of
from .budget_shares import limit_initial_budget
from .endpoints import ServiceEndpoint
from .environment import ProxyEnvironment
from .health_observation import ServerObserver
from .request import ProxiedRequest
from .server_connections import ConnectionPool
from .server_response import ServerLoad, ServerResponse

_SEED_BITS = 63
_REMOVED = ServiceEndpoint(t.REMOVED, 0, 0, 1.0, 0, None, 1.0)  # of a server that has left the list


class RequestOutcomes(Protocol):
    """Who gives clients their responses: `request_proxy.RequestProxy`. Called by `Desk`."""

    def settle(self, request: ProxiedRequest, response: ServerResponse, relay: None = None) -> None:
        """A server's response is the request's."""

    def decline(self, request: ProxiedRequest, back_in: int) -> None:
        """No server is to run it any more; `back_in` ns of advice."""

    def void(self, request: ProxiedRequest) -> None:
        """It may have run, and no response will come."""


class ServicePool:
    """One service's decisions (`desk`) and connections (`connection_pool`)."""

    def __init__(
        self,
        environment: ProxyEnvironment,
        outcomes: RequestOutcomes,
        health_path: bytes,
        observer: ServerObserver,
        proxy_count: int,
    ) -> None:
        """Has no servers yet. `health_path`: asked by health checks; `proxy_count`: proxies that share its budgets."""
        self.desk = _make_desk(environment, proxy_count)
        self.connection_pool = ConnectionPool(environment, self.desk, health_path, self, observer)
        self.has_server_up = self.connection_pool.any_up  # asked for each request
        self.desk.core = outcomes
        self.desk.upstream = self.connection_pool
        self.desk.begin()
        limit_initial_budget(self.desk.node)
        self.open_requests: Container[ProxiedRequest] = self.desk.books.txns.of  # by their identifiers
        self._endpoints: dict[str, ServiceEndpoint] = {}  # what was handed on of each server last
        self._product_indices: dict[tuple[str, int], int] = {}  # by a route's kind and target; few

    @property
    def saved_attempts(self) -> float:
        """Further attempts that this proxy has saved up for the service."""
        return self.desk.node.spare

    def product_index(self, route: Route) -> int:
        """The index of the node's product for requests of a route."""
        key = route.request_type, route.latency_target_ns
        index = self._product_indices.get(key)
        if index is None:
            index = self._product_indices[key] = len(self.desk.node.lines)
            self.desk.node.lines.append(Line(product_of(route.request_type, route.latency_target_ns)))
            self.desk.once_only.append(False)
        return index

    # ---- of the servers

    def update(self, endpoints: dict[str, ServiceEndpoint]) -> None:
        """`endpoints`, by server id: what holds from now on. What differs is handed on."""
        changes = [(server_id, *_REMOVED) for server_id in self._endpoints if server_id not in endpoints]
        changes += [
            (server_id, *endpoint)
            for server_id, endpoint in endpoints.items()
            if self._endpoints.get(server_id) != endpoint
        ]
        self._endpoints = endpoints
        if changes:
            self.desk.listed(False, changes)

    def health_reported(self, server_id: str, healthy: bool) -> None:
        """The fleet found a server healthy or not; of another service's, nothing is known here."""
        index = self.desk.books.servers.of.get(server_id)
        if index is not None:
            self.desk.tell(t.Probed(index, t.DONE if healthy else t.UNREACHED, 0, {}))

    def server_load_reported(self, index: int, load: ServerLoad) -> None:
        """A response says how busy its server is."""
        self.desk.tell(t.Probed(index, t.DONE, 0, load))

    def address_reused(self, server_id: str) -> None:
        """Another server has its address: it gets nothing more, until the list has something new of it."""
        if endpoint := self._endpoints.get(server_id):
            self.desk.listed(False, [(server_id, *endpoint._replace(state=t.DRAINING))])


def _make_desk(environment: ProxyEnvironment, proxy_count: int) -> Desk:
    """A desk with the service's `choice.Node`, whose draws are seeded by one of the process's."""
    limits = environment.limits
    return Desk(
        environment.loop,
        environment.clock,
        node_terms(environment.process_settings.guarantees, proxy_count),
        environment.draw.getrandbits(_SEED_BITS),
        (limits.reminder_slack_ns, limits.reminder_slack_divisor),
        environment.log,
    )
