"""The roster: the list of all nodes, as the leader numbers it and every node keeps a replica of it. No I/O, no clock.

The leader alone makes new versions (`peers.py` holds what it makes them of). A version's number contains the leader's
term (`versions.py`), so versions of two leaders never share a number. What goes to other nodes is a `RosterUpdate`, in
full or as a difference to a version that the receiver holds; `messages.py` encodes it.
"""

from collections.abc import Iterable
from operator import attrgetter
from typing import NamedTuple

from .deltas import Delta, DeltaHistory


class RosterEntry(NamedTuple):
    """One node.

    Attributes:
        name: the node's name; entries of a roster are sorted by it.
        ip: its address between nodes, an IPv4 address in numbers.
        zone: the failure domain that it stands in.
        front: `host:port` at which clients reach it; empty: it serves none.
        ready: whether it takes requests.
    """

    name: str
    ip: str
    zone: str
    front: str
    ready: bool


class RosterUpdate(NamedTuple):
    """A version of the roster as one node sends it to another.

    Attributes:
        version: its number.
        entries: all nodes, or the changed ones where `delta` is there.
        delta: what the entries are a difference to; None: they are complete.
    """

    version: int
    entries: tuple[RosterEntry, ...]
    delta: Delta | None = None


class Roster:
    """A node's replica of the roster, with the versions that differences may be based on."""

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
        """What a node lacks that holds `version`: a difference where that is shorter, else all entries."""
        delta = self._history.delta_since(version)
        if delta is None:
            return RosterUpdate(self.version, self.entries)
        return RosterUpdate(self.version, tuple(delta.changed), delta)

    def apply(self, update: RosterUpdate) -> None:
        """Takes over a newer version.

        Raises:
            DeltaMismatchError: it is a difference that cannot be applied to what is held; nothing has changed.
        """
        entries = update.entries
        if update.delta is not None:
            entries = self._history.apply(self.version, update.delta)
        self.replace(update.version, entries)


def any_node_stopped_serving(old: Iterable[RosterEntry], new: Iterable[RosterEntry]) -> bool:
    """Whether a node that was ready in `old` is gone or no longer ready in `new`."""
    ready_now = {entry.ip for entry in new if entry.ready}
    return any(entry.ready and entry.ip not in ready_now for entry in old)
