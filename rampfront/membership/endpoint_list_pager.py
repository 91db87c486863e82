"""Decides when to request which page of the platform's server list, round after round. No I/O, no clock.

A round reads all pages of the list. `Pager.handle_event` takes an event and its time, and returns effects, which the
`Poller` applies. Pages of two rounds are never mixed, and an incomplete list is never published.

A token bucket limits the rate of calls. After a failed round the pager backs off exponentially. An improvement of a
server's state, or its removal, counts only once two rounds in a row show it (`endpoint_pages.confirm`).
"""

from collections import Counter
from collections.abc import Callable
from operator import attrgetter
from typing import NamedTuple, TypeAlias
from urllib.parse import quote

from ..settings.errors import FieldError, quoted
from ..settings.scalars import SEC
from .endpoint_list import MAX_ENDPOINTS, READY, Endpoint, EndpointList
from .endpoint_pages import confirm, parse_page

OK = 200
TOO_MANY_REQUESTS = 429
MAX_PAGES = 512  # per round
MIN_CALLS_PER_S = 0.01
BUCKET_NS = SEC // 2  # minimum size of the bucket, since the pages of a round are requested in quick succession
# Backoff after a failed round: it starts at FIRST_PAUSE_NS, or at the interval if that is shorter, and doubles up to
# MAX_PAUSE_NS, or the interval if that is longer. The maximum is short, since the list of a platform that has recovered
# must reach all nodes within `Drain`.
FIRST_PAUSE_NS = SEC // 4
MAX_PAUSE_NS = SEC
MAX_FAILURES = 16  # upper limit of the failure count
MAX_DOUBLINGS = 8
FAILURES_OF_REJECTION = 2  # a round that ended with status 429 counts as this many failures
MIN_SPREAD = 0.75  # the jitter multiplies a pause by a factor from MIN_SPREAD to MIN_SPREAD + SPREAD
SPREAD = 0.5


# ---- events that a pager handles


class PageReceived(NamedTuple):
    """The platform's response to a `FetchPage`: the round, the status and the body."""

    round: int
    status: int
    body: bytes


class PageFailed(NamedTuple):
    """A `FetchPage` failed without a response, for `reason`."""

    round: int
    reason: str


class TimerFired:
    """The time that `SetTimer` set was reached."""


# ---- effects that it returns


class FetchPage(NamedTuple):
    """Requests a page from the platform."""

    round: int
    target: str


class SetTimer(NamedTuple):
    """Sets the time (ns) of the next `TimerFired`; it replaces an earlier one."""

    until: int


class ListCompleted(NamedTuple):
    """Publishes the list of a complete round."""

    servers: EndpointList


class RoundFailed(NamedTuple):
    """Reports a round that failed, for `reason`."""

    reason: str


Event: TypeAlias = PageReceived | PageFailed | type[TimerFired]
Effect: TypeAlias = FetchPage | SetTimer | ListCompleted | RoundFailed


class _CachedPage(NamedTuple):
    """A page as last received, and its decoded contents."""

    body: bytes
    rows: list[Endpoint]
    token: str | None
    faults: int


class _RoundResult(NamedTuple):
    """The result of a complete round: the endpoints, and the ids whose change waits for confirmation."""

    endpoints: tuple[Endpoint, ...]
    pending: frozenset[str]


class Pager:
    """Requests the pages of one round after another, and makes a list of each complete round."""

    def __init__(
        self,
        interval_ns: int,
        max_calls_per_s: float,
        random: Callable[[], float] | None = None,
        version: int = 0,
    ) -> None:
        """Starts without a running round.

        Args:
            interval_ns: from the start of one round to the start of the next.
            max_calls_per_s: average limit of calls to the platform.
            random: the `random` method of a `random.Random`, for the jitter of pauses; None: no jitter.
            version: new lists get versions above this one.
        """
        self.counts: Counter[str] = Counter()
        self.round = 0  # number of the newest round
        self.failures = 0  # in a row
        self._interval_ns = interval_ns
        self._random = random
        self._version = version
        self._last: EndpointList | None = None  # the newest list
        self._pending: frozenset[str] = frozenset()  # ids whose change waits for confirmation
        # State of the token bucket.
        self._call_cost_ns = round(SEC / max(max_calls_per_s, MIN_CALLS_PER_S))
        self._bucket_ns = max(self._call_cost_ns, BUCKET_NS)
        self._bucket_full_at_ns = 0
        self._deferred_until_ns: int | None = None  # when the bucket allows the deferred page; None: none is deferred
        # State of the running round.
        self._is_running = False
        self._started_at_ns = 0
        self._token: str | None = None  # of the requested page; None: the first one
        self._tokens_seen: set[str] = set()
        self._rows: dict[str, Endpoint] = {}  # by id
        self._pages = 0
        self._cache: dict[str | None, _CachedPage] = {}  # pages of the newest round, by token

    def skip_versions(self, version: int) -> None:
        """Makes new lists get versions above this one, which another node's lists had reached."""
        self._version = max(self._version, version)

    def handle_event(self, now: int, event: Event) -> list[Effect]:
        """Handles an event at `now` (ns); returns the effects in the order in which to apply them."""
        if isinstance(event, type):  # `TimerFired`
            return self._continue(now)
        if not self._is_running or event.round != self.round:
            self.counts["stale_responses"] += 1  # of a round that was abandoned
            return []
        if isinstance(event, PageFailed):
            return self._fail_round(now, event.reason, 1)
        if event.status != OK:
            failures = FAILURES_OF_REJECTION if event.status == TOO_MANY_REQUESTS else 1
            return self._fail_round(now, f"status {event.status}", failures)
        return self._take_page(now, event.body)

    def stop(self) -> None:
        """Abandons the running round; responses that still arrive for it are ignored."""
        self._is_running = False
        self._deferred_until_ns = None
        self._rows = {}
        self._tokens_seen = set()

    def _continue(self, now: int) -> list[Effect]:
        """Continues with the deferred page, or with the next round."""
        if self._deferred_until_ns is not None:
            return self._fetch_page(now)
        return [] if self._is_running else self._start_round(now)

    def _start_round(self, now: int) -> list[Effect]:
        self.round += 1
        self._started_at_ns = now
        self._is_running = True
        self._token = None
        self._tokens_seen = set()
        self._rows = {}
        self._pages = 0
        return self._fetch_page(now)

    def _fetch_page(self, now: int) -> list[Effect]:
        """Requests the next page, or defers it until the bucket allows it."""
        start_ns = max(self._bucket_full_at_ns, now)
        if start_ns + self._call_cost_ns - now > self._bucket_ns:
            self._deferred_until_ns = start_ns + self._call_cost_ns - self._bucket_ns
            return [SetTimer(self._deferred_until_ns)]
        self._bucket_full_at_ns = start_ns + self._call_cost_ns
        self._deferred_until_ns = None
        self._pages += 1
        self.counts["calls"] += 1
        target = "/servers" if self._token is None else f"/servers?PageToken={quote(self._token, safe='')}"
        return [FetchPage(self.round, target)]

    def _take_page(self, now: int, body: bytes) -> list[Effect]:
        """Handles the requested page."""
        try:
            page = self._read_page(body, now)
        except FieldError as error:
            return self._fail_round(now, f"invalid page: {error}", 1)
        self.counts["invalid_rows"] += page.faults
        for row in page.rows:
            self._rows[row.id] = row
        if page.token is None:
            return self._complete_round(now)
        self._token = page.token
        self._tokens_seen.add(page.token)
        return self._fetch_page(now)

    def _read_page(self, body: bytes, now: int) -> _CachedPage:
        """Decodes the requested page.

        Most pages are byte for byte the same as in the round before. Such a page is not parsed again, unless a server
        on it is warming up, since its remaining time counts from now.

        Raises:
            FieldError: it is not a valid next page.
        """
        page = self._cache.get(self._token)
        if page is None or page.body != body:
            parsed = parse_page(body, now)
            page = _CachedPage(body, parsed.rows, parsed.token, len(parsed.faults))
            if any(row.warming_until_ns for row in page.rows):
                self._cache.pop(self._token, None)
            else:
                self._cache[self._token] = page
        if page.token is not None and (page.token in self._tokens_seen or self._pages >= MAX_PAGES):
            raise FieldError(f"NextToken: {quoted(page.token)} again, or too many pages")
        if len(self._rows) + len(page.rows) > MAX_ENDPOINTS:
            raise FieldError("too many servers")
        return page

    def _fail_round(self, now: int, reason: str, failures: int) -> list[Effect]:
        """Ends a round without a list; it adds `failures` to the failure count."""
        self.counts["failed_rounds"] += 1
        self.failures = min(MAX_FAILURES, self.failures + failures)
        self.stop()
        doublings = min(MAX_DOUBLINGS, self.failures - 1)
        pause_ns = min(max(MAX_PAUSE_NS, self._interval_ns), min(FIRST_PAUSE_NS, self._interval_ns) << doublings)
        if self._random:
            pause_ns = round(pause_ns * (MIN_SPREAD + self._random() * SPREAD))
        return [SetTimer(now + pause_ns), RoundFailed(reason)]

    def _complete_round(self, now: int) -> list[Effect]:
        """Makes a list of the round. The timer is the first effect, so polling continues if the receiver raises."""
        result = self._merge_round(now)
        self._pending = result.pending
        self.counts["pending"] += len(result.pending)
        self.counts["rounds"] += 1
        self.failures = 0
        if self._last is None or self._last.version != self._version or self._last.endpoints != result.endpoints:
            self._version += 1
        self._last = EndpointList(self._version, result.endpoints, self._started_at_ns)
        self._cache = {
            token: page for token, page in self._cache.items() if token is None or token in self._tokens_seen
        }
        self.stop()
        return [SetTimer(max(now, self._started_at_ns + self._interval_ns)), ListCompleted(self._last)]

    def _merge_round(self, now: int) -> _RoundResult:
        """Merges the round's rows with the list before."""
        unmatched = self._rows
        pending: set[str] = set()
        endpoints: list[Endpoint] = []
        for old in self._last.endpoints if self._last else ():
            row = unmatched.pop(old.id, None)
            was_pending = old.id in self._pending
            if row is old:
                endpoints.append(old)
            elif row is not None:
                confirmation = confirm(old, row, now, was_pending)
                endpoints.append(confirmation.endpoint)
                if confirmation.pending:
                    pending.add(old.id)
            elif old.state == READY and not was_pending:  # removed without draining: kept for one round
                endpoints.append(old)
                pending.add(old.id)
        endpoints += unmatched.values()
        return _RoundResult(tuple(sorted(endpoints, key=attrgetter("id"))), frozenset(pending))
