"""Operators on both sides of a cut: whole nodes on the fake clock, some cut off or frozen, with callers all the while.

What callers may see, or `InvariantError` is raised: a read is never older than what was acknowledged when it began, a node cut
off from the others confirms nothing, no proper order gets a 4xx, a 503 says when to come back, and each call is
answered within the second for which callers wait.
"""

import json
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .checks import InvariantError
from .fleet import Asked, Fleet, Machine
from .rules import RuleChecker
from .system_run import SERVICES, SystemRun

MS, SEC = 10**6, 10**9
SILENCE = SEC  # behind which a caller turns away
ON_ITS_WAY = 100 * MS  # a frame sent before a cut may still come for so long
PAUSE_MS = 20, 120  # of a caller between two calls
LOOK = 50 * MS
ZONES = "a1", "a2", "b1", "b2"
DONE, COME_BACK = 200, 503
DISKLESS = 7  # place in the fleet of a node without a disk

Headers = Sequence[tuple[bytes, bytes]]
Pairs = list[tuple[str, str]]


class Reply(NamedTuple):
    """An answer to an order, and when it was given."""

    status: int
    body: bytes
    at: int


def revision_of(body: bytes) -> int:
    """The number of a configuration."""
    return int(json.loads(body)["Revision"][1:])


def submit_order(machine: Machine, kind: str, asked: Asked) -> None:
    """Hands an order (`config`, `read`, `empty`, `fill`) to a machine; `asked.respond` is called once."""
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
    """Asks one machine after another, one call at a time: reads, configurations under new numbers, its own zone."""

    def __init__(self, run: "IsolationRun", number: int) -> None:
        """`number`: which zone it empties and takes back."""
        self.run, self.zone, self.emptied = run, ZONES[number], False
        run.fleet.at(run.fleet.now + number * 17 * MS, self.ask)

    def ask(self) -> None:
        """The next call, unless the run wants quiet."""
        run, fleet = self.run, self.run.fleet
        if run.quiet:
            return
        machine = fleet.chance.choice(run.targets or fleet.machines)
        kind = fleet.chance.choice(("read", "read", "config", "zone"))
        if kind == "zone":
            kind = "fill" if self.emptied else "empty"
        call = OperatorCall(self, kind, machine)
        fleet.at(fleet.now + fleet.way("operator", machine.ip), fleet.do, machine, machine.life, call.hand)
        fleet.at(fleet.now + SILENCE, call.turn_away)

    def ended(self, call: "OperatorCall") -> None:
        """A call was answered, or has met silence."""
        if call.status == DONE and call.kind in ("empty", "fill"):
            self.emptied = call.kind == "empty"
        fleet = self.run.fleet
        fleet.at(fleet.now + fleet.chance.randrange(*PAUSE_MS) * MS, self.ask)


class OperatorCall:
    """One call to one machine, and what must hold of its answer."""

    def __init__(self, operator: Operator, kind: str, machine: Machine) -> None:
        """`kind`: as `submit_order` knows it."""
        run = operator.run
        self.operator, self.run, self.kind, self.machine, self.sent = operator, run, kind, machine, run.fleet.now
        self.newest = run.acknowledged  # when it was sent
        self.was_frozen = machine.frozen
        self.handed = 0
        self.status: int | None = None  # 0: silence
        self.body = run.body() if kind == "config" else b""
        run.calls.append(self)

    def hand(self) -> None:
        """It reaches the machine."""
        self.handed = self.run.fleet.now
        submit_order(self.machine, self.kind, Asked({"of": self.operator.zone}, self.body, self.answered))

    def answered(self, status: int, body: bytes = b"", headers: Headers = (), **_: object) -> bool:
        """The machine answers, and is not told whether that was read. Raises `InvariantError` for one that it may not give."""
        fleet = self.run.fleet
        if status == DONE:
            self.confirmed(body)
        elif status != COME_BACK:
            raise InvariantError(f"{self.kind} is answered {status} {body!r}")
        elif b"Retry-After" not in dict(headers) or not json.loads(body)["Message"]:
            raise InvariantError(f"{self.kind}: 503 without a time or a reason")
        fleet.at(fleet.now + fleet.way(self.machine.ip, "operator"), self.heard, status)
        return True

    def confirmed(self, body: bytes) -> None:
        """A 200, with the body of a read."""
        run = self.run
        if run.cut_off_at(self.machine, self.handed):
            raise InvariantError(f"{self.kind} is confirmed by {self.machine.name}, cut off")
        if self.kind == "config":
            run.acknowledged = max(run.acknowledged, revision_of(self.body))
        elif self.kind == "read" and revision_of(body) < self.newest:
            raise InvariantError(f"read r{revision_of(body)}, r{self.newest} was acknowledged before it")

    def heard(self, status: int) -> None:
        """The answer reaches the operator."""
        if self.status is None:
            self.status = status
            self.run.waits.append(self.run.fleet.now - self.sent)
            self.operator.ended(self)

    def turn_away(self) -> None:
        """The operator's patience is at its end."""
        if self.status is not None:
            return
        self.status = 0
        if not (self.was_frozen or self.machine.frozen):
            raise InvariantError(f"{self.kind} at {self.machine.name}: not answered within a second")
        self.operator.ended(self)


class IsolationRun:
    """A fleet of 11 with a core of 4, all in touch and a configuration in force; three operators."""

    def __init__(self, seed: int = 1, operators: int = 3) -> None:
        """Plays until all nodes are ready."""
        self.fleet = fleet = Fleet(seed)
        fleet.rule_checker = RuleChecker(fleet)
        fleet.calling, fleet.loss, fleet.repeat = None, 0, 0
        self.calls: list[OperatorCall] = []
        self.waits: list[int] = []  # ns from a call to its answer at the operator
        self.cut_since: dict[Machine, int] = {}  # of those that are cut off now
        self.targets: list[Machine] = []  # that operators ask; empty: all
        self.acknowledged = self.numbers = 0  # the newest revision acknowledged; and made
        self.quiet = False
        self.bodies = SystemRun(seed, plan=[])
        self.start()
        self.operators = [Operator(self, number) for number in range(operators)]
        self.look()

    def start(self) -> None:
        """All machines at once, then the first configuration."""
        fleet = self.fleet
        for service in SERVICES:
            for zone in ZONES:
                fleet.serve(service, zone, False)
        fleet.platform.shown[0] = (-60 * SEC, fleet.platform.shown[-1][1])
        for machine in fleet.machines:
            fleet.at(fleet.chance.randrange(50 * MS), fleet.start, machine)
        self.go(2 * SEC)
        self.order("config", fleet.core[0], self.body())
        self.go(3 * SEC)
        if not all(machine.node_process.disseminator.ready for machine in fleet.machines):
            raise InvariantError("not all are ready 3 s behind the first configuration")
        self.acknowledged = 1

    def go(self, span: int) -> None:
        """Plays on for `span` ns."""
        self.fleet.run(self.fleet.now + span)

    def body(self) -> bytes:
        """A configuration under the next number."""
        self.numbers += 1
        return self.bodies.body(self.numbers)

    def order(self, kind: str, machine: Machine, body: bytes = b"", of: str | None = None) -> list[Reply]:
        """One order beside those of the operators; its reply goes into the list that is returned."""
        replies: list[Reply] = []

        def answer(status: int, said: bytes = b"", headers: Headers = (), **_: object) -> bool:
            replies.append(Reply(status, said, self.fleet.now))
            return True

        submit_order(machine, kind, Asked({"of": of}, body, answer))
        return replies

    # ---- who is who

    def leader(self) -> Machine:
        """The machine that leads, as it sees it."""
        return next(m for m in self.fleet.core if m.up and not m.frozen and m.node_process.disseminator.is_leader)

    def pick(self, who: str) -> Machine:
        """A machine by its part: `leader`, `follower` or `diskless`."""
        leader = self.leader()
        if who == "leader":
            return leader
        return (
            self.fleet.machines[DISKLESS] if who == "diskless" else next(m for m in self.fleet.core if m is not leader)
        )

    def answers(self, machine: Machine, status: int) -> int:
        """How many calls of a machine cut off, sent later than a second behind the cut, were answered so."""
        since = self.cut_since[machine] + SEC
        return sum(call.machine is machine and call.sent > since and call.status == status for call in self.calls)

    # ---- cuts

    def cut(self, machines: Sequence[Machine], ways: str = "both", others: Iterable[Machine] | None = None) -> Pairs:
        """Cuts `machines` off from `others` (all the rest): `both` ways, `in` (they hear nothing) or `out` (nobody
        hears them). Returns what `join` wants."""
        rest = [m.ip for m in (self.fleet.machines if others is None else others) if m not in machines]
        pairs = [(ip, m.ip) for m in machines for ip in rest] if ways != "out" else []
        pairs += [(m.ip, ip) for m in machines for ip in rest] if ways != "in" else []
        self.fleet.sever(pairs)
        self.cut_since.update(dict.fromkeys(machines, self.fleet.now))
        return pairs

    def join(self, pairs: Pairs) -> None:
        """Ends a cut."""
        self.fleet.mend(pairs)
        self.cut_since.clear()

    def cut_off_at(self, machine: Machine, handed: int) -> bool:
        """Whether a machine is cut off, and was when it was handed a call."""
        return machine in self.cut_since and handed > self.cut_since[machine] + ON_ITS_WAY

    # ---- what must hold

    def look(self) -> None:
        """All the while: what leases rest on; directories name what was last known rather than next to nothing."""
        self.fleet.rule_checker.check_confirmed_times()
        for machine in self.fleet.machines:
            if self.cut_since and not self.quiet and machine.up and not machine.frozen:
                ready = sum(entry.ready for entry in machine.node_process.disseminator.roster)
                if 2 * ready <= len(self.fleet.machines):
                    raise InvariantError(f"{machine.name} knows {ready} fronts")
        self.fleet.at(self.fleet.now + LOOK, self.look)

    def check_agreement(self) -> None:
        """Behind the join: a new order is acknowledged at every machine, and all hold and read the same."""
        self.targets, self.quiet = [], True
        self.go(4 * SEC)
        body, machines = self.body(), self.fleet.machines
        orders = [self.order("config", machine, body) for machine in machines]
        self.go(3 * SEC)
        reads = [self.order("read", machine) for machine in machines]
        self.go(SEC)
        if any(not replies or replies[0].status != DONE for replies in orders + reads):
            raise InvariantError("an order is not acknowledged behind the join")
        if any(revision_of(replies[0].body) != self.numbers for replies in reads):
            raise InvariantError("a read behind the join is not the newest")
        if len({machine.node_process.replicated_state.state.position for machine in machines}) > 1:
            raise InvariantError("machines hold different states behind the join")
