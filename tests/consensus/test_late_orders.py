"""An order that may have been sent before a later one of the other kind is carried out only if it is given once more.

Guards against an attempt that its caller gave up and that is late on its way, where it looks like a new order: it
opened a zone that another operator had evacuated, or evacuated one that nobody would restore. The leader that accepted
the orders may have been replaced, and the order may have a name.
"""

import pytest
from zone_fixtures import (
    END_HOLD,
    EVACUATE,
    EXPLICIT,
    FIVE,
    FOUR,
    ONE,
    RESTORE,
    RETRY_WINDOW_MS,
    SIX,
    THREE,
    TWO,
    ZONE,
    Scene,
)

from rampfront.consensus import events
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.identifiers import MS, SEC
from rampfront.consensus.late_orders import LATE_WINDOW_NS, LateOrderDetector, ZoneOrder

LATE_WINDOW_MS = LATE_WINDOW_NS // MS


def evacuated_anew() -> Scene:
    """A zone that one operator has restored, and that another one has evacuated a second later."""
    scene = Scene()
    scene.evacuate(ONE)
    scene.wait(8000)
    scene.restore(TWO)
    scene.wait(1000)
    scene.evacuate(THREE)
    return scene


@pytest.mark.parametrize("late_ms", [0, 2500, 5500, 20000, 58000])
def test_a_late_restoration_opens_no_zone_that_was_evacuated_meanwhile(late_ms: int) -> None:
    scene = evacuated_anew()
    scene.wait(late_ms)
    assert scene.attempt(RESTORE, FOUR) == Outcome.NEEDS_REPEAT
    assert scene.stays_evacuated(seconds=60)
    assert scene.restore(FIVE) == Outcome.DONE and not scene.is_evacuated


def test_a_late_restoration_of_which_no_attempt_was_ever_accepted_opens_no_zone() -> None:
    """Its operator gave it up; there is no accepted order that it could be known by."""
    scene = Scene()
    scene.wait(LATE_WINDOW_MS)
    scene.evacuate(ONE)
    assert scene.attempt(RESTORE, TWO) == Outcome.NEEDS_REPEAT and scene.stays_evacuated(seconds=60)


def test_a_late_restoration_undoes_no_evacuation_that_changed_nothing() -> None:
    """The zone was evacuated long ago; the second operator was told that it is."""
    scene = Scene()
    scene.evacuate(ONE)
    scene.wait(2 * LATE_WINDOW_MS)
    scene.evacuate(TWO)
    assert scene.attempt(RESTORE, THREE) == Outcome.NEEDS_REPEAT and scene.stays_evacuated(seconds=60)


def test_an_operator_who_repeats_the_restoration_opens_the_zone() -> None:
    scene = evacuated_anew()
    for _ in range(3):  # frames of one order
        assert scene.attempt(RESTORE, FOUR) == Outcome.NEEDS_REPEAT
    scene.wait(200)
    assert scene.attempt(RESTORE, FIVE) == Outcome.DONE and not scene.is_evacuated


def test_an_order_of_an_older_node_is_carried_out_at_once() -> None:
    scene = evacuated_anew()
    assert scene.attempt(RESTORE, 0) == Outcome.DONE and not scene.is_evacuated


def test_a_late_evacuation_leaves_no_zone_evacuated_for_ever() -> None:
    scene = Scene()
    scene.evacuate(ONE)
    scene.wait(1000)
    scene.restore(TWO)
    scene.wait(1000)
    assert scene.attempt(EVACUATE, THREE) == Outcome.NEEDS_REPEAT and not scene.is_evacuated
    scene.wait(200)
    assert scene.attempt(EVACUATE, FOUR) == Outcome.DONE and scene.is_evacuated


@pytest.mark.parametrize("late_ms", [30, 1000, 3000, 6500, 59000])
def test_a_late_evacuation_of_an_evacuated_zone_changes_nothing(late_ms: int) -> None:
    scene = Scene()
    scene.evacuate(ONE)
    scene.wait(late_ms)
    assert scene.attempt(EVACUATE, TWO) == Outcome.DONE
    scene.restore(THREE)
    assert not scene.is_evacuated


def test_a_second_late_attempt_is_no_repeat_of_the_first_one() -> None:
    """A caller who waits repeats an order soon."""
    scene = evacuated_anew()
    for identity in (FOUR, FIVE):
        assert scene.attempt(RESTORE, identity) == Outcome.NEEDS_REPEAT
        scene.wait(RETRY_WINDOW_MS)
    assert scene.is_evacuated


def test_an_order_of_the_other_kind_ends_the_demand_for_a_repeat() -> None:
    """The attempt that was deferred was sent before that order was acknowledged; so may its repeat have been."""
    scene = evacuated_anew()
    assert scene.attempt(RESTORE, FOUR) == Outcome.NEEDS_REPEAT
    scene.evacuate(FIVE)
    assert scene.attempt(RESTORE, SIX) == Outcome.NEEDS_REPEAT and scene.is_evacuated


def test_behind_the_window_nothing_is_demanded() -> None:
    scene = evacuated_anew()
    scene.wait(LATE_WINDOW_MS)
    assert scene.attempt(RESTORE, FOUR) == Outcome.DONE
    scene.wait(LATE_WINDOW_MS)
    assert scene.attempt(EVACUATE, FIVE) == Outcome.DONE and scene.is_evacuated


def test_the_first_leader_of_a_new_core_demands_nothing_before_there_were_orders() -> None:
    assert Scene().attempt(EVACUATE, ONE) == Outcome.DONE


@pytest.mark.parametrize("name", [0, EXPLICIT], ids=["unnamed", "named"])
@pytest.mark.parametrize("change", ["leader", "power"])
@pytest.mark.parametrize("kind", [EVACUATE, RESTORE])
def test_the_next_leader_takes_no_late_order_for_a_new_one(kind: OrderKind, change: str, name: int) -> None:
    """It does not know which orders its predecessors have accepted."""
    scene = Scene()
    scene.evacuate(name + ONE)
    scene.wait(1000)
    scene.restore(name + ONE)
    if kind is RESTORE:
        scene.wait(1000)
        scene.evacuate(name + ONE)
    scene.disturb(change)
    assert scene.attempt(kind, name + ONE) == Outcome.NEEDS_REPEAT
    assert scene.is_evacuated is (kind is RESTORE)
    scene.wait(RETRY_WINDOW_MS)
    assert scene.submit(kind, name + ONE) == Outcome.DONE
    assert scene.is_evacuated is (kind is EVACUATE)


def test_a_late_order_to_end_a_hold_does_not_end_one_that_was_begun_anew_under_its_name() -> None:
    scene = Scene()
    scene.evacuate(EXPLICIT + ONE)
    scene.submit(END_HOLD, EXPLICIT + ONE)
    scene.evacuate(EXPLICIT + ONE)
    assert scene.attempt(END_HOLD, EXPLICIT + ONE) == Outcome.NEEDS_REPEAT and scene.stays_evacuated()


@pytest.mark.parametrize("late", [SIX, EXPLICIT + SIX])
def test_a_late_order_is_no_repeat_of_an_order_with_another_name(late: int) -> None:
    """The caller of a named order is told to repeat it; a late one arrives before it does."""
    scene, named = Scene(), EXPLICIT + THREE
    scene.evacuate(ONE)
    scene.restore(TWO)
    assert scene.attempt(EVACUATE, named) == Outcome.NEEDS_REPEAT
    assert scene.attempt(EVACUATE, late) == Outcome.NEEDS_REPEAT and not scene.is_evacuated
    scene.wait(1000)
    assert scene.attempt(EVACUATE, named) == Outcome.DONE and scene.evacuation.named == (named,)


def test_an_order_that_was_never_committed_is_carried_out_when_it_is_given_again() -> None:
    """A leader that was cut off accepted it, and leads again later: its hold must not count as known."""
    scene = Scene()
    old = scene.leader
    scene.cut_links([old], scene.others(old))
    order = scene.place_order(old, EVACUATE, ZONE)
    scene.wait(4000)
    assert order.verdict != Outcome.DONE and scene.leader is not old
    scene.configure(1)
    scene.wait(500)
    scene.heal_links()
    scene.wait(1000)
    for _ in scene.others(old):  # until the first one leads again
        if scene.leader is not old:
            scene.change_leader()
    assert scene.leader is old and not scene.is_evacuated
    scene.evacuate(EXPLICIT + ONE)
    assert scene.is_evacuated


def test_frames_of_one_order_are_no_repeat_of_it() -> None:
    scene = evacuated_anew()
    order = ZoneOrder(RESTORE, ZONE, FOUR)
    detector = LateOrderDetector(scene.now, 6 * SEC)
    assert [detector.must_be_repeated(order, scene.now) for _ in range(3)] == [True] * 3
    assert not detector.must_be_repeated(order._replace(identity=FIVE), scene.now)


def test_what_a_leader_remembers_is_bounded_and_what_it_forgets_counts_as_not_known() -> None:
    detector = LateOrderDetector(-LATE_WINDOW_NS - 1, SEC)
    for number in range(1000):
        for kind in (EVACUATE, RESTORE):
            order = ZoneOrder(kind, f"zone {number}", 1)
            detector.must_be_repeated(order, number)
            detector.note_accepted(order, number)
    tables = detector._evacuated_at, detector._restored_at, detector._deferred
    assert all(len(table) <= 64 for table in tables)
    assert detector.must_be_repeated(ZoneOrder(RESTORE, "zone 0", 7), 1000)


def test_an_invalid_order_to_end_a_hold_is_rejected() -> None:
    scene = Scene()
    order = scene.place_order(scene.leader, END_HOLD, (ZONE, 0))
    scene.deliver(scene.leader, events.Tick())
    assert order.verdict == Outcome.REJECTED
