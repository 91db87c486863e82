"""Asks the platform for its list of servers, round after round, while it is started.

It owns the connection to the platform and one timer, and carries out the effects of a `Pager`, which decides.
"""

from asyncio import AbstractEventLoop, Task, TimerHandle
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple, assert_never

from result import Ok

from ..net.http_client import HttpClient, HttpRequest
from ..settings.scalars import SEC
from .endpoint_list import EndpointList
from .endpoint_list_pager import (
    Effect,
    Event,
    FetchPage,
    ListCompleted,
    PageFailed,
    Pager,
    PageReceived,
    RoundFailed,
    SetTimer,
    TimerFired,
)

PAGE_TIMEOUT_S = 1.0  # for one page, the connect included
# Behind a failure, for a platform that is slow would never be heard. No longer: a call that hangs since the network was
# partitioned is found out only then.
RETRY_TIMEOUT_S = 2.0
MAX_PAGE_BYTES = 4 << 20

Address = tuple[str, int]  # host and port


class PollSettings(NamedTuple):
    """Whom to ask, and how often.

    Attributes:
        address: the platform's.
        max_calls_per_s: calls at most, on average.
        interval_ns: from the start of one round to the start of the next.
    """

    address: Address
    max_calls_per_s: float
    interval_ns: int


def _ignore(_reason: str) -> None:
    """Nobody is to be told."""


class PollCallbacks(NamedTuple):
    """Who is told of a round's end.

    Attributes:
        on_list: called with the list of a round that was complete.
        on_failure: called with the reason why a round brought none.
    """

    on_list: Callable[[EndpointList], None]
    on_failure: Callable[[str], None] = _ignore


class Poller:
    """Carries out the effects of a `Pager` on sockets.

    Attributes:
        since_ns: time of the last success, or else of the start.
        running: whether it is started.
    """

    def __init__(
        self,
        loop: AbstractEventLoop,
        clock: Callable[[], int],
        settings: PollSettings,
        callbacks: PollCallbacks,
        random: Random | None = None,
    ) -> None:
        """`clock` gives ns; `random` spreads the pauses behind failures, None: they are not spread."""
        self.loop = loop
        self.clock = clock
        self.callbacks = callbacks
        self.running = False
        self.since_ns = clock()
        self.timer: TimerHandle | None = None
        self._address = settings.address
        self._pager = Pager(settings.interval_ns, settings.max_calls_per_s, random.random if random else None)
        self._client: HttpClient | None = None
        self._task: Task[None] | None = None

    @property
    def counts(self) -> Counter[str]:
        """What the pager counted: calls, rounds, what was dropped and why."""
        return self._pager.counts

    def start(self) -> None:
        """Begins a round at once, whatever pause was under way before."""
        if not self.running:
            self.running = True
            self.since_ns = self.clock()
            self.handle_event(TimerFired)

    def stop(self) -> None:
        """Ends the round that is running, and the connection."""
        self.running = False
        self._pager.stop()
        if self.timer:
            self.timer.cancel()
        if self._task:
            self._task.cancel()
        if self._client:
            self._client.close()
        self.timer = None
        self._task = None
        self._client = None

    def change_address(self, address: Address) -> None:
        """The platform is elsewhere from now on: an answer from the old address would be outdated."""
        if address != self._address:
            was_running = self.running
            self._address = address
            self.stop()
            if was_running:
                self.running = True
                self.handle_event(TimerFired)

    def failing_ns(self, now: int) -> int:
        """Time since the last complete list, or since the start when there was none."""
        return max(0, now - self.since_ns)

    def handle_event(self, event: Event) -> None:
        """Gives the pager an event, and carries out its effects."""
        now = self.clock()
        for effect in self._pager.handle_event(now, event):
            self._apply_effect(effect, now)
            if not self.running:  # stopped by whoever took the list
                return

    def _apply_effect(self, effect: Effect, now: int) -> None:
        match effect:
            case FetchPage():
                self._task = self.loop.create_task(self.fetch(effect))
            case SetTimer(until):
                if self.timer:
                    self.timer.cancel()
                self.timer = self.loop.call_later(max(0, until - now) / SEC, self._on_timer)
            case ListCompleted(servers):
                self.since_ns = now
                self.callbacks.on_list(servers)
            case RoundFailed(reason):
                self.callbacks.on_failure(reason)
            case _:
                assert_never(effect)

    def _on_timer(self) -> None:
        self.timer = None
        self.handle_event(TimerFired)

    async def fetch(self, effect: FetchPage) -> None:
        """Asks for a page, and gives the pager the answer."""
        if self._client is None:
            self._client = HttpClient(self.loop, self._address, MAX_PAGE_BYTES)
        timeout_s = RETRY_TIMEOUT_S if self._pager.failures else PAGE_TIMEOUT_S
        result = await self._client.request(HttpRequest("GET", effect.target), timeout_s=timeout_s)
        if isinstance(result, Ok):
            response = result.ok_value
            self.handle_event(PageReceived(effect.round, response.status, response.body))
        else:
            self.handle_event(PageFailed(effect.round, result.err_value.reason))
