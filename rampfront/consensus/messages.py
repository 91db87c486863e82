"""The messages between members: an immutable class for each kind. `frame_encoder.py` and `frame_decoder.py`
say how they look on the wire.

`sender`: who sent it. `receiver_incarnation`: which incarnation of the receiver is meant; a receiver that is another
one has lost its disk and must not answer for its former self. None where the sender names none.

The kinds fall into three groups, by what they are about: `ReplicationMessage`, `ElectionMessage`, `DiscoveryMessage`.
"""

from typing import NamedTuple, TypeAlias

from .identifiers import NO_POSITION, Incarnation, LogIndex, LogPosition, MemberKey, RoundNumber, Term


class JoinRequest(NamedTuple):
    """I have a disk and am no member: add me. `password`: as the leader named it in a `LeaderHint`, or 0."""

    sender: MemberKey
    password: int
    counts_towards_size: bool = False  # the sender starts for the first time in its life, with the whole system
    receiver_incarnation: Incarnation | None = None


class LeaderQuery(NamedTuple):
    """Who leads? `sender`: of a member that finds no leader; None from a node without a disk."""

    sender: MemberKey | None = None
    receiver_incarnation: Incarnation | None = None


class LeaderHint(NamedTuple):
    """Who leads, as the sender knows. `leader_ip`: "" for nobody. `password`: the leader's own, or 0 from others."""

    term: Term
    leader_ip: str
    member_ips: list[str]
    password: int
    receiver_is_excluded: bool  # it is committed that `receiver_incarnation` is no member
    receiver_incarnation: Incarnation | None = None


class PreVoteRequest(NamedTuple):
    """Would you vote for me in that term? (Ongaro's dissertation, section 9.6)."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    position: LogPosition  # of the sender's entry


class PreVoteGranted(NamedTuple):
    """I would vote for you in that term, as matters are now."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term


class VoteRequest(NamedTuple):
    """Vote for me in this term (Raft paper, section 5.2)."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    position: LogPosition  # of the sender's entry
    is_named_successor: bool = False  # the former leader has handed over to the sender


class VoteGranted(NamedTuple):
    """I have voted for you in this term, and that is on my disk."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term


class TermRejected(NamedTuple):
    """There is a newer term than the one that you named."""

    term: Term
    receiver_incarnation: Incarnation | None = None


class Heartbeat(NamedTuple):
    """I lead in this term. `commit_index`: up to which entries of this term are committed."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    round: RoundNumber
    commit_index: LogIndex


class AppendEntry(NamedTuple):
    """A heartbeat that brings the leader's entry (AppendEntries, or InstallSnapshot where the body comes whole)."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    round: RoundNumber
    commit_index: LogIndex
    entry: list[object]  # an encoded `State`, with its body, a delta in its place, or without it
    versions: list[object] | None = None  # an encoded `VersionDelta`; None from an older leader
    claims: list[object] | None = None  # on evacuated zones, encoded; None if there are none, or from an older leader


class AppendAcknowledged(NamedTuple):
    """An answer to a heartbeat or an entry: what is on the sender's disk."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    round: RoundNumber
    position: LogPosition = NO_POSITION
    body_digest: bytes = b""
    is_shutting_down: bool = False


class LeadershipEnded(NamedTuple):
    """I lead no longer. `hands_over_to_receiver`: None if no successor is named, False if another member is."""

    sender: MemberKey
    receiver_incarnation: Incarnation | None
    term: Term
    hands_over_to_receiver: bool | None = None


ReplicationMessage: TypeAlias = Heartbeat | AppendAcknowledged | AppendEntry | LeadershipEnded
ElectionMessage: TypeAlias = PreVoteRequest | PreVoteGranted | VoteRequest | VoteGranted | TermRejected
DiscoveryMessage: TypeAlias = JoinRequest | LeaderQuery | LeaderHint
Message: TypeAlias = ReplicationMessage | ElectionMessage | DiscoveryMessage
