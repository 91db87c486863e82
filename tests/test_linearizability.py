"""The checker of histories finds planted faults, passes valid histories, and agrees with a search over all orders."""

from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rampfront.simulation.linearizability import (
    FOREVER,
    Fault,
    Kind,
    NotLinearizableError,
    Operation,
    Recorder,
    Verdict,
    check,
    violations,
)

ACKNOWLEDGED, REFUSED, NOT_TAKEN, IN_DOUBT = (
    Verdict.ACKNOWLEDGED,
    Verdict.REFUSED,
    Verdict.NOT_TAKEN,
    Verdict.IN_DOUBT,
)


def write(began: int, ended: int | None, number: int, body: bytes = b"", verdict: Verdict = ACKNOWLEDGED) -> Operation:
    end = FOREVER if ended is None else ended
    return Operation(Kind.CONFIGURE, "n1", began, end, verdict, number, body or b"body of %d" % number)


def read(began: int, ended: int, number: int, body: bytes = b"", zones: frozenset[str] | None = None) -> Operation:
    body = body or (b"body of %d" % number if number else b"")
    return Operation(Kind.READ, "n2", began, ended, ACKNOWLEDGED, number, body, zones=zones)


def zone(kind: Kind, began: int, ended: int | None, verdict: Verdict = ACKNOWLEDGED) -> Operation:
    return Operation(kind, "n3", began, FOREVER if ended is None else ended, verdict, zone="a1")


def faults(*history: Operation) -> list[Fault]:
    return [each.fault for each in violations(history)]


PLANTED = {
    "stale read behind another read": (
        Fault.STALE_READ,
        write(0, 5, 3),
        write(6, None, 4, verdict=IN_DOUBT),
        read(7, 8, 4),
        read(9, 10, 3),
    ),
    "stale read behind an acknowledgement": (
        Fault.STALE_READ,
        write(0, 5, 3),
        write(6, 8, 4),
        read(9, 10, 3),
        read(11, 12, 4),
    ),
    "nothing, behind an acknowledgement": (Fault.STALE_READ, write(0, 5, 3), read(6, 7, 0), read(8, 9, 3)),
    "lost acknowledgement": (
        Fault.LOST_ACKNOWLEDGEMENT,
        write(0, 5, 3),
        write(6, 8, 4),
        read(9, 10, 3),
        read(11, 12, 3),
    ),
    "final read older than the newest acknowledged": (Fault.LOST_ACKNOWLEDGEMENT, write(0, 5, 3), read(50, 60, 0)),
    "two acknowledged under one number": (Fault.DOUBLE_CONFIRMATION, write(0, 9, 5, b"one"), write(1, 8, 5, b"two")),
    "an old number acknowledged with another body": (
        Fault.DOUBLE_CONFIRMATION,
        write(0, 1, 5, b"one"),
        write(2, 3, 9),
        write(4, 5, 5, b"two"),
    ),
    "one number read with two bodies": (
        Fault.DOUBLE_CONFIRMATION,
        write(0, None, 5, b"one", IN_DOUBT),
        write(0, None, 5, b"two", IN_DOUBT),
        read(3, 4, 5, b"one"),
        read(5, 6, 5, b"two"),
    ),
    "acknowledged, then refused": (
        Fault.REFUSED_REPEAT,
        write(0, 5, 3),
        write(1, None, 3, b"two", IN_DOUBT),
        write(6, 7, 3, verdict=REFUSED),
    ),
    "refused, and read": (
        Fault.REFUSED_REPEAT,
        write(0, 5, 3, verdict=REFUSED),
        write(0, None, 3, b"two", IN_DOUBT),
        read(9, 10, 3),
    ),
    "refused though nobody holds the number": (
        Fault.UNFOUNDED_REFUSAL,
        write(0, 5, 3),
        write(6, 7, 4, verdict=REFUSED),
    ),
    "refused for what was sent later": (
        Fault.UNFOUNDED_REFUSAL,
        write(0, 5, 4, verdict=REFUSED),
        write(6, 7, 4, b"two"),
    ),
    "read, but never sent": (Fault.UNKNOWN_VALUE, read(0, 1, 3)),
    "read before it was sent": (Fault.UNKNOWN_VALUE, read(0, 1, 3), write(2, 3, 3)),
    "read though not taken": (Fault.UNKNOWN_VALUE, write(0, 1, 3, verdict=NOT_TAKEN), read(2, 3, 3)),
    "in force though sent behind a higher one": (Fault.OVERTAKEN_VALUE, write(0, 1, 9), write(2, 3, 4), read(0, 9, 4)),
    "an evacuation lost": (Fault.LOST_EVACUATION, zone(Kind.EVACUATE, 0, 1), read(2, 3, 0, zones=frozenset())),
    "an evacuation from nowhere": (Fault.UNASKED_EVACUATION, read(2, 3, 0, zones=frozenset({"a1"}))),
    "an evacuation lost by a restoration that came before it": (
        Fault.LOST_EVACUATION,
        zone(Kind.RESTORE, 0, 1),
        zone(Kind.EVACUATE, 2, 3),
        read(4, 5, 0, zones=frozenset()),
    ),
    "an evacuation by two operators that stays behind one restoration": (
        Fault.UNASKED_EVACUATION,
        zone(Kind.EVACUATE, 0, 1),
        zone(Kind.EVACUATE, 2, 3),
        zone(Kind.RESTORE, 4, 5),
        read(6, 7, 0, zones=frozenset({"a1"})),
    ),
    "an evacuation whose answer was lost that stays behind a restoration": (
        Fault.UNASKED_EVACUATION,
        zone(Kind.EVACUATE, 0, 1, NOT_TAKEN),
        zone(Kind.EVACUATE, 2, 3),
        zone(Kind.RESTORE, 4, 5),
        read(60, 70, 0, zones=frozenset({"a1"})),
    ),
    "an evacuation that was taken back": (
        Fault.UNASKED_EVACUATION,
        zone(Kind.EVACUATE, 0, 1),
        zone(Kind.RESTORE, 2, 3),
        read(4, 5, 0, zones=frozenset({"a1"})),
    ),
}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_fault_is_found(name: str) -> None:
    fault, *history = PLANTED[name]
    assert fault in faults(*history)
    with pytest.raises(NotLinearizableError, match="LINEARIZABILITY"):
        check(history)


RIGHT = {
    "a read beside a write sees either": (write(0, 10, 3), read(1, 2, 0), read(3, 4, 3), read(5, 6, 3)),
    "in doubt, and in force much later": (write(0, None, 3, verdict=IN_DOUBT), read(50, 51, 0), read(99, 100, 3)),
    "in doubt, and never": (write(0, None, 3, verdict=IN_DOUBT), read(50, 51, 0)),
    "a lost answer, sent again": (write(0, None, 3, verdict=IN_DOUBT), write(5, 6, 3), write(7, 8, 3)),
    "an older one arrives again": (write(0, 1, 3), write(2, 3, 9), write(4, 5, 3), read(6, 7, 9)),
    "an older one that never was in force": (write(2, 3, 9), write(4, 5, 4), read(6, 7, 9)),
    "two bodies, one refused": (write(0, 9, 5, b"one"), write(1, 8, 5, b"two", REFUSED), read(9, 10, 5, b"one")),
    "refused by what is in doubt": (write(0, None, 5, b"one", IN_DOUBT), write(1, 8, 5, b"two", REFUSED)),
    "not taken, then taken": (write(0, 1, 5, verdict=NOT_TAKEN), write(2, 3, 5), read(4, 5, 5)),
    "a zone taken back": (
        zone(Kind.EVACUATE, 0, 1),
        read(2, 3, 0, zones=frozenset({"a1"})),
        zone(Kind.RESTORE, 4, 5),
        read(6, 7, 0, zones=frozenset()),
    ),
    "a zone that two operators evacuate and one restores": (
        zone(Kind.EVACUATE, 0, 1),
        zone(Kind.EVACUATE, 2, 3),
        zone(Kind.RESTORE, 4, 5),
        read(6, 7, 0, zones=frozenset()),
    ),
    "an evacuation beside a restoration": (
        zone(Kind.EVACUATE, 0, 1),
        zone(Kind.RESTORE, 2, 6),
        zone(Kind.EVACUATE, 3, 5),
        read(7, 8, 0, zones=frozenset({"a1"})),
        read(9, 10, 0, zones=frozenset({"a1"})),
    ),
    "an evacuation in doubt behind a restoration": (
        zone(Kind.EVACUATE, 0, 1),
        zone(Kind.RESTORE, 2, 3),
        zone(Kind.EVACUATE, 4, None, IN_DOUBT),
        read(50, 60, 0, zones=frozenset({"a1"})),
    ),
    "reads that do not tell of zones": (zone(Kind.EVACUATE, 0, 1), read(2, 3, 0)),
}


@pytest.mark.parametrize("name", RIGHT)
def test_a_right_history_passes(name: str) -> None:
    assert violations(RIGHT[name]) == []
    check(RIGHT[name])


def test_a_recorder_keeps_the_first_answer_and_leaves_the_rest_in_doubt() -> None:
    recorder = Recorder()
    taken = recorder.begin(Operation(Kind.CONFIGURE, "n1", 1, number=3, body=b"x"))
    lost = recorder.begin(Operation(Kind.CONFIGURE, "n2", 2, number=4, body=b"y"))
    asked = recorder.begin(Operation(Kind.READ, "n2", 5))
    recorder.end(taken, 4, ACKNOWLEDGED)
    recorder.end(taken, 9, REFUSED)
    recorder.end_read(asked, 7, 3, b"x", frozenset({"a1"}))
    one, two, three = recorder.operations()
    assert lost == 1 and (one.ended, one.verdict) == (4, ACKNOWLEDGED)
    assert (two.ended, two.verdict) == (FOREVER, IN_DOUBT)
    assert (three.number, three.body, three.zones, three.ended) == (3, b"x", frozenset({"a1"}), 7)


# Against a sequential register, and against a search.

NUMBERS, BODIES = st.integers(1, 3), st.sampled_from((b"one", b"two"))
OUTCOMES = st.sampled_from(("answered", "answer lost", "call lost", "turned away"))


class Register:
    """The behaviour expected of the nodes: one configuration, that with the highest number received."""

    def __init__(self) -> None:
        self.bodies: dict[int, bytes] = {}

    def newest(self) -> tuple[int, bytes]:
        return max(self.bodies.items(), default=(0, b""))

    def configure(self, number: int, body: bytes) -> Verdict:
        return ACKNOWLEDGED if self.bodies.setdefault(number, body) == body else REFUSED


@st.composite
def linear_histories(draw: st.DrawFn) -> list[Operation]:
    """Calls carried out one by one, each at an instant within its span; spans overlap, and some answers are lost."""
    register, history = Register(), []
    for at in range(draw(st.integers(0, 12))):
        instant = 10 * at
        began, ended = instant - draw(st.integers(0, 40)), instant + draw(st.integers(0, 40))
        if draw(st.booleans()):
            number, body = register.newest()
            history.append(read(began, ended, number, body))
            continue
        number, body, outcome = draw(NUMBERS), draw(BODIES), draw(OUTCOMES)
        verdict = register.configure(number, body) if outcome in ("answered", "answer lost") else NOT_TAKEN
        if outcome in ("answer lost", "call lost"):
            ended, verdict = FOREVER, IN_DOUBT
        history.append(write(began, ended, number, body, verdict))
    return draw(st.permutations(history))


@settings(max_examples=150, deadline=None)
@given(linear_histories())
def test_what_a_register_did_passes(history: list[Operation]) -> None:
    assert violations(history) == []


def orders(left: list[Operation]) -> Iterator[tuple[Operation, list[Operation]]]:
    """Each call that may be carried out next: no other one ended before it began."""
    first_end = min((each.ended for each in left), default=FOREVER)
    for at, each in enumerate(left):
        if each.began <= first_end:
            yield each, left[:at] + left[at + 1 :]


def is_linearizable(left: list[Operation], bodies: dict[int, bytes]) -> bool:
    """The search that the checker's comparisons replace: all orders, with each outcome of calls in doubt."""
    if all(each.verdict in (IN_DOUBT, NOT_TAKEN) for each in left):
        return True
    for each, rest in orders(left):
        if each.kind is Kind.READ:
            fits = (each.number, each.body) == max(bodies.items(), default=(0, b""))
            after = bodies
        else:
            after = bodies if each.number in bodies else {**bodies, each.number: each.body}
            fits = each.verdict is not REFUSED and after[each.number] == each.body
            if each.verdict is REFUSED:
                fits, after = bodies.get(each.number, each.body) != each.body, bodies
            if each.verdict is NOT_TAKEN:
                fits, after = True, bodies
            if each.verdict is IN_DOUBT and is_linearizable(rest, bodies):
                return True
        if fits and is_linearizable(rest, after):
            return True
    return False


MOMENTS = st.lists(st.integers(0, 12), min_size=2, max_size=2, unique=True).map(sorted)


@st.composite
def any_histories(draw: st.DrawFn) -> list[Operation]:
    history = []
    for _ in range(draw(st.integers(1, 6))):
        (began, ended), number, body = draw(MOMENTS), draw(NUMBERS), draw(BODIES)
        if draw(st.booleans()):
            history.append(read(began, ended, *draw(st.sampled_from(((number, body), (0, b""))))))
            continue
        verdict = draw(st.sampled_from((ACKNOWLEDGED, ACKNOWLEDGED, REFUSED, NOT_TAKEN, IN_DOUBT)))
        history.append(write(began, FOREVER if verdict is IN_DOUBT else ended, number, body, verdict))
    return history


@settings(max_examples=500, deadline=None)
@given(any_histories())
def test_the_checker_finds_what_a_search_over_all_orders_finds(history: list[Operation]) -> None:
    assert (violations(history) == []) == is_linearizable(history, {})
