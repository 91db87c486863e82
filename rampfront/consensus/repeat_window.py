"""Whether an order on a zone may be a repeat of the one before, by the time that has passed at one leader.

Callers repeat an order for a bounded time where its answer got lost (`evacuations.py` says what follows from that). One
whose answer was delivered does not; yet a program may lose an answer that its machine has taken, and repeats at once
then. A leader remembers when it took the last orders and when their answers were delivered; what it found evacuated at
its beginning counts as ordered then. No I/O, no clock: times are ns of the leader's steady clock.
"""

from .evacuation_claims import Delivery, is_explicit, last_counted
from .evacuations import SINGLE_OPERATOR, EvacuationTable
from .identifiers import MS, SEC, DurationNs, TimeNs

DEFAULT_REPEAT_NS = 6 * SEC  # for which callers repeat an order, where the settings name nothing else
IN_FLIGHT_NS = SEC  # for which an order may be on its way to the leader
AT_ONCE_NS = 500 * MS  # within which a program repeats whose machine has taken the answer: its first pause
MAX_RESTORATIONS = 64  # zones of which the last restoration is remembered


class RepeatWindow:
    """When one leader took the last orders on each evacuated zone."""

    def __init__(self, began_at: TimeNs, repeats_within: DurationNs) -> None:
        """`began_at`: when this leader was elected; `repeats_within`: for which callers repeat an order."""
        self._began_at = began_at
        self._window = repeats_within + IN_FLIGHT_NS
        # By zone; forgotten when the zone opens.
        self._evacuated_at: dict[str, TimeNs] = {}
        self._evacuation_delivered_at: dict[str, TimeNs] = {}  # the answer to the last such order
        self._restored_at: dict[str, TimeNs] = {}
        self._restoration_delivered_at: dict[str, TimeNs] = {}
        self._last_restoration: dict[str, int] = {}  # its identity; kept when the zone opens, bounded

    def evacuation_may_be_repeat(self, evacuations: EvacuationTable, zone: str, identity: int, now: TimeNs) -> bool:
        """Whether an order to evacuate a zone may be a repeat of the last such one."""
        last = last_counted(evacuations.get(zone, SINGLE_OPERATOR).claims)
        if last is not None and (is_explicit(last.identity) or is_explicit(identity)):
            return False  # a repeat would have had the identity of the first
        if last is not None and last.delivery is Delivery.DELIVERED:
            return now - self._evacuation_delivered_at.get(zone, self._began_at) <= AT_ONCE_NS
        return now - self._evacuated_at.get(zone, self._began_at) <= self._window

    def was_evacuated_at_once(self, zone: str, now: TimeNs) -> bool:
        """Whether the last order to evacuate a zone came so lately that it may repeat one that is answered now."""
        return now - self._evacuated_at.get(zone, self._began_at) <= AT_ONCE_NS

    def restoration_may_be_repeat(self, zone: str, identity: int, now: TimeNs) -> bool:
        """Whether an order to restore a zone may be a repeat of the last such one."""
        last = self._last_restoration.get(zone, 0)
        if is_explicit(last) or is_explicit(identity):
            return last == identity
        if zone in self._restoration_delivered_at:
            return now - self._restoration_delivered_at[zone] <= AT_ONCE_NS
        return now - self._restored_at.get(zone, self._began_at) <= self._window

    def is_known_repeat(self, zone: str, identity: int) -> bool:
        """Whether an order to restore a zone has been carried out for certain."""
        return identity > 0 and self._last_restoration.get(zone) == identity

    def note_evacuation(self, zone: str, now: TimeNs) -> None:
        """An order to evacuate a zone is taken."""
        self._evacuated_at[zone] = now
        self._evacuation_delivered_at.pop(zone, None)

    def note_restoration(self, zone: str, identity: int, now: TimeNs) -> None:
        """An order to restore a zone is taken."""
        self._restored_at[zone] = now
        self._restoration_delivered_at.pop(zone, None)
        self._last_restoration.pop(zone, None)
        if len(self._last_restoration) >= MAX_RESTORATIONS:
            del self._last_restoration[next(iter(self._last_restoration))]
        self._last_restoration[zone] = identity

    def note_delivered(self, evacuations: EvacuationTable, zone: str, identity: int, now: TimeNs) -> None:
        """The caller of an order on the zone has read its answer."""
        last = last_counted(evacuations.get(zone, SINGLE_OPERATOR).claims)
        if last is not None and last.identity == identity:
            self._evacuation_delivered_at.setdefault(zone, now)
        if zone in self._restored_at and self._last_restoration.get(zone) == identity:
            self._restoration_delivered_at.setdefault(zone, now)

    def forget(self, zone: str) -> None:
        """The zone is open."""
        self._evacuated_at.pop(zone, None)
        self._evacuation_delivered_at.pop(zone, None)
        self._restored_at.pop(zone, None)
        self._restoration_delivered_at.pop(zone, None)

    def expired_zone(self, evacuations: EvacuationTable, now: TimeNs) -> str | None:
        """A zone that nobody certain keeps evacuated any more, and that opens now; None if there is none."""
        for zone, evacuation in evacuations.items():
            if not evacuation.operators and now - self._restored_at.get(zone, self._began_at) > self._window:
                return zone
        return None
