"""Runs that end with lost disks while all other machines lose power, including diskless and joining ones.

Nothing then remains in memory: no lease, roster or endpoint list, and no seed that answers. The loss occurs some ms
after an order was sent or right after its acknowledgement, in one of the `SITUATIONS`. After it all that was
acknowledged must be present, nothing older may be served, and the fleet must serve again within `RECOVERY`.

`python -m rampfront.simulation --closing` plays them. Source: RULES, "After a loss", and the operators' news on it.
"""

import json
from collections.abc import Callable
from random import Random

from .checks import InvariantError
from .fleet import ZONES, Machine
from .plan import CATCH_UP_MS, FAULTS_BEGIN_MS, LEADER
from .system_run import SystemRun
from .world import Call

MS, SEC = 10**6, 10**9
STRIKE_DELAY_MS = (5, 400)  # from the sending of the order to the loss
ORDER_TIMEOUT = 4 * SEC  # time for the answer to an order
RESTART_DELAY_MS = (10, 1500)  # from the loss to the start of a machine
AFTER_ACK_CHANCE, SEEDS_CHANGE_CHANCE, LEADER_WIPED_CHANCE, NEWEST_WIPED_CHANCE = 0.6, 0.4, 0.3, 0.5
UNKNOWN_SEED = "10.99.9.9"  # address without a machine
READ_TIMEOUT = 10 * SEC
ORDERS = "config", "config", "empty", "fill"


class ClosingLossRun(SystemRun):
    """Plays one seed: a situation, an order, the loss, and the recovery."""

    def __init__(self, seed: int, nodes: int = 11, disks: int | None = None) -> None:
        """`disks`: number of machines of the core."""
        super().__init__(seed, nodes, disks, length=0, plan=[])
        self.faults_end_at = 1 << 62  # faults of a situation may occur at any time
        self.loss_rng = Random(seed * 6133 + nodes)
        self.struck = False

    def play(self) -> dict[str, int]:
        """Plays the run and returns the counts of what happened; raises `InvariantError` if a check fails."""
        self.start_all()
        fleet, rng = self.fleet, self.loss_rng
        fleet.run(FAULTS_BEGIN_MS * MS)
        zone = rng.choice(list(ZONES))
        kind = rng.choice(ORDERS)
        if kind == "fill":
            self.acknowledged_order(lambda: self.call("empty", zone))
        situation = rng.choice(SITUATIONS)
        fleet.note("situation", situation.__name__)
        fleet.count(situation.__name__)
        situation(self)
        if rng.random() < SEEDS_CHANGE_CHANCE:
            self.name_other_seeds()
        self.order_before_strike(kind, zone)
        self.strike()
        self.check_recovery()
        self.check_history()
        return fleet.counts

    # Orders.

    def acknowledged_order(self, send: Callable[[], Call]) -> None:
        """Sends an order, which must be acknowledged before the run continues."""
        call = send()
        self.fleet.run(self.fleet.now + ORDER_TIMEOUT)
        if call.verdict != "done":
            raise InvariantError(f"no acknowledgement of {call.kind} before the loss")

    def order_before_strike(self, kind: str, zone: str) -> None:
        """Sends the last order and runs until the loss, right after its acknowledgement or after a random delay."""
        fleet, rng = self.fleet, self.loss_rng
        if kind == "fill":
            self.rule_checker.on_restore_sent(zone)
        call = self.config() if kind == "config" else self.call(kind, zone)
        wait = rng.randrange(*STRIKE_DELAY_MS)
        if rng.random() < AFTER_ACK_CHANCE:
            ends = fleet.now + ORDER_TIMEOUT
            while call.verdict is None and fleet.now < ends:
                fleet.run(fleet.now + MS)
            wait = rng.randrange(6)
        fleet.run(fleet.now + wait * MS)

    def name_other_seeds(self) -> None:
        """Changes the seeds in the settings to one machine of the core, not its founder, and addresses without a
        machine."""
        fleet = self.fleet
        some = [machine.ip for machine in fleet.core if machine.name not in fleet.safety_checker.founders]
        fleet.seeds = [self.loss_rng.choice(some or [fleet.core[0].ip]), UNKNOWN_SEED]
        gone = [machine.ip for machine in fleet.removed[-1:]]
        fleet.seeds += gone
        self.loss_rng.shuffle(fleet.seeds)
        fleet.note("seeds", fleet.seeds)

    # Situations in which the loss occurs.

    def calm_before(self) -> None:
        """There is no other fault."""

    def replaced(self) -> None:
        """A machine of the core was removed for good, and its successor is joining or has joined."""
        self.replace(
            self.loss_rng.choice((LEADER, self.loss_rng.randrange(self.disks))), self.loss_rng.randrange(300, 1500)
        )
        self.pass_ms(0, CATCH_UP_MS + 2500)

    def replaced_on_a_slow_disk(self) -> None:
        """As `replaced`, with a successor whose disk is so slow that it has only partly caught up."""
        self.replace(self.loss_rng.randrange(self.disks), 300)
        successor = self.fleet.core[-1]
        if successor.disk is not None:
            successor.disk.wait = self.loss_rng.randrange(100, 500) * MS
        self.pass_ms(300, 2500)

    def replaced_in_order(self) -> None:
        """The successor starts first; the old machine shuts down and has been removed or soon will be."""
        self.replace_planned(self.loss_rng.randrange(self.disks), self.loss_rng.randrange(500, 3000))
        self.pass_ms(200, 8000)

    def leaving(self) -> None:
        """A member has received SIGTERM and still answers."""
        self.term(self.loss_rng.choice((LEADER, self.loss_rng.randrange(self.disks))), 300)
        self.pass_ms(0, 1500)

    def minority_cut_off(self) -> None:
        """As many machines as may be lost are cut off while changes are made; they restart with an older state."""
        fleet = self.fleet
        away = self.loss_rng.sample(fleet.core, fleet.survive)
        others = [machine for machine in fleet.machines if machine not in away]
        pairs = [pair for one in away for two in others for pair in ((one.ip, two.ip), (two.ip, one.ip))]
        self.cut(pairs, self.loss_rng.choice((2500, 20000)))
        self.pass_ms(1500, 2000)
        for _ in range(3):
            self.config()
        self.pass_ms(500, 1500)

    def disk_trouble(self) -> None:
        """A disk hangs, is full or is slow."""
        trouble = self.loss_rng.choice((self.hang_disk, self.fill_disk, self.slow_disk))
        trouble(self.loss_rng.choice((LEADER, self.loss_rng.randrange(self.disks))), 5000)
        self.pass_ms(0, 1500)

    def changes_under_way(self) -> None:
        """A storm of changes is in progress."""
        self.storm(60, 20)
        self.pass_ms(100, 1000)

    def answers_lost(self) -> None:
        """Answers to operators are lost, and they send their orders again."""
        self.lose_answers(0.7, 20000)

    def struck_before(self) -> None:
        """All machines lost power a moment ago and are starting again."""
        for machine in list(self.fleet.machines):
            self.fleet.stop(machine)
            self.after(self.loss_rng.randrange(10, 600), self.fleet.start, machine)
        self.pass_ms(700, 4000)

    def pass_ms(self, least: int, most: int) -> None:
        """Runs for a random time (ms)."""
        self.fleet.run(self.fleet.now + self.loss_rng.randrange(least, most) * MS)

    # The loss.

    def strike(self) -> None:
        """Wipes as many disks as may be lost; all other machines lose power at the same time, and all start again."""
        fleet, rng = self.fleet, self.loss_rng
        self.struck, self.armed_fault, self.answer_loss = True, None, 0.0
        lost = self.machines_to_wipe()
        fleet.note("strike", [machine.name for machine in lost])
        for machine in list(fleet.machines):
            if machine in lost:
                fleet.wipe(machine)
                fleet.count("disks lost")
            else:
                fleet.stop(machine)
        back = 0
        for machine in list(fleet.machines):
            at = rng.randrange(*RESTART_DELAY_MS)
            back = max(back, at)
            self.after(at, fleet.start, machine)
        self.end_faults()
        fleet.run(fleet.now + back * MS)

    def machines_to_wipe(self) -> list[Machine]:
        """As many machines as may lose their disks besides those that are joining: random ones, or preferably the
        leader or those with the newest state."""
        core = [machine for machine in self.fleet.core if machine.disk is not None]
        self.loss_rng.shuffle(core)
        chance = self.loss_rng.random()
        if chance < LEADER_WIPED_CHANCE:
            core.sort(key=lambda machine: not machine.leads)
        elif chance < LEADER_WIPED_CHANCE + NEWEST_WIPED_CHANCE:
            core.sort(key=lambda machine: -machine.applied_index)
        lost: list[Machine] = []
        for machine in core:
            if len({machine, *lost, *self.fleet.lost()}) <= self.fleet.survive:
                lost.append(machine)
        return lost

    # The recovery.

    def check_recovery(self) -> None:
        """Each node must have all that was acknowledged in time, and the fleet must serve."""
        fleet = self.fleet
        floor, number = fleet.safety_checker.newest_acknowledged(), self.rule_checker.acknowledged[-1][1]
        self.wait_for_recovery(list(fleet.machines))
        call = self.call("read", None, READ_TIMEOUT)
        fleet.run(fleet.now + READ_TIMEOUT)
        if call.verdict != "done" or int(json.loads(call.state)["Revision"][1:]) < number:
            raise InvariantError(f"LOST: r{number} is not read back after the closing loss")
        for machine in fleet.machines:
            state = machine.node_process.replicated_state.state
            if state.index < floor:
                raise InvariantError(f"LOST: {machine.name} holds index {state.index}, but {floor} was acknowledged")
            lost = [zone for zone in self.evacuated_zones() if zone not in state.evacuated_zones]
            if lost:
                raise InvariantError(f"LOST: {machine.name} lacks the evacuation of {lost}")
        self.check_requests_served(3 * SEC)

    def evacuated_zones(self) -> list[str]:
        """Zones whose evacuation was acknowledged and whose restoring nobody has ordered."""
        return [
            zone for zone, rows in self.rule_checker.evacuations.items() if any(back is None for _, back in rows)
        ]  # fmt: skip


SITUATIONS: tuple[Callable[[ClosingLossRun], None], ...] = (
    ClosingLossRun.calm_before,
    ClosingLossRun.replaced,
    ClosingLossRun.replaced_on_a_slow_disk,
    ClosingLossRun.replaced_in_order,
    ClosingLossRun.leaving,
    ClosingLossRun.minority_cut_off,
    ClosingLossRun.disk_trouble,
    ClosingLossRun.changes_under_way,
    ClosingLossRun.answers_lost,
    ClosingLossRun.struck_before,
)
