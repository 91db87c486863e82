"""The counter: RESP2 on one connection, calls written one after another, answers in their order.

It owns that connection, the time-out of each call and the sorting of breaks into surely not added and maybe
added. It must never make a call by itself but PING, nor repeat one: what to add, and when, stands in
`choice.py`.
"""

import asyncio
from collections import deque

from .. import terms as t



def words(*parts):
    """A call in RESP2: an array of bulk strings. The short inline form is not for programs: it is reset."""
    return b"*%d\r\n" % len(parts) + b"".join([b"$%d\r\n%s\r\n" % (len(part), part) for part in parts])


PING, PING_TEXT = None, words(b"PING")


class Wire(asyncio.Protocol):
    """One connection. `calls` holds those without an answer, in order, as [name, when, written, told, text
    while not written]; emptied by answers and by the end of the connection."""

    def __init__(self, counter):
        self.counter, self.calls, self.rest = counter, deque(), b""
        self.transport = self.task = None
        self.heard = counter.clock()

    def opened(self, task):
        self.task = None
        if not task.cancelled() and task.exception() is not None:
            self.counter.lost(self, "no connection")

    def connection_made(self, transport):
        self.transport, self.heard = transport, self.counter.clock()
        if self.counter.wire is not self:
            return transport.abort()
        texts = []
        for call in self.calls:
            call[2] = True
            texts.append(call[4])
            call[4] = None
        if texts:
            transport.write(b"".join(texts))

    def connection_lost(self, trouble):
        self.counter.lost(self, "connection ended")

    def data_received(self, data):
        self.heard = self.counter.clock()
        data = self.rest + data if self.rest else data
        at = 0
        while True:
            end = data.find(b"\r\n", at)
            if end < 0:
                break
            mark, text, after = data[at:at + 1], data[at + 1:end], end + 2
            if mark == b"$" and text.isdigit() and len(text) < 4:
                after += int(text) + 2
                if len(data) < after:
                    break
                text = data[end + 2:after - 2]
            elif mark not in (b"+", b"-", b":"):
                return self.counter.lost(self, "odd answer")
            at = after
            if not self.calls or not self.counter.answer(self, mark, text):
                return self.counter.lost(self, "odd answer")
        self.rest = data[at:]
        if len(self.rest) > 4096:
            self.counter.lost(self, "odd answer")


class Counter:
    def __init__(self, loop, desk, address, wait, bounds, log):
        self.loop, self.desk, self.address, self.wait = loop, desk, address, wait
        self.bounds, self.log, self.counts = bounds, log, log.counts
        self.clock, self.timers = desk.clock, desk.timers
        self.wire, self.timer = None, None

    def connect(self):
        self.counts["counter_connects"] += 1
        self.wire = wire = Wire(self)
        wire.task = self.loop.create_task(self.loop.create_connection(lambda: wire, *self.address))
        wire.task.add_done_callback(wire.opened)
        return wire

    def add(self, name, amount, life):
        self.counts["adds"] += 1
        wire = self.wire or self.connect()
        if len(wire.calls) >= self.bounds.counter_calls:
            return self.tell(name, t.UNSEEN, 0)
        text = words(b"ADDGET", b"%d" % name, repr(amount).encode(), b"%d" % max(1, life // 10 ** 6))
        up = wire.transport is not None
        wire.calls.append([name, self.clock(), up, False, None if up else text])
        if up:
            wire.transport.write(text)
        if self.timer is None:
            self.timer = self.timers.after(self.wait, self.overdue)

    def tell(self, name, how, took, total=0.0):
        if how != t.DONE:
            self.counts["adds_timed_out" if how == t.TIMED_OUT else "adds_refused"] += 1
        self.desk.counted(name, total, how, took)

    def answer(self, wire, mark, text):
        """The answer of the oldest call; false if it is none."""
        name, when, _, told, _ = wire.calls[0]
        total = 0.0
        if name is PING:
            if mark != b"+":
                return False
        elif mark == b"$":
            try:
                total = float(text)
            except ValueError:
                return False
        elif mark != b"-":
            return False
        elif not text.startswith(b"BUSY"):
            # Guards against calls that are never understood and look, from afar, like a busy counter.
            self.log.note("counter refuses", text[:80].decode("latin-1"))
        wire.calls.popleft()
        if self.timer and not wire.calls:  # a wake for nothing is dear
            self.timers.call_off(self.timer)
            self.timer = None
        if name is not PING and not told:  # the answer to a call that has timed out is dropped
            self.tell(name, t.DONE if mark == b"$" else t.UNSEEN, self.clock() - when, total)
        return True

    def overdue(self):
        """One timer for all calls: they wait equally long, so the oldest that was not told is the next."""
        self.timer, now, wire = None, self.clock(), self.wire
        if wire is None:
            return
        late = []
        for call in wire.calls:
            if call[0] is PING or call[3]:
                continue
            if call[1] + self.wait > now:
                self.timer = self.timers.after(call[1] + self.wait - now, self.overdue)
                break
            call[3] = True
            late.append(call)
        if wire.transport is None:  # never written: nothing was added, nor will be
            wire.calls = deque(call for call in wire.calls if not call[3])
        for name, when, written, _, _ in late:
            self.tell(name, t.TIMED_OUT if written else t.UNSEEN, now - when)
        self.check(now)

    def check(self, now):
        """Guards against a connection that is open and quiet because its far end is gone."""
        wire = self.wire
        if wire is None or not wire.calls:
            return
        waited = now - max(wire.heard, wire.calls[0][1])
        if waited > self.bounds.counter_silent:
            self.lost(wire, "silent")

    def lost(self, wire, why):
        """What was written may have been added, what was not has not; neither is made again here."""
        if wire.task:
            wire.task.cancel()
        if wire.transport:
            wire.transport.abort()
        if self.wire is not wire:
            return
        self.wire, calls, now = None, wire.calls, self.clock()
        if calls or why != "connection ended":
            self.log.note("counter lost", why)
        for name, when, written, told, _ in calls:
            if name is not PING and not told:
                self.tell(name, t.TIMED_OUT if written else t.UNSEEN, now - when)

    def sweep(self):
        now, wire = self.clock(), self.wire
        if wire is None:
            return
        if wire.transport is None:
            if now - wire.heard > self.bounds.counter_silent:
                self.lost(wire, "never came up")
            return
        if not wire.calls and now - wire.heard > self.bounds.counter_ping:
            wire.calls.append([PING, now, True, False, None])
            wire.transport.write(PING_TEXT)
        self.check(now)
