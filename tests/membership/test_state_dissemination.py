"""Tests of how states reach every node under network faults."""

import pytest
from fake_fleet import SEC, FakeFleet, heartbeat_frame

from rampfront.membership.leadership import CoreStatus
from rampfront.membership.roster import RosterEntry
from rampfront.membership.versions import VERSIONS_PER_TERM
from rampfront.simulation.fleet_growth import FleetModel


def ages(fleet, *but):
    return [
        (fleet.now - m.disseminator.confirmed_at_ns) / SEC
        for k, m in enumerate(fleet.hosts.values(), 1)
        if k not in but and m.disseminator.confirmed_at_ns is not None
    ]


def test_every_node_learns_the_state_from_the_seeds():
    """All nodes, which know only the seeds, soon have the state; after that the lease's age stays about an interval."""
    fleet = FakeFleet(12)
    fleet.lead(3)
    fleet.run(1500)
    assert len(ages(fleet)) == 12 and all(
        fleet[k].state_index == 1 and fleet[k].leader == "10.0.0.3" for k in range(1, 13)
    )
    for _ in range(20):
        fleet.run(500)
        assert max(ages(fleet)) < 1.5
    assert all(len(fleet[k].roster) == 12 for k in range(1, 13))


def test_changes_are_pushed_at_once_and_once():
    """Each node is sent a change once, before the next heartbeat; the next heartbeat recovers a push that was lost."""
    fleet = FakeFleet(8)
    fleet.lead(1)
    fleet.run(5000)
    fleet.silent.add("10.0.0.8")
    fleet[1].state_index, fleet[1].endpoints_version = 2, 1
    fleet[1].push_updates(fleet.now)
    fleet[1].push_updates(fleet.now)
    fleet.run(10)
    assert all((fleet[k].state_index, fleet[k].endpoints_version) == (2, 1) for k in range(1, 8))
    # Each received the first state, then the two changes.
    assert [len(m.received) for m in list(fleet.hosts.values())[1:7]] == [3] * 6
    fleet.silent.clear()
    fleet.run(1300)
    assert (fleet[8].state_index, fleet[8].endpoints_version) == (2, 1)


@pytest.mark.parametrize("seed", range(6))
def test_versions_never_go_backwards(seed):
    """Responses come late, out of order, repeated or not at all, and a deposed leader may be unaware of it. Versions
    must never decrease, and the age must be true: the node holds everything that a majority had committed by then.
    """
    fleet = FakeFleet(6, seed)
    fleet.unreliable = True
    fleet.lead(1)
    versions = {}

    def check():
        for ip, host in fleet.hosts.items():
            node = host.disseminator
            now = node.state_index, node.endpoints_version, node.roster_version
            assert all(new >= old for new, old in zip(now, versions.get(ip, now), strict=True))
            if node.confirmed_at_ns is not None:
                # The node holds everything committed by then, so it uses no key that was revoked before.
                assert node.confirmed_at_ns <= fleet.quorum_at and node.state_index >= fleet.committed_index_at(
                    node.confirmed_at_ns
                )
            versions[ip] = now

    for step in range(1, 40):
        fleet.has_quorum = step % 5 > 1
        node = fleet[fleet.leader]
        node.state_index, node.endpoints_version = (
            node.state_index + 1,
            max(node.endpoints_version + 1, fleet.term * VERSIONS_PER_TERM + 1),
        )
        node.push_updates(fleet.now)
        fleet.run(1000, check)
        if step == 20:  # a new leader; the old one has lost its majority, and still sends its versions
            fleet.lead(2, index=fleet[1].state_index + 1, term=2)
            fleet[2].endpoints_version = 2 * VERSIONS_PER_TERM
        if step == 30:
            fleet[1].set_leadership(CoreStatus(False, None, 2, None), fleet.now)
    fleet.unreliable, fleet.has_quorum = False, True
    fleet.run(6000)
    assert all(
        fleet[k].state_index == fleet[2].state_index
        and fleet[k].roster_version == fleet[2].roster_version > 2 * VERSIONS_PER_TERM
        for k in range(1, 7)
    )


def test_a_node_cut_off_from_the_leader_learns_through_peers():
    """The lease's age and changes arrive through other nodes, a little later."""
    fleet = FakeFleet(8)
    fleet.lead(1)
    fleet.run(3000)
    fleet.partitions.add(("10.0.0.1", "10.0.0.8"))
    ages = []
    for step in range(2, 8):
        fleet.run(2500, lambda: ages.append((fleet.now - fleet[8].confirmed_at_ns) / SEC))
        fleet[1].state_index = step
        fleet[1].push_updates(fleet.now)
    fleet.run(2500)
    assert fleet[8].state_index == 7 and max(ages) < 2.5
    fleet.silent.add("10.0.0.8")  # isolated from all nodes, so its lease must age
    at = fleet[8].confirmed_at_ns
    fleet.run(5000)
    assert fleet[8].confirmed_at_ns == at
    fleet.silent.clear()
    fleet.partitions.clear()
    fleet.run(500)  # reconnected, it asks at once instead of at the next heartbeat
    assert fleet.now - fleet[8].confirmed_at_ns < SEC


def test_a_node_without_peers_asks_nobody():
    """A node that knows no other node sends nothing, and keeps running."""
    fleet = FakeFleet(1)
    fleet.leader = None
    fleet[1].set_seeds(["10.0.0.1"])
    fleet.run(1000)
    fleet[1].set_seeds([])
    fleet.run(1000)
    assert not fleet.frame_number and fleet[1].confirmed_at_ns is None


def test_a_fleet_with_datagram_loss_converges():
    """Real frames: bodies, lists and rosters converge after quick changes although a tenth of all datagrams is lost."""
    model = FleetModel(24, 3, loss=0.1)
    model.run(300)
    model.publish_endpoints(model.endpoints)
    assert model.run_until(model.complete_rosters(), 6000)[1]
    for act in (
        FleetModel.change_weight,
        FleetModel.change_one_server,
        FleetModel.add_routes,
        FleetModel.replace_fifth,
        FleetModel.evacuate_zone,
        FleetModel.change_one_server,
        FleetModel.change_weight,
    ):
        act(model)
        model.run(70)
    model.run(2500)
    leader = model.leader
    for node in model.nodes.values():
        assert node.state.body == leader.state.body and node.state.evacuated_zones == leader.state.evacuated_zones
        assert (
            node.servers.endpoints == leader.servers.endpoints
            and node.disseminator.roster == leader.disseminator.roster
        )
        assert node.clock() - node.disseminator.confirmed_at_ns < 2 * SEC


def test_what_an_earlier_process_stored_is_not_passed_on():
    """A member of the core without a response since its start names the leader that it knows, and passes on nothing
    else. Its stored data may be outdated.
    """
    fleet = FakeFleet(3)
    fleet.lead(1, index=300)
    node = fleet[2]
    node.state_index, node.endpoints_version, node.roster_replica.version = 5, 5, 5
    node.roster_replica.entries = (RosterEntry("n2", "10.0.0.2", "a1", "", True),)
    sent = fleet.record_frames()
    node.on_heartbeat("10.0.0.3", heartbeat_frame(fleet[3], fleet.now), fleet.now)
    assert [set(frame.message) & set("SVOa") for frame in sent] == [set()]
    fleet.run(3000)
    assert fleet[3].state_index == 300 and node.state_index == 300
    sent = fleet.record_frames()
    node.on_heartbeat("10.0.0.3", heartbeat_frame(fleet[3], fleet.now) | {"i": 0, "s": 0, "o": 0}, fleet.now)
    assert set("Sa") <= set(sent[-1].message)
