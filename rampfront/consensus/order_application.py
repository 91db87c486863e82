"""What an order of an operator makes of the state, and how it ends if that is committed. No I/O, no clock.

Several orders may go into one entry (`batch`). Invariants:

- An order that is acknowledged was committed at some moment: two that turn each other round never share an entry.
- A configuration's number stands for one content for ever: another content under it is a conflict.

Called by `Leader` and its `OrderQueue`.
"""

from typing import NamedTuple

from rampfront.terms import slotted

from .evacuation_claims import IDENTITY_LIMIT
from .evacuations import ZoneChange, evacuate, note_delivered, note_lost, reopen, restore
from .events import Order, OrderKind, Outcome
from .identifiers import LogIndex, RoundNumber, TimeNs
from .repeat_window import RepeatWindow
from .state import MAX_BODY_BYTES, MAX_NAMES, MAX_NUMBER, MAX_ZONE_CHARS, State
from .version_history import content_digest

MAX_EVACUATED_ZONES = MAX_NAMES // 2


class Configuration(NamedTuple):
    """The body of an order to configure."""

    revision: int
    body: bytes
    content: bytes  # its digest


class AnswerReport(NamedTuple):
    """The body of a report on the answer to an order on a zone."""

    zone: str
    identity: int  # of that order


@slotted
class PendingOrder:
    """An order that the leader has not answered yet.

    `change`: the checked body: a configuration, the name of a zone, a report on an answer, or None for a read.
    `entry_index`: of the entry that carries it, or 0. `round`: that must be confirmed first, or 0. `outcome`: what it
    is answered then. `identity`: of an order on a zone, or 0.
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
    def is_taken_up(self) -> bool:
        """Whether an entry or a round is under way for it."""
        return bool(self.entry_index or self.round)

    def await_commit(self, index: LogIndex, number: RoundNumber = 0) -> None:
        """It is answered once that entry is committed (0: any), and that round is confirmed (0: none)."""
        self.entry_index = index
        self.round = number

    def ends_as(self, outcome: Outcome) -> None:
        """What it will be answered."""
        self.outcome = outcome


class Batch(NamedTuple):
    """Orders that go into one entry together. `unchanged`: those that change nothing need no entry, but a round."""

    state: State
    carried: list[PendingOrder]
    unchanged: list[PendingOrder]


def pending_order(order: Order, entry: State, now: TimeNs) -> PendingOrder | None:
    """The checked order; None for one that may not enter the log: its receivers would reject the entry for ever."""
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
    """The checked order on a zone; None if it names none, or one too many."""
    zone, kind = order.body, OrderKind(order.kind)
    if type(zone) is not str or not 0 < len(zone) <= MAX_ZONE_CHARS:
        return None
    is_new = kind is OrderKind.EVACUATE and zone not in entry.evacuated_zones
    if is_new and len(entry.evacuated_zones) >= MAX_EVACUATED_ZONES:
        return None
    return PendingOrder(order.ref, kind, zone, now, identity=_identity(order.identity))


def _configuration(body: object) -> Configuration | None:
    """The checked body of an order to configure."""
    match body:
        case [revision, bytes() as packed] if type(revision) is int:
            if 0 < revision < MAX_NUMBER and len(packed) <= MAX_BODY_BYTES:
                return Configuration(revision, packed, content_digest(packed))
    return None


def _identity(identity: object) -> int:
    """The checked identity; 0 for one that cannot be."""
    return identity if type(identity) is int and 0 < identity < IDENTITY_LIMIT else 0


def _answer_report(body: object) -> AnswerReport | None:
    """The checked body of a report on an answer."""
    match body:
        case [str() as zone, identity] if 0 < len(zone) <= MAX_ZONE_CHARS and _identity(identity):
            return AnswerReport(zone, _identity(identity))
    return None


class OrderApplication:
    """Applies orders to states, at one leader."""

    def __init__(self, repeat_window: RepeatWindow) -> None:
        """`repeat_window`: when this leader took the last orders on each zone."""
        self._repeat_window = repeat_window

    def outcome(self, state: State, order: PendingOrder) -> Outcome:
        """How an order ends if this state, or the one that it makes of it, is committed."""
        change = order.change
        if isinstance(change, Configuration) and state.versions.conflicts_with(change.revision, change.content):
            return Outcome.CONFLICT
        return Outcome.DONE

    def apply(self, state: State, order: PendingOrder, now: TimeNs) -> State:
        """The state with an order carried out; the same object if that changes nothing."""
        change = order.change
        if isinstance(change, Configuration):
            return _configured(state, change)
        if change is None:
            return state
        if isinstance(change, AnswerReport):
            return _with_zones(state, self._reported(state, order.kind, change, now))
        return _with_zones(state, self._zone_change(state, order, change, now))

    def _zone_change(self, state: State, order: PendingOrder, zone: str, now: TimeNs) -> ZoneChange:
        """What an order to evacuate or to restore a zone changes."""
        zones, evacuations, window = state.evacuated_zones, state.evacuations, self._repeat_window
        if order.kind is OrderKind.EVACUATE:
            may_be_repeat = window.evacuation_may_be_repeat(evacuations, zone, order.identity, now)
            return evacuate(zones, evacuations, zone, may_be_repeat, order.identity)
        if window.is_known_repeat(zone, order.identity):
            return ZoneChange(zones, evacuations)
        may_be_repeat = window.restoration_may_be_repeat(zone, order.identity, now)
        return restore(zones, evacuations, zone, may_be_repeat)

    def _reported(self, state: State, kind: OrderKind, report: AnswerReport, now: TimeNs) -> ZoneChange:
        """What follows from the fate of an answer."""
        zones, evacuations = state.evacuated_zones, state.evacuations
        if kind is OrderKind.ANSWER_LOST:
            return note_lost(zones, evacuations, report.zone, report.identity)
        was_followed = self._repeat_window.was_evacuated_at_once(report.zone, now)
        return ZoneChange(zones, note_delivered(evacuations, report.zone, report.identity, was_followed))

    def note(self, order: PendingOrder, before: State, after: State, now: TimeNs) -> None:
        """An order is taken, which makes one state of another; repeats are known by that."""
        change, window = order.change, self._repeat_window
        if isinstance(change, AnswerReport):
            if order.kind is OrderKind.ANSWER_DELIVERED:
                window.note_delivered(after.evacuations, change.zone, change.identity, now)
            return
        if not isinstance(change, str):
            return
        if order.kind is OrderKind.RESTORE and after is not before:
            window.note_restoration(change, order.identity, now)
        if change not in after.evacuated_zones:
            window.forget(change)
        elif order.kind is OrderKind.EVACUATE:
            window.note_evacuation(change, now)

    def batch(self, entry: State, orders: list[PendingOrder], now: TimeNs) -> Batch:
        """As many of the orders as may share one entry, carried out in turn."""
        state = entry
        carried: list[PendingOrder] = []
        unchanged: list[PendingOrder] = []
        kinds: dict[str, OrderKind] = {}  # of the orders on each zone
        for order in orders:
            # An order that another one turns round would be acknowledged, and never was committed: it waits.
            zone = order.change
            if isinstance(zone, str) and kinds.setdefault(zone, order.kind) is not order.kind:
                break
            order.ends_as(self.outcome(state, order))
            after = self.apply(state, order, now)
            self.note(order, state, after, now)
            (unchanged if after is entry else carried).append(order)
            state = after
        return Batch(state, carried, unchanged)

    def reopen_expired_zone(self, entry: State, now: TimeNs) -> ZoneChange | None:
        """Without a zone that nobody certain keeps evacuated any more; None if there is none."""
        zone = self._repeat_window.expired_zone(entry.evacuations, now)
        return None if zone is None else reopen(entry.evacuated_zones, entry.evacuations, zone)


def _configured(state: State, change: Configuration) -> State:
    """The state with a configuration; an older one only enters the history."""
    versions = state.versions.with_version(change.revision, change.content)
    if change.revision > state.revision:
        return state.next_entry(revision=change.revision, body=change.body, versions=versions)
    return state if versions is state.versions else state.next_entry(versions=versions)


def _with_zones(state: State, changed: ZoneChange) -> State:
    if changed.zones is state.evacuated_zones and changed.evacuations is state.evacuations:
        return state
    return state.next_entry(evacuated_zones=changed.zones, evacuations=changed.evacuations)
