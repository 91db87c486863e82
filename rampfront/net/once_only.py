"""Records once-only submissions in the journal before they are sent.

A transaction that may run only once must not be sent again after a crash of this process. Its intent must therefore be
durable before the submission is sent. Until then a `PendingIntent` takes the place of the server connection in
`Exchange.submissions`, and is cancelled in the same way.
"""

from collections.abc import Callable
from typing import Any, Protocol

from .. import terms as t
from .decision_ports import ServerPool, SubmissionEnd
from .exchange import AnyExchange
from .timers import TimerQueue

_NS_PER_MS = 10**6


class IntentJournal(Protocol):
    """Records once-only submissions before they are sent (`rampfront/journal`)."""

    def record_intent(
        self, exchange: AnyExchange, attempt: int, server: str | None, pending: "PendingIntent"
    ) -> int | None:
        """Records an intent. Returns its number, or None if it cannot be recorded."""
        raise NotImplementedError

    def withdraw(self, number: int) -> bool:
        """Withdraws an intent that is not durable yet. Returns whether it was withdrawn."""
        raise NotImplementedError

    def record_outcome(self, number: int, outcome: int) -> None:
        """Records how a submission ended."""
        raise NotImplementedError

    def accepts_intents(self) -> bool:
        """Whether intents can be recorded now."""
        raise NotImplementedError

    @property
    def in_doubt_ids(self) -> set[bytes]:
        """Ids of transactions that may have run before this process started."""
        raise NotImplementedError


class PendingIntent:
    """A once-only submission whose intent is not durable yet.

    Attributes:
        exchange: its transaction.
        attempt: its number among the submissions of the transaction.
        server: the index of its server.
        due_ns: the time at which its submission times out.
        number: the number of its journal record; None until it has one.
    """

    __slots__ = ("exchange", "attempt", "server", "due_ns", "number", "_gate", "_timer")

    def __init__(self, gate: "OnceOnlyGate", exchange: AnyExchange, attempt: int, effect: t.Submit) -> None:
        """Sets its timeout, so that a stalled disk does not delay the client's answer."""
        self.exchange = exchange
        self.attempt = attempt
        self.server = effect.server
        self.due_ns = gate.timers.clock() + effect.timeout
        self.number: int | None = None
        self._gate = gate
        self._timer = gate.timers.at(self.due_ns, self.finish, t.NOT_SENT)

    def release(self) -> None:
        """Cancels its timer and removes it from its exchange."""
        self._gate.timers.cancel(self._timer)
        self.exchange.submissions.pop(self.attempt, None)

    def finish(self, outcome: int) -> None:
        """Withdraws it. If its record is being written, it cannot be withdrawn, and the journal ends it later."""
        self._gate.withdraw(self, outcome)


class OnceOnlyGate:
    """Holds once-only submissions until their intents are durable.

    Attributes:
        journal: records the intents.
        timers: the timers to use.
    """

    def __init__(
        self,
        journal: IntentJournal,
        timers: TimerQueue,
        servers: ServerPool[Any],
        on_end: Callable[[SubmissionEnd[Any]], None],
    ) -> None:
        """Starts without pending intents.

        Args:
            journal: records the intents; it calls `send` and `refuse`.
            timers: the timers to use.
            servers: sends the submissions.
            on_end: called with the end of a submission that was not sent.
        """
        self.journal = journal
        self.timers = timers
        self._servers = servers
        self._on_end = on_end

    def may_have_run(self, exchange_id: bytes) -> bool:
        """Whether a transaction with this id may have run before this process started."""
        return exchange_id in self.journal.in_doubt_ids

    def accepts_intents(self) -> bool:
        """Whether intents can be recorded now."""
        return self.journal.accepts_intents()

    def submit(self, exchange: AnyExchange, attempt: int, effect: t.Submit) -> None:
        """Records the intent of a submission."""
        pending = PendingIntent(self, exchange, attempt, effect)
        pending.number = self.journal.record_intent(exchange, attempt, self._servers.uid(effect.server), pending)
        if pending.number is None:
            self.refuse(pending)
        else:
            exchange.submissions[attempt] = pending

    def send(self, number: int, pending: PendingIntent) -> None:
        """Sends the submission of a durable intent, with the remaining time as its timeout."""
        pending.release()
        pending.exchange.intent_number = number
        timeout_ns = max(_NS_PER_MS, pending.due_ns - self.timers.clock())
        self._servers.submit(pending.exchange, pending.attempt, pending.server, timeout_ns)

    def refuse(self, pending: PendingIntent) -> None:
        """Ends the submission of an intent that cannot be recorded, without sending it."""
        pending.release()
        self._end_unsent(pending, t.NOT_SENT)

    def withdraw(self, pending: PendingIntent, outcome: int) -> None:
        """Ends a pending intent, if the journal can still withdraw it."""
        if pending.number is not None and self.journal.withdraw(pending.number):
            pending.release()
            self._end_unsent(pending, outcome)

    def record_outcome(self, exchange: AnyExchange, outcome: int) -> None:
        """Records the outcome of a submission whose intent was recorded."""
        if exchange.intent_number is not None:
            self.journal.record_outcome(exchange.intent_number, outcome)
            exchange.intent_number = None

    def _end_unsent(self, pending: PendingIntent, outcome: int) -> None:
        """Reports the end of a submission that was not sent."""
        self._on_end(SubmissionEnd(pending.exchange, pending.attempt, pending.server, outcome, duration_ns=0))
