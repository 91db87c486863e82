"""One service as this proxy serves it: its decisions, its servers and the connections to them.

The decisions are those of a `choice.Node` of its own, which a `net.decision_driver.DecisionDriver` feeds and whose
effects it carries out; the connections are a `ConnectionPool`. The service pool keeps the two of one mind about the
servers.
"""

from __future__ import annotations

from collections.abc import Container
from typing import Protocol

from .. import terms as t
from ..net.decision_driver import DecisionDriver
from ..net.decision_ports import ServerRow
from ..net.timers import TimerQueue
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
    """Who gives clients their responses: `request_proxy.RequestProxy`. Called by the `DecisionDriver`."""

    def complete(self, request: ProxiedRequest, response: ServerResponse, stream: None = None) -> None:
        """A server's response is the request's."""

    def decline(self, request: ProxiedRequest, back_in: int) -> None:
        """No server is to run it any more; `back_in` ns of advice."""

    def void(self, request: ProxiedRequest) -> None:
        """It may have run, and no response will come."""


class ServicePool:
    """One service's decisions (`driver`) and connections (`connection_pool`)."""

    def __init__(
        self,
        environment: ProxyEnvironment,
        outcomes: RequestOutcomes,
        health_path: bytes,
        observer: ServerObserver,
        proxy_count: int,
    ) -> None:
        """Has no servers yet. `health_path`: asked by health checks; `proxy_count`: proxies that share its budgets."""
        self.driver = _make_driver(environment, proxy_count)
        self.connection_pool = ConnectionPool(environment, self.driver, health_path, self, observer)
        self.has_server_up = self.connection_pool.any_up  # asked for each request
        self.driver.gateway = outcomes
        self.driver.servers = self.connection_pool
        self.driver.start()
        limit_initial_budget(self.driver.node)
        self.open_requests: Container[ProxiedRequest] = self.driver.in_flight.transactions  # by their identifiers
        self._endpoints: dict[str, ServiceEndpoint] = {}  # what was handed on of each server last
        self._product_indices: dict[tuple[str, int], int] = {}  # by a route's kind and target; few

    @property
    def saved_attempts(self) -> float:
        """Further attempts that this proxy has saved up for the service."""
        return self.driver.node.spare

    def product_index(self, route: Route) -> int:
        """The index of the node's product for requests of a route."""
        key = route.request_type, route.latency_target_ns
        index = self._product_indices.get(key)
        if index is None:
            index = self._product_indices[key] = self.driver.add_line(
                product_of(route.request_type, route.latency_target_ns)
            )
        return index

    # ---- of the servers

    def update(self, endpoints: dict[str, ServiceEndpoint]) -> None:
        """`endpoints`, by server id: what holds from now on. What differs is handed on."""
        changes = [ServerRow(server_id, *_REMOVED) for server_id in self._endpoints if server_id not in endpoints]
        changes += [
            ServerRow(server_id, *endpoint)
            for server_id, endpoint in endpoints.items()
            if self._endpoints.get(server_id) != endpoint
        ]
        self._endpoints = endpoints
        if changes:
            self.driver.update_servers(False, changes)

    def health_reported(self, server_id: str, healthy: bool) -> None:
        """The fleet found a server healthy or not; of another service's, nothing is known here."""
        index = self.driver.in_flight.servers.find(server_id)
        if index is not None:
            self.driver.post(t.Probed(index, t.DONE if healthy else t.UNREACHED, 0, {}))

    def server_load_reported(self, index: int, load: ServerLoad) -> None:
        """A response says how busy its server is."""
        self.driver.post(t.Probed(index, t.DONE, 0, load))

    def address_reused(self, server_id: str) -> None:
        """Another server has its address: it gets nothing more, until the list has something new of it."""
        if endpoint := self._endpoints.get(server_id):
            self.driver.update_servers(False, [ServerRow(server_id, *endpoint._replace(state=t.DRAINING))])


def _make_driver(environment: ProxyEnvironment, proxy_count: int) -> DecisionDriver[ProxiedRequest]:
    """A driver with the service's `choice.Node`, whose draws are seeded by one of the process's."""
    return DecisionDriver(
        TimerQueue(environment.loop, environment.clock),
        node_terms(environment.process_settings.guarantees, proxy_count),
        environment.draw.getrandbits(_SEED_BITS),
        environment.limits,
        environment.log,
    )
