"""The nodes as the leader hears them: who they are, what they hold, when they last sent a heartbeat.

No I/O, no clock.
"""

from collections.abc import Iterable, Iterator

from .messages import Heartbeat
from .roster import RosterEntry
from .versions import ReplicaVersions

MS = 10**6  # ns
SEC = 10**9

MAX_PEERS = 4096
PEER_TIMEOUT_NS = 2400 * MS  # a node without a heartbeat for so long leaves the roster
# A frame of a process that has ended may arrive so long behind the first one of its successor.
PREVIOUS_INCARNATION_NS = 3 * SEC


class Peer:
    """A node as the leader hears it.

    Attributes:
        entry: as it stands in the roster.
        versions: what it holds, as far as is known.
        received_at_ns: when its last heartbeat arrived.
        sent_at_ns: when that was sent, by its own clock.
        incarnation: of the process at this address; None: not heard of yet.
        previous_incarnation: of the process before.
        incarnation_since_ns: when `incarnation` was first heard.
    """

    __slots__ = (
        "entry",
        "incarnation",
        "incarnation_since_ns",
        "previous_incarnation",
        "received_at_ns",
        "sent_at_ns",
        "versions",
    )

    def __init__(self, entry: RosterEntry, versions: ReplicaVersions, received_at_ns: int) -> None:
        """Known from a roster: no heartbeat of its process has been received yet."""
        self.entry = entry
        self.versions = versions
        self.received_at_ns = received_at_ns
        self.sent_at_ns = 0
        self.incarnation: int | None = None
        self.previous_incarnation: int | None = None
        self.incarnation_since_ns = 0

    def record(self, heartbeat: Heartbeat, now: int) -> None:
        """Takes over a heartbeat, unless it is an old one."""
        if self._accept(heartbeat.incarnation or 0, heartbeat.sent_at_ns, now):
            self.entry = _updated_entry(self.entry, heartbeat)
            self.versions = heartbeat.versions
            self.received_at_ns = now
            self.sent_at_ns = heartbeat.sent_at_ns

    def _accept(self, incarnation: int, sent_at_ns: int, now: int) -> bool:
        """Notes the process that a heartbeat comes from; returns whether the heartbeat is newer than what is known.

        Guards the roster against a late one of a node that has announced its end since, or of the process before a
        restart, by whose clock it may look newer.
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
    """All nodes that the leader hears, by address."""

    def __init__(self, own_ip: str) -> None:
        """Nobody has been heard yet."""
        self.by_ip: dict[str, Peer] = {}
        self._own_ip = own_ip

    def reset(self, entries: Iterable[RosterEntry], versions: ReplicaVersions, now: int) -> None:
        """Begins with the nodes of an existing roster as if heard now.

        Guards the directory against a new leader that has heard nobody yet: the old roster stands for a while.
        `versions` is what the leader holds: what a node lacks, its next heartbeat tells. That guards links against full
        transfers to all at once.
        """
        self.by_ip = {entry.ip: Peer(entry, versions, now) for entry in entries if entry.ip != self._own_ip}

    def get_or_add(self, ip: str, heartbeat: Heartbeat) -> Peer | None:
        """The peer at that address; None: it is not known, and there are too many."""
        peer = self.by_ip.get(ip)
        if peer is None and len(self.by_ip) < MAX_PEERS:
            entry = RosterEntry(heartbeat.name, ip, heartbeat.zone, heartbeat.front, heartbeat.ready)
            peer = self.by_ip[ip] = Peer(entry, heartbeat.versions, 0)
        return peer

    def drop_timed_out(self, now: int) -> None:
        """Forgets nodes without a heartbeat for too long."""
        for ip in [ip for ip, peer in self.by_ip.items() if now - peer.received_at_ns > PEER_TIMEOUT_NS]:
            del self.by_ip[ip]

    def entries(self) -> list[RosterEntry]:
        """The other nodes as they are to stand in the roster."""
        return [peer.entry for ip, peer in self.by_ip.items() if ip != self._own_ip]

    def lagging(self, versions: ReplicaVersions) -> Iterator[tuple[str, Peer]]:
        """The other nodes that lack something of `versions`, with their addresses."""
        for ip, peer in self.by_ip.items():
            if ip == self._own_ip:
                continue
            lacks_state = peer.versions.state_index < versions.state_index
            lacks_endpoints = peer.versions.endpoints_version < versions.endpoints_version
            if lacks_state or lacks_endpoints or peer.versions.roster_version < versions.roster_version:
                yield ip, peer


def _updated_entry(entry: RosterEntry, heartbeat: Heartbeat) -> RosterEntry:
    """The entry that a node's heartbeat asks for; the same object where nothing has changed, as is usual."""
    same_place = entry.name == heartbeat.name and entry.zone == heartbeat.zone and entry.front == heartbeat.front
    if same_place and entry.ready == heartbeat.ready:
        return entry
    return RosterEntry(heartbeat.name, entry.ip, heartbeat.zone, heartbeat.front, heartbeat.ready)
