"""Catch-up of members that missed hundreds of changes, on slow links and disks, while changes continue."""

import zlib

import pytest
from catch_up_fixtures import SLOW_LINK, BusyCore

from rampfront.consensus import events
from rampfront.consensus.errors import RemoteProtocolError
from rampfront.consensus.frame_encoder import encode
from rampfront.consensus.messages import AppendEntry
from rampfront.consensus.wire_names import APPEND_ACKNOWLEDGED, KIND, POSITION
from rampfront.simulation.world import MS, SEC


@pytest.mark.parametrize(
    "routes, rate, changes, most",
    ((50, SLOW_LINK, 300, 8_000), (400, SLOW_LINK, 300, 16_000), (2000, SLOW_LINK, 40, 70_000)),
)
def test_a_member_far_behind_catches_up_within_a_second(routes, rate, changes, most):
    """Bodies of 12 KB, 94 KB and 470 KB as sent: the member gets one in full, then deltas, within 1 s on 2 Mbit/s."""
    core = BusyCore(routes, {4: rate})
    node = core.follower()
    core.stop(node)
    core.burst(changes)
    seconds, came = core.catch_up(node)
    assert seconds <= 1 and came < most


def test_members_are_sent_only_what_changed():
    """A change of one route of 2,000 is sent as a delta, so traffic and the latency of orders stay small."""
    core = BusyCore(2000, dict.fromkeys((1, 2, 3, 4), SLOW_LINK))
    node, calls = core.follower(), len(core.calls)
    came = core.bandwidth.received_bytes(node.ip)
    core.burst(30)
    core.advance(SEC)
    assert core.committed_revision(node) == core.rev and core.bandwidth.received_bytes(node.ip) - came < 30 * 1000
    assert max(call.done_at - call.sent for call in core.calls[calls:]) < 100 * MS


def test_no_entry_replaces_the_one_in_flight():
    """A newer entry must not cancel a transfer in progress, or a member on a slow link never receives any.

    Each version is completely new and takes 0.3 s on one member's link, with a change every 0.1 s. The member still
    receives some of them, one transfer at a time, and heartbeats are not delayed.
    """
    core = BusyCore(1500, {4: SLOW_LINK / 2}, replaces_all=True)
    node = core.follower()
    held = []
    for _ in range(10):
        core.burst(10)
        held.append(core.committed_revision(node))
    assert all(new > old for old, new in zip(held, held[1:], strict=False)), held
    assert core.rev - held[-1] < 20
    assert not core.counts.get("transfers lost") and core.counts["leaders"] == 1
    assert core.bandwidth.longest_wait[node.ip] < 250 * MS
    core.advance(2 * SEC)
    assert core.committed_revision(node) == core.rev


def test_a_delta_that_does_not_fit_is_followed_by_the_whole_entry():
    """A member that lacks the base of a delta, or computes another result, rejects it and is sent the entry in full."""
    core = BusyCore(50)
    node = core.follower()
    node.core_member.roles.persistent.bodies.by_digest.clear()
    node.core_member.roles.persistent.entry = node.core_member.roles.persistent.durable.entry
    core.change()
    core.advance(SEC)
    assert core.committed_revision(node) == core.rev
    rev = core.rev
    kept = node.core_member.roles.persistent.bodies.by_digest
    for mark, held in list(kept.items()):
        kept[mark] = zlib.compress(zlib.decompress(held).replace(b"3000ms", b"9999ms"))
    core.change()
    core.advance(100 * MS)
    assert core.committed_revision(node) == rev and node.core_member.entry.revision == rev
    core.advance(SEC)
    assert core.committed_revision(node) == rev + 1


@pytest.mark.parametrize("odd", ([], [b"x"], [b"x", 5], [5, []], [b"x", [], []], None))
def test_invalid_deltas_change_nothing(odd):
    core = BusyCore(50)
    node, led = core.follower(), core.leader
    member, entry = node.core_member, node.core_member.entry
    row = led.core_member.entry.next_entry(body=b"other").encode(include_body=False)
    row[3] = odd if odd is not None else [entry.body_digest, [[0, 10**6]]]
    leader = led.core_member
    message = encode(AppendEntry(leader.roles.persistent.key, member.incarnation, leader.term, 1, 0, row))
    with pytest.raises(RemoteProtocolError):
        member.take(core.now + node.offset, events.MessageReceived(led.ip, message))
    assert member.entry is entry


def test_a_slow_disk_in_a_burst_of_changes():
    """One store is in flight at a time; the leader knows which entry is on disk although newer ones have arrived."""
    core = BusyCore(50)
    node, led = core.follower(), core.leader
    node.disk.wait = 400 * MS
    core.burst(30)
    peer = next(
        peer for (name, _), peer in led.core_member.roles.leader.replication.replicas.items() if name == node.name
    )
    assert peer.match_position == node.core_member.roles.persistent.durable.entry.position
    node.disk.wait = node.disk.default_wait
    core.advance(SEC)
    assert core.committed_revision(node) == core.rev


def test_what_is_stored_is_acknowledged_at_once():
    """A stored entry is acknowledged although newer ones wait for the disk, or each of them would delay the answer."""
    core = BusyCore(50)
    node, led = core.follower(), core.leader
    node.disk.hangs = True
    core.burst(3)
    core.freeze(led)  # so that no heartbeat triggers an acknowledgement
    core.advance(20 * MS)
    sent = []
    core.send = lambda node, ip, message: sent.append(message)

    def acknowledged():
        return [tuple(frame[POSITION]) for frame in sent if frame[KIND] == APPEND_ACKNOWLEDGED]

    stamp = node.core_member.roles.persistent.in_flight.entry.position
    core.stored(node, node.life, node.disk, node.core_member.roles.persistent.in_flight.version)
    assert acknowledged() == []
    node.disk.hangs = False
    core.stored(node, node.life, node.disk, node.core_member.roles.persistent.in_flight.version)
    assert [tuple(frame[POSITION]) for frame in sent if frame[KIND] == APPEND_ACKNOWLEDGED] == [
        stamp
    ] and node.core_member.entry.position > stamp


def test_a_full_disk_in_a_burst_of_changes():
    """Nothing is acknowledged while the disk is full; afterwards the member catches up."""
    core = BusyCore(400)
    node = core.follower()
    node.disk.full = True
    before = node.core_member.roles.persistent.durable.entry
    core.burst(50)
    assert node.core_member.roles.persistent.durable.entry is before
    node.disk.full = False
    core.burst(10)
    assert core.rev - core.committed_revision(node) <= 1
    core.advance(SEC)
    assert node.core_member.roles.persistent.durable.entry.revision == core.rev


@pytest.mark.parametrize("seed", range(3))
def test_a_member_killed_while_it_catches_up(seed):
    """A kill at any time during a transfer or a store leaves the old entry or the newer one on disk."""
    core = BusyCore(1500, {4: SLOW_LINK}, seed=seed)
    node = core.follower()
    core.stop(node)
    core.burst(20)
    stamp = (0, 0)
    for _ in range(8):
        core.start(node)
        held = node.core_member.entry.position
        assert held >= stamp
        core.change()
        core.advance(core.chance.randrange(10, 400) * MS)
        stamp = node.core_member.roles.persistent.durable.entry.position
        core.stop(node)
        core.advance(50 * MS)
    seconds, came = core.catch_up(node)
    assert seconds <= 1 and came < 100_000
