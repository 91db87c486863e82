"""A server connection that streams responses that are too large to buffer to their clients (`response_stream.py`).

The edge node uses it; the system's proxy buffers complete responses, up to its limit.
"""

from .. import terms as t
from .decision_ports import SubmissionEnd
from .exchange import ExchangeT
from .response_stream import ResponseStream
from .server_connection import AWAITING_RESPONSE, CLOSED, IDLE, STREAMING, ServerConnection


class StreamingServerConnection(ServerConnection[ExchangeT]):
    """One connection to a server, which can be the source of a stream (`StreamSource`)."""

    __slots__ = ()

    @property
    def length(self) -> int | None:
        """The length of the streamed body in bytes; None if the response does not declare it."""
        return self.reader.length

    # ---- the source of a stream

    def pause(self) -> None:
        """Stops reading until `resume`, because the client reads the stream too slowly."""
        if self.transport:
            self.transport.pause_reading()
        self._note_progress()

    def resume(self) -> None:
        """Resumes reading. The pause does not count as a stall, as nothing could be received."""
        if self.transport:
            self.transport.resume_reading()
        self._note_progress()

    def detach_client(self) -> None:
        """Closes the connection, because the client of the stream has disconnected."""
        if self.reader.stream:
            self.reader.stream.sink = None
        self.close()

    # ---- the connection

    def close(self) -> None:
        """Closes the connection now, and aborts the client's connection if a stream is in progress."""
        if self.state is CLOSED:
            return
        stream = self.reader.stream
        self.reader.stream = None
        if stream:
            stream.abort()
        super().close()

    def eof_received(self) -> bool:
        """Completes a streamed body that is delimited by the end of the connection."""
        if self.state is STREAMING and self.reader.ends_with_connection:
            self._end_stream()
        return super().eof_received()

    def stream_response(self, error: str | None) -> bool:
        """Streams what was received of a large response. Returns whether it did. `error`: a protocol error in it."""
        if self.state is AWAITING_RESPONSE and error is None:
            self._begin_stream()
        if self.state is not STREAMING:
            return False
        self._note_progress()
        self._continue_stream(error)
        return True

    def _may_stream(self) -> bool:
        """Whether a response may be streamed to the client of the submission."""
        client = self.exchange.client if self.exchange else None
        return client is not None and client.accepts_streams

    def _begin_stream(self) -> None:
        """Completes the transaction: its client gets the head now, and the body as it is received."""
        pool = self.pool
        exchange = self.exchange
        assert exchange is not None
        client = exchange.client
        assert client is not None, "a response is streamed only to a connected client"
        self._cancel_timer()
        self.exchange = None
        self.state = STREAMING
        now_ns = pool.clock()
        reader = self.reader
        received = reader.body.take()
        stream = ResponseStream(client, pool.limits.max_streamed_bytes, now_ns)
        reader.stream = stream
        pool.counts["relayed"] += 1
        pool.counts["done"] += 1
        duration_ns = now_ns - self.sent_at_ns
        index = self.server.index
        pool.driver.submission_ended(
            SubmissionEnd(exchange, self.attempt, index, t.DONE, duration_ns, reader.units, reader.usage, stream=self)
        )
        if client.stream_source is not self:  # the client has disconnected or has got another answer
            reader.stream = None
            self.close()
            return
        if received:
            stream.write(received)
        self._timer = pool.driver.timers.after(pool.limits.stream_stall_timeout_ns, self._check_stall)

    def _continue_stream(self, error: str | None) -> None:
        """Handles received bytes of a stream. `error`: a protocol error in them."""
        if self.reader.complete:  # checked first, as invalid bytes after a complete response do not invalidate it
            self._end_stream()
        if error is None:
            return
        if self.state is IDLE:
            self.protocol_broken(error)
        else:
            self.close()

    def _end_stream(self) -> None:
        """Ends a stream whose response was forwarded completely."""
        reader = self.reader
        reader.complete = False
        stream = reader.stream
        reader.stream = None
        self._cancel_timer()
        if stream:
            stream.complete()
        if self.state is STREAMING and reader.should_keep_alive() and self.server.up:
            reader.is_large = False
            self._become_idle(self.pool.clock())
        else:
            self.close()

    def _check_stall(self) -> None:
        """Aborts a stalled stream and its client's connection."""
        self._timer = None
        stream = self.reader.stream
        if self.state is not STREAMING or stream is None:
            return
        limit_ns = self.pool.limits.stream_stall_timeout_ns
        remaining_ns = stream.stall_time_left_ns(self.pool.clock(), limit_ns)
        if remaining_ns:
            self._timer = self.pool.driver.timers.after(remaining_ns, self._check_stall)
            return
        self.pool.log.record_limited("odd answer", self.server.uid, why="the streamed response stalled")
        self.close()

    def _note_progress(self) -> None:
        """Restarts the stall timeout of the stream, if there is one."""
        if self.reader.stream:
            self.reader.stream.last_progress_ns = self.pool.clock()
