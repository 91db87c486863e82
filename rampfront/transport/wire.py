"""`Wire`: sends messages to other nodes and hands over those that come in.

A frame up to `MAX_DATAGRAM_BYTES` goes as one datagram, a larger one over a TCP connection that is made for it and ends
behind it. So no frame can hang behind a network partition, and no connection has to be kept alive or repaired. UDP and
TCP use the same port on every machine, the first of the settings' `PortRange` (DEPLOY.md).
"""

import asyncio
import socket
import zlib
from collections.abc import Callable, Iterable

from ..net.event_log import EventLog
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
# What a handler raises at a message whose fields are not what they should be.
MALFORMED_MESSAGE_ERRORS = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError, zlib.error)


class Wire:
    """The frames of one node. Every message that comes in goes to `on_frame(sender's IP address, message)`.

    Delivery is not guaranteed and nothing is acknowledged to the caller: protocols above repeat what matters.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        address: tuple[str, int],
        log: EventLog,
        on_frame: Callable[[str, Message], None],
    ) -> None:
        """`clock()` gives ns of a steady clock; `address`: the node's own IP address, and the port that all nodes use;
        `log` has the counters too. Sockets are opened by `listen`."""
        self.loop = loop
        self.clock = clock
        self.ip, self.port = address
        self.log = log
        self.counts = log.counts
        self.on_frame = on_frame
        self.outgoing = ConnectionSet(MAX_OUTGOING_CONNECTIONS)
        self.incoming = ConnectionSet(MAX_INCOMING_CONNECTIONS)
        self.transfer_scheduler = TransferScheduler(self.start_transfer, self.counts)
        self.datagram_transport: asyncio.DatagramTransport | None = None  # None: `listen` was not called yet

    async def listen(self) -> None:
        """Opens both sockets. Raises `OSError` if the port is taken."""
        self.datagram_transport, _ = await self.loop.create_datagram_endpoint(
            lambda: DatagramEndpoint(self.receive_frame), local_addr=(self.ip, self.port), family=socket.AF_INET
        )
        await self.loop.create_server(self._accept, self.ip, self.port, backlog=LISTEN_BACKLOG)

    def _accept(self) -> IncomingConnection:
        return IncomingConnection(self.incoming, self.clock, self.counts, self.receive_frame)

    def send(self, ip: str, message: Message) -> None:
        """Sends a message to the node at `ip`."""
        self.send_frame(ip, encode_frame(message), message[KIND_KEY])

    def send_all(self, ips: Iterable[str], message: Message) -> None:
        """Sends the same message to several nodes; it is encoded once."""
        frame = encode_frame(message)
        for ip in ips:
            self.send_frame(ip, frame, message[KIND_KEY])

    def send_frame(self, ip: str, data: bytes, kind: str) -> None:
        """Sends a frame of a message of this kind the way that its size asks for; one to the node itself goes through
        the event loop, so that a handler never runs within another."""
        if ip == self.ip:
            self.loop.call_soon(self.receive_frame, ip, data)
        elif len(data) <= MAX_DATAGRAM_BYTES:
            assert self.datagram_transport is not None
            self.counts["frames_sent"] += 1
            self.datagram_transport.sendto(data, (ip, self.port))
        else:
            self.transfer_scheduler.offer(self.clock(), Transfer(ip, kind, data))

    def start_transfer(self, transfer: Transfer) -> None:
        """Opens the connection of a large frame whose turn it is."""
        self.counts["transfers_started"] += 1
        connection = OutgoingConnection(transfer, self.outgoing, self.counts, self.finish_transfer)
        self.outgoing.add(connection)
        connection.connect(self.loop, self.port, self.ip)

    def finish_transfer(self, transfer: Transfer) -> None:
        """The connection of a large frame has ended: the next one may go."""
        self.transfer_scheduler.finish(self.clock(), transfer)

    def receive_frame(self, ip: str, data: bytes) -> None:
        """Decodes a frame from the node at `ip` and hands its message over; drops and counts what is invalid."""
        try:
            message = decode_frame(data)
        except InvalidFrameError:
            self.counts["frames_invalid"] += 1
            return
        try:
            self.on_frame(ip, message)
        except MALFORMED_MESSAGE_ERRORS as error:
            # Guards against a peer of another version, or a faulty one: its message is dropped, and counted.
            self.counts["frames_invalid"] += 1
            self.log.record_limited("invalid frame", ip, error=repr(error), kind=message[KIND_KEY][:LOGGED_KIND_CHARS])

    def sweep(self) -> None:
        """Closes the connections whose deadline has passed; to be called a few times a second."""
        now_ns = self.clock()
        expired = [*self.outgoing.expired(now_ns), *self.incoming.expired(now_ns)]
        for connection in expired:
            self.counts["frames_lost"] += 1
            connection.close()
