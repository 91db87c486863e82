"""Measurements of a tenant's requests in a run of the quota simulation.

The simulated counts are compared with two references: `truth` is a bucket charged with what was actually admitted, so
that a rejection while it has room is wrong; `perfect` is a counter without delay that decides on the same requests.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from ..quota.limits import DEFAULT_RULE, SEC, QuotaRule
from .quota_scene import Phase


class Allowance(Protocol):
    """The remainder of a quota."""

    def room(self, now: int) -> float:
        """Requests that may be admitted at `now` (ns)."""

    def spend(self, now: int) -> None:
        """One request was admitted."""


class TokenBucket:
    """A quota with burst."""

    def __init__(self, per_s: float, burst: float) -> None:
        """A full bucket that fills with `per_s` requests a second up to `burst`."""
        self.per_s = per_s
        self.burst = burst
        self.level = burst
        self.filled_at = 0

    def room(self, now: int) -> float:
        """Requests that may be admitted at `now` (ns); below 0 a debt."""
        self.level = min(self.burst, self.level + self.per_s * (now - self.filled_at) / SEC)
        self.filled_at = now
        return self.level

    def spend(self, now: int) -> None:
        """One request was admitted."""
        self.level -= 1


class SlidingLog:
    """A quota without burst, which limits the requests in any window."""

    def __init__(self, most: float, window_ns: int) -> None:
        """Allows `most` requests in any `window_ns`."""
        self.most = most
        self.window_ns = window_ns
        self.times: deque[int] = deque()

    def room(self, now: int) -> float:
        """Requests that may be admitted at `now` (ns)."""
        while self.times and self.times[0] <= now - self.window_ns:
            self.times.popleft()
        return self.most - len(self.times)

    def spend(self, now: int) -> None:
        """One request was admitted."""
        self.times.append(now)


def take(allowance: Allowance, now: int) -> bool:
    """Admits one request if there is room."""
    if allowance.room(now) < 1:
        return False
    allowance.spend(now)
    return True


@dataclass(slots=True)
class PhaseCounts:
    """A tenant's requests in one phase of a run."""

    requested: int = 0
    admitted: int = 0
    wrongly_rejected: int = 0  # although a bucket charged with all that was admitted had room
    perfectly_admitted: int = 0  # by a counter without delay


@dataclass(slots=True)
class TenantMeasure:
    """The outcome of one tenant's requests."""

    per_s: float
    burst: float
    rule: QuotaRule = DEFAULT_RULE
    most_in_window: int = 0  # admitted within any window of the rule
    phases: dict[Phase, PhaseCounts] = field(default_factory=dict)
    allowed_in_window: float = field(init=False)  # by the rule
    truth: Allowance = field(init=False)
    perfect: Allowance = field(init=False)
    recent: deque[int] = field(init=False, default_factory=deque)  # times of the requests admitted in the last window

    def __post_init__(self) -> None:
        """Computes the limit and the references."""
        allowance = self.per_s * self.rule.window_ns / SEC + self.burst
        self.allowed_in_window = allowance * (1 + self.rule.excess_share) + self.rule.slack_requests
        self.truth = self._reference()
        self.perfect = self._reference()

    def _reference(self) -> Allowance:
        if self.burst:
            return TokenBucket(self.per_s, self.burst)
        return SlidingLog(self.per_s * self.rule.window_ns / SEC, self.rule.window_ns)

    def record(self, now: int, phase: Phase, admitted: bool) -> None:
        """Records whether a request was admitted."""
        counts = self.phases.setdefault(phase, PhaseCounts())
        counts.requested += 1
        counts.perfectly_admitted += take(self.perfect, now)
        room = self.truth.room(now)
        if admitted:
            counts.admitted += 1
            self.truth.spend(now)
            self.recent.append(now)
            while self.recent[0] <= now - self.rule.window_ns:
                self.recent.popleft()
            self.most_in_window = max(self.most_in_window, len(self.recent))
        elif room >= 1:
            counts.wrongly_rejected += 1
