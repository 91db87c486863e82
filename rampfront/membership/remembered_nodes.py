"""Nodes that a leader knew before it restarted, and tells of itself until it hears them.

Behind a loss of power of all machines a node without a disk knows nobody but its seeds, which may all be gone by then.
The members of the core keep the addresses of all nodes beside their record. A new leader sends those that it does not
hear an announcement, again and again with a growing pause, a few times: whoever gets one follows it. No I/O, no clock.
"""

from collections.abc import Container, Iterable

FIRST_PAUSE_NS = 500 * 10**6
PAUSE_GROWTH = 2
ROUNDS = 6  # the last of them 15.5 s behind the first


class RememberedNodes:
    """The addresses, and when they are due."""

    def __init__(self) -> None:
        """None."""
        self._addresses: tuple[str, ...] = ()
        self._rounds_left = 0
        self._due_at_ns = 0
        self._pause_ns = FIRST_PAUSE_NS

    def load(self, addresses: Iterable[str]) -> None:
        """The addresses that the disk held at the start."""
        self._addresses = tuple(addresses)

    def begin(self, now: int) -> None:
        """This node begins to lead."""
        self._rounds_left = ROUNDS if self._addresses else 0
        self._due_at_ns = now
        self._pause_ns = FIRST_PAUSE_NS

    def due(self, heard: Container[str], now: int) -> list[str]:
        """The addresses to announce to now: those that are not `heard`."""
        if not self._rounds_left or now < self._due_at_ns:
            return []
        self._rounds_left -= 1
        self._due_at_ns = now + self._pause_ns
        self._pause_ns *= PAUSE_GROWTH
        return [address for address in self._addresses if address not in heard]
