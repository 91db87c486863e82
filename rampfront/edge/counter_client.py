"""The counter's client: calls, their timeouts, and which calls may have been applied when a connection breaks.

The client makes no calls of its own except PING, and never repeats a call that was written: `choice.py` decides what
to add and when. After a change of address, the former connection stays open until its pending calls are answered, so
that no amount is added twice.
"""

from collections import deque

from .. import terms as t
from .counter_connection import CounterConnection, CounterConnectionOwner, PendingCall
from .node_context import NodeContext
from .resp import ERROR, SIMPLE_STRING, Reply, encode_command, parse_total

_NS_PER_MS = 10**6
_BUSY = b"BUSY"
_MAX_LOGGED_BYTES = 80
_EXPECTED_ENDS = ("connection ended", "left")  # logged only if calls were pending


class QuotaCounterClient(CounterConnectionOwner):
    """Adds to the counter's counts, and reports their totals to the decision driver.

    Attributes:
        clock: returns the time in ns.
    """

    def __init__(self, context: NodeContext, address: tuple[str, int]) -> None:
        """Creates the client; `connect` opens a connection.

        Args:
            context: the node's context.
            address: host and port of the counter.
        """
        driver = context.driver
        self.clock = driver.clock
        self._loop = context.loop
        self._driver = driver
        self._address = address
        self._timeout_ns = context.configuration.terms.counter_timeout
        self._limits = context.configuration.limits
        self._log = context.log
        self._counts = context.log.counts
        self._timers = driver.timers
        self._current: CounterConnection | None = None
        self._former: list[CounterConnection] = []  # each is removed once its calls are answered, or it ends

    @property
    def former_connections(self) -> int:
        """The number of connections to former addresses, which still have pending calls."""
        return len(self._former)

    def connect(self) -> CounterConnection:
        """Starts connecting. Returns the connection, which carries all calls from now on."""
        self._counts["counter_connects"] += 1
        connection = CounterConnection(self)
        self._current = connection
        connection.connect(self._loop, self._address)
        return connection

    def change_address(self, address: tuple[str, int]) -> None:
        """Uses another address of the counter from now on.

        Calls that were written stay on the former connection, so that no amount is added twice. Calls that were not
        written move to the new connection.
        """
        if address == self._address:
            return
        self._address = address
        former = self._current
        current = self.connect()
        if former is None:
            return
        if not former.is_open:
            current.swap_calls(former)
            self._set_timer(current)
        self._former.append(former)
        self._close_if_former(former)

    def add(self, name: int, amount: float, lifetime_ns: int) -> None:
        """Adds to a count, and reports its total with `DecisionDriver.counted`.

        Args:
            name: the number that identifies the count.
            amount: the amount to add; may be negative.
            lifetime_ns: for how long the counter keeps the count.
        """
        self._counts["adds"] += 1
        connection = self._connection_for(name)
        if len(connection.calls) >= self._limits.max_pending_counter_calls:
            self._report(name, t.NOT_ACCEPTED, 0)
            return
        lifetime_ms = max(1, lifetime_ns // _NS_PER_MS)
        command = encode_command(b"ADDGET", b"%d" % name, repr(amount).encode(), b"%d" % lifetime_ms)
        connection.call(PendingCall(name, self.clock(), command))
        self._set_timer(connection)

    def sweep(self) -> None:
        """Ends connections that could not be opened or do not answer in time, and pings an idle connection."""
        now_ns = self.clock()
        current = self._current
        if current:
            silent_ns = now_ns - current.received_at_ns
            if not current.is_open and silent_ns > self._limits.counter_response_timeout_ns:
                self.connection_ended(current, "never came up")
            elif current.is_open and not current.calls and silent_ns > self._limits.counter_ping_interval_ns:
                current.ping(now_ns)
        for connection in (current, *self._former):
            if connection and not connection.ended:
                self._end_if_silent(connection, now_ns)

    # ---- called by connections

    def reply_received(self, connection: CounterConnection, reply: Reply) -> bool:
        """Handles the reply to the oldest call. Returns whether it is a valid reply to that call."""
        call = connection.calls[0]
        total = self._read_total(call, reply)
        if total is None:
            return False
        connection.calls.popleft()
        if not connection.calls:  # an unnecessary wake-up is expensive
            self._cancel_timer(connection)
        if call.name is not None and not call.reported:
            outcome = t.NOT_ACCEPTED if reply.kind == ERROR else t.DONE
            self._report(call.name, outcome, self.clock() - call.started_ns, total)
        self._close_if_former(connection)
        return True

    def connection_ended(self, connection: CounterConnection, reason: str) -> None:
        """Ends a connection and reports its calls as lost.

        A call that was written may have been applied, any other was not. The client repeats neither.

        Args:
            connection: the connection; nothing happens if it has ended already.
            reason: why it ends, for the log.
        """
        if connection.ended:
            return
        calls = connection.close()
        self._cancel_timer(connection)
        if self._current is connection:
            self._current = None
        else:
            self._former.remove(connection)
        now_ns = self.clock()
        if calls or reason not in _EXPECTED_ENDS:
            self._log.record_limited("counter lost", reason)
        for call in calls:
            if not call.reported:
                self._report_lost(call, now_ns)

    # ---- connections

    def _connection_for(self, name: int) -> CounterConnection:
        """Returns the connection for a call.

        A former connection keeps the counts that it has pending calls for, so that a count's totals arrive in order.
        """
        connection = self._current or self.connect()
        for former in self._former:
            if any(call.name == name for call in former.calls):
                connection = former
        return connection

    def _close_if_former(self, connection: CounterConnection) -> None:
        """Ends a connection to a former address once it has no pending calls."""
        if connection in self._former and not connection.calls:
            self.connection_ended(connection, "left")

    def _end_if_silent(self, connection: CounterConnection, now_ns: int) -> None:
        """Ends a connection whose peer does not answer or has sent only part of a reply for too long.

        All later calls on it would time out.
        """
        limits = self._limits
        partial = connection.has_partial_reply
        timeout_ns = limits.counter_partial_timeout_ns if partial else limits.counter_response_timeout_ns
        if not connection.calls:
            return
        since_ns = max(connection.received_at_ns, connection.calls[0].started_ns)
        if now_ns - since_ns > timeout_ns:
            self.connection_ended(connection, "silent" if connection.is_open else "never came up")

    # ---- timeouts

    def _set_timer(self, connection: CounterConnection) -> None:
        """Sets one timer for all calls. Their timeouts are equal, so the oldest call times out next."""
        if connection.timer is not None:
            return
        for call in connection.calls:
            if not call.reported:
                due_ns = call.started_ns + self._timeout_ns
                connection.timer = self._timers.at(due_ns, self._time_out_calls, connection)
                return

    def _cancel_timer(self, connection: CounterConnection) -> None:
        """Cancels the connection's timer, if it has one."""
        if connection.timer:
            self._timers.cancel(connection.timer)
            connection.timer = None

    def _time_out_calls(self, connection: CounterConnection) -> None:
        """Reports calls that have timed out. Replies that still arrive for them are dropped."""
        connection.timer = None
        now_ns = self.clock()
        timed_out = []
        for call in connection.calls:
            if call.reported:
                continue
            if call.started_ns + self._timeout_ns > now_ns:
                break
            call.reported = True
            timed_out.append(call)
        if not connection.is_open:  # unwritten calls are removed: they had no effect and get no reply
            connection.calls = deque(call for call in connection.calls if not call.reported)
        self._set_timer(connection)
        for call in timed_out:
            self._report_lost(call, now_ns)
        self._end_if_silent(connection, now_ns)

    # ---- ends of calls

    def _read_total(self, call: PendingCall, reply: Reply) -> float | None:
        """Returns the total in a reply, 0 for a reply without one, or None for a reply that does not fit the call."""
        if call.is_ping:
            return 0.0 if reply.kind == SIMPLE_STRING else None
        if reply.kind == ERROR:
            if not reply.text.startswith(_BUSY):
                # Without a log line, a counter that rejects every call would look like a busy one.
                self._log.record_limited("counter refuses", reply.text[:_MAX_LOGGED_BYTES].decode("latin-1"))
            return 0.0
        return None if reply.kind == SIMPLE_STRING else parse_total(reply.text)

    def _report_lost(self, call: PendingCall, now_ns: int) -> None:
        """Reports a call without a reply as timed out if it was written, since it may have been applied."""
        assert call.name is not None, "a PING is never reported"
        self._report(call.name, t.TIMED_OUT if call.written else t.NOT_ACCEPTED, now_ns - call.started_ns)

    def _report(self, name: int, outcome: int, duration_ns: int, total: float = 0.0) -> None:
        """Reports how a call ended. `outcome`: DONE, NOT_ACCEPTED or TIMED_OUT from `terms.py`."""
        if outcome != t.DONE:
            self._counts["adds_timed_out" if outcome == t.TIMED_OUT else "adds_refused"] += 1
        self._driver.counted(name, total, outcome, duration_ns)
