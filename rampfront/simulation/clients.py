"""Clients in a run of the whole: they ask the directory, and go where it sends them, or straight to some front."""

import json

from .fleet import ZONES, Asked, Caller, Fleet, Machine

MS, SEC = 10**6, 10**9
PROBE, PRESSED = 100 * MS, 8 * MS  # between requests that go straight to some front, or to one of which much is asked
OF_A_VERSION, UNKNOWN_KEY, WORST_KEY = 0.2, 0.98, 0.7  # chances; the second one from above
OK = 200
TRIES = 3  # of a question to the directory, the first one near


class Request:
    """One try of a client. `once`: may not be repeated; `proper`: is to be served; `removed`: number of the first
    configuration that does not know its key any more, or None."""

    __slots__ = (
        "address",
        "arrivals",
        "fleet",
        "group",
        "key",
        "machine",
        "once",
        "path_seen",
        "proper",
        "removed",
        "revision",
        "runs",
        "sent",
        "service",
        "status",
        "tag",
        "tenant",
        "touch",
    )

    def __init__(self, fleet: Fleet, tag: str, key: str, tenant: str | None, service: str) -> None:
        """`tenant`: who holds the key, if anybody."""
        self.fleet, self.tag, self.sent, self.key, self.tenant = fleet, tag, fleet.now, key, tenant
        self.service, self.once, self.proper, self.removed = service, False, True, None
        self.status = self.machine = self.path_seen = None
        self.revision = self.arrivals = self.runs = 0
        self.touch = False
        self.group, self.address = None, ""

    def answered(self, data: bytes) -> None:
        """The answer has come, whole."""
        if self.status is None:
            head, _, body = data.partition(b"\r\n\r\n")
            self.status = int(head[9:12])
            self.fleet.rule_checker.on_answer(self, self.status, body)
            self.fleet.count(f"answer {self.status}")

    def failed(self, why: str) -> None:
        """No answer will come."""
        if self.status is None:
            self.status = 0
            self.group.failed[self.address] = self.fleet.now + 2 * SEC
            self.fleet.count("unanswered")


class Group:
    """Clients of a zone that share what the directory told them."""

    def __init__(self, zone: str, patience: int) -> None:
        """`patience`: lives of an answer for which it is used."""
        self.zone, self.patience = zone, patience
        self.addresses, self.until, self.asking, self.failed = [], 0, False, {}


class Clients:
    """Needs the `fleet`, `chance`, `rule_checker`, `groups`, `rates`, `revs` and `tags` of a run."""

    def ask_on(self, tenant: str) -> None:
        """A request of a tenant, and when its next one comes."""
        self.ask(tenant)
        self.fleet.at(self.fleet.now + int(self.chance.expovariate(self.rates[tenant]) * SEC), self.ask_on, tenant)

    def probe(self) -> None:
        """Now and then one goes straight to a front, whatever the directory says, with a key of some version."""
        self.ask("ann", self.chance.choice(self.fleet.machines))
        self.fleet.at(self.fleet.now + PROBE, self.probe)

    def press(self, who: int, ms: int) -> None:
        """Requests go straight to one machine, one behind the other, for so long."""
        self.press_on(self.pick(who), self.fleet.now + ms * MS)

    def press_on(self, machine: Machine, until: int) -> None:
        """The next one."""
        if self.fleet.now < until:
            self.ask("ann", machine)
            self.fleet.at(self.fleet.now + PRESSED, self.press_on, machine, until)

    def ask(self, tenant: str, straight: Machine | None = None) -> None:
        """A request by way of the directory, or to a front that is given."""
        fleet, chance = self.fleet, self.chance
        group = chance.choice(self.groups)
        if fleet.now >= group.until and not group.asking:
            self.learn(group, TRIES)
        some = [a for a in group.addresses if group.failed.get(a, 0) <= fleet.now] or group.addresses
        if not some and not straight:
            return
        key, removed, proper, dice = f"{tenant}-key", None, True, chance.random()
        if tenant == "ann" and (dice < OF_A_VERSION or straight) and self.revs:
            # A key of a version, perhaps one of long ago.
            at = max(0, len(self.revs) - 1 - chance.randrange(5))
            if straight and straight.revision and chance.random() < WORST_KEY:
                at = self.revs.index(straight.revision)  # the worst one: what that front still knows
            key, proper = f"ann-{self.revs[at]}", False
            removed = self.revs[at + 2] if at + 2 < len(self.revs) else None
        elif dice > UNKNOWN_KEY:
            key, tenant, proper = "nobody", None, False
        kind = chance.choice(("one", "one", "two", "put")) if tenant != "hot" else "one"
        self.tags += 1
        tag = f"t{self.tags}"
        request = fleet.requests[tag] = Request(fleet, tag, key, tenant, "two" if kind == "two" else "one")
        request.once, request.proper, request.removed = kind == "put", proper, removed
        request.group, request.address = group, f"{straight.ip}:80" if straight else chance.choice(some)
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
        caller = Caller(fleet, machine, f"c:{group.zone}", request)
        fleet.flow(caller.pair, caller, caller.arrive, data)
        fleet.at(fleet.now + 3 * SEC, self.give_up, caller)

    @staticmethod
    def give_up(caller: Caller) -> None:
        """A client waits no longer."""
        caller.request.failed("no answer")
        caller.left()

    def learn(self, group: "Group", tries: int) -> None:
        """Asks the directory, near nodes first, each for a second at most."""
        fleet, chance = self.fleet, self.chance
        group.asking = True
        if not tries:
            group.asking = False
            group.until = fleet.now + 200 * MS
            return
        near = [m for m in fleet.machines if m.zone == group.zone]
        machine = chance.choice(near if tries == TRIES else fleet.machines)
        pair = f"c:{group.zone}", machine.ip
        if fleet.cut(pair) or fleet.cut(pair[::-1]) or machine.frozen:
            fleet.at(fleet.now + SEC, self.learn, group, tries - 1)
        else:
            fleet.at(fleet.now + 2 * fleet.way(*pair), self.directory_answered, group, tries, machine)

    def directory_answered(self, group: "Group", tries: int, machine: Machine) -> None:
        """What a node says of the fronts that are ready."""
        is_there = machine.up and not machine.frozen
        said = machine.directory.lookup(Asked({"Zone": group.zone, "Region": ZONES[group.zone]})) if is_there else None
        if said is None or said.status != OK:
            self.learn(group, tries - 1)
            return
        told = json.loads(said.body)
        group.addresses, group.asking = told["Addresses"], False
        group.until = self.fleet.now + 2 * SEC * group.patience
        group.failed = {a: until for a, until in group.failed.items() if until > self.fleet.now}

    def surge(self, tenant: str, ms: int) -> None:
        """A tenant sends many times its usual."""
        more = {"low": 20, "ann": 70}.get(tenant, 55)
        self.rates[tenant] += more
        self.fleet.at(self.fleet.now, self.ask_on_for, tenant, self.fleet.now + ms * MS, more)

    def ask_on_for(self, tenant: str, until: int, rate: float) -> None:
        """A surge beside the usual load."""
        if self.fleet.now >= until:
            self.rates[tenant] -= rate
            return
        self.ask(tenant)
        self.fleet.at(self.fleet.now + int(self.chance.expovariate(rate) * SEC), self.ask_on_for, tenant, until, rate)
