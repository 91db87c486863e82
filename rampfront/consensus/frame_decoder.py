"""Decodes frames into messages and validates every field.

`_SCHEMAS` has an entry for each kind: the required fields, and the function that builds the message. Unknown keys are
ignored, so that newer nodes may add fields. `Member` calls `decode` for each received frame.
"""

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from . import wire_names as wire
from .errors import RemoteProtocolError
from .identifiers import LogPosition, MemberKey
from .messages import (
    AppendAcknowledged,
    AppendEntry,
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
from .state import MAX_NAMES
from .wire_names import Frame

MAX_KEYS = 16
MAX_NUMBER = 1 << 53
MAX_NAME_CHARS = 200
MAX_IP_CHARS = 45
MAX_DIGEST_BYTES = 16
POSITION_LENGTH = 2

FieldCheck: TypeAlias = Callable[[object], bool]


# Validation of single fields.


def _is_number(value: object) -> bool:
    return type(value) is int and 0 <= value < MAX_NUMBER


def _is_name(value: object) -> bool:
    return type(value) is str and 0 < len(value) <= MAX_NAME_CHARS


def _is_ip(value: object) -> bool:
    return type(value) is str and len(value) <= MAX_IP_CHARS


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


# Each function below builds a message from a frame whose fields have been validated.


def _sender(frame: Frame) -> MemberKey:
    return MemberKey(frame[wire.SENDER_NAME], frame[wire.SENDER_INCARNATION])


def _position(frame: Frame) -> LogPosition:
    position = frame[wire.POSITION]
    return LogPosition(position[0], position[1])


def _join_request(frame: Frame) -> JoinRequest:
    is_initial_member = bool(frame.get(wire.IS_INITIAL_MEMBER))
    return JoinRequest(_sender(frame), frame[wire.JOIN_TOKEN], is_initial_member, frame.get(wire.RECEIVER_INCARNATION))


def _leader_query(frame: Frame) -> LeaderQuery:
    is_member = wire.SENDER_NAME in frame and wire.SENDER_INCARNATION in frame
    return LeaderQuery(_sender(frame) if is_member else None, frame.get(wire.RECEIVER_INCARNATION))


def _leader_hint(frame: Frame) -> LeaderHint:
    return LeaderHint(
        frame[wire.TERM],
        frame[wire.LEADER_IP],
        frame[wire.MEMBER_IPS],
        frame[wire.JOIN_TOKEN],
        bool(frame[wire.IS_EXCLUDED]),
        frame.get(wire.RECEIVER_INCARNATION),
    )


def _pre_vote_request(frame: Frame) -> PreVoteRequest:
    position = _position(frame)
    return PreVoteRequest(_sender(frame), frame[wire.RECEIVER_INCARNATION], frame[wire.TERM], position)


def _pre_vote_granted(frame: Frame) -> PreVoteGranted:
    return PreVoteGranted(_sender(frame), frame[wire.RECEIVER_INCARNATION], frame[wire.TERM])


def _vote_request(frame: Frame) -> VoteRequest:
    position = _position(frame)
    is_successor = bool(frame.get(wire.SUCCESSOR))
    return VoteRequest(_sender(frame), frame[wire.RECEIVER_INCARNATION], frame[wire.TERM], position, is_successor)


def _vote_granted(frame: Frame) -> VoteGranted:
    return VoteGranted(_sender(frame), frame[wire.RECEIVER_INCARNATION], frame[wire.TERM])


def _term_rejected(frame: Frame) -> TermRejected:
    return TermRejected(frame[wire.TERM], frame.get(wire.RECEIVER_INCARNATION))


def _heartbeat(frame: Frame) -> Heartbeat:
    return Heartbeat(
        MemberKey(frame[wire.SENDER_NAME], frame[wire.SENDER_INCARNATION]),
        frame[wire.RECEIVER_INCARNATION],
        frame[wire.TERM],
        frame[wire.ROUND],
        frame[wire.COMMIT_INDEX],
    )


def _append_entry(frame: Frame) -> AppendEntry:
    return AppendEntry(
        _sender(frame),
        frame[wire.RECEIVER_INCARNATION],
        frame[wire.TERM],
        frame[wire.ROUND],
        frame[wire.COMMIT_INDEX],
        frame[wire.ENTRY],
        frame.get(wire.VERSIONS),
        frame.get(wire.CLAIMS),
    )


def _append_acknowledged(frame: Frame) -> AppendAcknowledged:
    position = frame[wire.POSITION]
    return AppendAcknowledged(
        MemberKey(frame[wire.SENDER_NAME], frame[wire.SENDER_INCARNATION]),
        frame[wire.RECEIVER_INCARNATION],
        frame[wire.TERM],
        frame[wire.ROUND],
        LogPosition(position[0], position[1]),
        frame[wire.BODY_DIGEST],
        bool(frame.get(wire.IS_SHUTTING_DOWN)),
    )


def _leadership_ended(frame: Frame) -> LeadershipEnded:
    named = frame.get(wire.SUCCESSOR)
    hands_over = None if named is None else bool(named)
    return LeadershipEnded(_sender(frame), frame[wire.RECEIVER_INCARNATION], frame[wire.TERM], hands_over)


class _MessageSchema(NamedTuple):
    """The required fields of a kind, and the function that builds its message.

    Most fields are numbers, which `decode` checks in one loop.
    """

    numbers: tuple[str, ...]
    others: dict[str, FieldCheck]
    build: Callable[[Frame], Message]


_SENDER_NAME: dict[str, FieldCheck] = {wire.SENDER_NAME: _is_name}
_ADDRESSED_NUMBERS = (wire.SENDER_INCARNATION, wire.RECEIVER_INCARNATION, wire.TERM)
_ROUND_NUMBERS = (*_ADDRESSED_NUMBERS, wire.ROUND, wire.COMMIT_INDEX)
_ACKNOWLEDGEMENT_FIELDS: dict[str, FieldCheck] = {
    **_SENDER_NAME,
    wire.POSITION: _is_position,
    wire.BODY_DIGEST: _is_digest,
}
_SCHEMAS: dict[str, _MessageSchema] = {
    wire.JOIN_REQUEST: _MessageSchema((wire.SENDER_INCARNATION, wire.JOIN_TOKEN), _SENDER_NAME, _join_request),
    wire.LEADER_QUERY: _MessageSchema((), {}, _leader_query),
    wire.LEADER_HINT: _MessageSchema(
        (wire.TERM, wire.JOIN_TOKEN, wire.IS_EXCLUDED),
        {wire.LEADER_IP: _is_ip, wire.MEMBER_IPS: _is_ip_list},
        _leader_hint,
    ),
    wire.PRE_VOTE_REQUEST: _MessageSchema(
        _ADDRESSED_NUMBERS, {**_SENDER_NAME, wire.POSITION: _is_position}, _pre_vote_request
    ),
    wire.PRE_VOTE_GRANTED: _MessageSchema(_ADDRESSED_NUMBERS, _SENDER_NAME, _pre_vote_granted),
    wire.VOTE_REQUEST: _MessageSchema(_ADDRESSED_NUMBERS, {**_SENDER_NAME, wire.POSITION: _is_position}, _vote_request),
    wire.VOTE_GRANTED: _MessageSchema(_ADDRESSED_NUMBERS, _SENDER_NAME, _vote_granted),
    wire.TERM_REJECTED: _MessageSchema((wire.TERM,), {}, _term_rejected),
    wire.HEARTBEAT: _MessageSchema(_ROUND_NUMBERS, _SENDER_NAME, _heartbeat),
    wire.APPEND_ENTRY: _MessageSchema(_ROUND_NUMBERS, {**_SENDER_NAME, wire.ENTRY: _is_list}, _append_entry),
    wire.APPEND_ACKNOWLEDGED: _MessageSchema(
        (*_ADDRESSED_NUMBERS, wire.ROUND), _ACKNOWLEDGEMENT_FIELDS, _append_acknowledged
    ),
    wire.LEADERSHIP_ENDED: _MessageSchema(_ADDRESSED_NUMBERS, _SENDER_NAME, _leadership_ended),
}
# Fields that any kind may omit, but that must be valid if present.
_OPTIONAL: dict[str, FieldCheck] = {
    wire.IS_INITIAL_MEMBER: _is_number,
    wire.IS_SHUTTING_DOWN: _is_number,
    wire.SUCCESSOR: _is_number,
    wire.RECEIVER_INCARNATION: _is_number,
    wire.SENDER_INCARNATION: _is_number,
    wire.SENDER_NAME: _is_name,
    wire.VERSIONS: _is_list,
    wire.CLAIMS: _is_list,
}


def decode(frame: object) -> Message:
    """Decodes a frame and validates every field.

    Raises RemoteProtocolError for an invalid frame.
    """
    if not isinstance(frame, dict) or len(frame) > MAX_KEYS:
        raise RemoteProtocolError("frame is not a map, or has too many keys")
    kind = frame.get(wire.KIND)
    schema = _SCHEMAS.get(kind) if type(kind) is str else None
    if schema is None:
        raise RemoteProtocolError("unknown message kind")
    for key in schema.numbers:
        value = frame.get(key)
        if type(value) is not int or not 0 <= value < MAX_NUMBER:
            raise RemoteProtocolError(f"{kind}: invalid field {key}")
    for key, is_valid in schema.others.items():
        if not is_valid(frame.get(key)):
            raise RemoteProtocolError(f"{kind}: invalid field {key}")
    if (
        len(frame) > len(schema.numbers) + len(schema.others) + 1
    ):  # there are more keys than the kind and the required fields
        for key, is_valid in _OPTIONAL.items():
            if key in frame and not is_valid(frame[key]):
                raise RemoteProtocolError(f"{kind}: invalid field {key}")
    return schema.build(frame)
