"""Links of limited bandwidth for the simulation: each machine has one outgoing and one incoming direction.

A datagram waits for the data queued before it and is lost if this takes too long. A transfer (a frame over a
connection) is sent in windows, each after the previous one was acknowledged, so that transfers share a link and none
fills its queue. A transfer that exceeds its time limit is lost; the bandwidth that it has used stays used."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .world import EventScheduler

MS, SEC = 10**6, 10**9
LINK_DELAY = 5 * MS  # from machine to machine, without queueing
WINDOW_BYTES = 16 << 10  # bytes of a transfer in flight at once
HEADER_BYTES = 60  # bytes added to the payload of a datagram or a window
MAX_QUEUE_DELAY = 500 * MS  # a datagram that would wait longer is lost
CUT_RETRY_DELAY = 200 * MS  # until a window that could not be sent on a cut link is retried


class Direction:
    """One direction of a machine's link. `rate`: bytes per second."""

    def __init__(self, rate: float) -> None:
        """An idle link."""
        self.rate, self.free_at, self.bytes = rate, 0, 0

    def queueing_delay(self, now: int) -> int:
        """Queueing delay of data that is sent now (ns)."""
        return max(0, self.free_at - now)

    def enqueue(self, now: int, size: int) -> int:
        """Puts bytes into the queue. Returns when the last of them has left (ns)."""
        self.free_at = max(self.free_at, now) + int(size * SEC / self.rate)
        self.bytes += size
        return self.free_at


class Bandwidth:
    """All links. `rates`: bytes per second by address, `default_rate` for the others; `is_cut(src, dst)`: whether that
    link is cut; `limit`: time limit of a transfer (ns)."""

    def __init__(
        self,
        scheduler: "EventScheduler",
        rates: dict,
        default_rate: float,
        is_cut: Callable[[str, str], bool],
        limit: int = 4 * SEC,
    ) -> None:
        """Starts with all links idle."""
        self.scheduler, self.rates, self.default_rate, self.is_cut, self.limit = (
            scheduler,
            rates,
            default_rate,
            is_cut,
            limit,
        )
        self.links = {}  # by (address, "out" or "in")
        self.longest_wait = {}  # by address: longest queueing time of a datagram to it (ns)

    def link(self, address: str, direction: str) -> Direction:
        """One direction of a machine's link."""
        if (address, direction) not in self.links:
            self.links[address, direction] = Direction(self.rates.get(address, self.default_rate))
        return self.links[address, direction]

    def received_bytes(self, address: str) -> int:
        """Bytes that a machine has received, including those of lost transfers."""
        return self.link(address, "in").bytes

    def datagram(self, src: str, dst: str, size: int, on_arrival: Callable[[], None]) -> None:
        """Sends a datagram; `on_arrival` is called if and when it arrives."""
        self.send_through(src, "out", size, lambda: self.send_to_receiver(dst, size, self.scheduler.now, on_arrival))

    def send_to_receiver(self, dst: str, size: int, sent: int, on_arrival: Callable[[], None]) -> None:
        """Passes a datagram, which has left the sender's link, to that of the receiver."""

        def arrived() -> None:
            self.longest_wait[dst] = max(self.longest_wait.get(dst, 0), self.scheduler.now - sent)
            self.scheduler.at(self.scheduler.now + LINK_DELAY, on_arrival)

        self.send_through(dst, "in", size, arrived)

    def send_through(self, address: str, direction: str, size: int, then: Callable[[], None]) -> None:
        """Sends a datagram through one direction of a link, or drops it if the queue is too long."""
        link = self.link(address, direction)
        if link.queueing_delay(self.scheduler.now) > MAX_QUEUE_DELAY:
            self.scheduler.count("datagrams dropped")
            return
        self.scheduler.at(link.enqueue(self.scheduler.now, size + HEADER_BYTES), then)

    def transfer(
        self, src: str, dst: str, size: int, on_arrival: Callable[[], None], on_end: Callable[[], None] | None = None
    ) -> "Transfer":
        """Begins a transfer. `on_arrival` is called if it arrives completely, `on_end` at its end even if it is
        lost."""
        transfer = Transfer(self, (src, dst), size, on_arrival, on_end)
        self.scheduler.at(self.scheduler.now + 2 * LINK_DELAY, transfer.send_window)
        return transfer


class Transfer:
    """A frame sent over its own connection."""

    def __init__(
        self,
        links: Bandwidth,
        endpoints: tuple[str, str],
        size: int,
        on_arrival: Callable[[], None],
        on_end: Callable | None,
    ) -> None:
        """Nothing is sent yet. `endpoints`: addresses of the sender and the receiver."""
        self.links, self.left, self.on_arrival, self.on_end = links, size, on_arrival, on_end
        self.src, self.dst = endpoints
        self.due, self.ended = links.scheduler.now + links.limit, False

    def send_window(self) -> None:
        """Sends the next window, or ends the transfer."""
        scheduler = self.links.scheduler
        if self.ended:
            return
        if scheduler.now > self.due:
            scheduler.count("transfers lost")
            self.end()
        elif self.links.is_cut(self.src, self.dst):
            scheduler.at(scheduler.now + CUT_RETRY_DELAY, self.send_window)
        elif self.left <= 0:
            self.on_arrival()
            self.end()
        else:
            size = min(WINDOW_BYTES, self.left)
            self.left -= size
            leaves = self.links.link(self.src, "out").enqueue(scheduler.now, size + HEADER_BYTES)
            scheduler.at(leaves, self.receive_window, size)

    def receive_window(self, size: int) -> None:
        """A window reaches the receiver's link; its acknowledgement allows the next one."""
        scheduler = self.links.scheduler
        arrives = self.links.link(self.dst, "in").enqueue(scheduler.now, size + HEADER_BYTES)
        scheduler.at(arrives + 2 * LINK_DELAY, self.send_window)

    def end(self) -> None:
        """Ends the transfer: it has arrived, is lost, or was aborted by its sender."""
        if not self.ended:
            self.ended = True
            if self.on_end is not None:
                self.on_end()
