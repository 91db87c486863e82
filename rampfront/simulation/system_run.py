"""One seeded run of the whole: clients, operators, and a plan of what befalls the fleet; then a calm in which all must
work, and a closing fault behind which it must serve again.

`SystemRun(seed, nodes, plan=[...]).play()` plays a plan (`plan.py`) that is given, as failing ones are in tests."""

import json
import zlib
from collections.abc import Callable
from random import Random

from . import linearizability
from .checks import InvariantError
from .clients import Clients, Group
from .fleet import ZONES, Fleet, Machine
from .linearizability import Kind, Operation, Recorder
from .operators import OK, Operators, mark
from .plan import ACKER, BEGIN, LEADER, SERVICES, Row, draw_plan
from .rules import APPLY, IN_TOUCH, RECOVERY, RuleChecker
from .system_faults import SystemFaults
from .world import Call

MS, SEC = 10**6, 10**9
LOOK = 250 * MS  # between two looks at what must hold all the while
CALM = 6 * SEC  # within which an order must be acknowledged once all is well
OPEN_WITHIN = 10 * SEC  # behind an acknowledged return: the time for which an order may be repeated, and its way
SMALL = 20  # machines below which the core has four members
LEFT_DOWN, SERVED = 0.3, 0.9  # the chance that some stay down in the calm; the part of requests served then
LISTS = 2  # versions of the server list at once: one may be on its way


class SystemRun(Operators, Clients, SystemFaults):
    """Plays one seed."""

    def __init__(
        self, seed: int, nodes: int = 11, disks: int | None = None, length: int = 10000, plan: list[Row] | None = None
    ) -> None:  # fmt: skip
        """`disks`: machines of the core; `length`: ms of faults."""
        disks = disks or (4 if nodes < SMALL else 6)
        self.seed, self.nodes, self.disks, self.length = seed, nodes, disks, length
        self.fleet = fleet = Fleet(seed, nodes, disks, sync=(1, 1, 20, 80)[seed % 4] * MS)
        self.chance = fleet.chance
        self.plan = draw_plan(seed, nodes, disks, length) if plan is None else plan
        fleet.rule_checker = self.rule_checker = RuleChecker(fleet)
        fleet.calling, fleet.links_calm_at = None, 0
        self.calls, self.trap, self.acker, self.calm = [], None, None, False
        self.history, self.answer_loss = Recorder(), 0.0
        self.revs, self.sent, self.zones_busy = [], [], {}
        self.restored_at: dict[str, int] = {}  # when the operator of a zone knew that it was taken back
        self.leaving = {}  # machine to the successor that runs already
        self.groups = [Group(zone, patience) for zone in ZONES for patience in (1, 1, 3)]
        self.tags, self.rates = 0, {"ann": 16, "two": 8, "low": 2, "hot": 7}
        self.closing = None
        self.ends = (BEGIN + length) * MS

    def play(self) -> dict[str, int]:
        """Returns the counts of what happened; raises `InvariantError`."""
        self.start_all()
        fleet = self.fleet
        for at, what, *args in self.plan:
            fleet.at(at * MS, self.befall, what, args)
        fleet.run(self.ends)
        self.settle()
        if self.closing:
            self.close(*self.closing)
        self.check_history()
        return fleet.counts

    def start_all(self) -> None:
        """Servers, machines, clients and the first configuration."""
        fleet, chance = self.fleet, self.chance
        for service in SERVICES:
            for zone in ZONES:
                for _ in range(2):
                    fleet.serve(service, zone, False)
        fleet.platform.shown[0] = (-60 * SEC, fleet.platform.shown[-1][1])
        within = chance.choice((50, 1500))
        for machine in fleet.machines:
            fleet.at(chance.randrange(within * MS), fleet.start, machine)
        fleet.at(500 * MS, self.config)
        for tenant in self.rates:
            fleet.at(2 * SEC, self.ask_on, tenant)
        fleet.at(4 * SEC, self.probe)
        fleet.at(0, self.look)

    def befall(self, what: str, arguments: list) -> None:
        """A row of the plan comes due."""
        self.fleet.note(what, *arguments)
        self.fleet.count(what)
        getattr(self, what)(*arguments)

    def after(self, ms: int, what: Callable[..., object], *arguments: object) -> None:
        """Something happens so many ms later."""
        self.fleet.at(self.fleet.now + ms * MS, what, *arguments)

    def look(self) -> None:
        """What must hold all the while."""
        self.rule_checker.check_confirmed_times()
        for call in self.calls:
            self.rule_checker.check_acknowledgement_time(call, self.fleet.now)
        self.calls = [call for call in self.calls if call.verdict is None and self.fleet.now < call.deadline]
        self.fleet.at(self.fleet.now + LOOK, self.look)

    def pick(self, who: int) -> Machine:
        """The machine that a plan means."""
        fleet = self.fleet
        if who == LEADER:
            return next((m for m in fleet.core if m.up and m.leads), fleet.core[0])
        if who == ACKER:
            return self.acker if self.acker in fleet.machines else fleet.machines[0]
        return fleet.machines[min(who, len(fleet.machines) - 1)]  # the list is shorter while one is being replaced

    def last(self, kind: str, salt: int) -> None:
        """The closing fault, which comes behind the calm."""
        self.closing = (kind, salt) if kind != "none" else None

    # The calm.

    def settle(self) -> None:
        """All faults are over: an order is acknowledged, all know what holds, and the fleet serves."""
        fleet = self.fleet
        self.end_faults()
        down = self.left_down()
        for machine in fleet.machines:
            if machine not in down and not (machine.up and not machine.node_process.shutdown.in_progress):
                fleet.stop(machine)
                fleet.start(machine)
            machine.troubles = 0 if machine.up else 1
        fleet.core_troubles, fleet.core_calm_at, fleet.links_calm_at = 0, fleet.now, fleet.now
        over = {fleet.start, fleet.thaw, fleet.mend, self.good_links, self.heal, self.grace, self.stutter}
        over |= {self.told_to_leave, self.end_for_good, self.term_in_time, self.change_on}
        fleet.heap = sorted(event for event in fleet.heap if event[2] not in over)
        sent = fleet.now
        call = self.config()
        fleet.run(sent + CALM)
        if call.done_at is None:
            raise InvariantError(f"no acknowledgement within {CALM / SEC:.0f} s of calm")
        fleet.counts["calm_ms_most"] = (call.done_at - sent) // MS
        fleet.run(sent + IN_TOUCH + APPLY + 2 * SEC)
        self.in_step(call)
        self.zones_are_open()
        self.serves(3 * SEC)

    def zones_are_open(self) -> None:
        """No lost answer leaves a zone evacuated for ever: each has one operator, and opens behind his return."""
        fleet = self.fleet
        for zone, restored_at in self.restored_at.items():
            kept = [
                m.name for m in fleet.machines if m.up and zone in m.node_process.replicated_state.state.evacuated_zones
            ]
            if kept and fleet.now - restored_at > OPEN_WITHIN:
                raise InvariantError(
                    f"{zone} is evacuated at {kept}, and was taken back {(fleet.now - restored_at) / SEC:.1f} s ago"
                )

    def end_faults(self) -> None:
        """Nothing is cut, slow or sick any more; those that were about to go for good are gone."""
        fleet = self.fleet
        self.trap, self.calm, self.answer_loss = None, True, 0.0
        fleet.note("calm")
        fleet.mend([pair for pair, count in list(fleet.cuts.items()) for _ in range(count)])
        fleet.loss, fleet.repeat, fleet.slow = 0.005, 0.002, 0
        fleet.platform.down_until = min(fleet.platform.down_until, fleet.now)
        fleet.refuses.clear()
        for machine in list(self.leaving):
            self.end_for_good(machine)
        for machine in fleet.machines:
            if machine.disk:
                machine.disk.hangs = machine.disk.full = False
                machine.disk.wait = machine.disk.default_wait
            if machine.frozen:
                fleet.thaw(machine, machine.life)

    def left_down(self) -> set[Machine]:
        """Now and then a few stay away."""
        fleet, chance = self.fleet, self.chance
        if chance.random() >= LEFT_DOWN:
            return set()
        lost = fleet.lost()
        whole = [machine for machine in fleet.core if machine not in lost]
        spare = (len(fleet.core) - 1) // 2 - len(lost)
        down = set(chance.sample(whole, max(0, min(spare, len(whole)))))
        down |= set(chance.sample([m for m in fleet.machines if not m.counted], chance.randrange(2)))
        for machine in sorted(down, key=lambda each: each.name):
            fleet.stop(machine)
            fleet.note("left down", machine.name)
        return down

    def in_step(self, call: Call) -> None:
        """Every node that is up knows what is in force, lists all that are up and ready, and the same servers; those
        that are gone for good are no members."""
        fleet = self.fleet
        up = [machine for machine in fleet.machines if machine.up]
        rows = sorted(m.name for m in up)
        for machine in up:
            node_process = machine.node_process
            held = node_process.request_proxy.configuration.revision if node_process.request_proxy.configuration else 0
            if held != call.body[0]:
                raise InvariantError(f"{machine.name} goes by r{held}, not r{call.body[0]}, in the calm")
            is_joining = machine.counted and fleet.is_joining(machine)
            if not node_process.disseminator.ready or is_joining:
                raise InvariantError(
                    f"{machine.name} is not ready in the calm" + (", nor taken in" if is_joining else "")
                )
            listed = [entry.name for entry in node_process.disseminator.roster if entry.ready]
            if listed != rows:
                raise InvariantError(f"{machine.name} lists {listed} as ready")
        lists = {m.node_process.disseminator.endpoints_version for m in up}
        if len(lists) > LISTS:
            raise InvariantError(f"lists of servers differ in the calm: {lists}")
        gone = [machine.name for machine in fleet.removed if machine.name in fleet.safety_checker.newest_state.members]
        down = sum(
            not machine.up for machine in fleet.core
        )  # a list is not made smaller than it was at the first start
        if len(gone) > down:
            raise InvariantError(f"still members, and gone for good: {gone}")

    def serves(self, span: int) -> None:
        """What clients sent lately, and the quotas do not touch, was served. Those that hold on to an old answer of the
        directory may still go where nobody is."""
        fleet = self.fleet
        sent = [
            r
            for r in fleet.requests.values()
            if fleet.now - span < r.sent < fleet.now - SEC and r.tenant == "ann" and r.group.patience == 1 and r.proper
        ]
        well = sum(r.status == OK for r in sent)
        if not sent or well < SERVED * len(sent):
            raise InvariantError(f"{well} of {len(sent)} requests are served in the calm")

    # The closing fault.

    def close(self, kind: str, salt: int) -> None:
        """All killed at once; or all without power, as many disks lost as may be; or these alone lost."""
        fleet = self.fleet
        fleet.note("close", kind)
        was = [machine for machine in fleet.machines if machine.up]
        lost = self.lost_at_the_end(kind, Random(salt))
        floor, number = fleet.safety_checker.newest_acknowledged(), self.rule_checker.acknowledged[-1][1]
        for machine in was:
            if machine in lost:
                fleet.wipe(machine)
            elif kind != "wipe":
                fleet.stop(machine)
        chance, back = Random(salt + 1), 0
        for machine in was:
            at = chance.randrange(10, 1000)
            back = max(back, at)
            self.after(at, fleet.start, machine)
        fleet.run(fleet.now + back * MS)
        self.recovers(was)
        call = self.call("read", None, 10 * SEC)
        fleet.run(fleet.now + 6 * SEC)
        if call.verdict != "done" or json.loads(call.state)["Revision"] != f"r{number}":
            raise InvariantError(f"LOST: r{number} is not read back behind the closing fault")
        behind = [m.name for m in was if m.node_process.replicated_state.state.index < floor]
        if behind:
            raise InvariantError(f"LOST: {behind} do not know what was acknowledged")
        self.serves(3 * SEC)

    def lost_at_the_end(self, kind: str, chance: Random) -> set[Machine]:
        """As many machines of the core as may lose their disks; those that were left down count among them."""
        if kind not in ("power", "wipe"):
            return set()
        core = [machine for machine in self.fleet.core if machine.up]
        many = self.fleet.survive - (len(self.fleet.core) - len(core))
        return set(chance.sample(core, max(0, min(many, len(core)))))

    def recovers(self, was: list[Machine]) -> None:
        """All that were up serve again in time."""
        fleet, returned = self.fleet, self.fleet.now
        while not all(m.node_process.disseminator.ready for m in was):
            if fleet.now - returned > RECOVERY:
                late = [m.name for m in was if not m.node_process.disseminator.ready]
                raise InvariantError(f"RECOVER: {late} do not serve {RECOVERY // SEC} s behind the closing fault")
            fleet.run(fleet.now + 100 * MS)
        fleet.counts["recovery_ms_most"] = (fleet.now - returned) // MS

    def check_history(self) -> None:
        """All that operators saw, and the zones that the leader holds evacuated at the end."""
        fleet = self.fleet
        leader = next((machine for machine in fleet.core if machine.up and machine.leads), None)
        if leader is not None:
            state = leader.node_process.replicated_state.state
            end = self.history.begin(Operation(Kind.READ, leader.name, fleet.now))
            self.history.end_read(
                end, fleet.now, state.revision, mark(zlib.decompress(state.body)), state.evacuated_zones
            )
        linearizability.check(self.history.operations())
