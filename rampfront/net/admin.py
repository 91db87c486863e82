"""The operators' address: readiness, figures, drain and activate; one call a connection, answered at once.

It owns the operators' listener and its callers. It must never decide about a txn or count outcomes of its
own: it reads the front's counts, the books and the module, and tells the front to drain or take clients.
"""

import asyncio

import httptools
import orjson

from .. import terms as t

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
           431: b"Request Header Fields Too Large", 503: b"Service Unavailable"}


class Caller(asyncio.Protocol):
    """One operator's connection: one call, one answer, then closed."""
    __slots__ = ("admin", "transport", "parser", "url", "fed", "whole", "over", "since")

    def __init__(self, admin):
        self.admin, self.url, self.fed, self.whole, self.over = admin, b"", 0, False, False

    def connection_made(self, transport):
        self.transport, self.since = transport, self.admin.clock()
        self.parser = httptools.HttpRequestParser(self)
        self.admin.joined(self)

    def connection_lost(self, trouble):
        self.over = True
        self.admin.callers.pop(self, None)
        self.parser = None

    def data_received(self, data):
        if self.over:
            return
        self.fed += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return self.reply(400, b"no upgrades here")
        except httptools.HttpParserError:
            return self.reply(400, b"not HTTP/1.1")
        if self.whole:  # not within the parser's callback, where a fault of ours would pass for the caller's
            self.admin.call(self, self.parser.get_method(), self.url.partition(b"?")[0])
        elif self.fed > self.admin.bounds.head + self.admin.bounds.body:
            self.reply(431, b"the call is too large")

    def on_url(self, part):
        self.url += part

    def on_message_complete(self):
        self.whole = True

    def reply(self, status, body, kind=b"text/plain", more=b""):
        if self.over:
            return
        self.over = True
        self.transport.write(b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%sConnection: close"
                             b"\r\n\r\n%s" % (status, REASONS[status], kind, len(body), more, body))
        self.transport.close()


class Admin:
    def __init__(self, loop, desk, front, bounds, names, log):
        self.loop, self.desk, self.front, self.bounds, self.log = loop, desk, front, bounds, log
        self.clock, self.server = desk.clock, None
        self.callers = {}  # in the order they came; emptied as connections end
        self.classes = sorted(names.products, key=names.products.get)  # names by index
        self.calls = {b"/v1/readyz": (b"GET", self.readyz), b"/v1/metrics": (b"GET", self.metrics),
                      b"/v1/edge-node/drain": (b"POST", self.drain),
                      b"/v1/edge-node/activate": (b"POST", self.activate)}

    async def listen(self, host, port):
        self.server = await self.loop.create_server(lambda: Caller(self), host, port, backlog=64)

    def joined(self, caller):
        self.callers[caller] = None
        if len(self.callers) > self.bounds.admin_callers:
            # Guards against a crowd of callers that say nothing: the oldest makes room, and no more is held.
            oldest = next(iter(self.callers))
            oldest.over = True
            oldest.transport.abort()

    def sweep(self):
        """Guards against callers that send nothing or half a call: each is cut off after a while."""
        now = self.clock()
        for caller in [c for c in self.callers if now - c.since > self.bounds.admin_wait]:
            caller.over = True
            caller.transport.abort()

    def call(self, caller, method, path):
        known = self.calls.get(path)
        if known is None:
            return caller.reply(404, b"no such call")
        if method != known[0]:
            return caller.reply(405, b"not the method of this call", more=b"Allow: %s\r\n" % known[0])
        known[1](caller)

    def readyz(self, caller):
        ready = self.front.ready()
        caller.reply(200 if ready else 503, b"ready" if ready else b"not ready")

    def metrics(self, caller):
        front, desk = self.front, self.desk
        figures = {kind: dict(zip(self.classes, column)) for kind, column in
                   zip(("success", "overload", "error"), zip(*desk.core.outcomes))}
        node = desk.node  # read between inputs, never while it is entered; which are avoided is its own test
        listed = [s for s in node.servers.values() if s.state != t.REMOVED]
        avoided = sum(s.state != t.UP or node.doubtful(s) for s in listed)
        figures.update(dispatches=self.log.counts["dispatches"],
                       concurrent=sum(not row[2] for row in desk.books.out.values()),
                       targets=len(listed), targets_disabled=avoided, draining=front.draining)
        caller.reply(200, orjson.dumps(figures), b"application/json")

    def drain(self, caller):
        self.log.say("drain")
        self.desk.core.drain()
        caller.reply(200, b"draining")

    def activate(self, caller):
        self.log.say("activate")
        self.desk.core.activate()
        caller.reply(200, b"taking clients")
