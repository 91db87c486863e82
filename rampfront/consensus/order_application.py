"""Applies operators' orders to the state and determines their outcomes. No I/O, no clock.

Several orders may share one entry (`batch`). Invariants:

- The result of every acknowledged order was committed at some time, so two orders that undo each other never share an
  entry.
- A configuration number always denotes the same content; an order with other content under that number is a conflict.

`Leader` and its `OrderQueue` call this module.
"""

from typing import NamedTuple, TypeAlias

from rampfront.terms import slotted

from . import restorations as restoration_rows
from .evacuation_claims import IDENTITY_LIMIT, is_explicit, lost_claim
from .evacuations import ZoneChange, end_claim, evacuate, note_delivered, note_lost, restore, restore_later
from .events import Order, OrderKind, Outcome
from .identifiers import LogIndex, RoundNumber, TimeNs
from .late_orders import LateOrderDetector
from .repeat_window import RepeatWindow
from .restorations import Restoration
from .state import MAX_BODY_BYTES, MAX_NAMES, MAX_NUMBER, MAX_ZONE_CHARS, State
from .version_history import content_digest
from .zone_order_history import ZoneOrder

MAX_EVACUATED_ZONES = MAX_NAMES // 2


class Configuration(NamedTuple):
    """The body of a CONFIGURE order."""

    revision: int
    body: bytes
    content: bytes  # digest of the content


class AnswerReport(NamedTuple):
    """The body of a delivery report on the answer to a zone order."""

    zone: str
    identity: int  # identity of that order


class ClaimEnd(NamedTuple):
    """The body of an order to end one claim on a zone."""

    zone: str
    identity: int  # of the claim


Change: TypeAlias = Configuration | AnswerReport | ClaimEnd | str | None


@slotted
class PendingOrder:
    """An order that the leader has not answered yet.

    `change`: the validated body: a configuration, a zone's name, a claim to end, a delivery report, or None for a read.
    `entry_index`: index of the entry that must be committed first, or 0. `round`: heartbeat round that must be
    confirmed first, or 0. `outcome`: the answer to send then. `identity`: identity of a zone order, or 0.
    """

    ref: object
    kind: OrderKind
    change: Change
    received_at: TimeNs
    entry_index: LogIndex = 0
    round: RoundNumber = 0
    outcome: Outcome = Outcome.DONE
    identity: int = 0

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
        case OrderKind.ANSWER_DELIVERED | OrderKind.ANSWER_LOST:
            report = _answer_report(body)
            return PendingOrder(order.ref, OrderKind(order.kind), report, now) if report else None
        case OrderKind.END_CLAIM:
            named = _answer_report(body)
            return PendingOrder(order.ref, OrderKind.END_CLAIM, ClaimEnd(*named), now) if named else None
        case OrderKind.READ:
            return PendingOrder(order.ref, OrderKind.READ, None, now)
        case _:
            return None


def _zone_order(order: Order, entry: State, now: TimeNs) -> PendingOrder | None:
    """Validates a zone order; returns None if the name is invalid or there would be too many zones or claims."""
    zone, kind = order.body, OrderKind(order.kind)
    if type(zone) is not str or not 0 < len(zone) <= MAX_ZONE_CHARS:
        return None
    identity = _identity(order.identity)
    if kind is OrderKind.EVACUATE and not _has_room(entry, zone, identity):
        return None
    return PendingOrder(order.ref, kind, zone, now, identity=identity)


def _has_room(entry: State, zone: str, identity: int) -> bool:
    """Whether an order to evacuate a zone can be counted: a 200 without a claim would promise nothing."""
    if zone not in entry.evacuated_zones:
        return len(entry.evacuated_zones) < MAX_EVACUATED_ZONES
    evacuation = entry.evacuation_of(zone)
    return not evacuation.is_full() or evacuation.has_claim(identity) or lost_claim(evacuation.claims) is not None


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


def _answer_report(body: object) -> AnswerReport | None:
    """Returns the validated body of a delivery report, or None if it is invalid."""
    match body:
        case [str() as zone, identity] if 0 < len(zone) <= MAX_ZONE_CHARS and _identity(identity):
            return AnswerReport(zone, _identity(identity))
    return None


class OrderApplication:
    """Applies orders to states, on one leader."""

    def __init__(self, repeat_window: RepeatWindow, late_orders: LateOrderDetector) -> None:
        """Both arguments belong to one leader: they know the last orders on each zone."""
        self._repeat_window = repeat_window
        self._late_orders = late_orders

    def outcome(self, state: State, order: PendingOrder) -> Outcome:
        """Returns the outcome of an order, given that this state or the state resulting from it is committed."""
        change = order.change
        if isinstance(change, Configuration) and state.versions.conflicts_with(change.revision, change.content):
            return Outcome.CONFLICT
        return Outcome.DONE

    def apply(self, state: State, order: PendingOrder, now: TimeNs) -> State:
        """Returns the state after an order; the same object if the order changes nothing."""
        change = order.change
        if isinstance(change, Configuration):
            return _with_configuration(state, change)
        if change is None:
            return state
        if isinstance(change, AnswerReport):
            return self._apply_report(state, order.kind, change)
        if isinstance(change, ClaimEnd):
            return _with_claim_ended(state, change)
        if order.kind is OrderKind.EVACUATE:
            evacuated = evacuate(state.evacuated_zones, state.evacuations, change, order.identity)
            return _with_zones(state, evacuated, change)
        return self._apply_restoration(state, order, change, now)

    def _apply_restoration(self, state: State, order: PendingOrder, zone: str, now: TimeNs) -> State:
        """Returns the state after an order to restore a zone; one that may be a repeat is only recorded."""
        zone_order = ZoneOrder(order.kind, zone, order.identity)
        rows = state.restorations.get(zone, ())
        is_recorded = not is_explicit(order.identity) and restoration_rows.find(rows, order.identity) is not None
        if is_recorded or self._late_orders.is_known_repeat(zone_order, now):
            return state
        if rows:
            may_be_repeat = self._repeat_window.may_be_repeat(rows, zone, order.identity, now)
        else:  # a leader of an older version did not record the last one
            may_be_repeat = state.evacuation_of(zone).returned and self._repeat_window.is_within_window(now)
        claims = state.evacuation_of(zone).claims
        newest_claim = claims[-1].identity if claims and may_be_repeat else 0
        rows = restoration_rows.with_new(rows, Restoration(order.identity, newest_claim=newest_claim))
        after = state.next_entry(restorations=restoration_rows.with_zone(state.restorations, zone, rows))
        if may_be_repeat:
            return after
        return _with_zones(after, restore(state.evacuated_zones, state.evacuations, zone), zone)

    def _apply_report(self, state: State, kind: OrderKind, report: AnswerReport) -> State:
        """Returns the state after a delivery report."""
        zone, identity = report
        if kind is OrderKind.ANSWER_LOST:
            return _with_zones(state, note_lost(state.evacuated_zones, state.evacuations, zone, identity), zone)
        evacuations = note_delivered(state.evacuations, zone, identity)
        after = _with_zones(state, ZoneChange(state.evacuated_zones, evacuations), zone)
        noted = restoration_rows.note_delivered(state.restorations.get(zone, ()), identity)
        after = _with_restorations(after, zone, noted.restorations)
        successor = noted.successor
        if successor is None or self._repeat_window.followed_closely(zone, identity, successor.identity):
            return after
        # The caller of the delivered answer had no reason to retry: the order after it was no repeat.
        after = _with_restorations(after, zone, restoration_rows.settled(noted.restorations, successor))
        restored = restore_later(after.evacuated_zones, after.evacuations, zone, successor.newest_claim)
        return _with_zones(after, restored, zone)

    def note(self, order: PendingOrder, now: TimeNs) -> None:
        """Records an accepted order, for the detection of retries."""
        change = order.change
        if isinstance(change, AnswerReport):
            if order.kind is OrderKind.ANSWER_DELIVERED:
                self._late_orders.note_delivered(ZoneOrder(OrderKind.RESTORE, *change), now)
            return
        if not isinstance(change, str):
            return
        self._late_orders.note_accepted(ZoneOrder(order.kind, change, order.identity), now)

    def _must_be_repeated(self, state: State, order: PendingOrder, now: TimeNs) -> bool:
        """Whether an order may be a late copy of an earlier one, and would change who keeps its zone evacuated."""
        zone = order.change
        if not isinstance(zone, str):
            return False
        zone_order = ZoneOrder(order.kind, zone, order.identity)
        if not self._late_orders.may_be_late_copy(zone_order, now):
            return False
        before, after = state.evacuation_of(zone), self.apply(state, order, now).evacuation_of(zone)
        replaces_lost = after.operators == before.operators > 0
        if after == before or replaces_lost:
            return False
        return self._late_orders.must_be_repeated(zone_order, now)

    def batch(self, entry: State, orders: list[PendingOrder], now: TimeNs) -> Batch:
        """Applies orders in sequence, up to the first one that must not share an entry with those before it."""
        state = entry
        carried: list[PendingOrder] = []
        unchanged: list[PendingOrder] = []
        kinds: dict[str, OrderKind] = {}  # kind of the orders on each zone
        for order in orders:
            # If a later order of the same entry undid an earlier one, the earlier one would be acknowledged although
            # its result was never committed. Orders of the other kind on a zone therefore wait for the next entry.
            zone = order.change.zone if isinstance(order.change, ClaimEnd) else order.change
            if isinstance(zone, str) and kinds.setdefault(zone, order.kind) is not order.kind:
                break
            if self._must_be_repeated(state, order, now):
                order.set_outcome(Outcome.NEEDS_REPEAT)
                unchanged.append(order)
                continue
            order.set_outcome(self.outcome(state, order))
            after = self.apply(state, order, now)
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


def _with_zones(state: State, changed: ZoneChange, zone: str) -> State:
    """Returns the state with changed zones. Once `zone` is open, no pending restoration ends a later claim."""
    if changed.zones is state.evacuated_zones and changed.evacuations is state.evacuations:
        return state
    after = state.next_entry(evacuated_zones=changed.zones, evacuations=changed.evacuations)
    return after if zone in changed.zones else _without_pending(after, zone)


def _with_claim_ended(state: State, change: ClaimEnd) -> State:
    """Returns the state after an order that ends a claim by its identity.

    The same operator may have restored the zone before. So no pending restoration ends a further claim.
    """
    after = _with_zones(state, end_claim(state.evacuated_zones, state.evacuations, *change), change.zone)
    return after if after is state else _without_pending(after, change.zone)


def _without_pending(state: State, zone: str) -> State:
    rows = state.restorations.get(zone, ())
    return _with_restorations(state, zone, restoration_rows.without_pending(rows)) if rows else state


def _with_restorations(state: State, zone: str, rows: restoration_rows.Restorations) -> State:
    if state.restorations.get(zone, ()) == rows:
        return state
    return state.next_entry(restorations=restoration_rows.with_zone(state.restorations, zone, rows))
