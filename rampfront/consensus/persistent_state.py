"""The persistent state of a member and its storage on disk.

It consists of Raft's persistent state (paper, figure 2: term, vote, log), the newest committed entry and the member's
incarnation. Each change increments `version`. `next_store` returns the newest version for the disk, one store at a
time, and `stored` marks it as durable. Invariants:

- A response that depends on a version is sent only once that version is durable (`deferred_responses.py`).
- `term` never decreases; within a term, `vote` changes at most once, from None to a candidate.
- `committed` never returns to an older index while the process runs.

Called by `Member`, and by the components that change the state: election, replication and leader.
"""

from typing import NamedTuple

from .body_history import BodyHistory
from .context import MemberContext
from .events import RecordStored, StateCommitted, StoreRecord
from .identifiers import MS, Incarnation, MemberAddress, MemberKey, Term, TimeNs
from .record import MAX_NODE_IPS, Record, decode_record, encode_record
from .state import State, digest

RETRY_NS = 200 * MS  # delay before a failed store is retried
FOUNDING_TERM: Term = 1  # of the entry that founds a core; no leader has this term


class DurableVersion(NamedTuple):
    """A version that is on disk, or is being written to it."""

    version: int
    term: Term
    entry: State | None


class PersistentState:
    """Incarnation, term, vote, newest entry and newest committed entry of one member."""

    def __init__(self, context: MemberContext, record: bytes | None) -> None:
        """Loads `record`, the record on disk, or initializes the state if `record` is None. Raises RecordError.

        With an empty disk, a new incarnation is drawn. At the system's initial start, the first seed then bootstraps
        the core with itself as the only member.
        """
        self._context = context
        self.key = MemberKey(context.settings.name, 0)  # identity of this member; incarnation 0: not drawn yet
        self.term: Term = 0
        self.vote: MemberKey | None = None  # vote given in `term`
        self.entry: State | None = None  # newest entry
        self.committed: State | None = None  # newest entry known to be committed
        self.member_ips: list[str] = []  # member addresses received in a hint; used while this is not a member
        self.node_ips: list[str] = []  # addresses of all recently known nodes, current ones first
        self.bodies = BodyHistory()  # possible bases of deltas
        self.version = 0
        self.durable = DurableVersion(0, 0, None)
        self.in_flight: DurableVersion | None = None
        self._retry_at: TimeNs = 0
        self._identity_version = 1 if record is None else 0  # first version that contains the incarnation
        if record is not None:
            self._load(record)
        else:
            self._start_empty()
        if self.entry is not None:
            self.bodies.add(self.entry)

    # Identity.

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of this member's disk."""
        return self.key.incarnation

    def is_member(self) -> bool:
        """Whether this incarnation is a member according to the newest entry."""
        return self.entry is not None and self.entry.has_member(self.key.name, self.key.incarnation)

    def identity_is_durable(self) -> bool:
        """Whether the incarnation is on disk and so survives a restart."""
        return self.durable.version >= self._identity_version

    def renew_incarnation(self) -> None:
        """Draws a new incarnation and drops the vote.

        This is safe because the old incarnation sends no more messages, so its votes and acknowledgements no longer
        matter.
        """
        self._set_incarnation(self._context.draw_identifier())
        self.vote = None
        self.version += 1
        self._identity_version = self.version

    def _set_incarnation(self, incarnation: Incarnation) -> None:
        self.key = MemberKey(self._context.settings.name, incarnation)

    # Changes.

    def enter_term(self, term: Term) -> None:
        """Enters a newer term, in which this member has not voted yet."""
        self.term = term
        self.vote = None
        self.version += 1

    def vote_for(self, candidate: MemberKey) -> None:
        """Records the vote of this term."""
        self.vote = candidate
        self.version += 1

    def begin_candidate_term(self) -> None:
        """Enters the next term and votes for this member itself."""
        self.term += 1
        self.vote = self.key
        self.version += 1

    def append(self, entry: State) -> None:
        """Replaces the entry by a newer one."""
        self.entry = entry
        self.version += 1
        self.bodies.add(entry)

    def commit(self, entry: State) -> None:
        """Records that an entry is committed; does nothing if a newer one is already known to be."""
        if self.committed is None or entry.index > self.committed.index:
            self.committed = entry
            self._context.emit(StateCommitted(entry))

    def learn_members(self, ips: list[str]) -> None:
        """Records the member addresses for a node that is not a member yet.

        They are written to disk, because the process may be killed before it is added and would then know no address.
        """
        self.member_ips = ips
        self.version += 1

    def remember_nodes(self, ips: list[str]) -> None:
        """Records the addresses of the current nodes, and writes them to disk if there is a new one.

        Addresses of former nodes are kept after them, up to `MAX_NODE_IPS`, because those nodes may return.
        """
        former = [ip for ip in self.node_ips if ip not in ips]
        has_new = len(former) + len(ips) > len(self.node_ips)
        self.node_ips = (ips + former)[:MAX_NODE_IPS]
        if has_new:
            self.version += 1

    # Storage.

    def next_store(self) -> StoreRecord | None:
        """Returns the newest version to store; None if it is durable, a store is in flight, or a retry is not due."""
        if self.version <= self.durable.version or self.in_flight is not None or self._context.now < self._retry_at:
            return None
        self.in_flight = DurableVersion(self.version, self.term, self.entry)
        return StoreRecord(self.version, self.encode())

    def stored(self, event: RecordStored) -> DurableVersion | None:
        """Returns the version that became durable; None if the store failed, or is not the one in flight."""
        if self.in_flight is None or self.in_flight.version != event.version:
            return None
        done, self.in_flight = self.in_flight, None
        if not event.succeeded:
            self._retry_at = self._context.now + RETRY_NS
            return None
        self.durable = done
        return done

    def encode(self) -> bytes:
        """Encodes the record for the disk."""
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
            self.entry = State(1, FOUNDING_TERM, members=members, body_digest=digest(b""), target_size=1)
            self.term = FOUNDING_TERM
