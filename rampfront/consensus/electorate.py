"""The members whose votes form a majority, and the one exception in which a member of a core of two continues alone.

The members in the newest entry have votes, and so do those of the previous list until the change is known to be
committed (joint consensus, Raft paper, section 6).

The exception is an extension to Raft. In a core of two members, nothing is committed without both of them. If one loses
its disk, the other therefore has everything that was committed, and the lost incarnation will never vote again; but no
majority of the two can form any more. The remaining member then elects itself and adds the new incarnation. It does so
only while there is no leader, and only after the new incarnation has kept asking to join for
`LOST_DISK_CONFIRMATION_NS`, because a single request may be a delayed one. In a larger core this would be unsafe: a
single member may lack entries that the others committed.

`MessageHandler` reports join requests; the election and the leader use `state` to count votes.
"""

from .context import MemberContext
from .identifiers import LogPosition, MemberKey, TimeNs
from .leader_discovery import JOIN_INTERVAL_NS
from .persistent_state import PersistentState
from .state import State

LOST_DISK_CONFIRMATION_NS = 3 * JOIN_INTERVAL_NS  # how long the new incarnation must have been asking to join
CORE_OF_TWO = 2


class Electorate:
    """The members whose votes count, as one member knows them."""

    def __init__(self, context: MemberContext, persistent: PersistentState) -> None:
        """Starts with the ordinary electorate: no lost disk has been detected."""
        self._context = context
        self._persistent = persistent
        self.sole_voter_position: LogPosition | None = None  # position of the entry in which only this member votes
        self._replacement: MemberKey | None = None  # new incarnation of the other member, which asks to join
        self._replacement_since: TimeNs = 0

    def state(self) -> State:
        """Returns the entry whose member lists determine a majority; there must be an entry.

        The previous list no longer counts once the entry is committed: a majority of both lists has the entry, so
        nobody can win an election with the previous list alone.
        """
        entry, committed = self._persistent.entry, self._persistent.committed
        assert entry is not None
        if self.sole_voter_position is not None and self.sole_voter_position == entry.position:
            name = self._context.settings.name
            return entry.next_entry(members={name: entry.members[name]}, previous_members=None)
        if entry.previous_members is None:
            return entry
        is_committed = committed is not None and committed.position == entry.position
        return entry.next_entry(previous_members=None) if is_committed else entry

    def observe_join_request(self, sender: MemberKey, has_leader: bool) -> None:
        """Handles a join request from a non-member, received while this member is not the leader.

        `has_leader`: whether there is a live leader.
        """
        entry = self._persistent.entry
        if entry is None or has_leader or not self._replaces_other_of_two(sender, entry):
            self._replacement = None
        elif self._replacement != sender:
            self._replacement = sender
            self._replacement_since = self._context.now
        elif self._context.now - self._replacement_since >= LOST_DISK_CONFIRMATION_NS:
            self.sole_voter_position = entry.position

    def leader_appeared(self) -> None:
        """Resets the exception: there is a leader, so a majority exists."""
        self.sole_voter_position = None
        self._replacement = None

    def _replaces_other_of_two(self, newcomer: MemberKey, entry: State) -> bool:
        """Whether `newcomer` is a new incarnation of the only other member."""
        both, own = entry.all_members(), self._persistent.key
        if len(both) != CORE_OF_TWO or newcomer.name not in both or newcomer.name == own.name:
            return False
        own_address = entry.members.get(own.name)
        is_counted = own_address is not None and own_address.incarnation == own.incarnation
        return is_counted and not entry.has_member(*newcomer)
