"""Drives the decision module: feeds it inputs one at a time, and carries out the effects that it returns, in order.

`choice.Node` decides and does no I/O. The driver owns the node, the timers and the table of what is in flight; it
decides nothing and sends nothing again. What ends while effects are carried out (a refused connection, say) is queued
as the next input: the node is never entered twice at once.
"""

from collections import deque
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from types import TracebackType
from typing import Any, Generic, NamedTuple

from .. import terms as t
from ..choice import Line, Node
from ..in_flight import InFlight
from .decision_ports import (
    DecisionRecorder,
    Gateway,
    QuotaCounter,
    RetryStormControl,
    ServerPool,
    ServerRow,
    SubmissionEnd,
)
from .event_log import EventLog
from .exchange import ExchangeT
from .limits import NetworkLimits
from .once_only import OnceOnlyGate
from .timers import Timer, TimerQueue

_NS_PER_MS = 10**6

Input = t.Arrival | t.Ended | t.Left | t.Due | t.Probed | t.Counted | t.ServerList
Effect = t.Submit | t.Cancel | t.Decline | t.Void | t.Remind | t.Probe | t.AddToCount | t.CounterNotice | t.Subscribe
"""The closed sets of `terms.py`. `None` as an input starts the node."""

_create_node: Callable[[t.Terms, int, int], Node] = Node  # `choice.py` has no types


class _Reminder(NamedTuple):
    """A reminder that the node asked for, ordered by the latest time at which it must be woken for it."""

    latest_ns: int
    due_ns: int
    reference: int


class DecisionDriver(Generic[ExchangeT]):
    """One decision module with what it needs to run.

    The program sets `gateway` and `servers` once they are made, and `counter`, `once_only_gate`, `recorder` and `storm`
    where the configuration has them.

    Attributes:
        timers: the timers of the part of the process that it drives.
        clock: gives the time in ns.
        log: the event log.
        counts: the log's counters.
        node: the decision module. It is read by others only between inputs.
        in_flight: what is out.
        now_ns: the time of the present input.
        gateway: hands answers to clients.
        servers: sends submissions to servers.
        counter: the shared counter of quotas.
        once_only_gate: holds once-only submissions until they are recorded.
        recorder: reports decisions as syslog messages.
        storm: damps retry storms.
    """

    gateway: Gateway[ExchangeT]
    servers: ServerPool[ExchangeT]

    def __init__(self, timers: TimerQueue, terms: t.Terms, seed: int, limits: NetworkLimits, log: EventLog) -> None:
        """Makes the node; `start` starts it.

        Args:
            timers: the timers to use.
            terms: what the node starts under.
            seed: of the node's random draws.
            limits: the limits of the process.
            log: the event log.
        """
        self.timers = timers
        self.clock = timers.clock
        self.log = log
        self.counts = log.counts
        self.node = _create_node(terms, seed, self.clock())
        self.in_flight: InFlight[ExchangeT] = InFlight()
        self.now_ns = 0
        self.counter: QuotaCounter | None = None
        self.once_only_gate: OnceOnlyGate | None = None
        self.recorder: DecisionRecorder | None = None
        self.storm: RetryStormControl | None = None
        self._limits = limits
        self._once_only = [product.kind == t.ONCE_ONLY for product in terms.products]
        self._running = False
        self._inputs: deque[Input | None] = deque()
        self._reminders: list[_Reminder] = []  # a heap
        self._reminder_timer: Timer | None = None  # for the first reminder
        self._reminder_timer_ns = 0  # when; 0 for never
        self._effect_handlers: dict[type[Effect], Callable[[Any], None]] = {
            t.Submit: self._submit,
            t.Cancel: self._cancel,
            t.Decline: self._decline,
            t.Void: self._void,
            t.Remind: self._remind,
            t.Probe: self._probe,
            t.AddToCount: self._add,
            t.CounterNotice: self._notice,
            t.Subscribe: self._subscribe,
        }

    @property
    def waiting_inputs(self) -> int:
        """Inputs that the node has not taken yet."""
        return len(self._inputs)

    # ---- inputs

    def start(self) -> None:
        """Starts the node."""
        self.post(None)

    def post(self, message: Input | None) -> None:
        """Gives the node an input, at once or after those that wait.

        A server list goes before what waits, so that nothing is sent by an older list.
        """
        if type(message) is t.ServerList:
            self._inputs.appendleft(message)
        else:
            self._inputs.append(message)
        if not self._running:
            self._run()

    def open(self, exchange: ExchangeT) -> int:
        """Gives a transaction its index, with which its `Arrival` is posted. Returns the index."""
        exchange.txn = self.in_flight.open(exchange)
        return exchange.txn

    def client_left(self, exchange: ExchangeT) -> None:
        """The client of a transaction has gone: what is out for it is cancelled, and no answer is owed."""
        if not self.in_flight.is_unfinished(exchange.txn):
            return
        self.in_flight.finish(exchange.txn)
        self.post(t.Left(exchange.txn))

    def submission_ended(self, end: SubmissionEnd[ExchangeT]) -> None:
        """A submission has ended. The first good response goes to the client at once, and ends the transaction."""
        exchange = end.exchange
        done = end.outcome == t.DONE
        final = self.in_flight.end_submission(exchange.txn, end.attempt, end.server, done)
        exchange.submissions.pop(end.attempt, None)
        if self.once_only_gate:
            self.once_only_gate.record_outcome(exchange, end.outcome)
        if done:
            if self.recorder:
                self.recorder.record_transaction("settled", exchange)
            if exchange.client:
                self.gateway.complete(exchange, end.body, end.stream)
        self.post(
            t.Ended(exchange.txn, end.server, end.outcome, end.duration_ns, final, end.units, end.attempt, end.usage)
        )

    def health_checked(self, server: int, outcome: int, duration_ns: int, report: dict[str, float]) -> None:
        """A health check has ended."""
        self.in_flight.end_health_check(server)
        self.post(t.Probed(server, outcome, duration_ns, report))

    def counted(self, name: int, total: float, outcome: int, duration_ns: int) -> None:
        """A call to the counter has ended."""
        self.post(t.Counted(name, total, outcome, duration_ns))

    def update_servers(self, complete: bool, rows: Iterable[ServerRow]) -> None:
        """The server list, or what changed of it. `complete`: servers that it leaves out are removed."""
        listed = []
        for row in rows:
            index = self.in_flight.list_server(row.uid, row.state == t.REMOVED)
            if index is None:
                continue
            listed.append(
                t.ServerListRow(index, row.state, row.zone, row.cell, row.weight, row.started_at_ns, row.proximity)
            )
            if self.recorder:
                self.recorder.record_server_state(row.uid, row.state)
            self.servers.list_server(index, row)
        if complete:
            self.in_flight.retain_servers(listed)
        for index in self.in_flight.departed_servers:
            self.servers.remove_server(index)
        self.post(t.ServerList(complete, False, listed))

    def add_line(self, product: t.Product) -> int:
        """Adds a line for one more product while the node runs; its intents are not recorded. Returns its index."""
        add_line: Callable[[t.Product], Line] = Line
        self.node.lines.append(add_line(product))
        self._once_only.append(False)
        return len(self._once_only) - 1

    # ---- the loop of inputs and effects

    def _run(self) -> None:
        """Gives the node all inputs that wait, and all reminders that are due.

        Reminders share a wake-up with whatever woke the node, and wake it themselves only when nothing comes within a
        small part of their delay: a wake-up costs several times what most inputs do.
        """
        current: Input | None = None
        inputs = self._inputs
        reminders = self._reminders
        effect_handlers = self._effect_handlers
        take: Callable[[int, Input | None], list[Effect]] = self.node.take
        self._running = True
        try:
            while True:
                self.now_ns = now_ns = self.clock()
                if inputs:
                    current = inputs.popleft()
                elif reminders and reminders[0].due_ns <= now_ns:
                    current = t.Due(heappop(reminders).reference)
                else:
                    break
                for effect in take(now_ns, current):
                    effect_handlers[type(effect)](effect)
        except Exception as error:
            self._contain_fault(current, error)
        finally:
            self._running = False
            self.in_flight.release()
        if inputs:
            self._run()
            return
        latest_ns = reminders[0].latest_ns if reminders else 0
        if latest_ns != self._reminder_timer_ns:
            self._set_reminder_timer(latest_ns)

    def _set_reminder_timer(self, latest_ns: int) -> None:
        """Sets the timer for the first reminder; 0 for none."""
        if self._reminder_timer:
            self.timers.cancel(self._reminder_timer)
        self._reminder_timer = self.timers.at(latest_ns, self._run) if latest_ns else None
        self._reminder_timer_ns = latest_ns

    def _contain_fault(self, current: Input | None, error: Exception) -> None:
        """A defect of ours costs the transaction that it struck, and no other.

        The transaction is voided, which promises nothing: its client is answered in time all the same.
        """
        self.counts["faults"] += 1
        self.log.record_limited("fault", type(current).__name__, trouble=repr(error), at=_origin(error.__traceback__))
        txn: int | None = getattr(current, "txn", None)
        if txn is None or not self.in_flight.is_unfinished(txn):
            return
        exchange = self.in_flight.transactions.key(txn)
        self.in_flight.finish(txn)
        self.gateway.void(exchange)
        for attempt in list(exchange.submissions):
            self.servers.cancel(exchange, attempt)

    # ---- effects

    def _submit(self, effect: t.Submit) -> None:
        """Sends a submission, once its intent is recorded where that is asked for."""
        exchange = self.in_flight.transactions.key(effect.txn)
        attempt = self.in_flight.add_submission(effect.txn, effect.server)
        self.counts["submissions"] += 1
        if self.recorder:
            exchange.server = self.servers.uid(effect.server)
        if self.storm and exchange.fingerprint:
            self.storm.sent(exchange.fingerprint)
        if attempt:
            self.counts["copies" if exchange.submissions else "resent"] += 1
        if self.once_only_gate and self._once_only[exchange.product]:
            self.once_only_gate.submit(exchange, attempt, effect)
        else:
            self.servers.submit(exchange, attempt, effect.server, effect.timeout)

    def _cancel(self, effect: t.Cancel) -> None:
        """Cancels a submission."""
        self.servers.cancel(self.in_flight.transactions.key(effect.txn), effect.attempt)

    def _decline(self, effect: t.Decline) -> None:
        """Answers that the transaction has not run."""
        exchange = self.in_flight.transactions.key(effect.txn)
        self.in_flight.finish(effect.txn)
        if self.recorder:
            self.recorder.record_transaction(
                "declined",
                exchange,
                back_in=effect.retry_after // _NS_PER_MS,
                why="quota" if effect.over_quota else "room",
            )
        retry_after_ns = effect.retry_after
        if self.storm and retry_after_ns and not effect.over_quota:  # for want of capacity: by the measured recovery
            retry_after_ns = self.storm.advice(retry_after_ns, self.now_ns)
        self.gateway.decline(exchange, retry_after_ns)

    def _void(self, effect: t.Void) -> None:
        """Answers that the transaction may have run."""
        exchange = self.in_flight.transactions.key(effect.txn)
        self.in_flight.finish(effect.txn)
        if self.recorder:
            self.recorder.record_transaction("voided", exchange)
        self.gateway.void(exchange)

    def _remind(self, effect: t.Remind) -> None:
        """Notes a reminder."""
        due_ns = self.now_ns + effect.delay
        limits = self._limits
        slack_ns = min(limits.reminder_slack_ns, effect.delay // limits.reminder_slack_divisor)
        heappush(self._reminders, _Reminder(due_ns + slack_ns, due_ns, effect.ref))

    def _probe(self, effect: t.Probe) -> None:
        """Sends a health check."""
        self.in_flight.add_health_check(effect.server)
        self.servers.check_health(effect.server)

    def _add(self, effect: t.AddToCount) -> None:
        """Adds to a count of the counter."""
        assert self.counter is not None, "a node without a counter adds to none"
        self.counter.add(effect.name, effect.amount, effect.lifetime)

    def _notice(self, effect: t.CounterNotice) -> None:
        """Tells the operators news of the counter."""
        self.counts[f"counter_{effect.change}"] += 1
        self.log.record("counter", news=effect.change, heard=effect.heard_nodes)
        if self.recorder:
            self.recorder.record_counter_notice(effect.change, effect.heard_nodes)

    def _subscribe(self, effect: t.Subscribe) -> None:
        """Nothing is to be done: the subscription to the server list runs from the start and repairs itself."""


def _origin(traceback: TracebackType | None) -> str:
    """File and line at which an exception was raised."""
    if traceback is None:
        return ""
    while traceback.tb_next:
        traceback = traceback.tb_next
    return f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}"
