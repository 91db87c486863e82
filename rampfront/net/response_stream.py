"""A server's response that is passed to its client as it comes, because it is too large to be kept.

The client has its answer from the head on, so the transaction is over when the stream begins. What is left is to pass
the body on, no faster than the client takes it, and to cut the client's connection where the body breaks off.
"""

from .exchange import StreamSink


class StreamTooLargeError(Exception):
    """The body is larger than a stream may be."""


class ResponseStream:
    """One response on its way from a server to a client.

    Attributes:
        sink: the client's connection; None once the client has gone.
        last_progress_ns: when bytes last came, or could come again.
    """

    __slots__ = ("sink", "last_progress_ns", "_max_bytes", "_passed_bytes")

    def __init__(self, sink: StreamSink, max_bytes: int, now_ns: int) -> None:
        """Has passed nothing yet. `max_bytes`: the largest body."""
        self.sink: StreamSink | None = sink
        self.last_progress_ns = now_ns
        self._max_bytes = max_bytes
        self._passed_bytes = 0

    def write(self, part: bytes) -> None:
        """Passes on a part of the body. Raises StreamTooLargeError."""
        self._passed_bytes += len(part)
        if self._passed_bytes > self._max_bytes:
            raise StreamTooLargeError("the answer is too large")
        if self.sink:
            self.sink.write_stream(part)

    def complete(self) -> None:
        """The body has been passed on completely."""
        sink = self.sink
        self.sink = None
        if sink:
            sink.stream_complete()

    def abort(self) -> None:
        """The body broke off."""
        sink = self.sink
        self.sink = None
        if sink:
            sink.abort_stream()

    def stall_time_left_ns(self, now_ns: int, limit_ns: int) -> int:
        """How long it may go on without progress. A client that takes it slowly is its own listener's matter."""
        remaining_ns = self.last_progress_ns + limit_ns - now_ns
        if remaining_ns > 0 or (self.sink and self.sink.write_paused):
            return max(remaining_ns, limit_ns // 4)
        return 0
