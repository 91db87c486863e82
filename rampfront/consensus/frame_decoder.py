"""From a frame to the message that it is, every field of it checked.

For each kind there is a row of `_FORMS`: the fields that must be there, and the function that builds the message. Keys
that are not known are skipped, so that newer nodes may send more. Called by `Member` for each frame that comes.
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
MAX_NAME_LETTERS = 200
MAX_IP_LETTERS = 45
MAX_DIGEST_BYTES = 16
POSITION_LENGTH = 2

FieldCheck: TypeAlias = Callable[[object], bool]


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
    return MemberKey(frame[wire.SENDER_NAME], frame[wire.SENDER_INCARNATION])


def _position(frame: Frame) -> LogPosition:
    position = frame[wire.POSITION]
    return LogPosition(position[0], position[1])


def _join_request(frame: Frame) -> JoinRequest:
    founding = bool(frame.get(wire.COUNTS_TOWARDS_SIZE))
    return JoinRequest(_sender(frame), frame[wire.PASSWORD], founding, frame.get(wire.RECEIVER_INCARNATION))


def _leader_query(frame: Frame) -> LeaderQuery:
    is_member = wire.SENDER_NAME in frame and wire.SENDER_INCARNATION in frame
    return LeaderQuery(_sender(frame) if is_member else None, frame.get(wire.RECEIVER_INCARNATION))


def _leader_hint(frame: Frame) -> LeaderHint:
    return LeaderHint(
        frame[wire.TERM],
        frame[wire.LEADER_IP],
        frame[wire.MEMBER_IPS],
        frame[wire.PASSWORD],
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


class _Form(NamedTuple):
    """The fields that a kind must have, and what builds its message. Most are numbers, which are checked in one go."""

    numbers: tuple[str, ...]
    others: dict[str, FieldCheck]
    build: Callable[[Frame], Message]


_NAMED: dict[str, FieldCheck] = {wire.SENDER_NAME: _is_name}
_BOUND = (wire.SENDER_INCARNATION, wire.RECEIVER_INCARNATION, wire.TERM)
_ROUND = (*_BOUND, wire.ROUND, wire.COMMIT_INDEX)
_ACKNOWLEDGEMENT: dict[str, FieldCheck] = {**_NAMED, wire.POSITION: _is_position, wire.BODY_DIGEST: _is_digest}
_FORMS: dict[str, _Form] = {
    wire.JOIN_REQUEST: _Form((wire.SENDER_INCARNATION, wire.PASSWORD), _NAMED, _join_request),
    wire.LEADER_QUERY: _Form((), {}, _leader_query),
    wire.LEADER_HINT: _Form(
        (wire.TERM, wire.PASSWORD, wire.IS_EXCLUDED),
        {wire.LEADER_IP: _is_ip, wire.MEMBER_IPS: _is_ip_list},
        _leader_hint,
    ),
    wire.PRE_VOTE_REQUEST: _Form(_BOUND, {**_NAMED, wire.POSITION: _is_position}, _pre_vote_request),
    wire.PRE_VOTE_GRANTED: _Form(_BOUND, _NAMED, _pre_vote_granted),
    wire.VOTE_REQUEST: _Form(_BOUND, {**_NAMED, wire.POSITION: _is_position}, _vote_request),
    wire.VOTE_GRANTED: _Form(_BOUND, _NAMED, _vote_granted),
    wire.TERM_REJECTED: _Form((wire.TERM,), {}, _term_rejected),
    wire.HEARTBEAT: _Form(_ROUND, _NAMED, _heartbeat),
    wire.APPEND_ENTRY: _Form(_ROUND, {**_NAMED, wire.ENTRY: _is_list}, _append_entry),
    wire.APPEND_ACKNOWLEDGED: _Form((*_BOUND, wire.ROUND), _ACKNOWLEDGEMENT, _append_acknowledged),
    wire.LEADERSHIP_ENDED: _Form(_BOUND, _NAMED, _leadership_ended),
}
# May be left out of any kind, but must be right where they are.
_OPTIONAL: dict[str, FieldCheck] = {
    wire.COUNTS_TOWARDS_SIZE: _is_number,
    wire.IS_SHUTTING_DOWN: _is_number,
    wire.SUCCESSOR: _is_number,
    wire.RECEIVER_INCARNATION: _is_number,
    wire.SENDER_INCARNATION: _is_number,
    wire.SENDER_NAME: _is_name,
    wire.VERSIONS: _is_list,
    wire.CLAIMS: _is_list,
}


def decode(frame: object) -> Message:
    """The message of a frame, every field of it checked.

    Raises RemoteProtocolError for a frame that no member would send.
    """
    if not isinstance(frame, dict) or len(frame) > MAX_KEYS:
        raise RemoteProtocolError("no map")
    kind = frame.get(wire.KIND)
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
