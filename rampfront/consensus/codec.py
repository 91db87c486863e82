"""Messages between members, to and from the maps that the transport carries. Only this module knows the wire's keys.

A map has short keys, because heartbeats go to each member three times a second and bytes between zones are priced.
Old and new nodes run mixed, so the keys, their order in the map and the kinds' names stay as they are, and what is
optional is left out where it says nothing. Keys that are not known are skipped.

For each kind there is a row of `_FORMS`: the fields that must be there, and the function that builds the message.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeAlias, assert_never

from .errors import RemoteProtocolError
from .identifiers import LogPosition, MemberKey
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
    ReplicationMessage,
    TermRejected,
    VoteGranted,
    VoteRequest,
)
from .state import MAX_NAMES

Frame: TypeAlias = dict[str, Any]  # a message as the transport carries it
FieldCheck: TypeAlias = Callable[[object], bool]

# The wire's keys.
KIND = "k"
SENDER_NAME = "n"
SENDER_INCARNATION = "i"
RECEIVER_INCARNATION = "j"
TERM = "t"
POSITION = "e"
BODY_DIGEST = "d"
ROUND = "s"
COMMIT_INDEX = "c"
ENTRY = "x"  # of an AppendEntry
PASSWORD = "x"  # of a JoinRequest or a LeaderHint
VERSIONS = "v"
LEADER_IP = "l"
MEMBER_IPS = "m"
IS_EXCLUDED = "o"
COUNTS_TOWARDS_SIZE = "f"
IS_SHUTTING_DOWN = "z"
SUCCESSOR = "h"  # 1: the receiver (of a VoteRequest: the sender) is named, 0: another member is

# The kinds' names.
JOIN_REQUEST = "knock"
LEADER_QUERY = "seek"
LEADER_HINT = "at"
PRE_VOTE_REQUEST = "ask"
PRE_VOTE_GRANTED = "may"
VOTE_REQUEST = "run"
VOTE_GRANTED = "aye"
TERM_REJECTED = "nay"
HEARTBEAT = "beat"
APPEND_ENTRY = "full"
APPEND_ACKNOWLEDGED = "ack"
LEADERSHIP_ENDED = "quit"

MAX_KEYS = 16
MAX_NUMBER = 1 << 53
MAX_NAME_LETTERS = 200
MAX_IP_LETTERS = 45
MAX_DIGEST_BYTES = 16
POSITION_LENGTH = 2


# Checks of single fields.


def _is_number(value: object) -> bool:
    return type(value) is int and 0 <= value < MAX_NUMBER


def _is_name(value: object) -> bool:
    return type(value) is str and 0 < len(value) <= MAX_NAME_LETTERS


def _is_ip(value: object) -> bool:
    return type(value) is str and len(value) <= MAX_IP_LETTERS


def _is_position(value: object) -> bool:
    if not isinstance(value, (list, tuple)) or len(value) != POSITION_LENGTH:
        return False
    return _is_number(value[0]) and _is_number(value[1])


def _is_digest(value: object) -> bool:
    return type(value) is bytes and len(value) <= MAX_DIGEST_BYTES


def _is_list(value: object) -> bool:
    return type(value) is list


def _is_ip_list(value: object) -> bool:
    return type(value) is list and len(value) <= 2 * MAX_NAMES and all(map(_is_ip, value))


# From the wire: each function builds a message of a frame whose fields have been checked.


def _sender(frame: Frame) -> MemberKey:
    return MemberKey(frame[SENDER_NAME], frame[SENDER_INCARNATION])


def _position(frame: Frame) -> LogPosition:
    position = frame[POSITION]
    return LogPosition(position[0], position[1])


def _join_request(frame: Frame) -> JoinRequest:
    founding = bool(frame.get(COUNTS_TOWARDS_SIZE))
    return JoinRequest(_sender(frame), frame[PASSWORD], founding, frame.get(RECEIVER_INCARNATION))


def _leader_query(frame: Frame) -> LeaderQuery:
    is_member = SENDER_NAME in frame and SENDER_INCARNATION in frame
    return LeaderQuery(_sender(frame) if is_member else None, frame.get(RECEIVER_INCARNATION))


def _leader_hint(frame: Frame) -> LeaderHint:
    return LeaderHint(
        frame[TERM],
        frame[LEADER_IP],
        frame[MEMBER_IPS],
        frame[PASSWORD],
        bool(frame[IS_EXCLUDED]),
        frame.get(RECEIVER_INCARNATION),
    )


def _pre_vote_request(frame: Frame) -> PreVoteRequest:
    position = _position(frame)
    return PreVoteRequest(_sender(frame), frame[RECEIVER_INCARNATION], frame[TERM], position)


def _pre_vote_granted(frame: Frame) -> PreVoteGranted:
    return PreVoteGranted(_sender(frame), frame[RECEIVER_INCARNATION], frame[TERM])


def _vote_request(frame: Frame) -> VoteRequest:
    position = _position(frame)
    is_successor = bool(frame.get(SUCCESSOR))
    return VoteRequest(_sender(frame), frame[RECEIVER_INCARNATION], frame[TERM], position, is_successor)


def _vote_granted(frame: Frame) -> VoteGranted:
    return VoteGranted(_sender(frame), frame[RECEIVER_INCARNATION], frame[TERM])


def _term_rejected(frame: Frame) -> TermRejected:
    return TermRejected(frame[TERM], frame.get(RECEIVER_INCARNATION))


def _heartbeat(frame: Frame) -> Heartbeat:
    return Heartbeat(_sender(frame), frame[RECEIVER_INCARNATION], frame[TERM], frame[ROUND], frame[COMMIT_INDEX])


def _append_entry(frame: Frame) -> AppendEntry:
    return AppendEntry(
        _sender(frame),
        frame[RECEIVER_INCARNATION],
        frame[TERM],
        frame[ROUND],
        frame[COMMIT_INDEX],
        frame[ENTRY],
        frame.get(VERSIONS),
    )


def _append_acknowledged(frame: Frame) -> AppendAcknowledged:
    return AppendAcknowledged(
        _sender(frame),
        frame[RECEIVER_INCARNATION],
        frame[TERM],
        frame[ROUND],
        _position(frame),
        frame[BODY_DIGEST],
        bool(frame.get(IS_SHUTTING_DOWN)),
    )


def _leadership_ended(frame: Frame) -> LeadershipEnded:
    named = frame.get(SUCCESSOR)
    hands_over = None if named is None else bool(named)
    return LeadershipEnded(_sender(frame), frame[RECEIVER_INCARNATION], frame[TERM], hands_over)


class _Form(NamedTuple):
    """The fields that a kind must have, and what builds its message. Most are numbers, which are checked in one go."""

    numbers: tuple[str, ...]
    others: dict[str, FieldCheck]
    build: Callable[[Frame], Message]


_NAMED: dict[str, FieldCheck] = {SENDER_NAME: _is_name}
_BOUND = (SENDER_INCARNATION, RECEIVER_INCARNATION, TERM)
_ROUND = (*_BOUND, ROUND, COMMIT_INDEX)
_ACKNOWLEDGEMENT: dict[str, FieldCheck] = {**_NAMED, POSITION: _is_position, BODY_DIGEST: _is_digest}
_FORMS: dict[str, _Form] = {
    JOIN_REQUEST: _Form((SENDER_INCARNATION, PASSWORD), _NAMED, _join_request),
    LEADER_QUERY: _Form((), {}, _leader_query),
    LEADER_HINT: _Form((TERM, PASSWORD, IS_EXCLUDED), {LEADER_IP: _is_ip, MEMBER_IPS: _is_ip_list}, _leader_hint),
    PRE_VOTE_REQUEST: _Form(_BOUND, {**_NAMED, POSITION: _is_position}, _pre_vote_request),
    PRE_VOTE_GRANTED: _Form(_BOUND, _NAMED, _pre_vote_granted),
    VOTE_REQUEST: _Form(_BOUND, {**_NAMED, POSITION: _is_position}, _vote_request),
    VOTE_GRANTED: _Form(_BOUND, _NAMED, _vote_granted),
    TERM_REJECTED: _Form((TERM,), {}, _term_rejected),
    HEARTBEAT: _Form(_ROUND, _NAMED, _heartbeat),
    APPEND_ENTRY: _Form(_ROUND, {**_NAMED, ENTRY: _is_list}, _append_entry),
    APPEND_ACKNOWLEDGED: _Form((*_BOUND, ROUND), _ACKNOWLEDGEMENT, _append_acknowledged),
    LEADERSHIP_ENDED: _Form(_BOUND, _NAMED, _leadership_ended),
}
# May be left out of any kind, but must be right where they are.
_OPTIONAL: dict[str, FieldCheck] = {
    COUNTS_TOWARDS_SIZE: _is_number,
    IS_SHUTTING_DOWN: _is_number,
    SUCCESSOR: _is_number,
    RECEIVER_INCARNATION: _is_number,
    SENDER_INCARNATION: _is_number,
    SENDER_NAME: _is_name,
    VERSIONS: _is_list,
}


def decode(frame: object) -> Message:
    """The message of a frame, every field of it checked.

    Raises RemoteProtocolError for a frame that no member would send.
    """
    if not isinstance(frame, dict) or len(frame) > MAX_KEYS:
        raise RemoteProtocolError("no map")
    kind = frame.get(KIND)
    form = _FORMS.get(kind) if type(kind) is str else None
    if form is None:
        raise RemoteProtocolError("kind")
    for key in form.numbers:
        value = frame.get(key)
        if type(value) is not int or not 0 <= value < MAX_NUMBER:
            raise RemoteProtocolError(f"{kind}: {key}")
    for key, is_valid in form.others.items():
        if not is_valid(frame.get(key)):
            raise RemoteProtocolError(f"{kind}: {key}")
    if len(frame) > len(form.numbers) + len(form.others) + 1:  # more than the kind and what it must have
        for key, is_valid in _OPTIONAL.items():
            if key in frame and not is_valid(frame[key]):
                raise RemoteProtocolError(f"{kind}: {key}")
    return form.build(frame)


# To the wire: the order of the keys is part of the form.


def encode(message: Message) -> Frame:
    """The map that the transport carries."""
    match message:
        case Heartbeat() | AppendAcknowledged() | AppendEntry() | LeadershipEnded():
            return _replication_frame(message)
        case PreVoteRequest() | PreVoteGranted() | VoteRequest() | VoteGranted() | TermRejected():
            return _election_frame(message)
        case JoinRequest() | LeaderQuery() | LeaderHint():
            return _discovery_frame(message)
        case _:
            assert_never(message)


def _replication_frame(message: ReplicationMessage) -> Frame:
    match message:
        case Heartbeat():
            return _round_frame(HEARTBEAT, message)
        case AppendAcknowledged():
            return _append_acknowledged_frame(message)
        case AppendEntry():
            return _append_entry_frame(message)
        case LeadershipEnded():
            return _leadership_ended_frame(message)
        case _:
            assert_never(message)


def _election_frame(message: ElectionMessage) -> Frame:
    match message:
        case PreVoteRequest():
            return {**_bound_frame(PRE_VOTE_REQUEST, message), POSITION: list(message.position)}
        case PreVoteGranted():
            return _bound_frame(PRE_VOTE_GRANTED, message)
        case VoteRequest():
            return _vote_request_frame(message)
        case VoteGranted():
            return _bound_frame(VOTE_GRANTED, message)
        case TermRejected():
            return {KIND: TERM_REJECTED, TERM: message.term}
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


_Bound: TypeAlias = (
    PreVoteRequest
    | PreVoteGranted
    | VoteRequest
    | VoteGranted
    | Heartbeat
    | AppendEntry
    | AppendAcknowledged
    | LeadershipEnded
)


def _bound_frame(kind: str, message: _Bound) -> Frame:
    """Of a kind that is bound to its sender, to one incarnation of its receiver, and to a term."""
    return {
        KIND: kind,
        SENDER_NAME: message.sender.name,
        SENDER_INCARNATION: message.sender.incarnation,
        RECEIVER_INCARNATION: message.receiver_incarnation,
        TERM: message.term,
    }


def _round_frame(kind: str, message: Heartbeat | AppendEntry) -> Frame:
    """Of a message with which a leader counts a round."""
    sender = message.sender
    return {
        KIND: kind,
        SENDER_NAME: sender.name,
        SENDER_INCARNATION: sender.incarnation,
        RECEIVER_INCARNATION: message.receiver_incarnation,
        TERM: message.term,
        ROUND: message.round,
        COMMIT_INDEX: message.commit_index,
    }


def _append_entry_frame(message: AppendEntry) -> Frame:
    frame = _round_frame(APPEND_ENTRY, message)
    frame[ENTRY] = message.entry
    if message.versions is not None:
        frame[VERSIONS] = message.versions
    return frame


def _append_acknowledged_frame(message: AppendAcknowledged) -> Frame:
    frame = _bound_frame(APPEND_ACKNOWLEDGED, message)
    frame[ROUND] = message.round
    frame[POSITION] = list(message.position)
    frame[BODY_DIGEST] = message.body_digest
    if message.is_shutting_down:
        frame[IS_SHUTTING_DOWN] = 1
    return frame


def _vote_request_frame(message: VoteRequest) -> Frame:
    frame = _bound_frame(VOTE_REQUEST, message)
    frame[POSITION] = list(message.position)
    if message.is_named_successor:
        frame[SUCCESSOR] = 1
    return frame


def _leadership_ended_frame(message: LeadershipEnded) -> Frame:
    frame = _bound_frame(LEADERSHIP_ENDED, message)
    if message.hands_over_to_receiver is not None:
        frame[SUCCESSOR] = int(message.hands_over_to_receiver)
    return frame


def _join_request_frame(message: JoinRequest) -> Frame:
    frame: Frame = {
        KIND: JOIN_REQUEST,
        SENDER_NAME: message.sender.name,
        SENDER_INCARNATION: message.sender.incarnation,
        PASSWORD: message.password,
    }
    if message.counts_towards_size:
        frame[COUNTS_TOWARDS_SIZE] = 1
    return frame


def _leader_query_frame(message: LeaderQuery) -> Frame:
    frame: Frame = {KIND: LEADER_QUERY}
    if message.sender is not None:
        frame[SENDER_NAME] = message.sender.name
        frame[SENDER_INCARNATION] = message.sender.incarnation
    return frame


def _leader_hint_frame(message: LeaderHint) -> Frame:
    frame: Frame = {
        KIND: LEADER_HINT,
        TERM: message.term,
        LEADER_IP: message.leader_ip,
        MEMBER_IPS: message.member_ips,
        PASSWORD: message.password,
        IS_EXCLUDED: int(message.receiver_is_excluded),
    }
    if message.receiver_is_excluded:
        frame[RECEIVER_INCARNATION] = message.receiver_incarnation
    return frame
