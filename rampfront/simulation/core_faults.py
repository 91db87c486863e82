"""What befalls the machines of the core, their disks and the links between them, in a run of `schedule.py`.

Each method is one fault and its end. Faults are drawn by chance; whoever draws them takes care that no more disks are
lost at once than the core is to survive (`may_wipe`)."""

from .world import MS, SEC, Call, Disk, Node

MOST_WIPED = 3  # of all that lose power at once
WIPED, OUTWARD, ON_A_SIDE, LINK_CUT = 0.15, 0.5, 0.5, 0.25  # chances


class CoreFaults:
    """Faults of a run. Needs its `world`, `chance`, `members`, `survive`, `end`, `rev` and `bait`."""

    def hit(self, what: str, *args: object) -> None:
        """Counts a fault, and notes it in the schedule."""
        self.world.count(what)
        self.world.note(what, *args)

    def back(self, node: Node, least: int = 20 * MS, most: int = 3 * SEC) -> None:
        """Starts it again a little later (ns)."""
        self.world.at(self.world.now + self.chance.randrange(least, most), self.world.start, node)

    def plot(self, _: Node) -> None:
        """Some are cut off and miss a configuration; of those that have it, as many as may be lose their disks, and
        the others power, for a while: nobody who is up knows what was acknowledged."""
        world = self.world
        stale = set(self.chance.sample(world.nodes, (self.members - 1) // 2))
        if not stale or self.bait is not None and self.bait.verdict is None:
            return
        self.hit("plot", *sorted(other.name for other in stale))
        near = [other for other in world.nodes if other not in stale]
        cut_off = [other for other in world.nodes if other in stale]
        self.cut(
            [pair for one in cut_off for two in near for pair in ((one.ip, two.ip), (two.ip, one.ip))], SEC, 4 * SEC
        )
        self.rev += 1
        self.bait = world.call("config", (self.rev, b"%d/bait" % self.rev), self.chance.choice(near), alone=True)

    def strike(self, call: Call) -> None:
        """Those who hold what was just acknowledged lose their disks or power."""
        world, index = self.world, call.state.index
        if world.now >= self.end:
            return
        self.hit("strike")
        holders = [
            node for node in world.nodes if node.up and node.core_member.entry and node.core_member.entry.index >= index
        ]
        self.chance.shuffle(holders)
        for node in holders:
            if self.may_wipe(node):
                self.hit("wipe", node.name)
                world.wipe(node)
                self.back(node, 20 * MS, 400 * MS)
            else:
                world.stop(node, power=True)
                self.back(node, 2 * SEC, 5 * SEC)

    def kill(self, node: Node) -> None:
        """Ends the process, and starts it again."""
        self.hit("kill", node.name)
        self.world.stop(node)
        self.back(node)

    def kill_all(self, _: Node) -> None:
        """All are without power; a few come back empty."""
        self.hit("kill_all")
        wiped = 0
        for node in self.world.nodes:
            if wiped < MOST_WIPED and self.chance.random() < WIPED and self.may_wipe(node):
                self.lose_disk(node)
                wiped += 1
            else:
                self.world.stop(node, power=True)
                self.back(node, 10 * MS, SEC)

    def may_wipe(self, node: Node) -> bool:
        """No more disks lost at once than may be, those counted that are not back in their place."""
        return len({node, *self.world.lost()}) <= self.survive

    def lose_disk(self, node: Node) -> None:
        """Ends it, and starts it again with an empty disk."""
        if not self.may_wipe(node):
            return
        self.hit("wipe", node.name)
        self.world.wipe(node)
        self.back(node)

    def freeze(self, node: Node) -> None:
        """It stands still, and goes on as if nothing had been."""
        if node.up and not node.frozen:
            self.hit("freeze", node.name)
            self.world.freeze(node)
            self.world.at(self.world.now + self.chance.randrange(200 * MS, 5 * SEC), self.world.thaw, node, node.life)

    def stutter(self, node: Node, times: int | None = None) -> None:
        """A machine that is slowed: it stands still again and again for a part of a second."""
        if times is None:
            times = self.chance.randrange(3, 9)
            self.hit("stutter", node.name, times)
        if node.up and not node.frozen and self.world.now < self.end:
            pause = self.chance.randrange(50 * MS, 700 * MS)
            self.world.freeze(node)
            self.world.at(self.world.now + pause, self.world.thaw, node, node.life)
            if times > 1:
                self.world.at(self.world.now + pause + self.chance.randrange(100 * MS), self.stutter, node, times - 1)

    def cut(self, pairs: list[tuple[str, str]], least: int = 300 * MS, most: int = 5 * SEC) -> None:
        """Ends by itself; a pair may be cut by several."""
        cuts = self.world.cuts
        for pair in pairs:
            cuts[pair] = cuts.get(pair, 0) + 1
        self.world.at(min(self.end, self.world.now + self.chance.randrange(least, most)), self.join, pairs)

    def join(self, pairs: list[tuple[str, str]]) -> None:
        """Ends a cut."""
        cuts = self.world.cuts
        for pair in pairs:
            cuts[pair] -= 1
            if not cuts[pair]:
                del cuts[pair]

    def cut_one(self, node: Node) -> None:
        """Nothing passes between it and the others."""
        self.hit("cut_one", node.name)
        others = [other.ip for other in self.world.nodes if other is not node]
        self.cut([(node.ip, ip) for ip in others] + [(ip, node.ip) for ip in others])

    def cut_one_way(self, node: Node) -> None:
        """It is deaf or mute."""
        out = self.chance.random() < OUTWARD
        self.hit("cut_one_way", node.name, "out" if out else "in")
        others = [other.ip for other in self.world.nodes if other is not node]
        self.cut([(node.ip, ip) if out else (ip, node.ip) for ip in others])

    def cut_in_two(self, _: Node) -> None:
        """Nothing passes between two parts."""
        side = {node.ip for node in self.world.nodes if self.chance.random() < ON_A_SIDE}
        self.hit("cut_in_two", sorted(side))
        self.cut(
            [
                (one.ip, two.ip)
                for one in self.world.nodes
                for two in self.world.nodes
                if (one.ip in side) != (two.ip in side)
            ]
        )

    def cut_links(self, _: Node) -> None:
        """Nothing passes on some links, in one direction."""
        pairs = [
            (one.ip, two.ip)
            for one in self.world.nodes
            for two in self.world.nodes
            if one is not two and self.chance.random() < LINK_CUT
        ]
        self.hit("cut_links", pairs)
        self.cut(pairs)

    def hang_disk(self, node: Node) -> None:
        """Its disk does not answer for a while."""
        self.hit("hang_disk", node.name)
        node.disk.hangs = True
        self.world.at(self.world.now + self.chance.randrange(200 * MS, 4 * SEC), self.heal, node.disk)

    def fill_disk(self, node: Node) -> None:
        """Its disk takes nothing for a while."""
        self.hit("fill_disk", node.name)
        node.disk.full = True
        self.world.at(self.world.now + self.chance.randrange(200 * MS, 4 * SEC), self.heal, node.disk)

    def slow_disk(self, node: Node) -> None:
        """Its disk is slow for a while."""
        self.hit("slow_disk", node.name)
        node.disk.wait = self.chance.randrange(5 * MS, 400 * MS)
        self.world.at(self.world.now + self.chance.randrange(200 * MS, 4 * SEC), self.heal, node.disk)

    def heal(self, disk: Disk) -> None:
        """Ends all trouble of a disk."""
        disk.hangs = disk.full = False
        disk.wait = disk.default_wait

    def bad_links(self, _: Node) -> None:
        """Messages get lost, come twice and come late, on all links."""
        world, chance = self.world, self.chance
        self.hit("bad_links")
        world.loss, world.repeat = chance.choice((0.05, 0.2, 0.4)), chance.choice((0.0, 0.1, 0.5))
        world.slow = chance.choice((0, 50 * MS, 400 * MS))
        world.at(world.now + chance.randrange(200 * MS, 3 * SEC), self.good_links)

    def good_links(self) -> None:
        """Ends that."""
        self.world.loss, self.world.repeat, self.world.slow = 0.01, 0.005, 0

    def change_seeds(self, _: Node) -> None:
        """The settings name other seeds, some of them down, gone or unknown."""
        world = self.world
        self.hit("change_seeds")
        others = [*(node.ip for node in world.removed[-1:]), "10.9.9.9"]
        members = [node.ip for node in world.nodes if not world.is_joining(node)] or [node.ip for node in world.nodes]
        live = self.chance.sample(members, min(2, len(members)))
        world.seeds = [*live, self.chance.choice([*others, *(node.ip for node in world.nodes)])]
        self.chance.shuffle(world.seeds)
        for node in world.nodes:
            node.seeds = None
            if node.core_member is not None:
                node.core_member.seeds = list(world.seeds)
