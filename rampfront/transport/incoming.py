"""The receiver's end of a TCP connection that carries one large frame."""

import asyncio
from collections.abc import Callable
from typing import cast

from .connections import ConnectionSet, TransferConnection
from .frames import LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES, read_length_prefix
from .transfer_scheduler import TRANSFER_TIMEOUT_NS

# Since the last byte received: a slow link may take longer for a frame, a dead one may not.
RECEIVE_TIMEOUT_NS = TRANSFER_TIMEOUT_NS
ACKNOWLEDGEMENT = b"."


class IncomingConnection(TransferConnection):
    """Receives one frame, passes it on and acknowledges it; the sender then closes the connection."""

    def __init__(
        self,
        open_connections: ConnectionSet,
        clock: Callable[[], int],
        counts: dict[str, int],
        on_frame: Callable[[str, bytes], None],
    ) -> None:
        """`clock()` returns ns; `counts`: the node's counters, of which this class increments `frames_invalid` and
        `frames_truncated`; `on_frame(sender's IP address, frame)` is called with the frame."""
        self._open_connections = open_connections
        self._clock = clock
        self._counts = counts
        self._on_frame = on_frame
        self._transport: asyncio.Transport
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._expected_bytes: int | None = (
            None  # including the length prefix; None: the prefix has not been received yet
        )
        self._deadline_ns = clock() + RECEIVE_TIMEOUT_NS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the new connection to the set of open ones."""
        self._transport = cast(asyncio.Transport, transport)
        self._open_connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Collects a chunk. Aborts the connection if the frame is too long or is followed by more data."""
        self._deadline_ns = self._clock() + RECEIVE_TIMEOUT_NS
        self._chunks.append(data)
        self._received_bytes += len(data)
        if self._expected_bytes is None and self._received_bytes >= LENGTH_PREFIX_BYTES:
            self._expected_bytes = LENGTH_PREFIX_BYTES + read_length_prefix(b"".join(self._chunks))
        if self._expected_bytes is None:
            return
        too_large = self._expected_bytes > LENGTH_PREFIX_BYTES + MAX_FRAME_BYTES
        if too_large or self._received_bytes > self._expected_bytes:
            self._counts["frames_invalid"] += 1
            self.close()
        elif self._received_bytes == self._expected_bytes:
            self._complete()

    def _complete(self) -> None:
        frame = b"".join(self._chunks)[LENGTH_PREFIX_BYTES:]
        self._chunks = []
        peer = self._transport.get_extra_info("peername")
        self._transport.write(ACKNOWLEDGEMENT)
        if peer:
            self._on_frame(peer[0], frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Counts a truncated frame, unless this end aborted the connection."""
        was_open = self._open_connections.remove(self)
        if was_open and self._received_bytes and self._received_bytes != self._expected_bytes:
            self._counts["frames_truncated"] += 1

    def deadline_ns(self) -> int:
        """Returns the time at which the connection is aborted unless data arrives before."""
        return self._deadline_ns

    def close(self) -> None:
        """Aborts the connection."""
        self._open_connections.remove(self)
        self._transport.abort()
