"""Reads HTTP/1.1 responses from bytes, without I/O: bytes go in, complete responses or a typed error come out.

The syntax is `httptools`'s matter. This module keeps the limits (head, body, and the bytes of both as they come) and
refuses what a client must not trust: a response without a length, bytes behind a response, an upgrade.
"""

from typing import NamedTuple

import httptools

from .http_parsing import FIELD_OVERHEAD_BYTES, FIRST_FINAL_STATUS, FRAMING_SHIFT

_MAX_HEAD_BYTES = 64 << 10  # 1xx responses in front of it included
_STATUSES_WITHOUT_BODY = (204, 304)


class HttpResponse(NamedTuple):
    """A complete response.

    Attributes:
        status: the status code.
        headers: values by lower-case name; of a name that comes twice the last.
        body: the body, without chunk framing.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class ResponseError(Exception):
    """The response cannot be trusted; the connection is of no further use."""


class ResponseReader:
    """Reads the responses of one connection, one after another.

    The methods `on_...` are the callbacks of `httptools`. What they raise comes out of `feed`.

    Attributes:
        keep_alive: whether the server keeps the connection behind the last complete response.
    """

    __slots__ = (
        "keep_alive",
        "_parser",
        "_max_body_bytes",
        "_received_bytes",
        "_section_bytes",
        "_status",
        "_headers",
        "_parts",
        "_has_length",
        "_response",
    )

    def __init__(self) -> None:
        """Expects no response yet."""
        self.keep_alive = False
        self._parser = httptools.HttpResponseParser(self)
        self._max_body_bytes = 0
        self._received_bytes = 0  # of the present response, with all framing
        self._section_bytes = 0  # of the head, then of the body
        self._status = 0
        self._headers: dict[bytes, bytes] = {}
        self._parts: list[bytes] = []
        self._has_length = False  # the head says where the body ends
        self._response: HttpResponse | None = None

    def expect(self, max_body_bytes: int) -> None:
        """Prepares for the response to a request. `max_body_bytes`: the largest body that is accepted."""
        self._max_body_bytes = max_body_bytes
        self._received_bytes = 0
        self._status = 0
        self._response = None
        self._start_message()

    def feed(self, data: bytes) -> HttpResponse | None:
        """Takes bytes as they came.

        Returns:
            The response once it is complete, else None.

        Raises:
            ResponseError: what came is not HTTP/1.1, is too large, or must not be trusted.
        """
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise ResponseError("an upgrade") from None
        except httptools.HttpParserError as error:
            if isinstance(error.__context__, ResponseError):  # of a callback
                raise error.__context__ from None
            raise ResponseError("no HTTP/1.1") from None
        if self._response is None and self._received_bytes > self._max_received_bytes():
            # A field or chunk extension without an end reaches no callback, so the raw bytes are limited as well.
            raise ResponseError("an answer too large")
        return self._response

    def release(self) -> None:
        """Drops what was read: the response was handed over, or nobody waits for it."""
        self._response = None
        self._parts = []

    def on_message_begin(self) -> None:
        """A response begins."""
        if self._response is not None:
            raise ResponseError("bytes behind the answer")
        self._start_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header field."""
        self._section_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self._section_bytes > _MAX_HEAD_BYTES:
            raise ResponseError("a head too large")
        name = name.lower()
        self._headers[name] = value
        if name in (b"transfer-encoding", b"content-length"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self._status = self._parser.get_status_code()
        self._section_bytes = 0
        if self._status >= FIRST_FINAL_STATUS and not self._has_length and self._status not in _STATUSES_WITHOUT_BODY:
            # Without a length, a response cut short could not be told from a complete one.
            raise ResponseError("an answer without a length")

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self._section_bytes += len(part)
        if self._section_bytes > self._max_body_bytes:
            raise ResponseError("an answer too large")
        self._parts.append(part)

    def on_message_complete(self) -> None:
        """The response is complete, or it was a 1xx and the final one follows."""
        if self._status >= FIRST_FINAL_STATUS:
            self.keep_alive = self._parser.should_keep_alive()
            self._response = HttpResponse(self._status, self._headers, b"".join(self._parts))

    def _start_message(self) -> None:
        """Forgets the message before."""
        self._headers = {}
        self._parts = []
        self._section_bytes = 0
        self._has_length = False

    def _max_received_bytes(self) -> int:
        """Bytes that a response may have as it comes, with all framing."""
        return _MAX_HEAD_BYTES + self._max_body_bytes + (self._max_body_bytes >> FRAMING_SHIFT)
