"""Machines that are gone for good, and their successors: full strength is back in time."""

from statistics import median

import pytest
from replacement_fixtures import CATCH_UP, SIZES, Site, site

from rampfront.consensus import events
from rampfront.simulation.world import MS, SEC


@pytest.mark.parametrize("members, survive", SIZES)
@pytest.mark.parametrize("leads", [False, True])
def test_full_strength_is_back_well_within_the_time_to_catch_up(members: int, survive: int, leads: bool) -> None:
    core = site(members, survive)
    core.replace(core.leader if leads else core.others(core.leader)[0])
    assert core.until_strong() < CATCH_UP - SEC // 2
    assert len(core.members()) == members
    core.strike(survive, 2)


@pytest.mark.parametrize("members, survive", SIZES)
def test_every_machine_may_be_replaced_one_after_the_other(members: int, survive: int) -> None:
    core = site(members, survive)
    for turn, node in enumerate(list(core.nodes)):
        core.replace(node)
        core.go(CATCH_UP)
        assert core.strong()
        core.strike(survive, 10 * turn + 2)
        core.go(CATCH_UP)
    assert not core.members().keys() & {f"front-{number}" for number in range(1, members + 1)}


@pytest.mark.parametrize("members, survive", [(3, 1), (5, 2)])
@pytest.mark.parametrize("planned", [False, True])
def test_in_a_core_of_odd_size_a_successor_takes_the_place_of_the_one_that_goes(
    members: int, survive: int, planned: bool
) -> None:
    """One more in the list would raise what a majority takes, and the successor's disk may be lost at once."""
    core = site(members, survive)
    gone = core.others(core.leader)[0]
    successor = core.newcomer()
    if planned:
        core.start(successor)
        core.go(SEC)
        core.deliver(gone, events.Shutdown())
    else:
        core.lose(gone)
        core.go(SEC)
        core.start(successor)
    while successor.name not in core.members():
        assert len(core.members()) == members
        core.go(10 * MS)
    assert len(core.members()) == members and gone.name not in core.members()
    if planned:
        core.lose(gone)
    for node in core.nodes:
        core.stop(node, power=True)
    core.wipe(successor)
    for node in core.nodes:
        core.start(node)
    core.go(3 * SEC)
    core.change(2)


@pytest.mark.parametrize("members", [6, 8])
def test_two_are_replaced_at_once(members: int) -> None:
    core = site(members, 2)
    gone = [core.leader, core.others(core.leader)[0]]
    for node in gone:
        core.lose(node)
    core.go(SEC)
    for _ in gone:
        core.start(core.newcomer())
    core.recovers(2)


def test_the_founder_is_lost_early() -> None:
    core = Site(4, 1, start=False)
    for node in core.nodes:
        core.start(node, True)
    while not core.leaders or len(core.members()) < 4:
        core.go(10 * MS)
    core.replace(core.nodes[0])
    assert core.until_strong() < CATCH_UP and core.leader.core_member.committed.target_size == 4
    core.strike(1, 2)


def test_a_successor_at_the_address_of_the_machine_that_went() -> None:
    core = site(4, 1)
    gone = core.others(core.leader)[0]
    core.lose(gone)
    core.go(SEC)
    core.start(core.newcomer(gone.ip))
    core.recovers(1)


def test_without_a_successor_no_member_is_removed() -> None:
    core = site(4, 1)
    before = core.members()
    away = core.others(core.leader)[0]
    core.cut([away], core.others(away))
    core.go(20 * SEC)
    assert core.members() == before
    core.heal()
    core.go(SEC)
    assert core.members() == before and core.strong()


def test_a_successor_that_comes_late_takes_the_place_at_once() -> None:
    core = site(4, 1)
    core.lose(core.others(core.leader)[0])
    core.go(30 * SEC)
    core.start(core.newcomer())
    assert core.until_strong() < SEC
    core.strike(1, 2)


def test_a_replacement_while_another_member_is_cut_off() -> None:
    core = site(6, 2)
    away = core.others(core.leader)[-1]
    core.cut([away], core.others(away))
    core.go(SEC)
    gone = core.leader
    core.lose(gone)
    core.go(SEC)
    new = core.newcomer()
    core.cut([away], [new])
    core.start(new)
    core.go(CATCH_UP)
    core.change(2)
    core.heal()
    assert core.until_strong() < CATCH_UP
    core.strike(2, 3)


def test_a_newcomer_that_dies_again_is_replaced_too() -> None:
    core = site(4, 1)
    core.lose(core.others(core.leader)[0])
    core.go(SEC)
    first = core.newcomer()
    core.start(first)
    core.go(300 * MS)
    core.lose(first)
    core.go(SEC)
    core.start(core.newcomer())
    core.recovers(1)


def test_a_leader_lost_in_the_middle_of_a_change_of_members() -> None:
    for pause in range(0, 300, 12):
        core = site(6, 2)
        gone = core.others(core.leader)[0]
        core.lose(gone)
        core.go(SEC)
        core.start(core.newcomer())
        core.go(pause * MS)
        core.lose(core.leader)
        core.go(SEC)
        core.start(core.newcomer())
        assert core.until_strong() < CATCH_UP + SEC
        core.strike(2, 2)


def test_times_until_full_strength() -> None:
    """Median and worst of twenty seeds, from the start of the successor."""
    for planned in (False, True):
        times = []
        for seed in range(1, 21):
            core = site(4, 1, seed)
            old = core.leader if seed % 2 else core.others(core.leader)[0]
            if planned:
                core.start(core.newcomer())
                began = core.now
                core.go(SEC)
                core.deliver(old, events.Shutdown())
                while old.name in (core.members() if len(core.leaders) == 1 else {old.name}):
                    core.go(10 * MS)
            else:
                core.replace(old)
                began = core.now
                core.until_strong()
            times.append(core.now - began)
        print("planned" if planned else "plain", median(times) / SEC, max(times) / SEC)
        assert max(times) < CATCH_UP - SEC // 2
