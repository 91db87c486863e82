"""Members that lose their disks rejoin as new incarnations, and no acknowledged state is lost."""

import pytest
from core_fixtures import Core, done, received_frame
from replacement_fixtures import CORE_SIZES, running_core

from rampfront.consensus import events
from rampfront.consensus.identifiers import LogPosition, MemberKey
from rampfront.consensus.messages import Heartbeat, JoinRequest, PreVoteRequest, VoteRequest
from rampfront.consensus.wire_names import JOIN_REQUEST, JOIN_TOKEN, KIND, SENDER_INCARNATION
from rampfront.simulation.world import MS, SEC


def test_two_lost_disks_of_six_make_no_majority_that_forgot():
    core = Core(members=6)
    leader = core.leader
    stale, keep = core.others(leader)[:2], core.others(leader)[2:]
    core.cut_links(stale, core.others(*stale))
    call, _ = core.configure(8), core.advance(SEC)
    assert done(call)
    wiped, holders = keep[:2], [leader, *keep[2:]]
    for node in wiped:
        core.wipe(node)
    for node in holders:
        core.stop(node, power=True)
    core.heal_links()
    for node in wiped:
        core.start(node)
    core.advance(10 * SEC)
    assert not core.leaders  # two without their disks and two without the entry would be four of six
    for node in holders:
        core.start(node)
    core.advance(4 * SEC)
    members = core.leader.core_member.committed.members
    assert core.leader.core_member.committed.revision == 8 and len(members) == 6
    assert all(members[node.name][1] == node.core_member.incarnation for node in wiped)


def test_a_member_that_lost_its_disk_answers_nothing_meant_for_its_former_incarnation():
    core = Core()
    lost = core.others(core.leader)[0]
    before = lost.core_member.incarnation
    core.cut_links([lost], core.others(lost))
    core.wipe(lost)
    core.start(lost)
    core.advance(SEC)
    assert lost.core_member.incarnation != before
    sender, position = MemberKey("x", 1), LogPosition(9, 9)
    for message in (
        VoteRequest(sender, before, 50, position),
        PreVoteRequest(sender, before, 50, position),
        Heartbeat(sender, before, 50, 1, 0),
    ):
        assert lost.core_member.take(core.now + lost.offset, received_frame("10.0.0.9", message)) == []
    assert lost.core_member.term == 0


def test_a_member_that_is_merely_down_stays_a_member():
    core = Core()
    down = core.others(core.leader)[0]
    core.stop(down)
    core.advance(30 * SEC)
    core.configure(1), core.advance(SEC)
    assert down.name in core.leader.core_member.committed.members


def test_a_member_that_lost_its_disk_is_a_member_again_within_a_second():
    core = Core()
    core.configure(2), core.advance(SEC)
    lost = core.others(core.leader)[0]
    core.wipe(lost)
    core.advance(SEC)
    core.start(lost)
    core.advance(SEC)
    assert (
        lost.core_member.committed.revision == 2
        and not core.is_joining(lost)
        and lost.core_member.committed.previous_members is None
    )


def test_a_late_join_request_does_not_remove_a_member():
    core = Core()
    leader, lost = core.leader, core.others(core.leader)[0]
    requests = []
    send = core.send

    def recorded(node, ip, message):
        if message[KIND] == JOIN_REQUEST:
            requests.append(message)
        send(node, ip, message)

    core.send = recorded
    for _ in range(2):
        core.wipe(lost)
        core.start(lost)
        core.advance(2 * SEC)
    requests = [request for request in requests if request[SENDER_INCARNATION] != lost.core_member.incarnation]
    assert any(request[JOIN_TOKEN] == leader.core_member.roles.leader.join_token for request in requests)
    for request in requests:
        core.deliver(leader, events.MessageReceived(lost.ip, request))
    core.advance(SEC)
    assert leader.core_member.committed.members[lost.name][1] == lost.core_member.incarnation


def test_a_forged_join_request_removes_nobody():
    """A join request with the right join token must not replace a member, as nothing is on the new incarnation's disk.

    Members whose removal is committed are covered by `test_excluded_members.py`.
    """
    core = Core()
    leader, out = core.leader, core.others(core.leader)[0]
    before = out.core_member.incarnation
    core.cut_links([out], core.others(out))
    request = JoinRequest(MemberKey(out.name, 77), leader.core_member.roles.leader.join_token)
    core.deliver(leader, received_frame(out.ip, request))
    core.advance(2 * SEC)
    assert leader.core_member.committed.members[out.name][1] == before
    core.heal_links()
    core.advance(10 * SEC)
    assert leader.core_member.committed.members[out.name][1] == out.core_member.incarnation == before


@pytest.mark.parametrize("leader", (True, False))
def test_a_core_of_two_outlives_a_lost_disk(leader):
    """Every commit needed both members, so the remaining one has it, continues alone and adds the new incarnation."""
    core = Core(2)
    core.configure(2), core.advance(SEC)
    lost = core.leader if leader else core.others(core.leader)[0]
    (other,) = core.others(lost)
    core.wipe(lost)
    core.advance(SEC)
    core.start(lost)
    core.advance(4 * SEC)
    assert (
        core.leader is other
        and lost.core_member.committed.revision == 2
        and len(other.core_member.committed.members) == 2
    )
    order = core.configure(3)
    core.advance(SEC)
    assert done(order) and not core.is_joining(lost)


def test_neither_of_two_goes_on_alone_for_a_late_join_request():
    """A member continues alone neither for a single join request, nor with a live leader, nor in a core of three."""
    core = Core(2)
    leader, other = core.leader, core.others(core.leader)[0]
    request = JoinRequest(MemberKey(leader.name, 77), 0)
    for _ in range(20):
        core.deliver(other, received_frame(leader.ip, request)), core.advance(100 * MS)
    assert other.core_member.roles.electorate.sole_voter_position is None and core.leader is leader
    core.stop(leader)
    core.advance(2 * SEC)
    core.deliver(other, received_frame(leader.ip, request))
    core.advance(3 * SEC)
    assert not core.leaders
    core = Core(3)
    lost, gone, left = core.nodes
    core.stop(gone), core.wipe(lost)
    core.advance(2 * SEC)
    core.start(lost)
    core.advance(5 * SEC)
    assert not core.leaders and left.core_member.roles.electorate.sole_voter_position is None


def test_all_killed_at_once_one_of_them_without_its_disk():
    core = Core()
    call = core.configure(6)
    while not done(call):
        core.advance(MS)
    core.wipe(core.leader)
    for node in core.nodes:
        core.stop(node, power=True)
    core.advance(SEC)
    for node in core.nodes:
        core.start(node)
    core.advance(3 * SEC)
    assert core.leader.core_member.committed.revision == 6 and len(core.leader.core_member.committed.members) == 4
    assert all(node.core_member.committed.revision == 6 for node in core.nodes)


@pytest.mark.parametrize("members, survive", CORE_SIZES)
def test_a_lost_disk_is_exchanged_in_one_step(members: int, survive: int) -> None:
    core = running_core(members, survive)
    lost = core.others(core.leader)[0]
    index = core.leader.core_member.committed.index
    core.wipe(lost)
    core.advance(SEC // 2)
    core.start(lost)
    assert core.run_until_full_strength() < SEC
    sizes = {len(seen[-1]) for at, seen in core.safety_checker.states.items() if at >= index}
    assert sizes == {members}


def test_a_machine_that_lost_its_disk_counts_once_towards_the_target_size() -> None:
    core = running_core(4, 1)
    lost = core.others(core.leader, core.nodes[0])[0]
    core.wipe(lost)
    core.start(lost, True)
    core.advance(2 * SEC)
    assert core.is_at_full_strength() and core.leader.core_member.committed.target_size == 4


def test_a_member_that_lost_its_disk_gets_the_whole_version_history() -> None:
    core = Core()
    for number in range(1, 20):
        core.configure(number), core.advance(50 * MS)
    lost = core.others(core.leader)[0]
    core.wipe(lost)
    core.start(lost)
    core.advance(4 * SEC)
    assert lost.core_member.committed.versions.checksum() == core.leader.core_member.committed.versions.checksum()
