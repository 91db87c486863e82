"""The soak of zones: several operators a zone, real nodes and signals, judged by the requests that reach servers."""

from pathlib import Path

import pytest

from rampfront.lab.system.soak_plan import SoakSize
from rampfront.lab.system.zone_calls import Departure
from rampfront.lab.system.zone_judge import SEC, Arrival, Bounds, Order, ZoneRecord, judge_holds, judge_restorations
from rampfront.lab.system.zone_soak import Manners, Trouble, draw_manners, draw_plan, play

BOUNDS = Bounds(evacuated_within=2 * SEC, in_touch_after=4 * SEC)


def order(sent_s: float, key: str = "", is_acknowledged: bool = True) -> Order:
    """An attempt that is answered a second after it was sent."""
    return Order(round(sent_s * SEC), round((sent_s + 1) * SEC), is_acknowledged, key)


def arrival(at_s: float) -> Arrival:
    return Arrival(round(at_s * SEC), "try", "node")


START, FINISH = order(9), order(20)


@pytest.mark.parametrize("at_s, is_broken", [(9.0, False), (11.9, False), (12.1, True), (19.9, True), (20.1, False)])
def test_a_zone_that_somebody_holds_gets_no_requests(at_s: float, is_broken: bool) -> None:
    assert bool(judge_holds(ZoneRecord([START], [FINISH], [arrival(at_s)]), {}, BOUNDS)) is is_broken


@pytest.mark.parametrize(
    "starts, finishes, is_broken",
    [
        ([START, order(13)], [FINISH], False),  # one finish takes back what several have started
        ([START, order(20)], [order(19.5)], True),  # one that was sent before the second was acknowledged does not
        ([START, order(20)], [order(19.5), order(22)], False),  # its repeat does
        ([START, order(13, "ann")], [FINISH], True),  # a named one ends by its own key alone
        ([START, order(13, "ann")], [FINISH, order(21, "bob")], True),
        ([START, order(13, "ann")], [FINISH, order(21, "ann")], False),
        ([order(9, is_acknowledged=False)], [], False),
    ],
)
def test_an_evacuation_ends_with_the_first_attempt_to_restore_the_zone_behind_it(
    starts: list[Order], finishes: list[Order], is_broken: bool
) -> None:
    assert bool(judge_holds(ZoneRecord(starts, finishes, [arrival(25)]), {}, BOUNDS)) is is_broken


@pytest.mark.parametrize("disturbed_s, is_broken", [(14.0, False), (10.9, True), (15.1, True)])
def test_only_requests_of_nodes_in_touch_count(disturbed_s: float, is_broken: bool) -> None:
    zone = ZoneRecord([START], [FINISH], [arrival(15)])
    assert bool(judge_holds(zone, {"node": [round(disturbed_s * SEC)]}, BOUNDS)) is is_broken


@pytest.mark.parametrize(
    "end_s, later, arrivals_s, is_broken",
    [
        (40, [], [], True),
        (40, [], [30], False),
        (32, [], [], False),
        (60, [order(25)], [], False),  # evacuated again before it had to open
        (60, [order(40)], [50], True),
        (60, [order(20.5)], [], False),  # sent before the restoration was acknowledged
    ],
)
def test_a_zone_gets_requests_behind_each_acknowledged_restoration(
    end_s: int, later: list[Order], arrivals_s: list[int], is_broken: bool
) -> None:
    zone = ZoneRecord([START, *later], [FINISH], [arrival(at) for at in arrivals_s])
    assert bool(judge_restorations(zone, end_s * SEC)) is is_broken


def test_a_restoration_that_was_not_acknowledged_promises_nothing() -> None:
    assert not judge_restorations(ZoneRecord([START], [order(20, is_acknowledged=False)]), 60 * SEC)


def test_a_plan_is_drawn_from_its_seed() -> None:
    assert draw_plan(7, SoakSize()) == draw_plan(7, SoakSize()) != draw_plan(8, SoakSize())
    assert {draw_manners(seed).trouble for seed in range(20)} == set(Trouble)


@pytest.mark.slow(60)
def test_no_order_of_several_operators_opens_a_held_zone_or_leaves_a_restored_one(tmp_path: Path) -> None:
    """Guards against a 200 to an order on a zone that isn't true."""
    result = play(1, SoakSize(seconds=12.0), tmp_path, Manners(Trouble.NONE, Departure.RESETS, 0.3))
    assert not result.error and not result.broken, result
    assert result.holds and result.arrivals
