"""Connections to the servers of one service, on the shared pool of `net/upstream.py`: what the system's wire has its own way.

A request leaves with `Wanted-Server`, `Customer` and the time left; an answer counts as whole only when it carries the
request's `Try-Id` and, where it is a success, the server's stamp. What only an answer with `Not-Run` says is that it has
not run. Source: PROTOCOL.md, "Servers".
"""

import re

from .. import terms as t
from ..membership import server_health
from ..membership.health_reporter import CONNECT_TIMEOUT_NS
from ..net.upstream import IDLE, WAITING, Link, Upstream

MS, SEC = 10**6, 10**9
FAR = 1 << 62  # ns: later than any time
KEEPS = re.compile(rb"(?:^|timeout\s*=\s*)(\d{1,5})")  # a server's `Keep-Alive`
AT_ONCE = 150 * MS  # a connection that ends so soon behind a request, without a byte, had been forgotten
RESTED = 250 * MS  # one that rested no longer than this is always used again
SPELL = 5 * SEC  # without another one found forgotten, connections are trusted again
EARLY = 300 * MS  # an idle connection is closed so long before its server would: the way there, and the next look at it
HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)  # concern one connection alone
MISDIRECTED = 421
UNRUN = frozenset((t.UNSEEN, t.UNSENT, t.UNREACHED))  # ends of what no server has run
SAW = {t.DONE: server_health.HEALTHY, t.ERROR: server_health.REQUEST_FAILED, t.BROKEN: server_health.REQUEST_FAILED}
PROMISES = frozenset((408, 429, 503))  # a client takes them to say that it has not run; without Not-Run it may have


class Answer:
    """A server's whole answer, as it goes back."""

    __slots__ = ("status", "fields", "body")

    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


class ForwardingLink(Link):
    __slots__ = ("until", "fields", "tag", "seal", "coded", "told_load", "keeps", "rested", "ref")

    def on_message_begin(self):
        super().on_message_begin()
        self.fields, self.tag, self.seal, self.coded, self.told_load = [], None, None, False, None
        self.keeps = None

    def on_headers_complete(self):
        super().on_headers_complete()
        if self.headed and self.exchange and self.exchange.head[:5] == b"HEAD ":
            self.whole, self.keep = True, False  # what its length tells does not come

    def on_header(self, name, value):
        if self.headed:
            return  # Guards the head against trailers
        low = name.lower()
        if low == b"try-id":
            self.tag = value
        elif low == b"server-seal":
            self.seal = value
        elif low == b"not-run":
            self.not_run = value.strip() not in (b"", b"0")
        elif low == b"server-load":
            self.told_load = value
        elif low == b"content-encoding":
            self.coded = True
        elif low == b"content-length":
            self.length = int(value)
        elif low == b"transfer-encoding":
            self.chunked = True
        elif low == b"keep-alive":
            self.keeps = value
        if low not in HOP:
            self.fields.append((name, value))

    def begin(self, exchange, attempt, allow):
        pool, now = self.pool, self.pool.clock()
        self.rested = now - self.since if self.state == IDLE else None
        if exchange:
            self.ref = pool.health_reporter.request_started(
                self.target.uid, pool.desk.node.lines[exchange.product].mean, now
            )
        super().begin(exchange, attempt, allow)

    def connection_lost(self, trouble):
        if self.state == WAITING and not self.fed and self.rested is not None:
            self.pool.forgotten(self.rested, self.pool.clock() - self.sent_at)
        super().connection_lost(trouble)

    def say(self, exchange, left):
        self.transport.writelines(
            (
                exchange.head,
                b"Time-Left-Ms: %d\r\nWanted-Server: %s\r\n\r\n" % (left // MS, self.target.uid.encode()),
                exchange.body,
            )
        )

    def conclude(self, sound):
        self.whole = False
        status, exchange = self.parser.get_status_code(), self.exchange
        if load := self.told_load:
            self.pool.loaded(self.target, load)
        if exchange is None:
            return self.finish(t.DONE if status == 200 else t.ERROR, sound and self.keep)
        turned_away = self.not_run or status == MISDIRECTED
        if self.tag != exchange.id and not (turned_away and self.tag is None and self.rested is None):
            # Guards against a late answer to an earlier request, above all one that says that nothing ran. One without
            # an id is believed only on a connection that carried no earlier request.
            return self.odd("another request's answer")
        if turned_away:
            if status == MISDIRECTED:  # another server has the address
                self.pool.misplaced(self.target)
            return self.finish(t.UNSEEN, sound and self.keep)
        if self.coded or 200 <= status < 300 and not self.seal:
            # Guards against answers that are not the server's: none of it reaches a client.
            return self.odd("not the server's answer")
        self.finish(t.ERROR if status >= 500 or status in PROMISES else t.DONE, sound and self.keep)

    def finish(self, how, keep=False):
        if keep and (said := KEEPS.search(self.keeps or b"")):
            # Guards a request against a server that closes an idle connection just as it is sent.
            self.until = self.pool.clock() + int(said.group(1)) * SEC - EARLY
        else:
            self.until = FAR
        if self.exchange:
            now = self.pool.clock()
            hung = how == t.UNREACHED and now - self.sent_at >= CONNECT_TIMEOUT_NS
            self.pool.health_reporter.request_ended(
                self.ref, self.target.uid, now, server_health.CONNECT_TIMED_OUT if hung else SAW.get(how)
            )
        super().finish(how, keep)

    def outcome(self, how, took):
        if self.exchange and how not in UNRUN:
            self.exchange.risky = True
        if how not in (t.DONE, t.ERROR) or self.exchange is None:
            return None, 0, None
        self.pool.answers.record(took)
        answer = Answer(self.parser.get_status_code(), self.fields, b"".join(self.body))
        self.fields = None
        if how == t.ERROR and answer.status not in PROMISES:
            self.exchange.answer = answer  # goes back if nothing better comes
        return answer, 0, None


class ConnectionPool(Upstream):
    """The pool of one service. `loads(index, running, waiting, slots)` is told what answers say of their server,
    `gone(uid)` that another has its address, `health_reporter` how each request ends, `answers` (`LatencyHistogram`) how long each took."""

    kind = ForwardingLink

    def __init__(self, loop, desk, bounds, health, log, loads, gone, health_reporter, answers):
        super().__init__(loop, desk, bounds, False, log)
        self.loads, self.gone, self.health_reporter, self.answers = loads, gone, health_reporter, answers
        self.rest_most = (
            bounds.server_idle_timeout_ns
        )  # how long a connection may have rested to carry what may run only once
        self.doubted_at = 0  # when a connection was last found forgotten
        self.probe_text = b"GET %s HTTP/1.1\r\nHost: health\r\n\r\n" % health

    def submit(self, exchange, attempt, index, allow):
        if exchange.once and (target := self.targets.get(index)):
            # Guards what may run once only against a connection that its server has forgotten: it could not be sent again.
            now = self.clock()
            if now - self.doubted_at > SPELL:
                self.rest_most = self.bounds.server_idle_timeout_ns
            while target.idle and now - target.idle[-1].since > self.rest_most:
                target.idle[-1].close()
        super().submit(exchange, attempt, index, allow)

    def forgotten(self, rested, took):
        """A kept connection ended under a request at once: for a while, those that rested a fraction of that are not trusted.
        One is enough: servers forget at a bound of theirs that lies anywhere below, and each try at it may lose a request."""
        if took < AT_ONCE:
            self.rest_most, self.doubted_at = max(RESTED, min(self.rest_most, rested // 8)), self.clock()

    def loaded(self, target, text):
        parts = text.split(b",")
        if len(parts) == 3 and all(part.strip().isdigit() and len(part) < 7 for part in parts):
            self.loads(target.index, *map(int, parts))

    def link_to(self, index):
        if (target := self.targets.get(index)) and target.idle and target.idle[-1].until <= self.clock():
            self.close_idle(target)  # the newest is too old, so the others are
        return super().link_to(index)

    def misplaced(self, target):
        """Guards against asking a server that is gone, whose address is another's, until the list says so too."""
        self.counts["misplaced"] += 1
        self.gone(target.uid)
