"""Reads the responses of one server connection, without I/O: returns responses and protocol errors.

`httptools` parses the syntax. This module enforces the limits and reads the header fields of the platform's protocol.
The system's proxy has a subclass for its own protocol (`proxy/server_response_reader.py`).
"""

from collections.abc import Callable

import httptools

from .body_buffer import BodyBuffer
from .http_parsing import FIRST_FINAL_STATUS, contains_status_line
from .http_status import OK
from .limits import NetworkLimits
from .memory_account import MemoryCharge, MemoryShortError
from .response_stream import ResponseStream, StreamTooLargeError
from .server_response import parse_quota_use, parse_units


class RemoteProtocolError(Exception):
    """The server violated the protocol. The submission in flight may have run."""


class ServerResponseReader:
    """Reads the responses of one connection. The methods `on_...` are the callbacks of `httptools`.

    Attributes:
        status: the status code of the response whose head was received last.
        received_bytes: bytes of the current response, with all framing.
        head_complete: whether the head of the final response is complete.
        complete: whether the final response is complete.
        keep_alive: whether the server keeps the connection open after it.
        length: the length of the body declared in the head; None if there is none.
        chunked: whether the body has chunk framing.
        body: the body, as far as it was received and is not streamed.
        is_discarded: whether the body was discarded because memory is short. The response is read to its end, since its
            server is not to blame, and its slot and connection become free.
        is_large: whether the response is to be streamed, because it is too large to buffer or of unknown length.
        stream: forwards the body to the client, once streaming has begun.
        not_run: whether the server states that it has not run the submission.
        units: the units that the transaction took, as the server reports them; 0 if it does not.
        use: the share of the quota that the account has used, as the server reports it; None if it does not.
        load_report: the text of a load report; None if there is none.
    """

    __slots__ = (
        "status",
        "received_bytes",
        "head_complete",
        "complete",
        "keep_alive",
        "length",
        "chunked",
        "body",
        "is_discarded",
        "is_large",
        "stream",
        "not_run",
        "units",
        "usage",
        "load_report",
        "_parser",
        "_reason",
        "_limits",
        "_charge",
        "_may_stream",
    )

    def __init__(self, limits: NetworkLimits, charge: MemoryCharge, may_stream: Callable[[], bool]) -> None:
        """Expects the first response.

        Args:
            limits: the limits of the process.
            charge: the memory of the response.
            may_stream: returns whether the current response may be streamed; called once its head is complete.
        """
        self.status = 0
        self.received_bytes = 0
        self.head_complete = False
        self.complete = False
        self.keep_alive = False
        self.length: int | None = None
        self.chunked = False
        self.body = BodyBuffer()
        self.is_discarded = False
        self.is_large = False
        self.stream: ResponseStream | None = None
        self.not_run = False
        self.units: float = 0
        self.usage: float | None = None
        self.load_report: bytes | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._reason = b""  # phrase in the status line, as far as it was received
        self._limits = limits
        self._charge = charge
        self._may_stream = may_stream

    def expect_response(self) -> None:
        """Resets the state after a request was sent."""
        self.received_bytes = 0
        self.head_complete = False

    def feed(self, data: memoryview) -> str | None:
        """Parses received bytes. Returns a description of the protocol error, or None.

        Even with an error the response may be `complete`, if it precedes the invalid bytes.
        """
        assert self._parser is not None
        self.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return "the response switches protocols"
        except httptools.HttpParserError as error:
            return str(error.__context__ or error)
        limits = self._limits
        max_bytes = limits.max_response_bytes if self.head_complete else limits.max_head_bytes
        if self.received_bytes > max_bytes and not self.is_large:
            # The parser reports a header field only once it is complete, so the raw bytes are limited as well.
            return "the response is too large"
        return None

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body of the current response has neither a length nor chunks (RFC 9112, section 6.3)."""
        return self.head_complete and self.length is None and not self.chunked

    def should_keep_alive(self) -> bool:
        """Whether the server keeps the connection open, according to the parser."""
        return self._parser is not None and self._parser.should_keep_alive()

    def close(self) -> None:
        """Breaks the reference cycles with the parser and the connection, which has ended."""
        self._parser = None
        self._may_stream = _never

    def on_message_begin(self) -> None:
        """Resets the state for a new response."""
        if self.complete:
            raise RemoteProtocolError("an unexpected further response")
        self._reason = b""
        self.body.clear()
        self.is_discarded = False
        self.length = None
        self.chunked = False
        self.not_run = False
        self.units = 0
        self.usage = None
        self.load_report = None

    def on_status(self, part: bytes) -> None:
        """Collects the reason phrase, which may come in parts."""
        self._reason += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reads one header field."""
        self.check_one_response(value)
        if name[:1] in b"xX":
            self._read_extension_field(name.lower(), value)
        elif name[:1] in b"cCtT":
            name = name.lower()
            if name == b"content-length":
                self.length = int(value)  # checked by the parser
            elif name == b"transfer-encoding":
                self.chunked = True  # the parser accepts no other final transfer coding

    def on_headers_complete(self) -> None:
        """Reads the status code, and decides whether the response is to be streamed."""
        self.check_one_response(self._reason)
        assert self._parser is not None
        self.status = self._parser.get_status_code()
        self.head_complete = self.status >= FIRST_FINAL_STATUS
        limits = self._limits
        self.is_large = (
            self.status == OK
            and (self.length is None or limits.max_body_bytes < self.length <= limits.max_streamed_bytes)
            and self._may_stream()
        )
        if self.length is not None and not self.is_large:
            self._charge_body(self.length)

    def on_body(self, part: bytes) -> None:
        """Forwards or appends a part of the body."""
        if self.stream:
            try:
                self.stream.write(part)
            except StreamTooLargeError as error:
                raise RemoteProtocolError(str(error)) from None
        elif self.is_discarded:
            return
        elif self.is_large:
            self.body.append(part)  # received together with the head, before the stream begins
        else:
            if len(self.body) + len(part) > self._limits.max_body_bytes:
                raise RemoteProtocolError("the response body is too large")
            self.body.append(part)
            self._charge_body(len(self.body))

    def on_message_complete(self) -> None:
        """Marks the response as complete."""
        assert self._parser is not None
        if self.head_complete:  # after an interim response (1xx) the final one follows
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()  # the parser knows it in this callback only

    @staticmethod
    def check_one_response(text: bytes) -> None:
        """Raises RemoteProtocolError if a part of the head contains the beginning of another response."""
        if contains_status_line(text):
            raise RemoteProtocolError("a response begins within the head of another")

    def _charge_body(self, size: int) -> None:
        """Charges a body of `size` bytes, or discards it if there is no memory for it."""
        try:
            self._charge.raise_to(min(size, self._limits.max_body_bytes))
        except MemoryShortError:
            self.is_discarded = True
            self.body.clear()
            self._charge.release()

    def _read_extension_field(self, name: bytes, value: bytes) -> None:
        """Reads a header field of the platform's protocol; `name` is in lower case."""
        if name == b"x-not-run":
            self.not_run = value.strip() == b"1"
        elif name == b"x-cost-units":
            self.units = parse_units(value)
        elif name == b"x-ratelimit-used":
            self.usage = parse_quota_use(value)
        elif name == b"x-load":
            self.load_report = value


def _never() -> bool:
    """Returns False: after the end of the connection no response is streamed."""
    return False
