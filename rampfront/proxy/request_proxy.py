"""The proxy of one process: a request in, its one response out, by the snapshots that hold at that moment.

It owns the snapshots (configuration, server list, evacuations, number of proxies) and a `ServicePool` for each
service. It must never choose a server (`choice.py` does) nor judge a quota by itself (the limiter does).

Two others call it. The listener of clients calls `handle_request`. The decision driver of each service calls
`complete`, `decline` and `void`, exactly one of them for each request whose client is not gone; a client that goes
cancels its request by `ProxiedRequest.cancel`.
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

_ALMOST_DUE_NS = 3 * MS  # as near to the deadline as the margin of `choice.py` lets a request wait
_NO_PLAN = 0  # the one plan of `attempt_policy.node_terms`
_ONE_UNIT = 1
_ONE_NODE = 1


class RequestProxy:
    """Takes requests and gives each its response."""

    def __init__(self, environment: ProxyEnvironment, limiter: Limiter, is_fresh: Callable[[int], bool]) -> None:
        """`limiter`: judges the customers' quotas; `is_fresh(now_ns)`: whether the core confirmed the configuration
        lately enough for requests to go by it."""
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
        self.reopened_zones: dict[str, int] = {}  # when the last evacuation of a zone ended
        self.proxy_count = 1
        # What follows from them.
        self._priority_ranks: PriorityRanks | None = None
        self._home_zones = HomeZones(environment.process_settings.zones)
        # Of the services of all configurations so far: a service that returns has its own.
        self.service_pools: dict[str, ServicePool] = {}
        # What is observed.
        self._observer = ServerObserver()
        self.health_reporter: HealthReporter = self._observer
        self.request_durations = LatencyHistogram()  # from a complete request to its response
        self.response_durations = self._observer.response_durations

    def call_on_quota_use(self, callback: Callable[[], None]) -> None:
        """Calls back behind each use of a quota: the limiter may have a message to send."""
        self._on_quota_used = callback

    def sweep(self) -> None:
        """Closes connections to servers that are idle for too long."""
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
        have cooled down, so they begin a slow start."""
        now_ns = self.clock()
        for zone in self.evacuated_zones - evacuated_zones:
            self.reopened_zones[zone] = now_ns
        self.evacuated_zones = evacuated_zones
        self.update_endpoints()

    def apply_zones(self, zones: Mapping[str, str]) -> None:
        """The settings name these zones, each with its region: servers of new ones are sent to from now on."""
        if self._home_zones.add(zones):
            self.update_endpoints()

    def apply_proxy_count(self, proxy_count: int) -> None:
        """So many proxies share the budgets and the quotas."""
        if proxy_count != self.proxy_count:
            self.proxy_count = proxy_count
            self.limiter.set_proxy_count(proxy_count)
            self._share_budgets()

    def apply_health_verdicts(self, verdicts: Iterable[ServerReport]) -> None:
        """Servers that the fleet found unreachable, unhealthy, or healthy again."""
        for server_id, state in self.health_reporter.accept_verdicts(verdicts, self.clock()):
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
        """Makes the pools of services that are new, in the order of the configuration: each takes a random seed."""
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

    # ---- requests; called by the listener

    def handle_request(self, client: RequestingClient, received: ReceivedRequest) -> None:
        """Admits a request and has a server looked for, or responds at once.

        Raises:
            HttpStatusError: it cannot be followed; then nothing was begun.
        """
        now_ns = self.clock()
        try:
            if self.configuration is None or not self.is_fresh(now_ns):
                # Guards revocations and routes: who does not know what is in force lets nothing run, and says so.
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
        request = ProxiedRequest(client, admission, service_pool.line(admission.route), head, received.body)
        self._check_not_open(request)
        client.accepted(request)
        self._begin(request)

    def _pick_service_pool(self, admission: Admission) -> ServicePool:
        """The pool of the request's service. Raises RequestRejectedError where it has no server, or it is too late."""
        service_pool = self.service_pools.get(pick_service(admission.route.service_weights, self.environment.draw))
        expired = admission.deadline_at_ns <= admission.received_at_ns
        if expired or service_pool is None or not service_pool.has_server_up():
            raise RequestRejectedError(outcomes.NO_SERVER)
        return service_pool

    def _use_quota(self, customer: Customer, now_ns: int) -> None:
        """Counts a request to the customer's quota. Raises RequestRejectedError where it is used up."""
        retry_after_ns = self.limiter.take(customer.name, now_ns)
        self._on_quota_used()
        if retry_after_ns is not None:
            raise RequestRejectedError(outcomes.OVER_QUOTA._replace(retry_after_ns=retry_after_ns))

    def _check_not_open(self, request: ProxiedRequest) -> None:
        """Guards against a second run of a try whose first one is under way, be it at another service of a route in
        shares. Raises HttpStatusError."""
        for service_pool in self.service_pools.values():
            open_requests = service_pool.open_requests
            if open_requests and request in open_requests:  # most are empty, and hashing a request costs
                self._return_quota(request, request.admission.received_at_ns)
                raise HttpStatusError(CONFLICT, "its Try-Id is open")

    def _return_quota(self, request: ProxiedRequest, now_ns: int) -> None:
        """A request that was not executed does not use the quota."""
        if customer := request.admission.customer:
            self.limiter.refund(customer.name, now_ns)

    def _begin(self, request: ProxiedRequest) -> None:
        """Hands the request to the decisions of its service, which make its attempts."""
        admission = request.admission
        route = admission.route
        customer = admission.customer
        driver = request.driver
        ranks = self._priority_ranks
        assert ranks is not None, "a request is admitted by a configuration"
        driver.post(
            t.Arrival(  # in the order of its fields: their names here would cost each request
                driver.open(request),
                request.product,
                _NO_PLAN,
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

    def complete(self, request: ProxiedRequest, body: ServerResponse, stream: StreamSource | None) -> None:
        """A server's response, `body`, is the request's; none is streamed."""
        self.counts["settled"] += 1
        if client := self._close(request):
            client.forward(body)

    def decline(self, request: ProxiedRequest, retry_after_ns: int) -> None:
        """No server is to run it any more; `retry_after_ns`: when to come back, 0: not known. One that may have run
        already is not promised to be unexecuted."""
        if request.may_have_run:
            self.void(request)
            return
        self.counts["declined"] += 1
        client = self._close(request)
        self._return_quota(request, self.clock())
        if client:
            response = outcomes.NO_CAPACITY
            client.respond(response._replace(retry_after_ns=retry_after_ns) if retry_after_ns else response)

    def void(self, request: ProxiedRequest) -> None:
        """It may have run, and no good response will come: a server's failure goes back, if there was one."""
        self.counts["voided"] += 1
        failure = request.retained_failure
        client = self._close(request)
        if client is None:
            return
        if failure:
            client.forward(failure)
        elif self.clock() >= request.admission.deadline_at_ns - _ALMOST_DUE_NS:
            client.respond(outcomes.TIMED_OUT)
        else:
            client.respond(outcomes.FAILED)

    def _close(self, request: ProxiedRequest) -> RequestingClient | None:
        """Who is owed the response; None if the client is gone."""
        client = request.detach_client()
        if client:
            self.request_durations.record(self.clock() - request.admission.received_at_ns)
        return client


def _do_nothing() -> None:
    """Until the process sets what to do."""
