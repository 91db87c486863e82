"""Checks the rules of the system in runs of complete nodes, in simulated time. A violation raises `InvariantError`.

Source: RULES. Where the page is ambiguous, the stricter reading is checked for what must hold at every machine, and the
laxer one is used for which machines count as in touch (any fault of a machine of the core ends this for all)."""

from bisect import bisect_left, insort
from collections import deque

from .checks import InvariantError

MS, SEC = 10**6, 10**9
IN_TOUCH, DRAIN, EMPTY_ZONE = 4 * SEC, 3 * SEC, 5 * SEC  # defaults of the operators' terms
APPLY, REVOKE, ACK, RECOVERY = 3 * SEC, 5 * SEC, 6 * SEC, 15 * SEC
RETRY_RATIO, EXTRA_RETRIES, RETRY_WINDOW = 0.2, 50, 10 * SEC
QUOTA_WINDOW, QUOTA_EXCESS, QUOTA_SLACK = 5 * SEC, 0.1, 20
MAX_SLOW_START_PER_S = 2.0 * 1.5 + 5  # requests per second to a server in slow start
QUOTAS = {"hot": (12, 12), "two": (20, 10), "low": (3, 3)}  # PerS and Burst, which stay the same in a run
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class RuleChecker:
    """Observes the nodes, servers, clients and operators of a fleet."""

    def __init__(self, fleet):
        """Starts before anything has happened in `fleet`."""
        self.fleet, self.safety_checker = fleet, fleet.safety_checker
        # (time of the acknowledgement at the operator, ordinal of the configuration), both rising.
        self.acknowledged = []
        self.evacuations = {}  # by zone: [(acknowledged at, restored at or None)]
        # By tenant: (arrival, sending) times of executed requests, by arrival.
        self.executed = {name: [] for name in QUOTAS}
        # By service: times at which requests were sent, and at which retries arrived.
        self.sent_at, self.retries = {}, {}
        self.peak_ratios = {}  # by limit: the highest value seen, as a fraction of the limit
        self.founded = set()

    def record_peak(self, limit, ratio):
        """Records a value as a fraction of its limit."""
        if ratio > self.peak_ratios.get(limit, 0.0):
            self.peak_ratios[limit] = ratio

    def has_been_in_touch(self, machine, since):
        """Whether a machine was in touch at `since` and has been ever since."""
        in_touch_since = self.fleet.in_touch_since(machine)
        return in_touch_since is not None and in_touch_since + IN_TOUCH <= since

    # ---- nodes

    def attach(self, machine):
        """Observes what a node applies and claims, from its start on."""
        node_process, fleet = machine.node_process, self.fleet
        apply, update, handle_request, submit = (
            node_process.replicated_state.apply,
            node_process.leadership.update,
            node_process.request_proxy.handle_request,
            node_process.orders.submit,
        )

        def apply_observed(state):
            apply(state)
            self.on_state_applied(machine, node_process)

        def update_observed(now):
            update(now)
            self.on_leadership_updated(machine, node_process)

        def handle_observed(client, received):
            tag = (received.header.get(b"try-id") or b"").decode()
            if request := fleet.requests.get(tag):
                self.on_request_read(machine, node_process, request)
            handle_request(client, received)

        def submit_observed(kind, body, done, identity=0, caller=None):
            call = fleet.calling

            def on_ended(verdict, state):
                if verdict == "done" and call is not None:
                    self.safety_checker.record_acknowledgement(fleet.now, call, state)
                done(verdict, state)

            submit(kind, body, on_ended, identity, caller)

        node_process.replicated_state.apply = apply_observed
        node_process.leadership.update = update_observed
        node_process.request_proxy.handle_request = handle_observed
        node_process.orders.submit = submit_observed

    def on_state_applied(self, machine, node_process):
        """A node has applied a state: its revision must not go back, and a leader's state must be committed."""
        state = node_process.replicated_state.state
        self.safety_checker.record_committed_state(machine, state)
        revision = node_process.request_proxy.configuration.revision if node_process.request_proxy.configuration else 0
        if revision < machine.revision:
            raise InvariantError(f"{machine.name} applied r{revision} after r{machine.revision}")
        machine.revision = revision
        if machine.core_member and machine.core_member.is_leader and state.index not in self.founded:
            self.founded.add(state.index)
            self.check_committed(machine, state)

    def check_committed(self, machine, state):
        """What a leader treats as committed must have been stored by a majority in their current incarnations."""
        stored_by = {storage for storage, position in self.fleet.synced_positions.items() if position >= state.position}
        if not state.has_quorum(stored_by):
            raise InvariantError(
                f"{machine.name} treats index {state.index} as committed, but only {sorted(stored_by)} had stored it"
            )

    def on_leadership_updated(self, machine, node_process):
        """A node has updated its leadership: records a leader and checks its claim."""
        core_member = node_process.core.member
        if core_member is None:
            return
        if core_member.is_leader:
            if not machine.leads:
                self.safety_checker.record_leader(machine, core_member.term)
                self.fleet.count("leaders")
            confirmed_at = core_member.quorum_confirmed_at
            if confirmed_at is not None:
                self.safety_checker.check_leader_claim(machine, confirmed_at - machine.offset)
        machine.leads = core_member.is_leader

    def check_confirmed_times(self):
        """Checks the claim on which each lease is based: a node has all that was acknowledged before its confirmed
        time."""
        for machine in self.fleet.machines:
            if machine.up and (confirmed_at := machine.node_process.disseminator.confirmed_at_ns) is not None:
                newest, state = (
                    self.safety_checker.newest_acknowledged(confirmed_at - machine.offset),
                    machine.node_process.replicated_state.state,
                )
                if newest and (state is None or state.index < newest):
                    raise InvariantError(f"{machine.name} lacks index {newest}, acknowledged before its confirmed time")

    # ---- requests

    def on_request_sent(self, request):
        """A client sends a request."""
        self.sent_at.setdefault(request.service, []).append(self.fleet.now)

    def on_request_read(self, machine, node_process, request):
        """A node has read a request: checks that its configuration is not older than it may be."""
        request.machine = machine
        configuration, fleet = node_process.request_proxy.configuration, self.fleet
        request.revision = configuration.revision if configuration else 0
        at = bisect_left(self.acknowledged, (request.sent - APPLY, 0))
        if at and configuration is not None and node_process.lease.is_valid(node_process.context.clock()):
            required = self.acknowledged[at - 1][1]
            if request.revision < required and self.has_been_in_touch(machine, request.sent):
                raise InvariantError(
                    f"CONFIG: {machine.name} uses r{request.revision}, but r{required} was acknowledged "
                    f"{(request.sent - self.acknowledged[at - 1][0]) / SEC:.2f} s before"
                )
        request.was_in_touch = self.has_been_in_touch(machine, request.sent)
        fleet.count("taken")

    def on_server_request(self, server, machine, job):
        """A request reaches a server: checks its route, the limits of the server, and its API key."""
        fleet, request, now = self.fleet, job.request, self.fleet.now
        request.arrivals += 1
        if request.arrivals > 1:
            self.on_retry(server.service, now)
        if server.service != request.service:
            raise InvariantError(f"ROUTE: {request.tag} at {server.service}")
        if server.cold_until > now:
            server.arrivals.append((request.sent, now))
            many = sum(sent >= now - SEC for sent, _ in server.arrivals[-40:])
            self.record_peak("cold", many / MAX_SLOW_START_PER_S)
            if many > MAX_SLOW_START_PER_S:
                raise InvariantError(
                    f"FAILBACK: {server.uid} is in slow start and received {many} requests within a second"
                )
        self.check_key(request, now)
        for acknowledged_at, restored_at in self.evacuations.get(server.zone, ()):
            if (
                acknowledged_at is not None
                and (restored_at is None or now < restored_at)
                and now - acknowledged_at > EMPTY_ZONE
                and self.has_been_in_touch(machine, now)
            ):
                raise InvariantError(
                    f"EVAC: {machine.name} sends to {server.uid} in {server.zone} {(now - acknowledged_at) / SEC:.2f} "
                    "s after the acknowledgement"
                )
        if server.leaving_at is not None:
            shown = server.leaving_at + fleet.platform.lag
            if (
                now - shown > DRAIN
                and fleet.platform.outage_ends_at + IN_TOUCH < shown
                and self.has_been_in_touch(machine, shown)
            ):
                raise InvariantError(
                    f"DRAIN: {machine.name} sends to {server.uid} {(now - shown) / SEC:.2f} s after it was listed so"
                )

    def check_key(self, request, now):
        """Checks that the request's API key exists and was not revoked too long ago."""
        if request.key is None:
            return
        if request.tenant is None:
            raise InvariantError(f"ROUTE: a request with an unknown key was forwarded: {request.key}")
        if request.removed is not None:  # ordinal of the first configuration without it
            revoked = self.revoked_at(request.removed)
            if revoked is not None and request.sent > revoked + REVOKE:
                raise InvariantError(
                    f"CONFIG: {request.key} runs, {(request.sent - revoked) / SEC:.2f} s behind its revocation, by "
                    f"{request.machine.name} with r{request.revision}"
                )

    def revoked_at(self, ordinal):
        """When the first configuration with this or a higher ordinal was acknowledged, or None."""
        return next((at for at, revision in self.acknowledged if revision >= ordinal), None)

    def on_retry(self, service, now):
        """A retry reaches a server: checks the retry budget of the service."""
        retries, sent_at = self.retries.setdefault(service, deque()), self.sent_at.get(service, ())
        retries.append(now)
        while retries[0] < now - RETRY_WINDOW:
            retries.popleft()

        def requests_before(window_end):
            return bisect_left(sent_at, window_end) - bisect_left(sent_at, window_end - RETRY_WINDOW)

        most = (
            RETRY_RATIO
            * max(
                requests_before(now + 1), requests_before(now - RETRY_WINDOW // 2), requests_before(now - RETRY_WINDOW)
            )
            + EXTRA_RETRIES
        )
        self.record_peak("repeats", len(retries) / most)
        if len(retries) > most:
            raise InvariantError(f"BUDGET: {len(retries)} retries at {service}, {most:.0f} are allowed")

    def on_execution(self, server, job):
        """A server executes a request: checks what was forwarded, single execution, and the tenant's quota."""
        request, fleet = job.request, self.fleet
        request.runs += 1
        fleet.count("runs")
        if job.fields.get(b"customer", b"").decode() != (request.tenant or ""):
            raise InvariantError(f"UNASKED: {request.tag} of {request.tenant} runs for {job.fields.get(b'customer')}")
        if b"authorization" in job.fields:
            raise InvariantError("UNASKED: an API key was forwarded")
        if request.non_repeatable and request.runs > 1:
            raise InvariantError(f"TWICE: {request.tag}")
        if request.non_repeatable and request.status in NOT_EXECUTED_STATUSES:
            raise InvariantError(f"REFUSED: {request.tag} was answered {request.status}, but runs")
        if request.runs == 1 and request.tenant in QUOTAS:
            executed, now = self.executed[request.tenant], fleet.now
            insort(executed, (now, request.sent))
            del executed[: bisect_left(executed, (now - 2 * QUOTA_WINDOW, 0))]
            per_s, burst = QUOTAS[request.tenant]
            most = (per_s * QUOTA_WINDOW / SEC + burst) * (1 + QUOTA_EXCESS) + QUOTA_SLACK
            many = sum(sent >= now - QUOTA_WINDOW for _, sent in executed)
            self.record_peak("quota", many / most)
            if many > most:
                raise InvariantError(
                    f"QUOTA: {many} of {request.tenant} in {QUOTA_WINDOW // SEC} s, {most:.0f} are allowed"
                )

    def on_answer(self, request, status, body):
        """A client receives an answer, which must agree with the request and its execution."""
        if request.non_repeatable and status in NOT_EXECUTED_STATUSES and request.runs:
            raise InvariantError(f"REFUSED: {request.tag} has run, but is answered {status}")
        if status == 200 and body != request.tag.encode():
            raise InvariantError(f"MIXED: {request.tag} gets {body}")
        if status in (400, 401, 404) and request.must_succeed and request.was_in_touch:
            raise InvariantError(f"DENIED: {request.tag} with {request.key} gets {status} from {request.machine.name}")

    # ---- orders

    def on_acknowledged(self, call, now):
        """An operator reads the acknowledgement of its order."""
        if call.kind == "config":
            if not self.acknowledged or call.body[0] > self.acknowledged[-1][1]:
                self.acknowledged.append((now, call.body[0]))
        elif call.kind == "empty":
            self.evacuations.setdefault(call.body, []).append((now, None))
        self.fleet.count("done " + call.kind)

    def on_restore_sent(self, zone):
        """An operator sends the order to restore a zone."""
        rows = self.evacuations.get(zone, [])
        self.evacuations[zone] = [
            (acknowledged_at, restored_at or self.fleet.now) for acknowledged_at, restored_at in rows
        ]

    def check_acknowledgement_time(self, call, now):
        """Checks that an order is acknowledged within AckWithin once the core is settled."""
        settled = self.fleet.settled_since()
        if settled is not None and not self.fleet.cuts and call.verdict is None:
            since = max(settled + IN_TOUCH, call.sent, self.fleet.links_calm_at)
            if now - since > ACK:
                raise InvariantError(
                    f"no acknowledgement of {call.kind} {str(call.body)[:40]}"
                    f" in {(now - since) / SEC:.1f} s of a settled core"
                )
