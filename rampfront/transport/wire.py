"""Frames between nodes: `send(ip, message)`, one way, no answer owed; it may be lost, and so a protocol above says it again.

Small ones go as one datagram (compressed from 256 bytes on), larger ones over a connection that is made for them and ends behind them: neither can
hang behind a cut, and no connection has to be kept, proved or mended. `transfers.py` says which of those goes when. Both come in at the same port of every machine. A
frame that cannot be read ends its connection and is counted. Source of the port: `PortRange` (DEPLOY.md).
"""

import asyncio
import socket
import zlib

import cbor2

from .transfers import LIMIT, Transfer, Transfers

SEC = 10**9
SMALL = 1200  # bytes of a datagram: less than what any link carries whole
MOST = 16 << 20  # bytes of a frame
PACKED = (
    256  # bytes of a message from which on it is compressed: lists and rosters repeat themselves, and bytes are priced
)
MARK = b"\x78"  # a compressed frame begins so, and no table of cbor2 does
PATIENCE = LIMIT  # ns without a byte of a frame that comes over a connection until it is given up
LENGTH = 4  # bytes in front of a frame over a connection: its length
NOT_THERE = object()
OUT, IN = 256, 64  # connections under way at most, each way; past it the oldest ends


def unpacked(data):
    """Guards memory against a small frame that would unpack to a huge one."""
    way = zlib.decompressobj()
    data = way.decompress(data, MOST)
    if not way.eof or way.unused_data:
        raise ValueError("a frame that is cut, too large, or not alone")
    return data


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, wire):
        self.wire = wire

    def datagram_received(self, data, address):
        self.wire.read(address[0], data)

    def error_received(self, trouble):
        pass  # a port that nobody listens at: it is told to us by silence


class Carrier(asyncio.Protocol):
    """The connection of one large frame that goes out."""

    def __init__(self, wire, transfer):
        self.wire, self.data, self.transport, self.task = wire, transfer.data, None, None
        self.transfer, transfer.stop = transfer, self.end

    def opened(self, task):
        self.task = None
        if not task.cancelled() and task.exception() is not None:
            self.wire.counts["frames_lost"] += 1
            self.end()

    def connection_made(self, transport):
        self.transport, self.transfer.connected = transport, True
        transport.write(len(self.data).to_bytes(LENGTH, "big") + self.data)
        self.data = None

    def data_received(self, data):
        self.end()  # the far side says that it has it

    def connection_lost(self, trouble):
        if self.wire.out.get(self, NOT_THERE) is None:  # nobody has said that it has it, nor was it given up here
            self.wire.counts["frames_lost"] += 1
        self.forget()

    def forget(self):
        self.wire.out.pop(self, None)
        self.wire.transfers.over(self.wire.clock(), self.transfer)

    def end(self):
        self.forget()
        if self.task:
            self.task.cancel()
        if self.transport:
            self.transport.abort()


class Taker(asyncio.Protocol):
    """One large frame on its way to us."""

    def __init__(self, wire):
        self.wire, self.parts, self.size, self.need = wire, [], 0, None
        self.due = wire.clock() + PATIENCE

    def connection_made(self, transport):
        self.transport = transport
        self.wire.taking[self] = None
        if len(self.wire.taking) > IN:
            next(iter(self.wire.taking)).end()

    def data_received(self, data):
        self.due = self.wire.clock() + PATIENCE
        self.parts.append(data)
        self.size += len(data)
        if self.need is None and self.size >= LENGTH:
            self.need = LENGTH + int.from_bytes(b"".join(self.parts)[:LENGTH], "big")
        if self.need and (self.need > LENGTH + MOST or self.size > self.need):
            self.wire.counts["frames_odd"] += 1
            return self.end()
        if self.size == self.need:
            data, self.parts = b"".join(self.parts)[LENGTH:], []
            peer = self.transport.get_extra_info("peername")
            self.transport.write(b".")
            if peer:
                self.wire.read(peer[0], data)

    def connection_lost(self, trouble):
        if self.wire.taking.pop(self, NOT_THERE) is None and self.size and self.size != self.need:
            self.wire.counts["frames_torn"] += 1

    def end(self):
        self.wire.taking.pop(self, None)
        self.transport.abort()


class Wire:
    """`told(ip, message)` gets every frame; a message is a dict with the text `k`."""

    def __init__(self, loop, clock, ip, port, log, told):
        self.loop, self.clock, self.ip, self.port, self.counts, self.told = loop, clock, ip, port, log.counts, told
        self.log = log
        self.out, self.taking = {}, {}  # frames over connections, in the order they began; emptied by ends
        self.transfers = Transfers(self.open, self.counts)
        self.datagrams = None

    async def listen(self):
        self.datagrams, _ = await self.loop.create_datagram_endpoint(
            lambda: Datagrams(self), local_addr=(self.ip, self.port), family=socket.AF_INET
        )
        await self.loop.create_server(lambda: Taker(self), self.ip, self.port, backlog=128)

    def send(self, ip, message):
        self.send_all((ip,), message)

    def send_all(self, ips, message):
        """The same to many, made once."""
        data = cbor2.dumps(message)
        if len(data) >= PACKED and len(packed := zlib.compress(data)) < len(data):
            data = packed
        for ip in ips:
            self.pass_on(ip, data, message["k"])

    def pass_on(self, ip, data, kind):
        if ip == self.ip:
            self.loop.call_soon(self.read, ip, data)
        elif len(data) <= SMALL:
            self.counts["frames_sent"] += 1
            self.datagrams.sendto(data, (ip, self.port))
        else:
            self.transfers.offer(self.clock(), Transfer(ip, kind, data))

    def open(self, transfer):
        """Opens the connection of a frame whose turn it is."""
        self.counts["frames_carried"] += 1
        carrier = Carrier(self, transfer)
        self.out[carrier] = None
        if len(self.out) > OUT:
            next(iter(self.out)).end()
        carrier.task = self.loop.create_task(
            self.loop.create_connection(lambda: carrier, transfer.ip, self.port, local_addr=(self.ip, 0))
        )
        carrier.task.add_done_callback(carrier.opened)

    def read(self, ip, data):
        try:
            message = cbor2.loads(unpacked(data) if data[:1] == MARK else data)
            if type(message) is not dict or type(message.get("k")) is not str:
                raise ValueError("no message")
        except (ValueError, EOFError, cbor2.CBORDecodeError, zlib.error):
            self.counts["frames_odd"] += 1
            return
        try:
            self.told(ip, message)
        except (ValueError, LookupError, TypeError, AttributeError, ArithmeticError, zlib.error) as odd:
            # Guards against a peer whose fields are not what they should be: the frame is dropped, and counted.
            self.counts["frames_odd"] += 1
            self.log.record_limited("odd frame", ip, why=repr(odd), kind=str(message["k"])[:20])

    def sweep(self):
        now = self.clock()
        late = [carrier for carrier in self.out if carrier.transfer.due < now]
        late += [taker for taker in self.taking if taker.due < now]
        for connection in late:
            self.counts["frames_lost"] += 1
            connection.end()
