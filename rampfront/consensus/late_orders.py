"""Detects orders on a zone that may be late copies: orders that their callers gave up and repeated elsewhere.

Nodes do not carry out an order whose caller is known to be gone, and give the leader a deadline. What is late on the
way from the caller to the node looks like a new order nevertheless. If an operator restores a zone, another one
evacuates it, and then a copy of the restoration arrives, it would reopen the zone for both.

Such an order has a pattern: it repeats the change before the newest one of its zone, soon after it. It is carried out
only if it is given once more: a caller who waits repeats an order that was not carried out, and one who has gone does
not. So neither is a late copy carried out, nor is the order of an operator who waits ignored. An order that its caller
named is exempt, since its name shows whether it is a repeat, and so is one without an identity, which an older node
sent.

The mechanism is specific to this project. The times are the leader's own, so the pattern is not seen across a change of
leader. No I/O, no clock: times are ns of the leader's monotonic clock.
"""

from typing import NamedTuple, TypeVar

from .evacuation_claims import is_explicit
from .events import OrderKind
from .identifiers import DurationNs, TimeNs

MAX_ZONES = 64
Value = TypeVar("Value")
OPPOSITE = {OrderKind.EVACUATE: OrderKind.RESTORE, OrderKind.RESTORE: OrderKind.EVACUATE}


class ZoneOrder(NamedTuple):
    """An order to evacuate or restore a zone, as far as it matters here. `identity`: 0 if it has none."""

    kind: OrderKind
    zone: str
    identity: int


class Deferral(NamedTuple):
    """The first of two orders that were demanded: its identity, and when it arrived."""

    identity: int
    at: TimeNs


class LateOrderDetector:
    """The newest orders of both kinds on each zone, at one leader."""

    def __init__(self, window: DurationNs) -> None:
        """`window`: how long after an order was accepted a copy of it may arrive."""
        self._window = window
        self._accepted_at: dict[tuple[str, OrderKind], TimeNs] = {}
        self._unnamed_at: dict[tuple[str, OrderKind], TimeNs] = {}  # of orders that their callers did not name
        self._deferred: dict[tuple[str, OrderKind], Deferral] = {}

    def must_be_repeated(self, order: ZoneOrder, now: TimeNs) -> bool:
        """Whether an order that would change its zone is carried out only if it is given once more."""
        if not order.identity or is_explicit(order.identity) or not self._may_be_late_copy(order, now):
            return False
        key = order.zone, order.kind
        deferral = self._deferred.get(key)
        if deferral is None or now - deferral.at > self._window:
            _set_newest(self._deferred, key, Deferral(order.identity, now))
            return True
        return deferral.identity == order.identity

    def _may_be_late_copy(self, order: ZoneOrder, now: TimeNs) -> bool:
        """Whether it repeats the order before the newest one on its zone, soon after that."""
        previous = self._unnamed_at.get((order.zone, order.kind))
        newest = self._accepted_at.get((order.zone, OPPOSITE[order.kind]))
        if previous is None or newest is None or now - previous > self._window:
            return False
        return previous < newest

    def note_accepted(self, order: ZoneOrder, now: TimeNs) -> None:
        """Records an order that was accepted, whether it changed the zone or not."""
        for kind in OPPOSITE:
            self._deferred.pop((order.zone, kind), None)
        key = order.zone, order.kind
        _set_newest(self._accepted_at, key, now)
        if not is_explicit(order.identity):
            _set_newest(self._unnamed_at, key, now)


def _set_newest(table: dict[tuple[str, OrderKind], Value], key: tuple[str, OrderKind], value: Value) -> None:
    """Sets a row of a table, and removes the oldest one if there are too many."""
    table.pop(key, None)
    if len(table) >= len(OPPOSITE) * MAX_ZONES:
        del table[next(iter(table))]
    table[key] = value
