"""What a node knows of the counter that all nodes share: whether it is whole, replaced, split or lost. The module also
ages and settles the windows of counts. No I/O, no clock.

Once in each slice of time a node makes three calls (`mark_calls`): it adds 1 to a name of its own, adds 1 to the name
of the present slice, which all nodes share, and reads the slice before. Three things follow that an account's totals
cannot show in time:

- its own name has a lower count than the node added: the counter lost its names, or is another one (NEW). The node then
  reports all of its counts again (`reseed`);
- the slice before has fewer marks than there are nodes: some nodes use another counter (SPLIT). All share the clock, so
  no node's jitter shows in it. What these nodes admit is not seen here, so their even part of every quota is left to
  them at once (`quota_share`); it is taken back after `CONFIRMATIONS` whole slices in a row (WHOLE);
- calls are not answered (LOST, FOUND).

A dead node cannot be told from one that uses another counter, so its even part stays reserved. Drawback: an account
that fills its quota is held to the live nodes' part of it. Off unless `Domain.Marks` is set: it costs three calls a
second for each node. RFC 0015 does not cover a counter that is replaced or split; its rule that held counts only rise
is kept.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from .state import Account, RateCounts, Window

SEC = 10**9
SLICE_NS = SEC
EARLIEST_SHARE, LATEST_SHARE = 0.1, 0.6  # parts of a slice between which a node writes its mark
SLICE_NAME_LIFE = 4  # lifetime of a slice's name, in slices
TERM_NS = 30 * SEC  # period after which a node changes its own name; a name lives at most twice as long
CONFIRMATIONS = 2  # whole slices in a row that end a split; unanswered calls in a row that mean a lost counter
SPLIT_MARGIN = 0.92  # of a part: nodes of one half also admit units that they have not reported to each other yet
UNREPORTED_FACTOR = 1.125  # of the others' part: with half of what they may not have reported (EARLY_ADD_SHARE)
OWN, ALL, PREVIOUS_SLICE, PREVIOUS_OWN = "mine", "all", "before", "last"
NEW, SPLIT, WHOLE, LOST, FOUND = "new", "split", "whole", "lost", "found"

MarkCall = tuple[str, str, int, int, int]  # kind, key and number of the name, amount, lifetime of the name


class Marks:
    """The marks of this node on the counter, and what the answers show.

    Attributes:
        nodes: the number of nodes that write marks.
        draw: `draw(low, high)` returns a random number, for jitter.
        key: distinguishes this start of this node from all others.
        heard: the number of nodes whose marks the counter had in the last slice read.
    """

    def __init__(self, nodes: int, draw: Callable[[float, float], float], key: str) -> None:
        """The parameters are described at the class."""
        self.nodes, self.draw, self.key = nodes, draw, key
        self.heard, self.whole_slices, self.missed_calls = nodes, 0, 0
        self.own_term, self.own_total = -1, 0.0  # of the own name: its number, and the least total that it must have
        self.marked_slice = -1  # the last slice whose mark was acknowledged
        self.present_slice = self.skipped_slice = -1  # the present slice; the last one whose total cannot be used

    def delay(self, now: int) -> int:
        """Returns the time in ns until the next mark, which is at a random moment of the next slice."""
        return SLICE_NS - now % SLICE_NS + int(self.draw(EARLIEST_SHARE, LATEST_SHARE) * SLICE_NS)

    def mark_calls(self, now: int) -> tuple[MarkCall, ...]:
        """Returns the calls of the next mark."""
        self.present_slice = number = now // SLICE_NS
        # The old name is read once more, to detect a counter that is replaced just when a node changes its own name.
        last = (
            () if self.own_term in (-1, now // TERM_NS) else ((PREVIOUS_OWN, self.key, self.own_term, 0, 2 * TERM_NS),)
        )
        return (
            *last,
            (OWN, self.key, now // TERM_NS, 1, 2 * TERM_NS),
            (PREVIOUS_SLICE, ALL, number - 1, 0, SLICE_NAME_LIFE * SLICE_NS),
            (ALL, ALL, number, 1, SLICE_NAME_LIFE * SLICE_NS),
        )

    def on_answer(self, kind: str, number: int, total: float) -> str | None:
        """Handles the answer to a call of kind `kind`. Returns the change in the counter's state, or None."""
        previous_missed, self.missed_calls = self.missed_calls, 0
        found = FOUND if previous_missed >= CONFIRMATIONS else None
        if kind == ALL:
            self.marked_slice = number
            return found
        if kind == PREVIOUS_OWN and number != self.own_term:
            return found
        if kind in (OWN, PREVIOUS_OWN):
            known = self.own_total + (kind == OWN) if number == self.own_term else 0.5
            if kind == OWN:
                self.own_term, self.own_total = number, total
            if total >= known - 0.5:
                return found
            # The new counter lacks the marks that were made in this slice before the replacement. Without this, it
            # would be taken for a split one.
            self.skipped_slice = self.present_slice
            return NEW
        if number != self.marked_slice or number <= self.skipped_slice:  # our own mark, or the others', may be missing
            return found
        heard, before = min(self.nodes, max(1, round(total))), self.heard
        self.whole_slices = self.whole_slices + 1 if heard >= self.nodes else 0
        if heard < self.nodes:
            self.heard = heard
            return SPLIT if heard != before else found
        if before < self.nodes and self.whole_slices >= CONFIRMATIONS:
            self.heard = self.nodes
            return WHOLE
        return found

    def on_missed(self) -> str | None:
        """Handles a call without an answer. Returns LOST once, after `CONFIRMATIONS` of them in a row."""
        self.missed_calls += 1
        return LOST if self.missed_calls == CONFIRMATIONS else None

    def quota_share(self) -> float:
        """Returns the part of every quota that the nodes on this counter may use."""
        return 1.0 if self.heard >= self.nodes else self.heard / self.nodes * SPLIT_MARGIN


def reseed(accounts: Iterable[Account]) -> None:
    """Prepares all counts to be reported again with the next adds, since a new counter has none of them. If it is the
    old counter after all, our counts stand in it twice until the window ends, so the others admit less, never more."""
    for counts in [account.counts for account in accounts if account.counts]:
        for window in (counts.current, counts.previous):
            window.acknowledged = window.uncertain = window.last_total = 0.0


def settle(window: Window, amount: float, total: float) -> float:
    """Applies the total that an add of `amount` to the window returned. Returns the growth of the others' part."""
    slack = 1e-3 + 1e-6 * total
    if total < window.last_total + amount - slack:
        # The counter lost counts: this node reports its own again, and the others report theirs.
        window.acknowledged, window.uncertain = amount, 0.0
    else:
        applied = total - window.acknowledged - amount - window.uncertain >= window.others - slack
        window.acknowledged += amount + (window.uncertain if applied else 0.0)
        window.uncertain = 0.0
    grown, window.others = window.others, max(window.others, total - window.acknowledged)
    window.last_total = total
    return window.others - grown


def others_unread(limit: float, counts: RateCounts) -> float:
    """Returns what the others may have counted while the counter cannot be read: their part at the last reading, and an
    even part of what was left then.

    The nodes read nearly the same total, so what they use adds up to the limit: their own counts, and limit - total
    once. If nothing was read yet, it is all but this node's even part."""
    share = 1.0 - 1.0 / counts.nodes
    if counts.others_at_read == float("inf"):
        return limit * share
    others = counts.others_at_read * UNREPORTED_FACTOR
    return others + share * max(0.0, limit - others - counts.own_at_read)


class SlidingWindow(Protocol):
    """Counts of the current and the previous window, as far as `roll` and `weigh` need them."""

    quota: Any  # its `window` is a length in ns
    current: Window
    previous: Window


def roll(counts: SlidingWindow, now: int) -> float:
    """Replaces ended windows. Returns the weight of the previous one: 1 minus the elapsed part of this one."""
    window: int = counts.quota.window
    number, last = now // window, counts.current
    if number != last.number:
        counts.previous = last if number == last.number + 1 else Window(number - 1)
        counts.current = Window(number)
    return 1.0 - (now % window) / window


def weigh(counts: SlidingWindow, left: float) -> tuple[float, float]:
    """Returns our own and the others' counts, where those of the previous window are weighted by `left`."""
    return counts.current.own + counts.previous.own * left, counts.current.others + counts.previous.others * left


def has_unread_tail(counts: RateCounts) -> bool:
    """Returns whether the others' last adds to the previous window are unread. They would stay uncounted otherwise."""
    previous = counts.previous
    return 0.0 < previous.last_total and previous.read_at < (previous.number + 1) * counts.quota.window
