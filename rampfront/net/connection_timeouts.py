"""The sweep of a listener's connections: ends connections that exceed the timeout of their current phase.

One timer for all connections of a listener costs less than one timer per connection, and the timeouts need no
precision: a connection is ended at most one sweep interval after its timeout. Both listeners use the sweep,
`http_server.py` for calls of nodes and operators and `client_listener.py` for clients. Each connection class decides
how a connection ends (`time_out`).
"""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import Protocol


class Phase(IntEnum):
    """What a connection waits for, which determines its timeout. An `IntEnum`, since hashing a plain `Enum` is slow."""

    FIRST_REQUEST = 1  # no complete request was received yet
    IDLE = 2  # waits for the next request
    READING_HEAD = 3
    READING_BODY = 4
    AWAITING_RESPONSE = 5  # a request is complete and its response is pending
    WRITING = 6  # the peer does not read the response
    FLUSHING = 7  # the last response is still in the write buffer; the connection closes afterwards
    LINGERING = 8  # the last response is sent, and the peer has not closed yet


class TimedConnection(Protocol):
    """The interface of a connection that the sweep uses."""

    phase_since_ns: int
    """When the current phase began, or when progress was last made in it."""

    @property
    def phase(self) -> Phase:
        """The current phase."""
        raise NotImplementedError

    def note_progress(self, now_ns: int) -> None:
        """Sets `phase_since_ns` to `now_ns` if the peer has read some of the response since the last sweep."""
        raise NotImplementedError

    def time_out(self, phase: Phase) -> None:
        """Ends the connection after the timeout of `phase`."""
        raise NotImplementedError


def sweep(connections: Iterable[TimedConnection], now_ns: int, limits_ns: Mapping[Phase, int]) -> None:
    """Ends the connections that exceeded the timeout of their phase.

    Args:
        connections: all connections of a listener; ending one may remove it from its listener.
        now_ns: the current time.
        limits_ns: the timeout of each phase; a phase that it does not contain has none.
    """
    for connection in list(connections):
        connection.note_progress(now_ns)
        phase = connection.phase
        limit_ns = limits_ns.get(phase)
        if limit_ns is not None and now_ns - connection.phase_since_ns > limit_ns:
            connection.time_out(phase)
