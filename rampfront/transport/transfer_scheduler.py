"""Decides when each large frame is sent. Does no I/O and reads no clock; callers pass the time.

Each large frame gets its own TCP connection. Most kinds are sent at once. Of the kinds in `SUPERSEDED_KINDS` a newer
frame contains everything that an older one did. Of these only one frame of a kind is in flight to a receiver at a time,
and only the newest waits for it to end. Otherwise copies would share a slow link and none would arrive in time. As long
as the frame in flight makes progress, it is not cancelled for a newer one: it is complete in itself, and later deltas
may be based on it.

All times are ns of the node's steady clock.
"""

from collections.abc import Callable

_NS_PER_S = 10**9

SUPERSEDED_KINDS = frozenset(("full", "word"))  # a newer frame replaces an older one that is still waiting
CONNECT_TIMEOUT_NS = _NS_PER_S // 2  # then the receiver may be unreachable, and a newer frame opens another connection
STALL_TIMEOUT_NS = _NS_PER_S  # the same for a transfer that is connected, in addition to its allowance
MAX_QUEUED_NS = 2 * _NS_PER_S  # a frame that waited longer is dropped, since a receiver that needs it has asked again
TRANSFER_TIMEOUT_NS = 4 * _NS_PER_S  # for one frame, in addition to its allowance; then it is aborted
ALLOWANCE_PER_BYTE_NS = 8_000  # for each byte in flight to any receiver: 1 Mbit/s, shared by all receivers


class Transfer:
    """One large frame that is sent to the node at `ip`."""

    __slots__ = (
        "ip",
        "kind",
        "data",
        "in_flight",
        "queued_at_ns",
        "started_at_ns",
        "allowance_ns",
        "connected",
        "abort",
    )

    def __init__(self, ip: str, kind: str, data: bytes) -> None:
        """Creates a transfer for a scheduler. `kind`: of the message; `data`: the frame."""
        self.ip = ip
        self.kind = kind
        self.data = data
        self.in_flight = False
        self.queued_at_ns = 0  # set only if it waits for another transfer
        self.started_at_ns = 0
        self.allowance_ns = 0  # extra time, in proportion to the bytes that were in flight when it started
        self.connected = False  # set by the code that opens its connection
        self.abort: Callable[[], None] | None = None  # aborts its connection; set by the code that opens it

    @property
    def destination(self) -> tuple[str, str]:
        """Receiver and kind. Of the kinds in `SUPERSEDED_KINDS` at most one frame to each destination is in flight."""
        return self.ip, self.kind

    @property
    def deadline_ns(self) -> int:
        """The time at which the transfer is aborted."""
        return self.started_at_ns + TRANSFER_TIMEOUT_NS + self.allowance_ns

    def is_stalled(self, now_ns: int) -> bool:
        """Returns whether a newer frame need not wait for this one any longer."""
        timeout_ns = STALL_TIMEOUT_NS + self.allowance_ns if self.connected else CONNECT_TIMEOUT_NS
        return now_ns - self.started_at_ns > timeout_ns


class TransferScheduler:
    """Starts transfers: callers `offer` a transfer, and call `finish` when its connection has ended.

    `start(transfer)` has to open the connection, and to set `connected` and `abort`.
    """

    def __init__(self, start: Callable[[Transfer], None], counts: dict[str, int]) -> None:
        """`counts`: the node's counters, of which this class increments `frames_replaced` and `frames_lost`."""
        self._start = start
        self._counts = counts
        # Transfers by destination, only of the kinds in SUPERSEDED_KINDS.
        self.in_flight: dict[tuple[str, str], Transfer] = {}
        self.waiting: dict[tuple[str, str], Transfer] = {}
        self.bytes_in_flight = 0  # of transfers of every kind

    def offer(self, now_ns: int, transfer: Transfer) -> None:
        """Starts a transfer, or queues it behind the one in flight to the same destination."""
        if transfer.kind in SUPERSEDED_KINDS:
            current = self.in_flight.get(transfer.destination)
            if current is not None:
                if not current.is_stalled(now_ns):
                    self._queue(now_ns, transfer)
                    return
                self._abandon(current)
            self.in_flight[transfer.destination] = transfer
        self._begin(now_ns, transfer)

    def finish(self, now_ns: int, transfer: Transfer) -> None:
        """Ends a transfer whose connection has ended, for whatever reason, and starts the one that waits for it.

        A repeated call for the same transfer has no effect."""
        if not self._remove(transfer) or transfer.destination in self.in_flight:
            return
        newest = self.waiting.pop(transfer.destination, None)
        if newest is None:
            return
        if now_ns - newest.queued_at_ns > MAX_QUEUED_NS:
            self._counts["frames_lost"] += 1
            return
        self.in_flight[transfer.destination] = newest
        self._begin(now_ns, newest)

    def _queue(self, now_ns: int, transfer: Transfer) -> None:
        """Queues a transfer in place of an older one that waits for the same destination."""
        if transfer.destination in self.waiting:
            self._counts["frames_replaced"] += 1
        self.waiting[transfer.destination] = transfer
        transfer.queued_at_ns = now_ns

    def _abandon(self, transfer: Transfer) -> None:
        """Aborts a stalled transfer, and drops the one that waits for it."""
        self._counts["frames_lost"] += 1
        self._remove(transfer)  # before the abort, which calls `finish` and must not start the waiting transfer
        if transfer.abort is not None:
            transfer.abort()
        self.waiting.pop(transfer.destination, None)

    def _begin(self, now_ns: int, transfer: Transfer) -> None:
        """Starts a transfer now."""
        self.bytes_in_flight += len(transfer.data)
        transfer.in_flight = True
        transfer.started_at_ns = now_ns
        transfer.allowance_ns = ALLOWANCE_PER_BYTE_NS * self.bytes_in_flight
        self._start(transfer)

    def _remove(self, transfer: Transfer) -> bool:
        """Removes a transfer from those in flight; returns whether it was one of them."""
        if not transfer.in_flight:
            return False
        transfer.in_flight = False
        self.bytes_in_flight -= len(transfer.data)
        if self.in_flight.get(transfer.destination) is transfer:
            del self.in_flight[transfer.destination]
        return True
