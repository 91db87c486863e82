"""Checks a history of operators' calls against one sequential register: a configuration, chosen by the highest number,
with one body for each number; and a set of evacuated zones.

A history is linearizable if every call can be given one instant between its start and its end so that all calls,
carried out one by one in the order of these instants, give the results that the callers saw (Herlihy and Wing, 1990).
A call without a clear result may take effect at any instant behind its start, or never. For a register that only
rises, the search over orders comes down to comparisons of starts and ends, which are below; a test compares them with
the search.

Pure: no clock, no I/O. Times are ns on the onlooker's clock, which all nodes' calls share.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from .checks import InvariantError

FOREVER = 1 << 62  # ns; the end of a call that nobody saw end


class Kind(Enum):
    """What an operator asked for."""

    CONFIGURE = "configure"  # make this configuration the one in force, unless a higher number is
    READ = "read"
    EVACUATE = "evacuate"  # send nothing to a zone
    RESTORE = "restore"  # take an evacuation back


class Verdict(Enum):
    """How a call ended, as its caller saw it."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"  # by what is in force: never will be carried out, in no repeat of it either
    NOT_TAKEN = "not taken"  # by this call, for sure; a repeat may be
    IN_DOUBT = "in doubt"  # no answer, or one that says nothing: at any time behind its start, or never


@dataclass(frozen=True, slots=True)
class Operation:
    """One call, at one node. A repeat is an operation of its own. `number` and `body` are what a CONFIGURE wrote or a
    READ returned (0: no configuration yet); `zones` what a READ returned, or None where reads do not tell."""

    kind: Kind
    node: str
    began: int
    ended: int = FOREVER
    verdict: Verdict = Verdict.IN_DOUBT
    number: int = 0
    body: bytes = b""
    zone: str = ""
    zones: frozenset[str] | None = None

    @property
    def took_effect(self) -> bool:
        """Whether the caller knows that it was carried out."""
        return self.verdict is Verdict.ACKNOWLEDGED

    @property
    def may_take_effect(self) -> bool:
        """Whether it may have been carried out, or still be."""
        return self.verdict in (Verdict.ACKNOWLEDGED, Verdict.IN_DOUBT)

    def __str__(self) -> str:
        """For a failing schedule."""
        span = f"{self.began / 1e9:.4f}..{'' if self.ended == FOREVER else f'{self.ended / 1e9:.4f}'} s"
        what = self.zone or f"r{self.number} {self.body[:12]!r}"
        return f"{self.kind.value} {what} at {self.node} {span} {self.verdict.value}"


class Fault(Enum):
    """What a history shows that no register would do."""

    STALE_READ = "a read is older than one that ended before it began"
    LOST_ACKNOWLEDGEMENT = "an acknowledged change is missing in a read that began behind it, and in all later ones"
    DOUBLE_CONFIRMATION = "one number is confirmed with two bodies"
    REFUSED_REPEAT = "a change that holds is refused"
    UNFOUNDED_REFUSAL = "a change is refused though no other body was sent under its number"
    UNKNOWN_VALUE = "a read returns what nobody had sent by then, or what was not taken"
    OVERTAKEN_VALUE = "a read returns a number that was sent only after a higher one held"
    LOST_EVACUATION = "a zone that was evacuated and not taken back is in use"
    UNASKED_EVACUATION = "a zone is evacuated that nobody asked for, or that was taken back"


@dataclass(frozen=True, slots=True)
class Violation:
    """A fault, and the operations that show it."""

    fault: Fault
    operations: tuple[Operation, ...]

    def __str__(self) -> str:
        """In one line for each operation."""
        return f"{self.fault.value}: " + "; ".join(map(str, self.operations))


class NotLinearizableError(InvariantError):
    """A history that no register gives."""

    def __init__(self, violation: Violation) -> None:
        """Keeps the violation beside its text."""
        super().__init__(f"LINEARIZABILITY: {violation}")
        self.violation = violation


class Recorder:
    """Collects operations while a simulation runs; `operations` may be asked for at any time."""

    def __init__(self) -> None:
        """Starts with an empty history."""
        self._calls: list[Operation] = []

    def begin(self, operation: Operation) -> int:
        """A call leaves its caller, in doubt for now; returns what `end` takes."""
        self._calls.append(operation)
        return len(self._calls) - 1

    def end(self, call: int, now: int, verdict: Verdict) -> None:
        """An answer reaches the caller. Only the first one of a call counts."""
        was = self._calls[call]
        if was.ended == FOREVER and verdict is not Verdict.IN_DOUBT:
            self._calls[call] = replace(was, ended=now, verdict=verdict)

    def end_read(self, call: int, now: int, number: int, body: bytes, zones: frozenset[str] | None = None) -> None:
        """What a read returned reaches the caller."""
        self._calls[call] = replace(self._calls[call], number=number, body=body, zones=zones)
        self.end(call, now, Verdict.ACKNOWLEDGED)

    def operations(self) -> Sequence[Operation]:
        """The history so far, in the order in which the calls began."""
        return tuple(self._calls)


def check(history: Iterable[Operation]) -> None:
    """Raises `NotLinearizableError` with the first violation that is found."""
    found = violations(history)
    if found:
        raise NotLinearizableError(found[0])


def violations(history: Iterable[Operation]) -> list[Violation]:
    """All that a history shows and no register would do; empty if it is linearizable."""
    operations = list(history)
    writes = [each for each in operations if each.kind is Kind.CONFIGURE]
    reads = [each for each in operations if each.kind is Kind.READ and each.took_effect]
    seen = _Sightings(writes, reads)
    return [
        *_bodies(writes, reads),
        *_refusals(writes, reads),
        *_order(reads, seen),
        *_sources(writes, reads, seen),
        *_evacuations(operations),
    ]


class _Sightings:
    """Who saw a number at least as high as some number, and when he knew it."""

    def __init__(self, writes: list[Operation], reads: list[Operation]) -> None:
        # A refusal tells that its number holds another body; so that number, or a higher one, is in force.
        shown = [each for each in writes if each.verdict in (Verdict.ACKNOWLEDGED, Verdict.REFUSED)] + reads
        by_end = sorted(shown, key=lambda each: each.ended)
        self._ends = [each.ended for each in by_end]
        self._highest: list[Operation] = []
        for each in by_end:
            highest = self._highest[-1] if self._highest else each
            self._highest.append(each if each.number > highest.number else highest)
        by_number = sorted(shown, key=lambda each: each.number)
        self._numbers = [each.number for each in by_number]
        self._earliest: list[Operation] = []
        for each in reversed(by_number):
            earliest = self._earliest[-1] if self._earliest else each
            self._earliest.append(each if each.ended < earliest.ended else earliest)
        self._earliest.reverse()

    def highest_before(self, moment: int) -> Operation | None:
        """The one with the highest number of those that ended before a moment."""
        at = bisect_left(self._ends, moment)
        return self._highest[at - 1] if at else None

    def earliest_above(self, number: int) -> Operation | None:
        """The one that ended first of those that saw a higher number."""
        at = bisect_right(self._numbers, number)
        return self._earliest[at] if at < len(self._numbers) else None


def _bodies(writes: list[Operation], reads: list[Operation]) -> list[Violation]:
    """One number has one body for ever, among all that was read or acknowledged."""
    first: dict[int, Operation] = {}
    found = []
    for each in [*(write for write in writes if write.took_effect), *reads]:
        held = first.setdefault(each.number, each)
        if held.body != each.body:
            found.append(Violation(Fault.DOUBLE_CONFIRMATION, (held, each)))
    return found


def _refusals(writes: list[Operation], reads: list[Operation]) -> list[Violation]:
    """A refusal is final, and rests on another body under the same number that was sent before it ended."""
    confirmed = {(each.number, each.body): each for each in [*reads, *(each for each in writes if each.took_effect)]}
    sent: dict[int, list[Operation]] = {}
    for write in writes:
        if write.may_take_effect:
            sent.setdefault(write.number, []).append(write)
    found = []
    for write in writes:
        if write.verdict is not Verdict.REFUSED:
            continue
        held = confirmed.get((write.number, write.body))
        rivals = sent.get(write.number, ())
        if held is not None:
            found.append(Violation(Fault.REFUSED_REPEAT, (held, write)))
        elif not any(rival.body != write.body and rival.began <= write.ended for rival in rivals):
            found.append(Violation(Fault.UNFOUNDED_REFUSAL, (write,)))
    return found


def _order(reads: list[Operation], seen: _Sightings) -> list[Violation]:
    """A read returns nothing older than what was known before it began."""
    found = []
    by_start = sorted(reads, key=lambda each: each.began)
    for read in by_start:
        known = seen.highest_before(read.began)
        if known is None or known.number <= read.number:
            continue
        later = any(each.number >= known.number for each in by_start if each.began >= read.began)
        is_lost = known.kind is Kind.CONFIGURE and not later
        found.append(Violation(Fault.LOST_ACKNOWLEDGEMENT if is_lost else Fault.STALE_READ, (known, read)))
    return found


def _sources(writes: list[Operation], reads: list[Operation], seen: _Sightings) -> list[Violation]:
    """What is read was sent before the read ended, and before a higher number held."""
    first: dict[tuple[int, bytes], Operation] = {}
    for write in sorted(writes, key=lambda each: each.began):
        if write.may_take_effect:
            first.setdefault((write.number, write.body), write)
    found = []
    for read in reads:
        if not read.number:
            continue
        source = first.get((read.number, read.body))
        if source is None or source.began > read.ended:
            found.append(Violation(Fault.UNKNOWN_VALUE, (read,)))
            continue
        above = seen.earliest_above(read.number)
        if above is not None and above.ended < source.began:
            found.append(Violation(Fault.OVERTAKEN_VALUE, (above, source, read)))
    return found


def _evacuations(operations: list[Operation]) -> list[Violation]:
    """A zone stays evacuated from an acknowledgement until somebody takes it back; it is not evacuated unasked, nor
    once the only order to do so was taken back. Where there were several orders, a repeat is not told apart from
    another operator (orders bear no identity): who takes it back then is answered, and the zone may stay evacuated."""
    reads = [each for each in operations if each.kind is Kind.READ and each.took_effect and each.zones is not None]
    found = []
    zones = {each.zone for each in operations if each.zone}
    zones.update(*(read.zones or () for read in reads))
    for zone in sorted(zones):
        asked = [each for each in operations if each.kind is Kind.EVACUATE and each.zone == zone]
        taken_back = [each for each in operations if each.kind is Kind.RESTORE and each.zone == zone]
        for read in reads:
            fault = _evacuation(zone, read, asked, taken_back)
            if fault is not None:
                found.append(fault)
    return found


def _evacuation(zone: str, read: Operation, asked: list[Operation], taken_back: list[Operation]) -> Violation | None:
    """What one read shows of one zone."""
    before = [each for each in asked if each.may_take_effect and each.began <= read.ended]
    if zone in (read.zones or ()):
        back = [each for each in taken_back if each.took_effect and each.ended < read.began]
        is_over = not before or len(before) == 1 and any(before[0].ended < each.began for each in back)
        return Violation(Fault.UNASKED_EVACUATION, (*back[-1:], read)) if is_over else None
    for evacuation in before:
        holds = evacuation.took_effect and evacuation.ended < read.began
        if holds and not any(
            each.may_take_effect and each.began <= read.ended and each.ended > evacuation.began for each in taken_back
        ):
            return Violation(Fault.LOST_EVACUATION, (evacuation, read))
    return None
