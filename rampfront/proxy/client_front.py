"""Clients of the system: requests read whole and checked, responses written, on the listener of `net`.

It owns the client connections. It must never choose a response: it writes what it is given, a server's (`forward`) or
this proxy's (`respond`). A request is handed on only once it is complete, so a client that is slow or leaves midway
costs no server anything. Bounds are the configuration's `Caps`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..net.client_connection import FIELD_OVERHEAD_BYTES
from ..net.client_connection import ClientConnection as HttpClientConnection
from ..net.client_listener import ClientListener
from ..net.http_status import REASON_PHRASES, HttpStatusError
from ..settings.scalars import SEC
from .outcomes import TOO_MANY_CONNECTIONS
from .request import HeaderRow, ReceivedRequest

if TYPE_CHECKING:
    from ..settings.configuration import Caps
    from .environment import ProxyEnvironment
    from .outcomes import LocalResponse
    from .request import ProxiedRequest
    from .request_proxy import RequestProxy
    from .server_response import ServerResponse

# Statuses whose phrase is written; others of a server get none, as ever.
_NAMED_STATUSES = (200, 400, 401, 404, 405, 408, 409, 413, 429, 431, 502, 503, 504)
_REASON_PHRASES = {status: REASON_PHRASES[status] for status in _NAMED_STATUSES}
_UNKNOWN_REASON_PHRASE = b"-"  # of a server's status that has none here; clients ignore it (RFC 9112, 4)
# Fields that may come once: two of them could be read differently here and at the server.
_SINGLE_FIELDS = frozenset(
    (b"host", b"try-id", b"time-left-ms", b"authorization", b"connection", b"content-length", b"expect")
)
_MOST_FIELDS = 128  # header fields of a request
_MOST_BUFFERED_BYTES = 96 << 20  # of bodies, of all clients together


class ClientConnection(HttpClientConnection):
    """One client's connection: a request at a time, read whole. The methods `on_...` are called by the parser."""

    __slots__ = ("header_rows", "buffered_bytes", "is_head_complete", "expects_no_body")
    listener: ClientFront

    def __init__(self, listener: ClientFront) -> None:
        """Nothing has been read yet."""
        super().__init__(listener)
        self.buffered_bytes = 0  # of its request's body
        self.expects_no_body = False  # its response has no body, as HEAD asks for

    # ---- of the parser

    def on_message_begin(self) -> None:
        """A request begins."""
        super().on_message_begin()
        self.header_rows: list[HeaderRow] = []
        self.is_head_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field, as it came."""
        if self.is_head_complete:
            return  # guards the head against trailers: a key or a customer's name behind the body is none
        lowered = name.lower()
        if lowered in _SINGLE_FIELDS:
            if lowered in self.fields:
                raise HttpStatusError(400, f"{lowered.decode()} twice")
            self.fields[lowered] = value
        self.header_rows.append((name, value))
        self.section_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self.section_bytes > self.listener.limits.max_head_bytes or len(self.header_rows) > _MOST_FIELDS:
            raise HttpStatusError(431, "the head is too large")

    def on_headers_complete(self) -> None:
        """The head is complete."""
        super().on_headers_complete()
        self.is_head_complete = True
        if b"host" not in self.fields:
            raise HttpStatusError(400, "Host is missing")

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        super().on_body(part)
        self.buffered_bytes += len(part)
        self.listener.buffered_bytes += len(part)
        if self.listener.buffered_bytes > _MOST_BUFFERED_BYTES:
            # Guards memory against many large bodies at once: nothing of this one was forwarded.
            raise HttpStatusError(503, "too much is held")

    def received_request(self) -> ReceivedRequest:
        """The request, once it is complete."""
        target = self.target
        path = target if target[:1] == b"/" else b"/" + target.partition(b"://")[2].partition(b"/")[2]
        assert self.parser is not None
        method = self.parser.get_method()
        return ReceivedRequest(method, target, path, self.header_rows, self.fields, b"".join(self.body_parts))

    # ---- the request's end

    def connection_lost(self, trouble: Exception | None) -> None:
        """Of the loop: the connection has ended."""
        super().connection_lost(trouble)
        self.release_body()

    def release_body(self) -> None:
        """The body is not needed any more."""
        self.listener.buffered_bytes -= self.buffered_bytes
        self.buffered_bytes = 0

    def accepted(self, exchange: ProxiedRequest) -> None:
        """The request was admitted; this connection is owed its response."""
        self.header_rows = []
        super().accepted(exchange)

    def write_response(self, head: bytes, body: bytes) -> None:
        """Writes a response."""
        super().write_response(head, b"" if self.expects_no_body else body)

    def respond(self, response: LocalResponse) -> None:
        """Writes a response of this proxy."""
        advice = b"Retry-After: %.3f\r\n" % (response.retry_after_ns / SEC) if response.retry_after_ns else b""
        status_line = b"HTTP/1.1 %d %s\r\n" % (response.status, _REASON_PHRASES[response.status])
        self.release_body()
        self.write_response(b"%sContent-Type: text/plain\r\n%s" % (status_line, advice), response.reason)

    def forward(self, response: ServerResponse) -> None:
        """Writes a server's response."""
        self.release_body()
        phrase = _REASON_PHRASES.get(response.status, _UNKNOWN_REASON_PHRASE)
        fields = b"".join([b"%s: %s\r\n" % row for row in response.header_rows])
        self.write_response(b"HTTP/1.1 %d %s\r\n%s" % (response.status, phrase, fields), response.body)


class ClientFront(ClientListener):
    """All client connections of the process."""

    connection_type = ClientConnection

    def __init__(self, environment: ProxyEnvironment, request_proxy: RequestProxy) -> None:
        """`request_proxy` takes the requests. The environment's bounds hold until the configuration's are known."""
        super().__init__(environment.loop, environment.clock, environment.limits, environment.log)
        self.request_proxy = request_proxy
        self.buffered_bytes = 0  # of bodies that came in and are still needed

    def apply_caps(self, caps: Caps) -> None:
        """Bounds as the configuration has them, from now on."""
        self.limits = self.limits._replace(
            max_head_bytes=caps.header_bytes,
            max_body_bytes=caps.body_bytes,
            client_idle_timeout_ns=caps.idle,
            request_read_timeout_ns=max(caps.header_wait, self.limits.request_read_timeout_ns),
        )
        self.max_request_bytes = self.limits.max_head_bytes + self.limits.max_body_bytes

    def ready(self) -> bool:
        """Whether new clients are welcome."""
        return not self.closing and not self.draining and self.request_proxy.ready()

    def client_left(self, exchange: ProxiedRequest) -> None:
        """The client of a request has gone."""
        self.request_proxy.left(exchange)

    def request_received(self, client: ClientConnection) -> None:
        """A request is complete: it is handed on or refused."""
        if self.active_clients > self.limits.max_active_clients:
            self.shed_idle_client(client)
        self.counts["taken"] += 1
        received = client.received_request()
        client.expects_no_body = received.method == b"HEAD"
        if client.over_limit:
            self.counts[TOO_MANY_CONNECTIONS.counter] += 1
            client.respond(TOO_MANY_CONNECTIONS)
            return
        try:
            self.request_proxy.handle_request(client, received)
        except HttpStatusError as error:
            client.refuse(error)

    def request_refused(self, client: ClientConnection, error: HttpStatusError) -> None:
        """What came is no request that can be followed."""
        client.release_body()
        super().request_refused(client, error)
