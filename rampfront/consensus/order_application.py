"""Applies operators' orders to the state and determines their outcomes. No I/O, no clock.

Several orders may share one entry (`batch`). Invariants:

- The result of every acknowledged order was committed at some time, so two orders that undo each other never share an
  entry.
- A configuration number always denotes the same content; an order with other content under that number is a conflict.

`Leader` and its `OrderQueue` call this module.
"""

from typing import NamedTuple, TypeAlias

from rampfront.terms import slotted

from . import zone_order_application as zone_orders
from .evacuations import IDENTITY_LIMIT
from .events import Order, OrderKind, Outcome
from .identifiers import LogIndex, RoundNumber, TimeNs
from .late_orders import LateOrderDetector, ZoneOrder
from .state import MAX_BODY_BYTES, MAX_NAMES, MAX_NUMBER, MAX_ZONE_CHARS, State
from .version_history import content_digest

MAX_EVACUATED_ZONES = MAX_NAMES // 2


class Configuration(NamedTuple):
    """The body of a CONFIGURE order."""

    revision: int
    body: bytes
    content: bytes  # digest of the content


Change: TypeAlias = Configuration | ZoneOrder | None


@slotted
class PendingOrder:
    """An order that the leader has not answered yet.

    `change`: the validated order, or None for a read. `entry_index`: index of the entry that must be
    committed first, or 0. `round`: heartbeat round that must be confirmed first, or 0. `outcome`: the answer to send
    then.
    """

    ref: object
    kind: OrderKind
    change: Change
    received_at: TimeNs
    entry_index: LogIndex = 0
    round: RoundNumber = 0
    outcome: Outcome = Outcome.DONE

    @property
    def is_in_progress(self) -> bool:
        """Whether an entry or a heartbeat round is in progress for this order."""
        return bool(self.entry_index or self.round)

    def await_commit(self, index: LogIndex, number: RoundNumber = 0) -> None:
        """Sets the entry that must be committed (0: any) and the round that must be confirmed (0: none) first."""
        self.entry_index = index
        self.round = number

    def set_outcome(self, outcome: Outcome) -> None:
        """Sets the outcome to answer with."""
        self.outcome = outcome


class Batch(NamedTuple):
    """Orders that are processed together.

    `state`: the resulting state. `carried`: orders that need the new entry. `unchanged`: orders that change nothing;
    they need no entry, but a confirmed heartbeat round.
    """

    state: State
    carried: list[PendingOrder]
    unchanged: list[PendingOrder]


def pending_order(order: Order, entry: State, now: TimeNs) -> PendingOrder | None:
    """Validates an order; returns None if it is invalid.

    An invalid order must not enter the log, because followers would reject the entry forever.
    """
    body = order.body
    match order.kind:
        case OrderKind.CONFIGURE:
            configuration = _configuration(body)
            return PendingOrder(order.ref, OrderKind.CONFIGURE, configuration, now) if configuration else None
        case OrderKind.EVACUATE | OrderKind.RESTORE:
            return _zone_order(order, entry, now)
        case OrderKind.END_HOLD:
            ending = _hold_end(body)
            return PendingOrder(order.ref, OrderKind.END_HOLD, ending, now) if ending else None
        case OrderKind.READ:
            return PendingOrder(order.ref, OrderKind.READ, None, now)
        case _:
            return None


def _zone_order(order: Order, entry: State, now: TimeNs) -> PendingOrder | None:
    """Validates a zone order; returns None if the name is invalid or there would be too many zones or holds."""
    zone, kind = order.body, OrderKind(order.kind)
    if type(zone) is not str or not 0 < len(zone) <= MAX_ZONE_CHARS:
        return None
    identity = _identity(order.identity)
    if kind is OrderKind.EVACUATE and not _has_room(entry, zone, identity):
        return None
    return PendingOrder(order.ref, kind, ZoneOrder(kind, zone, identity), now)


def _has_room(entry: State, zone: str, identity: int) -> bool:
    """Whether an order to evacuate a zone can be in force."""
    if zone not in entry.evacuated_zones:
        return len(entry.evacuated_zones) < MAX_EVACUATED_ZONES
    return entry.evacuation_of(zone).has_room(identity)


def _configuration(body: object) -> Configuration | None:
    """Returns the validated body of a CONFIGURE order, or None if it is invalid."""
    match body:
        case [revision, bytes() as packed] if type(revision) is int:
            if 0 < revision < MAX_NUMBER and len(packed) <= MAX_BODY_BYTES:
                return Configuration(revision, packed, content_digest(packed))
    return None


def _identity(identity: object) -> int:
    """Returns the validated identity, or 0 if it is invalid."""
    return identity if type(identity) is int and 0 < identity < IDENTITY_LIMIT else 0


def _hold_end(body: object) -> ZoneOrder | None:
    """Returns the order that ends a named hold, or None if its body is invalid."""
    match body:
        case [str() as zone, identity] if 0 < len(zone) <= MAX_ZONE_CHARS and _identity(identity):
            return ZoneOrder(OrderKind.END_HOLD, zone, _identity(identity))
    return None


class OrderApplication:
    """Applies orders to states, on one leader."""

    def __init__(self, late_orders: LateOrderDetector) -> None:
        """`late_orders`: of the same leader; it knows the last orders on each zone."""
        self._late_orders = late_orders

    def outcome(self, state: State, order: PendingOrder) -> Outcome:
        """Returns the outcome of an order, given that this state or the state resulting from it is committed."""
        change = order.change
        if isinstance(change, Configuration) and state.versions.conflicts_with(change.revision, change.content):
            return Outcome.CONFLICT
        return zone_orders.outcome(state, change) if isinstance(change, ZoneOrder) else Outcome.DONE

    def apply(self, state: State, order: PendingOrder) -> State:
        """Returns the state after an order; the same object if the order changes nothing."""
        change = order.change
        if isinstance(change, Configuration):
            return _with_configuration(state, change)
        return state if change is None else zone_orders.applied(state, change)

    def note(self, order: PendingOrder, now: TimeNs) -> None:
        """Records an accepted order, for the detection of late ones."""
        if isinstance(order.change, ZoneOrder):
            self._late_orders.note_accepted(order.change, now)

    def batch(self, entry: State, orders: list[PendingOrder], now: TimeNs) -> Batch:
        """Applies orders in sequence, up to the first one that must not share an entry with those before it."""
        state = entry
        carried: list[PendingOrder] = []
        unchanged: list[PendingOrder] = []
        kinds: dict[str, OrderKind] = {}  # kind of the orders on each zone
        for order in orders:
            # If a later order of the same entry undid an earlier one, the earlier one would be acknowledged although
            # its result was never committed. Orders of the other kind on a zone therefore wait for the next entry.
            change = order.change
            if isinstance(change, ZoneOrder) and kinds.setdefault(change.zone, order.kind) != order.kind:
                break
            after = self.apply(state, order)
            has_effect = after is not state
            if isinstance(change, ZoneOrder) and has_effect and self._late_orders.must_be_repeated(change, now):
                order.set_outcome(Outcome.NEEDS_REPEAT)
                unchanged.append(order)
                continue
            order.set_outcome(self.outcome(state, order))
            self.note(order, now)
            (unchanged if after is entry else carried).append(order)
            state = after
        return Batch(state, carried, unchanged)


def _with_configuration(state: State, change: Configuration) -> State:
    """Returns the state with a configuration; one older than the current one is only added to the history."""
    versions = state.versions.with_version(change.revision, change.content)
    if change.revision > state.revision:
        return state.next_entry(revision=change.revision, body=change.body, versions=versions)
    return state if versions is state.versions else state.next_entry(versions=versions)
