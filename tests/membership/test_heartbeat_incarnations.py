"""Heartbeats of a node's former incarnation, at the leader."""

from fake_fleet import EPOCH, SEC, FakeFleet

from rampfront.membership.leadership import CoreStatus

PEER = "10.1.0.7"


def heartbeat(incarnation, at, ready=True):
    return {"k": "hail", "n": "n7", "z": "a1", "f": "", "r": ready, "i": 0, "s": 0, "o": 0, "t": at, "b": incarnation}


def test_a_late_heartbeat_of_the_former_incarnation_does_not_count():
    """Reported as ready by a clock that stood ahead of the new process', or as leaving behind its return."""
    fleet = FakeFleet(1)
    disseminator, now = fleet[1], EPOCH
    disseminator.set_leadership(CoreStatus(True, "10.0.0.1", 1, now), now)

    def ready():
        return disseminator.peer_table.by_ip[PEER].entry.ready

    disseminator.on_heartbeat(PEER, heartbeat(1, 900 * SEC), now)
    disseminator.on_heartbeat(PEER, heartbeat(1, 901 * SEC, ready=False), now)
    disseminator.on_heartbeat(PEER, heartbeat(1, 900 * SEC + 1), now)  # of the same incarnation, late
    assert not ready()
    disseminator.on_heartbeat(PEER, heartbeat(2, 5 * SEC), now + SEC)  # starts again, its clock set back
    assert ready()
    disseminator.on_heartbeat(PEER, heartbeat(1, 902 * SEC, ready=False), now + SEC)
    assert ready()
    disseminator.on_heartbeat(PEER, heartbeat(2, 6 * SEC, ready=False), now + SEC)
    assert not ready()
    disseminator.on_heartbeat(
        PEER, heartbeat(1, 903 * SEC), now + 5 * SEC
    )  # no longer late: the same number drawn twice, or a mix-up
    assert ready()
