"""Decides when the leader makes a new version of the roster, and from which nodes. No I/O, no clock."""

from .peers import PeerTable
from .roster import Roster, RosterEntry, any_node_stopped_serving
from .versions import first_version

MS = 10**6  # ns
SEC = 10**9

# Interval between rosters in which no node stopped serving: the maximum, and the part per receiving node. It avoids one
# roster per node when many nodes join.
MAX_ROSTER_INTERVAL_NS = SEC
ROSTER_INTERVAL_PER_NODE_NS = MS


class RosterBuilder:
    """Makes new versions of a leader's roster from the nodes that send it heartbeats."""

    def __init__(self, own: RosterEntry, roster: Roster, peers: PeerTable) -> None:
        """`own` is this node; `roster` its replica; `peers` the other nodes that send it heartbeats."""
        self._own = own
        self._roster = roster
        self._peers = peers
        self._made_at_ns = 0  # when this leader made its last version

    def renew(self, own_ready: bool, term: int, now: int) -> bool:
        """Makes a new version if the nodes have changed.

        A node that stops serving is removed at once; a node that joins may wait, so that several share one version.

        Args:
            own_ready: whether this node accepts requests.
            term: the term in which it is the leader.
            now: ns.

        Returns:
            Whether there is a new version.
        """
        self._peers.drop_timed_out(now)
        own = self._own._replace(ready=own_ready)
        entries = tuple(sorted([own, *self._peers.entries()]))
        if entries == self._roster.entries:
            return False
        if not any_node_stopped_serving(self._roster.entries, entries):
            interval_ns = min(MAX_ROSTER_INTERVAL_NS, ROSTER_INTERVAL_PER_NODE_NS * len(self._peers.by_ip))
            if now - self._made_at_ns < interval_ns:
                return False
        self._made_at_ns = now
        self._roster.replace(max(self._roster.version + 1, first_version(term)), entries)
        return True

    def renumber_above(self, version: int, term: int) -> bool:
        """Gives the roster a number of this term if a node holds `version` of an older leader, above this leader's.

        Otherwise a node that accepted the version of a deposed leader would never replace it.

        Returns:
            Whether the roster has a new number.
        """
        first = first_version(term)
        if not self._roster.version < version < first:
            return False
        self._roster.replace(first, self._roster.entries)
        return True
