"""Leaders that lose their majority or hand over, and elections that disturb nobody."""

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
    core.cut(*(([old], others) if out else (others, [old])), both=False)
    calls = [core.config(1), core.ask(old, OrderKind.READ)]
    core.go(1500 * MS)
    assert not old.core_member.is_leader and not any(map(done, calls))
    core.go(2 * SEC)
    new = core.leader
    assert (
        new is not old
        and new.core_member.quorum_confirmed_at is not None
        and old.core_member.quorum_confirmed_at is None
    )


def test_a_leader_without_answers_announces_its_end_and_is_followed_sooner():
    core = Core()
    old = core.leader
    core.cut(core.others(old), [old], both=False)
    at = core.now
    while old.core_member.is_leader:
        core.go(10 * MS)
    gave_up = core.now
    while not core.leaders:
        core.go(10 * MS)
    assert gave_up - at < 1600 * MS and core.now - gave_up < 600 * MS


def test_a_member_that_was_cut_off_does_not_depose_a_working_leader():
    core = Core()
    leader, away = core.leader, core.others(core.leader)[0]
    term = leader.core_member.term
    core.cut([away], core.others(away))
    core.go(10 * SEC)
    core.heal()
    core.go(3 * SEC)
    assert core.leader is leader and leader.core_member.term == term == away.core_member.term


def test_a_new_leader_commits_what_it_found_in_its_own_term_before_it_answers():
    core = Core()
    leader = core.leader
    followers = core.others(leader)
    core.cut([leader], followers[1:])
    core.config(4), core.go(100 * MS)  # reaches one follower only
    core.stop(leader)
    core.heal()
    core.go(4 * SEC)
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
    core.go(SEC)
    assert core.leader is not old


def test_a_restarted_member_neither_grants_votes_nor_leads_with_an_older_entry():
    """Alone with members that hold more it asks in vain, and hands its vote to none that holds less than it."""
    core = BusyCore(50, members=5)
    node = core.follower(5)
    core.stop(node)
    core.burst(20)
    rest = [other for other in core.nodes if other is not node]
    core.stop(core.leader)
    up = [other for other in rest if other.up]
    core.start(node)
    told = []
    send = core.send
    core.send = lambda sender, ip, message: (told.append((sender, message)), send(sender, ip, message))
    core.go(200 * MS)
    node.core_member.roles.election.start_pre_vote()
    for other in up:
        member = node.core_member
        request = VoteRequest(
            member.roles.persistent.key, other.core_member.incarnation, member.term + 50, member.entry.position
        )
        core.deliver(other, events.MessageReceived(node.ip, encode(request)))
    core.go(3 * SEC)
    incarnation = node.core_member.incarnation
    granted = [frame for _, frame in told if frame[KIND] in (PRE_VOTE_GRANTED, VOTE_GRANTED)]
    assert not [frame for frame in granted if frame[SENDER_INCARNATION] and frame[RECEIVER_INCARNATION] == incarnation]
    assert core.leader is not node and core.held(node) == core.rev


def test_late_frames_of_a_deposed_leader_change_nothing():
    """All that it and its followers said in its term comes again behind a new leader's changes: nothing moves."""
    core = BusyCore(50)
    old, kept = core.leader, []
    send = core.send
    core.send = lambda sender, ip, message: (kept.append((sender.ip, ip, message)), send(sender, ip, message))
    core.burst(10)
    core.stop(old)
    core.go(3 * SEC)
    assert core.leader is not old
    core.burst(10)
    core.start(old)
    core.go(2 * SEC)
    core.send, term = send, core.leader.core_member.term
    stale = [row for row in kept if row[2].get(TERM, 0) < term]
    assert {HEARTBEAT, APPEND_ENTRY, APPEND_ACKNOWLEDGED} <= {message[KIND] for *_, message in stale}

    def standing():
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

    before, confirmed = standing(), core.leader.core_member.roles.leader.rounds.confirmed
    for src, dst, message in stale:
        core.deliver(core.by_ip[dst], events.MessageReceived(src, message))
    assert standing() == before and core.leader.core_member.roles.leader.rounds.confirmed == confirmed
    core.go(2 * SEC)
    assert [row[:1] for row in standing()] == [row[:1] for row in before] and core.held(old) == core.rev
