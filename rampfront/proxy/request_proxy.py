"""The proxy of one process: a request in, its one response out, by the snapshots that hold at that moment.

It owns the snapshots (configuration, server list, evacuations, number of proxies) and a `ServicePool` for each
service. It must never choose a server (`choice.py` does) nor judge a quota by itself (the limiter does).

Two others call it. `ClientFront`, the clients' side, calls `handle_request` and `left`. The `DecisionDriver` of each
service, the decisions' side, calls `complete`, `decline` and `void`, exactly one of them for each request whose client
has not gone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from .. import terms as t
from ..membership.health_reporter import HealthReporter
from ..membership.server_health import HEALTHY
from ..net.http_status import HttpStatusError
from ..net.latency_histogram import LatencyHistogram
from ..settings.scalars import MS
from . import admission, outcomes
from .attempt_policy import READ_ONLY
from .budget_shares import set_budgets
from .endpoints import Zones, endpoints_by_service
from .health_observation import ServerObserver
from .locality import distance_exponent
from .outcomes import RequestRejectedError
from .priorities import PriorityRanks
from .request import ProxiedRequest, ReceivedRequest, RequestingClient
from .request_head import build_request_head
from .routing import HomeZones, pick_service
from .service_pool import ServicePool

if TYPE_CHECKING:
    from ..membership.endpoint_list import EndpointList
    from ..quota.limiter import Limiter
    from ..settings.configuration import Configuration, Customer, Route
    from .environment import ProxyEnvironment
    from .server_response import ServerResponse

_ALMOST_DUE_NS = 3 * MS  # as near to the deadline as the margin of `choice.py` lets a request wait
_NO_PLAN = 0  # the one plan of `attempt_policy.node_terms`
_ONE_ACCOUNT = "all"  # `choice.py` counts no accounts here
_ONE_UNIT = 1
_ONE_NODE = 1


class RequestProxy:
    """Takes requests and gives each its response."""

    def __init__(self, environment: ProxyEnvironment, limiter: Limiter, is_fresh: Callable[[int], bool]) -> None:
        """`limiter`: judges the customers' quotas; `is_fresh(now)`: whether the core confirmed the configuration lately
        enough for requests to go by it."""
        self.environment = environment
        self.clock = environment.clock
        self.counts = environment.log.counts
        self.limiter = limiter
        self.is_fresh = is_fresh
        self._on_quota_used: Callable[[], None] = _do_nothing
        # The snapshots.
        self.configuration: Configuration | None = None
        self.servers: EndpointList | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self.reopened_zones: dict[str, int] = {}  # when the last evacuation of a zone ended
        self.proxy_count = 1
        # What follows from them.
        self._priority_ranks: PriorityRanks | None = None
        self._home_zones = HomeZones(environment.process_settings.zones)
        self.service_pools: dict[
            str, ServicePool
        ] = {}  # of all configurations so far: a service that returns has its own
        # What is observed.
        self.health_reporter = HealthReporter()
        self._observer = ServerObserver(self.health_reporter)
        self.request_durations = LatencyHistogram()  # from a whole request to its response
        self.response_durations = self._observer.response_durations

    def call_on_quota_use(self, callback: Callable[[], None]) -> None:
        """Calls back behind each use of a quota: the limiter may have a message to send."""
        self._on_quota_used = callback

    def sweep(self) -> None:
        """Closes connections to servers that are idle or late."""
        for service_pool in self.service_pools.values():
            service_pool.connection_pool.sweep()

    # ---- snapshots

    def apply_configuration(self, configuration: Configuration) -> None:
        """Every request from now on goes by this configuration."""
        self.configuration = configuration
        self._home_zones.clear()
        self._priority_ranks = PriorityRanks(configuration)
        self.limiter.set_quotas(configuration.customers_by_name, self.clock())
        self.update_endpoints()

    def apply_server_list(self, servers: EndpointList) -> None:
        """The platform's list has changed."""
        self.servers = servers
        self.update_endpoints()

    def apply_evacuations(self, evacuated_zones: frozenset[str]) -> None:
        """`evacuated_zones`, by name: their servers get nothing new. Servers of one that is no longer evacuated may
        have become cold, so they begin a slow start."""
        now = self.clock()
        for zone in self.evacuated_zones - evacuated_zones:
            self.reopened_zones[zone] = now
        self.evacuated_zones = evacuated_zones
        self.update_endpoints()

    def apply_proxy_count(self, proxy_count: int) -> None:
        """So many proxies share the budgets and the quotas."""
        if proxy_count != self.proxy_count:
            self.proxy_count = proxy_count
            self.limiter.set_proxy_count(proxy_count)
            self._share_budgets()

    def apply_health_reports(self, rows: object) -> None:
        """Servers that the fleet found silent, failing, or healthy again. Raises ValueError for what is no report."""
        for server_id, state in self.health_reporter.accept_verdicts(rows, self.clock()):
            for service_pool in self.service_pools.values():
                service_pool.health_reported(server_id, state == HEALTHY)

    def update_endpoints(self) -> None:
        """Hands every service the servers that the snapshots together leave it."""
        if self.configuration is None or self.servers is None:
            return
        endpoints = endpoints_by_service(
            self.configuration,
            self.servers,
            Zones(self._home_zones.zone_index, self.evacuated_zones, self.reopened_zones),
            self.environment.process_settings,
            self.clock(),
        )
        self._add_service_pools(self.configuration)
        self._share_budgets()
        for name, service_pool in self.service_pools.items():
            service_pool.update(endpoints.get(name, {}))

    def _add_service_pools(self, configuration: Configuration) -> None:
        for name, service in configuration.services.items():
            if name not in self.service_pools:
                self.service_pools[name] = ServicePool(
                    self.environment, self, service.health_path, self._observer, self.proxy_count
                )

    def _share_budgets(self) -> None:
        """Sets this proxy's parts of the fleet's budgets."""
        if self.configuration is None:
            return
        guarantees = self.environment.process_settings.guarantees
        for name, service_pool in self.service_pools.items():
            if service := self.configuration.services.get(name):
                set_budgets(service_pool.driver.node, guarantees, service, self.proxy_count)

    def ready(self) -> bool:
        """Whether requests can be served: the configuration is fresh, and a server is up."""
        return (
            self.configuration is not None
            and self.is_fresh(self.clock())
            and any(service_pool.has_server_up() for service_pool in self.service_pools.values())
        )

    # ---- requests; called by the front

    def handle_request(self, client: RequestingClient, received: ReceivedRequest) -> None:
        """Admits a request and has a server looked for, or responds at once.

        Raises `HttpStatusError` for one that cannot be followed; then nothing was begun."""
        now = self.clock()
        try:
            configuration = self._configuration_in_force(now)
            try_id = admission.check_try_id(received.header)
            route = admission.find_route(configuration, received)
            customer = admission.authenticate(configuration, route, received.header)
            time_left_ns = admission.time_left_ns(received.header, route, self.environment.limits.answer_margin_ns)
            service_pool = self._pick_service_pool(route, time_left_ns)
            self._use_quota(customer, now)
        except RequestRejectedError as rejection:
            self.counts[rejection.response.counter] += 1
            client.respond(rejection.response)
            return
        head = build_request_head(received, customer)
        request = ProxiedRequest(client, try_id, head, received.body, service_pool.product_index(route))
        request.admit(service_pool.driver, customer, now, now + time_left_ns, once_only=route.request_type != READ_ONLY)
        self._check_not_open(request, now)
        client.accepted(request)
        self._begin(request, route, time_left_ns)

    def left(self, request: ProxiedRequest) -> None:
        """The client is gone, or sent what cannot be followed: all that hangs on its request is cancelled."""
        request.cancel()

    def _configuration_in_force(self, now: int) -> Configuration:
        """Guards revocations and routes: a proxy that does not know what is in force lets nothing run, and says so."""
        if self.configuration is None or not self.is_fresh(now):
            raise RequestRejectedError(outcomes.NO_CONFIGURATION)
        return self.configuration

    def _pick_service_pool(self, route: Route, time_left_ns: int) -> ServicePool:
        service_pool = self.service_pools.get(pick_service(route.service_weights, self.environment.draw))
        if time_left_ns <= 0 or service_pool is None or not service_pool.has_server_up():
            raise RequestRejectedError(outcomes.NO_SERVER)
        return service_pool

    def _use_quota(self, customer: Customer | None, now: int) -> None:
        if customer is None:
            return
        retry_after_ns = self.limiter.take(customer.name, now)
        self._on_quota_used()
        if retry_after_ns is not None:
            raise RequestRejectedError(outcomes.OVER_QUOTA._replace(retry_after_ns=retry_after_ns))

    def _check_not_open(self, request: ProxiedRequest, now: int) -> None:
        """Guards against a second run of a try whose first one is under way, be it at another service of a route in
        shares."""
        for service_pool in self.service_pools.values():
            if request in service_pool.open_requests:
                self._return_quota(request.customer, now)
                raise HttpStatusError(409, "its Try-Id is open")

    def _return_quota(self, customer: Customer | None, now: int) -> None:
        """A request that was not executed does not use the quota."""
        if customer:
            self.limiter.refund(customer.name, now)

    def _begin(self, request: ProxiedRequest, route: Route, time_left_ns: int) -> None:
        """Hands the request to the decisions of its service, which make its attempts."""
        customer = request.customer
        arrival = t.Arrival(
            request.driver.open(request),
            request.product,
            _NO_PLAN,
            _ONE_ACCOUNT,
            _ONE_UNIT,
            time_left_ns,
            _ONE_NODE,
            self._home_zones.allowed(route, customer),
            route.max_attempts,
            distance_exponent(len(request.body)),
            self._priority_ranks.rank(route.priority, customer.priority if customer else None),
        )
        request.driver.post(arrival)

    # ---- responses; called by the decision driver of a service

    def complete(self, request: ProxiedRequest, response: ServerResponse, stream: None = None) -> None:
        """A server's response is the request's."""
        self.counts["settled"] += 1
        if client := self._close(request):
            client.forward(response)

    def decline(self, request: ProxiedRequest, back_in: int) -> None:
        """No server is to run it any more; `back_in` ns: when to come back, 0: not known. One that may have run
        already is not promised to be unexecuted."""
        if request.may_have_run:
            self.void(request)
            return
        self.counts["declined"] += 1
        client = self._close(request)
        self._return_quota(request.customer, self.clock())
        if client:
            response = outcomes.NO_CAPACITY
            client.respond(response._replace(retry_after_ns=back_in) if back_in else response)

    def void(self, request: ProxiedRequest) -> None:
        """It may have run, and no good response will come: a server's failure goes back, if there was one."""
        self.counts["voided"] += 1
        failure = request.retained_failure
        client = self._close(request)
        if client is None:
            return
        if failure:
            client.forward(failure)
        elif self.clock() >= request.deadline_at - _ALMOST_DUE_NS:
            client.respond(outcomes.TIMED_OUT)
        else:
            client.respond(outcomes.FAILED)

    def _close(self, request: ProxiedRequest) -> RequestingClient | None:
        """Who is owed the response; None if the client is gone."""
        client = request.close()
        if client:
            self.request_durations.record(self.clock() - request.received_at)
        return client


def _do_nothing() -> None:
    """Until the process sets what to do."""
