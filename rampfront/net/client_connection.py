"""One client's connection: reads complete HTTP/1.1 requests, one at a time, and writes responses.

This base class is shared by both programs. A subclass reads the header fields of its protocol and encodes its answers:
`TransactionConnection` for the edge node, `proxy/client_front.py` for the system.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol, assert_never, cast

import httptools

from .body_buffer import BodyBuffer
from .closing_connection import ClosingConnection
from .connection_timeouts import Phase
from .exchange import AnyExchange
from .http_parsing import CONTINUE_RESPONSE, feed_request
from .http_status import (
    BAD_REQUEST,
    CONTENT_TOO_LARGE,
    REQUEST_TIMEOUT,
    HttpStatusError,
)
from .limits import NetworkLimits
from .memory_account import FIELD_COST_BYTES, HEAD_COPIES, MemoryAccount, MemoryShortError
from .request_size import RequestSize

_MAX_LENGTH_DIGITS = 9
_MAX_COPIED_BYTES = 64 << 10  # a larger body is written as it is, not copied behind its head
_NO_FIELDS: dict[bytes, bytes] = {}  # shared by all connections, never modified


class ConnectionListener(Protocol):
    """The interface of the listener that a connection uses."""

    clock: Callable[[], int]
    counts: dict[str, int]
    limits: NetworkLimits
    memory: MemoryAccount
    read_buffer: memoryview
    swept_ns: int
    closes_connections: bool

    def connection_opened(self, connection: "ClientConnection") -> None:
        """Called when a connection is established."""
        raise NotImplementedError

    def connection_closed(self, connection: "ClientConnection") -> None:
        """Called when a connection has ended."""
        raise NotImplementedError

    def connection_activated(self) -> None:
        """Called when the first complete request of a connection was received."""
        raise NotImplementedError

    def request_received(self, connection: "ClientConnection") -> None:
        """Called when a request is complete."""
        raise NotImplementedError

    def request_refused(self, connection: "ClientConnection", error: HttpStatusError) -> None:
        """Called when the received bytes are not a valid request."""
        raise NotImplementedError

    def client_left(self, exchange: AnyExchange) -> None:
        """Called when the client of an exchange has disconnected."""
        raise NotImplementedError


class ClientConnection(ClosingConnection, asyncio.BufferedProtocol):
    """One connection of a client. The methods `on_...` are the callbacks of `httptools`.

    Attributes:
        listener: its listener.
        parser: the parser of requests; None once the connection has ended.
        target: the request target.
        fields: the header fields that the protocol uses, by lower-case name.
        body: the body, as far as it was received.
        section_bytes: bytes of the head so far, then of the body.
        exchange: the exchange whose answer is pending.
        phase_since_ns: when the current phase began (`connection_timeouts`).
        message_begun: whether a request has begun and is not complete.
        lingering: whether it stays open for a short time after a refusal, so that its client can read that.
        write_paused: whether writing is paused because the client reads its response too slowly.
        over_limit: whether it was opened past the limit of connections; it is closed after its first response.
        throttled: whether it was opened faster than connections are accepted; its requests are declined.
        fresh: whether no complete request has been received on it yet.
    """

    __slots__ = (
        "listener",
        "parser",
        "target",
        "fields",
        "body",
        "section_bytes",
        "exchange",
        "phase_since_ns",
        "message_begun",
        "lingering",
        "write_paused",
        "over_limit",
        "throttled",
        "fresh",
        "_message_complete",
        "_size",
        "_keep_alive",
    )

    def __init__(self, listener: ConnectionListener) -> None:
        """Starts unconnected; the event loop calls `connection_made`."""
        super().__init__(listener.memory.open())
        self.listener = listener
        self.parser: httptools.HttpRequestParser | None = None
        self.target = b""
        self.fields = _NO_FIELDS
        self.body = BodyBuffer()
        self.section_bytes = 0
        self.exchange: AnyExchange | None = None
        self.phase_since_ns = 0
        self.message_begun = False
        self.lingering = False
        self.write_paused = False
        self.over_limit = False
        self.throttled = False
        self.fresh = True
        self._message_complete = False
        self._size = RequestSize()
        self._keep_alive = True

    @property
    def busy(self) -> bool:
        """Whether an answer, or the rest of one, is pending."""
        return self.exchange is not None

    @property
    def idle(self) -> bool:
        """Whether nothing is in progress on it."""
        return not (self.busy or self.message_begun or self.closing or self.write_paused)

    @property
    def phase(self) -> Phase:
        """The current phase, which determines the timeout."""
        if self.lingering and not self.write_paused:
            return Phase.LINGERING
        if self.closing or self.write_paused:
            return Phase.WRITING
        if self.message_begun:
            return Phase.READING_HEAD  # head and body share one timeout
        if self.busy:
            return Phase.AWAITING_RESPONSE
        return Phase.FIRST_REQUEST if self.fresh else Phase.IDLE

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and registers the connection with its listener."""
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)
        self.phase_since_ns = self.listener.clock()
        self.listener.connection_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the pending exchange. Every disconnect of a client is handled here and nowhere else."""
        exchange = self.exchange
        self.exchange = None
        self.ignores_input = True
        self.listener.connection_closed(self)
        self._drop_stream()
        if exchange:
            exchange.detach_client()
            self.listener.counts["left"] += 1
            self.listener.client_left(exchange)
        self.listener.memory.close(self.charge)
        self.parser = None  # breaks the reference cycle

    def eof_received(self) -> bool:
        """Treats the end of the input as a disconnect: returns False, so that the event loop closes the transport."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to read into. All connections share one, as each read is consumed before the next."""
        return self.listener.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the bytes that were read into the buffer."""
        if self.ignores_input:
            self.discard(nbytes)
            return
        self._size.received_bytes += nbytes
        assert self.parser is not None
        error = feed_request(self.parser, self.listener.read_buffer[:nbytes])
        if error is None and not self._message_complete:
            error = self._size.check(self.listener.limits.max_head_bytes)
        if error is None:
            error = self._charge_request(nbytes)
        complete = self._message_complete
        self._message_complete = False
        if complete:
            self._size.reset()
        if error is not None:  # a complete request before the error is refused too, as its length may be wrong
            self.refuse(error)
        elif complete:  # not in the parser's callbacks, which turn every exception into a parser error
            self.listener.request_received(self)

    def pause_writing(self) -> None:
        """The client reads its response too slowly. Its input is read on, so that it does not wait in the kernel; a
        request before the response is read is refused."""
        self.write_paused = True
        self.phase_since_ns = self.listener.swept_ns
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes > self.charge.size:  # of a stream, which has no charge before
            self.charge.set(unsent_bytes)
        self.charge.sending(self, self.listener.limits.write_timeout_ns, unsent_bytes)

    def resume_writing(self) -> None:
        """The client has caught up with its response."""
        self.write_paused = False
        self.phase_since_ns = self.listener.swept_ns
        self.charge.note_unsent(self.transport.get_write_buffer_size())

    # ---- called by the parser

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        if self.busy or self._message_complete or self.ignores_input or self.write_paused:
            self.listener.counts["pipelined"] += 1
            raise HttpStatusError(BAD_REQUEST, "one txn at a time")
        self.message_begun = True
        if self.charge.is_sending:
            self.charge.restart(self.transport.get_write_buffer_size())
        if not self.fresh:  # the timeout of the first request runs from the connect, to refuse bad clients early
            self.phase_since_ns = self.listener.swept_ns
        self.target = b""
        self.fields = {}
        self.body.clear()
        self.section_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Appends a part of the request target."""
        self.target += part
        self.section_bytes += len(part)

    def on_headers_complete(self) -> None:
        """Checks the declared length of the body, and sends 100 Continue if the client expects it."""
        self._size.head_completed(self.section_bytes)
        self.section_bytes = 0
        length = self.fields.get(b"content-length", b"0")  # the parser accepts digits only
        if len(length) > _MAX_LENGTH_DIGITS or int(length) > self.listener.limits.max_body_bytes:
            raise HttpStatusError(CONTENT_TOO_LARGE, "the body is too large")
        self.charge.raise_to(self._head_cost() + int(length))
        if b"expect" in self.fields:
            self.transport.write(CONTINUE_RESPONSE)

    def on_chunk_header(self) -> None:
        """Notes a chunk of the body."""
        self._size.chunk_begun()

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body."""
        self.section_bytes += len(part)
        self._size.body_received(len(part))
        if self.section_bytes > self.listener.limits.max_body_bytes:
            raise HttpStatusError(CONTENT_TOO_LARGE, "the body is too large")
        self.body.append(part)

    def on_message_complete(self) -> None:
        """Marks the request as complete."""
        assert self.parser is not None
        self.message_begun = False
        self._message_complete = True
        if self.fresh:
            self.fresh = False
            self.listener.connection_activated()
        self._keep_alive = self.parser.should_keep_alive()

    # ---- called by the sweep

    def note_progress(self, now_ns: int) -> None:
        """Notes what the client has read. The write timeout applies to the whole response, whatever its progress."""
        if self.charge.is_sending:
            self.charge.note_unsent(self.transport.get_write_buffer_size())

    def time_out(self, phase: Phase) -> None:
        """Ends the connection after the timeout of `phase`."""
        match phase:
            case Phase.READING_HEAD | Phase.READING_BODY:
                self.listener.counts["slow"] += 1
                self.refuse(HttpStatusError(REQUEST_TIMEOUT, "the txn never became whole"))
            case Phase.WRITING | Phase.FLUSHING:
                self.listener.counts["slow"] += 1
                self.transport.abort()
            case Phase.LINGERING:
                self.transport.abort()
            case Phase.FIRST_REQUEST | Phase.IDLE | Phase.AWAITING_RESPONSE:
                self.close()
            case _:
                assert_never(phase)

    # ---- answers

    def accepted(self, exchange: AnyExchange) -> None:
        """Notes the accepted request as the one to answer on this connection."""
        self.exchange = exchange
        self.fields = _NO_FIELDS  # an idle connection must not keep its last request in memory
        self.body.clear()

    def write_response(self, head: bytes, body: bytes) -> None:
        """Writes a complete response in one call. `head`: the status line and fields, without the framing fields."""
        self.exchange = None
        self.phase_since_ns = self.listener.clock()
        if self.closing:
            self.charge.release()
            return
        last = self._closes_after_response()
        connection_field = b"Connection: close\r\n" if last else b""
        head = b"%sContent-Length: %d\r\n%s\r\n" % (head, len(body), connection_field)
        if len(body) > _MAX_COPIED_BYTES:
            self.transport.writelines((head, body))
        else:
            self.transport.write(head + body)
        unsent_bytes = self.transport.get_write_buffer_size()
        self.charge.set(max(len(head) + len(body), unsent_bytes))
        self.charge.sending(self, self.listener.limits.write_timeout_ns, unsent_bytes)
        if self.lingering:
            self.end_output(self._size.discardable_bytes(self.listener.limits.max_body_bytes))
        elif last:
            self.close()

    def refuse(self, error: HttpStatusError) -> None:
        """Responds with an error immediately and stops reading.

        If an exchange is pending, unexpected bytes followed its request, and the exchange is cancelled.
        """
        if not self.closing:
            self.ignores_input = True
            self.lingering = True  # there may be more input
            self.message_begun = False
            self.body.clear()
            self.parser = None  # it keeps an incomplete field
            self.listener.request_refused(self, error)
            self.fields = _NO_FIELDS

    def give_way(self) -> None:
        """Ends a request that its client does not finish, or a response that it does not read: memory is short."""
        if self.message_begun:
            self.refuse(MemoryShortError())
        else:
            self.abort()

    def _charge_request(self, received_bytes: int) -> HttpStatusError | None:
        """Charges the request as far as it was received. Returns the error if there is no memory for it."""
        if not self.message_begun and not self._message_complete:
            return None
        try:
            self.charge.raise_to(self._head_cost() + len(self.body))
        except MemoryShortError as error:
            return error
        if self._message_complete:
            self.charge.received()
        else:
            self.charge.receiving(self, self.listener.limits.request_read_timeout_ns, received_bytes)
        return None

    def _head_cost(self) -> int:
        """The memory of the head, as far as it was received."""
        return HEAD_COPIES * self._size.head_bytes + FIELD_COST_BYTES * self._field_count()

    def _field_count(self) -> int:
        """The number of header fields that are kept."""
        return len(self.fields)

    def _closes_after_response(self) -> bool:
        """Whether the connection closes after the next response."""
        return not self._keep_alive or self.ignores_input or self.over_limit or self.listener.closes_connections

    def _drop_stream(self) -> None:
        """Ends a response stream to the disconnected client. `TransactionConnection` overrides this."""
