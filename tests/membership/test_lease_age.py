"""Tests of the lease's age: it is never younger than the last confirmation by a majority of the core."""

from fake_fleet import EPOCH, MS, SEC, FakeFleet, heartbeat_frame, response_frame

from rampfront.membership.deltas import DeltaMismatchError


def test_the_lease_ages_without_a_majority():
    """A leader that lost its majority continues to answer. No node may treat that as a recent confirmation, whatever
    way the response takes.
    """
    fleet = FakeFleet(6)
    fleet.lead(1)
    fleet.run(3000)
    fleet.leader, lost = None, fleet.now
    for host in fleet.hosts.values():
        assert host.disseminator.confirmed_at_ns <= lost
    fleet.run(8000)
    assert all(host.disseminator.confirmed_at_ns <= lost for host in fleet.hosts.values())


def test_the_age_counts_from_the_heartbeat():
    """The age of a late answer counts from its heartbeat; a push proves no age, nor does an answer to a heartbeat from
    the future.
    """
    fleet = FakeFleet(3)
    node = fleet[2]
    response = {"k": "word", "l": "10.0.0.1", "e": 1, "t": EPOCH + SEC, "a": 200 * MS}
    fleet[1].state_index, fleet[1].leadership.confirmed_at_ns = 4, EPOCH
    answer = []
    fleet.hosts["10.0.0.1"].send = lambda ip, message: answer.append(message)
    fleet[1].on_heartbeat("10.0.0.2", heartbeat_frame(node, EPOCH + SEC) | {"b": node.incarnation ^ 1}, EPOCH + SEC)
    answer[0].pop("S")
    node.on_state_response("10.0.0.1", answer[0], EPOCH + 9 * SEC)
    assert answer[0]["a"] == SEC and node.confirmed_at_ns is None  # an answer to the previous process, which held more
    node.on_state_response("10.0.0.1", response, EPOCH + 9 * SEC)
    assert node.confirmed_at_ns == EPOCH + 800 * MS
    node.on_state_response("10.0.0.1", response | {"t": 0, "a": 0}, EPOCH + 9 * SEC)
    node.on_state_response("10.0.0.1", response | {"t": EPOCH + 10 * SEC}, EPOCH + 9 * SEC)
    node.on_state_response("10.0.0.1", response | {"a": 900 * MS}, EPOCH + 9 * SEC)
    assert node.confirmed_at_ns == EPOCH + 800 * MS
    # Without a state, a response has no age.
    assert "a" not in response_frame(node, fleet.now, (0, 0, 0), 0)


def test_a_state_that_was_not_applied_confirms_no_lease():
    """The age would otherwise vouch for the older state, in which a revoked key is still valid. The node asks again."""
    fleet = FakeFleet(3)
    fleet.lead(1)
    fleet.run(3000)
    node, host, at = fleet[3], fleet.hosts["10.0.0.3"], fleet[3].confirmed_at_ns

    def fail(encoded, now):
        raise DeltaMismatchError(corrupt=True)

    host.on_state = fail
    response = response_frame(fleet[1], fleet.now, (0, 1 << 40, 1 << 60), fleet.now)
    node.on_state_response("10.0.0.1", response, fleet.now)
    assert node.confirmed_at_ns == at and node.schedule.is_due(0) and heartbeat_frame(node, fleet.now)["i"] == 0
    del host.on_state
    node.on_state_response("10.0.0.1", response, fleet.now)
    assert node.confirmed_at_ns == fleet.now and heartbeat_frame(node, fleet.now)["i"] == node.state_index
