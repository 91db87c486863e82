"""Reads HTTP/1.1 requests from bytes, without I/O: bytes go in, complete requests or an error with a status come out.

The syntax is `httptools`'s matter. This module keeps the limits: of the head, of the body as its endpoint has it, of
the raw bytes of both, and of the bodies of all connections together (`BodyBudget`).
"""

from collections.abc import Callable
from typing import NamedTuple

import httptools

from .http_parsing import FIELD_OVERHEAD_BYTES, FRAMING_SHIFT, feed_request
from .http_status import (
    BAD_REQUEST,
    CONTENT_TOO_LARGE,
    HEADER_FIELDS_TOO_LARGE,
    SERVICE_UNAVAILABLE,
    HttpStatusError,
)

_MAX_LENGTH_DIGITS = 20


class BodyBudget:
    """Memory for the request bodies of all connections together; those that came first are read.

    Attributes:
        used_bytes: what is buffered now.
    """

    def __init__(self, max_bytes: int) -> None:
        """Starts unused. `max_bytes`: of all bodies together."""
        self.used_bytes = 0
        self._max_bytes = max_bytes

    def check(self, size: int) -> None:
        """Raises HttpStatusError (503) if `size` more bytes would exceed the budget."""
        if size and self.used_bytes + size > self._max_bytes:
            raise HttpStatusError(SERVICE_UNAVAILABLE, "too many large bodies at once")

    def reserve(self, size: int) -> None:
        """Takes `size` bytes. Raises HttpStatusError (503) if that would exceed the budget."""
        self.check(size)
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Gives `size` bytes back."""
        self.used_bytes -= size


IDEMPOTENCY_KEY = b"idempotency-key"  # by which a sender names a request, on each repeat anew (IETF draft)


class RawRequest(NamedTuple):
    """A complete request as it came."""

    method: bytes
    target: bytes
    body: bytes
    idempotency_key: bytes = b""  # the value of that field


class RequestReader:
    """Reads the requests of one connection, one at a time. The methods `on_...` are the callbacks of `httptools`.

    Attributes:
        message_begun: a request has begun and is not complete.
        head_complete: the head of the present request, or of the one before, is complete.
        complete: a request is complete and waits for `take`.
        awaiting_response: a request was taken and is not responded to; a further one is refused.
        last: no request is read behind the present one.
        continue_wanted: the sender waits for 100 Continue (RFC 9110, section 10.1.1).
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
        "_budget",
        "_max_head_bytes",
        "_max_body_bytes",
        "_max_received_bytes",
        "_received_bytes",
        "_section_bytes",
        "_content_length",
        "_expects_continue",
        "_target",
        "_idempotency_key",
        "_body_parts",
        "_reserved_bytes",
    )

    def __init__(self, max_head_bytes: int, body_limit: Callable[[bytes], int], budget: BodyBudget) -> None:
        """Expects the first request.

        Args:
            max_head_bytes: the largest head.
            body_limit: gives the largest body in bytes for a request target.
            budget: memory for the bodies of all connections.
        """
        self.message_begun = False
        self.head_complete = False
        self.complete = False
        self.awaiting_response = False
        self.last = False
        self.continue_wanted = False
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._body_limit = body_limit
        self._budget = budget
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = 0
        self._max_received_bytes = 0  # of a request as it comes, once its head is complete
        self._received_bytes = 0
        self._section_bytes = 0  # of the head, then of the body
        self._content_length = 0
        self._expects_continue = False
        self._target = b""
        self._idempotency_key = b""
        self._body_parts: list[bytes] = []
        self._reserved_bytes = 0  # of the budget

    def feed(self, data: bytes) -> HttpStatusError | None:
        """Takes bytes as they came.

        Returns:
            Why they cannot be followed, or None. A request may be `complete` all the same: it stands in front of them.
        """
        assert self._parser is not None
        self._received_bytes += len(data)
        return feed_request(self._parser, data) or self._check_received()

    def take(self) -> RawRequest:
        """Hands over the complete request. Its part of the budget stays reserved until `release_body`."""
        assert self._parser is not None
        parts = self._body_parts
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        request = RawRequest(self._parser.get_method(), self._target, body, self._idempotency_key)
        self._body_parts = []
        self._target = b""
        return request

    def release_body(self) -> None:
        """Drops the body, and gives its part of the budget back."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._body_parts = []

    def close(self) -> None:
        """Drops the body and the parser, which refers back to this reader: the connection has ended."""
        self.release_body()
        self._parser = None

    def on_message_begin(self) -> None:
        """A request begins."""
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
        """A part of the request target."""
        self._target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header field."""
        self._count_head(len(name) + len(value) + FIELD_OVERHEAD_BYTES)
        name = name.lower()
        if name == b"content-length":
            digits = value[:_MAX_LENGTH_DIGITS]
            self._content_length = int(digits) if digits.isdigit() else 0  # the parser refuses all but numbers
        elif name == b"expect":
            self._expects_continue = True
        elif name == IDEMPOTENCY_KEY:
            self._idempotency_key = value

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self.head_complete = True
        self._section_bytes = 0
        self._max_body_bytes = self._body_limit(self._target)
        framing_bytes = self._max_body_bytes >> FRAMING_SHIFT
        self._max_received_bytes = self._max_head_bytes + self._max_body_bytes + framing_bytes
        if self._content_length > self._max_body_bytes:
            raise HttpStatusError(CONTENT_TOO_LARGE, "the body is too large")
        self._budget.check(self._content_length)
        self.continue_wanted = self._expects_continue

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self._section_bytes += len(part)
        if self._section_bytes > self._max_body_bytes:
            raise HttpStatusError(CONTENT_TOO_LARGE, "the body is too large")
        self._budget.reserve(len(part))
        self._reserved_bytes += len(part)
        self._body_parts.append(part)

    def on_message_complete(self) -> None:
        """The request is complete."""
        assert self._parser is not None
        self.message_begun = False
        self.complete = True
        self._received_bytes = 0
        if not self._parser.should_keep_alive():
            self.last = True

    def _count_head(self, size: int) -> None:
        """Counts bytes of the head. Raises HttpStatusError if it is too large."""
        self._section_bytes += size
        if self._section_bytes > self._max_head_bytes:
            raise HttpStatusError(HEADER_FIELDS_TOO_LARGE, "the head is too large")

    def _check_received(self) -> HttpStatusError | None:
        """Checks the raw bytes: a field or a chunk extension without an end reaches no callback."""
        if not self.message_begun:
            return None
        if not self.head_complete:
            if self._received_bytes > self._max_head_bytes:
                return HttpStatusError(HEADER_FIELDS_TOO_LARGE, "the head is too large")
        elif self._received_bytes > self._max_received_bytes:
            return HttpStatusError(CONTENT_TOO_LARGE, "the body is too large")
        return None
