"""The load tool's clients: open-loop sending, answers sorted into outcomes, retries on the client's own schedule.

It owns the connections to the edge nodes and one row a txn. Latency runs from the intended moment of the first try,
so a tool or a node that falls behind shows (no coordinated omission). A txn is sent again by itself only where the
platform's page lets a client do so: on a reused connection that ended before any answer, and never once-only.
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
# One row a txn. `at`, `lag`, `took` in ns: intended moment from the start, first send behind it, final answer
# behind it. `tries` that were sent; `advised`: ms of the last Retry-After, -1 for none.
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


class Txn:
    __slots__ = (
        "number",
        "stream",
        "account",
        "product",
        "at",
        "tries",
        "node",
        "deadline",
        "link",
        "timer",
        "lag",
        "advised",
        "first",
        "resent",
    )

    def __init__(self, number, stream, account, product, at):
        self.number, self.stream, self.account, self.product, self.at = number, stream, account, product, at
        self.tries, self.lag, self.advised, self.first, self.resent = 0, -1, -1.0, -1, False
        self.link = self.timer = None


class Link(asyncio.Protocol):
    """One connection to one node: one txn at a time."""

    __slots__ = ("pool", "transport", "parser", "txn", "since", "used", "heard", "status", "advice", "keep", "whole")

    def __init__(self, pool):
        self.pool, self.transport, self.txn = pool, None, None
        self.since, self.used, self.whole = 0, False, False

    def connection_made(self, transport):
        self.transport = transport
        self.parser = httptools.HttpResponseParser(self)
        if self.txn is not None:
            return self.send()
        self.since = self.pool.client.clock()  # its txn gave up while it was opened
        self.pool.idle.append(self)

    def connection_lost(self, trouble):
        txn, self.txn, self.transport = self.txn, None, None
        self.pool.parted(self)
        if txn is not None:
            self.pool.client.cut(txn, self.used and not self.heard)

    def eof_received(self):
        return False

    def send(self):
        self.heard, self.whole = False, False
        self.transport.write(self.pool.client.text(self.txn))

    def data_received(self, data):
        self.heard = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            return self.transport.abort()
        if self.whole:
            self.whole, self.used = False, True
            txn, self.txn = self.txn, None
            if self.keep:
                self.since = self.pool.client.clock()
                self.pool.idle.append(self)
            else:
                self.transport.close()
            if txn is not None:
                self.pool.client.answered(txn, self.status, self.advice)

    def on_message_begin(self):
        self.advice = None

    def on_header(self, name, value):
        if name.lower() == b"retry-after":
            try:
                self.advice = float(value)
            except ValueError:
                pass

    def on_message_complete(self):
        self.status, self.keep, self.whole = self.parser.get_status_code(), self.parser.should_keep_alive(), True


class Pool:
    """Connections to one node. Past `most`, txns wait in line; their latency runs on."""

    def __init__(self, client, address, most):
        host, _, port = address.rpartition(":")
        self.client, self.host, self.port, self.most = client, host, int(port), most
        self.idle, self.links, self.line, self.opened = deque(), 0, deque(), 0

    def submit(self, txn):
        while self.idle:
            link = self.idle.pop()
            if link.transport is not None and not link.transport.is_closing():
                return self.use(link, txn)
        if self.links < self.most:
            link = Link(self)
            link.heard = False
            self.links, self.opened = self.links + 1, self.opened + 1
            txn.link, link.txn = link, txn
            self.client.loop.create_task(self.open(link))
            return self.client.sent(txn)
        self.line.append(txn)

    def use(self, link, txn):
        txn.link, link.txn = link, txn
        self.client.sent(txn)
        link.send()

    async def open(self, link):
        try:
            await self.client.loop.create_connection(lambda: link, self.host, self.port)
        except OSError:
            txn, link.txn = link.txn, None
            self.parted(link)
            if txn is not None:
                self.client.cut(txn, False, refused=True)

    def parted(self, link):
        self.links -= 1
        if link in self.idle:
            self.idle.remove(link)

    def serve_line(self):
        while self.line and (self.idle or self.links < self.most):
            txn = self.line.popleft()
            if txn.link is None and txn.timer is not None:
                self.submit(txn)

    def sweep(self, oldest):
        while self.idle and self.idle[0].since < oldest:
            self.idle.popleft().transport.close()


class Pacer:
    """Wakes the loop at given moments to within some tens of us, where the loop's own timers round to whole ms: a
    thread sleeps and writes to an eventfd."""

    def __init__(self, loop, moments, start, what):
        self.loop, self.moments, self.start, self.what, self.ended = loop, moments, start, what, False
        self.fd = os.eventfd(0, os.EFD_NONBLOCK)
        loop.add_reader(self.fd, self.wake)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        gap, last = MS // 10, 0  # arrivals within 0.1 ms share a wake
        for at in self.moments:
            if at < last + gap and last:
                continue
            due = self.start + int(at)
            wait = due - time.monotonic_ns()
            if wait > 0:
                time.sleep(wait / SEC)
            last = int(at)
            os.eventfd_write(self.fd, 1)
        while not self.ended:  # what came within the last gap
            time.sleep(0.001)
            os.eventfd_write(self.fd, 1)
        os.close(self.fd)

    def end(self):
        """For those who need no more of it before their process ends."""
        self.loop.remove_reader(self.fd)
        self.ended = True

    def wake(self):
        try:
            os.eventfd_read(self.fd)
        except BlockingIOError:
            pass
        self.what()


class Clients:
    """All clients of one worker. `due`: its arrivals. `targets`: addresses of the nodes (or of the boxes); `start`: monotonic ns."""

    def __init__(self, loop, plan, seed, worker, due, targets, start):
        self.loop, self.plan, self.start = loop, plan, start
        self.clock = time.monotonic_ns
        self.timers = TimerQueue(loop, self.clock)
        self.rng = Random(f"{seed}/clients/{worker}")
        self.due = due
        self.rows = np.zeros(len(self.due), ROW)
        self.next, self.open, self.worker, self.over = 0, 0, worker, None
        targets = [address.partition("/") for address in targets]  # a node's address, and behind a / that for MQTT
        self.pools = [Pool(self, address, plan.load.connections) for address, _, _ in targets]
        self.publishers = []
        if any(stream.front != "http" for stream in plan.load.streams):
            from .publishers import Publishers

            self.publishers = [Publishers(self, address) for _, _, address in targets]
        self.heads, self.sets = [], []
        nodes = max(1, plan.topology.nodes)
        for index, (name, stream) in enumerate(accounts(plan)):
            key, stream = account_key(name), plan.load.streams[stream]
            spread = stream.spread or nodes
            first = int(key[-4:], 16) % nodes
            self.sets.append(
                [(first + k) % nodes for k in range(spread)] if plan.topology.nodes else list(range(len(targets)))
            )
            self.heads.append(
                (f"X-Tier: {stream.plan}\r\nCookie: key={key}\r\n".encode(), f"spread={spread},first={first}".encode())
            )
        self.at = self.due.at.tolist()
        self.which = list(zip(self.due.stream.tolist(), self.due.account.tolist(), self.due.product.tolist()))
        self.pacer = Pacer(loop, self.due.at, start, self.fire)
        self.sweep()

    def sweep(self):
        self.timers.after(SEC // 4, self.sweep)
        for pool in self.pools:
            pool.sweep(self.clock() - round(self.plan.load.hold_idle_s * SEC))
            pool.serve_line()

    def fire(self):
        now = self.clock() - self.start
        while self.next < len(self.at) and self.at[self.next] <= now:
            number, self.next = self.next, self.next + 1
            self.open += 1
            self.attempt(Txn(number, *self.which[number], self.at[number]))
        self.check_over()

    def attempt(self, txn):
        """One try: a new X-Request-Id, and its own expiry."""
        txn.tries, txn.resent = txn.tries + 1, False
        txn.node = self.rng.choice(self.sets[txn.account])
        txn.deadline = self.clock() + round(self.plan.products[txn.product].expiry_ms * MS)
        txn.timer = self.timers.at(txn.deadline, self.expired, txn)
        front = self.plan.load.streams[txn.stream].front
        mqtt = front == "mqtt" or front == "both" and txn.number % 2
        (self.publishers if mqtt else self.pools)[txn.node].submit(txn)

    def sent(self, txn):
        if txn.tries == 1 and txn.lag < 0:
            txn.lag = self.clock() - self.start - txn.at

    def text(self, txn):
        product = self.plan.products[txn.product]
        tier, terms = self.heads[txn.account]
        mark = b"%d-%d" % (self.worker, txn.number)
        left = max(1, (txn.deadline - self.clock()) // MS)
        url = b"/api?a=%d&u=%g&p=%d&x=%s" % (txn.account, product.units, txn.product, mark)
        method = b"GET" if product.effect == "inquiry" else b"POST"
        more = b"Idempotency-Key: k%s\r\n" % mark if product.effect == "referenced" else b""
        if method == b"POST":
            more += b"Content-Length: 0\r\n"
        if txn.tries > 1:
            more += b"X-Retry: 1\r\n"
        return (
            b"%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s-%d\r\nX-Class: %s\r\n%sX-Deadline-Ms: %d\r\n"
            b"X-Call-Terms: units=%g,%s\r\n%s\r\n"
            % (method, url, mark, txn.tries, product.name.encode(), tier, left, product.units, terms, more)
        )

    # ---- ends of a try

    def answered(self, txn, status, advice):
        outcome = SETTLED if status == 200 else DECLINED if status in (429, 503) else VOIDED
        self.ended(txn, outcome, advice)

    def cut(self, txn, unread, refused=False):
        """Its connection ended without an answer, or never came up."""
        once = self.plan.products[txn.product].effect == "once_only"
        if txn.timer is None:
            return
        if not txn.resent and (unread and not once):
            txn.resent = True
            return self.pools[txn.node].submit(txn)
        self.ended(txn, BROKEN, None, refused)

    def expired(self, txn):
        """No answer by the expiry: the client goes away."""
        txn.timer = None
        link, txn.link = txn.link, None
        if link is not None and link.txn is txn:
            link.txn = None
            if link.transport is not None:
                link.transport.abort()
        self.ended(txn, LOST, None)

    def ended(self, txn, outcome, advice, unsent=False):
        if txn.timer is not None:
            self.timers.cancel(txn.timer)
            txn.timer = None
        txn.link = None
        if txn.first < 0:
            txn.first = outcome
        if advice is not None:
            txn.advised = advice * 1000.0
        product, retries = self.plan.products[txn.product], self.plan.load.streams[txn.stream].retries
        harmless = outcome == DECLINED or unsent or outcome != SETTLED and product.effect != "once_only"
        if harmless:
            wait = retry_wait(retries, txn.tries, advice, self.rng.random())
            if wait is not None:
                return self.timers.after(round(wait * SEC), self.attempt, txn)
        row = self.rows[txn.number]
        row["at"], row["lag"], row["took"] = txn.at, txn.lag, self.clock() - self.start - txn.at
        row["stream"], row["product"], row["account"], row["node"] = txn.stream, txn.product, txn.account, txn.node
        row["outcome"], row["tries"], row["advised"], row["first"] = outcome, txn.tries, txn.advised, txn.first
        self.open -= 1
        for pool in self.pools:
            if pool.line:
                pool.serve_line()
        self.check_over()

    def check_over(self):
        if self.next >= len(self.at) and not self.open and self.over:
            self.over()


def run_worker(job):
    """One worker process: plays its part of the schedule and writes its rows. `job` is what the runner hands over:
    plan, seed, worker, due (its arrivals), targets, start (Unix ns), out (path)."""
    plan = job["plan"]
    loop = uvloop.new_event_loop()
    start = job["start"] - time.time_ns() + time.monotonic_ns()
    clients = Clients(loop, plan, job["seed"], job["worker"], job["due"], job["targets"], start)
    clients.over = loop.stop
    longest = max(p.expiry_ms for p in plan.products) / 1000.0
    limit = start / SEC + plan.duration_s + 3 * longest + 30.0
    loop.call_later(max(0.0, limit - time.monotonic()), loop.stop)
    gc.collect()
    gc.freeze()
    gc.disable()
    loop.run_forever()
    rows = clients.rows[: clients.next]
    np.save(job["out"], rows[rows["tries"] > 0])
    return {
        "sent": int(clients.next),
        "ended": int((rows["tries"] > 0).sum()),
        "open": clients.open,
        "connections": sum(pool.opened for pool in clients.pools + clients.publishers),
    }
