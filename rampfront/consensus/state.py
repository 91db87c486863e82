"""The log entry, which is the whole replicated state, and its encoding for the wire and the disk.

The protocol is Raft with a log of one entry: each entry is the whole state, so the newest one supersedes all earlier
ones, and the log needs no compaction. The encoding is a CBOR list of columns, in the order of `State`'s fields.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from itertools import chain
from typing import TypedDict, Unpack

from .errors import RemoteProtocolError
from .evacuations import (
    NOT_EVACUATED,
    REGISTER_SET,
    Evacuation,
    EvacuationTable,
    decode_evacuations,
    encode_evacuations,
    with_names,
)
from .identifiers import LogIndex, LogPosition, MemberAddress, MemberList, Term
from .version_history import VersionHistory, content_digest

MAX_BODY_BYTES = 16 << 20  # size of a compressed configuration
MAX_NAMES = 64  # number of zones, and number of members
MAX_ZONE_CHARS = 200
MAX_ADDRESS_CHARS = 300  # length of a member's name and IP address together
MAX_NUMBER = 1 << 53
BODY_COLUMN = 3  # index of the body in an encoded state
DIGEST_COLUMN = 4
COLUMNS = (8, 9, 10)  # valid numbers of columns; older states lack the evacuations and the target size
DIGEST_BYTES = 8


def digest(body: bytes) -> bytes:
    """Returns an 8-byte digest of the exact bytes of a compressed configuration."""
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


class StateChanges(TypedDict, total=False):
    """The fields of a `State` that the next entry may change."""

    term: Term
    revision: int
    body: bytes
    evacuated_zones: frozenset[str]
    members: MemberList
    previous_members: MemberList | None
    body_digest: bytes
    evacuations: EvacuationTable
    target_size: int
    versions: VersionHistory


@dataclass(frozen=True, slots=True, eq=False)
class State:
    """A log entry, which is the whole replicated state.

    `previous_members`: the member list before a change that is not known to be committed yet. While it is set, a
    majority of each list must agree (joint consensus, Raft paper, section 6), so that a membership change can never
    produce two disjoint majorities.
    """

    index: LogIndex
    term: Term
    revision: int = 0  # number of the newest configuration; 0 before the first one
    body: bytes = b""  # the configuration as sent by the operator, compressed
    evacuated_zones: frozenset[str] = frozenset()
    members: MemberList = field(default_factory=dict)
    previous_members: MemberList | None = None
    body_digest: bytes = b""
    evacuations: EvacuationTable = field(default_factory=dict)  # what keeps zones evacuated
    target_size: int = 0  # number of members admitted at the initial start; 0 in an older record
    versions: VersionHistory = VersionHistory()  # confirmed configuration numbers; encoded separately, for members only

    @property
    def position(self) -> LogPosition:
        """Position of the entry in the log."""
        return LogPosition(self.term, self.index)

    def evacuation_of(self, zone: str) -> Evacuation:
        """Returns the evacuation of a zone; one without holds if the zone is not evacuated."""
        if zone not in self.evacuated_zones:
            return NOT_EVACUATED
        return self.evacuations.get(zone, REGISTER_SET)

    def next_entry(self, **changes: Unpack[StateChanges]) -> "State":
        """Returns the entry that follows this one, with the given changes."""
        if "body" in changes:
            changes["body_digest"] = digest(changes["body"])
        return replace(self, index=self.index + 1, **changes)

    def with_versions(self, versions: VersionHistory) -> "State":
        """Returns the same entry with a version history, to which its own configuration is added if missing."""
        if self.revision and versions.digest_of(self.revision) is None:
            versions = versions.with_version(self.revision, content_digest(self.body))
        return replace(self, versions=versions)

    def with_names(self, rows: object) -> "State":
        """Returns the same entry with named holds on evacuated zones, given in the form of `encode_names`.

        Raises RemoteProtocolError for malformed ones.
        """
        if rows is None:
            return self
        return replace(self, evacuations=with_names(self.evacuated_zones, self.evacuations, rows))

    def all_members(self) -> MemberList:
        """Returns all members with votes, of both lists; an address in `members` takes precedence."""
        return self.members if self.previous_members is None else {**self.previous_members, **self.members}

    def addresses(self) -> list[str]:
        """Returns the IP addresses of all members with votes, without duplicates."""
        listed = chain(self.members.values(), (self.previous_members or {}).values())
        return list(dict.fromkeys(ip for ip, _ in listed))

    def has_member(self, name: str, incarnation: int) -> bool:
        """Whether this incarnation is in either member list."""
        for members in (self.members, self.previous_members):
            if members:
                address = members.get(name)
                if (address[1] if address is not None else 0) == incarnation:
                    return True
        return False

    def has_quorum(self, keys: Collection[tuple[str, int]]) -> bool:
        """Whether `keys` contains a majority of each member list."""
        for members in (self.members, self.previous_members):
            if members is not None:
                count = sum((name, incarnation) in keys for name, (_, incarnation) in members.items())
                if 2 * count <= len(members):
                    return False
        return True

    def encode(self, include_body: bool = True) -> list[object]:
        """Encodes the state for CBOR; the body is omitted if the receiver is known to have it."""
        previous = None if self.previous_members is None else _encode_members(self.previous_members)
        row: list[object] = [
            self.index,
            self.term,
            self.revision,
            self.body if include_body else None,
            self.body_digest,
            sorted(self.evacuated_zones),
            _encode_members(self.members),
            previous,
        ]
        if self.evacuations or self.target_size:
            row.append(encode_evacuations(self.evacuations))
        if self.target_size:
            row.append(self.target_size)
        return row


def decode_state(row: object, bodies: Iterable[bytes] = ()) -> State | None:
    """Decodes and validates a state; its version history is empty.

    Parameters:
        row: the encoded state, not validated.
        bodies: bodies that the receiver has; the matching one is used if the state was sent without its body.

    Returns None if the state was sent without its body and none of `bodies` matches its digest.
    Raises RemoteProtocolError for a malformed state.
    """
    if not isinstance(row, list):
        raise RemoteProtocolError("malformed state")
    match row:
        case [index, term, revision, body, body_digest, zones, members, previous, *optional] if len(row) in COLUMNS:
            pass
        case _:
            raise RemoteProtocolError("malformed state")
    evacuations = optional[0] if optional else []
    target_size = optional[1] if len(optional) > 1 else 0
    _check_numbers(index, term, revision, target_size)
    _check_zones(zones)
    if type(body_digest) is not bytes:
        raise RemoteProtocolError("body digest is not bytes")
    member_list = _decode_members(members)
    previous_list = None if previous is None else _decode_members(previous)
    full_body = _full_body(body, body_digest, bodies)
    if full_body is None:
        return None
    return State(
        index,
        term,
        revision,
        full_body,
        frozenset(zones),
        member_list,
        previous_list,
        body_digest,
        decode_evacuations(evacuations, frozenset(zones)),
        target_size,
    )


def _check_numbers(*numbers: object) -> None:
    if any(type(number) is not int or not 0 <= number < MAX_NUMBER for number in numbers):
        raise RemoteProtocolError("state has a number that is out of range")


def _check_zones(zones: object) -> None:
    if type(zones) is not list or len(zones) > MAX_NAMES:
        raise RemoteProtocolError("malformed list of evacuated zones")
    if any(type(zone) is not str or len(zone) > MAX_ZONE_CHARS for zone in zones):
        raise RemoteProtocolError("malformed list of evacuated zones")


def _full_body(body: object, body_digest: bytes, bodies: Iterable[bytes]) -> bytes | None:
    """Returns the body, or the one of `bodies` with its digest if it was omitted; None if none matches."""
    if body is None:
        return next((known for known in bodies if digest(known) == body_digest), None)
    if type(body) is not bytes or len(body) > MAX_BODY_BYTES:
        raise RemoteProtocolError("body is not bytes, or too large")
    if digest(body) != body_digest:
        raise RemoteProtocolError("body does not match its digest")
    return body


def _encode_members(members: MemberList) -> list[list[object]]:
    return [[name, ip, incarnation] for name, (ip, incarnation) in sorted(members.items())]


def _decode_members(rows: object) -> MemberList:
    if type(rows) is not list or not 0 < len(rows) <= MAX_NAMES:
        raise RemoteProtocolError("malformed member list")
    return dict(map(_decode_member, rows))


def _decode_member(row: object) -> tuple[str, MemberAddress]:
    match row:
        case [str() as name, str() as ip, int() as incarnation] if type(row) is list and type(incarnation) is int:
            if len(name) + len(ip) <= MAX_ADDRESS_CHARS:
                return name, MemberAddress(ip, incarnation)
    raise RemoteProtocolError("malformed member")
