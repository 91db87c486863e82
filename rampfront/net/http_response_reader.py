"""Reads HTTP/1.1 responses from bytes, without I/O: returns complete responses, or raises a typed error.

`httptools` parses the syntax. This module enforces the limits (of the head, of the body, and of the raw bytes of both)
and rejects responses that a client must not trust: without a length, with bytes after their end, or with an upgrade.
"""

from typing import NamedTuple

import httptools

from .body_buffer import BodyBuffer
from .http_parsing import FIELD_OVERHEAD_BYTES, FIRST_FINAL_STATUS, FRAMING_SHIFT

_MAX_HEAD_BYTES = 64 << 10  # including preceding 1xx responses
_STATUSES_WITHOUT_BODY = (204, 304)


class HttpResponse(NamedTuple):
    """A complete response.

    Attributes:
        status: the status code.
        headers: values by lower-case name; the last value if a name occurs more than once.
        body: the body, without chunk framing.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class ResponseError(Exception):
    """The response cannot be trusted, and its connection cannot be used any more."""


class ResponseReader:
    """Reads the responses of one connection, one after another.

    The methods `on_...` are the callbacks of `httptools`. `feed` raises the exceptions that they raise.

    Attributes:
        keep_alive: whether the server keeps the connection open after the last complete response.
    """

    __slots__ = (
        "keep_alive",
        "_parser",
        "_max_body_bytes",
        "_received_bytes",
        "_section_bytes",
        "_status",
        "_headers",
        "_body",
        "_has_length",
        "_response",
    )

    def __init__(self) -> None:
        """Expects no response yet."""
        self.keep_alive = False
        self._parser = httptools.HttpResponseParser(self)
        self._max_body_bytes = 0
        self._received_bytes = 0  # of the current response, with all framing
        self._section_bytes = 0  # of the head, then of the body
        self._status = 0
        self._headers: dict[bytes, bytes] = {}
        self._body = BodyBuffer()
        self._has_length = False  # whether the head determines the end of the body
        self._response: HttpResponse | None = None

    def expect(self, max_body_bytes: int) -> None:
        """Prepares for the response to a request. `max_body_bytes`: the maximum size of its body."""
        self._max_body_bytes = max_body_bytes
        self._received_bytes = 0
        self._status = 0
        self._response = None
        self._start_message()

    def feed(self, data: bytes) -> HttpResponse | None:
        """Parses received bytes.

        Returns:
            The response if it is complete, else None.

        Raises:
            ResponseError: the response is not HTTP/1.1, is too large, or must not be trusted.
        """
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise ResponseError("the response switches protocols") from None
        except httptools.HttpParserError as error:
            if isinstance(error.__context__, ResponseError):  # raised by a callback
                raise error.__context__ from None
            raise ResponseError("no HTTP/1.1") from None
        if self._response is None and self._received_bytes > self._max_received_bytes():
            # The parser reports a field or chunk extension only once it is complete: limit the raw bytes as well.
            raise ResponseError("the response is too large")
        return self._response

    def release(self) -> None:
        """Drops the response, which was returned or is not awaited any more."""
        self._response = None
        self._body.clear()

    def on_message_begin(self) -> None:
        """Resets the state for a new response."""
        if self._response is not None:
            raise ResponseError("bytes behind the answer")
        self._start_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reads one header field."""
        self._section_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self._section_bytes > _MAX_HEAD_BYTES:
            raise ResponseError("the head of the response is too large")
        name = name.lower()
        self._headers[name] = value
        if name in (b"transfer-encoding", b"content-length"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Reads the status code, and checks that a final response has a length."""
        self._status = self._parser.get_status_code()
        self._section_bytes = 0
        if self._status >= FIRST_FINAL_STATUS and not self._has_length and self._status not in _STATUSES_WITHOUT_BODY:
            # Without a length, a truncated response could not be distinguished from a complete one.
            raise ResponseError("the response has no length")

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body."""
        self._section_bytes += len(part)
        if self._section_bytes > self._max_body_bytes:
            raise ResponseError("the response is too large")
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Stores a final response; after an interim one (1xx) the final one follows."""
        if self._status >= FIRST_FINAL_STATUS:
            self.keep_alive = self._parser.should_keep_alive()
            self._response = HttpResponse(self._status, self._headers, self._body.take())

    def _start_message(self) -> None:
        """Drops the state of the previous message."""
        self._headers = {}
        self._body.clear()
        self._section_bytes = 0
        self._has_length = False

    def _max_received_bytes(self) -> int:
        """The maximum size of a raw response, with all framing."""
        return _MAX_HEAD_BYTES + self._max_body_bytes + (self._max_body_bytes >> FRAMING_SHIFT)
