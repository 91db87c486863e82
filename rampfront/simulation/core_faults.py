"""Faults of the machines of the core, their disks and the links between them, in a run of `schedule.py`.

Each method injects one fault and schedules its end. Faults are drawn at random; no more disks are lost at once than the
core must survive (`may_wipe`)."""

from .world import MS, SEC, Call, Disk, Node

MAX_WIPED = 3  # machines that lose their disks when all lose power at once
WIPE_CHANCE, OUTWARD_CHANCE, SIDE_CHANCE, LINK_CUT_CHANCE = 0.15, 0.5, 0.5, 0.25


class CoreFaults:
    """Faults of a run, whose `world`, `chance`, `members`, `survive`, `end`, `revision` and `targeted_call` it uses."""

    def record_fault(self, what: str, *args: object) -> None:
        """Counts a fault and adds it to the log."""
        self.world.count(what)
        self.world.note(what, *args)

    def restart_later(self, node: Node, least: int = 20 * MS, most: int = 3 * SEC) -> None:
        """Starts a machine again after a delay between `least` and `most` (ns)."""
        self.world.at(self.world.now + self.chance.randrange(least, most), self.world.start, node)

    def plot(self, _: Node) -> None:
        """Sends a configuration while a minority is cut off, for `strike` to hit the members that have it.

        After its acknowledgement as many of these as allowed lose their disks, and the others lose power for a while,
        so that no running member knows the acknowledged configuration."""
        world = self.world
        stale = set(self.chance.sample(world.nodes, (self.members - 1) // 2))
        if not stale or self.targeted_call is not None and self.targeted_call.verdict is None:
            return
        self.record_fault("plot", *sorted(other.name for other in stale))
        connected = [other for other in world.nodes if other not in stale]
        cut_off = [other for other in world.nodes if other in stale]
        self.cut(
            [pair for one in cut_off for two in connected for pair in ((one.ip, two.ip), (two.ip, one.ip))],
            SEC,
            4 * SEC,
        )
        self.revision += 1
        self.targeted_call = world.call(
            "config", (self.revision, b"%d/bait" % self.revision), self.chance.choice(connected), alone=True
        )

    def strike(self, call: Call) -> None:
        """The members that hold the configuration just acknowledged lose their disks or power."""
        world, index = self.world, call.state.index
        if world.now >= self.end:
            return
        self.record_fault("strike")
        holders = [
            node for node in world.nodes if node.up and node.core_member.entry and node.core_member.entry.index >= index
        ]
        self.chance.shuffle(holders)
        for node in holders:
            if self.may_wipe(node):
                self.record_fault("wipe", node.name)
                world.wipe(node)
                self.restart_later(node, 20 * MS, 400 * MS)
            else:
                world.stop(node, power=True)
                self.restart_later(node, 2 * SEC, 5 * SEC)

    def kill(self, node: Node) -> None:
        """Kills a process and starts it again."""
        self.record_fault("kill", node.name)
        self.world.stop(node)
        self.restart_later(node)

    def kill_all(self, _: Node) -> None:
        """All machines lose power; a few come back with an empty disk."""
        self.record_fault("kill_all")
        wiped = 0
        for node in self.world.nodes:
            if wiped < MAX_WIPED and self.chance.random() < WIPE_CHANCE and self.may_wipe(node):
                self.lose_disk(node)
                wiped += 1
            else:
                self.world.stop(node, power=True)
                self.restart_later(node, 10 * MS, SEC)

    def may_wipe(self, node: Node) -> bool:
        """Whether a disk may be lost now, counting machines that have not become full members again."""
        return len({node, *self.world.lost()}) <= self.survive

    def lose_disk(self, node: Node) -> None:
        """Kills a process and starts it again with an empty disk, if a disk may be lost now."""
        if not self.may_wipe(node):
            return
        self.record_fault("wipe", node.name)
        self.world.wipe(node)
        self.restart_later(node)

    def freeze(self, node: Node) -> None:
        """Suspends a process and resumes it later."""
        if node.up and not node.frozen:
            self.record_fault("freeze", node.name)
            self.world.freeze(node)
            self.world.at(self.world.now + self.chance.randrange(200 * MS, 5 * SEC), self.world.thaw, node, node.life)

    def stutter(self, node: Node, times: int | None = None) -> None:
        """Simulates a slow machine by suspending its process repeatedly for a fraction of a second."""
        if times is None:
            times = self.chance.randrange(3, 9)
            self.record_fault("stutter", node.name, times)
        if node.up and not node.frozen and self.world.now < self.end:
            pause = self.chance.randrange(50 * MS, 700 * MS)
            self.world.freeze(node)
            self.world.at(self.world.now + pause, self.world.thaw, node, node.life)
            if times > 1:
                self.world.at(self.world.now + pause + self.chance.randrange(100 * MS), self.stutter, node, times - 1)

    def cut(self, pairs: list[tuple[str, str]], least: int = 300 * MS, most: int = 5 * SEC) -> None:
        """Cuts links (source and destination address) for a while. Cuts of the same link are counted."""
        cuts = self.world.cuts
        for pair in pairs:
            cuts[pair] = cuts.get(pair, 0) + 1
        self.world.at(min(self.end, self.world.now + self.chance.randrange(least, most)), self.end_cut, pairs)

    def end_cut(self, pairs: list[tuple[str, str]]) -> None:
        """Ends a cut."""
        cuts = self.world.cuts
        for pair in pairs:
            cuts[pair] -= 1
            if not cuts[pair]:
                del cuts[pair]

    def cut_one(self, node: Node) -> None:
        """Cuts all links between a machine and the others."""
        self.record_fault("cut_one", node.name)
        others = [other.ip for other in self.world.nodes if other is not node]
        self.cut([(node.ip, ip) for ip in others] + [(ip, node.ip) for ip in others])

    def cut_one_way(self, node: Node) -> None:
        """Cuts all links from a machine, or all links to it."""
        out = self.chance.random() < OUTWARD_CHANCE
        self.record_fault("cut_one_way", node.name, "out" if out else "in")
        others = [other.ip for other in self.world.nodes if other is not node]
        self.cut([(node.ip, ip) if out else (ip, node.ip) for ip in others])

    def cut_in_two(self, _: Node) -> None:
        """Partitions the machines into two groups."""
        side = {node.ip for node in self.world.nodes if self.chance.random() < SIDE_CHANCE}
        self.record_fault("cut_in_two", sorted(side))
        self.cut(
            [
                (one.ip, two.ip)
                for one in self.world.nodes
                for two in self.world.nodes
                if (one.ip in side) != (two.ip in side)
            ]
        )

    def cut_links(self, _: Node) -> None:
        """Cuts some links, each in one direction."""
        pairs = [
            (one.ip, two.ip)
            for one in self.world.nodes
            for two in self.world.nodes
            if one is not two and self.chance.random() < LINK_CUT_CHANCE
        ]
        self.record_fault("cut_links", pairs)
        self.cut(pairs)

    def hang_disk(self, node: Node) -> None:
        """Writes to a disk do not finish for a while."""
        self.record_fault("hang_disk", node.name)
        node.disk.hangs = True
        self.world.at(self.world.now + self.chance.randrange(200 * MS, 4 * SEC), self.repair_disk, node.disk)

    def fill_disk(self, node: Node) -> None:
        """Writes to a disk fail for a while."""
        self.record_fault("fill_disk", node.name)
        node.disk.full = True
        self.world.at(self.world.now + self.chance.randrange(200 * MS, 4 * SEC), self.repair_disk, node.disk)

    def slow_disk(self, node: Node) -> None:
        """Writes to a disk are slow for a while."""
        self.record_fault("slow_disk", node.name)
        node.disk.wait = self.chance.randrange(5 * MS, 400 * MS)
        self.world.at(self.world.now + self.chance.randrange(200 * MS, 4 * SEC), self.repair_disk, node.disk)

    def repair_disk(self, disk: Disk) -> None:
        """Ends all faults of a disk."""
        disk.hangs = disk.full = False
        disk.wait = disk.default_wait

    def bad_links(self, _: Node) -> None:
        """Messages are lost, duplicated and delayed on all links for a while."""
        world, chance = self.world, self.chance
        self.record_fault("bad_links")
        world.loss, world.repeat = chance.choice((0.05, 0.2, 0.4)), chance.choice((0.0, 0.1, 0.5))
        world.max_extra_delay = chance.choice((0, 50 * MS, 400 * MS))
        world.at(world.now + chance.randrange(200 * MS, 3 * SEC), self.good_links)

    def good_links(self) -> None:
        """Restores the default rates of loss, duplication and delay."""
        self.world.loss, self.world.repeat, self.world.max_extra_delay = 0.01, 0.005, 0

    def change_seeds(self, _: Node) -> None:
        """Changes the seeds in the settings of all machines; some of them may be down, removed or unknown."""
        world = self.world
        self.record_fault("change_seeds")
        others = [*(node.ip for node in world.removed[-1:]), "10.9.9.9"]
        members = [node.ip for node in world.nodes if not world.is_joining(node)] or [node.ip for node in world.nodes]
        live = self.chance.sample(members, min(2, len(members)))
        world.seeds = [*live, self.chance.choice([*others, *(node.ip for node in world.nodes)])]
        self.chance.shuffle(world.seeds)
        for node in world.nodes:
            node.seeds = None
            if node.core_member is not None:
                node.core_member.seeds = list(world.seeds)
