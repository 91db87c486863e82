"""What keeps each zone evacuated: a register in the replicated state, and the holds that operators have named.

An order to evacuate a zone sets its register, and an order to restore it clears the register, whoever gives them
(PROTOCOL.md, "The operator": `empty.finish` "takes this back"). An order that is sent again changes nothing, so a lost
answer costs nothing.

An operator who wants a hold of its own names it by an idempotency key. A restoration clears the register and ends the
hold of its own name. Holds of other names keep the zone evacuated, and its caller is told so.

Older versions counted every order without a key as one operator more. Their claims without a name are read as a set
register: one restoration clears it. The encoding is theirs, so that members of both versions read each other's states.
No I/O, no clock.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from .errors import RemoteProtocolError

MAX_NAMED = 31  # holds per zone; a member of an older version accepts one more in all
MAX_CLAIMS = 32  # per zone, in an older state
MAX_ZONES = 64
MAX_ROWS = 512  # for all zones together; older records have one row per operator
IDENTITY_LIMIT = 1 << 53
EXPLICIT_IDENTITY = 1 << 52  # bit set in identities that callers supply themselves, the same one on each retry
CLAIM_COLUMNS = 3  # identity, and two that older versions used


def is_explicit(identity: int) -> bool:
    """Whether the caller supplied the identity itself, so that it names a hold and its retries carry the same one."""
    return bool(identity & EXPLICIT_IDENTITY)


class Evacuation(NamedTuple):
    """What keeps one zone evacuated.

    `holds`: how many holds there are, the register included. `named`: the identities of the named ones, oldest first;
    only members of the core know them.
    """

    holds: int = 1
    named: tuple[int, ...] = ()

    @property
    def is_set(self) -> bool:
        """Whether the register is set: an order without a name keeps the zone evacuated."""
        return self.holds > len(self.named)

    def evacuated(self, identity: int) -> "Evacuation":
        """Returns the evacuation after an order to evacuate the zone; the same if that changes nothing."""
        if not is_explicit(identity):
            return self if self.is_set else _evacuation(True, self.named)
        return self if identity in self.named else _evacuation(self.is_set, (*self.named, identity))

    def restored(self, identity: int) -> "Evacuation":
        """Returns the evacuation after an order to restore the zone."""
        return _evacuation(False, _without(self.named, identity))

    def released(self, identity: int) -> "Evacuation":
        """Returns the evacuation after an order to end the named hold with this identity alone."""
        return _evacuation(self.is_set, _without(self.named, identity)) if identity in self.named else self

    def has_room(self, identity: int) -> bool:
        """Whether an order to evacuate the zone can have a hold: a 200 without one would promise nothing."""
        return not is_explicit(identity) or identity in self.named or len(self.named) < MAX_NAMED


def _evacuation(is_set: bool, named: tuple[int, ...]) -> Evacuation:
    return Evacuation(is_set + len(named), named)


def _without(named: tuple[int, ...], identity: int) -> tuple[int, ...]:
    return tuple(each for each in named if each != identity)


REGISTER_SET = Evacuation()
NOT_EVACUATED = Evacuation(holds=0)
EvacuationTable: TypeAlias = Mapping[str, Evacuation]  # by zone; evacuated zones equal to `REGISTER_SET` may be absent


def with_zone(evacuations: EvacuationTable, zone: str, evacuation: Evacuation) -> EvacuationTable:
    """Returns the table with one zone set to `evacuation`."""
    others = {other: each for other, each in evacuations.items() if other != zone}
    return others if evacuation in (REGISTER_SET, NOT_EVACUATED) else {**others, zone: evacuation}


def encode_evacuations(evacuations: EvacuationTable) -> list[list[object]]:
    """Encodes the table for CBOR without the names, which only members need and `encode_names` encodes.

    Zones with a single hold are left out. The last two columns of a row were used by older versions.
    """
    return [[zone, each.holds, False, False] for zone, each in sorted(evacuations.items()) if each.holds > 1]


def encode_names(evacuations: EvacuationTable) -> list[object] | None:
    """Encodes the named holds for CBOR: a row for each zone, with three columns for each hold; None if there are none.

    Older versions read them as claims whose answers may have been read, and which are counted.
    """
    rows: list[object] = [
        [zone, *(column for identity in each.named for column in (identity, 0, True))]
        for zone, each in sorted(evacuations.items())
        if each.named
    ]
    return rows or None


def decode_evacuations(rows: object, zones: frozenset[str]) -> EvacuationTable:
    """Decodes and validates a table, without names. Older records contain a zone's name once for each operator.

    Raises:
        RemoteProtocolError: for a malformed table, or for a zone that is not among `zones`.
    """
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise RemoteProtocolError("malformed table of evacuations")
    if all(isinstance(row, str) for row in rows):
        table = {zone: Evacuation(min(rows.count(zone), MAX_CLAIMS)) for zone in rows}
    else:
        table = dict(map(_decode_row, rows))
    if len(table) > len(zones) or any(zone not in zones for zone in table):
        raise RemoteProtocolError("malformed table of evacuations")
    return {zone: evacuation for zone, evacuation in table.items() if evacuation != REGISTER_SET}


def _decode_row(row: object) -> tuple[str, Evacuation]:
    """Decodes and validates one zone and its evacuation. Raises RemoteProtocolError.

    An older version kept a zone evacuated without an operator while it waited for a possible repeat: one restoration
    ends that as well.
    """
    match row:
        case [str() as zone, int() as holds, bool(), bool() as returned]:
            if 0 <= holds <= MAX_CLAIMS and (holds or returned):
                return zone, Evacuation(max(1, holds))
    raise RemoteProtocolError("malformed evacuation")


def with_names(zones: frozenset[str], evacuations: EvacuationTable, rows: object) -> EvacuationTable:
    """Adds the named holds to a decoded table. `rows`: in the form of `encode_names`, or of an older version's claims.

    A claim without a name is part of the register. Raises RemoteProtocolError for malformed rows, or a zone that is not
    evacuated.
    """
    if not isinstance(rows, list) or len(rows) > MAX_ZONES:
        raise RemoteProtocolError("malformed table of claims")
    table = dict(evacuations)
    for row in rows:
        zone, named = _decode_names(row)
        if zone not in zones:
            raise RemoteProtocolError("claim on a zone that is not evacuated")
        holds = table.get(zone, REGISTER_SET).holds
        table[zone] = Evacuation(max(holds, len(named)), named)
    return table


def _decode_names(row: object) -> tuple[str, tuple[int, ...]]:
    match row:
        case [str() as zone, *columns] if (
            0 < len(columns) <= CLAIM_COLUMNS * MAX_CLAIMS and not len(columns) % CLAIM_COLUMNS
        ):
            claims = zip(columns[::CLAIM_COLUMNS], columns[1::CLAIM_COLUMNS], columns[2::CLAIM_COLUMNS], strict=True)
            return zone, tuple(name for claim in claims for name in _decode_claim(*claim))
    raise RemoteProtocolError("malformed table of claims")


def _decode_claim(identity: object, delivery: object, counted: object) -> tuple[int, ...]:
    """Returns the identity of a claim if it is a named hold, else nothing. Raises RemoteProtocolError."""
    if type(identity) is not int or not 0 < identity < IDENTITY_LIMIT or type(counted) is not bool:
        raise RemoteProtocolError("malformed claim")
    if type(delivery) is not int or delivery not in (0, 1, 2):
        raise RemoteProtocolError("malformed claim")
    return (identity,) if counted and is_explicit(identity) else ()
