"""The decisions of an edge node: `Node(terms, seed, now)`, then `take(now, event)` for each input, None first. It returns the
effects, in order. The interface is `terms.py`; times are whole ns. Read `TXN_TRANSITIONS` and `BREAKER_TRANSITIONS` first.
Submissions pass `eligible_servers` (rules 2 to 5) and `submit` (rule 1). RFC 0015: `within_quota` (window), `flush` (deltas)."""

from collections import deque
from hashlib import blake2b
from math import exp, inf, log, sqrt
from random import Random

from . import epoch, terms as t
from .state import Account, RateCounts, Server, Txn, Window

MS, SEC = 10 ** 6, 10 ** 9

WINDOW_BURSTS = 1.5  # length of an account's window, in times that its burst lasts at its rate
TICK_NS = SEC  # mean interval between the adds of an active account
FIRST_ADD_DELAY_NS = 60 * MS  # delay of the first read of an account, or of a stale one; it is not on the path of the txn
EARLY_ADD_SHARE = 0.25  # part of the node's share of the limit; a count that grew by more is added before the tick
STALE_TICKS = 3  # age, in ticks, past which a reading no longer bounds what the other nodes admitted
MAX_TICK_SCALE = 24  # longest tick while the counter is overloaded, in ticks
FAST_CALL_SHARE = 0.25  # part of the call timeout; faster answers show that the counter is not overloaded
MAX_CALL_FAILURES, TRIAL_GAP_NS = 4, SEC // 2  # consecutive failures that open the breaker; gap between trials while open
HEARTBEAT_NS, STALL_NS = SEC // 4, SEC // 10  # period of the node's heartbeat; a longer delay of it means that the node stalled
SAME_EXPIRY_NS, MIN_VOTES, MAX_VOTES = 20 * MS, 5, 50  # expiries this close count as equal; votes for one: needed, counted at most
MIN_TIME_SHARE = 0.5  # part of the mean time of a txn that must be left for a submission to be useful
ABANDONED_MEANS = 4.0  # how long an abandoned submission is assumed to keep running, in mean times of a txn
DECLINED_WEIGHT = 1.0  # weight of the share of in-quota txns declined for lack of room, in admission by usage alone
OVERDUE_MEANS = 3.0  # age, in mean times, at which a submission is duplicated; half of the time left if that is sooner
GENERAL_LATE_SHARE = 0.2  # part of the responses that are late; from here on all are taken to be slow, rather than some lost
METERED_TICK_SCALE, METERED_FACTOR = 1.2, 3.0  # tick scale past which metered accounts ask more rarely, and the factor
MAX_ADD_SHARE = 0.5  # part of a quota that one add may represent
COARSE = 2.0  # txns for each add; a count of coarser adds is only one more reading for a metered account
USAGE_VALID_NS = 8 * SEC  # how long a known usage below LOW_USE saves calls to the counter
LOW_USE, FULL_USE = 0.8, 1.15  # parts of the quota in use between which ever fewer txns are admitted without a count
NOISE_SHARE = 0.4  # an account may exceed its quota by this part of its decaying count's deviation, while there is room
MAX_METER_WEIGHT, METER_UNITS = 0.6, 10.0  # most weight of a usage report; units in its period that give it full weight
COUNT_LIFE_DECAYS = 10  # lifetime of a decaying count, in its decay times
CAP_COUNT_LIFE_NS, CAP_COUNT_VALID_NS = 4 * SEC, SEC  # lifetime of a count of submissions in flight, and validity of a reading
INITIAL_IN_FLIGHT = 3.5  # submissions in flight at one app server, of all nodes, before anything is known of it
LIMIT_GROWTH = 0.08  # speed of limit growth: with LATE_AFTER_SHARE it settles at its start if two responses in five are late
LATE_AFTER_SHARE = 0.5  # part of the latency target past which a response indicates an overloaded app server
RETRY_RATIO, MAX_SAVED_RETRIES = 0.2, 10.0  # further submissions earned by each first one, and the most saved up
PROBES_PER_TXN, PROBE_BOOST, USUAL_PROBE_COST = 0.1, 8.0, 0.01  # probes a txn; more where own responses are rare; usual price
CANDIDATES, MAX_PROBED, NEAREST = 16, 4, 12  # app servers examined for a txn; last probed ones kept; nearest ones
MAX_SLACK = 1.0  # most unused capacity saved up, in submissions times seconds
PRIOR_OUTCOMES, HALF_LIFE_NS, UNREACHED_WEIGHT = 4.0, 8 * SEC, 4.0  # outcomes that weigh as much as the prior; a failed connect's
COLD_BUDGET_SHARE = 0.8  # part of the estimated budget for cold app servers that is used
SHED_SHARE = 0.25  # part of a limit that txns of the highest shed rank leave to the others
LOAD_HALF_LIFE_NS = SEC  # half-life of the load that a response reported of its server

ARRIVED, COUNTED, ANSWERED, OVERDUE, NOT_RUN, UNCERTAIN, LEFT = "arrived counted answered overdue not_run uncertain left".split()
NEW, WAITING, SENT, ENDED, CLOSED, OPEN, ANSWER, FAILURE, CALL = "new waiting sent ended well sick answer failure call".split()


class ProductState:
    """A product: what its txns may do, and how long they took lately (`mean_time`)."""

    def __init__(self, product):
        self.kind, self.group, self.latency_target = product.kind, product.group, product.latency_target
        self.repeat_window, self.late_value, self.mean_time = product.repeat_window, product.late_value_share, 0.0
        self.timeout, self.usual_left, self.votes = product.client_timeout, 0, 0
        self.repeatable = self.kind == t.READ_ONLY or self.kind == t.DEDUPLICATED and self.group == t.ALL


class Quota:
    """A plan: window and limit of its rate, cap on submissions in flight, ceiling, and whether excess work pays."""

    def __init__(self, plan, typical):
        self.rate, self.burst, self.cap = plan.rate, plan.burst, plan.max_in_flight
        self.ceiling_rate, self.depth = plan.ceiling_rate, plan.ceiling_depth
        self.window = max(SEC, int(WINDOW_BURSTS * plan.burst / plan.rate * SEC)) if plan.rate > 0 else 0
        self.limit, self.window_life = plan.rate * self.window / SEC, 3 * self.window  # and the lifetime of a count
        self.excess_pays, self.excess_cost = plan.excess_value > plan.excess_cost, plan.excess_cost
        # largest shared count; its decay time and its lifetime; nodes past which an account has less than one txn a node
        self.max_count, self.limit_txns = plan.burst or plan.max_in_flight, (self.limit or plan.max_in_flight or inf) / typical
        self.noise = NOISE_SHARE * sqrt(typical / self.max_count) if plan.rate > 0 else 1e-6  # of a decaying count
        self.decay_time = plan.burst / plan.rate * SEC if plan.rate > 0 else inf
        self.life = int(self.decay_time * COUNT_LIFE_DECAYS) if plan.rate > 0 else CAP_COUNT_LIFE_NS
        self.idle_time = int(max(2 * self.window, 2 * CAP_COUNT_LIFE_NS, self.depth / (self.ceiling_rate or inf) * SEC))


class Node:
    def __init__(self, terms, seed, now):
        chance = Random(seed)
        self.choices, self.betavariate, self.uniform = chance.choices, chance.betavariate, chance.uniform
        self.random, self.sample = chance.random, chance.sample
        self.products = [ProductState(product) for product in terms.products]
        self.quotas = [Quota(plan, terms.max_units / 2) for plan in terms.plans]
        self.max_submissions, self.subscribes, self.may_duplicate = terms.max_submissions, terms.subscribes, terms.may_duplicate
        self.probe_chance = terms.may_probe * PROBES_PER_TXN * min(1.0, USUAL_PROBE_COST / (terms.probe_cost or USUAL_PROBE_COST))
        self.has_counter, self.max_retry_after, self.margin, self.reports_load = (
            terms.has_counter, terms.max_retry_after, 2 * terms.min_input_gap, terms.reports_load)
        self.may_cancel, self.call_timeout = terms.may_cancel, terms.counter_timeout
        self.limit = self.initial_limit = INITIAL_IN_FLIGHT / terms.nodes  # submissions in flight at each app server
        self.cold_share, self.warm_up, self.cold_span = terms.cold_share, terms.warm_up, terms.cold_overload_after
        self.cold_rate = terms.cold_overload_factor * COLD_BUDGET_SHARE * terms.cold_overload_after * log(2) / HALF_LIFE_NS
        self.started_at, self.now, self.effects = now, now, []
        self.marks = epoch.Marks(terms.nodes, self.uniform, seed) if terms.marks_counter and self.has_counter else None
        self.txns = {}  # open txns; removed after their final answer and the end of their last submission
        self.servers = {}  # removed once the list drops them and no submission of ours is in flight there
        self.accounts = {}  # removed when idle for two windows, by `expire_account`
        self.reminders = {}  # pending reminders: ref to callback and arguments; removed when due
        self.calls = {}  # calls to the counter in flight: name to callbacks and arguments; removed by answers
        self.breaker, self.call_failures, self.next_trial_at, self.tick_scale, self.call_time = CLOSED, 0, 0, 1.0, 0
        # Moving averages. Shares of long-running submissions that never got a response, of txns within their quotas that were
        # declined for lack of room, of responses that were late, and of submissions that were answered in time.
        self.lost_share, self.declined_share, self.late_share, self.prompt_share = 0.0, 0.0, 0.0, 0.0
        self.stall_at, self.heartbeat_set = 0, False  # time of the last detected stall; whether the heartbeat is set
        self.last_ref, self.usage_period, self.cold_limit = 0, terms.usage_period, inf  # to a cold server in a span
        self.retry_ratio, self.max_saved_retries = terms.retry_budget or (RETRY_RATIO, MAX_SAVED_RETRIES)
        self.saved_retries = self.max_saved_retries
        self.up, self.warm_successes, self.mean_odds = [], 0.0, 0.5  # servers listed as up; mean successes of warm ones; mean odds
        self.probed = deque(maxlen=MAX_PROBED)  # app servers that answered a probe lately
        self.free_places, self.free_at, self.slack, self.slack_at = 0.0, 0, MAX_SLACK, now  # free places, and unused ones saved up

    def take(self, now, event):
        self.now, self.effects = now, []
        HANDLERS[type(event)](self, event)
        return self.effects

    def on_start(self, event):
        self.subscribe()
        self.write_marks() if self.marks else None

    def subscribe(self):
        self.effects += [t.Subscribe()] if self.subscribes else []

    def remind(self, delay, callback, *args):
        self.last_ref += 1
        self.reminders[self.last_ref] = (callback, args)
        self.effects.append(t.Remind(int(delay), self.last_ref))

    def heartbeat(self, due):
        """Detects that this node stalled: time-outs found right after a stall say nothing about the servers or the counter."""
        self.stall_at = self.now if self.now - due > STALL_NS else self.stall_at
        self.heartbeat_set = bool(self.txns)
        if self.heartbeat_set:
            self.remind(HEARTBEAT_NS, self.heartbeat, self.now + HEARTBEAT_NS)

    def on_due(self, event):
        callback, args = self.reminders.pop(event.ref, (self.always, ()))
        callback(*args)

    def on_server_list(self, event):
        if event.failed:
            return self.remind(self.uniform(0.5, 1.0) * SEC, self.subscribe)
        named = {row.server: row.state for row in event.rows}
        for server in list(self.servers.values()):  # a complete list removes the servers that it leaves out
            server.state = named.get(server.id, t.REMOVED if event.complete else server.state)
            self.forget_removed(server)
        for row in [row for row in event.rows if row.state != t.REMOVED]:
            server = self.servers.setdefault(row.server, Server(row.server))
            if row.started_at != server.started_at:  # another process: statistics of the old one do not apply
                server.successes, server.failures, server.relative_duration, server.cold_span_end = 0.0, 0.0, 1.0, 0
            server.state, server.started_at, server.proximity, server.zone, server.cell = (
                row.state, row.started_at, row.proximity, row.zone, row.cell)
        self.up = sorted([s for s in self.servers.values() if s.state == t.UP], key=lambda s: -s.proximity)

    def release_place(self, server):
        """Frees a place; late for an abandoned submission, as it may still run. Drawback: idle where a cancel stops the work."""
        server.occupied, self.free_places = server.occupied - 1, self.free_places + 1.0

    def forget_removed(self, server):
        self.servers.pop(server.id, None) if server.state == t.REMOVED and not server.in_flight else None

    def on_arrival(self, event):
        account = self.account(event.account, event.plan, event.account_nodes)
        product, expiry = self.products[event.product], self.now + event.expires_in
        arrived_at = self.now - self.time_waited(product, event.expires_in)
        txn = self.txns[event.txn] = Txn(event.txn, product, account, event.units, arrived_at, expiry, NEW, event.allowed_zones,
                                        event.max_submissions or self.max_submissions, event.proximity_exponent, event.shed_rank)
        self.heartbeat_set or self.heartbeat(self.now)
        self.step(txn, ARRIVED)
        if self.probe_chance and self.up and self.random() < self.probe_chance * (1.0 + PROBE_BOOST / (1.0 + self.warm_successes)):
            self.effects.append(t.Probe(self.choices(self.up)[0].id))

    def time_waited(self, product, left):
        """How long the client has waited since its first try, derived from the time it has left. First tries all arrive with the
        same time left, which is learnt by vote; any other value is a later try, or a txn that was held up in this node. Avoids
        work for answers that come too late. Without a common value nothing is deducted: a guess could decline useful txns."""
        equal = abs(left - product.usual_left) < SAME_EXPIRY_NS
        product.votes = min(MAX_VOTES, product.votes + 1) if equal else product.votes - 0.5
        if product.votes < 0:
            product.usual_left, product.votes = left, 1
        if equal or product.votes < MIN_VOTES or not product.timeout:
            return 0
        return max(0, (product.usual_left if self.stall_at == self.now and left < product.usual_left else product.timeout) - left)

    def on_left(self, event):
        self.step(self.txns[event.txn], LEFT)

    def on_ended(self, event):
        txn, server = self.txns[event.txn], self.servers[event.server]
        held_place = txn.in_flight.pop(event.attempt)
        server.in_flight, txn.account.in_flight = server.in_flight - 1, txn.account.in_flight - 1
        if held_place and event.outcome in (t.CANCELLED, t.TIMED_OUT) and not self.is_lossy():
            self.remind(ABANDONED_MEANS * txn.product.mean_time, self.release_place, server)
        elif held_place:
            self.release_place(server)
        if event.outcome == t.CANCELLED and event.final and txn.state == ENDED and not held_place:
            self.lost_share += 0.1 * (0.8 - self.lost_share)
        if event.outcome not in (t.CANCELLED, t.NOT_SENT) and self.stall_at < self.now:
            self.record_outcome(server, txn, event)
        self.forget_removed(server)
        if event.usage is not None:
            self.on_usage(txn.account, event.usage)
        if event.outcome == t.DONE and event.actual_units and txn.in_quota and txn.account.counts:
            counts = txn.account.counts
            self.roll(counts)
            counts.current.own += event.actual_units - txn.units  # a credit is offset against later growth, see `flush`
            self.refill_quota(counts, event.actual_units - txn.units)
        signal = SIGNAL_BY_OUTCOME.get(event.outcome, UNCERTAIN)
        if signal == UNCERTAIN and txn.risk_at is None:
            txn.risk_at = self.now - event.duration
        self.step(txn, LEFT if event.final and signal != ANSWERED else signal)

    def step(self, txn, signal):
        for guard, next_state, effect in TXN_TRANSITIONS.get((txn.state, signal), ()):
            if choice := guard(self, txn):
                txn.state = next_state
                effect(self, txn, choice)
                break
        if txn.state == ENDED and not txn.in_flight and self.txns.pop(txn.id, None) and txn.count_known:
            self.undo_add(txn)

    def always(self, *args):
        return True

    def must_decline(self, txn):  # by quota; where excess work earns more than it costs, by free room
        account = txn.account
        if not account.below_one_txn:
            txn.in_quota = self.within_quota(account, txn.units)
        elif txn.count_known and not (self.is_metered(account) and txn.represents > COARSE):
            txn.in_quota = txn.count <= account.quota.max_count * max(1.0, 1.0 + account.quota.noise - self.declined_share)
        else:
            txn.in_quota = self.random() * (FULL_USE - LOW_USE) < FULL_USE - account.usage - DECLINED_WEIGHT * self.declined_share
        return not (self.is_useful(txn) and (txn.in_quota or account.quota.excess_pays and self.is_half_free()))

    def needs_count(self, txn):  # whether a txn waits for its account's count; while calls fail, at random
        account = txn.account
        if not account.below_one_txn or txn.expires_at - self.now < 2 * self.call_timeout + self.margin:
            return False
        low_use = account.usage < LOW_USE and self.now - account.usage_read_at < USAGE_VALID_NS
        txn.represents = self.tick_scale if low_use else sqrt(self.tick_scale)  # the few txns that ask represent all
        txn.represents *= METERED_FACTOR if self.is_metered(account) and self.tick_scale > METERED_TICK_SCALE else 1.0
        asks = (not account.quota.excess_pays and self.is_useful(txn) and self.has_room()
                and self.random() * txn.represents < 1.0 and self.step_breaker(CALL))
        # Prevents one add from filling a quota for all that read it. Drawback: counts are too low under overload.
        txn.represents = max(1.0, min(txn.represents, MAX_ADD_SHARE * account.quota.max_count / txn.units))
        return asks

    def may_decline(self, txn):  # rule 2: only if no submission can have run, or all repeats are dropped
        return txn.risk_at is None or txn.product.repeatable

    def is_useful(self, txn):  # whether an answer may still come in time
        return (txn.product.late_value > 0
                or txn.arrived_at + txn.product.latency_target - self.now > MIN_TIME_SHARE * txn.product.mean_time)

    def choose_again(self, txn):  # a further submission, within the retry budget, so that retries cannot cause a storm
        return self.is_useful(txn) and self.saved_retries >= 1.0 and txn.submissions < txn.max_submissions and self.choose(txn)

    def choose(self, txn):  # draws one app server at random, weighted by its estimated free capacity
        servers = self.eligible_servers(txn) if self.has_room() else []
        self.mean_odds = sum(map(self.success_odds, servers)) / len(servers) if servers else self.mean_odds
        # Fast failures look like free capacity. A doubtful server therefore gets work only if a draw from its distribution of
        # success is near the mean of all, so that none is excluded when all fail alike. Drawback: a few txns are lost.
        pool = [(s, free * s.proximity ** txn.proximity_exponent) for s in servers if (free := self.weight(s, txn.shed_rank)) > 0
                and (not self.is_doubtful(s) or self.betavariate(s.successes + 1, s.failures + 1) > 0.9 * self.mean_odds)]
        pool = [(s, weight) for s, weight in pool if s.id != txn.last_server] or pool  # another server, if there is one
        return self.choices([s for s, _ in pool], [weight for _, weight in pool])[0] if pool else None

    def is_doubtful(self, server):
        return server.failures >= 1 and self.success_odds(server) <= 0.9 * self.mean_odds

    def has_room(self):
        """Prevents many nodes from overfilling the fleet together: limits hold in sum, or by saved capacity."""
        self.update_free()
        return self.free_places >= 1.0 or self.slack > 0.0

    def update_free(self):
        self.slack = max(-MAX_SLACK, min(MAX_SLACK, self.slack + self.free_places * (self.now - self.slack_at) / SEC))
        self.slack_at = self.now
        if self.now - self.free_at > SEC // 10:
            self.free_at = self.now
            self.free_places = sum(max(-1.0, self.limit * self.readiness(s) - s.occupied) for s in self.up)
            warm = [self.decay(s) for s in self.up if self.readiness(s) >= 1.0]
            self.warm_successes = sum(warm) / len(warm) if warm else self.warm_successes  # none warm: as before

    def eligible_servers(self, txn):
        """The app servers that the rules allow for the next submission of the txn. Every submission passes this check."""
        product, now, account = txn.product, self.now, txn.account
        if txn.in_flight and not (self.may_duplicate and product.kind == t.READ_ONLY) or txn.expires_at - now <= self.margin + MS:
            return []
        if not txn.submissions and account.quota.ceiling_rate > 0 and self.refill_ceiling(account) < txn.units:
            return []  # rule 5
        bound = txn.risk_at is not None and product.kind != t.READ_ONLY  # rule 2
        if bound and (product.kind == t.ONCE_ONLY or now + self.margin >= txn.risk_at + product.repeat_window):
            return []
        group, home = product.group if bound else t.ALL, txn.allowed_zones
        servers = self.up if home is None else [s for s in self.up if s.zone in home]
        if not bound and len(servers) > CANDIDATES:
            picked = [s for s in self.probed if s.occupied < self.limit and s.id != txn.last_server and self.accepts_by_age(s)]
            picked = (servers[:NEAREST] + self.sample(servers[NEAREST:], CANDIDATES - NEAREST) if self.reports_load
                      else self.warm_successes < 1.0 and picked)
            servers = picked or self.sample(servers, CANDIDATES)
        return [s for s in servers if s.state == t.UP and (group != t.ZONE or s.zone == txn.risk_zone)  # rule 3, no grace period
                and (group != t.CELL or s.cell == txn.risk_cell) and self.accepts_by_age(s)]

    def accepts_by_age(self, server):
        """Rule 4: what the least capacity of a cold app server allows, estimated from the work of a warm one. A share below one
        is drawn as a probability, once a span, so that the shares of hundreds of nodes add up to it."""
        if (ready := self.readiness(server)) < 1.0 and self.now >= server.cold_span_end:
            server.cold_span_end = self.now + self.cold_span
            server.cold_allowance = int(min(self.cold_limit, self.cold_rate * ready * self.warm_successes) + self.random())
        return ready >= 1.0 or server.cold_allowance > 0

    def submit(self, txn, server):
        now, product = self.now, txn.product
        self.saved_retries = (self.saved_retries - 1.0 if txn.submissions
                              else min(self.max_saved_retries, self.saved_retries + self.retry_ratio))
        if not txn.submissions:
            self.declined_share -= 0.05 * self.declined_share
            self.count_usage(txn)
        txn.in_flight[txn.submissions] = True
        txn.submissions, txn.last_server = txn.submissions + 1, server.id
        server.in_flight, server.cold_allowance = server.in_flight + 1, server.cold_allowance - 1
        server.occupied, self.free_places = server.occupied + 1, self.free_places - 1.0
        txn.account.in_flight += 1
        if txn.risk_at is None:
            txn.risk_zone, txn.risk_cell = server.zone, server.cell
        to_target, to_expiry = txn.arrived_at + product.latency_target - now, txn.expires_at - now - self.margin
        timeout = to_expiry if product.late_value > 0 or to_target <= 0 else min(to_target, to_expiry)
        self.effects.append(t.Submit(txn.id, server.id, max(MS, timeout)))
        if self.may_duplicate and product.kind == t.READ_ONLY and product.mean_time:
            wait = min(OVERDUE_MEANS * product.mean_time, to_target / 2 if to_target > 0 else inf)
            self.remind(wait, self.on_overdue, txn, txn.submissions - 1, server)

    def on_overdue(self, txn, attempt, server):
        """Sends a second copy if an answer may be lost, within retry budget and capacity. Drawback: double work if it is late."""
        if txn.in_flight.get(attempt) and self.stall_at < self.now and (self.is_lossy() or self.reports_load and self.has_room()):
            txn.in_flight[attempt] = self.reports_load  # else its place is free: the answer is probably lost, not late
            self.release_place(server) if not self.reports_load else None
            self.step(txn, OVERDUE)

    def is_lossy(self):  # whether answers are lost: many are missing, but those that arrive are in time
        return self.lost_share > 0.5 and self.late_share < GENERAL_LATE_SHARE

    def has_other(self, txn):  # another submission in flight may still answer it
        return bool(txn.in_flight)

    def cancel_all(self, txn, choice):  # no answer is owed; submissions still in flight are cancelled
        self.effects += [t.Cancel(txn.id, attempt) for attempt in sorted(txn.in_flight) if self.may_cancel]

    def decline(self, txn, choice):
        rate = txn.account.quota.rate
        if txn.in_quota and not txn.submissions:
            self.declined_share += 0.05 * (1.0 - self.declined_share)
        wait = txn.units / rate * SEC if rate > 0 and not txn.in_quota else txn.product.mean_time  # refill, or free room
        self.effects.append(t.Decline(txn.id, int(min(self.max_retry_after, max(wait, 100 * MS))), not txn.in_quota))

    def void(self, txn, choice):
        self.effects.append(t.Void(txn.id))

    def account(self, name, plan, nodes):
        account = self.accounts.get(key := f"{plan}|{name}")
        if account is None:
            quota, now, counts = self.quotas[plan], self.now, None
            below_one_txn = self.has_counter and nodes > quota.limit_txns
            if quota.rate > 0 and not below_one_txn:
                number = now // quota.window
                counts = RateCounts(key, quota, nodes, now, Window(number), Window(number - 1))
            # A restart must not refill the ceiling: this node's share counts as spent when the node starts.
            account = self.accounts[key] = Account(key, quota, nodes, now, counts, self.started_at, below_one_txn)
            self.remind(quota.idle_time, self.expire_account, account)
        account.used_at, account.nodes = self.now, max(account.nodes, nodes)
        return account

    def roll(self, counts):
        return epoch.roll(counts, self.now)

    def expire_account(self, account):
        if (idle := self.now - account.used_at) >= account.quota.idle_time and not account.in_flight:
            self.accounts.pop(account.key, None)
        else:
            self.remind(max(account.quota.idle_time - idle, SEC), self.expire_account, account)

    def refill_ceiling(self, account):
        """This node's share of the ceiling: rate and depth over the number of the account's nodes, so no agreement is needed."""
        quota, gain = account.quota, (self.now - account.ceiling_filled_at) / SEC * account.quota.ceiling_rate / account.nodes
        account.ceiling_tokens, account.ceiling_filled_at = min(quota.depth / account.nodes, account.ceiling_tokens + gain), self.now
        return account.ceiling_tokens

    def within_quota(self, account, units):
        if counts := account.counts:
            self.schedule_add(counts, account.quota.ceiling_rate > 0)
            left, limit, marks = self.roll(counts), counts.quota.limit, self.marks
            own, others = epoch.weigh(counts, left)
            if alone := not self.is_fresh(counts) or marks and self.breaker != CLOSED:
                # The counter is silent, slow or overloaded: the others are assumed to go on as last read, and to leave this
                # node its fair share. Drawback: a customer that moved to this node waits for the next reading.
                fair = min(counts.others_at_read, limit - account.quota.burst / counts.nodes)
                others = max(others, epoch.others_unread(limit, counts) if marks else fair) if own > 0 else 0.0
            if marks and (alone or marks.heard < marks.nodes):  # the refill is unknown
                return own + others + units <= limit * marks.quota_share() and self.below_cap(account)
            # A window remembers a burst longer than the quota does. With fresh counts, the units refilled since then are
            # admitted, less the others' even part since the last total.
            unseen = (1.0 - 1.0 / counts.nodes) * account.quota.rate * (self.now - counts.read_at) / SEC
            spent = marks and self.refill_quota(counts) < 0.0  # a debt by all known counts: unreported ones add up
            if spent or own + others + units > limit + 1e-9 and self.refill_quota(counts) - unseen < units:
                return False
        return self.below_cap(account)

    def refill_quota(self, counts, taken=0.0):  # what is left of the quota, by our counts and the totals
        gain = (self.now - counts.remaining_at) / SEC * counts.quota.rate
        counts.remaining, counts.remaining_at = min(counts.quota.burst, counts.remaining + gain) - taken, self.now
        return counts.remaining

    def below_cap(self, account):  # by the last total of the period; with none of ours in flight, one may try
        others = account.others_in_flight if self.now - account.others_read_at < CAP_COUNT_VALID_NS else 0.0
        if self.breaker != CLOSED:  # the counter cannot be read: a fair share
            others = account.quota.cap * (1 - 1 / account.nodes) - 0.5 if account.in_flight else 0.0
        return account.quota.cap <= 0 or account.in_flight + others < account.quota.cap

    def on_cap_count(self, event, txn):
        if event.outcome == t.DONE:
            txn.count_known, account = True, txn.account
            account.others_in_flight, account.others_read_at = max(0.0, event.total - account.in_flight), self.now

    def is_fresh(self, counts):
        return self.now - counts.read_at < STALE_TICKS * TICK_NS

    def count_usage(self, txn):
        account = txn.account
        account.ceiling_tokens -= txn.units
        if (counts := account.counts) and txn.in_quota:
            counts.current.own += txn.units
            self.refill_quota(counts, txn.units)
            if counts.current.own - counts.current.acknowledged > EARLY_ADD_SHARE * counts.quota.limit / counts.nodes:
                self.flush(counts, counts.current)
        if account.quota.cap > 0 and not account.below_one_txn and self.step_breaker(CALL):
            txn.count_name = self.shared_count(account)[0]
            self.add(txn.count_name, 1, CAP_COUNT_LIFE_NS, self.on_cap_count, txn)

    def read_count(self, txn, choice):
        """Holds the txn until its account's count is read. Adds grow as fast as counts decay, so one total is enough."""
        quota = txn.account.quota
        txn.count_name, age = self.shared_count(txn.account)
        txn.age_weight = exp(age / quota.decay_time)
        self.add(txn.count_name, round(txn.units * txn.represents * txn.age_weight, 4), quota.life, self.on_count, txn)

    def on_count(self, event, txn):
        if txn.state == WAITING:
            txn.count_known = event.outcome == t.DONE
            txn.count = max(0.0, event.total / txn.age_weight - txn.units * txn.represents) + txn.units
            account = txn.account
            if txn.count_known and account.quota.rate > 0:
                known = self.is_metered(account) and txn.represents > COARSE and self.now - account.usage_read_at < USAGE_VALID_NS
                weight = MAX_METER_WEIGHT if known else 1.0
                account.usage += weight * (txn.count / account.quota.max_count - account.usage)
                account.usage_read_at = self.now
            self.step(txn, COUNTED)

    def is_metered(self, account):  # whether a usage period has enough units to rely on its report
        return account.quota.rate * self.usage_period / SEC >= MAX_METER_WEIGHT * METER_UNITS

    def on_usage(self, account, use):
        """What all nodes sent in the last usage period, over the quota. The report is late, but costs no call."""
        if account.below_one_txn:
            units = account.quota.rate * self.usage_period / SEC if account.quota.rate > 0 else METER_UNITS
            weight = min(MAX_METER_WEIGHT, units / METER_UNITS)
            account.usage += weight * (use - account.usage)
            account.usage_read_at = self.now if weight == MAX_METER_WEIGHT else account.usage_read_at

    def undo_add(self, txn):  # removes a declined txn from the count again, and under a cap one that has ended
        exact = txn.account.quota.rate <= 0  # a cap
        chance = 1.0 if exact else max(0.5, 1.0 / sqrt(self.tick_scale))  # under overload one represents two
        if (exact or not txn.submissions) and self.random() < chance and self.step_breaker(CALL):
            self.add(txn.count_name, -round(txn.units * txn.represents * txn.age_weight / chance, 4), SEC, self.on_cap_count, txn)

    def shared_count(self, account):  # name of an account's shared count, and its age; renamed at spread times
        life = account.quota.life
        number, age = divmod(self.now + self.count_name(account.key, "turn") % life, life)
        return self.count_name(account.key, number), age

    def count_name(self, key, number):  # equal at all nodes
        return int.from_bytes(blake2b(f"{key}|{number}".encode(), digest_size=8).digest(), "big") >> 1

    def schedule_add(self, counts, at_once):  # spares the counter: a customer's single request needs no call
        counts.used_at = self.now
        if not counts.timer_set and (at_once or counts.current.own + counts.previous.own > 0):
            self.set_tick(counts, TICK_NS if self.is_fresh(counts) else FIRST_ADD_DELAY_NS)

    def set_tick(self, counts, wait):
        counts.timer_set = True
        self.remind(self.uniform(0.8, 1.2) * wait * self.tick_scale, self.tick, counts)

    def tick(self, counts):
        self.roll(counts)
        self.flush(counts, counts.previous)
        self.flush(counts, counts.current)
        counts.timer_set = False
        if self.now - counts.used_at < TICK_NS * self.tick_scale or counts.current.uncertain or counts.current.in_flight:
            self.set_tick(counts, TICK_NS)

    def flush(self, counts, window):  # adds the growth since the last add; the first add also reads
        grown = window.own - window.acknowledged - window.uncertain
        asks = not self.is_fresh(counts) if window is counts.current else self.marks and epoch.has_unread_tail(counts)
        if window.in_flight is None and (grown > 1e-6 or window.uncertain or asks) and self.step_breaker(CALL):
            amount = window.in_flight = max(0.0, round(grown, 4))
            name = self.count_name(counts.key, window.number)
            self.add(name, amount, counts.quota.window_life, self.on_total, counts, window)

    def add(self, name, amount, life, callback, *args):
        self.calls.setdefault(name, []).append((callback, args))  # answers for a name arrive in the order of its calls
        self.effects.append(t.AddToCount(name, amount, min(life, 60 * SEC)))

    def write_marks(self):  # an open breaker counts as a missed mark: it must not hide a lost counter
        calls = self.marks.mark_calls(self.now) if self.step_breaker(CALL) else self.on_mark(t.Counted(0, 0.0, t.NOT_ACCEPTED, 0))
        for mark, key, number, amount, life in calls or ():
            self.add(self.count_name(key, number), amount, life, self.on_mark, mark, number)
        self.remind(self.marks.delay(self.now), self.write_marks)

    def on_mark(self, event, *args):
        if change := self.marks.on_answer(*args, event.total) if event.outcome == t.DONE else self.marks.on_missed():
            self.effects.append(t.CounterNotice(change, self.marks.heard))
            epoch.reseed(self.accounts.values() if change == epoch.NEW else ())

    def on_counted(self, event):
        if waiting := self.calls.get(event.name):
            callback, args = waiting.pop(0)
            if not waiting:
                del self.calls[event.name]
            self.call_time = self.call_timeout if event.outcome == t.NOT_ACCEPTED else event.duration
            if event.outcome == t.DONE or self.stall_at < self.now:
                self.step_breaker(ANSWER if event.outcome == t.DONE else FAILURE)
            callback(event, *args)

    def on_total(self, event, counts, window):
        amount, window.in_flight = window.in_flight, None
        if event.outcome != t.DONE:  # after a time-out it may have been applied: the next total shows it
            window.uncertain += amount if event.outcome == t.TIMED_OUT else 0.0
            return
        grown, was_fresh = epoch.settle(window, amount, event.total), self.is_fresh(counts)
        counts.read_at = window.read_at = self.now
        left, account, quota = self.roll(counts), self.accounts.get(counts.key), counts.quota
        counts.own_at_read, counts.others_at_read = epoch.weigh(counts, left)
        self.refill_quota(counts, grown)
        if account and quota.ceiling_rate > 0 and not quota.excess_pays:
            # Without this a customer would get an even split of the ceiling, or nothing when this node starts. This is our part
            # of the depth left by the totals, less what the others may not have reported yet, and while calls fail.
            past = counts.previous.others + counts.previous.own if was_fresh else quota.limit  # unknown: as full
            free = quota.depth - counts.current.others - counts.current.own - past * left - EARLY_ADD_SHARE * quota.limit
            account.ceiling_tokens = max(self.refill_ceiling(account), free / account.nodes / self.tick_scale)

    def step_breaker(self, signal):  # one step of the breaker; returns whether a call may be made
        next_state, effect = BREAKER_TRANSITIONS[self.breaker, signal]
        if may_call := effect(self) if self.has_counter else None:
            self.breaker = next_state
        return may_call

    def on_success(self):  # fast answers show that the counter can take more calls
        self.call_failures = 0
        self.tick_scale = max(1.0, self.tick_scale * (0.9 if self.call_time < FAST_CALL_SHARE * self.call_timeout else 0.99))
        return True

    def on_failure(self):  # a lost connection or a bad answer is no sign of overload
        self.call_failures += 1
        self.tick_scale = min(MAX_TICK_SCALE, self.tick_scale * 1.25) if self.call_time >= self.call_timeout else self.tick_scale
        return True if self.call_failures >= MAX_CALL_FAILURES else None

    def may_try(self):  # few calls until one is answered: prevents a surge on a recovering counter
        due = self.now >= self.next_trial_at
        self.next_trial_at = self.now + int(TRIAL_GAP_NS * sqrt(self.tick_scale)) if due else self.next_trial_at
        return due or None

    def readiness(self, server):  # least share of its capacity that an app server has, by age
        age = min(1.0, (self.now - server.started_at) / self.warm_up) if server.started_at else 1.0
        return 1.0 - (1.0 - self.cold_share) * (1.0 - age)

    def confidence(self, server):
        return 1.0 - PRIOR_OUTCOMES / (PRIOR_OUTCOMES + server.successes + server.failures)

    def weight(self, server, rank):
        """Free places for this rank, by readiness and speed; in a large fleet this prefers few known servers and cold ones."""
        known, free = self.confidence(server), self.limit * (1.0 - SHED_SHARE * rank) - server.occupied
        readiness, trust = self.readiness(server), (0.005 + known * known) / server.probed_load ** (2.0 - 2.0 * known)
        if self.reports_load:  # its reports of the load by all callers replace estimates
            trust = max(0.02, 1.0 - server.utilization * 0.5 ** ((self.now - server.utilization_at) / LOAD_HALF_LIFE_NS)) ** 2
        return free * readiness / server.relative_duration * (trust if readiness >= 1.0 else 1.0)

    def is_half_free(self):  # whether less than half of the capacity is in use
        self.update_free()
        return self.free_places > sum(s.in_flight for s in self.up)

    def success_odds(self, server):
        return (server.successes + 1.0) / (server.successes + server.failures + 2.0)

    def decay(self, server):
        """Decays old statistics, so that they do not persist for an app server that gets little work since."""
        keep = 0.5 ** ((self.now - server.decayed_at) / HALF_LIFE_NS)
        server.successes, server.failures, server.decayed_at = server.successes * keep, server.failures * keep, self.now
        server.relative_duration += (1.0 - server.relative_duration) * (1.0 - keep)
        server.probed_load += (1.0 - server.probed_load) * (1.0 - keep)
        return server.successes

    def record_outcome(self, server, txn, event):
        product, done = txn.product, event.outcome == t.DONE
        if product.mean_time and event.duration > OVERDUE_MEANS * product.mean_time:
            self.lost_share += 0.1 * ((event.outcome == t.TIMED_OUT) - self.lost_share)
        self.decay(server)
        weight = 0.0 if self.is_doubtful(server) else 1.0 - self.confidence(server)
        # An outdated list names servers that are gone. That is no load, so limits stay and the next try is free.
        self.saved_retries += (unreached := event.outcome == t.CONNECT_FAILED)
        server.successes, server.failures = server.successes + done, server.failures + (UNREACHED_WEIGHT if unreached else not done)
        if done:
            product.mean_time += 0.03 * (event.duration - product.mean_time) if product.mean_time else event.duration
        if product.mean_time and (done or event.outcome == t.TIMED_OUT):
            server.relative_duration = max(0.4, 0.9 * server.relative_duration + 0.1 * min(8.0, event.duration / product.mean_time))
        late = event.duration > LATE_AFTER_SHARE * product.latency_target
        self.late_share += 0.05 * (late - self.late_share) if done else 0.0
        self.prompt_share += 0.0 if unreached else 0.05 * ((done and not late) - self.prompt_share)
        if late or event.outcome in (t.NOT_ACCEPTED, t.TIMED_OUT):
            # App servers that no longer keep up get less work, whatever slows them. Neither one unhealthy server nor an
            # answer lost while the rest arrive in time says anything about the others.
            weight *= 1.0 - self.prompt_share if event.outcome in (t.TIMED_OUT, t.NOT_ACCEPTED) else 1.0
            self.limit = max(0.25 * self.initial_limit, self.limit * (1.0 - 0.2 * weight))
        elif done and self.slack < MAX_SLACK:
            self.limit += weight * LIMIT_GROWTH * self.initial_limit * self.initial_limit / self.limit

    def on_probed(self, event):  # detects hangs, and the load caused by other nodes
        if (server := self.servers.get(event.server)) and "slots" in event.report:
            at_work = event.report["running"] + event.report["waiting"]
            server.utilization, server.utilization_at = at_work / max(1, event.report["slots"]), self.now
        elif server and event.outcome == t.DONE:
            server.probed_load = 1.0 + event.report.get("inflight", event.duration / (50 * MS))
            self.probed.append(server)
            server.failures = min(0.9, server.failures) if self.reports_load else server.failures  # reachable again
        elif server:
            server.failures += 2.0 if self.reports_load else 1.0

ADMIT = ((Node.must_decline, ENDED, Node.decline), (Node.choose, SENT, Node.submit), (Node.always, ENDED, Node.decline))
RETRY = ((Node.has_other, SENT, Node.always), (Node.choose_again, SENT, Node.submit),
         (Node.may_decline, ENDED, Node.decline), (Node.always, ENDED, Node.void))
CANCEL = ((Node.always, ENDED, Node.cancel_all),)
# (state, input): guard, next state and effect of each row, in the order tried
TXN_TRANSITIONS = {
    (NEW, ARRIVED): ((Node.needs_count, WAITING, Node.read_count), *ADMIT),
    (WAITING, COUNTED): ADMIT,
    (WAITING, LEFT): CANCEL,
    (SENT, ANSWERED): CANCEL,
    (SENT, NOT_RUN): RETRY,
    (SENT, UNCERTAIN): RETRY,
    (SENT, OVERDUE): ((Node.choose_again, SENT, Node.submit),),
    (SENT, LEFT): CANCEL}
# (state, input): (next state, effect); an effect that returns None keeps the state and means no. Traces show "well" for CLOSED
BREAKER_TRANSITIONS = {
    (CLOSED, CALL): (CLOSED, Node.always),
    (CLOSED, ANSWER): (CLOSED, Node.on_success),
    (CLOSED, FAILURE): (OPEN, Node.on_failure),
    (OPEN, CALL): (OPEN, Node.may_try),
    (OPEN, ANSWER): (CLOSED, Node.on_success),
    (OPEN, FAILURE): (OPEN, Node.on_failure)}
SIGNAL_BY_OUTCOME = {t.DONE: ANSWERED, t.NOT_ACCEPTED: NOT_RUN, t.NOT_SENT: NOT_RUN, t.CONNECT_FAILED: NOT_RUN}  # else: uncertain
HANDLERS = {type(None): Node.on_start, t.ServerList: Node.on_server_list, t.Arrival: Node.on_arrival, t.Left: Node.on_left,
          t.Ended: Node.on_ended, t.Due: Node.on_due, t.Probed: Node.on_probed, t.Counted: Node.on_counted}
