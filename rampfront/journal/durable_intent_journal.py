"""Connects the journal to the node: holds intents until they are durable, and records outcomes.

This module owns the records queued for the next write, and numbers the intents. It never sends a submission: it passes
on those that `write_ahead_rule` releases, and reports those that it refuses. Each batch is written on the store's
thread, and its completion is handled on the event loop.
"""

from asyncio import AbstractEventLoop
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from functools import partial
from typing import assert_never, cast

from .. import terms
from ..net.event_log import EventLog
from ..net.exchange import AnyExchange
from ..net.once_only import PendingIntent
from ..net.timers import Timer, TimerQueue
from .journal_settings import JournalSettings
from .records import Ending, Intent, Outcome, Record, Start, encode_record
from .segment_store import SegmentStore
from .write_ahead_rule import IntentEffect, JournalState, WriteAheadRule, WriteResult

_NS_PER_S = 10**9
_RETRY_DELAY_NS = _NS_PER_S  # between writes while writing fails
_MAX_QUEUED_RECORDS = 65536
_MAX_REPORTED_DAMAGE = 20
_NOT_RUN_OUTCOMES = (terms.NOT_ACCEPTED, terms.NOT_SENT, terms.CONNECT_FAILED)


class DurableIntentJournal:
    """Records the intents and outcomes of once-only submissions; implements the once-only gate's `IntentJournal`.

    The program must set `send` and `refuse` before the first intent.

    Attributes:
        in_doubt_ids: ids of transactions that may have run before this start; they are not accepted again.
        send: called with the intent's number and the submission once the intent is durable.
        refuse: called with the submission of an intent that cannot be recorded.
    """

    send: Callable[[int, PendingIntent], None]
    refuse: Callable[[PendingIntent], None]

    def __init__(
        self,
        loop: AbstractEventLoop,
        timers: TimerQueue,
        log: EventLog,
        settings: JournalSettings,
        product_names: Iterable[str],
    ) -> None:
        """Opens and reads the journal.

        Args:
            loop: the event loop.
            timers: the timers, and the clock of the records.
            log: the event log.
            settings: the folder, the batch delay and the limits.
            product_names: the names of the products, in the order of their indices.

        Raises:
            OSError: the folder cannot be used, or another process has locked it.
        """
        self._loop = loop
        self._timers = timers
        self._clock = timers.clock
        self._log = log
        self._settings = settings
        self._product_names = list(product_names)
        self._store = SegmentStore(settings)
        self._rule = WriteAheadRule()
        self._last_number = self._store.index.last_number
        self._pending: dict[int, PendingIntent] = {}  # by number; removed when their write ends
        self._queue: list[Record] = []  # for the next write; bounded by `_rule` and `_MAX_QUEUED_RECORDS`
        self._writing = False
        self._timer: Timer | None = None  # for the next write
        self.in_doubt_ids = {intent.transaction_id.encode("latin-1") for intent in self._store.index.in_doubt.values()}
        self._report_start()

    # ---- called by the once-only gate

    def accepts_intents(self) -> bool:
        """Whether the journal can record intents now."""
        return self._rule.accepts_intents()

    def record_intent(
        self, exchange: AnyExchange, attempt: int, server: str | None, pending: PendingIntent
    ) -> int | None:
        """Records an intent.

        Args:
            exchange: the transaction.
            attempt: the number of the submission among those of the transaction, from 0.
            server: the id of the server that the submission is for.
            pending: the submission, passed to `send` or `refuse` later.

        Returns:
            The number of the intent; None if it is refused immediately.
        """
        self._last_number += 1
        number = self._last_number
        if not self._rule.add(number):
            return None
        self._pending[number] = pending
        self._enqueue(
            Intent(
                number=number,
                at_ns=self._clock(),
                transaction_id=exchange.id.decode("latin-1"),
                product=self._product_names[exchange.product],
                account=exchange.account,
                server=cast(str, server),  # a submission is always for a listed server
                attempt=attempt,
            )
        )
        return number

    def withdraw(self, number: int) -> bool:
        """Withdraws an intent that is not durable yet. Returns whether its submission will never be sent."""
        return self._rule.withdraw(number)

    def record_outcome(self, number: int, outcome: int) -> None:
        """Records the end of a submission. A submission that may have run remains in doubt.

        If `_MAX_QUEUED_RECORDS` are queued, the outcome is not recorded. The transaction is then in doubt after a
        crash, which is safe.

        Args:
            number: the number of the intent.
            outcome: how the submission ended, a constant of `terms.py`.
        """
        if len(self._queue) < _MAX_QUEUED_RECORDS:
            self._enqueue(Outcome(number, self._clock(), _ending(outcome)))

    def close(self) -> None:
        """Writes the remaining outcomes and closes the journal.

        The event loop has stopped, so submissions whose intents are still queued are never sent.
        """
        self._store.stop_thread()
        try:
            if outcomes := [encode_record(record) for record in self._queue if not isinstance(record, Intent)]:
                self._store.append(outcomes)
        except OSError as error:
            self._log.record("journal", state=JournalState.UNWRITABLE.value, why=str(error))
        self._store.close()

    # ---- writes

    def _report_start(self) -> None:
        """Logs a summary of the journal's contents and damage."""
        damage = self._store.damage
        index = self._store.index
        for span in damage[:_MAX_REPORTED_DAMAGE]:
            self._log.record(
                "journal damaged", segment=span.segment, offset=span.offset, bytes=span.size_bytes, why=span.reason
            )
        self._log.record(
            "journal read",
            last=self._last_number,
            doubts=len(self.in_doubt_ids),
            settled=index.succeeded,
            not_run=index.not_run,
            damaged=len(damage),
        )

    def _enqueue(self, record: Record) -> None:
        """Adds a record to the next write."""
        self._queue.append(record)
        if not self._writing:
            self._schedule_write()

    def _schedule_write(self) -> None:
        """Starts the timer of the next write, unless it is running."""
        if self._timer is None:
            unwritable = self._rule.state == JournalState.UNWRITABLE
            delay_ns = _RETRY_DELAY_NS if unwritable else self._settings.batch_delay_ns
            self._timer = self._timers.after(delay_ns, self._write)

    def _write(self) -> None:
        """Called by the timer: passes the queued records to the store's thread."""
        self._timer = None
        self._writing = True
        batch = self._queue
        self._queue = []
        numbers = [record.number for record in batch if isinstance(record, Intent)]
        future = self._store.start_append([encode_record(record) for record in batch], numbers)
        future.add_done_callback(partial(self._return_to_loop, batch, numbers))

    def _return_to_loop(self, batch: Sequence[Record], numbers: Sequence[int], future: Future[None]) -> None:
        """Called on the store's thread when a write has ended; continues on the event loop."""
        self._loop.call_soon_threadsafe(self._write_ended, batch, numbers, future.exception())

    def _write_ended(self, batch: Sequence[Record], numbers: Sequence[int], error: BaseException | None) -> None:
        """Sends or refuses the submissions whose intents were in a write that has ended.

        Args:
            batch: the records of the write.
            numbers: the numbers of the intents among them.
            error: why the write failed; None if it is durable.
        """
        self._writing = False
        if error is None:
            self._index_durable(batch)
        elif not isinstance(error, OSError):
            self._log.record_limited("fault", "journal", trouble=repr(error))
        end = self._rule.write_ended(WriteResult.FAILED if error else WriteResult.DURABLE, numbers)
        if end.state_changed:
            self._log.record("journal", state=self._rule.state.value, why=str(error or ""))
        if error:
            self._requeue(batch)
        for number, effect in end.effects:
            self._apply_effect(number, effect)
        for number in numbers:
            self._pending.pop(number, None)
        if self._queue:
            self._schedule_write()

    def _index_durable(self, batch: Sequence[Record]) -> None:
        """Adds records to the index once they are durable, because compaction relies on the index to match the disk."""
        self._log.counts["journal_records"] += len(batch)
        self._log.counts["journal_writes"] += 1
        for record in batch:
            self._store.index.add(record)

    def _requeue(self, batch: Sequence[Record]) -> None:
        """Queues the outcomes of a failed write again. Its intents are dropped: none was written and none was sent."""
        others: list[Record] = [record for record in batch if not isinstance(record, Intent)]
        self._queue = others[:_MAX_QUEUED_RECORDS] + self._queue
        if not self._queue:  # writing is retried only while records are queued
            self._queue.append(Start(self._clock(), self._settings.node_name))

    def _apply_effect(self, number: int, effect: IntentEffect) -> None:
        """Applies an effect of the write-ahead rule to a pending intent."""
        pending = self._pending.pop(number)
        match effect:
            case IntentEffect.SEND:
                self.send(number, pending)
            case IntentEffect.REFUSE:
                self._log.counts["journal_refused"] += 1
                self.refuse(pending)
            case IntentEffect.RECORD_NOT_RUN:
                self.record_outcome(number, terms.NOT_SENT)
            case _:
                assert_never(effect)


def _ending(outcome: int) -> Ending:
    """Returns the ending to record for an outcome of `terms.py`."""
    if outcome == terms.DONE:
        return Ending.SUCCEEDED
    return Ending.NOT_RUN if outcome in _NOT_RUN_OUTCOMES else Ending.IN_DOUBT
