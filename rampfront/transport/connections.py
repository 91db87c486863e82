"""The connections that carry large frames: what both ends have in common, and a bounded set of them."""

import asyncio
from abc import abstractmethod
from collections.abc import Iterator


class TransferConnection(asyncio.Protocol):
    """One end of a connection that carries one large frame."""

    @abstractmethod
    def deadline_ns(self) -> int:
        """Returns when it is given up, on the node's steady clock."""

    @abstractmethod
    def close(self) -> None:
        """Ends it at once and removes it from its set."""


class ConnectionSet:
    """Connections in the order in which they began. Past the limit the oldest is closed, so that peers which never
    finish cannot use up the file descriptors of the process."""

    def __init__(self, limit: int) -> None:
        """`limit`: connections at most."""
        self._limit = limit
        self._connections: dict[TransferConnection, None] = {}  # a dict keeps the order

    def __iter__(self) -> Iterator[TransferConnection]:
        """The oldest first."""
        return iter(self._connections)

    def __len__(self) -> int:
        """How many are open."""
        return len(self._connections)

    def __contains__(self, connection: TransferConnection) -> bool:
        """Whether it is open and was not given up."""
        return connection in self._connections

    def add(self, connection: TransferConnection) -> None:
        """Adds one; closes the oldest if it is one too many."""
        self._connections[connection] = None
        if len(self._connections) > self._limit:
            next(iter(self._connections)).close()

    def remove(self, connection: TransferConnection) -> bool:
        """Takes one out; returns whether it was in the set."""
        if connection not in self._connections:
            return False
        del self._connections[connection]
        return True

    def expired(self, now_ns: int) -> list[TransferConnection]:
        """Returns those whose deadline has passed."""
        return [connection for connection in self._connections if connection.deadline_ns() < now_ns]
