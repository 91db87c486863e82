"""The lease under which a node lets requests run: the age of what it holds, measured against a majority of the core.

The node knows of a moment at which a majority of the core stood behind what it holds (the disseminator learns it with
each update). Until `duration` after that moment no revocation that was confirmed elsewhere can be unknown here, so keys
and routes may act; afterwards the node turns requests away. This is a read lease in the sense of Gray and Cheriton
(1989), granted by the core to each node, with clocks that run at one rate but need not agree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..net.latency_histogram import LatencyHistogram

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from .context import NodeContext

MS, SEC = 10**6, 10**9
MARGIN_NS = 600 * MS  # the lease ends so long before what it has to keep: what is on its way by then, and clocks
UNBOUNDED_NS = 60 * SEC  # where the settings do not demand that revocations hold everywhere
OUT_OF_TOUCH_AFTER_NS = 2500 * MS  # age past which a node says so: it asks the leader about once a second


class Lease:
    """Whether what this node holds is young enough to act on."""

    def __init__(self, context: NodeContext, disseminator: Disseminator) -> None:
        """`disseminator` knows when a majority last stood behind what this node holds."""
        terms = context.process_settings.guarantees
        self._disseminator = disseminator
        self._started_at = context.clock()
        self.duration = terms.revoke_within - MARGIN_NS if terms.revoke_everywhere else UNBOUNDED_NS  # ns
        self.sampled_ages = LatencyHistogram()

    def is_valid(self, now: int) -> bool:
        """Whether keys and routes may act."""
        age = self.age(now)
        return age is not None and age < self.duration

    def age(self, now: int) -> int | None:
        """Return ns since a majority last stood behind what this node holds; None: never since the start."""
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

        The lease may be young all the same, through other nodes; orders at this node get 503 meanwhile.
        """
        silent = self._disseminator.leadership.leader_silent_ns(now)
        if silent is None:
            return max(0, now - self._started_at)
        return silent if silent > OUT_OF_TOUCH_AFTER_NS else None

    def sample_age(self, now: int) -> None:
        """Note the age for the metrics."""
        age = self.age(now)
        if age is not None:
            self.sampled_ages.record(max(0, age))
