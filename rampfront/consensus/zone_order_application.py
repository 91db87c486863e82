"""Applies orders on zones, and delivery reports on their answers, to the state. No I/O, no clock.

`evacuations.py` and `restorations.py` say what an order does to the claims and to the restorations of a zone;
`repeat_window.py` and `late_orders.py` decide whether it may be a repeat or a late copy. `order_application.py` calls
this module.
"""

from typing import NamedTuple, TypeAlias

from . import restorations as restoration_rows
from .evacuation_claims import is_explicit
from .evacuations import ZoneChange, end_claim, evacuate, note_delivered, note_lost, restore, restore_later
from .events import OrderKind
from .identifiers import TimeNs
from .late_orders import LateOrderDetector
from .repeat_window import RepeatWindow
from .restorations import Restoration, Restorations
from .state import State
from .zone_order_history import ZoneOrder


class DeliveryReport(NamedTuple):
    """Whether the answer to a zone order was delivered."""

    zone: str
    identity: int  # of that order
    is_delivered: bool


class ClaimEnd(NamedTuple):
    """An order to end one claim on a zone."""

    zone: str
    identity: int  # of the claim


ZoneInput: TypeAlias = ZoneOrder | DeliveryReport | ClaimEnd


class ZoneOrderApplication:
    """Applies orders on zones to states, on one leader."""

    def __init__(self, repeat_window: RepeatWindow, late_orders: LateOrderDetector) -> None:
        """Both arguments belong to one leader: they know the last orders on each zone."""
        self._repeat_window = repeat_window
        self._late_orders = late_orders

    def apply(self, state: State, change: ZoneInput, now: TimeNs) -> State:
        """Returns the state after an order or a report; the same object if nothing changes."""
        match change:
            case DeliveryReport():
                return self._apply_report(state, change)
            case ClaimEnd():
                return _with_claim_ended(state, change)
            case ZoneOrder(kind=OrderKind.EVACUATE):
                after = evacuate(state.evacuated_zones, state.evacuations, change.zone, change.identity)
                return _with_zones(state, after, change.zone)
            case _:
                return self._apply_restoration(state, change, now)

    def _apply_restoration(self, state: State, order: ZoneOrder, now: TimeNs) -> State:
        """Returns the state after an order to restore a zone; one that may be a repeat is only recorded.

        An order that was given twice, as was demanded, is judged by the time of its first attempt.
        """
        zone, identity = order.zone, order.identity
        rows = state.restorations.get(zone, ())
        is_recorded = not is_explicit(identity) and restoration_rows.find(rows, identity) is not None
        if is_recorded or self._late_orders.is_known_repeat(order, now):
            return state
        given_at = self._late_orders.first_attempt_at(order, now)
        if rows:
            may_be_repeat = self._repeat_window.may_be_repeat(rows, zone, identity, given_at)
        else:  # a leader of an older version did not record the last one
            may_be_repeat = state.evacuation_of(zone).returned and self._repeat_window.is_within_window(given_at)
        claims = state.evacuation_of(zone).claims
        newest_claim = claims[-1].identity if claims and may_be_repeat else 0
        new = Restoration(identity, newest_claim=newest_claim)
        after = _with_restorations(state, zone, restoration_rows.with_new(rows, new))
        if may_be_repeat:
            return after
        return _with_zones(after, restore(state.evacuated_zones, state.evacuations, zone), zone)

    def _apply_report(self, state: State, report: DeliveryReport) -> State:
        """Returns the state after a delivery report."""
        zone, identity = report.zone, report.identity
        if not report.is_delivered:
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

    def note(self, change: ZoneInput, now: TimeNs) -> None:
        """Records an order or a report that was accepted, for the detection of repeats."""
        if isinstance(change, DeliveryReport) and change.is_delivered:
            self._late_orders.note_delivered(ZoneOrder(OrderKind.RESTORE, change.zone, change.identity), now)
        if isinstance(change, ZoneOrder):
            self._repeat_window.note_given(change, self._late_orders.first_attempt_at(change, now))
            self._late_orders.note_accepted(change, now)

    def must_be_repeated(self, state: State, order: ZoneOrder, now: TimeNs) -> bool:
        """Whether an order may be a late copy of an earlier one, and would change who keeps its zone evacuated.

        So would a restoration that is only recorded: it may end a claim later.
        """
        zone = order.zone
        if not self._late_orders.may_be_late_copy(order, now):
            return False
        after = self.apply(state, order, now)
        if order.kind is OrderKind.RESTORE:
            has_effect = zone in state.evacuated_zones and after is not state
        else:
            replaces_lost = after.evacuation_of(zone).operators == state.evacuation_of(zone).operators
            has_effect = after is not state and not replaces_lost
        return has_effect and self._late_orders.must_be_repeated(order, now)


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


def _with_restorations(state: State, zone: str, rows: Restorations) -> State:
    if state.restorations.get(zone, ()) == rows:
        return state
    return state.next_entry(restorations=restoration_rows.with_zone(state.restorations, zone, rows))
