"""Restorations: the latest orders to restore each zone, and whether their callers are known to have the answers.

A caller whose answer was lost repeats its order, and the repeat must not end the hold of another operator. An order to
restore a zone does not identify its operator, so it *may* be a repeat as long as the caller of the restoration before
it may still be without an answer. Such an order is stored as pending, and ends no claim. If it is learned later that
the caller before had its answer, the order was no repeat, and ends a claim after all: one of those that were there when
it came, since its caller cannot have meant others.

The restorations are part of the replicated state, so that a new leader knows them, too, and they outlive the evacuation
of the zone: a repeat may arrive after another operator has evacuated the zone anew. No I/O, no clock.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from .errors import RemoteProtocolError
from .evacuation_claims import IDENTITY_LIMIT, MAX_ZONES, Delivery, is_explicit

MAX_RESTORATIONS = 8  # per zone
_COLUMNS = 3  # of a restoration


class Restoration(NamedTuple):
    """One order to restore a zone.

    `identity`: the identity of the order, 0 if it has none. `newest_claim`: 0, or, if the order has ended no claim
    because it may be a repeat, the identity of the newest claim at that time. It ends no newer one later.
    """

    identity: int
    delivery: Delivery = Delivery.UNKNOWN
    newest_claim: int = 0

    @property
    def is_pending(self) -> bool:
        """Whether the order has ended no claim, and does if it turns out to be no repeat."""
        return bool(self.newest_claim)


Restorations: TypeAlias = tuple[Restoration, ...]  # of one zone, oldest first
RestorationTable: TypeAlias = Mapping[str, Restorations]  # by zone


class DeliveryNoted(NamedTuple):
    """The restorations of a zone after a report that an answer was delivered.

    `successor`: the pending order that the delivered one preceded, or None.
    """

    restorations: Restorations
    successor: Restoration | None


def last_unnamed(restorations: Restorations) -> Restoration | None:
    """Returns the newest restoration that a later order without a name may be a repeat of, or None."""
    return next((each for each in reversed(restorations) if not is_explicit(each.identity)), None)


def find(restorations: Restorations, identity: int) -> Restoration | None:
    """Returns the restoration with this identity, or None."""
    return next((each for each in restorations if identity and each.identity == identity), None)


def with_new(restorations: Restorations, new: Restoration) -> Restorations:
    """Returns the restorations with a new one appended; the oldest one is evicted unless a repeat of it may come."""
    extended = (*restorations, new)
    if len(extended) <= MAX_RESTORATIONS:
        return extended
    kept = last_unnamed(extended)
    evicted = next(each for each in extended if each is not kept)
    return tuple(each for each in extended if each is not evicted)


def without_pending(restorations: Restorations) -> Restorations:
    """Returns the restorations after the claims of that time have ended: those that ended none never will."""
    return tuple(each._replace(newest_claim=0) for each in restorations)


def settled(restorations: Restorations, settled_one: Restoration) -> Restorations:
    """Returns the restorations with one of them no longer pending."""
    return tuple(each._replace(newest_claim=0) if each is settled_one else each for each in restorations)


def note_delivered(restorations: Restorations, identity: int) -> DeliveryNoted:
    """Returns the restorations after a report that the caller of one has read its answer."""
    delivered = find(restorations, identity)
    if delivered is None or delivered.delivery is Delivery.DELIVERED:
        return DeliveryNoted(restorations, None)
    index = restorations.index(delivered)
    noted = delivered._replace(delivery=Delivery.DELIVERED)
    later = restorations[index + 1 :]
    successor = None
    if not is_explicit(identity):
        successor = next((each for each in later if not is_explicit(each.identity)), None)
    if successor is not None and not successor.is_pending:
        successor = None
    return DeliveryNoted((*restorations[:index], noted, *later), successor)


def with_zone(table: RestorationTable, zone: str, restorations: Restorations) -> RestorationTable:
    """Returns the table with the restorations of one zone; the same object if nothing changes."""
    if table.get(zone, ()) == restorations:
        return table
    if zone in table or len(table) < MAX_ZONES:
        return {**table, zone: restorations}
    oldest = next(iter(table))
    return {**{other: rows for other, rows in table.items() if other != oldest}, zone: restorations}


def pending_only(table: RestorationTable) -> RestorationTable:
    """Returns the part of the table that an answer needs: the zones with pending restorations."""
    return {zone: rows for zone, rows in table.items() if any(each.is_pending for each in rows)}


def encode_restorations(table: RestorationTable) -> list[object] | None:
    """Encodes the table for CBOR: a row for each zone, with three columns for each order; None if it is empty."""
    rows: list[object] = [
        [zone, *(column for each in rows for column in (each.identity, int(each.delivery), each.newest_claim))]
        for zone, rows in sorted(table.items())
    ]
    return rows or None


def decode_restorations(rows: object) -> RestorationTable:
    """Decodes and validates a table; None stands for an empty one. Raises RemoteProtocolError for a malformed one."""
    if rows is None:
        return {}
    if not isinstance(rows, list) or len(rows) > MAX_ZONES:
        raise RemoteProtocolError("malformed table of restorations")
    return dict(map(_decode_row, rows))


def _decode_row(row: object) -> tuple[str, Restorations]:
    match row:
        case [str() as zone, *columns] if (
            0 < len(columns) <= _COLUMNS * MAX_RESTORATIONS and not len(columns) % _COLUMNS
        ):
            triples = zip(columns[::_COLUMNS], columns[1::_COLUMNS], columns[2::_COLUMNS], strict=True)
            return zone, tuple(_decode_restoration(*triple) for triple in triples)
    raise RemoteProtocolError("malformed table of restorations")


def _decode_restoration(identity: object, delivery: object, newest_claim: object) -> Restoration:
    if type(identity) is not int or not 0 <= identity < IDENTITY_LIMIT:
        raise RemoteProtocolError("malformed restoration")
    if type(newest_claim) is not int or not 0 <= newest_claim < IDENTITY_LIMIT:
        raise RemoteProtocolError("malformed restoration")
    if type(delivery) is not int or delivery not in (Delivery.UNKNOWN, Delivery.DELIVERED):
        raise RemoteProtocolError("malformed restoration")
    return Restoration(identity, Delivery(delivery), newest_claim)
