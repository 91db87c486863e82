"""Nodes that a leader knows of but does not hear, to which it announces itself until they send heartbeats.

A node without a disk that restarts knows only its seeds, which may all be gone by then, or have restarted as well and
know nobody either. The members of the core store the addresses of all nodes next to their record. A leader sends an
announcement to those that it has no heartbeat from, with exponential backoff up to a maximum; a node that receives it
follows the leader. No I/O, no clock.
"""

from collections.abc import Container, Iterable

SEC = 10**9  # ns
FIRST_PAUSE_NS = SEC // 2
MAX_PAUSE_NS = 4 * SEC
PAUSE_GROWTH = 2


class RememberedNodes:
    """The known addresses, and the schedule of the announcements to them."""

    def __init__(self) -> None:
        """Starts without addresses."""
        self.addresses: tuple[str, ...] = ()  # current nodes first
        self._due_at_ns = 0
        self._pause_ns = FIRST_PAUSE_NS

    def load(self, addresses: Iterable[str]) -> None:
        """Replaces the addresses by those that the core's record holds now."""
        self.addresses = tuple(addresses)

    def begin(self, now: int) -> None:
        """Starts the announcements, as this node has become the leader."""
        self._due_at_ns = now
        self._pause_ns = FIRST_PAUSE_NS

    def due(self, peers: Container[str], now: int) -> list[str]:
        """Returns the addresses to send an announcement to now: those that are not in `peers`."""
        if now < self._due_at_ns:
            return []
        self._due_at_ns = now + self._pause_ns
        self._pause_ns = min(MAX_PAUSE_NS, self._pause_ns * PAUSE_GROWTH)
        return [address for address in self.addresses if address not in peers]
