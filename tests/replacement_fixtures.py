"""Fixtures for tests in which machines of a core are replaced by others with other addresses and names."""

from core_fixtures import Core, done

from rampfront.consensus.events import OrderKind
from rampfront.simulation.world import MS, SEC, Node

CATCH_UP = 4 * SEC  # from the start of a replacement machine; the value used by the smaller deployments


CORE_SIZES = [(4, 1), (6, 2), (8, 2)]  # members with a disk, and how many may be lost at the same time


class ReplaceableCore(Core):
    """A core whose machines can be replaced."""

    def new_machine(self, ip: str | None = None) -> Node:
        """Creates an empty machine without starting it. Its seeds are running machines."""
        self.seeds = [node.ip for node in self.running()][:3]
        node = Node(len(self.nodes) + 1, MS)
        node.ip = ip or node.ip
        self.nodes.append(node)
        self.by_ip[node.ip] = node
        return node

    def lose(self, node: Node) -> None:
        """Removes a machine permanently, including its disk."""
        self.stop(node, power=True)

    def replace(self, node: Node, pause: int = SEC) -> Node:
        """Removes a machine permanently, and starts a replacement after a pause."""
        self.lose(node)
        self.advance(pause)
        new = self.new_machine()
        self.start(new)
        return new

    def running(self) -> list[Node]:
        """Returns the running machines."""
        return [node for node in self.nodes if node.up]

    def is_at_full_strength(self) -> bool:
        """Whether the running machines are exactly the members, and the leader reports full strength."""
        leaders = self.leaders
        if len(leaders) != 1 or leaders[0].core_member.roles.leader.strength_monitor.full_since is None:
            return False
        return self.members() == {node.name: node.core_member.incarnation for node in self.running()}

    def run_until_full_strength(self, limit: int = 20 * SEC) -> int:
        """Runs until the core is at full strength and returns the elapsed time in ns."""
        began = self.now
        while not self.is_at_full_strength():
            self.advance(10 * MS)
            assert self.now - began < limit, (self.members(), [node.name for node in self.running()])
        return self.now - began

    def members(self) -> dict[str, int]:
        """Returns the members that the leader has committed: incarnations by name."""
        return {name: incarnation for name, (_, incarnation) in self.leader.core_member.committed.members.items()}

    def check_survives_losses(self, lost_disks: int, rev: int) -> None:
        """Checks that an acknowledged configuration survives lost disks and a power loss.

        After the acknowledgement, `lost_disks` of the machines that have the configuration lose their disks and all
        others lose power. After a restart of all machines, the configuration must be read back, and another one must be
        accepted.
        """
        call = self.configure(rev)
        while not done(call):
            self.advance(MS)
        running = self.running()
        holders = sorted(
            running, key=lambda node: -node.core_member.committed.index if node.core_member.committed else 0
        )
        for node in holders[:lost_disks]:
            self.wipe(node)
        for node in holders[lost_disks:]:
            self.stop(node, power=True)
        self.advance(900 * MS)
        for node in running:
            self.start(node)
        self.advance(4 * SEC)
        read = self.place_order(self.leader, OrderKind.READ)
        self.advance(SEC)
        assert done(read) and read.state.revision == rev
        self.change(rev + 1)

    def change(self, rev: int) -> None:
        """Checks that a configuration is acknowledged within a second."""
        call = self.configure(rev)
        self.advance(SEC)
        assert done(call)

    def check_recovery(self, survive: int) -> None:
        """Checks that full strength is restored in time, and that the core then survives the maximum loss."""
        assert self.run_until_full_strength() < CATCH_UP
        self.check_survives_losses(survive, 2)


def running_core(members: int, survive: int, seed: int = 1, new_machines: int = 0) -> ReplaceableCore:
    """Returns a core at full strength with configuration 1, after additional new machines have become members."""
    core = ReplaceableCore(members, survive, seed)
    assert core.leader.core_member.committed.target_size == members
    for _ in range(new_machines):
        core.start(core.new_machine())
    core.change(1)
    assert core.is_at_full_strength() and len(core.members()) == members + new_machines
    return core


def remove_while_partitioned(core: ReplaceableCore) -> tuple[Node, int]:
    """Partitions a member while a new machine is available, so that the member is removed.

    Returns the removed member and its former incarnation.
    """
    away = core.others(core.leader)[0]
    before = away.core_member.incarnation
    core.start(core.new_machine())
    core.advance(SEC)
    core.cut_links([away], core.others(away))
    core.advance(3 * SEC)
    assert away.name not in core.members()
    return away, before
