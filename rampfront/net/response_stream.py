"""A server's response that is streamed to its client, because it is too large to buffer.

The transaction is complete when the stream begins, since the client gets its answer with the head. The stream forwards
the body no faster than the client reads it, and aborts the client's connection if the body is truncated.
"""

from .exchange import StreamSink


class StreamTooLargeError(Exception):
    """The body exceeds the maximum size of a stream."""


class ResponseStream:
    """One response that is streamed from a server to a client.

    Attributes:
        sink: the client's connection; None once the client has disconnected.
        last_progress_ns: when bytes were last received, or reading was last paused or resumed.
    """

    __slots__ = ("sink", "last_progress_ns", "_max_bytes", "_passed_bytes")

    def __init__(self, sink: StreamSink, max_bytes: int, now_ns: int) -> None:
        """Starts before the first byte of the body. `max_bytes`: the maximum size of the body."""
        self.sink: StreamSink | None = sink
        self.last_progress_ns = now_ns
        self._max_bytes = max_bytes
        self._passed_bytes = 0

    def write(self, part: bytes) -> None:
        """Forwards a part of the body. Raises StreamTooLargeError."""
        self._passed_bytes += len(part)
        if self._passed_bytes > self._max_bytes:
            raise StreamTooLargeError("response body exceeds the size limit of a stream")
        if self.sink:
            self.sink.write_stream(part)

    def complete(self) -> None:
        """Ends the response after its complete body."""
        sink = self.sink
        self.sink = None
        if sink:
            sink.stream_complete()

    def abort(self) -> None:
        """Aborts the response after a truncated body."""
        sink = self.sink
        self.sink = None
        if sink:
            sink.abort_stream()

    def stall_time_left_ns(self, now_ns: int, limit_ns: int) -> int:
        """The time left until it counts as stalled. It never stalls on a slow client, whose listener has a timeout."""
        remaining_ns = self.last_progress_ns + limit_ns - now_ns
        if remaining_ns > 0 or (self.sink and self.sink.write_paused):
            return max(remaining_ns, limit_ns // 4)
        return 0
