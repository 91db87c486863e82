"""The operators' address: readiness, figures, drain and activate; one call a connection, answered at once.

It owns what is said there; listener and callers are `calls`'s. It must never decide about a txn or count outcomes of
its own: it reads the gateway's counts, what is in flight and the module, and tells the listeners to drain or take
clients.
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
    def __init__(self, loop, driver, listener, bounds, names, log):
        self.driver, self.listener, self.log = driver, listener, log
        self.classes = sorted(names.products, key=names.products.get)  # names by index
        wait = bounds.admin_timeout_ns
        self.calls = HttpServer(
            loop,
            driver.clock,
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
        ready = self.listener.ready()
        return text(200 if ready else 503, b"ready" if ready else b"not ready")

    @endpoint("GET", "/v1/metrics")
    def metrics(self, asked):
        listener, driver = self.listener, self.driver
        outcomes = dict(zip(self.classes, driver.gateway.outcomes, strict=False))
        figures = {
            "success": {name: counts.succeeded for name, counts in outcomes.items()},
            "overload": {name: counts.declined for name, counts in outcomes.items()},
            "error": {name: counts.unknown for name, counts in outcomes.items()},
        }
        node = driver.node  # read between inputs, never while it is entered; which are avoided is its own test
        listed = [s for s in node.servers.values() if s.state != t.REMOVED]
        avoided = sum(s.state != t.UP or node.doubtful(s) for s in listed)
        figures.update(
            dispatches=self.log.counts["dispatches"],
            concurrent=driver.in_flight.unfinished,
            targets=len(listed),
            targets_disabled=avoided,
            draining=listener.draining,
        )
        return Response(200, orjson.dumps(figures))

    @endpoint("POST", "/v1/edge-node/drain")
    def drain(self, asked):
        self.log.record("drain")
        self.driver.gateway.drain()
        return text(200, b"draining")

    @endpoint("POST", "/v1/edge-node/activate")
    def activate(self, asked):
        self.log.record("activate")
        self.driver.gateway.activate()
        return text(200, b"taking clients")
