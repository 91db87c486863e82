"""Reads the responses of one server connection, without I/O: bytes go in, responses and breaches of the protocol out.

The syntax is `httptools`'s matter. This module keeps the limits, and reads the header fields of the platform's
protocol; the system's proxy has its own (`proxy/server_response_reader.py`).
"""

from collections.abc import Callable

import httptools

from .http_parsing import FIRST_FINAL_STATUS
from .http_status import OK
from .limits import NetworkLimits
from .response_stream import ResponseStream, StreamTooLargeError
from .server_response import parse_quota_use, parse_units


class RemoteProtocolError(Exception):
    """The server broke the protocol. The submission that is out may have run."""


class ServerResponseReader:
    """Reads the responses of one connection. The methods `on_...` are the callbacks of `httptools`.

    Attributes:
        status: the status code of the response whose head came last.
        received_bytes: bytes of the present response, with all framing.
        head_complete: the head of the final response is complete.
        complete: the final response is complete.
        keep_alive: the server keeps the connection behind it.
        length: bytes of the body, as the head has it; None if it does not say.
        chunked: the body comes in chunks.
        body_parts: the body, as it came.
        is_large: the response is to be streamed: it is too large to keep, or of unknown length.
        stream: what passes the body on, once it is streamed.
        not_run: the server says that it has not run the submission.
        units: what the server says that the transaction drew; 0 if it does not say.
        use: what the server says that the account used of its quota; None if it does not say.
        load_report: the text of a report of load; None if there is none.
    """

    __slots__ = (
        "status",
        "received_bytes",
        "head_complete",
        "complete",
        "keep_alive",
        "length",
        "chunked",
        "body_parts",
        "is_large",
        "stream",
        "not_run",
        "units",
        "usage",
        "load_report",
        "_parser",
        "_limits",
        "_may_stream",
        "_body_bytes",
    )

    def __init__(self, limits: NetworkLimits, may_stream: Callable[[], bool]) -> None:
        """Expects the first response.

        Args:
            limits: the limits of the process.
            may_stream: whether the present response may be streamed; called once its head is complete.
        """
        self.status = 0
        self.received_bytes = 0
        self.head_complete = False
        self.complete = False
        self.keep_alive = False
        self.length: int | None = None
        self.chunked = False
        self.body_parts: list[bytes] = []
        self.is_large = False
        self.stream: ResponseStream | None = None
        self.not_run = False
        self.units: float = 0
        self.usage: float | None = None
        self.load_report: bytes | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._limits = limits
        self._may_stream = may_stream
        self._body_bytes = 0

    def expect_response(self) -> None:
        """A request was sent."""
        self.received_bytes = 0
        self.head_complete = False

    def feed(self, data: memoryview) -> str | None:
        """Takes bytes as they came. Returns how they break the protocol, or None.

        The response may be `complete` all the same: it stands in front of what breaks the protocol.
        """
        assert self._parser is not None
        self.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return "wants to upgrade"
        except httptools.HttpParserError as error:
            return str(error.__context__ or error)
        limits = self._limits
        max_bytes = limits.max_response_bytes if self.head_complete else limits.max_head_bytes
        if self.received_bytes > max_bytes and not self.is_large:
            # The parser gathers a field until it is complete, so a head that never ends reaches no callback.
            return "the answer never ends"
        return None

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body of the present response has neither a length nor chunks (RFC 9112, section 6.3)."""
        return self.head_complete and self.length is None and not self.chunked

    def should_keep_alive(self) -> bool:
        """Whether the server keeps the connection, as the parser sees it now."""
        return self._parser is not None and self._parser.should_keep_alive()

    def take_body(self) -> list[bytes]:
        """Hands over the body that came so far."""
        parts = self.body_parts
        self.body_parts = []
        return parts

    def close(self) -> None:
        """Drops what refers back to this reader and its connection, which has ended."""
        self._parser = None
        self._may_stream = _never

    def on_message_begin(self) -> None:
        """A response begins."""
        if self.complete:
            raise RemoteProtocolError("an answer too many")
        self.body_parts = []
        self.length = None
        self.chunked = False
        self.not_run = False
        self.units = 0
        self.usage = None
        self.load_report = None
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header field."""
        if name[:1] in b"xX":
            self._read_extension_field(name.lower(), value)
        elif name[:1] in b"cCtT":
            name = name.lower()
            if name == b"content-length":
                self.length = int(value)  # the parser has checked it
            elif name == b"transfer-encoding":
                self.chunked = True  # the parser takes no other last coding

    def on_headers_complete(self) -> None:
        """The head is complete."""
        assert self._parser is not None
        self.status = self._parser.get_status_code()
        self.head_complete = self.status >= FIRST_FINAL_STATUS
        limits = self._limits
        self.is_large = (
            self.status == OK
            and (self.length is None or limits.max_body_bytes < self.length <= limits.max_streamed_bytes)
            and self._may_stream()
        )

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        if self.stream:
            try:
                self.stream.write(part)
            except StreamTooLargeError as error:
                raise RemoteProtocolError(str(error)) from None
        elif self.is_large:
            self.body_parts.append(bytes(part))  # what came with the head, until the stream begins
        else:
            self._body_bytes += len(part)
            if self._body_bytes > self._limits.max_body_bytes:
                raise RemoteProtocolError("the answer is too large")
            self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """A response is complete."""
        assert self._parser is not None
        if self.head_complete:  # else it was a 1xx, and the final response follows
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()  # the parser tells it in this callback alone

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
    """No response is streamed any more."""
    return False
