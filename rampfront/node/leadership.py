"""Follows the role of this node's core member: tells the disseminator who leads, and lets the leader poll servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import log_events

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from .context import NodeContext
    from .core_driver import CoreDriver
    from .readiness import Readiness
    from .server_list_service import ServerListService


class LeadershipMonitor:
    """Acts on changes of leadership, on a node that has a member of the core."""

    def __init__(
        self,
        context: NodeContext,
        core: CoreDriver,
        disseminator: Disseminator,
        server_list: ServerListService,
        readiness: Readiness,
    ) -> None:
        """Build the monitor with the parts that depend on leadership."""
        self._log = context.log
        self._core = core
        self._disseminator = disseminator
        self._snapshots = context.snapshots
        self._server_list = server_list
        self._readiness = readiness

    def update(self, now: int) -> None:
        """Pass on the member's current role; to be called after each input to the member. `now` in ns."""
        disseminator = self._disseminator
        state = self._snapshots.state
        status = self._core.status(state.term if state else 0)
        assert status is not None  # the driver calls this only if there is a member
        was_leader = disseminator.is_leader
        disseminator.set_leadership(status, now)
        if status.is_leader != was_leader:
            event = log_events.LEADERSHIP_GAINED if status.is_leader else log_events.LEADERSHIP_LOST
            self._log.record(event, term=disseminator.term)
        self._server_list.set_polling(status.is_leader)
        self._readiness.update(now)
