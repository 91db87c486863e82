"""Asks for the pages of the platform's list, round after round. No I/O, no clock.

`Pager.take` is given what came and when, and returns what to do. It must never mix pages of two rounds, or show a list
that is not whole.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import quote

from ..settings.errors import FieldError, quoted
from ..settings.scalars import SEC
from .endpoint_list import MOST_ROWS, READY, Endpoint, EndpointList, believed, parse_page

OK, TOO_MANY_CALLS = 200, 429
MOST_PAGES = 512  # of a round
LEAST_RATE = 0.01  # calls a second
# Behind a round that failed: the first, or the gap if that is shorter; doubled up to the second, or the gap if that
# is longer. No longer: once the platform is back, what it shows must be everywhere within `Drain`.
FIRST_PAUSE, LONGEST_PAUSE = SEC // 4, SEC
MOST_FAILURES, MOST_DOUBLINGS = 16, 8  # that are told apart
REFUSED = 2  # a round that was answered with 429 counts as so many failures


# ---- what a pager takes


class PageReceived(NamedTuple):
    """The answer to a `FetchPage`: its round, and the status and body."""

    round: int
    status: int
    body: bytes


class PageFailed(NamedTuple):
    """No answer to a `FetchPage`, and why."""

    round: int
    why: str


class TimerFired:
    """The time asked for by `SetTimer` has come."""


# ---- what it wants done


class FetchPage(NamedTuple):
    """Ask the platform for a page."""

    round: int
    target: str


class SetTimer(NamedTuple):
    """Give it `TimerFired` at this time (ns); a later `SetTimer` replaces it."""

    until: int


class ListCompleted(NamedTuple):
    """The round is whole: this is the list."""

    servers: EndpointList


class RoundFailed(NamedTuple):
    """The round brought no list."""

    why: str


Event = PageReceived | PageFailed | type[TimerFired]
Effect = FetchPage | SetTimer | ListCompleted | RoundFailed


class _KnownPage(NamedTuple):
    """A page as it last was, and what it says."""

    body: bytes
    rows: list[Endpoint]
    token: str | None
    faults: int


class Pager:
    """Asks for the pages of one round after another, and makes a list of each round that is whole."""

    def __init__(self, gap: int, per_s: float, draw: Callable[[], float] | None = None, number: int = 0) -> None:
        """`gap`: ns from the start of one round to the start of the next. `per_s`: calls a second at most, on average,
        with half a second's worth at once so that the pages of a round lie close together. `draw`: a random.Random's
        `random`, which spreads retries. `number`: lists to come carry numbers above this one."""
        self.gap, self.draw, self.number = gap, draw, number
        self.cost = round(SEC / max(per_s, LEAST_RATE))  # ns of the bucket that one call uses
        self.room = max(self.cost, SEC // 2)  # ns that the bucket holds
        self.full_at = 0  # when the bucket will be full again
        self.round = self.failed = 0
        self.began, self.asking = 0, False  # of the round that runs; False: none does
        self.token: str | None = None  # of the page asked for; None: of the first one
        self.seen: set[str] = set()  # tokens of this round
        self.rows: dict[str, Endpoint] = {}  # of this round, by id
        self.pages = 0
        self.known: dict[str | None, _KnownPage] = {}  # by token; those of the newest round
        self.waits: int | None = None  # a page that is to be fetched once the bucket allows it
        self.last: EndpointList | None = None  # the newest list
        self.held: frozenset[str] = frozenset()  # ids with good news, or none, in the newest round for the first time
        self.counts: Counter[str] = Counter()

    def above(self, number: int) -> None:
        """Lists to come carry numbers above this one: another node's lists went up to it."""
        self.number = max(self.number, number)

    def take(self, now: int, event: Event) -> list[Effect]:
        """Takes in an answer, the lack of one, or `TimerFired`; returns what is to be done, in order."""
        if isinstance(event, type):  # `TimerFired`
            return self.go_on(now)
        if not self.asking or event.round != self.round:
            self.counts["late"] += 1  # of a round that was given up
            return []
        if isinstance(event, PageFailed):
            return self.drop(now, event.why, 1)
        if event.status != OK:
            return self.drop(now, f"status {event.status}", REFUSED if event.status == TOO_MANY_CALLS else 1)
        return self.take_page(now, event.body)

    def take_page(self, now: int, body: bytes) -> list[Effect]:
        """Takes in the page that was asked for."""
        try:
            page = self.read(body, now)
        except FieldError as error:
            return self.drop(now, f"odd page: {error}", 1)
        self.counts["odd_rows"] += page.faults
        for row in page.rows:
            self.rows[row.id] = row
        if page.token is None:
            return self.close(now)
        self.token = page.token
        self.seen.add(page.token)
        return self.fetch(now)

    def go_on(self, now: int) -> list[Effect]:
        """The time that was asked for has come: for a page that waited, or for the next round."""
        if self.waits is not None:
            return self.fetch(now)
        return [] if self.asking else self.begin(now)

    def read(self, body: bytes, now: int) -> _KnownPage:
        """The page that was asked for. Most come again byte for byte: such a one is not read again, unless a server on
        it is cold, whose time left is counted from now. Raises FieldError for one that cannot be the next page."""
        known = self.known.get(self.token)
        if known is None or known.body != body:
            page = parse_page(body, now)
            known = _KnownPage(body, page.rows, page.token, len(page.faults))
            if any(row.warming_until_ns for row in page.rows):
                self.known.pop(self.token, None)
            else:
                self.known[self.token] = known
        if known.token is not None and (known.token in self.seen or self.pages >= MOST_PAGES):
            raise FieldError(f"NextToken: {quoted(known.token)} again")
        if len(self.rows) + len(known.rows) > MOST_ROWS:
            raise FieldError("more servers than can be")
        return known

    def stop(self) -> None:
        """The round that runs is given up; what still comes of it is not read."""
        self.asking, self.waits = False, None
        self.rows, self.seen = {}, set()

    def begin(self, now: int) -> list[Effect]:
        """Starts a round."""
        self.round += 1
        self.began, self.asking = now, True
        self.token, self.seen, self.rows, self.pages = None, set(), {}, 0
        return self.fetch(now)

    def fetch(self, now: int) -> list[Effect]:
        """Keeps the rate: a call that would go beyond it waits, and its round with it."""
        start = max(self.full_at, now)
        if start + self.cost - now > self.room:
            self.waits = start + self.cost - self.room
            return [SetTimer(self.waits)]
        self.full_at, self.waits = start + self.cost, None
        self.pages += 1
        self.counts["calls"] += 1
        target = "/servers" if self.token is None else f"/servers?PageToken={quote(self.token, safe='')}"
        return [FetchPage(self.round, target)]

    def drop(self, now: int, why: str, weight: int) -> list[Effect]:
        """The round brought no list: the next one begins after a pause, which grows with the failures in a row."""
        self.counts["dropped"] += 1
        self.failed = min(MOST_FAILURES, self.failed + weight)
        self.stop()
        doubled = min(FIRST_PAUSE, self.gap) << min(MOST_DOUBLINGS, self.failed - 1)
        pause = min(max(LONGEST_PAUSE, self.gap), doubled)
        if self.draw:
            pause = round(pause * (0.75 + self.draw() / 2))
        return [SetTimer(now + pause), RoundFailed(why)]

    def close(self, now: int) -> list[Effect]:
        """The round is whole."""
        rows, self.held = self.settle(now)
        self.counts["held"] += len(self.held)
        self.counts["rounds"] += 1
        self.failed = 0
        if self.last is None or self.last.version != self.number or self.last.endpoints != rows:
            self.number += 1
        self.last = EndpointList(self.number, rows, self.began)
        self.known = {token: page for token, page in self.known.items() if token is None or token in self.seen}
        self.stop()
        # The wait goes first, so that a fault of whoever takes the list does not end the rounds.
        return [SetTimer(max(now, self.began + self.gap)), ListCompleted(self.last)]

    def settle(self, now: int) -> tuple[tuple[Endpoint, ...], frozenset[str]]:
        """What is believed of the round's rows, by id, and of which ids the news waits for the next round."""
        fresh, held = self.rows, set()
        rows: list[Endpoint] = []
        for old in self.last.endpoints if self.last else ():
            row = fresh.pop(old.id, None)
            if row is None:
                if old.state == READY and old.id not in self.held:
                    held.add(old.id)
                    rows.append(old)
            elif row is old:
                rows.append(old)
            else:
                row, hold = believed(old, row, now, old.id in self.held)
                rows.append(row)
                if hold:
                    held.add(old.id)
        rows += fresh.values()
        return tuple(sorted(rows, key=lambda row: row.id)), frozenset(held)
