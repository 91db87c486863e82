"""What waits to reach the collector, and what was sent but may not have arrived. No I/O, no clock.

By age: frames in flight (written to the connection, not yet surely delivered), then the disk (`disk_buffer`, which the
sender keeps), then the queue. The path of a transaction calls `offer` only: it appends, or counts a drop where the
queue is full. Nothing is dropped without being counted.

Plain syslog acknowledges nothing. A frame counts as delivered once the other machine has taken its bytes and a second
has passed: a reset may lose what its kernel has taken and its program has not read.
"""

from collections import deque
from collections.abc import Sequence
from typing import Generic, TypeVar

_NS_PER_S = 10**9
_DELIVERY_DELAY_NS = _NS_PER_S
_MAX_SEQUENCE_ID = 2147483647  # RFC 5424, section 7.3.1: sequenceId wraps to 1

ItemT = TypeVar("ItemT")


class _SentFrame:
    """A frame in flight: where it ends among the connection's bytes, and when the other machine had taken it."""

    __slots__ = ("end_offset", "frame", "acknowledged_at_ns")

    def __init__(self, end_offset: int, frame: bytes) -> None:
        """It is not acknowledged."""
        self.end_offset = end_offset
        self.frame = frame
        self.acknowledged_at_ns = 0  # 0: not yet


class SendQueue(Generic[ItemT]):
    """Items that wait, frames in flight, and the counts of what became of them.

    Attributes:
        capacity: most items that wait.
        written_bytes: written to the present connection.
    """

    def __init__(self, capacity: int) -> None:
        """Starts empty. `capacity`: most items that wait."""
        self.capacity = capacity
        self.written_bytes = 0
        self._waiting: deque[ItemT] = deque()
        self._in_flight: deque[_SentFrame] = deque()
        self._sequence_id = 0
        self._unreported_drops = 0
        self._counts = {"offered": 0, "sent": 0, "resent": 0, "spilled": 0, "replayed": 0, "dropped": 0}

    def __len__(self) -> int:
        """Items that wait."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Frames that were written and may not have arrived."""
        return len(self._in_flight)

    def next_sequence_id(self) -> int:
        """The number of the next message."""
        self._sequence_id = self._sequence_id % _MAX_SEQUENCE_ID + 1
        return self._sequence_id

    # ---- items

    def offer(self, item: ItemT) -> bool:
        """Appends an item. Returns False if there was no room, and the item is dropped."""
        self._counts["offered"] += 1
        if len(self._waiting) >= self.capacity:
            self.count_dropped(1)
            return False
        self._waiting.append(item)
        return True

    def take(self, max_items: int) -> list[ItemT]:
        """Removes the oldest items and returns them, in order."""
        return [self._waiting.popleft() for _ in range(min(max_items, len(self._waiting)))]

    # ---- counts

    def counts(self) -> dict[str, int]:
        """What became of the items, by the names of the log's fields."""
        return dict(self._counts)

    def count_dropped(self, messages: int) -> None:
        """Messages were dropped."""
        self._counts["dropped"] += messages
        self._unreported_drops += messages

    def count_datagram(self) -> None:
        """A message was sent as a datagram, of which nothing more is known."""
        self._counts["sent"] += 1

    def count_stored(self, messages: int) -> None:
        """Messages were put on disk."""
        self._counts["spilled"] += messages

    def count_replayed(self, messages: int) -> None:
        """Messages were read back from disk."""
        self._counts["replayed"] += messages

    def take_unreported_drops(self) -> int:
        """Messages dropped since this was called last."""
        dropped = self._unreported_drops
        self._unreported_drops = 0
        return dropped

    # ---- the connection

    def connection_opened(self) -> None:
        """A connection begins: its bytes are counted from here."""
        self.written_bytes = 0

    def frames_sent(self, frames: Sequence[bytes]) -> None:
        """Frames were written to the connection."""
        for frame in frames:
            self.written_bytes += len(frame)
            self._in_flight.append(_SentFrame(self.written_bytes, frame))
        self._counts["sent"] += len(frames)

    def acknowledge(self, taken_bytes: int, now_ns: int) -> None:
        """The other machine has taken `taken_bytes` of this connection; what it took a second ago is forgotten."""
        for sent in self._in_flight:
            if sent.end_offset > taken_bytes:
                break
            sent.acknowledged_at_ns = sent.acknowledged_at_ns or now_ns
        while self._in_flight:
            acknowledged_at_ns = self._in_flight[0].acknowledged_at_ns
            if not acknowledged_at_ns or now_ns - acknowledged_at_ns < _DELIVERY_DELAY_NS:
                break
            self._in_flight.popleft()

    def connection_lost(self, delivered_bytes: int | None = None) -> list[bytes]:
        """The connection has ended.

        Args:
            delivered_bytes: what the other side surely took before it closed in good order. None: all that is in flight
                may be lost, and goes again under its sequenceId, by which a collector recognises a repeat.

        Returns:
            The frames to be sent again, in order.
        """
        again = [sent.frame for sent in self._in_flight if delivered_bytes is None or sent.end_offset > delivered_bytes]
        self._in_flight.clear()
        self._counts["resent"] += len(again)
        return again
