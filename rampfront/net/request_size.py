"""Limits the raw bytes of a request beside its body: empty lines in front, the head, chunk extensions and trailers.

The parser keeps a header or trailer field in memory until it is complete, and reports neither chunk extensions nor
empty lines in front of a request. So their raw bytes are counted.
"""

from .http_status import HEADER_FIELDS_TOO_LARGE, HttpStatusError

MAX_IN_FLIGHT_BYTES = 4 << 20  # that a peer may have sent before it can know of its refusal
_LINE_BYTES = 64  # of method, version and line ends, which the limit of the head does not include
_CHUNK_LINE_BYTES = 24  # the size of a chunk and its line ends


class RequestSize:
    """The raw size of the request that a connection is reading.

    Attributes:
        received_bytes: the raw bytes of the request so far, with empty lines in front of it.
    """

    __slots__ = ("received_bytes", "_body_bytes", "_chunks", "_head_bytes")

    def __init__(self) -> None:
        """Starts before the first request."""
        self.received_bytes = 0
        self._body_bytes = 0
        self._chunks = 0
        self._head_bytes = 0  # of a complete head

    def reset(self) -> None:
        """Begins anew after a complete request."""
        self.received_bytes = 0
        self._body_bytes = 0
        self._chunks = 0
        self._head_bytes = 0

    @property
    def head_bytes(self) -> int:
        """The size of the head, as far as it was received."""
        return self._head_bytes or self.received_bytes

    def head_completed(self, head_bytes: int) -> None:
        """Notes the end of the head. Trailers and chunk extensions together may have as many bytes again."""
        self._head_bytes = head_bytes

    def chunk_begun(self) -> None:
        """Notes a chunk, whose line is part of any chunked body."""
        self._chunks += 1

    def body_received(self, size: int) -> None:
        """Notes bytes of the body."""
        self._body_bytes += size

    def discardable_bytes(self, max_body_bytes: int) -> int:
        """Returns how much input of a refused request is read and discarded: its rest, and what may be in flight."""
        rest_bytes = max(0, max_body_bytes - self._body_bytes) if self._head_bytes else 0
        return rest_bytes + MAX_IN_FLIGHT_BYTES

    def check(self, max_head_bytes: int) -> HttpStatusError | None:
        """Returns the error of a request that has too many bytes beside its body; to be called once all are parsed."""
        other_bytes = self.received_bytes - self._body_bytes - self._chunks * _CHUNK_LINE_BYTES
        max_bytes = max_head_bytes + _LINE_BYTES
        if self._head_bytes:
            max_bytes += max_head_bytes
        if other_bytes > max_bytes:
            return HttpStatusError(HEADER_FIELDS_TOO_LARGE, "the head is too large")
        return None
