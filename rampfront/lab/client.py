"""The load tool's clients: open-loop sending, classification of responses, retries on the client's own schedule.

This module owns the connections to the edge nodes and one result row for each transaction. Latency is measured from the
intended time of the first try, so that delays of the tool or of a node are included (no coordinated omission). A
transaction is resent automatically only where the platform's specification permits that: on a reused connection that
ended before any byte of a response, and never if it is once-only.
"""

import asyncio
import gc
import os
import threading
import time
from collections import deque
from random import Random

import httptools
import numpy as np
import uvloop

from ..net.timers import TimerQueue
from .emulator import account_key
from .schedule import SEC, accounts, retry_wait

MS = 10**6
SETTLED, DECLINED, VOIDED, LOST, BROKEN = range(5)
OUTCOMES = ("settled", "declined", "voided", "lost", "broken")
# One row for each transaction. In ns: `at`, the intended time since the start; `lag`, from then to the first send;
# `took`, from then to the final response. `tries`: number of tries sent; `advised`: the last Retry-After in ms, -1 for
# none; `first`: the outcome of the first try.
ROW = np.dtype(
    [
        ("at", "i8"),
        ("lag", "i8"),
        ("took", "i8"),
        ("stream", "i2"),
        ("product", "i2"),
        ("account", "i4"),
        ("node", "i2"),
        ("outcome", "i1"),
        ("tries", "i2"),
        ("advised", "f4"),
        ("first", "i1"),
    ]
)


class Transaction:
    """One transaction, over all of its tries."""

    __slots__ = (
        "number",
        "stream",
        "account",
        "product",
        "at",
        "tries",
        "node",
        "deadline",
        "connection",
        "timer",
        "lag",
        "advised",
        "first_outcome",
        "resent",
    )

    def __init__(self, number, stream, account, product, at):
        """`number`: its index in the schedule; `at`: its intended time in ns since the start."""
        self.number, self.stream, self.account, self.product, self.at = number, stream, account, product, at
        self.tries, self.lag, self.advised, self.first_outcome, self.resent = 0, -1, -1.0, -1, False
        self.connection = self.timer = None


class PooledConnection(asyncio.Protocol):
    """One connection to one node, with one transaction at a time."""

    __slots__ = (
        "pool",
        "transport",
        "parser",
        "txn",
        "idle_since",
        "reused",
        "received_any",
        "status",
        "retry_after_s",
        "keep_alive",
        "complete",
    )

    def __init__(self, pool):
        """`pool`: the pool that it belongs to."""
        self.pool, self.transport, self.txn = pool, None, None
        self.idle_since, self.reused, self.complete = 0, False, False

    def connection_made(self, transport):
        """Called by the event loop: the connection is up. Sends the transaction that it was opened for."""
        self.transport = transport
        self.parser = httptools.HttpResponseParser(self)
        if self.txn is not None:
            return self.send()
        self.idle_since = self.pool.client.clock()  # its transaction expired while it was being opened
        self.pool.idle.append(self)

    def connection_lost(self, error):
        """Called by the event loop: the connection has ended."""
        txn, self.txn, self.transport = self.txn, None, None
        self.pool.on_connection_closed(self)
        if txn is not None:
            self.pool.client.on_connection_failed(txn, self.reused and not self.received_any)

    def eof_received(self):
        """Called by the event loop: the peer sends nothing more. Returns False, so that the loop closes the
        transport."""
        return False

    def send(self):
        """Sends the request of its transaction."""
        self.received_any, self.complete = False, False
        self.transport.write(self.pool.client.encode_request(self.txn))

    def data_received(self, data):
        """Called by the event loop: bytes of a response."""
        self.received_any = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            return self.transport.abort()
        if self.complete:
            self.complete, self.reused = False, True
            txn, self.txn = self.txn, None
            if self.keep_alive:
                self.idle_since = self.pool.client.clock()
                self.pool.idle.append(self)
            else:
                self.transport.close()
            if txn is not None:
                self.pool.client.on_answered(txn, self.status, self.retry_after_s)

    def on_message_begin(self):
        """Called by the parser: a response begins."""
        self.retry_after_s = None

    def on_header(self, name, value):
        """Called by the parser: a header."""
        if name.lower() == b"retry-after":
            try:
                self.retry_after_s = float(value)
            except ValueError:
                pass

    def on_message_complete(self):
        """Called by the parser: the response is complete."""
        self.status, self.keep_alive, self.complete = (
            self.parser.get_status_code(),
            self.parser.should_keep_alive(),
            True,
        )


class Pool:
    """The connections to one node. Beyond `max_connections`, transactions wait; the wait counts as latency."""

    def __init__(self, client, address, max_connections):
        """`address`: of the node, as `host:port`."""
        host, _, port = address.rpartition(":")
        self.client, self.host, self.port, self.max_connections = client, host, int(port), max_connections
        self.idle, self.open_connections, self.waiting, self.opened_connections = deque(), 0, deque(), 0

    def submit(self, txn):
        """Sends a transaction on an idle or a new connection, or queues it."""
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return self.send_on(connection, txn)
        if self.open_connections < self.max_connections:
            connection = PooledConnection(self)
            connection.received_any = False
            self.open_connections, self.opened_connections = self.open_connections + 1, self.opened_connections + 1
            txn.connection, connection.txn = connection, txn
            self.client.loop.create_task(self.open(connection))
            return self.client.record_first_send(txn)
        self.waiting.append(txn)

    def send_on(self, connection, txn):
        """Sends a transaction on an open connection."""
        txn.connection, connection.txn = connection, txn
        self.client.record_first_send(txn)
        connection.send()

    async def open(self, connection):
        """Opens a connection for its transaction."""
        try:
            await self.client.loop.create_connection(lambda: connection, self.host, self.port)
        except OSError:
            txn, connection.txn = connection.txn, None
            self.on_connection_closed(connection)
            if txn is not None:
                self.client.on_connection_failed(txn, False, refused=True)

    def on_connection_closed(self, connection):
        """Removes a connection that ended."""
        self.open_connections -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def dispatch_waiting(self):
        """Sends queued transactions while there are connections for them."""
        while self.waiting and (self.idle or self.open_connections < self.max_connections):
            txn = self.waiting.popleft()
            if txn.connection is None and txn.timer is not None:
                self.submit(txn)

    def close_idle(self, idle_before):
        """Closes the connections that have been idle since before `idle_before`."""
        while self.idle and self.idle[0].idle_since < idle_before:
            self.idle.popleft().transport.close()


class Pacer:
    """Wakes the event loop at given times to within some tens of µs, where the loop's own timers round to whole ms. A
    thread sleeps and writes to an eventfd."""

    def __init__(self, loop, moments, start, callback):
        """`moments`: ns since `start`, ascending; `start`: monotonic time in ns; `callback`: called at each moment."""
        self.loop, self.moments, self.start, self.callback, self.stopped = loop, moments, start, callback, False
        self.fd = os.eventfd(0, os.EFD_NONBLOCK)
        loop.add_reader(self.fd, self.wake)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        """The thread."""
        gap, last = MS // 10, 0  # arrivals within 0.1 ms share one wake-up
        for at in self.moments:
            if at < last + gap and last:
                continue
            due = self.start + int(at)
            wait = due - time.monotonic_ns()
            if wait > 0:
                time.sleep(wait / SEC)
            last = int(at)
            os.eventfd_write(self.fd, 1)
        while not self.stopped:  # for arrivals within the last gap
            time.sleep(0.001)
            os.eventfd_write(self.fd, 1)
        os.close(self.fd)

    def end(self):
        """Stops the pacer, for callers whose process continues."""
        self.loop.remove_reader(self.fd)
        self.stopped = True

    def wake(self):
        """Called by the event loop when the thread has written."""
        try:
            os.eventfd_read(self.fd)
        except BlockingIOError:
            pass
        self.callback()


class Clients:
    """All clients of one worker."""

    def __init__(self, loop, plan, seed, worker, due, targets, start):
        """`due`: the worker's schedule (`Arrivals`); `targets`: addresses of the nodes, or of the servers; `start`:
        monotonic time in ns."""
        self.loop, self.plan, self.start = loop, plan, start
        self.clock = time.monotonic_ns
        self.timers = TimerQueue(loop, self.clock)
        self.rng = Random(f"{seed}/clients/{worker}")
        self.due = due
        self.rows = np.zeros(len(self.due), ROW)
        self.next_index, self.unfinished, self.worker, self.on_finished = 0, 0, worker, None
        # A target is a node's address, followed by a slash and the address of its MQTT listener if it has one.
        targets = [address.partition("/") for address in targets]
        self.pools = [Pool(self, address, plan.load.connections) for address, _, _ in targets]
        self.publishers = []
        if any(stream.front != "http" for stream in plan.load.streams):
            from .publishers import Publishers

            self.publishers = [Publishers(self, address) for _, _, address in targets]
        self.account_headers, self.node_choices = [], []
        nodes = max(1, plan.topology.nodes)
        for index, (name, stream) in enumerate(accounts(plan)):
            key, stream = account_key(name), plan.load.streams[stream]
            spread = stream.spread or nodes
            first = int(key[-4:], 16) % nodes
            self.node_choices.append(
                [(first + k) % nodes for k in range(spread)] if plan.topology.nodes else list(range(len(targets)))
            )
            self.account_headers.append(
                (f"X-Tier: {stream.plan}\r\nCookie: key={key}\r\n".encode(), f"spread={spread},first={first}".encode())
            )
        self.at = self.due.at.tolist()
        self.attributes = list(zip(self.due.stream.tolist(), self.due.account.tolist(), self.due.product.tolist()))
        self.pacer = Pacer(loop, self.due.at, start, self.send_due)
        self.close_idle()

    def close_idle(self):
        """Closes idle connections and dispatches queued transactions every 0.25 s."""
        self.timers.after(SEC // 4, self.close_idle)
        for pool in self.pools:
            pool.close_idle(self.clock() - round(self.plan.load.hold_idle_s * SEC))
            pool.dispatch_waiting()

    def send_due(self):
        """Starts all transactions that are due."""
        now = self.clock() - self.start
        while self.next_index < len(self.at) and self.at[self.next_index] <= now:
            number, self.next_index = self.next_index, self.next_index + 1
            self.unfinished += 1
            self.start_try(Transaction(number, *self.attributes[number], self.at[number]))
        self.check_finished()

    def start_try(self, txn):
        """Starts one try, with a new X-Request-Id and its own expiry."""
        txn.tries, txn.resent = txn.tries + 1, False
        txn.node = self.rng.choice(self.node_choices[txn.account])
        txn.deadline = self.clock() + round(self.plan.products[txn.product].expiry_ms * MS)
        txn.timer = self.timers.at(txn.deadline, self.on_expired, txn)
        front = self.plan.load.streams[txn.stream].front
        mqtt = front == "mqtt" or front == "both" and txn.number % 2
        (self.publishers if mqtt else self.pools)[txn.node].submit(txn)

    def record_first_send(self, txn):
        """Records the lag of a transaction at its first send."""
        if txn.tries == 1 and txn.lag < 0:
            txn.lag = self.clock() - self.start - txn.at

    def encode_request(self, txn):
        """Returns the HTTP request of a transaction's present try."""
        product = self.plan.products[txn.product]
        headers, terms = self.account_headers[txn.account]
        transaction_id = b"%d-%d" % (self.worker, txn.number)
        time_left_ms = max(1, (txn.deadline - self.clock()) // MS)
        url = b"/api?a=%d&u=%g&p=%d&x=%s" % (txn.account, product.units, txn.product, transaction_id)
        method = b"GET" if product.effect == "inquiry" else b"POST"
        extra_headers = b"Idempotency-Key: k%s\r\n" % transaction_id if product.effect == "referenced" else b""
        if method == b"POST":
            extra_headers += b"Content-Length: 0\r\n"
        if txn.tries > 1:
            extra_headers += b"X-Retry: 1\r\n"
        return (
            b"%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s-%d\r\nX-Class: %s\r\n%sX-Deadline-Ms: %d\r\n"
            b"X-Call-Terms: units=%g,%s\r\n%s\r\n"
            % (
                method,
                url,
                transaction_id,
                txn.tries,
                product.name.encode(),
                headers,
                time_left_ms,
                product.units,
                terms,
                extra_headers,
            )
        )

    # ---- the end of a try

    def on_answered(self, txn, status, retry_after_s):
        """Handles a response."""
        outcome = SETTLED if status == 200 else DECLINED if status in (429, 503) else VOIDED
        self.finish_try(txn, outcome, retry_after_s)

    def on_connection_failed(self, txn, nothing_received, refused=False):
        """Handles a connection that ended without a response, or was not established (`refused`). `nothing_received`:
        the connection was reused and ended before any byte of a response."""
        once = self.plan.products[txn.product].effect == "once_only"
        if txn.timer is None:
            return
        if not txn.resent and (nothing_received and not once):
            txn.resent = True
            return self.pools[txn.node].submit(txn)
        self.finish_try(txn, BROKEN, None, refused)

    def on_expired(self, txn):
        """Handles a try without a response by its expiry: the client disconnects."""
        txn.timer = None
        connection, txn.connection = txn.connection, None
        if connection is not None and connection.txn is txn:
            connection.txn = None
            if connection.transport is not None:
                connection.transport.abort()
        self.finish_try(txn, LOST, None)

    def finish_try(self, txn, outcome, retry_after_s, unsent=False):
        """Ends a try: schedules the next one, or writes the transaction's row. `unsent`: it never reached the node."""
        if txn.timer is not None:
            self.timers.cancel(txn.timer)
            txn.timer = None
        txn.connection = None
        if txn.first_outcome < 0:
            txn.first_outcome = outcome
        if retry_after_s is not None:
            txn.advised = retry_after_s * 1000.0
        product, retries = self.plan.products[txn.product], self.plan.load.streams[txn.stream].retries
        may_retry = outcome == DECLINED or unsent or outcome != SETTLED and product.effect != "once_only"
        if may_retry:
            wait = retry_wait(retries, txn.tries, retry_after_s, self.rng.random())
            if wait is not None:
                return self.timers.after(round(wait * SEC), self.start_try, txn)
        row = self.rows[txn.number]
        row["at"], row["lag"], row["took"] = txn.at, txn.lag, self.clock() - self.start - txn.at
        row["stream"], row["product"], row["account"], row["node"] = txn.stream, txn.product, txn.account, txn.node
        row["outcome"], row["tries"], row["advised"], row["first"] = outcome, txn.tries, txn.advised, txn.first_outcome
        self.unfinished -= 1
        for pool in self.pools:
            if pool.waiting:
                pool.dispatch_waiting()
        self.check_finished()

    def check_finished(self):
        """Calls `on_finished` when every transaction has its row."""
        if self.next_index >= len(self.at) and not self.unfinished and self.on_finished:
            self.on_finished()


def run_worker(job):
    """Runs one worker process: executes its part of the schedule and writes its rows. `job`: the parameters from the
    runner, which are plan, seed, worker, due (its schedule), targets, start (Unix time in ns) and out (path)."""
    plan = job["plan"]
    loop = uvloop.new_event_loop()
    start = job["start"] - time.time_ns() + time.monotonic_ns()
    clients = Clients(loop, plan, job["seed"], job["worker"], job["due"], job["targets"], start)
    clients.on_finished = loop.stop
    longest = max(p.expiry_ms for p in plan.products) / 1000.0
    limit = start / SEC + plan.duration_s + 3 * longest + 30.0
    loop.call_later(max(0.0, limit - time.monotonic()), loop.stop)
    gc.collect()
    gc.freeze()
    gc.disable()
    loop.run_forever()
    rows = clients.rows[: clients.next_index]
    np.save(job["out"], rows[rows["tries"] > 0])
    return {
        "sent": int(clients.next_index),
        "ended": int((rows["tries"] > 0).sum()),
        "open": clients.unfinished,
        "connections": sum(pool.opened_connections for pool in clients.pools + clients.publishers),
    }
