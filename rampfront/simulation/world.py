"""A model of the core on a simulated clock: its members, their disks, the links between them and the operators.

A run is determined by its seed: the same seed gives the same run."""

import zlib
from functools import partial
from heapq import heappop, heappush
from random import Random

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
ZONE_ORDERS = (OrderKind.EVACUATE, OrderKind.RESTORE)
ANSWER_TIMEOUT = SEC  # an operator that has no answer by then sends its order to another node
OPERATIONS = {
    OrderKind.CONFIGURE: Kind.CONFIGURE,
    OrderKind.READ: Kind.READ,
    OrderKind.EVACUATE: Kind.EVACUATE,
    OrderKind.RESTORE: Kind.RESTORE,
}
# A core that is too small or too busy also answers REJECTED. This concerns the one attempt: a retry may be accepted.
VERDICT_BY_OUTCOME = {
    Outcome.DONE: Verdict.ACKNOWLEDGED,
    Outcome.CONFLICT: Verdict.REFUSED,
    Outcome.NOT_LEADER: Verdict.NOT_TAKEN,
    Outcome.REJECTED: Verdict.NOT_TAKEN,
    Outcome.NEEDS_REPEAT: Verdict.NOT_TAKEN,
    Outcome.UNKNOWN: Verdict.IN_DOUBT,
}


class ClusteredRandom(Random):
    """A generator whose draws are close together, so that members start elections at the same time.

    Draws are spread normally again once the faults of the run have ended."""

    world = None

    def randrange(self, low, high=None):
        """A number in a range, limited to the 12 ms above `low` before the faults have ended."""
        if high is None or self.world.faults_ended:
            return super().randrange(low, high)
        return low + super().randrange(min(high - low, 12 * MS))


class Disk:
    """A member's disk, which holds the record that was synced last.

    A record that is being written when the power fails may or may not be on the disk afterwards. Sync times (ns) are
    drawn around `wait`, which is `default_wait` unless the disk is made slow. `hangs`: writes do not finish; `full`:
    they fail."""

    __slots__ = "record", "pending", "hangs", "full", "default_wait", "wait"

    def __init__(self, default_wait):
        """An empty disk."""
        self.record, self.pending = None, None
        self.hangs = self.full = False
        self.default_wait = self.wait = default_wait


class Node:
    """A machine of the core, across restarts of its process.

    `life`: number of process starts; `offset`: ns that its clock is ahead of the simulated clock; `applied_index`:
    index of the newest state that it has applied; `wiped_at`: when it was added or lost its disk; `incarnation`:
    identity of its stored state, 0 if there is none yet; `leads`: whether it leads; `seeds`: seed addresses in its
    settings, None for those of the world; `leaving`: whether it has received SIGTERM; `replaces`: the machine whose
    successor it is, if any."""

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
        """A machine that is not running yet. `sync`: time in which its disk writes a record (ns)."""
        self.name, self.ip = f"front-{number}", f"10.0.{number >> 8}.{number & 255}"
        self.seeds, self.leaving, self.replaces = None, False, None
        self.core_member, self.disk, self.life = None, Disk(sync), 0
        self.up = self.frozen = self.leads = False
        self.inbox, self.offset, self.applied_index, self.wiped_at, self.incarnation = [], 0, 0, -CATCH_UP, 0


def order_identity(call, attempt):
    """The identity of one attempt of an order on a zone: to the node that receives it, each attempt is a separate
    order.

    0 for other orders, which have none."""
    return (call.number + 1) * 1000 + attempt if call.kind in ZONE_ORDERS else 0


class Call:
    """One order of an operator, over all its attempts.

    `floor`: newest acknowledged index when it was sent, which its answer must reach; `attempt`: number of the latest
    attempt; `deadline`: time after which it is not sent again; `done_at`: when the operator read the final answer;
    `state`: the state with which it was acknowledged first."""

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
        "attempts_in_flight",
        "may_be_committed",
        "acknowledged_at",
        "has_reliable_answers",
    )

    def __init__(self, kind, body, now, floor, deadline, alone):
        """An order that was sent at `now`, without an attempt yet."""
        self.kind, self.body, self.sent, self.floor, self.deadline, self.alone = kind, body, now, floor, deadline, alone
        self.attempt, self.verdict, self.done_at, self.number, self.state = 0, None, None, 0, None
        # Attempts without an answer; whether one may have been committed.
        self.attempts_in_flight, self.may_be_committed = 0, False
        self.acknowledged_at = None  # when a node first acknowledged it
        self.has_reliable_answers = False  # its answers are never lost, so that its latency can be checked


def is_joining(state, machine):
    """Whether `state` does not list a machine as a full member.

    Until the membership change that added it has completed, the previous members must agree as well."""
    if state is None:
        return False
    now, before = (
        members.get(machine.name, (0, 0))[1] for members in (state.members, state.previous_members or state.members)
    )
    return not now or now != machine.incarnation or before != now


def still_members(state, removed, lost):
    """The removed machines that `state` still lists as members, without those whose successor is itself in `lost`."""
    listed = [machine for machine in removed if state is not None and machine.name in state.members]
    counted = [machine.replaces for machine in lost]
    return [machine for machine in listed if machine not in counted]


class EventScheduler:
    """A simulated clock with a queue of events, which run in order of time and, at one time, in the order of
    scheduling.

    Keeps a log, which is printed if the seed fails, and counts of what happened."""

    def __init__(self):
        """A clock at 0 ns with no events."""
        self.now, self.heap, self.order = 0, [], 0
        self.log, self.counts, self.steps = [], {}, 0

    def at(self, when, act, *args):
        """Schedules the call `act(*args)` at the time `when` (ns)."""
        self.order += 1
        heappush(self.heap, (when, self.order, act, args))

    def run(self, until):
        """Runs all events up to the time `until` (ns) and sets the clock to it."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, act, args = heappop(heap)
            act(*args)
        self.now = until

    def note(self, text, *args):
        """Adds a line to the log, which only failing seeds print."""
        self.log.append((self.now, text, args))

    @staticmethod
    def discard() -> None:
        """Receives a frame for an address without a machine, and drops it."""

    def count(self, what):
        """Counts an occurrence."""
        self.counts[what] = self.counts.get(what, 0) + 1


class World(EventScheduler):
    """The machines of a core, their network and the operators that call them."""

    def __init__(self, seed, members, survive, first_seeds=3, sync=MS):
        """A core of `members` machines, none of them started, that must survive the loss of `survive` at once.

        `first_seeds`: how many of them the settings name as seeds; `sync`: time in which a disk writes a record
        (ns)."""
        super().__init__()
        self.chance = Random(seed)
        self.sync, self.machines_made = sync, members
        self.nodes = [Node(number, sync) for number in range(1, members + 1)]
        self.removed = []  # machines that were removed for good
        self.by_ip = {node.ip: node for node in self.nodes}
        self.seeds = [node.ip for node in self.nodes[:first_seeds]]
        self.survive, self.safety_checker = survive, SafetyChecker()
        self.cuts, self.loss, self.repeat, self.max_extra_delay = {}, 0.01, 0.005, 0
        self.calls = []
        self.history, self.answer_loss = Recorder(), 0.0
        self.round_trips_cbor = seed % 8 == 0  # these runs encode and decode each message with cbor2
        self.on_done = self.on_vote = None
        self.faults_ended = self.clustered_timeouts = False
        self.bandwidth = None  # unlimited links unless this is set

    # Processes.

    def start(self, node, first=False):
        """Starts a node's process unless it runs. `first`: whether its settings allow it to found the core."""
        if node.up or node in self.removed:
            return
        node.life += 1
        node.up, node.frozen, node.inbox, node.applied_index, node.leads = True, False, [], 0, False
        node.leaving = False
        node.offset = self.chance.randrange(SEC)
        member_random = (ClusteredRandom if self.clustered_timeouts else Random)(self.chance.getrandbits(64))
        member_random.world = self
        settings = MemberSettings(
            node.name, node.ip, node.seeds or self.seeds, is_first_start=first, survive=self.survive
        )
        node.core_member = Member(settings, node.disk.record, member_random, self.now + node.offset)
        if first and node.core_member.entry is not None:
            self.safety_checker.founders.add(node.name)
            if len(self.safety_checker.founders) > 1:
                raise InvariantError("a second machine founded the core")
        self.deliver(node, None)
        self.at(self.now + self.chance.randrange(TICK), self.tick, node, node.life)

    def stop(self, node, power=False):
        """Ends a node's process by a kill or a loss of power; a record being written may or may not reach the disk."""
        if not node.up:
            return
        node.up, node.core_member, node.inbox = False, None, []
        if node.disk.pending is not None:
            if self.chance.random() < 0.3:
                node.disk.record = node.disk.pending
            node.disk.pending = None
        node.disk.hangs = False

    def wipe(self, node):
        """Stops a node and replaces its disk by an empty one."""
        self.stop(node, power=True)
        node.disk = Disk(node.disk.default_wait)
        node.wiped_at, node.incarnation = self.now, 0

    def is_joining(self, node):
        """Whether the newest committed state does not list a node, in its current incarnation, as a full member."""
        return is_joining(self.safety_checker.newest_state, node)

    def lost(self):
        """The machines that count as lost: those that are joining or have just lost their disk, and removed ones that
        are still members and whose successor is not counted already."""
        lost = [node for node in self.nodes if self.is_joining(node) or self.now - node.wiped_at < CATCH_UP]
        return lost + still_members(self.safety_checker.newest_state, self.removed, lost)

    def add_machine(self, replaces, ip=None):
        """Adds an empty machine under a new name, not started yet. `ip`: address of a removed machine to use again."""
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
        """Removes a machine with its disk for good."""
        self.stop(node, power=True)
        node.life += 1  # a start that is already scheduled has no effect
        self.nodes.remove(node)
        self.removed.append(node)
        del self.by_ip[node.ip]

    def leave(self, node):
        """Sends SIGTERM, so that the process knows that it is about to end."""
        if node.up and not node.frozen and not node.leaving:
            node.leaving = True
            self.deliver(node, events.Shutdown())

    def tick(self, node, life):
        """The periodic timer of a node's process, which schedules itself again."""
        if node.life != life or not node.up:
            return
        if not node.frozen:
            self.deliver(node, events.Tick())
            self.at(self.now + TICK + self.chance.randrange(5 * MS), self.tick, node, life)

    def freeze(self, node):
        """Suspends a process: events wait until it is resumed."""
        node.frozen = True

    def thaw(self, node, life):
        """Resumes a process; its timer may run before or after the events that waited."""
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
        """Passes an event to a node's member, carries out the effects and checks the claims of a leader."""
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
                    return  # a fault that was triggered by the acknowledgement has ended this process
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
        """Sends a message, which may be lost, delayed or duplicated."""
        chance = self.chance
        if self.on_vote is not None and message[KIND] == VOTE_GRANTED:
            self.on_vote(node)
        peer = self.by_ip.get(ip)
        if peer is None or (node.ip, ip) in self.cuts or chance.random() < self.loss:
            return
        if self.round_trips_cbor:
            message = cbor2.loads(cbor2.dumps(message))
        if self.bandwidth is not None:
            self.send_over_limited_link(node.ip, peer, message)
            return
        delay = MS + chance.randrange(20 * MS) + (chance.randrange(self.max_extra_delay) if self.max_extra_delay else 0)
        self.at(self.now + delay, self.arrive, node.ip, peer, message)
        if chance.random() < self.repeat:
            self.at(self.now + delay + chance.randrange(2 * SEC), self.arrive, node.ip, peer, message)

    def send_over_limited_link(self, ip, peer, message):
        """Sends a message over links of limited bandwidth: as a datagram or, if too large for one, as a transfer."""
        size = len(zlib.compress(cbor2.dumps(message)))
        send_frame = self.bandwidth.datagram if size <= MAX_DATAGRAM_BYTES else self.bandwidth.transfer
        send_frame(ip, peer.ip, size, partial(self.arrive, ip, peer, message))

    def arrive(self, ip, peer, message):
        """Delivers a message unless the receiver is down or the link is cut."""
        if peer.up and (ip, peer.ip) not in self.cuts:
            self.deliver(peer, events.MessageReceived(ip, message))

    # Disks.

    def store(self, node, effect):
        """Begins to write a record to a node's disk."""
        disk = node.disk
        if disk.pending is not None:
            raise InvariantError("a record is stored while another store is in progress")
        disk.pending = effect.record
        self.at(
            self.now + disk.wait // 2 + self.chance.randrange(disk.wait + MS),
            self.stored,
            node,
            node.life,
            disk,
            effect.version,
        )

    def stored(self, node, life, disk, version):
        """Ends the write of a record; repeated later while the disk hangs or the process is frozen."""
        if node.life != life or not node.up or node.disk is not disk:
            return
        if disk.hangs or node.frozen:
            self.at(self.now + 50 * MS, self.stored, node, life, disk, version)
            return
        ok = not disk.full
        if ok:
            disk.record = disk.pending
        disk.pending = None
        self.deliver(node, events.RecordStored(version, ok))

    # The operators.

    def call(self, kind, body, node, until=15 * SEC, alone=False):
        """Sends an order to a node, and again until it is answered or `until` (ns from now) has passed."""
        call = Call(kind, body, self.now, self.safety_checker.newest_acknowledged(), self.now + until, alone)
        call.number = len(self.calls)
        self.calls.append(call)
        self.send_order(call, node)
        return call

    def choose_node(self, call=None):
        """The node that an operator calls: any one, but one that is up if the latency of the core is checked, that is,
        once the faults have ended or for a call with reliable answers."""
        is_timed = self.faults_ended or call is not None and call.has_reliable_answers
        up = [node for node in self.nodes if node.up]
        return self.chance.choice(up if is_timed and up else self.nodes)

    def send_order(self, call, node):
        """Starts an attempt at a node; another node is called if no answer comes within `ANSWER_TIMEOUT`."""
        if call.verdict is not None or self.now > call.deadline:
            return
        call.attempt += 1
        self.at(
            self.now + ANSWER_TIMEOUT + self.chance.randrange(200 * MS), self.on_attempt_timeout, call, call.attempt
        )
        if node is not None and node.up:
            operation = self.history.begin(self.operation(call, node))
            self.at(
                self.now + self.chance.randrange(8 * MS),
                self.deliver_order,
                call,
                node,
                node.life,
                call.attempt,
                operation,
            )

    def operation(self, call, node):
        """An attempt of a call, as the history records it."""
        kind = OPERATIONS[call.kind]
        if kind is Kind.CONFIGURE:
            return Operation(kind, node.name, self.now, number=call.body[0], body=call.body[1])
        return Operation(kind, node.name, self.now, zone=call.body or "")

    def deliver_order(self, call, node, life, attempt, operation):
        """An attempt reaches its node; it is lost if the process has ended meanwhile."""
        if node.up and node.life == life:
            call.attempts_in_flight += 1
            identity = order_identity(call, attempt)
            self.deliver(node, events.Order((call, attempt, operation), call.kind, call.body, identity))

    def on_attempt_timeout(self, call, attempt):
        """Calls another node if the attempt has had no answer."""
        if call.verdict is None and call.attempt == attempt:
            self.send_order(call, self.choose_node(call))

    def on_order_ended(self, node, effect):
        """A node answers an attempt; the answer may be lost on its way."""
        call, attempt, operation = effect.ref
        call.attempts_in_flight -= 1
        call.may_be_committed = call.may_be_committed or effect.outcome in (Outcome.DONE, Outcome.UNKNOWN)
        self.count("done " + call.kind if effect.outcome == Outcome.DONE else effect.outcome)
        if effect.outcome == Outcome.DONE:
            self.safety_checker.record_acknowledgement(self.now, call, effect.state)
            call.state, call.acknowledged_at = call.state or effect.state, call.acknowledged_at or self.now
        elif effect.outcome == Outcome.CONFLICT:
            self.safety_checker.check_conflict(call, effect.state)
        if not call.has_reliable_answers and self.chance.random() < self.answer_loss:
            self.count("answers lost")
        else:
            self.at(self.now + self.chance.randrange(8 * MS), self.answered, call, attempt, operation, effect)
        if effect.outcome == Outcome.DONE and call.verdict is None and self.on_done is not None:
            self.on_done(node, call)

    def answered(self, call, attempt, operation, effect):
        """The operator receives an answer. For orders on zones it ignores answers to earlier attempts."""
        state = effect.state
        if call.kind in ZONE_ORDERS and call.attempt != attempt:
            return
        if effect.outcome == Outcome.DONE and call.kind == OrderKind.READ:
            self.history.end_read(
                operation, self.now, state.revision, state.body if state.revision else b"", state.evacuated_zones
            )
        else:
            self.history.end(operation, self.now, VERDICT_BY_OUTCOME[effect.outcome])
        if call.verdict is not None:
            return
        if effect.outcome in (Outcome.DONE, Outcome.CONFLICT):
            call.verdict, call.done_at = effect.outcome, self.now
        elif call.attempt == attempt:
            if effect.outcome == Outcome.NOT_LEADER and effect.leader_ip is not None:
                self.at(self.now + 20 * MS, self.send_order, call, self.by_ip.get(effect.leader_ip))
            else:
                self.at(
                    self.now + 50 * MS + self.chance.randrange(200 * MS), self.send_order, call, self.choose_node(call)
                )
