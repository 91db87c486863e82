"""The orders on zones that one member knows of: when they were accepted, and their identities.

The leader records the orders that it accepts. In addition, every member derives orders from the states that it commits,
so that a new leader knows what its predecessor accepted (`LateOrderDetector` needs it). A state shows the identities
of evacuations, as claims, and of restorations. A member does not know the orders before its process started, nor those
between two states of which it has not seen the ones between.

No I/O, no clock: times are ns of a monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple, TypeVar

from . import restorations
from .evacuation_claims import Delivery, find, is_explicit
from .evacuations import Evacuation
from .events import OrderKind
from .identifiers import TimeNs
from .state import State

MAX_ZONES = 64
MAX_IDENTITIES = 512
ZONE_ORDER_KINDS = (OrderKind.EVACUATE, OrderKind.RESTORE)
Key = TypeVar("Key")
Value = TypeVar("Value")


class ZoneOrder(NamedTuple):
    """An order to evacuate or restore a zone. `identity`: 0 if it is not known."""

    kind: OrderKind
    zone: str
    identity: int


class ZoneOrderHistory:
    """The newest orders of both kinds on each zone."""

    def __init__(self, known_since: TimeNs | None = None) -> None:
        """`known_since`: orders accepted earlier are not known; None: there were none."""
        self._known_since = known_since
        # The keys are (zone, kind). An order whose identity is not known counts as unnamed, too.
        self._unnamed_at: dict[tuple[str, OrderKind], TimeNs] = {}  # without an identity from its caller
        self._unidentified_at: dict[tuple[str, OrderKind], TimeNs] = {}
        self._identified_at: dict[ZoneOrder, TimeNs] = {}
        self._delivered_at: dict[ZoneOrder, TimeNs] = {}  # of the answers to restorations

    def copy(self) -> ZoneOrderHistory:
        """Returns a copy, to which changes can be made that may never be committed."""
        copied = ZoneOrderHistory(self._known_since)
        copied._unnamed_at = self._unnamed_at.copy()
        copied._unidentified_at = self._unidentified_at.copy()
        copied._identified_at = self._identified_at.copy()
        copied._delivered_at = self._delivered_at.copy()
        return copied

    def accepted_at(self, order: ZoneOrder) -> TimeNs | None:
        """Returns when the order with this identity was last accepted, or None if that is not known."""
        return self._identified_at.get(order)

    def learned_at(self, order: ZoneOrder) -> TimeNs | None:
        """Returns when an order was last accepted, one without an identity as well; None if that is not known."""
        if order.identity:
            return self.accepted_at(order)
        return self._unidentified_at.get((order.zone, order.kind))

    def delivered_at(self, order: ZoneOrder) -> TimeNs | None:
        """Returns when this member learned that the answer to a restoration was delivered, or None if it has not."""
        return self._delivered_at.get(order)

    def last_similar(self, order: ZoneOrder) -> TimeNs | None:
        """Returns when the last order was accepted that this one may be a copy of, or None if there is none.

        A copy has the identity that the caller gave to the order, if it gave one. The returned time is the latest
        possible one.
        """
        table = self._unidentified_at if is_explicit(order.identity) else self._unnamed_at
        times = table.get((order.zone, order.kind), self._known_since), self.accepted_at(order)
        return max((time for time in times if time is not None), default=None)

    def note(self, order: ZoneOrder, now: TimeNs) -> None:
        """Records an order that was accepted, whether it changed the zone or not."""
        key = order.zone, order.kind
        if not is_explicit(order.identity):
            set_newest(self._unnamed_at, key, now, len(ZONE_ORDER_KINDS) * MAX_ZONES)
        if order.identity:
            set_newest(self._identified_at, order, now, MAX_IDENTITIES)
        else:
            set_newest(self._unidentified_at, key, now, len(ZONE_ORDER_KINDS) * MAX_ZONES)

    def note_delivered(self, order: ZoneOrder, now: TimeNs) -> None:
        """Records that the answer to a restoration was delivered."""
        if order not in self._delivered_at:
            set_newest(self._delivered_at, order, now, MAX_IDENTITIES)

    def observe(self, before: State | None, after: State, now: TimeNs) -> None:
        """Records the orders by which the state `before`, None at the start, became the state `after`."""
        if before is None:
            before = State(0, 0)
        elif after.index > before.index + 1:
            self._known_since = now
        self._observe_restorations(before, after, now)
        if (before.evacuated_zones, before.evacuations) == (after.evacuated_zones, after.evacuations):
            return
        for zone in sorted(before.evacuated_zones | after.evacuated_zones):
            has_older_leader = zone not in after.restorations
            self._observe_zone(zone, before.evacuation_of(zone), after.evacuation_of(zone), has_older_leader, now)

    def _observe_restorations(self, before: State, after: State, now: TimeNs) -> None:
        """Records the restorations that are new, or newly known to be delivered, in the state `after`."""
        for zone, rows in after.restorations.items():
            known = before.restorations.get(zone, ())
            if rows == known:
                continue
            for restoration in rows:
                if restorations.find(known, restoration.identity) is None:
                    self.note(ZoneOrder(OrderKind.RESTORE, zone, restoration.identity), now)
            self._note_zone_deliveries(zone, rows, now)

    def note_deliveries(self, state: State, now: TimeNs) -> None:
        """Records the restorations that are delivered in a state, committed or not: their answers were, anyway."""
        for zone, rows in state.restorations.items():
            self._note_zone_deliveries(zone, rows, now)

    def _note_zone_deliveries(self, zone: str, rows: restorations.Restorations, now: TimeNs) -> None:
        for restoration in rows:
            if restoration.delivery is Delivery.DELIVERED:
                self.note_delivered(ZoneOrder(OrderKind.RESTORE, zone, restoration.identity), now)

    def _observe_zone(
        self, zone: str, before: Evacuation, after: Evacuation, has_older_leader: bool, now: TimeNs
    ) -> None:
        """Records the orders on one zone. A claim that has gone counts as one of a restoration if the leader may be of
        an older version, which does not record these."""
        added = [claim for claim in after.claims if find(before.claims, claim.identity) is None]
        has_ended_claim = any(find(after.claims, claim.identity) is None for claim in before.claims)
        if has_older_leader and (has_ended_claim or after.operators < before.operators):
            self.note(ZoneOrder(OrderKind.RESTORE, zone, 0), now)
        for claim in added:
            self.note(ZoneOrder(OrderKind.EVACUATE, zone, claim.identity), now)
        if after.operators > before.operators and not added:
            self.note(ZoneOrder(OrderKind.EVACUATE, zone, 0), now)


def set_newest(table: dict[Key, Value], key: Key, value: Value, size: int) -> None:
    """Sets a row of a table as its newest one, and removes the oldest one if there would be more than `size`."""
    table.pop(key, None)
    if len(table) >= size:
        del table[next(iter(table))]
    table[key] = value
