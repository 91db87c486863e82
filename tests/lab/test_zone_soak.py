"""The soak of zones: several operators a zone, real nodes and signals, judged by the requests that reach servers."""

from pathlib import Path

import pytest

from rampfront.lab.system.soak_plan import SoakSize
from rampfront.lab.system.zone_calls import Departure
from rampfront.lab.system.zone_judge import SEC, Arrival, Bounds, Hold, ZoneRecord, judge_holds, judge_restoration
from rampfront.lab.system.zone_soak import Manners, Trouble, draw_manners, draw_plan, play

BOUNDS = Bounds(evacuated_within=2 * SEC, in_touch_after=4 * SEC)
FIRST = Hold(begun_at=10 * SEC, ended_at=20 * SEC, restored_at=21 * SEC)


@pytest.mark.parametrize("at_s, is_broken", [(9.0, False), (11.9, False), (12.1, True), (19.9, True), (20.1, False)])
def test_a_zone_that_somebody_holds_gets_no_requests(at_s: float, is_broken: bool) -> None:
    zone = ZoneRecord([FIRST], [Arrival(round(at_s * SEC), "try", "node")])
    assert bool(judge_holds(zone, {}, BOUNDS)) is is_broken


def test_the_hold_of_a_second_operator_counts_behind_the_first_restoration() -> None:
    zone = ZoneRecord([FIRST, Hold(begun_at=11 * SEC)], [Arrival(25 * SEC, "try", "node")])
    assert judge_holds(zone, {}, BOUNDS)


@pytest.mark.parametrize("disturbed_s, is_broken", [(14.0, False), (10.9, True), (15.1, True)])
def test_only_requests_of_nodes_in_touch_count(disturbed_s: float, is_broken: bool) -> None:
    zone = ZoneRecord([FIRST], [Arrival(15 * SEC, "try", "node")])
    assert bool(judge_holds(zone, {"node": [round(disturbed_s * SEC)]}, BOUNDS)) is is_broken


@pytest.mark.parametrize(
    "end_s, stays_evacuated, arrivals_s, is_broken",
    [(40, False, [], True), (40, True, [], False), (40, False, [30], False), (32, False, [], False)],
)
def test_a_zone_that_nobody_holds_gets_requests_or_its_operator_is_told(
    end_s: int, stays_evacuated: bool, arrivals_s: list[int], is_broken: bool
) -> None:
    arrivals = [Arrival(at * SEC, "try", "node") for at in arrivals_s]
    zone = ZoneRecord([Hold(12 * SEC, 20 * SEC, 21 * SEC, stays_evacuated)], arrivals)
    assert bool(judge_restoration(zone, end_s * SEC)) is is_broken


def test_a_plan_is_drawn_from_its_seed() -> None:
    assert draw_plan(7, SoakSize()) == draw_plan(7, SoakSize()) != draw_plan(8, SoakSize())
    assert {draw_manners(seed).trouble for seed in range(20)} == set(Trouble)


@pytest.mark.slow(60)
def test_a_zone_that_a_second_operator_holds_gets_no_requests(tmp_path: Path) -> None:
    """Guards against a 200 to a second operator that no hold in the replicated state stands for."""
    result = play(1, SoakSize(seconds=12.0), tmp_path, Manners(Trouble.NONE, Departure.RESETS, 0.0))
    assert not result.error and not result.broken, result
    assert result.holds and result.arrivals
