"""Messages between members: an immutable class for each kind. `frame_encoder.py` and `frame_decoder.py` define the wire
format.

Common fields: `sender` is the key of the sender. `receiver_incarnation` is the incarnation of the receiver that the
message is addressed to; a receiver with another incarnation has lost its disk since and must not answer on behalf of
the former one. It is None if the sender does not specify it.

There are three groups of kinds: `ReplicationMessage`, `ElectionMessage` and `DiscoveryMessage`.
"""

from typing import NamedTuple, TypeAlias

from .identifiers import NO_POSITION, Incarnation, LogIndex, LogPosition, MemberKey, RoundNumber, Term


class JoinRequest(NamedTuple):
    """A node with a disk that is not a member asks to be added.

    `join_token`: the token from the leader's `LeaderHint`, or 0 if none has been received.
    """

    sender: MemberKey
    join_token: int
    is_initial_member: bool = False  # a new member in the initial start of the system
    receiver_incarnation: Incarnation | None = None


class LeaderQuery(NamedTuple):
    """A query for the leader. `sender`: key of a member without a leader; None if the sender has none."""

    sender: MemberKey | None = None
    receiver_incarnation: Incarnation | None = None


class LeaderHint(NamedTuple):
    """The leader as far as the sender knows.

    `leader_ip`: "" if no leader is known. `join_token`: the leader's token, or 0 if the sender is not the leader.
    """

    term: Term
    leader_ip: str
    member_ips: list[str]
    join_token: int
    receiver_is_excluded: bool  # it is committed that `receiver_incarnation` is not a member
    receiver_incarnation: Incarnation | None = None


class PreVoteRequest(NamedTuple):
    """Asks whether the receiver would vote for the sender in this term (Ongaro's dissertation, section 9.6)."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    position: LogPosition  # position of the sender's entry


class PreVoteGranted(NamedTuple):
    """The sender would currently vote for the receiver in this term."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term


class VoteRequest(NamedTuple):
    """Asks for a vote in this term (Raft paper, section 5.2)."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    position: LogPosition  # position of the sender's entry
    is_named_successor: bool = False  # the former leader has transferred leadership to the sender


class VoteGranted(NamedTuple):
    """The sender has voted for the receiver in this term, and the vote is on disk."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term


class TermRejected(NamedTuple):
    """Tells the receiver that its term is outdated. `term`: the newer term."""

    term: Term
    receiver_incarnation: Incarnation | None = None


class Heartbeat(NamedTuple):
    """A leader's heartbeat. `commit_index`: entries of this term up to this index are committed."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    round: RoundNumber
    commit_index: LogIndex


class AppendEntry(NamedTuple):
    """A heartbeat with the leader's entry (AppendEntries, or InstallSnapshot if the body is sent in full)."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    round: RoundNumber
    commit_index: LogIndex
    entry: list[object]  # an encoded `State`, with its body, with a delta instead of the body, or without either
    versions: list[object] | None = None  # an encoded `VersionDelta`; None from an older leader
    claims: list[object] | None = None  # encoded named holds on evacuated zones; None if there are none


class AppendAcknowledged(NamedTuple):
    """Answers a heartbeat or an entry. `position`, `body_digest`: of the entry on the sender's disk."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    round: RoundNumber
    position: LogPosition = NO_POSITION
    body_digest: bytes = b""
    is_shutting_down: bool = False


class LeadershipEnded(NamedTuple):
    """The sender has stepped down as the leader.

    `hands_over_to_receiver`: None if no successor is named, False if another member is the successor.
    """

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    hands_over_to_receiver: bool | None = None


ReplicationMessage: TypeAlias = Heartbeat | AppendAcknowledged | AppendEntry | LeadershipEnded
ElectionMessage: TypeAlias = PreVoteRequest | PreVoteGranted | VoteRequest | VoteGranted | TermRejected
DiscoveryMessage: TypeAlias = JoinRequest | LeaderQuery | LeaderHint
Message: TypeAlias = ReplicationMessage | ElectionMessage | DiscoveryMessage
