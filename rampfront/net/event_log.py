"""The base class of the logs of both programs: event counters, and rate limiting of repeated log lines.

The subclass (`edge/log.py`, `node/log.py`) formats and writes the lines. Rate limiting prevents one faulty peer from
filling the log: for each event and subject one line is written per quiet period, followed by one line with the number
of suppressed lines.
"""

import time
from abc import ABC, abstractmethod
from collections.abc import Iterable

# Counters of the modules of `net/`, in the order in which they are printed. Dashboards and the tests' traces use these
# names, so they must not change.
SHARED_COUNTERS = (
    "clients",
    "clients_shed",
    "taken",
    "malformed",
    "pipelined",
    "slow",
    "left",
    "settled",
    "declined",
    "voided",
    "turned_away",
    "submissions",
    "dispatches",
    "resent",
    "copies",
    "done",
    "relayed",
    "error",
    "unseen",
    "timed_out",
    "broken",
    "cancelled",
    "connects",
    "connects_failed",
    "links_shed",
    "links_short",
    "probes",
    "probes_failed",
    "memory_yielded",
    "memory_refused",
)
_MAX_TRACKED_SUBJECTS = 1000  # beyond this, events of new subjects are written without rate limiting


class _RecentLine:
    """A line written within the quiet period, and the number of lines like it that were suppressed since."""

    __slots__ = ("written_at_ns", "suppressed")

    def __init__(self, written_at_ns: int) -> None:
        """Starts with no suppressed lines."""
        self.written_at_ns = written_at_ns
        self.suppressed = 0


class EventLog(ABC):
    """Event counters, and a log whose repeated lines are suppressed for a while.

    Attributes:
        name: the node's name, which is part of each line.
        counts: counts by counter name; the set of names is fixed at creation.
    """

    def __init__(self, name: str, quiet_ns: int, counter_names: Iterable[str]) -> None:
        """Starts all counters at zero.

        Args:
            name: the node's name.
            quiet_ns: the minimum time between two lines of the same event and subject.
            counter_names: all counters, in the order in which they are printed.
        """
        self.name = name
        self.counts = dict.fromkeys(counter_names, 0)
        self._quiet_ns = quiet_ns
        self._recent_lines: dict[tuple[str, object], _RecentLine] = {}  # by event and subject; expired by `sweep`

    @abstractmethod
    def record(self, event: str, **fields: object) -> None:
        """Writes one line."""

    def record_limited(self, event: str, subject: object, /, **fields: object) -> None:
        """Writes one line, unless one of the same event about the same subject was written within the quiet period.

        Args:
            event: what happened.
            subject: the peer or component concerned; written as the field `party`.
            fields: further fields of the line.
        """
        now = time.monotonic_ns()
        recent = self._recent_lines.get((event, subject))
        if recent and now - recent.written_at_ns < self._quiet_ns:
            recent.suppressed += 1
            return
        if len(self._recent_lines) < _MAX_TRACKED_SUBJECTS:
            self._recent_lines[event, subject] = _RecentLine(now)
        self.record(event, party=subject, **fields)

    def sweep(self) -> None:
        """Drops lines whose quiet period is over, and writes the number of suppressed lines of each (as `more`)."""
        now = time.monotonic_ns()
        expired = [key for key, line in self._recent_lines.items() if now - line.written_at_ns >= self._quiet_ns]
        for event, subject in expired:
            suppressed = self._recent_lines.pop((event, subject)).suppressed
            if suppressed:
                self.record(event, party=subject, more=suppressed)

    def record_counters(self, reason: str) -> None:
        """Writes one line with all counters. `reason`: why they are written now."""
        self.record("totals", why=reason, **self.counts)
