"""The one owner of a node's timers and of its calls into the disk's thread: whatever is started here, `close` ends."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from ..net.timers import TimerQueue

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop, Future
    from collections.abc import Callable
    from concurrent.futures import Executor


class Scheduler:
    """Timers on one heap, and blocking calls that run beside the loop."""

    def __init__(self, loop: AbstractEventLoop, clock: Callable[[], int]) -> None:
        """`clock` gives ns."""
        self._loop = loop
        self._timers = TimerQueue(loop, clock)
        self._disk_executor: Executor | None = None
        self._disk_calls: set[Future[Any]] = set()  # emptied as they end

    def call_at(self, due: int, callback: Callable[..., object], *arguments: object) -> None:
        """Call back once, at `due` ns of the clock."""
        self._timers.at(due, callback, *arguments)

    def call_after(self, delay: int, callback: Callable[..., object], *arguments: object) -> None:
        """Call back once, after `delay` ns."""
        self._timers.after(delay, callback, *arguments)

    def use_disk_executor(self, executor: Executor | None) -> None:
        """Blocking calls run in `executor` from now on; None: the loop's own."""
        self._disk_executor = executor

    def call_on_disk_thread(
        self, function: Callable[..., Any], argument: object, on_done: Callable[[Future[Any]], object]
    ) -> None:
        """Run a blocking call beside the loop, and call back on the loop with its future."""
        call = self._loop.run_in_executor(self._disk_executor, function, argument)
        self._disk_calls.add(call)
        call.add_done_callback(partial(self._end_disk_call, on_done))

    def _end_disk_call(self, on_done: Callable[[Future[Any]], object], call: Future[Any]) -> None:
        self._disk_calls.discard(call)
        on_done(call)

    def close(self) -> None:
        """End all timers, and forget calls that have not begun. A call that runs can't be ended."""
        self._timers.close()
        for call in list(self._disk_calls):
            call.cancel()
