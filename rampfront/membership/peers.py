"""The nodes that the leader receives heartbeats from: their roster entries, versions and last heartbeats.

No I/O, no clock.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .messages import Heartbeat
from .roster import RosterEntry
from .versions import ReplicaVersions

MS = 10**6  # ns
SEC = 10**9

MAX_PEERS = 4096
MAX_EARLIER_ARRIVALS = 3  # of one node's heartbeats
PEER_TIMEOUT_NS = 2400 * MS  # a node without a heartbeat for this long leaves the roster
# How long after the first frame of a process a late frame of its predecessor may still arrive.
PREVIOUS_INCARNATION_NS = 3 * SEC


class Arrival(NamedTuple):
    """The times of one heartbeat.

    Attributes:
        sent_at_ns: by the node's clock.
        received_at_ns: by the leader's clock.
    """

    sent_at_ns: int
    received_at_ns: int


class Peer:
    """A node that sends heartbeats to the leader.

    Attributes:
        entry: its entry in the roster.
        versions: the versions that it holds, as far as is known.
        received_at_ns: arrival time of the last heartbeat.
        sent_at_ns: when that heartbeat was sent, by the node's clock.
        earlier_arrivals: the times of the heartbeats before, newest first: answers to the last ones may be lost.
        incarnation: of the process at this address; None: no heartbeat received yet.
        previous_incarnation: of the process before.
        incarnation_since_ns: when `incarnation` was first received.
    """

    __slots__ = (
        "entry",
        "incarnation",
        "earlier_arrivals",
        "incarnation_since_ns",
        "previous_incarnation",
        "received_at_ns",
        "sent_at_ns",
        "versions",
    )

    def __init__(self, entry: RosterEntry, versions: ReplicaVersions, received_at_ns: int) -> None:
        """Adds a node from a roster; no heartbeat of its process has been received yet."""
        self.entry = entry
        self.versions = versions
        self.received_at_ns = received_at_ns
        self.sent_at_ns = 0
        self.earlier_arrivals: tuple[Arrival, ...] = ()
        self.incarnation: int | None = None
        self.previous_incarnation: int | None = None
        self.incarnation_since_ns = 0

    def record(self, heartbeat: Heartbeat, now: int) -> None:
        """Records a heartbeat, unless it is outdated."""
        if self._accept(heartbeat.incarnation or 0, heartbeat.sent_at_ns, now):
            self.entry = _updated_entry(self.entry, heartbeat)
            self.versions = heartbeat.versions
            earlier = self.earlier_arrivals[: MAX_EARLIER_ARRIVALS - 1]
            self.earlier_arrivals = (Arrival(self.sent_at_ns, self.received_at_ns), *earlier)
            self.received_at_ns = now
            self.sent_at_ns = heartbeat.sent_at_ns

    def arrival_of(self, sent_at_ns: int) -> int | None:
        """When the heartbeat that was sent at that time arrived; None if it is not among the last ones."""
        if not sent_at_ns:
            return None
        if sent_at_ns == self.sent_at_ns:
            return self.received_at_ns
        earlier = self.earlier_arrivals
        return next((arrival.received_at_ns for arrival in earlier if arrival.sent_at_ns == sent_at_ns), None)

    def _accept(self, incarnation: int, sent_at_ns: int, now: int) -> bool:
        """Updates the incarnation; returns whether the heartbeat is newer than the last one.

        An outdated heartbeat must not change the roster. It may be from before the node announced its shutdown, or from
        the process before a restart, whose clock may make it look newer.
        """
        if incarnation == self.incarnation:
            return sent_at_ns > self.sent_at_ns
        if incarnation == self.previous_incarnation and now - self.incarnation_since_ns < PREVIOUS_INCARNATION_NS:
            return False
        self.previous_incarnation = self.incarnation
        self.incarnation = incarnation
        self.incarnation_since_ns = now
        return True


class PeerTable:
    """All nodes that send heartbeats to the leader, by address."""

    def __init__(self, own_ip: str) -> None:
        """Starts without peers."""
        self.by_ip: dict[str, Peer] = {}
        self._own_ip = own_ip

    def reset(self, entries: Iterable[RosterEntry], versions: ReplicaVersions, now: int) -> None:
        """Starts a leader's table with the nodes of the existing roster, as if their heartbeats had arrived now.

        A new leader has received no heartbeats yet, so the directory keeps the old roster for a while. `versions` are
        those of the leader. What a node lacks is known from its next heartbeat, which avoids full transfers to all
        nodes at once.
        """
        self.by_ip = {entry.ip: Peer(entry, versions, now) for entry in entries if entry.ip != self._own_ip}

    def get_or_add(self, ip: str, heartbeat: Heartbeat) -> Peer | None:
        """Returns the peer at that address, adding it if needed; None if it is not known and the table is full."""
        peer = self.by_ip.get(ip)
        if peer is None and len(self.by_ip) < MAX_PEERS:
            entry = RosterEntry(heartbeat.name, ip, heartbeat.zone, heartbeat.front, heartbeat.ready)
            peer = self.by_ip[ip] = Peer(entry, heartbeat.versions, 0)
        return peer

    def drop_timed_out(self, now: int) -> None:
        """Removes nodes without a heartbeat for PEER_TIMEOUT_NS."""
        for ip in [ip for ip, peer in self.by_ip.items() if now - peer.received_at_ns > PEER_TIMEOUT_NS]:
            del self.by_ip[ip]

    def entries(self) -> list[RosterEntry]:
        """Roster entries of the other nodes."""
        return [peer.entry for ip, peer in self.by_ip.items() if ip != self._own_ip]

    def lagging(self, versions: ReplicaVersions) -> Iterator[tuple[str, Peer]]:
        """Yields the other nodes that lack something of `versions`, with their addresses."""
        for ip, peer in self.by_ip.items():
            if ip == self._own_ip:
                continue
            lacks_state = peer.versions.state_index < versions.state_index
            lacks_endpoints = peer.versions.endpoints_version < versions.endpoints_version
            if lacks_state or lacks_endpoints or peer.versions.roster_version < versions.roster_version:
                yield ip, peer


def _updated_entry(entry: RosterEntry, heartbeat: Heartbeat) -> RosterEntry:
    """Returns the entry that a heartbeat describes; the same object if nothing has changed, as is usual."""
    same_place = entry.name == heartbeat.name and entry.zone == heartbeat.zone and entry.front == heartbeat.front
    if same_place and entry.ready == heartbeat.ready:
        return entry
    return RosterEntry(heartbeat.name, entry.ip, heartbeat.zone, heartbeat.front, heartbeat.ready)
