"""Orderly shutdown of members: leadership transfer, and replacement while they still answer."""

import pytest
from core_fixtures import done, received_frame
from replacement_fixtures import CATCH_UP, CORE_SIZES, running_core

from rampfront.consensus import events
from rampfront.consensus.events import Outcome
from rampfront.consensus.identifiers import MemberAddress, MemberKey
from rampfront.consensus.membership_change import UNRESPONSIVE_NS, MembershipChange, MembershipView
from rampfront.consensus.messages import VoteRequest
from rampfront.consensus.replica_progress import ReplicaProgress
from rampfront.consensus.state import State
from rampfront.simulation.world import MS, SEC


@pytest.mark.parametrize("members, survive", CORE_SIZES)
@pytest.mark.parametrize("leads", [False, True])
def test_a_planned_replacement_is_through_while_the_old_one_still_answers(
    members: int, survive: int, leads: bool
) -> None:
    core = running_core(members, survive, new_machines=1)
    assert len(core.members()) == members + 1
    old = core.leader if leads else core.others(core.leader)[0]
    core.deliver(old, events.Shutdown())
    core.advance(SEC)
    assert old.name not in core.members() and old.up
    core.lose(old)
    core.advance(SEC)
    assert core.is_at_full_strength()
    core.check_survives_losses(survive, 2)


def test_two_shut_down_at_the_same_time_behind_two_newcomers() -> None:
    core = running_core(4, 1, new_machines=2)
    leaving = [core.leader, core.others(core.leader)[0]]
    for node in leaving:
        core.deliver(node, events.Shutdown())
    core.advance(1500 * MS)
    assert not core.members().keys() & {node.name for node in leaving}
    for node in leaving:
        core.lose(node)
    core.advance(CATCH_UP)
    core.check_survives_losses(1, 2)


def test_a_member_that_shuts_down_is_needed_until_silent_ones_are_removed() -> None:
    core = running_core(4, 1, new_machines=1)
    leaving, first, second, _ = core.others(core.leader)
    core.lose(first)
    core.lose(second)
    core.advance(SEC)
    core.deliver(leaving, events.Shutdown())
    core.advance(3 * SEC)
    assert leaving.name in core.members()
    core.change(2)


def test_a_member_that_shuts_down_stays_while_one_more_loss_would_end_the_majority() -> None:
    """A departing member must not be removed while one more loss would end the majority.

    Found by schedules 100161 (4 members) and 200198 (6 members): the departing member returns with its disk, a silent
    member does not, and a new member loses its disk shortly after.
    """
    now = 10 * SEC
    members = {name: MemberAddress(f"10.0.0.{at}", at) for at, name in enumerate("abcde", 1)}
    change = MembershipChange(MemberKey("a", 1), term=3, survive=1)
    replicas = {
        MemberKey(name, place.incarnation): ReplicaProgress(place.ip) for name, place in members.items() if name != "a"
    }
    for replica in replicas.values():
        replica.last_contact_at = now
    replicas["e", 5].is_shutting_down = True
    state = State(7, 3, members=members, target_size=4)
    replicas["d", 4].last_contact_at = now - UNRESPONSIVE_NS - 1
    assert change.removal(MembershipView(state, replicas, now, 0)) is None
    replicas["d", 4].last_contact_at = now
    step = change.removal(MembershipView(state, replicas, now, 0))
    assert step is not None and step.members.keys() == set("abcd")


@pytest.mark.parametrize("pause", [0, 5, 15, 30, 60, 120, 400])
def test_a_leader_killed_while_it_shuts_down(pause: int) -> None:
    core = running_core(4, 1, new_machines=1)
    old = core.leader
    core.deliver(old, events.Shutdown())
    core.advance(pause * MS)
    core.lose(old)
    core.check_recovery(1)


def test_a_leader_that_shuts_down_in_a_partition() -> None:
    core = running_core(4, 1, new_machines=1)
    old = core.leader
    core.cut_links([old], core.others(old))
    core.deliver(old, events.Shutdown())
    core.advance(SEC)
    core.lose(old)
    core.heal_links()
    core.check_recovery(1)


@pytest.mark.parametrize("members, survive", CORE_SIZES)
def test_all_restarted_one_by_one_stay_who_they_are(members: int, survive: int) -> None:
    core = running_core(members, survive)
    before = core.members()
    for node in core.nodes:
        core.deliver(node, events.Shutdown())
        core.advance(3 * SEC)
        core.stop(node)
        core.advance(SEC)
        core.start(node)
        core.advance(SEC)
        assert len(core.leaders) == 1
    core.advance(SEC)
    assert core.members() == before and core.is_at_full_strength()


@pytest.mark.parametrize("seed", range(1, 11))
def test_leadership_transfer_needs_no_timeout(seed: int) -> None:
    core = running_core(4, 1, seed)
    old = core.leader
    core.deliver(old, events.Shutdown())
    began = core.now
    while not any(node is not old and node.core_member.quorum_confirmed_at for node in core.leaders):
        core.advance(5 * MS)
    assert (
        core.now - began < 200 * MS
    )  # five messages of up to 21 ms each, and stores; an election timeout would add 20 to 300 ms
    assert core.leader.core_member.committed.revision == 1


def test_only_the_named_successor_gets_votes_while_a_leader_is_live() -> None:
    core = running_core(4, 1)
    voter = core.others(core.leader)[0]
    entry, term = voter.core_member.entry, voter.core_member.term
    request = VoteRequest(MemberKey("x", 5), voter.core_member.incarnation, term + 1, entry.position)
    voter.core_member.take(core.now + voter.offset, received_frame("10.0.0.9", request))
    assert voter.core_member.term == term
    voter.core_member.take(
        core.now + voter.offset, received_frame("10.0.0.9", request._replace(is_named_successor=True))
    )
    assert voter.core_member.term == term + 1 and voter.core_member.roles.persistent.vote == ("x", 5)


def test_a_leader_that_shuts_down_commits_what_it_began() -> None:
    core = running_core(4, 1)
    old = core.leader
    call = core.configure(2)
    core.deliver(old, events.Shutdown())
    late = core.configure(3, old)
    assert late.verdict == Outcome.NOT_LEADER
    core.advance(SEC)
    assert done(call) and core.leader.core_member.committed.revision == 2


def test_the_most_caught_up_member_is_the_successor() -> None:
    core = running_core(4, 1)
    old = core.leader
    behind, *rest = core.others(old)
    behind.disk.hangs = True
    call = core.configure(2)
    core.advance(200 * MS)
    assert done(call)
    core.deliver(old, events.Shutdown())
    core.advance(200 * MS)
    assert core.leader in rest
