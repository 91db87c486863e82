"""One seeded run: what the operators ask, what befalls the nodes, and the calm at the end in which all must work.

Most runs draw faults by chance. Some are `aimed`: replacements, lost disks and restarts follow each other as closely as
`CatchUp` allows, nothing else is wrong, and every order must be acknowledged within `CALM`."""

from collections.abc import Callable

from . import linearizability
from .checks import InvariantError
from .membership_faults import GRACE, LEAVES_AFTER, TOO_SMALL, MembershipFaults
from .world import CATCH_UP, MS, SEC, Call, Node, World

BEGIN, FIRST_ORDER = 4 * SEC, SEC // 2
CALM = 5 * SEC  # within which an order must be acknowledged once all is well
AIMED_SEEDS = 2, 4  # remainders by 5
LEFT_DOWN = 0.3  # chance that some stay away in the calm
LONG_CUTS, CLOSE, FOUNDER_FIRST, AT_LEADER = 0.06, 0.2, 0.2, 0.4  # chances
CHANGES, RACES, REPEATS, EVACUATIONS = 0.45, 0.5, 0.6, 0.8  # parts of the orders, summed up; the rest are reads
LONG = 26 * SEC  # of faults, in runs with a cut of 20 s


class Run(MembershipFaults):
    """Plays one seed. `survive`: machines that may be lost at once."""

    def __init__(self, seed: int, members: int = 4, survive: int | None = None, length: int = 10 * SEC) -> None:
        """Draws what kind of run it is."""
        self.survive = max(0, (members - 1) // 2) if survive is None else survive
        self.world = world = World(seed, members, self.survive, sync=(1, 1, 20, 120)[seed % 4] * MS)
        self.chance, self.members, self.length, self.seed = world.chance, members, length, seed
        self.rev, self.zones = 0, [f"zone-{number}" for number in range(4)]
        self.fury = self.chance.choice((0.3, 0.6, 1.0, 2.0))  # faults a second
        self.after_ack = self.chance.choice((0.0, 0.0, 0.2, 0.5))
        self.aimed = seed % 5 in AIMED_SEEDS and members > TOO_SMALL
        self.with_long_cut = not self.aimed and self.chance.random() < LONG_CUTS
        self.end = BEGIN + (LONG if self.with_long_cut else length)
        self.departing = set()
        self.bait = None  # an order whose acknowledgement is waited for, to strike at those who hold it
        self.after_vote = self.chance.choice((0.0, 0.0, 0.0, 0.3))
        world.answer_loss = self.chance.choice((0.0, 0.05, 0.3))
        world.alike = seed % 5 == 0
        if world.alike:
            self.after_vote = 0.6
        world.on_done, world.on_vote = self.done, self.voted

    def play(self) -> dict[str, int]:
        """Returns the counts of what happened; raises `InvariantError`."""
        world, chance = self.world, self.chance
        for node in world.nodes:
            world.at(chance.randrange(chance.choice((50, 1500)) * MS), world.start, node, True)
        world.at(FIRST_ORDER + chance.randrange(SEC), self.configure)
        if self.aimed:
            self.aim()
        else:
            world.at(BEGIN, self.fault)
            if self.with_long_cut:
                world.at(BEGIN + SEC, self.unless_over, self.cut_long, chance.choice(world.nodes))
            world.run(self.end)
        self.calm()
        return world.counts

    # The operators.

    def new_body(self, number: int) -> bytes:
        """A body that no other order has."""
        return b"%d/%d" % (number, self.chance.getrandbits(40))

    def change(self, node: Node | None = None) -> Call:
        """An order of a new number."""
        self.rev += self.chance.randrange(1, 4)
        return self.world.call("config", (self.rev, self.new_body(self.rev)), node or self.world.any(), alone=True)

    def race(self) -> None:
        """Two bodies under one number at the same moment, at two nodes."""
        self.world.count("races")
        self.rev += 1
        for _ in range(2):
            self.world.call("config", (self.rev, self.new_body(self.rev)), self.world.any(), alone=True)

    def configure(self) -> None:
        """The next order, and when the one behind it comes."""
        world, chance = self.world, self.chance
        if world.now >= self.end:
            return
        dice = chance.random()
        if dice < CHANGES or self.rev == 0:
            self.change()
            if chance.random() < CLOSE:  # another operator with a close version at another node
                self.change()
        elif dice < RACES:
            self.race()
        elif dice < REPEATS:  # an old change arrives again
            old = chance.choice([call for call in world.calls if call.kind == "config"])
            world.call("config", old.body, self.world.any(), alone=True)
        elif dice < EVACUATIONS:
            world.call(chance.choice(("empty", "fill")), chance.choice(self.zones), self.world.any())
        else:
            world.call("read", None, self.world.any(), until=5 * SEC)
        world.at(world.now + chance.randrange(20 * MS, 800 * MS), self.configure)

    def done(self, node: Node, call: Call) -> None:
        """Just acknowledged: the moment at which a fault hurts most."""
        world = self.world
        if call is self.bait:
            return self.strike(call)
        if self.aimed or world.now >= self.end or world.now < BEGIN or self.chance.random() >= self.after_ack:
            return None
        fault = self.chance.choice((self.kill, self.kill, self.lose_disk, self.kill_all, self.cut_one, self.replace))
        world.at(world.now + self.chance.randrange(5 * MS), self.unless_over, fault, node)
        return None

    def voted(self, node: Node) -> None:
        """A vote just left: killed and back at once, a member that forgot it would vote again."""
        world = self.world
        if not self.aimed and BEGIN <= world.now < self.end and self.chance.random() < self.after_vote:
            self.hit("vote and kill", node.name)
            world.at(world.now + MS, world.stop, node)
            world.at(world.now + 2 * MS + self.chance.randrange(20 * MS), world.start, node)

    def fault(self) -> None:
        """One fault, and when the next one comes."""
        world, chance = self.world, self.chance
        if world.now >= self.end:
            return
        chance.choice(FAULTS)(self, world.any())
        world.at(world.now + int(chance.expovariate(self.fury) * SEC) + MS, self.fault)

    # Aimed runs.

    def aim(self) -> None:
        """Losses within `Survive`, each as soon as the one before it counts no more."""
        world, chance = self.world, self.chance
        world.answer_loss, world.loss = chance.choice((0.0, 0.0, 0.3)), chance.choice((0.0, 0.01))
        self.end = 1 << 62
        world.run(BEGIN + chance.randrange(2 * SEC))
        steps = chance.choices(AIMED, k=chance.randrange(2, 5))
        if chance.random() < FOUNDER_FIRST:  # the founder first
            steps[0] = self.replace_founder
        for step in steps:
            self.lose(step if callable(step) else getattr(self, step))
        self.lose(self.wipe_and_stop_all)

    def lose(self, step: Callable[[Node], int | None]) -> None:
        """One loss, and the order behind it, which must be acknowledged in time although the loss is not over."""
        world, chance = self.world, self.chance
        target = self.leader() if chance.random() < AT_LEADER else chance.choice(world.nodes)
        back = step(target) or world.now
        if step == self.wipe_and_stop_all:
            world.run(back)
        sent = world.now
        probe = self.change(self.world.chance.choice([node for node in world.nodes if node.up]))
        probe.lossless = True
        while probe.taken_at is None and world.now - sent <= CALM:
            world.run(world.now + 20 * MS)
        if probe.taken_at is None:
            raise InvariantError(f"no acknowledgement within {CALM // SEC} s of {step.__name__}, a loss within Survive")
        world.counts["aimed_ms_most"] = max(world.counts.get("aimed_ms_most", 0), (probe.taken_at - sent) // MS)
        world.run(max(world.now, back + CATCH_UP + chance.choice((0, 0, chance.randrange(2 * SEC)))))

    def leader(self) -> Node:
        """Whoever leads, or some machine."""
        return next((node for node in self.world.nodes if node.up and node.leads), self.world.nodes[0])

    def replace_founder(self, _: Node) -> int | None:
        """The machine that founded the core."""
        founder = next((node for node in self.world.nodes if node.name in self.world.safety_checker.founders), None)
        return founder and self.replace_in_time(founder)

    def replace_in_time(self, node: Node) -> int:
        """A replacement which the schedule allows, whatever the members know by now."""
        self.hit("replace", node.name)
        return self.succeed(node)

    def replace_most(self, _: Node) -> int:
        """As many as may be lost, at once."""
        return max(self.replace_in_time(node) for node in self.chance.sample(self.world.nodes, self.survive))

    def replace_in_order(self, node: Node) -> int:
        """Planned; over when the old machine is gone."""
        world = self.world
        self.hit("replace_planned", node.name)
        self.departing.add(node)
        successor = world.add_machine(node)
        world.start(successor)
        leaves = world.now + self.draw(LEAVES_AFTER)
        ends = leaves + self.draw(GRACE)
        world.at(leaves, world.leave, node)
        world.at(ends, self.end_for_good, node)
        return max(world.now, ends - CATCH_UP)

    def wipe_most(self, _: Node) -> int:
        """As many disks lost at once as may be."""
        back = self.world.now
        for node in self.chance.sample(self.world.nodes, self.survive):
            self.hit("wipe", node.name)
            self.world.wipe(node)
            starts = self.world.now + self.chance.randrange(20 * MS, 2 * SEC)
            self.world.at(starts, self.world.start, node)
            back = max(back, starts)
        return back

    def kill_most(self, _: Node) -> int:
        """As many down at once as may be lost, for a while."""
        back = self.world.now
        for node in self.chance.sample(self.world.nodes, self.survive):
            self.hit("kill", node.name)
            self.world.stop(node)
            starts = self.world.now + self.chance.choice(
                (self.draw((20 * MS, 3 * SEC)), self.draw((5 * SEC, 20 * SEC)))
            )
            self.world.at(starts, self.world.start, node)
            back = max(back, starts)
        return back

    def storm_in_calm(self, node: Node) -> int:
        """Hundreds of changes, while as many as may be lost are down."""
        return self.storm(node, self.chance.choice((60, 300)))

    def wipe_and_stop_all(self, _: Node) -> int:
        """A closing fault: all are without power, and as many as may be lost come back empty."""
        world = self.world
        self.hit("wipe_and_stop_all")
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

    # The end.

    def calm(self) -> None:
        """All faults are over and more than half of the members are up with their disks: orders must go through."""
        world = self.world
        self.end = world.now
        world.cuts.clear()
        self.good_links()
        world.note("calm")
        for node in world.nodes:
            self.heal(node.disk)
            if node.frozen:
                world.thaw(node, node.life)
        self.end_departures()
        left_down = self.left_down()
        for node in world.nodes:
            if node not in left_down and not node.up:
                world.start(node)
        pending = (world.start, world.stop, world.leave, self.end_of_life, self.end_for_good)
        world.heap = sorted(event for event in world.heap if event[2] not in pending)
        sent, world.calm, world.answer_loss = world.now, True, 0.0
        self.rev += 1
        call = world.call("config", (self.rev, b"last/%d" % self.rev), world.any(), until=60 * SEC, alone=True)
        world.run(sent + 40 * SEC if call.done_at is None else sent)
        if call.done_at is None:
            raise InvariantError("no acknowledgement within 40 s of calm")
        if call.done_at - sent > CALM:
            raise InvariantError(f"acknowledged only {(call.done_at - sent) / SEC:.1f} s after all was well")
        world.counts["calm_ms_most"] = (call.done_at - sent) // MS
        read = world.call("read", None, world.any(), until=20 * SEC)
        world.run(world.now + 10 * SEC)
        if read.done_at is None or read.state.revision != self.rev:
            raise InvariantError("not read back")
        repeated = {call.body for call in world.calls if call.kind == "config" and (call.open or call.risky)}
        world.safety_checker.check_refused_calls(call for call in world.calls if call.body not in repeated)
        self.in_step(call)
        linearizability.check(world.history.operations())

    def end_departures(self) -> None:
        """Those that were about to go for good are gone; those that were told to leave and come back start anew."""
        world = self.world
        for _, _, act, args in list(world.heap):
            if act == self.end_for_good:
                self.end_for_good(*args)
        for node in world.nodes:
            if node.leaving:
                world.stop(node)

    def left_down(self) -> set[Node]:
        """Some that stay away through the calm, now and then."""
        world, chance = self.world, self.chance
        lost = world.lost()
        settled = [node for node in world.nodes if node not in lost]
        spare = min((self.members - 1) // 2 - len(lost), len(settled))
        if spare <= 0 or chance.random() >= LEFT_DOWN:
            return set()
        chosen = chance.sample(settled, chance.randrange(1, spare + 1))
        for node in chosen:
            world.stop(node)
            world.note("left down", node.name)
        return set(chosen)

    def in_step(self, call: Call) -> None:
        """All that are up are members and know what holds; those that are gone for good are none."""
        world = self.world
        newest = world.safety_checker.newest_state
        late = [
            node.name
            for node in world.nodes
            if node.up and (world.is_joining(node) or node.applied_index < call.state.index)
        ]
        if late:
            raise InvariantError(f"not in step 10 s behind: {late}")
        gone = [node.name for node in world.removed if node.name in newest.members]
        down = sum(not node.up for node in world.nodes)  # a list is not made smaller than it was at the first start
        if len(gone) > down:
            raise InvariantError(f"still members, and gone for good: {gone}")


AIMED = (
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
