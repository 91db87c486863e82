"""Runs the disk buffer on its own thread, one call at a time, so that the event loop does not wait for the disk."""

from asyncio import AbstractEventLoop, Task
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import TypeVar

from .disk_buffer import DiskBuffer

ResultT = TypeVar("ResultT")


class DiskBufferThread:
    """Runs the calls of a `DiskBuffer`. A call may be started only while no other is in progress (`busy`)."""

    def __init__(self, loop: AbstractEventLoop, buffer: DiskBuffer) -> None:
        """Takes over `buffer`, which no other object may use from now on."""
        self._loop = loop
        self._buffer = buffer
        self._executor = ThreadPoolExecutor(1, "syslog-spill")
        self._task: Task[object] | None = None

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return self._task is not None

    @property
    def has_segments(self) -> bool:
        """Whether there are messages on disk."""
        return self._buffer.has_segments

    @property
    def size_bytes(self) -> int:
        """The total size of the segments on disk."""
        return self._buffer.size_bytes

    def start_append(self, messages: Sequence[bytes], done: Callable[[Task[int]], None]) -> None:
        """Writes messages. `done` is called with a task whose result is the number written."""
        self._start(partial(self._buffer.append, messages), done)

    def start_read(self, done: Callable[[Task[list[bytes]]], None]) -> None:
        """Reads the oldest segment. `done` is called with a task whose result is the list of its messages."""
        self._start(self._buffer.read_oldest_segment, done)

    def take_damaged_records(self) -> int:
        """Returns and resets the number of damaged records found."""
        return self._buffer.take_damaged_records()

    def drop_oldest_segment(self) -> None:
        """Removes the oldest segment."""
        self._buffer.drop_oldest_segment()

    def stop(self) -> None:
        """Waits for the call in progress, then ends the thread."""
        self._executor.shutdown(wait=True)

    def append_and_close(self, messages: Sequence[bytes]) -> int:
        """Writes messages on the calling thread and closes the buffer, after `stop`. Returns the number written."""
        written = self._buffer.append(messages)
        self._buffer.close()
        return written

    def _start(self, call: Callable[[], ResultT], done: Callable[[Task[ResultT]], None]) -> None:
        """Runs `call` on the thread, then calls `done` on the event loop."""
        task = self._loop.create_task(self._run(call))
        self._task = task
        task.add_done_callback(partial(self._finish, done))

    async def _run(self, call: Callable[[], ResultT]) -> ResultT:
        """Runs `call` on the thread."""
        return await self._loop.run_in_executor(self._executor, call)

    def _finish(self, done: Callable[[Task[ResultT]], None], task: Task[ResultT]) -> None:
        """Clears the busy state and calls `done`."""
        self._task = None
        done(task)
