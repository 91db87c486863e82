"""Leaders that lose their majority or transfer leadership, and elections that do not disrupt a working core."""

import pytest
from catch_up_fixtures import BusyCore
from core_fixtures import Core, done

from rampfront.consensus import events
from rampfront.consensus.events import OrderKind
from rampfront.consensus.frame_encoder import encode
from rampfront.consensus.messages import VoteRequest
from rampfront.consensus.wire_names import (
    APPEND_ACKNOWLEDGED,
    APPEND_ENTRY,
    HEARTBEAT,
    KIND,
    PRE_VOTE_GRANTED,
    RECEIVER_INCARNATION,
    SENDER_INCARNATION,
    TERM,
    VOTE_GRANTED,
)
from rampfront.simulation.world import MS, SEC


@pytest.mark.parametrize("out", [False, True])
def test_a_leader_cut_off_one_way_steps_down_and_acknowledges_nothing(out):
    core = Core()
    old = core.leader
    others = core.others(old)
    core.cut_links(*(([old], others) if out else (others, [old])), both=False)
    calls = [core.configure(1), core.place_order(old, OrderKind.READ)]
    core.advance(1500 * MS)
    assert not old.core_member.is_leader and not any(map(done, calls))
    core.advance(2 * SEC)
    new = core.leader
    assert (
        new is not old
        and new.core_member.quorum_confirmed_at is not None
        and old.core_member.quorum_confirmed_at is None
    )


def test_a_leader_without_answers_announces_its_end_and_is_followed_sooner():
    core = Core()
    old = core.leader
    core.cut_links(core.others(old), [old], both=False)
    cut_at = core.now
    while old.core_member.is_leader:
        core.advance(10 * MS)
    stepped_down_at = core.now
    while not core.leaders:
        core.advance(10 * MS)
    assert stepped_down_at - cut_at < 1600 * MS and core.now - stepped_down_at < 600 * MS


def test_a_member_that_was_cut_off_does_not_depose_a_working_leader():
    core = Core()
    leader, away = core.leader, core.others(core.leader)[0]
    term = leader.core_member.term
    core.cut_links([away], core.others(away))
    core.advance(10 * SEC)
    core.heal_links()
    core.advance(3 * SEC)
    assert core.leader is leader and leader.core_member.term == term == away.core_member.term


def test_a_new_leader_commits_what_it_found_in_its_own_term_before_it_answers():
    core = Core()
    leader = core.leader
    followers = core.others(leader)
    core.cut_links([leader], followers[1:])
    core.configure(4), core.advance(100 * MS)  # reaches only one follower
    core.stop(leader)
    core.heal_links()
    core.advance(4 * SEC)
    new = core.leader
    assert (
        new is followers[0]
        and new.core_member.committed.revision == 4
        and new.core_member.committed.term == new.core_member.term
    )


def test_a_leader_that_shuts_down_hands_over():
    core = Core()
    old = core.leader
    core.deliver(old, events.Shutdown())
    core.advance(SEC)
    assert core.leader is not old


def test_a_restarted_member_neither_grants_votes_nor_leads_with_an_older_entry():
    """A member with an older entry gets no votes from members with newer ones, and does not become the leader."""
    core = BusyCore(50, members=5)
    node = core.follower(5)
    core.stop(node)
    core.burst(20)
    rest = [other for other in core.nodes if other is not node]
    core.stop(core.leader)
    running = [other for other in rest if other.up]
    core.start(node)
    frames = []
    send = core.send
    core.send = lambda sender, ip, message: (frames.append((sender, message)), send(sender, ip, message))
    core.advance(200 * MS)
    node.core_member.roles.election.start_pre_vote()
    for other in running:
        member = node.core_member
        request = VoteRequest(
            member.roles.persistent.key, other.core_member.incarnation, member.term + 50, member.entry.position
        )
        core.deliver(other, events.MessageReceived(node.ip, encode(request)))
    core.advance(3 * SEC)
    incarnation = node.core_member.incarnation
    granted = [frame for _, frame in frames if frame[KIND] in (PRE_VOTE_GRANTED, VOTE_GRANTED)]
    assert not [frame for frame in granted if frame[SENDER_INCARNATION] and frame[RECEIVER_INCARNATION] == incarnation]
    assert core.leader is not node and core.committed_revision(node) == core.rev


def test_late_frames_of_a_deposed_leader_change_nothing():
    """Frames of an earlier term, from the old leader and its followers, arrive again and must not change any state."""
    core = BusyCore(50)
    old, frames = core.leader, []
    send = core.send
    core.send = lambda sender, ip, message: (frames.append((sender.ip, ip, message)), send(sender, ip, message))
    core.burst(10)
    core.stop(old)
    core.advance(3 * SEC)
    assert core.leader is not old
    core.burst(10)
    core.start(old)
    core.advance(2 * SEC)
    core.send, term = send, core.leader.core_member.term
    stale = [row for row in frames if row[2].get(TERM, 0) < term]
    assert {HEARTBEAT, APPEND_ENTRY, APPEND_ACKNOWLEDGED} <= {message[KIND] for *_, message in stale}

    def member_states():
        return [
            (
                member.term,
                member.roles.persistent.vote,
                member.leader_ip,
                member.roles.election.role,
                member.is_leader,
                member.entry.position,
                member.committed.position,
                member.roles.persistent.durable.entry.position,
            )
            for member in (node.core_member for node in core.nodes)
        ]

    before, confirmed = member_states(), core.leader.core_member.roles.leader.rounds.confirmed
    for src, dst, message in stale:
        core.deliver(core.by_ip[dst], events.MessageReceived(src, message))
    assert member_states() == before and core.leader.core_member.roles.leader.rounds.confirmed == confirmed
    core.advance(2 * SEC)
    assert [row[:1] for row in member_states()] == [row[:1] for row in before] and core.committed_revision(
        old
    ) == core.rev
