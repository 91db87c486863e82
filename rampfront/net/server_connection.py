"""One connection to one server: a submission or a health check at a time.

States:

    CONNECTING --connected--> AWAITING_RESPONSE --complete--> IDLE --next submission--> AWAITING_RESPONSE
                                  |
                                  +--too large to keep--> STREAMING --complete--> IDLE

and from each of them CLOSED; STREAMING is the matter of `streaming_connection.py`. Every submission ends once, in
`finish`, with how it ended: CONNECT_FAILED and NOT_ACCEPTED say that the server has not run it, DONE and ERROR that it
has; for all others it may have run. What was handed to the kernel or waits in a buffer of ours counts as sent.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Any, Generic, Protocol, cast

from .. import terms as t
from .decision_driver import DecisionDriver
from .decision_ports import SubmissionEnd
from .event_log import EventLog
from .exchange import ExchangeT
from .http_status import INTERNAL_SERVER_ERROR, OK
from .limits import NetworkLimits
from .server import Server
from .server_response_reader import ServerResponseReader
from .socket_calls import has_unread_input, shut_down
from .timers import Timer

_NS_PER_MS = 10**6
_MAY_BE_UNRUN = (503, 504)  # statuses with which a server may say that it has not run a submission
_ENDS = {OK: t.DONE, INTERNAL_SERVER_ERROR: t.ERROR}  # how a submission ended, by the status of its response
_COUNTERS = {
    t.DONE: "done",
    t.ERROR: "error",
    t.NOT_ACCEPTED: "unseen",
    t.TIMED_OUT: "timed_out",
    t.CONNECTION_LOST: "broken",
    t.CANCELLED: "cancelled",
    t.CONNECT_FAILED: "unseen",
}


class ConnectionState(Enum):
    """Where a connection stands."""

    CONNECTING = "connecting"
    IDLE = "idle"
    AWAITING_RESPONSE = "awaiting response"
    STREAMING = "streaming"
    CLOSED = "closed"


# Looked up once: a member of an `Enum` costs a search each time (Python 3.11), and these are compared for every read.
CONNECTING = ConnectionState.CONNECTING
IDLE = ConnectionState.IDLE
AWAITING_RESPONSE = ConnectionState.AWAITING_RESPONSE
STREAMING = ConnectionState.STREAMING
CLOSED = ConnectionState.CLOSED


class ConnectionPool(Protocol[ExchangeT]):
    """The pool of a connection, as far as the connection needs it."""

    clock: Callable[[], int]
    counts: dict[str, int]
    driver: DecisionDriver[ExchangeT]
    limits: NetworkLimits
    log: EventLog
    read_buffer: memoryview
    health_check_request: bytes
    connections: int

    def health_check_ended(
        self, connection: "ServerConnection[ExchangeT]", outcome: int, duration_ns: int, report: bytes | None
    ) -> None:
        """A health check has ended."""
        raise NotImplementedError


class ServerConnection(asyncio.BufferedProtocol, Generic[ExchangeT]):
    """One connection to a server.

    Attributes:
        pool: its pool.
        server: its server.
        transport: the transport; None until it is connected.
        reader: reads the responses.
        state: where it stands.
        exchange: the exchange of the submission that is out; None for a health check.
        attempt: the number of the submission among those of its exchange.
        sent_at_ns: when the submission or health check began.
        idle_since_ns: when it became idle.
    """

    __slots__ = (
        "pool",
        "server",
        "transport",
        "reader",
        "state",
        "exchange",
        "attempt",
        "sent_at_ns",
        "idle_since_ns",
        "_connect_task",
        "_due_ns",
        "_timer",
    )
    reader_type: type[ServerResponseReader] = ServerResponseReader

    def __init__(self, pool: ConnectionPool[ExchangeT], server: "Server[ServerConnection[ExchangeT]]") -> None:
        """Starts unconnected; see `set_connect_task`."""
        self.pool = pool
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = self.reader_type(pool.limits, self._may_stream)
        self.state = CONNECTING
        self.exchange: ExchangeT | None = None
        self.attempt = 0
        self.sent_at_ns = 0
        self.idle_since_ns = 0
        self._connect_task: asyncio.Task[Any] | None = None
        self._due_ns = 0  # when the submission or health check times out
        self._timer: Timer | None = None

    @property
    def usable(self) -> bool:
        """Whether an idle connection can take a submission: nothing came on it that was not asked for."""
        transport = self.transport
        return transport is not None and not transport.is_closing() and not has_unread_input(transport)

    # ---- a submission or health check

    def set_connect_task(self, task: "asyncio.Task[Any]") -> None:
        """The task that connects it; its failure ends the submission."""
        self._connect_task = task
        task.add_done_callback(self._connect_ended)

    def begin(self, exchange: ExchangeT | None, attempt: int, timeout_ns: int) -> None:
        """Begins a submission, or a health check (`exchange` None), which may take `allow_ns`."""
        now_ns = self.pool.clock()
        self.exchange = exchange
        self.attempt = attempt
        self.sent_at_ns = now_ns
        if exchange:
            exchange.submissions[attempt] = self
        self._due_ns = now_ns + timeout_ns
        if self.state is IDLE:
            self._send(timeout_ns)
        else:
            connect_timeout_ns = min(timeout_ns, self.pool.limits.connect_timeout_ns)
            self._timer = self.pool.driver.timers.at(now_ns + connect_timeout_ns, self._time_out)

    def write_request(self, exchange: ExchangeT, remaining_ns: int) -> None:
        """Writes a submission; `left_ns`: the time that the server has for it."""
        assert self.transport is not None
        left_ms = remaining_ns // _NS_PER_MS
        self.transport.write(b"%sX-Deadline-Ms: %d\r\n\r\n%s" % (exchange.head, left_ms, exchange.body))

    def finish(self, outcome: int, keep: bool = False) -> None:
        """Ends the submission or health check: the one way in which it does.

        Args:
            how: DONE, ERROR, ... of `terms.py`.
            keep: whether the connection may be used again.
        """
        pool = self.pool
        exchange = self.exchange
        if self._timer:
            pool.driver.timers.cancel(self._timer)
            self._timer = None
        now_ns = pool.clock()
        duration_ns = now_ns - self.sent_at_ns
        end = self.submission_end(exchange, outcome, duration_ns) if exchange else None
        report = self.health_report() if end is None and outcome == t.DONE else None
        self.exchange = None
        self.reader.body_parts = []  # an idle connection holds nothing of its last response
        if keep and self.server.up:
            self._become_idle(now_ns)
        else:
            self.close()
        if end:
            pool.counts[_COUNTERS[outcome]] += 1
            pool.driver.submission_ended(end)
        else:
            pool.health_check_ended(self, outcome, duration_ns, report)

    def submission_end(self, exchange: ExchangeT, outcome: int, duration_ns: int) -> SubmissionEnd[ExchangeT]:
        """What the driver is told of a submission that ended as `how` after `took_ns`."""
        reader = self.reader
        index = self.server.index
        if outcome == t.DONE:
            body = b"".join(reader.body_parts)
            return SubmissionEnd(exchange, self.attempt, index, outcome, duration_ns, reader.units, reader.usage, body)
        usage = reader.usage if outcome == t.ERROR else None
        return SubmissionEnd(exchange, self.attempt, index, outcome, duration_ns, 0, usage)

    def health_report(self) -> bytes | None:
        """The report of load in the response to a health check: its body, or else a header field."""
        return b"".join(self.reader.body_parts) or self.reader.load_report

    def conclude(self, intact: bool) -> None:
        """Ends the submission with its complete response. `intact`: nothing that breaks the protocol came behind it."""
        self.reader.complete = False
        status = self.reader.status
        outcome = _ENDS.get(status)
        if outcome is None:
            outcome = t.NOT_ACCEPTED if self.reader.not_run and status in _MAY_BE_UNRUN else t.ERROR
            if status not in _MAY_BE_UNRUN:
                self.pool.log.record_limited("odd status", self.server.uid, status=status)
        self.finish(outcome, intact and self.reader.keep_alive)

    def protocol_broken(self, reason: str) -> None:
        """The server broke the protocol: its submission may have run, and the connection is of no further use."""
        if self.state is CLOSED:
            return
        self.pool.counts["odd_answers"] += 1
        self.pool.log.record_limited("odd answer", self.server.uid, why=reason)
        if self.state is IDLE:
            self.close()
        else:
            self.finish(t.CONNECTION_LOST)

    def close(self) -> None:
        """Closes the connection now.

        The server must see its end before another copy of the submission can reach any server, so the socket is shut
        down here; the event loop would do it a turn later.
        """
        if self.state is CLOSED:
            return
        if self.state is IDLE and self in self.server.idle:
            self.server.idle.remove(self)
        self.state = CLOSED
        self.reader.close()
        self.server.connections -= 1
        self.pool.connections -= 1
        if self._connect_task:
            self._connect_task.cancel()
        if self.transport:
            shut_down(self.transport)

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = cast(asyncio.Transport, transport)
        if self.state is not CONNECTING:
            self.transport.abort()
        elif not self.server.up:  # it began to drain while we connected, and gets nothing any more
            self.finish(t.NOT_ACCEPTED)
        else:
            self._send(self._due_ns - self.pool.clock())

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended."""
        if self.state is AWAITING_RESPONSE:
            self.finish(t.CONNECTION_LOST)
        elif self.state is not CLOSED and self.state is not CONNECTING:
            self.close()
        self.reader.close()

    def eof_received(self) -> bool:
        """The server sends nothing more, which completes a body without framing. Returns False: the loop closes.

        A connection that is reset completes nothing: `connection_lost` comes alone then.
        """
        if self.state is AWAITING_RESPONSE and self.reader.ends_with_connection:
            self.reader.keep_alive = False
            self.conclude(True)
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read to: one buffer for all connections, as each read is used up before the next."""
        return self.pool.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes were read into the buffer."""
        if self.state is CLOSED:
            return
        if self.state is IDLE:
            self.protocol_broken("spoke unasked")
            return
        reader = self.reader
        is_first = not reader.received_bytes
        error = reader.feed(self.pool.read_buffer[:nbytes])
        if reader.is_large and self.stream_response(error):
            return
        if reader.complete:  # not within the parser's callbacks: they turn every exception into a parser error
            self.conclude(error is None)
        elif is_first and error is None:
            # A response that has begun does not wait for its transaction's time: its length may not fit.
            read_by_ns = self.pool.clock() + self.pool.limits.response_read_timeout_ns
            self._set_timer(min(self._due_ns, read_by_ns))
        if error is not None:
            self.protocol_broken(error)

    # ---- for subclasses

    def stream_response(self, error: str | None) -> bool:
        """Streams what came of a large response. `error`: how it breaks the protocol. Returns False if it does not."""
        return False

    def _may_stream(self) -> bool:
        """Whether a response may be streamed to the client of the submission."""
        return False

    # ---- private

    def _connect_ended(self, task: "asyncio.Task[Any]") -> None:
        """The connect has ended; only its failure is of interest here."""
        self._connect_task = None
        if task.cancelled() or task.exception() is None or self.state is not CONNECTING:
            return
        self.pool.counts["connects_failed"] += 1
        self.finish(t.CONNECT_FAILED)

    def _send(self, remaining_ns: int) -> None:
        """Writes the submission or health check, for which `left_ns` are left."""
        if remaining_ns <= 0:
            self.finish(t.NOT_ACCEPTED)
            return
        assert self.transport is not None
        self.state = AWAITING_RESPONSE
        self.reader.expect_response()
        if self.exchange:
            self.pool.counts["dispatches"] += 1
            self.write_request(self.exchange, remaining_ns)
        else:
            self.transport.write(self.pool.health_check_request)
        self._set_timer(self._due_ns)

    def _become_idle(self, now_ns: int) -> None:
        """Waits for the next submission."""
        self.state = IDLE
        self.idle_since_ns = now_ns
        self.server.idle.append(self)

    def _set_timer(self, due_ns: int) -> None:
        """Sets the time at which the submission times out."""
        timers = self.pool.driver.timers
        if self._timer:
            timers.cancel(self._timer)
        self._timer = timers.at(due_ns, self._time_out)

    def _cancel_timer(self) -> None:
        """Cancels the timer that is set."""
        if self._timer:
            self.pool.driver.timers.cancel(self._timer)
            self._timer = None

    def _time_out(self) -> None:
        """The submission was out for too long, or the connect, or the response does not go on."""
        self._timer = None
        if self.state is not AWAITING_RESPONSE:
            self.finish(t.CONNECT_FAILED)
        elif self.reader.received_bytes:
            self.protocol_broken("the answer does not go on")
        else:
            self.finish(t.TIMED_OUT)
