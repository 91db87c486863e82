"""How a leader brings its entry to the other members and to learners (Raft paper, sections 5.3 and 7).

Each replica gets the newest entry until it acknowledges it. As each entry is the whole state, there is nothing to be
sent in order: a replica that lags gets only the newest one. An entry goes in the shortest form that the replica can
read by what it said is on its disk: without its body, with a delta, or whole (`body_history.py`, `version_history.py`).
At most one transfer is under way to a replica, since newer ones would push each other off a slow link for ever.

Invariants:

- `commit_index` counts entries of this leader's own term only (Raft paper, section 5.4.2).
- A new leader's first entry goes in full only if it is small: what the others have is not known yet, and it may be all
  but the position. They get a heartbeat, and the entry with their answer.

Called by `Leader`, which decides what is proposed and when something is committed.
"""

from .context import MemberContext
from .heartbeat_rounds import HeartbeatRounds
from .identifiers import NO_POSITION, LogIndex, LogPosition, MemberKey, Term, TimeNs
from .membership_change import SILENCE_NS, MembershipChange
from .messages import AppendAcknowledged, AppendEntry, Heartbeat
from .persistent_state import PersistentState
from .replica_progress import ReplicaProgress
from .state import BODY_COLUMN, State
from .version_history import VersionHistory

MAX_DELTA_ATTEMPTS = 2  # times that an entry is sent as a delta before it goes whole
SMALL_ENTRY_BYTES = 1000  # that go with a leader's first entry, before it is known who has them
MAX_VERSION_BASES = 16  # entries whose histories of versions a delta may rest on


class Replication:
    """The replicas of one leader in one term, and what is under way to them."""

    def __init__(
        self,
        context: MemberContext,
        persistent: PersistentState,
        rounds: HeartbeatRounds,
        membership: MembershipChange,
    ) -> None:
        """No replica is known yet."""
        self._context = context
        self._persistent = persistent
        self._rounds = rounds
        self._membership = membership
        self._term: Term = persistent.term
        self.replicas: dict[MemberKey, ReplicaProgress] = {}  # of those whose votes may count, but the leader
        self.commit_index: LogIndex = 0  # of the newest committed entry of this term
        self.first_committed_at: TimeNs | None = None  # when the first entry of this term was
        self._began_at = context.now
        self._versions: dict[LogPosition, VersionHistory] = {}  # of the last entries; bounded

    def remember_versions(self, entry: State) -> None:
        """An entry whose versions a delta may rest on."""
        self._versions[entry.position] = entry.versions
        if len(self._versions) > MAX_VERSION_BASES:
            del self._versions[next(iter(self._versions))]

    def commit(self, entry: State) -> None:
        """The entry is on the disks of a majority."""
        self.commit_index = entry.index
        if self.first_committed_at is None:
            self.first_committed_at = self._context.now

    def keys_with(self, position: LogPosition) -> set[MemberKey]:
        """The replicas that have the entry at this position on disk."""
        return {key for key, replica in self.replicas.items() if replica.match_position == position}

    def keys_in_round(self, number: int) -> set[MemberKey]:
        """The replicas that answered this round, or a later one."""
        return {key for key, replica in self.replicas.items() if replica.acknowledged_round >= number}

    def is_silent(self, replica: ReplicaProgress) -> bool:
        """Whether a majority has answered for long without this member."""
        since = max(replica.last_contact_at, self.first_committed_at or self._began_at)
        return self._rounds.confirmed_at - since >= SILENCE_NS

    def silent_keys(self) -> set[MemberKey]:
        """The members that do not answer."""
        return {key for key, replica in self.replicas.items() if self.is_silent(replica)}

    def replace_members(self, entry: State) -> bool:
        """The replicas are those of this entry from now on. Returns whether there were any before."""
        before, learners = self.replicas, self._membership.replicas()
        self.replicas = {}
        for name, (ip, incarnation) in entry.all_members().items():
            key = MemberKey(name, incarnation)
            if name != self._context.settings.name:
                replica = before.get(key) or learners.get(key) or ReplicaProgress(ip)
                replica.reached_at(ip)
                self.replicas[key] = replica
        return bool(before)

    def send_heartbeats(self) -> None:
        """To all members."""
        for key, replica in self.replicas.items():
            self._send_heartbeat(key, replica)

    def broadcast_entry(self, entry: State, is_first: bool) -> None:
        """Sends a new entry to all but those that a transfer is under way to: they get the newest as they answer."""
        is_small = len(entry.body) + entry.versions.encoded_size() < SMALL_ENTRY_BYTES
        for key, replica in self.replicas.items():
            if replica.is_receiving(self._context.now):
                continue
            if is_small or not is_first:
                self.send_entry(key, replica)
            else:
                self._send_heartbeat(key, replica)

    def resend_overdue(self) -> None:
        """Sends the entry again to members and learners that have not acknowledged it in time."""
        position, now = self._entry().position, self._context.now
        for key, replica in {**self.replicas, **self._membership.replicas()}.items():
            if replica.match_position < position and replica.sent_at and replica.is_overdue(now):
                self.send_entry(key, replica)

    def send_entry(self, key: MemberKey, replica: ReplicaProgress) -> None:
        """Sends the newest entry to one member or learner."""
        entry = self._entry()
        replica.sending(entry.position, self._context.now)
        row = self._encode_for(replica, entry)
        base = self._versions.get(replica.match_position)
        base_position = NO_POSITION if base is None else replica.match_position
        versions = entry.versions.delta_from(base or VersionHistory(), base_position)
        replica.sending_bytes(len(versions.rows))
        message = AppendEntry(
            self._persistent.key,
            key.incarnation,
            self._term,
            self._rounds.current,
            self.commit_index,
            row,
            versions.encode(),
            entry.encode_claims(),
        )
        self._context.send(replica.ip, message)

    def acknowledged(self, message: AppendAcknowledged) -> bool:
        """Takes an answer. Returns False if it counts for nothing: of a stranger, or of a round that never began."""
        replica = self._replica(message.sender)
        if replica is None or message.round > self._rounds.current:
            return False
        now, entry = self._context.now, self._entry()
        replica.answered(message.round, now, message.is_shutting_down)
        replica.acknowledged(message.position, message.body_digest)
        was_sent = replica.sent_position == entry.position
        may_send = replica.is_overdue(now) if was_sent else not replica.is_receiving(now)
        if replica.match_position < entry.position and may_send:
            self.send_entry(message.sender, replica)
        return True

    def _replica(self, key: MemberKey) -> ReplicaProgress | None:
        """Of a member or a learner."""
        replica = self.replicas.get(key)
        if replica is None and (learner := self._membership.learner(key)) is not None:
            replica = learner.replica
        return replica

    def _entry(self) -> State:
        """The newest entry; a leader always has one."""
        entry = self._persistent.entry
        assert entry is not None
        return entry

    def _send_heartbeat(self, key: MemberKey, replica: ReplicaProgress) -> None:
        round_number = self._rounds.current
        message = Heartbeat(self._persistent.key, key.incarnation, self._term, round_number, self.commit_index)
        self._context.send(replica.ip, message)

    def _encode_for(self, replica: ReplicaProgress, entry: State) -> list[object]:
        """The entry as this replica needs it: without its body, with a delta, or whole."""
        if replica.body_digest == entry.body_digest:
            return entry.encode(include_body=False)
        delta = None
        if replica.send_attempts <= MAX_DELTA_ATTEMPTS:
            delta = self._persistent.bodies.delta(replica.body_digest, entry)
        if delta is None:
            replica.sending_bytes(len(entry.body))
            return entry.encode()
        row = entry.encode(include_body=False)
        row[BODY_COLUMN] = delta.encoded
        replica.sending_bytes(delta.size)
        return row
