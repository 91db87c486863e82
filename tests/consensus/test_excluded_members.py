"""Members that were removed while partitioned rejoin as new incarnations."""

import pytest
from core_fixtures import received_frame
from replacement_fixtures import CATCH_UP, CORE_SIZES, remove_while_partitioned, running_core

from rampfront.consensus import events
from rampfront.consensus.identifiers import MemberKey
from rampfront.consensus.messages import LeaderHint, LeaderQuery
from rampfront.consensus.wire_names import IS_EXCLUDED
from rampfront.simulation.world import MS, SEC


@pytest.mark.parametrize("members, survive", CORE_SIZES)
def test_a_member_removed_while_cut_off_is_soon_back_as_another_incarnation(members: int, survive: int) -> None:
    core = running_core(members, survive)
    away, before = remove_while_partitioned(core)
    core.advance(12 * SEC)
    core.heal_links()
    assert core.run_until_full_strength() < 2500 * MS
    assert core.members()[away.name] == away.core_member.incarnation != before
    core.check_survives_losses(survive, 2)


@pytest.mark.parametrize("members, survive", CORE_SIZES)
def test_a_newcomer_removed_before_it_knew_that_it_was_a_member_is_back_as_another(members: int, survive: int) -> None:
    """A new member that was removed before it learned that it was added must rejoin under a new incarnation.

    Found by schedule 600361 with 6 members: it kept asking to join under the removed incarnation.
    """
    core = running_core(members, survive)
    new = core.new_machine()
    core.start(new)
    while new.name not in core.leader.core_member.entry.members:
        core.advance(MS)
    core.cut_links([new], core.others(new))
    core.advance(4 * SEC)
    assert new.name not in core.members() and not new.core_member.roles.persistent.is_member()
    core.heal_links()
    assert core.run_until_full_strength() < 2500 * MS
    core.check_survives_losses(survive, 2)


def test_a_member_away_while_all_others_were_replaced_is_led_back_by_the_seeds() -> None:
    core = running_core(4, 1)
    away = core.others(core.leader)[0]
    before = away.core_member.incarnation
    core.stop(away)
    for node in core.others(away):
        core.start(core.new_machine())
        core.advance(CATCH_UP)
        core.deliver(node, events.Shutdown())
        core.advance(SEC)
        core.lose(node)
        core.advance(CATCH_UP)
    core.seeds = ["10.9.9.9", core.others(core.leader)[-1].ip]
    core.start(away)
    assert core.run_until_full_strength() < CATCH_UP
    assert core.members()[away.name] not in (before, 0)


def test_a_member_elected_while_it_is_removed_steps_down_and_comes_back() -> None:
    core = running_core(4, 1, new_machines=1)
    old, out = core.leader, core.others(core.leader)[0]
    before = out.core_member.incarnation
    core.deliver(out, events.Shutdown())
    while (
        out.name in out.core_member.entry.members
        or out.core_member.roles.persistent.durable.entry is not out.core_member.entry
    ):
        core.advance(MS)
    for node in (old, out):
        core.stop(node)
    core.start(out)
    out.core_member.roles.election.become_candidate()
    core.deliver(out, events.Tick())
    core.advance(3 * SEC)
    core.start(old)
    assert out.life in {life for _, (name, life) in core.safety_checker.leaders.items() if name == out.name}
    assert core.run_until_full_strength() < CATCH_UP and core.members()[out.name] != before


def test_an_exclusion_counts_only_for_the_incarnation_it_names() -> None:
    core = running_core(4, 1)
    away = core.others(core.leader)[0]
    core.cut_links([away], core.others(away))
    core.advance(2 * SEC)
    incarnation, term = away.core_member.incarnation, away.core_member.term
    hint = LeaderHint(term, core.leader.ip, [], 1, True, incarnation + 1)
    core.deliver(away, received_frame(core.leader.ip, hint))
    assert away.core_member.incarnation == incarnation


def test_a_leader_excludes_nobody_before_that_is_committed() -> None:
    core = running_core(4, 1, new_machines=1)
    leader, away = core.leader, core.others(core.leader)[0]
    incarnation = away.core_member.incarnation
    core.cut_links([away], core.others(away))
    for node in core.others(leader, away):
        node.disk.hangs = True
    core.advance(3 * SEC)
    assert away.name not in leader.core_member.entry.members and away.name in core.members()
    query = LeaderQuery(MemberKey(away.name, incarnation))
    sent = leader.core_member.take(core.now + leader.offset, received_frame(away.ip, query))
    assert [each.message[IS_EXCLUDED] for each in sent if type(each) is events.SendMessage and each.ip == away.ip] == [
        0
    ]
