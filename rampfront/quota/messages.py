"""The messages between proxies and the counter. Immutable; `codec.py` validates and encodes them.

A proxy sends a `CounterUpdate` (one in flight at a time, resent unchanged until it is answered), a `Probe` to a node
that it might switch to, and a `Deregistration` to the counter that it leaves. A counter answers an update with
`CounterTotals`, which it also sends unsolicited as a quota runs low, and a probe with the same `Probe`.

An *incarnation* is a random number that distinguishes one start of a process from all others.
"""

from collections.abc import Sequence
from typing import NamedTuple

from .limits import SEC

MAX_ROWS = 40  # per message, so that it fits into one datagram
PROXY_TIMEOUT_NS = SEC  # a proxy in use sends at least this often; another may be isolated, and use its even share


class CountDelta(NamedTuple):
    """The increase of a proxy's counts of a tenant since its last acknowledged update."""

    tenant: str
    window: int  # number of the current window, by the counter's time; -1: before time 0
    current: int  # requests admitted in the current window
    previous: int  # requests admitted in the previous window
    rejected: int  # requests rejected since the last update


class FullCount(NamedTuple):
    """All of a proxy's counts of a tenant, for a counter that is new to the proxy."""

    tenant: str
    window: int  # as in `CountDelta`
    current: int
    previous: int
    previous_weight_percent: int  # share of the previous window that the sliding window still covers


CountRow = CountDelta | FullCount


class CounterUpdate(NamedTuple):
    """A proxy's counts, sent to the counter."""

    incarnation: int  # of the proxy
    sequence: int  # increasing number of the update within the incarnation
    rows: Sequence[CountRow]  # full counts if `history_ms` is given, otherwise deltas
    counter_incarnation: int | None  # of the counter whose time numbers the windows; None: not known yet
    history_ms: int = 0  # how far the proxy's counts reach back; 0: the rows are deltas
    wants_all: bool = False  # requests the totals of all tenants in use
    idle: bool = False  # the proxy has had no request for a while


class TenantTotal(NamedTuple):
    """A tenant's totals over all proxies."""

    tenant: str
    window: int  # number of the current window
    current: int  # requests admitted in the current window
    previous: int  # requests admitted in the previous window
    remaining: int  # requests left in the quota; negative if it is overdrawn
    proxies: int  # proxies that admitted requests in the current window, at least 1
    requested_per_s: int  # at all proxies, including rejected requests


class CounterTotals(NamedTuple):
    """The counter's totals, sent to a proxy."""

    counter_incarnation: int
    sequence: int  # of the last update accepted from this proxy
    counter_time_ms: int
    rows: Sequence[TenantTotal]
    lists_all: bool = False  # tenants that are not listed are not in use
    unsolicited: bool = False  # an announcement, not the answer to an update


class Probe(NamedTuple):
    """Checks that a node answers; the node returns it unchanged."""

    number: int


class Deregistration(NamedTuple):
    """Tells a counter that a proxy moves to another counter."""

    incarnation: int  # of the proxy
