"""Members that lose their disks: they come back as other incarnations, and no majority forgets."""

import pytest
from core_fixtures import Core, done, frame_of
from replacement_fixtures import SIZES, site

from rampfront.consensus import events
from rampfront.consensus.identifiers import LogPosition, MemberKey
from rampfront.consensus.messages import Heartbeat, JoinRequest, PreVoteRequest, VoteRequest
from rampfront.consensus.wire_names import JOIN_REQUEST, KIND, PASSWORD, SENDER_INCARNATION
from rampfront.simulation.world import MS, SEC


def test_two_lost_disks_of_six_make_no_majority_that_forgot():
    core = Core(members=6)
    leader = core.leader
    stale, keep = core.others(leader)[:2], core.others(leader)[2:]
    core.cut(stale, core.others(*stale))
    call, _ = core.config(8), core.go(SEC)
    assert done(call)
    wiped, holders = keep[:2], [leader, *keep[2:]]
    for node in wiped:
        core.wipe(node)
    for node in holders:
        core.stop(node, power=True)
    core.heal()
    for node in wiped:
        core.start(node)
    core.go(10 * SEC)
    assert not core.leaders  # two that forgot and two that never knew are four of six
    for node in holders:
        core.start(node)
    core.go(4 * SEC)
    members = core.leader.core_member.committed.members
    assert core.leader.core_member.committed.revision == 8 and len(members) == 6
    assert all(members[node.name][1] == node.core_member.incarnation for node in wiped)


def test_a_member_that_lost_its_disk_answers_nothing_meant_for_its_former_incarnation():
    core = Core()
    lost = core.others(core.leader)[0]
    before = lost.core_member.incarnation
    core.cut([lost], core.others(lost))
    core.wipe(lost)
    core.start(lost)
    core.go(SEC)
    assert lost.core_member.incarnation != before
    sender, position = MemberKey("x", 1), LogPosition(9, 9)
    for message in (
        VoteRequest(sender, before, 50, position),
        PreVoteRequest(sender, before, 50, position),
        Heartbeat(sender, before, 50, 1, 0),
    ):
        assert lost.core_member.take(core.now + lost.offset, frame_of("10.0.0.9", message)) == []
    assert lost.core_member.term == 0


def test_a_member_that_is_merely_down_stays_a_member():
    core = Core()
    down = core.others(core.leader)[0]
    core.stop(down)
    core.go(30 * SEC)
    core.config(1), core.go(SEC)
    assert down.name in core.leader.core_member.committed.members


def test_a_member_that_lost_its_disk_is_a_member_again_within_a_second():
    core = Core()
    core.config(2), core.go(SEC)
    lost = core.others(core.leader)[0]
    core.wipe(lost)
    core.go(SEC)
    core.start(lost)
    core.go(SEC)
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
        core.go(2 * SEC)
    requests = [request for request in requests if request[SENDER_INCARNATION] != lost.core_member.incarnation]
    assert any(request[PASSWORD] == leader.core_member.roles.leader.password for request in requests)
    for request in requests:
        core.deliver(leader, events.MessageReceived(lost.ip, request))
    core.go(SEC)
    assert leader.core_member.committed.members[lost.name][1] == lost.core_member.incarnation


def test_a_forged_join_request_removes_nobody():
    """It has the password and another incarnation, but nothing is on its disk. Whoever was removed by agreement comes
    back as another: `test_excluded_members.py`."""
    core = Core()
    leader, out = core.leader, core.others(core.leader)[0]
    before = out.core_member.incarnation
    core.cut([out], core.others(out))
    request = JoinRequest(MemberKey(out.name, 77), leader.core_member.roles.leader.password)
    core.deliver(leader, frame_of(out.ip, request))
    core.go(2 * SEC)
    assert leader.core_member.committed.members[out.name][1] == before
    core.heal()
    core.go(10 * SEC)
    assert leader.core_member.committed.members[out.name][1] == out.core_member.incarnation == before


@pytest.mark.parametrize("leader", (True, False))
def test_a_core_of_two_outlives_a_lost_disk(leader):
    """Nothing is agreed without either, so the other one holds it all: it goes on alone, and takes the new one in."""
    core = Core(2)
    core.config(2), core.go(SEC)
    lost = core.leader if leader else core.others(core.leader)[0]
    (other,) = core.others(lost)
    core.wipe(lost)
    core.go(SEC)
    core.start(lost)
    core.go(4 * SEC)
    assert (
        core.leader is other
        and lost.core_member.committed.revision == 2
        and len(other.core_member.committed.members) == 2
    )
    order = core.config(3)
    core.go(SEC)
    assert done(order) and not core.is_joining(lost)


def test_neither_of_two_goes_on_alone_for_a_late_join_request():
    """Nor while it hears a leader, nor for a silent other one, nor in a core of more."""
    core = Core(2)
    leader, other = core.leader, core.others(core.leader)[0]
    request = JoinRequest(MemberKey(leader.name, 77), 0)
    for _ in range(20):
        core.deliver(other, frame_of(leader.ip, request)), core.go(100 * MS)
    assert other.core_member.roles.electorate.sole_survivor_of is None and core.leader is leader
    core.stop(leader)
    core.go(2 * SEC)
    core.deliver(other, frame_of(leader.ip, request))
    core.go(3 * SEC)
    assert not core.leaders
    core = Core(3)
    lost, gone, left = core.nodes
    core.stop(gone), core.wipe(lost)
    core.go(2 * SEC)
    core.start(lost)
    core.go(5 * SEC)
    assert not core.leaders and left.core_member.roles.electorate.sole_survivor_of is None


def test_all_killed_at_once_one_of_them_without_its_disk():
    core = Core()
    call = core.config(6)
    while not done(call):
        core.go(MS)
    core.wipe(core.leader)
    for node in core.nodes:
        core.stop(node, power=True)
    core.go(SEC)
    for node in core.nodes:
        core.start(node)
    core.go(3 * SEC)
    assert core.leader.core_member.committed.revision == 6 and len(core.leader.core_member.committed.members) == 4
    assert all(node.core_member.committed.revision == 6 for node in core.nodes)


@pytest.mark.parametrize("members, survive", SIZES)
def test_a_lost_disk_is_exchanged_in_one_step(members: int, survive: int) -> None:
    core = site(members, survive)
    lost = core.others(core.leader)[0]
    index = core.leader.core_member.committed.index
    core.wipe(lost)
    core.go(SEC // 2)
    core.start(lost)
    assert core.until_strong() < SEC
    sizes = {len(seen[-1]) for at, seen in core.safety_checker.states.items() if at >= index}
    assert sizes == {members}


def test_a_machine_that_lost_its_disk_counts_once_towards_the_target_size() -> None:
    core = site(4, 1)
    lost = core.others(core.leader, core.nodes[0])[0]
    core.wipe(lost)
    core.start(lost, True)
    core.go(2 * SEC)
    assert core.strong() and core.leader.core_member.committed.target_size == 4


def test_a_member_that_lost_its_disk_gets_the_whole_version_history() -> None:
    core = Core()
    for number in range(1, 20):
        core.config(number), core.go(50 * MS)
    lost = core.others(core.leader)[0]
    core.wipe(lost)
    core.start(lost)
    core.go(4 * SEC)
    assert lost.core_member.committed.versions.checksum() == core.leader.core_member.committed.versions.checksum()
