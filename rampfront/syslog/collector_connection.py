"""One connection to the collector, over TCP or UDP, and the number of written bytes not acknowledged by its host."""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Sequence
from typing import Protocol, cast

_KERNEL_COUNT = struct.Struct("i")


class ConnectionOwner(Protocol):
    """Receives notice when a connection opens and closes."""

    def connection_opened(self, connection: "CollectorConnection") -> None:
        """Called when the connection can be written to."""
        raise NotImplementedError

    def connection_closed(self, connection: "CollectorConnection", unsent_bytes: int | None) -> None:
        """Called when the connection has closed.

        Args:
            connection: the connection.
            unsent_bytes: the number of written bytes that the collector's host had not acknowledged when it closed the
                connection cleanly; None after an unclean close, or if the number is unknown.
        """
        raise NotImplementedError


class CollectorConnection(asyncio.Protocol):
    """The asyncio protocol of a connection to the collector."""

    _transport: asyncio.BaseTransport

    def __init__(self, owner: ConnectionOwner) -> None:
        """Creates the protocol, not yet connected."""
        self._owner = owner
        self._unsent_at_eof_bytes: int | None = None

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reports the open connection to the owner."""
        self._transport = transport
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Ignores received data: syslog has no messages from the collector."""

    def eof_received(self) -> bool:
        """Notes the unacknowledged bytes: when the collector closes cleanly, all acknowledged bytes are delivered.

        This avoids duplicates after a planned stop of the collector.
        """
        self._unsent_at_eof_bytes = self.unsent_bytes()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Reports the closed connection to the owner."""
        self._owner.connection_closed(self, None if error else self._unsent_at_eof_bytes)

    # ---- called by the sender

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closing and accepts no more writes."""
        return self._transport.is_closing()

    @property
    def buffered_bytes(self) -> int:
        """Bytes buffered in the process that are not yet written to the socket."""
        return self._stream.get_write_buffer_size()

    def unsent_bytes(self) -> int | None:
        """Bytes that the collector's host has not acknowledged, in the process and in the kernel; None if unknown."""
        socket = self._transport.get_extra_info("socket")
        buffered = self.buffered_bytes
        if socket is None or socket.fileno() < 0:
            return None
        in_kernel = fcntl.ioctl(socket.fileno(), termios.TIOCOUTQ, bytes(_KERNEL_COUNT.size))
        return buffered + cast(int, _KERNEL_COUNT.unpack(in_kernel)[0])

    def write(self, frames: Sequence[bytes]) -> None:
        """Writes frames to the stream."""
        self._stream.write(b"".join(frames))

    def send_datagram(self, message: bytes) -> None:
        """Sends one message over UDP."""
        cast(asyncio.DatagramTransport, self._transport).sendto(message)

    def close(self) -> None:
        """Closes the connection once all buffered bytes are written."""
        self._transport.close()

    @property
    def _stream(self) -> asyncio.Transport:
        """The transport of a TCP connection."""
        return cast(asyncio.Transport, self._transport)
