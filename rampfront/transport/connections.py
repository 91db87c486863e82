"""A bounded set of open connections."""

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class TransferConnection(Protocol):
    """One end of a connection that carries one large frame."""

    @property
    def deadline_ns(self) -> int:
        """When it is given up, on the node's steady clock."""

    def close(self) -> None:
        """Ends it at once and removes it from its set."""


Connection = TypeVar("Connection", bound=TransferConnection)


class ConnectionSet(Generic[Connection]):
    """Connections in the order in which they began. Past the limit the oldest is closed, so that peers which never
    finish cannot use up the file descriptors of the process."""

    def __init__(self, limit: int) -> None:
        """`limit`: connections at most."""
        self._limit = limit
        self._connections: dict[Connection, None] = {}  # a dict keeps the order

    def __iter__(self) -> Iterator[Connection]:
        """The oldest first."""
        return iter(self._connections)

    def __len__(self) -> int:
        """How many are open."""
        return len(self._connections)

    def __contains__(self, connection: Connection) -> bool:
        """Whether it is open and was not given up."""
        return connection in self._connections

    def add(self, connection: Connection) -> None:
        """Adds one; closes the oldest if it is one too many."""
        self._connections[connection] = None
        if len(self._connections) > self._limit:
            next(iter(self._connections)).close()

    def remove(self, connection: Connection) -> bool:
        """Takes one out; returns whether it was in the set."""
        if connection not in self._connections:
            return False
        del self._connections[connection]
        return True

    def expired(self, now_ns: int) -> list[Connection]:
        """Returns those whose deadline has passed."""
        return [connection for connection in self._connections if connection.deadline_ns < now_ns]
