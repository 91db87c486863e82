"""The system's own addresses: the directory, the platform's question whether a front is ready, and the operators' calls.

Calls are declared beside their handlers (house style). A call decides nothing: it asks the snapshots or gives an order.
Source of names and bodies: PROTOCOL.md, "How clients arrive" and "The operator".
"""

import zlib

from ..consensus.events import OrderKind, Outcome
from ..consensus.state import MOST_BODY, State
from ..consensus.versions import content_digest
from ..net.http_messages import IncomingRequest, Response, error_response, json_response
from ..net.http_routing import endpoint
from ..net.http_server import HttpServer
from ..settings import configuration as configurations
from .metrics import Metrics
from .status_views import Views, evacuation

MS, SEC = 10**6, 10**9
TTL = 2 * SEC  # what a client may hold an answer for
ADDRESSES = 64  # in an answer
SPARES, TIMES = 2, 16  # others of its region beside them; and how often each of its zone is named then
FEW = 2  # fronts of its own zone that a client is given at least, else those of its region join them
MOST_PACKED = MOST_BODY - (64 << 10)  # bytes of a compressed configuration: a frame must hold what goes beside it too
BACK = ((b"Retry-After", b"0.3"),)
NO_ANSWER = error_response(503, "the core gave no answer in time", BACK)


class Ready:
    def __init__(self, node_process):
        self.node_process = node_process

    @endpoint("GET", "/api/ready")
    def ready(self, asked):
        return (
            Response(200)
            if self.node_process.disseminator.ready and self.node_process.client_front.ready()
            else error_response(503, "not ready")
        )


class Directory:
    def __init__(self, node_process):
        self.node_process = node_process
        self.ttl = min(TTL, node_process.process_settings.terms.ttl_max)

    @endpoint("GET", "/api/lookup")
    def lookup(self, asked):
        """The ready fronts, near ones alone as long as there are some: bytes between zones and regions are dear."""
        node_process, zones = self.node_process, self.node_process.process_settings.zones
        rows = [entry for entry in node_process.disseminator.roster if entry.front and entry.ready]
        if not rows:
            return error_response(503, "no front is known to be ready", BACK)
        zone, region = asked.query.get("Zone"), asked.query.get("Region")
        near = [row[3] for row in rows if row[2] == zone]
        rest = [row[3] for row in rows if row[2] != zone and zones.get(row[2]) == region]
        if len(near) < FEW:
            near, rest = near + rest or [row[3] for row in rows], []
        if len(near) > ADDRESSES - SPARES:
            near = node_process.draw.sample(near, ADDRESSES - SPARES)
        # Guards clients against the loss of their zone until they hear of it: a few of the region's others are named too,
        # so rarely that hardly any is used while the zone stands, since clients choose by chance.
        near = near * min(TIMES, (ADDRESSES - SPARES) // len(near)) + rest[:SPARES] if rest else near
        return json_response({"Addresses": near, "Ttl": f"{self.ttl // MS}ms"})


class Control:
    def __init__(self, node_process):
        self.node_process = node_process

    @endpoint("POST", "/api/rpc", operation="config.replace", max_body_bytes=32 << 20)
    def replace(self, asked):
        found = configurations.read(asked.body)
        if found.is_err():
            self.node_process.counts["orders_refused"] += 1
            return json_response({"Message": str(found.err_value), "Field": found.err_value.field}, 400)
        revision, body = found.ok_value.revision, zlib.compress(asked.body)
        if len(body) > MOST_PACKED:
            message = f"the body is {len(body)} bytes when compressed, {MOST_PACKED} are taken"
            return json_response({"Message": message, "Field": ""}, 413)

        def done(verdict: str | None, state: State | None) -> None:
            if verdict == Outcome.DONE:
                reply(asked, json_response({"Revision": f"r{revision}", "Holds": f"r{state.revision}"}))
            elif verdict == Outcome.CONFLICT:
                self.node_process.counts["orders_refused"] += 1
                reply(asked, conflict(revision, body, state))
            else:
                reply(asked, NO_ANSWER)

        self.node_process.orders.give(OrderKind.CONFIGURE, (revision, body), done)

    @endpoint("POST", "/api/rpc", operation="config.read")
    def read(self, asked):
        def done(verdict, state):
            if verdict != Outcome.DONE:
                reply(asked, NO_ANSWER)
            elif not state.revision:
                asked.respond(404, b'{"Message":"no configuration yet"}')
            else:
                asked.respond(200, zlib.decompress(state.body))

        self.node_process.orders.give(OrderKind.READ, None, done)

    @endpoint("POST", "/api/rpc", operation="empty.start")
    def empty(self, asked):
        return self.zone(asked, OrderKind.EVACUATE)

    @endpoint("POST", "/api/rpc", operation="empty.finish")
    def fill(self, asked):
        return self.zone(asked, OrderKind.RESTORE)

    def zone(self, asked, kind):
        zone = asked.query.get("of")
        if zone is None:
            return json_response({"Message": "of: missing in the query", "Field": "of"}, 400)
        if zone not in self.node_process.process_settings.zones:
            return json_response({"Message": f"of: {zone[:64]!r} is no zone", "Field": "of"}, 400)

        def done(verdict: str | None, state: State | None) -> None:
            reply(asked, json_response(evacuation(zone, state)) if verdict == Outcome.DONE else NO_ANSWER)

        self.node_process.orders.give(kind, zone, done)


def reply(asked: IncomingRequest, answer: Response) -> bool:
    """Answers a call that was kept waiting; True if this was the answer that its caller gets."""
    return asked.respond(answer.status, answer.body, answer.headers)


def conflict(revision: int, body: bytes, state: State) -> Response:
    """The refusal of a configuration whose number stands for another content."""
    way = f"raise Revision above r{state.revision}"
    told = {
        "Message": f"Revision: r{revision} was confirmed with another content, and r{state.revision} holds; {way}",
        "Field": "Revision",
        "Sent": {"Revision": f"r{revision}", "Digest": content_digest(body).hex()},
        "Holds": {"Revision": f"r{state.revision}", "Digest": content_digest(state.body).hex()},
    }
    return json_response(told, 409)


async def listen(node_process):
    """Opens what the settings name; returns the listeners. Handlers of one address share it."""
    process_settings, at = node_process.process_settings, {}
    for place, handler in (
        (process_settings.ready, Ready),
        (process_settings.directory, Directory),
        (process_settings.control, Control),
        (process_settings.control, Views),
        (process_settings.control, Metrics),
    ):
        if place:
            at.setdefault(place, []).append(handler(node_process))
    made = []
    for place, handlers in at.items():
        calls = HttpServer(node_process.loop, node_process.clock, handlers, on_fault=node_process.fault)
        await calls.listen(*place)
        made.append(calls)
    return made
