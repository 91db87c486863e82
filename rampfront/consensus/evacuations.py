"""Counts how many operators keep a zone evacuated, as far as this can be determined: orders do not name an operator.

Callers retry an order whose answer was lost. A lost answer must neither leave a zone evacuated forever nor restore it
early. Whether an order is a retry is derived from the delivery of the previous answer (`evacuation_claims.py`):

- The answer was lost: the next order replaces the claim, whoever sends it, since nobody relies on the lost one.
- The answer was delivered: the next order comes from another operator, who is counted and must restore the zone too.
- The delivery is unknown and callers may still be retrying: the next order may come from another operator, who is
  taken into account for a bounded time. When the last certain operator restores the zone, it reopens only after the
  retry window has passed once more (`operators` is 0 meanwhile). A later delivery report settles the case.
- A zone is restored again while callers may be retrying the restoration: the order is treated as a retry and changes
  nothing.

The mechanism is specific to this project. Nothing here reads a clock: the leader's `RepeatWindow` (`repeat_window.py`)
decides whether an order may be a retry. `order_application.py` calls the functions below.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from . import evacuation_claims
from .errors import RemoteProtocolError
from .evacuation_claims import Claim, Claims, Delivery

MAX_OPERATORS = 8  # counted per zone
MAX_ROWS = 512  # for all zones together; older records have one row per operator


class Evacuation(NamedTuple):
    """What is known about the operators that keep one zone evacuated.

    `operators`: number of operators that certainly evacuated the zone and have not restored it; with 0, the zone
    reopens after the retry window. `repeated`: a repeated order may have come from one more operator. `returned`: some
    operator has restored the zone, and that order may be retried. `claims`: the evacuation orders that have an
    identity.
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


def evacuate(
    zones: frozenset[str], evacuations: EvacuationTable, zone: str, may_be_repeat: bool, identity: int = 0
) -> ZoneChange:
    """Returns the zones after an order to evacuate one; the same two objects if nothing changes.

    `may_be_repeat`: whether the order may be a retry of one whose answer is not known to be lost. `identity`: the
    identity of the order, or 0 if it has none.
    """
    if zone not in zones:
        first = Evacuation(claims=evacuation_claims.with_new((), identity))
        return ZoneChange(zones | {zone}, _updated(evacuations, zone, first))
    before = evacuations.get(zone, SINGLE_OPERATOR)
    if before.has_claim(identity):
        return ZoneChange(zones, evacuations)
    return ZoneChange(zones, _updated(evacuations, zone, _evacuated_again(before, may_be_repeat, identity)))


def _evacuated_again(before: Evacuation, may_be_repeat: bool, identity: int) -> Evacuation:
    """Returns the evacuation after a further order to evacuate a zone that is already evacuated."""
    claims = evacuation_claims.with_new(before.claims, identity)
    lost = evacuation_claims.lost_claim(before.claims)
    last = evacuation_claims.last_counted(before.claims)
    if not before.operators:
        return Evacuation(claims=evacuation_claims.with_new((), identity))
    if lost is not None:
        return before._replace(claims=evacuation_claims.without(claims, lost))
    if not may_be_repeat:
        return before._replace(operators=min(before.operators + 1, MAX_OPERATORS), claims=claims)
    if last is not None and identity:
        claims = evacuation_claims.replaced(claims, last, last._replace(counted=False))
    return before._replace(repeated=True, claims=claims)


def note_delivered(
    evacuations: EvacuationTable, zone: str, identity: int, was_followed_closely: bool
) -> EvacuationTable:
    """Returns the table after a report that the caller of an evacuation order has read its answer.

    `was_followed_closely`: another order arrived so soon after this answer that it may be a retry nevertheless.
    """
    before = evacuations.get(zone, SINGLE_OPERATOR)
    claim = evacuation_claims.find(before.claims, identity)
    if claim is None or claim.delivery is Delivery.DELIVERED:  # the second one: reports are resent, too
        return evacuations
    if claim.counted or was_followed_closely:
        read = claim._replace(delivery=Delivery.DELIVERED)
        return _updated(
            evacuations, zone, before._replace(claims=evacuation_claims.replaced(before.claims, claim, read))
        )
    # The later order is not a retry, since this caller received its answer and had no reason to retry.
    claims = evacuation_claims.replaced(before.claims, claim, Claim(identity, Delivery.DELIVERED))
    after = before._replace(
        operators=min(before.operators + 1, MAX_OPERATORS),
        repeated=evacuation_claims.newest_uncounted(claims) is not None,
        claims=claims,
    )
    return _updated(evacuations, zone, after)


def note_lost(zones: frozenset[str], evacuations: EvacuationTable, zone: str, identity: int) -> ZoneChange:
    """Returns the zones after a report that the caller of an evacuation order never read its answer.

    The caller does not consider the order acknowledged, and either retries or abandons it; the zone stays evacuated
    until then.
    """
    before = evacuations.get(zone, SINGLE_OPERATOR)
    claim = evacuation_claims.find(before.claims, identity)
    if claim is None:
        return ZoneChange(zones, evacuations)
    others = evacuation_claims.without(before.claims, claim)
    uncounted = evacuation_claims.newest_uncounted(others)
    if not claim.counted:
        if uncounted is None and not before.operators:
            return reopen(zones, evacuations, zone)
        after = before._replace(repeated=uncounted is not None, claims=others)
    elif uncounted is not None:
        others = evacuation_claims.replaced(others, uncounted, uncounted._replace(counted=True))
        after = before._replace(repeated=evacuation_claims.newest_uncounted(others) is not None, claims=others)
    elif before.operators > 1:
        after = before._replace(operators=before.operators - 1, claims=others)
    else:
        lost = claim._replace(delivery=Delivery.LOST)
        after = before._replace(claims=evacuation_claims.replaced(before.claims, claim, lost))
    return ZoneChange(zones, _updated(evacuations, zone, after))


def _updated(evacuations: EvacuationTable, zone: str, after: Evacuation) -> EvacuationTable:
    """Returns the table with one zone set to `after`; the same object if nothing changes."""
    if evacuations.get(zone, SINGLE_OPERATOR) == after:
        return evacuations
    return {**evacuations, zone: after}


def restore(zones: frozenset[str], evacuations: EvacuationTable, zone: str, may_be_repeat: bool) -> ZoneChange:
    """Returns the zones after an order to restore one; the same two objects if nothing changes."""
    if zone not in zones:
        return ZoneChange(zones, evacuations)
    before = evacuations.get(zone, SINGLE_OPERATOR)
    if before.returned and may_be_repeat:
        return ZoneChange(zones, evacuations)
    left = max(0, before.operators - 1)
    if left or (before.repeated and before.operators):
        claims = evacuation_claims.without_restored(before.claims)
        return ZoneChange(zones, {**evacuations, zone: Evacuation(left, before.repeated, True, claims)})
    return reopen(zones, evacuations, zone)


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
