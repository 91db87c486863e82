"""The rules as an onlooker with the true time sees them kept or broken, in a run of the whole. A breach raises `InvariantError`.

Source: RULES. Where the page leaves room, this is the stricter reading for what must hold at every machine, and the
laxer one for who counts as in touch (any trouble of a machine of the core unsettles all)."""

from bisect import bisect_left, insort
from collections import deque

from .checks import InvariantError

MS, SEC = 10**6, 10**9
IN_TOUCH, DRAIN, EMPTY_ZONE = 4 * SEC, 3 * SEC, 5 * SEC  # as Terms of the papers have them by default
APPLY, REVOKE, ACK, RECOVERY = 3 * SEC, 5 * SEC, 6 * SEC, 15 * SEC
RATIO, EXTRA, RETRY = 0.2, 50, 10 * SEC
WINDOW, EXCESS, SLACK = 5 * SEC, 0.1, 20
COLD_MOST = 2.0 * 1.5 + 5  # of a cold server in a second
QUOTAS = {"hot": (12, 12), "two": (20, 10), "low": (3, 3)}  # PerS and Burst; never changed within a run
PROMISES = (408, 421, 429, 503)


class RuleChecker:
    def __init__(self, fleet):
        self.fleet, self.safety_checker = fleet, fleet.safety_checker
        self.acknowledged = []  # (when the operator had it, ordinal of the configuration), both rising
        self.evacuations = {}  # zone to [(acknowledged at, taken back at or None)]
        self.ran = {name: [] for name in QUOTAS}  # (arrived, sent) of those that ran, by arrival
        self.asked, self.again = {}, {}  # by service: when requests were sent; when repeats arrived
        self.peak_ratios = {}  # how near to a bound it came, in parts of it
        self.founded = set()

    def near(self, what, part):
        if part > self.peak_ratios.get(what, 0.0):
            self.peak_ratios[what] = part

    def touch(self, machine, since):
        """Whether a machine was in touch at `since`, and has been since."""
        calm = self.fleet.touch_since(machine)
        return calm is not None and calm + IN_TOUCH <= since

    # ---- one machine

    def attach(self, machine):
        """Looks on at what a station applies and claims, from its start on."""
        node_process, fleet = machine.node_process, self.fleet
        apply, rule, take, give = (
            node_process.replicated_state.apply,
            node_process.leadership.update,
            node_process.request_proxy.handle_request,
            node_process.orders.submit,
        )

        def applied(state):
            apply(state)
            self.applied(machine, node_process)

        def ruled(now):
            rule(now)
            self.ruled(machine, node_process)

        def taken(client, received):
            tag = (received.header.get(b"try-id") or b"").decode()
            if request := fleet.requests.get(tag):
                self.taken(machine, node_process, request)
            take(client, received)

        def given(kind, body, done, identity=0):
            call = fleet.calling

            def ended(verdict, state):
                if verdict == "done" and call is not None:
                    self.safety_checker.record_acknowledgement(fleet.now, call, state)
                done(verdict, state)

            give(kind, body, ended, identity)

        node_process.replicated_state.apply = applied
        node_process.leadership.update = ruled
        node_process.request_proxy.handle_request = taken
        node_process.orders.submit = given

    def applied(self, machine, node_process):
        state = node_process.replicated_state.state
        self.safety_checker.record_committed_state(machine, state)
        revision = node_process.request_proxy.configuration.revision if node_process.request_proxy.configuration else 0
        if revision < machine.revision:
            raise InvariantError(f"{machine.name} goes back from r{machine.revision} to r{revision}")
        machine.revision = revision
        if machine.core_member and machine.core_member.is_leader and state.index not in self.founded:
            self.founded.add(state.index)
            self.counted(machine, state)

    def counted(self, machine, state):
        """What a leader calls in force lay on the disks of a majority, of no one that forgot."""
        held = {who for who, stamp in self.fleet.kept.items() if stamp >= state.position}
        if not state.has_quorum(held):
            raise InvariantError(f"{machine.name} calls {state.index} in force, which lay on {sorted(held)} alone")

    def ruled(self, machine, node_process):
        core_member = node_process.core.member
        if core_member is None:
            return
        if core_member.is_leader:
            if not machine.leads:
                self.safety_checker.record_leader(machine, core_member.term)
                self.fleet.count("leaders")
            at = core_member.quorum_confirmed_at
            if at is not None:
                self.safety_checker.check_leader_claim(machine, at - machine.offset)
        machine.leads = core_member.is_leader

    def check_confirmed_times(self):
        """The claim on which every lease rests: what was acknowledged before the word's time is held. Looked at often."""
        for machine in self.fleet.machines:
            if machine.up and (at := machine.node_process.disseminator.confirmed_at_ns) is not None:
                newest, state = (
                    self.safety_checker.newest_acknowledged(at - machine.offset),
                    machine.node_process.replicated_state.state,
                )
                if newest and (state is None or state.index < newest):
                    raise InvariantError(f"{machine.name} lacks {newest}, and its word is younger than that")

    # ---- requests

    def on_request_sent(self, request):
        self.asked.setdefault(request.service, []).append(self.fleet.now)

    def taken(self, machine, node_process, request):
        """A front has read it: by an older configuration than it must know?"""
        request.machine = machine
        configuration, fleet = node_process.request_proxy.configuration, self.fleet
        request.revision = configuration.revision if configuration else 0
        at = bisect_left(self.acknowledged, (request.sent - APPLY, 0))
        if at and configuration is not None and node_process.lease.is_valid(node_process.context.clock()):
            must = self.acknowledged[at - 1][1]
            if request.revision < must and self.touch(machine, request.sent):
                raise InvariantError(
                    f"CONFIG: {machine.name} goes by r{request.revision}, r{must} was acknowledged "
                    f"{(request.sent - self.acknowledged[at - 1][0]) / SEC:.2f} s before"
                )
        request.touch = self.touch(machine, request.sent)
        fleet.count("taken")

    def on_server_request(self, server, machine, job):
        """A request reaches its server, which has the id that it wants."""
        fleet, request, now = self.fleet, job.request, self.fleet.now
        request.arrivals += 1
        if request.arrivals > 1:
            self.repeated(server.service, now)
        if server.service != request.service:
            raise InvariantError(f"ROUTE: {request.tag} at {server.service}")
        if server.cold_until > now:
            server.arrivals.append((request.sent, now))
            many = sum(sent >= now - SEC for sent, _ in server.arrivals[-40:])
            self.near("cold", many / COLD_MOST)
            if many > COLD_MOST:
                raise InvariantError(f"FAILBACK: {server.uid} is cold, and gets {many} in a second")
        self.key(request, now)
        for acked, back in self.evacuations.get(server.zone, ()):
            if (
                acked is not None
                and (back is None or now < back)
                and now - acked > EMPTY_ZONE
                and self.touch(machine, now)
            ):
                raise InvariantError(
                    f"EVAC: {machine.name} sends to {server.uid} in {server.zone} {(now - acked) / SEC:.2f} s "
                    "behind the acknowledgement"
                )
        if server.leaving_at is not None:
            shown = server.leaving_at + fleet.platform.lag
            if now - shown > DRAIN and fleet.platform.trouble_at + IN_TOUCH < shown and self.touch(machine, shown):
                raise InvariantError(
                    f"DRAIN: {machine.name} sends to {server.uid} {(now - shown) / SEC:.2f} s behind the list"
                )

    def key(self, request, now):
        if request.key is None:
            return
        if request.tenant is None:
            raise InvariantError(f"ROUTE: a key that never was: {request.key}")
        if request.removed is not None:  # ordinal of the first configuration without it
            gone = self.gone_at(request.removed)
            if gone is not None and request.sent > gone + REVOKE:
                raise InvariantError(
                    f"CONFIG: {request.key} runs, {(request.sent - gone) / SEC:.2f} s behind its revocation, by "
                    f"{request.machine.name} of r{request.revision}"
                )

    def gone_at(self, ordinal):
        """When the first configuration of that ordinal or above was acknowledged."""
        return next((at for at, acked in self.acknowledged if acked >= ordinal), None)

    def repeated(self, service, now):
        again, asked = self.again.setdefault(service, deque()), self.asked.get(service, ())
        again.append(now)
        while again[0] < now - RETRY:
            again.popleft()

        def many(end):
            return bisect_left(asked, end) - bisect_left(asked, end - RETRY)

        most = RATIO * max(many(now + 1), many(now - RETRY // 2), many(now - RETRY)) + EXTRA
        self.near("repeats", len(again) / most)
        if len(again) > most:
            raise InvariantError(f"BUDGET: {len(again)} repeats at {service}, {most:.0f} are allowed")

    def on_execution(self, server, job):
        request, fleet = job.request, self.fleet
        request.runs += 1
        fleet.count("runs")
        if job.fields.get(b"customer", b"").decode() != (request.tenant or ""):
            raise InvariantError(f"UNASKED: {request.tag} of {request.tenant} runs for {job.fields.get(b'customer')}")
        if b"authorization" in job.fields:
            raise InvariantError("UNASKED: a key is passed on")
        if request.once and request.runs > 1:
            raise InvariantError(f"TWICE: {request.tag}")
        if request.once and request.status in PROMISES:
            raise InvariantError(f"REFUSED: {request.tag} was answered {request.status}, and runs")
        if request.runs == 1 and request.tenant in QUOTAS:
            ran, now = self.ran[request.tenant], fleet.now
            insort(ran, (now, request.sent))
            del ran[: bisect_left(ran, (now - 2 * WINDOW, 0))]
            per_s, burst = QUOTAS[request.tenant]
            most = (per_s * WINDOW / SEC + burst) * (1 + EXCESS) + SLACK
            many = sum(sent >= now - WINDOW for _, sent in ran)
            self.near("quota", many / most)
            if many > most:
                raise InvariantError(f"QUOTA: {many} of {request.tenant} in {WINDOW // SEC} s, {most:.0f} are allowed")

    def on_answer(self, request, status, body):
        if request.once and status in PROMISES and request.runs:
            raise InvariantError(f"REFUSED: {request.tag} has run, and is answered {status}")
        if status == 200 and body != request.tag.encode():
            raise InvariantError(f"MIXED: {request.tag} gets {body}")
        if status in (400, 401, 404) and request.proper and request.touch:
            raise InvariantError(f"DENIED: {request.tag} with {request.key} gets {status} from {request.machine.name}")

    # ---- orders

    def on_acknowledged(self, call, now):
        if call.kind == "config":
            if not self.acknowledged or call.body[0] > self.acknowledged[-1][1]:
                self.acknowledged.append((now, call.body[0]))
        elif call.kind == "empty":
            self.evacuations.setdefault(call.body, []).append((now, None))
        self.fleet.count("done " + call.kind)

    def on_restore_sent(self, zone):
        """The operator begins to take an evacuation back."""
        rows = self.evacuations.get(zone, [])
        self.evacuations[zone] = [(acked, back or self.fleet.now) for acked, back in rows]

    def check_acknowledgement_time(self, call, now):
        """An order must be acknowledged within AckWithin of a settled core."""
        settled = self.fleet.settled_since()
        if settled is not None and not self.fleet.cuts and call.verdict is None:
            since = max(settled + IN_TOUCH, call.sent, self.fleet.links_calm_at)
            if now - since > ACK:
                raise InvariantError(
                    f"no acknowledgement of {call.kind} {str(call.body)[:40]} in {(now - since) / SEC:.1f} s of a settled core"
                )
