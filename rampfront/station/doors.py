"""The system's own addresses: the directory, the platform's question whether a front is ready, and the operators' calls.

Calls are declared beside their handlers (house style). A call decides nothing: it asks the snapshots or gives an order.
Source of names and bodies: PROTOCOL.md, "How clients arrive" and "The operator".
"""

import zlib

from ..chart import chart as charts
from ..lighthouse import terms as lt
from ..net.calls import Answer, Calls, call, said, trouble
from .metrics import Metrics
from .views import Views

MS, SEC = 10 ** 6, 10 ** 9
TTL = 2 * SEC  # what a client may hold an answer for
ADDRESSES = 64  # in an answer
SPARES, TIMES = 2, 16  # others of its region beside them; and how often each of its zone is named then
FEW = 2  # fronts of its own zone that a client is given at least, else those of its region join them
BACK = ((b"Retry-After", b"0.3"),)


class Ready:
    def __init__(self, station):
        self.station = station

    @call("GET", "/api/ready")
    def ready(self, asked):
        return Answer(200) if self.station.lookout.ready and self.station.gate.ready() else trouble(503, "not ready")


class Directory:
    def __init__(self, station):
        self.station = station
        self.ttl = min(TTL, station.papers.terms.ttl_max)

    @call("GET", "/api/lookup")
    def lookup(self, asked):
        """The ready fronts, near ones alone as long as there are some: bytes between zones and regions are dear."""
        station, zones = self.station, self.station.papers.zones
        rows = [row for row in station.lookout.roster if row[3] and row[4]]
        if not rows:
            return trouble(503, "no front is known to be ready", BACK)
        zone, region = asked.query.get("Zone"), asked.query.get("Region")
        near = [row[3] for row in rows if row[2] == zone]
        rest = [row[3] for row in rows if row[2] != zone and zones.get(row[2]) == region]
        if len(near) < FEW:
            near, rest = near + rest or [row[3] for row in rows], []
        if len(near) > ADDRESSES - SPARES:
            near = station.draw.sample(near, ADDRESSES - SPARES)
        # Guards clients against the loss of their zone until they hear of it: a few of the region's others are named too,
        # so rarely that hardly any is used while the zone stands, since clients choose by chance.
        near = near * min(TIMES, (ADDRESSES - SPARES) // len(near)) + rest[:SPARES] if rest else near
        return said({"Addresses": near, "Ttl": f"{self.ttl // MS}ms"})


class Control:
    def __init__(self, station):
        self.station, self.zones = station, station.papers.zones

    @call("POST", "/api/rpc", call="config.replace", body=32 << 20)
    def replace(self, asked):
        found = charts.read(asked.body)
        if found.is_err():
            self.station.counts["orders_refused"] += 1
            return trouble(400, str(found.err_value))
        self.order(asked, lt.CONFIG, (found.ok_value.revision, zlib.compress(asked.body)))

    @call("POST", "/api/rpc", call="config.read")
    def read(self, asked):
        def done(verdict, state):
            if verdict != lt.DONE:
                asked.answer(503, b'{"Message":"the core gave no answer in time"}', BACK)
            elif not state.rev:
                asked.answer(404, b'{"Message":"no configuration yet"}')
            else:
                asked.answer(200, zlib.decompress(state.body))
        self.station.orders.give(lt.READ, None, done)

    @call("POST", "/api/rpc", call="empty.start")
    def empty(self, asked):
        return self.zone(asked, lt.EMPTY)

    @call("POST", "/api/rpc", call="empty.finish")
    def fill(self, asked):
        return self.zone(asked, lt.FILL)

    def zone(self, asked, kind):
        zone = asked.query.get("of")
        if zone not in self.zones:
            return trouble(400, "of: no such zone")
        self.order(asked, kind, zone)

    def order(self, asked, kind, body):
        def done(verdict, state):
            if verdict == lt.DONE:
                asked.answer(200, b"{}")
            else:
                asked.answer(503, b'{"Message":"the core gave no answer in time"}', BACK)
        self.station.orders.give(kind, body, done)


async def listen(station):
    """Opens what the settings name; returns the listeners. Handlers of one address share it."""
    papers, at = station.papers, {}
    for place, handler in ((papers.ready, Ready), (papers.directory, Directory), (papers.control, Control),
                           (papers.control, Views), (papers.control, Metrics)):
        if place:
            at.setdefault(place, []).append(handler(station))
    made = []
    for place, handlers in at.items():
        calls = Calls(station.loop, station.clock, handlers, on_fault=station.fault)
        await calls.listen(*place)
        made.append(calls)
    return made
