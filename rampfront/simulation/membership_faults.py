"""Replacement, shutdown and long absence of machines of the core, in a run of `schedule.py`."""

from collections.abc import Callable

from .core_faults import CoreFaults
from .world import CATCH_UP, MS, SEC, Node

REPLACEMENT_DELAY = 700 * MS, 1500 * MS  # from the removal of a machine to the start of its empty successor
SHUTDOWN_DELAY = 800 * MS, 1300 * MS  # from the start of a successor to the SIGTERM of the one it replaces
GRACE_PERIOD = 200 * MS, 6 * SEC  # from a SIGTERM to the end of the process
STORM_CHANGES = 300
STORM_GAP = 8 * MS, 40 * MS
MAX_IN_FLIGHT = 8  # orders of a storm
LONG_CUT = 20 * SEC
MAX_IRREPLACEABLE_MEMBERS = 2  # in a core of at most so many members none may be removed
ADDRESS_REUSE_CHANCE = 0.1


class MembershipFaults(CoreFaults):
    """Faults of the membership. Uses what `CoreFaults` uses, `departing` (machines whose successors have started
    already) and `send_change`."""

    def may_replace(self, node: Node) -> bool:
        """Whether a machine may be removed for good now. A core of two cannot tell that from a cut."""
        return self.members > MAX_IRREPLACEABLE_MEMBERS and self.may_wipe(node) and node not in self.departing

    def draw_time(self, span: tuple[int, int]) -> int:
        """A time within a span (ns)."""
        return self.chance.randrange(*span)

    # Replacements.

    def replace(self, node: Node) -> int | None:
        """Removes a machine with its disk and starts an empty one later. Returns when that starts (ns)."""
        if not self.may_replace(node):
            return None
        self.record_fault("replace", node.name)
        return self.replace_by_successor(node)

    def replace_by_successor(self, node: Node) -> int:
        """Removes a machine and adds an empty successor. Returns when that starts (ns)."""
        world = self.world
        world.remove_machine(node)
        used_again = self.chance.choice(world.removed).ip if self.chance.random() < ADDRESS_REUSE_CHANCE else None
        successor = world.add_machine(node, None if used_again in world.by_ip else used_again)
        starts = world.now + self.draw_time(REPLACEMENT_DELAY)
        world.at(starts, world.start, successor)
        return starts

    def replace_several(self, _: Node) -> int | None:
        """Replaces up to as many machines at once as may be lost."""
        starts = [self.replace(node) for node in self.chance.sample(self.world.nodes, self.survive)]
        return max((each for each in starts if each is not None), default=None)

    def replace_planned(self, node: Node) -> int | None:
        """Starts the successor first; the old machine then receives SIGTERM and is removed after its grace period."""
        world = self.world
        if not self.may_replace(node):
            return None
        self.record_fault("replace_planned", node.name)
        self.departing.add(node)
        successor = world.add_machine(node)
        world.start(successor)
        leaves = world.now + self.draw_time(SHUTDOWN_DELAY)
        world.at(leaves, world.leave, node)
        world.at(leaves + self.draw_time(GRACE_PERIOD), self.remove_departed, node)
        return world.now

    def remove_departed(self, node: Node) -> None:
        """Removes a machine, whose process ends, unless it has been removed already."""
        if node not in self.world.removed:
            self.world.remove_machine(node)

    # Members that shut down and return.

    def leave(self, node: Node) -> int | None:
        """Sends SIGTERM, ends the process and starts it again with the same disk. Returns when it starts (ns)."""
        world = self.world
        if not node.up or node.frozen or node.leaving:
            return None
        self.record_fault("leave", node.name)
        world.leave(node)
        ends = world.now + self.draw_time(GRACE_PERIOD)
        starts = ends + self.chance.randrange(20 * MS, SEC)
        world.at(ends, self.stop_departed, node, node.life)
        world.at(starts, world.start, node)
        return starts

    def stop_departed(self, node: Node, life: int) -> None:
        """Ends a process that received SIGTERM, unless it has ended already."""
        if node.life == life:
            self.world.stop(node)

    def leave_one_by_one(self, _: Node) -> int:
        """Restarts all machines one after the other."""
        world = self.world
        self.record_fault("leave_one_by_one")
        starts = world.now
        nodes = list(world.nodes)
        self.chance.shuffle(nodes)
        for node in nodes:
            world.at(starts, self.unless_ended, self.leave, node)
            starts += self.chance.randrange(CATCH_UP // 4, CATCH_UP)
        return starts

    def unless_ended(self, fault: Callable[[Node], object], node: Node) -> None:
        """Injects a scheduled fault unless the time for faults has ended or its machine was removed."""
        if self.world.now < self.end and node in self.world.nodes:
            fault(node)

    # Far behind.

    def storm(self, node: Node, count: int = STORM_CHANGES) -> int:
        """Sends hundreds of changes while some machines are down, which come back far behind. Returns when (ns)."""
        world = self.world
        self.record_fault("storm", node.name, count)
        away = self.chance.sample(world.nodes, self.chance.randrange((self.members - 1) // 2 + 1))
        back = world.now + count * STORM_GAP[1] // 2
        for other in away:
            world.stop(other, power=True)
            world.at(back, world.start, other)
        self.continue_storm([], count)
        return back

    def continue_storm(self, in_flight: list, left: int) -> None:
        """Sends the next change of a storm, unless too many are in flight."""
        world = self.world
        if not left or world.now >= self.end:
            return
        in_flight = [call for call in in_flight if call.verdict is None]
        if len(in_flight) < MAX_IN_FLIGHT:
            in_flight.append(self.send_change())
            left -= 1
        world.at(world.now + self.draw_time(STORM_GAP), self.continue_storm, in_flight, left)

    def cut_long(self, node: Node) -> None:
        """Cuts a machine off for 20 s while changes continue."""
        self.record_fault("cut_long", node.name)
        others = [other.ip for other in self.world.nodes if other is not node]
        pairs = [(node.ip, ip) for ip in others] + [(ip, node.ip) for ip in others]
        self.cut(pairs, LONG_CUT, LONG_CUT + MS)
