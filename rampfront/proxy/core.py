"""A request's way: its route, its tenant, its service; handed to the node that picks servers; its one answer handed back.

It owns the snapshots that decide on the way (chart, servers, evacuations) and one `choice.Node` for each service. It must
never choose a server (`choice.py` does) nor refuse for a quota by itself (`limiter` does). Every own answer is worded here:

    404, 401   no such route, no such key     400  no Try-Id
    429        beyond the tenant's quota: has not run        503  not run, and never will: come back in Retry-After
    502, 504   it may have run, or not
"""

from .. import terms as t
from ..choice import Line
from ..membership.health_reporter import HealthReporter
from ..membership.server_health import HEALTHY
from ..net.core import Exchange, Unfit
from ..net.desk import Desk
from ..net.latency_histogram import LatencyHistogram
from . import routing
from .forwarding import HOP, ConnectionPool

MS, SEC = 10**6, 10**9
KINDS = {"read_only": t.INQUIRY, "changing": t.ONCE_ONLY, "upload": t.ONCE_ONLY}
STATES = {"ready": t.UP, "emptying": t.DRAINING}
DROPPED = HOP | {b"authorization", b"customer", b"wanted-server", b"time-left-ms", b"expect", b"content-length"}
KEPT = frozenset((b"host", b"try-id"))  # whatever a client's Connection says
NO_TIME = 60 * SEC  # a request that tells no time left is given this much


class ProxiedRequest(Exchange):
    """One request on its way."""

    __slots__ = ("service_pool", "tenant", "came", "due", "answer", "risky", "once")

    def __init__(self, client, tag, head, body, line, service_pool, tenant, came, due):
        super().__init__(client, tag, head, body, line, "all")
        self.service_pool, self.tenant, self.came, self.due, self.answer = service_pool, tenant, came, due, None
        self.risky = False  # whether a server may have run it
        self.once = False  # whether it may run only once


class ServicePool:
    """One service: its node, its servers' connections, the lines of what may be asked of it."""

    def __init__(self, request_proxy, name, health):
        self.name, self.lines = name, {}  # lines: (kind, target) to the index of the node's line
        plan = t.Plan(0.0, 0.0, 0, 0.0, 0.0, 0.0, 0.0)
        terms = routing.terms(request_proxy.process_settings, [], [plan], request_proxy.nodes)
        self.desk = Desk(
            request_proxy.loop,
            request_proxy.clock,
            terms,
            request_proxy.draw.getrandbits(63),
            (request_proxy.bounds.reminder_slack_ns, request_proxy.bounds.reminder_slack_divisor),
            request_proxy.log,
        )
        self.desk.core = request_proxy
        self.desk.upstream = self.connection_pool = ConnectionPool(
            request_proxy.loop,
            self.desk,
            request_proxy.bounds,
            health,
            request_proxy.log,
            self.loaded,
            self.gone,
            request_proxy.health_reporter,
            request_proxy.answers,
        )
        self.desk.begin()
        self.desk.node.spare = min(1.0, self.desk.node.spare)  # a start has earned next to no further tries yet
        self.listed = {}  # id to what was told of it last

    def line(self, route):
        """The index of the node's line for this kind and target. Few, as routes are made in kinds."""
        key = route.kind, route.target
        index = self.lines.get(key)
        if index is None:
            index = self.lines[key] = len(self.desk.node.lines)
            self.desk.node.lines.append(Line(routing.product(KINDS[route.kind], route.target)))
            self.desk.once_only.append(False)
        return index

    def loaded(self, index, running, waiting, slots):
        self.desk.tell(t.Probed(index, t.DONE, 0, {"running": running, "waiting": waiting, "slots": slots}))

    def seen(self, uid, well):
        """The fleet's sightings say so of a server; of another service's, nothing is known here."""
        index = self.desk.books.servers.of.get(uid)
        if index is not None:
            self.desk.tell(t.Probed(index, t.DONE if well else t.UNREACHED, 0, {}))

    def gone(self, uid):
        """Another has its address: it gets nothing more, until the list has something new to tell of it."""
        if row := self.listed.get(uid):
            self.desk.listed(False, [(uid, t.DRAINING, *row[1:])])

    def update(self, rows):
        """`rows`: id to (state, zone index, cell, weight, came up, address, near): what stands from now on."""
        told = [(uid, t.REMOVED, 0, 0, 1.0, 0, None) for uid in self.listed if uid not in rows]
        told += [(uid, *row) for uid, row in rows.items() if self.listed.get(uid) != row]
        self.listed = rows
        if told:
            self.desk.listed(False, told)


class RequestProxy:
    """`limiter`: the tenants' verdict; `fresh(now)`: whether the core's word is young enough to let keys act."""

    def __init__(self, loop, clock, process_settings, bounds, draw, limiter, fresh, log):
        self.loop, self.clock, self.process_settings, self.bounds, self.draw, self.log = (
            loop,
            clock,
            process_settings,
            bounds,
            draw,
            log,
        )
        self.limiter, self.fresh, self.counts = limiter, fresh, log.counts
        self.configuration, self.servers, self.emptied = None, None, frozenset()
        self.cold_zones = {}  # zones taken back lately: until when their servers are held to be cold
        self.health_reporter = HealthReporter()
        self.requests, self.answers = LatencyHistogram(), LatencyHistogram()  # requests here, and servers' answers
        self.service_pools = {}  # by service, of all charts so far: a service that comes back finds its own
        self.nodes = 1
        self.took = lambda: None  # behind each request that the tide was asked of: it may have something to tell
        self.zones = {zone: index for index, zone in enumerate(sorted(process_settings.zones))}
        self.regions = {}
        for zone, region in process_settings.zones.items():
            self.regions.setdefault(region, set()).add(self.zones[zone])
        self.within = {}  # homes to the zones that they leave; a handful
        # what `net/front.py` asks of its core
        self.storm, self.products, self.outcomes, self.desk = None, {}, [], self

    # ---- snapshots in

    def charted(self, configuration):
        self.configuration = configuration
        self.within = {}
        self.ranks = routing.ranks(configuration)
        self.limiter.set_quotas(configuration.named, self.clock())
        self.lay()

    def counted(self, nodes):
        if nodes != self.nodes:
            self.nodes = nodes
            self.limiter.set_proxy_count(nodes)
            self.share()

    def share(self):
        if self.configuration is None:
            return
        for name, service_pool in self.service_pools.items():
            if service := self.configuration.services.get(name):
                routing.share(service_pool.desk.node, self.process_settings, self.nodes, service)

    def listed(self, servers):
        self.servers = servers
        self.lay()

    def sighted(self, rows):
        """Servers that the fleet found dark, ill, or well again."""
        for uid, state in self.health_reporter.accept_verdicts(rows, self.clock()):
            for service_pool in self.service_pools.values():
                service_pool.seen(uid, state == HEALTHY)

    def zoned(self, emptied):
        now = self.clock()
        for zone in self.emptied - emptied:
            self.cold_zones[zone] = now
        self.emptied = emptied
        self.lay()

    def lay(self):
        """Every node's servers, from the chart, the list and the evacuations together: one place that says what may be sent to."""
        configuration, servers = self.configuration, self.servers
        if configuration is None or servers is None:
            return
        now = self.clock()
        listed, rows = {name: [] for name in configuration.services}, {}
        for row in servers.endpoints:
            if row.service in listed and row.zone in self.zones:
                listed[row.service].append(row)
        for name, some in listed.items():
            near, rows[name] = routing.nearness(some, self.process_settings), {}
            for row in some:
                state = t.DRAINING if row.zone in self.emptied else STATES.get(row.state, t.DRAINING)
                born = routing.born(row, configuration.services[name], self.cold_zones.get(row.zone), now)
                rows[name][row.id] = (state, self.zones[row.zone], 0, 1.0, born, (row.host, row.port), near[row.id])
        for name, service in configuration.services.items():
            if name not in self.service_pools:
                self.service_pools[name] = ServicePool(self, name, service.health_path)
        self.share()
        for name, service_pool in self.service_pools.items():
            service_pool.update(rows.get(name, {}))

    def ready(self):
        return (
            self.configuration is not None
            and self.fresh(self.clock())
            and any(service_pool.connection_pool.any_up() for service_pool in self.service_pools.values())
        )

    # ---- requests in

    def take(self, client, method, url, host, path, fields, said, body):
        now, configuration = self.clock(), self.configuration
        if configuration is None or not self.fresh(now):
            # Guards revocations and routes: who does not know what is in force lets nothing run, and promises so.
            self.counts["no_word"] += 1
            return client.own(503, b"no configuration yet", 300 * MS)
        tag = said.get(b"try-id")
        if not tag or len(tag) > 256:
            raise Unfit(400, "Try-Id is missing or too long")
        route = configuration.route(host, path)
        if route is None:
            self.counts["unknown_route"] += 1
            return client.own(404, b"no such route")
        tenant = None
        if configuration.keyed:
            tenant = self.tenant(configuration, said.get(b"authorization"))
            if tenant is None and not route.public:
                self.counts["unknown_key"] += 1
                return client.own(401, b"no such key")
        left = said.get(b"time-left-ms", b"")
        left = int(left) * MS if left.isdigit() and len(left) < 10 else NO_TIME
        left = min(left, route.give_up) if route.give_up else left
        left -= self.bounds.answer_margin_ns
        service_pool = self.service_pools.get(routing.service(route.shares, self.draw))
        if left <= 0 or service_pool is None or not service_pool.connection_pool.any_up():
            self.counts["no_server"] += 1
            return client.own(503, b"no server", 500 * MS)
        back_in = self.limiter.take(tenant.name, now) if tenant else None
        if tenant:
            self.took()
        if back_in is not None:
            self.counts["over_quota"] += 1
            return client.own(429, b"beyond the quota", back_in)
        head = [b"%s %s HTTP/1.1\r\n" % (method, url)]
        dropped = DROPPED
        if b"connection" in said:
            dropped = dropped | {part.strip().lower() for part in said[b"connection"].split(b",")} - KEPT
        head += [b"%s: %s\r\n" % field for field in fields if field[0].lower() not in dropped]
        if tenant:
            head.append(b"Customer: %s\r\n" % tenant.name.encode())
        if body or method not in (b"GET", b"HEAD"):
            head.append(b"Content-Length: %d\r\n" % len(body))
        passage = ProxiedRequest(
            client, tag, b"".join(head), body, service_pool.line(route), service_pool, tenant, now, now + left
        )
        passage.once = route.kind != "read_only"
        if any(passage in pool.desk.books.txns.of for pool in self.service_pools.values()):
            # Guards against a second run of a try whose first one is out, be it at another service of a route in shares.
            if tenant:
                self.limiter.refund(tenant.name, now)
            raise Unfit(409, "its Try-Id is open")
        client.taken(passage)
        service_pool.desk.arrived(
            passage,
            passage.product,
            0,
            "all",
            1,
            left,
            1,
            self.homes(route, tenant),
            route.tries,
            routing.pull(len(body)),
            self.ranks(route.priority, tenant and tenant.priority),
        )

    @staticmethod
    def tenant(configuration, said):
        scheme, _, key = (said or b"").partition(b" ")
        return configuration.customer(key.strip()) if scheme.lower() == b"bearer" else None

    def homes(self, route, tenant):
        """The zones whose servers may get it, or None for all. Where route and tenant both have homes, each binds."""
        homes = route.homes, tenant.homes if tenant else frozenset()
        if not homes[0] and not homes[1]:
            return None
        found = self.within.get(homes)
        if found is None:
            found = set(self.zones.values())
            for some in homes:
                if some:
                    found &= set().union(*(self.regions.get(region, ()) for region in some))
            found = self.within[homes] = frozenset(found)
        return found

    def left(self, passage):
        passage.service_pool.desk.left(passage)

    # ---- answers out; `desk` calls these

    def settle(self, passage, answer, relay=None):
        self.counts["settled"] += 1
        if client := self.over(passage):
            client.passed(answer)

    def decline(self, passage, back_in):
        """No server has run it, or it may run again: then there is nothing to promise."""
        if passage.risky:
            return self.void(passage)
        self.counts["declined"] += 1
        client = self.over(passage)
        if passage.tenant:
            self.limiter.refund(passage.tenant.name, self.clock())
        if client:
            client.own(503, b"no room", back_in or 200 * MS)

    def void(self, passage):
        self.counts["voided"] += 1
        if client := self.over(passage):
            if passage.answer:
                client.passed(passage.answer)
            elif self.clock() >= passage.due - 3 * MS:  # as near as the node's own margin lets one wait
                client.own(504, b"no answer in time")
            else:
                client.own(502, b"it may have run")

    def over(self, passage):
        client, passage.client = passage.client, None
        if client:
            self.requests.record(self.clock() - passage.came)
        return client
