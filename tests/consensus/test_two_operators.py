"""Several operators hold one zone: it stays evacuated while anybody with a 200 holds it, whatever cannot be known.

Guards against a 200 to a second operator that no claim in the replicated state stands for, and against the repeat of
one operator's restoration that ends the hold of another.
"""

import pytest
from core_fixtures import PlacedOrder
from test_evacuation_claims import DELIVERED, EXPLICIT, LOST, RETRY_WINDOW_MS, Scene

from rampfront.consensus import restorations as r
from rampfront.consensus.errors import RemoteProtocolError
from rampfront.consensus.evacuation_claims import Delivery
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.identifiers import MS
from rampfront.consensus.record import decode_record

A, B, C, A_AGAIN, FIRST, SECOND, THIRD, FOURTH = range(21, 29)
RESTORE_CLOSELY_MS = 500  # after a delivered answer, in which a program may repeat an order


def both_hold(delivered: bool = True) -> Scene:
    """A zone that two operators have evacuated."""
    scene = Scene()
    for identity in (A, B):
        scene.evacuate(identity)
        if delivered:
            scene.report(DELIVERED, identity)
        scene.wait(400)
    return scene


def restore_once(scene: Scene, identity: int) -> Outcome:
    """Sends one attempt to restore the zone, and returns its outcome."""
    return scene.attempt(PlacedOrder(OrderKind.RESTORE, "hall", scene.safety_checker.newest_acknowledged()), identity)


def disturb(scene: Scene, change: str) -> None:
    """Another member leads ("leader"), or all lose power at the same moment and return ("power")."""
    if change == "leader":
        scene.change_leader()
    elif change == "power":
        for node in scene.nodes:
            scene.stop(node, power=True)
        scene.wait(300)
        for node in scene.nodes:
            scene.start(node, False)
        scene.wait(3000)


@pytest.mark.parametrize("delivered", [True, False])
def test_one_who_restores_and_evacuates_anew_keeps_the_zone_when_the_other_restores(delivered: bool) -> None:
    scene = both_hold(delivered)
    scene.restore(FIRST)
    scene.report(DELIVERED, FIRST)
    scene.wait(4000)
    scene.evacuate(A_AGAIN)
    scene.wait(4000)
    scene.restore(SECOND)
    scene.report(DELIVERED, SECOND)
    assert not scene.reopens_within(60000)
    scene.restore(THIRD)
    assert not scene.is_evacuated


@pytest.mark.parametrize("report", [DELIVERED, LOST])
def test_the_answer_of_a_frozen_node_settles_a_claim_whenever_it_is_reported(report: OrderKind) -> None:
    scene = Scene()
    scene.evacuate(A)
    scene.wait(2000)
    scene.evacuate(B)
    scene.report(DELIVERED, B)
    scene.wait(2000)
    scene.restore(FIRST)
    scene.report(DELIVERED, FIRST)
    assert not scene.reopens_within(20000)
    scene.report(report, A)
    assert scene.is_evacuated is (report is DELIVERED)


@pytest.mark.parametrize("change", ["none", "leader", "power"])
@pytest.mark.parametrize("late", [600, 3000, 5500])
def test_the_repeat_of_a_restoration_ends_no_hold_of_another_operator(late: int, change: str) -> None:
    scene = both_hold()
    scene.restore(FIRST)  # its answer is lost with its node
    repeated_at = scene.now + late * MS
    disturb(scene, change)
    scene.advance(max(0, repeated_at - scene.now))
    scene.restore(SECOND)
    scene.report(DELIVERED, SECOND)
    assert not scene.reopens_within(60000)
    scene.restore(THIRD)
    assert not scene.is_evacuated


@pytest.mark.parametrize("change", ["none", "leader", "power"])
def test_the_repeat_of_a_restoration_ends_no_hold_that_began_meanwhile(change: str) -> None:
    scene = Scene()
    scene.evacuate(A)
    scene.report(DELIVERED, A)
    scene.restore(FIRST)
    scene.evacuate(B)
    scene.report(DELIVERED, B)
    disturb(scene, change)
    scene.restore(SECOND)
    assert not scene.reopens_within(60000)
    scene.restore(THIRD)
    assert not scene.is_evacuated


@pytest.mark.parametrize("change", ["none", "leader", "power"])
def test_the_repeat_of_a_named_restoration_ends_no_hold_of_another_operator(change: str) -> None:
    scene = both_hold()
    scene.restore(EXPLICIT + FIRST)
    disturb(scene, change)
    scene.wait(3000)
    scene.restore(EXPLICIT + FIRST)
    assert not scene.reopens_within(60000)
    scene.restore(EXPLICIT + SECOND)
    assert not scene.is_evacuated


def test_a_named_restoration_between_an_order_and_its_repeat_hides_neither() -> None:
    scene = both_hold()
    scene.evacuate(C)
    scene.report(DELIVERED, C)
    scene.restore(FIRST)
    scene.restore(EXPLICIT + SECOND)
    scene.wait(2000)
    scene.restore(THIRD)
    assert not scene.reopens_within(60000)
    scene.restore(FOURTH)
    assert not scene.is_evacuated


def test_a_restoration_that_was_taken_for_a_repeat_counts_once_the_answer_before_is_known() -> None:
    scene = both_hold()
    scene.restore(FIRST)
    scene.wait(3000)
    scene.restore(SECOND)
    assert scene.is_evacuated
    scene.report(DELIVERED, FIRST)
    assert not scene.is_evacuated


def test_a_late_report_ends_no_hold_that_began_behind_the_restoration() -> None:
    scene = both_hold()
    scene.restore(FIRST)
    scene.wait(3000)
    scene.restore(SECOND)
    scene.evacuate(C)
    scene.report(DELIVERED, C)
    scene.report(DELIVERED, FIRST)
    assert scene.evacuation.operators == 1 and not scene.reopens_within(60000)
    assert [claim.identity for claim in scene.evacuation.claims] == [scene.accepted[C]]


def test_a_late_copy_of_a_restoration_ends_no_hold_once_the_answer_of_a_frozen_node_is_reported() -> None:
    """Guards against a copy that is recorded as a possible repeat, and counts as another operator's later."""
    scene = both_hold()
    scene.restore(FIRST)  # read by its caller, but its node stands still
    scene.wait(3000)
    assert restore_once(scene, SECOND) == Outcome.NEEDS_REPEAT
    scene.wait(RETRY_WINDOW_MS)
    scene.report(DELIVERED, FIRST)
    assert not scene.reopens_within(60000)
    scene.restore(THIRD)
    assert not scene.is_evacuated


def test_a_repeat_counts_by_the_time_of_its_first_attempt() -> None:
    """The first attempt follows a delivered answer closely, as of a program that lost it; the second one takes long."""
    scene = both_hold()
    scene.restore(FIRST)
    scene.report(DELIVERED, FIRST)
    scene.wait(150)
    assert restore_once(scene, SECOND) == Outcome.NEEDS_REPEAT
    scene.wait(3000)
    assert restore_once(scene, THIRD) == Outcome.DONE and scene.is_evacuated
    scene.report(DELIVERED, THIRD)
    scene.wait(1000)
    scene.restore(FOURTH)
    assert not scene.is_evacuated


@pytest.mark.parametrize("apart", [RESTORE_CLOSELY_MS // 3, 1000])
def test_a_restoration_close_behind_a_delivered_answer_may_be_a_repeat_however_late_that_is_reported(
    apart: int,
) -> None:
    scene = both_hold()
    scene.restore(FIRST)
    scene.wait(apart)
    scene.restore(SECOND)
    scene.wait(4000)
    scene.report(DELIVERED, FIRST)
    assert scene.is_evacuated
    scene.restore(THIRD)
    scene.report(DELIVERED, SECOND)
    assert not scene.is_evacuated


@pytest.mark.parametrize("change", ["none", "leader", "power"])
def test_an_operator_ends_a_hold_by_its_name_and_a_repeat_ends_no_other(change: str) -> None:
    scene = both_hold()
    disturb(scene, change)
    for _ in range(2):
        scene.submit(OrderKind.END_CLAIM, A)
        assert scene.evacuation.operators == 1
    scene.submit(OrderKind.END_CLAIM, B)
    assert not scene.is_evacuated
    scene.submit(OrderKind.END_CLAIM, B)


def test_one_who_restores_and_then_ends_his_hold_by_name_ends_no_other() -> None:
    scene = both_hold(delivered=False)
    scene.restore(FIRST)
    scene.submit(OrderKind.END_CLAIM, B)
    assert not scene.reopens_within(60000)
    scene.submit(OrderKind.END_CLAIM, A)
    assert not scene.is_evacuated


def test_named_restorations_do_not_evict_the_one_that_may_be_repeated() -> None:
    rows: r.Restorations = ()
    for identity in (FIRST, *range(EXPLICIT, EXPLICIT + 2 * r.MAX_RESTORATIONS)):
        rows = r.with_new(rows, r.Restoration(identity))
    assert len(rows) == r.MAX_RESTORATIONS and r.last_unnamed(rows) == rows[0] == r.Restoration(FIRST)
    assert rows[-1].identity == EXPLICIT + 2 * r.MAX_RESTORATIONS - 1
    assert r.last_unnamed(r.with_new(rows, r.Restoration(SECOND))) == r.Restoration(SECOND)


def test_restorations_are_stored_and_read_back() -> None:
    scene = both_hold()
    scene.restore(FIRST)
    scene.restore(SECOND)
    persistent = scene.leader.core_member.roles.persistent
    entry = decode_record(persistent.encode(), persistent.key.name).entry
    first, second = entry.restorations["hall"]
    assert entry.restorations == persistent.entry.restorations
    assert (first.identity, second.identity) == (scene.accepted[FIRST], scene.accepted[SECOND])
    assert not first.is_pending and second.newest_claim == scene.accepted[B]


@pytest.mark.parametrize(
    "malformed",
    [
        {},
        [["hall"]],
        [["hall", 1, 0]],
        [["hall", -1, 0, 0]],
        [["hall", 1, Delivery.LOST, 0]],
        [["hall", 1, 0, True]],
        [["hall", 1, 0, 1 << 53]],
        [[7, 1, 0, 0]],
        [["hall", *[1, 0, 0] * (r.MAX_RESTORATIONS + 1)]],
        [["hall", 1, 0, 0]] * 65,
    ],
)
def test_malformed_restorations_are_rejected(malformed: object) -> None:
    with pytest.raises(RemoteProtocolError):
        r.decode_restorations(malformed)
