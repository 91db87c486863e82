"""Runs of complete nodes on the simulated clock, some of them cut off or frozen, with operators that call all the time.

An `InvariantError` is raised unless these rules hold: a read is never older than what was acknowledged when it began; a
node that is cut off from the others confirms nothing; no valid order gets a 4xx; a 503 has a Retry-After header; and
each call is answered within the second for which operators wait.
"""

import json
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .checks import InvariantError
from .fleet import ApiCall, Fleet, Machine
from .rules import RuleChecker
from .system_run import SERVICES, SystemRun

MS, SEC = 10**6, 10**9
ANSWER_TIMEOUT = SEC  # an operator abandons a call after this time
MAX_FRAME_DELAY = 100 * MS  # a frame sent before a cut may still arrive for this time
CALL_PAUSE_MS = 20, 120  # of an operator between two calls
CHECK_INTERVAL = 50 * MS
ZONES = "a1", "a2", "b1", "b2"
OK, UNAVAILABLE = 200, 503
DISKLESS_INDEX = 7  # index in the fleet of a node without a disk

Headers = Sequence[tuple[bytes, bytes]]
Pairs = list[tuple[str, str]]


class Reply(NamedTuple):
    """An answer to an order, and when it was given."""

    status: int
    body: bytes
    at: int


def revision_of(body: bytes) -> int:
    """The revision number of a configuration."""
    return int(json.loads(body)["Revision"][1:])


def submit_order(machine: Machine, kind: str, asked: ApiCall) -> None:
    """Passes an order (`config`, `read`, `zones`, `empty`, `fill`) to a machine; `asked.respond` is called once."""
    control = machine.control
    handlers = {
        "config": control.replace_configuration,
        "read": control.read_configuration,
        "zones": control.read_evacuations,
        "empty": control.start_evacuation,
        "fill": control.finish_evacuation,
    }
    answer = handlers[kind](asked)
    if answer is not None:
        asked.respond(answer.status, answer.body, answer.headers)


class Operator:
    """Calls machines, one call at a time: reads, configurations with new numbers, and orders on its own zone."""

    def __init__(self, run: "IsolationRun", number: int) -> None:
        """`number`: index of the zone that it evacuates and restores."""
        self.run, self.zone, self.is_evacuated = run, ZONES[number], False
        run.fleet.at(run.fleet.now + number * 17 * MS, self.call_next)

    def call_next(self) -> None:
        """Starts the next call, unless the run is quiet."""
        run, fleet = self.run, self.run.fleet
        if run.quiet:
            return
        machine = fleet.rng.choice(run.targets or fleet.machines)
        kind = fleet.rng.choice(("read", "read", "config", "zone"))
        if kind == "zone":
            kind = "fill" if self.is_evacuated else "empty"
        call = OperatorCall(self, kind, machine)
        fleet.at(fleet.now + fleet.draw_latency("operator", machine.ip), fleet.do, machine, machine.life, call.deliver)
        fleet.at(fleet.now + ANSWER_TIMEOUT, call.on_timeout)

    def on_call_ended(self, call: "OperatorCall") -> None:
        """A call was answered or has timed out; schedules the next one."""
        if call.status == OK and call.kind in ("empty", "fill"):
            self.is_evacuated = call.kind == "empty"
        fleet = self.run.fleet
        fleet.at(fleet.now + fleet.rng.randrange(*CALL_PAUSE_MS) * MS, self.call_next)


class OperatorCall:
    """One call to one machine, and the checks of its answer."""

    def __init__(self, operator: Operator, kind: str, machine: Machine) -> None:
        """`kind`: of an order of `submit_order`."""
        run = operator.run
        self.operator, self.run, self.kind, self.machine, self.sent = operator, run, kind, machine, run.fleet.now
        self.acknowledged_before = run.acknowledged  # acknowledged when the call was sent
        self.was_frozen = machine.frozen
        self.delivered_at = 0
        self.status: int | None = None  # 0: timed out
        self.body = run.body() if kind == "config" else b""
        run.calls.append(self)

    def deliver(self) -> None:
        """The call reaches the machine."""
        self.delivered_at = self.run.fleet.now
        submit_order(self.machine, self.kind, ApiCall({"of": self.operator.zone}, self.body, self.on_answer))

    def on_answer(self, status: int, body: bytes = b"", headers: Headers = (), **_: object) -> bool:
        """The machine answers; it is not notified whether the answer was read. Checks that it may give this answer."""
        fleet = self.run.fleet
        if status == OK:
            self.check_confirmation(body)
        elif status != UNAVAILABLE:
            raise InvariantError(f"{self.kind} is answered with status {status}: {body!r}")
        elif b"Retry-After" not in dict(headers) or not json.loads(body)["Message"]:
            raise InvariantError(f"{self.kind}: 503 without Retry-After or Message")
        fleet.at(fleet.now + fleet.draw_latency(self.machine.ip, "operator"), self.on_answer_received, status)
        return True

    def check_confirmation(self, body: bytes) -> None:
        """Checks a 200: the machine is not cut off, and a read is not older than what was acknowledged before it."""
        run = self.run
        if run.cut_off_at(self.machine, self.delivered_at):
            raise InvariantError(f"{self.kind} is confirmed by {self.machine.name}, cut off")
        if self.kind == "config":
            run.acknowledged = max(run.acknowledged, revision_of(self.body))
        elif self.kind == "read" and revision_of(body) < self.acknowledged_before:
            raise InvariantError(f"read r{revision_of(body)}, r{self.acknowledged_before} was acknowledged before it")

    def on_answer_received(self, status: int) -> None:
        """The answer reaches the operator, unless the call has timed out."""
        if self.status is None:
            self.status = status
            self.run.waits.append(self.run.fleet.now - self.sent)
            self.operator.on_call_ended(self)

    def on_timeout(self) -> None:
        """The call times out, which is a violation unless the machine is or was frozen."""
        if self.status is not None:
            return
        self.status = 0
        if not (self.was_frozen or self.machine.frozen):
            raise InvariantError(f"{self.kind} at {self.machine.name}: not answered within a second")
        self.operator.on_call_ended(self)


class IsolationRun:
    """A fleet of 11 machines with a core of 4, all in touch, with a committed configuration; three operators."""

    def __init__(self, seed: int = 1, operators: int = 3) -> None:
        """Runs until all nodes are ready."""
        self.fleet = fleet = Fleet(seed)
        fleet.rule_checker = RuleChecker(fleet)
        fleet.calling, fleet.loss, fleet.repeat = None, 0, 0
        self.calls: list[OperatorCall] = []
        self.waits: list[int] = []  # ns from a call to its answer at the operator
        self.cut_since: dict[Machine, int] = {}  # machines that are cut off now, with the time of the cut
        self.targets: list[Machine] = []  # machines that operators call; empty: all
        self.acknowledged = self.numbers = 0  # the newest revision that was acknowledged; that was generated
        self.quiet = False
        self.bodies = SystemRun(seed, plan=[])
        self.start()
        self.operators = [Operator(self, number) for number in range(operators)]
        self.check_periodically()

    def start(self) -> None:
        """Starts all machines at the same time, then sends the first configuration."""
        fleet = self.fleet
        for service in SERVICES:
            for zone in ZONES:
                fleet.add_server(service, zone, False)
        fleet.platform.list_history[0] = (-60 * SEC, fleet.platform.list_history[-1][1])
        for machine in fleet.machines:
            fleet.at(fleet.rng.randrange(50 * MS), fleet.start, machine)
        self.go(2 * SEC)
        self.order("config", fleet.core[0], self.body())
        self.go(3 * SEC)
        if not all(machine.node_process.disseminator.ready for machine in fleet.machines):
            raise InvariantError("not all machines are ready 3 s after the first configuration")
        self.acknowledged = 1

    def go(self, span: int) -> None:
        """Runs for `span` ns."""
        self.fleet.run(self.fleet.now + span)

    def body(self) -> bytes:
        """A configuration with the next number."""
        self.numbers += 1
        return self.bodies.body(self.numbers)

    def order(self, kind: str, machine: Machine, body: bytes = b"", of: str | None = None) -> list[Reply]:
        """Sends an order besides those of the operators. Its reply is added to the list that is returned."""
        replies: list[Reply] = []

        def answer(status: int, body_of_answer: bytes = b"", headers: Headers = (), **_: object) -> bool:
            replies.append(Reply(status, body_of_answer, self.fleet.now))
            return True

        submit_order(machine, kind, ApiCall({"of": of}, body, answer))
        return replies

    # ---- machines

    def leader(self) -> Machine:
        """The running machine that considers itself the leader."""
        return next(
            machine
            for machine in self.fleet.core
            if machine.up and not machine.frozen and machine.node_process.disseminator.is_leader
        )

    def pick(self, who: str) -> Machine:
        """A machine by its role: `leader`, `follower` or `diskless`."""
        leader = self.leader()
        if who == "leader":
            return leader
        return (
            self.fleet.machines[DISKLESS_INDEX]
            if who == "diskless"
            else next(machine for machine in self.fleet.core if machine is not leader)
        )

    def answers(self, machine: Machine, status: int) -> int:
        """How many calls to a machine, sent more than 1 s after it was cut off, were answered with `status`."""
        since = self.cut_since[machine] + SEC
        return sum(call.machine is machine and call.sent > since and call.status == status for call in self.calls)

    # ---- cuts

    def cut(self, machines: Sequence[Machine], ways: str = "both", others: Iterable[Machine] | None = None) -> Pairs:
        """Cuts `machines` off from `others` (by default all the rest) in `both` directions, `in` (towards `machines`)
        or `out` (from them). Returns the cut pairs for `join`."""
        rest = [
            machine.ip for machine in (self.fleet.machines if others is None else others) if machine not in machines
        ]
        pairs = [(ip, machine.ip) for machine in machines for ip in rest] if ways != "out" else []
        pairs += [(machine.ip, ip) for machine in machines for ip in rest] if ways != "in" else []
        self.fleet.sever(pairs)
        self.cut_since.update(dict.fromkeys(machines, self.fleet.now))
        return pairs

    def join(self, pairs: Pairs) -> None:
        """Ends a cut."""
        self.fleet.mend(pairs)
        self.cut_since.clear()

    def cut_off_at(self, machine: Machine, delivered_at: int) -> bool:
        """Whether a machine is cut off and already was when a call was delivered to it."""
        return machine in self.cut_since and delivered_at > self.cut_since[machine] + MAX_FRAME_DELAY

    # ---- checks

    def check_periodically(self) -> None:
        """Checks periodically the claims on which leases are based, and that directories list the nodes last known
        instead of nearly none."""
        self.fleet.rule_checker.check_confirmed_times()
        for machine in self.fleet.machines:
            if self.cut_since and not self.quiet and machine.up and not machine.frozen:
                ready = sum(entry.ready for entry in machine.node_process.disseminator.roster)
                if 2 * ready <= len(self.fleet.machines):
                    raise InvariantError(f"{machine.name} knows {ready} fronts")
        self.fleet.at(self.fleet.now + CHECK_INTERVAL, self.check_periodically)

    def check_agreement(self) -> None:
        """Checks after a cut that each machine acknowledges a new order and that all hold and read the same state."""
        self.targets, self.quiet = [], True
        self.go(4 * SEC)
        body, machines = self.body(), self.fleet.machines
        orders = [self.order("config", machine, body) for machine in machines]
        self.go(3 * SEC)
        reads = [self.order("read", machine) for machine in machines]
        self.go(SEC)
        if any(not replies or replies[0].status != OK for replies in orders + reads):
            raise InvariantError("an order is not acknowledged after the cut has ended")
        if any(revision_of(replies[0].body) != self.numbers for replies in reads):
            raise InvariantError("a read after the cut has ended does not return the newest configuration")
        if len({machine.node_process.replicated_state.state.position for machine in machines}) > 1:
            raise InvariantError("machines hold different states after the cut has ended")
