"""The soak of orders on zones: real nodes, signals, and operators who give up attempts that arrive late."""

from pathlib import Path

import pytest

from rampfront.lab.system.order_soak import Holding, ZoneHistory, ZoneRead, draw_plan, judge_zone, play
from rampfront.lab.system.soak_plan import SoakSize

HELD = Holding(starting_at=9.5, acknowledged_at=10.0, restoring_at=14.0, restored_at=15.0)
NEXT = Holding(starting_at=18.0)


@pytest.mark.parametrize(
    "read, is_broken",
    [
        (ZoneRead(11.0, 11.1, False), True),
        (ZoneRead(11.0, 11.1, True), False),
        (ZoneRead(9.9, 10.1, False), False),  # begun before the acknowledgement
        (ZoneRead(13.9, 14.1, False), False),  # ended behind the first attempt to restore the zone
    ],
)
def test_a_held_zone_is_never_open(read: ZoneRead, is_broken: bool) -> None:
    assert bool(judge_zone(ZoneHistory([HELD], [read]))) is is_broken


@pytest.mark.parametrize(
    "read, is_broken",
    [
        (ZoneRead(15.1, 15.2, True), True),
        (ZoneRead(15.1, 15.2, False), False),
        (ZoneRead(14.9, 15.1, True), False),  # begun before the acknowledgement
        (ZoneRead(17.9, 18.1, True), False),  # ended behind the first attempt to evacuate the zone again
        (ZoneRead(19.0, 19.1, True), False),
    ],
)
def test_a_restored_zone_is_never_evacuated(read: ZoneRead, is_broken: bool) -> None:
    assert bool(judge_zone(ZoneHistory([HELD, NEXT], [read]))) is is_broken


def test_a_plan_is_drawn_from_its_seed() -> None:
    assert draw_plan(7, SoakSize()) == draw_plan(7, SoakSize()) != draw_plan(8, SoakSize())


@pytest.mark.slow(40)
@pytest.mark.parametrize("seed", [1, 2])
def test_given_up_orders_open_no_zone_and_leave_none_evacuated(seed: int, tmp_path: Path) -> None:
    """Guards against an order that its caller has given up and that takes effect seconds later."""
    result = play(seed, SoakSize(seconds=8.0), tmp_path)
    assert not result.error and not result.broken, result
    assert result.evacuations and result.reads
