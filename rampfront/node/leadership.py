"""Follows the role of this node's core member: tells the disseminator who leads, lets the leader poll servers, and logs
for how long the core lacks members.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import log_events

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from .context import NodeContext
    from .core_driver import CoreDriver
    from .readiness import Readiness
    from .server_list_service import ServerListService


MS = 10**6  # ns
LOG_AFTER_NS = 4_000 * MS  # a start and a replacement take less (`CatchUp`)


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
        self._outside_since: int | None = None

    def outside_core_for(self, now: int) -> int | None:
        """Return for how long this node has had a disk and been no member of the core, in ns; None: it is, or has none.

        Such a node serves clients, but replaces no lost member. `now` in ns.
        """
        return None if self._outside_since is None else now - self._outside_since

    def report(self, now: int) -> None:
        """Log that the core lacks members or that this one is outside it; to be called about ten times a second."""
        if not self._core.is_outside_core:
            self._outside_since = None
        elif self._outside_since is None:
            self._outside_since = now
        outside_for = self.outside_core_for(now) or 0
        if outside_for >= LOG_AFTER_NS:
            self._log.record_limited(log_events.OUTSIDE_CORE, "core", for_ms=outside_for // MS)
        strength = self._core.strength(now)
        if strength is not None and (strength.below_target_for or 0) >= LOG_AFTER_NS:
            for_ms = (strength.below_target_for or 0) // MS
            self._log.record_limited(log_events.CORE_BELOW_TARGET, "core", wanted=strength.wanted, for_ms=for_ms)

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
