"""One client's connection: HTTP/1.1 requests read completely, one at a time, and responses written.

This is what both programs share. A subclass reads the header fields of its protocol and words its answers:
`TransactionConnection` for the edge node, `proxy/client_front.py` for the system.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol, assert_never, cast

import httptools

from .connection_timeouts import Phase
from .exchange import AnyExchange
from .http_parsing import CONTINUE_RESPONSE, feed_request
from .http_status import (
    BAD_REQUEST,
    CONTENT_TOO_LARGE,
    HEADER_FIELDS_TOO_LARGE,
    REQUEST_TIMEOUT,
    HttpStatusError,
)
from .limits import NetworkLimits

_MAX_LENGTH_DIGITS = 9
_NO_FIELDS: dict[bytes, bytes] = {}  # shared, and never written to
_NO_PARTS: list[bytes] = []


class ConnectionListener(Protocol):
    """The listener of a connection, as far as the connection needs it."""

    clock: Callable[[], int]
    counts: dict[str, int]
    limits: NetworkLimits
    read_buffer: memoryview
    max_request_bytes: int
    swept_ns: int
    closes_connections: bool

    def connection_opened(self, connection: "ClientConnection") -> None:
        """A connection is up."""
        raise NotImplementedError

    def connection_closed(self, connection: "ClientConnection") -> None:
        """A connection has ended."""
        raise NotImplementedError

    def connection_activated(self) -> None:
        """The first complete request of a connection has come."""
        raise NotImplementedError

    def request_received(self, connection: "ClientConnection") -> None:
        """A request is complete."""
        raise NotImplementedError

    def request_refused(self, connection: "ClientConnection", error: HttpStatusError) -> None:
        """What came cannot be followed."""
        raise NotImplementedError

    def client_left(self, exchange: AnyExchange) -> None:
        """The client of an exchange has gone."""
        raise NotImplementedError


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client. The methods `on_...` are the callbacks of `httptools`.

    Attributes:
        listener: its listener.
        transport: the transport, once it is connected.
        parser: the parser of requests; None once the connection has ended.
        target: the request target.
        fields: the header fields that were kept, by lower-case name.
        body_parts: the body, as it came.
        section_bytes: bytes of the head so far, then of the body.
        exchange: the exchange that is owed an answer.
        phase_since_ns: when the present phase began (`connection_timeouts`).
        message_begun: a request has begun and is not complete.
        ignores_input: nothing more is read.
        closing: the last response is written, and nothing more will be.
        write_paused: the client takes its response too slowly.
        over_limit: it came when there were too many, and ends behind its first response.
        throttled: it came faster than connections are accepted, and what it brings is declined.
        fresh: it has brought nothing complete yet.
    """

    __slots__ = (
        "listener",
        "transport",
        "parser",
        "target",
        "fields",
        "body_parts",
        "section_bytes",
        "exchange",
        "phase_since_ns",
        "message_begun",
        "ignores_input",
        "closing",
        "write_paused",
        "over_limit",
        "throttled",
        "fresh",
        "_message_complete",
        "_received_bytes",
        "_keep_alive",
    )

    def __init__(self, listener: ConnectionListener) -> None:
        """Starts unconnected; the event loop calls `connection_made`."""
        self.listener = listener
        self.transport: asyncio.Transport
        self.parser: httptools.HttpRequestParser | None = None
        self.target = b""
        self.fields = _NO_FIELDS
        self.body_parts = _NO_PARTS
        self.section_bytes = 0
        self.exchange: AnyExchange | None = None
        self.phase_since_ns = 0
        self.message_begun = False
        self.ignores_input = False
        self.closing = False
        self.write_paused = False
        self.over_limit = False
        self.throttled = False
        self.fresh = True
        self._message_complete = False
        self._received_bytes = 0  # of the present request, with all framing
        self._keep_alive = True

    @property
    def busy(self) -> bool:
        """Whether it is owed an answer, or the rest of one."""
        return self.exchange is not None

    @property
    def idle(self) -> bool:
        """Whether nothing is in progress on it."""
        return not (self.busy or self.message_begun or self.closing or self.write_paused)

    @property
    def phase(self) -> Phase:
        """What the connection waits for."""
        if self.closing or self.write_paused:
            return Phase.WRITING
        if self.message_begun:
            return Phase.READING_HEAD  # of head and body: they share one limit
        if self.busy:
            return Phase.AWAITING_RESPONSE
        return Phase.FIRST_REQUEST if self.fresh else Phase.IDLE

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)
        self.phase_since_ns = self.listener.clock()
        self.listener.connection_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended. This is the one path on which a client that is gone cancels what it waits for."""
        exchange = self.exchange
        self.exchange = None
        self.ignores_input = True
        self.listener.connection_closed(self)
        self._drop_stream()
        if exchange:
            exchange.detach_client()
            self.listener.counts["left"] += 1
            self.listener.client_left(exchange)
        self.parser = None  # it refers back to this connection

    def eof_received(self) -> bool:
        """The client sends nothing more, which counts as gone. Returns False, so that the loop closes."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read to: one buffer for all connections, as each read is used up before the next."""
        return self.listener.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes were read into the buffer."""
        if self.ignores_input:
            return
        self._received_bytes += nbytes
        assert self.parser is not None
        error = feed_request(self.parser, self.listener.read_buffer[:nbytes])
        if self.message_begun and error is None and self._received_bytes > self.listener.max_request_bytes:
            # A field without an end reaches no callback, so the raw bytes are limited as well.
            error = HttpStatusError(HEADER_FIELDS_TOO_LARGE, "the head is too large")
        complete = self._message_complete
        self._message_complete = False
        if error is not None:  # a request that is complete in front of it is refused too: its length may be the lie
            self.refuse(error)
        elif complete:  # not within the parser's callbacks: they turn every exception into a parser error
            self.listener.request_received(self)

    def pause_writing(self) -> None:
        """The client takes its response too slowly: no further request is read until it has."""
        self.write_paused = True
        self.phase_since_ns = self.listener.swept_ns
        if not self.closing:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """The client has taken its response."""
        self.write_paused = False
        self.phase_since_ns = self.listener.swept_ns
        if not self.closing:
            self.transport.resume_reading()

    # ---- called by the parser

    def on_message_begin(self) -> None:
        """A request begins."""
        if self.busy or self._message_complete or self.ignores_input:
            self.listener.counts["pipelined"] += 1
            raise HttpStatusError(BAD_REQUEST, "one txn at a time")
        self.message_begun = True
        if not self.fresh:  # else its time runs from the connect: a bad client is refused soon
            self.phase_since_ns = self.listener.swept_ns
        self.target = b""
        self.fields = {}
        self.body_parts = []
        self.section_bytes = 0

    def on_url(self, part: bytes) -> None:
        """A part of the request target."""
        self.target += part
        self.section_bytes += len(part)

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self.section_bytes = 0
        length = self.fields.get(b"content-length", b"0")  # the parser refuses all but digits
        if len(length) > _MAX_LENGTH_DIGITS or int(length) > self.listener.limits.max_body_bytes:
            raise HttpStatusError(CONTENT_TOO_LARGE, "the body is too large")
        if b"expect" in self.fields:
            self.transport.write(CONTINUE_RESPONSE)

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self.section_bytes += len(part)
        if self.section_bytes > self.listener.limits.max_body_bytes:
            raise HttpStatusError(CONTENT_TOO_LARGE, "the body is too large")
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """The request is complete."""
        assert self.parser is not None
        self.message_begun = False
        self._message_complete = True
        self._received_bytes = 0
        if self.fresh:
            self.fresh = False
            self.listener.connection_activated()
        self._keep_alive = self.parser.should_keep_alive()

    # ---- called by the sweep

    def note_progress(self, now_ns: int) -> None:
        """A slow write has no progress of its own: its limit holds for the whole response."""

    def time_out(self, phase: Phase) -> None:
        """Ends the connection, which was too long in `phase`."""
        match phase:
            case Phase.READING_HEAD | Phase.READING_BODY:
                self.listener.counts["slow"] += 1
                self.refuse(HttpStatusError(REQUEST_TIMEOUT, "the txn never became whole"))
            case Phase.WRITING | Phase.FLUSHING | Phase.LINGERING:
                self.listener.counts["slow"] += 1
                self.transport.abort()
            case Phase.FIRST_REQUEST | Phase.IDLE | Phase.AWAITING_RESPONSE:
                self.close()
            case _:
                assert_never(phase)

    # ---- answers

    def accepted(self, exchange: AnyExchange) -> None:
        """The request was accepted: this connection is owed its answer."""
        self.exchange = exchange
        self.fields = _NO_FIELDS  # an idle connection holds nothing of its last request
        self.body_parts = _NO_PARTS

    def write_response(self, head: bytes, body: bytes) -> None:
        """Writes a complete response at once. `head`: the status line and fields, without those of the framing."""
        self.exchange = None
        self.phase_since_ns = self.listener.clock()
        if self.closing:
            return
        last = self._closes_after_response()
        connection_field = b"Connection: close\r\n" if last else b""
        self.transport.write(b"%sContent-Length: %d\r\n%s\r\n%s" % (head, len(body), connection_field, body))
        if last:
            self.close()

    def refuse(self, error: HttpStatusError) -> None:
        """Responds with an error at once and reads no more.

        An exchange that is open for this client was followed by bytes that belong to nothing: it is cancelled.
        """
        if not self.closing:
            self.ignores_input = True
            self.message_begun = False
            self.listener.request_refused(self, error)

    def close(self) -> None:
        """Closes the connection once what was written is out; the sweep aborts it if that takes too long."""
        if not self.closing:
            self.closing = True
            self.ignores_input = True
            self.transport.close()

    def abort(self) -> None:
        """Ends the connection at once."""
        self.closing = True
        self.ignores_input = True
        self.transport.abort()

    def _closes_after_response(self) -> bool:
        """Whether the response that is written next is the last one."""
        return not self._keep_alive or self.ignores_input or self.over_limit or self.listener.closes_connections

    def _drop_stream(self) -> None:
        """Ends a stream to the client, which has gone. Nothing to do here; see `TransactionConnection`."""
