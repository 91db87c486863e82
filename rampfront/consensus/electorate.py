"""By whose votes a majority is sought, and the one case in which a member of two goes on alone.

The members of the newest entry count, and those of the list before it until the change is known to be committed (joint
consensus, Raft paper, section 6).

The exception is our own. In a core of two, neither could ever agree to anything without the other. If the disk of one
is lost, the other therefore has all that was agreed, and the old incarnation agrees to nothing any more; yet there will
never be a majority of the two again. So the one left stands for election by itself and takes the new incarnation in. It
does so only after several requests to join of that incarnation, as a late one proves nothing, and while no leader is
there. In a core of more this would be wrong: one alone may lack what the others agreed to.

Called by `Member` for requests to join, by the election and the leader for the votes that count.
"""

from .context import MemberContext
from .identifiers import LogPosition, MemberKey, TimeNs
from .leader_discovery import JOIN_INTERVAL_NS
from .persistent_state import PersistentState
from .state import State

LOST_DISK_PROOF_NS = 3 * JOIN_INTERVAL_NS  # for which the new incarnation must have asked
CORE_OF_TWO = 2


class Electorate:
    """The members whose votes count, as one member knows them."""

    def __init__(self, context: MemberContext, persistent: PersistentState) -> None:
        """Nobody has lost a disk as far as this member knows."""
        self._context = context
        self._persistent = persistent
        self.sole_survivor_of: LogPosition | None = None  # of the entry by which this member goes on alone
        self._newcomer: MemberKey | None = None  # that asks to join in the other one's place
        self._newcomer_since: TimeNs = 0

    def state(self) -> State:
        """The entry by whose members a majority is sought.

        The previous members are done with once the entry is committed: a majority of both lists has it, so none can
        win any more by the previous list alone. Only called where there is an entry.
        """
        entry, committed = self._persistent.entry, self._persistent.committed
        assert entry is not None
        if self.sole_survivor_of is not None and self.sole_survivor_of == entry.position:
            name = self._context.settings.name
            return entry.next_entry(members={name: entry.members[name]}, previous_members=None)
        if entry.previous_members is None:
            return entry
        is_committed = committed is not None and committed.position == entry.position
        return entry.next_entry(previous_members=None) if is_committed else entry

    def observe_join_request(self, sender: MemberKey, has_leader: bool) -> None:
        """One that is no member asks to join, at a member that does not lead. `has_leader`: whether somebody does."""
        entry = self._persistent.entry
        if entry is None or has_leader or not self._replaces_other_of_two(sender, entry):
            self._newcomer = None
        elif self._newcomer != sender:
            self._newcomer = sender
            self._newcomer_since = self._context.now
        elif self._context.now - self._newcomer_since >= LOST_DISK_PROOF_NS:
            self.sole_survivor_of = entry.position

    def leader_appeared(self) -> None:
        """Somebody leads, so the core is no longer without a majority."""
        self.sole_survivor_of = None
        self._newcomer = None

    def _replaces_other_of_two(self, newcomer: MemberKey, entry: State) -> bool:
        """Whether it is another incarnation of the one member beside this one."""
        both, own = entry.all_members(), self._persistent.key
        if len(both) != CORE_OF_TWO or newcomer.name not in both or newcomer.name == own.name:
            return False
        own_address = entry.members.get(own.name)
        is_counted = own_address is not None and own_address.incarnation == own.incarnation
        return is_counted and not entry.has_member(*newcomer)
