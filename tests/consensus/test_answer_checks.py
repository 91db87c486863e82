"""Answers are counted only if their term, round, and sender and receiver incarnations match."""

import core_fixtures as consensus
import pytest

from rampfront.consensus import events
from rampfront.consensus.election import Role

MISMATCHES = {"receiver's incarnation": {"j": 1}, "sender's incarnation": {"i": 1}, "sender": {"n": "x"}}


def answers_to(member, name, incarnation, **more):
    """Returns answers to `member` with one wrong field each, by the name of that field, and a correct answer."""
    matching = {"n": name, "i": incarnation, "j": member.incarnation, "t": member.term, **more}
    mismatched = {what: {**matching, **change} for what, change in MISMATCHES.items()}
    mismatched["term"] = {**matching, "t": member.term - 1}
    return mismatched, matching


def test_acknowledgements_count_for_their_round_term_and_incarnation():
    """Answers of another term, from or to another incarnation, or for a round that has not begun are ignored."""
    core = consensus.Core()
    leader = core.leader.core_member
    core.cut_links([core.leader], core.others(core.leader))
    (key, peer), *_ = leader.roles.leader.replication.replicas.items()
    mismatched, matching = answers_to(leader, *key, k="ack", s=leader.roles.leader.rounds.current, e=[99, 99], d=b"")
    mismatched["round"] = {**matching, "s": matching["s"] + 1}
    held = peer.acknowledged_round, peer.match_position
    for what, message in mismatched.items():
        leader.take(leader.roles.context.now, events.MessageReceived(peer.ip, message))
        assert (peer.acknowledged_round, peer.match_position) == held, what
    leader.take(leader.roles.context.now, events.MessageReceived(peer.ip, matching))
    assert peer.match_position == (99, 99)


@pytest.mark.parametrize(("kind", "role", "ahead"), [("may", Role.PRE_CANDIDATE, 1), ("aye", Role.CANDIDATE, 0)])
def test_votes_count_for_their_term_and_candidate(kind, role, ahead):
    """Votes for another term or another incarnation are ignored, and votes of non-members do not make a majority."""
    core = consensus.Core(members=6)
    member = core.others(core.leader)[0].core_member
    others = [(name, inc) for name, (_, inc) in member.entry.members.items() if name != member.name]
    member.roles.election.role, member.roles.election.votes = role, {(member.name, member.incarnation)}
    for name, incarnation in others:
        mismatched, matching = answers_to(member, name, incarnation, k=kind)
        for message in mismatched.values():
            member.take(
                member.roles.context.now, events.MessageReceived("10.0.0.9", {**message, "t": message["t"] + ahead})
            )
    assert member.roles.election.role == role and not {(name, inc) for name, inc in member.roles.election.votes} & set(
        others
    )
    for name, incarnation in others[:3]:
        assert member.roles.election.role == role
        _, matching = answers_to(member, name, incarnation, k=kind)
        member.take(
            member.roles.context.now, events.MessageReceived("10.0.0.9", {**matching, "t": matching["t"] + ahead})
        )
    assert member.roles.election.role != role
