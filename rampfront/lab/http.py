"""The server side of HTTP/1.1 for the laboratory's stand-ins: one request at a time, parsed by httptools.

It owns connections and framing, and hands whole requests to `handle(request)`. Whoever handles one answers it with
`Connection.respond` whenever it likes, or never. `Listener` binds, stops and cuts, as faults ask.
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


def run_until_stopped(loop, message, print_line):
    """Says `message` and runs the loop until SIGTERM or SIGINT."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, loop.stop)
    print_line(message, flush=True)
    loop.run_forever()


class Request:
    __slots__ = ("connection", "method", "path", "query", "fields", "body")

    def __init__(self, connection, method, url, fields, body):
        parts = urlsplit(url.decode("latin-1"))
        self.connection, self.method, self.path, self.fields, self.body = connection, method, parts.path, fields, body
        self.query = dict(parse_qsl(parts.query))


class Connection(asyncio.Protocol):
    """One connection. `pending_request` is the request that is owed an answer; `dead_from`: the time from which whatever
    comes is answered with a reset (an idle connection dropped silently)."""

    def __init__(self, owner):
        self.owner, self.transport, self.pending_request, self.job = owner, None, None, None
        self.parser = httptools.HttpRequestParser(self)
        self.complete_requests, self.last_active_at, self.dropped, self.is_new = [], 0, False, True

    def connection_made(self, transport):
        self.transport, self.last_active_at = transport, self.owner.clock()
        self.owner.on_connection_opened(self)

    def connection_lost(self, error):
        pending_request, self.pending_request = self.pending_request, None
        self.owner.on_connection_closed(self, pending_request)

    def eof_received(self):
        return False

    def data_received(self, data):
        if self.dropped:  # the state of this connection was forgotten: nothing of it is read
            self.owner.on_dropped_connection_used(self)
            return reset(self.transport)
        self.last_active_at = self.owner.clock()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            return self.transport.abort()
        complete_requests, self.complete_requests = self.complete_requests, []
        for request in complete_requests:
            if self.pending_request is not None:  # one at a time; a second one is no good client
                return self.transport.abort()
            self.pending_request = request
            self.owner.handle(request)

    def on_message_begin(self):
        self.url, self.fields, self.body = b"", {}, b""

    def on_url(self, data):
        self.url += data

    def on_header(self, name, value):
        self.fields[name.lower()] = value

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.complete_requests.append(Request(self, self.parser.get_method(), self.url, self.fields, self.body))

    def respond(self, status, body=b"", extra_headers=b""):
        self.pending_request, self.last_active_at, self.is_new = None, self.owner.clock(), False
        if not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s"
                % (status, REASONS.get(status, "Said").encode(), len(body), extra_headers, body)
            )


class HttpServerBase:
    """Whoever `Connection`s belong to: it keeps those that are open. `handle(request)` and `clock()` are a stand-in's own."""

    def __init__(self) -> None:
        """No connection is open."""
        self.connections: dict[Connection, None] = {}  # emptied as connections end

    def refuses_connections(self) -> bool:
        """Whether a connection that comes now is reset."""
        return False

    def on_connection_opened(self, connection: Connection) -> None:
        """A connection came."""
        self.connections[connection] = None
        if self.refuses_connections():
            reset(connection.transport)

    def on_connection_closed(self, connection: Connection, pending_request: Request | None) -> None:
        """A connection ended; `pending_request`: the request that was owed an answer."""
        self.connections.pop(connection, None)

    def on_dropped_connection_used(self, connection: Connection) -> None:
        """A connection that was forgotten silently is used again."""

    def reset_connections(self) -> None:
        """Resets all connections."""
        for connection in list(self.connections):
            reset(connection.transport)


class AppServerBase(HttpServerBase):
    """A stand-in that runs requests by a model of its work; what it counts is in `counts`."""

    def __init__(self, server_model: ServerModel, counts: MutableMapping[str, int]) -> None:
        """`counts` has `connections`, `abandoned` and `on_dropped_connection_used`, or gives 0 for them."""
        super().__init__()
        self.server_model = server_model
        self.counts = counts

    def on_connection_opened(self, connection: Connection) -> None:
        """A connection came."""
        self.counts["connections"] += 1
        super().on_connection_opened(connection)

    def on_connection_closed(self, connection: Connection, pending_request: Request | None) -> None:
        """A connection ended: the work that it waited for is given up, where that can be."""
        super().on_connection_closed(connection, pending_request)
        if pending_request is not None and connection.job is not None and self.server_model.abandon(connection.job):
            self.counts["abandoned"] += 1

    def on_dropped_connection_used(self, connection: Connection) -> None:
        """A connection that was forgotten silently is used again."""
        self.counts["dropped_used"] += 1


class Listener:
    """One listening address that can be closed and opened again at the same port."""

    def __init__(self, loop, protocol_factory, host, port=0):
        self.loop, self.protocol_factory, self.host, self.port, self.server = loop, protocol_factory, host, port, None

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
            self.server = await self.loop.create_server(self.protocol_factory, sock=sock, backlog=1024)
        return self

    def close(self):
        if self.server:
            self.server.close()
            self.server = None
