"""Far behind: members and nodes that missed hundreds of changes, on slow links and slow disks, while changes go on."""

import json
import zlib
from functools import cache
from random import Random

import cbor2
import pytest

from rampfront.consensus import events
from rampfront.consensus.codec import encode
from rampfront.consensus.context import MemberSettings
from rampfront.consensus.errors import RecordError, RemoteProtocolError
from rampfront.consensus.events import OrderKind
from rampfront.consensus.member import Member
from rampfront.consensus.messages import AppendEntry, VoteRequest
from rampfront.simulation.bandwidth import Bandwidth
from rampfront.simulation.fleet import ZONES
from rampfront.simulation.system_run import SystemRun
from rampfront.simulation.world import MS, SEC, World

SLOW, FAST = 2_000_000 / 8, 100_000_000 / 8  # bytes a second of links of 2 and 100 Mbit/s
GAP = 100 * MS  # between two changes of a storm


def rule(name, weight):
    return {
        "Name": f"r-{name}",
        "Type": "read_only",
        "Target": "800ms",
        "MatchesWhen": {"PathStart": f"/{name}/"},
        "ThenDo": {
            "Shares": [{"Service": "one", "Weight": weight}, {"Service": "two", "Weight": 10}],
            "GiveUp": "3000ms",
            "Tries": 2,
        },
    }


@cache
def names(count):
    draw = Random(count)
    return [f"{draw.getrandbits(36):x}" for _ in range(count)]


def body(rev, routes, anew=False):
    """A configuration in which each version changes one route (`anew`: all of it), compressed as the core holds it."""
    rules = [rule(name, rev if k == rev % routes else 90) for k, name in enumerate(names(routes + anew * rev))]
    whole = {
        "Revision": f"r{rev}",
        "Caps": {},
        "Sockets": [{"Hostname": "h.example", "Rulebook": rules}],
        "Groups": [{"Name": name, "HealthPath": "/health"} for name in ("one", "two")],
    }
    return zlib.compress(json.dumps(whole).encode())


class Storm(World):
    """A core under a change each 100 ms. `rates`: bytes a second of machines' links by number; the others' are FAST."""

    def __init__(self, routes=50, rates=(), members=4, seed=1, anew=False):
        super().__init__(seed, members, (members - 1) // 2)
        self.loss = self.repeat = 0
        self.routes, self.rev, self.anew = routes, 0, anew
        links = {f"10.0.0.{number}": rate for number, rate in dict(rates).items()}
        self.bandwidth = Bandwidth(self, links, FAST, lambda src, dst: (src, dst) in self.cuts)
        for node in self.nodes:
            self.start(node, True)
        self.go(3 * SEC)
        assert len(self.leader.core_member.committed.members) == members
        self.change()
        self.go(SEC)

    def go(self, time):
        self.run(self.now + time)

    @property
    def leader(self):
        (led,) = [node for node in self.nodes if node.up and not node.frozen and node.core_member.is_leader]
        return led

    def follower(self, number=4):
        """A member by its number, or another that doesn't lead."""
        node = self.nodes[number - 1]
        return node if node is not self.leader else self.nodes[number - 2]

    def change(self):
        self.rev += 1
        led = next((node for node in self.nodes if node.up and node.core_member.is_leader), None)
        self.call(OrderKind.CONFIGURE, (self.rev, body(self.rev, self.routes, self.anew)), led)

    def storm(self, changes):
        """So many changes, GAP apart."""
        for _ in range(changes):
            self.change()
            self.go(GAP)

    def held(self, node):
        """Number of the newest version that a member knows to be in force."""
        return node.core_member.committed.revision if node.core_member.committed else 0

    def catch_up(self, node, limit=8 * SEC):
        """Starts a member while changes go on; (seconds, bytes that came to it) until it knows what was the newest
        when it started."""
        began, came = self.now, self.bandwidth.came(node.ip)
        self.start(node)
        target = self.rev
        while self.held(node) < target:
            assert self.now - began < limit, f"holds r{self.held(node)} of r{target}"
            self.storm(1)
        return (self.now - began) / SEC, self.bandwidth.came(node.ip) - came


@pytest.mark.parametrize(
    "routes, rate, changes, most", ((50, SLOW, 300, 8_000), (400, SLOW, 300, 16_000), (2000, SLOW, 40, 70_000))
)
def test_far_behind(routes, rate, changes, most):
    """12 KB, 94 KB and 470 KB as sent. One whole comes, then what changed; a second is enough on 2 Mbit/s."""
    core = Storm(routes, {4: rate})
    node = core.follower()
    core.stop(node)
    core.storm(changes)
    seconds, came = core.catch_up(node)
    assert seconds <= 1 and came < most


def test_what_changed_goes_to_members():
    """Not the whole again for one route of 2,000: bytes, and the waits of operators, stay as in a small core."""
    core = Storm(2000, dict.fromkeys((1, 2, 3, 4), SLOW))
    node, calls = core.follower(), len(core.calls)
    came = core.bandwidth.came(node.ip)
    core.storm(30)
    core.go(SEC)
    assert core.held(node) == core.rev and core.bandwidth.came(node.ip) - came < 30 * 1000
    assert max(call.done_at - call.sent for call in core.calls[calls:]) < 100 * MS


def test_no_entry_replaces_the_one_under_way():
    """Each version is new from end to end and takes 0.3 s on the link of one member, a change comes each 0.1 s. It gets
    some of them whole, one transfer at a time, and beats pass beside them."""
    core = Storm(1500, {4: SLOW / 2}, anew=True)
    node = core.follower()
    held = []
    for _ in range(10):
        core.storm(10)
        held.append(core.held(node))
    assert all(new > old for old, new in zip(held, held[1:], strict=False)), held
    assert core.rev - held[-1] < 20
    assert not core.counts.get("transfers lost") and core.counts["leaders"] == 1
    assert core.bandwidth.most_waited[node.ip] < 250 * MS
    core.go(2 * SEC)
    assert core.held(node) == core.rev


def test_a_difference_that_does_not_fit():
    """A member that lost what the difference rests on, or comes out elsewhere, takes nothing, and gets the whole."""
    core = Storm(50)
    node = core.follower()
    node.core_member.persistent.bodies.by_digest.clear()
    node.core_member.persistent.entry = node.core_member.persistent.durable.entry
    core.change()
    core.go(SEC)
    assert core.held(node) == core.rev
    rev = core.rev
    kept = node.core_member.persistent.bodies.by_digest
    for mark, held in list(kept.items()):
        kept[mark] = zlib.compress(zlib.decompress(held).replace(b"3000ms", b"9999ms"))
    core.change()
    core.go(100 * MS)
    assert core.held(node) == rev and node.core_member.entry.revision == rev
    core.go(SEC)
    assert core.held(node) == rev + 1


@pytest.mark.parametrize("odd", ([], [b"x"], [b"x", 5], [5, []], [b"x", [], []], None))
def test_odd_differences(odd):
    """They change nothing."""
    core = Storm(50)
    node, led = core.follower(), core.leader
    member, entry = node.core_member, node.core_member.entry
    row = led.core_member.entry.next_entry(body=b"other").encode(include_body=False)
    row[3] = odd if odd is not None else [entry.body_digest, [[0, 10**6]]]
    leader = led.core_member
    message = encode(AppendEntry(leader.persistent.key, member.incarnation, leader.term, 1, 0, row))
    with pytest.raises(RemoteProtocolError):
        member.take(core.now + node.offset, events.MessageReceived(led.ip, message))
    assert member.entry is entry


def test_a_slow_disk_in_a_storm():
    """One store is under way at a time; the leader knows what is on disk, though newer entries have come since."""
    core = Storm(50)
    node, led = core.follower(), core.leader
    node.disk.wait = 400 * MS
    core.storm(30)
    peer = next(
        peer for (name, _), peer in led.core_member.leadership.replication.replicas.items() if name == node.name
    )
    assert peer.match_position == node.core_member.persistent.durable.entry.position
    node.disk.wait = node.disk.usual
    core.go(SEC)
    assert core.held(node) == core.rev


def test_what_is_stored_is_told_at_once():
    """Also while newer entries wait for the disk: else each of them would push back the word of those before it."""
    core = Storm(50)
    node, led = core.follower(), core.leader
    node.disk.hangs = True
    core.storm(3)
    core.freeze(led)  # no beat asks for it
    core.go(20 * MS)
    told = []
    core.send = lambda node, ip, message: told.append(message)
    stamp = node.core_member.persistent.in_flight.entry.position
    core.stored(node, node.life, node.disk, node.core_member.persistent.in_flight.version)
    assert [tuple(m["e"]) for m in told if m["k"] == "ack"] == []
    node.disk.hangs = False
    core.stored(node, node.life, node.disk, node.core_member.persistent.in_flight.version)
    assert [tuple(m["e"]) for m in told if m["k"] == "ack"] == [stamp] and node.core_member.entry.position > stamp


def test_a_full_disk_in_a_storm():
    """Nothing counts as held meanwhile; behind it the member catches up."""
    core = Storm(400)
    node = core.follower()
    node.disk.full = True
    before = node.core_member.persistent.durable.entry
    core.storm(50)
    assert node.core_member.persistent.durable.entry is before
    node.disk.full = False
    core.storm(10)
    assert core.rev - core.held(node) <= 1
    core.go(SEC)
    assert node.core_member.persistent.durable.entry.revision == core.rev


@pytest.mark.parametrize("seed", range(3))
def test_killed_while_it_catches_up(seed):
    """At any moment of the transfer or the store; what it held before is still there, or the newer one."""
    core = Storm(1500, {4: SLOW}, seed=seed)
    node = core.follower()
    core.stop(node)
    core.storm(20)
    stamp = (0, 0)
    for _ in range(8):
        core.start(node)
        held = node.core_member.entry.position
        assert held >= stamp
        core.change()
        core.go(core.chance.randrange(10, 400) * MS)
        stamp = node.core_member.persistent.durable.entry.position
        core.stop(node)
        core.go(50 * MS)
    seconds, came = core.catch_up(node)
    assert seconds <= 1 and came < 100_000


# ---- what was held before, and who led before


def test_a_restarted_member_neither_votes_nor_leads_with_the_older_entry():
    """Alone with members that hold more it asks in vain, and hands its vote to none that holds less than it."""
    core = Storm(50, members=5)
    node = core.follower(5)
    core.stop(node)
    core.storm(20)
    rest = [other for other in core.nodes if other is not node]
    core.stop(core.leader)
    up = [other for other in rest if other.up]
    core.start(node)
    told = []
    send = core.send
    core.send = lambda sender, ip, message: (told.append((sender, message)), send(sender, ip, message))
    core.go(200 * MS)
    node.core_member.election.start_pre_vote()
    for other in up:
        member = node.core_member
        request = VoteRequest(
            member.persistent.key, other.core_member.incarnation, member.term + 50, member.entry.position
        )
        core.tell(other, events.MessageReceived(node.ip, encode(request)))
    core.go(3 * SEC)
    assert not [
        m for sender, m in told if m["k"] in ("may", "aye") and m["i"] and m["j"] == node.core_member.incarnation
    ]
    assert core.leader is not node and core.held(node) == core.rev


def test_late_frames_of_an_old_leader():
    """All that it and its followers said in its term comes again behind a new leader's changes: nothing moves."""
    core = Storm(50)
    old, kept = core.leader, []
    send = core.send
    core.send = lambda sender, ip, message: (kept.append((sender.ip, ip, message)), send(sender, ip, message))
    core.storm(10)
    core.stop(old)
    core.go(3 * SEC)
    assert core.leader is not old
    core.storm(10)
    core.start(old)
    core.go(2 * SEC)
    core.send, term = send, core.leader.core_member.term
    stale = [row for row in kept if row[2].get("t", 0) < term]
    assert {"beat", "full", "ack"} <= {message["k"] for *_, message in stale}

    def standing():
        return [
            (
                member.term,
                member.persistent.vote,
                member.leader_ip,
                member.election.role,
                member.is_leader,
                member.entry.position,
                member.committed.position,
                member.persistent.durable.entry.position,
            )
            for member in (node.core_member for node in core.nodes)
        ]

    before, confirmed = standing(), core.leader.core_member.leadership.rounds.confirmed
    for src, dst, message in stale:
        core.tell(core.by_ip[dst], events.MessageReceived(src, message))
    assert standing() == before and core.leader.core_member.leadership.rounds.confirmed == confirmed
    core.go(2 * SEC)
    assert [row[:1] for row in standing()] == [row[:1] for row in before] and core.held(old) == core.rev


def test_a_record_of_another_machine():
    """It is no memory of this one: not taken in, and left as it is. One without a name is of an older version."""
    core = Storm(50)
    node, other = core.follower(4), core.follower(3)
    record = other.disk.record
    core.stop(node)
    node.disk.record = record
    with pytest.raises(RecordError, match=other.name):
        core.start(node)
    assert node.disk.record == record
    rows = cbor2.loads(record)[:8]
    settings = MemberSettings(other.name, other.ip, core.seeds, survive=1)
    member = Member(settings, cbor2.dumps(rows), Random(1), 0)
    assert member.entry.position == other.core_member.entry.position


@pytest.mark.parametrize("cut", (0, 1, 3, -1))
def test_a_torn_record(cut):
    """What its checksum passes and is no record is a fault to be seen, not a lost disk; nothing is sent or stored."""
    core = Storm(50)
    node = core.follower()
    core.stop(node)
    node.disk.record = node.disk.record[:cut]
    with pytest.raises(RecordError):
        core.start(node)


# ---- nodes


class SlowFleet(SystemRun):
    """A fleet whose nodes without a disk have links of `rate` bytes a second, and whose configurations have `routes`
    routes, of which each version changes one (`anew`: all)."""

    def __init__(self, routes=400, nodes=11, rate=SLOW, anew=False, seed=1):
        super().__init__(seed, nodes=nodes, plan=[])
        self.routes, self.anew = routes, anew
        fleet = self.fleet
        rates = {machine.ip: rate for machine in fleet.machines if not machine.counted}
        fleet.bandwidth = Bandwidth(fleet, rates, FAST, lambda src, dst: (src, dst) in fleet.cuts)
        fleet.loss = fleet.repeat = 0
        for service in ("one", "two"):
            for zone in ZONES:
                fleet.serve(service, zone, False)
        fleet.platform.shown[0] = (-60 * SEC, fleet.platform.shown[-1][1])
        for machine in fleet.machines:
            fleet.start(machine)
        self.config(False)
        self.go(6 * SEC)
        assert {self.held(machine) for machine in fleet.machines} == {self.revs[-1]}

    def body(self, rev):
        whole = json.loads(super().body(rev))
        whole["Sockets"][0]["Rulebook"] += [
            rule(name, rev if k == rev % self.routes else 90)
            for k, name in enumerate(names(self.routes + self.anew * rev))
        ]
        return json.dumps(whole).encode()

    def go(self, time):
        self.fleet.run(self.fleet.now + time)

    def storm(self, changes, gap=GAP):
        for _ in range(changes):
            self.config(False)
            self.go(gap)

    def held(self, machine):
        configuration = machine.node_process.request_proxy.configuration
        return configuration.revision if configuration else 0

    def behind(self, machine):
        """Versions that came behind the one that it goes by."""
        return len(self.revs) - 1 - self.revs.index(self.held(machine)) if self.held(machine) else len(self.revs)
