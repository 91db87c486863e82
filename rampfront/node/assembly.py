"""Builds a node's process: creates its parts and connects them.

The parts have circular dependencies (the wire passes frames to the core, which sends frames over the wire). Therefore
each part is built with the parts that already exist, and gets the later ones through its `attach` before anything runs.
The construction order must not change: it determines the order in which the parts draw from the random source, on
which the reproducibility of simulated runs depends.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ..membership import messages
from ..membership.dissemination import Disseminator
from ..membership.health_registry import HealthRegistry
from ..membership.roster import RosterEntry
from ..net.memory_account import machine_account
from ..proxy.client_front import ClientFront
from ..proxy.environment import ProxyEnvironment
from ..quota.counter import QuotaCounter
from ..quota.counter_placement import CounterPlacement
from ..quota.limits import QuotaRule
from . import order_messages, quota_frames
from .context import NodeContext
from .core_driver import CoreDriver
from .dissemination_adapter import DisseminationAdapter
from .frame_dispatch import FrameDispatcher
from .leadership import LeadershipMonitor
from .lease import Lease
from .limits import network_limits
from .node_process import NodeProcess
from .order_executor import OrderExecutor
from .order_submitter import OrderSubmitter
from .ports import DEFAULT_PORTS, Ports
from .quota_exchange import QuotaExchange
from .readiness import Readiness
from .replicated_state import ReplicatedState
from .scheduler import Scheduler
from .server_health_exchange import ServerHealthExchange
from .server_list_service import ServerListService
from .settings_reload import SettingsReloader
from .shutdown import Shutdown
from .snapshots import Snapshots

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

    from ..membership.endpoint_list_poller import Poller
    from ..net.event_log import EventLog
    from ..settings.process_settings import ProcessSettings

SEC = 10**9
POLL_INTERVAL_NS = SEC  # between polls of the platform's server list
COUNTER_INCARNATION_BITS = 24
DISK_THREADS = 1


def build_node_process(
    loop: AbstractEventLoop,
    process_settings: ProcessSettings,
    log: EventLog,
    seed: int,
    ports: Ports = DEFAULT_PORTS,
) -> NodeProcess:
    """Return a node that isn't started yet.

    `seed`: of the random source, which must differ at each start; `ports`: the node's replaceable dependencies.
    """
    clock = ports.clock()
    dispatcher = FrameDispatcher(clock)
    address = (process_settings.ip, process_settings.port_range[0])
    wire = ports.wire(loop, clock, address, log, dispatcher.dispatch)
    context = NodeContext(loop, clock, Scheduler(loop, clock), Random(seed), process_settings, log, wire, Snapshots())
    assembly = _Assembly(context, ports, dispatcher)
    assembly.build_membership()
    assembly.build_proxy()
    assembly.build_core()
    assembly.build_lifecycle()
    assembly.join()
    assembly.open_disk_and_platform()
    return assembly.node()


def _front_text(settings: ProcessSettings) -> str:
    """Return the clients' address of this node as it is written in the roster; empty if it serves no clients."""
    if settings.front is None:
        return ""
    host, port = settings.front
    return f"{host}:{port}"


class _Assembly:
    """The parts that have been built so far."""

    def __init__(self, context: NodeContext, ports: Ports, dispatcher: FrameDispatcher) -> None:
        self.context = context
        self.ports = ports
        self.dispatcher = dispatcher
        self.settings = context.process_settings
        self.health_registry = HealthRegistry()

    def build_membership(self) -> None:
        """Build the parts that keep nodes in sync: the core's state, the server list, the roster."""
        settings = self.settings
        self.adapter = DisseminationAdapter(self.context)
        own_entry = RosterEntry(settings.name, settings.ip, settings.zone, _front_text(settings), ready=False)
        seeds = [host for host, _ in settings.seed_nodes]
        self.disseminator = Disseminator(own_entry, seeds, self.context.rng, self.adapter)
        self.lease = Lease(self.context, self.disseminator)

    def build_proxy(self) -> None:
        """Build the proxy that serves clients, and the enforcement of tenants' quotas."""
        context, settings = self.context, self.settings
        self.quota_exchange = self._build_quota_exchange()
        limits = network_limits(settings)
        memory = machine_account(context.clock, settings.memory_mb, context.counts)
        context.wire.memory = memory
        environment = ProxyEnvironment(context.loop, context.clock, settings, limits, context.rng, context.log, memory)
        limiter = self.quota_exchange.limiter
        self.request_proxy = self.ports.request_proxy(environment, limiter, self.lease.is_valid)
        self.client_front = ClientFront(environment, self.request_proxy)
        self.readiness = Readiness(context, self.disseminator, self.client_front)

    def _build_quota_exchange(self) -> QuotaExchange:
        context, terms = self.context, self.settings.guarantees
        rule = QuotaRule(terms.quota_window, terms.quota_excess, terms.quota_slack)
        now = context.clock()
        limiter = self.ports.limiter(self.settings.name, context.rng, now, rule)
        counter = QuotaCounter(context.rng.getrandbits(COUNTER_INCARNATION_BITS), now, rule)
        placement = CounterPlacement(limiter.link)
        return QuotaExchange(context, self.disseminator, limiter, counter, placement)

    def build_core(self) -> None:
        """Build the parts that agree on the state, apply it, and handle the orders that change it."""
        context, disseminator = self.context, self.disseminator
        self.core = CoreDriver(context, disseminator)
        self.replicated_state = ReplicatedState(
            context, disseminator, self.request_proxy, self.client_front, self.quota_exchange
        )
        self.server_list = ServerListService(context, self.core, disseminator, self.request_proxy, self.health_registry)
        self.server_health = ServerHealthExchange(context, disseminator, self.request_proxy, self.health_registry)
        self.leadership = LeadershipMonitor(context, self.core, disseminator, self.server_list, self.readiness)
        self.order_executor = OrderExecutor(context, self.core, disseminator.peer_table)
        self.orders = OrderSubmitter(context, self.core, disseminator, self.order_executor)

    def build_lifecycle(self) -> None:
        """Build the parts that act on signals."""
        self.settings_reloader = SettingsReloader(
            self.context, self.disseminator, self.core, self.server_list, self.request_proxy
        )
        self.shutdown = Shutdown(self.context, self.core, self.disseminator, self.client_front, self.readiness)

    def join(self) -> None:
        """Give each part the ones that were built after it."""
        self.dispatcher.attach(
            self.core,
            {
                messages.HEARTBEAT: self.disseminator.on_heartbeat,
                messages.STATE_RESPONSE: self.adapter.on_state_response,
                quota_frames.QUOTA_ADD: self.quota_exchange.on_add,
                quota_frames.QUOTA_SUM: self.quota_exchange.on_sum,
                messages.HEALTH_REPORTS: self.server_health.on_report,
                messages.HEALTH_VERDICTS: self.server_health.on_verdict,
                order_messages.REQUEST_FRAME: self.order_executor.on_request_frame,
                order_messages.REPLY_FRAME: self.orders.on_reply_frame,
            },
        )
        self.adapter.attach(
            self.disseminator, self.replicated_state, self.server_list, self.quota_exchange, self.readiness
        )
        self.adapter.set_core(self.core)
        self.core.attach(self.order_executor, self.replicated_state, self.leadership)
        self.order_executor.attach(self.orders)
        self.quota_exchange.attach(self.request_proxy)
        self.request_proxy.call_on_quota_use(self.quota_exchange.schedule_flush)

    def open_disk_and_platform(self) -> None:
        """Read the core's record if the node has a disk, and set the platform's address if the settings name one."""
        context, settings = self.context, self.settings
        if settings.platform_address:
            self.server_list.set_platform(settings.platform_address, self._make_poller)
        if settings.data_folder:
            context.scheduler.use_disk_executor(self.ports.disk_executor(DISK_THREADS))
            self.core.recover(self.ports.record_store(settings.data_folder))
            self.disseminator.remember_nodes(self.core.remembered_nodes)
            self.server_list.prepare_to_poll()

    def _make_poller(self, address: tuple[str, int]) -> Poller:
        from ..membership.endpoint_list_poller import PollCallbacks, PollSettings  # see `ServerListService.poller`

        polling = PollSettings(address, self.settings.platform_calls_per_s, POLL_INTERVAL_NS)
        callbacks = PollCallbacks(self.server_list.on_polled, self.server_list.on_poll_failed)
        poller: Poller = self.ports.poller(self.context.loop, self.context.clock, polling, callbacks)
        return poller

    def node(self) -> NodeProcess:
        """Return the node, made of these parts."""
        node: NodeProcess = self.ports.node_process(
            context=self.context,
            frame_dispatcher=self.dispatcher,
            disseminator=self.disseminator,
            lease=self.lease,
            core=self.core,
            leadership=self.leadership,
            replicated_state=self.replicated_state,
            server_list=self.server_list,
            server_health=self.server_health,
            quota_exchange=self.quota_exchange,
            request_proxy=self.request_proxy,
            client_front=self.client_front,
            orders=self.orders,
            order_executor=self.order_executor,
            readiness=self.readiness,
            settings_reloader=self.settings_reloader,
            shutdown=self.shutdown,
        )
        return node
