"""Replacement of permanently lost machines: the core is back at full strength in time."""

from statistics import median

import pytest
from replacement_fixtures import CATCH_UP, CORE_SIZES, ReplaceableCore, running_core

from rampfront.consensus import events
from rampfront.simulation.world import MS, SEC


@pytest.mark.parametrize("members, survive", CORE_SIZES)
@pytest.mark.parametrize("leads", [False, True])
def test_full_strength_is_back_well_within_the_time_to_catch_up(members: int, survive: int, leads: bool) -> None:
    core = running_core(members, survive)
    core.replace(core.leader if leads else core.others(core.leader)[0])
    assert core.run_until_full_strength() < CATCH_UP - SEC // 2
    assert len(core.members()) == members
    core.check_survives_losses(survive, 2)


@pytest.mark.parametrize("members, survive", CORE_SIZES)
def test_every_machine_may_be_replaced_one_after_the_other(members: int, survive: int) -> None:
    core = running_core(members, survive)
    for turn, node in enumerate(list(core.nodes)):
        core.replace(node)
        core.advance(CATCH_UP)
        assert core.is_at_full_strength()
        core.check_survives_losses(survive, 10 * turn + 2)
        core.advance(CATCH_UP)
    assert not core.members().keys() & {f"front-{number}" for number in range(1, members + 1)}


@pytest.mark.parametrize("members, survive", [(3, 1), (5, 2)])
@pytest.mark.parametrize("planned", [False, True])
def test_in_a_core_of_odd_size_a_successor_takes_the_place_of_the_one_that_goes(
    members: int, survive: int, planned: bool
) -> None:
    """The new machine must replace the old one in one step.

    An additional member would raise the majority, and the new machine's disk may be lost right after it was added.
    """
    core = running_core(members, survive)
    gone = core.others(core.leader)[0]
    successor = core.new_machine()
    if planned:
        core.start(successor)
        core.advance(SEC)
        core.deliver(gone, events.Shutdown())
    else:
        core.lose(gone)
        core.advance(SEC)
        core.start(successor)
    while successor.name not in core.members():
        assert len(core.members()) == members
        core.advance(10 * MS)
    assert len(core.members()) == members and gone.name not in core.members()
    if planned:
        core.lose(gone)
    for node in core.nodes:
        core.stop(node, power=True)
    core.wipe(successor)
    for node in core.nodes:
        core.start(node)
    core.advance(3 * SEC)
    core.change(2)


@pytest.mark.parametrize("members", [6, 8])
def test_two_are_replaced_at_once(members: int) -> None:
    core = running_core(members, 2)
    gone = [core.leader, core.others(core.leader)[0]]
    for node in gone:
        core.lose(node)
    core.advance(SEC)
    for _ in gone:
        core.start(core.new_machine())
    core.check_recovery(2)


def test_the_founder_is_lost_early() -> None:
    core = ReplaceableCore(4, 1, start=False)
    for node in core.nodes:
        core.start(node, True)
    while not core.leaders or len(core.members()) < 4:
        core.advance(10 * MS)
    core.replace(core.nodes[0])
    assert core.run_until_full_strength() < CATCH_UP and core.leader.core_member.committed.target_size == 4
    core.check_survives_losses(1, 2)


def test_a_successor_at_the_address_of_the_machine_that_went() -> None:
    core = running_core(4, 1)
    gone = core.others(core.leader)[0]
    core.lose(gone)
    core.advance(SEC)
    core.start(core.new_machine(gone.ip))
    core.check_recovery(1)


def test_without_a_successor_no_member_is_removed() -> None:
    core = running_core(4, 1)
    before = core.members()
    away = core.others(core.leader)[0]
    core.cut_links([away], core.others(away))
    core.advance(20 * SEC)
    assert core.members() == before
    core.heal_links()
    core.advance(SEC)
    assert core.members() == before and core.is_at_full_strength()


def test_a_successor_that_comes_late_takes_the_place_at_once() -> None:
    core = running_core(4, 1)
    core.lose(core.others(core.leader)[0])
    core.advance(30 * SEC)
    core.start(core.new_machine())
    assert core.run_until_full_strength() < SEC
    core.check_survives_losses(1, 2)


def test_a_replacement_while_another_member_is_cut_off() -> None:
    core = running_core(6, 2)
    away = core.others(core.leader)[-1]
    core.cut_links([away], core.others(away))
    core.advance(SEC)
    gone = core.leader
    core.lose(gone)
    core.advance(SEC)
    new = core.new_machine()
    core.cut_links([away], [new])
    core.start(new)
    core.advance(CATCH_UP)
    core.change(2)
    core.heal_links()
    assert core.run_until_full_strength() < CATCH_UP
    core.check_survives_losses(2, 3)


def test_a_newcomer_that_dies_again_is_replaced_too() -> None:
    core = running_core(4, 1)
    core.lose(core.others(core.leader)[0])
    core.advance(SEC)
    first = core.new_machine()
    core.start(first)
    core.advance(300 * MS)
    core.lose(first)
    core.advance(SEC)
    core.start(core.new_machine())
    core.check_recovery(1)


def test_a_leader_lost_in_the_middle_of_a_change_of_members() -> None:
    for pause in range(0, 300, 12):
        core = running_core(6, 2)
        gone = core.others(core.leader)[0]
        core.lose(gone)
        core.advance(SEC)
        core.start(core.new_machine())
        core.advance(pause * MS)
        core.lose(core.leader)
        core.advance(SEC)
        core.start(core.new_machine())
        assert core.run_until_full_strength() < CATCH_UP + SEC
        core.check_survives_losses(2, 2)


def test_times_until_full_strength() -> None:
    """Prints the median and maximum times of twenty seeds from the start of the new machine; checks the maximum."""
    for planned in (False, True):
        times = []
        for seed in range(1, 21):
            core = running_core(4, 1, seed)
            old = core.leader if seed % 2 else core.others(core.leader)[0]
            if planned:
                core.start(core.new_machine())
                began = core.now
                core.advance(SEC)
                core.deliver(old, events.Shutdown())
                while old.name in (core.members() if len(core.leaders) == 1 else {old.name}):
                    core.advance(10 * MS)
            else:
                core.replace(old)
                began = core.now
                core.run_until_full_strength()
            times.append(core.now - began)
        print("planned" if planned else "plain", median(times) / SEC, max(times) / SEC)
        assert max(times) < CATCH_UP - SEC // 2
