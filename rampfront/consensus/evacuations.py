"""Who keeps a zone emptied, as far as that can be known: orders to empty a zone and to take it back bear no identity.

An order that comes again within the time for which callers repeat theirs, because an answer got lost, cannot be told
from the order of a second operator. So that no lost answer leaves a zone empty for ever and none takes it back early:

- emptied again later than that: certainly another operator, who is counted, and takes it back himself;
- emptied again sooner: perhaps another one. He is heeded, but for a bounded time: the last certain operator's return
  opens the zone after one such time more (`Evacuation.operators` is 0 meanwhile);
- taken back again sooner: held to be the same order, which changes nothing.

Nothing here reads a clock: the leader says whether an order came `soon` behind the one before.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from .errors import RemoteProtocolError

SEC = 10**9
ACK_WITHIN = 6 * SEC  # for which callers repeat an order, where the settings name nothing else
ON_THE_WAY = SEC  # for which an order may be on its way to the leader
MOST_OPERATORS = 8  # that are counted for one zone
MOST_COUNTED = 512  # of all zones, in a record of before


@dataclass(frozen=True, slots=True)
class Evacuation:
    """`operators`: who have emptied the zone, for certain, and not taken it back; 0: it opens by itself. `repeated`:
    there may be one more. `returned`: somebody has taken it back, and that may come again."""

    operators: int = 1
    repeated: bool = False
    returned: bool = False


PLAIN = Evacuation()
Held = Mapping[str, Evacuation]  # of emptied zones, where it is not the plain `Evacuation()`


class Recollection:
    """When a leader took the last orders on each emptied zone. What it found at its beginning counts as of then."""

    def __init__(self, began: int, repeats_within: int) -> None:
        """Times are ns of the leader's clock; `repeats_within`: for which callers repeat an order."""
        self.began, self.window = began, repeats_within + ON_THE_WAY
        self.emptied_at: dict[str, int] = {}
        self.returned_at: dict[str, int] = {}

    def soon(self, kind: str, zone: str, now: int) -> bool:
        """Whether an order to empty a zone, or to take it back, may be a repeat of one before."""
        times = self.emptied_at if kind == "empty" else self.returned_at
        return now - times.get(zone, self.began) <= self.window

    def note(self, kind: str, zone: str, now: int, zones: frozenset[str], changed: bool) -> None:
        """An order is taken, behind which `zones` are emptied; `changed`: it changes the state."""
        if zone not in zones:
            self.emptied_at.pop(zone, None)
            self.returned_at.pop(zone, None)
        elif kind == "empty":
            self.emptied_at[zone] = now
        elif changed:
            self.returned_at[zone] = now

    def lapsed(self, held: Held, now: int) -> str | None:
        """A zone that nobody certain keeps emptied any more, and that opens now."""
        for zone, evacuation in held.items():
            if not evacuation.operators and now - self.returned_at.get(zone, self.began) > self.window:
                return zone
        return None


def emptied(zones: frozenset[str], held: Held, zone: str, soon: bool) -> tuple[frozenset[str], Held]:
    """Behind an order to empty a zone; the same two if nothing changes. `soon`: the last such one is not long past."""
    if zone not in zones:
        return zones | {zone}, held
    was = held.get(zone, PLAIN)
    if not was.operators:
        now = PLAIN
    elif soon:
        now = replace(was, repeated=True)
    else:
        now = replace(was, operators=min(was.operators + 1, MOST_OPERATORS))
    return (zones, held) if now == was else (zones, {**held, zone: now})


def taken_back(zones: frozenset[str], held: Held, zone: str, soon: bool) -> tuple[frozenset[str], Held]:
    """Behind an order to take a zone back; the same two if nothing changes."""
    if zone not in zones:
        return zones, held
    was = held.get(zone, PLAIN)
    if was.returned and soon:
        return zones, held
    left = max(0, was.operators - 1)
    if left or was.repeated and was.operators:
        return zones, {**held, zone: Evacuation(left, was.repeated, True)}
    return opened(zones, held, zone)


def opened(zones: frozenset[str], held: Held, zone: str) -> tuple[frozenset[str], Held]:
    """Without the zone."""
    return zones - {zone}, {other: evacuation for other, evacuation in held.items() if other != zone}


def plain(held: Held) -> list:
    """As cbor2 carries it."""
    return [[zone, each.operators, each.repeated, each.returned] for zone, each in sorted(held.items())]


def from_plain(rows: object, zones: frozenset[str]) -> Held:
    """The checked table. Raises RemoteProtocolError. A record of before has a zone's name once for each operator."""
    if not isinstance(rows, list) or len(rows) > MOST_COUNTED:
        raise RemoteProtocolError("held")
    if all(isinstance(row, str) for row in rows):
        counted = {zone: Evacuation(min(rows.count(zone), MOST_OPERATORS)) for zone in rows}
    else:
        counted = dict(map(row_from_plain, rows))
    if len(counted) > len(zones) or any(zone not in zones for zone in counted):
        raise RemoteProtocolError("held")
    return {zone: evacuation for zone, evacuation in counted.items() if evacuation != PLAIN}


def row_from_plain(row: object) -> tuple[str, Evacuation]:
    """One zone and its checked evacuation. Raises RemoteProtocolError."""
    match row:
        case [str() as zone, int() as operators, bool() as repeated, bool() as returned]:
            if 0 <= operators <= MOST_OPERATORS and (operators or returned):
                return zone, Evacuation(operators, repeated, returned)
    raise RemoteProtocolError("held")
