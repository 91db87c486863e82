"""One server of the list, and its idle connections."""

from typing import Generic, Protocol, TypeVar


class IdleConnection(Protocol):
    """A connection as far as its server needs it."""

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
    """One server as the list names it.

    Attributes:
        index: its index at the decision module.
        uid: its id.
        address: host and port; None once it was removed.
        up: whether submissions may go there.
        idle: its idle connections, the one used last at the end.
        connections: how many connections there are to it.
    """

    __slots__ = ("index", "uid", "address", "up", "idle", "connections")

    def __init__(self, index: int, uid: str, address: tuple[str, int] | None) -> None:
        """Has no connection yet."""
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
