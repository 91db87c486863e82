"""The server side of HTTP/1.1 for the emulated servers: one request at a time for each connection.

This module owns connections and framing (parsed by httptools) and passes complete requests to the owner's
`handle(request)`. The owner answers with `Connection.respond` at any later time, or never. `Listener` binds an address,
and closes and reopens it when a fault requires that.
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
    """Ends a connection with RST, as a host does that has no state of the connection."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def encode_response(status: int, body: bytes, extra_headers: bytes) -> bytes:
    """Returns a response with its length. `extra_headers`: complete header lines."""
    reason = REASONS.get(status, "Said").encode()
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s" % (status, reason, len(body), extra_headers, body)


def run_until_stopped(loop, message, print_line):
    """Prints `message` and runs the loop until SIGTERM or SIGINT."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, loop.stop)
    print_line(message, flush=True)
    loop.run_forever()


class Request:
    """A complete request, with the connection that waits for its response. `fields`: headers by lower-case name."""

    __slots__ = ("connection", "method", "path", "query", "fields", "body")

    def __init__(self, connection, method, url, fields, body):
        """`url`: the request target, with its query; `fields`: the headers."""
        parts = urlsplit(url.decode("latin-1"))
        self.connection, self.method, self.path, self.fields, self.body = connection, method, parts.path, fields, body
        self.query = dict(parse_qsl(parts.query))


class Connection(asyncio.Protocol):
    """One connection. `pending_request`: the request that has no response yet; `job`: the owner's work for it;
    `dropped`: the emulated server has silently forgotten the idle connection, and resets it as soon as data arrives."""

    def __init__(self, owner):
        """`owner`: the `HttpServerBase` that handles the requests."""
        self.owner, self.transport, self.pending_request, self.job = owner, None, None, None
        self.parser = httptools.HttpRequestParser(self)
        self.complete_requests, self.last_active_at, self.dropped, self.is_new = [], 0, False, True

    def connection_made(self, transport):
        """Called by the event loop: the connection is up."""
        self.transport, self.last_active_at = transport, self.owner.clock()
        self.owner.on_connection_opened(self)

    def connection_lost(self, error):
        """Called by the event loop: the connection has ended."""
        pending_request, self.pending_request = self.pending_request, None
        self.owner.on_connection_closed(self, pending_request)

    def eof_received(self):
        """Called by the event loop: the peer sends nothing more. Returns False, so that the loop closes the
        transport."""
        return False

    def data_received(self, data):
        """Called by the event loop: bytes of requests. A client that sends a second request before the response to the
        first one is disconnected."""
        if self.dropped:  # the server has no state of this connection, so it does not read the data
            self.owner.on_dropped_connection_used(self)
            return reset(self.transport)
        self.last_active_at = self.owner.clock()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            return self.transport.abort()
        complete_requests, self.complete_requests = self.complete_requests, []
        for request in complete_requests:
            if self.pending_request is not None:  # pipelining is not supported
                return self.transport.abort()
            self.pending_request = request
            self.owner.handle(request)

    def on_message_begin(self):
        """Called by the parser: a request begins."""
        self.url, self.fields, self.body = b"", {}, b""

    def on_url(self, data):
        """Called by the parser: a part of the request target."""
        self.url += data

    def on_header(self, name, value):
        """Called by the parser: a header."""
        self.fields[name.lower()] = value

    def on_headers_complete(self):
        """Called by the parser: the head is complete."""
        self.owner.on_request_head(self)

    def on_body(self, data):
        """Called by the parser: a part of the body."""
        self.body += data

    def on_message_complete(self):
        """Called by the parser: the request is complete."""
        self.complete_requests.append(Request(self, self.parser.get_method(), self.url, self.fields, self.body))

    def respond(self, status, body=b"", extra_headers=b""):
        """Sends a response to the pending request, unless the connection is closing. `extra_headers`: complete header
        lines."""
        self.pending_request, self.last_active_at, self.is_new = None, self.owner.clock(), False
        if not self.transport.is_closing():
            self.transport.write(encode_response(status, body, extra_headers))


class HttpServerBase:
    """Owner of `Connection`s, which keeps the open ones. Subclasses provide `handle(request)` and `clock()`."""

    def __init__(self) -> None:
        """Starts without connections."""
        self.connections: dict[Connection, None] = {}  # an ordered set; entries are removed as connections end

    def refuses_connections(self) -> bool:
        """Returns whether a new connection is reset at once."""
        return False

    def on_connection_opened(self, connection: Connection) -> None:
        """Registers a new connection, or resets it."""
        self.connections[connection] = None
        if self.refuses_connections():
            reset(connection.transport)

    def on_connection_closed(self, connection: Connection, pending_request: Request | None) -> None:
        """Removes a connection that ended. `pending_request`: the request that got no response, if any."""
        self.connections.pop(connection, None)

    def on_dropped_connection_used(self, connection: Connection) -> None:
        """Called when data arrives on a connection that was silently forgotten."""

    def on_request_head(self, connection: Connection) -> None:
        """Called when the head of a request is complete, before its body."""

    def reset_connections(self) -> None:
        """Resets all connections."""
        for connection in list(self.connections):
            reset(connection.transport)


class AppServerBase(HttpServerBase):
    """An emulated app server, whose requests take as long as a `ServerModel` says. `counts`: its event counters."""

    def __init__(self, server_model: ServerModel, counts: MutableMapping[str, int]) -> None:
        """`counts`: has the keys `connections`, `abandoned` and `dropped_used`, or returns 0 for them."""
        super().__init__()
        self.server_model = server_model
        self.counts = counts

    def on_connection_opened(self, connection: Connection) -> None:
        """Counts a new connection."""
        self.counts["connections"] += 1
        super().on_connection_opened(connection)

    def on_connection_closed(self, connection: Connection, pending_request: Request | None) -> None:
        """Abandons the job of the pending request if it is still queued."""
        super().on_connection_closed(connection, pending_request)
        if pending_request is not None and connection.job is not None and self.server_model.abandon(connection.job):
            self.counts["abandoned"] += 1

    def on_dropped_connection_used(self, connection: Connection) -> None:
        """Counts the use of a connection that was silently forgotten."""
        self.counts["dropped_used"] += 1


class Listener:
    """One listening address, which can be closed and opened again at the same port."""

    def __init__(self, loop, protocol_factory, host, port=0):
        """`protocol_factory`: makes the protocol of each connection; `port`: 0 for a free one, which is kept
        afterwards."""
        self.loop, self.protocol_factory, self.host, self.port, self.server = loop, protocol_factory, host, port, None

    @property
    def address(self):
        """The address as `host:port`."""
        return f"{self.host}:{self.port}"

    async def open(self):
        """Opens the listener, if it is closed, and returns it."""
        if self.server is None:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((self.host, self.port))
            sock.setblocking(False)
            self.port = sock.getsockname()[1]
            self.server = await self.loop.create_server(self.protocol_factory, sock=sock, backlog=1024)
        return self

    def close(self):
        """Closes the listener; established connections stay open."""
        if self.server:
            self.server.close()
            self.server = None
