"""One connection to one server, which carries one submission or health check at a time.

States:

    CONNECTING --connected--> AWAITING_RESPONSE --complete--> IDLE --next submission--> AWAITING_RESPONSE
                                  |
                                  +--too large to buffer--> STREAMING --complete--> IDLE

Each state may change to CLOSED; `streaming_connection.py` implements STREAMING. Every submission ends exactly once, in
`finish`, with an outcome: DONE and ERROR mean that the server has run it, CONNECT_FAILED and NOT_ACCEPTED that it has
not; with all others it may have run. Only `finish_unexecuted` concludes that it has not run, and it records the ground.
Bytes in the kernel's or the transport's buffer count as sent.
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
from .memory_account import MemoryAccount, MemoryCharge
from .non_execution import NonExecution
from .server import Server
from .server_response_reader import ServerResponseReader
from .socket_calls import has_unread_input, shut_down
from .timers import Timer

_NS_PER_MS = 10**6
_NOT_RUN_STATUSES = (503, 504)  # status codes with which a server may state that it has not run a submission
_OUTCOMES = {OK: t.DONE, INTERNAL_SERVER_ERROR: t.ERROR}  # outcomes by the status code of the response
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
    """The state of a connection; see the description of the module."""

    CONNECTING = "connecting"
    IDLE = "idle"
    AWAITING_RESPONSE = "awaiting response"
    STREAMING = "streaming"
    CLOSED = "closed"


# Module constants, since access to a member of an `Enum` is slow (Python 3.11) and each read compares them.
CONNECTING = ConnectionState.CONNECTING
IDLE = ConnectionState.IDLE
AWAITING_RESPONSE = ConnectionState.AWAITING_RESPONSE
STREAMING = ConnectionState.STREAMING
CLOSED = ConnectionState.CLOSED


class ConnectionPool(Protocol[ExchangeT]):
    """The interface of the pool that a connection uses."""

    clock: Callable[[], int]
    counts: dict[str, int]
    driver: DecisionDriver[ExchangeT]
    limits: NetworkLimits
    memory: MemoryAccount
    log: EventLog
    read_buffer: memoryview
    health_check_request: bytes
    connections: int

    def health_check_ended(
        self, connection: "ServerConnection[ExchangeT]", outcome: int, duration_ns: int, report: bytes | None
    ) -> None:
        """Called when a health check has ended."""
        raise NotImplementedError


class ServerConnection(asyncio.BufferedProtocol, Generic[ExchangeT]):
    """One connection to a server.

    Attributes:
        pool: its pool.
        server: its server.
        transport: the transport; None until it is connected.
        charge: the memory of the response that is received.
        reader: reads the responses.
        state: its state.
        exchange: the exchange of the submission in flight; None for a health check.
        attempt: the number of the submission within its exchange.
        sent_at_ns: when the submission or health check began.
        idle_since_ns: when it became idle.
        non_execution: why the submission counts as not run; None while it may have run.
        usable_from_ns: the time from which it may be used again after a rejection.
    """

    __slots__ = (
        "pool",
        "server",
        "transport",
        "charge",
        "reader",
        "state",
        "exchange",
        "attempt",
        "sent_at_ns",
        "idle_since_ns",
        "non_execution",
        "usable_from_ns",
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
        self.charge: MemoryCharge = pool.memory.open()
        self.reader = self.reader_type(pool.limits, self.charge, self._may_stream)
        self.state = CONNECTING
        self.exchange: ExchangeT | None = None
        self.attempt = 0
        self.sent_at_ns = 0
        self.idle_since_ns = 0
        self.non_execution: NonExecution | None = None
        self.usable_from_ns = 0
        self._connect_task: asyncio.Task[Any] | None = None
        self._due_ns = 0  # the time at which the submission or health check times out
        self._timer: Timer | None = None

    @property
    def usable(self) -> bool:
        """Whether an idle connection can take a submission: it is open and has no unexpected input."""
        transport = self.transport
        return transport is not None and not transport.is_closing() and not has_unread_input(transport)

    def may_carry(self, exchange: ExchangeT | None) -> bool:
        """Whether the exchange may be submitted on this idle connection; `exchange` is None for a health check.

        A second copy of a rejection would be taken for the next answer, so it must have had the time to arrive."""
        return self.pool.clock() >= self.usable_from_ns

    # ---- a submission or health check

    def set_connect_task(self, task: "asyncio.Task[Any]") -> None:
        """Sets the task that connects it; if the task fails, the submission ends."""
        self._connect_task = task
        task.add_done_callback(self._connect_ended)

    def begin(self, exchange: ExchangeT | None, attempt: int, timeout_ns: int) -> None:
        """Begins a submission, or a health check (`exchange` None), with a timeout of `timeout_ns`."""
        now_ns = self.pool.clock()
        self.exchange = exchange
        self.attempt = attempt
        self.sent_at_ns = now_ns
        self.non_execution = None
        if exchange:
            exchange.submissions[attempt] = self
        self._due_ns = now_ns + timeout_ns
        if self.state is IDLE:
            self._send(timeout_ns)
        else:
            connect_timeout_ns = min(timeout_ns, self.pool.limits.connect_timeout_ns)
            self._timer = self.pool.driver.timers.at(now_ns + connect_timeout_ns, self._time_out)

    def write_request(self, exchange: ExchangeT, remaining_ns: int) -> None:
        """Writes a submission. `remaining_ns`: the time that the server has for it."""
        assert self.transport is not None
        remaining_ms = remaining_ns // _NS_PER_MS
        self.transport.write(b"%sX-Deadline-Ms: %d\r\n\r\n%s" % (exchange.head, remaining_ms, exchange.body))

    def finish(self, outcome: int, keep: bool = False) -> None:
        """Ends the submission or health check. Every end of one is handled here.

        Args:
            outcome: DONE, ERROR, ... of `terms.py`.
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
        self.charge.release()
        self.reader.body.clear()  # an idle connection must not keep its last response in memory
        if keep and self.server.up:
            self._become_idle(now_ns)
        else:
            self.close()
        if end:
            pool.counts[_COUNTERS[outcome]] += 1
            pool.driver.submission_ended(end)
        else:
            pool.health_check_ended(self, outcome, duration_ns, report)

    def finish_unexecuted(self, ground: NonExecution, keep: bool = False) -> None:
        """Ends a submission that the server has not run. `keep`: whether the connection may be used again."""
        self.non_execution = ground
        self.usable_from_ns = self.pool.clock() + self.pool.limits.rejection_copy_window_ns
        self.finish(ground.outcome, keep)

    def submission_end(self, exchange: ExchangeT, outcome: int, duration_ns: int) -> SubmissionEnd[ExchangeT]:
        """Returns the report to the driver on a submission that ended with `outcome` after `duration_ns`."""
        reader = self.reader
        index = self.server.index
        if outcome == t.DONE:
            body = None if reader.is_discarded else reader.body.take()
            return SubmissionEnd(exchange, self.attempt, index, outcome, duration_ns, reader.units, reader.usage, body)
        usage = reader.usage if outcome == t.ERROR else None
        return SubmissionEnd(exchange, self.attempt, index, outcome, duration_ns, 0, usage)

    def health_report(self) -> bytes | None:
        """Returns the load report in the response to a health check: its body, or else a header field."""
        return self.reader.body.take() or self.reader.load_report

    def finish_with_response(self, intact: bool) -> None:
        """Ends the submission with its complete response. `intact`: no protocol error follows the response."""
        self.reader.complete = False
        status = self.reader.status
        keep = intact and self.reader.keep_alive
        if self.reader.not_run and status in _NOT_RUN_STATUSES:
            self.finish_unexecuted(NonExecution.REJECTED, keep)
            return
        outcome = _OUTCOMES.get(status)
        if outcome is None:
            outcome = t.ERROR
            if status not in _NOT_RUN_STATUSES:
                self.pool.log.record_limited("odd status", self.server.uid, status=status)
        self.finish(outcome, keep)

    def protocol_broken(self, reason: str) -> None:
        """Handles a protocol error of the server: the submission may have run, and the connection is closed."""
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

        The server must see the end of the connection before another copy of the submission can reach any server. The
        socket is therefore shut down here, since the event loop would do it one iteration later.
        """
        if self.state is CLOSED:
            return
        if self.state is IDLE and self in self.server.idle:
            self.server.idle.remove(self)
        self.state = CLOSED
        self.pool.memory.close(self.charge)
        self.reader.close()
        self.server.connections -= 1
        self.pool.connections -= 1
        if self._connect_task:
            self._connect_task.cancel()
        if self.transport:
            shut_down(self.transport)

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the submission or health check once the connection is established."""
        self.transport = cast(asyncio.Transport, transport)
        if self.state is not CONNECTING:
            self.transport.abort()
        elif not self.server.up:  # it began to drain during the connect, and may get no more submissions
            self.finish_unexecuted(NonExecution.DELISTED)
        else:
            self._send(self._due_ns - self.pool.clock())

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the submission in flight, if there is one, as its outcome is unknown."""
        if self.state is AWAITING_RESPONSE:
            self.finish(t.CONNECTION_LOST)
        elif self.state is not CLOSED and self.state is not CONNECTING:
            self.close()
        self.reader.close()

    def eof_received(self) -> bool:
        """Completes a body that is delimited by the end of the connection. Returns False, so that the loop closes.

        A reset connection does not complete a body: the event loop then calls `connection_lost` only.
        """
        if self.state is AWAITING_RESPONSE and self.reader.ends_with_connection:
            self.reader.keep_alive = False
            self.finish_with_response(True)
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to read into. All connections share one, as each read is consumed before the next."""
        return self.pool.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the bytes that were read into the buffer."""
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
        if reader.complete:  # not in the parser's callbacks, which turn every exception into a parser error
            self.finish_with_response(error is None)
        elif is_first and error is None:
            # A response that has begun gets a shorter timeout, as it never ends if its declared length is wrong.
            read_by_ns = self.pool.clock() + self.pool.limits.response_read_timeout_ns
            self._set_timer(min(self._due_ns, read_by_ns))
        if error is not None:
            self.protocol_broken(error)

    # ---- for subclasses

    def stream_response(self, error: str | None) -> bool:
        """Streams what was received of a large response. Returns whether it did. `error`: a protocol error in it."""
        return False

    def _may_stream(self) -> bool:
        """Whether a response may be streamed to the client of the submission."""
        return False

    # ---- private

    def _connect_ended(self, task: "asyncio.Task[Any]") -> None:
        """Ends the submission if the connect has failed."""
        self._connect_task = None
        if task.cancelled() or task.exception() is None or self.state is not CONNECTING:
            return
        self.pool.counts["connects_failed"] += 1
        self.finish_unexecuted(NonExecution.CONNECT_FAILED)

    def _send(self, remaining_ns: int) -> None:
        """Writes the submission or health check, which times out in `remaining_ns`."""
        if remaining_ns <= 0:
            self.finish_unexecuted(NonExecution.EXPIRED)
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
        """Adds the connection to the idle connections of its server."""
        self.state = IDLE
        self.idle_since_ns = now_ns
        self.server.idle.append(self)

    def _set_timer(self, due_ns: int) -> None:
        """Sets the time at which the submission or health check times out."""
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
        """Handles the timeout of the connect, of the submission, or of a response that has begun."""
        self._timer = None
        if self.state is not AWAITING_RESPONSE:
            self.finish_unexecuted(NonExecution.CONNECT_TIMED_OUT)
        elif self.reader.received_bytes:
            self.protocol_broken("the response stalled")
        else:
            self.finish(t.TIMED_OUT)
