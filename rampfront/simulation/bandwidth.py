"""Links of a bounded bandwidth for the model: each machine has one way out and one way in.

A datagram takes its turn behind what is queued, and is lost where that takes too long. A transfer (a frame over a
connection) goes in windows, each sent when the one before was answered, so transfers share a link and none fills its
queue; one that takes longer than its time limit is lost, with all that it has already cost.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .world import EventScheduler

MS, SEC = 10**6, 10**9
WAY = 5 * MS  # from machine to machine, without what it waits for
WINDOW = 16 << 10  # bytes of a transfer under way at once
HEADERS = 60  # bytes beside the contents of a datagram or a window
QUEUE = 500 * MS  # a datagram that would wait longer is lost
STALLED = 200 * MS  # until a window that ran into a cut is sent again


class Direction:
    """One way of one machine's link. `rate`: bytes a second."""

    def __init__(self, rate: float) -> None:
        """An idle link."""
        self.rate, self.free_at, self.bytes = rate, 0, 0

    def wait(self, now: int) -> int:
        """ns until what comes now would begin to leave."""
        return max(0, self.free_at - now)

    def take(self, now: int, size: int) -> int:
        """Puts bytes into the queue; when the last of them has left."""
        self.free_at = max(self.free_at, now) + int(size * SEC / self.rate)
        self.bytes += size
        return self.free_at


class Bandwidth:
    """All links. `rates`: bytes a second by address, the others have `usual`; `cut(src, dst)`: whether nothing passes;
    `limit`: ns that a transfer may take."""

    def __init__(
        self,
        scheduler: "EventScheduler",
        rates: dict,
        usual: float,
        cut: Callable[[str, str], bool],
        limit: int = 4 * SEC,
    ) -> None:
        """Links that are all idle."""
        self.scheduler, self.rates, self.usual, self.cut, self.limit = scheduler, rates, usual, cut, limit
        self.links = {}  # (address, "out" or "in") to Direction
        self.longest_wait = {}  # address to the longest wait of a datagram to it, ns

    def link(self, address: str, way: str) -> Direction:
        """One way of a machine's link."""
        if (address, way) not in self.links:
            self.links[address, way] = Direction(self.rates.get(address, self.usual))
        return self.links[address, way]

    def received_bytes(self, address: str) -> int:
        """Bytes that came to a machine, those of lost transfers too."""
        return self.link(address, "in").bytes

    def datagram(self, src: str, dst: str, size: int, land: Callable[[], None]) -> None:
        """Sends one; `land` is called as it arrives, if it does."""
        self.pass_on(src, "out", size, lambda: self.enter(dst, size, self.scheduler.now, land))

    def enter(self, dst: str, size: int, sent: int, land: Callable[[], None]) -> None:
        """Behind the sender's link: the receiver's."""

        def arrived() -> None:
            self.longest_wait[dst] = max(self.longest_wait.get(dst, 0), self.scheduler.now - sent)
            self.scheduler.at(self.scheduler.now + WAY, land)

        self.pass_on(dst, "in", size, arrived)

    def pass_on(self, address: str, way: str, size: int, then: Callable[[], None]) -> None:
        """Through one direction of a link, unless its queue is too long."""
        link = self.link(address, way)
        if link.wait(self.scheduler.now) > QUEUE:
            self.scheduler.count("datagrams dropped")
            return
        self.scheduler.at(link.take(self.scheduler.now, size + HEADERS), then)

    def transfer(
        self, src: str, dst: str, size: int, land: Callable[[], None], over: Callable[[], None] | None = None
    ) -> "Transfer":
        """Begins one; `land` is called once it has come whole, `over` at its end, also where it was lost."""
        made = Transfer(self, (src, dst), size, land, over)
        self.scheduler.at(self.scheduler.now + 2 * WAY, made.window)
        return made


class Transfer:
    """A frame over a connection of its own."""

    def __init__(
        self, links: Bandwidth, way: tuple[str, str], size: int, land: Callable[[], None], over: Callable | None
    ) -> None:
        """Just begun."""
        self.links, self.left, self.land, self.over = links, size, land, over
        self.src, self.dst = way
        self.due, self.ended = links.scheduler.now + links.limit, False

    def window(self) -> None:
        """The next window, or the end."""
        scheduler = self.links.scheduler
        if self.ended:
            return
        if scheduler.now > self.due:
            scheduler.count("transfers lost")
            self.end()
        elif self.links.cut(self.src, self.dst):
            scheduler.at(scheduler.now + STALLED, self.window)
        elif self.left <= 0:
            self.land()
            self.end()
        else:
            size = min(WINDOW, self.left)
            self.left -= size
            leaves = self.links.link(self.src, "out").take(scheduler.now, size + HEADERS)
            scheduler.at(leaves, self.receive, size)

    def receive(self, size: int) -> None:
        """A window comes to the receiver's link; its answer allows the next one."""
        scheduler = self.links.scheduler
        comes = self.links.link(self.dst, "in").take(scheduler.now, size + HEADERS)
        scheduler.at(comes + 2 * WAY, self.window)

    def end(self) -> None:
        """It has come, is lost, or is given up by its sender."""
        if not self.ended:
            self.ended = True
            if self.over is not None:
                self.over()
