"""Tests of heartbeats from a node's former incarnation, at the leader."""

from fake_fleet import EPOCH, SEC, FakeFleet

from rampfront.membership.leadership import CoreStatus

PEER = "10.1.0.7"


def heartbeat(incarnation, at, ready=True):
    return {"k": "hail", "n": "n7", "z": "a1", "f": "", "r": ready, "i": 0, "s": 0, "o": 0, "t": at, "b": incarnation}


def test_a_late_heartbeat_of_the_former_incarnation_does_not_count():
    """A late heartbeat may say ready, by a clock ahead of the new process, or leaving although the node is back."""
    fleet = FakeFleet(1)
    disseminator, now = fleet[1], EPOCH
    disseminator.set_leadership(CoreStatus(True, "10.0.0.1", 1, now), now)

    def ready():
        return disseminator.peer_table.by_ip[PEER].entry.ready

    disseminator.on_heartbeat(PEER, heartbeat(1, 900 * SEC), now)
    disseminator.on_heartbeat(PEER, heartbeat(1, 901 * SEC, ready=False), now)
    disseminator.on_heartbeat(PEER, heartbeat(1, 900 * SEC + 1), now)  # late, of the same incarnation
    assert not ready()
    disseminator.on_heartbeat(PEER, heartbeat(2, 5 * SEC), now + SEC)  # restarted, with a clock that was set back
    assert ready()
    disseminator.on_heartbeat(PEER, heartbeat(1, 902 * SEC, ready=False), now + SEC)
    assert ready()
    disseminator.on_heartbeat(PEER, heartbeat(2, 6 * SEC, ready=False), now + SEC)
    assert not ready()
    # This is too late to be a delayed frame, so another process must have drawn the same number.
    disseminator.on_heartbeat(PEER, heartbeat(1, 903 * SEC), now + 5 * SEC)
    assert ready()
