"""One process of the system: its parts, and the two timers that drive them.

`assembly.build_node_process` builds and connects the parts. No decisions are made here: the core member is responsible
for agreement (`consensus`), the disseminator for what is sent to which node (`membership`), the proxy for which
requests are served (`proxy`), the limiter and the counter for quotas (`quota`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..terms import slotted
from . import log_events

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from ..proxy.client_front import ClientFront
    from ..proxy.request_proxy import RequestProxy
    from .context import NodeContext
    from .core_driver import CoreDriver
    from .frame_dispatch import FrameDispatcher
    from .leadership import LeadershipMonitor
    from .lease import Lease
    from .order_executor import OrderExecutor
    from .order_submitter import OrderSubmitter
    from .quota_exchange import QuotaExchange
    from .readiness import Readiness
    from .replicated_state import ReplicatedState
    from .server_health_exchange import ServerHealthExchange
    from .server_list_service import ServerListService
    from .settings_reload import SettingsReloader
    from .shutdown import Shutdown

MS = 10**6
TICK_NS = 100 * MS  # interval between ticks of all parts
FIRST_TICK_NS = 25 * MS  # interval until the node has its first lease
SWEEP_NS = 250 * MS  # interval between sweeps of idle and timed-out connections


@slotted
class NodeProcess:
    """The parts of a node. Each part owns its own state; this class starts, drives and closes them."""

    context: NodeContext
    frame_dispatcher: FrameDispatcher
    disseminator: Disseminator
    lease: Lease
    core: CoreDriver
    leadership: LeadershipMonitor
    replicated_state: ReplicatedState
    server_list: ServerListService
    server_health: ServerHealthExchange
    quota_exchange: QuotaExchange
    request_proxy: RequestProxy
    client_front: ClientFront
    orders: OrderSubmitter
    order_executor: OrderExecutor
    readiness: Readiness
    settings_reloader: SettingsReloader
    shutdown: Shutdown

    def start(self) -> None:
        """Start the parts and the timers; to be called once, after the listeners are open."""
        settings = self.context.process_settings
        is_member = self.core.has_member
        self.context.log.record(log_events.STARTED, zone=settings.zone, disk=is_member, first_boot=settings.first_boot)
        self.core.start()
        self.tick()
        self.sweep()

    def tick(self) -> None:
        """Let every part handle its timeouts.

        The next tick is scheduled first, so that an exception in a part doesn't end the ticks.
        """
        has_lease = self.disseminator.confirmed_at_ns is not None
        self.context.scheduler.call_after(TICK_NS if has_lease else FIRST_TICK_NS, self.tick)
        now = self.context.clock()
        self.core.tick()
        self.leadership.report(now)
        self.disseminator.tick(now)
        self.order_executor.tick(now)
        self.orders.tick(now)
        self.server_health.send_reports(now)
        self.readiness.update(now)
        self.lease.sample_age(now)
        self.quota_exchange.tick(now)

    def sweep(self) -> None:
        """Close idle and timed-out connections, and log how many repeated lines were suppressed."""
        self.context.scheduler.call_after(SWEEP_NS, self.sweep)
        self.client_front.sweep()
        self.context.wire.sweep()
        self.context.log.sweep()
        self.request_proxy.sweep()

    def record_diagnostics(self, reason: str) -> None:
        """Log the latest refusals and all counters. `reason`: why they are written now."""
        now = self.context.clock()
        for refusal in self.request_proxy.refusals:
            self.context.log.record(
                log_events.REFUSAL,
                **{"try": refusal.try_id.decode("latin-1")},
                attempts=",".join(map(str, refusal.attempts)),
                age_ms=(now - refusal.refused_at_ns) // MS,
            )
        self.context.log.record_counters(reason)

    def close(self) -> None:
        """Stop all timers, polls and listeners. For a process that runs several nodes; a single node just exits."""
        self.context.scheduler.close()
        self.server_list.set_polling(False)
        self.shutdown.listeners.close()
