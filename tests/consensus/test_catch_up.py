"""Members far behind: they missed hundreds of changes, on slow links and slow disks, while changes go on."""

import zlib

import pytest
from catch_up_fixtures import SLOW, BusyCore

from rampfront.consensus import events
from rampfront.consensus.errors import RemoteProtocolError
from rampfront.consensus.frame_encoder import encode
from rampfront.consensus.messages import AppendEntry
from rampfront.consensus.wire_names import APPEND_ACKNOWLEDGED, KIND, POSITION
from rampfront.simulation.world import MS, SEC


@pytest.mark.parametrize(
    "routes, rate, changes, most", ((50, SLOW, 300, 8_000), (400, SLOW, 300, 16_000), (2000, SLOW, 40, 70_000))
)
def test_a_member_far_behind_catches_up_within_a_second(routes, rate, changes, most):
    """12 KB, 94 KB and 470 KB as sent. One whole comes, then what changed; a second is enough on 2 Mbit/s."""
    core = BusyCore(routes, {4: rate})
    node = core.follower()
    core.stop(node)
    core.burst(changes)
    seconds, came = core.catch_up(node)
    assert seconds <= 1 and came < most


def test_members_are_sent_only_what_changed():
    """Not the whole again for one route of 2,000: bytes, and the waits of operators, stay as in a small core."""
    core = BusyCore(2000, dict.fromkeys((1, 2, 3, 4), SLOW))
    node, calls = core.follower(), len(core.calls)
    came = core.bandwidth.received_bytes(node.ip)
    core.burst(30)
    core.go(SEC)
    assert core.held(node) == core.rev and core.bandwidth.received_bytes(node.ip) - came < 30 * 1000
    assert max(call.done_at - call.sent for call in core.calls[calls:]) < 100 * MS


def test_no_entry_replaces_the_one_in_flight():
    """Each version is new from end to end and takes 0.3 s on the link of one member, a change comes each 0.1 s. It gets
    some of them whole, one transfer at a time, and beats pass beside them."""
    core = BusyCore(1500, {4: SLOW / 2}, anew=True)
    node = core.follower()
    held = []
    for _ in range(10):
        core.burst(10)
        held.append(core.held(node))
    assert all(new > old for old, new in zip(held, held[1:], strict=False)), held
    assert core.rev - held[-1] < 20
    assert not core.counts.get("transfers lost") and core.counts["leaders"] == 1
    assert core.bandwidth.longest_wait[node.ip] < 250 * MS
    core.go(2 * SEC)
    assert core.held(node) == core.rev


def test_a_delta_that_does_not_fit_is_followed_by_the_whole_entry():
    """A member that lost what the difference rests on, or comes out elsewhere, takes nothing, and gets the whole."""
    core = BusyCore(50)
    node = core.follower()
    node.core_member.roles.persistent.bodies.by_digest.clear()
    node.core_member.roles.persistent.entry = node.core_member.roles.persistent.durable.entry
    core.change()
    core.go(SEC)
    assert core.held(node) == core.rev
    rev = core.rev
    kept = node.core_member.roles.persistent.bodies.by_digest
    for mark, held in list(kept.items()):
        kept[mark] = zlib.compress(zlib.decompress(held).replace(b"3000ms", b"9999ms"))
    core.change()
    core.go(100 * MS)
    assert core.held(node) == rev and node.core_member.entry.revision == rev
    core.go(SEC)
    assert core.held(node) == rev + 1


@pytest.mark.parametrize("odd", ([], [b"x"], [b"x", 5], [5, []], [b"x", [], []], None))
def test_invalid_deltas_change_nothing(odd):
    """They change nothing."""
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
    """One store is under way at a time; the leader knows what is on disk, though newer entries have come since."""
    core = BusyCore(50)
    node, led = core.follower(), core.leader
    node.disk.wait = 400 * MS
    core.burst(30)
    peer = next(
        peer for (name, _), peer in led.core_member.roles.leader.replication.replicas.items() if name == node.name
    )
    assert peer.match_position == node.core_member.roles.persistent.durable.entry.position
    node.disk.wait = node.disk.default_wait
    core.go(SEC)
    assert core.held(node) == core.rev


def test_what_is_stored_is_acknowledged_at_once():
    """Also while newer entries wait for the disk: else each of them would push back the word of those before it."""
    core = BusyCore(50)
    node, led = core.follower(), core.leader
    node.disk.hangs = True
    core.burst(3)
    core.freeze(led)  # no heartbeat asks for it
    core.go(20 * MS)
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
    """Nothing counts as held meanwhile; behind it the member catches up."""
    core = BusyCore(400)
    node = core.follower()
    node.disk.full = True
    before = node.core_member.roles.persistent.durable.entry
    core.burst(50)
    assert node.core_member.roles.persistent.durable.entry is before
    node.disk.full = False
    core.burst(10)
    assert core.rev - core.held(node) <= 1
    core.go(SEC)
    assert node.core_member.roles.persistent.durable.entry.revision == core.rev


@pytest.mark.parametrize("seed", range(3))
def test_a_member_killed_while_it_catches_up(seed):
    """At any moment of the transfer or the store; what it held before is still there, or the newer one."""
    core = BusyCore(1500, {4: SLOW}, seed=seed)
    node = core.follower()
    core.stop(node)
    core.burst(20)
    stamp = (0, 0)
    for _ in range(8):
        core.start(node)
        held = node.core_member.entry.position
        assert held >= stamp
        core.change()
        core.go(core.chance.randrange(10, 400) * MS)
        stamp = node.core_member.roles.persistent.durable.entry.position
        core.stop(node)
        core.go(50 * MS)
    seconds, came = core.catch_up(node)
    assert seconds <= 1 and came < 100_000
