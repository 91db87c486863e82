"""An order that may be a late copy of a given-up one is carried out only if it is given once more.

Guards against a copy that is late on the way from its caller to a node, where it looks like a new order: it reopened a
zone that another operator had evacuated, or evacuated one that nobody would restore.
"""

import pytest
from core_fixtures import PlacedOrder, run_until
from test_evacuation_claims import DELIVERED, EXPLICIT, FOUR, LOST, ONE, RETRY_WINDOW_MS, THREE, TWO, ZONE, Scene

from rampfront.consensus import events
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.identifiers import SEC
from rampfront.consensus.late_orders import MAX_ZONES, LateOrderDetector, ZoneOrder

FIVE, SIX = 15, 16
EVACUATE, RESTORE = OrderKind.EVACUATE, OrderKind.RESTORE


def outcome_of(scene: Scene, kind: OrderKind, identity: int) -> Outcome:
    """Submits an order once, and returns its outcome."""
    call = PlacedOrder(kind, ZONE, scene.safety_checker.newest_acknowledged())
    scene.deliver(scene.leader, events.Order((call, 0), kind, ZONE, identity))
    run_until(scene, lambda: call.verdict is not None)
    return call.verdict


def evacuated_anew() -> Scene:
    """A zone that one operator has restored, and that another one has evacuated a second later."""
    scene = Scene()
    scene.evacuate(ONE)
    scene.report(DELIVERED, ONE)
    scene.wait(8000)
    scene.restore(TWO)
    scene.report(DELIVERED, TWO)
    scene.wait(1000)
    scene.evacuate(THREE)
    scene.report(DELIVERED, THREE)
    return scene


@pytest.mark.parametrize("late", [0, 2500, 5500])
def test_a_late_copy_of_a_restoration_opens_no_zone_that_was_evacuated_meanwhile(late: int) -> None:
    scene = evacuated_anew()
    scene.wait(late)
    assert outcome_of(scene, RESTORE, FOUR) == Outcome.NEEDS_REPEAT
    scene.report(LOST, FOUR)
    assert not scene.reopens_within(60000)
    scene.restore(FIVE)
    assert not scene.is_evacuated


def test_an_operator_who_repeats_the_restoration_opens_the_zone() -> None:
    scene = evacuated_anew()
    for _ in range(3):  # frames of one order
        assert outcome_of(scene, RESTORE, FOUR) == Outcome.NEEDS_REPEAT
    scene.wait(200)
    assert outcome_of(scene, RESTORE, FIVE) == Outcome.DONE and not scene.is_evacuated


@pytest.mark.parametrize("kind, identity", [(RESTORE, EXPLICIT + FOUR), (RESTORE, 0)])
def test_an_order_with_a_name_of_its_own_or_of_an_older_node_is_carried_out_at_once(
    kind: OrderKind, identity: int
) -> None:
    scene = evacuated_anew()
    assert outcome_of(scene, kind, identity) == Outcome.DONE and not scene.is_evacuated


def test_a_late_copy_of_an_evacuation_leaves_no_zone_evacuated_for_ever() -> None:
    scene = Scene()
    scene.evacuate(ONE)
    scene.wait(1000)
    scene.restore(TWO)
    scene.wait(1000)
    assert outcome_of(scene, EVACUATE, THREE) == Outcome.NEEDS_REPEAT and not scene.is_evacuated
    scene.wait(200)
    assert outcome_of(scene, EVACUATE, FOUR) == Outcome.DONE and scene.is_evacuated


def test_behind_the_window_and_behind_another_order_nothing_is_demanded() -> None:
    scene = evacuated_anew()
    scene.wait(RETRY_WINDOW_MS)
    assert outcome_of(scene, RESTORE, FOUR) == Outcome.DONE
    scene.wait(RETRY_WINDOW_MS)
    scene.evacuate(FIVE)
    assert outcome_of(scene, EVACUATE, SIX) == Outcome.DONE  # a second operator


def test_what_a_leader_remembers_is_bounded() -> None:
    detector = LateOrderDetector(SEC)
    for number in range(3 * MAX_ZONES):
        for kind in (EVACUATE, RESTORE):
            detector.note_accepted(ZoneOrder(kind, f"zone {number}", 1), number)
    assert len(detector._accepted_at) == 2 * MAX_ZONES
