"""The desk between sockets and decisions: inputs go in, effects are carried out in order, one timer heap.

It owns the `Node`, the clock, the timers and the books of what is out. It must never decide anything, send
anything again, or let the node be entered while effects are being carried out: what ends then is queued.
"""

import time
from collections import deque
from heapq import heapify, heappop, heappush

from .. import terms as t
from ..books import Books
from ..choice import Node

MS = 10**6


class Clock:
    """The time that all machines share, wall clock at start, which then never goes back."""

    def __init__(self):
        self.offset = time.time_ns() - time.monotonic_ns()

    def __call__(self):
        return self.offset + time.monotonic_ns()


class Timers:
    """One heap and one timer of the loop. An entry is [due, number, what, about]; emptied as they fall due,
    and of those called off once they are the greater part."""

    def __init__(self, loop, clock):
        self.loop, self.clock = loop, clock
        self.heap, self.number, self.dead, self.handle = [], 0, 0, None

    def after(self, delay, what, *about):
        return self.at(self.clock() + delay, what, *about)

    def at(self, due, what, *about):
        self.number += 1
        entry = [due, self.number, what, about]
        heappush(self.heap, entry)
        if self.heap[0] is entry:
            self.arm()
        return entry

    def call_off(self, entry):
        if entry[2] is not None:
            entry[2] = entry[3] = None
            self.dead += 1
            if self.dead > 64 and 2 * self.dead > len(self.heap):
                # Guards against time-outs of txns long answered that would pile up until they fall due.
                self.heap = [entry for entry in self.heap if entry[2] is not None]
                heapify(self.heap)
                self.dead = 0
            if self.handle and (not self.heap or self.heap[0] is entry):
                self.arm()

    def arm(self):
        """Guards against waking for time-outs of what was answered long ago: a wake is dear, a pop is not."""
        heap = self.heap
        while heap and heap[0][2] is None:
            heappop(heap)
            self.dead -= 1
        if self.handle:
            self.handle.cancel()
            self.handle = None
        if heap:
            wait = max(0, heap[0][0] - self.clock())
            self.handle = self.loop.call_later((wait + MS - 1) // MS / 1000, self.fire)

    def close(self):
        """Ends all of them."""
        self.heap.clear()
        self.dead = 0
        if self.handle:
            self.handle.cancel()
            self.handle = None

    def fire(self):
        self.handle = None
        now = self.clock()
        try:
            while self.heap and self.heap[0][0] <= now:
                _, _, what, about = entry = heappop(self.heap)
                if what is None:
                    self.dead -= 1
                else:
                    entry[2] = None  # too late to be called off
                    what(*about)
        finally:  # guards against one defect that would stop all timers
            if self.handle is None:
                self.arm()


class Held:
    """A once-only submission whose intent is not durable yet: it stands where its connection will."""

    __slots__ = ("desk", "exchange", "attempt", "server", "due", "number", "timer")

    def __init__(self, desk, exchange, attempt, server, allow):
        self.desk, self.exchange, self.attempt, self.server = desk, exchange, attempt, server
        self.due = desk.clock() + allow
        # Guards rule 1 against a disk that stands still: what has not left by its end never will.
        self.timer = desk.timers.at(self.due, self.finish, t.UNSENT)

    def over(self):
        self.desk.timers.call_off(self.timer)
        self.exchange.links.pop(self.attempt, None)

    def finish(self, how):
        if self.desk.journal.call_off(self.number):
            self.over()
            self.desk.ended(self.exchange, self.attempt, self.server, how, 0)


class Desk:
    """`core`, `upstream` and `counter` are set by the program once they are made."""

    def __init__(self, loop, clock, terms, seed, ride, log):
        self.clock = clock
        self.timers = Timers(loop, self.clock)
        self.books, self.log, self.counts = Books(), log, log.counts
        self.node = Node(terms, seed, self.clock())
        self.once_only = [product.kind == t.ONCE_ONLY for product in terms.products]
        self.running, self.queue, self.now = False, deque(), 0
        self.reminders = []  # heap of (latest, due, ref); emptied as they fall due
        self.ride, self.ride_part = ride
        self.alarm, self.alarm_due = None, 0
        self.core = self.upstream = self.counter = None
        self.journal = None  # holds once-only submissions until they are recorded; None: nobody asked for it
        self.record = None  # takes decisions for the syslog sink; None: nobody asked for them
        self.writers = {
            t.Submit: self.submit,
            t.Cancel: self.cancel,
            t.Decline: self.decline,
            t.Void: self.void,
            t.Remind: self.remind,
            t.Probe: self.probe,
            t.Add: self.add,
            t.Subscribe: self.subscribe,
            t.Notice: self.notice,
        }

    def begin(self):
        self.tell(None)

    def tell(self, told):
        """Guards against re-entry: an effect that ends at once (a refused connect, say) waits its turn; what
        the server list says goes before it, so that no later send goes by the older list."""
        if type(told) is t.ServerList:
            self.queue.appendleft(told)
        else:
            self.queue.append(told)
        if not self.running:
            self.work()

    def work(self):
        """Reminders ride along with whatever woke the node, and wake it themselves only when none comes within
        a small part of their delay: a wake costs several times what most inputs do."""
        self.running, writers, take, told = True, self.writers, self.node.take, None
        queue, reminders = self.queue, self.reminders
        try:
            while True:
                self.now = now = self.clock()
                if queue:
                    told = queue.popleft()
                elif reminders and reminders[0][1] <= now:
                    told = t.Due(heappop(reminders)[2])
                else:
                    break
                for effect in take(now, told):
                    writers[type(effect)](effect)
        except Exception as trouble:
            self.fault(told, trouble)
        finally:
            self.running = False
            self.books.settle_up()
        if queue:
            return self.work()
        due = reminders[0][0] if reminders else 0
        if due != self.alarm_due:
            if self.alarm:
                self.timers.call_off(self.alarm)
            self.alarm, self.alarm_due = self.timers.at(due, self.work) if due else None, due

    def fault(self, told, trouble):
        """Guards rule 1 against a defect of ours: the txn it struck is voided, which promises nothing."""
        self.counts["faults"] += 1
        where = trouble.__traceback__
        while where.tb_next:
            where = where.tb_next
        self.log.record_limited(
            "fault",
            type(told).__name__,
            trouble=repr(trouble),
            at=f"{where.tb_frame.f_code.co_filename}:{where.tb_lineno}",
        )
        txn = getattr(told, "txn", None)
        if txn in self.books.out and not self.books.out[txn][2]:
            exchange = self.books.txns.ids[txn]
            self.books.finish(txn)
            self.core.void(exchange)
            for attempt in list(exchange.links):
                self.upstream.cancel(exchange, attempt)

    # ---- inputs

    def arrived(
        self, exchange, product, plan, account, units, expires_in, set_size, within=None, tries=0, pull=1.0, rank=0.0
    ):
        exchange.txn = txn = self.books.take(exchange)
        self.tell(t.Arrival(txn, product, plan, account, units, expires_in, set_size, within, tries, pull, rank))

    def left(self, exchange):
        if self.books.out[exchange.txn][2]:
            return
        self.books.finish(exchange.txn)
        self.tell(t.Left(exchange.txn))

    def ended(self, exchange, attempt, server, how, took, true_units=0, use=None, body=None, relay=None):
        """A submission has ended. The first answer goes to the client by itself and ends the txn; `relay` is
        the connection that gives the body of a large one as it comes."""
        txn = exchange.txn
        final = self.books.back(txn, attempt, server, how == t.DONE)
        exchange.links.pop(attempt, None)
        if exchange.number is not None:
            self.journal.outcome(exchange.number, how)
            exchange.number = None
        if self.record and how == t.DONE:
            self.record("settled", exchange)
        if how == t.DONE and exchange.client:
            self.core.settle(exchange, body, relay)
        self.tell(t.Ended(txn, server, how, took, final, true_units, attempt, use))

    def probed(self, server, how, took, report):
        self.books.busy[server] -= 1
        self.tell(t.Probed(server, how, took, report))

    def counted(self, name, total, how, took):
        self.tell(t.Counted(name, total, how, took))

    def listed(self, whole, rows):
        """`rows`: uid, state, zone, cell, weight, came_up, and the address, which only `upstream` needs; at times how near."""
        said = []
        for uid, state, zone, cell, weight, came_up, address, *near in rows:
            index = self.books.listed(uid, state == t.REMOVED)
            if index is not None:
                said.append(t.Listed(index, state, zone, cell, weight, came_up, *near))
                if self.record:
                    self.record(None, uid, state=state)
                self.upstream.listed(index, uid, address, state == t.UP)
        if whole:
            self.books.only(said)
        for index in self.books.gone:
            self.upstream.removed(index)
        self.tell(t.ServerList(whole, False, said))

    # ---- effects

    def submit(self, e):
        exchange = self.books.txns.ids[e.txn]
        attempt = self.books.sent(e.txn, e.server)
        self.counts["submissions"] += 1
        if self.record:
            exchange.box = self.upstream.uid(e.server)
        if exchange.mark and self.core.storm:
            self.core.storm.sent(exchange.mark)
        if attempt:
            self.counts["copies" if exchange.links else "resent"] += 1
        if self.journal and self.once_only[exchange.product]:
            return self.hold(exchange, attempt, e.server, e.allow)
        self.upstream.submit(exchange, attempt, e.server, e.allow)

    def hold(self, exchange, attempt, server, allow):
        held = Held(self, exchange, attempt, server, allow)
        held.number = self.journal.intend(exchange, attempt, self.upstream.uid(server), held)
        if held.number is None:
            return self.refuse(held)
        exchange.links[attempt] = held

    def refuse(self, held):
        """It cannot be recorded, so it does not leave."""
        held.over()
        self.ended(held.exchange, held.attempt, held.server, t.UNSENT, 0)

    def release(self, number, held):
        """Its intent is durable. A box that drains by now gets nothing: `upstream` says that it was not seen."""
        held.over()
        held.exchange.number = number
        self.upstream.submit(held.exchange, held.attempt, held.server, max(MS, held.due - self.clock()))

    def cancel(self, e):
        self.upstream.cancel(self.books.txns.ids[e.txn], e.attempt)

    def decline(self, e):
        self.books.finish(e.txn)
        if self.record:
            self.record(
                "declined", self.books.txns.ids[e.txn], back_in=e.back_in // MS, why="quota" if e.beyond else "room"
            )
        back_in = e.back_in
        if self.core.storm and back_in and not e.beyond:  # for want of room: by the measured recovery
            back_in = self.core.storm.advice(back_in, self.now)
        self.core.decline(self.books.txns.ids[e.txn], back_in)

    def void(self, e):
        self.books.finish(e.txn)
        if self.record:
            self.record("voided", self.books.txns.ids[e.txn])
        self.core.void(self.books.txns.ids[e.txn])

    def remind(self, e):
        due = self.now + e.delay
        heappush(self.reminders, (due + min(self.ride, e.delay // self.ride_part), due, e.ref))

    def probe(self, e):
        self.books.asked(e.server)
        self.upstream.probe(e.server)

    def add(self, e):
        self.counter.add(e.name, e.amount, e.life)

    def notice(self, e):
        self.counts[f"counter_{e.what}"] += 1
        self.log.record("counter", news=e.what, heard=e.heard)
        if self.record:
            self.record("counter", None, news=e.what, heard=e.heard)

    def subscribe(self, e):
        pass  # the watch runs from the start and mends itself
