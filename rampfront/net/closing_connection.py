"""How a connection of a client or caller ends; shared by the connections of both servers.

`close` closes it once its last response is sent. `end_output` is for a response behind which more input may come:
closing a socket with unread input resets the connection, and the peer may lose the response (RFC 9112, section 9.6), so
input is discarded until the peer closes, up to a bound. `abort` closes it immediately.
"""

import asyncio

from .memory_account import MemoryCharge


class ClosingConnection:
    """The end of a connection. The sweep of its listener aborts it if that takes too long.

    Attributes:
        transport: the transport, once it is connected.
        charge: the memory of the request, then of its response.
        closing: whether the last response has been written.
        ignores_input: whether further input is discarded.
    """

    __slots__ = ("transport", "charge", "closing", "ignores_input", "_discardable_bytes")

    def __init__(self, charge: MemoryCharge) -> None:
        """Starts open and unconnected."""
        self.transport: asyncio.Transport
        self.charge = charge
        self.closing = False
        self.ignores_input = False
        self._discardable_bytes: int | None = None  # of further input; None: while input is read, or reading has ended

    def close(self) -> None:
        """Closes the connection once the write buffer is flushed."""
        if not self.closing:
            self.closing = True
            self.ignores_input = True
            self.transport.close()

    def abort(self) -> None:
        """Closes the connection immediately, and discards unsent data."""
        self.closing = True
        self.ignores_input = True
        self.charge.release()
        self.transport.abort()

    def end_output(self, discardable_bytes: int) -> None:
        """Ends the output and waits for the peer to close. A peer that sends more than this meanwhile is cut off."""
        self.closing = True
        self.ignores_input = True
        self._discardable_bytes = discardable_bytes
        if self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()

    def discard(self, size: int) -> None:
        """Discards `size` bytes of input."""
        if self._discardable_bytes is not None:
            self._discardable_bytes -= size
            if self._discardable_bytes < 0:
                self.abort()
