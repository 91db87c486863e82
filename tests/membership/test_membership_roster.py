"""Tests of the roster's entries, and of its replication to every node."""

import pytest
from fake_fleet import MS, FakeFleet, heartbeat_frame, names

from rampfront.membership.heartbeats import HEARTBEAT_INTERVAL_NS
from rampfront.membership.leadership import CoreStatus
from rampfront.membership.peers import PEER_TIMEOUT_NS
from rampfront.membership.versions import VERSIONS_PER_TERM


def test_silent_nodes_leave_the_roster_and_return():
    """A node leaves not after its first lost heartbeat but soon after, and is added again when it returns."""
    fleet = FakeFleet(6)
    fleet.start_ready()
    assert names(fleet[4]) == ["n1", "n2", "n3", "n4", "n5", "n6"]
    fleet.silent.add("10.0.0.5")
    fleet.run((PEER_TIMEOUT_NS - 6 * HEARTBEAT_INTERVAL_NS // 5) // MS)
    assert "n5" in names(fleet[4])
    fleet.run(2 * HEARTBEAT_INTERVAL_NS // MS)
    assert "n5" not in names(fleet[4], ready=False) and len(fleet[1].peer_table.by_ip) <= 6
    fleet.silent.clear()
    fleet.run(1500)
    assert "n5" in names(fleet[4])


def test_a_node_that_stops_serving_leaves_the_roster_at_once():
    """The node is removed from all rosters within two hops; a late heartbeat does not add it again."""
    fleet = FakeFleet(6)
    fleet.start_ready()
    late = heartbeat_frame(fleet[5], fleet.now)
    fleet.run(10)
    fleet[5].set_ready(False)  # as the node does at the start of a shutdown
    fleet.run(30)
    assert all("n5" not in names(fleet[k]) for k in (1, 2, 3, 4, 6))
    fleet[1].on_heartbeat("10.0.0.5", late, fleet.now)
    fleet.run(30)
    assert "n5" not in names(fleet[2])


@pytest.mark.parametrize("seed", range(3))
def test_rosters_travel_as_differences(seed):
    """Most rosters are sent as deltas, a lost one is recovered, and a new leader with its own numbers continues from
    the roster that all nodes hold. Every node ends with the leader's roster.
    """
    fleet = FakeFleet(12, seed)
    fleet.lead(1)
    fleet.run(4000)
    sent = fleet.record_frames()
    for step in range(1, 8):
        fleet[5].set_ready(bool(step % 2))
        fleet.silent = {"10.0.0.9"} if step == 3 else set()
        fleet.run(500)
    fleet[1].leadership.is_leader = False
    fleet.lead(2, term=2)
    fleet[1].set_leadership(CoreStatus(False, "10.0.0.2", 2, None), fleet.now)
    fleet[7].ready = True
    fleet.run(4000)
    rosters = [frame.message["O"] for frame in sent if "O" in frame.message]
    assert sum(len(updates) == 5 for updates in rosters) > 0.9 * len(rosters) > 30
    assert all(
        fleet[k].roster == fleet[2].roster
        and fleet[k].roster_version == fleet[2].roster_version > 2 * VERSIONS_PER_TERM
        for k in range(1, 13)
    )
