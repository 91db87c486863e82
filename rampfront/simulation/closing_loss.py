"""Runs that end with lost disks while all other machines lose power, those without a disk and newcomers too.

Nothing is left in any memory then: no lease, roster, endpoint list nor seed that answers. The loss strikes behind an
order, so many ms after it was sent or right behind its acknowledgement, amid whatever `SITUATIONS` names. Behind it all
that was acknowledged must be there, nothing older is served, and the fleet serves again within `RECOVERY`.

`python -m rampfront.simulation --closing` plays them. Source: RULES, "After a loss", and the operators' news on it.
"""

import json
from collections.abc import Callable
from random import Random

from .checks import InvariantError
from .fleet import ZONES, Machine
from .plan import BEGIN, CATCH_UP, LEADER
from .system_run import SystemRun
from .world import Call

MS, SEC = 10**6, 10**9
STRIKE_MS = (5, 400)  # behind the sending of the order
ORDER_ENDS = 4 * SEC  # by then the order before the strike is answered, or is not
RESTARTS_MS = (10, 1500)  # behind the strike
BEHIND_ACK, SEEDS_CHANGE, LEADER_WIPED, NEWEST_WIPED = 0.6, 0.4, 0.3, 0.5  # chances
UNKNOWN_SEED = "10.99.9.9"  # nobody stands there
READ_WITHIN = 10 * SEC
ORDERS = "config", "config", "empty", "fill"


class ClosingLossRun(SystemRun):
    """Plays one seed: a situation, an order, the loss, and the recovery."""

    def __init__(self, seed: int, nodes: int = 11, disks: int | None = None) -> None:
        """`disks`: machines of the core."""
        super().__init__(seed, nodes, disks, length=0, plan=[])
        self.ends = 1 << 62  # faults of a situation may come at any time
        self.draw = Random(seed * 6133 + nodes)
        self.struck = False

    def play(self) -> dict[str, int]:
        """Returns the counts of what happened; raises `InvariantError`."""
        self.start_all()
        fleet, draw = self.fleet, self.draw
        fleet.run(BEGIN * MS)
        zone = draw.choice(list(ZONES))
        kind = draw.choice(ORDERS)
        if kind == "fill":
            self.acknowledged_order(lambda: self.call("empty", zone))
        situation = draw.choice(SITUATIONS)
        fleet.note("situation", situation.__name__)
        fleet.count(situation.__name__)
        situation(self)
        if draw.random() < SEEDS_CHANGE:
            self.name_other_seeds()
        self.order_before_strike(kind, zone)
        self.strike()
        self.check_recovery()
        self.check_history()
        return fleet.counts

    # Orders.

    def acknowledged_order(self, send: Callable[[], Call]) -> None:
        """An order that is acknowledged before the run goes on."""
        call = send()
        self.fleet.run(self.fleet.now + ORDER_ENDS)
        if call.verdict != "done":
            raise InvariantError(f"no acknowledgement of {call.kind} before the loss")

    def order_before_strike(self, kind: str, zone: str) -> None:
        """Sends the last order and runs up to the moment of the loss: behind its acknowledgement, or before that."""
        fleet, draw = self.fleet, self.draw
        if kind == "fill":
            self.rule_checker.on_restore_sent(zone)
        call = self.config() if kind == "config" else self.call(kind, zone)
        wait = draw.randrange(*STRIKE_MS)
        if draw.random() < BEHIND_ACK:
            ends = fleet.now + ORDER_ENDS
            while call.verdict is None and fleet.now < ends:
                fleet.run(fleet.now + MS)
            wait = draw.randrange(6)
        fleet.run(fleet.now + wait * MS)

    def name_other_seeds(self) -> None:
        """The settings name one machine of the core that is not its founder, and others that nobody answers for."""
        fleet = self.fleet
        some = [machine.ip for machine in fleet.core if machine.name not in fleet.safety_checker.founders]
        fleet.seeds = [self.draw.choice(some or [fleet.core[0].ip]), UNKNOWN_SEED]
        gone = [machine.ip for machine in fleet.removed[-1:]]
        fleet.seeds += gone
        self.draw.shuffle(fleet.seeds)
        fleet.note("seeds", fleet.seeds)

    # Situations: what the loss strikes amid.

    def calm_before(self) -> None:
        """Nothing else is wrong."""

    def replaced(self) -> None:
        """A machine of the core is gone for good, and its successor comes in meanwhile."""
        self.replace(self.draw.choice((LEADER, self.draw.randrange(self.disks))), self.draw.randrange(300, 1500))
        self.pass_ms(0, CATCH_UP + 2500)

    def replaced_on_a_slow_disk(self) -> None:
        """The same, and the successor's disk is so slow that it is half caught up."""
        self.replace(self.draw.randrange(self.disks), 300)
        successor = self.fleet.core[-1]
        if successor.disk is not None:
            successor.disk.wait = self.draw.randrange(100, 500) * MS
        self.pass_ms(300, 2500)

    def replaced_in_order(self) -> None:
        """The successor starts first; the old machine leaves, and is gone, or about to go."""
        self.replace_planned(self.draw.randrange(self.disks), self.draw.randrange(500, 3000))
        self.pass_ms(200, 8000)

    def leaving(self) -> None:
        """A member is told to leave, and still answers."""
        self.term(self.draw.choice((LEADER, self.draw.randrange(self.disks))), 300)
        self.pass_ms(0, 1500)

    def minority_cut_off(self) -> None:
        """As many as may be lost are cut off while changes are made; they come back to power with an older state."""
        fleet = self.fleet
        away = self.draw.sample(fleet.core, fleet.survive)
        others = [machine for machine in fleet.machines if machine not in away]
        pairs = [pair for one in away for two in others for pair in ((one.ip, two.ip), (two.ip, one.ip))]
        self.cut(pairs, self.draw.choice((2500, 20000)))
        self.pass_ms(1500, 2000)
        for _ in range(3):
            self.config()
        self.pass_ms(500, 1500)

    def disk_trouble(self) -> None:
        """A disk hangs, is full or is slow."""
        trouble = self.draw.choice((self.hang_disk, self.fill_disk, self.slow_disk))
        trouble(self.draw.choice((LEADER, self.draw.randrange(self.disks))), 5000)
        self.pass_ms(0, 1500)

    def changes_under_way(self) -> None:
        """A storm of changes goes on."""
        self.storm(60, 20)
        self.pass_ms(100, 1000)

    def answers_lost(self) -> None:
        """Operators lose answers, and send again."""
        self.lose_answers(0.7, 20000)

    def struck_before(self) -> None:
        """All lost power a moment ago, and are just coming back."""
        for machine in list(self.fleet.machines):
            self.fleet.stop(machine)
            self.after(self.draw.randrange(10, 600), self.fleet.start, machine)
        self.pass_ms(700, 4000)

    def pass_ms(self, least: int, most: int) -> None:
        """Lets some time pass."""
        self.fleet.run(self.fleet.now + self.draw.randrange(least, most) * MS)

    # The loss.

    def strike(self) -> None:
        """As many disks are lost as may be; all other machines lose power at the same moment, and all come back."""
        fleet, draw = self.fleet, self.draw
        self.struck, self.trap, self.answer_loss = True, None, 0.0
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
            at = draw.randrange(*RESTARTS_MS)
            back = max(back, at)
            self.after(at, fleet.start, machine)
        self.end_faults()
        fleet.run(fleet.now + back * MS)

    def machines_to_wipe(self) -> list[Machine]:
        """As many as may lose their disks, beside those that are joining: drawn, the leader, or who has the newest."""
        core = [machine for machine in self.fleet.core if machine.disk is not None]
        self.draw.shuffle(core)
        chance = self.draw.random()
        if chance < LEADER_WIPED:
            core.sort(key=lambda machine: not machine.leads)
        elif chance < LEADER_WIPED + NEWEST_WIPED:
            core.sort(key=lambda machine: -machine.applied_index)
        lost: list[Machine] = []
        for machine in core:
            if len({machine, *lost, *self.fleet.lost()}) <= self.fleet.survive:
                lost.append(machine)
        return lost

    # The recovery.

    def check_recovery(self) -> None:
        """All that was acknowledged is there, at every node, in time; the fleet serves."""
        fleet = self.fleet
        floor, number = fleet.safety_checker.newest_acknowledged(), self.rule_checker.acknowledged[-1][1]
        self.recovers(list(fleet.machines))
        call = self.call("read", None, READ_WITHIN)
        fleet.run(fleet.now + READ_WITHIN)
        if call.verdict != "done" or int(json.loads(call.state)["Revision"][1:]) < number:
            raise InvariantError(f"LOST: r{number} is not read back behind the closing loss")
        for machine in fleet.machines:
            state = machine.node_process.replicated_state.state
            if state.index < floor:
                raise InvariantError(f"LOST: {machine.name} holds {state.index}, {floor} was acknowledged")
            lost = [zone for zone in self.evacuated_zones() if zone not in state.evacuated_zones]
            if lost:
                raise InvariantError(f"LOST: the evacuation of {lost} at {machine.name}")
        self.serves(3 * SEC)

    def evacuated_zones(self) -> list[str]:
        """Those whose evacuation was acknowledged, and that nobody has begun to take back."""
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
