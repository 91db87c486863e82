"""The roster: the list of all nodes. The leader assigns its versions, every node holds a replica. No I/O, no clock.

Only the leader makes new versions (from the nodes in `peers.py`). A version's number contains the leader's term
(`versions.py`), so the versions of two leaders never share a number. Other nodes are sent a `RosterUpdate`, in full or
as a delta to a version that the receiver holds; `messages.py` encodes it.
"""

from collections.abc import Iterable
from operator import attrgetter
from typing import NamedTuple

from .deltas import Delta, DeltaHistory


class RosterEntry(NamedTuple):
    """One node.

    Attributes:
        name: the node's name; the entries of a roster are sorted by it.
        ip: IPv4 address for traffic between nodes, in dotted decimal.
        zone: failure domain of the node.
        front: `host:port` for clients; empty if it serves none.
        ready: whether it accepts requests.
    """

    name: str
    ip: str
    zone: str
    front: str
    ready: bool


class RosterUpdate(NamedTuple):
    """A version of the roster, as one node sends it to another.

    Attributes:
        version: its number.
        entries: all nodes, or only the changed ones of a delta.
        delta: the base and digest of a delta; None: the entries are complete.
    """

    version: int
    entries: tuple[RosterEntry, ...]
    delta: Delta | None = None


class Roster:
    """A node's replica of the roster, with the versions that deltas may be based on."""

    def __init__(self) -> None:
        """Starts empty, as version 0."""
        self.version = 0
        self.entries: tuple[RosterEntry, ...] = ()
        self._history: DeltaHistory[RosterEntry] = DeltaHistory(attrgetter("ip"), len(RosterEntry._fields))

    def replace(self, version: int, entries: tuple[RosterEntry, ...]) -> None:
        """Makes `entries` the newest version."""
        self.version = version
        self.entries = entries
        self._history.add(version, entries)

    def update_since(self, version: int) -> RosterUpdate:
        """Makes the update for a node that holds `version`: a delta if that is shorter, otherwise all entries."""
        delta = self._history.delta_since(version)
        if delta is None:
            return RosterUpdate(self.version, self.entries)
        return RosterUpdate(self.version, tuple(delta.changed), delta)

    def apply(self, update: RosterUpdate) -> None:
        """Applies a newer version.

        Raises:
            DeltaMismatchError: it is a delta that cannot be applied to the replica, which stays unchanged.
        """
        entries = update.entries
        if update.delta is not None:
            entries = self._history.apply(self.version, update.delta)
        self.replace(update.version, entries)


def any_node_stopped_serving(old: Iterable[RosterEntry], new: Iterable[RosterEntry]) -> bool:
    """Whether a node that was ready in `old` is missing or not ready in `new`."""
    ready_now = {entry.ip for entry in new if entry.ready}
    return any(entry.ready and entry.ip not in ready_now for entry in old)
