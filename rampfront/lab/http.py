"""The server side of HTTP/1.1 for the laboratory's stand-ins: one request at a time, parsed by httptools.

It owns connections and framing, and hands whole requests to `handle(request)`. Whoever handles one answers it with
`Side.answer` whenever it likes, or never. `Listener` binds, stops and cuts, as faults ask.
"""

import asyncio
import signal
import socket
import struct
from collections.abc import MutableMapping
from urllib.parse import parse_qsl, urlsplit

import httptools

from .server_model import ServerModel

REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def reset(transport):
    """Ends a connection with RST, as a machine does that knows nothing of it."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def run_until_stopped(loop, ready, say):
    """Says `ready` and runs the loop until SIGTERM or SIGINT."""
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, loop.stop)
    say(ready, flush=True)
    loop.run_forever()


class Request:
    __slots__ = ("side", "method", "path", "query", "fields", "body")

    def __init__(self, side, method, url, fields, body):
        parts = urlsplit(url.decode("latin-1"))
        self.side, self.method, self.path, self.fields, self.body = side, method, parts.path, fields, body
        self.query = dict(parse_qsl(parts.query))


class Side(asyncio.Protocol):
    """One connection. `busy` is the request that is owed an answer; `dead_from`: the time from which whatever
    comes is answered with a reset (an idle connection dropped silently)."""

    def __init__(self, owner):
        self.owner, self.transport, self.busy, self.mark = owner, None, None, None
        self.parser = httptools.HttpRequestParser(self)
        self.whole, self.since, self.dropped, self.new = [], 0, False, True

    def connection_made(self, transport):
        self.transport, self.since = transport, self.owner.clock()
        self.owner.joined(self)

    def connection_lost(self, trouble):
        busy, self.busy = self.busy, None
        self.owner.parted(self, busy)

    def eof_received(self):
        return False

    def data_received(self, data):
        if self.dropped:  # the state of this connection was forgotten: nothing of it is read
            self.owner.dropped_used(self)
            return reset(self.transport)
        self.since = self.owner.clock()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            return self.transport.abort()
        whole, self.whole = self.whole, []
        for request in whole:
            if self.busy is not None:  # one at a time; a second one is no good client
                return self.transport.abort()
            self.busy = request
            self.owner.handle(request)

    def on_message_begin(self):
        self.url, self.fields, self.body = b"", {}, b""

    def on_url(self, part):
        self.url += part

    def on_header(self, name, value):
        self.fields[name.lower()] = value

    def on_body(self, part):
        self.body += part

    def on_message_complete(self):
        self.whole.append(Request(self, self.parser.get_method(), self.url, self.fields, self.body))

    def answer(self, status, body=b"", more=b""):
        self.busy, self.since, self.new = None, self.owner.clock(), False
        if not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s"
                % (status, REASONS.get(status, "Said").encode(), len(body), more, body)
            )


class StandIn:
    """Whoever `Side`s belong to: it keeps those that are open. `handle(request)` and `clock()` are a stand-in's own."""

    def __init__(self) -> None:
        """No connection is open."""
        self.sides: dict[Side, None] = {}  # emptied as connections end

    def refuses(self) -> bool:
        """Whether a connection that comes now is reset."""
        return False

    def joined(self, side: Side) -> None:
        """A connection came."""
        self.sides[side] = None
        if self.refuses():
            reset(side.transport)

    def parted(self, side: Side, busy: Request | None) -> None:
        """A connection ended; `busy`: the request that was owed an answer."""
        self.sides.pop(side, None)

    def dropped_used(self, side: Side) -> None:
        """A connection that was forgotten silently is used again."""

    def cut(self) -> None:
        """Resets all connections."""
        for side in list(self.sides):
            reset(side.transport)


class Worker(StandIn):
    """A stand-in that runs requests by a model of its work; what it counts is in `counts`."""

    def __init__(self, server_model: ServerModel, counts: MutableMapping[str, int]) -> None:
        """`counts` has `connections`, `abandoned` and `dropped_used`, or gives 0 for them."""
        super().__init__()
        self.server_model = server_model
        self.counts = counts

    def joined(self, side: Side) -> None:
        """A connection came."""
        self.counts["connections"] += 1
        super().joined(side)

    def parted(self, side: Side, busy: Request | None) -> None:
        """A connection ended: the work that it waited for is given up, where that can be."""
        super().parted(side, busy)
        if busy is not None and side.mark is not None and self.server_model.abandon(side.mark):
            self.counts["abandoned"] += 1

    def dropped_used(self, side: Side) -> None:
        """A connection that was forgotten silently is used again."""
        self.counts["dropped_used"] += 1


class Listener:
    """One listening address that can be closed and opened again at the same port."""

    def __init__(self, loop, make, host, port=0):
        self.loop, self.make, self.host, self.port, self.server = loop, make, host, port, None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def open(self):
        if self.server is None:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((self.host, self.port))
            sock.setblocking(False)
            self.port = sock.getsockname()[1]
            self.server = await self.loop.create_server(self.make, sock=sock, backlog=1024)
        return self

    def close(self):
        if self.server:
            self.server.close()
            self.server = None
