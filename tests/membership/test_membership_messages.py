"""Tests of frames with invalid fields: they are rejected and change nothing."""

import pytest
from fake_fleet import FakeFleet, heartbeat_frame


@pytest.mark.parametrize(
    "odd",
    (
        {"a": -1},
        {"a": "1"},
        {"a": ""},
        {"a": 0.0},
        {"t": -5},
        {"t": None},
        {"t": True},
        {"l": 7},
        {"e": -1},
        {"e": 1 << 70},
        {"e": None},
        {"l": "x" * 300},
        {"O": [10**9, "x"]},
        {"O": [10**9, [["a", "b", "c", "d"]]]},
        {"O": [10**9, [[1] * 5]]},
        {"O": ["9", []]},
        {"O": 5},
    ),
)
def test_invalid_responses_change_nothing(odd):
    fleet = FakeFleet(3)
    fleet.lead(1)
    fleet.run(2000)
    node = fleet[2]
    before = node.state_index, node.roster_version, node.roster, node.confirmed_at_ns, node.leader
    with pytest.raises((ValueError, TypeError)):
        node.on_state_response(
            "10.0.0.9", {"k": "word", "l": "10.0.0.9", "e": 1, "t": fleet.now, "a": 0} | odd, fleet.now
        )
    assert (node.state_index, node.roster_version, node.roster, node.leader) == before[:3] + (before[4],)


def test_invalid_heartbeats_add_no_peer():
    fleet = FakeFleet(3)
    fleet.lead(1)
    fleet.run(2000)
    heartbeat = heartbeat_frame(fleet[2], fleet.now)
    for odd in ({"n": 5}, {"z": None}, {"f": "x" * 300}, {"i": "1"}, {"s": -1}, {"o": 1.5}, {"t": "now"}):
        with pytest.raises(ValueError):
            fleet[1].on_heartbeat("10.0.0.99", heartbeat | odd, fleet.now)
    assert "10.0.0.99" not in fleet[1].peer_table.by_ip
