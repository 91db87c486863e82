"""Proxies and counters on a fake clock, which exchange their messages in encoded form."""

from random import Random
from types import SimpleNamespace

from cbor2 import dumps, loads

from rampfront.quota.codec import DEREGISTRATION, PROBE_NUMBER
from rampfront.quota.counter import QuotaCounter
from rampfront.quota.counter_placement import CounterPlacement
from rampfront.quota.limiter import Limiter
from rampfront.quota.limits import MS, SEC

T0 = 1000 * SEC


def quotas_by_tenant(**tenants):
    return {name: SimpleNamespace(per_s=per_s, burst=burst) for name, (per_s, burst) in tenants.items()}


def transmitted(message):
    """The message after encoding and decoding."""
    return loads(dumps(message))


class SharedCounts:
    """Several proxies and one counter that answers at once, all on one clock."""

    def __init__(self, *names, now=T0, serving=None, **tenants):
        self.now = now
        self.configuration = quotas_by_tenant(**tenants or {"acme": (10, 10)})
        self.counter = self.new_counter(7)
        self.limiters = [self.new_limiter(name, serving or len(names)) for name in names]
        self.run()

    def new_counter(self, incarnation):
        counter = QuotaCounter(incarnation, self.now)
        counter.set_quotas(self.configuration, self.now)
        return counter

    def new_limiter(self, name, serving):
        limiter = Limiter(name, Random(name), self.now)
        limiter.set_proxy_count(serving)
        limiter.set_quotas(self.configuration, self.now)
        return limiter

    def exchange(self, limiter, answered=True):
        """Exchanges the update that is due; returns it and its answer, or None. `answered`: the answer arrives."""
        message = limiter.due_update(self.now)
        if message is None:
            return None
        answer = self.deliver(limiter.proxy_name, message)
        if answered:
            limiter.receive(self.now, answer)
        return message, answer

    def deliver(self, name, message):
        """The counter's answer to a proxy's message, both encoded and decoded."""
        return transmitted(self.counter.receive(self.now, name, transmitted(message)))

    def run(self, seconds=3.0):
        """Exchanges all updates that are due; by default for as long as quotas take to fill."""
        until = self.now + int(seconds * SEC)
        while self.now < until:
            self.now += 20 * MS
            for limiter in self.limiters:
                self.exchange(limiter)

    def take(self, limiter, times=1, name="acme"):
        return sum(limiter.take(name, self.now) is None for _ in range(times))

    def total(self, name="acme"):
        totals = self.counter.tenants[name]
        totals.roll(self.now)
        return totals.current.count + totals.previous.count


class CounterNetwork:
    """Proxies with placements, and a counter on each member, with a one-way delay of 10 ms. Members in `unreachable`
    receive nothing; those in `answers_probes_only` receive only probes."""

    def __init__(self, *names, members=("m1", "m2", "m3"), acme=(10, 10), age=20.0):
        configuration = quotas_by_tenant(acme=acme)
        self.now = T0
        self.counters = {ip: QuotaCounter(n, T0) for n, ip in enumerate(members)}
        self.limiters = {name: Limiter(name, Random(name), T0) for name in names}
        self.placements = {
            name: CounterPlacement(limiter.link, lambda ip: -members.index(ip))
            for name, limiter in self.limiters.items()
        }
        self.unreachable = set()
        self.answers_probes_only = set()
        self.in_flight = []
        self.deregistrations = 0
        self.sent = 0
        for one in (*self.counters.values(), *self.limiters.values()):
            one.set_quotas(configuration, T0), one.set_proxy_count(len(names))
        for name in names:
            self.rank(name, set(members))
        self.run(age)

    def rank(self, name, serving):
        self.send(name, self.placements[name].rank(self.now, list(self.counters), serving))

    def send(self, name, messages):
        self.sent += len(messages)
        self.deregistrations += sum(DEREGISTRATION in m for _, m in messages)
        self.in_flight += [(self.now + 10 * MS, name, ip, transmitted(m)) for ip, m in messages]

    def run(self, seconds, each=lambda now: None):
        until = self.now + int(seconds * SEC)
        while self.now < until:
            self.now += 10 * MS
            each(self.now)
            for name, limiter in self.limiters.items():
                if self.now % (100 * MS) == 0:
                    self.send(name, self.placements[name].tick(self.now))
                if message := limiter.due_update(self.now):
                    self.send(name, [(self.placements[name].counter_ip, message)])
            due = [flight for flight in self.in_flight if flight[0] <= self.now]
            self.in_flight = [flight for flight in self.in_flight if flight[0] > self.now]
            for _, name, ip, message in due:
                is_lost = ip in self.unreachable or PROBE_NUMBER not in message and ip in self.answers_probes_only
                if not is_lost and (answer := self.counters[ip].receive(self.now, name, message)):
                    self.send(name, self.placements[name].receive(self.now, ip, transmitted(answer)))

    def counter_ips(self):
        return [placement.counter_ip for placement in self.placements.values()]
