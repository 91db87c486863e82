"""Polls the platform for its server list, round after round, while it is started.

It owns the connection to the platform and one timer, and applies the effects of a `Pager`, which makes the decisions.
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

PAGE_TIMEOUT_S = 1.0  # for one page, including the connect
# After a failure, since a slow platform would otherwise never answer in time. Not longer, since only the time-out
# detects a call that hangs because of a network partition.
RETRY_TIMEOUT_S = 2.0
MAX_PAGE_BYTES = 4 << 20

Address = tuple[str, int]  # host and port


class PollSettings(NamedTuple):
    """Settings of the poller.

    Attributes:
        address: of the platform.
        max_calls_per_s: average limit of calls.
        interval_ns: from the start of one round to the start of the next.
    """

    address: Address
    max_calls_per_s: float
    interval_ns: int


def _ignore(_reason: str) -> None:
    """Ignores a failure."""


class PollCallbacks(NamedTuple):
    """Callbacks at the end of a round.

    Attributes:
        on_list: called with the list of a complete round.
        on_failure: called with the reason of a failed round.
    """

    on_list: Callable[[EndpointList], None]
    on_failure: Callable[[str], None] = _ignore


class Poller:
    """Applies the effects of a `Pager` to sockets and timers.

    Attributes:
        since_ns: time of the last success, or of the start if there was none.
        running: whether the poller is started.
    """

    def __init__(
        self,
        loop: AbstractEventLoop,
        clock: Callable[[], int],
        settings: PollSettings,
        callbacks: PollCallbacks,
        random: Random | None = None,
    ) -> None:
        """`clock` returns ns; `random` adds jitter to the pauses after failures, None: no jitter."""
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
        """The pager's counters: calls, rounds, and dropped responses and rows."""
        return self._pager.counts

    def start(self) -> None:
        """Starts a round at once, without waiting for the rest of an earlier pause."""
        if not self.running:
            self.running = True
            self.since_ns = self.clock()
            self.handle_event(TimerFired)

    def stop(self) -> None:
        """Abandons the running round, and closes the connection."""
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
        """Switches to another address of the platform; responses from the old address would be outdated."""
        if address != self._address:
            was_running = self.running
            self._address = address
            self.stop()
            if was_running:
                self.running = True
                self.handle_event(TimerFired)

    def failing_ns(self, now: int) -> int:
        """Time since the last complete list, or since the start if there was none."""
        return max(0, now - self.since_ns)

    def handle_event(self, event: Event) -> None:
        """Passes an event to the pager, and applies the effects."""
        now = self.clock()
        for effect in self._pager.handle_event(now, event):
            self._apply_effect(effect, now)
            if not self.running:  # the receiver of the list stopped the poller
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
        """Requests a page, and passes the result to the pager."""
        if self._client is None:
            self._client = HttpClient(self.loop, self._address, MAX_PAGE_BYTES)
        timeout_s = RETRY_TIMEOUT_S if self._pager.failures else PAGE_TIMEOUT_S
        result = await self._client.request(HttpRequest("GET", effect.target), timeout_s=timeout_s)
        if isinstance(result, Ok):
            response = result.ok_value
            self.handle_event(PageReceived(effect.round, response.status, response.body))
        else:
            self.handle_event(PageFailed(effect.round, result.err_value.reason))
