"""The node's side of the journal: intents held until they are durable, outcomes noted, doubts known at the door.

It owns what waits for the next write. It must never send: it hands over what `rules.py` lets go, and tells what it
does not. Records are numbered here; the batch is written on the store's thread, and its end comes back to the loop.
"""

from .. import terms as t
from . import records as r
from .rules import FAILED, FULL, REFUSE, SEND, WROTE, Ahead

MS, SEC = 10**6, 10**9
NOT_RUN = (t.UNSEEN, t.UNSENT, t.UNREACHED)


class Keeper:
    """`send(number, what)`, `refuse(what)`: of an intent, by what `intend` was given."""

    def __init__(self, loop, timers, clock, log, store, names, batch, retry=SEC, outcomes_most=65536):
        self.loop, self.timers, self.clock, self.log, self.counts, self.store = (
            loop,
            timers,
            clock,
            log,
            log.counts,
            store,
        )
        self.products = {index: name for name, index in names.products.items()}
        self.batch, self.retry, self.most = batch, retry, outcomes_most
        self.rules, self.number = Ahead(), store.index.last
        self.held = {}  # number of an intent to what waits for it; emptied by the ends of writes
        self.records = []  # (number of an intent or None, record) of the next write; bounded by the rules and `most`
        self.writing, self.timer = False, None
        self.send = self.refuse = None  # set by the once-only gate
        # Once-only txns that may have run before this start, by id: these are not taken again.
        self.doubted = {record[3].encode("latin-1") for record in store.index.doubts.values()}
        for name, at, size, why in store.damage[:20]:
            log.record("journal damaged", segment=name, offset=at, bytes=size, why=why)
        log.record(
            "journal read",
            last=self.number,
            doubts=len(self.doubted),
            settled=store.index.settled,
            not_run=store.index.not_run,
            damaged=len(store.damage),
        )

    # ---- of the once-only gate

    def may_take(self):
        return self.rules.may_take()

    def intend(self, exchange, attempt, box, what):
        """The number of an intent; its submission leaves when `send` is called with `what`. None: refused at once."""
        self.number += 1
        if not self.rules.intend(self.number):
            return None
        record = (
            r.INTENT,
            self.number,
            self.clock(),
            exchange.id.decode("latin-1"),
            self.products[exchange.product],
            exchange.account,
            box,
            attempt,
        )
        self.held[self.number] = what
        self.put(self.number, record)
        return self.number

    def call_off(self, number):
        return self.rules.call_off(number)

    def outcome(self, number, how):
        """A submission ended. What may have run stays in doubt, and is said so once it is known to."""
        word = r.SETTLED if how == t.DONE else r.NOT_RUN if how in NOT_RUN else r.DOUBT
        if len(self.records) < self.most:  # past it the txn is in doubt after a crash, which is the safe side
            self.put(None, (r.OUTCOME, number, self.clock(), word))

    # ---- writes

    def put(self, number, record):
        self.records.append((number, record))
        if not self.writing and self.timer is None:
            wait = self.retry if self.rules.state == FULL else self.batch
            self.timer = self.timers.after(wait, self.write)

    def write(self):
        self.timer, self.writing = None, True
        batch, self.records = self.records, []
        touched = [number for number, _ in batch if number is not None]
        done = self.store.thread.submit(self.store.append, [r.pack(record) for _, record in batch], touched)
        done.add_done_callback(lambda done: self.loop.call_soon_threadsafe(self.written, batch, touched, done))

    def written(self, batch, numbers, done):
        self.writing = False
        trouble = done.exception()
        if trouble is None:
            self.counts["journal_records"] += len(batch)
            self.counts["journal_writes"] += 1
            for _, record in batch:  # not sooner: compaction goes by what stands on the disk
                self.store.index.add(record)
        elif not isinstance(trouble, OSError):
            self.log.record_limited("fault", "journal", trouble=repr(trouble))
        effects, news = self.rules.ended(FAILED if trouble else WROTE, numbers)
        if news:
            self.log.record("journal", state=self.rules.state, why=str(trouble or ""))
        if trouble:
            # The intents of it are nowhere, and none has left; outcomes are tried again.
            self.records = [row for row in batch if row[0] is None][: self.most] + self.records
            if not self.records:  # guards against a journal that is never tried again for want of anything to write
                self.records.append((None, (r.START, self.clock(), self.store.name)))
        for number, effect in effects:
            what = self.held.pop(number)
            if effect == SEND:
                self.send(number, what)
            elif effect == REFUSE:
                self.counts["journal_refused"] += 1
                self.refuse(what)
            else:
                self.outcome(number, t.UNSENT)
        for number in numbers:
            self.held.pop(number, None)
        if self.records and self.timer is None:
            self.timer = self.timers.after(self.retry if self.rules.state == FULL else self.batch, self.write)

    def close(self):
        """Writes the outcomes that are left; the loop has stopped, so an intent that still waits never leaves."""
        self.store.thread.shutdown()
        try:
            if left := [r.pack(record) for number, record in self.records if number is None]:
                self.store.append(left)
        except OSError as trouble:
            self.log.record("journal", state=FULL, why=str(trouble))
        self.store.close()
