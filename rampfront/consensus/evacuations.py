"""How many operators keep a zone evacuated, as far as that can be known: orders on a zone name no operator.

Callers repeat an order whose answer got lost. No lost answer may leave a zone evacuated for ever, and none may restore
it early. Which of two orders is a repeat follows from what is known of the answer before (`evacuation_claims.py`):

- it was lost: the next order takes its place, whoever gives it, as nobody holds the lost one as acknowledged;
- it was delivered: another operator, who is counted, and restores the zone himself;
- nothing is known of it, and callers may still repeat it: perhaps another operator. He is counted, but for a bounded
  time: the last certain operator's restoration opens the zone after one such time more (`operators` is 0 meanwhile).
  A report that comes later settles it;
- restored again while callers may repeat the restoration: taken as the same order, which changes nothing.

The mechanism is our own. Nothing here reads a clock: the leader's `RepeatWindow` (`repeat_window.py`) says whether an
order may be a repeat. `order_application.py` calls the changes below.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from . import evacuation_claims
from .errors import RemoteProtocolError
from .evacuation_claims import Claim, Claims, Delivery

MAX_OPERATORS = 8  # that are counted for one zone
MAX_ROWS = 512  # of all zones, in an older record


class Evacuation(NamedTuple):
    """What is known of who keeps one zone evacuated.

    `operators`: who certainly evacuated the zone and did not restore it; 0: it opens by itself. `repeated`: there may
    be one more. `returned`: somebody has restored it, and that order may come again. `claims`: the orders that
    evacuated it, as far as they have an identity.
    """

    operators: int = 1
    repeated: bool = False
    returned: bool = False
    claims: Claims = ()

    def has_claim(self, identity: int) -> bool:
        """Whether the order of that identity is among the claims."""
        return bool(identity) and evacuation_claims.find(self.claims, identity) is not None

    def is_plain(self) -> bool:
        """Whether there is nothing to say of it but that one operator evacuated the zone."""
        return (self.operators, self.repeated, self.returned) == (1, False, False)


SINGLE_OPERATOR = Evacuation()
EvacuationTable: TypeAlias = Mapping[str, Evacuation]  # of evacuated zones, where it is not `SINGLE_OPERATOR`


class ZoneChange(NamedTuple):
    """What is evacuated after an order, and by whom."""

    zones: frozenset[str]
    evacuations: EvacuationTable


def evacuate(
    zones: frozenset[str], evacuations: EvacuationTable, zone: str, may_be_repeat: bool, identity: int = 0
) -> ZoneChange:
    """The zones after an order to evacuate one; the same two objects if nothing changes.

    `may_be_repeat`: of an order whose answer was not lost for certain. `identity`: of the order, or 0 if it has none.
    """
    if zone not in zones:
        first = Evacuation(claims=evacuation_claims.with_new((), identity))
        return ZoneChange(zones | {zone}, _updated(evacuations, zone, first))
    before = evacuations.get(zone, SINGLE_OPERATOR)
    if before.has_claim(identity):
        return ZoneChange(zones, evacuations)
    return ZoneChange(zones, _updated(evacuations, zone, _evacuated_again(before, may_be_repeat, identity)))


def _evacuated_again(before: Evacuation, may_be_repeat: bool, identity: int) -> Evacuation:
    """Of an evacuated zone, after a further order to evacuate it."""
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
        claims = evacuation_claims.exchanged(claims, last, last._replace(counted=False))
    return before._replace(repeated=True, claims=claims)


def note_delivered(
    evacuations: EvacuationTable, zone: str, identity: int, was_followed_at_once: bool
) -> EvacuationTable:
    """The table once the caller of an order to evacuate is known to have read its answer.

    `was_followed_at_once`: another order came so close to the answer that it may be a repeat for all that.
    """
    before = evacuations.get(zone, SINGLE_OPERATOR)
    claim = evacuation_claims.find(before.claims, identity)
    if claim is None:
        return evacuations
    if claim.counted or was_followed_at_once:
        read = claim._replace(delivery=Delivery.DELIVERED)
        return _updated(
            evacuations, zone, before._replace(claims=evacuation_claims.exchanged(before.claims, claim, read))
        )
    # What came behind it is no repeat, as this caller had no reason to repeat.
    claims = evacuation_claims.exchanged(before.claims, claim, Claim(identity, Delivery.DELIVERED))
    after = before._replace(
        operators=min(before.operators + 1, MAX_OPERATORS),
        repeated=evacuation_claims.newest_uncounted(claims) is not None,
        claims=claims,
    )
    return _updated(evacuations, zone, after)


def note_lost(zones: frozenset[str], evacuations: EvacuationTable, zone: str, identity: int) -> ZoneChange:
    """The zones once the caller of an order to evacuate is known never to have read its answer.

    He holds nothing as acknowledged, and repeats the order or gives it up; an evacuated zone stays so until then.
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
        others = evacuation_claims.exchanged(others, uncounted, uncounted._replace(counted=True))
        after = before._replace(repeated=evacuation_claims.newest_uncounted(others) is not None, claims=others)
    elif before.operators > 1:
        after = before._replace(operators=before.operators - 1, claims=others)
    else:
        lost = claim._replace(delivery=Delivery.LOST)
        after = before._replace(claims=evacuation_claims.exchanged(before.claims, claim, lost))
    return ZoneChange(zones, _updated(evacuations, zone, after))


def _updated(evacuations: EvacuationTable, zone: str, after: Evacuation) -> EvacuationTable:
    """The table with what is known of one zone; the same object if nothing changes."""
    if evacuations.get(zone, SINGLE_OPERATOR) == after:
        return evacuations
    return {**evacuations, zone: after}


def restore(zones: frozenset[str], evacuations: EvacuationTable, zone: str, may_be_repeat: bool) -> ZoneChange:
    """The zones after an order to restore one; the same two objects if nothing changes."""
    if zone not in zones:
        return ZoneChange(zones, evacuations)
    before = evacuations.get(zone, SINGLE_OPERATOR)
    if before.returned and may_be_repeat:
        return ZoneChange(zones, evacuations)
    left = max(0, before.operators - 1)
    if left or (before.repeated and before.operators):
        claims = evacuation_claims.without_returned(before.claims)
        return ZoneChange(zones, {**evacuations, zone: Evacuation(left, before.repeated, True, claims)})
    return reopen(zones, evacuations, zone)


def reopen(zones: frozenset[str], evacuations: EvacuationTable, zone: str) -> ZoneChange:
    """Without the zone, whoever evacuated it."""
    others = {other: evacuation for other, evacuation in evacuations.items() if other != zone}
    return ZoneChange(zones - {zone}, others)


def encode_evacuations(evacuations: EvacuationTable) -> list[list[object]]:
    """The table as cbor2 carries it, without the claims: `encode_claims` has those, as only members need them.

    Of one operator's evacuation the claims say all.
    """
    rows = [(zone, each) for zone, each in sorted(evacuations.items()) if not (each.is_plain() and each.claims)]
    return [[zone, each.operators, each.repeated, each.returned] for zone, each in rows]


def claim_table(evacuations: EvacuationTable) -> dict[str, Claims]:
    """The claims of the zones that have any."""
    return {zone: evacuation.claims for zone, evacuation in evacuations.items() if evacuation.claims}


def with_claims(zones: frozenset[str], evacuations: EvacuationTable, claims: Mapping[str, Claims]) -> EvacuationTable:
    """A decoded table with its claims. Raises RemoteProtocolError for claims on a zone that is not evacuated."""
    if any(zone not in zones for zone in claims):
        raise RemoteProtocolError("claims")
    return {
        zone: evacuations.get(zone, SINGLE_OPERATOR)._replace(claims=claims.get(zone, ()))
        for zone in {**evacuations, **claims}
    }


def decode_evacuations(rows: object, zones: frozenset[str]) -> EvacuationTable:
    """The checked table. An older record has a zone's name once for each operator.

    Raises:
        RemoteProtocolError: for what `encode_evacuations` does not make, or a zone that is not among `zones`.
    """
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise RemoteProtocolError("evacuations")
    if all(isinstance(row, str) for row in rows):
        table = {zone: Evacuation(min(rows.count(zone), MAX_OPERATORS)) for zone in rows}
    else:
        table = dict(map(_decode_row, rows))
    if len(table) > len(zones) or any(zone not in zones for zone in table):
        raise RemoteProtocolError("evacuations")
    return {zone: evacuation for zone, evacuation in table.items() if evacuation != SINGLE_OPERATOR}


def _decode_row(row: object) -> tuple[str, Evacuation]:
    """One zone and its checked evacuation. Raises RemoteProtocolError."""
    match row:
        case [str() as zone, int() as operators, bool() as repeated, bool() as returned]:
            if 0 <= operators <= MAX_OPERATORS and (operators or returned):
                return zone, Evacuation(operators, repeated, returned)
    raise RemoteProtocolError("evacuation")
