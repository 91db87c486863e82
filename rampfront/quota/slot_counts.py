"""Counts the requests admitted in the last QuotaWindow by time slots, for the quota of a tenant without burst.

A sliding window of two fixed ones remembers a burst longer than the rule does. For a tenant with a burst the token
bucket compensates for that. A tenant without one has these slots instead, so that no request within the quota is
rejected.
"""

from collections import deque

from .limits import SEC, Quota
from .messages import PROXY_TIMEOUT_NS

SLOTS_PER_WINDOW = 20
# If requests arrive faster than SURGE_MULTIPLE times the rate, `reserved` keeps up to RESERVED_SHARE of the limit minus
# RESERVED_SLACK_SHARE of the slack.
SURGE_MULTIPLE = 1.5
RESERVED_SHARE = 1 / 3
RESERVED_SLACK_SHARE = 0.6


class Slot:
    """The requests admitted in one time slot."""

    __slots__ = ("count", "number")

    def __init__(self, number: int, count: int) -> None:
        """`number` of the slot, by the counter's time."""
        self.number = number
        self.count = count


class SlotCounts:
    """The admitted requests of one tenant, by time slot."""

    def __init__(self, quota: Quota) -> None:
        """`quota` of a tenant without burst; its window must not change."""
        self.slot_ns = quota.window // SLOTS_PER_WINDOW
        self.slots: deque[Slot] = deque()  # ascending; `add` removes slots that are older than a window

    def add(self, now: int, at: int, count: int) -> None:
        """Adds requests that were admitted up to the time `at` (ns)."""
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
        """Requests that are reserved for proxies that may just have become isolated.

        In a surge, the connected proxies could use up the quota of the whole window within the second before isolated
        proxies count as missing. Of the requests above the rate, the share that a third of the proxies may admit in
        that time, beyond a part of the slack, is therefore kept back for a second. Normal load is not affected.
        """
        recent = self._since((now - PROXY_TIMEOUT_NS) // self.slot_ns)
        surplus = recent - SURGE_MULTIPLE * quota.per_s * PROXY_TIMEOUT_NS / SEC
        return max(0.0, min(surplus, RESERVED_SHARE * quota.limit - RESERVED_SLACK_SHARE * quota.slack))

    def _since(self, first: int) -> int:
        """Requests of the slots from number `first`."""
        return sum(slot.count for slot in self.slots if slot.number >= first)
