"""One service as this proxy serves it: its decisions, its servers and the connections to them.

The decisions are those of a `choice.Node` of its own, which a `DecisionDriver` feeds and whose effects it carries out;
the connections are a `ConnectionPool`. The service pool keeps the two of one mind about the servers.
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
from .request import ProxiedRequest, ServiceLine
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
        """Has no servers yet.

        Args:
            environment: of the proxy; its `draw` seeds the decisions.
            gateway: gives clients their responses.
            health_path: asked by health checks.
            observer: takes the begin and the end of every attempt.
            proxy_count: proxies that share the budgets.
        """
        self.driver = _make_driver(environment, proxy_count)
        self.connection_pool = ConnectionPool(environment, self.driver, health_path, self, observer)
        self.has_server_up = self.connection_pool.any_up  # asked for each request
        self.driver.gateway = gateway
        self.driver.servers = self.connection_pool
        self.driver.start()
        limit_initial_budget(self.driver.node)
        self.open_requests = self.driver.in_flight.transactions.keys()  # a view; equal by their identifiers
        self._endpoints: dict[str, ServerRow] = {}  # what was handed on of each server last
        self._lines: dict[tuple[str, int], ServiceLine] = {}  # by request type and latency target

    @property
    def saved_attempts(self) -> float:
        """Further attempts that this proxy has saved up for the service."""
        saved: float = self.driver.node.saved_retries
        return saved

    def line(self, route: Route) -> ServiceLine:
        """Where requests of the route are taken: one line for each request type and latency target."""
        key = route.request_type, route.latency_target_ns
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = ServiceLine(self.driver, self.driver.add_line(product_of(*key)))
        return line

    # ---- of the servers

    def update(self, endpoints: dict[str, ServerRow]) -> None:
        """`endpoints`, by server id: what holds from now on. What differs is handed on."""
        former = self._endpoints
        changes = [row._replace(state=t.REMOVED) for server_id, row in former.items() if server_id not in endpoints]
        changes += [row for server_id, row in endpoints.items() if former.get(server_id) != row]
        self._endpoints = endpoints
        if changes:
            self.driver.update_servers(False, changes)

    def health_reported(self, server_id: str, healthy: bool) -> None:
        """The fleet found a server healthy or not; of another service's, nothing is known here."""
        index = self.driver.in_flight.servers.find(server_id)
        if index is not None:
            self.driver.post(t.Probed(index, t.DONE if healthy else t.CONNECT_FAILED, 0, {}))

    def server_load_reported(self, index: int, load: Report) -> None:
        """A response says how busy its server is."""
        self.driver.post(t.Probed(index, t.DONE, 0, load))

    def address_reused(self, server_id: str) -> None:
        """Another server has its address: it gets nothing more, until the list has something new of it."""
        if row := self._endpoints.get(server_id):
            self.driver.update_servers(False, [row._replace(state=t.DRAINING)])


def _make_driver(environment: ProxyEnvironment, proxy_count: int) -> DecisionDriver[ProxiedRequest]:
    """The driver of the service's `choice.Node`, whose draws are seeded by one of the process's."""
    return DecisionDriver(
        TimerQueue(environment.loop, environment.clock),
        node_terms(environment.process_settings.guarantees, proxy_count),
        environment.draw.getrandbits(_SEED_BITS),
        environment.limits,
        environment.log,
    )
