"""The operators' address: readiness, figures, drain and activate; one call a connection, answered at once.

It owns what is said there; listener and callers are `calls`'s. It must never decide about a txn or count outcomes of
its own: it reads the front's counts, the books and the module, and tells the front to drain or take clients.
"""

import orjson

from .. import terms as t
from ..net.http_messages import Response
from ..net.http_routing import endpoint
from ..net.http_server import HttpServer
from ..net.limits import HttpServerLimits


def text(status, body):
    return Response(status, body, content_type=b"text/plain")


class Admin:
    def __init__(self, loop, desk, front, bounds, names, log):
        self.desk, self.front, self.log = desk, front, log
        self.classes = sorted(names.products, key=names.products.get)  # names by index
        wait = bounds.admin_timeout_ns
        self.calls = HttpServer(
            loop,
            desk.clock,
            [self],
            HttpServerLimits(
                max_head_bytes=bounds.max_head_bytes,
                max_body_bytes=bounds.max_body_bytes,
                max_connections=bounds.max_admin_connections,
                head_timeout_ns=wait,
                body_timeout_ns=wait,
                idle_timeout_ns=wait,
                write_timeout_ns=wait,
                linger_timeout_ns=wait,
                sweep_interval_ns=0,
                listen_backlog=64,
                keep_alive=False,
                plain_text_errors=True,
            ),
            self.fault,
        )

    def fault(self, asked, trouble):
        self.log.counts["faults"] += 1
        self.log.record_limited("fault", asked.path, trouble=repr(trouble))

    async def listen(self, host, port):
        await self.calls.listen(host, port)

    def sweep(self):
        self.calls.sweep()

    @endpoint("GET", "/v1/readyz")
    def readyz(self, asked):
        ready = self.front.ready()
        return text(200 if ready else 503, b"ready" if ready else b"not ready")

    @endpoint("GET", "/v1/metrics")
    def metrics(self, asked):
        front, desk = self.front, self.desk
        figures = {
            kind: dict(zip(self.classes, column))
            for kind, column in zip(("success", "overload", "error"), zip(*desk.core.outcomes))
        }
        node = desk.node  # read between inputs, never while it is entered; which are avoided is its own test
        listed = [s for s in node.servers.values() if s.state != t.REMOVED]
        avoided = sum(s.state != t.UP or node.doubtful(s) for s in listed)
        figures.update(
            dispatches=self.log.counts["dispatches"],
            concurrent=sum(not row[2] for row in desk.books.out.values()),
            targets=len(listed),
            targets_disabled=avoided,
            draining=front.draining,
        )
        return Response(200, orjson.dumps(figures))

    @endpoint("POST", "/v1/edge-node/drain")
    def drain(self, asked):
        self.log.record("drain")
        self.desk.core.drain()
        return text(200, b"draining")

    @endpoint("POST", "/v1/edge-node/activate")
    def activate(self, asked):
        self.log.record("activate")
        self.desk.core.activate()
        return text(200, b"taking clients")
