"""One connection to the collector, over TCP or UDP, and what its machine has taken of the bytes written to it."""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Sequence
from typing import Protocol, cast

_KERNEL_COUNT = struct.Struct("i")


class ConnectionOwner(Protocol):
    """Is told of the beginning and the end of a connection."""

    def connection_opened(self, connection: "CollectorConnection") -> None:
        """The connection can be written to."""
        raise NotImplementedError

    def connection_closed(self, connection: "CollectorConnection", unsent_bytes: int | None) -> None:
        """The connection has ended.

        Args:
            connection: the connection.
            unsent_bytes: how many of the bytes written the other machine had not taken when it closed in good order;
                None if it did not, or if it is not known.
        """
        raise NotImplementedError


class CollectorConnection(asyncio.Protocol):
    """A connection; the event loop calls it."""

    _transport: asyncio.BaseTransport

    def __init__(self, owner: ConnectionOwner) -> None:
        """Not connected yet."""
        self._owner = owner
        self._unsent_at_eof_bytes: int | None = None

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is there."""
        self._transport = transport
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """A collector sends nothing; what it sends all the same is ignored."""

    def eof_received(self) -> bool:
        """The collector closes in good order: what its machine has taken by now is delivered.

        Guards against repeats behind a planned stop of the collector.
        """
        self._unsent_at_eof_bytes = self.unsent_bytes()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended."""
        self._owner.connection_closed(self, None if error else self._unsent_at_eof_bytes)

    # ---- called by the sender

    @property
    def is_closing(self) -> bool:
        """Whether nothing can be written any more."""
        return self._transport.is_closing()

    @property
    def buffered_bytes(self) -> int:
        """What waits in the process to be written to the socket."""
        return self._stream.get_write_buffer_size()

    def unsent_bytes(self) -> int | None:
        """Bytes that the other machine has not taken: those in the process and in the kernel; None if not known."""
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
        """Closes the connection once all is written."""
        self._transport.close()

    @property
    def _stream(self) -> asyncio.Transport:
        """The transport of a TCP connection."""
        return cast(asyncio.Transport, self._transport)
