"""Operators of the simulated system. They send configurations, evacuate zones and read at any node, through the
production handlers. They turn to another node after one second without an answer, and repeat an order whose answer was
lost."""

import json
import zlib
from functools import partial
from hashlib import blake2b
from typing import NamedTuple

from .checks import InvariantError
from .fleet import ApiCall, Machine
from .linearizability import Kind, Operation, Verdict
from .plan import LEADER, SERVICES
from .rules import QUOTAS
from .world import OPERATIONS, Call

MS, SEC = 10**6, 10**9
OK, NOT_FOUND, CONFLICT, SERVER_ERROR = 200, 404, 409, 500
MAX_STORM_ORDERS = 8  # unanswered at once
FIRST_ORDER_TIMEOUT, ORDER_TIMEOUT = 60 * SEC, 15 * SEC  # during which an order is repeated


def build_configuration(number: int, keys: list[str], target: str = "1s") -> bytes:
    """A configuration of that number with routes to both services. `keys`: further keys of tenant ann; `target`
    distinguishes two configurations under one number."""
    tenants: list[dict] = [{"Name": "ann", "ApiKeys": ["ann-key", *keys]}]
    for name, (per_s, burst) in QUOTAS.items():
        tenants.append({"Name": name, "ApiKeys": [f"{name}-key"], "PerS": per_s, "Burst": burst})
    routes = ("/one/", "read_only", "one"), ("/two/", "read_only", "two"), ("/put/", "changing", "one")
    rules = [
        {
            "Type": kind,
            "Target": target,
            "MatchesWhen": {"PathStart": prefix},
            "ThenDo": {"Service": service, "GiveUp": "4s", "Tries": 3},
        }
        for prefix, kind, service in routes
    ]
    groups = [{"Name": name, "HealthPath": "/health", "Warmup": "3s", "ColdPerS": 2} for name in SERVICES]
    configuration = {
        "Revision": f"r{number}",
        "Customers": tenants,
        "Caps": {},
        "Sockets": [{"Hostname": "h.example", "Rulebook": rules}],
        "Groups": groups,
    }
    return json.dumps(configuration).encode()


def body_digest(body: bytes) -> bytes:
    """Stands for a body in a history."""
    return blake2b(body, digest_size=8).digest()


class Attempt(NamedTuple):
    """One sending of an order to a node. `number`: which attempt of the call it is; `operation`: its index in the
    history."""

    call: Call
    machine: Machine
    number: int
    operation: int


class Operators:
    """The operators' part of a run. Needs the run's `fleet`, `rng`, `rule_checker`, `calls`, `revisions`,
    `evacuating_zones`, `restored_at` and `history`."""

    def config(self, twice: bool = False, races: bool = False, machine: Machine | None = None) -> Call:
        """Sends a new configuration, which holds a key of its own and that of its predecessor.

        `twice`: another operator sends the next number at the same moment; `races`: another operator sends a different
        body under the same number; `machine`: receives the order first.
        """
        number = (self.revisions[-1] if self.revisions else 0) + self.rng.randrange(1, 4)
        body, other = self.body(number), self.body(number, "1100ms")
        timeout = ORDER_TIMEOUT if self.revisions else FIRST_ORDER_TIMEOUT
        self.revisions.append(number)
        call = self.call("config", (number, zlib.compress(body)), timeout, machine)
        if races:
            self.call("config", (number, zlib.compress(other)), timeout)
        if twice:
            self.config()
        return call

    def body(self, number: int, target: str = "1s") -> bytes:
        """A configuration that holds a key of its own and that of its predecessor."""
        return build_configuration(number, [f"ann-{each}" for each in (number, *self.revisions[-1:])], target)

    def race(self) -> None:
        """Sends two bodies under one number at the same moment."""
        self.config(races=True)

    def config_at(self, target: int) -> None:
        """Sends a new configuration to one machine first."""
        self.config(machine=self.pick(target))

    def again(self, salt: int) -> None:
        """Sends one of the last six configurations again, whether it was acknowledged or not."""
        if self.sent_configurations:
            self.call(
                "config", self.sent_configurations[-1 - salt % min(len(self.sent_configurations), 6)], ORDER_TIMEOUT
            )

    def storm(self, count: int, gap: int) -> None:
        """Sends `count` configurations, one every `gap` ms, with at most MAX_STORM_ORDERS of them unanswered."""
        self.continue_storm([], count, gap)

    def continue_storm(self, under_way: list[Call], left: int, gap: int) -> None:
        """Sends the next configuration of a storm."""
        if not left or self.is_calm:
            return
        under_way = [call for call in under_way if call.verdict is None]
        if len(under_way) < MAX_STORM_ORDERS:
            under_way.append(self.config())
            left -= 1
        self.after(gap, self.continue_storm, under_way, left, gap)

    def evacuate(self, zone: str, ms: int) -> None:
        """Evacuates a zone for `ms` ms, unless another evacuation is under way; each is ended before the next
        begins."""
        if not self.evacuating_zones:
            self.evacuating_zones[zone] = ms
            self.restored_at.pop(zone, None)
            self.call("empty", zone)

    def restore_zone(self, zone: str) -> None:
        """Ends an evacuation. The servers of the zone have become cold in the meantime."""
        if self.fleet.now < self.faults_end_at:
            self.rule_checker.on_restore_sent(zone)
            self.call("fill", zone)

    def release_zone(self, zone: str) -> None:
        """Lets the next evacuation begin."""
        self.evacuating_zones.pop(zone, None)

    def read(self) -> Call:
        """Reads the newest configuration."""
        return self.call("read", None)

    def lose_answers(self, share: float, ms: int) -> None:
        """Loses a share of the answers to operators for `ms` ms."""
        self.answer_loss = share
        self.after(ms, self.end_answer_loss)

    def end_answer_loss(self) -> None:
        """Lets all answers arrive again."""
        self.answer_loss = 0.0

    # One order, through all its attempts.

    def call(self, kind: str, body: object, until: int = ORDER_TIMEOUT, machine: Machine | None = None) -> Call:
        """Sends an order until it is answered or `until` (ns from now) has passed, to `machine` first."""
        fleet = self.fleet
        call = Call(
            kind, body, fleet.now, fleet.safety_checker.newest_acknowledged(), fleet.now + until, kind == "config"
        )
        if kind == "config" and body not in self.sent_configurations:
            self.sent_configurations.append(body)
        self.calls.append(call)
        self.send_order(call, machine or self.pick_any())
        return call

    def pick_any(self) -> Machine:
        """A machine that an operator picks at random; in the calm at the end only one that is up."""
        up = [machine for machine in self.fleet.machines if machine.up]
        return self.rng.choice(up if self.is_calm and up else self.fleet.machines)

    def send_order(self, call: Call, machine: Machine) -> None:
        """Sends an order to a node, and to another one if no answer arrives within a second."""
        fleet = self.fleet
        if call.verdict is not None or fleet.now > call.deadline:
            return
        call.attempt += 1
        if not machine.up:
            fleet.at(fleet.now + 50 * MS, self.on_silence, call, call.attempt)
            return
        operation = self.history.begin(self.operation(call, machine))
        fleet.at(fleet.now + SEC + self.rng.randrange(200 * MS), self.on_silence, call, call.attempt)
        arrives = fleet.now + fleet.draw_latency("operator", machine.ip)
        fleet.at(arrives, fleet.do, machine, machine.life, self.deliver_order, call, machine, call.attempt, operation)

    def operation(self, call: Call, machine: Machine) -> Operation:
        """An attempt of an order as it is recorded in the history."""
        kind = OPERATIONS[call.kind]
        if kind is Kind.CONFIGURE:
            number, body = call.body
            return Operation(kind, machine.name, self.fleet.now, number=number, body=body_digest(zlib.decompress(body)))
        return Operation(kind, machine.name, self.fleet.now, zone=call.body or "")

    def deliver_order(self, call: Call, machine: Machine, tries: int, operation: int) -> None:
        """An order is at a node: hands it to the node's handler, also if the operator has turned to another node."""
        control, fleet = machine.control, self.fleet
        respond = partial(self.node_answered, Attempt(call, machine, tries, operation))
        body = zlib.decompress(call.body[1]) if call.kind == "config" else b""
        api_call = ApiCall({"of": call.body}, body, respond, lambda: call.attempt == tries and call.verdict is None)
        handler = {
            "config": control.replace_configuration,
            "read": control.read_configuration,
            "empty": control.start_evacuation,
            "fill": control.finish_evacuation,
        }[call.kind]
        fleet.calling = call
        try:
            answer = handler(api_call)
        finally:
            fleet.calling = None
        if answer is not None:
            respond(answer.status, answer.body)

    def node_answered(self, attempt: Attempt, status: int, body: bytes, *_: object) -> None:
        """A node answers an order; the answer may get lost."""
        fleet, machine = self.fleet, attempt.machine
        if status == OK:
            self.last_acknowledger = machine
            self.on_acknowledgement()
        if self.answer_loss and self.rng.random() < self.answer_loss:
            fleet.count("answers lost")
            return
        arrives = fleet.now + fleet.draw_latency(machine.ip, "operator")
        fleet.at(arrives, self.receive_answer, attempt, status, body)

    def receive_answer(self, attempt: Attempt, status: int, body: bytes) -> None:
        """An operator receives an answer, and ignores those to earlier attempts."""
        call = attempt.call
        if call.attempt != attempt.number:
            return
        self.record(attempt, status, body)
        if call.verdict is not None:
            return
        if status == OK:
            self.order_done(call, body)
        elif status == NOT_FOUND and call.kind == "read":
            call.verdict = "none"
        elif status == CONFLICT and call.kind == "config":
            call.verdict = "refused"  # the check of the history decides whether rightly
            self.fleet.count("refused")
        elif status < SERVER_ERROR:
            raise InvariantError(f"{call.kind} {str(call.body)[:40]} was answered with status {status}")
        else:
            self.after(50 + self.rng.randrange(200), self.resend, call)

    def record(self, attempt: Attempt, status: int, body: bytes) -> None:
        """Records an answer in the history. One that decides nothing leaves the call in doubt."""
        now, operation = self.fleet.now, attempt.operation
        if attempt.call.kind == "read" and status in (OK, NOT_FOUND):
            number = int(json.loads(body)["Revision"][1:]) if status == OK else 0
            self.history.end_read(operation, now, number, body_digest(body) if number else b"")
        elif status == OK:
            self.history.end(operation, now, Verdict.ACKNOWLEDGED)
        elif status == CONFLICT:
            self.history.end(operation, now, Verdict.REFUSED)

    def order_done(self, call: Call, body: bytes) -> None:
        """An operator knows that an order was carried out."""
        call.verdict, call.done_at, call.state = "done", self.fleet.now, body
        self.rule_checker.on_acknowledged(call, self.fleet.now)
        if call.kind == "empty":
            self.after(self.evacuating_zones.get(call.body, 1000), self.restore_zone, call.body)
        elif call.kind == "fill":
            self.restored_at[call.body] = self.fleet.now
            self.after(2000, self.release_zone, call.body)

    def resend(self, call: Call) -> None:
        """Sends an order again, to any node."""
        self.send_order(call, self.pick_any())

    def on_silence(self, call: Call, tries: int) -> None:
        """Sends an order again if the attempt got no answer."""
        if call.verdict is None and call.attempt == tries:
            self.send_order(call, self.pick_any())

    # Faults that follow an acknowledgement.

    def after_ack(self, what: str, ms: int) -> None:
        """Arms a fault that strikes `ms` ms after the next acknowledgement, the moment at which it does the most
        harm."""
        self.armed_fault = what, ms

    def on_acknowledgement(self) -> None:
        """A node has just acknowledged an order: schedules the armed fault."""
        if self.armed_fault and self.fleet.now < self.faults_end_at:
            (what, ms), self.armed_fault = self.armed_fault, None
            arguments = {
                "kill": (LEADER, 1500),
                "term": (LEADER, 1500),
                "wipe": (LEADER, 800),
                "kill_all": (self.request_count, 500),
                "cut_one": (LEADER, "both", False, 3000),
            }[what]
            self.after(ms, self.apply_before_calm, what, arguments)

    def apply_before_calm(self, what: str, arguments: tuple) -> None:
        """Applies a row unless the calm has begun in the meantime."""
        if self.fleet.now < self.faults_end_at:
            self.apply_row(what, arguments)
