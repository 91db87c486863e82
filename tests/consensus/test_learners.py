"""Joining members are learners without a vote until they have caught up."""

from core_fixtures import done
from replacement_fixtures import running_core

from rampfront.consensus.core_strength import MemberCondition
from rampfront.simulation.world import MS, SEC


def test_a_newcomer_has_no_vote_before_its_disk_holds_what_the_leader_has() -> None:
    core = running_core(4, 1)
    new = core.new_machine()
    core.start(new)
    while not core.leader.core_member.roles.leader.membership.learners:
        core.advance(MS)
    new.disk.hangs = True
    core.advance(5 * SEC)
    assert new.name not in core.members() and core.leader.core_member.entry.previous_members is None
    report = {row.name: row.condition for row in core.leader.core_member.core_strength(core.now).members}
    assert report.pop(new.name) == MemberCondition.LEARNER and set(report.values()) == {MemberCondition.VOTER}
    new.disk.hangs = False
    core.advance(SEC)
    assert new.name in core.members() and new.core_member.entry.revision == 1


def test_newcomers_with_empty_disks_are_no_part_of_a_majority() -> None:
    """After one of four members is lost, three new machines with full disks must not count towards the majority."""
    core = running_core(4, 1)
    core.lose(core.others(core.leader)[0])
    for _ in range(3):
        new = core.new_machine()
        core.start(new)
        new.disk.full = True
    core.advance(2 * SEC)
    assert len(core.members()) == 4
    core.change(2)


def test_a_learner_keeps_up_with_changes_and_becomes_a_member_among_them() -> None:
    core = running_core(4, 1)
    core.lose(core.others(core.leader)[0])
    new = core.new_machine()
    core.start(new)
    calls = []
    for rev in range(2, 42):
        calls.append(core.configure(rev))
        core.advance(50 * MS)
    assert all(map(done, calls)) and new.name in core.members()


def test_a_second_newcomer_waits_until_a_silent_member_is_out() -> None:
    """With two of five members lost, a sixth would raise the majority to four, and the core would need the new one."""
    core = running_core(4, 1, new_machines=1)
    for node in core.others(core.leader)[:2]:
        core.lose(node)
    core.advance(SEC)
    new = core.new_machine()
    core.start(new)
    while len(core.leader.core_member.entry.members) == 5:
        core.advance(5 * MS)
    assert len(core.leader.core_member.entry.members) == 4
    core.lose(new)
    core.advance(SEC)
    core.change(2)
