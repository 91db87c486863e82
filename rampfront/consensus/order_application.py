"""Applies operators' orders to the state and determines their outcomes. No I/O, no clock.

Several orders may share one entry (`batch`). Invariants:

- The result of every acknowledged order was committed at some time, so two orders that undo each other never share an
  entry.
- A configuration number always denotes the same content; an order with other content under that number is a conflict.

`Leader` and its `OrderQueue` call this module.
"""

from typing import NamedTuple

from rampfront.terms import slotted

from .evacuation_claims import IDENTITY_LIMIT
from .evacuations import ZoneChange, evacuate, note_delivered, note_lost, reopen, restore
from .events import Order, OrderKind, Outcome
from .identifiers import LogIndex, RoundNumber, TimeNs
from .late_orders import LateOrderDetector
from .repeat_window import RepeatWindow
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


@slotted
class PendingOrder:
    """An order that the leader has not answered yet.

    `change`: the validated body: a configuration, a zone's name, a delivery report, or None for a read. `entry_index`:
    index of the entry that must be committed first, or 0. `round`: heartbeat round that must be confirmed first, or 0.
    `outcome`: the answer to send then. `identity`: identity of a zone order, or 0.
    """

    ref: object
    kind: OrderKind
    change: Configuration | AnswerReport | str | None
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
        case OrderKind.READ:
            return PendingOrder(order.ref, OrderKind.READ, None, now)
        case _:
            return None


def _zone_order(order: Order, entry: State, now: TimeNs) -> PendingOrder | None:
    """Validates a zone order; returns None if the name is invalid or too many zones would be evacuated."""
    zone, kind = order.body, OrderKind(order.kind)
    if type(zone) is not str or not 0 < len(zone) <= MAX_ZONE_CHARS:
        return None
    is_new = kind is OrderKind.EVACUATE and zone not in entry.evacuated_zones
    if is_new and len(entry.evacuated_zones) >= MAX_EVACUATED_ZONES:
        return None
    return PendingOrder(order.ref, kind, zone, now, identity=_identity(order.identity))


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
        """Returns the state after an order; the same object if the order changes nothing.

        An order that repeats an attempt, as was demanded, has the effect that it would have had then.
        """
        change = order.change
        if isinstance(change, Configuration):
            return _with_configuration(state, change)
        if change is None:
            return state
        if isinstance(change, AnswerReport):
            return _with_zones(state, self._apply_report(state, order.kind, change, now))
        return _with_zones(state, self._apply_zone_order(state, order, change, now))

    def _apply_zone_order(self, state: State, order: PendingOrder, zone: str, now: TimeNs) -> ZoneChange:
        """Returns the zones after an order to evacuate or restore one."""
        zones, evacuations = state.evacuated_zones, state.evacuations
        window = self._repeat_window
        zone_order = ZoneOrder(order.kind, zone, order.identity)
        given_at = self._late_orders.first_attempt_at(zone_order, now)
        if order.kind is OrderKind.EVACUATE:
            may_be_repeat = window.evacuation_may_be_repeat(evacuations, zone, order.identity, given_at)
            return evacuate(zones, evacuations, zone, may_be_repeat, order.identity)
        if self._late_orders.is_known_repeat(zone_order, now):
            return ZoneChange(zones, evacuations)
        may_be_repeat = window.restoration_may_be_repeat(zone, order.identity, given_at)
        return restore(zones, evacuations, zone, may_be_repeat)

    def _apply_report(self, state: State, kind: OrderKind, report: AnswerReport, now: TimeNs) -> ZoneChange:
        """Returns the zones after a delivery report."""
        zones, evacuations = state.evacuated_zones, state.evacuations
        if kind is OrderKind.ANSWER_LOST:
            return note_lost(zones, evacuations, report.zone, report.identity)
        was_followed_closely = self._repeat_window.was_evacuated_recently(report.zone, now)
        return ZoneChange(zones, note_delivered(evacuations, report.zone, report.identity, was_followed_closely))

    def note(self, order: PendingOrder, before: State, after: State, now: TimeNs) -> None:
        """Records an accepted order, which changed the state `before` to `after`, for the detection of retries."""
        change, window = order.change, self._repeat_window
        if isinstance(change, AnswerReport):
            if order.kind is OrderKind.ANSWER_DELIVERED:
                window.note_delivered(after.evacuations, change.zone, change.identity, now)
            return
        if not isinstance(change, str):
            return
        self._late_orders.note_accepted(ZoneOrder(order.kind, change, order.identity), now)
        if order.kind is OrderKind.RESTORE and after is not before:
            window.note_restoration(change, order.identity, now)
        if change not in after.evacuated_zones:
            window.forget(change)
        elif order.kind is OrderKind.EVACUATE:
            window.note_evacuation(change, now)

    def _must_be_repeated(self, state: State, order: PendingOrder, now: TimeNs) -> bool:
        """Whether an order may be a late copy of an earlier one, and would change who keeps its zone evacuated."""
        zone = order.change
        if not isinstance(zone, str):
            return False
        zone_order = ZoneOrder(order.kind, zone, order.identity)
        if not self._late_orders.may_be_late_copy(zone_order, now):
            return False
        after = self.apply(state, order, now)
        if after is state or self._is_retry(state, after, zone, now):
            return False
        return self._late_orders.must_be_repeated(zone_order, now)

    def _is_retry(self, before: State, after: State, zone: str, now: TimeNs) -> bool:
        """Whether an order, which changes `before` to `after`, is taken for a retry of the last evacuation of the zone.

        Demanding another attempt would delay a caller whose answer was lost, until its order counts as a new one.
        """
        evacuation = before.evacuation_of(zone)
        if not evacuation.operators or after.evacuation_of(zone).operators != evacuation.operators:
            return False
        return evacuation.has_lost_claim() or self._repeat_window.was_delivered_recently(zone, now)

    def batch(self, entry: State, orders: list[PendingOrder], now: TimeNs) -> Batch:
        """Applies orders in sequence, up to the first one that must not share an entry with those before it."""
        state = entry
        carried: list[PendingOrder] = []
        unchanged: list[PendingOrder] = []
        kinds: dict[str, OrderKind] = {}  # kind of the orders on each zone
        for order in orders:
            # If a later order of the same entry undid an earlier one, the earlier one would be acknowledged although
            # its result was never committed. Orders of the other kind on a zone therefore wait for the next entry.
            zone = order.change
            if isinstance(zone, str) and kinds.setdefault(zone, order.kind) is not order.kind:
                break
            if self._must_be_repeated(state, order, now):
                order.set_outcome(Outcome.NEEDS_REPEAT)
                unchanged.append(order)
                continue
            order.set_outcome(self.outcome(state, order))
            after = self.apply(state, order, now)
            self.note(order, state, after, now)
            (unchanged if after is entry else carried).append(order)
            state = after
        return Batch(state, carried, unchanged)

    def reopen_expired_zone(self, entry: State, now: TimeNs) -> ZoneChange | None:
        """Reopens a zone that no certain operator keeps evacuated any more; returns None if there is none."""
        zone = self._repeat_window.expired_zone(entry.evacuations, now)
        return None if zone is None else reopen(entry.evacuated_zones, entry.evacuations, zone)


def _with_configuration(state: State, change: Configuration) -> State:
    """Returns the state with a configuration; one older than the current one is only added to the history."""
    versions = state.versions.with_version(change.revision, change.content)
    if change.revision > state.revision:
        return state.next_entry(revision=change.revision, body=change.body, versions=versions)
    return state if versions is state.versions else state.next_entry(versions=versions)


def _with_zones(state: State, changed: ZoneChange) -> State:
    if changed.zones is state.evacuated_zones and changed.evacuations is state.evacuations:
        return state
    return state.next_entry(evacuated_zones=changed.zones, evacuations=changed.evacuations)
