"""What every front shares: a txn checked and taken, its one answer counted and handed back.

It owns the open exchanges' way in and out, the storm's gate and the outcomes that clients saw. It must never know a
client's protocol: a front reads its own, calls `take`, and gives an asker, which words what it is told:

    taken(exchange)         nothing is owed any more but this txn's answer
    settled(body)           the whole answer
    relay(link, length)     the answer comes as `link` gives it; only of askers with `relays`
    declined(back_in)       in ns; 0: not told
    voided()                it may have run, or not
    damped                  its connection is past the accept rate

It must never choose an answer. By itself it gives only the guard of an expiry too short for a call to the counter.
"""

import re
from binascii import unhexlify

from .. import terms as t

MS = 10**6
NOTHING = 1e-9  # units of a try that takes none
JOURNAL_BACK = 1000 * MS  # when to come back with a once-only txn that cannot be recorded: its next try to write
LARGEST_KEY = (1 << 33).to_bytes(8, "big")
TERMS = re.compile(rb"\s*(units|spread|first)\s*=\s*(\d{1,9}(?:\.\d{1,6})?)\s*")


class Unfit(Exception):
    """What a client sent cannot be followed; `status` says why."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class Exchange:
    """One txn on its way: what is passed on, who waits for it, where it is out. Its id alone tells it from
    others: while it is open, no second one may go out under that id."""

    __slots__ = ("client", "id", "head", "body", "txn", "links", "product", "account", "box", "mark", "number")

    def __init__(self, client, txn_id, head, body, product, account=""):
        self.client, self.id, self.head, self.body, self.product = client, txn_id, head, body, product
        self.number = None  # of the journal's record of what is out
        self.mark = None  # by which a storm knows its repeats
        self.account, self.box = account, None  # box: the app server that its last submission went to
        self.txn = -1
        self.links = {}  # the connections that its submissions are out on, by their numbers; emptied by ends

    def __hash__(self):
        return hash(self.id)

    def __eq__(self, other):
        return self.id == other.id


class Core:
    """`fronts`: those that take clients, set by the program; each has `drain`, `activate` and `retire`."""

    def __init__(self, desk, bounds, names, terms, log):
        self.desk, self.bounds, self.log, self.counts, self.clock = desk, bounds, log, log.counts, desk.clock
        self.fronts = ()
        self.storm = None  # damps retries and reconnects; None: nobody asked for it
        self.said = {}  # X-Call-Terms lately read, and what they mean; emptied when full
        self.products = {name.encode(): (k, terms.products[k]) for name, k in names.products.items()}
        self.plans = {name.encode(): k for name, k in names.plans.items()}
        # What clients were answered, for each product: settled, declined, voided. Counted where answers are
        # handed back, so the operators' figures are the outcomes that clients saw. Fixed in size.
        self.outcomes = [[0, 0, 0] for _ in terms.products]
        self.ceilings = [plan.ceiling_rate > 0 for plan in terms.plans]
        self.largest, self.nodes = terms.largest, terms.nodes
        # An expiry that a call to the counter could outlast is guarded by a timer.
        self.short = terms.counter_wait + 2 * terms.tick + 2 * bounds.answer_margin_ns

    def drain(self):
        for front in self.fronts:
            front.drain()

    def activate(self):
        for front in self.fronts:
            front.activate()

    def retire(self, done):
        """Takes nothing new; `done` once every front's clients have their answers and are gone."""
        left = set(self.fronts)

        def gone(front):
            left.discard(front)
            if not left:
                done()

        for front in self.fronts:
            front.retire(lambda front=front: gone(front))

    # ---- txns in

    def take(self, asker, txn_id, product, plan, key, account, expires_in, said, method, url, kind, body, flagged):
        """A txn as its front read it, in bytes; `expires_in` in ns, 0 for none told; `key` and `kind` (of its body) None
        where there is none; `flagged`: its client calls it a retry. `Unfit` where it cannot be followed: then nothing
        was taken."""
        if not 0 < len(txn_id) <= 256:
            raise Unfit(400, "X-Request-Id is missing or too long")
        product, plan = self.products.get(product), self.plans.get(plan)
        if product is None or plan is None:
            raise Unfit(400, "unknown X-Class or X-Tier")
        index, product = product
        if method != (b"GET" if product.kind == t.INQUIRY else b"POST"):
            raise Unfit(405, "not the method of its X-Class")
        if product.kind == t.REFERENCED and not key:
            raise Unfit(400, "Idempotency-Key is missing")
        account = self.account(account)
        if not 0 < expires_in <= self.bounds.max_expiry_ns:
            raise Unfit(400, "X-Deadline-Ms is no time ahead")
        units, spread = self.said.get(said) or self.call_terms(said)
        head = b"%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\n" % (method, url, txn_id)
        if key:
            head += b"Idempotency-Key: %s\r\n" % key
        if kind is not None:
            head += b"Content-Type: %s\r\n" % kind
        if body and method == b"GET":
            raise Unfit(400, "a GET has no body")
        if method == b"POST":
            head += b"Content-Length: %d\r\n" % len(body)
        exchange = Exchange(asker, txn_id, head, body, index, account)
        if exchange in self.desk.books.txns.of:
            # Guards rule 2 against a second copy that goes out under the id of one that is open.
            raise Unfit(409, "its X-Request-Id is open")
        if (journal := self.desk.journal) and product.kind == t.ONCE_ONLY:
            if txn_id in journal.doubted:
                # Guards rule 2 over a restart: who asks again under the same id is told, nothing runs.
                raise Unfit(409, "its X-Request-Id may have run before this node's last start")
            if not journal.may_take():
                asker.taken(exchange)
                return self.decline(exchange, JOURNAL_BACK)
        if self.storm:
            units = self.weathered(exchange, asker, index, plan, key, url, body, flagged, units)
            if units is None:
                return
        asker.taken(exchange)
        expires_in -= self.bounds.answer_margin_ns
        self.desk.arrived(exchange, index, plan, account, units, max(MS, expires_in), spread)
        if exchange.client is asker and expires_in < self.short:
            self.desk.timers.after(max(0, expires_in), self.too_late, exchange)

    def weathered(self, exchange, asker, index, plan, key, url, body, flagged, units):
        """The units that the txn takes, or None where the storm declined it: nothing of it was sent. What a repeat's
        earlier try took is not taken again, but from ceilings, which count every try."""
        storm, now = self.storm, self.clock()
        exchange.mark = storm.mark(exchange.account, index, key, url, body)
        counted, back_in = storm.arrived(exchange.mark, index, flagged, now)
        if asker.damped and back_in is None:
            back_in = storm.advice(0, now)
        if back_in is None:
            return NOTHING if counted and not self.ceilings[plan] else units
        asker.taken(exchange)
        self.decline(exchange, back_in)
        return None

    @staticmethod
    def account(key):
        """The customer, spelt alike on all nodes."""
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
        if not (
            0 < units <= self.largest
            and spread.isdigit()
            and 1 <= int(spread) <= self.nodes
            and first.isdigit()
            and int(first) < self.nodes
        ):
            raise Unfit(400, "odd X-Call-Terms")
        if len(self.said) >= self.bounds.max_cached_call_terms:
            self.said.clear()
        self.said[text] = said = int(units) if units.is_integer() else units, int(spread)
        return said

    def too_late(self, exchange):
        """Guards rule 1 where the wait for the counter could outlast the client: nothing is out yet."""
        if exchange.client and not exchange.links:
            self.desk.left(exchange)
            self.decline(exchange, 0)

    # ---- answers out

    def settle(self, exchange, body, relay=None):
        self.counts["settled"] += 1
        if self.storm and exchange.mark:
            self.storm.settled(exchange.mark, self.clock())
        if asker := self.over(exchange, 0):
            asker.settled(body) if relay is None else asker.relay(relay, relay.length)

    def decline(self, exchange, back_in):
        self.counts["declined"] += 1
        if asker := self.over(exchange, 1):
            asker.declined(back_in)

    def void(self, exchange):
        self.counts["voided"] += 1
        if asker := self.over(exchange, 2):
            asker.voided()

    def over(self, exchange, outcome):
        """Who is owed the answer; every answer to a taken txn passes here, and is counted here only."""
        asker, exchange.client = exchange.client, None
        if asker:
            self.outcomes[exchange.product][outcome] += 1
        return asker
