"""What the logs of both programs share: event counters, and rate limiting of repeated log lines.

How a line is formatted and where it goes is up to the subclass (`edge/log.py`, `node/log.py`). Rate limiting keeps
one faulty peer from filling the log: of an event about one subject a single line is written in each quiet period, and
behind it one more line that says how many were suppressed.
"""

import time
from abc import ABC, abstractmethod
from collections.abc import Iterable

# Counters of the modules of `net/`, in the order in which they are printed. Dashboards and the tests' traces refer to
# these names, so they stay as they are.
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
)
_MAX_TRACKED_SUBJECTS = 1000  # past it, further events are written without a limit rather than tracked


class _RecentLine:
    """A line written within the quiet period, and how many like it were suppressed since."""

    __slots__ = ("written_at_ns", "suppressed")

    def __init__(self, written_at_ns: int) -> None:
        """Nothing was suppressed yet."""
        self.written_at_ns = written_at_ns
        self.suppressed = 0


class EventLog(ABC):
    """Event counters, and a log whose repeated lines are suppressed for a while.

    Attributes:
        name: the node's name, which each line carries.
        counts: counter name to count; the names are fixed from the start.
    """

    def __init__(self, name: str, quiet_ns: int, counter_names: Iterable[str]) -> None:
        """Starts all counters at zero.

        Args:
            name: the node's name.
            quiet_ns: the least time between two lines of one event about one subject.
            counter_names: all counters, in the order in which they are printed.
        """
        self.name = name
        self.counts = dict.fromkeys(counter_names, 0)
        self._quiet_ns = quiet_ns
        self._recent_lines: dict[tuple[str, object], _RecentLine] = {}  # by event and subject; emptied by `sweep`

    @abstractmethod
    def record(self, event: str, **fields: object) -> None:
        """Writes one line."""

    def record_limited(self, event: str, subject: object, /, **fields: object) -> None:
        """Writes one line, unless one of the same event about the same subject was written within the quiet period.

        Args:
            event: what happened.
            subject: the peer or part that it is about; the line carries it as `party`.
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
        """Forgets lines whose quiet period is over, and reports how many like each were suppressed (as `more`)."""
        now = time.monotonic_ns()
        expired = [key for key, line in self._recent_lines.items() if now - line.written_at_ns >= self._quiet_ns]
        for event, subject in expired:
            suppressed = self._recent_lines.pop((event, subject)).suppressed
            if suppressed:
                self.record(event, party=subject, more=suppressed)

    def record_counters(self, reason: str) -> None:
        """Writes one line with all counters. `reason`: why they are printed now."""
        self.record("totals", why=reason, **self.counts)
