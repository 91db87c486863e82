"""What was admitted in the last QuotaWindow, by slots of time: the counter's measure of a tenant without burst.

A sliding window of two fixed ones remembers a burst longer than the rule does. For a tenant with a burst the token
bucket makes up for that; one without has these slots, so that nothing within quota is rejected.
"""

from collections import deque

from .limits import SEC, Quota
from .messages import PROXY_TIMEOUT_NS

SLOTS_PER_WINDOW = 20
# Of what comes faster than SURGE_MULTIPLE times the rate, `reserved` leaves RESERVED_SHARE of the limit less
# RESERVED_SLACK_SHARE of the slack.
SURGE_MULTIPLE = 1.5
RESERVED_SHARE = 1 / 3
RESERVED_SLACK_SHARE = 0.6


class Slot:
    """Requests admitted in one slot of time."""

    __slots__ = ("count", "number")

    def __init__(self, number: int, count: int) -> None:
        """`number`: of the slot, by the counter's time."""
        self.number = number
        self.count = count


class SlotCounts:
    """The admitted requests of one tenant, by slot."""

    def __init__(self, quota: Quota) -> None:
        """`quota`: of a tenant without burst; only its window has to stay as it is."""
        self.slot_ns = quota.window // SLOTS_PER_WINDOW
        self.slots: deque[Slot] = deque()  # ascending; those older than a window are dropped by `add`

    def add(self, now: int, at: int, count: int) -> None:
        """Counts requests that were admitted up to the moment `at` (ns)."""
        if not count:
            return
        number = at // self.slot_ns
        oldest = now // self.slot_ns - SLOTS_PER_WINDOW
        while self.slots and self.slots[0].number < oldest:
            self.slots.popleft()
        index = next((index for index, slot in enumerate(self.slots) if slot.number >= number), len(self.slots))
        if index < len(self.slots) and self.slots[index].number == number:
            self.slots[index].count += count
        else:
            self.slots.insert(index, Slot(number, count))

    def admitted(self, now: int) -> int:
        """Requests admitted in the last window."""
        return self._since(now // self.slot_ns - SLOTS_PER_WINDOW)

    def reserved(self, quota: Quota, now: int) -> float:
        """Requests that are kept for proxies which may just have been cut off.

        Guards against a surge that uses up the whole window's quota on one side within the second in which those cut
        off are not yet missed: of what comes faster than the rate, what a third of the proxies may admit meanwhile
        waits for a second, beyond a part of the slack. Usual load does not notice."""
        recent = self._since((now - PROXY_TIMEOUT_NS) // self.slot_ns)
        surplus = recent - SURGE_MULTIPLE * quota.per_s * PROXY_TIMEOUT_NS / SEC
        return max(0.0, min(surplus, RESERVED_SHARE * quota.limit - RESERVED_SLACK_SHARE * quota.slack))

    def _since(self, first: int) -> int:
        """Requests of the slots from number `first` on."""
        return sum(slot.count for slot in self.slots if slot.number >= first)
