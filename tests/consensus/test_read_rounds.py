"""Reads and the age of a leader's state are based on the heartbeat round that a majority answered."""

from core_fixtures import Core

from rampfront.consensus.events import OrderKind, Outcome
from rampfront.simulation.world import MS, SEC


def test_a_leader_that_was_frozen_answers_nothing_from_its_past():
    core = Core()
    old = core.leader
    core.freeze(old)
    core.advance(5 * SEC)
    core.configure(3), core.advance(SEC)
    old.frozen = False
    read = core.place_order(old, OrderKind.READ)
    assert read.verdict == Outcome.NOT_LEADER and old.core_member.quorum_confirmed_at is None


def test_a_read_waits_for_a_round_that_began_behind_it():
    core = Core()
    leader = core.leader
    core.configure(1), core.advance(SEC)
    core.cut_links([leader], core.others(leader))
    read = core.place_order(leader, OrderKind.READ)
    core.advance(900 * MS)
    assert read.verdict is None  # it still considers itself the leader, but does not answer
    core.advance(SEC)
    assert read.verdict == Outcome.NOT_LEADER


def test_a_confirmation_is_as_old_as_its_heartbeat():
    """A majority's answer confirms the leadership at the time the round was sent, not when the answer arrives.

    Measured from the answer, a lease could extend beyond another leader's acknowledgement.
    """
    core = Core()
    way = 100 * MS
    core.send = lambda node, ip, message: core.at(core.now + way, core.arrive, node.ip, core.by_ip[ip], message)
    core.advance(2 * SEC)
    leader = core.leader
    ages = []
    for _ in range(100):
        core.advance(10 * MS)
        ages.append(core.now - (leader.core_member.quorum_confirmed_at - leader.offset))
    assert 2 * way <= min(ages) <= 3 * way and max(ages) < SEC
