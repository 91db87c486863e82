"""Scenes of the quota simulation: nodes, tenants, their requests, and faults."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ..quota.limits import MS, SEC


class Counting(Enum):
    """How quotas are counted."""

    SHARED = "shared"  # as the system does it
    NONE = "none"  # each proxy has the complete quota
    EVEN_SPLIT = "split"  # each proxy has an even part of it
    PERFECT = "perfect"  # all share one bucket without delay


class Phase(Enum):
    """A phase of a run, for one tenant."""

    START = "start"
    USUAL = "usual"
    HOT = "hot"  # in a surge


class TenantQuota(NamedTuple):
    """A tenant's settings."""

    per_s: float
    burst: float


class Span(NamedTuple):
    """A time span of a run, in seconds."""

    begin_s: float
    end_s: float

    def contains(self, now: int) -> bool:
        """Whether `now` (ns) is within the span."""
        return self.begin_s <= now / SEC < self.end_s


class Fault(NamedTuple):
    """A fault of the first `share` of the nodes for a time span."""

    span: Span
    share: float


@dataclass(frozen=True, slots=True)
class Scene:
    """The parameters of a run. The first counter is not among the nodes that faults affect, which are the first
    ones."""

    seed: int = 0
    nodes: int = 11
    hot_tenants: tuple[TenantQuota, ...] = (TenantQuota(27, 27),)
    other_tenants: int = 7
    hot: Span | None = Span(6.0, 15.0)  # when the hot tenants send more requests
    surge_multiple: float = 8.0  # factor on their usual rate in that time
    end_s: float = 20.0
    loss: float = 0.005  # fraction of the datagrams
    repeats: float = 0.002  # fraction of the datagrams that is duplicated
    partitions: tuple[Fault, ...] = ()  # a share of the nodes is cut off from the others
    counter_partitions: tuple[Fault, ...] = ()  # the first counter alone is cut off from a share of the nodes
    counter_frozen: Span | None = None  # the first counter is frozen
    roster_gap: Fault | None = None  # rosters of a share of the nodes lack the first counter
    counter_dies_s: float | None = None
    other_dies_s: float | None = None  # a node without a counter
    skew: float = 0.0  # nodes receive requests in proportion to 1 / rank to this power
    all_restart_s: float | None = None
    counting: Counting = Counting.SHARED
    load: float = 1 / 1.6  # usual request rate of a tenant, as a fraction of its quota's rate
    wake_delay_ns: int = 2 * MS  # the most by which a timer is late
    extra_delay_ms: float = 0.0  # mean, one way
