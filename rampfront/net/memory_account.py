"""The memory account of a process: what remote peers can make it hold, charged by cost, within the machine's memory.

Each request, response and call that is being received, is in progress or waits to be sent has a `MemoryCharge`, whose
size is what it occupies in memory rather than its size on the wire. All charges of a process share one account.

A charge that would exceed the account is decided in two steps. First, peers that have stalled give way, the largest
charge first. A peer has stalled if at its recent pace it would not finish within its timeout, however often it sends a
little. If that does not suffice, the new charge is refused. A charge may moreover not exceed `MAX_CHARGE_FACTOR` times
the memory that is left beside it, so that the largest charges always leave memory for small ones (the dynamic queue
thresholds of packet switches: Choudhury and Hahne, 1998).
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

from .http_status import SERVICE_UNAVAILABLE, HttpStatusError

MAX_CHARGE_FACTOR = 4
DEFAULT_MEMORY_MB = 200  # of a machine whose memory is not stated
FIELD_COST_BYTES = 320  # of a header field's objects: name, value, line, tuple
HEAD_COPIES = 2  # of a head: its fields, and the head that is sent on
_MB = 10**6  # the unit of the machine's memory
_PROCESS_BYTES = 64 * _MB  # of the program, its libraries and its tables
_FRAGMENTATION_DIVISOR = 4  # this part of the rest is left to the allocator
_MIN_SHARE_DIVISOR = 8  # of the machine's memory, on a machine that is too small for the program
_GRACE_NS = 10**9  # a peer that sends nothing has stalled after this time


class MemoryShortError(HttpStatusError):
    """The account has no memory for a request, nothing of which has been forwarded."""

    def __init__(self) -> None:
        """Has status 503, as the peer may try again."""
        super().__init__(SERVICE_UNAVAILABLE, "memory is short")


class ChargeHolder(Protocol):
    """The owner of a charge that may give way."""

    def give_way(self) -> None:
        """Ends what the charge is for, and releases the charge."""
        raise NotImplementedError


class MemoryCharge:
    """One charge of the account.

    Attributes:
        size: its bytes.
    """

    __slots__ = ("size", "_account", "_base_bytes", "_holder", "_timeout_ns", "_stalls_at_ns", "_unsent_bytes")

    def __init__(self, account: "MemoryAccount") -> None:
        """Starts with nothing charged."""
        self.size = 0
        self._account = account
        self._base_bytes = 0  # of a response that was not sent when the request behind it began
        self._holder: ChargeHolder | None = None  # while a peer is waited for
        self._timeout_ns = 0
        self._stalls_at_ns = 0
        self._unsent_bytes = 0

    # ---- the size

    def raise_to(self, size: int) -> None:
        """Raises the charge to at least `size` bytes. Raises MemoryShortError, and leaves the charge as it was."""
        added_bytes = self._base_bytes + size - self.size
        if added_bytes > 0:
            self._account.admit(self, added_bytes)

    def restart(self, unsent_bytes: int) -> None:
        """Begins to charge a request, while `unsent_bytes` of the response before it are still to be sent."""
        self.release()
        self.set(unsent_bytes)
        self._base_bytes = unsent_bytes

    def set(self, size: int) -> None:
        """Sets the charge without a check, for memory that is already in use."""
        self._account.used_bytes += size - self.size
        self.size = size

    def release(self) -> None:
        """Releases the charge; it may be used again."""
        self._account.used_bytes -= self.size
        self.size = 0
        self._base_bytes = 0
        self._holder = None
        self._unsent_bytes = 0

    # ---- the peer

    def receiving(self, holder: ChargeHolder, timeout_ns: int, received_bytes: int) -> None:
        """Notes bytes of a peer that has more to send, and `timeout_ns` in all to do so; `holder` may give way."""
        if self._holder is None:
            self._wait_for_peer(holder, timeout_ns)
        self._progressed(received_bytes)

    def received(self) -> None:
        """Notes that the peer has sent everything: the charge no longer gives way."""
        self._holder = None

    def sending(self, holder: ChargeHolder, timeout_ns: int, unsent_bytes: int) -> None:
        """Begins to wait for a peer that has to read `unsent_bytes` within `timeout_ns`; `holder` may give way."""
        if not unsent_bytes:
            self.release()
            return
        self._wait_for_peer(holder, timeout_ns)
        self._unsent_bytes = unsent_bytes

    def note_unsent(self, unsent_bytes: int) -> None:
        """Notes how much the peer has still to read. The memory of a response is free once all of it was read."""
        if not self._unsent_bytes:
            return
        if not unsent_bytes:
            self.release()
            return
        self._progressed(self._unsent_bytes - unsent_bytes)
        self._unsent_bytes = unsent_bytes

    @property
    def is_sending(self) -> bool:
        """Whether a peer has still to read something."""
        return self._unsent_bytes > 0

    def has_stalled(self, now_ns: int) -> bool:
        """Whether it may give way now."""
        return self._holder is not None and now_ns >= self._stalls_at_ns

    def give_way(self) -> None:
        """Lets the holder give way."""
        holder = self._holder
        self._holder = None
        if holder is not None:
            holder.give_way()

    def _wait_for_peer(self, holder: ChargeHolder, timeout_ns: int) -> None:
        """Begins to wait for the peer."""
        self._holder = holder
        self._timeout_ns = timeout_ns
        self._stalls_at_ns = self._account.clock() + _GRACE_NS

    def _progressed(self, transferred_bytes: int) -> None:
        """Notes bytes that were transferred. They buy their share of the timeout, up to the grace time.

        A peer that has stalled has to buy the time that it has lost, so that a byte now and then does not help it.
        """
        bought_ns = transferred_bytes * self._timeout_ns // max(self.size, transferred_bytes, 1)
        self._stalls_at_ns = min(self._account.clock() + _GRACE_NS, self._stalls_at_ns + bought_ns)


class MemoryAccount:
    """The charges of one process.

    Attributes:
        clock: returns the time in ns.
        capacity_bytes: the maximum of all charges.
        used_bytes: the sum of all charges.
        counts: event counts by name: `memory_yielded` (charges that gave way), `memory_refused`.
    """

    def __init__(self, clock: Callable[[], int], capacity_bytes: int, counts: dict[str, int]) -> None:
        """Starts without charges. The parameters are the attributes of the same names."""
        self.clock = clock
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self.counts = counts
        self._charges: dict[MemoryCharge, None] = {}

    @property
    def largest_charge_bytes(self) -> int:
        """The size of the largest charge that the account admits while there is no other."""
        return self.capacity_bytes * MAX_CHARGE_FACTOR // (MAX_CHARGE_FACTOR + 1)

    def open(self) -> MemoryCharge:
        """Returns a new charge, to be closed with `close`."""
        charge = MemoryCharge(self)
        self._charges[charge] = None
        return charge

    def close(self, charge: MemoryCharge) -> None:
        """Releases a charge for good."""
        charge.release()
        self._charges.pop(charge, None)

    @contextmanager
    def reserve(self, size: int) -> Iterator[None]:
        """Charges `size` bytes for the time of a `with` block. Raises MemoryShortError."""
        charge = self.open()
        try:
            charge.raise_to(size)
            yield
        finally:
            self.close(charge)

    def admit(self, charge: MemoryCharge, added_bytes: int) -> None:
        """Adds bytes to a charge, if need be after others have given way. Raises MemoryShortError."""
        while not self._fits(charge, added_bytes):
            stalled = self._largest_stalled(charge)
            if stalled is None:
                self.counts["memory_refused"] += 1
                raise MemoryShortError
            self.counts["memory_yielded"] += 1
            stalled.give_way()
        self.used_bytes += added_bytes
        charge.size += added_bytes

    def _fits(self, charge: MemoryCharge, added_bytes: int) -> bool:
        """Whether the account has memory for the charge, and some besides."""
        free_bytes = self.capacity_bytes - self.used_bytes - added_bytes
        return charge.size + added_bytes <= MAX_CHARGE_FACTOR * free_bytes

    def _largest_stalled(self, asking: MemoryCharge) -> MemoryCharge | None:
        """Returns the largest charge whose peer has stalled, except the one that asks."""
        now_ns = self.clock()
        stalled = [
            charge for charge in self._charges if charge.size and charge is not asking and charge.has_stalled(now_ns)
        ]
        return max(stalled, key=lambda charge: charge.size, default=None)


def machine_account(clock: Callable[[], int], memory_mb: int, counts: dict[str, int]) -> MemoryAccount:
    """Returns the account of a process on a machine with this memory. For the parameters see `MemoryAccount`."""
    memory_bytes = memory_mb * _MB
    beside_process = memory_bytes - _PROCESS_BYTES
    capacity_bytes = max(beside_process - beside_process // _FRAGMENTATION_DIVISOR, memory_bytes // _MIN_SHARE_DIVISOR)
    return MemoryAccount(clock, capacity_bytes, counts)
