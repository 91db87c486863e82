"""The one entry of the log: the whole state, which holds all that came before it."""

from dataclasses import dataclass, field, replace
from hashlib import blake2b
from itertools import chain
from typing import NamedTuple

from .errors import RemoteProtocolError
from .evacuations import Held
from .evacuations import from_plain as decode_evacuations
from .evacuations import plain as encode_evacuations
from .versions import VersionHistory

MOST_BODY, MOST_NAMES, MOST_ZONE = 16 << 20, 64, 200  # bytes of a body; zones, and members; letters of a zone: at most


def digest(body):
    return blake2b(body, digest_size=8).digest()


class LogPosition(NamedTuple):
    """Where an entry stands in the log. Entries are ordered by term, then by index (Raft paper, section 5.4.1)."""

    term: int
    index: int


@dataclass(frozen=True, slots=True, eq=False)
class State:
    """The log's one entry: the whole replicated state, which contains all that came before it.

    `members`: name to (ip, incarnation). `previous_members`: the members before a change that is not yet known to be
    committed; while it is there, a majority of both must agree (joint consensus, Raft paper, section 6). A member is a
    name with an incarnation: one that lost its disk is another.
    """

    index: int
    term: int
    revision: int = 0  # number of the newest configuration; 0: none yet
    body: bytes = b""  # as the operator sent it, compressed
    evacuated_zones: frozenset = frozenset()
    members: dict = None
    previous_members: dict = None
    body_digest: bytes = b""
    evacuations: Held = field(default_factory=dict)  # what is known of who keeps zones emptied
    target_size: int = 0  # members that are wanted: those admitted at the first start; 0: an older record
    versions: VersionHistory = VersionHistory()  # of all that were confirmed; not in `encode`: only members need it

    @property
    def position(self):
        """Order of entries: by term, then by index."""
        return LogPosition(self.term, self.index)

    def next_entry(self, **changes):
        """The entry behind this one."""
        if "body" in changes:
            changes["body_digest"] = digest(changes["body"])
        return replace(self, index=self.index + 1, **changes)

    def all_members(self):
        """Name to (ip, incarnation) of all whose vote may count; those of `members` go first."""
        return self.members if self.previous_members is None else {**self.previous_members, **self.members}

    def has_member(self, name: str, incarnation: int) -> bool:
        """Whether this incarnation is a member by either list."""
        lists = (self.members, self.previous_members)
        return any(members and members.get(name, (0, 0))[1] == incarnation for members in lists)

    def has_quorum(self, known):
        """Whether `known`, a container of (name, incarnation), is a majority of each list of members."""
        for members in (self.members, self.previous_members):
            if members is not None:
                count = sum((name, member[1]) in known for name, member in members.items())
                if 2 * count <= len(members):
                    return False
        return True

    def encode(self, include_body=True):
        """As cbor2 carries it; without its body where the receiver is known to hold the same."""
        return [
            self.index,
            self.term,
            self.revision,
            self.body if include_body else None,
            self.body_digest,
            sorted(self.evacuated_zones),
            flat(self.members),
            None if self.previous_members is None else flat(self.previous_members),
            *([encode_evacuations(self.evacuations)] if self.evacuations or self.target_size else []),
            *([self.target_size] if self.target_size else []),
        ]


def flat(members):
    return [[name, ip, incarnation] for name, (ip, incarnation) in sorted(members.items())]


def table(rows):
    if type(rows) is not list or not 0 < len(rows) <= MOST_NAMES:
        raise RemoteProtocolError("members")
    made = {}
    for row in rows:
        if type(row) is not list or len(row) != 3:
            raise RemoteProtocolError("member")
        name, ip, incarnation = row
        if type(name) is not str or type(ip) is not str or type(incarnation) is not int or len(name) + len(ip) > 300:
            raise RemoteProtocolError("member")
        made[name] = (ip, incarnation)
    return made


def decode_state(row, bodies=()):
    """The checked State, or None if it comes without its body and none of the `bodies` is the same."""
    if type(row) is not list or len(row) not in (8, 9, 10):
        raise RemoteProtocolError("state")
    index, term, rev, body, mark, zones, members, base, *more = row
    held, target = more[0] if more else [], more[1] if len(more) > 1 else 0
    if any(type(number) is not int or not 0 <= number < 1 << 53 for number in (index, term, rev, target)):
        raise RemoteProtocolError("state's numbers")
    if (
        type(zones) is not list
        or len(zones) > MOST_NAMES
        or any(type(zone) is not str or len(zone) > MOST_ZONE for zone in zones)
    ):
        raise RemoteProtocolError("zones")
    if type(mark) is not bytes or body is not None and (type(body) is not bytes or len(body) > MOST_BODY):
        raise RemoteProtocolError("body")
    members, base = table(members), None if base is None else table(base)
    if body is None:
        body = next((held for held in bodies if digest(held) == mark), None)
        if body is None:
            return None
    elif digest(body) != mark:
        raise RemoteProtocolError("body is not what its mark says")
    return State(
        index,
        term,
        rev,
        body,
        frozenset(zones),
        members,
        base,
        mark,
        decode_evacuations(held, frozenset(zones)),
        target,
    )


def addresses(state):
    """All ips that may count, once each."""
    return list(dict.fromkeys(ip for ip, _ in chain(state.members.values(), (state.previous_members or {}).values())))
