"""One connection of the HTTP server: bytes in and out, one request at a time.

`RequestReader` reads the requests, the server (`ConnectionOwner`) handles them. A connection ends in one of three ways:
`close` once its last response is out; `refuse` with an error response behind which input is read and discarded for a
moment, since a socket closed with unread bytes is reset and its response lost (RFC 9112, section 9.6); `abort` at once.

Whoever responds may ask what became of the response (`Delivery`). It was delivered if a further request follows it, or
the peer ends its stream and has acknowledged all bytes by then; it was lost if the peer ended its stream before, or
reset the connection. So behind a last response of that kind the connection waits for the peer's end.
"""

import asyncio
import fcntl
import json
import struct
import termios
from collections import Counter
from collections.abc import Callable
from typing import Protocol, assert_never, cast

from .connection_timeouts import Phase
from .http_messages import JSON, TEXT, Delivery, DeliveryCallback, IncomingRequest, Response
from .http_parsing import CONTINUE_RESPONSE
from .http_request_reader import BodyBudget, RequestReader
from .http_status import REASON_PHRASES, REQUEST_TIMEOUT, SERVICE_UNAVAILABLE, HttpStatusError
from .limits import HttpServerLimits

RETRY_AFTER_S = b"0.3"  # of a response with 503
_UNNAMED_REASON = b"Said"  # the phrase of a status code that has none
_FIN_BYTES = 1  # that the end of a stream takes in the count of what its peer has not acknowledged
_INT = struct.Struct("i")


class ConnectionOwner(Protocol):
    """The server of a connection, as far as the connection needs it."""

    clock: Callable[[], int]
    limits: HttpServerLimits
    counts: Counter[str]
    body_budget: BodyBudget
    draining: bool

    def body_limit(self, target: bytes) -> int:
        """The largest body in bytes that a request target takes."""
        raise NotImplementedError

    def connection_opened(self, connection: "HttpServerConnection") -> None:
        """A connection is up."""
        raise NotImplementedError

    def connection_closed(self, connection: "HttpServerConnection") -> None:
        """A connection has ended."""
        raise NotImplementedError

    def request_received(self, connection: "HttpServerConnection") -> None:
        """A complete request waits in the connection's reader."""
        raise NotImplementedError


class HttpServerConnection(asyncio.Protocol):
    """One connection of the HTTP server.

    Attributes:
        reader: reads the requests.
        request: the request that is owed a response.
        phase_since_ns: when the present phase began (`connection_timeouts`).
        closing: the last response is written, and nothing more will be.
        ignores_input: nothing more is read.
        transport: the transport, once it is connected.
    """

    __slots__ = (
        "reader",
        "request",
        "phase_since_ns",
        "closing",
        "ignores_input",
        "transport",
        "_owner",
        "_unsent_bytes",
        "_on_delivery",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        """Starts unconnected; the event loop calls `connection_made`."""
        self.reader = RequestReader(owner.limits.max_head_bytes, owner.body_limit, owner.body_budget)
        self.reader.last = not owner.limits.keep_alive
        self.request: IncomingRequest | None = None
        self.phase_since_ns = 0
        self.closing = False
        self.ignores_input = False
        self._owner = owner
        self.transport: asyncio.Transport
        self._unsent_bytes = 0  # of a response that its receiver does not take, when last looked at
        self._on_delivery: DeliveryCallback | None = None  # of the last response

    @property
    def peer(self) -> tuple[str, int] | None:
        """Host and port of the far end; a system call."""
        return cast("tuple[str, int] | None", self.transport.get_extra_info("peername"))

    @property
    def idle(self) -> bool:
        """Whether nothing is in progress on it."""
        return self.request is None and not self.reader.message_begun and not self.closing

    @property
    def phase(self) -> Phase:
        """What the connection waits for."""
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
        """The connection is up."""
        self.transport = cast(asyncio.Transport, transport)
        self.phase_since_ns = self._owner.clock()
        self._owner.connection_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended. A request in progress learns of it from `IncomingRequest.finished`."""
        if self.request is not None:
            self._owner.counts["abandoned"] += 1
        self._report_delivery(Delivery.UNKNOWN if error is None else Delivery.LOST)
        self.request = None
        self.closing = True
        self.ignores_input = True
        self.reader.close()
        self._owner.connection_closed(self)

    def eof_received(self) -> bool:
        """The peer sends nothing more, which counts as gone. Returns False, so that the loop closes."""
        if self._on_delivery is not None:
            unacknowledged = self._unacknowledged_bytes()
            self._report_delivery(Delivery.LOST if unacknowledged > _FIN_BYTES else Delivery.DELIVERED)
        return False

    def data_received(self, data: bytes) -> None:
        """Bytes of a request."""
        if self.ignores_input:
            return
        self._report_delivery(Delivery.DELIVERED)
        reader = self.reader
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
            # A request stands in front of the bytes that cannot be followed: it is still responded to, and nothing
            # behind it is read.
            self.ignores_input = True
            reader.last = True
        if complete:  # not within the parser's callbacks: they turn every exception into a parser error
            self._owner.request_received(self)

    def pause_writing(self) -> None:
        """The peer takes its response too slowly: nothing is read from it until it has."""
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self.phase_since_ns = self._owner.clock()
        if not self.closing:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """The peer has taken its response."""
        self._unsent_bytes = 0
        self.phase_since_ns = self._owner.clock()
        if not self.closing:
            self.transport.resume_reading()

    # ---- called by the sweep

    def note_progress(self, now_ns: int) -> None:
        """Restarts the timeout of a slow write if some of it was taken."""
        if not self._unsent_bytes:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes < self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self.phase_since_ns = now_ns

    def time_out(self, phase: Phase) -> None:
        """Ends the connection, which was too long in `phase`."""
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
        """From now on a response to `request` is owed."""
        self.request = request
        self.reader.awaiting_response = True
        self.phase_since_ns = self._owner.clock()

    def respond(self, response: Response, on_delivery: DeliveryCallback | None = None) -> None:
        """Writes the response to the present request, in one write. `on_delivery` is told what became of it."""
        is_head = self.request is not None and self.request.method == "HEAD"
        self._finish_request()
        self.phase_since_ns = self._owner.clock()
        self.reader.release_body()
        if self.closing:
            if on_delivery is not None:
                on_delivery(Delivery.LOST)
            return
        self.reader.last = self.reader.last or self._owner.draining
        self.transport.write(_encode_response(response, close=self.reader.last, omit_body=is_head))
        self._on_delivery = on_delivery
        if self.reader.last and on_delivery is not None:
            self._end_stream()
        elif self.reader.last:
            self.close()

    def refuse(self, error: HttpStatusError) -> None:
        """Responds with an error at once; what still comes is read and discarded for a moment."""
        self._finish_request()
        self._owner.counts["refused"] += 1
        if self.closing:
            return
        self.ignores_input = True
        self.reader.last = True
        self.reader.message_begun = False
        self.reader.release_body()
        self.transport.write(_encode_error(error, self._owner.limits.plain_text_errors))
        self._end_stream()

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

    def _end_stream(self) -> None:
        """Sends nothing more, and waits for the peer's end; the sweep aborts the connection if that takes too long."""
        self.closing = True
        self.ignores_input = True
        self.phase_since_ns = self._owner.clock()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()

    def _report_delivery(self, delivery: Delivery) -> None:
        """Tells what became of the last response, once."""
        on_delivery, self._on_delivery = self._on_delivery, None
        if on_delivery is not None:
            on_delivery(delivery)

    def _unacknowledged_bytes(self) -> int:
        """Bytes that the peer's kernel has not acknowledged; 0 if the transport has no socket to ask."""
        peer_socket = self.transport.get_extra_info("socket")
        if peer_socket is None:
            return 0
        try:
            answer = fcntl.ioctl(peer_socket.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
        except OSError:
            return 0
        return int(_INT.unpack(answer)[0])

    def _finish_request(self) -> None:
        """No response is owed any more."""
        self.request = None
        self.reader.awaiting_response = False


def _encode_response(response: Response, close: bool, omit_body: bool) -> bytes:
    """The bytes of a response. `close`: the connection ends behind it; `omit_body`: it answers a HEAD."""
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
    """The bytes of an error response behind which the connection ends."""
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
