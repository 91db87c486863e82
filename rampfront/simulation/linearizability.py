"""Checks a history of operators' calls against one sequential register.

The register holds a configuration, selected by the highest number, with one body for each number, and a set of
evacuated zones.

A history is linearizable if every call can be given one instant between its start and its end so that all calls,
carried out one by one in the order of these instants, give the results that the callers saw (Herlihy and Wing, 1990).
A call without a clear result may take effect at any instant after its start, or never. For a register whose number
never falls, the search over all orders reduces to the comparisons of starts and ends below; a test compares them with
the search.

Pure: no clock, no I/O. Times are ns on the simulated clock, which the calls of all nodes share.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from .checks import InvariantError

FOREVER = 1 << 62  # ns; the end of a call without an answer


class Kind(Enum):
    """The order of an operator."""

    CONFIGURE = "configure"  # commit this configuration unless one with a higher number is committed
    READ = "read"
    EVACUATE = "evacuate"  # send no requests to a zone
    RESTORE = "restore"  # end an evacuation


class Verdict(Enum):
    """How a call ended, as its caller saw it."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"  # because of what is committed: will never be carried out, nor will a repeat of it
    NOT_TAKEN = "not taken"  # certainly not by this call; a repeat may be
    IN_DOUBT = "in doubt"  # no answer, or an inconclusive one: takes effect at any time after its start, or never


@dataclass(frozen=True, slots=True)
class Operation:
    """One call at one node; a repeat is a separate operation.

    `number` and `body`: what a CONFIGURE wrote or a READ returned (0: no configuration yet); `zones`: the evacuated
    zones that a READ returned, or None if it does not return them."""

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
        """One line for the log of a failing run."""
        span = f"{self.began / 1e9:.4f}..{'' if self.ended == FOREVER else f'{self.ended / 1e9:.4f}'} s"
        what = self.zone or f"r{self.number} {self.body[:12]!r}"
        return f"{self.kind.value} {what} at {self.node} {span} {self.verdict.value}"


class Fault(Enum):
    """A way in which a history can differ from that of a register."""

    STALE_READ = "a read is older than one that ended before it began"
    LOST_ACKNOWLEDGEMENT = "an acknowledged change is missing in a read that began after it, and in all later ones"
    DOUBLE_CONFIRMATION = "one number is confirmed with two bodies"
    REFUSED_REPEAT = "a change that was confirmed is refused"
    UNFOUNDED_REFUSAL = "a change is refused though no other body was sent with its number"
    UNKNOWN_VALUE = "a read returns a value that was not sent by then, or was not accepted"
    OVERTAKEN_VALUE = "a read returns a number that was sent only after a higher one was committed"
    LOST_EVACUATION = "a zone that was evacuated and not restored is in use"
    UNASKED_EVACUATION = "a zone is evacuated without an order, or after it was restored"


@dataclass(frozen=True, slots=True)
class Violation:
    """A fault and the operations that show it."""

    fault: Fault
    operations: tuple[Operation, ...]

    def __str__(self) -> str:
        """The fault, then the operations."""
        return f"{self.fault.value}: " + "; ".join(map(str, self.operations))


class NotLinearizableError(InvariantError):
    """A history that no sequential register can produce."""

    def __init__(self, violation: Violation) -> None:
        """Keeps the violation besides its text."""
        super().__init__(f"LINEARIZABILITY: {violation}")
        self.violation = violation


class Recorder:
    """Collects operations while a simulation runs; `operations` may be asked for at any time."""

    def __init__(self) -> None:
        """Starts with an empty history."""
        self._calls: list[Operation] = []

    def begin(self, operation: Operation) -> int:
        """Adds a call that its caller sends, in doubt for now. Returns its handle for `end`."""
        self._calls.append(operation)
        return len(self._calls) - 1

    def end(self, call: int, now: int, verdict: Verdict) -> None:
        """Records an answer that reaches the caller. Only the first answer of a call counts."""
        was = self._calls[call]
        if was.ended == FOREVER and verdict is not Verdict.IN_DOUBT:
            self._calls[call] = replace(was, ended=now, verdict=verdict)

    def end_read(self, call: int, now: int, number: int, body: bytes, zones: frozenset[str] | None = None) -> None:
        """Records what a read returned to its caller."""
        self._calls[call] = replace(self._calls[call], number=number, body=body, zones=zones)
        self.end(call, now, Verdict.ACKNOWLEDGED)

    def operations(self) -> Sequence[Operation]:
        """The history so far, in the order in which the calls began."""
        return tuple(self._calls)


def check(history: Iterable[Operation]) -> None:
    """Raises `NotLinearizableError` with the first violation, if there is one."""
    found = violations(history)
    if found:
        raise NotLinearizableError(found[0])


def violations(history: Iterable[Operation]) -> list[Violation]:
    """All violations of a history; empty if it is linearizable."""
    operations = list(history)
    writes = [each for each in operations if each.kind is Kind.CONFIGURE]
    reads = [each for each in operations if each.kind is Kind.READ and each.took_effect]
    observations = _Observations(writes, reads)
    return [
        *_bodies(writes, reads),
        *_refusals(writes, reads),
        *_order(reads, observations),
        *_sources(writes, reads, observations),
        *_evacuations(operations),
    ]


class _Observations:
    """The operations that show that some number or a higher one was committed, by number and by end."""

    def __init__(self, writes: list[Operation], reads: list[Operation]) -> None:
        # A refusal shows that its number has another body, so that this number or a higher one is committed.
        observed = [each for each in writes if each.verdict in (Verdict.ACKNOWLEDGED, Verdict.REFUSED)] + reads
        by_end = sorted(observed, key=lambda each: each.ended)
        self._ends = [each.ended for each in by_end]
        self._highest: list[Operation] = []
        for each in by_end:
            highest = self._highest[-1] if self._highest else each
            self._highest.append(each if each.number > highest.number else highest)
        by_number = sorted(observed, key=lambda each: each.number)
        self._numbers = [each.number for each in by_number]
        self._earliest: list[Operation] = []
        for each in reversed(by_number):
            earliest = self._earliest[-1] if self._earliest else each
            self._earliest.append(each if each.ended < earliest.ended else earliest)
        self._earliest.reverse()

    def highest_before(self, moment: int) -> Operation | None:
        """The operation with the highest number of those that ended before a time."""
        at = bisect_left(self._ends, moment)
        return self._highest[at - 1] if at else None

    def earliest_above(self, number: int) -> Operation | None:
        """The operation that ended first of those with a higher number."""
        at = bisect_right(self._numbers, number)
        return self._earliest[at] if at < len(self._numbers) else None


def _bodies(writes: list[Operation], reads: list[Operation]) -> list[Violation]:
    """A number has the same body in all that was read or acknowledged."""
    first: dict[int, Operation] = {}
    found = []
    for each in [*(write for write in writes if write.took_effect), *reads]:
        held = first.setdefault(each.number, each)
        if held.body != each.body:
            found.append(Violation(Fault.DOUBLE_CONFIRMATION, (held, each)))
    return found


def _refusals(writes: list[Operation], reads: list[Operation]) -> list[Violation]:
    """A refusal is final, and another body with the same number must have been sent before it ended."""
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
        candidates = sent.get(write.number, ())
        if held is not None:
            found.append(Violation(Fault.REFUSED_REPEAT, (held, write)))
        elif not any(candidate.body != write.body and candidate.began <= write.ended for candidate in candidates):
            found.append(Violation(Fault.UNFOUNDED_REFUSAL, (write,)))
    return found


def _order(reads: list[Operation], observations: _Observations) -> list[Violation]:
    """A read returns nothing older than what was observed before it began."""
    found = []
    by_start = sorted(reads, key=lambda each: each.began)
    for read in by_start:
        known = observations.highest_before(read.began)
        if known is None or known.number <= read.number:
            continue
        later = any(each.number >= known.number for each in by_start if each.began >= read.began)
        is_lost = known.kind is Kind.CONFIGURE and not later
        found.append(Violation(Fault.LOST_ACKNOWLEDGEMENT if is_lost else Fault.STALE_READ, (known, read)))
    return found


def _sources(writes: list[Operation], reads: list[Operation], observations: _Observations) -> list[Violation]:
    """What is read must have been sent before the read ended and before a higher number was observed."""
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
        above = observations.earliest_above(read.number)
        if above is not None and above.ended < source.began:
            found.append(Violation(Fault.OVERTAKEN_VALUE, (above, source, read)))
    return found


def _evacuations(operations: list[Operation]) -> list[Violation]:
    """A zone is a register: evacuated from an acknowledgement until an operator restores it, and in use from the
    acknowledgement of that until an operator evacuates it again."""
    reads = [each for each in operations if each.kind is Kind.READ and each.took_effect and each.zones is not None]
    found = []
    zones = {each.zone for each in operations if each.zone}
    zones.update(*(read.zones or () for read in reads))
    for zone in sorted(zones):
        asked = [each for each in operations if each.kind is Kind.EVACUATE and each.zone == zone]
        restores = [each for each in operations if each.kind is Kind.RESTORE and each.zone == zone]
        for read in reads:
            fault = _evacuation(zone, read, asked, restores)
            if fault is not None:
                found.append(fault)
    return found


def _evacuation(zone: str, read: Operation, asked: list[Operation], restores: list[Operation]) -> Violation | None:
    """The violation that one read shows for one zone, if any."""
    if zone in (read.zones or ()):
        undone = next((each for each in restores if _is_settled(each, read, asked)), None)
        started = any(each.may_take_effect and each.began <= read.ended for each in asked)
        if undone is None and started:
            return None
        return Violation(Fault.UNASKED_EVACUATION, (read,) if undone is None else (undone, read))
    held = next((each for each in asked if _is_settled(each, read, restores)), None)
    return None if held is None else Violation(Fault.LOST_EVACUATION, (held, read))


def _is_settled(order: Operation, read: Operation, opposite: list[Operation]) -> bool:
    """Whether a read must show the effect of an acknowledged order: no order of the other kind can have come after
    it."""
    if not order.took_effect or order.ended >= read.began:
        return False
    return not any(each.may_take_effect and each.began <= read.ended and each.ended > order.began for each in opposite)
