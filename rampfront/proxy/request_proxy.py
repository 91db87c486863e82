"""The proxy of one process: handles each request by the current snapshots and gives it exactly one response.

This module owns the snapshots (configuration, server list, evacuations, number of proxies) and a `ServicePool` for each
service. It must never choose a server (`choice.py` does) nor decide on a quota by itself (the limiter does).

It has two kinds of callers. The client listener calls `handle_request`. The decision driver of each service calls
exactly one of `complete`, `decline` and `void` for each request whose client is still connected; a client that
disconnects cancels its request by `ProxiedRequest.cancel`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from .. import terms as t
from ..membership.health_reporter import HealthReporter
from ..membership.server_health import HEALTHY
from ..net.exchange import StreamSource
from ..net.http_status import CONFLICT, HttpStatusError
from ..net.latency_histogram import LatencyHistogram
from ..settings.scalars import MS
from . import outcomes
from .admission import admit
from .budget_shares import set_budgets
from .endpoints import Zones, endpoints_by_service
from .health_observation import ServerObserver
from .locality import distance_exponent
from .outcomes import RequestRejectedError
from .priorities import PriorityRanks
from .refusal_log import Refusal, RefusalLog
from .request import ACCOUNT, Admission, ProxiedRequest, ReceivedRequest, RequestingClient
from .request_head import build_request_head
from .routing import HomeZones, pick_service
from .service_pool import ServicePool

if TYPE_CHECKING:
    from ..membership.endpoint_list import EndpointList
    from ..membership.server_health import ServerReport
    from ..quota.limiter import Limiter
    from ..settings.configuration import Configuration, Customer
    from .environment import ProxyEnvironment
    from .server_response import ServerResponse

# The margin of `choice.py` lets a request wait until this close to its deadline.
_DEADLINE_TOLERANCE_NS = 3 * MS
_PLAN_INDEX = 0  # index of the only plan of `attempt_policy.node_terms`
_ONE_UNIT = 1
_ONE_NODE = 1


class RequestProxy:
    """Handles requests, and gives each its response."""

    def __init__(self, environment: ProxyEnvironment, limiter: Limiter, is_fresh: Callable[[int], bool]) -> None:
        """Starts without snapshots, so that every request is rejected.

        `limiter` enforces the customers' quotas; `is_fresh(now_ns)` tells whether the core confirmed the configuration
        recently enough for requests to be handled by it."""
        self.environment = environment
        self.clock = environment.clock
        self.counts = environment.log.counts
        self.limiter = limiter
        self._margin_ns = environment.limits.answer_margin_ns
        self.is_fresh = is_fresh
        self._on_quota_used: Callable[[], None] = _do_nothing
        # The snapshots.
        self.configuration: Configuration | None = None
        self.servers: EndpointList | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self.reopened_zones: dict[str, int] = {}  # zone to the time (ns) at which its last evacuation ended
        self.proxy_count = 1
        # State derived from the snapshots.
        self._priority_ranks: PriorityRanks | None = None
        self._home_zones = HomeZones(environment.process_settings.zones)
        # Pools of the services of all configurations so far: a service that is removed and added again keeps its pool.
        self.service_pools: dict[str, ServicePool] = {}
        # Observations.
        self._observer = ServerObserver()
        self.health_reporter: HealthReporter = self._observer
        self.request_durations = LatencyHistogram()  # from the receipt of the complete request to its response
        self.response_durations = self._observer.response_durations
        self.refusals = RefusalLog()

    def call_on_quota_use(self, callback: Callable[[], None]) -> None:
        """Sets the callback after each use of a quota, when the limiter may have a message to send."""
        self._on_quota_used = callback

    def sweep(self) -> None:
        """Closes connections to servers that have been idle for too long."""
        for service_pool in self.service_pools.values():
            service_pool.connection_pool.sweep()

    # ---- snapshots

    def apply_configuration(self, configuration: Configuration) -> None:
        """Applies a new configuration to all subsequent requests."""
        self.configuration = configuration
        self._home_zones.clear()
        self._priority_ranks = PriorityRanks(configuration)
        self.limiter.set_quotas(configuration.customers_by_name, self.clock())
        self.update_endpoints()

    def apply_server_list(self, servers: EndpointList) -> None:
        """Applies a new server list of the platform."""
        self.servers = servers
        self.update_endpoints()

    def apply_evacuations(self, evacuated_zones: frozenset[str]) -> None:
        """Applies the set of evacuated zones, given by name: their servers get no new requests.

        Servers of a zone that is no longer evacuated may have cooled down, so they begin a slow start."""
        now_ns = self.clock()
        for zone in self.evacuated_zones - evacuated_zones:
            self.reopened_zones[zone] = now_ns
        self.evacuated_zones = evacuated_zones
        self.update_endpoints()

    def apply_zones(self, zones: Mapping[str, str]) -> None:
        """Applies the zones of the settings, each with its region: servers in new zones get requests from now on."""
        if self._home_zones.add(zones):
            self.update_endpoints()

    def apply_proxy_count(self, proxy_count: int) -> None:
        """Applies the number of proxies that share the budgets and the quotas."""
        if proxy_count != self.proxy_count:
            self.proxy_count = proxy_count
            self.limiter.set_proxy_count(proxy_count)
            self._share_budgets()

    def apply_health_verdicts(self, verdicts: Iterable[ServerReport]) -> None:
        """Applies the fleet's verdicts: servers that are unreachable, unhealthy, or healthy again."""
        for server_id, state in self.health_reporter.accept_verdicts(verdicts, self.clock()):
            for service_pool in self.service_pools.values():
                service_pool.health_reported(server_id, state == HEALTHY)

    def update_endpoints(self) -> None:
        """Passes every service the servers that result from the current snapshots."""
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
        """Creates the pools of new services, in configuration order, because each draws a random seed."""
        for name, service in configuration.services.items():
            if name not in self.service_pools:
                self.service_pools[name] = ServicePool(
                    self.environment, self, service.health_path, self._observer, self.proxy_count
                )

    def _share_budgets(self) -> None:
        """Sets this proxy's shares of the fleet's budgets."""
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

    # ---- requests; called by the listener

    def handle_request(self, client: RequestingClient, received: ReceivedRequest) -> None:
        """Admits a request and starts its attempts, or responds immediately.

        Raises:
            HttpStatusError: the request is invalid, or its identifier is in use; no attempt was started.
        """
        now_ns = self.clock()
        try:
            if self.configuration is None or not self.is_fresh(now_ns):
                # Revoked keys and changed routes are unknown without a current configuration: reject every request.
                raise RequestRejectedError(outcomes.NO_CONFIGURATION)
            admission = admit(self.configuration, received, self._margin_ns, now_ns)
            service_pool = self._pick_service_pool(admission)
            customer = admission.customer
            if customer:
                self._use_quota(customer, now_ns)
        except RequestRejectedError as rejection:
            self.counts[rejection.response.counter] += 1
            client.respond(rejection.response)
            return
        head = build_request_head(received, customer)
        request = ProxiedRequest(client, admission, service_pool.product_handle(admission.route), head, received.body)
        self._check_not_open(request)
        client.accepted(request)
        self._begin(request)

    def _pick_service_pool(self, admission: Admission) -> ServicePool:
        """The pool of the request's service.

        Raises RequestRejectedError if the service has no server, or the deadline has passed."""
        service_pool = self.service_pools.get(pick_service(admission.route.service_weights, self.environment.rng))
        expired = admission.deadline_at_ns <= admission.received_at_ns
        if expired or service_pool is None or not service_pool.has_server_up():
            raise RequestRejectedError(outcomes.NO_SERVER)
        return service_pool

    def _use_quota(self, customer: Customer, now_ns: int) -> None:
        """Counts a request against the customer's quota. Raises RequestRejectedError if the quota is exhausted."""
        retry_after_ns = self.limiter.take(customer.name, now_ns)
        self._on_quota_used()
        if retry_after_ns is not None:
            raise RequestRejectedError(outcomes.OVER_QUOTA._replace(retry_after_ns=retry_after_ns))

    def _check_not_open(self, request: ProxiedRequest) -> None:
        """Raises HttpStatusError if a request with the same identifier is in progress, to prevent a second execution.

        All services are checked, because a route with weights may have sent the first one to another service."""
        for service_pool in self.service_pools.values():
            open_requests = service_pool.open_requests
            if open_requests and request in open_requests:  # most are empty, and hashing a request is expensive
                self._return_quota(request, request.admission.received_at_ns)
                raise HttpStatusError(CONFLICT, "its Try-Id is open")

    def _return_quota(self, request: ProxiedRequest, now_ns: int) -> None:
        """Refunds the quota of a request that was not executed."""
        if customer := request.admission.customer:
            self.limiter.refund(customer.name, now_ns)

    def _begin(self, request: ProxiedRequest) -> None:
        """Passes the request to the decision driver of its service, which makes its attempts."""
        admission = request.admission
        route = admission.route
        customer = admission.customer
        driver = request.driver
        ranks = self._priority_ranks
        assert ranks is not None, "a request is admitted by a configuration"
        driver.post(
            t.Arrival(  # positional, because keyword arguments would cost time for each request
                driver.open(request),
                request.product,
                _PLAN_INDEX,
                ACCOUNT,
                _ONE_UNIT,
                admission.deadline_at_ns - admission.received_at_ns,
                _ONE_NODE,
                self._home_zones.allowed(route, customer),
                route.max_attempts,
                distance_exponent(len(request.body)),
                ranks.rank(route.priority, customer.priority if customer else None),
            )
        )

    # ---- responses; called by the driver of a service

    def complete(self, request: ProxiedRequest, body: ServerResponse | None, stream: StreamSource | None) -> None:
        """Forwards a server's response to the client.

        `body`: the response, None if it was discarded; `stream` is unused: responses are never streamed."""
        self.counts["settled"] += 1
        client = self._close(request)
        if client is None:
            return
        if body is None:
            client.respond(outcomes.RESPONSE_DISCARDED)
        else:
            client.forward(body)

    def decline(self, request: ProxiedRequest, retry_after_ns: int) -> None:
        """Responds to a request that is sent to no further server.

        `retry_after_ns`: delay to advise, 0 if not known. A request that may have been executed, or has an attempt in
        flight, is voided instead, because the response would promise that it never runs."""
        if request.submissions:
            self.counts["declined_in_flight"] += 1
        if request.may_have_run or request.submissions:
            self.void(request)
            return
        self.counts["declined"] += 1
        client = self._close(request)
        now_ns = self.clock()
        self._return_quota(request, now_ns)
        if client:
            self.refusals.add(Refusal(now_ns, request.id, request.unexecuted_attempts))
            response = outcomes.NO_CAPACITY
            client.respond(response._replace(retry_after_ns=retry_after_ns) if retry_after_ns else response)

    def void(self, request: ProxiedRequest) -> None:
        """Responds to a request that may have been executed and will get no successful response.

        A server's failure response is returned, if there was one."""
        self.counts["voided"] += 1
        failure = request.retained_failure
        client = self._close(request)
        if client is None:
            return
        if failure:
            client.forward(failure)
        elif self.clock() >= request.admission.deadline_at_ns - _DEADLINE_TOLERANCE_NS:
            client.respond(outcomes.TIMED_OUT)
        else:
            client.respond(outcomes.FAILED)

    def _close(self, request: ProxiedRequest) -> RequestingClient | None:
        """Closes the request and returns the client that waits for the response; None if it has disconnected."""
        client = request.detach_client()
        if client:
            self.request_durations.record(self.clock() - request.admission.received_at_ns)
        return client


def _do_nothing() -> None:
    """The callback until `call_on_quota_use` sets one."""
