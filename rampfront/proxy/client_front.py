"""Client connections of the system: reads and checks complete requests, writes responses, on the listener of `net`.

This module owns the client connections. It must never choose a response: it writes the one it is given, a server's
(`forward`) or this proxy's (`respond`). A request is passed on only once it is complete, so a client that is slow or
disconnects midway costs no server anything. The limits are the configuration's `Caps`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..net.client_connection import ClientConnection, ConnectionListener
from ..net.client_listener import ClientListener
from ..net.exchange import AnyExchange
from ..net.http_parsing import FIELD_OVERHEAD_BYTES
from ..net.http_status import (
    BAD_REQUEST,
    HEADER_FIELDS_TOO_LARGE,
    REASON_PHRASES,
    HttpStatusError,
)
from ..settings.scalars import SEC
from .outcomes import TOO_MANY_CONNECTIONS
from .request import HeaderLine, ProxiedRequest, ReceivedRequest

if TYPE_CHECKING:
    from ..settings.configuration import Caps
    from .environment import ProxyEnvironment
    from .outcomes import LocalResponse
    from .request_proxy import RequestProxy
    from .server_response import ServerResponse

_PHRASED_STATUSES = (200, 400, 401, 404, 405, 408, 409, 413, 429, 431, 502, 503, 504)
_REASON_PHRASES = {status: REASON_PHRASES[status] for status in _PHRASED_STATUSES}
_OTHER_REASON_PHRASE = b"-"  # for every other status of a server; clients ignore the phrase (RFC 9112, section 4)
# Fields that may occur only once: this proxy and the server could each pick a different one of two.
_SINGLE_FIELDS = frozenset(
    (b"host", b"try-id", b"time-left-ms", b"authorization", b"connection", b"content-length", b"expect")
)
_MAX_FIELDS = 128  # maximum number of header fields of a request


class RequestConnection(ClientConnection):
    """One client's connection, which reads one complete request at a time. The parser calls the methods `on_...`."""

    __slots__ = ("header_lines", "is_head_complete", "expects_no_body")
    listener: ClientFront

    def __init__(self, listener: ConnectionListener) -> None:
        """Starts with nothing read."""
        super().__init__(listener)
        self.expects_no_body = False  # the response must have no body, because the request's method is HEAD

    # ---- called by the parser

    def on_message_begin(self) -> None:
        """Starts a new request."""
        super().on_message_begin()
        self.header_lines: list[HeaderLine] = []
        self.is_head_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header field as received."""
        if self.is_head_complete:
            return  # trailers are ignored: a key or a customer's name after the body must not take effect
        lowered = name.lower()
        if lowered in _SINGLE_FIELDS:
            if lowered in self.fields:
                raise HttpStatusError(BAD_REQUEST, f"{lowered.decode()} twice")
            self.fields[lowered] = value
        self.header_lines.append((lowered, b"%s: %s\r\n" % (name, value)))
        self.section_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self.section_bytes > self.listener.max_head_bytes or len(self.header_lines) > _MAX_FIELDS:
            raise HttpStatusError(HEADER_FIELDS_TOO_LARGE, "the head is too large")

    def on_headers_complete(self) -> None:
        """Checks the complete head."""
        super().on_headers_complete()
        self.is_head_complete = True
        if b"host" not in self.fields:
            raise HttpStatusError(BAD_REQUEST, "Host is missing")

    def received_request(self) -> ReceivedRequest:
        """Builds the request; call it once the request is complete."""
        assert self.parser is not None
        target = self.target
        path = target if target[:1] == b"/" else b"/" + target.partition(b"://")[2].partition(b"/")[2]
        method = self.parser.get_method()
        return ReceivedRequest(method, target, path, self.header_lines, self.fields, self.body.take())

    # ---- the request's end

    def refuse(self, error: HttpStatusError) -> None:
        """Responds with an error immediately, drops the request and stops reading."""
        self.header_lines = []
        super().refuse(error)

    def _field_count(self) -> int:
        """The number of header fields that are kept."""
        return len(self.header_lines)

    def accepted(self, exchange: AnyExchange) -> None:
        """Records that the request was admitted: `exchange` will produce the response."""
        self.header_lines = []
        super().accepted(exchange)

    def charge_retained(self, size: int) -> None:
        """Charges a response that is kept while further attempts are made."""
        self.charge.set(self.charge.size + size)

    def write_response(self, head: bytes, body: bytes) -> None:
        """Writes a complete response. `head`: the status line and the fields, without the framing fields."""
        super().write_response(head, b"" if self.expects_no_body else body)

    def respond(self, response: LocalResponse) -> None:
        """Writes a response that this proxy generated."""
        advice = b"Retry-After: %.3f\r\n" % (response.retry_after_ns / SEC) if response.retry_after_ns else b""
        status_line = b"HTTP/1.1 %d %s\r\n" % (response.status, _REASON_PHRASES[response.status])
        self.write_response(b"%sContent-Type: text/plain\r\n%s" % (status_line, advice), response.reason)

    def forward(self, response: ServerResponse) -> None:
        """Writes a server's response."""
        phrase = _REASON_PHRASES.get(response.status, _OTHER_REASON_PHRASE)
        fields = b"".join(response.header_lines)
        self.write_response(b"HTTP/1.1 %d %s\r\n%s" % (response.status, phrase, fields), response.body)


class ClientFront(ClientListener):
    """All client connections of the process."""

    connection_type = RequestConnection

    def __init__(self, environment: ProxyEnvironment, request_proxy: RequestProxy) -> None:
        """`request_proxy` handles the requests. The environment's limits apply until the configuration's are known."""
        limits, memory = environment.limits, environment.memory
        super().__init__(environment.loop, environment.clock, limits, memory, environment.log)
        self.max_head_bytes = self.limits.max_head_bytes  # a copy, because it is read for each header field
        self._request_proxy = request_proxy

    def apply_caps(self, caps: Caps) -> None:
        """Applies the limits of a new configuration."""
        self.limits = self.limits._replace(
            max_head_bytes=caps.header_bytes,
            max_body_bytes=caps.body_bytes,
            client_idle_timeout_ns=caps.idle,
            request_read_timeout_ns=max(caps.header_wait, self.limits.request_read_timeout_ns),
        )
        self.max_head_bytes = caps.header_bytes

    def ready(self) -> bool:
        """Whether new clients are accepted."""
        return not self.closing and not self.draining and self._request_proxy.ready()

    def client_left(self, exchange: AnyExchange) -> None:
        """Cancels the request of a client that disconnected or sent invalid data."""
        assert isinstance(exchange, ProxiedRequest)
        exchange.cancel()

    def request_received(self, connection: ClientConnection) -> None:
        """Passes a complete request on, or refuses it."""
        assert isinstance(connection, RequestConnection)
        if self.active_clients > self.limits.max_active_clients:
            self.shed_idle_client(connection)
        self.counts["taken"] += 1
        received = connection.received_request()
        connection.expects_no_body = received.method == b"HEAD"
        if connection.over_limit:
            self.counts[TOO_MANY_CONNECTIONS.counter] += 1
            connection.respond(TOO_MANY_CONNECTIONS)
            return
        try:
            self._request_proxy.handle_request(connection, received)
        except HttpStatusError as error:
            connection.refuse(error)
