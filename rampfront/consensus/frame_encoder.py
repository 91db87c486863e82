"""Encodes messages into frames for the transport.

The order of the keys is part of the format, and optional fields are omitted when they have their default value: nodes
of different versions run together, and tests compare frames byte by byte. `MemberContext.send` calls `encode`.
"""

from typing import TypeAlias, assert_never

from . import wire_names as wire
from .messages import (
    AppendAcknowledged,
    AppendEntry,
    DiscoveryMessage,
    ElectionMessage,
    Heartbeat,
    JoinRequest,
    LeaderHint,
    LeaderQuery,
    LeadershipEnded,
    Message,
    PreVoteGranted,
    PreVoteRequest,
    TermRejected,
    VoteGranted,
    VoteRequest,
)
from .wire_names import Frame


def encode(message: Message) -> Frame:
    """Encodes a message into the map that the transport sends."""
    match message:  # the messages of each heartbeat round come first, as they are the most frequent
        case Heartbeat():
            return _round_frame(wire.HEARTBEAT, message)
        case AppendAcknowledged():
            return _append_acknowledged_frame(message)
        case AppendEntry():
            return _append_entry_frame(message)
        case LeadershipEnded():
            return _leadership_ended_frame(message)
        case PreVoteRequest() | PreVoteGranted() | VoteRequest() | VoteGranted() | TermRejected():
            return _election_frame(message)
        case JoinRequest() | LeaderQuery() | LeaderHint():
            return _discovery_frame(message)
        case _:
            assert_never(message)


def _election_frame(message: ElectionMessage) -> Frame:
    match message:
        case PreVoteRequest():
            return {**_addressed_frame(wire.PRE_VOTE_REQUEST, message), wire.POSITION: list(message.position)}
        case PreVoteGranted():
            return _addressed_frame(wire.PRE_VOTE_GRANTED, message)
        case VoteRequest():
            return _vote_request_frame(message)
        case VoteGranted():
            return _addressed_frame(wire.VOTE_GRANTED, message)
        case TermRejected():
            return {wire.KIND: wire.TERM_REJECTED, wire.TERM: message.term}
        case _:
            assert_never(message)


def _discovery_frame(message: DiscoveryMessage) -> Frame:
    match message:
        case JoinRequest():
            return _join_request_frame(message)
        case LeaderQuery():
            return _leader_query_frame(message)
        case LeaderHint():
            return _leader_hint_frame(message)
        case _:
            assert_never(message)


_AddressedMessage: TypeAlias = (
    PreVoteRequest
    | PreVoteGranted
    | VoteRequest
    | VoteGranted
    | Heartbeat
    | AppendEntry
    | AppendAcknowledged
    | LeadershipEnded
)


def _addressed_frame(kind: str, message: _AddressedMessage) -> Frame:
    """Builds a frame of a kind that names its sender, one incarnation of its receiver, and a term."""
    return {
        wire.KIND: kind,
        wire.SENDER_NAME: message.sender.name,
        wire.SENDER_INCARNATION: message.sender.incarnation,
        wire.RECEIVER_INCARNATION: message.receiver_incarnation,
        wire.TERM: message.term,
    }


def _round_frame(kind: str, message: Heartbeat | AppendEntry) -> Frame:
    """Builds a frame of a message that belongs to a leader's heartbeat round."""
    sender = message.sender
    return {
        wire.KIND: kind,
        wire.SENDER_NAME: sender.name,
        wire.SENDER_INCARNATION: sender.incarnation,
        wire.RECEIVER_INCARNATION: message.receiver_incarnation,
        wire.TERM: message.term,
        wire.ROUND: message.round,
        wire.COMMIT_INDEX: message.commit_index,
    }


def _append_entry_frame(message: AppendEntry) -> Frame:
    frame = _round_frame(wire.APPEND_ENTRY, message)
    frame[wire.ENTRY] = message.entry
    if message.versions is not None:
        frame[wire.VERSIONS] = message.versions
    if message.claims is not None:
        frame[wire.CLAIMS] = message.claims
    return frame


def _append_acknowledged_frame(message: AppendAcknowledged) -> Frame:
    sender = message.sender
    frame: Frame = {
        wire.KIND: wire.APPEND_ACKNOWLEDGED,
        wire.SENDER_NAME: sender.name,
        wire.SENDER_INCARNATION: sender.incarnation,
        wire.RECEIVER_INCARNATION: message.receiver_incarnation,
        wire.TERM: message.term,
        wire.ROUND: message.round,
        wire.POSITION: list(message.position),
        wire.BODY_DIGEST: message.body_digest,
    }
    if message.is_shutting_down:
        frame[wire.IS_SHUTTING_DOWN] = 1
    return frame


def _vote_request_frame(message: VoteRequest) -> Frame:
    frame = _addressed_frame(wire.VOTE_REQUEST, message)
    frame[wire.POSITION] = list(message.position)
    if message.is_named_successor:
        frame[wire.SUCCESSOR] = 1
    return frame


def _leadership_ended_frame(message: LeadershipEnded) -> Frame:
    frame = _addressed_frame(wire.LEADERSHIP_ENDED, message)
    if message.hands_over_to_receiver is not None:
        frame[wire.SUCCESSOR] = int(message.hands_over_to_receiver)
    return frame


def _join_request_frame(message: JoinRequest) -> Frame:
    frame: Frame = {
        wire.KIND: wire.JOIN_REQUEST,
        wire.SENDER_NAME: message.sender.name,
        wire.SENDER_INCARNATION: message.sender.incarnation,
        wire.JOIN_TOKEN: message.join_token,
    }
    if message.is_initial_member:
        frame[wire.IS_INITIAL_MEMBER] = 1
    return frame


def _leader_query_frame(message: LeaderQuery) -> Frame:
    frame: Frame = {wire.KIND: wire.LEADER_QUERY}
    if message.sender is not None:
        frame[wire.SENDER_NAME] = message.sender.name
        frame[wire.SENDER_INCARNATION] = message.sender.incarnation
    return frame


def _leader_hint_frame(message: LeaderHint) -> Frame:
    frame: Frame = {
        wire.KIND: wire.LEADER_HINT,
        wire.TERM: message.term,
        wire.LEADER_IP: message.leader_ip,
        wire.MEMBER_IPS: message.member_ips,
        wire.JOIN_TOKEN: message.join_token,
        wire.IS_EXCLUDED: int(message.receiver_is_excluded),
    }
    if message.receiver_is_excluded:
        frame[wire.RECEIVER_INCARNATION] = message.receiver_incarnation
    return frame
