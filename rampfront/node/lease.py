"""The lease under which a node serves requests: a limit on the age of the state that it holds.

With each update the disseminator learns a time at which a majority of the core confirmed that state. Until `duration`
after that time, no revocation that was confirmed elsewhere can be unknown here, so keys and routes are valid;
afterwards the node rejects requests. This is a read lease as described by Gray and Cheriton (1989), granted by the core
to each node. It assumes that clocks run at the same rate, but not that they agree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..net.latency_histogram import LatencyHistogram

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from .context import NodeContext

MS, SEC = 10**6, 10**9
MARGIN_NS = 600 * MS  # subtracted from the guaranteed time, for requests in flight and clock error
UNBOUNDED_NS = 60 * SEC  # duration if the settings do not require that revocations hold everywhere
OUT_OF_TOUCH_AFTER_NS = 2500 * MS  # a node in touch gets a confirmation about once a second


class Lease:
    """Tracks whether this node's state is recent enough to serve requests."""

    def __init__(self, context: NodeContext, disseminator: Disseminator) -> None:
        """`disseminator` knows when a majority last confirmed this node's state."""
        terms = context.process_settings.guarantees
        self._disseminator = disseminator
        self._started_at = context.clock()
        self.duration = terms.revoke_within - MARGIN_NS if terms.revoke_everywhere else UNBOUNDED_NS  # ns
        self.sampled_ages = LatencyHistogram()

    def is_valid(self, now: int) -> bool:
        """Return whether keys and routes may be used."""
        age = self.age(now)
        return age is not None and age < self.duration

    def age(self, now: int) -> int | None:
        """Return ns since a majority last confirmed this node's state; None if it never has since the start."""
        confirmed_at = self._disseminator.confirmed_at_ns
        return None if confirmed_at is None else now - confirmed_at

    def out_of_touch_for(self, now: int) -> int | None:
        """Return for how many ns the node has been cut off from the core's majority; None while it is in touch."""
        age = self.age(now)
        if age is None:
            return max(0, now - self._started_at)
        return age if age > OUT_OF_TOUCH_AFTER_NS else None

    def leader_silent_for(self, now: int) -> int | None:
        """Return for how many ns the leader itself has not answered this node; None while it does.

        The lease may still be valid, renewed through other nodes, but orders at this node are answered 503.
        """
        silent = self._disseminator.leadership.leader_silent_ns(now)
        if silent is None:
            return max(0, now - self._started_at)
        return silent if silent > OUT_OF_TOUCH_AFTER_NS else None

    def sample_age(self, now: int) -> None:
        """Record the age for the metrics."""
        age = self.age(now)
        if age is not None:
            self.sampled_ages.record(max(0, age))
