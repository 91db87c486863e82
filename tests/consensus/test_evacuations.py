"""Who keeps a zone evacuated: repeats of orders, and orders of a second operator."""

import cbor2
import pytest
from core_fixtures import Core, done, until

from rampfront.consensus import evacuations as e
from rampfront.consensus.errors import RemoteProtocolError
from rampfront.consensus.events import OrderKind
from rampfront.simulation.world import MS, SEC


def gives(core: Core, *steps: object) -> None:
    """Orders on the zone, each of which is to be done; numbers are ms to wait."""
    for step in steps:
        if isinstance(step, int):
            core.advance(step * MS)
        else:
            call = core.place_order(core.leader, step, "hall")
            until(core, lambda call=call: done(call))


def is_emptied(core: Core) -> bool:
    return "hall" in core.leader.core_member.committed.evacuated_zones


def opens_within(core: Core, ms: int) -> bool:
    end = core.now + ms * MS
    while is_emptied(core) and core.now < end:
        core.advance(20 * MS)
    return not is_emptied(core)


REPEATS = 7000  # ms: AckWithin, and a second on the way


@pytest.mark.parametrize("gap", [0, 200, 1300, 5900])
def test_a_repeated_evacuation_leaves_no_zone_evacuated_for_ever(gap: int) -> None:
    core = Core()
    gives(core, 8000, OrderKind.EVACUATE, gap, OrderKind.EVACUATE, 20000, OrderKind.RESTORE)
    assert is_emptied(core)  # there may be a second operator
    assert opens_within(core, REPEATS + 300) and not core.leader.core_member.committed.evacuations


@pytest.mark.parametrize("gap", [0, 200, 1300, 5900])
def test_a_repeated_restoration_opens_no_zone_that_another_operator_keeps_evacuated(gap: int) -> None:
    core = Core()
    gives(core, 8000, OrderKind.EVACUATE, 30000, OrderKind.EVACUATE, 30000, OrderKind.RESTORE, gap, OrderKind.RESTORE)
    assert not opens_within(core, 60000)
    gives(core, OrderKind.RESTORE)
    assert not is_emptied(core)


@pytest.mark.parametrize("apart", [800, 3000, 5900])
def test_two_operators_who_evacuate_a_zone_at_nearly_one_time_restore_it_each(apart: int) -> None:
    """One broken day: a zone was emptied twice, eight seconds each, and the first to take it back opened it to both."""
    core = Core()
    gives(core, 8000, OrderKind.EVACUATE, apart, OrderKind.EVACUATE, 8000 - apart, OrderKind.RESTORE)
    for _ in range(apart // 100 - 1):
        core.advance(100 * MS)
        assert is_emptied(core)
    gives(core, OrderKind.RESTORE)
    assert opens_within(core, REPEATS + 300)


def test_one_operator_restores_a_zone_at_once() -> None:
    core = Core()
    for _ in range(3):
        gives(core, OrderKind.EVACUATE, 3000, OrderKind.RESTORE)
        assert not is_emptied(core) and not core.leader.core_member.committed.evacuations
        gives(core, 100, OrderKind.RESTORE, 100)  # sent again
        assert not is_emptied(core)


def test_a_zone_evacuated_anew_while_it_waits_to_open_stays_evacuated() -> None:
    core = Core()
    gives(core, 8000, OrderKind.EVACUATE, 200, OrderKind.EVACUATE, 9000, OrderKind.RESTORE, 3000, OrderKind.EVACUATE)
    assert not opens_within(core, 20000)
    gives(core, OrderKind.RESTORE)
    assert not is_emptied(core)


def test_a_repeat_during_another_order_counts_as_a_repeat() -> None:
    core = Core()
    gives(core, 8000, OrderKind.EVACUATE, 3000, OrderKind.EVACUATE, 3000)
    core.configure(5)
    gives(core, OrderKind.EVACUATE, 5000, OrderKind.EVACUATE)  # within the time of the one before
    assert core.leader.core_member.committed.evacuations["hall"] == e.Evacuation(1, repeated=True)


def test_repeats_are_known_through_a_change_of_leader() -> None:
    core = Core()

    def change() -> None:
        old = core.leader
        core.stop(old, power=True)
        core.advance(3 * SEC)
        core.start(old, False)

    gives(core, 8000, OrderKind.EVACUATE, 30000, OrderKind.EVACUATE, 30000, OrderKind.RESTORE)
    change()
    gives(core, OrderKind.RESTORE)  # the answer to the first one was lost with its leader
    assert core.leader.core_member.committed.evacuations["hall"].operators == 1 and not opens_within(core, 20000)
    change()
    gives(core, OrderKind.EVACUATE)  # may be a repeat too: not counted for certain
    assert core.leader.core_member.committed.evacuations["hall"].operators == 1
    gives(core, 9000, OrderKind.RESTORE)
    change()
    assert is_emptied(core) and opens_within(core, REPEATS + 1000)  # the next leader opens what waits


def test_an_evacuation_of_unknown_outcome_repeated_at_the_next_leader_is_one() -> None:
    core = Core(4)
    lost = core.leader
    heir = core.others(lost)[0]
    core.cut_links([lost], [node for node in core.others(lost) if node is not heir])
    first = core.place_order(lost, OrderKind.EVACUATE, "hall")
    until(core, lambda: "hall" in heir.core_member.roles.persistent.durable.entry.evacuated_zones)
    core.stop(lost)
    core.heal_links()
    assert first.verdict is None
    until(core, lambda: len(core.leaders) == 1 and "hall" in core.leader.core_member.entry.evacuated_zones)
    gives(core, OrderKind.EVACUATE, 10000, OrderKind.RESTORE)
    assert opens_within(core, REPEATS + 300)


def test_evacuations_are_read_back() -> None:
    zones = frozenset({"hall", "cellar"})
    for counted in (
        {},
        {"hall": e.Evacuation(2)},
        {"hall": e.Evacuation(0, True, True), "cellar": e.Evacuation(1, True)},
    ):
        assert e.decode_evacuations(cbor2.loads(cbor2.dumps(e.encode_evacuations(counted))), zones) == counted
    # A record of before: a zone once for each operator.
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
