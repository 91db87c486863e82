"""Clients: connections taken, txns read and checked, answers written, each whole and once.

It owns the listening socket, the client connections and the open exchanges. It must never choose an answer:
it words what it is told. By itself it answers only what no decision could be taken on (malformed, or past
the descriptors), and the guard of an expiry too short for a call to the counter.
"""

import asyncio
import re
import socket
from binascii import unhexlify

import httptools

from .. import terms as t

MS = 10 ** 6
NOTHING = 1e-9  # units of a try that takes none
LARGEST_KEY = (1 << 33).to_bytes(8, "big")
KEY = re.compile(rb"(?:^|;)\s*key=([0-9a-fA-F]{16})\s*(?:;|$)")
TERMS = re.compile(rb"\s*(units|spread|first)\s*=\s*(\d{1,9}(?:\.\d{1,6})?)\s*")
REASONS = {400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
           409: b"Conflict", 413: b"Content Too Large", 429: b"Too Many Requests", 431: b"Request Header Fields Too Large",
           502: b"Bad Gateway", 503: b"Service Unavailable"}
KEPT = frozenset((b"x-request-id", b"x-class", b"x-tier", b"cookie", b"x-deadline-ms", b"idempotency-key",
                  b"x-call-terms", b"x-retry", b"content-type", b"content-length", b"expect"))


class Unfit(Exception):
    """What a client sent cannot be followed; `status` says why."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class Exchange:
    """One txn on its way: what is passed on, who waits for it, where it is out. Its id alone tells it from
    others: while it is open, no second one may go out under that id."""
    __slots__ = ("client", "id", "head", "body", "txn", "links", "product", "account", "box", "mark")

    def __init__(self, client, txn_id, head, body, product, account=""):
        self.client, self.id, self.head, self.body, self.product = client, txn_id, head, body, product
        self.mark = None  # by which a storm knows its repeats
        self.account, self.box = account, None  # box: the app server that its last submission went to
        self.txn = -1
        self.links = {}  # the connections that its submissions are out on, by their numbers; emptied by ends

    def __hash__(self):
        return hash(self.id)

    def __eq__(self, other):
        return self.id == other.id


class Client(asyncio.BufferedProtocol):
    """One connection of the clients' front; one txn at a time."""
    __slots__ = ("front", "transport", "parser", "url", "fields", "body", "size", "fed", "exchange", "since",
                 "begun", "whole", "deaf", "over", "stuck", "crowded", "keep", "fresh", "feeder", "last")

    def __init__(self, front):
        self.front = front
        self.exchange = None  # the txn that is owed an answer
        self.feeder = None  # the connection whose answer is being relayed to this one
        self.begun = self.whole = self.deaf = self.over = self.stuck = self.crowded = False
        self.keep = self.fresh = True  # fresh: it has brought nothing whole yet

    def connection_made(self, transport):
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)
        self.since = self.front.clock()
        self.fed = 0
        self.front.joined(self)

    def connection_lost(self, trouble):
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

    def eof_received(self):
        return False  # a client that ends its sending has gone

    def get_buffer(self, hint):
        return self.front.buffer

    def buffer_updated(self, size):
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
        except httptools.HttpParserError as odd:
            trouble = odd.__context__ if isinstance(odd.__context__, Unfit) else Unfit(400, "not HTTP/1.1")
        whole, self.whole = self.whole, False
        if trouble:  # what came whole in front of it is not taken either: its length may be the lie
            self.refuse(trouble)
        elif whole:  # not within the parser's callback, where a fault of ours would pass for the client's
            self.front.read(self)

    def pause_writing(self):
        """Guards against a slow reader: no further txn is read from it until it has taken its answer."""
        self.stuck, self.since = True, self.front.swept
        if not self.over:
            self.transport.pause_reading()
        if self.feeder:  # the app server is read no faster than its client takes it
            self.feeder.transport.pause_reading()
            self.feeder.moved = self.front.clock()

    def resume_writing(self):
        self.stuck, self.since = False, self.front.swept
        if not self.over:
            self.transport.resume_reading()
        if self.feeder:
            # Guards the relay against being taken for stalled: while it was paused, nothing could come.
            self.feeder.transport.resume_reading()
            self.feeder.moved = self.front.clock()

    @property
    def busy(self):
        return self.exchange is not None or self.feeder is not None

    # ---- of the parser

    def on_message_begin(self):
        if self.busy or self.whole or self.deaf:
            self.front.counts["pipelined"] += 1
            raise Unfit(400, "one txn at a time")
        self.begun = True
        if not self.fresh:  # else its time runs from the connect: a bad client is turned away within 3 s
            self.since = self.front.swept
        self.url, self.fields, self.body, self.size = b"", {}, [], 0

    def on_url(self, part):
        self.url += part
        self.size += len(part)

    def on_header(self, name, value):
        name = name.lower()
        if name in KEPT:
            if name in self.fields:
                raise Unfit(400, f"{name.decode()} twice")
            self.fields[name] = value
        self.size += len(name) + len(value) + 4
        if self.size > self.front.bounds.head:
            raise Unfit(431, "the head is too large")

    def on_headers_complete(self):
        self.size = 0
        length = self.fields.get(b"content-length", b"0")
        if len(length) > 9 or int(length) > self.front.bounds.body:  # the parser leaves nothing but digits
            raise Unfit(413, "the body is too large")
        if b"expect" in self.fields:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part):
        self.size += len(part)
        if self.size > self.front.bounds.body:
            raise Unfit(413, "the body is too large")
        self.body.append(part)

    def on_message_complete(self):
        self.begun, self.whole, self.fed = False, True, 0
        if self.fresh:
            self.fresh = False
            self.front.served += 1
        self.keep = self.parser.should_keep_alive()

    # ---- answers

    def answer(self, head, body):
        """The whole answer, in one write. `head` lacks its last lines."""
        self.exchange, self.since = None, self.front.clock()
        if self.over:
            return
        last = not self.keep or self.deaf or self.crowded or self.front.closing or self.front.draining
        self.transport.write(b"%sContent-Length: %d\r\n%s\r\n%s" % (
            head, len(body), b"Connection: close\r\n" if last else b"", body))
        if last:
            self.end()

    def relay(self, head, link, length):
        """The head of an answer that is relayed as it comes; `length` None for chunks. `link` gives the rest."""
        self.exchange, self.since = None, self.front.clock()
        if self.over:
            return False
        self.last = not self.keep or self.deaf or self.crowded or self.front.closing or self.front.draining
        self.feeder = link
        framing = b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
        self.transport.write(b"%s%s%s\r\n" % (head, framing, b"Connection: close\r\n" if self.last else b""))
        return True

    def relayed(self):
        """The whole answer has been relayed."""
        self.feeder, self.since = None, self.front.clock()
        if self.last:
            self.end()

    def end(self):
        """Closes once what was written is out; `sweep` ends what never gets there."""
        if not self.over:
            self.over = self.deaf = True
            self.transport.close()

    def refuse(self, trouble):
        """What cannot be followed is answered at once and no more is read. A txn that is out for this client
        was followed by bytes that belong to nothing: it is refused whole and called off."""
        if not self.over:
            self.deaf, self.begun = True, False
            self.front.malformed(self, trouble)


class Front:
    def __init__(self, loop, desk, bounds, names, terms, log):
        self.loop, self.desk, self.bounds, self.log, self.counts = loop, desk, bounds, log, log.counts
        self.clock, self.closing, self.server, self.done = desk.clock, False, None, None
        self.draining = False  # told by the operators: clients are sent elsewhere, the process stays
        self.swept = desk.clock()  # when connections were last looked at: near enough for their ages
        self.storm = None  # damps retries and reconnects; None: nobody asked for it
        self.damped = set()  # connections past the accept rate; emptied as they end
        self.said = {}  # X-Call-Terms lately read, and what they mean; emptied when full
        self.buffer = memoryview(bytearray(bounds.chunk))  # shared: each read is used up before the next
        self.most = bounds.head + bounds.body
        self.clients = {}  # in the order they came; emptied as connections end
        self.served = 0  # those of them that brought something whole
        self.products = {name.encode(): (k, terms.products[k]) for name, k in names.products.items()}
        self.plans = {name.encode(): k for name, k in names.plans.items()}
        # What clients were answered, for each product: settled, declined, voided. Counted where answers are
        # written, so the operators' figures are the outcomes that clients saw. Fixed in size.
        self.outcomes = [[0, 0, 0] for _ in terms.products]
        self.ceilings = [plan.ceiling_rate > 0 for plan in terms.plans]
        self.largest, self.nodes = terms.largest, terms.nodes
        # An expiry that a call to the counter could outlast is guarded by a timer.
        self.short = terms.counter_wait + 2 * terms.tick + 2 * bounds.margin

    async def listen(self, host, port, inherited=None):
        """Binds the address, or serves on a listening socket handed down: old and new process of an upgrade
        then take from one queue, and what waits in it is not lost when the old one closes its copy."""
        if inherited is None:
            self.server = await self.loop.create_server(lambda: Client(self), host, port,
                                                        backlog=self.bounds.backlog)
            return
        sock = socket.socket(fileno=inherited)
        sock.setblocking(False)
        self.server = await self.loop.create_server(lambda: Client(self), sock=sock, backlog=self.bounds.backlog)

    # ---- connections

    def joined(self, client):
        self.counts["clients"] += 1
        self.clients[client] = None
        if self.storm and not self.storm.connected(self.clock()):
            # Guards against a reconnect wave: its txns are told at once to come back, spread over time.
            client.crowded = True
            self.damped.add(client)
        if len(self.clients) > self.bounds.clients and not self.shed():
            # Guards against more clients than descriptors: with none idle the newest is told to come back.
            client.crowded = True
            if len(self.clients) > self.bounds.clients + self.bounds.spare_clients:
                client.deaf = client.over = True
                client.transport.abort()

    def shed(self):
        """Closes the client connection that has been silent or else idle longest; false if none is. One that
        has just come is spared: its first txn may be on its way, and would fail."""
        now, bounds = self.clock(), self.bounds
        free = [c for c in self.clients if not (c.busy or c.over or c.stuck)
                and (c.fresh and now - c.since > bounds.silent_least or not c.fresh and not c.begun)]
        if not free:
            return False
        self.counts["clients_shed"] += 1
        # Guards the usual clients against hundreds that connect and say nothing: these make room first.
        min(free, key=lambda c: (not c.fresh, c.since)).end()
        return True

    def spread(self, client):
        """Guards the usual clients against those that ask once and keep their connection: clients hold a third
        of the descriptors at most, and a txn that finds no connection there never reaches us."""
        idle = [c for c in self.clients if not (c.fresh or c.busy or c.begun or c.over or c.stuck)
                and c is not client]
        if idle:
            self.counts["clients_shed"] += 1
            min(idle, key=lambda c: c.since).end()

    def parted(self, client):
        self.clients.pop(client, None)
        self.damped.discard(client)
        self.served -= not client.fresh
        if self.closing and not self.clients and self.done:
            self.done()

    def sweep(self):
        self.swept, b = self.clock(), self.bounds
        now = self.swept
        for c in list(self.clients):
            age = now - c.since
            if c.over or c.stuck:
                if age > b.write_wait:
                    self.counts["slow"] += 1
                    c.transport.abort()
            elif c.begun and age > b.read_wait:
                self.counts["slow"] += 1
                c.refuse(Unfit(408, "the txn never became whole"))
            elif not c.busy and not c.begun and age > (b.silent_wait if c.fresh else b.client_idle):
                c.end()
            elif self.draining and not c.busy and not c.begun and (not c.fresh or age > b.drain_silent):
                c.end()  # drained: none is held idle, and one that brings nothing goes soon

    def ready(self):
        return not self.closing and not self.draining and self.desk.upstream.any_up()

    def drain(self):
        """Clients are sent elsewhere: `/-/ready` says no and each answer closes its connection; what is idle
        is closed now. The listener stays: what the clients' front still sends is served."""
        self.draining = True
        for c in list(self.clients):
            if not (c.busy or c.begun or c.fresh):
                c.end()

    def activate(self):
        self.draining = False

    def retire(self, done):
        """Takes nothing new; `done` is called once every client has its answer and is gone."""
        self.closing, self.done = True, done
        self.server.close()
        for c in list(self.clients):
            if not c.busy and not c.begun:
                c.end()
        if not self.clients:
            done()

    # ---- txns in

    def read(self, client):
        url = client.url
        if self.served > self.bounds.served:
            self.spread(client)
        if url.startswith(b"/-/"):
            return self.own_page(client, url)
        self.counts["taken"] += 1
        if client.crowded:
            self.counts["turned_away"] += 1
            if product := self.products.get(client.fields.get(b"x-class")):
                self.outcomes[product[0]][1] += 1
            return client.answer(b"HTTP/1.1 503 Service Unavailable\r\n", b"")
        try:
            self.take(client, client.parser.get_method(), url, client.fields)
        except Unfit as trouble:
            client.refuse(trouble)

    def take(self, client, method, url, fields):
        get = fields.get
        txn_id, key = get(b"x-request-id", b""), get(b"idempotency-key")
        if not 0 < len(txn_id) <= 256:
            raise Unfit(400, "X-Request-Id is missing or too long")
        product, plan = self.products.get(get(b"x-class")), self.plans.get(get(b"x-tier"))
        if product is None or plan is None:
            raise Unfit(400, "unknown X-Class or X-Tier")
        index, product = product
        if method != (b"GET" if product.kind == t.INQUIRY else b"POST"):
            raise Unfit(405, "not the method of its X-Class")
        if product.kind == t.REFERENCED and not key:
            raise Unfit(400, "Idempotency-Key is missing")
        account = self.account(get(b"cookie", b""))
        expiry = get(b"x-deadline-ms", b"")
        if not expiry.isdigit() or len(expiry) > 9 or not 0 < int(expiry) * MS <= self.bounds.expiry_most:
            raise Unfit(400, "X-Deadline-Ms is no time ahead")
        text = get(b"x-call-terms", b"")
        units, spread = self.said.get(text) or self.call_terms(text)
        head = b"%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\n" % (method, url, txn_id)
        if key:
            head += b"Idempotency-Key: %s\r\n" % key
        if b"content-type" in fields:
            head += b"Content-Type: %s\r\n" % fields[b"content-type"]
        body = b"".join(client.body)
        if body and method == b"GET":
            raise Unfit(400, "a GET has no body")
        if method == b"POST":
            head += b"Content-Length: %d\r\n" % len(body)
        exchange = Exchange(client, txn_id, head, body, index, account)
        if exchange in self.desk.books.txns.of:
            # Guards rule 2 against a second copy that goes out under the id of one that is open.
            raise Unfit(409, "its X-Request-Id is open")
        if self.storm and (units := self.weathered(exchange, client, index, plan, key, url, body, units)) is None:
            return
        client.exchange = exchange
        client.fields = client.body = None  # a connection that stands idle holds nothing of its last txn
        expires_in = int(expiry) * MS - self.bounds.margin
        self.desk.arrived(exchange, index, plan, account, units, max(MS, expires_in), spread)
        if client.exchange is exchange and expires_in < self.short:
            self.desk.timers.after(max(0, expires_in), self.too_late, exchange)

    def weathered(self, exchange, client, index, plan, key, url, body, units):
        """The units that the txn takes, or None where the storm declined it: nothing of it was sent. What a repeat's
        earlier try took is not taken again, but from ceilings, which count every try."""
        storm, now = self.storm, self.clock()
        exchange.mark = storm.mark(exchange.account, index, key, url, body)
        counted, back_in = storm.arrived(exchange.mark, index, client.fields.get(b"x-retry") == b"1", now)
        if client in self.damped and back_in is None:
            back_in = storm.advice(0, now)
        if back_in is None:
            return NOTHING if counted and not self.ceilings[plan] else units
        client.fields = client.body = None
        client.exchange = exchange
        self.decline(exchange, back_in)
        return None

    @staticmethod
    def account(cookie):
        """The customer, spelt alike on all nodes. A cookie that is only the key needs no search."""
        key = cookie[4:]
        if len(cookie) != 20 or cookie[:4] != b"key=":
            found = KEY.search(cookie)
            key = found.group(1) if found else b"none"
        try:
            number = unhexlify(key)
        except ValueError:
            raise Unfit(400, "no cookie key of 16 hex digits") from None
        if number >= LARGEST_KEY:
            raise Unfit(400, "the cookie's key is out of range")
        return key.decode().lower()

    def call_terms(self, text):
        found = {}
        for part in text.split(b","):
            match = TERMS.fullmatch(part)
            if match and match.group(1) not in found:
                found[match.group(1)] = match.group(2)
            elif b"=" not in part or not match or match.group(1) in found:
                raise Unfit(400, "odd X-Call-Terms")
        units, spread, first = float(found.get(b"units", 0)), found.get(b"spread", b""), found.get(b"first", b"")
        if not (0 < units <= self.largest and spread.isdigit() and 1 <= int(spread) <= self.nodes
                and first.isdigit() and int(first) < self.nodes):
            raise Unfit(400, "odd X-Call-Terms")
        if len(self.said) >= self.bounds.said:
            self.said.clear()
        self.said[text] = said = int(units) if units.is_integer() else units, int(spread)
        return said

    def too_late(self, exchange):
        """Guards rule 1 where the wait for the counter could outlast the client: nothing is out yet."""
        if exchange.client and not exchange.links:
            self.desk.left(exchange)
            self.decline(exchange, 0)

    def own_page(self, client, url):
        if url == b"/-/ready":
            ready = self.ready()
            client.answer(b"HTTP/1.1 200 OK\r\n" if ready else b"HTTP/1.1 503 Service Unavailable\r\n", b"")
        else:
            client.answer(b"HTTP/1.1 404 Not Found\r\n", b"")

    def malformed(self, client, trouble):
        if trouble.status != 408:
            self.counts["malformed"] += 1
        exchange = client.exchange
        if exchange:
            exchange.client = None
            self.desk.left(exchange)
        elif client.fields and (product := self.products.get(client.fields.get(b"x-class"))):
            self.outcomes[product[0]][2] += 1  # a txn of a known product that the client saw fail
        text = str(trouble).encode()
        client.answer(b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n" % (
            trouble.status, REASONS[trouble.status]), text)

    # ---- answers out

    def settle(self, exchange, body, relay=None):
        self.counts["settled"] += 1
        if self.storm and exchange.mark:
            self.storm.settled(exchange.mark, self.clock())
        if relay is None:
            return self.out(exchange, b"HTTP/1.1 200 OK\r\n", body, 0)
        client, exchange.client = exchange.client, None
        if client:
            self.outcomes[exchange.product][0] += 1
            return client.relay(b"HTTP/1.1 200 OK\r\n", relay, relay.length)

    def decline(self, exchange, back_in):
        self.counts["declined"] += 1
        advice = b"Retry-After: %.3f\r\n" % (back_in / 1e9) if back_in else b""
        self.out(exchange, b"HTTP/1.1 429 Too Many Requests\r\n" + advice, b"", 1)

    def void(self, exchange):
        self.counts["voided"] += 1
        self.out(exchange, b"HTTP/1.1 502 Bad Gateway\r\n", b"", 2)

    def out(self, exchange, head, body, outcome):
        """Every answer to a taken txn passes here, and is counted here only."""
        client, exchange.client = exchange.client, None
        if client:
            self.outcomes[exchange.product][outcome] += 1
            client.answer(head, body)
