"""Clients: connections taken, txns read and checked, answers written, each whole and once.

It owns the listening socket and the client connections. It must never choose an answer: it words what it is told.
By itself it answers only what no decision could be taken on (malformed, or past the descriptors).
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from .core import Unfit

if TYPE_CHECKING:
    from .core import Core, Exchange
    from .event_log import EventLog
    from .limits import NetworkLimits
    from .upstream import Link

MS, SEC = 10**6, 10**9  # ns
MOST_LENGTH_DIGITS, MOST_EXPIRY_DIGITS = 9, 9
KEY_COOKIE_LENGTH = 20  # of a cookie that is only `key=` and the key
TIMED_OUT = 408  # a client that was too slow, which is no malformed one
KEY = re.compile(rb"(?:^|;)\s*key=([0-9a-fA-F]{16})\s*(?:;|$)")
REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
KEPT = frozenset(
    (
        b"x-request-id",
        b"x-class",
        b"x-tier",
        b"cookie",
        b"x-deadline-ms",
        b"idempotency-key",
        b"x-call-terms",
        b"x-retry",
        b"content-type",
        b"content-length",
        b"expect",
    )
)


class Client(asyncio.BufferedProtocol):
    """One connection of the clients' front; one txn at a time."""

    __slots__ = (
        "front",
        "transport",
        "parser",
        "url",
        "fields",
        "body",
        "size",
        "fed",
        "exchange",
        "since",
        "begun",
        "whole",
        "deaf",
        "over",
        "stuck",
        "crowded",
        "keep",
        "fresh",
        "feeder",
        "last",
        "damped",
    )
    relays = True  # an answer may be given as it comes

    def __init__(self, front: Front) -> None:
        """Not connected yet."""
        self.front = front
        self.exchange: Exchange | None = None  # the txn that is owed an answer
        self.feeder: Link | None = None  # the connection whose answer is being relayed to this one
        self.begun = self.whole = self.deaf = self.over = self.stuck = self.crowded = self.damped = False
        self.keep = self.fresh = True  # fresh: it has brought nothing whole yet

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Of the loop: it is connected."""
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)
        self.since = self.front.clock()
        self.fed = 0
        self.front.joined(self)

    def connection_lost(self, trouble: Exception | None) -> None:
        """Of the loop: it has ended. A txn that is out is told that its client has gone."""
        exchange, self.exchange, self.deaf = self.exchange, None, True
        self.front.parted(self)
        if self.feeder:  # what the app server still gives has nobody to go to
            self.feeder.relay = None
            self.feeder.close()
        if exchange:
            exchange.client = None
            self.front.counts["left"] += 1
            self.front.desk.left(exchange)
        self.parser = None

    def eof_received(self) -> bool:
        """Of the loop: a client that ends its sending has gone."""
        return False

    def get_buffer(self, hint: int) -> memoryview:
        """Of the loop: where to read to."""
        return self.front.buffer

    def buffer_updated(self, size: int) -> None:
        """Of the loop: so many bytes were read."""
        if self.deaf:
            return
        self.fed += size
        trouble = None
        try:
            self.parser.feed_data(self.front.buffer[:size])
            if self.begun and self.fed > self.front.most:
                trouble = Unfit(431, "the head is too large")
        except httptools.HttpParserUpgrade:
            trouble = Unfit(400, "no upgrades here")
        except httptools.HttpParserError as error:
            trouble = error.__context__ if isinstance(error.__context__, Unfit) else Unfit(400, "not HTTP/1.1")
        whole, self.whole = self.whole, False
        if trouble:  # what came whole in front of it is not taken either: its length may be the lie
            self.refuse(trouble)
        elif whole:  # not within the parser's callback, where a fault of ours would pass for the client's
            self.front.read(self)

    def pause_writing(self) -> None:
        """Guards against a slow reader: no further txn is read from it until it has taken its answer."""
        self.stuck, self.since = True, self.front.swept
        if not self.over:
            self.transport.pause_reading()
        if self.feeder:  # the app server is read no faster than its client takes it
            self.feeder.transport.pause_reading()
            self.feeder.moved = self.front.clock()

    def resume_writing(self) -> None:
        """Of the loop: the client has taken its answer."""
        self.stuck, self.since = False, self.front.swept
        if not self.over:
            self.transport.resume_reading()
        if self.feeder:
            # Guards the relay against being taken for stalled: while it was paused, nothing could come.
            self.feeder.transport.resume_reading()
            self.feeder.moved = self.front.clock()

    @property
    def busy(self) -> bool:
        """Whether it is owed an answer, or the rest of one."""
        return self.exchange is not None or self.feeder is not None

    # ---- of the parser

    def on_message_begin(self) -> None:
        """Of the parser: a txn begins."""
        if self.busy or self.whole or self.deaf:
            self.front.counts["pipelined"] += 1
            raise Unfit(400, "one txn at a time")
        self.begun = True
        if not self.fresh:  # else its time runs from the connect: a bad client is turned away within 3 s
            self.since = self.front.swept
        self.url, self.fields, self.body, self.size = b"", {}, [], 0

    def on_url(self, part: bytes) -> None:
        """Of the parser: a part of the target."""
        self.url += part
        self.size += len(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Of the parser: a header field."""
        name = name.lower()
        if name in KEPT:
            if name in self.fields:
                raise Unfit(400, f"{name.decode()} twice")
            self.fields[name] = value
        self.size += len(name) + len(value) + 4
        if self.size > self.front.bounds.max_head_bytes:
            raise Unfit(431, "the head is too large")

    def on_headers_complete(self) -> None:
        """Of the parser: the head is whole."""
        self.size = 0
        length = self.fields.get(b"content-length", b"0")
        if (
            len(length) > MOST_LENGTH_DIGITS or int(length) > self.front.bounds.max_body_bytes
        ):  # the parser leaves nothing but digits
            raise Unfit(413, "the body is too large")
        if b"expect" in self.fields:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        """Of the parser: a part of the body."""
        self.size += len(part)
        if self.size > self.front.bounds.max_body_bytes:
            raise Unfit(413, "the body is too large")
        self.body.append(part)

    def on_message_complete(self) -> None:
        """Of the parser: the txn is whole."""
        self.begun, self.whole, self.fed = False, True, 0
        if self.fresh:
            self.fresh = False
            self.front.served += 1
        self.keep = self.parser.should_keep_alive()

    # ---- answers

    def taken(self, exchange: Exchange) -> None:
        """The txn was taken; this connection is owed its answer."""
        self.exchange = exchange
        self.fields = self.body = None  # a connection that stands idle holds nothing of its last txn

    def settled(self, body: bytes) -> None:
        """An app server's answer."""
        self.answer(b"HTTP/1.1 200 OK\r\n", body)

    def declined(self, back_in: int) -> None:
        """The txn has not run; `back_in` ns: when to come back, 0: no advice."""
        advice = b"Retry-After: %.3f\r\n" % (back_in / SEC) if back_in else b""
        self.answer(b"HTTP/1.1 429 Too Many Requests\r\n" + advice, b"")

    def voided(self) -> None:
        """The txn may have run."""
        self.answer(b"HTTP/1.1 502 Bad Gateway\r\n", b"")

    def answer(self, head: bytes, body: bytes) -> None:
        """The whole answer, in one write. `head` lacks its last lines."""
        self.exchange, self.since = None, self.front.clock()
        if self.over:
            return
        last = not self.keep or self.deaf or self.crowded or self.front.closing or self.front.draining
        self.transport.write(
            b"%sContent-Length: %d\r\n%s\r\n%s" % (head, len(body), b"Connection: close\r\n" if last else b"", body)
        )
        if last:
            self.end()

    def relay(self, link: Link, length: int | None) -> bool:
        """The head of an answer that is relayed as it comes; `length` None for chunks. `link` gives the rest. False:
        the client has gone."""
        self.exchange, self.since = None, self.front.clock()
        if self.over:
            return False
        self.last = not self.keep or self.deaf or self.crowded or self.front.closing or self.front.draining
        self.feeder = link
        framing = b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
        self.transport.write(b"HTTP/1.1 200 OK\r\n%s%s\r\n" % (framing, b"Connection: close\r\n" if self.last else b""))
        return True

    def relayed(self) -> None:
        """The whole answer has been relayed."""
        self.feeder, self.since = None, self.front.clock()
        if self.last:
            self.end()

    def end(self) -> None:
        """Closes once what was written is out; `sweep` ends what never gets there."""
        if not self.over:
            self.over = self.deaf = True
            self.transport.close()

    def refuse(self, trouble: Unfit) -> None:
        """What cannot be followed is answered at once and no more is read. A txn that is out for this client
        was followed by bytes that belong to nothing: it is refused whole and called off."""
        if not self.over:
            self.deaf, self.begun = True, False
            self.front.malformed(self, trouble)


class Front:
    """The listening socket and all connections of clients."""

    kind = Client  # of the connections

    def __init__(self, loop: asyncio.AbstractEventLoop, core: Core, bounds: NetworkLimits, log: EventLog) -> None:
        """`core` takes the txns; `log` has the counters."""
        self.loop, self.core, self.desk, self.bounds, self.log = loop, core, core.desk, bounds, log
        self.counts, self.clock = log.counts, core.clock
        self.closing, self.server, self.done = False, None, None
        self.draining = False  # told by the operators: clients are sent elsewhere, the process stays
        self.swept = self.clock()  # when connections were last looked at: near enough for their ages
        self.buffer = memoryview(bytearray(bounds.read_buffer_bytes))  # shared: each read is used up before the next
        self.most = bounds.max_head_bytes + bounds.max_body_bytes
        self.clients: dict[Client, None] = {}  # in the order they came; emptied as connections end
        self.served = 0  # those of them that brought something whole

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        """Binds the address, or serves on a listening socket handed down: old and new process of an upgrade
        then take from one queue, and what waits in it is not lost when the old one closes its copy."""
        if inherited is None:
            self.server = await self.loop.create_server(
                lambda: self.kind(self), host, port, backlog=self.bounds.listen_backlog
            )
            return
        sock = socket.socket(fileno=inherited)
        sock.setblocking(False)
        self.server = await self.loop.create_server(
            lambda: self.kind(self), sock=sock, backlog=self.bounds.listen_backlog
        )

    # ---- connections

    def joined(self, client: Client) -> None:
        """A connection came."""
        self.counts["clients"] += 1
        self.clients[client] = None
        if self.core.storm and not self.core.storm.connected(self.clock()):
            # Guards against a reconnect wave: its txns are told at once to come back, spread over time.
            client.crowded = client.damped = True
        if len(self.clients) > self.bounds.max_clients and not self.shed():
            # Guards against more clients than descriptors: with none idle the newest is told to come back.
            client.crowded = True
            if len(self.clients) > self.bounds.max_clients + self.bounds.overflow_clients:
                client.deaf = client.over = True
                client.transport.abort()

    def shed(self) -> bool:
        """Closes the client connection that has been silent or else idle longest; false if none is. One that
        has just come is spared: its first txn may be on its way, and would fail."""
        now, bounds = self.clock(), self.bounds
        free = [
            client
            for client in self.clients
            if not (client.busy or client.over or client.stuck)
            and (
                client.fresh
                and now - client.since > bounds.new_client_grace_ns
                or not client.fresh
                and not client.begun
            )
        ]
        if not free:
            return False
        self.counts["clients_shed"] += 1
        # Guards the usual clients against hundreds that connect and say nothing: these make room first.
        min(free, key=lambda client: (not client.fresh, client.since)).end()
        return True

    def spread(self, client: Client) -> None:
        """Guards the usual clients against those that ask once and keep their connection: clients hold a third
        of the descriptors at most, and a txn that finds no connection there never reaches us."""
        idle = [
            other
            for other in self.clients
            if not (other.fresh or other.busy or other.begun or other.over or other.stuck) and other is not client
        ]
        if idle:
            self.counts["clients_shed"] += 1
            min(idle, key=lambda other: other.since).end()

    def parted(self, client: Client) -> None:
        """A connection ended."""
        self.clients.pop(client, None)
        self.served -= not client.fresh
        if self.closing and not self.clients and self.done:
            self.done()

    def sweep(self) -> None:
        """Ends connections that are stuck, too slow, or idle for too long."""
        now, bounds = self.clock(), self.bounds
        self.swept = now
        longest_silent, longest_idle = bounds.first_request_timeout_ns, bounds.client_idle_timeout_ns
        if self.draining:  # none is held idle, and one that brings nothing goes soon
            longest_silent, longest_idle = (
                min(bounds.first_request_timeout_ns, bounds.draining_first_request_timeout_ns),
                -1,
            )
        for client in list(self.clients):
            age = now - client.since
            if client.over or client.stuck:
                if age > bounds.write_timeout_ns:
                    self.counts["slow"] += 1
                    client.transport.abort()
            elif client.begun:
                if age > bounds.request_read_timeout_ns:
                    self.counts["slow"] += 1
                    client.refuse(Unfit(TIMED_OUT, "the txn never became whole"))
            elif not client.busy and age > (longest_silent if client.fresh else longest_idle):
                client.end()

    def ready(self) -> bool:
        """Whether new clients are welcome."""
        return not self.closing and not self.draining and self.desk.upstream.any_up()

    def drain(self) -> None:
        """Clients are sent elsewhere: `/-/ready` says no and each answer closes its connection; what is idle
        is closed now. The listener stays: what the clients' front still sends is served."""
        self.draining = True
        for client in list(self.clients):
            if not (client.busy or client.begun or client.fresh):
                client.end()

    def activate(self) -> None:
        """Clients are welcome again."""
        self.draining = False

    def retire(self, done: Callable[[], None]) -> None:
        """Takes nothing new; `done` is called once every client has its answer and is gone."""
        self.closing, self.done = True, done
        self.server.close()
        for client in list(self.clients):
            if not client.busy and not client.begun:
                client.end()
        if not self.clients:
            done()

    # ---- txns in

    def read(self, client: Client) -> None:
        """A txn is whole: it is taken, or answered here."""
        url = client.url
        if self.served > self.bounds.max_active_clients:
            self.spread(client)
        if url.startswith(b"/-/"):
            self.own_page(client, url)
            return
        self.counts["taken"] += 1
        if client.crowded and not client.damped:  # one that is damped is told when to come back
            self.counts["turned_away"] += 1
            if product := self.core.products.get(client.fields.get(b"x-class")):
                self.core.outcomes[product[0]][1] += 1
            client.answer(b"HTTP/1.1 503 Service Unavailable\r\n", b"")
            return
        try:
            self.take(client, client.parser.get_method(), url, client.fields)
        except Unfit as error:
            client.refuse(error)

    def take(self, client: Client, method: bytes, url: bytes, fields: dict[bytes, bytes]) -> None:
        """Hands a txn on, as its header fields say."""
        get = fields.get
        cookie, expiry = get(b"cookie", b""), get(b"x-deadline-ms", b"")
        key = cookie[4:]
        if len(cookie) != KEY_COOKIE_LENGTH or cookie[:4] != b"key=":  # a cookie that is only the key needs no search
            found = KEY.search(cookie)
            key = found.group(1) if found else b"none"
        expires_in = int(expiry) * MS if expiry.isdigit() and len(expiry) <= MOST_EXPIRY_DIGITS else 0
        self.core.take(
            client,
            get(b"x-request-id", b""),
            get(b"x-class"),
            get(b"x-tier"),
            get(b"idempotency-key"),
            key,
            expires_in,
            get(b"x-call-terms", b""),
            method,
            url,
            get(b"content-type"),
            b"".join(client.body),
            get(b"x-retry") == b"1",
        )

    def own_page(self, client: Client, url: bytes) -> None:
        """Pages of this process."""
        if url == b"/-/ready":
            ready = self.ready()
            client.answer(b"HTTP/1.1 200 OK\r\n" if ready else b"HTTP/1.1 503 Service Unavailable\r\n", b"")
        else:
            client.answer(b"HTTP/1.1 404 Not Found\r\n", b"")

    def malformed(self, client: Client, trouble: Unfit) -> None:
        """What came cannot be followed: it is answered, and a txn that is out called off."""
        if trouble.status != TIMED_OUT:
            self.counts["malformed"] += 1
        exchange = client.exchange
        if exchange:
            exchange.client = None
            self.desk.left(exchange)
        elif client.fields and (product := self.core.products.get(client.fields.get(b"x-class"))):
            self.core.outcomes[product[0]][2] += 1  # a txn of a known product that the client saw fail
        text = str(trouble).encode()
        client.answer(
            b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n" % (trouble.status, REASONS[trouble.status]), text
        )
