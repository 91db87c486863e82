"""Whether this node is ready for clients. The platform polls it, and the roster carries it to the other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import log_events

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from ..proxy.client_front import ClientFront
    from .context import NodeContext


class Readiness:
    """Tracks readiness: a node is ready if its front can serve and it is not shutting down."""

    def __init__(self, context: NodeContext, disseminator: Disseminator, client_front: ClientFront) -> None:
        """`disseminator` announces readiness to the other nodes; `client_front` knows whether it can serve."""
        self._log = context.log
        self._disseminator = disseminator
        self._client_front = client_front
        self._withdrawn = False

    @property
    def announced(self) -> bool:
        """The readiness that was last announced to the other nodes."""
        return self._disseminator.ready

    def is_ready(self) -> bool:
        """Return whether the node is announced as ready and its front can serve now."""
        return self._disseminator.ready and self._client_front.ready()

    def withdraw(self) -> None:
        """Make this and all later updates announce the node as not ready, because the process shuts down."""
        self._withdrawn = True

    def update(self, now: int) -> None:
        """Evaluate readiness, and announce a change to the other nodes at once. `now` in ns."""
        ready = self._client_front.ready() and not self._withdrawn
        if ready == self._disseminator.ready:
            return
        self._disseminator.set_ready(ready)
        self._log.record(log_events.READY if ready else log_events.NOT_READY)
