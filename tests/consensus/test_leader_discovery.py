"""How members and nodes without a disk find the leader."""

import random

from core_fixtures import Core

from rampfront.consensus import events
from rampfront.consensus.context import MemberSettings
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.member import Member
from rampfront.simulation.world import SEC


def test_other_seeds_do_not_hinder_members_that_know_each_other():
    core = Core()
    core.configure(1), core.advance(SEC)
    for node in core.nodes:
        core.stop(node)
    core.seeds = ["10.9.9.9", "10.9.9.8", "10.9.9.7"]
    for node in core.nodes:
        core.start(node)
    core.advance(3 * SEC)
    assert core.leader.core_member.committed.revision == 1


def test_a_node_without_a_disk_finds_the_leader_and_redirects_orders():
    core = Core()
    settings = MemberSettings("front-9", "10.0.0.9", core.seeds, has_disk=False, is_first_start=True, survive=1)
    core_member = Member(settings, None, random.Random(1), 0)
    queries = [each for each in core_member.take(SEC, events.Tick()) if type(each) is events.SendMessage]
    assert {each.ip for each in queries} == set(core.seeds)
    for each in queries:
        node = core.by_ip[each.ip]
        for reply in node.core_member.take(core.now + node.offset, events.MessageReceived("10.0.0.9", each.message)):
            core_member.take(SEC, events.MessageReceived(each.ip, reply.message))
    (result,) = core_member.take(SEC, events.Order("ref", OrderKind.READ))
    assert (result.outcome, result.leader_ip) == (Outcome.NOT_LEADER, core.leader.ip)
