"""How members and newcomers find the leader."""

from core_fixtures import Core

from rampfront.consensus import events
from rampfront.simulation.world import MS, SEC, Node


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


def test_a_newcomer_asks_its_contacts_too_and_joins_through_one_of_them():
    """They are places to ask: what a node without a member of its own was told (`CoreDriver.tick`)."""
    core = Core()
    newcomer = Node(5, MS)
    core.nodes.append(newcomer)
    core.by_ip[newcomer.ip] = newcomer
    core.seeds = ["10.9.9.9"]
    core.start(newcomer)
    core.advance(2 * SEC)
    assert newcomer.core_member.entry is None
    newcomer.core_member.learn_contacts(["10.9.9.8", core.others(core.leader)[0].ip])
    core.advance(2 * SEC)
    assert newcomer.core_member.is_member and len(core.leader.core_member.committed.members) == 5


def test_a_lost_member_asks_its_contacts_too():
    core = Core()
    core.configure(1), core.advance(SEC)
    away = core.others(core.leader)[0]
    core.cut_links([away], core.others(away))
    core.seeds = ["10.9.9.9"]
    away.core_member.seeds = core.seeds
    away.core_member.learn_contacts(["10.0.0.99"])
    core.advance(6 * SEC)
    asked = [
        each.ip
        for each in away.core_member.take(core.now + away.offset + 2 * SEC, events.Tick())
        if type(each) is events.SendMessage and each.message["k"] == "seek"
    ]
    assert "10.0.0.99" in asked
