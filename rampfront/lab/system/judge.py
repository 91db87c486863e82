"""The judge: what clients, servers and operators saw, held against the rules. No I/O, no clock; times are ns of one clock.

`judge(seen, terms)` gives {rule: [what broke it]}. It goes by the stand-ins alone, never by what a pilot says of itself.
Rules bound by time hold for machines in touch: what breaks them within `in_touch` of a fault is counted apart, under the
rule's name and "in trouble", as the judge does not follow each machine. Source: RULES.md; the rules' names are its own.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from hashlib import blake2b

from ...settings import configuration_reader
from ..server_model import SEC
from ..simulated_servers import expected_response

PROMISES = frozenset((408, 421, 429, 503))
TRUE_WORDS = 20  # findings worded for each rule; the rest are counted


@dataclass(slots=True)
class Try:
    """One try of a client."""

    id: str
    request: int  # its number in the schedule
    at: int
    host: str
    path: str
    method: str
    kind: str  # of its route
    route: str
    tenant: str  # empty: none
    key: str
    body: bytes
    node: str = ""  # ip of the front
    done: int = 0
    status: int = 0  # 0: no whole answer
    tag: bytes = b""
    seal: bytes = b""
    answer: bytes = b""
    why: str = ""


@dataclass(slots=True)
class Server:
    """One life of a server, and what it ran (`simulated_servers.ExecutedRequest`) and got (at, try id)."""

    uid: str
    make: object
    zone: str
    runs: list
    arrivals: list
    most_cold: int = 0
    emptied: int = 0  # since when the list showed it as emptying


@dataclass(slots=True)
class Ordered:
    """One order. `answer`: the status that a clear answer had, 0 for none."""

    call: str
    sent: int
    revision: int = 0
    body: bytes = b""
    zone: str = ""
    valid: bool = True
    acked: int = 0
    refused: str = ""


@dataclass(slots=True)
class Seen:
    """All that the stand-ins saw. `troubles`: (from, to) of faults at nodes and links; `stopped`: (ip, when) of SIGTERMs;
    `lost_all`: when all machines were back behind a loss of all, 0 for none."""

    tries: list = field(default_factory=list)
    servers: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    troubles: list = field(default_factory=list)
    stopped: list = field(default_factory=list)
    read_back: bytes | None = None
    lost_all: int = 0
    end: int = 0


class Finding(dict):
    def add(self, rule, text):
        self.setdefault(rule, []).append(text)


def digest(body):
    return blake2b(body, digest_size=8).digest()


class Charts:
    """The configurations that were sent, by their numbers."""

    def __init__(self, orders):
        self.all, self.sent, self.acked = {}, {}, {}
        for order in orders:
            if order.call == "config.replace" and order.valid:
                self.all[order.revision] = configuration_reader.read(order.body).unwrap()
                self.sent[order.revision] = order.sent
                if order.acked:
                    self.acked[order.revision] = order.acked

    def bound(self, at):
        """The newest version acknowledged by `at`, 0 for none."""
        return max((revision for revision, acked in self.acked.items() if acked <= at), default=0)

    def since(self, revision, until=None):
        """The versions that may be in force from that one on."""
        return [
            configuration
            for number, configuration in self.all.items()
            if number >= revision and (until is None or self.sent[number] <= until)
        ]


def services(configuration, one):
    """The services that a version lets a try go to; empty for none."""
    route = configuration.route(one.host.encode(), one.path.encode())
    if (
        route is None
        or not route.public
        and configuration.requires_key
        and configuration.customer(one.key.encode()) is None
    ):
        return frozenset()
    return frozenset(name for name, weight in route.service_weights if weight > 0)


class Judge:
    def __init__(self, seen, terms):
        self.seen, self.terms, self.found = seen, terms, Finding()
        self.configurations, self.tries = Charts(seen.orders), {one.id: one for one in seen.tries}
        self.ran = defaultdict(list)  # by try id: (server, run)
        for server in seen.servers:
            for run in server.runs:
                self.ran[run.try_id].append((server, run))
        self.troubles = sorted((since, until + terms.in_touch) for since, until in seen.troubles)

    def calm(self, since, until):
        return not any(a <= until and since <= b for a, b in self.troubles)

    def late(self, rule, text, since, until):
        """A rule bound by time was broken by what happened from `since` to `until`."""
        self.found.add(rule if self.calm(since, until) else f"{rule} in trouble", text)

    def judge(self):
        for uid, runs in self.ran.items():
            self.runs(self.tries.get(uid), uid, runs)
        for one in self.seen.tries:
            self.answer(one)
        self.quotas()
        self.budgets()
        self.cold()
        self.zones()
        self.read_back()
        self.recovery()
        return dict(self.found)

    def runs(self, one, uid, runs):
        if one is None:
            return self.found.add("UNASKED", f"{uid} was sent by nobody")
        if one.kind != "read_only" and len(runs) > 1:
            self.found.add("TWICE", f"{uid} on {one.route} ran {len(runs)} times")
        if one.kind != "read_only" and one.status in PROMISES:
            self.found.add("REFUSED", f"{uid} on {one.route} got {one.status} and ran")
        for server, run in runs:
            if (run.method, run.url, run.body) != (one.method, one.path, digest(one.body)):
                self.found.add("UNASKED", f"{uid} was changed on its way")
            if run.customer != one.tenant:
                self.found.add("UNASKED", f"{uid} ran as {run.customer or 'nobody'}, not as {one.tenant or 'nobody'}")
            self.place(one, server, run)

    def place(self, one, server, run):
        service = server.make.service
        if not any(service in services(configuration, one) for configuration in self.configurations.since(0, run.at)):
            return self.found.add("ROUTE", f"{one.id} on {one.route} ran at {service}: no version ever allowed it")
        bound = self.configurations.bound(one.at - self.terms.apply_within)
        if bound and not any(
            service in services(configuration, one) for configuration in self.configurations.since(bound)
        ):
            self.late("CONFIG", f"{one.id} ran at {service}, as only versions before r{bound} allow", one.at, run.at)
        if self.terms.revoke_everywhere and one.key:
            bound = self.configurations.bound(one.at - self.terms.revoke_within)
            if bound and not any(
                configuration.customer(one.key.encode()) for configuration in self.configurations.since(bound)
            ):
                self.found.add("CONFIG", f"{one.id} ran with a key that r{bound} had taken away")
        if server.emptied and run.at > server.emptied + self.terms.drain:
            self.late(
                "DRAIN",
                f"{one.id} reached {server.uid} {(run.at - server.emptied) / SEC:.2f} s behind its emptying",
                server.emptied,
                run.at,
            )

    def answer(self, one):
        if not one.status:
            if (
                any(ip == one.node and at <= one.done <= at + self.terms.grace + SEC for ip, at in self.seen.stopped)
                and one.why == "the connection ended"
                and self.calm(one.at, one.done)
            ):
                self.found.add("LOST", f"{one.id} on {one.route} was cut by a process that left in order")
            elif one.why not in ("", "the connection ended") and not one.why.startswith("no "):
                self.found.add("MIXED", f"{one.id}: {one.why}")
            return
        if one.tag and one.tag != one.id.encode():
            return self.found.add("MIXED", f"{one.id} got the answer to {one.tag.decode('latin-1')}")
        if 200 <= one.status < 300:
            true = [
                expected_response(server.uid, server.make, one.id.encode(), one.body)
                for server, _ in self.ran.get(one.id, ())
            ]
            if (one.answer, one.seal) not in true:
                self.found.add("MIXED", f"{one.id}: a {one.status} that is no server's whole answer")
        elif one.status in (400, 401, 403, 404, 413, 431):
            since = self.configurations.since(self.configurations.bound(one.at - self.terms.apply_within))
            if since and all(services(configuration, one) for configuration in since):
                self.late("DENIED", f"{one.id} on {one.route} got {one.status}", one.at, one.done)

    def quotas(self):
        """In no window of QuotaWindow may more be both sent and run than the limit in force, its excess and slack."""
        terms, tenants = self.terms, defaultdict(list)
        for uid, runs in self.ran.items():
            if (one := self.tries.get(uid)) and one.tenant:
                tenants[one.tenant] += [(one.at, run.at) for _, run in runs]
        for name, rows in tenants.items():
            rows.sort()
            sent, worst = [at for at, _ in rows], (0.0, "")
            for k, since in enumerate(sent):
                until = since + terms.quota_window
                count = sum(ran <= until for _, ran in rows[k : bisect_right(sent, until)])
                limit = self.limit(name, since)
                if limit and count - limit > worst[0]:
                    worst = (count - limit, f"{name}: {count} in a window that may hold {limit:g}")
            if worst[1]:
                self.found.add("QUOTA", worst[1])

    def limit(self, name, at):
        """The highest count that any version in force around the window allows; 0: no limit."""
        terms, most = self.terms, 0.0
        for configuration in self.configurations.since(
            self.configurations.bound(at - terms.apply_within - terms.quota_window)
        ):
            tenant = configuration.customers_by_name.get(name)
            if tenant is None or not tenant.per_s:
                return 0.0
            most = max(most, (tenant.per_s * terms.quota_window / SEC + tenant.burst) * (1 + terms.quota_excess))
        return most + terms.quota_slack

    def budgets(self):
        """Arrivals at a service beyond the first of each try, in windows of RetryWindow, against requests for it."""
        terms, further, asked = self.terms, defaultdict(list), defaultdict(list)
        first = Counter()
        for at, service, uid in sorted(
            (at, server.make.service, uid) for server in self.seen.servers for at, uid in server.arrivals
        ):
            first[uid] += 1
            if first[uid] > 1:
                further[service].append(at)
        for one in self.seen.tries:
            for name in frozenset().union(
                *(services(configuration, one) for configuration in self.configurations.since(0))
            ):
                asked[name].append(one.at)
        for name, times in further.items():
            requests, window = sorted(asked[name]), terms.retry_window

            def between(since, until):
                return bisect_right(requests, until) - bisect_left(requests, since)

            worst = (0.0, "")
            for k, since in enumerate(times):
                count = bisect_right(times, since + window) - k
                most = max(between(since - back, since - back + window) for back in (0, window, window // 2))
                over = count - terms.retry_ratio * most - terms.extra_tries
                if over > worst[0]:
                    worst = (over, f"{name}: {count} further tries in {window / SEC:g} s for {most} requests")
            if worst[1]:
                self.found.add("BUDGET", worst[1])

    def cold(self):
        for server in self.seen.servers:
            most = server.make.cold_per_s * self.terms.cold_excess + self.terms.cold_slack
            if server.most_cold > most:
                self.found.add("FAILBACK", f"{server.uid} got {server.most_cold} in a second while cold, not {most:g}")

    def zones(self):
        """EVAC: from an acknowledgement on until the zone is taken back, once `empty_zone` has passed."""
        spans, since = [], {}
        for order in sorted(self.seen.orders, key=lambda order: order.sent):
            if order.call == "empty.start" and order.acked:
                since.setdefault(order.zone, order.acked)
            elif order.call == "empty.finish" and order.zone in since:
                spans.append((order.zone, since.pop(order.zone), order.sent))
        spans += [(zone, at, self.seen.end) for zone, at in since.items()]
        for zone, begin, end in spans:
            for server in self.seen.servers:
                for run in server.runs if server.zone == zone else ():
                    if begin + self.terms.empty_zone < run.at < end:
                        self.late(
                            "EVAC",
                            f"{run.try_id} ran in {zone} {(run.at - begin) / SEC:.2f} s behind its evacuation",
                            begin,
                            run.at,
                        )

    def read_back(self):
        valid = [order for order in self.seen.orders if order.call == "config.replace" and order.valid]
        newest = max((order.revision for order in valid if order.acked), default=0)
        if self.seen.read_back is None:
            return self.found.add("CONFIG", "at the end the configuration does not come") if newest else None
        if self.seen.read_back not in [order.body for order in valid if order.revision >= newest]:
            self.found.add("CONFIG", f"at the end the configuration is not r{newest}, nor one sent above it")
        for order in self.seen.orders:
            if not order.valid and order.acked:
                self.found.add("CONFIG", f"r{order.revision} is not valid and was acknowledged")

    def recovery(self):
        if not self.seen.lost_all:
            return
        before = [one for one in self.seen.tries if one.at < min(since for since, _ in self.seen.troubles)]
        behind = [one for one in self.seen.tries if one.at > self.seen.lost_all + self.terms.recovery]

        def served(tries):
            return sum(200 <= one.status < 300 for one in tries) / len(tries)

        if before and behind and served(before) >= 0.25 > served(behind):
            self.found.add(
                "RECOVER", f"{served(behind):.0%} served once all were back for {self.terms.recovery / SEC:g} s"
            )


def judge(seen, terms):
    return Judge(seen, terms).judge()


def broken(found):
    """The findings that are breaches: none of them in trouble."""
    return {rule: rows for rule, rows in found.items() if not rule.endswith("in trouble")}


def worded(found):
    """For reports: {rule: {"count", "first"}}."""
    return {rule: {"count": len(rows), "first": rows[:TRUE_WORDS]} for rule, rows in sorted(found.items())}
