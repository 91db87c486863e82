"""The table of open transactions, of their submissions to servers, and of the small indices that name them.

The decision module names transactions and servers by small indices (`terms.py`). An index is handed out again only once
nothing refers to it: a transaction's once it is finished and its last submission has ended, a server's once it has left
the server list and has no call in flight. Both programs that drive the module keep this table, `net/` and `benchlink/`.
It decides nothing and knows no protocol.
"""

from collections.abc import Hashable, Iterable, KeysView
from typing import Generic, TypeVar

from . import terms as t

Key = TypeVar("Key", bound=Hashable)


class IndexTable(Generic[Key]):
    """Small indices for outside keys, handed out again once they are free."""

    def __init__(self) -> None:
        """Starts empty."""
        self._indices: dict[Key, int] = {}
        self._keys: list[Key | None] = []  # by index; None where the index is free
        self._free: list[int] = []

    def __len__(self) -> int:
        """Returns how many indices are assigned."""
        return len(self._indices)

    def __contains__(self, key: Key) -> bool:
        """Returns whether the key has an index."""
        return key in self._indices

    @property
    def capacity(self) -> int:
        """The largest number of indices that were ever assigned at once."""
        return len(self._keys)

    def keys(self) -> KeysView[Key]:
        """Returns a view of the keys that have an index. A lookup in it costs less than `in` on the table."""
        return self._indices.keys()

    def indices(self) -> Iterable[int]:
        """Returns all assigned indices."""
        return self._indices.values()

    def find(self, key: Key) -> int | None:
        """Returns the index of a key, or None."""
        return self._indices.get(key)

    def key(self, index: int) -> Key:
        """Returns the key of an index. Raises LookupError if the index is free."""
        key = self._keys[index]
        if key is None:
            raise LookupError(f"index {index} is free")
        return key

    def take(self, key: Key) -> int:
        """Returns the index of a key; assigns one if it has none."""
        index = self._indices.get(key)
        if index is not None:
            return index
        if self._free:
            index = self._free.pop()
            self._keys[index] = key
        else:
            index = len(self._keys)
            self._keys.append(key)
        self._indices[key] = index
        return index

    def free(self, index: int) -> None:
        """Frees an index. Raises LookupError if it is free already."""
        key = self._keys[index]
        if key is None:
            raise LookupError(f"index {index} is free")
        del self._indices[key]
        self._keys[index] = None  # drops the reference to the key
        self._free.append(index)


class _Transaction:
    """An open transaction.

    Attributes:
        submissions: the number of submissions so far.
        in_flight: the numbers of those that have not ended.
        finished: whether it has its final answer, or its client no longer waits for one.
    """

    __slots__ = ("submissions", "in_flight", "finished")

    def __init__(self) -> None:
        """Starts without submissions."""
        self.submissions = 0
        self.in_flight: set[int] = set()
        self.finished = False


class InFlight(Generic[Key]):
    """Open transactions, by the outside keys of their owner, and the calls in flight at each server.

    Attributes:
        transactions: the indices of transactions.
        servers: the indices of servers, by their ids.
        departed_servers: indices of servers that left the list and still have calls in flight.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.transactions: IndexTable[Key] = IndexTable()
        self.servers: IndexTable[str] = IndexTable()
        self.departed_servers: set[int] = set()
        self._open: dict[int, _Transaction] = {}
        self._server_load: dict[int, int] = {}  # submissions and health checks in flight, by server
        self._finished: list[int] = []  # transactions that `release` has to check

    def __len__(self) -> int:
        """Returns how many transactions are open, or finished with submissions still in flight."""
        return len(self._open)

    @property
    def unfinished(self) -> int:
        """How many transactions are not finished."""
        return sum(not transaction.finished for transaction in self._open.values())

    # ---- transactions

    def open(self, key: Key) -> int:
        """Opens a transaction. Returns its index."""
        txn = self.transactions.take(key)
        self._open[txn] = _Transaction()
        return txn

    def is_unfinished(self, txn: int) -> bool:
        """Returns whether this is an open transaction that is not finished."""
        transaction = self._open.get(txn)
        return transaction is not None and not transaction.finished

    def is_in_flight(self, txn: int, attempt: int) -> bool:
        """Returns whether this submission of a transaction has not ended."""
        return attempt in self._open[txn].in_flight

    def add_submission(self, txn: int, server: int) -> int:
        """Counts a submission to a server. Returns its number among those of the transaction."""
        transaction = self._open[txn]
        attempt = transaction.submissions
        transaction.in_flight.add(attempt)
        transaction.submissions += 1
        self.add_health_check(server)
        return attempt

    def end_submission(self, txn: int, attempt: int, server: int, final: bool) -> bool:
        """A submission has ended. `final`: its outcome ends the transaction. Returns whether that is finished."""
        transaction = self._open[txn]
        transaction.in_flight.discard(attempt)
        self._server_load[server] -= 1
        if final:
            transaction.finished = True
        if transaction.finished:
            self._finished.append(txn)
        return transaction.finished

    def finish(self, txn: int) -> bool:
        """Marks the transaction as finished. Returns False if it was finished already."""
        transaction = self._open[txn]
        was_finished = transaction.finished
        transaction.finished = True
        self._finished.append(txn)
        return not was_finished

    # ---- servers

    def add_health_check(self, server: int) -> None:
        """Counts a health check, or another call, to a server as in flight."""
        self._server_load[server] = self._server_load.get(server, 0) + 1

    def end_health_check(self, server: int) -> None:
        """A health check has ended."""
        self._server_load[server] -= 1

    def is_busy(self, server: int) -> bool:
        """Returns whether a call to a server is in flight."""
        return bool(self._server_load.get(server))

    def list_server(self, uid: str, removed: bool) -> int | None:
        """The server list names a server. Returns its index; None for a removed one that was never listed before."""
        if removed and uid not in self.servers:
            return None
        index = self.servers.take(uid)
        if removed:
            self.departed_servers.add(index)
        else:
            self.departed_servers.discard(index)
        return index

    def retain_servers(self, rows: Iterable[t.ServerListRow]) -> None:
        """Applies a complete list: servers that it leaves out have departed."""
        named = {row.server for row in rows}
        self.departed_servers.update(index for index in self.servers.indices() if index not in named)

    def release(self) -> None:
        """Frees the indices of finished transactions and of departed servers, once no call of theirs is in flight.

        Called after an input and its effects, so that no index changes its meaning in between.
        """
        if self._finished:
            for txn in dict.fromkeys(self._finished):
                transaction = self._open.get(txn)
                if transaction is not None and transaction.finished and not transaction.in_flight:
                    del self._open[txn]
                    self.transactions.free(txn)
            self._finished.clear()
        if self.departed_servers:
            for index in [index for index in sorted(self.departed_servers) if not self.is_busy(index)]:
                self.departed_servers.discard(index)
                self._server_load.pop(index, None)
                self.servers.free(index)
