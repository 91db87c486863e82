"""Builds, validates and encodes the frames by which nodes keep each other up to date. No I/O, no clock.

| kind on the wire | class | from, to |
| --- | --- | --- |
| `hail` | `Heartbeat` | every node to the leader: liveness, and the versions that it holds |
| `word` | `StateResponse` | response with the lease's age and the missing data; or the leader's push of a change |
| `sight` | `HealthReports` | every node to the leader: what its requests show about the servers |
| `dim` | `HealthVerdicts` | the leader to every node: what the reports of all nodes show |

The constants below are the keys on the wire. Kinds, keys and the order of keys never change, since nodes of an older
and a newer version run side by side. A key whose value is `None` in the class is left out of the frame.

Frames come from other machines. A decoder raises `ValueError`, `LookupError` or `TypeError` for a missing or invalid
field; the transport then drops the frame and counts it. Unknown keys are ignored.

The state, the endpoint list and the roster in a `StateResponse` stay encoded until they are known to be newer than the
local replicas, since a delta can only be decoded against a replica: by `deltas.StateHistory`,
`endpoint_codec.decode_since` and `decode_roster_update`.
"""

from collections.abc import Container, Mapping, Sequence
from typing import Any, NamedTuple

from .deltas import Delta, Packed
from .roster import RosterEntry, RosterUpdate
from .server_health import MAX_REPORTS, OBSERVATIONS, VERDICTS, ServerReport
from .versions import ReplicaVersions

Message = Mapping[str, Any]  # a frame as cbor2 decodes it

KIND = "k"

HEARTBEAT = "hail"
NODE_NAME = "n"
NODE_ZONE = "z"
NODE_FRONT = "f"
NODE_READY = "r"
STATE_INDEX = "i"
ENDPOINTS_VERSION = "s"
ROSTER_VERSION = "o"
INCARNATION = "b"  # of the requesting process; returned in the response

STATE_RESPONSE = "word"
LEADER = "l"
LEADER_TERM = "e"
SENT_AT = "t"  # in a heartbeat: the time of sending, by the sender's clock
AGE = "a"
STATE = "S"
ENDPOINTS = "V"
ROSTER = "O"

HEALTH_REPORTS = "sight"
HEALTH_VERDICTS = "dim"
TERM = "e"
REPORTS = "r"

INTEGER_LIMIT = 1 << 62
MAX_TEXT_CHARACTERS = 256  # of a name, an address or a zone
MAX_ROSTER_ENTRIES = 10_000
MAX_SERVER_ID_CHARACTERS = 200

# Constructs the messages that every node exchanges continuously. The constructor of a named tuple costs as much as all
# checks of its fields together.
new_tuple = tuple.__new__


class Heartbeat(NamedTuple):
    """Reports a node's versions, and requests the data that it lacks.

    Attributes:
        versions: the versions that the node holds.
        sent_at_ns: time of sending, by the sender's clock.
        incarnation: random number drawn at the start of the sending process; None: an older version, which sends none.
        name, zone, front, ready: the fields of the node's entry in the roster (`RosterEntry`).
    """

    versions: ReplicaVersions
    sent_at_ns: int
    incarnation: int | None
    name: str = ""
    zone: str = ""
    front: str = ""
    ready: bool = False


class StateResponse(NamedTuple):
    """The data that a node lacks, and how recently a majority of the core confirmed it.

    Attributes:
        leader: address of the leader that the sender follows; empty if it knows none.
        term: term of that leader.
        requested_at_ns: `sent_at_ns` of the heartbeat that is answered; 0: a push, which proves no age.
        age_ns: how long before the heartbeat arrived a majority confirmed the leader; None: not known.
        state: the core's state, encoded; None: the receiver has it.
        endpoints: the endpoint list, encoded; None: the receiver has it.
        roster: the roster, encoded; None: the receiver has it.
        incarnation: of the heartbeat; None for a push.
    """

    leader: str
    term: int
    requested_at_ns: int
    age_ns: int | None = None
    state: Packed | None = None
    endpoints: Packed | None = None
    roster: Packed | None = None
    incarnation: int | None = None


class HealthReports(NamedTuple):
    """What one node's requests show about servers, as (server, observation) pairs."""

    reports: Sequence[ServerReport]


class HealthVerdicts(NamedTuple):
    """What the leader of `term` concludes from the reports, as (server, verdict) pairs."""

    term: int
    verdicts: Sequence[ServerReport]


def _check_integers(*values: object) -> None:
    for value in values:
        if type(value) is not int or not 0 <= value < INTEGER_LIMIT:
            raise ValueError("not an integer in range")


def _check_texts(*values: object) -> None:
    for value in values:
        if type(value) is not str or len(value) > MAX_TEXT_CHARACTERS:
            raise ValueError("not a string, or too long")


def encode_heartbeat(heartbeat: Heartbeat) -> dict[str, Packed]:
    """Encodes a heartbeat."""
    versions = heartbeat.versions
    return {
        KIND: HEARTBEAT,
        NODE_NAME: heartbeat.name,
        NODE_ZONE: heartbeat.zone,
        NODE_FRONT: heartbeat.front,
        NODE_READY: heartbeat.ready,
        STATE_INDEX: versions.state_index,
        ENDPOINTS_VERSION: versions.endpoints_version,
        ROSTER_VERSION: versions.roster_version,
        SENT_AT: heartbeat.sent_at_ns,
        INCARNATION: heartbeat.incarnation,
    }


def decode_heartbeat(message: Message, with_sender: bool) -> Heartbeat:
    """Decodes a heartbeat. Raises ValueError and LookupError: see the module's description.

    Args:
        message: the frame.
        with_sender: whether to decode the sender's roster fields, which only the leader needs.
    """
    state_index = message[STATE_INDEX]
    endpoints_version = message[ENDPOINTS_VERSION]
    roster_version = message[ROSTER_VERSION]
    sent_at_ns = message[SENT_AT]
    incarnation = message.get(INCARNATION, 0)
    if not (  # inline, since every node sends one to the leader about once a second
        type(state_index) is type(endpoints_version) is type(roster_version) is int
        and type(sent_at_ns) is type(incarnation) is int
        and 0 <= state_index < INTEGER_LIMIT
        and 0 <= endpoints_version < INTEGER_LIMIT
        and 0 <= roster_version < INTEGER_LIMIT
        and 0 <= sent_at_ns < INTEGER_LIMIT
        and 0 <= incarnation < INTEGER_LIMIT
    ):
        raise ValueError("not an integer in range")
    versions = new_tuple(ReplicaVersions, (state_index, endpoints_version, roster_version))
    if INCARNATION not in message:
        incarnation = None  # older versions send none
    if not with_sender:
        return new_tuple(Heartbeat, (versions, sent_at_ns, incarnation, "", "", "", False))
    name = message[NODE_NAME]
    zone = message[NODE_ZONE]
    front = message[NODE_FRONT]
    ready = bool(message[NODE_READY])
    if not (
        type(name) is type(zone) is type(front) is str
        and len(name) <= MAX_TEXT_CHARACTERS
        and len(zone) <= MAX_TEXT_CHARACTERS
        and len(front) <= MAX_TEXT_CHARACTERS
    ):
        raise ValueError("not a string, or too long")
    return new_tuple(Heartbeat, (versions, sent_at_ns, incarnation, name, zone, front, ready))


def encode_state_response(response: StateResponse) -> dict[str, Packed]:
    """Encodes a response or a push."""
    message = {
        KIND: STATE_RESPONSE,
        LEADER: response.leader,
        LEADER_TERM: response.term,
        SENT_AT: response.requested_at_ns,
    }
    if response.age_ns is not None:
        message[AGE] = response.age_ns
    if response.state is not None:
        message[STATE] = response.state
    if response.endpoints is not None:
        message[ENDPOINTS] = response.endpoints
    if response.roster is not None:
        message[ROSTER] = response.roster
    if response.incarnation is not None:
        message[INCARNATION] = response.incarnation
    return message


def decode_state_response(message: Message) -> StateResponse:
    """Decodes a response; its parts stay encoded.

    Raises:
        ValueError, LookupError: see the module's description.
    """
    leader = message[LEADER]
    term = message[LEADER_TERM]
    requested_at_ns = message[SENT_AT]
    get = message.get
    age_ns = get(AGE, 0)
    incarnation = get(INCARNATION, 0)
    if type(leader) is not str or len(leader) > MAX_TEXT_CHARACTERS:
        raise ValueError("not a string, or too long")
    if not (
        type(term) is type(requested_at_ns) is type(age_ns) is type(incarnation) is int
        and 0 <= term < INTEGER_LIMIT
        and 0 <= requested_at_ns < INTEGER_LIMIT
        and 0 <= age_ns < INTEGER_LIMIT
        and 0 <= incarnation < INTEGER_LIMIT
    ):
        raise ValueError("not an integer in range")
    if None in message.values():
        raise ValueError("key without a value")
    if AGE not in message:
        age_ns = None
    if INCARNATION not in message:
        incarnation = None
    parts = (get(STATE), get(ENDPOINTS), get(ROSTER))
    return new_tuple(StateResponse, (leader, term, requested_at_ns, age_ns, *parts, incarnation))


def encode_roster_update(update: RosterUpdate) -> list[Packed]:
    """Encodes a roster for a response: its version and entries and, for a delta, what is needed to apply it."""
    encoded: list[Packed] = [update.version, [list(entry) for entry in update.entries]]
    if update.delta is not None:
        encoded += [update.delta.base, update.delta.digest, update.delta.removed]
    return encoded


def decode_roster_update(encoded: Packed, current_version: int) -> RosterUpdate | None:
    """Decodes what `encode_roster_update` made; returns None if it is not newer than `current_version`.

    Raises:
        ValueError, TypeError: see the module's description.
    """
    version, *parts = encoded
    _check_integers(version)
    if version <= current_version:
        return None
    encoded_entries, *encoded_delta = parts
    entries = _decode_roster_entries(encoded_entries)
    if not encoded_delta:
        return RosterUpdate(version, entries)
    return RosterUpdate(version, entries, Delta(entries, *encoded_delta))


def _decode_roster_entries(encoded: Packed) -> tuple[RosterEntry, ...]:
    if type(encoded) is not list or len(encoded) > MAX_ROSTER_ENTRIES:
        raise ValueError("roster is not a list, or too long")
    entries = []
    for name, ip, zone, front, ready in encoded:
        _check_texts(name, ip, zone, front)
        entries.append(RosterEntry(name, ip, zone, front, bool(ready)))
    return tuple(entries)


def encode_health_reports(message: HealthReports) -> dict[str, Packed]:
    """Encodes a node's reports."""
    return {KIND: HEALTH_REPORTS, REPORTS: [list(report) for report in message.reports]}


def decode_health_reports(message: Message) -> HealthReports:
    """Decodes a node's reports. Raises ValueError, LookupError."""
    return HealthReports(_decode_server_reports(message[REPORTS], OBSERVATIONS))


def encode_health_verdicts(message: HealthVerdicts) -> dict[str, Packed]:
    """Encodes the leader's verdicts."""
    return {
        KIND: HEALTH_VERDICTS,
        TERM: message.term,
        REPORTS: [list(verdict) for verdict in message.verdicts],
    }


def decode_health_verdicts(message: Message) -> HealthVerdicts:
    """Decodes the leader's verdicts. Raises ValueError, LookupError."""
    term = message[TERM]
    _check_integers(term)
    return HealthVerdicts(term, _decode_server_reports(message[REPORTS], VERDICTS))


def _decode_server_reports(encoded: Packed, statuses: Container[int]) -> list[ServerReport]:
    if type(encoded) is not list or len(encoded) > MAX_REPORTS:
        raise ValueError("server reports are not a list, or too many")
    if any(type(row) is not list for row in encoded):
        raise ValueError("server report is not a row")
    reports = []
    for server_id, status in encoded:
        if type(server_id) is not str or len(server_id) > MAX_SERVER_ID_CHARACTERS:
            raise ValueError("server report without a valid server id")
        if type(status) is not int or status not in statuses:
            raise ValueError("server report with an unknown status")
        reports.append(ServerReport(server_id, status))
    return reports
