"""Counts how many operators keep a zone evacuated. Orders do not name an operator.

The 200 to an order to evacuate a zone promises that the zone stays evacuated until its caller restores it. So every
acknowledged order counts (`evacuation_claims.py`), whenever it comes and whatever it may be a repeat of:

- Only an order whose answer was certainly lost counts no more; the next one takes its place.
- An order to restore the zone ends one of the claims. Which one does not matter: the zone reopens with the last.
- A repeat whose first answer may have been read leaves a claim that nobody may hold. The answer to the restoration
  names the claims that are left, and an operator who knows better ends a claim by its identity.

Time decides nothing here. Whether an order to restore a zone may be a repeat is for the caller of this module
(`restorations.py`). The mechanism is specific to this project. `order_application.py` calls the functions below.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from . import evacuation_claims
from .errors import RemoteProtocolError
from .evacuation_claims import Claim, Claims, Delivery

MAX_OPERATORS = evacuation_claims.MAX_CLAIMS  # counted per zone; no further order is accepted
MAX_ROWS = 512  # for all zones together; older records have one row per operator


class Evacuation(NamedTuple):
    """What is known about the operators that keep one zone evacuated.

    `operators`: number of operators that may hold the zone. `returned`: some operator has restored the zone, and others
    hold it. `claims`: the evacuation orders that have an identity. `repeated`: only in states of older versions, which
    did not count an order that may be a repeat (see `normalized`).
    """

    operators: int = 1
    repeated: bool = False
    returned: bool = False
    claims: Claims = ()

    def has_claim(self, identity: int) -> bool:
        """Whether the order with this identity is among the claims."""
        return bool(identity) and evacuation_claims.find(self.claims, identity) is not None

    def has_lost_claim(self) -> bool:
        """Whether the answer to an order that keeps the zone evacuated was lost, so that the next one replaces it."""
        return bool(self.operators) and evacuation_claims.lost_claim(self.claims) is not None

    def is_full(self) -> bool:
        """Whether no further order can be counted."""
        return self.operators >= MAX_OPERATORS or len(self.claims) >= evacuation_claims.MAX_CLAIMS

    def normalized(self) -> "Evacuation":
        """Returns the same evacuation, in which an order counts that an older version took for a possible repeat."""
        if self.operators and not self.repeated:
            return self
        uncounted = sum(not claim.counted for claim in self.claims)
        claims = tuple(claim._replace(counted=True) for claim in self.claims)
        return Evacuation(min(self.operators + max(uncounted, 1), MAX_OPERATORS), False, self.returned, claims)

    def is_single_operator(self) -> bool:
        """Whether exactly one operator evacuated the zone and no repeated or restoring order was seen."""
        return (self.operators, self.repeated, self.returned) == (1, False, False)


SINGLE_OPERATOR = Evacuation()
NOT_EVACUATED = Evacuation(operators=0)
EvacuationTable: TypeAlias = Mapping[
    str, Evacuation
]  # by zone; evacuated zones equal to `SINGLE_OPERATOR` may be absent


class ZoneChange(NamedTuple):
    """The evacuated zones and their operators after an order."""

    zones: frozenset[str]
    evacuations: EvacuationTable


def evacuate(zones: frozenset[str], evacuations: EvacuationTable, zone: str, identity: int = 0) -> ZoneChange:
    """Returns the zones after an order to evacuate one; the same two objects if nothing changes.

    `identity`: the identity of the order, or 0 if it has none.
    """
    if zone not in zones:
        first = Evacuation(claims=evacuation_claims.with_new((), identity))
        return ZoneChange(zones | {zone}, _updated(evacuations, zone, first))
    before = evacuations.get(zone, SINGLE_OPERATOR).normalized()
    claim = evacuation_claims.find(before.claims, identity)
    if claim is not None and claim.counted:
        return ZoneChange(zones, evacuations)
    return ZoneChange(zones, _updated(evacuations, zone, _evacuated_again(before, claim, identity)))


def _evacuated_again(before: Evacuation, own: Claim | None, identity: int) -> Evacuation:
    """Returns the evacuation after a further order to evacuate a zone that is already evacuated.

    `own`: the uncounted claim of the same order. Its caller has no answer yet, so another operator restored the zone.
    """
    lost = evacuation_claims.lost_claim(before.claims)
    if own is not None:
        claims = evacuation_claims.replaced(before.claims, own, own._replace(counted=True))
    elif lost is not None:
        claims = evacuation_claims.with_new(evacuation_claims.without(before.claims, lost), identity)
        return before._replace(claims=claims)
    else:
        claims = evacuation_claims.with_new(before.claims, identity)
    return before._replace(operators=before.operators + 1, claims=claims)


def note_delivered(evacuations: EvacuationTable, zone: str, identity: int) -> EvacuationTable:
    """Returns the table after a report that the caller of an evacuation order has read its answer."""
    before = evacuations.get(zone, SINGLE_OPERATOR).normalized()
    claim = evacuation_claims.find(before.claims, identity)
    if claim is None or claim.delivery is Delivery.DELIVERED:  # the second one: reports are resent, too
        return evacuations
    if claim.counted:
        delivered = claim._replace(delivery=Delivery.DELIVERED)
        claims = evacuation_claims.replaced(before.claims, claim, delivered)
    else:  # the restoration that has ended it is final now
        claims = evacuation_claims.without(before.claims, claim)
    return _updated(evacuations, zone, before._replace(claims=claims))


def note_lost(zones: frozenset[str], evacuations: EvacuationTable, zone: str, identity: int) -> ZoneChange:
    """Returns the zones after a report that the caller of an evacuation order certainly has no 200.

    The caller either retries or abandons it. If nobody has restored the zone, it stays evacuated until then.
    """
    before = evacuations.get(zone, SINGLE_OPERATOR).normalized()
    claim = evacuation_claims.find(before.claims, identity)
    if claim is None or claim.delivery is not Delivery.UNKNOWN:
        return ZoneChange(zones, evacuations)
    others = before._replace(claims=evacuation_claims.without(before.claims, claim))
    if not claim.counted:  # the restoration that has ended it came from the operator of another claim
        return _with_one_ended(zones, evacuations, zone, others)
    if before.operators > 1:
        after = others._replace(operators=before.operators - 1)
    elif before.returned:
        return reopen(zones, evacuations, zone)
    else:
        lost = claim._replace(delivery=Delivery.LOST)
        after = before._replace(claims=evacuation_claims.replaced(before.claims, claim, lost))
    return ZoneChange(zones, _updated(evacuations, zone, after))


def _updated(evacuations: EvacuationTable, zone: str, after: Evacuation) -> EvacuationTable:
    """Returns the table with one zone set to `after`; the same object if nothing changes."""
    if evacuations.get(zone, SINGLE_OPERATOR) == after:
        return evacuations
    return {**evacuations, zone: after}


def restore(zones: frozenset[str], evacuations: EvacuationTable, zone: str) -> ZoneChange:
    """Returns the zones after one operator has restored one; the same two objects if nothing changes."""
    if zone not in zones:
        return ZoneChange(zones, evacuations)
    return _with_one_ended(zones, evacuations, zone, evacuations.get(zone, SINGLE_OPERATOR).normalized())


def _with_one_ended(zones: frozenset[str], evacuations: EvacuationTable, zone: str, before: Evacuation) -> ZoneChange:
    """Returns the zones after one of the operators of `before` no longer holds the zone."""
    left = before.operators - 1
    if left <= 0:
        return reopen(zones, evacuations, zone)
    after = Evacuation(left, False, True, evacuation_claims.with_one_ended(before.claims))
    return ZoneChange(zones, _updated(evacuations, zone, after))


def restore_later(zones: frozenset[str], evacuations: EvacuationTable, zone: str, newest_claim: int) -> ZoneChange:
    """Returns the zones after an order to restore one that came before some of its claims.

    `newest_claim`: identity of the newest claim that was there when it came; the order ends no newer one.
    """
    before = evacuations.get(zone, SINGLE_OPERATOR).normalized()
    older = evacuation_claims.up_to(before.claims, newest_claim)
    if zone not in zones or not any(claim.counted for claim in older):
        return ZoneChange(zones, evacuations)
    if before.operators <= 1:
        return reopen(zones, evacuations, zone)
    claims = evacuation_claims.with_one_ended(older) + before.claims[len(older) :]
    return ZoneChange(zones, _updated(evacuations, zone, Evacuation(before.operators - 1, False, True, claims)))


def end_claim(zones: frozenset[str], evacuations: EvacuationTable, zone: str, identity: int) -> ZoneChange:
    """Returns the zones after an order that ends the claim with this identity; unchanged if there is none.

    A restoration that has ended some claim provisionally may have come from the same operator. So it counts no more.
    """
    before = evacuations.get(zone, SINGLE_OPERATOR).normalized()
    claim = evacuation_claims.find(before.claims, identity)
    if zone not in zones or claim is None:
        return ZoneChange(zones, evacuations)
    others = evacuation_claims.without(before.claims, claim)
    uncounted = evacuation_claims.oldest_uncounted(others)
    operators = before.operators
    if claim.counted and uncounted is not None:
        others = evacuation_claims.replaced(others, uncounted, uncounted._replace(counted=True))
    elif claim.counted:
        operators -= 1
    if not operators:
        return reopen(zones, evacuations, zone)
    return ZoneChange(zones, _updated(evacuations, zone, Evacuation(operators, False, True, others)))


def reopen(zones: frozenset[str], evacuations: EvacuationTable, zone: str) -> ZoneChange:
    """Returns the zones with one of them reopened, regardless of how many operators evacuated it."""
    others = {other: evacuation for other, evacuation in evacuations.items() if other != zone}
    return ZoneChange(zones - {zone}, others)


def encode_evacuations(evacuations: EvacuationTable) -> list[list[object]]:
    """Encodes the table for CBOR without the claims, which only members need and `encode_claims` encodes.

    Zones evacuated by a single operator with a claim are left out, because the claims describe them completely.
    """
    rows = [
        (zone, each) for zone, each in sorted(evacuations.items()) if not (each.is_single_operator() and each.claims)
    ]
    return [[zone, each.operators, each.repeated, each.returned] for zone, each in rows]


def claim_table(evacuations: EvacuationTable) -> dict[str, Claims]:
    """Returns the claims by zone; zones without claims are left out."""
    return {zone: evacuation.claims for zone, evacuation in evacuations.items() if evacuation.claims}


def with_claims(zones: frozenset[str], evacuations: EvacuationTable, claims: Mapping[str, Claims]) -> EvacuationTable:
    """Adds claims to a decoded table. Raises RemoteProtocolError for claims on a zone that is not evacuated."""
    if any(zone not in zones for zone in claims):
        raise RemoteProtocolError("claim on a zone that is not evacuated")
    return {
        zone: evacuations.get(zone, SINGLE_OPERATOR)._replace(claims=claims.get(zone, ()))
        for zone in {**evacuations, **claims}
    }


def decode_evacuations(rows: object, zones: frozenset[str]) -> EvacuationTable:
    """Decodes and validates a table. Older records contain a zone's name once for each operator.

    Raises:
        RemoteProtocolError: for a malformed table, or for a zone that is not among `zones`.
    """
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise RemoteProtocolError("malformed table of evacuations")
    if all(isinstance(row, str) for row in rows):
        table = {zone: Evacuation(min(rows.count(zone), MAX_OPERATORS)) for zone in rows}
    else:
        table = dict(map(_decode_row, rows))
    if len(table) > len(zones) or any(zone not in zones for zone in table):
        raise RemoteProtocolError("malformed table of evacuations")
    return {zone: evacuation for zone, evacuation in table.items() if evacuation != SINGLE_OPERATOR}


def _decode_row(row: object) -> tuple[str, Evacuation]:
    """Decodes and validates one zone and its evacuation. Raises RemoteProtocolError."""
    match row:
        case [str() as zone, int() as operators, bool() as repeated, bool() as returned]:
            if 0 <= operators <= MAX_OPERATORS and (operators or returned):
                return zone, Evacuation(operators, repeated, returned)
    raise RemoteProtocolError("malformed evacuation")
