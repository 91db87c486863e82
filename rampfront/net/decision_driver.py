"""Drives the decision module: passes it one input at a time, and executes the effects that it returns, in order.

`choice.Node` makes the decisions and does no I/O. The driver owns the node, the timers and the table of transactions in
flight; it makes no decisions and repeats no submissions. An input that arises while effects are executed, such as a
refused connection, is queued as the next one, so the node is never entered recursively.
"""

from collections import deque
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from types import TracebackType
from typing import Any, Generic, NamedTuple

from .. import terms as t
from ..choice import Node, ProductState
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
"""All inputs and effects of `terms.py`. The input `None` starts the node."""

_create_node: Callable[[t.Terms, int, int], Node] = Node  # `choice.py` has no type annotations


class _Reminder(NamedTuple):
    """A reminder that the node requested, ordered by the latest time at which it must be delivered."""

    latest_ns: int
    due_ns: int
    reference: int


class DecisionDriver(Generic[ExchangeT]):
    """Runs one instance of the decision module.

    The program sets `gateway` and `servers` once they are created, and `counter`, `once_only_gate`, `recorder` and
    `storm` if the configuration enables them.

    Attributes:
        timers: the timers of the part of the process that it drives.
        clock: returns the time in ns.
        log: the event log.
        counts: the log's counters.
        node: the decision module. Other modules may read it only between inputs.
        in_flight: the transactions, submissions and health checks in flight.
        limits: the limits of the process.
        now_ns: the time of the current input.
        gateway: returns answers to clients.
        servers: sends submissions to servers.
        counter: the shared counter of quotas.
        once_only_gate: holds once-only submissions until they are recorded.
        recorder: reports decisions as syslog messages.
        storm: throttles retry storms.
    """

    gateway: Gateway[ExchangeT]
    servers: ServerPool[ExchangeT]

    def __init__(self, timers: TimerQueue, terms: t.Terms, seed: int, limits: NetworkLimits, log: EventLog) -> None:
        """Creates the node; `start` starts it.

        Args:
            timers: the timers to use.
            terms: the terms that the node starts with.
            seed: seeds the node's random numbers.
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
        self.limits = limits
        self._once_only = [product.kind == t.ONCE_ONLY for product in terms.products]
        self._running = False
        self._inputs: deque[Input | None] = deque()
        self._reminders: list[_Reminder] = []  # a heap
        self._reminder_timer: Timer | None = None  # for the first reminder
        self._reminder_timer_ns = 0  # due time of the timer; 0 for none
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
        """The number of queued inputs."""
        return len(self._inputs)

    # ---- inputs

    def start(self) -> None:
        """Starts the node."""
        self.post(None)

    def post(self, message: Input | None) -> None:
        """Passes the node an input, immediately or after the queued ones.

        A server list goes to the front of the queue, so that no submission is sent by an outdated list.
        """
        if type(message) is t.ServerList:
            self._inputs.appendleft(message)
        else:
            self._inputs.append(message)
        if not self._running:
            self._run()

    def open(self, exchange: ExchangeT) -> int:
        """Assigns a transaction the index with which its `Arrival` is posted. Returns the index."""
        exchange.txn = self.in_flight.open(exchange)
        return exchange.txn

    def client_left(self, exchange: ExchangeT) -> None:
        """Cancels the submissions of a transaction whose client has disconnected; it needs no answer any more."""
        if not self.in_flight.is_unfinished(exchange.txn):
            return
        self.in_flight.finish(exchange.txn)
        self.post(t.Left(exchange.txn))

    def submission_ended(self, end: SubmissionEnd[ExchangeT]) -> None:
        """Handles the end of a submission.

        The first successful response is sent to the client immediately, and ends the transaction.
        """
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
        """Handles the end of a health check."""
        self.in_flight.end_health_check(server)
        self.post(t.Probed(server, outcome, duration_ns, report))

    def counted(self, name: int, total: float, outcome: int, duration_ns: int) -> None:
        """Handles the end of a call to the counter."""
        self.post(t.Counted(name, total, outcome, duration_ns))

    def update_servers(self, complete: bool, rows: Iterable[ServerRow]) -> None:
        """Applies the server list or a change of it. `complete`: servers that `rows` does not contain are removed."""
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
        """Adds a product while the node runs; its submissions are not recorded in the journal. Returns its index."""
        add_line: Callable[[t.Product], ProductState] = ProductState
        self.node.products.append(add_line(product))
        self._once_only.append(False)
        return len(self._once_only) - 1

    # ---- the loop of inputs and effects

    def _run(self) -> None:
        """Passes the node all queued inputs and all due reminders.

        A wake-up costs several times as much as most inputs. Reminders are therefore delivered along with other inputs,
        and cause a wake-up of their own only if there is no other input within a small part of their delay.
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
        """Sets the timer of the first reminder to `latest_ns`; 0 cancels it."""
        if self._reminder_timer:
            self.timers.cancel(self._reminder_timer)
        self._reminder_timer = self.timers.at(latest_ns, self._run) if latest_ns else None
        self._reminder_timer_ns = latest_ns

    def _contain_fault(self, current: Input | None, error: Exception) -> None:
        """Handles an exception raised by the node or by an effect, so that only the transaction concerned fails.

        The transaction is voided: its client is answered in time, and the answer does not claim an outcome.
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
        """Sends a submission; if the product is once-only and the journal is enabled, after its intent is recorded."""
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
        if self.storm and retry_after_ns and not effect.over_quota:  # lack of capacity: advise by the measured recovery
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
        """Schedules a reminder."""
        due_ns = self.now_ns + effect.delay
        limits = self.limits
        slack_ns = min(limits.reminder_slack_ns, effect.delay // limits.reminder_slack_divisor)
        heappush(self._reminders, _Reminder(due_ns + slack_ns, due_ns, effect.ref))

    def _probe(self, effect: t.Probe) -> None:
        """Sends a health check."""
        self.in_flight.add_health_check(effect.server)
        self.servers.check_health(effect.server)

    def _add(self, effect: t.AddToCount) -> None:
        """Adds to a count of the shared counter."""
        assert self.counter is not None, "effect AddToCount, but no counter is configured"
        self.counter.add(effect.name, effect.amount, effect.lifetime)

    def _notice(self, effect: t.CounterNotice) -> None:
        """Reports a change of the counter to the operators."""
        self.counts[f"counter_{effect.change}"] += 1
        self.log.record("counter", news=effect.change, heard=effect.heard_nodes)
        if self.recorder:
            self.recorder.record_counter_notice(effect.change, effect.heard_nodes)

    def _subscribe(self, effect: t.Subscribe) -> None:
        """Does nothing: the subscription to the server list runs from the start and reconnects by itself."""


def _origin(traceback: TracebackType | None) -> str:
    """Returns the file and line at which an exception was raised."""
    if traceback is None:
        return ""
    while traceback.tb_next:
        traceback = traceback.tb_next
    return f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}"
