"""Graceful shutdown: the node leaves the directory at once, keeps serving for a while, and answers every request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import log_events
from .operator_listeners import OperatorListeners

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from ..proxy.client_front import ClientFront
    from .context import NodeContext
    from .core_driver import CoreDriver
    from .readiness import Readiness

MS, SEC = 10**6, 10**9
MIN_SERVING_NS = SEC // 2  # lower limit of half the grace period; for clients that looked this node up before
MIN_GRACE_NS = SEC
GRACE_MARGIN_NS = 300 * MS  # the process exits this long before the grace period ends
POLL_INTERVAL_NS = 25 * MS


class Shutdown:
    """Performs the steps from SIGTERM until the event loop stops."""

    def __init__(
        self,
        context: NodeContext,
        core: CoreDriver,
        disseminator: Disseminator,
        client_front: ClientFront,
        readiness: Readiness,
    ) -> None:
        """Build it with the parts that take part in the shutdown."""
        self._context = context
        self._core = core
        self._disseminator = disseminator
        self._client_front = client_front
        self._readiness = readiness
        self.listeners = OperatorListeners()
        self.in_progress = False

    def begin(self) -> None:
        """Start the shutdown; a second call changes nothing.

        A leader of the core steps down first, then the roster announces that this node is not ready. The loop stops
        within the settings' grace period, even if requests are unanswered.
        """
        if self.in_progress:
            return
        self.in_progress = True
        self._readiness.withdraw()
        self._core.leave()
        self._context.log.record(log_events.SHUTDOWN_STARTED)
        self._client_front.drain()
        self._readiness.update(self._context.clock())
        self._disseminator.tick(self._context.clock())
        grace = self._context.process_settings.guarantees.grace
        scheduler = self._context.scheduler
        scheduler.call_after(max(MIN_SERVING_NS, grace // 2), self._stop_accepting)
        scheduler.call_after(max(MIN_GRACE_NS, grace - GRACE_MARGIN_NS), self._context.loop.stop)

    def _stop_accepting(self) -> None:
        """Stop accepting connections, and stop the loop once clients and operators' calls have their answers."""
        self.listeners.drain()
        self._client_front.retire(self._stop_when_answered)

    def _stop_when_answered(self) -> None:
        """Stop the loop once every operator's call has its answer, which takes at most a second."""
        if self.listeners.has_pending_calls():
            self._context.scheduler.call_after(POLL_INTERVAL_NS, self._stop_when_answered)
        else:
            self._context.loop.stop()
