"""Which large frame goes to whom next. No I/O and no clock: callers pass the time.

A large frame gets a TCP connection of its own. Most kinds go at once. Of the kinds in `SUPERSEDED_KINDS` a newer frame
contains all that an older one did; of these only one is in flight to a receiver at a time, and only the newest waits
behind it. Otherwise copies would share a slow link so that none arrives in time. The one in flight is not cancelled for
a newer one as long as it makes progress: it is complete in itself, and later deltas may rest on it.

All times are ns of the node's steady clock.
"""

from collections.abc import Callable

_NS_PER_S = 10**9

SUPERSEDED_KINDS = frozenset(("full", "word"))  # a newer frame takes the place of an older one that still waits
CONNECT_TIMEOUT_NS = _NS_PER_S // 2  # not connected by then, it may lead nowhere: a newer frame opens another one
STALL_TIMEOUT_NS = _NS_PER_S  # for one that is connected, beside its allowance, until a newer frame does so
MAX_QUEUED_NS = 2 * _NS_PER_S  # a frame that waited longer is dropped: whoever lacks it has asked again
TRANSFER_TIMEOUT_NS = 4 * _NS_PER_S  # for one frame, beside its allowance, until it is given up
ALLOWANCE_PER_BYTE_NS = 8_000  # for each byte in flight to any receiver: 1 Mbit/s, shared by all of them


class Transfer:
    """One large frame on its way to the node at `ip`."""

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
        """Not yet offered to a scheduler. `kind` is that of the message, `data` the frame."""
        self.ip = ip
        self.kind = kind
        self.data = data
        self.in_flight = False
        self.queued_at_ns = 0  # of one that waits behind another
        self.started_at_ns = 0
        self.allowance_ns = 0  # extra time, by the bytes that were in flight when it started
        self.connected = False  # set by whoever opens its connection
        self.abort: Callable[[], None] | None = None  # ends its connection; set by whoever opens it

    @property
    def destination(self) -> tuple[str, str]:
        """Receiver and kind: of one such pair at most one superseded frame is in flight."""
        return self.ip, self.kind

    @property
    def deadline_ns(self) -> int:
        """When it is given up."""
        return self.started_at_ns + TRANSFER_TIMEOUT_NS + self.allowance_ns

    def is_stalled(self, now_ns: int) -> bool:
        """Whether a newer frame need not wait for it any longer."""
        timeout_ns = STALL_TIMEOUT_NS + self.allowance_ns if self.connected else CONNECT_TIMEOUT_NS
        return now_ns - self.started_at_ns > timeout_ns


class TransferScheduler:
    """Starts transfers in turn: `offer` one, and call `finish` when its connection has ended.

    `start(transfer)` has to open the connection; it sets `connected` and `abort`.
    """

    def __init__(self, start: Callable[[Transfer], None], counts: dict[str, int]) -> None:
        """`counts`: the node's counters, of which `frames_replaced` and `frames_lost` are counted here."""
        self._start = start
        self._counts = counts
        # By destination, of the kinds in SUPERSEDED_KINDS alone.
        self.in_flight: dict[tuple[str, str], Transfer] = {}
        self.waiting: dict[tuple[str, str], Transfer] = {}
        self.bytes_in_flight = 0  # of transfers of every kind

    def offer(self, now_ns: int, transfer: Transfer) -> None:
        """Starts a transfer, or lets it wait for the one in flight to the same destination."""
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
        """The connection of a transfer has ended, for whatever reason: starts the one that waits for it.

        May be called again for the same transfer, which has no effect."""
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
        """Lets it wait, in place of an older one."""
        if transfer.destination in self.waiting:
            self._counts["frames_replaced"] += 1
        self.waiting[transfer.destination] = transfer
        transfer.queued_at_ns = now_ns

    def _abandon(self, transfer: Transfer) -> None:
        """Gives up one that is stalled, and what waits behind it."""
        self._counts["frames_lost"] += 1
        self._remove(transfer)  # before its connection ends: that must not start what waits
        if transfer.abort is not None:
            transfer.abort()
        self.waiting.pop(transfer.destination, None)

    def _begin(self, now_ns: int, transfer: Transfer) -> None:
        """Starts it now."""
        self.bytes_in_flight += len(transfer.data)
        transfer.in_flight = True
        transfer.started_at_ns = now_ns
        transfer.allowance_ns = ALLOWANCE_PER_BYTE_NS * self.bytes_in_flight
        self._start(transfer)

    def _remove(self, transfer: Transfer) -> bool:
        """Counts it as in flight no longer; returns whether it was."""
        if not transfer.in_flight:
            return False
        transfer.in_flight = False
        self.bytes_in_flight -= len(transfer.data)
        if self.in_flight.get(transfer.destination) is transfer:
            del self.in_flight[transfer.destination]
        return True
