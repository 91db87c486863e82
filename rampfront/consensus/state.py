"""The one entry of the log: the whole replicated state, and its form between members and on disk.

The agreement is Raft with a log of one entry: each entry is the whole state, so the newest one contains all before it,
and no log has to be compacted. The form is a list of columns, in the order of `State`'s fields, as cbor2 carries it.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from itertools import chain
from typing import TypedDict, Unpack

from .errors import RemoteProtocolError
from .evacuation_claims import decode_claims, encode_claims
from .evacuations import EvacuationTable, claim_table, decode_evacuations, encode_evacuations, with_claims
from .identifiers import LogIndex, LogPosition, MemberAddress, MemberList, Term
from .version_history import VersionHistory, content_digest

MAX_BODY_BYTES = 16 << 20  # of a compressed configuration
MAX_NAMES = 64  # of zones, and of members
MAX_ZONE_CHARS = 200
MAX_ADDRESS_LETTERS = 300  # of a member's name and ip together
MAX_NUMBER = 1 << 53
BODY_COLUMN = 3  # of an encoded state
DIGEST_COLUMN = 4
COLUMNS = (8, 9, 10)  # how many there are: an older state lacks the evacuations, and its target size
DIGEST_BYTES = 8


def digest(body: bytes) -> bytes:
    """8 bytes that identify a compressed configuration, byte by byte."""
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
    """One entry of the log, which is the whole replicated state.

    `previous_members`: the members before a change that is not yet known to be committed. While they are there, a
    majority of both lists must agree (joint consensus, Raft paper, section 6): no change of the members can make two
    majorities that do not meet.
    """

    index: LogIndex
    term: Term
    revision: int = 0  # number of the newest configuration; 0: none yet
    body: bytes = b""  # the configuration as the operator sent it, compressed
    evacuated_zones: frozenset[str] = frozenset()
    members: MemberList = field(default_factory=dict)
    previous_members: MemberList | None = None
    body_digest: bytes = b""
    evacuations: EvacuationTable = field(default_factory=dict)  # what is known of who keeps zones evacuated
    target_size: int = 0  # members that are wanted: those admitted at the first start; 0: an older record
    versions: VersionHistory = VersionHistory()  # of all numbers confirmed; not encoded: only members need them

    @property
    def position(self) -> LogPosition:
        """Where the entry stands in the log."""
        return LogPosition(self.term, self.index)

    def next_entry(self, **changes: Unpack[StateChanges]) -> "State":
        """The entry after this one."""
        if "body" in changes:
            changes["body_digest"] = digest(changes["body"])
        return replace(self, index=self.index + 1, **changes)

    def with_versions(self, versions: VersionHistory) -> "State":
        """The same entry, with a history that has its own configuration's number in any case."""
        if self.revision and versions.digest_of(self.revision) is None:
            versions = versions.with_version(self.revision, content_digest(self.body))
        return replace(self, versions=versions)

    def with_claims(self, rows: object) -> "State":
        """The same entry with its claims on evacuated zones, as `encode_claims` has them.

        Raises RemoteProtocolError for what that does not make.
        """
        if rows is None:
            return self
        table = with_claims(self.evacuated_zones, self.evacuations, decode_claims(rows))
        return replace(self, evacuations=table)

    def encode_claims(self) -> list[object] | None:
        """The claims as cbor2 carries them, beside the encoded state: members alone need them. None without any."""
        table = claim_table(self.evacuations)
        return [*encode_claims(table)] if table else None

    def all_members(self) -> MemberList:
        """All whose votes may count; those of `members` go first."""
        return self.members if self.previous_members is None else {**self.previous_members, **self.members}

    def addresses(self) -> list[str]:
        """The ips of all whose votes may count, once each."""
        listed = chain(self.members.values(), (self.previous_members or {}).values())
        return list(dict.fromkeys(ip for ip, _ in listed))

    def has_member(self, name: str, incarnation: int) -> bool:
        """Whether this incarnation is a member by either list."""
        for members in (self.members, self.previous_members):
            if members:
                address = members.get(name)
                if (address[1] if address is not None else 0) == incarnation:
                    return True
        return False

    def has_quorum(self, keys: Collection[tuple[str, int]]) -> bool:
        """Whether the members of `keys` are a majority of each list."""
        for members in (self.members, self.previous_members):
            if members is not None:
                count = sum((name, incarnation) in keys for name, (_, incarnation) in members.items())
                if 2 * count <= len(members):
                    return False
        return True

    def encode(self, include_body: bool = True) -> list[object]:
        """As cbor2 carries it; without its body where the receiver is known to have the same."""
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
    """The checked state of its encoded form, with an empty history of versions.

    Parameters:
        row: as cbor2 carries it, unchecked.
        bodies: those that the receiver has; one of them is taken where the state comes without its body.

    Returns None if it comes without its body and none of `bodies` is the same.
    Raises RemoteProtocolError for what `State.encode` does not make.
    """
    if not isinstance(row, list):
        raise RemoteProtocolError("state")
    match row:
        case [index, term, revision, body, body_digest, zones, members, previous, *optional] if len(row) in COLUMNS:
            pass
        case _:
            raise RemoteProtocolError("state")
    evacuations = optional[0] if optional else []
    target_size = optional[1] if len(optional) > 1 else 0
    _check_numbers(index, term, revision, target_size)
    _check_zones(zones)
    if type(body_digest) is not bytes:
        raise RemoteProtocolError("digest of the body")
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
        raise RemoteProtocolError("state's numbers")


def _check_zones(zones: object) -> None:
    if type(zones) is not list or len(zones) > MAX_NAMES:
        raise RemoteProtocolError("zones")
    if any(type(zone) is not str or len(zone) > MAX_ZONE_CHARS for zone in zones):
        raise RemoteProtocolError("zones")


def _full_body(body: object, body_digest: bytes, bodies: Iterable[bytes]) -> bytes | None:
    """The body, or the one of `bodies` that it stands for; None if that is not among them."""
    if body is None:
        return next((known for known in bodies if digest(known) == body_digest), None)
    if type(body) is not bytes or len(body) > MAX_BODY_BYTES:
        raise RemoteProtocolError("body")
    if digest(body) != body_digest:
        raise RemoteProtocolError("body is not what its digest says")
    return body


def _encode_members(members: MemberList) -> list[list[object]]:
    return [[name, ip, incarnation] for name, (ip, incarnation) in sorted(members.items())]


def _decode_members(rows: object) -> MemberList:
    if type(rows) is not list or not 0 < len(rows) <= MAX_NAMES:
        raise RemoteProtocolError("members")
    return dict(map(_decode_member, rows))


def _decode_member(row: object) -> tuple[str, MemberAddress]:
    match row:
        case [str() as name, str() as ip, int() as incarnation] if type(row) is list and type(incarnation) is int:
            if len(name) + len(ip) <= MAX_ADDRESS_LETTERS:
                return name, MemberAddress(ip, incarnation)
    raise RemoteProtocolError("member")
