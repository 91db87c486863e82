"""One seeded run of the core: orders of the operators, faults, and a fault-free period at the end in which all must
work.

Most runs draw faults at random. In `targeted` runs replacements, lost disks and restarts follow each other as closely
as `CatchUp` allows, there are no other faults, and every order must be acknowledged within `RECOVERY_LIMIT`."""

from collections.abc import Callable

from . import linearizability
from .checks import InvariantError
from .membership_faults import GRACE_PERIOD, MAX_IRREPLACEABLE_MEMBERS, SHUTDOWN_DELAY, MembershipFaults
from .world import CATCH_UP, MS, SEC, Call, Node, World

BEGIN, FIRST_ORDER = 4 * SEC, SEC // 2
RECOVERY_LIMIT = 5 * SEC  # time in which an order must be acknowledged without faults, or after a loss within Survive
TARGETED_SEEDS = 2, 4  # seeds modulo 5
LEFT_DOWN_CHANCE = 0.3  # chance that some machines stay down in the fault-free period
LONG_CUT_CHANCE, CLOSE_CHANGE_CHANCE, FOUNDER_FIRST_CHANCE, LOSE_LEADER_CHANCE = 0.06, 0.2, 0.2, 0.4
# Cumulative shares of the orders; the rest are reads.
CHANGE_SHARE, RACE_SHARE, REPEAT_SHARE, EVACUATION_SHARE = 0.45, 0.5, 0.6, 0.8
LONG_FAULT_PERIOD = 26 * SEC  # in which runs with a cut of 20 s have faults


class Run(MembershipFaults):
    """Plays one seed. `survive`: how many machines may be lost at once."""

    def __init__(self, seed: int, members: int = 4, survive: int | None = None, length: int = 10 * SEC) -> None:
        """Draws the kind of run. `length`: time in which faults are injected (ns)."""
        self.survive = max(0, (members - 1) // 2) if survive is None else survive
        self.world = world = World(seed, members, self.survive, sync=(1, 1, 20, 120)[seed % 4] * MS)
        self.chance, self.members, self.length, self.seed = world.chance, members, length, seed
        self.revision, self.zones = 0, [f"zone-{number}" for number in range(4)]
        self.fault_rate = self.chance.choice((0.3, 0.6, 1.0, 2.0))  # faults per second
        self.after_ack = self.chance.choice((0.0, 0.0, 0.2, 0.5))
        self.targeted = seed % 5 in TARGETED_SEEDS and members > MAX_IRREPLACEABLE_MEMBERS
        self.with_long_cut = not self.targeted and self.chance.random() < LONG_CUT_CHANCE
        self.end = BEGIN + (LONG_FAULT_PERIOD if self.with_long_cut else length)
        self.departing = set()
        self.targeted_call = None  # once it is acknowledged, `strike` hits the members that have it
        self.after_vote = self.chance.choice((0.0, 0.0, 0.0, 0.3))
        world.answer_loss = self.chance.choice((0.0, 0.05, 0.3))
        world.clustered_timeouts = seed % 5 == 0
        if world.clustered_timeouts:
            self.after_vote = 0.6
        world.on_done, world.on_vote = self.on_acknowledged, self.on_vote_sent

    def play(self) -> dict[str, int]:
        """Plays the run and returns the counts of what happened; raises `InvariantError` if a check fails."""
        world, chance = self.world, self.chance
        for node in world.nodes:
            world.at(chance.randrange(chance.choice((50, 1500)) * MS), world.start, node, True)
        world.at(FIRST_ORDER + chance.randrange(SEC), self.send_next_order)
        if self.targeted:
            self.run_targeted_losses()
        else:
            world.at(BEGIN, self.inject_fault)
            if self.with_long_cut:
                world.at(BEGIN + SEC, self.unless_ended, self.cut_long, chance.choice(world.nodes))
            world.run(self.end)
        self.check_recovery()
        return world.counts

    # The operators.

    def new_body(self, number: int) -> bytes:
        """A configuration body that differs from that of every other order."""
        return b"%d/%d" % (number, self.chance.getrandbits(40))

    def send_change(self, node: Node | None = None) -> Call:
        """Sends a configuration with a new number."""
        self.revision += self.chance.randrange(1, 4)
        return self.world.call(
            "config", (self.revision, self.new_body(self.revision)), node or self.world.choose_node(), alone=True
        )

    def race(self) -> None:
        """Sends two bodies with the same number at the same time, to nodes that are drawn separately."""
        self.world.count("races")
        self.revision += 1
        for _ in range(2):
            self.world.call(
                "config", (self.revision, self.new_body(self.revision)), self.world.choose_node(), alone=True
            )

    def send_next_order(self) -> None:
        """Sends the next order and schedules the one after it."""
        world, chance = self.world, self.chance
        if world.now >= self.end:
            return
        draw = chance.random()
        if draw < CHANGE_SHARE or self.revision == 0:
            self.send_change()
            if chance.random() < CLOSE_CHANGE_CHANCE:  # another operator sends the following version at the same time
                self.send_change()
        elif draw < RACE_SHARE:
            self.race()
        elif draw < REPEAT_SHARE:  # an earlier change is sent again
            old = chance.choice([call for call in world.calls if call.kind == "config"])
            world.call("config", old.body, self.world.choose_node(), alone=True)
        elif draw < EVACUATION_SHARE:
            world.call(chance.choice(("empty", "fill")), chance.choice(self.zones), self.world.choose_node())
        else:
            world.call("read", None, self.world.choose_node(), until=5 * SEC)
        world.at(world.now + chance.randrange(20 * MS, 800 * MS), self.send_next_order)

    def on_acknowledged(self, node: Node, call: Call) -> None:
        """Injects a fault right after an acknowledgement, where it can do the most harm."""
        world = self.world
        if call is self.targeted_call:
            return self.strike(call)
        if self.targeted or world.now >= self.end or world.now < BEGIN or self.chance.random() >= self.after_ack:
            return None
        fault = self.chance.choice((self.kill, self.kill, self.lose_disk, self.kill_all, self.cut_one, self.replace))
        world.at(world.now + self.chance.randrange(5 * MS), self.unless_ended, fault, node)
        return None

    def on_vote_sent(self, node: Node) -> None:
        """Kills and restarts a member right after its vote: one that did not store the vote could vote again."""
        world = self.world
        if not self.targeted and BEGIN <= world.now < self.end and self.chance.random() < self.after_vote:
            self.record_fault("vote and kill", node.name)
            world.at(world.now + MS, world.stop, node)
            world.at(world.now + 2 * MS + self.chance.randrange(20 * MS), world.start, node)

    def inject_fault(self) -> None:
        """Injects a fault and schedules the next one."""
        world, chance = self.world, self.chance
        if world.now >= self.end:
            return
        chance.choice(FAULTS)(self, world.choose_node())
        world.at(world.now + int(chance.expovariate(self.fault_rate) * SEC) + MS, self.inject_fault)

    # Targeted runs.

    def run_targeted_losses(self) -> None:
        """Injects losses within `Survive`, each as soon as the previous one no longer counts."""
        world, chance = self.world, self.chance
        world.answer_loss, world.loss = chance.choice((0.0, 0.0, 0.3)), chance.choice((0.0, 0.01))
        self.end = 1 << 62
        world.run(BEGIN + chance.randrange(2 * SEC))
        steps = chance.choices(TARGETED_LOSSES, k=chance.randrange(2, 5))
        if chance.random() < FOUNDER_FIRST_CHANCE:
            steps[0] = self.replace_founder
        for step in steps:
            self.apply_loss(step if callable(step) else getattr(self, step))
        self.apply_loss(self.wipe_and_stop_all)

    def apply_loss(self, step: Callable[[Node], int | None]) -> None:
        """Injects a loss and sends an order, which must be acknowledged in time although the loss has not ended."""
        world, chance = self.world, self.chance
        target = self.leader() if chance.random() < LOSE_LEADER_CHANCE else chance.choice(world.nodes)
        back = step(target) or world.now
        if step == self.wipe_and_stop_all:
            world.run(back)
        sent = world.now
        probe = self.send_change(self.world.chance.choice([node for node in world.nodes if node.up]))
        probe.has_reliable_answers = True
        while probe.acknowledged_at is None and world.now - sent <= RECOVERY_LIMIT:
            world.run(world.now + 20 * MS)
        if probe.acknowledged_at is None:
            raise InvariantError(
                f"no acknowledgement within {RECOVERY_LIMIT // SEC} s of {step.__name__}, a loss within Survive"
            )
        world.counts["aimed_ms_most"] = max(world.counts.get("aimed_ms_most", 0), (probe.acknowledged_at - sent) // MS)
        world.run(max(world.now, back + CATCH_UP + chance.choice((0, 0, chance.randrange(2 * SEC)))))

    def leader(self) -> Node:
        """The leader, or the first machine if there is none."""
        return next((node for node in self.world.nodes if node.up and node.leads), self.world.nodes[0])

    def replace_founder(self, _: Node) -> int | None:
        """Replaces the machine that founded the core."""
        founder = next((node for node in self.world.nodes if node.name in self.world.safety_checker.founders), None)
        return founder and self.replace_in_time(founder)

    def replace_in_time(self, node: Node) -> int:
        """Replaces a machine without asking `may_replace`: the schedule allows it, whatever the members know by now."""
        self.record_fault("replace", node.name)
        return self.replace_by_successor(node)

    def replace_most(self, _: Node) -> int:
        """Replaces as many machines at once as may be lost."""
        return max(self.replace_in_time(node) for node in self.chance.sample(self.world.nodes, self.survive))

    def replace_in_order(self, node: Node) -> int:
        """Replaces a machine as planned: its successor starts first. The loss ends when the old machine is removed."""
        world = self.world
        self.record_fault("replace_planned", node.name)
        self.departing.add(node)
        successor = world.add_machine(node)
        world.start(successor)
        leaves = world.now + self.draw_time(SHUTDOWN_DELAY)
        ends = leaves + self.draw_time(GRACE_PERIOD)
        world.at(leaves, world.leave, node)
        world.at(ends, self.remove_departed, node)
        return max(world.now, ends - CATCH_UP)

    def wipe_most(self, _: Node) -> int:
        """Wipes as many disks at once as may be lost."""
        back = self.world.now
        for node in self.chance.sample(self.world.nodes, self.survive):
            self.record_fault("wipe", node.name)
            self.world.wipe(node)
            starts = self.world.now + self.chance.randrange(20 * MS, 2 * SEC)
            self.world.at(starts, self.world.start, node)
            back = max(back, starts)
        return back

    def kill_most(self, _: Node) -> int:
        """Stops as many machines at once as may be lost, for a while."""
        back = self.world.now
        for node in self.chance.sample(self.world.nodes, self.survive):
            self.record_fault("kill", node.name)
            self.world.stop(node)
            starts = self.world.now + self.chance.choice(
                (self.draw_time((20 * MS, 3 * SEC)), self.draw_time((5 * SEC, 20 * SEC)))
            )
            self.world.at(starts, self.world.start, node)
            back = max(back, starts)
        return back

    def storm_in_calm(self, node: Node) -> int:
        """Sends tens or hundreds of changes while machines are down, of which no more than may be lost."""
        return self.storm(node, self.chance.choice((60, 300)))

    def wipe_and_stop_all(self, _: Node) -> int:
        """The last fault: all machines lose power, and as many as may be lost come back with an empty disk."""
        world = self.world
        self.record_fault("wipe_and_stop_all")
        wiped = self.chance.sample(world.nodes, self.survive)
        back = world.now
        for node in world.nodes:
            if node in wiped:
                world.wipe(node)
            else:
                world.stop(node, power=True)
            starts = world.now + self.chance.randrange(10 * MS, SEC)
            world.at(starts, world.start, node)
            back = max(back, starts)
        return back

    # The fault-free period at the end.

    def check_recovery(self) -> None:
        """Ends all faults. Orders must succeed, as more than half of the members are up with their disks."""
        world = self.world
        self.end = world.now
        world.cuts.clear()
        self.good_links()
        world.note("calm")
        for node in world.nodes:
            self.repair_disk(node.disk)
            if node.frozen:
                world.thaw(node, node.life)
        self.finish_departures()
        left_down = self.stop_some_for_recovery()
        for node in world.nodes:
            if node not in left_down and not node.up:
                world.start(node)
        pending = (world.start, world.stop, world.leave, self.stop_departed, self.remove_departed)
        world.heap = sorted(event for event in world.heap if event[2] not in pending)
        sent, world.faults_ended, world.answer_loss = world.now, True, 0.0
        self.revision += 1
        call = world.call(
            "config", (self.revision, b"last/%d" % self.revision), world.choose_node(), until=60 * SEC, alone=True
        )
        world.run(sent + 40 * SEC if call.done_at is None else sent)
        if call.done_at is None:
            raise InvariantError("no acknowledgement within 40 s after the end of the faults")
        if call.done_at - sent > RECOVERY_LIMIT:
            raise InvariantError(f"acknowledged only {(call.done_at - sent) / SEC:.1f} s after the end of the faults")
        world.counts["calm_ms_most"] = (call.done_at - sent) // MS
        read = world.call("read", None, world.choose_node(), until=20 * SEC)
        world.run(world.now + 10 * SEC)
        if read.done_at is None or read.state.revision != self.revision:
            raise InvariantError("the last configuration is not read back after the end of the faults")
        repeated = {
            call.body
            for call in world.calls
            if call.kind == "config" and (call.attempts_in_flight or call.may_be_committed)
        }
        world.safety_checker.check_refused_calls(call for call in world.calls if call.body not in repeated)
        self.check_convergence(call)
        linearizability.check(world.history.operations())

    def finish_departures(self) -> None:
        """Removes machines whose removal is scheduled, and stops those that shut down, so that they start again."""
        world = self.world
        for _, _, act, args in list(world.heap):
            if act == self.remove_departed:
                self.remove_departed(*args)
        for node in world.nodes:
            if node.leaving:
                world.stop(node)

    def stop_some_for_recovery(self) -> set[Node]:
        """Sometimes stops machines for the fault-free period, so that a majority is still not lost. Returns those."""
        world, chance = self.world, self.chance
        lost = world.lost()
        settled = [node for node in world.nodes if node not in lost]
        spare = min((self.members - 1) // 2 - len(lost), len(settled))
        if spare <= 0 or chance.random() >= LEFT_DOWN_CHANCE:
            return set()
        chosen = chance.sample(settled, chance.randrange(1, spare + 1))
        for node in chosen:
            world.stop(node)
            world.note("left down", node.name)
        return set(chosen)

    def check_convergence(self, call: Call) -> None:
        """Running machines must be members and have applied the last order; removed ones must not be members."""
        world = self.world
        newest = world.safety_checker.newest_state
        late = [
            node.name
            for node in world.nodes
            if node.up and (world.is_joining(node) or node.applied_index < call.state.index)
        ]
        if late:
            raise InvariantError(f"not members, or without the last order, 10 s after it: {late}")
        gone = [node.name for node in world.removed if node.name in newest.members]
        down = sum(not node.up for node in world.nodes)  # the membership never gets smaller than at the first start
        if len(gone) > down:
            raise InvariantError(f"removed machines are still members: {gone}")


TARGETED_LOSSES = (
    "replace_in_time",
    "replace_in_time",
    "replace_most",
    "replace_in_order",
    "replace_in_order",
    "wipe_most",
    "kill_most",
    "leave",
    "storm_in_calm",
)

FAULTS = (
    *(Run.plot,) * 4,
    *(Run.kill,) * 4,
    *(Run.kill_all,) * 2,
    *(Run.lose_disk,) * 4,
    *(Run.replace,) * 3,
    Run.replace_several,
    *(Run.replace_planned,) * 2,
    *(Run.leave,) * 2,
    *(Run.freeze,) * 2,
    *(Run.stutter,) * 2,
    *(Run.cut_one,) * 2,
    *(Run.cut_one_way,) * 2,
    *(Run.cut_in_two,) * 2,
    *(Run.cut_links,) * 2,
    *(Run.hang_disk,) * 2,
    *(Run.fill_disk,) * 2,
    *(Run.slow_disk,) * 2,
    *(Run.bad_links,) * 2,
    *(Run.change_seeds,) * 2,
    Run.leave_one_by_one,
    Run.storm,
)
