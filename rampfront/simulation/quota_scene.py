"""What a run of the quota simulation plays: nodes, tenants, their requests, and the faults."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ..quota.limits import MS, SEC


class Counting(Enum):
    """How quotas are counted."""

    SHARED = "shared"  # as the system does
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
    """A time of a run, in seconds."""

    begin_s: float
    end_s: float

    def contains(self, now: int) -> bool:
        """Whether `now` (ns) is within it."""
        return self.begin_s <= now / SEC < self.end_s


class Fault(NamedTuple):
    """Something that befalls the first `share` of the nodes for a time."""

    span: Span
    share: float


@dataclass(frozen=True, slots=True)
class Scene:
    """What is played. The first counter is not among the nodes that faults befall: they are the first ones."""

    seed: int = 0
    nodes: int = 11
    hot_tenants: tuple[TenantQuota, ...] = (TenantQuota(27, 27),)
    other_tenants: int = 7
    hot: Span | None = Span(6.0, 15.0)  # when the hot tenants ask for more
    surge_multiple: float = 8.0  # by how much
    end_s: float = 20.0
    loss: float = 0.005  # part of the datagrams
    repeats: float = 0.002  # part of the datagrams
    partitions: tuple[Fault, ...] = ()  # a share of the nodes is cut off from the others
    counter_partitions: tuple[Fault, ...] = ()  # the first counter alone is cut off from a share of the nodes
    counter_frozen: Span | None = None  # the first counter stands still
    roster_gap: Fault | None = None  # rosters of a share of the nodes lack the first counter
    counter_dies_s: float | None = None
    other_dies_s: float | None = None  # a node without a counter
    skew: float = 0.0  # nodes get requests by 1 / rank to this power
    all_restart_s: float | None = None
    counting: Counting = Counting.SHARED
    load: float = 1 / 1.6  # usual requests of a tenant, as a part of its rate
    wake_delay_ns: int = 2 * MS  # a timer is late by up to that
    extra_delay_ms: float = 0.0  # mean, one way
