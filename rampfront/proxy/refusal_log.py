"""The latest refusals of requests that had been written to a server, each with the evidence for its promise.

A 503 after an attempt promises that the request has not run. If one has run nevertheless, this log shows which server's
response it relied on, and on which connection. The log is bounded, is kept in memory, and is written on request
(SIGUSR1) and when the process ends.
"""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from ..net.non_execution import NonExecution

_MAX_REFUSALS = 64  # older ones are dropped


class UnexecutedAttempt(NamedTuple):
    """An attempt that counts as not executed.

    Attributes:
        server_id: the server; empty if it has left the list.
        ground: why the attempt counts as not executed.
        connection: the serial number of its connection in this process; 0 if there was none.
    """

    server_id: str
    ground: NonExecution
    connection: int

    def __str__(self) -> str:
        """The form in the log."""
        return f"{self.server_id}/{self.connection}:{self.ground.value}"


class Refusal(NamedTuple):
    """A request that was refused after at least one attempt was written."""

    refused_at_ns: int
    try_id: bytes
    attempts: tuple[UnexecutedAttempt, ...]


class RefusalLog:
    """Keeps the latest refusals."""

    def __init__(self) -> None:
        """Starts empty."""
        self._refusals: deque[Refusal] = deque(maxlen=_MAX_REFUSALS)

    def __iter__(self) -> Iterator[Refusal]:
        """Iterates over the refusals, the oldest first."""
        return iter(self._refusals)

    def add(self, refusal: Refusal) -> None:
        """Adds a refusal, unless all of its attempts ended before the request was written."""
        if any(attempt.ground.was_written for attempt in refusal.attempts):
            self._refusals.append(refusal)
