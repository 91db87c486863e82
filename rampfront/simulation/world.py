"""Members of the core, their disks, the links between them and the operators, on one fake clock. Seeded: the same
seed gives the same run."""

import zlib
from functools import partial
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

import cbor2

from rampfront.consensus import events
from rampfront.consensus.context import MemberSettings
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.member import Member
from rampfront.consensus.wire_names import KIND, VOTE_GRANTED
from rampfront.transport.frames import MAX_DATAGRAM_BYTES

from .checks import InvariantError, SafetyChecker
from .linearizability import Kind, Operation, Recorder, Verdict

MS, SEC = 10**6, 10**9

TICK = 100 * MS
CATCH_UP = 4 * SEC
REPORT_PAUSE = 300 * MS  # behind a report that was not taken
CONNECTION_ENDS_AFTER = 10 * MS  # behind an answer that was read or lost, at the node
ZONE_ORDERS = (OrderKind.EVACUATE, OrderKind.RESTORE)
SILENCE = SEC  # behind which the operator turns to another node
OPERATIONS = {
    OrderKind.CONFIGURE: Kind.CONFIGURE,
    OrderKind.READ: Kind.READ,
    OrderKind.EVACUATE: Kind.EVACUATE,
    OrderKind.RESTORE: Kind.RESTORE,
}
# REFUSED is said by a core that is too small or too busy as well: it is about the one call, and a repeat may be taken.
VERDICTS = {
    Outcome.DONE: Verdict.ACKNOWLEDGED,
    Outcome.CONFLICT: Verdict.REFUSED,
    Outcome.NOT_LEADER: Verdict.NOT_TAKEN,
    Outcome.REJECTED: Verdict.NOT_TAKEN,
    Outcome.UNKNOWN: Verdict.IN_DOUBT,
}


class Alike(Random):
    """Draws that hardly differ, so that candidates run at the same time; until the calm."""

    world = None

    def randrange(self, low, high=None):
        if high is None or self.world.calm:
            return super().randrange(low, high)
        return low + super().randrange(min(high - low, 12 * MS))


class Disk:
    """Holds the record that was synced last. A store under way at a loss of power is there or not."""

    __slots__ = "record", "pending", "hangs", "full", "default_wait", "wait"

    def __init__(self, default_wait):
        self.record, self.pending = None, None
        self.hangs = self.full = False
        self.default_wait = self.wait = default_wait


class Node:
    """A machine of the core, through all lives of its process. `wiped_at`: when it came or lost its disk; `incarnation`
    of its memory, 0 for none yet; `seeds`: of its settings, None for the world's; `replaces`: a
    machine that is gone, or about to go."""

    __slots__ = (
        "name",
        "ip",
        "core_member",
        "disk",
        "life",
        "up",
        "frozen",
        "inbox",
        "offset",
        "applied_index",
        "wiped_at",
        "incarnation",
        "leads",
        "seeds",
        "leaving",
        "replaces",
    )

    def __init__(self, number, sync):
        self.name, self.ip = f"front-{number}", f"10.0.{number >> 8}.{number & 255}"
        self.seeds, self.leaving, self.replaces = None, False, None
        self.core_member, self.disk, self.life = None, Disk(sync), 0
        self.up = self.frozen = self.leads = False
        self.inbox, self.offset, self.applied_index, self.wiped_at, self.incarnation = [], 0, 0, -CATCH_UP, 0


class Report(NamedTuple):
    """What a node tells the core of the answer to an order on a zone; `left`: how often it may yet try."""

    kind: OrderKind
    body: tuple[str, int]
    left: int = 20


def order_identity(call, tries):
    """Of one try of an order on a zone: each is an order of its own for the node that is asked."""
    return (call.number + 1) * 1000 + tries if call.kind in ZONE_ORDERS else 0


class Call:
    """One order of the operator, followed until it is done."""

    __slots__ = (
        "kind",
        "body",
        "sent",
        "floor",
        "attempt",
        "verdict",
        "deadline",
        "done_at",
        "alone",
        "number",
        "state",
        "open",
        "risky",
        "taken_at",
        "lossless",
    )

    def __init__(self, kind, body, now, floor, deadline, alone):
        self.kind, self.body, self.sent, self.floor, self.deadline, self.alone = kind, body, now, floor, deadline, alone
        self.attempt, self.verdict, self.done_at, self.number, self.state = 0, None, None, 0, None
        self.open, self.risky = 0, False  # tries without an answer yet; whether one may have come into force
        self.taken_at = None  # when a node acknowledged it first
        self.lossless = False  # whether its answers always arrive, so that its time can be judged


def is_joining(state, machine):
    """Whether a machine is no member by `state`, or no whole one: until the change that took it in is through, the
    members before it must agree as well."""
    if state is None:
        return False
    now, before = (
        members.get(machine.name, (0, 0))[1] for members in (state.members, state.previous_members or state.members)
    )
    return not now or now != machine.incarnation or before != now


def still_members(state, removed, lost):
    """Those of the machines that are gone for good which are members yet, but for those whose successor is lost."""
    listed = [machine for machine in removed if state is not None and machine.name in state.members]
    counted = [machine.replaces for machine in lost]
    return [machine for machine in listed if machine not in counted]


class EventScheduler:
    """A fake clock and what is to happen on it, in the order of time; what is told is kept for a failing seed."""

    def __init__(self):
        self.now, self.heap, self.order = 0, [], 0
        self.log, self.counts, self.steps = [], {}, 0

    def at(self, when, act, *args):
        self.order += 1
        heappush(self.heap, (when, self.order, act, args))

    def run(self, until):
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, act, args = heappop(heap)
            act(*args)
        self.now = until

    def note(self, text, *args):
        """A line of the schedule; only failing seeds print theirs."""
        self.log.append((self.now, text, args))

    @staticmethod
    def discard() -> None:
        """What comes at an address where nobody is."""

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1


class World(EventScheduler):
    def __init__(self, seed, members, survive, first_seeds=3, sync=MS):
        super().__init__()
        self.chance = Random(seed)
        self.sync, self.machines_made = sync, members
        self.nodes = [Node(number, sync) for number in range(1, members + 1)]
        self.removed = []  # machines that are gone for good
        self.by_ip = {node.ip: node for node in self.nodes}
        self.seeds = [node.ip for node in self.nodes[:first_seeds]]
        self.survive, self.safety_checker = survive, SafetyChecker()
        self.cuts, self.loss, self.repeat, self.slow = {}, 0.01, 0.005, 0
        self.calls = []
        self.history, self.answer_loss = Recorder(), 0.0
        self.carried = seed % 8 == 0  # these runs send everything through cbor2
        self.on_done = self.on_vote = None
        self.calm = self.alike = False
        self.bandwidth = None  # links without a bound, unless one is set

    # Processes.

    def start(self, node, first=False):
        if node.up or node in self.removed:
            return
        node.life += 1
        node.up, node.frozen, node.inbox, node.applied_index, node.leads = True, False, [], 0, False
        node.leaving = False
        node.offset = self.chance.randrange(SEC)
        draw = (Alike if self.alike else Random)(self.chance.getrandbits(64))
        draw.world = self
        settings = MemberSettings(
            node.name, node.ip, node.seeds or self.seeds, is_first_start=first, survive=self.survive
        )
        node.core_member = Member(settings, node.disk.record, draw, self.now + node.offset)
        if first and node.core_member.entry is not None:
            self.safety_checker.founders.add(node.name)
            if len(self.safety_checker.founders) > 1:
                raise InvariantError("founded twice")
        self.deliver(node, None)
        self.at(self.now + self.chance.randrange(TICK), self.tick, node, node.life)

    def stop(self, node, power=False):
        """A kill, or a loss of power: a store under way has happened or not."""
        if not node.up:
            return
        node.up, node.core_member, node.inbox = False, None, []
        if node.disk.pending is not None:
            if self.chance.random() < 0.3:
                node.disk.record = node.disk.pending
            node.disk.pending = None
        node.disk.hangs = False

    def wipe(self, node):
        self.stop(node, power=True)
        node.disk = Disk(node.disk.default_wait)
        node.wiped_at, node.incarnation = self.now, 0

    def is_joining(self, node):
        """Whether it is no whole member, by the newest state in force, with the memory that it has now."""
        return is_joining(self.safety_checker.newest_state, node)

    def lost(self):
        """The machines that count as lost, a gone one that is still a member among them, unless for its successor."""
        lost = [node for node in self.nodes if self.is_joining(node) or self.now - node.wiped_at < CATCH_UP]
        return lost + still_members(self.safety_checker.newest_state, self.removed, lost)

    def add_machine(self, replaces, ip=None):
        """An empty machine that takes no part yet, under a name of its own; `ip`: of one that is gone, used again."""
        self.machines_made += 1
        node = Node(self.machines_made, self.sync)
        node.ip = ip or node.ip
        known = [other.ip for other in self.nodes]
        node.seeds = self.chance.sample(known, min(3, len(known)))
        node.wiped_at, node.replaces = self.now, replaces
        self.nodes.append(node)
        self.by_ip[node.ip] = node
        return node

    def remove_machine(self, node):
        """Gone for good, with its disk."""
        self.stop(node, power=True)
        node.life += 1  # no start that is under way
        self.nodes.remove(node)
        self.removed.append(node)
        del self.by_ip[node.ip]

    def leave(self, node):
        """A SIGTERM: the process knows that it is about to end."""
        if node.up and not node.frozen and not node.leaving:
            node.leaving = True
            self.deliver(node, events.Shutdown())

    def tick(self, node, life):
        if node.life != life or not node.up:
            return
        if not node.frozen:
            self.deliver(node, events.Tick())
            self.at(self.now + TICK + self.chance.randrange(5 * MS), self.tick, node, life)

    def freeze(self, node):
        node.frozen = True

    def thaw(self, node, life):
        if node.up and node.life == life and node.frozen:
            node.frozen = False
            inbox, node.inbox = node.inbox, []
            if self.chance.random() < 0.5:
                self.tick(node, life)
            else:
                self.at(self.now + MS, self.tick, node, life)
            for event in inbox:
                if node.up and node.life == life:
                    self.deliver(node, event)

    def deliver(self, node, event):
        if node.frozen:
            node.inbox.append(event)
            return
        core_member = node.core_member
        self.steps += 1
        effects = core_member.take(self.now + node.offset, event)
        node.incarnation = core_member.incarnation
        for effect in effects:
            kind = type(effect)
            if kind is events.SendMessage:
                self.send(node, effect.ip, effect.message)
            elif kind is events.StoreRecord:
                self.store(node, effect)
            elif kind is events.StateCommitted:
                self.safety_checker.record_committed_state(node, effect.state)
            else:
                self.on_order_ended(node, effect)
                if node.core_member is not core_member:
                    return  # an acknowledgement may be followed by a blow at once
        if core_member.is_leader:
            if not node.leads:
                self.safety_checker.record_leader(node, core_member.term)
                self.count("leaders")
            node.leads = True
            at = core_member.quorum_confirmed_at
            if at is not None:
                self.safety_checker.check_leader_claim(node, at - node.offset)
        else:
            node.leads = False

    # Links.

    def send(self, node, ip, message):
        chance = self.chance
        if self.on_vote is not None and message[KIND] == VOTE_GRANTED:
            self.on_vote(node)
        peer = self.by_ip.get(ip)
        if peer is None or (node.ip, ip) in self.cuts or chance.random() < self.loss:
            return
        if self.carried:
            message = cbor2.loads(cbor2.dumps(message))
        if self.bandwidth is not None:
            self.carry(node.ip, peer, message)
            return
        wait = MS + chance.randrange(20 * MS) + (chance.randrange(self.slow) if self.slow else 0)
        self.at(self.now + wait, self.arrive, node.ip, peer, message)
        if chance.random() < self.repeat:
            self.at(self.now + wait + chance.randrange(2 * SEC), self.arrive, node.ip, peer, message)

    def carry(self, ip, peer, message):
        """Over links of a bounded bandwidth: as a datagram or, where it is too large, as a transfer of its own."""
        size = len(zlib.compress(cbor2.dumps(message)))
        way = self.bandwidth.datagram if size <= MAX_DATAGRAM_BYTES else self.bandwidth.transfer
        way(ip, peer.ip, size, partial(self.arrive, ip, peer, message))

    def arrive(self, ip, peer, message):
        if peer.up and (ip, peer.ip) not in self.cuts:
            self.deliver(peer, events.MessageReceived(ip, message))

    # Disks.

    def store(self, node, effect):
        disk = node.disk
        if disk.pending is not None:
            raise InvariantError("two stores at once")
        disk.pending = effect.record
        self.at(
            self.now + disk.wait // 2 + self.chance.randrange(disk.wait + MS),
            self.stored,
            node,
            node.life,
            disk,
            effect.version,
        )

    def stored(self, node, life, disk, number):
        if node.life != life or not node.up or node.disk is not disk:
            return
        if disk.hangs or node.frozen:
            self.at(self.now + 50 * MS, self.stored, node, life, disk, number)
            return
        ok = not disk.full
        if ok:
            disk.record = disk.pending
        disk.pending = None
        self.deliver(node, events.RecordStored(number, ok))

    # The operator.

    def call(self, kind, body, node, until=15 * SEC, alone=False):
        call = Call(kind, body, self.now, self.safety_checker.newest_acknowledged(), self.now + until, alone)
        call.number = len(self.calls)
        self.calls.append(call)
        self.place(call, node)
        return call

    def any(self, call=None):
        """A node, as the operator picks it; one that is up in the calm at the end, or for a call that is timed, so that
        the core alone is judged."""
        is_timed = self.calm or call is not None and call.lossless
        up = [node for node in self.nodes if node.up]
        return self.chance.choice(up if is_timed and up else self.nodes)

    def place(self, call, node):
        """Sends the order to a node, and to another one if nothing comes back."""
        if call.verdict is not None or self.now > call.deadline:
            return
        call.attempt += 1
        self.at(self.now + SILENCE + self.chance.randrange(200 * MS), self.missed, call, call.attempt)
        if node is not None and node.up:
            operation = self.history.begin(self.operation(call, node))
            self.at(self.now + self.chance.randrange(8 * MS), self.hand, call, node, node.life, call.attempt, operation)

    def operation(self, call, node):
        """A try of a call, for the history."""
        kind = OPERATIONS[call.kind]
        if kind is Kind.CONFIGURE:
            return Operation(kind, node.name, self.now, number=call.body[0], body=call.body[1])
        return Operation(kind, node.name, self.now, zone=call.body or "")

    def hand(self, call, node, life, tries, operation):
        if node.up and node.life == life:
            call.open += 1
            identity = order_identity(call, tries)
            self.deliver(node, events.Order((call, tries, operation), call.kind, call.body, identity))

    def report(self, node, life, report):
        """A node saw what became of an answer, and tells the core until that has taken it."""
        if node is not None and node.up and node.life == life:
            self.deliver(node, events.Order(report, report.kind, report.body))

    def told_of_report(self, node, report, outcome):
        if outcome != Outcome.DONE and report.left:
            self.at(self.now + REPORT_PAUSE, self.report, node, node.life, report._replace(left=report.left - 1))

    def saw_end(self, node, life, call, tries, kind):
        """The connection of an acknowledged order on a zone has ended."""
        if call.kind in ZONE_ORDERS:
            report = Report(kind, (call.body, order_identity(call, tries)))
            self.at(self.now + CONNECTION_ENDS_AFTER, self.report, node, life, report)

    def missed(self, call, tries):
        if call.verdict is None and call.attempt == tries:
            self.place(call, self.any(call))

    def on_order_ended(self, node, effect):
        """A node has an answer, which may get lost on its way to the operator."""
        if isinstance(effect.ref, Report):
            self.told_of_report(node, effect.ref, effect.outcome)
            return
        call, tries, operation = effect.ref
        call.open -= 1
        call.risky = call.risky or effect.outcome in (Outcome.DONE, Outcome.UNKNOWN)
        self.count("done " + call.kind if effect.outcome == Outcome.DONE else effect.outcome)
        if effect.outcome == Outcome.DONE:
            self.safety_checker.record_acknowledgement(self.now, call, effect.state)
            call.state, call.taken_at = call.state or effect.state, call.taken_at or self.now
        elif effect.outcome == Outcome.CONFLICT:
            self.safety_checker.check_conflict(call, effect.state)
        if not call.lossless and self.chance.random() < self.answer_loss:
            self.count("answers lost")
            self.saw_end(node, node.life, call, tries, OrderKind.ANSWER_LOST)
        else:
            way = self.chance.randrange(8 * MS)
            self.at(self.now + way, self.answered, call, tries, operation, effect, node, node.life)
        if effect.outcome == Outcome.DONE and call.verdict is None and self.on_done is not None:
            self.on_done(node, call)

    def answered(self, call, tries, operation, effect, node, life):
        """The operator has an answer. Of an order on a zone he reads none to a try from which he has turned away."""
        state = effect.state
        if call.kind in ZONE_ORDERS and (call.attempt != tries or effect.outcome != Outcome.DONE):
            self.saw_end(node, life, call, tries, OrderKind.ANSWER_LOST)
        else:
            self.saw_end(node, life, call, tries, OrderKind.ANSWER_DELIVERED)
        if call.kind in ZONE_ORDERS and call.attempt != tries:
            return
        if effect.outcome == Outcome.DONE and call.kind == OrderKind.READ:
            self.history.end_read(
                operation, self.now, state.revision, state.body if state.revision else b"", state.evacuated_zones
            )
        else:
            self.history.end(operation, self.now, VERDICTS[effect.outcome])
        if call.verdict is not None:
            return
        if effect.outcome in (Outcome.DONE, Outcome.CONFLICT):
            call.verdict, call.done_at = effect.outcome, self.now
        elif call.attempt == tries:
            if effect.outcome == Outcome.NOT_LEADER and effect.leader_ip is not None:
                self.at(self.now + 20 * MS, self.place, call, self.by_ip.get(effect.leader_ip))
            else:
                self.at(self.now + 50 * MS + self.chance.randrange(200 * MS), self.place, call, self.any(call))
