"""The owner of a node's timers and of its blocking disk calls, all of which `close` ends."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from ..net.timers import TimerQueue

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop, Future
    from collections.abc import Callable
    from concurrent.futures import Executor


class Scheduler:
    """Runs timers on one heap, and blocking calls outside the event loop."""

    def __init__(self, loop: AbstractEventLoop, clock: Callable[[], int]) -> None:
        """`clock` returns ns."""
        self._loop = loop
        self._timers = TimerQueue(loop, clock)
        self._disk_executor: Executor | None = None
        self._disk_calls: set[Future[Any]] = set()  # each is removed when it ends

    def call_at(self, due: int, callback: Callable[..., object], *arguments: object) -> None:
        """Call `callback` once, at `due` ns of the clock."""
        self._timers.at(due, callback, *arguments)

    def call_after(self, delay: int, callback: Callable[..., object], *arguments: object) -> None:
        """Call `callback` once, after `delay` ns."""
        self._timers.after(delay, callback, *arguments)

    def use_disk_executor(self, executor: Executor | None) -> None:
        """Run blocking calls in `executor` from now on; None: in the loop's default executor."""
        self._disk_executor = executor

    def call_on_disk_thread(
        self, function: Callable[..., Any], argument: object, on_done: Callable[[Future[Any]], object]
    ) -> None:
        """Run a blocking call outside the loop, then call `on_done` on the loop with its future."""
        call = self._loop.run_in_executor(self._disk_executor, function, argument)
        self._disk_calls.add(call)
        call.add_done_callback(partial(self._end_disk_call, on_done))

    def _end_disk_call(self, on_done: Callable[[Future[Any]], object], call: Future[Any]) -> None:
        self._disk_calls.discard(call)
        on_done(call)

    def close(self) -> None:
        """Cancel all timers, and disk calls that have not started. A running call can't be cancelled."""
        self._timers.close()
        for call in list(self._disk_calls):
            call.cancel()
