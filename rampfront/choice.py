"""The decisions of an edge node: `Node(terms, seed, now)`, then `take(now, told)` for each input; None first. It returns
the effects, in order. Interface: `terms.py`; times are whole ns. Read `TXN` and `COUNTER` first. Submissions pass `lawful`
(rules 2 to 5) and `submit` (rule 1). `within`: the window test of RFC 0015; `flush`: delta adds; `ask_first`: the exception."""

from collections import deque
from hashlib import blake2b
from math import exp, inf, log, sqrt
from random import Random

from . import epoch, terms as t
from .state import Account, RateCounts, Server, Txn, Window

MS, SEC = 10 ** 6, 10 ** 9

WINDOW = 1.5  # length of an account's window, in times that its burst lasts at its rate
TICK = SEC  # mean gap between an account's adds while it is active
FIRST_ADD = 60 * MS  # an account unread or gone stale reads this soon after its txn: off the txn path
EARLY = 0.25  # part of its share of the limit past which an edge node's grown count is added before the tick
STALE = 3  # a reading older than this many ticks no longer bounds what the others sent on
STRETCH = 24  # longest tick, in ticks, while the counter is crowded
QUICK = 0.25  # part of a call's wait within which its answer tells of no crowd
SICK_AFTER, TRIAL_GAP = 4, SEC // 2  # failures in a row that open the counter's breaker; gap of trials then
BEAT, STALL = SEC // 4, SEC // 10  # gap of a node's own beat; later by more, it stood still
SAME, FEW, MANY = 20 * MS, 5, 50  # patience alike; votes for it that are needed, and that count at most
HOPE = 0.5  # part of the mean time that must be left for a submission to pay
GHOST = 4.0  # how long what was given up is taken to run on, in mean times
PRESS = 1.0  # how far the part of the known that lately found no room lowers what is let in untold
TARRY = 3.0  # mean times that a submission has been out, or half of what is left, before a second copy goes
TARDY = 0.2  # part of the answers past SLOW from which on all are taken to be slow, rather than some lost
CROWD, SPARSE = 1.2, 3.0  # stretch past which well metered accounts ask so much more rarely
GRAIN = 0.5  # part of a quota that one add counts for at most
COARSE = 2.0  # a count whose adds stand for more txns each is one more reading for an account that is metered
KNOWN = 8 * SEC  # how long what is known of a thin account's use spares the counter calls while it is CALM
CALM, FULL = 0.8, 1.15  # parts of the quota in use between which ever fewer untold txns are let in
NOISE = 0.4  # part of a fading count's deviation that a thin account gets, while there is room
METER_WEIGHT, METER_UNITS = 0.6, 10.0  # most weight of a reading of the meter; units in it that give one
FADES = 10  # life of a thin account's count, in times that it takes to fade
EPOCH, LEVEL_FRESH = 4 * SEC, SEC  # life of a count of submissions out at once, and of a reading of it
OPEN_START = 3.5  # submissions out at one app server, of all nodes, before anything is known of it
GROWTH = 0.08  # how fast a limit grows: with SLOW it settles at its start if two answers in five are slow
SLOW = 0.5  # part of the SLA time past which an answer tells of an app server with too much to do
SPARE_RATE, SPARE_MOST = 0.2, 10.0  # further submissions earned by each first one, and at most saved up
PROBE_SHARE, PROBE_THIN, PROBE_FEE = 0.1, 8.0, 0.01  # probes a txn, more so where own tell nothing; usual fee
LOOKS, HEARD, NEAREST = 16, 4, 12  # app servers looked at for a txn; past so many, those that probes told of come first
REACH = 1.0  # room saved up at most, in submissions times seconds
DOUBT, MEMORY, ABSENT = 4.0, 8 * SEC, 4.0  # answers worth the fleet's; half-life; a failed connect's
COLD_MARGIN = 0.8  # part of the guessed cold budget that is used
YIELD = 0.25  # part of a limit that is left to those of higher rank by the lowest
TELLS = SEC  # half-life of what an answer told of the work at its server

ARRIVED, READ, SETTLED, TARRIES, UNRUN, RISKY, LEFT = "arrived read settled tarries unrun risky left".split()
NEW, ASKED, OUT, OVER, WELL, SICK, ANSWER, FAILURE, CALL = "new asked out over well sick answer failure call".split()


class Line:
    """A product: what its txns may do, and how long they lately took (`mean`)."""

    def __init__(self, product):
        self.kind, self.group, self.sla = product.kind, product.group, product.latency_target
        self.window, self.late, self.mean = product.repeat_window, product.late_value_share, 0.0
        self.patience, self.usual, self.votes = product.client_timeout, 0, 0
        self.harmless = self.kind == t.READ_ONLY or self.kind == t.DEDUPLICATED and self.group == t.ALL


class Quota:
    """A plan: window and limit of its rate, cap on submissions out, ceiling, and if going beyond it pays."""

    def __init__(self, plan, typical):
        self.rate, self.burst, self.cap = plan.rate, plan.burst, plan.max_in_flight
        self.fill, self.depth = plan.ceiling_rate, plan.ceiling_depth
        self.window = max(SEC, int(WINDOW * plan.burst / plan.rate * SEC)) if plan.rate > 0 else 0
        self.limit, self.keep = plan.rate * self.window / SEC, 3 * self.window  # and how long a count is kept
        self.pays, self.costs = plan.excess_value > plan.excess_cost, plan.excess_cost
        # a thin account has more nodes than its limit has txns; its count at most, its fading, a name's life
        self.most, self.thin_past = plan.burst or plan.max_in_flight, (self.limit or plan.max_in_flight or inf) / typical
        self.noise = NOISE * sqrt(typical / self.most) if plan.rate > 0 else 1e-6  # of a count that fades
        self.fade = plan.burst / plan.rate * SEC if plan.rate > 0 else inf
        self.life = int(self.fade * FADES) if plan.rate > 0 else EPOCH
        self.idle = int(max(2 * self.window, 2 * EPOCH, self.depth / (self.fill or inf) * SEC))


class Node:
    def __init__(self, terms, seed, now):
        chance = Random(seed)
        self.pick, self.beta, self.uniform = chance.choices, chance.betavariate, chance.uniform
        self.random, self.sample = chance.random, chance.sample
        self.lines = [Line(product) for product in terms.products]
        self.quotas = [Quota(plan, terms.max_units / 2) for plan in terms.plans]
        self.most, self.subscribes, self.copies = terms.max_submissions, terms.subscribes, terms.may_duplicate
        self.probes = terms.may_probe * PROBE_SHARE * min(1.0, PROBE_FEE / (terms.probe_cost or PROBE_FEE))
        self.counts, self.advice, self.margin, self.tells = terms.has_counter, terms.max_retry_after, 2 * terms.min_input_gap, terms.reports_load
        self.cancels, self.call_wait = terms.may_cancel, terms.counter_timeout
        self.limit = self.start = OPEN_START / terms.nodes  # submissions out at each app server
        self.cold, self.warm_within, self.span = terms.cold_share, terms.warm_up, terms.cold_overload_after
        self.cold_rate = terms.cold_overload_factor * COLD_MARGIN * terms.cold_overload_after * log(2) / MEMORY
        self.began, self.now, self.effects = now, now, []
        self.marks = epoch.Marks(terms.nodes, self.uniform, seed) if terms.marks_counter and self.counts else None
        self.txns = {}  # open txns; emptied by their final answer and the end of their last submission
        self.servers = {}  # emptied as the list drops them, once nothing of ours is out there
        self.accounts = {}  # emptied when idle for two windows, by `retire`
        self.due = {}  # reminders under way: ref to what is done then; emptied as they fall due
        self.calls = {}  # calls to the counter under way, by name, and what is done then; emptied by answers
        self.counter, self.failures, self.trial_at, self.stretch, self.took = WELL, 0, 0, 1.0, 0
        # Parts, lately: of submissions out for long, those whose answer never came; of txns inside their
        # quotas, those that found no room; of answers, those that were late; of submissions, those in time.
        self.silent, self.pressed, self.tardy, self.prompt = 0.0, 0.0, 0.0, 0.0
        self.woke, self.beating = 0, False  # when it last found that it had stood still; its beat is set
        self.ref, self.period, self.bear_most = 0, terms.usage_period, inf  # bear_most: of a cold one in a span
        self.spare_rate, self.spare_most = terms.retry_budget or (SPARE_RATE, SPARE_MOST)
        self.spare = self.spare_most
        self.up, self.each, self.sure = [], 0.0, 0.5  # those listed as up; what a warm one settled; mean odds
        self.heard = deque(maxlen=HEARD)  # app servers that a probe told of
        self.free, self.looked_at, self.saved, self.saved_at = 0.0, 0, REACH, now  # room, and its savings

    def take(self, now, told):
        self.now, self.effects = now, []
        INPUTS[type(told)](self, told)
        return self.effects

    def run(self, told):
        self.ask()
        self.stamp() if self.marks else None

    def ask(self):
        self.effects += [t.Subscribe()] if self.subscribes else []

    def remind(self, delay, what, *about):
        self.ref += 1
        self.due[self.ref] = (what, about)
        self.effects.append(t.Remind(int(delay), self.ref))

    def beat(self, due):
        """Guards against a node that stood still: what it then finds at once tells of itself alone."""
        self.woke = self.now if self.now - due > STALL else self.woke
        self.beating = bool(self.txns)
        if self.beating:
            self.remind(BEAT, self.beat, self.now + BEAT)

    def on_due(self, told):
        what, about = self.due.pop(told.ref, (self.always, ()))
        what(*about)

    def on_list(self, told):
        if told.failed:
            return self.remind(self.uniform(0.5, 1.0) * SEC, self.ask)
        named = {row.server: row.state for row in told.rows}
        for server in list(self.servers.values()):  # a whole list removes what it leaves out
            server.state = named.get(server.id, t.REMOVED if told.complete else server.state)
            self.let_go(server)
        for row in [row for row in told.rows if row.state != t.REMOVED]:
            server = self.servers.setdefault(row.server, Server(row.server))
            if row.started_at != server.started_at:  # another process: what was known of the old one is void
                server.successes, server.failures, server.relative_duration, server.cold_span_end = 0.0, 0.0, 1.0, 0
            server.state, server.started_at, server.proximity, server.zone, server.cell = row.state, row.started_at, row.proximity, row.zone, row.cell
        self.up = sorted([s for s in self.servers.values() if s.state == t.UP], key=lambda s: -s.proximity)

    def lay(self, server):
        """Guards against room that is not there: what is given up may still run there for a while. Harm:
        where cancels stop work, room stands idle for as long."""
        server.occupied, self.free = server.occupied - 1, self.free + 1.0

    def let_go(self, server):
        self.servers.pop(server.id, None) if server.state == t.REMOVED and not server.in_flight else None

    def on_arrival(self, told):
        account = self.account(told.account, told.plan, told.account_nodes)
        line, expiry = self.lines[told.product], self.now + told.expires_in
        came = self.now - self.waited(line, told.expires_in)
        txn = self.txns[told.txn] = Txn(told.txn, line, account, told.units, came, expiry, NEW, told.allowed_zones,
                                        told.max_submissions or self.most, told.proximity_exponent, told.shed_rank)
        self.beating or self.beat(self.now)
        self.step(txn, ARRIVED)
        if self.probes and self.up and self.random() < self.probes * (1.0 + PROBE_THIN / (1.0 + self.each)):
            self.effects.append(t.Probe(self.pick(self.up)[0].id))

    def waited(self, line, left):
        """How long the client has waited since its first try, by what is left of its patience. First tries
        all bring about the same, which is learnt by vote; what differs is a later try, or has stood here.
        Guards against work for answers that come too late. Where no such patience shows, nothing is taken
        off: a guess would decline what can still be answered in time."""
        like = abs(left - line.usual) < SAME
        line.votes = min(MANY, line.votes + 1) if like else line.votes - 0.5
        if line.votes < 0:
            line.usual, line.votes = left, 1
        if like or line.votes < FEW or not line.patience:
            return 0
        return max(0, (line.usual if self.woke == self.now and left < line.usual else line.patience) - left)

    def on_left(self, told):
        self.step(self.txns[told.txn], LEFT)

    def on_ended(self, told):
        txn, server = self.txns[told.txn], self.servers[told.server]
        held = txn.in_flight.pop(told.attempt)
        server.in_flight, txn.account.in_flight = server.in_flight - 1, txn.account.in_flight - 1
        if held and told.outcome in (t.CANCELLED, t.TIMED_OUT) and not self.losing():
            self.remind(GHOST * txn.product.mean, self.lay, server)
        elif held:
            self.lay(server)
        if told.outcome == t.CANCELLED and told.final and txn.state == OVER and not held:
            self.silent += 0.1 * (0.8 - self.silent)
        if told.outcome not in (t.CANCELLED, t.NOT_SENT) and self.woke < self.now:
            self.judge(server, txn, told)
        self.let_go(server)
        if told.usage is not None:
            self.metered(txn.account, told.usage)
        if told.outcome == t.DONE and told.actual_units and txn.in_quota and txn.account.counts:
            ledger = txn.account.counts
            self.roll(ledger)
            ledger.current.own += told.actual_units - txn.units  # a credit nets against later growth, see `flush`
            self.refill(ledger, told.actual_units - txn.units)
        seen = SEEN.get(told.outcome, RISKY)
        if seen == RISKY and txn.risk_at is None:
            txn.risk_at = self.now - told.duration
        self.step(txn, LEFT if told.final and seen != SETTLED else seen)

    def step(self, txn, seen):
        for guard, then, effect in TXN.get((txn.state, seen), ()):
            if found := guard(self, txn):
                txn.state = then
                effect(self, txn, found)
                break
        if txn.state == OVER and not txn.in_flight and self.txns.pop(txn.id, None) and txn.count_known:
            self.give_back(txn)

    def always(self, *about):
        return True

    def beyond(self, txn):  # the design's refusal; where excess earns more than it costs, by room
        account = txn.account
        if not account.below_one_txn:
            txn.in_quota = self.within(account, txn.units)
        elif txn.count_known and not (self.sampled(account) and txn.represents > COARSE):
            txn.in_quota = txn.count <= account.quota.most * max(1.0, 1.0 + account.quota.noise - self.pressed)
        else:
            txn.in_quota = self.random() * (FULL - CALM) < FULL - account.usage - PRESS * self.pressed
        return not (self.worth(txn) and (txn.in_quota or account.quota.pays and self.roomy()))

    def unread(self, txn):  # whether a txn waits for its account's count; while calls fail, by chance
        account = txn.account
        if not account.below_one_txn or txn.expires_at - self.now < 2 * self.call_wait + self.margin:
            return False
        clear = account.usage < CALM and self.now - account.usage_read_at < KNOWN
        txn.represents = self.stretch if clear else sqrt(self.stretch)  # the few that ask stand for all
        txn.represents *= SPARSE if self.sampled(account) and self.stretch > CROWD else 1.0
        asks = (not account.quota.pays and self.worth(txn) and self.fits()
                and self.random() * txn.represents < 1.0 and self.mark(CALL))
        # Guards against one add that fills a quota for all that read it. Harm: in a crowd counts are too low.
        txn.represents = max(1.0, min(txn.represents, GRAIN * account.quota.most / txn.units))
        return asks

    def may_decline(self, txn):  # rule 2: only where no submission can have run, or all repeats are dropped
        return txn.risk_at is None or txn.product.harmless

    def worth(self, txn):  # whether an answer may still come in time
        return txn.product.late > 0 or txn.arrived_at + txn.product.sla - self.now > HOPE * txn.product.mean

    def again(self, txn):  # a further submission: while it pays, out of savings, so that no storm starts
        return self.worth(txn) and self.spare >= 1.0 and txn.submissions < txn.max_submissions and self.choose(txn)

    def choose(self, txn):  # one app server drawn at random, odds in step with the room it is thought to have
        some = self.lawful(txn) if self.fits() else []
        self.sure = sum(map(self.odds, some)) / len(some) if some else self.sure
        # Guards against fast failure that looks like room: the doubtful get work by a draw of their chance of
        # success, held against the others', so when all fail alike none is condemned. Harm: a few lost txns.
        pool = [(s, room * s.proximity ** txn.proximity_exponent) for s in some if (room := self.room(s, txn.shed_rank)) > 0
                and (not self.doubtful(s) or self.beta(s.successes + 1, s.failures + 1) > 0.9 * self.sure)]
        pool = [(s, room) for s, room in pool if s.id != txn.last_server] or pool  # elsewhere, where there is one
        return self.pick([s for s, _ in pool], [room for _, room in pool])[0] if pool else None

    def doubtful(self, server):
        return server.failures >= 1 and self.odds(server) <= 0.9 * self.sure

    def fits(self):
        """Guards against many nodes that fill the fleet together: limits hold in sum, or by savings."""
        self.look()
        return self.free >= 1.0 or self.saved > 0.0

    def look(self):
        self.saved = max(-REACH, min(REACH, self.saved + self.free * (self.now - self.saved_at) / SEC))
        self.saved_at = self.now
        if self.now - self.looked_at > SEC // 10:
            self.looked_at = self.now
            self.free = sum(max(-1.0, self.limit * self.ready(s) - s.occupied) for s in self.up)
            warm = [self.fade(s) for s in self.up if self.ready(s) >= 1.0]
            self.each = sum(warm) / len(warm) if warm else self.each  # with none warm, the last guess stands

    def lawful(self, txn):
        """The app servers that the rules leave for the txn's next submission: the one gate of every send."""
        line, now, account = txn.product, self.now, txn.account
        if txn.in_flight and not (self.copies and line.kind == t.READ_ONLY) or txn.expires_at - now <= self.margin + MS:
            return []
        if not txn.submissions and account.quota.fill > 0 and self.store(account) < txn.units:
            return []  # rule 5
        bound = txn.risk_at is not None and line.kind != t.READ_ONLY  # rule 2
        if bound and (line.kind == t.ONCE_ONLY or now + self.margin >= txn.risk_at + line.window):
            return []
        group, home = line.group if bound else t.ALL, txn.allowed_zones
        some = self.up if home is None else [s for s in self.up if s.zone in home]
        if not bound and len(some) > LOOKS:
            fresh = [s for s in self.heard if s.occupied < self.limit and s.id != txn.last_server and self.bears(s)]
            fresh = some[:NEAREST] + self.sample(some[NEAREST:], LOOKS - NEAREST) if self.tells else self.each < 1.0 and fresh
            some = fresh or self.sample(some, LOOKS)
        return [s for s in some if s.state == t.UP  # rule 3, without the grace
                and (group != t.ZONE or s.zone == txn.risk_zone)
                and (group != t.CELL or s.cell == txn.risk_cell)
                and self.bears(s)]

    def bears(self, server):
        """Rule 4: what the least capacity of a cold app server allows, guessed from what a warm one does.
        A part below one is a chance, drawn once a span, so that the parts of hundreds of nodes sum to it."""
        if (ready := self.ready(server)) < 1.0 and self.now >= server.cold_span_end:
            server.cold_span_end = self.now + self.span
            server.cold_allowance = int(min(self.bear_most, self.cold_rate * ready * self.each) + self.random())
        return ready >= 1.0 or server.cold_allowance > 0

    def submit(self, txn, server):
        now, line = self.now, txn.product
        self.spare = self.spare - 1.0 if txn.submissions else min(self.spare_most, self.spare + self.spare_rate)
        if not txn.submissions:
            self.pressed -= 0.05 * self.pressed
            self.count(txn)
        txn.in_flight[txn.submissions] = True
        txn.submissions, txn.last_server = txn.submissions + 1, server.id
        server.in_flight, server.cold_allowance = server.in_flight + 1, server.cold_allowance - 1
        server.occupied, self.free = server.occupied + 1, self.free - 1.0
        txn.account.in_flight += 1
        if txn.risk_at is None:
            txn.risk_zone, txn.risk_cell = server.zone, server.cell
        left, rest = txn.arrived_at + line.sla - now, txn.expires_at - now - self.margin
        allow = rest if line.late > 0 or left <= 0 else min(left, rest)
        self.effects.append(t.Submit(txn.id, server.id, max(MS, allow)))
        if self.copies and line.kind == t.READ_ONLY and line.mean:
            wait = min(TARRY * line.mean, left / 2 if left > 0 else inf)
            self.remind(wait, self.tarry, txn, txn.submissions - 1, server)

    def tarry(self, txn, attempt, server):
        """Guards against answers that never come: a second copy, out of the same savings and room as any
        further submission. Harm: work done twice where the answer was only late."""
        if txn.in_flight.get(attempt) and self.woke < self.now and (self.losing() or self.tells and self.fits()):
            txn.in_flight[attempt] = self.tells  # else its place is free: most likely the answer is lost, not late
            self.lay(server) if not self.tells else None
            self.step(txn, TARRIES)

    def losing(self):  # answers are lost, as what comes comes in time
        return self.silent > 0.5 and self.tardy < TARDY

    def another(self, txn):  # one that is out may still settle it
        return bool(txn.in_flight)

    def close(self, txn, found):  # nothing is owed; what is still out is called off
        self.effects += [t.Cancel(txn.id, attempt) for attempt in sorted(txn.in_flight) if self.cancels]

    def decline(self, txn, found):
        rate = txn.account.quota.rate
        if txn.in_quota and not txn.submissions:
            self.pressed += 0.05 * (1.0 - self.pressed)
        wait = txn.units / rate * SEC if rate > 0 and not txn.in_quota else txn.product.mean  # refill, or room
        self.effects.append(t.Decline(txn.id, int(min(self.advice, max(wait, 100 * MS))), not txn.in_quota))

    def void(self, txn, found):
        self.effects.append(t.Void(txn.id))

    def account(self, text, plan, nodes):
        account = self.accounts.get(key := f"{plan}|{text}")
        if account is None:
            quota, now, rate = self.quotas[plan], self.now, None
            thin = self.counts and nodes > quota.thin_past
            if quota.rate > 0 and not thin:
                number = now // quota.window
                rate = RateCounts(key, quota, nodes, now, Window(number), Window(number - 1))
            # Guards against a restart that fills the ceiling again: our share counts as spent at our start.
            account = self.accounts[key] = Account(key, quota, nodes, now, rate, self.began, thin)
            self.remind(quota.idle, self.retire, account)
        account.used_at, account.nodes = self.now, max(account.nodes, nodes)
        return account

    def roll(self, ledger):
        return epoch.roll(ledger, self.now)

    def retire(self, account):
        if (idle := self.now - account.used_at) >= account.quota.idle and not account.in_flight:
            self.accounts.pop(account.key, None)
        else:
            self.remind(max(account.quota.idle - idle, SEC), self.retire, account)

    def store(self, account):
        """This node's share of the ceiling: 1/set size of rate and depth, so no agreement is needed."""
        quota, gain = account.quota, (self.now - account.ceiling_filled_at) / SEC * account.quota.fill / account.nodes
        account.ceiling_tokens, account.ceiling_filled_at = min(quota.depth / account.nodes, account.ceiling_tokens + gain), self.now
        return account.ceiling_tokens

    def within(self, account, units):
        if ledger := account.counts:
            self.hasten(ledger, account.quota.fill > 0)
            left, limit, marks = self.roll(ledger), ledger.quota.limit, self.marks
            own, others = epoch.weigh(ledger, left)
            if alone := not self.fresh(ledger) or marks and self.counter != WELL:
                # Guards against a counter that is silent, slow or crowded: the others go on as last read, and
                # leave us our fair share. Harm: a customer that moved here waits for the next reading.
                fair = min(ledger.others_at_read, limit - account.quota.burst / ledger.nodes)
                others = max(others, epoch.left(limit, ledger) if marks else fair) if own > 0 else 0.0
            if marks and (alone or marks.heard < marks.nodes):  # what refills cannot be known
                return own + others + units <= limit * marks.part() and self.below_cap(account)
            # Guards against a window that remembers a burst longer than the quota does: by fresh counts, what
            # filled up again since is let in, less the others' even part from the last total on.
            unseen = (1.0 - 1.0 / ledger.nodes) * account.quota.rate * (self.now - ledger.read_at) / SEC
            spent = marks and self.refill(ledger) < 0.0  # a debt by all that was told: blind spots add up
            if spent or own + others + units > limit + 1e-9 and self.refill(ledger) - unseen < units:
                return False
        return self.below_cap(account)

    def refill(self, ledger, taken=0.0):  # what of the quota is left, by our counts and the totals
        gain = (self.now - ledger.remaining_at) / SEC * ledger.quota.rate
        ledger.remaining, ledger.remaining_at = min(ledger.quota.burst, ledger.remaining + gain) - taken, self.now
        return ledger.remaining

    def below_cap(self, account):  # by the epoch's last total; with none of ours out, one may try
        others = account.others_in_flight if self.now - account.others_read_at < LEVEL_FRESH else 0.0
        if self.counter != WELL:  # nobody can be read: a fair share
            others = account.quota.cap * (1 - 1 / account.nodes) - 0.5 if account.in_flight else 0.0
        return account.quota.cap <= 0 or account.in_flight + others < account.quota.cap

    def on_level(self, told, txn):
        if told.outcome == t.DONE:
            txn.count_known, account = True, txn.account
            account.others_in_flight, account.others_read_at = max(0.0, told.total - account.in_flight), self.now

    def fresh(self, ledger):
        return self.now - ledger.read_at < STALE * TICK

    def count(self, txn):
        account = txn.account
        account.ceiling_tokens -= txn.units
        if (ledger := account.counts) and txn.in_quota:
            ledger.current.own += txn.units
            self.refill(ledger, txn.units)
            if ledger.current.own - ledger.current.acknowledged > EARLY * ledger.quota.limit / ledger.nodes:
                self.flush(ledger, ledger.current)
        if account.quota.cap > 0 and not account.below_one_txn and self.mark(CALL):
            txn.count_name = self.book(account)[0]
            self.call(txn.count_name, 1, EPOCH, self.on_level, txn)

    def ask_first(self, txn, found):
        """The one txn held for the counter. Adds grow as fast as counts fade, so one total tells all."""
        quota = txn.account.quota
        txn.count_name, age = self.book(txn.account)
        txn.age_weight = exp(age / quota.fade)
        self.call(txn.count_name, round(txn.units * txn.represents * txn.age_weight, 4), quota.life, self.on_answer, txn)

    def on_answer(self, told, txn):
        if txn.state == ASKED:
            txn.count_known = told.outcome == t.DONE
            txn.count = max(0.0, told.total / txn.age_weight - txn.units * txn.represents) + txn.units
            account = txn.account
            if txn.count_known and account.quota.rate > 0:
                known = self.sampled(account) and txn.represents > COARSE and self.now - account.usage_read_at < KNOWN
                weight = METER_WEIGHT if known else 1.0
                account.usage += weight * (txn.count / account.quota.most - account.usage)
                account.usage_read_at = self.now
            self.step(txn, READ)

    def sampled(self, account):  # whether a period of the meter holds units enough to go by it
        return account.quota.rate * self.period / SEC >= METER_WEIGHT * METER_UNITS

    def metered(self, account, use):
        """What all nodes sent on in the meter's last period, over the quota: late, but free."""
        if account.below_one_txn:
            units = account.quota.rate * self.period / SEC if account.quota.rate > 0 else METER_UNITS
            weight = min(METER_WEIGHT, units / METER_UNITS)
            account.usage += weight * (use - account.usage)
            account.usage_read_at = self.now if weight == METER_WEIGHT else account.usage_read_at

    def give_back(self, txn):  # what was declined goes out of the count again, and under a cap what has ended
        exact = txn.account.quota.rate <= 0  # a cap
        chance = 1.0 if exact else max(0.5, 1.0 / sqrt(self.stretch))  # in a crowd one stands for two
        if (exact or not txn.submissions) and self.random() < chance and self.mark(CALL):
            self.call(txn.count_name, -round(txn.units * txn.represents * txn.age_weight / chance, 4), SEC, self.on_level, txn)

    def book(self, account):  # the name of an account's one count, and its age; they turn at spread moments
        life = account.quota.life
        number, age = divmod(self.now + self.name(account.key, "turn") % life, life)
        return self.name(account.key, number), age

    def name(self, key, number):  # the same at every node
        return int.from_bytes(blake2b(f"{key}|{number}".encode(), digest_size=8).digest(), "big") >> 1

    def hasten(self, ledger, at_once):  # guards the counter: a customer that comes once needs no call
        ledger.used_at = self.now
        if not ledger.timer_set and (at_once or ledger.current.own + ledger.previous.own > 0):
            self.arm(ledger, TICK if self.fresh(ledger) else FIRST_ADD)

    def arm(self, ledger, wait):
        ledger.timer_set = True
        self.remind(self.uniform(0.8, 1.2) * wait * self.stretch, self.tick, ledger)

    def tick(self, ledger):
        self.roll(ledger)
        self.flush(ledger, ledger.previous)
        self.flush(ledger, ledger.current)
        ledger.timer_set = False
        if self.now - ledger.used_at < TICK * self.stretch or ledger.current.uncertain or ledger.current.in_flight:
            self.arm(ledger, TICK)

    def flush(self, ledger, window):  # adds what has grown since the last add; the first also reads
        grown = window.own - window.acknowledged - window.uncertain
        asks = not self.fresh(ledger) if window is ledger.current else self.marks and epoch.tail(ledger)
        if window.in_flight is None and (grown > 1e-6 or window.uncertain or asks) and self.mark(CALL):
            amount = window.in_flight = max(0.0, round(grown, 4))
            name = self.name(ledger.key, window.number)
            self.call(name, amount, ledger.quota.keep, self.on_total, ledger, window)

    def call(self, name, amount, life, what, *about):
        self.calls.setdefault(name, []).append((what, about))  # answers for a name come in the order of calls
        self.effects.append(t.AddToCount(name, amount, min(life, 60 * SEC)))

    def stamp(self):  # marks the counter; the breaker must not hide from the marks that nobody answers
        calls = self.marks.due(self.now) if self.mark(CALL) else self.on_stamp(t.Counted(0, 0.0, t.NOT_ACCEPTED, 0))
        for what, key, number, amount, life in calls or ():
            self.call(self.name(key, number), amount, life, self.on_stamp, what, number)
        self.remind(self.marks.wait(self.now), self.stamp)

    def on_stamp(self, told, *about):
        if news := self.marks.told(*about, told.total) if told.outcome == t.DONE else self.marks.missed():
            self.effects.append(t.CounterNotice(news, self.marks.heard))
            epoch.reseed(self.accounts.values() if news == epoch.NEW else ())

    def on_counted(self, told):
        if waiting := self.calls.get(told.name):
            what, about = waiting.pop(0)
            if not waiting:
                del self.calls[told.name]
            self.took = self.call_wait if told.outcome == t.NOT_ACCEPTED else told.duration
            if told.outcome == t.DONE or self.woke < self.now:
                self.mark(ANSWER if told.outcome == t.DONE else FAILURE)
            what(told, *about)

    def on_total(self, told, ledger, window):
        amount, window.in_flight = window.in_flight, None
        if told.outcome != t.DONE:  # after a time-out it may have landed: the next total tells
            window.uncertain += amount if told.outcome == t.TIMED_OUT else 0.0
            return
        grown, known = epoch.settle(window, amount, told.total), self.fresh(ledger)
        ledger.read_at = window.read_at = self.now
        left, account, quota = self.roll(ledger), self.accounts.get(ledger.key), ledger.quota
        ledger.own_at_read, ledger.others_at_read = epoch.weigh(ledger, left)
        self.refill(ledger, grown)
        if account and quota.fill > 0 and not quota.pays:
            # Guards against a ceiling that leaves a customer an even split, or nothing at our start: our part
            # of what totals leave of its depth, less what the others may not have told, and while calls fail.
            past = ledger.previous.others + ledger.previous.own if known else quota.limit  # or as full
            room = quota.depth - ledger.current.others - ledger.current.own - past * left - EARLY * quota.limit
            account.ceiling_tokens = max(self.store(account), room / account.nodes / self.stretch)

    def mark(self, seen):  # reads the counter's table; tells whether a call may be made
        then, effect = COUNTER[self.counter, seen]
        if verdict := effect(self) if self.counts else None:
            self.counter = then
        return verdict

    def calm(self):  # answers that did not wait tell that it bears more calls
        self.failures = 0
        self.stretch = max(1.0, self.stretch * (0.9 if self.took < QUICK * self.call_wait else 0.99))
        return True

    def strain(self):  # a break or a spoilt answer tells nothing of a crowd
        self.failures += 1
        self.stretch = min(STRETCH, self.stretch * 1.25) if self.took >= self.call_wait else self.stretch
        return True if self.failures >= SICK_AFTER else None

    def trial(self):  # guards against a surge of calls on a counter just back: few, until one is answered
        due = self.now >= self.trial_at
        self.trial_at = self.now + int(TRIAL_GAP * sqrt(self.stretch)) if due else self.trial_at
        return due or None

    def ready(self, server):  # the least share of its capacity that an app server can have, by its age
        age = min(1.0, (self.now - server.started_at) / self.warm_within) if server.started_at else 1.0
        return 1.0 - (1.0 - self.cold) * (1.0 - age)

    def known(self, server):
        return 1.0 - DOUBT / (DOUBT + server.successes + server.failures)

    def room(self, server, rank):
        """What its limit leaves those of this rank, by readiness and pace; in a large fleet, few it knows and cold ones."""
        known, free = self.known(server), self.limit * (1.0 - YIELD * rank) - server.occupied
        ready, trust = self.ready(server), (0.005 + known * known) / server.probed_load ** (2.0 - 2.0 * known)
        if self.tells:  # what its answers told of all callers' work there goes before what is guessed
            trust = max(0.02, 1.0 - server.utilization * 0.5 ** ((self.now - server.utilization_at) / TELLS)) ** 2
        return free * ready / server.relative_duration * (trust if ready >= 1.0 else 1.0)

    def roomy(self):  # less than half of the room is out
        self.look()
        return self.free > sum(s.in_flight for s in self.up)

    def odds(self, server):
        return (server.successes + 1.0) / (server.successes + server.failures + 2.0)

    def fade(self, server):
        """Guards against standing by what was seen long ago of an app server that gets little work since."""
        keep = 0.5 ** ((self.now - server.decayed_at) / MEMORY)
        server.successes, server.failures, server.decayed_at = server.successes * keep, server.failures * keep, self.now
        server.relative_duration += (1.0 - server.relative_duration) * (1.0 - keep)
        server.probed_load += (1.0 - server.probed_load) * (1.0 - keep)
        return server.successes

    def judge(self, server, txn, told):
        line, done = txn.product, told.outcome == t.DONE
        if line.mean and told.duration > TARRY * line.mean:
            self.silent += 0.1 * ((told.outcome == t.TIMED_OUT) - self.silent)
        self.fade(server)
        rest = 0.0 if self.doubtful(server) else 1.0 - self.known(server)
        # Guards against lists that name what is gone: that is no load: limits stand, the next try is free.
        self.spare += (gone := told.outcome == t.CONNECT_FAILED)
        server.successes, server.failures = server.successes + done, server.failures + (ABSENT if gone else not done)
        if done:
            line.mean += 0.03 * (told.duration - line.mean) if line.mean else told.duration
        if line.mean and (done or told.outcome == t.TIMED_OUT):
            server.relative_duration = max(0.4, 0.9 * server.relative_duration + 0.1 * min(8.0, told.duration / line.mean))
        late = told.duration > SLOW * line.sla
        self.tardy += 0.05 * (late - self.tardy) if done else 0.0
        self.prompt += 0.0 if gone else 0.05 * ((done and not late) - self.prompt)
        if late or told.outcome in (t.NOT_ACCEPTED, t.TIMED_OUT):
            # Guards against piling work on app servers that no longer keep up, whatever slows them. One ill
            # by itself tells nothing of the others, nor an answer lost while the rest come in time.
            rest *= 1.0 - self.prompt if told.outcome in (t.TIMED_OUT, t.NOT_ACCEPTED) else 1.0
            self.limit = max(0.25 * self.start, self.limit * (1.0 - 0.2 * rest))
        elif done and self.saved < REACH:
            self.limit += rest * GROWTH * self.start * self.start / self.limit

    def on_probed(self, told):  # guards against hangs, and tells of the load that others bring
        if (server := self.servers.get(told.server)) and "slots" in told.report:
            at_work = told.report["running"] + told.report["waiting"]
            server.utilization, server.utilization_at = at_work / max(1, told.report["slots"]), self.now
        elif server and told.outcome == t.DONE:
            server.probed_load = 1.0 + told.report.get("inflight", told.duration / (50 * MS))
            self.heard.append(server)
            server.failures = min(0.9, server.failures) if self.tells else server.failures  # the fleet hears it again
        elif server:
            server.failures += 2.0 if self.tells else 1.0

ADMIT = ((Node.beyond, OVER, Node.decline), (Node.choose, OUT, Node.submit), (Node.always, OVER, Node.decline))
AGAIN = ((Node.another, OUT, Node.always), (Node.again, OUT, Node.submit),
         (Node.may_decline, OVER, Node.decline), (Node.always, OVER, Node.void))
CLOSE = ((Node.always, OVER, Node.close),)
# state, input: guard, next state and effect of each row, in the order tried
TXN = {
    (NEW, ARRIVED): ((Node.unread, ASKED, Node.ask_first), *ADMIT),
    (ASKED, READ): ADMIT,
    (ASKED, LEFT): CLOSE,
    (OUT, SETTLED): CLOSE,
    (OUT, UNRUN): AGAIN,
    (OUT, RISKY): AGAIN,
    (OUT, TARRIES): ((Node.again, OUT, Node.submit),),
    (OUT, LEFT): CLOSE}
# state, input: (next state, effect); an effect that gives None leaves the state and means no
COUNTER = {
    (WELL, CALL): (WELL, Node.always),
    (WELL, ANSWER): (WELL, Node.calm),
    (WELL, FAILURE): (SICK, Node.strain),
    (SICK, CALL): (SICK, Node.trial),
    (SICK, ANSWER): (WELL, Node.calm),
    (SICK, FAILURE): (SICK, Node.strain)}
SEEN = {t.DONE: SETTLED, t.NOT_ACCEPTED: UNRUN, t.NOT_SENT: UNRUN, t.CONNECT_FAILED: UNRUN}  # all else may have run
INPUTS = {type(None): Node.run, t.ServerList: Node.on_list, t.Arrival: Node.on_arrival, t.Left: Node.on_left,
          t.Ended: Node.on_ended, t.Due: Node.on_due, t.Probed: Node.on_probed, t.Counted: Node.on_counted}
