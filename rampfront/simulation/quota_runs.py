"""The quotas' shared counts on a fake clock: many pilots, their holders, a network that delays, loses, repeats and cuts.

`python3 -m rampfront.simulation.quota_runs` prints the table of `docs/system/quotas.md`. Never imported by a serving process.
What is measured: the most requests let in within any QuotaWindow, as a part of what the rule allows; the part refused
while a quota fed by all that was let in still had room (`wrong`); messages and bytes a second, of all and of the node
that sends and gets the most.
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from random import Random
from types import SimpleNamespace

from cbor2 import dumps, loads

from ..quota.counter import QuotaCounter
from ..quota.counter_placement import CounterPlacement
from ..quota.limiter import Limiter
from ..quota.limits import MS, SEC, QuotaRule

HEAD = 28  # bytes of a datagram before its first
BEAT = 100 * MS  # of a mooring
GONE, BACK = 3 * SEC, SEC  # all rosters lack a node that ends so long after, and have it again


class Bucket:
    def __init__(self, per_s, burst):
        self.per_s, self.burst, self.level, self.at = per_s, burst, burst, 0

    def room(self, now):
        self.level, self.at = min(self.burst, self.level + self.per_s * (now - self.at) / SEC), now
        return self.level

    def spend(self, now):
        self.level -= 1

    def take(self, now):
        if self.room(now) < 1:
            return False
        self.spend(now)
        return True


class Span(Bucket):
    """A quota without burst: so many in any QuotaWindow."""

    def __init__(self, most, window):
        self.most, self.window, self.times = most, window, deque()

    def room(self, now):
        while self.times and self.times[0] <= now - self.window:
            self.times.popleft()
        return self.most - len(self.times)

    def spend(self, now):
        self.times.append(now)


class Tally:
    """What became of one tenant's requests."""

    def __init__(self, per_s, burst, terms=QuotaRule()):
        self.per_s, self.burst, self.terms = per_s, burst, terms
        self.bound = (per_s * terms.window_ns / SEC + burst) * (1 + terms.excess_share) + terms.slack_requests
        self.truth, self.perfect = (
            Bucket(per_s, burst) if burst else Span(per_s * terms.window_ns / SEC, terms.window_ns) for _ in range(2)
        )
        self.recent, self.most = deque(), 0
        self.phases = {}

    def note(self, now, phase, admitted):
        row = self.phases.setdefault(phase, SimpleNamespace(asked=0, let=0, wrong=0, perfect=0))
        row.asked += 1
        row.perfect += self.perfect.take(now)
        room = self.truth.room(now)
        if admitted:
            row.let += 1
            self.truth.spend(now)
            self.recent.append(now)
            while self.recent[0] <= now - self.terms.window_ns:
                self.recent.popleft()
            self.most = max(self.most, len(self.recent))
        elif room >= 1:
            row.wrong += 1


class Sea:
    """`nodes` pilots in two regions of two zones, some of which may hold the counts. `cuts`: (from, to, part) s; `severs`:
    the first holder alone is cut from that part; `frozen`: it stands still from, to; `differ`: rosters of a part of the
    nodes lack it from, to; `dies`, `other_dies`: when it ends, or a node that holds nothing."""

    def __init__(
        self,
        seed,
        nodes=11,
        tenants=((27, 27),),
        others=7,
        hot=(6.0, 15.0),
        x=8.0,
        end=20.0,
        loss=0.005,
        repeat=0.002,
        cuts=(),
        severs=(),
        frozen=None,
        differ=None,
        dies=None,
        other_dies=None,
        skew=0.0,
        restarts=(),
        way="tide",
        load=1 / 1.6,
        late=2 * MS,
        busy=0.0,
    ):
        self.random = random = Random(seed)
        self.nodes, self.loss, self.repeat, self.late, self.way, self.busy = nodes, loss, repeat, late, way, busy
        self.hot, self.x, self.end, self.load = hot, x, end, load
        self.limits = {f"t{i}": SimpleNamespace(per_s=p, burst=b) for i, (p, b) in enumerate(tenants)}
        self.first = list(self.limits)  # those that get hot
        self.limits |= {f"quiet{i}": SimpleNamespace(per_s=12.0, burst=12.0) for i in range(others)}
        self.tallies = {name: Tally(c.per_s, c.burst) for name, c in self.limits.items()}
        self.home = nodes - 1  # not among those cut off, which are the first
        self.members = [nodes - 1, nodes - 2, 0, nodes - 3]  # of the core, by rank
        self.absent = [set() for _ in range(nodes)]  # whom each one's roster lacks
        self.tides, self.moorings, self.gauges = [None] * nodes, [None] * nodes, {}
        for i in range(nodes):
            self.begin(i, 0)
        self.dead, self.cuts, self.severs, self.frozen = set(), cuts, severs, frozen
        self.differ, self.ends = differ, ((dies, self.home), (other_dies, 1))
        self.weights = [(i + 1.0) ** -skew for i in range(nodes)]
        random.shuffle(self.weights)
        self.sent = self.bytes = self.far = 0
        self.load_of = [0] * nodes  # messages sent and got
        self.events, self.order, self.wakes = [], count(), {}
        self.restarts = restarts

    def begin(self, i, now):
        """A node's start, its pilot and its gauge, if it is one that may hold."""
        now = self.clock(i, now)
        self.tides[i] = fresh = Limiter(f"node{i}", Random(self.random.random()), now)
        speakers = [fresh]
        if i in self.members:
            self.gauges[i] = quota_counter = QuotaCounter(self.random.randrange(1 << 24), now)
            speakers.append(quota_counter)
        for one in speakers:
            one.set_proxy_count(self.nodes - len(self.absent[i]))
            one.set_quotas(self.limits, now)
        self.moorings[i] = CounterPlacement(fresh.link, lambda member: -self.members.index(member))
        self.rank(0, i)

    def rank(self, now, i):
        serving = set(range(self.nodes)) - self.absent[i]
        self.say(now, i, self.moorings[i].rank(self.clock(i, now), self.members, serving))

    def say(self, now, i, messages):
        for to, message in messages:
            self.post(now, i, to, self.added, message)

    def roster(self, now, i, absent):
        """One node's roster lacks others than before."""
        if self.absent[i] != absent:
            self.absent[i] = absent
            for one in (self.tides[i], self.gauges.get(i)):
                if one:
                    one.set_proxy_count(self.nodes - len(absent))
            self.rank(now, i)
            self.wake(i, now)

    def rosters(self, now, absent, part=1.0):
        """The news takes up to 0.3 s to all, or to the first `part` of the nodes."""
        for i in range(int(self.nodes * part)):
            self.at(now + int(0.3 * self.random.random() * SEC), self.roster, i, absent)

    def beat(self, now, i):
        if i not in self.dead:
            self.say(now, i, self.moorings[i].tick(self.clock(i, now)))
            self.wake(i, now)
            self.at(now + BEAT, self.beat, i)

    def clock(self, i, now):  # steady clocks have nothing in common
        return now + i * 7_777_777_777

    def delay(self, a, b):
        if a == b:
            return 0
        base = 0.3 if a % 4 == b % 4 else 0.5 if a % 2 == b % 2 else 20.5
        return int((base + self.random.expovariate(1.0) * (1.0 + self.busy)) * MS)

    def apart(self, a, b, now):
        t = now / SEC
        if self.home in (a, b) and any(
            begin <= t < end and min(a, b) < self.nodes * part for begin, end, part in self.severs
        ):
            return True
        return any(
            begin <= t < end and (a < self.nodes * part) != (b < self.nodes * part) for begin, end, part in self.cuts
        )

    def at(self, when, what, *about):
        heappush(self.events, (when, next(self.order), what, about))

    def post(self, now, a, b, what, message):
        data = dumps(message)
        if a != b:
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data) + HEAD
            self.load_of[a] += 1
            self.load_of[b] += 1
            self.far += (len(data) + HEAD) * (a % 2 != b % 2)
            for _ in range(1 + (self.random.random() < self.repeat)):
                if self.random.random() >= self.loss:
                    self.at(now + self.delay(a, b), what, a, b, loads(data))
        else:
            self.at(now, what, a, b, loads(data))

    def wake(self, i, now):
        at = self.tides[i].next_update_at - self.clock(i, 0)
        if at < self.end * SEC and self.wakes.get(i, 1 << 62) > at:
            at = max(now, at) + int(self.random.random() * self.late)
            self.wakes[i] = at
            self.at(at, self.woken, i)

    def woken(self, now, i):
        if self.wakes.get(i, 0) > now:
            return
        self.wakes.pop(i, None)
        if i not in self.dead:
            if message := self.tides[i].due_update(self.clock(i, now)):
                self.post(now, i, self.moorings[i].counter_ip, self.added, message)
            self.wake(i, now)

    def added(self, now, a, b, message):
        if b in self.dead or b not in self.gauges or self.apart(a, b, now):
            return
        quota_counter = self.gauges[b]
        try:
            answer = quota_counter.receive(self.clock(b, now), f"node{a}", message)
        except ValueError:
            return
        if answer:
            self.post(now, b, a, self.answered, answer)
        self.tell(now, b)

    def tell(self, now, b):
        if b in self.dead or b not in self.gauges:
            return
        quota_counter = self.gauges[b]
        for name, message in quota_counter.announcements(self.clock(b, now)):
            self.post(now, b, int(name[4:]), self.answered, message)
        if quota_counter.next_announcement_at is not None:
            self.at(max(now, quota_counter.next_announcement_at - self.clock(b, 0)) + MS, lambda now: self.tell(now, b))

    def answered(self, now, a, b, message):
        if b not in self.dead and not self.apart(a, b, now):
            self.say(now, b, self.moorings[b].receive(self.clock(b, now), a, message))
            self.wake(b, now)

    def die(self, now, i):
        """A machine ends."""
        self.dead.add(i)
        self.at(now + GONE, self.rosters, {i})

    def restart(self, now, i):
        self.begin(i, now)
        self.wakes.pop(i, None)
        self.wake(i, now)

    def asked(self, now, name):
        c = self.limits[name]
        hot = name in self.first and self.hot and self.hot[0] * SEC <= now < self.hot[1] * SEC
        rate = c.per_s * self.load * (self.x if hot else 1.0)
        step = self.random.expovariate(rate)
        if not hot and name in self.first and self.hot and now < self.hot[0] * SEC < now + step * SEC:
            step = self.hot[0] - now / SEC
        self.at(now + int(step * SEC) + 1, self.asked, name)
        i = self.random.choices(range(self.nodes), self.weights)[0]
        if i in self.dead or self.still(now, i):
            return
        if self.way == "tide":
            let = self.tides[i].take(name, self.clock(i, now)) is None
            self.wake(i, now)
        else:
            let = self.bare(i, name, now)
        phase = "hot" if hot else "usual" if now >= 3 * SEC else "start"
        self.tallies[name].note(now, phase, let)

    def still(self, now, i):
        return self.frozen and i == self.home and self.frozen[0] <= now / SEC < self.frozen[1]

    def bare(self, i, name, now):
        """The baselines: each pilot the whole quota (`none`), an even part (`split`), or one counter (`perfect`)."""
        c = self.limits[name]
        key = (name, 0 if self.way == "perfect" else i)
        part = self.nodes if self.way == "split" else 1
        buckets = self.__dict__.setdefault("buckets", {})
        if key not in buckets:
            buckets[key] = Bucket(c.per_s / part, max(1.0, c.burst / part))
        return buckets[key].take(now)

    def run(self):
        for name in self.limits:
            self.at(int(SEC * 2.5), self.asked, name)
        for i in range(self.nodes if self.way == "tide" else 0):
            self.wake(i, 0)
            self.at(int(self.random.random() * BEAT), self.beat, i)
        for at, i in self.restarts:
            self.at(int(at * SEC), self.restart, i)
        for at, i in self.ends:
            if at is not None:
                self.at(int(at * SEC), self.die, i)
        if self.frozen and (self.frozen[1] - self.frozen[0]) * SEC > GONE:
            self.at(int(self.frozen[0] * SEC) + GONE, self.rosters, {self.home})
            self.at(int(self.frozen[1] * SEC) + BACK, self.rosters, set())
        if self.differ:
            begin, end, part = self.differ
            self.at(int(begin * SEC), self.rosters, {self.home}, part)
            self.at(int(end * SEC), self.rosters, set())
        while self.events:
            now, order, what, about = heappop(self.events)
            if now > self.end * SEC:
                break
            if self.frozen and about and self.still(now, about[1] if what in (self.added, self.answered) else about[0]):
                # what comes for a node that stands still waits for it
                heappush(self.events, (int(self.frozen[1] * SEC), order, what, about))
                continue
            what(now, *about)
        return self


def figures(**terms):
    """One played sea as a row of figures."""
    sea = Sea(**terms).run()
    hot = [sea.tallies[name] for name in sea.first]
    quiet = [t for name, t in sea.tallies.items() if name not in sea.first]
    worst = max(t.most / t.bound for t in sea.tallies.values())

    def wrong(tallies, phase):
        rows = [t.phases[phase] for t in tallies if phase in t.phases]
        return sum(r.wrong for r in rows) / max(1, sum(r.asked for r in rows))

    def served(tallies, phase):
        rows = [t.phases[phase] for t in tallies if phase in t.phases]
        return sum(r.let for r in rows) / max(1, sum(r.perfect for r in rows))

    return {
        "worst": worst,
        "most": hot[0].most,
        "bound": hot[0].bound,
        "usual": wrong(hot, "usual"),
        "quiet": wrong(quiet, "usual"),
        "hot": wrong(hot, "hot"),
        "served": served(hot, "hot"),
        "asked": served(hot + quiet, "usual"),
        "busiest": max(sea.load_of) / sea.end,
        "msgs": sea.sent / sea.end,
        "kb": sea.bytes / sea.end / 1000,
        "far": sea.far / sea.end / 1000,
    }


SMALL, LARGE = dict(nodes=11), dict(nodes=82, others=40)
SCENES = {
    "usual load": dict(hot=None),
    "hot": {},
    "hot, uneven": dict(skew=1.0),
    "hot, counter dies": dict(dies=8.0),
    "counter dies, then hot": dict(dies=5.9),
    "hot, counter cut from a third": dict(severs=((8.0, 12.0, 1 / 3),)),
    "hot, counter frozen for 4 s": dict(frozen=(8.0, 12.0)),
    "hot, counter frozen for 1 s": dict(frozen=(8.0, 9.0)),
    "hot, rosters differ for 1 s": dict(differ=(8.0, 9.0, 1 / 3)),
    "hot, another dies": dict(other_dies=8.0),
    "hot, a third cut off": dict(cuts=((8.0, 18.0, 1 / 3),)),
    "cut off, then hot": dict(cuts=((5.9, 16.0, 1 / 3),)),
    "hot, core in halves": dict(cuts=((8.0, 18.0, 0.5),)),
    "hot, 1 in 10 lost": dict(loss=0.1),
    "hot, 50 ms more each way": dict(busy=50.0),
    "hot, all restart": dict(restarts=None),
}


def scene(name, fleet, seed, **more):
    terms = {"seed": seed, **fleet, **SCENES[name], **more}
    if terms.get("restarts", ()) is None:
        terms["restarts"] = [(8.0, i) for i in range(fleet["nodes"])]
    return figures(**terms)


def job(args):
    name, fleet, seed, more = args
    return scene(name, fleet, seed, **more)


def main(seeds=8, names=None, fleets=(SMALL, LARGE), **more):
    from multiprocessing import Pool

    with Pool() as pool:
        for fleet in fleets:
            for name in names or SCENES:
                got = pool.map(job, [(name, fleet, seed, more) for seed in range(seeds)], 1)
                mean = {key: sum(row[key] for row in got) / len(got) for key in got[0]}
                print(
                    f"{fleet['nodes']:3} {name:30} most {max(r['worst'] for r in got):.3f} of the bound"
                    f" ({max(r['most'] for r in got)}/{got[0]['bound']:.0f})  wrong: usual {mean['usual']:.2%}"
                    f" quiet {mean['quiet']:.2%} hot {mean['hot']:.2%}  served hot {mean['served']:.2f} usual"
                    f" {mean['asked']:.3f} {mean['msgs']:6.0f} msgs/s, busiest {mean['busiest']:.0f}, {mean['kb']:.1f} kB/s far {mean['far']:.1f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
