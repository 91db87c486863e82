"""One service in this proxy: its decisions, its servers and the connections to them.

Each service has its own `choice.Node`; a `DecisionDriver` passes it its inputs and carries out its effects. The
connections are in a `ConnectionPool`. The service pool keeps the servers of both consistent.
"""

from __future__ import annotations

from .. import terms as t
from ..net.decision_driver import DecisionDriver
from ..net.decision_ports import Gateway, ServerRow
from ..net.server_response import Report
from ..net.timers import TimerQueue
from ..settings.configuration import Route
from .attempt_policy import node_terms, product_of
from .budget_shares import limit_initial_budget
from .environment import ProxyEnvironment
from .health_observation import ServerObserver
from .request import ProductHandle, ProxiedRequest
from .server_connections import ConnectionPool

_SEED_BITS = 63


class ServicePool:
    """One service's decisions (`driver`) and connections (`connection_pool`)."""

    def __init__(
        self,
        environment: ProxyEnvironment,
        gateway: Gateway[ProxiedRequest],
        health_path: bytes,
        observer: ServerObserver,
        proxy_count: int,
    ) -> None:
        """Starts without servers.

        Args:
            environment: the proxy's dependencies; its `rng` seeds the decisions.
            gateway: sends clients their responses.
            health_path: the path that health checks request.
            observer: is notified of the start and the end of every attempt.
            proxy_count: the number of proxies that share the budgets.
        """
        self.driver = _make_driver(environment, proxy_count)
        self.connection_pool = ConnectionPool(environment, self.driver, health_path, self, observer)
        self.has_server_up = self.connection_pool.any_up  # a direct reference, because it is called for each request
        self.driver.gateway = gateway
        self.driver.servers = self.connection_pool
        self.driver.start()
        limit_initial_budget(self.driver.node)
        # A live view; requests compare equal by identifier.
        self.open_requests = self.driver.in_flight.transactions.keys()
        self._endpoints: dict[str, ServerRow] = {}  # each server's state as last passed to the driver
        self._product_handles: dict[tuple[str, int], ProductHandle] = {}  # by request type and latency target

    @property
    def saved_attempts(self) -> float:
        """The retries and hedges that this proxy has saved up for the service."""
        saved: float = self.driver.node.saved_retries
        return saved

    def product_handle(self, route: Route) -> ProductHandle:
        """The handle for requests of the route: there is one for each request type and latency target."""
        key = route.request_type, route.latency_target_ns
        handle = self._product_handles.get(key)
        if handle is None:
            handle = self._product_handles[key] = ProductHandle(self.driver, self.driver.add_line(product_of(*key)))
        return handle

    # ---- servers

    def update(self, endpoints: dict[str, ServerRow]) -> None:
        """Replaces the servers by `endpoints`, by server id, and passes the differences to the driver."""
        former = self._endpoints
        changes = [row._replace(state=t.REMOVED) for server_id, row in former.items() if server_id not in endpoints]
        changes += [row for server_id, row in endpoints.items() if former.get(server_id) != row]
        self._endpoints = endpoints
        if changes:
            self.driver.update_servers(False, changes)

    def health_reported(self, server_id: str, healthy: bool) -> None:
        """Applies the fleet's verdict on a server; servers of other services are ignored."""
        index = self.driver.in_flight.servers.find(server_id)
        if index is not None:
            self.driver.post(t.Probed(index, t.DONE if healthy else t.CONNECT_FAILED, 0, {}))

    def server_load_reported(self, index: int, load: Report) -> None:
        """Passes the load that a server reported to the decisions."""
        self.driver.post(t.Probed(index, t.DONE, 0, load))

    def address_reused(self, server_id: str) -> None:
        """Stops requests to a server whose address was reassigned, until the server list changes its entry."""
        if row := self._endpoints.get(server_id):
            self.driver.update_servers(False, [row._replace(state=t.DRAINING)])


def _make_driver(environment: ProxyEnvironment, proxy_count: int) -> DecisionDriver[ProxiedRequest]:
    """Creates the driver of the service's `choice.Node`, whose random generator is seeded from the process's."""
    return DecisionDriver(
        TimerQueue(environment.loop, environment.clock),
        node_terms(environment.process_settings.guarantees, proxy_count),
        environment.rng.getrandbits(_SEED_BITS),
        environment.limits,
        environment.log,
    )
