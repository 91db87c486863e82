"""Decides by elapsed time whether an order to restore a zone may be a retry of the restoration before it.

Callers retry an order for a bounded time if its answer was lost (`restorations.py` describes the consequences). A
caller whose answer was delivered does not retry, except that a program may lose an answer that its machine has
acknowledged; it then retries immediately. The times are those at which this member learned of an order or a delivery,
as a leader or from a committed state (`zone_order_history.py`), so they are never too early. What the member does not
know counts as of the leader's election. No I/O, no clock: times are ns of the leader's monotonic clock.
"""

from .evacuation_claims import Delivery, is_explicit
from .events import OrderKind
from .identifiers import MS, SEC, DurationNs, TimeNs
from .restorations import Restorations, last_unnamed
from .zone_order_history import MAX_IDENTITIES, ZoneOrder, ZoneOrderHistory, set_newest

DEFAULT_REPEAT_NS = 6 * SEC  # how long callers retry an order, unless the settings say otherwise
IN_FLIGHT_NS = SEC  # how long an order may be in transit to the leader
IMMEDIATE_REPEAT_NS = 500 * MS  # first retry delay of a program that lost an answer its machine had received
ANSWERED_WITHIN_NS = SEC  # from the acceptance of an order to its answer; callers wait no longer


def retry_window(repeats_within: DurationNs) -> DurationNs:
    """Returns how long after an order a retry of it may reach the leader; callers retry for `repeats_within`."""
    return repeats_within + IN_FLIGHT_NS


class RepeatWindow:
    """Compares the times of the last restorations of each zone, at one leader."""

    def __init__(self, history: ZoneOrderHistory, began_at: TimeNs, repeats_within: DurationNs) -> None:
        """`history`: of this leader; `began_at`: when it was elected; `repeats_within`: how long callers retry."""
        self._history = history
        self._began_at = began_at
        self._window = retry_window(repeats_within)
        self._given_at: dict[ZoneOrder, TimeNs] = {}  # the first attempts at the orders that this leader accepted

    def note_given(self, order: ZoneOrder, given_at: TimeNs) -> None:
        """Records when the first attempt at an accepted order came."""
        set_newest(self._given_at, order, given_at, MAX_IDENTITIES)

    def may_be_repeat(self, restorations: Restorations, zone: str, identity: int, now: TimeNs) -> bool:
        """Whether an order to restore a zone may be a retry of the last one of `restorations` that has no name.

        An order with a name is a retry only of the one with the same name.
        """
        last = last_unnamed(restorations)
        if last is None or is_explicit(identity):
            return False
        if last.delivery is Delivery.DELIVERED:
            delivered_at = self._history.delivered_at(_order(zone, last.identity))
            return now - self._or_election(delivered_at) <= IMMEDIATE_REPEAT_NS
        return now - self._accepted_at(zone, last.identity) <= self._window

    def is_within_window(self, now: TimeNs) -> bool:
        """Whether callers of orders that an earlier leader accepted may still retry them."""
        return now - self._began_at <= self._window

    def followed_closely(self, zone: str, first: int, second: int) -> bool:
        """Whether the restoration with the identity `second` may have come so soon after `first` that it is a retry,
        although the answer to `first` was delivered."""
        given_at = self._given_at.get(_order(zone, second))
        if given_at is None:  # an earlier leader accepted it
            return True
        return given_at - self._accepted_at(zone, first) <= ANSWERED_WITHIN_NS + IMMEDIATE_REPEAT_NS

    def _accepted_at(self, zone: str, identity: int) -> TimeNs:
        return self._or_election(self._history.learned_at(_order(zone, identity)))

    def _or_election(self, time: TimeNs | None) -> TimeNs:
        return self._began_at if time is None else time


def _order(zone: str, identity: int) -> ZoneOrder:
    return ZoneOrder(OrderKind.RESTORE, zone, identity)
