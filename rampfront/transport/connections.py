"""The TCP connections that carry large frames: the base class for both ends, and a bounded set of connections."""

import asyncio
from abc import abstractmethod
from collections.abc import Iterator


class TransferConnection(asyncio.Protocol):
    """One end of a connection that carries one large frame."""

    @abstractmethod
    def deadline_ns(self) -> int:
        """Returns the time at which the connection is aborted, in ns of the node's steady clock."""

    @abstractmethod
    def close(self) -> None:
        """Aborts the connection and removes it from its set."""


class ConnectionSet:
    """Connections in the order in which they were opened. Beyond the limit the oldest is closed, so that peers which
    never finish a transfer cannot exhaust the file descriptors of the process."""

    def __init__(self, limit: int) -> None:
        """`limit`: the maximum number of connections."""
        self._limit = limit
        self._connections: dict[TransferConnection, None] = {}  # a dict keeps the order

    def __iter__(self) -> Iterator[TransferConnection]:
        """Iterates over the connections, the oldest first."""
        return iter(self._connections)

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._connections)

    def __contains__(self, connection: TransferConnection) -> bool:
        """Returns whether the connection is open and has not been aborted."""
        return connection in self._connections

    def add(self, connection: TransferConnection) -> None:
        """Adds a connection; closes the oldest if the limit is exceeded."""
        self._connections[connection] = None
        if len(self._connections) > self._limit:
            next(iter(self._connections)).close()

    def remove(self, connection: TransferConnection) -> bool:
        """Removes a connection; returns whether it was in the set."""
        if connection not in self._connections:
            return False
        del self._connections[connection]
        return True

    def expired(self, now_ns: int) -> list[TransferConnection]:
        """Returns the connections whose deadline has passed."""
        return [connection for connection in self._connections if connection.deadline_ns() < now_ns]
