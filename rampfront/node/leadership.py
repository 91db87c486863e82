"""Follows the role of the core's member beside us: tells the disseminator who leads, lets the leader poll servers."""

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
    """What hangs on leading, at a node that has a member of the core."""

    def __init__(
        self,
        context: NodeContext,
        core: CoreDriver,
        disseminator: Disseminator,
        server_list: ServerListService,
        readiness: Readiness,
    ) -> None:
        """Build it over the parts that have to know who leads."""
        self._log = context.log
        self._core = core
        self._disseminator = disseminator
        self._snapshots = context.snapshots
        self._server_list = server_list
        self._readiness = readiness

    def update(self, now: int) -> None:
        """Take over the member's role; to be called after each input to it. `now` in ns."""
        disseminator = self._disseminator
        state = self._snapshots.state
        status = self._core.status(state.term if state else 0)
        assert status is not None  # the driver calls this for a member alone
        led = disseminator.is_leader
        disseminator.set_leadership(status, now)
        if status.is_leader != led:
            event = log_events.LEADERSHIP_GAINED if status.is_leader else log_events.LEADERSHIP_LOST
            self._log.record(event, term=disseminator.term)
        self._server_list.poll_while(status.is_leader)
        self._readiness.update(now)
