"""Counting of the operators that keep a zone evacuated, with retried orders and orders of a second operator."""

import cbor2
import pytest
from core_fixtures import Core, done, run_until

from rampfront.consensus import evacuations as e
from rampfront.consensus.errors import RemoteProtocolError
from rampfront.consensus.events import OrderKind
from rampfront.simulation.world import MS, SEC


def place_orders(core: Core, *steps: object) -> None:
    """Submits zone orders in sequence and waits for each acknowledgement; an integer is a pause in ms."""
    for step in steps:
        if isinstance(step, int):
            core.advance(step * MS)
        else:
            call = core.place_order(core.leader, step, "hall")
            run_until(core, lambda call=call: done(call))


def is_evacuated(core: Core) -> bool:
    return "hall" in core.leader.core_member.committed.evacuated_zones


def reopens_within(core: Core, ms: int) -> bool:
    end = core.now + ms * MS
    while is_evacuated(core) and core.now < end:
        core.advance(20 * MS)
    return not is_evacuated(core)


RETRY_WINDOW_MS = 7000  # the setting AckWithin, plus 1 s in transit


@pytest.mark.parametrize("gap", [0, 200, 1300, 5900])
def test_a_repeated_evacuation_leaves_no_zone_evacuated_for_ever(gap: int) -> None:
    core = Core()
    place_orders(core, 8000, OrderKind.EVACUATE, gap, OrderKind.EVACUATE, 20000, OrderKind.RESTORE)
    assert is_evacuated(core)  # the repeated order may come from a second operator
    assert reopens_within(core, RETRY_WINDOW_MS + 300) and not core.leader.core_member.committed.evacuations


@pytest.mark.parametrize("gap", [0, 200, 1300, 5900])
def test_a_repeated_restoration_opens_no_zone_that_another_operator_keeps_evacuated(gap: int) -> None:
    core = Core()
    place_orders(
        core, 8000, OrderKind.EVACUATE, 30000, OrderKind.EVACUATE, 30000, OrderKind.RESTORE, gap, OrderKind.RESTORE
    )
    assert not reopens_within(core, 60000)
    place_orders(core, OrderKind.RESTORE)
    assert not is_evacuated(core)


@pytest.mark.parametrize("apart", [800, 3000, 5900])
def test_two_operators_who_evacuate_a_zone_at_nearly_one_time_restore_it_each(apart: int) -> None:
    """The first of two restorations must not reopen the zone.

    The fault was seen when a zone was evacuated twice, for eight seconds each: the first restoration reopened it for
    both operators.
    """
    core = Core()
    place_orders(core, 8000, OrderKind.EVACUATE, apart, OrderKind.EVACUATE, 8000 - apart, OrderKind.RESTORE)
    for _ in range(apart // 100 - 1):
        core.advance(100 * MS)
        assert is_evacuated(core)
    place_orders(core, OrderKind.RESTORE)
    assert reopens_within(core, RETRY_WINDOW_MS + 300)


def test_one_operator_restores_a_zone_at_once() -> None:
    core = Core()
    for _ in range(3):
        place_orders(core, OrderKind.EVACUATE, 3000, OrderKind.RESTORE)
        assert not is_evacuated(core) and not core.leader.core_member.committed.evacuations
        place_orders(core, 100, OrderKind.RESTORE, 100)  # a retry
        assert not is_evacuated(core)


def test_a_zone_evacuated_anew_while_it_waits_to_open_stays_evacuated() -> None:
    core = Core()
    place_orders(
        core, 8000, OrderKind.EVACUATE, 200, OrderKind.EVACUATE, 9000, OrderKind.RESTORE, 3000, OrderKind.EVACUATE
    )
    assert not reopens_within(core, 20000)
    place_orders(core, OrderKind.RESTORE)
    assert not is_evacuated(core)


def test_a_repeat_during_another_order_counts_as_a_repeat() -> None:
    core = Core()
    place_orders(core, 8000, OrderKind.EVACUATE, 3000, OrderKind.EVACUATE, 3000)
    core.configure(5)
    place_orders(core, OrderKind.EVACUATE, 5000, OrderKind.EVACUATE)  # within the retry window of the order before
    assert core.leader.core_member.committed.evacuations["hall"] == e.Evacuation(1, repeated=True)


def test_repeats_are_known_through_a_change_of_leader() -> None:
    core = Core()

    def change() -> None:
        old = core.leader
        core.stop(old, power=True)
        core.advance(3 * SEC)
        core.start(old, False)

    place_orders(core, 8000, OrderKind.EVACUATE, 30000, OrderKind.EVACUATE, 30000, OrderKind.RESTORE)
    change()
    place_orders(core, OrderKind.RESTORE)  # a retry: the answer to the first order was lost with its leader
    assert core.leader.core_member.committed.evacuations["hall"].operators == 1 and not reopens_within(core, 20000)
    change()
    place_orders(core, OrderKind.EVACUATE)  # may be a retry too, so it is not counted as certain
    assert core.leader.core_member.committed.evacuations["hall"].operators == 1
    place_orders(core, 9000, OrderKind.RESTORE)
    change()
    assert is_evacuated(core) and reopens_within(core, RETRY_WINDOW_MS + 1000)  # the next leader reopens a waiting zone


def test_an_evacuation_of_unknown_outcome_repeated_at_the_next_leader_is_one() -> None:
    core = Core(4)
    lost = core.leader
    successor = core.others(lost)[0]
    core.cut_links([lost], [node for node in core.others(lost) if node is not successor])
    first = core.place_order(lost, OrderKind.EVACUATE, "hall")
    run_until(core, lambda: "hall" in successor.core_member.roles.persistent.durable.entry.evacuated_zones)
    core.stop(lost)
    core.heal_links()
    assert first.verdict is None
    run_until(core, lambda: len(core.leaders) == 1 and "hall" in core.leader.core_member.entry.evacuated_zones)
    place_orders(core, OrderKind.EVACUATE, 10000, OrderKind.RESTORE)
    assert reopens_within(core, RETRY_WINDOW_MS + 300)


def test_evacuations_are_read_back() -> None:
    zones = frozenset({"hall", "cellar"})
    for counted in (
        {},
        {"hall": e.Evacuation(2)},
        {"hall": e.Evacuation(0, True, True), "cellar": e.Evacuation(1, True)},
    ):
        assert e.decode_evacuations(cbor2.loads(cbor2.dumps(e.encode_evacuations(counted))), zones) == counted
    # Older records have the zone's name once for each operator.
    assert e.decode_evacuations(["cellar", "hall", "hall"], zones) == {"hall": e.Evacuation(2)}
    assert e.decode_evacuations(["hall"] * 20, zones) == {"hall": e.Evacuation(e.MAX_OPERATORS)}


@pytest.mark.parametrize(
    "odd",
    [
        None,
        [None],
        ["attic"],
        ["hall"] * 600,
        [["attic", 1, True, False]],
        [["hall", 1, True]],
        [["hall", -1, True, True]],
        [["hall", 9, True, True]],
        [["hall", 0, True, False]],
        [["hall", 1, 1, False]],
        [["hall", "1", True, False]],
    ],
)
def test_invalid_evacuations_are_refused(odd: object) -> None:
    with pytest.raises(RemoteProtocolError):
        e.decode_evacuations(odd, frozenset({"hall"}))


def test_counted_operators_are_bounded() -> None:
    zones, known = frozenset(), {}
    for _ in range(20):
        zones, known = e.evacuate(zones, known, "hall", False)
    assert known == {"hall": e.Evacuation(e.MAX_OPERATORS)}
    for _ in range(e.MAX_OPERATORS):
        zones, known = e.restore(zones, known, "hall", False)
    assert not zones and not known
