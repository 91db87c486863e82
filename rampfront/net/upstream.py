"""App servers: a pool of connections to each, one submission or probe at a time on each of them.

It owns these connections and says how each submission ended, as PROTOCOL words it. It must never send a
submission again, send anything to an app server that is not listed as up, or call something unrun that may
have run: what was handed to the kernel or waits in our buffer counts as written.
"""

import asyncio
import socket
from math import isfinite

import httptools

from .. import terms as t

MS = 10**6
IDLE, OPENING, WAITING, DEAD, RELAYING = range(5)
CODES = {200: t.DONE, 500: t.ERROR}
COUNTS = {
    t.DONE: "done",
    t.ERROR: "error",
    t.UNSEEN: "unseen",
    t.TIMED_OUT: "timed_out",
    t.BROKEN: "broken",
    t.CANCELLED: "cancelled",
    t.UNREACHED: "unseen",
}


class Target:
    """One app server as the list names it."""

    __slots__ = ("index", "uid", "address", "up", "idle", "links")

    def __init__(self, index, uid, address):
        self.index, self.uid, self.address, self.up = index, uid, address, True
        self.idle = []  # most recently used last; emptied by use, by age and as connections end
        self.links = 0


class Link(asyncio.BufferedProtocol):
    """One connection to one app server. `exchange` is None for a probe."""

    __slots__ = (
        "pool",
        "target",
        "transport",
        "parser",
        "state",
        "exchange",
        "sent_at",
        "due",
        "timer",
        "task",
        "since",
        "whole",
        "keep",
        "body",
        "size",
        "fed",
        "headed",
        "not_run",
        "units",
        "use",
        "load",
        "attempt",
        "length",
        "chunked",
        "large",
        "relay",
        "moved",
    )

    def __init__(self, pool, target):
        self.pool, self.target, self.state = pool, target, OPENING
        self.transport = self.parser = self.exchange = self.timer = self.task = None
        self.whole = self.large = False
        self.relay = None  # the client that the answer goes to as it comes
        self.fed = 0  # bytes of the present answer

    # ---- of the loop

    def opened(self, task):
        """The connect has ended; only its failure is of interest here."""
        self.task = None
        if not task.cancelled() and task.exception() is not None and self.state == OPENING:
            self.pool.counts["connects_failed"] += 1
            self.finish(t.UNREACHED)

    def connection_made(self, transport):
        self.transport = transport
        if self.state != OPENING:
            return transport.abort()
        if not self.target.up:
            # Guards rule 3: a connect that was waiting when its app server began to drain sends nothing.
            return self.finish(t.UNSEEN)
        self.parser = httptools.HttpResponseParser(self)
        self.write()

    def connection_lost(self, trouble):
        if self.state == RELAYING:  # an answer that ends with its connection is whole; others are cut, with the client
            self.end_relay() if self.length is None and not self.chunked else self.close()
        elif self.state == WAITING:
            self.finish(t.BROKEN)
        elif self.state == IDLE:
            self.close()
        self.parser = None

    def eof_received(self):
        return False

    def get_buffer(self, hint):
        return self.pool.buffer

    def buffer_updated(self, size):
        if self.state == DEAD:
            return
        if self.state == IDLE:
            return self.odd("spoke unasked")
        first, trouble, bounds = not self.fed, None, self.pool.bounds
        self.fed += size
        self.moved = self.pool.clock()
        try:
            self.parser.feed_data(self.pool.buffer[:size])
            if self.fed > (bounds.max_response_bytes if self.headed else bounds.max_head_bytes) and not self.large:
                # Guards against heads that never end, which the parser gathers until a field of them is whole.
                trouble = "the answer never ends"
        except httptools.HttpParserUpgrade:
            trouble = "wants to upgrade"
        except httptools.HttpParserError as odd:
            trouble = str(odd.__context__ or odd)
        if self.large and self.state == WAITING and not trouble:
            self.begin_relay()
        if self.state == RELAYING:
            if self.whole:  # first: what follows a whole answer spoils the connection, not the answer
                self.end_relay()
            if trouble:
                self.odd(trouble) if self.state == IDLE else self.close()
            return
        if self.whole:  # not within the parser's callback, where a fault of ours would pass for theirs
            self.conclude(trouble is None)
        elif first and not trouble:
            # Guards against lengths that do not fit: an answer that has begun does not wait for its txn's time.
            self.wait(min(self.due, self.pool.clock() + bounds.response_read_timeout_ns))
        if trouble:
            self.odd(trouble)

    def odd(self, why):
        """What breaks the protocol is one failed exchange; it may have run."""
        if self.state != DEAD:
            self.pool.counts["odd_answers"] += 1
            self.pool.log.record_limited("odd answer", self.target.uid, why=why)
            if self.state == IDLE:
                self.close()
            else:
                self.finish(t.BROKEN)

    # ---- of the parser

    def on_message_begin(self):
        if self.whole:
            raise ValueError("an answer too many")
        self.body, self.size, self.not_run, self.units, self.use, self.load = [], 0, False, 0, None, None
        self.length, self.chunked = None, False

    def on_headers_complete(self):
        status = self.parser.get_status_code()
        self.headed = status >= 200
        # Guards memory against large answers: a 200 over the body's bound, or of a length not told, is relayed.
        asker = self.exchange and self.exchange.client
        self.large = (
            status == 200
            and asker is not None
            and asker.relays
            and (
                self.length is None
                or self.pool.bounds.max_body_bytes < self.length <= self.pool.bounds.max_streamed_bytes
            )
        )

    def on_header(self, name, value):
        if name[:1] in b"xX":
            name = name.lower()
            if name == b"x-not-run":
                self.not_run = value.strip() == b"1"
            elif name == b"x-cost-units":
                self.units = units(value)
            elif name == b"x-ratelimit-used":
                self.use = use(value)
            elif name == b"x-load":
                self.load = value
        elif name[:1] in b"cCtT":
            name = name.lower()
            if name == b"content-length":
                self.length = int(value)  # the parser has checked it
            elif name == b"transfer-encoding":
                self.chunked = True  # the parser takes no other last coding

    def begin_relay(self):
        """The answer is settled here: the client gets its head now and the rest as it comes."""
        pool, exchange, client = self.pool, self.exchange, self.exchange.client
        if self.timer:
            pool.timers.call_off(self.timer)
        self.exchange, self.timer, self.state, self.relay = None, None, RELAYING, client
        body, self.body = self.body, None
        pool.counts["relayed"] += 1
        pool.counts["done"] += 1
        pool.desk.ended(
            exchange,
            self.attempt,
            self.target.index,
            t.DONE,
            pool.clock() - self.sent_at,
            self.units,
            self.use,
            None,
            self,
        )
        if client.feeder is not self:  # it had gone, or was answered otherwise
            self.relay = None
            return self.close()
        for part in body:
            self.pass_on(part)
        self.timer = pool.timers.after(pool.bounds.stream_stall_timeout_ns, self.stalled)

    def pass_on(self, part):
        self.size += len(part)
        if self.size > self.pool.bounds.max_streamed_bytes:
            raise ValueError("the answer is too large")  # the parser's error: the relay is cut
        if self.length is None:  # chunks, or an answer that ends with its connection: in chunks to the client
            self.relay.transport.write(b"%x\r\n%s\r\n" % (len(part), part))
        else:
            self.relay.transport.write(part)

    def stalled(self):
        """Guards the client against an app server that stops mid-answer: its connection is cut with ours."""
        self.timer = None
        if self.state != RELAYING:
            return
        left = self.moved + self.pool.bounds.stream_stall_timeout_ns - self.pool.clock()
        if left > 0 or self.relay and self.relay.stuck:  # it moves, or waits for its client
            self.timer = self.pool.timers.after(max(left, self.pool.bounds.stream_stall_timeout_ns // 4), self.stalled)
            return
        self.pool.log.record_limited("odd answer", self.target.uid, why="stops mid-answer")
        self.close()

    def end_relay(self):
        self.whole, client, self.relay = False, self.relay, None
        if self.length is None:
            client.transport.write(b"0\r\n\r\n")
        if self.timer:
            self.pool.timers.call_off(self.timer)
            self.timer = None
        client.relayed()
        if self.state == RELAYING and self.parser.should_keep_alive() and self.target.up:
            self.state, self.since, self.large = IDLE, self.pool.clock(), False
            self.target.idle.append(self)
        else:
            self.close()

    def on_body(self, part):
        if self.large:
            if self.relay:
                self.pass_on(part)
            else:
                self.body.append(bytes(part))  # what came with the head, until the relay begins
            return
        self.size += len(part)
        if self.size > self.pool.bounds.max_body_bytes:
            raise ValueError("the answer is too large")
        self.body.append(part)

    def on_message_complete(self):
        if self.headed:  # else it was a 1xx, and the answer proper follows
            self.whole, self.keep = True, self.parser.should_keep_alive()  # true only in this callback

    def conclude(self, sound):
        self.whole = False
        status = self.parser.get_status_code()
        how = CODES.get(status)
        if how is None:
            how = t.UNSEEN if self.not_run and status in (503, 504) else t.ERROR
            if status not in (503, 504):
                self.pool.log.record_limited("odd status", self.target.uid, status=status)
        self.finish(how, sound and self.keep)

    # ---- one submission or probe

    def begin(self, exchange, attempt, allow):
        pool = self.pool
        self.exchange, self.attempt, self.sent_at = exchange, attempt, pool.clock()
        if exchange:
            exchange.links[attempt] = self
        self.due = self.sent_at + allow
        if self.state == IDLE:
            self.write()
        else:
            self.timer = pool.timers.at(self.sent_at + min(allow, pool.bounds.connect_timeout_ns), self.time_out)

    def write(self):
        pool, exchange, new = self.pool, self.exchange, self.state == OPENING
        left = self.due - (pool.clock() if new else self.sent_at)
        if left <= 0:
            return self.finish(t.UNSEEN)
        self.state, self.fed, self.headed = WAITING, 0, False
        if exchange:
            pool.counts["dispatches"] += 1
            self.say(exchange, left)
        else:
            self.transport.write(pool.probe_text)
        self.wait(self.due)

    def say(self, exchange, left):
        self.transport.write(b"%sX-Deadline-Ms: %d\r\n\r\n%s" % (exchange.head, left // MS, exchange.body))

    def wait(self, due):
        if self.timer:
            self.pool.timers.call_off(self.timer)
        self.timer = self.pool.timers.at(due, self.time_out)

    def time_out(self):
        self.timer = None
        if self.state == WAITING and self.fed:
            return self.odd("the answer does not go on")
        self.finish(t.TIMED_OUT if self.state == WAITING else t.UNREACHED)

    def finish(self, how, keep=False):
        """The one way in which a submission or probe ends; the connection lives on only behind an answer."""
        pool, exchange = self.pool, self.exchange
        if self.timer:
            pool.timers.call_off(self.timer)
        now = pool.clock()
        took = now - self.sent_at
        body, units, use = self.outcome(how, took)
        self.exchange = self.timer = None
        self.body = None  # an idle connection holds nothing of its last answer
        if keep and self.target.up:
            self.state, self.since = IDLE, now
            self.target.idle.append(self)
        else:
            self.close()
        if exchange:
            pool.counts[COUNTS[how]] += 1
            pool.desk.ended(exchange, self.attempt, self.target.index, how, took, units, use, body)
        else:
            pool.probe_over(self, how, took, body)

    def outcome(self, how, took):
        """What an answer that ended so, `took` ns behind its request, holds: its body, the units it drew, its account's use."""
        done = how == t.DONE
        return (
            b"".join(self.body) if done else None,
            self.units if done else 0,
            self.use if done or how == t.ERROR else None,
        )

    def close(self):
        """Guards rule 2: the far side must see the end of this one before another copy can reach anybody, so
        the socket is shut here and now; the loop would do it a turn later."""
        if self.state == DEAD:
            return
        if self.state == IDLE and self in self.target.idle:
            self.target.idle.remove(self)
        if self.relay:  # half an answer: the client's connection is cut, so that it is not taken for whole
            client, self.relay = self.relay, None
            client.feeder = None
            client.over = client.deaf = True
            client.transport.abort()
        self.state = DEAD
        self.target.links -= 1
        self.pool.links -= 1
        if self.task:
            self.task.cancel()
        if self.transport:
            shut(self.transport)


def units(text):
    """What the answer says that its txn drew, or 0 for not told: what cannot be read does not say 'nothing'."""
    try:
        drawn = float(text) if len(text) < 16 and b"_" not in text else 0.0
    except ValueError:
        return 0
    return drawn if isfinite(drawn) and 0.0 < drawn < 1e9 else 0


def use(text):
    """What the answer says that its account used of its quota, over all nodes: 1 and the use in percent, as on the
    simulator's wire. None for not told: what cannot be read does not say 'nothing'."""
    text = text.strip()
    return (int(text) - 1) / 100 if text.isdigit() and len(text) < 7 and int(text) else None


def bare(transport, what):
    """Does `what` with the socket itself, past the loop."""
    handle = transport.get_extra_info("socket")
    if handle is None or handle.fileno() < 0:
        return None
    twin = socket.socket(handle.family, socket.SOCK_STREAM, 0, handle.fileno())
    try:
        return what(twin)
    except OSError:
        return None  # it has ended by itself, or holds nothing
    finally:
        twin.detach()


def shut(transport):
    bare(transport, lambda twin: twin.shutdown(socket.SHUT_RDWR))
    transport.abort()


def unread(transport):
    """Whether something came, be it the end, that the loop has not read yet: it would pass for an answer."""
    return bare(transport, lambda twin: twin.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)) is not None


class Upstream:
    kind = Link  # of the connections

    def __init__(self, loop, desk, bounds, reports, log):
        self.loop, self.desk, self.bounds, self.log, self.counts = loop, desk, bounds, log, log.counts
        self.clock, self.timers = desk.clock, desk.timers
        self.buffer = memoryview(bytearray(bounds.read_buffer_bytes))  # shared: each read is used up before the next
        self.targets = {}  # by index; emptied by `removed`
        self.links = 0
        self.reports = reports
        self.probe_text = b"GET %s HTTP/1.1\r\nHost: app.svc\r\n\r\n" % (b"/-/load" if reports else b"/-/healthy")

    def uid(self, index):
        target = self.targets.get(index)
        return target.uid if target else None

    def any_up(self):
        return any(target.up for target in self.targets.values())

    def listed(self, index, uid, address, up):
        target = self.targets.get(index)
        if target is None:
            target = self.targets[index] = Target(index, uid, address)
        elif target.address != address or target.uid != uid:
            target.uid, target.address = uid, address
            self.close_idle(target)
        target.up = up
        if not up:
            self.close_idle(target)

    def removed(self, index):
        """It has left the list. What is out there still ends; only then is the index handed out again."""
        target = self.targets.pop(index, None)
        if target:
            target.up = False
            self.close_idle(target)

    @staticmethod
    def close_idle(target):
        for link in list(target.idle):
            link.close()

    def link_to(self, index):
        """The idle connection used last, or a new one; None if the list or the descriptors leave none."""
        target = self.targets.get(index)
        if target is None or not target.up:
            return None
        while target.idle:
            link = target.idle.pop()
            if not link.transport.is_closing() and not unread(link.transport):
                return link
            target.idle.append(link)
            link.close()
        if self.links >= self.bounds.max_server_connections and not self.shed():
            self.counts["links_short"] += 1
            return None
        link = self.kind(self, target)
        target.links += 1
        self.links += 1
        self.counts["connects"] += 1
        link.task = self.loop.create_task(self.loop.create_connection(lambda: link, *target.address))
        link.task.add_done_callback(link.opened)
        return link

    def shed(self):
        """Closes the connection idle longest, whichever app server it leads to."""
        oldest = [target.idle[0] for target in self.targets.values() if target.idle]
        if not oldest:
            return False
        self.counts["links_shed"] += 1
        min(oldest, key=lambda link: link.since).close()
        return True

    def submit(self, exchange, attempt, index, allow):
        link = self.link_to(index)
        if link is None:
            self.counts["unseen"] += 1  # nothing was sent
            return self.desk.ended(exchange, attempt, index, t.UNSEEN, 0)
        link.begin(exchange, attempt, allow)

    def cancel(self, exchange, attempt):
        if link := exchange.links.get(attempt):
            link.finish(t.CANCELLED)

    def probe(self, index):
        self.counts["probes"] += 1
        link = self.link_to(index)
        if link is None:
            self.counts["probes_failed"] += 1
            return self.desk.probed(index, t.UNSEEN, 0, {})
        link.begin(None, 0, self.bounds.health_check_timeout_ns)

    def probe_over(self, link, how, took, body):
        report = {}
        if how == t.DONE and (body or link.load):
            import orjson  # its memory is for those who use it

            try:
                said = orjson.loads(body or link.load)
                report = {k: v for k, v in said.items() if type(v) in (int, float) and 0 <= v < 1e9}
            except (ValueError, AttributeError):
                if self.reports:
                    self.log.record_limited("odd report", link.target.uid)
        if how != t.DONE:
            self.counts["probes_failed"] += 1
        self.desk.probed(link.target.index, how, took, report)

    def sweep(self):
        oldest = self.clock() - self.bounds.server_idle_timeout_ns
        for target in self.targets.values():
            while target.idle and target.idle[0].since < oldest:
                target.idle[0].close()
