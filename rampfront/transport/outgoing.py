"""The sender's end of a TCP connection that carries one large frame."""

import asyncio
from collections.abc import Callable
from typing import cast

from .connections import ConnectionSet, TransferConnection
from .frames import with_length_prefix
from .transfer_scheduler import Transfer


class OutgoingConnection(TransferConnection):
    """Connects, writes the frame, and closes as soon as the receiver acknowledges it with any byte."""

    def __init__(
        self,
        transfer: Transfer,
        open_connections: ConnectionSet,
        counts: dict[str, int],
        on_end: Callable[[Transfer], None],
    ) -> None:
        """`counts`: the node's counters, of which this class increments `frames_lost`; `on_end(transfer)` is called
        when the transfer has ended, possibly more than once."""
        self._transfer = transfer
        self._open_connections = open_connections
        self._counts = counts
        self._on_end = on_end
        self._frame: bytes | None = transfer.data  # None: already written
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task[object] | None = None
        transfer.abort = self.close

    def deadline_ns(self) -> int:
        """Returns the time at which the transfer is aborted."""
        return self._transfer.deadline_ns

    def connect(self, loop: asyncio.AbstractEventLoop, port: int, local_ip: str) -> None:
        """Starts to connect to `port` of the receiver, from the node's own address."""
        self._connecting = loop.create_task(
            loop.create_connection(lambda: self, self._transfer.ip, port, local_addr=(local_ip, 0))
        )
        self._connecting.add_done_callback(self._on_connect_done)

    def _on_connect_done(self, connecting: asyncio.Task[object]) -> None:
        self._connecting = None
        if not connecting.cancelled() and connecting.exception() is not None:
            self._counts["frames_lost"] += 1
            self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Writes the frame."""
        self._transport = cast(asyncio.Transport, transport)
        self._transfer.connected = True
        assert self._frame is not None
        self._transport.write(with_length_prefix(self._frame))
        self._frame = None

    def data_received(self, data: bytes) -> None:
        """Closes the connection, since the receiver has acknowledged the frame."""
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Counts the frame as lost, unless an acknowledgement or an abort has already removed this from the set."""
        if self in self._open_connections:
            self._counts["frames_lost"] += 1
        self._end_transfer()

    def close(self) -> None:
        """Aborts the connection or the attempt to connect. The frame is not counted as lost here."""
        self._end_transfer()
        if self._connecting:
            self._connecting.cancel()
        if self._transport:
            self._transport.abort()

    def _end_transfer(self) -> None:
        self._open_connections.remove(self)
        self._on_end(self._transfer)
