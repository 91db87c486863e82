"""What a member knows, and how it gets to the disk before anything that rests on it leaves the member.

These are Raft's persistent state (paper, figure 2: term, vote, log) and the newest committed entry, with the member's
incarnation. Each change raises `version`; `next_store` hands the newest version to the disk, one store at a time, and
`stored` makes it the durable one. Invariants:

- An answer that rests on a version leaves only once that version is durable (`deferred_responses.py`).
- `term` never falls; `vote` changes within a term only from nobody to somebody.
- `committed` never goes back to an older index within the life of a process.

Called by `Member`, and by the parts that change it: elections, replication, the leader.
"""

from typing import NamedTuple

from .body_history import BodyHistory
from .context import MemberContext
from .events import RecordStored, StateCommitted, StoreRecord
from .identifiers import MS, Incarnation, MemberAddress, MemberKey, Term, TimeNs
from .record import MAX_NODE_IPS, Record, decode_record, encode_record
from .state import State, digest

RETRY_NS = 200 * MS  # until a failed store is tried again


class DurableVersion(NamedTuple):
    """A version that is on disk for sure, or on its way there."""

    version: int
    term: Term
    entry: State | None


class PersistentState:
    """Incarnation, term, vote, entry and the newest committed entry of one member."""

    def __init__(self, context: MemberContext, record: bytes | None) -> None:
        """`record`: what the disk held; None for an empty one. Raises RecordError.

        An empty disk makes a new incarnation. The first seed founds the core on it, with itself as the only member.
        """
        self._context = context
        self.key = MemberKey(context.settings.name, 0)  # this member, as others count it; 0: no disk
        self.term: Term = 0
        self.vote: MemberKey | None = None  # in `term`
        self.entry: State | None = None  # the newest one
        self.committed: State | None = None  # the newest one known to be committed
        self.member_ips: list[str] = []  # where to ask, as another member said
        self.node_ips: list[str] = []  # of all nodes that were known lately, the present ones first
        self.bodies = BodyHistory()  # that deltas may rest on
        self.version = 0
        self.durable = DurableVersion(0, 0, None)
        self.in_flight: DurableVersion | None = None
        self._retry_at: TimeNs = 0
        self._identity_version = 1 if record is None else 0  # with which the incarnation goes to disk
        if record is not None:
            self._load(record)
        elif context.settings.has_disk:
            self._start_empty()
        if self.entry is not None:
            self.bodies.add(self.entry)

    # Who this is.

    @property
    def incarnation(self) -> Incarnation:
        """Of this member's disk."""
        return self.key.incarnation

    def is_member(self) -> bool:
        """Whether this incarnation is a member by the newest entry."""
        return self.entry is not None and self.entry.has_member(self.key.name, self.key.incarnation)

    def identity_is_durable(self) -> bool:
        """Whether this incarnation survives a restart."""
        return self.durable.version >= self._identity_version

    def renew_incarnation(self) -> None:
        """Comes back as another: nothing that the old incarnation promised is at stake, as it never speaks again."""
        self._set_incarnation(self._context.draw_identifier())
        self.vote = None
        self.version += 1
        self._identity_version = self.version

    def _set_incarnation(self, incarnation: Incarnation) -> None:
        self.key = MemberKey(self._context.settings.name, incarnation)

    # Changes.

    def enter_term(self, term: Term) -> None:
        """A newer term, in which no vote is given yet."""
        self.term = term
        self.vote = None
        self.version += 1

    def follow_term(self, term: Term) -> None:
        """Of a node without a disk: it never votes, and has nothing to store."""
        self.term = term

    def vote_for(self, candidate: MemberKey) -> None:
        """Gives the vote of this term."""
        self.vote = candidate
        self.version += 1

    def stand_as_candidate(self) -> None:
        """The next term, with the own vote in it."""
        self.term += 1
        self.vote = self.key
        self.version += 1

    def append(self, entry: State) -> None:
        """Takes a newer entry, which replaces the one before it."""
        self.entry = entry
        self.version += 1
        self.bodies.add(entry)

    def commit(self, entry: State) -> None:
        """The entry is known to be committed; nothing changes if a newer one was."""
        if self.committed is None or entry.index > self.committed.index:
            self.committed = entry
            self._context.emit(StateCommitted(entry))

    def learn_members(self, ips: list[str]) -> None:
        """Where to ask, for a member that is none yet. Goes to disk: it may be killed before it is added, and would
        know nobody then."""
        self.member_ips = ips
        if self._context.settings.has_disk:
            self.version += 1

    def remember_nodes(self, ips: list[str]) -> None:
        """The nodes that there are now. Those of before are kept behind them, as far as there is room: they may come
        back. Goes to disk at once if there is a new one."""
        former = [ip for ip in self.node_ips if ip not in ips]
        has_new = len(former) + len(ips) > len(self.node_ips)
        self.node_ips = (ips + former)[:MAX_NODE_IPS]
        if has_new:
            self.version += 1

    # The disk.

    def next_store(self) -> StoreRecord | None:
        """The newest version, if it is not durable yet and no store is under way."""
        if self.version <= self.durable.version or self.in_flight is not None or self._context.now < self._retry_at:
            return None
        self.in_flight = DurableVersion(self.version, self.term, self.entry)
        return StoreRecord(self.version, self.encode())

    def stored(self, event: RecordStored) -> DurableVersion | None:
        """The version that is durable from now on; None if the store failed, or was not the one under way."""
        if self.in_flight is None or self.in_flight.version != event.version:
            return None
        done, self.in_flight = self.in_flight, None
        if not event.succeeded:
            self._retry_at = self._context.now + RETRY_NS
            return None
        self.durable = done
        return done

    def encode(self) -> bytes:
        """The record for the disk."""
        record = Record(
            self.incarnation,
            self.term,
            self.vote,
            self.committed.position if self.committed else None,
            self.entry,
            [] if self.is_member() else self.member_ips,
            self._context.settings.name,
            self.node_ips,
        )
        return encode_record(record)

    def _load(self, data: bytes) -> None:
        record = decode_record(data, self._context.settings.name)
        self._set_incarnation(record.incarnation)
        self.term = record.term
        self.vote = record.vote
        self.entry = record.entry
        self.member_ips = record.member_ips
        self.node_ips = record.node_ips
        if self.entry is not None and record.committed_position == self.entry.position:
            self.committed = self.entry
        self.durable = DurableVersion(0, self.term, self.entry)

    def _start_empty(self) -> None:
        settings = self._context.settings
        self._set_incarnation(self._context.draw_identifier())
        self.version = 1
        if settings.is_first_start and settings.seeds and settings.seeds[0] == settings.ip:
            members = {settings.name: MemberAddress(settings.ip, self.incarnation)}
            self.entry = State(1, 1, members=members, body_digest=digest(b""), target_size=1)
            self.term = 1
