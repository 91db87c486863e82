"""Claims: the orders to evacuate one zone, and what is known of whether their callers read the answers.

An order on a zone names no operator, so a repeat and the order of a second operator look alike. What tells them apart
is the fate of the answer before: a caller whose answer was lost sends again, one who read it does not. The node that
took an order reports that fate to the leader (`node/answer_reports.py`), and it is kept here, as part of the replicated
state. `evacuations.py` draws the conclusions. No I/O, no clock.
"""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple, TypeAlias

from .errors import RemoteProtocolError

MAX_CLAIMS = 8  # of one zone; the oldest are forgotten first
MAX_ZONES = 64
IDENTITY_LIMIT = 1 << 53
EXPLICIT_IDENTITY = 1 << 52  # set in identities that callers name themselves, on each repeat anew


class Delivery(IntEnum):
    """What became of the answer to an order. The values are stored, and go over the wire."""

    UNKNOWN = 0  # nothing is known of it yet, or never will be
    DELIVERED = 1  # its caller has read all of it
    LOST = 2  # its caller has not read all of it, and repeats the order or gives it up


class Claim(NamedTuple):
    """One order to evacuate a zone.

    `identity`: of the order. `counted`: whether it stands for one of `Evacuation.operators`; an order that a later one
    may be the repeat of does not.
    """

    identity: int
    delivery: Delivery = Delivery.UNKNOWN
    counted: bool = True


Claims: TypeAlias = tuple[Claim, ...]  # of one zone, oldest first
ClaimTable: TypeAlias = Mapping[str, Claims]  # of zones that have any


def is_explicit(identity: int) -> bool:
    """Whether the caller itself named the order, so that its repeats have the same identity."""
    return bool(identity & EXPLICIT_IDENTITY)


def find(claims: Claims, identity: int) -> Claim | None:
    """The claim of that identity."""
    return next((claim for claim in claims if claim.identity == identity), None)


def last_counted(claims: Claims) -> Claim | None:
    """The newest claim that stands for an operator."""
    return next((claim for claim in reversed(claims) if claim.counted), None)


def newest_uncounted(claims: Claims) -> Claim | None:
    """The newest claim that a later order may be the repeat of."""
    return next((claim for claim in reversed(claims) if not claim.counted), None)


def lost_claim(claims: Claims) -> Claim | None:
    """A counted claim of which the caller never read the answer."""
    return next((claim for claim in claims if claim.counted and claim.delivery is Delivery.LOST), None)


def with_new(claims: Claims, identity: int) -> Claims:
    """The claims with that of a new order; 0 for an order without identity, which leaves none."""
    return (*claims, Claim(identity))[-MAX_CLAIMS:] if identity else claims


def without(claims: Claims, claim: Claim | None) -> Claims:
    """The claims but one."""
    return tuple(each for each in claims if each is not claim)


def exchanged(claims: Claims, claim: Claim, successor: Claim) -> Claims:
    """The claims with another one in the place of one."""
    return tuple(successor if each is claim else each for each in claims)


def without_returned(claims: Claims) -> Claims:
    """The claims once an operator has taken one back: one whose answer was lost goes first, then the oldest."""
    oldest = next((claim for claim in claims if claim.counted), None)
    return without(claims, lost_claim(claims) or oldest)


def encode_claims(table: ClaimTable) -> list[list[object]]:
    """The table as cbor2 carries it: a row for each zone, its name and then three columns for each claim."""
    return [[zone, *_columns(claims)] for zone, claims in sorted(table.items()) if claims]


def _columns(claims: Iterable[Claim]) -> list[object]:
    return [column for claim in claims for column in (claim.identity, int(claim.delivery), claim.counted)]


def decode_claims(rows: object) -> dict[str, Claims]:
    """The checked table. Raises RemoteProtocolError for what `encode_claims` does not make."""
    if not isinstance(rows, list) or len(rows) > MAX_ZONES:
        raise RemoteProtocolError("claims")
    return dict(map(_decode_row, rows))


def _decode_row(row: object) -> tuple[str, Claims]:
    match row:
        case [str() as zone, *columns] if 0 < len(columns) <= 3 * MAX_CLAIMS and len(columns) % 3 == 0:
            triples = zip(columns[::3], columns[1::3], columns[2::3], strict=True)
            return zone, tuple(_decode_claim(*triple) for triple in triples)
    raise RemoteProtocolError("claims")


def _decode_claim(identity: object, delivery: object, counted: object) -> Claim:
    if type(identity) is not int or not 0 < identity < IDENTITY_LIMIT or type(counted) is not bool:
        raise RemoteProtocolError("claim")
    if type(delivery) is not int or delivery not in (Delivery.UNKNOWN, Delivery.DELIVERED, Delivery.LOST):
        raise RemoteProtocolError("claim")
    return Claim(identity, Delivery(delivery), counted)
