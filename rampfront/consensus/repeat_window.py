"""Decides by elapsed time whether an order on a zone may be a retry of the previous one.

Callers retry an order for a bounded time if its answer was lost (`evacuations.py` describes the consequences). A caller
whose answer was delivered does not retry, except that a program may lose an answer that its machine has acknowledged;
it then retries immediately. A leader records when it accepted the last orders and when their answers were delivered.
Zones that were already evacuated when it was elected are treated as evacuated at that time. No I/O, no clock: times are
ns of the leader's monotonic clock.
"""

from .evacuation_claims import Delivery, is_explicit, last_counted
from .evacuations import SINGLE_OPERATOR, EvacuationTable
from .identifiers import MS, SEC, DurationNs, TimeNs
from .zone_order_history import set_newest

DEFAULT_REPEAT_NS = 6 * SEC  # how long callers retry an order, unless the settings say otherwise
IN_FLIGHT_NS = SEC  # how long an order may be in transit to the leader
IMMEDIATE_REPEAT_NS = 500 * MS  # first retry delay of a program that lost an answer its machine had received
MAX_RESTORATIONS = 64  # zones whose last restoration is remembered


def retry_window(repeats_within: DurationNs) -> DurationNs:
    """Returns how long after an order a retry of it may reach the leader; callers retry for `repeats_within`."""
    return repeats_within + IN_FLIGHT_NS


class RepeatWindow:
    """The times at which one leader accepted the last orders on each evacuated zone."""

    def __init__(self, began_at: TimeNs, repeats_within: DurationNs) -> None:
        """`began_at`: when this leader was elected; `repeats_within`: how long callers retry an order."""
        self._began_at = began_at
        self._window = retry_window(repeats_within)
        # Keyed by zone; entries are removed when the zone reopens.
        self._evacuated_at: dict[str, TimeNs] = {}
        self._evacuation_delivered_at: dict[str, TimeNs] = {}  # delivery of the answer to the last evacuation order
        self._restored_at: dict[str, TimeNs] = {}
        self._restoration_delivered_at: dict[str, TimeNs] = {}
        self._last_restoration: dict[str, int] = {}  # identity by zone; kept when the zone reopens, bounded

    def evacuation_may_be_repeat(self, evacuations: EvacuationTable, zone: str, identity: int, now: TimeNs) -> bool:
        """Whether an order to evacuate a zone may be a retry of the last one."""
        last = last_counted(evacuations.get(zone, SINGLE_OPERATOR).claims)
        if last is not None and (is_explicit(last.identity) or is_explicit(identity)):
            return False  # a retry would have the identity of the first order
        if last is not None and last.delivery is Delivery.DELIVERED:
            return now - self._evacuation_delivered_at.get(zone, self._began_at) <= IMMEDIATE_REPEAT_NS
        return now - self._evacuated_at.get(zone, self._began_at) <= self._window

    def was_delivered_recently(self, zone: str, now: TimeNs) -> bool:
        """Whether the last answer to an evacuation was delivered so recently that a program may retry the order."""
        delivered_at = self._evacuation_delivered_at.get(zone)
        return delivered_at is not None and now - delivered_at <= IMMEDIATE_REPEAT_NS

    def was_evacuated_recently(self, zone: str, now: TimeNs) -> bool:
        """Whether the last evacuation order is so recent that it may retry an order whose delivery is reported now."""
        return now - self._evacuated_at.get(zone, self._began_at) <= IMMEDIATE_REPEAT_NS

    def restoration_may_be_repeat(self, zone: str, identity: int, now: TimeNs) -> bool:
        """Whether an order to restore a zone may be a retry of the last one."""
        last = self._last_restoration.get(zone, 0)
        if is_explicit(last) or is_explicit(identity):
            return last == identity
        if zone in self._restoration_delivered_at:
            return now - self._restoration_delivered_at[zone] <= IMMEDIATE_REPEAT_NS
        return now - self._restored_at.get(zone, self._began_at) <= self._window

    def note_evacuation(self, zone: str, now: TimeNs) -> None:
        """Records that an order to evacuate a zone was accepted."""
        self._evacuated_at[zone] = now
        self._evacuation_delivered_at.pop(zone, None)

    def note_restoration(self, zone: str, identity: int, now: TimeNs) -> None:
        """Records that an order to restore a zone was accepted."""
        self._restored_at[zone] = now
        self._restoration_delivered_at.pop(zone, None)
        set_newest(self._last_restoration, zone, identity, MAX_RESTORATIONS)

    def note_delivered(self, evacuations: EvacuationTable, zone: str, identity: int, now: TimeNs) -> None:
        """Records that the caller of an order on the zone has read its answer."""
        last = last_counted(evacuations.get(zone, SINGLE_OPERATOR).claims)
        if last is not None and last.identity == identity:
            self._evacuation_delivered_at.setdefault(zone, now)
        if zone in self._restored_at and self._last_restoration.get(zone) == identity:
            self._restoration_delivered_at.setdefault(zone, now)

    def forget(self, zone: str) -> None:
        """Removes the times of a zone that has reopened."""
        self._evacuated_at.pop(zone, None)
        self._evacuation_delivered_at.pop(zone, None)
        self._restored_at.pop(zone, None)
        self._restoration_delivered_at.pop(zone, None)

    def expired_zone(self, evacuations: EvacuationTable, now: TimeNs) -> str | None:
        """Returns a zone that no certain operator keeps evacuated and whose retry window has passed, or None."""
        for zone, evacuation in evacuations.items():
            if not evacuation.operators and now - self._restored_at.get(zone, self._began_at) > self._window:
                return zone
        return None
