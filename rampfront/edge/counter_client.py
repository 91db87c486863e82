"""The counter's client: calls, their timeouts, and which of them may have added when a connection breaks.

It makes no call by itself but PING, and never repeats one that was written: what to add, and when, stands in
`choice.py`. After a change of address the former connection stays for the calls that await their replies on it, so
that nothing is added twice.
"""

from collections import deque

from .. import terms as t
from .counter_connection import CounterConnection, CounterConnectionOwner, PendingCall
from .node_context import NodeContext
from .resp import ERROR, SIMPLE_STRING, Reply, encode_command, parse_total

_NS_PER_MS = 10**6
_BUSY = b"BUSY"
_MAX_LOGGED_BYTES = 80
_EXPECTED_ENDS = ("connection ended", "left")  # they are logged only where calls were without a reply


class QuotaCounterClient(CounterConnectionOwner):
    """Adds to counts of the counter, and reports their totals to the decision driver.

    Attributes:
        clock: gives the time in ns.
    """

    def __init__(self, context: NodeContext, address: tuple[str, int]) -> None:
        """Is not connected yet.

        Args:
            context: of the node.
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
        self._former: list[CounterConnection] = []  # emptied as their calls are answered, or they end

    @property
    def former_connections(self) -> int:
        """Connections to former addresses, on which calls await their replies."""
        return len(self._former)

    def connect(self) -> CounterConnection:
        """Begins to connect. Returns the connection, on which calls are made from now on."""
        self._counts["counter_connects"] += 1
        connection = CounterConnection(self)
        self._current = connection
        connection.connect(self._loop, self._address)
        return connection

    def move(self, address: tuple[str, int]) -> None:
        """The counter is at another address from now on.

        What was written stays where it is, so that nothing is added twice; what was not goes to the new address.
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
            name: the number of the count.
            amount: what to add; may be negative.
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
        """Ends connections that do not come up or have fallen silent, and pings an idle one."""
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
        """The reply to the oldest call came. Returns whether it is one to that call."""
        call = connection.calls[0]
        total = self._read_total(call, reply)
        if total is None:
            return False
        connection.calls.popleft()
        if not connection.calls:  # waking up for nothing is expensive
            self._cancel_timer(connection)
        if call.name is not None and not call.reported:
            how = t.NOT_ACCEPTED if reply.kind == ERROR else t.DONE
            self._report(call.name, how, self.clock() - call.started_ns, total)
        self._close_if_former(connection)
        return True

    def connection_ended(self, connection: CounterConnection, reason: str) -> None:
        """Ends a connection. What was written may have been added, what was not has not; neither is made again here.

        Args:
            connection: the connection; one that has ended already is left as it is.
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
        """The connection for a call. A former one keeps its names, as replies for a name come in order of calls."""
        connection = self._current or self.connect()
        for former in self._former:
            if any(call.name == name for call in former.calls):
                connection = former
        return connection

    def _close_if_former(self, connection: CounterConnection) -> None:
        """Ends a connection to a former address once no call awaits a reply on it."""
        if connection in self._former and not connection.calls:
            self.connection_ended(connection, "left")

    def _end_if_silent(self, connection: CounterConnection, now_ns: int) -> None:
        """Ends a connection whose far end is gone, or whose reply does not go on: calls behind it would time out."""
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
        """Sets one timer for all calls: their timeouts are equal, so the oldest that has not timed out is the next."""
        if connection.timer is not None:
            return
        for call in connection.calls:
            if not call.reported:
                due_ns = call.started_ns + self._timeout_ns
                connection.timer = self._timers.at(due_ns, self._time_out_calls, connection)
                return

    def _cancel_timer(self, connection: CounterConnection) -> None:
        """Cancels the timer, if there is one."""
        if connection.timer:
            self._timers.cancel(connection.timer)
            connection.timer = None

    def _time_out_calls(self, connection: CounterConnection) -> None:
        """Calls have timed out: they are reported, and their replies dropped."""
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
        if not connection.is_open:  # they were never written: nothing was added, nor will be
            connection.calls = deque(call for call in connection.calls if not call.reported)
        self._set_timer(connection)
        for call in timed_out:
            self._report_lost(call, now_ns)
        self._end_if_silent(connection, now_ns)

    # ---- ends of calls

    def _read_total(self, call: PendingCall, reply: Reply) -> float | None:
        """The total that a reply gives, 0 if it has none to give; None if it is no reply to the call."""
        if call.is_ping:
            return 0.0 if reply.kind == SIMPLE_STRING else None
        if reply.kind == ERROR:
            if not reply.text.startswith(_BUSY):
                # Calls that are never understood would otherwise look like a busy counter.
                self._log.record_limited("counter refuses", reply.text[:_MAX_LOGGED_BYTES].decode("latin-1"))
            return 0.0
        return None if reply.kind == SIMPLE_STRING else parse_total(reply.text)

    def _report_lost(self, call: PendingCall, now_ns: int) -> None:
        """Reports a call without a reply: one that was written may have added."""
        assert call.name is not None, "nobody waits for a PING"
        self._report(call.name, t.TIMED_OUT if call.written else t.NOT_ACCEPTED, now_ns - call.started_ns)

    def _report(self, name: int, how: int, took_ns: int, total: float = 0.0) -> None:
        """Reports how a call ended. `how`: DONE, NOT_ACCEPTED or TIMED_OUT of `terms.py`."""
        if how != t.DONE:
            self._counts["adds_timed_out" if how == t.TIMED_OUT else "adds_refused"] += 1
        self._driver.counted(name, total, how, took_ns)
