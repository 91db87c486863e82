"""A core whose machines are replaced by others, at other addresses and under other names."""

from core_fixtures import Core, done

from rampfront.consensus.events import OrderKind
from rampfront.simulation.world import MS, SEC, Node

CATCH_UP = 4 * SEC  # from the start of a successor, as the smaller deployments have it


SIZES = [(4, 1), (6, 2), (8, 2)]  # members with a disk, and how many may be lost at once


class Site(Core):
    """A core whose machines are replaced by others, at other addresses and under other names."""

    def newcomer(self, ip: str | None = None) -> Node:
        """An empty machine that was not there before; not started yet. Its seeds are machines that run."""
        self.seeds = [node.ip for node in self.running()][:3]
        node = Node(len(self.nodes) + 1, MS)
        node.ip = ip or node.ip
        self.nodes.append(node)
        self.by_ip[node.ip] = node
        return node

    def lose(self, node: Node) -> None:
        """Gone for good, with its disk."""
        self.stop(node, power=True)

    def replace(self, node: Node, pause: int = SEC) -> Node:
        """Gone for good; another one starts behind a pause."""
        self.lose(node)
        self.advance(pause)
        new = self.newcomer()
        self.start(new)
        return new

    def running(self) -> list[Node]:
        """Machines that are there."""
        return [node for node in self.nodes if node.up]

    def strong(self) -> bool:
        """Whether the members are exactly those that run, all at full strength as the leader says."""
        leaders = self.leaders
        if len(leaders) != 1 or leaders[0].core_member.roles.leader.strength_monitor.full_since is None:
            return False
        return self.members() == {node.name: node.core_member.incarnation for node in self.running()}

    def until_strong(self, most: int = 20 * SEC) -> int:
        """ns until the core is at full strength."""
        began = self.now
        while not self.strong():
            self.advance(10 * MS)
            assert self.now - began < most, (self.members(), [node.name for node in self.running()])
        return self.now - began

    def members(self) -> dict[str, int]:
        """Name to incarnation, as the leader has it in force."""
        return {name: inc for name, (_, inc) in self.leader.core_member.committed.members.items()}

    def strike(self, lost: int, rev: int) -> None:
        """A configuration is acknowledged; so many of those that hold it lose their disks, all others their power. All
        come back, and it must be read back and followed by another."""
        call = self.configure(rev)
        while not done(call):
            self.advance(MS)
        running = self.running()
        holders = sorted(
            running, key=lambda node: -node.core_member.committed.index if node.core_member.committed else 0
        )
        for node in holders[:lost]:
            self.wipe(node)
        for node in holders[lost:]:
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
        """A configuration must be acknowledged within a second."""
        call = self.configure(rev)
        self.advance(SEC)
        assert done(call)

    def recovers(self, survive: int) -> None:
        """Full strength must be back in time, and then bear the full loss."""
        assert self.until_strong() < CATCH_UP
        self.strike(survive, 2)


def site(members: int, survive: int, seed: int = 1, newcomers: int = 0) -> Site:
    """A core at full strength that holds configuration 1, with newcomers that have been taken in beside the others."""
    core = Site(members, survive, seed)
    assert core.leader.core_member.committed.target_size == members
    for _ in range(newcomers):
        core.start(core.newcomer())
    core.change(1)
    assert core.strong() and len(core.members()) == members + newcomers
    return core


def cut_off_and_taken_out(core: Site) -> tuple[Node, int]:
    """A newcomer stands ready for a planned replacement as another member than the one that is to go is cut off."""
    away = core.others(core.leader)[0]
    before = away.core_member.incarnation
    core.start(core.newcomer())
    core.advance(SEC)
    core.cut_links([away], core.others(away))
    core.advance(3 * SEC)
    assert away.name not in core.members()
    return away, before
