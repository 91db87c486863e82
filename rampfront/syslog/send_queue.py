"""The queue of items to be sent to the collector, and the frames sent but not known to be delivered. No I/O, no clock.

From oldest to newest, messages are in flight (written to the connection, delivery not yet certain), on disk
(`disk_buffer`, owned by the sender) or in the queue. The request path calls only `offer`, which appends an item, or
counts a drop if the queue is full. Every dropped message is counted.

Syslog has no acknowledgements. A frame counts as delivered one second after the collector's host has acknowledged its
bytes, because a connection reset may lose bytes that the host's kernel has received and the collector has not read.
"""

from collections import deque
from collections.abc import Sequence
from typing import Generic, TypeVar

_NS_PER_S = 10**9
_DELIVERY_DELAY_NS = _NS_PER_S
_MAX_SEQUENCE_ID = 2147483647  # sequenceId wraps to 1 after it (RFC 5424, section 7.3.1)

ItemT = TypeVar("ItemT")


class _SentFrame:
    """A frame in flight, its end offset among the connection's bytes, and when the collector's host acknowledged it."""

    __slots__ = ("end_offset", "frame", "acknowledged_at_ns")

    def __init__(self, end_offset: int, frame: bytes) -> None:
        """Creates a frame that is not acknowledged."""
        self.end_offset = end_offset
        self.frame = frame
        self.acknowledged_at_ns = 0  # 0 while not acknowledged


class SendQueue(Generic[ItemT]):
    """Queued items, frames in flight, and message counts.

    Attributes:
        capacity: the maximum number of queued items.
        written_bytes: the bytes written to the current connection.
    """

    def __init__(self, capacity: int) -> None:
        """Creates an empty queue of at most `capacity` items."""
        self.capacity = capacity
        self.written_bytes = 0
        self._waiting: deque[ItemT] = deque()
        self._in_flight: deque[_SentFrame] = deque()
        self._sequence_id = 0
        self._unreported_drops = 0
        self._counts = {"offered": 0, "sent": 0, "resent": 0, "spilled": 0, "replayed": 0, "dropped": 0}

    def __len__(self) -> int:
        """The number of queued items."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """The number of frames written but not known to be delivered."""
        return len(self._in_flight)

    def next_sequence_id(self) -> int:
        """Returns the sequenceId of the next message."""
        self._sequence_id = self._sequence_id % _MAX_SEQUENCE_ID + 1
        return self._sequence_id

    # ---- items

    def offer(self, item: ItemT) -> bool:
        """Appends an item. Returns False if the queue is full and the item is dropped."""
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
        """Returns the message counts, by the names of the log's fields."""
        return dict(self._counts)

    def count_dropped(self, messages: int) -> None:
        """Counts dropped messages."""
        self._counts["dropped"] += messages
        self._unreported_drops += messages

    def count_datagram(self) -> None:
        """Counts a message sent as a datagram; its delivery is not tracked."""
        self._counts["sent"] += 1

    def count_spilled(self, messages: int) -> None:
        """Counts messages written to the disk buffer."""
        self._counts["spilled"] += messages

    def count_replayed(self, messages: int) -> None:
        """Counts messages read back from the disk buffer."""
        self._counts["replayed"] += messages

    def take_unreported_drops(self) -> int:
        """Returns and resets the number of dropped messages not yet reported."""
        dropped = self._unreported_drops
        self._unreported_drops = 0
        return dropped

    # ---- the connection

    def connection_opened(self) -> None:
        """Resets the byte count for a new connection."""
        self.written_bytes = 0

    def frames_sent(self, frames: Sequence[bytes]) -> None:
        """Records frames that were written to the connection."""
        for frame in frames:
            self.written_bytes += len(frame)
            self._in_flight.append(_SentFrame(self.written_bytes, frame))
        self._counts["sent"] += len(frames)

    def acknowledge(self, acknowledged_bytes: int, now_ns: int) -> None:
        """Records that the host has acknowledged `acknowledged_bytes`; releases frames acknowledged a second ago."""
        for sent in self._in_flight:
            if sent.end_offset > acknowledged_bytes:
                break
            sent.acknowledged_at_ns = sent.acknowledged_at_ns or now_ns
        while self._in_flight:
            acknowledged_at_ns = self._in_flight[0].acknowledged_at_ns
            if not acknowledged_at_ns or now_ns - acknowledged_at_ns < _DELIVERY_DELAY_NS:
                break
            self._in_flight.popleft()

    def connection_lost(self, delivered_bytes: int | None = None) -> list[bytes]:
        """Clears the frames in flight after the connection has closed.

        Args:
            delivered_bytes: the bytes known to be delivered after a clean close. None if any frame in flight may be
                lost: all are sent again with their sequenceId, by which a collector detects duplicates.

        Returns:
            The frames to send again, in order.
        """
        unconfirmed = [
            sent.frame for sent in self._in_flight if delivered_bytes is None or sent.end_offset > delivered_bytes
        ]
        self._in_flight.clear()
        self._counts["resent"] += len(unconfirmed)
        return unconfirmed
