"""Counting of the operators that keep a zone evacuated, with retried orders and orders of a second operator."""

import cbor2
import pytest
from core_fixtures import Core, done, run_until

from rampfront.consensus import evacuations as e
from rampfront.consensus.errors import RemoteProtocolError
from rampfront.consensus.evacuation_claims import Claim, Delivery
from rampfront.consensus.events import OrderKind, Outcome
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
def test_a_second_evacuation_counts_whatever_the_time_between(gap: int) -> None:
    """It may come from a second operator, who relies on the 200."""
    core = Core()
    place_orders(core, 8000, OrderKind.EVACUATE, gap, OrderKind.EVACUATE, 20000, OrderKind.RESTORE)
    assert not reopens_within(core, 60000)
    place_orders(core, OrderKind.RESTORE)
    assert not is_evacuated(core) and not core.leader.core_member.committed.evacuations


@pytest.mark.parametrize("gap", [0, 200, 1300, 5900])
def test_a_repeated_restoration_opens_no_zone_that_another_operator_keeps_evacuated(gap: int) -> None:
    core = Core()
    place_orders(
        core, 8000, OrderKind.EVACUATE, 30000, OrderKind.EVACUATE, 30000, OrderKind.RESTORE, gap, OrderKind.RESTORE
    )
    assert not reopens_within(core, 60000)
    place_orders(core, OrderKind.RESTORE)
    assert not is_evacuated(core)


@pytest.mark.parametrize("apart", [0, 200, 800, 3000, 5900])
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
    place_orders(core, OrderKind.RESTORE)  # may repeat the one before it, whose answer is not known to be delivered
    assert not reopens_within(core, 60000)
    place_orders(core, OrderKind.RESTORE)
    assert not is_evacuated(core)


def test_one_operator_restores_a_zone_at_once() -> None:
    core = Core()
    for _ in range(3):
        place_orders(core, OrderKind.EVACUATE, RETRY_WINDOW_MS, OrderKind.RESTORE)
        assert not is_evacuated(core) and not core.leader.core_member.committed.evacuations
        place_orders(core, 100, OrderKind.RESTORE, 100)  # a retry
        assert not is_evacuated(core)


def test_a_zone_evacuated_anew_by_one_who_restored_it_is_held_by_both() -> None:
    core = Core()
    place_orders(
        core, 8000, OrderKind.EVACUATE, 200, OrderKind.EVACUATE, 9000, OrderKind.RESTORE, 3000, OrderKind.EVACUATE, 9000
    )
    for _ in range(2):
        assert not reopens_within(core, 20000)
        place_orders(core, OrderKind.RESTORE)
    assert not is_evacuated(core)


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
    assert core.leader.core_member.committed.evacuation_of("hall").operators == 1 and not reopens_within(core, 20000)
    change()
    place_orders(core, OrderKind.EVACUATE)  # may be a retry too, or the order of another operator, who relies on it
    assert core.leader.core_member.committed.evacuation_of("hall").operators == 2
    place_orders(core, 9000, OrderKind.RESTORE)
    change()
    assert not reopens_within(core, 20000)
    place_orders(core, OrderKind.RESTORE)
    assert not is_evacuated(core)


def test_an_evacuation_of_unknown_outcome_repeated_at_the_next_leader_is_told_as_held() -> None:
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
    assert core.leader.core_member.committed.evacuation_of("hall").operators == 1  # the first node died unheard
    place_orders(core, RETRY_WINDOW_MS, OrderKind.RESTORE)
    assert not is_evacuated(core)


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
    assert e.decode_evacuations(["hall"] * 2 * e.MAX_OPERATORS, zones) == {"hall": e.Evacuation(e.MAX_OPERATORS)}


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
        [["hall", e.MAX_OPERATORS + 1, True, True]],
        [["hall", 0, True, False]],
        [["hall", 1, 1, False]],
        [["hall", "1", True, False]],
    ],
)
def test_invalid_evacuations_are_refused(odd: object) -> None:
    with pytest.raises(RemoteProtocolError):
        e.decode_evacuations(odd, frozenset({"hall"}))


def test_an_evacuation_that_cannot_be_counted_is_rejected() -> None:
    """Guards against a 200 that no hold in the replicated state stands for."""
    core = Core()
    place_orders(core, *[OrderKind.EVACUATE] * e.MAX_OPERATORS)
    further = core.place_order(core.leader, OrderKind.EVACUATE, "hall")
    run_until(core, lambda: further.verdict is not None)
    assert further.verdict == Outcome.REJECTED
    place_orders(core, *[RETRY_WINDOW_MS + 300, OrderKind.RESTORE] * (e.MAX_OPERATORS - 1))
    assert is_evacuated(core)
    place_orders(core, RETRY_WINDOW_MS + 300, OrderKind.RESTORE)
    assert not is_evacuated(core)


def test_a_possible_repeat_in_a_state_of_an_older_version_counts() -> None:
    zones = frozenset({"hall"})
    claims = (Claim(1, Delivery.DELIVERED), Claim(2, counted=False))
    old = {"hall": e.Evacuation(1, repeated=True, claims=claims)}
    zones, known = e.restore(zones, old, "hall")
    assert known == {"hall": e.Evacuation(1, False, True, (Claim(2),))}
    waiting = {"hall": e.Evacuation(0, repeated=True, returned=True)}
    assert e.restore(zones, waiting, "hall").zones == frozenset()
    assert waiting["hall"].normalized().operators == 1
