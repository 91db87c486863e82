"""One server of the server list, and its idle connections."""

from typing import Generic, Protocol, TypeVar


class IdleConnection(Protocol):
    """The interface of a connection that its server uses."""

    idle_since_ns: int
    """When it became idle."""

    @property
    def usable(self) -> bool:
        """Whether it can take a submission."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes it, and removes it from its server."""
        raise NotImplementedError


ConnectionT = TypeVar("ConnectionT", bound=IdleConnection)


class Server(Generic[ConnectionT]):
    """One server of the server list.

    Attributes:
        index: its index in the decision module.
        uid: its id.
        address: host and port; None once it was removed.
        up: whether submissions may be sent to it.
        idle: its idle connections, the most recently used last.
        connections: the number of connections to it.
    """

    __slots__ = ("index", "uid", "address", "up", "idle", "connections")

    def __init__(self, index: int, uid: str, address: tuple[str, int] | None) -> None:
        """Starts without connections."""
        self.index = index
        self.uid = uid
        self.address = address
        self.up = True
        self.idle: list[ConnectionT] = []
        self.connections = 0

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in list(self.idle):
            connection.close()
