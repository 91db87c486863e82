"""Acknowledged orders are on the disks of a majority, and votes survive a kill."""

from core_fixtures import Core, done, received_frame

from rampfront.consensus import events
from rampfront.consensus.events import Outcome
from rampfront.consensus.identifiers import LogPosition, MemberKey
from rampfront.consensus.messages import Heartbeat, VoteRequest
from rampfront.consensus.wire_names import KIND, TERM_REJECTED, VOTE_GRANTED
from rampfront.simulation.world import MS, SEC


def test_acknowledged_means_on_the_disks_of_a_majority():
    core = Core()
    leader = core.leader
    hung = core.others(leader)[:2]
    for node in hung:
        node.disk.hangs = True
    call = core.configure(1)
    core.advance(2 * SEC)
    assert call.verdict is None and leader.core_member.is_leader
    hung[0].disk.hangs = False
    core.advance(SEC // 2)
    assert done(call)


def test_a_leader_whose_disk_is_full_does_not_count_itself():
    core = Core()
    leader = core.leader
    leader.disk.full = True
    first, _ = core.configure(1), core.advance(SEC)
    assert done(first)  # committed by the three other members
    core.stop(core.others(leader)[0])
    second, _ = core.configure(2), core.advance(4 * SEC)
    assert second.verdict == Outcome.UNKNOWN
    leader.disk.full = False
    core.advance(SEC)
    assert core.leader.core_member.committed.revision == 2  # it was sent to the others, so it may be committed


def test_a_failed_store_lets_no_vote_out():
    core = Core()
    voter = core.others(core.leader)[0]
    voter.disk.full = True
    voter.core_member.roles.discovery.forget_leader()
    entry = voter.core_member.entry
    newer = LogPosition(98, entry.index + 1)
    request = VoteRequest(MemberKey("x", 5), voter.core_member.incarnation, 99, newer)
    (store,) = voter.core_member.take(core.now + voter.offset, received_frame("10.0.0.9", request))
    assert voter.core_member.take(core.now + voter.offset, events.RecordStored(store.version, False)) == []
    later = core.now + voter.offset + SEC
    (store,) = [each for each in voter.core_member.take(later, events.Tick()) if type(each) is events.StoreRecord]
    sent = voter.core_member.take(later, events.RecordStored(store.version, True))
    assert [each.message[KIND] for each in sent if type(each) is events.SendMessage] == [VOTE_GRANTED]


def test_a_vote_and_its_term_outlive_a_kill():
    core = Core()
    voter = core.others(core.leader)[0]
    core.cut_links([voter], core.others(voter))
    core.advance(2 * SEC)
    entry = voter.core_member.entry

    def answers(message):
        sent = core.sent = []
        core.send = lambda node, ip, message: sent.append((ip, message[KIND]))
        core.deliver(voter, received_frame("10.0.0.9", message))
        core.advance(50 * MS)
        return [kind for ip, kind in sent if ip == "10.0.0.9"]

    incarnation = voter.core_member.incarnation
    request = VoteRequest(MemberKey("x", 5), incarnation, 99, entry.position)
    assert answers(request) == [VOTE_GRANTED]
    core.stop(voter, power=True)
    core.start(voter)
    assert answers(VoteRequest(MemberKey("y", 6), incarnation, 99, entry.position)) == []
    assert answers(request) == [VOTE_GRANTED]
    assert answers(Heartbeat(MemberKey("z", 7), incarnation, 98, 1, 0)) == [TERM_REJECTED]


def test_a_leader_killed_right_after_its_acknowledgement_is_followed_by_one_that_has_the_entry():
    core = Core()
    call = core.configure(7)
    while not done(call):
        core.advance(MS)
    core.stop(core.leader, power=True)
    core.advance(3 * SEC)
    assert core.leader.core_member.committed.revision == 7
