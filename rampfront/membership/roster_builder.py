"""When the leader makes a new version of the roster, and of whom. No I/O, no clock."""

from .peers import PeerTable
from .roster import Roster, RosterEntry, any_node_stopped_serving
from .versions import first_version

MS = 10**6  # ns
SEC = 10**9

# Interval between rosters in which nobody stopped serving: at most, and for each node that they go to. Guards links
# against a roster for each node that joins.
MAX_ROSTER_INTERVAL_NS = SEC
ROSTER_INTERVAL_PER_NODE_NS = MS


class RosterBuilder:
    """Makes new versions of a leader's roster out of the nodes that it hears."""

    def __init__(self, own: RosterEntry, roster: Roster, peers: PeerTable) -> None:
        """`own`: this node; `roster`: its replica; `peers`: the other nodes as it hears them."""
        self._own = own
        self._roster = roster
        self._peers = peers
        self._made_at_ns = 0  # when this leader made its last version

    def renew(self, own_ready: bool, term: int, now: int) -> bool:
        """Makes a new version where the nodes have changed.

        A node that stops serving is left out at once; for one that joins, a version may wait for others.

        Args:
            own_ready: whether this node takes requests.
            term: the term in which it leads.
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
        """Gives the roster a number of this term where a node holds `version` of an older leader, above this one's.

        Guards against what an old leader numbered when another led already: whoever took it would keep it.

        Returns:
            Whether the roster has a new number.
        """
        first = first_version(term)
        if not self._roster.version < version < first:
            return False
        self._roster.replace(first, self._roster.entries)
        return True
