"""The counter: RESP2, calls written one after another, answers in their order.

It owns the connection, the time-out of each call and the sorting of breaks into surely not added and maybe
added. It must never make a call by itself but PING, nor repeat one that was written: what to add, and when,
stands in `choice.py`. After a change of address the old connection lives on for the calls that are out on it.
"""

import asyncio
from collections import deque
from math import isfinite

from .. import terms as t

LARGEST = 1e15  # no total is beyond it


def words(*parts):
    """A call in RESP2: an array of bulk strings. The short inline form is not for programs: it is reset."""
    return b"*%d\r\n" % len(parts) + b"".join([b"$%d\r\n%s\r\n" % (len(part), part) for part in parts])


PING, PING_TEXT = None, words(b"PING")


def number(text):
    """A total, or None: what Python reads beside plain decimals (`nan`, `inf`, `1_0`) is none."""
    try:
        total = float(text) if b"_" not in text else None
    except ValueError:
        return None
    return total if total is not None and isfinite(total) and abs(total) <= LARGEST else None


class Wire(asyncio.Protocol):
    """One connection. `calls` holds those without an answer, in order, as [name, when, written, told, text
    while not written]; emptied by answers and by the end of the connection."""

    def __init__(self, counter):
        self.counter, self.calls, self.rest = counter, deque(), b""
        self.transport = self.task = self.timer = None
        self.heard, self.over = counter.clock(), False

    def opened(self, task):
        self.task = None
        if not task.cancelled() and task.exception() is not None:
            self.counter.lost(self, "no connection")

    def connection_made(self, transport):
        self.transport, self.heard = transport, self.counter.clock()
        if self.over:
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
        if self.over:
            return
        self.heard = self.counter.clock()
        data = self.rest + data if self.rest else data
        at = 0
        while True:
            end = data.find(b"\r\n", at)
            if end < 0:
                break
            mark, text, after = data[at : at + 1], data[at + 1 : end], end + 2
            if mark == b"$" and text.isdigit() and len(text) < 4:
                after += int(text) + 2
                if len(data) < after:
                    break
                text = data[end + 2 : after - 2]
                if data[after - 2 : after] != b"\r\n":
                    return self.counter.lost(self, "odd answer")
            elif mark not in (b"+", b"-", b":"):
                return self.counter.lost(self, "odd answer")
            at = after
            if not self.calls or not self.counter.answer(self, mark, text):
                return self.counter.lost(self, "odd answer")
        self.rest = data[at:]
        if len(self.rest) > 1100 or self.rest and self.rest[:1] not in b"$+-:":
            self.counter.lost(self, "odd answer")


class Counter:
    def __init__(self, loop, driver, address, wait, bounds, log):
        self.loop, self.driver, self.address, self.wait = loop, driver, address, wait
        self.bounds, self.log, self.counts = bounds, log, log.counts
        self.clock, self.timers = driver.clock, driver.timers
        self.wire = None
        self.leaving = []  # connections to former addresses; emptied as their calls are answered or they end

    def connect(self):
        self.counts["counter_connects"] += 1
        self.wire = wire = Wire(self)
        wire.task = self.loop.create_task(self.loop.create_connection(lambda: wire, *self.address))
        wire.task.add_done_callback(wire.opened)
        return wire

    def move(self, address):
        """The counter is elsewhere from now on. What was written stays where it is, so that nothing is added
        twice; what was not goes to the new address."""
        if address == self.address:
            return
        self.address, old = address, self.wire
        new = self.connect()
        if old is None:
            return
        if old.transport is None:
            old.calls, new.calls = new.calls, old.calls
            self.arm(new)
        self.leaving.append(old)
        self.part(old)

    def part(self, wire):
        """Ends a connection to a former address once nothing is out on it."""
        if wire in self.leaving and not wire.calls:
            self.lost(wire, "left")

    def arm(self, wire):
        """One timer for all calls of a connection: they wait equally long, so the oldest not told is next."""
        if wire.timer is None:
            due = next((call[1] for call in wire.calls if call[0] is not PING and not call[3]), None)
            if due is not None:
                wire.timer = self.timers.at(due + self.wait, self.overdue, wire)

    def add(self, name, amount, life):
        self.counts["adds"] += 1
        wire = self.wire or self.connect()
        for old in self.leaving:  # answers for a name come in the order of calls
            if any(call[0] == name for call in old.calls):
                wire = old
        if len(wire.calls) >= self.bounds.max_pending_counter_calls:
            return self.tell(name, t.UNSEEN, 0)
        text = words(b"ADDGET", b"%d" % name, repr(amount).encode(), b"%d" % max(1, life // 10**6))
        up = wire.transport is not None
        wire.calls.append([name, self.clock(), up, False, None if up else text])
        if up:
            wire.transport.write(text)
        self.arm(wire)

    def tell(self, name, how, took, total=0.0):
        if how != t.DONE:
            self.counts["adds_timed_out" if how == t.TIMED_OUT else "adds_refused"] += 1
        self.driver.counted(name, total, how, took)

    def answer(self, wire, mark, text):
        """The answer of the oldest call; false if it is none."""
        name, when, _, told, _ = wire.calls[0]
        total = 0.0
        if name is PING:
            if mark != b"+":
                return False
        elif mark != b"-":
            total = number(text)
            if total is None or mark == b"+":
                return False
        elif not text.startswith(b"BUSY"):
            # Guards against calls that are never understood and look, from afar, like a busy counter.
            self.log.record_limited("counter refuses", text[:80].decode("latin-1"))
        wire.calls.popleft()
        if wire.timer and not wire.calls:  # a wake for nothing is dear
            self.timers.cancel(wire.timer)
            wire.timer = None
        if name is not PING and not told:  # the answer to a call that has timed out is dropped
            self.tell(name, t.UNSEEN if mark == b"-" else t.DONE, self.clock() - when, total)
        self.part(wire)
        return True

    def overdue(self, wire):
        wire.timer, now = None, self.clock()
        late = []
        for call in wire.calls:
            if call[0] is PING or call[3]:
                continue
            if call[1] + self.wait > now:
                break
            call[3] = True
            late.append(call)
        if wire.transport is None:  # never written: nothing was added, nor will be
            wire.calls = deque(call for call in wire.calls if not call[3])
        self.arm(wire)
        for name, when, written, _, _ in late:
            self.tell(name, t.TIMED_OUT if written else t.UNSEEN, now - when)
        self.check(wire, now)

    def check(self, wire, now):
        """Guards against a connection that is open and quiet because its far end is gone, or because what it
        began to say was no answer: the calls behind it would all time out."""
        wait = self.bounds.counter_partial_timeout_ns if wire.rest else self.bounds.counter_response_timeout_ns
        if wire.calls and now - max(wire.heard, wire.calls[0][1]) > wait:
            self.lost(wire, "never came up" if wire.transport is None else "silent")

    def lost(self, wire, why):
        """What was written may have been added, what was not has not; neither is made again here."""
        if wire.over:
            return
        wire.over = True
        if wire.task:
            wire.task.cancel()
        if wire.transport:
            wire.transport.abort()
        if wire.timer:
            self.timers.cancel(wire.timer)
        if self.wire is wire:
            self.wire = None
        else:
            self.leaving.remove(wire)
        calls, wire.calls, now = wire.calls, deque(), self.clock()
        if calls or why not in ("connection ended", "left"):
            self.log.record_limited("counter lost", why)
        for name, when, written, told, _ in calls:
            if name is not PING and not told:
                self.tell(name, t.TIMED_OUT if written else t.UNSEEN, now - when)

    def sweep(self):
        now, wire = self.clock(), self.wire
        if wire and wire.transport is None and now - wire.heard > self.bounds.counter_response_timeout_ns:
            self.lost(wire, "never came up")
        elif wire and wire.transport and not wire.calls and now - wire.heard > self.bounds.counter_ping_interval_ns:
            wire.calls.append([PING, now, True, False, None])
            wire.transport.write(PING_TEXT)
        for each in (wire, *self.leaving):
            if each and not each.over:
                self.check(each, now)
