"""Replication of a leader's entry to the other members and to learners (Raft paper, sections 5.3 and 7).

Each replica is sent the newest entry until it acknowledges it. Because each entry is the whole state, a lagging replica
needs only the newest one. An entry is sent in the shortest form that the replica can decode, given the entry that it
reported to have on disk: without its body, with a delta, or in full (`body_history.py`, `version_history.py`). At most
one transfer to a replica is in progress, because on a slow link a sequence of newer entries could keep every transfer
from completing.

Invariants:

- `commit_index` counts only entries of this leader's own term (Raft paper, section 5.4.2).
- A new leader sends its first entry in full only if it is small. It does not know yet what the replicas have, and often
  only the position differs. They get a heartbeat instead, and the entry after their answer.

`Leader` calls this module, and decides what is proposed and when an entry is committed.
"""

from .context import MemberContext
from .evacuations import encode_names
from .heartbeat_rounds import HeartbeatRounds
from .identifiers import NO_POSITION, LogIndex, LogPosition, MemberKey, Term, TimeNs
from .membership_change import SILENCE_NS, MembershipChange
from .messages import AppendAcknowledged, AppendEntry, Heartbeat
from .persistent_state import PersistentState
from .replica_progress import ReplicaProgress
from .state import BODY_COLUMN, State
from .version_history import VersionHistory

MAX_DELTA_ATTEMPTS = 2  # attempts to send an entry as a delta before it is sent in full
SMALL_ENTRY_BYTES = 1000  # below this size, a new leader sends its first entry before it knows who has it
MAX_VERSION_BASES = 16  # recent entries whose version histories can be the base of a delta


class Replication:
    """The replicas of one leader in one term, and the transfers to them."""

    def __init__(
        self,
        context: MemberContext,
        persistent: PersistentState,
        rounds: HeartbeatRounds,
        membership: MembershipChange,
    ) -> None:
        """Creates a replication without replicas; `set_replicas` sets them."""
        self._context = context
        self._persistent = persistent
        self._rounds = rounds
        self._membership = membership
        self._term: Term = persistent.term
        self.replicas: dict[MemberKey, ReplicaProgress] = {}  # all voters except the leader itself
        self.commit_index: LogIndex = 0  # index of the newest committed entry of this term
        self.first_committed_at: TimeNs | None = None  # when the first entry of this term was committed
        self._began_at = context.now
        self._versions: dict[LogPosition, VersionHistory] = {}  # of the last MAX_VERSION_BASES entries

    def remember_versions(self, entry: State) -> None:
        """Stores an entry's version history as a possible base of deltas."""
        self._versions[entry.position] = entry.versions
        if len(self._versions) > MAX_VERSION_BASES:
            del self._versions[next(iter(self._versions))]

    def commit(self, entry: State) -> None:
        """Records that the entry is on the disks of a majority."""
        self.commit_index = entry.index
        if self.first_committed_at is None:
            self.first_committed_at = self._context.now

    def keys_holding(self, position: LogPosition) -> set[MemberKey]:
        """Returns the replicas that have the entry at this position on disk."""
        return {key for key, replica in self.replicas.items() if replica.match_position == position}

    def keys_in_round(self, number: int) -> set[MemberKey]:
        """Returns the replicas that answered this round or a later one."""
        return {key for key, replica in self.replicas.items() if replica.acknowledged_round >= number}

    def is_silent(self, replica: ReplicaProgress) -> bool:
        """Whether a majority has answered for `SILENCE_NS` without this member."""
        since = max(replica.last_contact_at, self.first_committed_at or self._began_at)
        return self._rounds.confirmed_at - since >= SILENCE_NS

    def silent_keys(self) -> set[MemberKey]:
        """Returns the members that are silent."""
        return {key for key, replica in self.replicas.items() if self.is_silent(replica)}

    def set_replicas(self, entry: State) -> bool:
        """Sets the replicas to the members of this entry. Returns whether there were any replicas before."""
        before, learners = self.replicas, self._membership.replicas()
        self.replicas = {}
        for name, (ip, incarnation) in entry.all_members().items():
            key = MemberKey(name, incarnation)
            if name != self._context.settings.name:
                replica = before.get(key) or learners.get(key) or ReplicaProgress(ip)
                replica.set_address(ip)
                self.replicas[key] = replica
        return bool(before)

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to all members."""
        for key, replica in self.replicas.items():
            self._send_heartbeat(key, replica)

    def broadcast_entry(self, entry: State, is_first: bool) -> None:
        """Sends a new entry to all members; those with a transfer in progress get it after their answer."""
        is_small = len(entry.body) + entry.versions.encoded_size() < SMALL_ENTRY_BYTES
        for key, replica in self.replicas.items():
            if replica.is_receiving(self._context.now):
                continue
            if is_small or not is_first:
                self.send_entry(key, replica)
            else:
                self._send_heartbeat(key, replica)

    def resend_overdue(self) -> None:
        """Resends the entry to members and learners that have not acknowledged it in time."""
        position, now = self._entry().position, self._context.now
        for key, replica in {**self.replicas, **self._membership.replicas()}.items():
            if replica.match_position < position and replica.sent_at and replica.is_overdue(now):
                self.send_entry(key, replica)

    def send_entry(self, key: MemberKey, replica: ReplicaProgress) -> None:
        """Sends the newest entry to one member or learner."""
        entry = self._entry()
        replica.record_send(entry.position, self._context.now)
        row = self._encode_for(replica, entry)
        base = self._versions.get(replica.match_position)
        base_position = NO_POSITION if base is None else replica.match_position
        versions = entry.versions.delta_from(base or VersionHistory(), base_position)
        replica.add_sent_bytes(len(versions.rows))
        message = AppendEntry(
            self._persistent.key,
            key.incarnation,
            self._term,
            self._rounds.current,
            self.commit_index,
            row,
            versions.encode(),
            encode_names(entry.evacuations),
        )
        self._context.send(replica.ip, message)

    def acknowledged(self, message: AppendAcknowledged) -> bool:
        """Handles an answer. Returns False if it is ignored: its sender or its round is unknown."""
        replica = self._replica(message.sender)
        if replica is None or message.round > self._rounds.current:
            return False
        now, entry = self._context.now, self._entry()
        replica.record_response(message.round, now, message.is_shutting_down)
        replica.acknowledged(message.position, message.body_digest)
        was_sent = replica.sent_position == entry.position
        may_send = replica.is_overdue(now) if was_sent else not replica.is_receiving(now)
        if replica.match_position < entry.position and may_send:
            self.send_entry(message.sender, replica)
        return True

    def _replica(self, key: MemberKey) -> ReplicaProgress | None:
        """Returns the progress of a member or a learner, or None if the key is neither."""
        replica = self.replicas.get(key)
        if replica is None and (learner := self._membership.learner(key)) is not None:
            replica = learner.replica
        return replica

    def _entry(self) -> State:
        """Returns the newest entry; a leader always has one."""
        entry = self._persistent.entry
        assert entry is not None
        return entry

    def _send_heartbeat(self, key: MemberKey, replica: ReplicaProgress) -> None:
        round_number = self._rounds.current
        message = Heartbeat(self._persistent.key, key.incarnation, self._term, round_number, self.commit_index)
        self._context.send(replica.ip, message)

    def _encode_for(self, replica: ReplicaProgress, entry: State) -> list[object]:
        """Encodes the entry in the form this replica needs: without its body, with a delta, or in full."""
        if replica.body_digest == entry.body_digest:
            return entry.encode(include_body=False)
        delta = None
        if replica.send_attempts <= MAX_DELTA_ATTEMPTS:
            delta = self._persistent.bodies.delta(replica.body_digest, entry)
        if delta is None:
            replica.add_sent_bytes(len(entry.body))
            return entry.encode()
        row = entry.encode(include_body=False)
        row[BODY_COLUMN] = delta.encoded
        replica.add_sent_bytes(delta.size)
        return row
