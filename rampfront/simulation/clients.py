"""Clients of the simulated system: they look up fronts in the directory and send requests to them, or send requests
directly to a front without a lookup."""

import json

from .fleet import ZONES, ApiCall, ClientConnection, Fleet, Machine

MS, SEC = 10**6, 10**9
# Intervals between requests that are sent directly to fronts: in the background, and in a burst to one of them.
PROBE_INTERVAL, BURST_INTERVAL = 100 * MS, 8 * MS
# Probabilities of a key of some version and of a key that a front still holds; draws above UNKNOWN_KEY_ABOVE use no
# tenant's key.
VERSION_KEY_CHANCE, UNKNOWN_KEY_ABOVE, HELD_KEY_CHANCE = 0.2, 0.98, 0.7
OK = 200
DIRECTORY_TRIES = 3  # for each lookup; the first one goes to a node of the same zone


class Request:
    """One attempt of a client's request.

    `non_repeatable`: the system may not repeat it; `must_succeed`: it has to be served; `removed`: number of the first
    configuration that no longer contains its key, or None.
    """

    __slots__ = (
        "address",
        "arrivals",
        "fleet",
        "group",
        "key",
        "machine",
        "non_repeatable",
        "received_path",
        "must_succeed",
        "removed",
        "revision",
        "runs",
        "sent",
        "service",
        "status",
        "tag",
        "tenant",
        "was_in_touch",
    )

    def __init__(self, fleet: Fleet, tag: str, key: str, tenant: str | None, service: str) -> None:
        """`tenant`: the tenant that holds the key, or None if no tenant does."""
        self.fleet, self.tag, self.sent, self.key, self.tenant = fleet, tag, fleet.now, key, tenant
        self.service, self.non_repeatable, self.must_succeed, self.removed = service, False, True, None
        self.status = self.machine = self.received_path = None
        self.revision = self.arrivals = self.runs = 0
        self.was_in_touch = False
        self.group, self.address = None, ""

    def answered(self, data: bytes) -> None:
        """Takes the whole response and has it checked."""
        if self.status is None:
            head, _, body = data.partition(b"\r\n\r\n")
            self.status = int(head[9:12])
            self.fleet.rule_checker.on_answer(self, self.status, body)
            self.fleet.count(f"answer {self.status}")

    def failed(self, why: str) -> None:
        """Notes that no response will arrive; clients of the group avoid the address for 2 s."""
        if self.status is None:
            self.status = 0
            self.group.failed_until[self.address] = self.fleet.now + 2 * SEC
            self.fleet.count("unanswered")


class ClientGroup:
    """Clients of one zone that share the directory's last answer."""

    def __init__(self, zone: str, lifetimes: int) -> None:
        """`lifetimes`: for how many lifetimes of a directory answer the group uses it; above 1 its clients hold on to
        old answers."""
        self.zone, self.lifetimes = zone, lifetimes
        self.addresses, self.valid_until, self.is_querying, self.failed_until = [], 0, False, {}


class Clients:
    """The client part of a run. Needs the run's `fleet`, `rng`, `rule_checker`, `groups`, `rates`, `revisions` and
    `request_count`."""

    def send_continuously(self, tenant: str) -> None:
        """Sends a request of a tenant and schedules the next one, at the tenant's rate."""
        self.send_request(tenant)
        self.fleet.at(
            self.fleet.now + int(self.rng.expovariate(self.rates[tenant]) * SEC), self.send_continuously, tenant
        )

    def probe(self) -> None:
        """Regularly sends a request directly to a front, with a key of some configuration version, without asking the
        directory."""
        self.send_request("ann", self.rng.choice(self.fleet.machines))
        self.fleet.at(self.fleet.now + PROBE_INTERVAL, self.probe)

    def send_burst(self, target: int, ms: int) -> None:
        """Sends requests directly to one machine, one every BURST_INTERVAL, for `ms` ms."""
        self.continue_burst(self.pick(target), self.fleet.now + ms * MS)

    def continue_burst(self, machine: Machine, until: int) -> None:
        """Sends the next request of a burst."""
        if self.fleet.now < until:
            self.send_request("ann", machine)
            self.fleet.at(self.fleet.now + BURST_INTERVAL, self.continue_burst, machine, until)

    def send_request(self, tenant: str, front: Machine | None = None) -> None:
        """Sends a request to a front that the directory named, or directly to `front`."""
        fleet, rng = self.fleet, self.rng
        group = rng.choice(self.groups)
        if fleet.now >= group.valid_until and not group.is_querying:
            self.query_directory(group, DIRECTORY_TRIES)
        candidates = [a for a in group.addresses if group.failed_until.get(a, 0) <= fleet.now] or group.addresses
        if not candidates and not front:
            return
        key, removed, must_succeed, draw = f"{tenant}-key", None, True, rng.random()
        if tenant == "ann" and (draw < VERSION_KEY_CHANCE or front) and self.revisions:
            # The key of one of the last five versions.
            at = max(0, len(self.revisions) - 1 - rng.randrange(5))
            if front and front.revision and rng.random() < HELD_KEY_CHANCE:
                at = self.revisions.index(front.revision)  # the key most likely to be served after its revocation
            key, must_succeed = f"ann-{self.revisions[at]}", False
            removed = self.revisions[at + 2] if at + 2 < len(self.revisions) else None
        elif draw > UNKNOWN_KEY_ABOVE:
            key, tenant, must_succeed = "nobody", None, False
        kind = rng.choice(("one", "one", "two", "put")) if tenant != "hot" else "one"
        self.request_count += 1
        tag = f"t{self.request_count}"
        request = fleet.requests[tag] = Request(fleet, tag, key, tenant, "two" if kind == "two" else "one")
        request.non_repeatable, request.must_succeed, request.removed = kind == "put", must_succeed, removed
        request.group, request.address = group, f"{front.ip}:80" if front else rng.choice(candidates)
        machine = fleet.by_ip[request.address.partition(":")[0]]
        body = b"x" * 20 if kind == "put" else b""
        data = (
            b"%s /%s/%s HTTP/1.1\r\nHost: h.example\r\nTry-Id: %s\r\nTime-Left-Ms: 3000\r\nAuthorization: Bearer %s\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n%s"
            % (
                b"POST" if kind == "put" else b"GET",
                kind.encode(),
                tag.encode(),
                tag.encode(),
                key.encode(),
                len(body),
                body,
            )
        )
        self.rule_checker.on_request_sent(request)
        connection = ClientConnection(fleet, machine, f"c:{group.zone}", request)
        fleet.transmit_bytes(connection.forward_path, connection, connection.reach_machine, data)
        fleet.at(fleet.now + 3 * SEC, self.time_out, connection)

    @staticmethod
    def time_out(connection: ClientConnection) -> None:
        """Ends a request that got no response in time."""
        connection.request.failed("no answer")
        connection.close_by_client()

    def query_directory(self, group: "ClientGroup", tries: int) -> None:
        """Asks a node for the list of fronts: one of the group's zone first, then any; each for at most one second."""
        fleet, rng = self.fleet, self.rng
        group.is_querying = True
        if not tries:
            group.is_querying = False
            group.valid_until = fleet.now + 200 * MS
            return
        nearby = [m for m in fleet.machines if m.zone == group.zone]
        machine = rng.choice(nearby if tries == DIRECTORY_TRIES else fleet.machines)
        pair = f"c:{group.zone}", machine.ip
        if fleet.is_cut(pair) or fleet.is_cut(pair[::-1]) or machine.frozen:
            fleet.at(fleet.now + SEC, self.query_directory, group, tries - 1)
        else:
            fleet.at(fleet.now + 2 * fleet.draw_latency(*pair), self.directory_answered, group, tries, machine)

    def directory_answered(self, group: "ClientGroup", tries: int, machine: Machine) -> None:
        """Takes a node's list of ready fronts, or asks another node if it gave none."""
        is_there = machine.up and not machine.frozen
        answer = (
            machine.directory.lookup(ApiCall({"Zone": group.zone, "Region": ZONES[group.zone]})) if is_there else None
        )
        if answer is None or answer.status != OK:
            self.query_directory(group, tries - 1)
            return
        body = json.loads(answer.body)
        group.addresses, group.is_querying = body["Addresses"], False
        group.valid_until = self.fleet.now + 2 * SEC * group.lifetimes
        group.failed_until = {a: until for a, until in group.failed_until.items() if until > self.fleet.now}

    def surge(self, tenant: str, ms: int) -> None:
        """Raises a tenant's request rate to many times its usual one for `ms` ms."""
        extra_rate = {"low": 20, "ann": 70}.get(tenant, 55)
        self.rates[tenant] += extra_rate
        self.fleet.at(self.fleet.now, self.continue_surge, tenant, self.fleet.now + ms * MS, extra_rate)

    def continue_surge(self, tenant: str, until: int, rate: float) -> None:
        """Sends the next request of a surge, beside the usual load."""
        if self.fleet.now >= until:
            self.rates[tenant] -= rate
            return
        self.send_request(tenant)
        self.fleet.at(self.fleet.now + int(self.rng.expovariate(rate) * SEC), self.continue_surge, tenant, until, rate)
