"""`Wire` sends messages to other nodes and passes received ones to a handler.

A frame of up to `MAX_DATAGRAM_BYTES` is sent as one datagram, a larger one over a TCP connection that is opened for it
and closed after it. So a network partition cannot block later frames, and no connection has to be kept alive or
re-established. UDP and TCP use the same port on every machine, the first of the settings' `PortRange` (DEPLOY.md).
"""

import asyncio
import socket
import zlib
from collections.abc import Callable, Iterable

from ..net.event_log import EventLog
from ..net.listening import open_server
from ..net.memory_account import DEFAULT_MEMORY_MB, machine_account
from .connections import ConnectionSet
from .datagram import DatagramEndpoint
from .frames import KIND_KEY, MAX_DATAGRAM_BYTES, InvalidFrameError, Message, decode_frame, encode_frame
from .incoming import IncomingConnection
from .outgoing import OutgoingConnection
from .transfer_scheduler import Transfer, TransferScheduler

MAX_OUTGOING_CONNECTIONS = 256
MAX_INCOMING_CONNECTIONS = 64
LISTEN_BACKLOG = 128
LOGGED_KIND_CHARS = 20
# Raised by a handler for a message with missing or invalid fields.
MALFORMED_MESSAGE_ERRORS = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError, zlib.error)


class Wire:
    """Sends and receives the frames of one node. Received messages go to `on_frame(sender's IP address, message)`.

    `memory` is the account of the node, which the program sets; until then it is one of its own.

    Delivery is neither guaranteed nor confirmed to the caller; the protocols above repeat what has to arrive.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        address: tuple[str, int],
        log: EventLog,
        on_frame: Callable[[str, Message], None],
    ) -> None:
        """`clock()` returns ns of a steady clock; `address`: the node's own IP address and the port that all nodes use;
        `log` also has the counters. `listen` opens the sockets."""
        self.loop = loop
        self.clock = clock
        self.ip, self.port = address
        self.log = log
        self.counts = log.counts
        self.memory = machine_account(clock, DEFAULT_MEMORY_MB, self.counts)
        self.on_frame = on_frame
        self.outgoing = ConnectionSet(MAX_OUTGOING_CONNECTIONS)
        self.incoming = ConnectionSet(MAX_INCOMING_CONNECTIONS)
        self.transfer_scheduler = TransferScheduler(self.start_transfer, self.counts)
        self.datagram_transport: asyncio.DatagramTransport | None = None  # None: `listen` was not called yet

    async def listen(self) -> None:
        """Opens both sockets. Raises `OSError` if the port is in use."""
        self.datagram_transport, _ = await self.loop.create_datagram_endpoint(
            lambda: DatagramEndpoint(self.receive_frame), local_addr=(self.ip, self.port), family=socket.AF_INET
        )
        await open_server(self.loop, self._accept, self.ip, self.port, LISTEN_BACKLOG)

    def _accept(self) -> IncomingConnection:
        return IncomingConnection(self.incoming, self.memory, self.counts, self.receive_frame)

    def send(self, ip: str, message: Message) -> None:
        """Sends a message to the node at `ip`."""
        self.send_frame(ip, encode_frame(message), message[KIND_KEY])

    def send_all(self, ips: Iterable[str], message: Message) -> None:
        """Sends the same message to several nodes; it is encoded once."""
        frame = encode_frame(message)
        for ip in ips:
            self.send_frame(ip, frame, message[KIND_KEY])

    def send_frame(self, ip: str, data: bytes, kind: str) -> None:
        """Sends a frame of a message of this kind, over UDP or TCP according to its size. A frame to the node itself is
        delivered through the event loop, so that a handler never runs within another."""
        if ip == self.ip:
            self.loop.call_soon(self.receive_frame, ip, data)
        elif len(data) <= MAX_DATAGRAM_BYTES:
            assert self.datagram_transport is not None
            self.counts["frames_sent"] += 1
            self.datagram_transport.sendto(data, (ip, self.port))
        else:
            self.transfer_scheduler.offer(self.clock(), Transfer(ip, kind, data))

    def start_transfer(self, transfer: Transfer) -> None:
        """Opens the connection of a large frame that the scheduler starts."""
        self.counts["transfers_started"] += 1
        connection = OutgoingConnection(transfer, self.outgoing, self.counts, self.finish_transfer)
        self.outgoing.add(connection)
        connection.connect(self.loop, self.port, self.ip)

    def finish_transfer(self, transfer: Transfer) -> None:
        """Tells the scheduler that the connection of a large frame has ended."""
        self.transfer_scheduler.finish(self.clock(), transfer)

    def receive_frame(self, ip: str, data: bytes) -> None:
        """Decodes a frame from the node at `ip` and calls the handler; drops and counts an invalid one."""
        try:
            message = decode_frame(data)
        except InvalidFrameError:
            self.counts["frames_invalid"] += 1
            return
        try:
            self.on_frame(ip, message)
        except MALFORMED_MESSAGE_ERRORS as error:
            # A peer of another version, or a faulty one, may send such a message; it is dropped and counted.
            self.counts["frames_invalid"] += 1
            self.log.record_limited("invalid frame", ip, error=repr(error), kind=message[KIND_KEY][:LOGGED_KIND_CHARS])

    def sweep(self) -> None:
        """Closes the connections whose deadline has passed; has to be called a few times a second."""
        now_ns = self.clock()
        expired = [*self.outgoing.expired(now_ns), *self.incoming.expired(now_ns)]
        for connection in expired:
            self.counts["frames_lost"] += 1
            connection.close()
