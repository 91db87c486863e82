"""The receiver's end of a TCP connection that carries one large frame."""

import asyncio
from collections.abc import Callable
from typing import cast

from ..net.body_buffer import BodyBuffer
from ..net.memory_account import MemoryAccount, MemoryShortError
from .connections import ConnectionSet, TransferConnection
from .frames import LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES, read_length_prefix
from .transfer_scheduler import TRANSFER_TIMEOUT_NS

# Since the last byte received: a slow link may take longer for a frame, a dead one may not.
RECEIVE_TIMEOUT_NS = TRANSFER_TIMEOUT_NS
ACKNOWLEDGEMENT = b"."
FRAME_COPIES = 2  # as received, and decompressed


class IncomingConnection(TransferConnection):
    """Receives one frame, passes it on and acknowledges it; the sender then closes the connection.

    The memory of a frame is charged as soon as its length is known. Without memory, or if its sender stalls while
    memory is short, the connection is aborted: the protocols above repeat what has to arrive.
    """

    def __init__(
        self,
        open_connections: ConnectionSet,
        memory: MemoryAccount,
        counts: dict[str, int],
        on_frame: Callable[[str, bytes], None],
    ) -> None:
        """`memory`: the node's account, whose clock is used; `counts`: the node's counters, of which this class
        increments `frames_invalid` and `frames_truncated`; `on_frame(sender's IP address, frame)` is called with the
        frame."""
        self._open_connections = open_connections
        self._memory = memory
        self._charge = memory.open()
        self._counts = counts
        self._on_frame = on_frame
        self._transport: asyncio.Transport
        self._prefix = b""
        self._frame = BodyBuffer()
        self._expected_bytes: int | None = None  # of the frame; None: its prefix has not been received yet
        self._is_complete = False
        self._deadline_ns = memory.clock() + RECEIVE_TIMEOUT_NS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the new connection to the set of open ones."""
        self._transport = cast(asyncio.Transport, transport)
        self._open_connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Collects a chunk. Aborts the connection if the frame is too long or is followed by more data."""
        self._deadline_ns = self._memory.clock() + RECEIVE_TIMEOUT_NS
        if self._expected_bytes is None:
            data = self._read_prefix(data)
            if self._expected_bytes is None:
                return
            if not self._admit(self._expected_bytes):
                return
        self._frame.append(data)
        if self._is_complete or len(self._frame) > self._expected_bytes:
            self._counts["frames_invalid"] += 1
            self.close()
        elif len(self._frame) == self._expected_bytes:
            self._complete()
        else:
            self._charge.receiving(self, RECEIVE_TIMEOUT_NS, FRAME_COPIES * len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Counts a truncated frame, unless this end aborted the connection."""
        was_open = self._open_connections.remove(self)
        self._drop()
        if was_open and self._prefix and not self._is_complete:
            self._counts["frames_truncated"] += 1

    def deadline_ns(self) -> int:
        """Returns the time at which the connection is aborted unless data arrives before."""
        return self._deadline_ns

    def close(self) -> None:
        """Aborts the connection."""
        self._open_connections.remove(self)
        self._drop()
        self._transport.abort()

    def give_way(self) -> None:
        """Aborts the connection, as its sender has stalled and memory is short."""
        self._counts["frames_truncated"] += 1
        self.close()

    def _read_prefix(self, data: bytes) -> bytes:
        """Reads the length of the frame. Returns the bytes behind it."""
        missing_bytes = LENGTH_PREFIX_BYTES - len(self._prefix)
        self._prefix += data[:missing_bytes]
        if len(self._prefix) == LENGTH_PREFIX_BYTES:
            self._expected_bytes = read_length_prefix(self._prefix)
        return data[missing_bytes:]

    def _admit(self, expected_bytes: int) -> bool:
        """Charges the memory of the frame. Aborts the connection if the frame is too large or there is none."""
        if expected_bytes > MAX_FRAME_BYTES:
            self._counts["frames_invalid"] += 1
            self.close()
            return False
        try:
            self._charge.raise_to(FRAME_COPIES * expected_bytes)
        except MemoryShortError:
            self.give_way()
            return False
        return True

    def _complete(self) -> None:
        """Acknowledges the frame and passes it on."""
        self._is_complete = True
        self._charge.received()
        peer = self._transport.get_extra_info("peername")
        frame = self._frame.take()
        self._transport.write(ACKNOWLEDGEMENT)
        if peer:
            self._on_frame(peer[0], frame)
        self._charge.release()

    def _drop(self) -> None:
        """Drops what was received of the frame."""
        self._frame.clear()
        self._memory.close(self._charge)
