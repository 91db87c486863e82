"""The frames by which nodes keep each other up to date: built, checked and encoded here alone. No I/O, no clock.

| kind on the wire | class | from, to |
| --- | --- | --- |
| `hail` | `Heartbeat` | every node to the leader: that it lives, and what it holds |
| `word` | `StateResponse` | the answer: the lease's age and what the asker lacks; or the leader's push of a change |
| `sight` | `HealthReports` | every node to the leader: what its requests show of the servers |
| `dim` | `HealthVerdicts` | the leader to every node: what the reports of all together show |

The constants below are the keys on the wire. Kinds, keys and the order of keys never change: nodes of an older and a
newer version run side by side. A key whose value is `None` in the class is left out of the frame.

Frames come from other machines. A decoder raises `ValueError`, `LookupError` or `TypeError` for a field that is missing
or cannot be what it should; the transport then drops the frame and counts it. Keys that are not known are ignored.

The state, the endpoint list and the roster within a `StateResponse` stay packed until they are known to be newer than
what is held, since only then, and with what is held, can a difference be decoded: by `deltas.StateHistory`,
`endpoint_codec.decode_since` and `decode_roster_update`.
"""

from collections.abc import Container, Mapping, Sequence
from typing import Any, NamedTuple

from .deltas import Delta, Packed
from .roster import RosterEntry, RosterUpdate
from .server_health import MAX_REPORTS, OBSERVATIONS, VERDICTS, ServerReport
from .versions import ReplicaVersions

Message = Mapping[str, Any]  # a frame as cbor2 gives it

KIND = "k"

HEARTBEAT = "hail"
NODE_NAME = "n"
NODE_ZONE = "z"
NODE_FRONT = "f"
NODE_READY = "r"
STATE_INDEX = "i"
ENDPOINTS_VERSION = "s"
ROSTER_VERSION = "o"
INCARNATION = "b"  # of the asking process; comes back in the response

STATE_RESPONSE = "word"
LEADER = "l"
LEADER_TERM = "e"
SENT_AT = "t"  # in a heartbeat: when it was sent, by its sender's clock
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

# Makes the messages that every node sends and receives all the time: a named tuple's own constructor costs as much as
# all checks of its fields.
new_tuple = tuple.__new__


class Heartbeat(NamedTuple):
    """A node tells what it holds, and asks for what it lacks.

    Attributes:
        versions: what it holds, by number.
        sent_at_ns: when it was sent, by the sender's clock.
        incarnation: drawn at the start of the sending process; None: an older version, which sends none.
        name, zone, front, ready: the node as it is to stand in the roster (`RosterEntry`).
    """

    versions: ReplicaVersions
    sent_at_ns: int
    incarnation: int | None
    name: str = ""
    zone: str = ""
    front: str = ""
    ready: bool = False


class StateResponse(NamedTuple):
    """What a node lacks, and how recently a majority of the core confirmed it.

    Attributes:
        leader: address of the leader that the sender follows; empty: it knows none.
        term: the term in which that leader leads.
        requested_at_ns: `sent_at_ns` of the heartbeat that is answered; 0: a push, which proves no age.
        age_ns: how long before the heartbeat arrived a majority stood behind the leader; None: not known.
        state: the core's state, packed; None: the receiver has it.
        endpoints: the endpoint list, packed; None: the receiver has it.
        roster: the roster, packed; None: the receiver has it.
        incarnation: that of the heartbeat, None for a push.
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
    """What one node's requests show of servers: (server, observation) each."""

    reports: Sequence[ServerReport]


class HealthVerdicts(NamedTuple):
    """What the leader of `term` concludes from the reports: (server, verdict) each."""

    term: int
    verdicts: Sequence[ServerReport]


def _check_integers(*values: object) -> None:
    for value in values:
        if type(value) is not int or not 0 <= value < INTEGER_LIMIT:
            raise ValueError("not an integer in range")


def _check_texts(*values: object) -> None:
    for value in values:
        if type(value) is not str or len(value) > MAX_TEXT_CHARACTERS:
            raise ValueError("not a short text")


def encode_heartbeat(heartbeat: Heartbeat) -> dict[str, Packed]:
    """The frame of a heartbeat."""
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
    """The heartbeat in a frame. Raises ValueError and LookupError: see the module's text.

    Args:
        message: the frame.
        with_sender: whether a roster is made here; else the sender's description is not read.
    """
    state_index = message[STATE_INDEX]
    endpoints_version = message[ENDPOINTS_VERSION]
    roster_version = message[ROSTER_VERSION]
    sent_at_ns = message[SENT_AT]
    incarnation = message.get(INCARNATION, 0)
    if not (  # in line, as every node sends one to the leader about once a second
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
        incarnation = None  # an older version sends none
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
        raise ValueError("not a short text")
    return new_tuple(Heartbeat, (versions, sent_at_ns, incarnation, name, zone, front, ready))


def encode_state_response(response: StateResponse) -> dict[str, Packed]:
    """The frame of a response or a push."""
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
    """The response in a frame, its parts still packed.

    Raises:
        ValueError, LookupError: see the module's text.
    """
    leader = message[LEADER]
    term = message[LEADER_TERM]
    requested_at_ns = message[SENT_AT]
    get = message.get
    age_ns = get(AGE, 0)
    incarnation = get(INCARNATION, 0)
    if type(leader) is not str or len(leader) > MAX_TEXT_CHARACTERS:
        raise ValueError("not a short text")
    if not (
        type(term) is type(requested_at_ns) is type(age_ns) is type(incarnation) is int
        and 0 <= term < INTEGER_LIMIT
        and 0 <= requested_at_ns < INTEGER_LIMIT
        and 0 <= age_ns < INTEGER_LIMIT
        and 0 <= incarnation < INTEGER_LIMIT
    ):
        raise ValueError("not an integer in range")
    if None in message.values():
        raise ValueError("a key without a value")
    if AGE not in message:
        age_ns = None
    if INCARNATION not in message:
        incarnation = None
    parts = (get(STATE), get(ENDPOINTS), get(ROSTER))
    return new_tuple(StateResponse, (leader, term, requested_at_ns, age_ns, *parts, incarnation))


def encode_roster_update(update: RosterUpdate) -> list[Packed]:
    """A roster within a response: its number and entries, and what a difference needs."""
    encoded: list[Packed] = [update.version, [list(entry) for entry in update.entries]]
    if update.delta is not None:
        encoded += [update.delta.base, update.delta.digest, update.delta.removed]
    return encoded


def decode_roster_update(encoded: Packed, current_version: int) -> RosterUpdate | None:
    """The roster that `encode_roster_update` packed; None: it is not newer than `current_version`.

    Raises:
        ValueError, TypeError: see the module's text.
    """
    version, *parts = encoded
    _check_integers(version)
    if version <= current_version:
        return None
    packed_entries, *packed_delta = parts
    entries = _decode_roster_entries(packed_entries)
    if not packed_delta:
        return RosterUpdate(version, entries)
    return RosterUpdate(version, entries, Delta(entries, *packed_delta))


def _decode_roster_entries(packed: Packed) -> tuple[RosterEntry, ...]:
    if type(packed) is not list or len(packed) > MAX_ROSTER_ENTRIES:
        raise ValueError("the roster is no list")
    entries = []
    for name, ip, zone, front, ready in packed:
        _check_texts(name, ip, zone, front)
        entries.append(RosterEntry(name, ip, zone, front, bool(ready)))
    return tuple(entries)


def encode_health_reports(message: HealthReports) -> dict[str, Packed]:
    """The frame of a node's reports."""
    return {KIND: HEALTH_REPORTS, REPORTS: [list(report) for report in message.reports]}


def decode_health_reports(message: Message) -> HealthReports:
    """The reports in a frame. Raises ValueError, LookupError."""
    return HealthReports(_decode_server_reports(message[REPORTS], OBSERVATIONS))


def encode_health_verdicts(message: HealthVerdicts) -> dict[str, Packed]:
    """The frame of the leader's verdicts."""
    return {
        KIND: HEALTH_VERDICTS,
        TERM: message.term,
        REPORTS: [list(verdict) for verdict in message.verdicts],
    }


def decode_health_verdicts(message: Message) -> HealthVerdicts:
    """The verdicts in a frame. Raises ValueError, LookupError."""
    term = message[TERM]
    _check_integers(term)
    return HealthVerdicts(term, _decode_server_reports(message[REPORTS], VERDICTS))


def _decode_server_reports(packed: Packed, statuses: Container[int]) -> list[ServerReport]:
    if type(packed) is not list or len(packed) > MAX_REPORTS:
        raise ValueError("server reports are no list")
    if any(type(row) is not list for row in packed):
        raise ValueError("a server report is no row")
    reports = []
    for server_id, status in packed:
        if type(server_id) is not str or len(server_id) > MAX_SERVER_ID_CHARACTERS:
            raise ValueError("a server report without a server")
        if type(status) is not int or status not in statuses:
            raise ValueError("a server report of no known status")
        reports.append(ServerReport(server_id, status))
    return reports
