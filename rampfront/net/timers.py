"""Timers: a heap of all due times, and one timer of the event loop for the earliest of them.

Nearly every request sets a timeout and cancels it again. With one event loop timer per timeout, each of them would be
scheduled and cancelled in the loop. Here a cancelled timer stays in the heap until it is due, or until more than half
of the heap are cancelled timers.
"""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable
from heapq import heapify, heappop, heappush

_NS_PER_MS = 10**6
_MS_PER_S = 1000
_MIN_CANCELLED_TO_COMPACT = 64


class Timer:
    """A scheduled callback. `TimerQueue` creates and cancels it."""

    __slots__ = ("callback", "arguments")

    def __init__(self, callback: Callable[..., object], arguments: tuple[object, ...]) -> None:
        """`callback` is called with `arguments`."""
        self.callback: Callable[..., object] | None = callback  # None if cancelled or already called
        self.arguments = arguments


class TimerQueue:
    """All timers of one part of the process, ordered by due time; timers with equal due times run in creation order.

    Attributes:
        clock: returns the time in ns.
    """

    def __init__(self, loop: AbstractEventLoop, clock: Callable[[], int]) -> None:
        """Starts empty. `loop` is the event loop, `clock` returns the time in ns."""
        self.clock = clock
        self._loop = loop
        self._heap: list[tuple[int, int, Timer]] = []  # (due in ns, serial number, timer)
        self._serial_number = 0
        self._cancelled = 0  # cancelled timers that are still in the heap
        self._handle: TimerHandle | None = None

    def __len__(self) -> int:
        """The number of timers in the heap, including cancelled ones that are not dropped yet."""
        return len(self._heap)

    def after(self, delay_ns: int, callback: Callable[..., object], *arguments: object) -> Timer:
        """Calls `callback` with `arguments` after `delay_ns`. Returns the timer, to cancel it."""
        return self.at(self.clock() + delay_ns, callback, *arguments)

    def at(self, due_ns: int, callback: Callable[..., object], *arguments: object) -> Timer:
        """Calls `callback` with `arguments` at the time `due_ns`. Returns the timer, to cancel it."""
        self._serial_number += 1
        timer = Timer(callback, arguments)
        heappush(self._heap, (due_ns, self._serial_number, timer))
        if self._heap[0][2] is timer:
            self._arm()
        return timer

    def cancel(self, timer: Timer) -> None:
        """Cancels a timer. Does nothing if it was already called or cancelled."""
        if timer.callback is None:
            return
        timer.callback = None
        timer.arguments = ()
        self._cancelled += 1
        if self._cancelled > _MIN_CANCELLED_TO_COMPACT and 2 * self._cancelled > len(self._heap):
            self._compact()
        if self._handle and (not self._heap or self._heap[0][2] is timer):
            self._arm()

    def close(self) -> None:
        """Drops all timers."""
        self._heap.clear()
        self._cancelled = 0
        self._disarm()

    def _compact(self) -> None:
        """Drops cancelled timers: the timeouts of answered requests would otherwise accumulate until they are due."""
        self._heap = [entry for entry in self._heap if entry[2].callback is not None]
        heapify(self._heap)
        self._cancelled = 0

    def _arm(self) -> None:
        """Sets the loop's timer to the earliest pending timer; waking up for a cancelled one is expensive."""
        heap = self._heap
        while heap and heap[0][2].callback is None:
            heappop(heap)
            self._cancelled -= 1
        self._disarm()
        if heap:
            delay_ns = max(0, heap[0][0] - self.clock())
            delay_ms = (delay_ns + _NS_PER_MS - 1) // _NS_PER_MS  # rounded up, so that the loop does not wake too early
            self._handle = self._loop.call_later(delay_ms / _MS_PER_S, self._run_due)

    def _disarm(self) -> None:
        """Cancels the loop's timer."""
        if self._handle:
            self._handle.cancel()
            self._handle = None

    def _run_due(self) -> None:
        """Calls the callbacks that are due."""
        self._handle = None
        now_ns = self.clock()
        try:
            while self._heap and self._heap[0][0] <= now_ns:
                timer = heappop(self._heap)[2]
                callback = timer.callback
                if callback is None:
                    self._cancelled -= 1
                else:
                    timer.callback = None  # it cannot be cancelled any more
                    callback(*timer.arguments)
        finally:  # an exception in one callback must not stop the other timers
            if self._handle is None:
                self._arm()
