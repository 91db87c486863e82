"""The sweep of a listener's connections: each phase of a connection has a time limit, and what exceeds it is ended.

One timer for all connections of a listener costs less than one for each, and the limits need no precision: a connection
is ended between its limit and one sweep interval later. Both listeners use it, `http_server.py` for calls of nodes and
operators and `client_listener.py` for clients; what happens to a connection past its limit is the connection's matter.
"""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import Protocol


class Phase(IntEnum):
    """What a connection waits for, which decides how long it may take. (Hashing a plain `Enum` is slow.)"""

    FIRST_REQUEST = 1  # nothing complete has come on it yet
    IDLE = 2  # the next request
    READING_HEAD = 3
    READING_BODY = 4
    AWAITING_RESPONSE = 5  # a request is complete and its response is owed
    WRITING = 6  # its peer does not take what was written
    FLUSHING = 7  # the last response is written but not sent, and then it closes
    LINGERING = 8  # the last response is sent, and the peer has yet to close


class TimedConnection(Protocol):
    """A connection that the sweep looks after."""

    phase_since_ns: int
    """When the present phase began, or when progress was last made in it."""

    @property
    def phase(self) -> Phase:
        """The present phase."""
        raise NotImplementedError

    def note_progress(self, now_ns: int) -> None:
        """Sets `phase_since_ns` to `now_ns` if the peer took some of what was written since the last sweep."""
        raise NotImplementedError

    def time_out(self, phase: Phase) -> None:
        """Ends the connection, which was too long in `phase`."""
        raise NotImplementedError


def sweep(connections: Iterable[TimedConnection], now_ns: int, limits_ns: Mapping[Phase, int]) -> None:
    """Ends the connections that were too long in their phase.

    Args:
        connections: all connections of a listener; ending one may remove it from its listener.
        now_ns: the time.
        limits_ns: the longest time in a phase; a phase that is not in it has no limit.
    """
    for connection in list(connections):
        connection.note_progress(now_ns)
        phase = connection.phase
        limit_ns = limits_ns.get(phase)
        if limit_ns is not None and now_ns - connection.phase_since_ns > limit_ns:
            connection.time_out(phase)
