"""Reads HTTP/1.1 requests from bytes, without I/O: returns complete requests, or an error with a status code.

`httptools` parses the syntax. This module enforces the limits: of the head, of the body according to its endpoint, of
the raw bytes of both, and charges what it keeps to the connection's memory (`memory_account`).
"""

from collections.abc import Callable
from typing import NamedTuple

import httptools

from .body_buffer import BodyBuffer
from .http_parsing import FIELD_OVERHEAD_BYTES, FRAMING_SHIFT, feed_request
from .http_status import (
    BAD_REQUEST,
    CONTENT_TOO_LARGE,
    HEADER_FIELDS_TOO_LARGE,
    HttpStatusError,
)
from .memory_account import HEAD_COPIES, MemoryCharge, MemoryShortError
from .request_size import RequestSize

_MAX_LENGTH_DIGITS = 20


IDEMPOTENCY_KEY = b"idempotency-key"  # the same on each retry of a request (IETF draft)


class RawRequest(NamedTuple):
    """A complete request as received."""

    method: bytes
    target: bytes
    body: bytes
    idempotency_key: bytes = b""  # empty if the field is absent


class RequestReader:
    """Reads the requests of one connection, one at a time. The methods `on_...` are the callbacks of `httptools`.

    Attributes:
        message_begun: whether a request has begun and is not complete.
        head_complete: whether the head of the current request, or else of the previous one, is complete.
        complete: whether a request is complete and waits for `take`.
        awaiting_response: whether the response to a taken request is pending; a further request is refused.
        last: whether no further request is read after the current one.
        continue_wanted: whether the sender waits for 100 Continue (RFC 9110, section 10.1.1).
    """

    __slots__ = (
        "message_begun",
        "head_complete",
        "complete",
        "awaiting_response",
        "last",
        "continue_wanted",
        "_parser",
        "_body_limit",
        "_charge",
        "_max_head_bytes",
        "_max_body_bytes",
        "_max_received_bytes",
        "_size",
        "_section_bytes",
        "_content_length",
        "_expects_continue",
        "_target",
        "_idempotency_key",
        "_body",
    )

    def __init__(self, max_head_bytes: int, body_limit: Callable[[bytes], int], charge: MemoryCharge) -> None:
        """Expects the first request.

        Args:
            max_head_bytes: the maximum size of a head.
            body_limit: returns the maximum size of the body in bytes for a request target.
            charge: the memory of the connection.
        """
        self.message_begun = False
        self.head_complete = False
        self.complete = False
        self.awaiting_response = False
        self.last = False
        self.continue_wanted = False
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._body_limit = body_limit
        self._charge = charge
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = 0
        self._max_received_bytes = 0  # of the raw request, set once its head is complete
        self._size = RequestSize()
        self._section_bytes = 0  # of the head, then of the body
        self._content_length = 0
        self._expects_continue = False
        self._target = b""
        self._idempotency_key = b""
        self._body = BodyBuffer()

    def feed(self, data: bytes) -> HttpStatusError | None:
        """Parses received bytes.

        Returns:
            The error, or None. Even with an error a request may be `complete`, if it precedes the invalid bytes.
        """
        assert self._parser is not None
        self._size.received_bytes += len(data)
        error = feed_request(self._parser, data)
        if error is None and not self.complete:
            error = self._check_received()
        if error is None or self.complete:
            error = self._charge_received() or error
        if self.complete:
            self._size.reset()
        return error

    def take(self) -> RawRequest:
        """Returns the complete request. It stays charged until the connection's response."""
        assert self._parser is not None
        request = RawRequest(self._parser.get_method(), self._target, self._body.take(), self._idempotency_key)
        self._target = b""
        return request

    def discardable_bytes(self) -> int:
        """Returns how much input is read and discarded once the current request is refused."""
        return self._size.discardable_bytes(self._max_body_bytes)

    def close(self) -> None:
        """Drops the body and the parser once nothing more is read. The parser refers back to this reader."""
        self._body.clear()
        self._target = b""
        self._parser = None

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        if self.awaiting_response or self.complete:
            raise HttpStatusError(BAD_REQUEST, "one call at a time")
        if self.last and self.head_complete:
            raise HttpStatusError(BAD_REQUEST, "nothing more is read here")
        self.message_begun = True
        self.head_complete = False
        self._expects_continue = False
        self._target = b""
        self._idempotency_key = b""
        self._section_bytes = 0
        self._content_length = 0

    def on_url(self, part: bytes) -> None:
        """Appends a part of the request target."""
        self._target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reads one header field."""
        self._count_head(len(name) + len(value) + FIELD_OVERHEAD_BYTES)
        name = name.lower()
        if name == b"content-length":
            digits = value[:_MAX_LENGTH_DIGITS]
            self._content_length = int(digits) if digits.isdigit() else 0  # the parser accepts numbers only
        elif name == b"expect":
            self._expects_continue = True
        elif name == IDEMPOTENCY_KEY:
            self._idempotency_key = value

    def on_headers_complete(self) -> None:
        """Checks the declared length of the body against the limits."""
        self.head_complete = True
        self._size.head_completed(self._section_bytes)
        self._section_bytes = 0
        self._max_body_bytes = self._body_limit(self._target)
        framing_bytes = self._max_body_bytes >> FRAMING_SHIFT
        self._max_received_bytes = self._max_head_bytes + self._max_body_bytes + framing_bytes
        if self._content_length > self._max_body_bytes:
            raise HttpStatusError(CONTENT_TOO_LARGE, "the body is too large")
        self._charge.raise_to(HEAD_COPIES * self._size.head_bytes + self._content_length)
        self.continue_wanted = self._expects_continue

    def on_chunk_header(self) -> None:
        """Notes a chunk of the body."""
        self._size.chunk_begun()

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body."""
        self._section_bytes += len(part)
        self._size.body_received(len(part))
        if self._section_bytes > self._max_body_bytes:
            raise HttpStatusError(CONTENT_TOO_LARGE, "the body is too large")
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Marks the request as complete."""
        assert self._parser is not None
        self.message_begun = False
        self.complete = True
        if not self._parser.should_keep_alive():
            self.last = True

    def _count_head(self, size: int) -> None:
        """Counts bytes of the head. Raises HttpStatusError if it is too large."""
        self._section_bytes += size
        if self._section_bytes > self._max_head_bytes:
            raise HttpStatusError(HEADER_FIELDS_TOO_LARGE, "the head is too large")

    def _charge_received(self) -> HttpStatusError | None:
        """Charges what is kept of the request. Returns the error if there is no memory for it."""
        if not self.message_begun and not self.complete:
            return None
        try:
            self._charge.raise_to(HEAD_COPIES * self._size.head_bytes + len(self._body))
        except MemoryShortError as error:
            self.complete = False
            return error
        return None

    def _check_received(self) -> HttpStatusError | None:
        """Limits the raw bytes, of which the parser reports nothing until a field or a chunk is complete."""
        if self.message_begun and self.head_complete and self._size.received_bytes > self._max_received_bytes:
            return HttpStatusError(CONTENT_TOO_LARGE, "the body is too large")
        return self._size.check(self._max_head_bytes)
