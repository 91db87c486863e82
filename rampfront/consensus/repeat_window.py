"""Whether an order on a zone may be a repeat of the one before, by the time that has passed at one leader.

Callers repeat an order for a bounded time where its answer got lost (`evacuations.py` says what follows from that).
A leader remembers when it took the last orders; what it found evacuated at its beginning counts as ordered then.
No I/O, no clock: times are ns of the leader's steady clock.
"""

from .evacuations import EvacuationTable
from .identifiers import SEC, DurationNs, TimeNs

DEFAULT_REPEAT_NS = 6 * SEC  # for which callers repeat an order, where the settings name nothing else
IN_FLIGHT_NS = SEC  # for which an order may be on its way to the leader


class RepeatWindow:
    """When one leader took the last orders on each evacuated zone."""

    def __init__(self, began_at: TimeNs, repeats_within: DurationNs) -> None:
        """`began_at`: when this leader was elected; `repeats_within`: for which callers repeat an order."""
        self._began_at = began_at
        self._window = repeats_within + IN_FLIGHT_NS
        self._evacuated_at: dict[str, TimeNs] = {}  # by zone; forgotten when the zone opens
        self._restored_at: dict[str, TimeNs] = {}  # likewise

    def evacuation_may_be_repeat(self, zone: str, now: TimeNs) -> bool:
        """Whether an order to evacuate a zone may be a repeat of the last such one."""
        return now - self._evacuated_at.get(zone, self._began_at) <= self._window

    def restoration_may_be_repeat(self, zone: str, now: TimeNs) -> bool:
        """Whether an order to restore a zone may be a repeat of the last such one."""
        return now - self._restored_at.get(zone, self._began_at) <= self._window

    def note_evacuation(self, zone: str, now: TimeNs) -> None:
        """An order to evacuate a zone is taken."""
        self._evacuated_at[zone] = now

    def note_restoration(self, zone: str, now: TimeNs) -> None:
        """An order to restore a zone is taken, after which the zone is still evacuated."""
        self._restored_at[zone] = now

    def forget(self, zone: str) -> None:
        """The zone is open."""
        self._evacuated_at.pop(zone, None)
        self._restored_at.pop(zone, None)

    def expired_zone(self, evacuations: EvacuationTable, now: TimeNs) -> str | None:
        """A zone that nobody certain keeps evacuated any more, and that opens now; None if there is none."""
        for zone, evacuation in evacuations.items():
            if not evacuation.operators and now - self._restored_at.get(zone, self._began_at) > self._window:
                return zone
        return None
