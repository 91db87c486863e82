"""One seeded run of the whole system: clients, operators and a plan of faults; then a calm in which everything must
work, and a closing fault after which the system must serve again.

`SystemRun(seed, nodes, plan=[...]).play()` plays a given plan (`plan.py`), as tests do with plans that once failed.
"""

import json
import zlib
from collections.abc import Callable
from random import Random

from . import linearizability
from .checks import InvariantError
from .clients import ClientGroup, Clients
from .fleet import ZONES, Fleet, Machine
from .linearizability import Kind, Operation, Recorder
from .operators import OK, Operators, body_digest
from .plan import FAULTS_BEGIN_MS, LAST_ACKNOWLEDGER, LEADER, SERVICES, Row, draw_plan
from .rules import APPLY, IN_TOUCH, RECOVERY, RuleChecker
from .system_faults import SystemFaults
from .world import Call

MS, SEC = 10**6, 10**9
CHECK_INTERVAL = 250 * MS  # between two checks of the rules that must hold throughout
CALM_ACK_TIMEOUT = 6 * SEC  # for an order, once all faults have ended
RESTORE_TIMEOUT = 10 * SEC  # after an acknowledged return: as long as an order may be repeated, plus its latency
SMALL_FLEET = 20  # with fewer machines the core has four members
# The probability that some machines stay down in the calm, and the share of requests that must be served then.
LEFT_DOWN_CHANCE, MIN_SERVED_SHARE = 0.3, 0.9
MAX_LIST_VERSIONS = 2  # of the server list at once, because one may be on its way


class SystemRun(Operators, Clients, SystemFaults):
    """Plays one seed."""

    def __init__(
        self, seed: int, nodes: int = 11, disks: int | None = None, length: int = 10000, plan: list[Row] | None = None
    ) -> None:  # fmt: skip
        """`disks`: machines of the core; `length`: ms during which faults begin; `plan`: drawn from the seed if
        None."""
        disks = disks or (4 if nodes < SMALL_FLEET else 6)
        self.seed, self.nodes, self.disks, self.length = seed, nodes, disks, length
        self.fleet = fleet = Fleet(seed, nodes, disks, sync=(1, 1, 20, 80)[seed % 4] * MS)
        self.rng = fleet.rng
        self.plan = draw_plan(seed, nodes, disks, length) if plan is None else plan
        fleet.rule_checker = self.rule_checker = RuleChecker(fleet)
        fleet.calling, fleet.links_calm_at = None, 0
        self.calls, self.armed_fault, self.last_acknowledger, self.is_calm = [], None, None, False
        self.history, self.answer_loss = Recorder(), 0.0
        self.revisions, self.sent_configurations, self.evacuating_zones = [], [], {}
        self.restored_at: dict[str, int] = {}  # when the operator of a zone knew that its evacuation had ended
        self.successors = {}  # machine to its successor that already runs
        self.groups = [ClientGroup(zone, lifetimes) for zone in ZONES for lifetimes in (1, 1, 3)]
        self.request_count, self.rates = 0, {"ann": 16, "two": 8, "low": 2, "hot": 7}
        self.closing = None
        self.faults_end_at = (FAULTS_BEGIN_MS + length) * MS

    def play(self) -> dict[str, int]:
        """Returns the counts of events; raises `InvariantError` if a rule does not hold."""
        self.start_all()
        fleet = self.fleet
        for at, what, *args in self.plan:
            fleet.at(at * MS, self.apply_row, what, args)
        fleet.run(self.faults_end_at)
        self.settle()
        if self.closing:
            self.close(*self.closing)
        self.check_history()
        return fleet.counts

    def start_all(self) -> None:
        """Starts the servers, machines and clients, and sends the first configuration."""
        fleet, rng = self.fleet, self.rng
        for service in SERVICES:
            for zone in ZONES:
                for _ in range(2):
                    fleet.add_server(service, zone, False)
        fleet.platform.list_history[0] = (-60 * SEC, fleet.platform.list_history[-1][1])
        within = rng.choice((50, 1500))
        for machine in fleet.machines:
            fleet.at(rng.randrange(within * MS), fleet.start, machine)
        fleet.at(500 * MS, self.config)
        for tenant in self.rates:
            fleet.at(2 * SEC, self.send_continuously, tenant)
        fleet.at(4 * SEC, self.probe)
        fleet.at(0, self.check_continuously)

    def apply_row(self, what: str, arguments: list) -> None:
        """Applies a row of the plan that comes due."""
        self.fleet.note(what, *arguments)
        self.fleet.count(what)
        getattr(self, what)(*arguments)

    def after(self, ms: int, what: Callable[..., object], *arguments: object) -> None:
        """Schedules a callback `ms` ms from now."""
        self.fleet.at(self.fleet.now + ms * MS, what, *arguments)

    def check_continuously(self) -> None:
        """Checks the rules that must hold throughout the run."""
        self.rule_checker.check_confirmed_times()
        for call in self.calls:
            self.rule_checker.check_acknowledgement_time(call, self.fleet.now)
        self.calls = [call for call in self.calls if call.verdict is None and self.fleet.now < call.deadline]
        self.fleet.at(self.fleet.now + CHECK_INTERVAL, self.check_continuously)

    def pick(self, target: int) -> Machine:
        """The machine that a row of the plan means."""
        fleet = self.fleet
        if target == LEADER:
            return next((m for m in fleet.core if m.up and m.leads), fleet.core[0])
        if target == LAST_ACKNOWLEDGER:
            return self.last_acknowledger if self.last_acknowledger in fleet.machines else fleet.machines[0]
        return fleet.machines[min(target, len(fleet.machines) - 1)]  # the list is shorter while one is being replaced

    def last(self, kind: str, salt: int) -> None:
        """Sets the closing fault, which follows the calm."""
        self.closing = (kind, salt) if kind != "none" else None

    # The calm at the end.

    def settle(self) -> None:
        """Ends all faults; then an order must be acknowledged, all nodes must agree, and requests must be served."""
        fleet = self.fleet
        self.end_faults()
        down = self.stop_some_machines()
        for machine in fleet.machines:
            if machine not in down and not (machine.up and not machine.node_process.shutdown.in_progress):
                fleet.stop(machine)
                fleet.start(machine)
            machine.active_faults = 0 if machine.up else 1
        fleet.core_active_faults, fleet.core_calm_at, fleet.links_calm_at = 0, fleet.now, fleet.now
        ended_events = {
            fleet.start,
            fleet.thaw,
            fleet.mend,
            self.restore_links,
            self.heal_disk,
            self.kill_after_grace,
            self.stutter,
        }
        ended_events |= {self.terminate, self.remove_for_good, self.term_before_calm, self.continue_storm}
        fleet.heap = sorted(event for event in fleet.heap if event[2] not in ended_events)
        sent = fleet.now
        call = self.config()
        fleet.run(sent + CALM_ACK_TIMEOUT)
        if call.done_at is None:
            raise InvariantError(f"no acknowledgement within {CALM_ACK_TIMEOUT / SEC:.0f} s of calm")
        fleet.counts["calm_ms_most"] = (call.done_at - sent) // MS
        fleet.run(sent + IN_TOUCH + APPLY + 2 * SEC)
        self.check_agreement(call)
        self.check_zones_restored()
        self.check_requests_served(3 * SEC)

    def check_zones_restored(self) -> None:
        """Checks that no lost answer leaves a zone evacuated for ever: one operator evacuates it, and it opens after
        that operator's return."""
        fleet = self.fleet
        for zone, restored_at in self.restored_at.items():
            evacuated_at = [
                m.name for m in fleet.machines if m.up and zone in m.node_process.replicated_state.state.evacuated_zones
            ]
            if evacuated_at and fleet.now - restored_at > RESTORE_TIMEOUT:
                raise InvariantError(
                    f"{zone} is evacuated at {evacuated_at}, {(fleet.now - restored_at) / SEC:.1f} s after its return"
                )

    def end_faults(self) -> None:
        """Ends all faults of links, disks, the platform and servers; completes planned replacements."""
        fleet = self.fleet
        self.armed_fault, self.is_calm, self.answer_loss = None, True, 0.0
        fleet.note("calm")
        fleet.mend([pair for pair, count in list(fleet.cuts.items()) for _ in range(count)])
        fleet.loss, fleet.repeat, fleet.max_extra_delay = 0.005, 0.002, 0
        fleet.platform.down_until = min(fleet.platform.down_until, fleet.now)
        fleet.refused_until.clear()
        for machine in list(self.successors):
            self.remove_for_good(machine)
        for machine in fleet.machines:
            if machine.disk:
                machine.disk.hangs = machine.disk.full = False
                machine.disk.wait = machine.disk.default_wait
            if machine.frozen:
                fleet.thaw(machine, machine.life)

    def stop_some_machines(self) -> set[Machine]:
        """In some runs, stops a few machines that stay down through the calm."""
        fleet, rng = self.fleet, self.rng
        if rng.random() >= LEFT_DOWN_CHANCE:
            return set()
        lost = fleet.lost()
        intact = [machine for machine in fleet.core if machine not in lost]
        spare = (len(fleet.core) - 1) // 2 - len(lost)
        down = set(rng.sample(intact, max(0, min(spare, len(intact)))))
        down |= set(rng.sample([m for m in fleet.machines if not m.in_core], rng.randrange(2)))
        for machine in sorted(down, key=lambda each: each.name):
            fleet.stop(machine)
            fleet.note("left down", machine.name)
        return down

    def check_agreement(self, call: Call) -> None:
        """Checks that each node that is up holds the newest configuration, lists all nodes that are up as ready, and
        knows the same servers; machines removed for good must not be members."""
        fleet = self.fleet
        up = [machine for machine in fleet.machines if machine.up]
        rows = sorted(m.name for m in up)
        for machine in up:
            node_process = machine.node_process
            held = node_process.request_proxy.configuration.revision if node_process.request_proxy.configuration else 0
            if held != call.body[0]:
                raise InvariantError(f"{machine.name} holds r{held} instead of r{call.body[0]} in the calm")
            is_joining = machine.in_core and fleet.is_joining(machine)
            if not node_process.disseminator.ready or is_joining:
                raise InvariantError(
                    f"{machine.name} is not ready in the calm" + (", and not yet a full member" if is_joining else "")
                )
            listed = [entry.name for entry in node_process.disseminator.roster if entry.ready]
            if listed != rows:
                raise InvariantError(f"{machine.name} lists {listed} as ready")
        lists = {m.node_process.disseminator.endpoints_version for m in up}
        if len(lists) > MAX_LIST_VERSIONS:
            raise InvariantError(f"too many versions of the server list in the calm: {lists}")
        still_listed = [
            machine.name for machine in fleet.removed if machine.name in fleet.safety_checker.newest_state.members
        ]
        # The member list never becomes smaller than at the first start, so each member that is down keeps a removed one
        # on the list.
        down = sum(not machine.up for machine in fleet.core)
        if len(still_listed) > down:
            raise InvariantError(f"removed for good, but still members: {still_listed}")

    def check_requests_served(self, span: int) -> None:
        """Checks that the latest requests that no quota limits were served. Clients that use an old directory answer do
        not count: they may still send to nodes that are down."""
        fleet = self.fleet
        sent = [
            r
            for r in fleet.requests.values()
            if fleet.now - span < r.sent < fleet.now - SEC
            and r.tenant == "ann"
            and r.group.lifetimes == 1
            and r.must_succeed
        ]
        served = sum(r.status == OK for r in sent)
        if not sent or served < MIN_SERVED_SHARE * len(sent):
            raise InvariantError(f"{served} of {len(sent)} requests are served in the calm")

    # The closing fault.

    def close(self, kind: str, salt: int) -> None:
        """Applies the closing fault: kills all machines at once, or cuts their power with as many disks lost as may be,
        or loses only these disks; then checks the recovery."""
        fleet = self.fleet
        fleet.note("close", kind)
        were_up = [machine for machine in fleet.machines if machine.up]
        lost = self.pick_lost_machines(kind, Random(salt))
        floor, number = fleet.safety_checker.newest_acknowledged(), self.rule_checker.acknowledged[-1][1]
        for machine in were_up:
            if machine in lost:
                fleet.wipe(machine)
            elif kind != "wipe":
                fleet.stop(machine)
        rng, last_restart = Random(salt + 1), 0
        for machine in were_up:
            at = rng.randrange(10, 1000)
            last_restart = max(last_restart, at)
            self.after(at, fleet.start, machine)
        fleet.run(fleet.now + last_restart * MS)
        self.wait_for_recovery(were_up)
        call = self.call("read", None, 10 * SEC)
        fleet.run(fleet.now + 6 * SEC)
        if call.verdict != "done" or json.loads(call.state)["Revision"] != f"r{number}":
            raise InvariantError(f"LOST: r{number} cannot be read back after the closing fault")
        behind = [m.name for m in were_up if m.node_process.replicated_state.state.index < floor]
        if behind:
            raise InvariantError(f"LOST: {behind} lack a state that was acknowledged")
        self.check_requests_served(3 * SEC)

    def pick_lost_machines(self, kind: str, rng: Random) -> set[Machine]:
        """Picks as many machines of the core as may lose their disks; those that were left down count among them."""
        if kind not in ("power", "wipe"):
            return set()
        core = [machine for machine in self.fleet.core if machine.up]
        count = self.fleet.survive - (len(self.fleet.core) - len(core))
        return set(rng.sample(core, max(0, min(count, len(core)))))

    def wait_for_recovery(self, were_up: list[Machine]) -> None:
        """Runs until all that were up serve again; raises `InvariantError` if that takes longer than RECOVERY."""
        fleet, returned = self.fleet, self.fleet.now
        while not all(m.node_process.disseminator.ready for m in were_up):
            if fleet.now - returned > RECOVERY:
                late = [m.name for m in were_up if not m.node_process.disseminator.ready]
                raise InvariantError(f"RECOVER: {late} do not serve {RECOVERY // SEC} s after the closing fault")
            fleet.run(fleet.now + 100 * MS)
        fleet.counts["recovery_ms_most"] = (fleet.now - returned) // MS

    def check_history(self) -> None:
        """Checks the history of all operators' calls, with the leader's final state as a last read."""
        fleet = self.fleet
        leader = next((machine for machine in fleet.core if machine.up and machine.leads), None)
        if leader is not None:
            state = leader.node_process.replicated_state.state
            end = self.history.begin(Operation(Kind.READ, leader.name, fleet.now))
            self.history.end_read(
                end, fleet.now, state.revision, body_digest(zlib.decompress(state.body)), state.evacuated_zones
            )
        linearizability.check(self.history.operations())
