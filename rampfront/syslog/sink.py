"""The sink: decisions to a collector over TCP (octet counting) or UDP, past outages of the collector.

It owns one connection, the queue and the spill on disk. It must never make the txn path wait: `record` appends one
row; encoding, writing and the disk are the flush timer's, the disk on a thread of its own. In what order things go:
what was held of a broken connection, then the disk, then the queue.
"""

import asyncio
import fcntl
import os
import struct
import termios
from concurrent.futures import ThreadPoolExecutor

from . import codec
from .decisions import message
from .outbox import Outbox
from .spill import Spill

MS, SEC = 10**6, 10**9
FLUSH, IDLE = 10 * MS, 50 * MS  # between flushes while something waits, and while nothing does
BATCH = 128  # messages a flush: each holds the loop, and so the txns, for some 50 us
HIGH = 256 << 10  # bytes that may wait in the connection's own buffer
RETRY_LEAST, RETRY_MOST = SEC // 4, 5 * SEC


class Wire(asyncio.Protocol):
    def __init__(self, sink):
        self.sink, self.transport, self.taken = sink, None, None

    def connection_made(self, transport):
        self.transport = transport
        self.sink.up(self)

    def data_received(self, data):
        pass  # a collector says nothing

    def unsent(self):
        """Bytes that the far machine has not taken."""
        sock = self.transport.get_extra_info("socket")
        buffered = self.transport.get_write_buffer_size()
        if sock is None or sock.fileno() < 0:
            return None
        return buffered + struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]

    def eof_received(self):
        # It closes in good order: what its machine took, it took. Guards against repeats behind a planned stop.
        unsent = self.unsent()
        self.taken = None if unsent is None else self.sink.outbox.written - unsent
        return False

    def connection_lost(self, trouble):
        self.sink.lost(self, None if trouble else self.taken)


class Sink:
    """`address`: (host, port). `spill`: a folder, or None: then only memory bridges an outage."""

    def __init__(
        self,
        loop,
        timers,
        clock,
        log,
        address,
        name,
        spill=None,
        spill_most=64 << 20,
        memory=16384,
        enterprise=codec.ENTERPRISE,
        udp=False,
        draw=lambda low, high: (low + high) / 2,
    ):
        self.loop, self.timers, self.clock, self.log, self.address = loop, timers, clock, log, address
        self.name, self.enterprise, self.udp, self.draw = name, enterprise, udp, draw
        self.procid = str(os.getpid())
        self.outbox, self.again = Outbox(memory), []
        self.spill = Spill(spill, spill_most) if spill else None
        self.thread = ThreadPoolExecutor(1, "syslog-spill") if spill else None
        self.disk = None  # the disk's present task: nothing else is moved meanwhile
        self.wire = self.task = None
        self.retry, self.closed = RETRY_LEAST, False
        self.segment = False  # the oldest segment of the disk is being sent

    def start(self):
        self.connect()
        self.timers.after(FLUSH, self.flush)
        return self

    def record(self, event, *params):
        """On the txn path: one append."""
        self.outbox.offer((event, params, self.clock()))

    # ---- the connection

    def connect(self):
        if self.closed or self.task or self.wire:
            return
        make = self.loop.create_datagram_endpoint if self.udp else self.loop.create_connection
        where = {"remote_addr": self.address} if self.udp else {"host": self.address[0], "port": self.address[1]}
        self.task = self.loop.create_task(make(lambda: Wire(self), **where))
        self.task.add_done_callback(self.opened)

    def opened(self, task):
        self.task = None
        if not task.cancelled() and task.exception() is not None:
            self.later(str(task.exception()))

    def later(self, why):
        self.log.record_limited("syslog collector away", why)
        wait, self.retry = self.draw(self.retry / 2, self.retry), min(RETRY_MOST, 2 * self.retry)
        self.timers.after(int(wait), self.connect)

    def up(self, wire):
        self.wire, self.retry = wire, RETRY_LEAST
        self.outbox.connected()
        self.log.record("syslog collector there", address="%s:%d" % self.address)

    def lost(self, wire, taken):
        if self.wire is wire:
            self.wire = None
            self.again = self.outbox.lost(taken) + self.again
            self.later("connection ended")

    # ---- moving

    def encode(self, items):
        return [
            codec.encode(message(event, params, at, self.outbox.number(), self.name, self.procid, self.enterprise))
            for event, params, at in items
        ]

    def flush(self):
        self.timers.after(FLUSH if self.outbox.queue or self.again else IDLE, self.flush)
        if count := self.outbox.news():
            self.log.record("syslog messages dropped", count=count)
        if self.wire and self.wire.transport is not None and not self.wire.transport.is_closing():
            self.push()
        elif self.spill is not None and self.disk is None and len(self.outbox.queue) > self.outbox.most // 4:
            self.store()

    def push(self):
        """Sends in order, while the connection takes it."""
        if self.udp:
            for said in self.encode(self.outbox.take(BATCH)):
                self.wire.transport.sendto(said)
                self.outbox.counts["sent"] += 1
            return
        now, wire = self.clock(), self.wire
        unsent = wire.unsent()
        if unsent is not None:
            self.outbox.acknowledged(self.outbox.written - unsent, now)
        if wire.transport.get_write_buffer_size() > HIGH or len(self.outbox.flight) > self.outbox.most:
            if self.spill is not None and self.disk is None and len(self.outbox.queue) > self.outbox.most // 2:
                self.store()  # a collector that reads slowly is as good as away
            return
        if (
            self.spill is not None
            and self.disk is None
            and len(self.outbox.queue) > self.outbox.most // (4 if self.spill else 2)
        ):
            # Guards against a replay that takes longer than memory lasts, and against decisions that come faster than
            # a flush sends: what is new goes behind what is on disk.
            self.store()
        if self.again:
            frames, self.again = self.again[:BATCH], self.again[BATCH:]
        elif self.disk is not None:
            return
        elif self.segment:  # it leaves the disk only once the far machine has all of it
            if self.outbox.flight:
                return
            self.segment = False
            return self.spill.drop()
        elif self.spill:
            return self.replay()
        else:
            frames = [codec.frame(said) for said in self.encode(self.outbox.take(BATCH))]
        if frames:
            wire.transport.write(b"".join(frames))
            self.outbox.sent(frames, now)

    def store(self):
        items = self.outbox.take(self.outbox.most // 4)
        texts = self.encode(items)
        self.disk = self.loop.create_task(self.on_disk(self.spill.append, texts))
        self.disk.add_done_callback(lambda task: self.stored(task, len(texts)))

    async def on_disk(self, what, *about):
        return await self.loop.run_in_executor(self.thread, what, *about)

    def stored(self, task, count):
        self.disk = None
        fit = 0 if task.cancelled() or task.exception() else task.result()
        self.outbox.counts["spilled"] += fit
        if fit < count:
            self.outbox.drop(count - fit)

    def replay(self):
        self.disk = self.loop.create_task(self.on_disk(self.spill.oldest))
        self.disk.add_done_callback(self.replayed)

    def replayed(self, task):
        self.disk = None
        if task.cancelled() or task.exception():
            self.log.record_limited("syslog spill", "cannot be read", trouble=repr(task.exception()))
            return
        frames = [codec.frame(said) for said in task.result()]
        self.again += frames
        self.outbox.counts["replayed"] += len(frames)
        self.segment = True
        if self.spill.bad:
            self.log.record("syslog spill damaged", records=self.spill.bad)
            self.spill.bad = 0

    def state(self):
        return {
            **self.outbox.counts,
            "queued": len(self.outbox.queue),
            "flight": len(self.outbox.flight),
            "again": len(self.again),
            "disk_bytes": self.spill.size if self.spill else 0,
        }

    def close(self):
        """At the end of the process: what waits goes out if it can at once, and else to the disk."""
        self.closed = True
        if self.thread:
            self.thread.shutdown(wait=True)
        again = [] if self.segment else self.again  # what is on the disk still is sent from there
        waiting = [said.partition(b" ")[2] for said in again] + self.encode(self.outbox.take(len(self.outbox.queue)))
        self.again = []
        if self.wire and self.wire.transport and not self.udp and not self.spill:
            self.wire.transport.write(b"".join(map(codec.frame, waiting)))
            self.wire.transport.close()
        elif self.spill is not None:
            texts = [said.partition(b" ")[2] for said in self.outbox.lost()] if not self.wire else []
            fit = self.spill.append(texts + waiting)
            self.outbox.drop(len(texts) + len(waiting) - fit)
            self.spill.close()
        elif waiting:
            self.outbox.drop(len(waiting))
        if self.wire and self.wire.transport and self.spill is not None:
            self.wire.transport.close()
        self.log.record("syslog", **self.state())
