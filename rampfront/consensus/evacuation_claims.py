"""Claims: the orders to evacuate one zone, and whether their callers are known to have received the answers.

A caller that has the 200 to its order relies on the zone staying evacuated until it restores it. Orders do not identify
their operator, so a repeat whose first answer was lost looks like the order of a second operator. Therefore each
acknowledged order is a claim of its own, until it is certain that its caller has no 200. The node that accepted an
order reports the delivery of the answer (`node/answer_reports.py`); the claims are part of the replicated state.
`evacuations.py` evaluates them. No I/O, no clock.
"""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple, TypeAlias

from .errors import RemoteProtocolError

MAX_CLAIMS = 32  # per zone; no further order is accepted
MAX_ZONES = 64
IDENTITY_LIMIT = 1 << 53
EXPLICIT_IDENTITY = 1 << 52  # bit set in identities that callers supply themselves, the same one on each retry


class Delivery(IntEnum):
    """Delivery status of the answer to an order. The values are stored on disk and sent between nodes."""

    UNKNOWN = 0  # not reported, and possibly never will be
    DELIVERED = 1  # the caller has read the complete answer
    LOST = 2  # the caller has not read the complete answer; it retries the order or abandons it


class Claim(NamedTuple):
    """One order to evacuate a zone.

    `identity`: the identity of the order. `counted`: whether the claim is included in `Evacuation.operators`. One that
    is not was ended by a restoration, which counts for another claim if this one turns out to be lost.
    """

    identity: int
    delivery: Delivery = Delivery.UNKNOWN
    counted: bool = True


Claims: TypeAlias = tuple[Claim, ...]  # the claims on one zone, oldest first
ClaimTable: TypeAlias = Mapping[str, Claims]  # by zone; zones without claims are left out


def is_explicit(identity: int) -> bool:
    """Whether the caller supplied the identity itself, so that its retries carry the same one."""
    return bool(identity & EXPLICIT_IDENTITY)


def find(claims: Claims, identity: int) -> Claim | None:
    """Returns the claim with this identity, or None."""
    return next((claim for claim in claims if claim.identity == identity), None)


def oldest_uncounted(claims: Claims) -> Claim | None:
    """Returns the oldest claim that a restoration has ended provisionally, or None."""
    return next((claim for claim in claims if not claim.counted), None)


def lost_claim(claims: Claims) -> Claim | None:
    """Returns the oldest counted claim whose answer was lost, or None."""
    return next((claim for claim in claims if claim.counted and claim.delivery is Delivery.LOST), None)


def with_new(claims: Claims, identity: int) -> Claims:
    """Returns the claims with one for a new order appended; an order without identity (0) adds none."""
    return (*claims, Claim(identity)) if identity else claims


def without(claims: Claims, claim: Claim | None) -> Claims:
    """Returns the claims without `claim`."""
    return tuple(each for each in claims if each is not claim)


def replaced(claims: Claims, claim: Claim, successor: Claim) -> Claims:
    """Returns the claims with `claim` replaced by `successor`."""
    return tuple(successor if each is claim else each for each in claims)


def up_to(claims: Claims, identity: int) -> Claims:
    """Returns the claims up to the one with this identity; none if there is none."""
    return next((claims[: index + 1] for index, claim in enumerate(claims) if claim.identity == identity), ())


def with_one_ended(claims: Claims) -> Claims:
    """Returns the claims after one operator has restored the zone, without saying which claim was its own.

    A claim whose caller has no 200 goes first, then the oldest one whose caller certainly has it. If no answer is known
    to be delivered, the oldest claim is kept as no longer counted: it may turn out to be lost.
    """
    counted = [claim for claim in claims if claim.counted]
    delivered = next((claim for claim in counted if claim.delivery is Delivery.DELIVERED), None)
    certain = lost_claim(claims) or delivered
    if certain is not None:
        return without(claims, certain)
    return replaced(claims, counted[0], counted[0]._replace(counted=False)) if counted else claims


def encode_claims(table: ClaimTable) -> list[list[object]]:
    """Encodes the table for CBOR: a row for each zone, with its name followed by three columns for each claim."""
    return [[zone, *_columns(claims)] for zone, claims in sorted(table.items()) if claims]


def _columns(claims: Iterable[Claim]) -> list[object]:
    return [column for claim in claims for column in (claim.identity, int(claim.delivery), claim.counted)]


def decode_claims(rows: object) -> dict[str, Claims]:
    """Decodes and validates a table made by `encode_claims`. Raises RemoteProtocolError for a malformed one."""
    if not isinstance(rows, list) or len(rows) > MAX_ZONES:
        raise RemoteProtocolError("malformed table of claims")
    return dict(map(_decode_row, rows))


def _decode_row(row: object) -> tuple[str, Claims]:
    match row:
        case [str() as zone, *columns] if 0 < len(columns) <= 3 * MAX_CLAIMS and len(columns) % 3 == 0:
            triples = zip(columns[::3], columns[1::3], columns[2::3], strict=True)
            return zone, tuple(_decode_claim(*triple) for triple in triples)
    raise RemoteProtocolError("malformed table of claims")


def _decode_claim(identity: object, delivery: object, counted: object) -> Claim:
    if type(identity) is not int or not 0 < identity < IDENTITY_LIMIT or type(counted) is not bool:
        raise RemoteProtocolError("malformed claim")
    if type(delivery) is not int or delivery not in (Delivery.UNKNOWN, Delivery.DELIVERED, Delivery.LOST):
        raise RemoteProtocolError("malformed claim")
    return Claim(identity, Delivery(delivery), counted)
