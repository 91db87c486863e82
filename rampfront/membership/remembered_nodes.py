"""Nodes that a leader knew before it restarted, to which it announces itself until they send heartbeats.

After a power failure of all machines, a node without a disk knows only its seeds, which may all be gone by then. The
members of the core store the addresses of all nodes next to their record. A new leader sends an announcement to those
that it has no heartbeat from, a few times with exponential backoff; a node that receives it follows the leader. No I/O,
no clock.
"""

from collections.abc import Container, Iterable

FIRST_PAUSE_NS = 500 * 10**6
PAUSE_GROWTH = 2
ROUNDS = 6  # the last one is sent 15.5 s after the first


class RememberedNodes:
    """The stored addresses, and the schedule of the announcements to them."""

    def __init__(self) -> None:
        """Starts without addresses."""
        self._addresses: tuple[str, ...] = ()
        self._rounds_left = 0
        self._due_at_ns = 0
        self._pause_ns = FIRST_PAUSE_NS

    def load(self, addresses: Iterable[str]) -> None:
        """Loads the addresses that the disk held at the start."""
        self._addresses = tuple(addresses)

    def begin(self, now: int) -> None:
        """Starts the announcements, as this node has become the leader."""
        self._rounds_left = ROUNDS if self._addresses else 0
        self._due_at_ns = now
        self._pause_ns = FIRST_PAUSE_NS

    def due(self, peers: Container[str], now: int) -> list[str]:
        """Returns the addresses to send an announcement to now: those that are not in `peers`."""
        if not self._rounds_left or now < self._due_at_ns:
            return []
        self._rounds_left -= 1
        self._due_at_ns = now + self._pause_ns
        self._pause_ns *= PAUSE_GROWTH
        return [address for address in self._addresses if address not in peers]
