"""Tests of the budget of full transfers."""

from itertools import pairwise

from fake_fleet import MS, SEC, FakeFleet, heartbeat_frame

from rampfront.membership.leadership import CoreStatus
from rampfront.membership.transfer_budget import (
    FULL_TRANSFER_NS_PER_BYTE,
    FULL_TRANSFER_TIMEOUT_NS,
    MAX_FULL_TRANSFERS,
)


def test_nodes_that_start_together_share_the_transfer_budget():
    """No node is sent a full transfer twice while one is in flight; the leader starts a limited number per tick; nodes
    that wait send heartbeats less often.
    """
    fleet = FakeFleet(60)
    fleet.lead(1)
    sent = fleet.record_frames()
    transfers = []
    for _ in range(40):
        fleet.run(100)
        transfers.append(sum("S" in frame.message and frame.sender == "10.0.0.1" for frame in sent))
    begun = [after - before for before, after in pairwise(transfers)]
    assert max(begun) <= 11 * MAX_FULL_TRANSFERS  # 100 ms have ten ticks in this test
    assert all(fleet[k].state_index == 1 for k in range(1, 61)) and transfers[-1] < 2 * 60
    fleet = FakeFleet(3)
    fleet.leader, sent = None, fleet.record_frames()
    fleet.run(10000)
    assert sum(frame.message["k"] == "hail" and frame.sender == "10.0.0.3" for frame in sent) < 80
    late = [frame for frame in sent if frame.at > fleet.now - 3 * SEC]
    targets = {frame.receiver for frame in late if frame.sender == "10.0.0.3"}
    assert targets == {"10.0.0.1", "10.0.0.2"}  # both seeds are still contacted


def test_a_list_does_not_wait_for_a_state_in_flight():
    """Data in flight is not sent again, but later changes are; lost data is sent again a little later."""
    fleet = FakeFleet(3)
    fleet.lead(1)
    fleet[1].set_leadership(CoreStatus(True, "10.0.0.1", 1, fleet.now), fleet.now)
    heartbeat, sent = heartbeat_frame(fleet[2], fleet.now), fleet.record_frames()
    fleet[1].on_heartbeat("10.0.0.2", heartbeat, fleet.now)
    fleet[1].on_heartbeat("10.0.0.2", heartbeat, fleet.now)
    assert [set("SV") & set(frame.message) for frame in sent] == [{"S"}]
    fleet[1].endpoints_version = 7
    fleet[1].on_heartbeat("10.0.0.2", heartbeat | {"i": 1}, fleet.now)
    assert "V" in sent[-1].message and "S" not in sent[-1].message
    fleet[1].on_heartbeat("10.0.0.2", heartbeat, fleet.now)
    assert len(sent) == 2
    fleet.now += SEC
    fleet[1].tick(fleet.now)
    fleet[1].on_heartbeat("10.0.0.2", heartbeat, fleet.now)
    assert {"S", "V"} <= set(sent[-1].message)


def test_a_node_far_behind_gets_one_full_transfer_at_a_time():
    """Only one full transfer, by push or response, is in flight at a time; nodes that keep up receive each change."""
    fleet = FakeFleet(3)
    fleet.lead(1, index=300)
    fleet.run(3000)
    fleet.hosts["10.0.0.1"].can_diff_state_from = lambda index: index >= 300
    fleet.hosts["10.0.0.1"].can_diff_endpoints_from = lambda version: True
    fleet.hosts["10.0.0.1"].state_size_bytes = lambda: 100_000
    heartbeat, sent = heartbeat_frame(fleet[3], fleet.now) | {"i": 5}, fleet.record_frames()
    for index in range(301, 311):
        fleet.now += 50 * MS
        fleet[1].state_index = index
        fleet[1].on_heartbeat("10.0.0.3", heartbeat | {"t": fleet.now}, fleet.now)
        fleet[1].push_updates(fleet.now)
    receivers = [frame.receiver for frame in sent if "S" in frame.message]
    assert receivers.count("10.0.0.3") == 1 and receivers.count("10.0.0.2") == 10
    fleet.now += FULL_TRANSFER_TIMEOUT_NS + FULL_TRANSFER_NS_PER_BYTE * 100_000
    fleet[1].tick(fleet.now)
    fleet[1].on_heartbeat("10.0.0.3", heartbeat | {"t": fleet.now}, fleet.now)
    assert [frame.receiver for frame in sent if "S" in frame.message].count("10.0.0.3") == 2
