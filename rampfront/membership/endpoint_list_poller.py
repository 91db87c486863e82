"""Asks the platform for its list of servers, round after round, while it is started.

It owns the connection to the platform and one timer. It must never decide what a list says: `Pager` does.
"""

from asyncio import AbstractEventLoop, Task, TimerHandle
from collections import Counter
from collections.abc import Callable
from random import Random

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

PAGE_WAIT, PAGE_LONGEST = 1.0, 2.0  # s, for one page, the connect included; the longer one behind a failure, for a
# platform that is slow would never be heard. No longer: what hangs since a cut is found out only then
PAGE_MOST = 4 << 20  # bytes of one


class Poller:
    """Carries out what a `Pager` wants done, on sockets."""

    def __init__(
        self,
        loop: AbstractEventLoop,
        clock: Callable[[], int],
        address: tuple[str, int],
        per_s: float,
        on_list: Callable[[EndpointList], None],
        gap_ns: int,
        rng: Random | None = None,
        on_drop: Callable[[str], None] | None = None,
    ) -> None:
        """`address` is the platform's, `clock` gives ns; `per_s` and `gap_ns` as `Pager` has them. `on_list` is called
        with each whole list, `on_drop` with the reason for each round that brought none."""
        self.loop = loop
        self.clock = clock
        self.address = address
        self.on_list = on_list
        self.on_drop = on_drop
        self.pager = Pager(gap_ns, per_s, rng.random if rng else None)
        self.client: HttpClient | None = None
        self.handle: TimerHandle | None = None
        self.task: Task[None] | None = None
        self.running = False
        self.since = clock()  # the last success, or else the start

    @property
    def counts(self) -> Counter[str]:
        """What the pager counted: calls, rounds, what was dropped and why."""
        return self.pager.counts

    def start(self) -> None:
        """At once, whatever pause was under way before."""
        if not self.running:
            self.running, self.since = True, self.clock()
            self.take(TimerFired)

    def stop(self) -> None:
        """Ends the round that runs, and the connection."""
        self.running = False
        self.pager.stop()
        if self.handle:
            self.handle.cancel()
        if self.task:
            self.task.cancel()
        if self.client:
            self.client.close()
        self.client = self.handle = self.task = None

    def move(self, address: tuple[str, int]) -> None:
        """The platform is elsewhere from now on: what the old address still says would be old news."""
        if address != self.address:
            was_running = self.running
            self.address = address
            self.stop()
            if was_running:
                self.running = True
                self.take(TimerFired)

    def failed_for(self, now: int) -> int:
        """ns since the last whole list, or since the start when there was none."""
        return max(0, now - self.since)

    def take(self, event: Event) -> None:
        """Gives the pager what came, and carries out what it wants done."""
        now = self.clock()
        for effect in self.pager.take(now, event):
            self.carry_out(effect, now)
            if not self.running:  # stopped by whoever took the list
                return

    def carry_out(self, effect: Effect, now: int) -> None:
        """One thing that the pager wants done."""
        if isinstance(effect, FetchPage):
            self.task = self.loop.create_task(self.fetch(effect))
        elif isinstance(effect, SetTimer):
            if self.handle:
                self.handle.cancel()
            self.handle = self.loop.call_later(max(0, effect.until - now) / SEC, self.due)
        elif isinstance(effect, ListCompleted):
            self.since = now
            self.on_list(effect.servers)
        elif isinstance(effect, RoundFailed) and self.on_drop:
            self.on_drop(effect.why)

    def due(self) -> None:
        """The time that the pager waited for has come."""
        self.handle = None
        self.take(TimerFired)

    async def fetch(self, effect: FetchPage) -> None:
        """Asks for a page, and gives the pager what came of it."""
        if self.client is None:
            self.client = HttpClient(self.loop, self.address, PAGE_MOST)
        wait = PAGE_LONGEST if self.pager.failed else PAGE_WAIT
        result = await self.client.request(HttpRequest("GET", effect.target), timeout_s=wait)
        if isinstance(result, Ok):
            reply = result.ok_value
            self.take(PageReceived(effect.round, reply.status, reply.body))
        else:
            self.take(PageFailed(effect.round, result.err_value.reason))
