"""Operators in a run of the whole: they send configurations, evacuate zones and read, at any node, by the handlers that
serve; they turn to another node behind a second of silence, and send the same again when an answer got lost."""

import json
import zlib
from functools import partial
from hashlib import blake2b
from typing import NamedTuple

from ..net.http_messages import Delivery, DeliveryCallback
from .checks import InvariantError
from .fleet import Asked, Machine
from .linearizability import Kind, Operation, Verdict
from .plan import LEADER, SERVICES
from .rules import QUOTAS
from .world import OPERATIONS, Call

MS, SEC = 10**6, 10**9
OK, NOT_FOUND, CONFLICT, SERVER_ERROR = 200, 404, 409, 500
UNDER_WAY = 8  # orders of a storm at once
CONNECTION_ENDS_AFTER = 10 * MS  # behind an answer that was read or lost, at the node
FIRST_ONE_WAITS, OTHERS_WAIT = 60 * SEC, 15 * SEC  # for which an order is sent again


def configuration(number: int, keys: list[str], target: str = "1s") -> bytes:
    """One of number, routes for both services, and `keys` for a tenant; `target` tells two of one number apart."""
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
    whole = {
        "Revision": f"r{number}",
        "Customers": tenants,
        "Caps": {},
        "Sockets": [{"Hostname": "h.example", "Rulebook": rules}],
        "Groups": groups,
    }
    return json.dumps(whole).encode()


def mark(body: bytes) -> bytes:
    """Stands for a body in a history."""
    return blake2b(body, digest_size=8).digest()


class Try(NamedTuple):
    """One sending of an order to a node; `operation`: its place in the history."""

    call: Call
    machine: Machine
    number: int
    operation: int


class Operators:
    """Needs the `fleet`, `chance`, `rule_checker`, `calls`, `revs`, `zones_busy`, `restored_at` and `history` of
    a run."""

    def config(self, twice: bool = False, races: bool = False, machine: Machine | None = None) -> Call:
        """A new configuration: each holds a key of its own, and that of the one before. `twice`: another operator sends
        the next number at the same moment; `races`: he sends another body under that. `machine`: asked first."""
        number = (self.revs[-1] if self.revs else 0) + self.chance.randrange(1, 4)
        body, other = self.body(number), self.body(number, "1100ms")
        wait = OTHERS_WAIT if self.revs else FIRST_ONE_WAITS
        self.revs.append(number)
        call = self.call("config", (number, zlib.compress(body)), wait, machine)
        if races:
            self.call("config", (number, zlib.compress(other)), wait)
        if twice:
            self.config()
        return call

    def body(self, number: int, target: str = "1s") -> bytes:
        """A configuration that holds a key of its own, and that of the one before."""
        return configuration(number, [f"ann-{each}" for each in (number, *self.revs[-1:])], target)

    def race(self) -> None:
        """Two bodies under one number at the same moment."""
        self.config(races=True)

    def config_at(self, who: int) -> None:
        """A new configuration, sent to one machine first."""
        self.config(machine=self.pick(who))

    def again(self, salt: int) -> None:
        """An older change arrives again, whether it was acknowledged or not."""
        if self.sent:
            self.call("config", self.sent[-1 - salt % min(len(self.sent), 6)], OTHERS_WAIT)

    def storm(self, count: int, gap: int) -> None:
        """Hundreds of changes, so many ms apart, a few under way at once."""
        self.change_on([], count, gap)

    def change_on(self, under_way: list[Call], left: int, gap: int) -> None:
        """The next change of a storm."""
        if not left or self.calm:
            return
        under_way = [call for call in under_way if call.verdict is None]
        if len(under_way) < UNDER_WAY:
            under_way.append(self.config())
            left -= 1
        self.after(gap, self.change_on, under_way, left, gap)

    def evacuate(self, zone: str, ms: int) -> None:
        """One zone at a time, and each taken back before it is emptied anew."""
        if not self.zones_busy:
            self.zones_busy[zone] = ms
            self.restored_at.pop(zone, None)
            self.call("empty", zone)

    def take_back(self, zone: str) -> None:
        """Its servers have become cold meanwhile."""
        if self.fleet.now < self.ends:
            self.rule_checker.on_restore_sent(zone)
            self.call("fill", zone)

    def free(self, zone: str) -> None:
        """It may be evacuated anew."""
        self.zones_busy.pop(zone, None)

    def read(self) -> Call:
        """Asks for the newest configuration."""
        return self.call("read", None)

    def lose_answers(self, share: float, ms: int) -> None:
        """Answers to operators get lost on their way."""
        self.answer_loss = share
        self.after(ms, self.keep_answers)

    def keep_answers(self) -> None:
        """Ends that."""
        self.answer_loss = 0.0

    # One order, through all its tries.

    def call(self, kind: str, body: object, until: int = OTHERS_WAIT, machine: Machine | None = None) -> Call:
        """An order, sent until it is answered or `until` (ns from now) is over, to `machine` first."""
        fleet = self.fleet
        call = Call(
            kind, body, fleet.now, fleet.safety_checker.newest_acknowledged(), fleet.now + until, kind == "config"
        )
        if kind == "config" and body not in self.sent:
            self.sent.append(body)
        self.calls.append(call)
        self.place(call, machine or self.any())
        return call

    def any(self) -> Machine:
        """A machine, as an operator picks it; in the calm at the end one that is up."""
        up = [machine for machine in self.fleet.machines if machine.up]
        return self.chance.choice(up if self.calm and up else self.fleet.machines)

    def place(self, call: Call, machine: Machine) -> None:
        """Gives an order to a node, and to another one if nothing comes back within a second."""
        fleet = self.fleet
        if call.verdict is not None or fleet.now > call.deadline:
            return
        call.attempt += 1
        if not machine.up:
            fleet.at(fleet.now + 50 * MS, self.missed, call, call.attempt)
            return
        operation = self.history.begin(self.operation(call, machine))
        fleet.at(fleet.now + SEC + self.chance.randrange(200 * MS), self.missed, call, call.attempt)
        arrives = fleet.now + fleet.way("operator", machine.ip)
        fleet.at(arrives, fleet.do, machine, machine.life, self.hand, call, machine, call.attempt, operation)

    def operation(self, call: Call, machine: Machine) -> Operation:
        """A try of an order, for the history."""
        kind = OPERATIONS[call.kind]
        if kind is Kind.CONFIGURE:
            number, body = call.body
            return Operation(kind, machine.name, self.fleet.now, number=number, body=mark(zlib.decompress(body)))
        return Operation(kind, machine.name, self.fleet.now, zone=call.body or "")

    def hand(self, call: Call, machine: Machine, tries: int, operation: int) -> None:
        """An order is at a node."""
        if call.attempt != tries or call.verdict is not None:
            return  # the operator has turned away
        control, fleet = machine.control, self.fleet
        told = partial(self.said, Try(call, machine, tries, operation))
        body = zlib.decompress(call.body[1]) if call.kind == "config" else b""
        asked = Asked({"of": call.body}, body, told)
        way = {
            "config": control.replace_configuration,
            "read": control.read_configuration,
            "empty": control.start_evacuation,
            "fill": control.finish_evacuation,
        }[call.kind]
        fleet.calling = call
        try:
            said = way(asked)
        finally:
            fleet.calling = None
        if said is not None:
            told(said.status, said.body)

    def said(
        self, tried: Try, status: int, body: bytes, *_: object, on_delivery: DeliveryCallback | None = None
    ) -> None:
        """A node has an answer, which may get lost on its way. `on_delivery`: the node wants to know."""
        fleet, machine = self.fleet, tried.machine
        if status == OK:
            self.acker = machine
            self.acknowledged()
        if self.answer_loss and self.chance.random() < self.answer_loss:
            fleet.count("answers lost")
            self.tell_delivery(tried, Delivery.LOST, on_delivery)
            return
        fleet.at(fleet.now + fleet.way(machine.ip, "operator"), self.heard, tried, status, body, on_delivery)

    def tell_delivery(self, tried: Try, delivery: Delivery, on_delivery: DeliveryCallback | None) -> None:
        """The node sees how the operator's connection ends."""
        if on_delivery is not None:
            machine, fleet = tried.machine, self.fleet
            fleet.at(fleet.now + CONNECTION_ENDS_AFTER, fleet.do, machine, machine.life, on_delivery, delivery)

    def heard(self, tried: Try, status: int, body: bytes, on_delivery: DeliveryCallback | None = None) -> None:
        """An operator has an answer. He has turned away from those of earlier tries."""
        call = tried.call
        if call.attempt != tried.number:
            self.tell_delivery(tried, Delivery.LOST, on_delivery)
            return
        self.tell_delivery(tried, Delivery.DELIVERED, on_delivery)
        self.record(tried, status, body)
        if call.verdict is not None:
            return
        if status == OK:
            self.done(call, body)
        elif status == NOT_FOUND and call.kind == "read":
            call.verdict = "none"
        elif status == CONFLICT and call.kind == "config":
            call.verdict = "refused"  # rightly or not: the history tells
            self.fleet.count("refused")
        elif status < SERVER_ERROR:
            raise InvariantError(f"{call.kind} {str(call.body)[:40]} is answered {status}")
        else:
            self.after(50 + self.chance.randrange(200), self.place_anywhere, call)

    def record(self, tried: Try, status: int, body: bytes) -> None:
        """Into the history. An answer that says nothing leaves the call in doubt."""
        now, operation = self.fleet.now, tried.operation
        if tried.call.kind == "read" and status in (OK, NOT_FOUND):
            number = int(json.loads(body)["Revision"][1:]) if status == OK else 0
            self.history.end_read(operation, now, number, mark(body) if number else b"")
        elif status == OK:
            self.history.end(operation, now, Verdict.ACKNOWLEDGED)
        elif status == CONFLICT:
            self.history.end(operation, now, Verdict.REFUSED)

    def done(self, call: Call, body: bytes) -> None:
        """An operator knows that his order was carried out."""
        call.verdict, call.done_at, call.state = "done", self.fleet.now, body
        self.rule_checker.on_acknowledged(call, self.fleet.now)
        if call.kind == "empty":
            self.after(self.zones_busy.get(call.body, 1000), self.take_back, call.body)
        elif call.kind == "fill":
            self.restored_at[call.body] = self.fleet.now
            self.after(2000, self.free, call.body)

    def place_anywhere(self, call: Call) -> None:
        """Another try."""
        self.place(call, self.any())

    def missed(self, call: Call, tries: int) -> None:
        """Nothing came back."""
        if call.verdict is None and call.attempt == tries:
            self.place(call, self.any())

    # Faults that wait for an acknowledgement.

    def after_ack(self, what: str, ms: int) -> None:
        """A fault right behind the next acknowledgement: the moment at which it hurts most."""
        self.trap = what, ms

    def acknowledged(self) -> None:
        """A node has just acknowledged an order."""
        if self.trap and self.fleet.now < self.ends:
            (what, ms), self.trap = self.trap, None
            arguments = {
                "kill": (LEADER, 1500),
                "term": (LEADER, 1500),
                "wipe": (LEADER, 800),
                "kill_all": (self.tags, 500),
                "cut_one": (LEADER, "both", False, 3000),
            }[what]
            self.after(ms, self.strike, what, arguments)

    def strike(self, what: str, arguments: tuple) -> None:
        """Guards the calm against a fault that was on its way when it began."""
        if self.fleet.now < self.ends:
            self.befall(what, arguments)
