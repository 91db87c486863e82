"""Tests of frames from a deposed leader, and of the start of a new leader."""

from fake_fleet import MS, SEC, FakeFleet, names, response_frame

from rampfront.membership.leadership import CoreStatus
from rampfront.membership.peers import PEER_TIMEOUT_NS
from rampfront.membership.versions import VERSIONS_PER_TERM


def test_versions_of_a_deposed_leader_are_overruled():
    """A deposed leader that is not aware of it numbers its roster and its list above those that the new leader found.
    The new leader's versions must replace them everywhere."""
    fleet = FakeFleet(6)
    fleet.lead(1)
    fleet.run(3000)
    fleet.lead(2, term=2)
    fleet[2].roster_replica.version, fleet[2].roster_replica.entries = fleet[1].roster_version, fleet[1].roster
    fleet[2].endpoints_version = VERSIONS_PER_TERM + 7
    fleet.run(10)
    fleet[1].roster_replica.version, fleet[1].roster_replica.entries = fleet[1].roster_version + 1, fleet[1].roster[:3]
    fleet[1].endpoints_version = VERSIONS_PER_TERM + 8
    for k in (1, 5):
        fleet[k].roster_replica.version, fleet[k].roster_replica.entries = fleet[1].roster_version, fleet[1].roster
        fleet[k].endpoints_version = VERSIONS_PER_TERM + 8
    fleet[1].set_leadership(CoreStatus(False, None, 1, None), fleet.now)
    fleet.run(3000)
    assert all(fleet[k].roster == fleet[2].roster and len(fleet[k].roster) == 6 for k in range(1, 7))
    assert fleet[2].must_renumber_endpoints  # the next list gets a number of the new term


def test_a_deposed_leader_is_not_followed():
    """No response that names a deposed leader, in any order, is followed; a newer leader is contacted at once."""
    fleet = FakeFleet(5)
    fleet.lead(1)
    fleet.run(3000)
    node, old = fleet[3], response_frame(fleet[1], fleet.now, (1, 1, 1 << 40), fleet.now)
    fleet.silent.add("10.0.0.1")
    fleet.lead(2, term=2)
    fleet.run(50)
    assert node.leader == "10.0.0.2" and fleet.now - node.confirmed_at_ns < 100 * MS
    # It knows that it is deposed but not by whom, and must not follow responses that name itself.
    fleet[1].set_leadership(CoreStatus(False, None, 1, None), fleet.now)
    fleet[1].on_state_response(
        "10.0.0.4",
        response_frame(fleet[4], fleet.now, (1, 1, 1 << 40), fleet.now) | {"l": "10.0.0.1", "e": 1},
        fleet.now,
    )
    assert fleet[1].leader is None
    for later in (0, 2 * SEC):  # the second time the node has lost contact
        node.on_state_response("10.0.0.1", old, fleet.now + later)
        node.on_state_response("10.0.0.4", old, fleet.now + later)
        assert node.leader == "10.0.0.2"


def test_a_new_leader_keeps_the_roster():
    """A new leader has received no heartbeats, so it keeps the old roster until nodes have timed out."""
    fleet = FakeFleet(6)
    fleet.start_ready()
    fleet.silent |= {"10.0.0.1", "10.0.0.6"}
    fleet[1].leadership.is_leader, sent = False, fleet.record_frames()
    fleet.lead(2, term=2)
    fleet.run(100)
    assert set(names(fleet[2])) == {"n1", "n2", "n3", "n4", "n5", "n6"}
    assert all(fleet[k].leader == "10.0.0.2" for k in range(2, 6))  # the new leader announced itself
    assert not any("S" in message or "V" in message for message in (frame.message for frame in sent))
    seen = []
    fleet.run(PEER_TIMEOUT_NS // MS, lambda: seen.append(set(names(fleet[2]))))
    assert all({"n2", "n3", "n4", "n5"} <= now for now in seen)
    assert names(fleet[3]) == ["n2", "n3", "n4", "n5"] and fleet[3].roster_version > 2 * VERSIONS_PER_TERM


def test_lists_and_rosters_of_a_deposed_leader_are_dropped():
    """A deposed leader may continue numbering; its lists and rosters are dropped, but a committed state is applied."""
    fleet = FakeFleet(3)
    fleet.lead(1, term=4)
    fleet.run(3000)
    node = fleet[3]
    held = node.endpoints_version, node.roster_version, node.roster
    assert node.term == 4
    late = {"k": "word", "l": "10.0.0.2", "e": 3, "t": 0, "S": 9, "V": 10**9, "O": [10**9, []]}
    node.on_state_response("10.0.0.2", late, fleet.now)
    assert (
        (node.endpoints_version, node.roster_version, node.roster) == held
        and node.state_index == 9
        and node.leader == "10.0.0.1"
    )
