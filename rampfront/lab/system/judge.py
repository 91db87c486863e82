"""The judge: checks the observations of clients, servers and operators against the rules.

`judge(observed, terms)` returns {rule: [description of each breach]}. It uses only the observations of the emulated
parts, never what a proxy reports of itself. Rules with a time bound apply to machines that are in touch with the core.
The judge does not track each machine, so a breach of such a rule within `in_touch` of a fault is counted separately,
under the rule's name and "in trouble". RULES.md defines the rules and their names.

The judge does no I/O and reads no clock; times are ns of one clock.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from hashlib import blake2b

from ...settings import configuration_reader
from ..server_model import SEC
from ..simulated_servers import expected_response

UNEXECUTED_STATUSES = frozenset((408, 421, 429, 503))  # they promise that no server executed the try
MAX_REPORTED_FINDINGS = 20  # of each rule, in reports; the rest are only counted


@dataclass(slots=True)
class Try:
    """One try of a client."""

    id: str
    request: int  # number of the request in the schedule
    sent_at: int
    host: str
    path: str
    method: str
    kind: str  # of the route
    route: str
    tenant: str  # empty for none
    key: str
    body: bytes
    node: str = ""  # IP address of the front
    finished_at: int = 0
    status: int = 0  # 0 without a complete answer
    answered_id: bytes = b""  # the try id in the answer
    seal: bytes = b""
    answer: bytes = b""
    error: str = ""


@dataclass(slots=True)
class Server:
    """One process lifetime of a server, with its executed requests (`simulated_servers.ExecutedRequest`) and its arrivals (at, try id)."""

    uid: str
    make: object
    zone: str
    runs: list
    arrivals: list
    most_cold: int = 0
    draining_since: int = 0  # when the platform's list began to show it as emptying; 0 for never


@dataclass(slots=True)
class SentOrder:
    """An operator's order. `error`: why it was not acknowledged, empty if it was."""

    call: str
    sent_at: int
    revision: int = 0
    body: bytes = b""
    zone: str = ""
    valid: bool = True
    acked_at: int = 0
    error: str = ""


@dataclass(slots=True)
class Observations:
    """Everything that the emulated parts observed.

    `fault_periods`: (from, to) of faults at nodes and links; `stops`: (IP address, time) of SIGTERMs; `all_restored_at`:
    when all machines were back after the loss of all, 0 if that did not happen."""

    tries: list = field(default_factory=list)
    servers: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    fault_periods: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    final_configuration: bytes | None = None
    all_restored_at: int = 0
    end: int = 0


class Findings(dict):
    """Descriptions of breaches by rule."""

    def add(self, rule, text):
        """Adds a breach of a rule."""
        self.setdefault(rule, []).append(text)


def digest(body):
    """Returns the digest of a body, as emulated servers record it."""
    return blake2b(body, digest_size=8).digest()


class ConfigurationHistory:
    """The valid configurations that operators sent, by revision."""

    def __init__(self, orders):
        """`orders`: all orders of the run."""
        self.by_revision, self.sent_at, self.acked_at = {}, {}, {}
        for order in orders:
            if order.call == "config.replace" and order.valid:
                self.by_revision[order.revision] = configuration_reader.read(order.body).unwrap()
                self.sent_at[order.revision] = order.sent_at
                if order.acked_at:
                    self.acked_at[order.revision] = order.acked_at

    def newest_acknowledged(self, at):
        """Returns the newest revision that was acknowledged by `at`, 0 for none."""
        return max((revision for revision, acked_at in self.acked_at.items() if acked_at <= at), default=0)

    def possible_from(self, revision, until=None):
        """Returns the configurations of `revision` or newer, sent by `until` if that is given."""
        return [
            configuration
            for sent_revision, configuration in self.by_revision.items()
            if sent_revision >= revision and (until is None or self.sent_at[sent_revision] <= until)
        ]


def allowed_services(configuration, client_try):
    """Returns the services to which a configuration lets a try go; empty for none."""
    route = configuration.route(client_try.host.encode(), client_try.path.encode())
    if (
        route is None
        or not route.public
        and configuration.requires_key
        and configuration.customer(client_try.key.encode()) is None
    ):
        return frozenset()
    return frozenset(name for name, weight in route.service_weights if weight > 0)


class Judge:
    """Checks one run's observations against each rule."""

    def __init__(self, observed, terms):
        """`terms`: the agreed figures of the rules."""
        self.observed, self.terms, self.findings = observed, terms, Findings()
        self.configurations, self.tries = (
            ConfigurationHistory(observed.orders),
            {client_try.id: client_try for client_try in observed.tries},
        )
        self.executions = defaultdict(list)  # by try id: (server, run)
        for server in observed.servers:
            for run in server.runs:
                self.executions[run.try_id].append((server, run))
        self.fault_periods = sorted((since, until + terms.in_touch) for since, until in observed.fault_periods)

    def is_undisturbed(self, since, until):
        """Returns whether no fault period overlaps with the time from `since` to `until`."""
        return not any(begin <= until and since <= end for begin, end in self.fault_periods)

    def add_timed(self, rule, text, since, until):
        """Adds a breach of a rule with a time bound by events between `since` and `until`."""
        self.findings.add(rule if self.is_undisturbed(since, until) else f"{rule} in trouble", text)

    def judge(self):
        """Checks all rules and returns the findings."""
        for uid, runs in self.executions.items():
            self.check_executions(self.tries.get(uid), uid, runs)
        for client_try in self.observed.tries:
            self.check_answer(client_try)
        self.check_quotas()
        self.check_retry_budgets()
        self.check_cold_servers()
        self.check_evacuations()
        self.check_final_configuration()
        self.check_recovery()
        return dict(self.findings)

    def check_executions(self, client_try, uid, runs):
        """UNASKED, TWICE, REFUSED: checks the executions of one try, which is None if no client sent it."""
        if client_try is None:
            return self.findings.add("UNASKED", f"{uid} was executed, but no client sent it")
        if client_try.kind != "read_only" and len(runs) > 1:
            self.findings.add("TWICE", f"{uid} on {client_try.route} was executed {len(runs)} times")
        if client_try.kind != "read_only" and client_try.status in UNEXECUTED_STATUSES:
            self.findings.add("REFUSED", f"{uid} on {client_try.route} got {client_try.status}, but was executed")
        for server, run in runs:
            if (run.method, run.url, run.body) != (client_try.method, client_try.path, digest(client_try.body)):
                self.findings.add("UNASKED", f"{uid} was altered on the way to the server")
            if run.customer != client_try.tenant:
                self.findings.add(
                    "UNASKED",
                    f"{uid} was executed for tenant {run.customer or 'none'} instead of {client_try.tenant or 'none'}",
                )
            self.check_placement(client_try, server, run)

    def check_placement(self, client_try, server, run):
        """ROUTE, CONFIG, DRAIN: checks whether the server was allowed to execute the try."""
        service = server.make.service
        if not any(
            service in allowed_services(configuration, client_try)
            for configuration in self.configurations.possible_from(0, run.at)
        ):
            return self.findings.add(
                "ROUTE",
                f"{client_try.id} on {client_try.route} was executed by {service}, which no version ever allowed",
            )
        required = self.configurations.newest_acknowledged(client_try.sent_at - self.terms.apply_within)
        if required and not any(
            service in allowed_services(configuration, client_try)
            for configuration in self.configurations.possible_from(required)
        ):
            self.add_timed(
                "CONFIG",
                f"{client_try.id} was executed by {service}, which only versions before r{required} allow",
                client_try.sent_at,
                run.at,
            )
        if self.terms.revoke_everywhere and client_try.key:
            required = self.configurations.newest_acknowledged(client_try.sent_at - self.terms.revoke_within)
            if required and not any(
                configuration.customer(client_try.key.encode())
                for configuration in self.configurations.possible_from(required)
            ):
                self.findings.add("CONFIG", f"{client_try.id} was executed with a key that r{required} had revoked")
        if server.draining_since and run.at > server.draining_since + self.terms.drain:
            self.add_timed(
                "DRAIN",
                f"{client_try.id} reached {server.uid} {(run.at - server.draining_since) / SEC:.2f} s after it began to empty",
                server.draining_since,
                run.at,
            )

    def check_answer(self, client_try):
        """LOST, MIXED, DENIED: checks the answer to a try."""
        if not client_try.status:
            if (
                any(
                    ip == client_try.node
                    and stopped_at <= client_try.finished_at <= stopped_at + self.terms.grace + SEC
                    for ip, stopped_at in self.observed.stops
                )
                and client_try.error == "the connection ended"
                and self.is_undisturbed(client_try.sent_at, client_try.finished_at)
            ):
                self.findings.add(
                    "LOST", f"{client_try.id} on {client_try.route} was cut off by a process that was stopped in order"
                )
            elif client_try.error not in ("", "the connection ended") and not client_try.error.startswith("no "):
                self.findings.add("MIXED", f"{client_try.id}: {client_try.error}")
            return
        if client_try.answered_id and client_try.answered_id != client_try.id.encode():
            return self.findings.add(
                "MIXED", f"{client_try.id} got the answer to {client_try.answered_id.decode('latin-1')}"
            )
        if 200 <= client_try.status < 300:
            correct = [
                expected_response(server.uid, server.make, client_try.id.encode(), client_try.body)
                for server, _ in self.executions.get(client_try.id, ())
            ]
            if (client_try.answer, client_try.seal) not in correct:
                self.findings.add(
                    "MIXED", f"{client_try.id}: its {client_try.status} is not the complete answer of any server"
                )
        elif client_try.status in (400, 401, 403, 404, 413, 431):
            possible = self.configurations.possible_from(
                self.configurations.newest_acknowledged(client_try.sent_at - self.terms.apply_within)
            )
            if possible and all(allowed_services(configuration, client_try) for configuration in possible):
                self.add_timed(
                    "DENIED",
                    f"{client_try.id} on {client_try.route} got {client_try.status}",
                    client_try.sent_at,
                    client_try.finished_at,
                )

    def check_quotas(self):
        """QUOTA: no window of QuotaWindow may hold more requests that were both sent and executed in it than the limit in
        force plus its excess and slack."""
        terms, tenants = self.terms, defaultdict(list)
        for uid, runs in self.executions.items():
            if (client_try := self.tries.get(uid)) and client_try.tenant:
                tenants[client_try.tenant] += [(client_try.sent_at, run.at) for _, run in runs]
        for name, rows in tenants.items():
            rows.sort()
            sent, worst = [at for at, _ in rows], (0.0, "")
            for index, since in enumerate(sent):
                until = since + terms.quota_window
                count = sum(executed <= until for _, executed in rows[index : bisect_right(sent, until)])
                limit = self.quota_limit(name, since)
                if limit and count - limit > worst[0]:
                    worst = (count - limit, f"{name}: {count} requests in a window whose limit is {limit:g}")
            if worst[1]:
                self.findings.add("QUOTA", worst[1])

    def quota_limit(self, name, at):
        """Returns the highest count that any version in force around the window allows, 0 for no limit."""
        terms, most = self.terms, 0.0
        for configuration in self.configurations.possible_from(
            self.configurations.newest_acknowledged(at - terms.apply_within - terms.quota_window)
        ):
            tenant = configuration.customers_by_name.get(name)
            if tenant is None or not tenant.per_s:
                return 0.0
            most = max(most, (tenant.per_s * terms.quota_window / SEC + tenant.burst) * (1 + terms.quota_excess))
        return most + terms.quota_slack

    def check_retry_budgets(self):
        """BUDGET: limits the repeated arrivals of tries at a service in a window of RetryWindow, by the number of requests
        for the service."""
        terms, repeat_times, request_times = self.terms, defaultdict(list), defaultdict(list)
        first = Counter()
        for at, service, uid in sorted(
            (at, server.make.service, uid) for server in self.observed.servers for at, uid in server.arrivals
        ):
            first[uid] += 1
            if first[uid] > 1:
                repeat_times[service].append(at)
        for client_try in self.observed.tries:
            for name in frozenset().union(
                *(allowed_services(configuration, client_try) for configuration in self.configurations.possible_from(0))
            ):
                request_times[name].append(client_try.sent_at)
        for name, times in repeat_times.items():
            requests, window = sorted(request_times[name]), terms.retry_window

            def requests_between(since, until):
                return bisect_right(requests, until) - bisect_left(requests, since)

            worst = (0.0, "")
            for index, since in enumerate(times):
                count = bisect_right(times, since + window) - index
                most = max(
                    requests_between(since - shift, since - shift + window) for shift in (0, window, window // 2)
                )
                excess = count - terms.retry_ratio * most - terms.extra_tries
                if excess > worst[0]:
                    worst = (excess, f"{name}: {count} further tries in {window / SEC:g} s for {most} requests")
            if worst[1]:
                self.findings.add("BUDGET", worst[1])

    def check_cold_servers(self):
        """FAILBACK: limits the requests of a second to a cold server."""
        for server in self.observed.servers:
            most = server.make.cold_per_s * self.terms.cold_excess + self.terms.cold_slack
            if server.most_cold > most:
                self.findings.add(
                    "FAILBACK",
                    f"{server.uid} got {server.most_cold} requests in a second while cold; the limit is {most:g}",
                )

    def check_evacuations(self):
        """EVAC: a zone executes nothing from `empty_zone` after the acknowledgement until the zone is taken back."""
        spans, since = [], {}
        for order in sorted(self.observed.orders, key=lambda order: order.sent_at):
            if order.call == "empty.start" and order.acked_at:
                since.setdefault(order.zone, order.acked_at)
            elif order.call == "empty.finish" and order.zone in since:
                spans.append((order.zone, since.pop(order.zone), order.sent_at))
        spans += [(zone, at, self.observed.end) for zone, at in since.items()]
        for zone, begin, end in spans:
            for server in self.observed.servers:
                for run in server.runs if server.zone == zone else ():
                    if begin + self.terms.empty_zone < run.at < end:
                        self.add_timed(
                            "EVAC",
                            f"{run.try_id} was executed in {zone} {(run.at - begin) / SEC:.2f} s after its evacuation",
                            begin,
                            run.at,
                        )

    def check_final_configuration(self):
        """CONFIG: the configuration read at the end is the newest acknowledged one, or one sent with a higher revision."""
        valid = [order for order in self.observed.orders if order.call == "config.replace" and order.valid]
        newest = max((order.revision for order in valid if order.acked_at), default=0)
        if self.observed.final_configuration is None:
            return (
                self.findings.add("CONFIG", "the configuration could not be read at the end of the run")
                if newest
                else None
            )
        if self.observed.final_configuration not in [order.body for order in valid if order.revision >= newest]:
            self.findings.add(
                "CONFIG", f"the configuration at the end of the run is neither r{newest} nor a newer one that was sent"
            )
        for order in self.observed.orders:
            if not order.valid and order.acked_at:
                self.findings.add("CONFIG", f"r{order.revision} is not valid, but was acknowledged")

    def check_recovery(self):
        """RECOVER: after the loss of all machines, service is back within the recovery time."""
        if not self.observed.all_restored_at:
            return
        before = [
            client_try
            for client_try in self.observed.tries
            if client_try.sent_at < min(since for since, _ in self.observed.fault_periods)
        ]
        after = [
            client_try
            for client_try in self.observed.tries
            if client_try.sent_at > self.observed.all_restored_at + self.terms.recovery
        ]

        def served(tries):
            return sum(200 <= client_try.status < 300 for client_try in tries) / len(tries)

        if before and after and served(before) >= 0.25 > served(after):
            self.findings.add(
                "RECOVER", f"{served(after):.0%} served {self.terms.recovery / SEC:g} s after all machines were back"
            )


def judge(observed, terms):
    """Returns the findings on a run: {rule: [description of each breach]}."""
    return Judge(observed, terms).judge()


def breaches(findings):
    """Returns the findings that count as breaches: all but those in trouble."""
    return {rule: rows for rule, rows in findings.items() if not rule.endswith("in trouble")}


def summarize_findings(findings):
    """Returns the findings as reports hold them: {rule: {"count", "first"}}."""
    return {
        rule: {"count": len(rows), "first": rows[:MAX_REPORTED_FINDINGS]} for rule, rows in sorted(findings.items())
    }
