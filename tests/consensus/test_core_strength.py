"""The leader's status report on its core."""

from replacement_fixtures import running_core

from rampfront.consensus.core_strength import MemberCondition, MemberStatus
from rampfront.simulation.world import MS, SEC


def test_the_leader_tells_the_condition_of_each_member_and_since_when_the_core_is_at_full_strength() -> None:
    core = running_core(4, 1)

    def report() -> list[MemberStatus]:
        return core.leader.core_member.core_strength(core.now).members

    assert {row.condition for row in report()} == {MemberCondition.VOTER} and core.is_at_full_strength()
    gone = core.others(core.leader)[0]
    core.lose(gone)
    core.advance(2 * SEC)
    assert {row.name: row.condition for row in report()}[gone.name] == MemberCondition.SILENT
    assert core.leader.core_member.roles.leader.strength_monitor.full_since is None
    core.start(core.new_machine())
    seen = set()
    while not core.is_at_full_strength():
        core.advance(5 * MS)
        seen |= {row.condition for row in report() if row.name == gone.name}
    assert MemberCondition.REPLACED in seen
    since = core.leader.core_member.roles.leader.strength_monitor.full_since
    core.advance(SEC)
    assert core.leader.core_member.roles.leader.strength_monitor.full_since == since
