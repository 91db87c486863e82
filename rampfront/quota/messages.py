"""What proxies and the counter send each other. Immutable; `codec.py` checks them and puts them on the wire.

A proxy sends `CounterUpdate` (one under way at a time, repeated unchanged until it is answered), `Probe` to a node that
it might move to, and `Farewell` to the counter that it leaves. A counter answers an update with `CounterTotals`, which
it also sends unsolicited as a quota runs low, and a probe with the same `Probe`.

An *incarnation* is a drawn number that tells one start of a process from all others.
"""

from collections.abc import Sequence
from typing import NamedTuple

from .limits import SEC

MAX_ROWS = 40  # in one message: so it fits a datagram
PROXY_TIMEOUT_NS = SEC  # a proxy in use sends that often; one that does not may be cut off, and go by its even share


class CountDelta(NamedTuple):
    """What a proxy's counts of a tenant grew by since its last acknowledged update."""

    tenant: str
    window: int  # number of the present one, by the counter's time; -1: before time 0
    current: int  # requests admitted in it
    previous: int  # requests admitted in the window before
    rejected: int  # requests, since the last update


class FullCount(NamedTuple):
    """All of a proxy's counts of a tenant: for a counter that is new to the proxy."""

    tenant: str
    window: int  # as in `CountDelta`
    current: int
    previous: int
    previous_weight_percent: int  # of the previous window, what the sliding window still covers


CountRow = CountDelta | FullCount


class CounterUpdate(NamedTuple):
    """A proxy's counts, for the counter."""

    incarnation: int  # of the proxy
    sequence: int  # number of the update within it, ascending
    rows: Sequence[CountRow]  # full counts where `lived_ms` is given, else deltas
    counter_incarnation: int | None  # of the counter by whose time windows are numbered; None: not known yet
    history_ms: int = 0  # how long the proxy's counts reach back; 0: the rows are deltas
    wants_all: bool = False  # the totals of all tenants in use are asked for
    idle: bool = False  # the proxy has had no request for a while


class TenantTotal(NamedTuple):
    """A tenant's totals over all proxies."""

    tenant: str
    window: int  # number of the present one
    current: int  # requests admitted in it
    previous: int  # requests admitted in the window before
    remaining: int  # requests that the quota has left; below 0 a debt
    proxies: int  # that admitted any in this window, 1 at least
    requested_per_s: int  # of all proxies, rejected ones too


class CounterTotals(NamedTuple):
    """The counter's totals, for a proxy."""

    counter_incarnation: int
    sequence: int  # of the last update taken in from this proxy
    counter_time_ms: int
    rows: Sequence[TenantTotal]
    lists_all: bool = False  # a tenant that is not listed is not in use
    unsolicited: bool = False  # announced, and no answer to an update


class Probe(NamedTuple):
    """Asks a node whether it is there; sent back unchanged it is the answer."""

    number: int


class Deregistration(NamedTuple):
    """A proxy moves to another counter."""

    incarnation: int  # of the proxy
