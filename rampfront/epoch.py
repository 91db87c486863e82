"""What the counter is to this node: the one counter of all nodes, a new one, half of one, or none. No I/O, no clock.

Once each slice of time a node makes three calls (`due`): it adds 1 to a name of its own, adds 1 to the name of the
present slice, which all nodes share, and reads the slice before. Three things follow that an account's totals
cannot tell in time:

- its own name shows less than it added: the counter lost its names, or is another one (NEW). What this node told it
  is to be told again (`reseed`);
- the slice before shows fewer marks than there are nodes: some count elsewhere (SPLIT). All share the clock, so no
  node's jitter shows in it. What they send on is not seen here, so their even part of every quota is left to them at
  once (`part`); it is taken back after `SURE` whole slices in a row (WHOLE);
- no answers (LOST, FOUND).

A node that is dead is not told from one that counts elsewhere: its even part stays with it. Harm: an account that
fills its quota is held to the live nodes' part of it. Off unless `Domain.Marks` says so: three calls a second a node.
RFC 0015 has no word on a counter that is replaced or split; its held counts that only rise are kept as they are.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from .state import Account, RateCounts, Window

SEC = 10**9
SLICE = SEC  # length of a slice
EARLIEST, LATEST = 0.1, 0.6  # parts of a slice between which a node marks it
KEPT = 4  # slices that a slice's name lives
TERM = 30 * SEC  # a node's own name is changed so often; names live twice as long, at most
SURE = 2  # whole slices in a row behind which nobody is missing; marks in a row unanswered behind which it is lost
BLIND = 0.92  # of a part: what the nodes of one half have sent on and not told each other adds up past the window
UNTOLD = 1.125  # the others' part at a reading, with half of what they may have sent on and not told (EARLY)
MINE, ALL, BEFORE, LAST = "mine", "all", "before", "last"
NEW, SPLIT, WHOLE, LOST, FOUND = "new", "split", "whole", "lost", "found"

Call = tuple[str, str, int, int, int]  # what it is, the name's key, the name's number, the amount, the name's life


class Marks:
    """`nodes` that mark; `draw(low, high)` jitters; `key` tells this start of this node from all others. `heard`:
    the nodes that the counter heard of in the last slice read."""

    def __init__(self, nodes: int, draw: Callable[[float, float], float], key: str) -> None:
        """As the class says."""
        self.nodes, self.draw, self.key = nodes, draw, key
        self.heard, self.whole, self.tries = nodes, 0, 0
        self.term, self.added = -1, 0.0  # of the own name: its number, and what it holds of ours at least
        self.marked = -1  # the last slice whose mark was answered
        self.slice = self.blind = -1  # the present slice; the last one whose total tells nothing

    def wait(self, now: int) -> int:
        """ns until the next mark: at a drawn moment of the next slice."""
        return SLICE - now % SLICE + int(self.draw(EARLIEST, LATEST) * SLICE)

    def due(self, now: int) -> tuple[Call, ...]:
        """The calls of a mark, each: what it is, the name's key, the name's number, the amount, the name's life."""
        self.slice = number = now // SLICE
        # Guards against a counter that is replaced just as a node's own name turns: the old one is read once more.
        last = () if self.term in (-1, now // TERM) else ((LAST, self.key, self.term, 0, 2 * TERM),)
        return (
            *last,
            (MINE, self.key, now // TERM, 1, 2 * TERM),
            (BEFORE, ALL, number - 1, 0, KEPT * SLICE),
            (ALL, ALL, number, 1, KEPT * SLICE),
        )

    def told(self, what: str, number: int, total: float) -> str | None:
        """A call was answered. Returns what has changed, or None."""
        was, self.tries = self.tries, 0
        found = FOUND if was >= SURE else None
        if what == ALL:
            self.marked = number
            return found
        if what == LAST and number != self.term:
            return found
        if what in (MINE, LAST):
            known = self.added + (what == MINE) if number == self.term else 0.5
            if what == MINE:
                self.term, self.added = number, total
            if total >= known - 0.5:
                return found
            # Guards against a new counter that passes for a split one: who marked this slice before it was replaced
            # is not in it.
            self.blind = self.slice
            return NEW
        if number != self.marked or number <= self.blind:  # our own mark, or those of others, may be missing
            return found
        heard, before = min(self.nodes, max(1, round(total))), self.heard
        self.whole = self.whole + 1 if heard >= self.nodes else 0
        if heard < self.nodes:
            self.heard = heard
            return SPLIT if heard != before else found
        if before < self.nodes and self.whole >= SURE:
            self.heard = self.nodes
            return WHOLE
        return found

    def missed(self) -> str | None:
        """A call had no answer. LOST, once."""
        self.tries += 1
        return LOST if self.tries == SURE else None

    def part(self) -> float:
        """The part of every quota that the nodes on this counter may use."""
        return 1.0 if self.heard >= self.nodes else self.heard / self.nodes * BLIND


def reseed(accounts: Iterable[Account]) -> None:
    """A new counter holds nothing of ours: all of it is told again with the next adds. Where the old one was there
    after all, our counts stand twice until the window ends, so the others let in less, never more."""
    for ledger in [account.counts for account in accounts if account.counts]:
        for window in (ledger.current, ledger.previous):
            window.acknowledged = window.uncertain = window.last_total = 0.0


def settle(window: Window, amount: float, total: float) -> float:
    """Takes in the total that came back for an add of `amount` to the window's count. Returns by how much the
    others' part grew."""
    slack = 1e-3 + 1e-6 * total
    if total < window.last_total + amount - slack:
        # Guards against a counter that lost counts: our own are put back, the others put back theirs.
        window.acknowledged, window.uncertain = amount, 0.0
    else:
        landed = total - window.acknowledged - amount - window.uncertain >= window.others - slack
        window.acknowledged += amount + (window.uncertain if landed else 0.0)
        window.uncertain = 0.0
    grown, window.others = window.others, max(window.others, total - window.acknowledged)
    window.last_total = total
    return window.others - grown


def left(limit: float, ledger: RateCounts) -> float:
    """What the others may have counted when nobody can be read: as last read, and their even part of what was left.

    The nodes read nearly the same total, so what they take adds up to the limit: their own, and limit - total once.
    Never read: all but an even part."""
    share = 1.0 - 1.0 / ledger.nodes
    if ledger.others_at_read == float("inf"):
        return limit * share
    others = ledger.others_at_read * UNTOLD
    return others + share * max(0.0, limit - others - ledger.own_at_read)


class SlidingWindow(Protocol):
    """Counts of this window and the past one, as far as `roll` and `weigh` need them."""

    quota: Any  # its `window` is a length in ns
    current: Window
    previous: Window


def roll(ledger: SlidingWindow, now: int) -> float:
    """Ages windows out; returns the past window's weight, one minus the elapsed share of this one."""
    window: int = ledger.quota.window
    number, last = now // window, ledger.current
    if number != last.number:
        ledger.previous = last if number == last.number + 1 else Window(number - 1)
        ledger.current = Window(number)
    return 1.0 - (now % window) / window


def weigh(ledger: SlidingWindow, left: float) -> tuple[float, float]:
    """Our own and the others' counts: of this window, and of the past one by the weight that it has left."""
    return ledger.current.own + ledger.previous.own * left, ledger.current.others + ledger.previous.others * left


def tail(ledger: RateCounts) -> bool:
    """Whether the others' last adds to the past window are unread: without them each window's end is let in free."""
    past = ledger.previous
    return 0.0 < past.last_total and past.read_at < (past.number + 1) * ledger.quota.window
