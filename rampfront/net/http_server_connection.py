"""One connection of the HTTP server, with one request at a time.

`RequestReader` reads the requests, the server (`ConnectionOwner`) handles them. A connection ends in one of three ways:
`close` closes it once its last response is sent; `refuse` sends an error response and then discards input for a short
time, because closing a socket with unread bytes resets the connection and may lose the response (RFC 9112, section
9.6); `abort` closes it immediately.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from typing import Protocol, assert_never, cast

from .closing_connection import ClosingConnection
from .connection_timeouts import Phase
from .http_messages import JSON, TEXT, IncomingRequest, Response
from .http_parsing import CONTINUE_RESPONSE
from .http_request_reader import RequestReader
from .http_status import REASON_PHRASES, REQUEST_TIMEOUT, SERVICE_UNAVAILABLE, HttpStatusError
from .limits import HttpServerLimits
from .memory_account import MemoryAccount, MemoryShortError
from .tcp_state import TcpState, read_tcp_state

RETRY_AFTER_S = b"0.3"  # sent with each 503 response
_UNNAMED_REASON = b"Said"  # the reason phrase of a status code that is not in the table


class ConnectionOwner(Protocol):
    """The interface of the server that a connection uses."""

    clock: Callable[[], int]
    limits: HttpServerLimits
    counts: Counter[str]
    memory: MemoryAccount
    draining: bool

    def body_limit(self, target: bytes) -> int:
        """Returns the maximum size in bytes of the body for a request target."""
        raise NotImplementedError

    def connection_opened(self, connection: "HttpServerConnection") -> None:
        """Called when a connection is established."""
        raise NotImplementedError

    def connection_closed(self, connection: "HttpServerConnection") -> None:
        """Called when a connection has ended."""
        raise NotImplementedError

    def request_received(self, connection: "HttpServerConnection") -> None:
        """Called when the connection's reader has a complete request."""
        raise NotImplementedError


class HttpServerConnection(ClosingConnection, asyncio.Protocol):
    """One connection of the HTTP server.

    Attributes:
        reader: reads the requests.
        request: the request whose response is pending.
        phase_since_ns: when the current phase began (`connection_timeouts`).
    """

    __slots__ = (
        "reader",
        "request",
        "phase_since_ns",
        "_owner",
        "_unsent_bytes",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        """Starts unconnected; the event loop calls `connection_made`."""
        super().__init__(owner.memory.open())
        self.reader = RequestReader(owner.limits.max_head_bytes, owner.body_limit, self.charge)
        self.reader.last = not owner.limits.keep_alive
        self.request: IncomingRequest | None = None
        self.phase_since_ns = 0
        self._owner = owner
        self._unsent_bytes = 0  # of a response that the peer reads slowly, at the last check

    @property
    def peer(self) -> tuple[str, int] | None:
        """Host and port of the peer. Each access is a system call."""
        return cast("tuple[str, int] | None", self.transport.get_extra_info("peername"))

    @property
    def tcp_state(self) -> TcpState | None:
        """The state of its TCP connection, or None if that is not known. Each access is a system call."""
        return read_tcp_state(self.transport)

    @property
    def idle(self) -> bool:
        """Whether nothing is in progress on it."""
        return self.request is None and not self.reader.message_begun and not self.closing

    @property
    def phase(self) -> Phase:
        """The current phase, which determines the timeout."""
        if self._unsent_bytes:
            return Phase.WRITING
        if self.closing:
            return Phase.FLUSHING if self.transport.get_write_buffer_size() else Phase.LINGERING
        if self.request is not None:
            return Phase.AWAITING_RESPONSE
        if self.reader.message_begun:
            return Phase.READING_BODY if self.reader.head_complete else Phase.READING_HEAD
        return Phase.IDLE

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and registers the connection with the server."""
        self.transport = cast(asyncio.Transport, transport)
        self.phase_since_ns = self._owner.clock()
        self._owner.connection_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cleans up after the connection has ended. A request in progress sees it in `IncomingRequest.finished`."""
        if self.request is not None:
            self._owner.counts["abandoned"] += 1
        self.request = None
        self.closing = True
        self.ignores_input = True
        self.reader.close()
        self._owner.memory.close(self.charge)
        self._owner.connection_closed(self)

    def eof_received(self) -> bool:
        """Treats the end of the input as a disconnect: returns False, so that the event loop closes the transport."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, and passes a complete request to the server."""
        if self.ignores_input:
            self.discard(len(data))
            return
        reader = self.reader
        if self.charge.is_sending:
            self.charge.restart(self.transport.get_write_buffer_size())
        had_begun = reader.message_begun
        error = reader.feed(data)
        if reader.message_begun and not had_begun:
            self.phase_since_ns = self._owner.clock()
        if reader.continue_wanted:
            reader.continue_wanted = False
            self.transport.write(CONTINUE_RESPONSE)
        complete = reader.complete
        reader.complete = False
        if error is not None:
            if not complete and self.request is None:
                self.refuse(error)
                return
            # A valid request precedes the invalid bytes: it still gets its response, and nothing after it is read.
            self.ignores_input = True
            reader.last = True
        if complete:
            self.charge.received()
        elif reader.message_begun:
            self.charge.receiving(self, self._owner.limits.body_timeout_ns, len(data))
        if complete:  # not in the parser's callbacks, which turn every exception into a parser error
            self._owner.request_received(self)

    def pause_writing(self) -> None:
        """The peer reads its response too slowly. Its input is read on, so that it does not wait in the kernel; a
        request before the response is read is refused."""
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self.phase_since_ns = self._owner.clock()
        self.reader.awaiting_response = True

    def resume_writing(self) -> None:
        """The peer has read its response: reads requests again."""
        self._unsent_bytes = 0
        self.phase_since_ns = self._owner.clock()
        self.charge.note_unsent(self.transport.get_write_buffer_size())
        self.reader.awaiting_response = self.request is not None

    # ---- called by the sweep

    def note_progress(self, now_ns: int) -> None:
        """Notes what the peer has read of the response, and restarts the write timeout if it has read some."""
        if not self.charge.is_sending:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        self.charge.note_unsent(unsent_bytes)
        if not self._unsent_bytes:
            return
        if unsent_bytes < self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self.phase_since_ns = now_ns

    def time_out(self, phase: Phase) -> None:
        """Ends the connection after the timeout of `phase`."""
        counts = self._owner.counts
        match phase:
            case Phase.READING_HEAD:
                counts["slow"] += 1
                self.refuse(HttpStatusError(REQUEST_TIMEOUT, "the head of the call never became whole"))
            case Phase.READING_BODY:
                counts["slow"] += 1
                self.refuse(HttpStatusError(REQUEST_TIMEOUT, "the call never became whole"))
            case Phase.WRITING:
                counts["slow"] += 1
                self.abort()
            case Phase.AWAITING_RESPONSE:
                counts["unanswered"] += 1
                self.abort()
            case Phase.IDLE | Phase.FIRST_REQUEST | Phase.FLUSHING | Phase.LINGERING:
                self.abort()
            case _:
                assert_never(phase)

    # ---- called by the server and by requests

    def begin_request(self, request: IncomingRequest) -> None:
        """Sets the request whose response is pending."""
        self.request = request
        self.reader.awaiting_response = True
        self.phase_since_ns = self._owner.clock()

    def respond(self, response: Response) -> None:
        """Writes the response to the current request in one call."""
        is_head = self.request is not None and self.request.method == "HEAD"
        is_last = self.request is not None and self.request.closes_connection
        self._finish_request()
        self.phase_since_ns = self._owner.clock()
        if self.closing:
            self.charge.release()
            return
        self.reader.last = self.reader.last or is_last or self._owner.draining
        encoded = _encode_response(response, close=self.reader.last, omit_body=is_head)
        self.transport.write(encoded)
        self._charge_output(len(encoded))
        if self.reader.last:
            self.close()

    def refuse(self, error: HttpStatusError) -> None:
        """Responds with an error immediately, and discards further input for a short time before closing."""
        self._finish_request()
        self._owner.counts["refused"] += 1
        if self.closing:
            return
        self.ignores_input = True
        self.reader.last = True
        self.reader.message_begun = False
        discardable_bytes = self.reader.discardable_bytes()
        self.reader.close()
        encoded = _encode_error(error, self._owner.limits.plain_text_errors)
        self.transport.write(encoded)
        self._charge_output(len(encoded))
        self.phase_since_ns = self._owner.clock()
        self.end_output(discardable_bytes)

    def give_way(self) -> None:
        """Ends a call that its sender does not finish, or a response that it does not read: memory is short."""
        if self.request is None and self.reader.message_begun:
            self.refuse(MemoryShortError())
        else:
            self.abort()

    def _charge_output(self, size: int) -> None:
        """Charges what was written, in place of the request that it responds to, until the peer has read it."""
        unsent_bytes = self.transport.get_write_buffer_size()
        self.charge.set(max(size, unsent_bytes))
        self.charge.sending(self, self._owner.limits.write_timeout_ns, unsent_bytes)

    def _finish_request(self) -> None:
        """Clears the pending request."""
        self.request = None
        self.reader.awaiting_response = False


def _encode_response(response: Response, close: bool, omit_body: bool) -> bytes:
    """Encodes a response. `close`: the connection closes after it; `omit_body`: it answers a HEAD request."""
    fields = b""
    for name, value in response.headers:
        if b"\r" in value or b"\n" in value:
            value = b" ".join(value.split())  # a line break would end the field and begin another
        fields += b"%s: %s\r\n" % (name, value)
    if response.body:
        fields += b"Content-Type: %s\r\n" % response.content_type
    return b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n%s\r\n%s" % (
        response.status,
        REASON_PHRASES.get(response.status, _UNNAMED_REASON),
        fields,
        len(response.body),
        b"Connection: close\r\n" if close else b"",
        b"" if omit_body else response.body,
    )


def _encode_error(error: HttpStatusError, plain_text: bool) -> bytes:
    """Encodes an error response after which the connection closes."""
    message = str(error)
    body = message.encode() if plain_text else json.dumps({"Message": message}).encode()
    retry_after = b"Retry-After: %s\r\n" % RETRY_AFTER_S if error.status == SERVICE_UNAVAILABLE else b""
    return b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s" % (
        error.status,
        REASON_PHRASES[error.status],
        TEXT if plain_text else JSON,
        len(body),
        retry_after,
        body,
    )
