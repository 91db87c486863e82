"""The listener of the edge node's HTTP clients: reads transactions from header fields, and encodes answers as HTTP.

The gateway provides the answers to transactions. The listener itself answers only malformed requests, requests past
its limits, and requests for its own pages (`/-/ready`).
"""

import asyncio
import re

from .client_connection import ClientConnection
from .client_listener import ClientListener
from .event_log import EventLog
from .exchange import AnyExchange, StreamSource
from .http_parsing import FIELD_OVERHEAD_BYTES
from .http_status import BAD_REQUEST, HEADER_FIELDS_TOO_LARGE, HttpStatusError
from .limits import NetworkLimits
from .memory_account import MemoryAccount
from .transaction_gateway import TransactionGateway
from .transaction_request import TransactionRequest

_NS_PER_MS = 10**6
_NS_PER_S = 10**9
_MAX_EXPIRY_DIGITS = 9
_KEY_PREFIX = b"key="
_KEY_COOKIE_LENGTH = 20  # of a cookie that consists only of `key=` and the key
_KEY_COOKIE = re.compile(rb"(?:^|;)\s*key=([0-9a-fA-F]{16})\s*(?:;|$)")
_NO_KEY = b"none"  # not hexadecimal, so it is refused as missing
_PAGES = b"/-/"  # path prefix of the pages of this process
_READY_PAGE = b"/-/ready"
_OK = b"HTTP/1.1 200 OK\r\n"
_NOT_FOUND = b"HTTP/1.1 404 Not Found\r\n"
_TOO_MANY_REQUESTS = b"HTTP/1.1 429 Too Many Requests\r\n"
_BAD_GATEWAY = b"HTTP/1.1 502 Bad Gateway\r\n"
_SERVICE_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\n"
_KEPT_FIELDS = frozenset(
    (
        b"x-request-id",
        b"x-class",
        b"x-tier",
        b"cookie",
        b"x-deadline-ms",
        b"idempotency-key",
        b"x-call-terms",
        b"x-retry",
        b"content-type",
        b"content-length",
        b"expect",
    )
)


class TransactionConnection(ClientConnection):
    """One client's connection, which receives the answers to its transactions.

    Attributes:
        stream_source: the server connection whose response is being streamed to this connection.
    """

    __slots__ = ("stream_source", "_last_response", "_stream_chunked")
    accepts_streams = True

    def __init__(self, listener: "TransactionListener") -> None:
        """Starts unconnected."""
        super().__init__(listener)
        self.stream_source: StreamSource | None = None
        self._last_response = False  # whether the connection closes after the stream
        self._stream_chunked = False

    @property
    def busy(self) -> bool:
        """Whether an answer, or the rest of one, is pending."""
        return self.exchange is not None or self.stream_source is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header field, if the protocol uses it. Called by the parser."""
        name = name.lower()
        if name in _KEPT_FIELDS:
            if name in self.fields:
                raise HttpStatusError(BAD_REQUEST, f"{name.decode()} twice")
            self.fields[name] = value
        self.section_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self.section_bytes > self.listener.limits.max_head_bytes:
            raise HttpStatusError(HEADER_FIELDS_TOO_LARGE, "the head is too large")

    # ---- answers

    def succeeded(self, body: bytes) -> None:
        """Answers with a server's response."""
        self.write_response(_OK, body)

    def declined(self, retry_after_ns: int) -> None:
        """Answers that the transaction has not run. `retry_after_ns`: when to retry; 0 for no advice."""
        advice = b"Retry-After: %.3f\r\n" % (retry_after_ns / _NS_PER_S) if retry_after_ns else b""
        self.write_response(_TOO_MANY_REQUESTS + advice, b"")

    def outcome_unknown(self) -> None:
        """Answers that the transaction may have run."""
        self.write_response(_BAD_GATEWAY, b"")

    # ---- streams

    def stream(self, source: StreamSource) -> None:
        """Writes the head of a response whose body `source` streams, unless the connection is closing."""
        self.exchange = None
        self.phase_since_ns = self.listener.clock()
        if self.closing:
            return
        self._last_response = self._closes_after_response()
        self.stream_source = source
        length = source.length
        self._stream_chunked = length is None
        framing = b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
        connection_field = b"Connection: close\r\n" if self._last_response else b""
        self.transport.write(b"%s%s%s\r\n" % (_OK, framing, connection_field))

    def write_stream(self, data: bytes) -> None:
        """Writes a part of the body."""
        if self._stream_chunked:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data))
        else:
            self.transport.write(data)

    def stream_complete(self) -> None:
        """Ends the response after its complete body."""
        if self._stream_chunked:
            self.transport.write(b"0\r\n\r\n")
        self.stream_source = None
        self.phase_since_ns = self.listener.clock()
        self.charge.sending(self, self.listener.limits.write_timeout_ns, self.transport.get_write_buffer_size())
        if self._last_response:
            self.close()

    def abort_stream(self) -> None:
        """Aborts the connection, so that a truncated response is not mistaken for a complete one."""
        self.stream_source = None
        self.abort()

    def pause_writing(self) -> None:
        """The client reads its response too slowly: pauses the source of the stream as well."""
        super().pause_writing()
        if self.stream_source:
            self.stream_source.pause()

    def resume_writing(self) -> None:
        """The client has caught up: resumes the source of the stream as well."""
        super().resume_writing()
        if self.stream_source:
            self.stream_source.resume()

    def _drop_stream(self) -> None:
        """Detaches the disconnected client from the source of the stream."""
        if self.stream_source:
            self.stream_source.detach_client()


class TransactionListener(ClientListener):
    """The listening socket of the edge node's HTTP clients."""

    connection_type = TransactionConnection

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: TransactionGateway,
        limits: NetworkLimits,
        memory: MemoryAccount,
        log: EventLog,
    ) -> None:
        """For the parameters see `ClientListener`; `gateway` accepts the transactions."""
        super().__init__(loop, gateway.clock, limits, memory, log)
        self._gateway = gateway
        self._driver = gateway.driver

    def ready(self) -> bool:
        """Whether new clients are accepted."""
        return not self.closing and not self.draining and self._driver.servers.any_up()

    def client_left(self, exchange: AnyExchange) -> None:
        """Cancels the transaction of a client that has disconnected."""
        self._driver.client_left(exchange)

    def request_refused(self, connection: ClientConnection, error: HttpStatusError) -> None:
        """Responds to an invalid request, and counts it if it was a transaction of a known product."""
        if connection.exchange is None:
            self._gateway.count_unknown(connection.fields.get(b"x-class"))
        super().request_refused(connection, error)

    def request_received(self, connection: ClientConnection) -> None:
        """Accepts the transaction of a complete request, or answers any other request."""
        if self.active_clients > self.limits.max_active_clients:
            self.shed_idle_client(connection)
        if connection.target.startswith(_PAGES):
            self._answer_page(connection)
            return
        self.counts["taken"] += 1
        if connection.over_limit and not connection.throttled:  # the gateway declines a throttled one with Retry-After
            self.counts["turned_away"] += 1
            self._gateway.count_declined(connection.fields.get(b"x-class"))
            connection.write_response(_SERVICE_UNAVAILABLE, b"")
            return
        assert isinstance(connection, TransactionConnection)
        try:
            self._gateway.accept(connection, _read_transaction(connection))
        except HttpStatusError as error:
            connection.refuse(error)

    def _answer_page(self, connection: ClientConnection) -> None:
        """Answers a request for a page of this process."""
        if connection.target != _READY_PAGE:
            connection.write_response(_NOT_FOUND, b"")
        elif self.ready():
            connection.write_response(_OK, b"")
        else:
            connection.write_response(_SERVICE_UNAVAILABLE, b"")


def _read_transaction(connection: TransactionConnection) -> TransactionRequest:
    """Reads the transaction of a complete request from its header fields."""
    assert connection.parser is not None
    get = connection.fields.get
    expiry = get(b"x-deadline-ms", b"")
    has_expiry = expiry.isdigit() and len(expiry) <= _MAX_EXPIRY_DIGITS
    return TransactionRequest(  # positional: keyword arguments would cost 1 % of a transaction's time
        get(b"x-request-id", b""),
        get(b"x-class"),
        get(b"x-tier"),
        get(b"idempotency-key"),
        _read_key(get(b"cookie", b"")),
        int(expiry) * _NS_PER_MS if has_expiry else 0,
        get(b"x-call-terms", b""),
        connection.parser.get_method(),
        connection.target,
        get(b"content-type"),
        connection.body.take(),
        get(b"x-retry") == b"1",
    )


def _read_key(cookie: bytes) -> bytes:
    """Returns the account key of a Cookie field."""
    if len(cookie) == _KEY_COOKIE_LENGTH and cookie.startswith(_KEY_PREFIX):  # the usual form needs no search
        return cookie[len(_KEY_PREFIX) :]
    found = _KEY_COOKIE.search(cookie)
    return found.group(1) if found else _NO_KEY
