"""The operators' address: readiness, metrics, drain and activate; one call a connection, answered at once.

`net/http_server.py` has the listener and the callers. Nothing here decides about a transaction or counts outcomes: the
figures are read off the gateway, the decision driver and the decision module.
"""

from collections.abc import Callable
from typing import Any

import orjson

from .. import terms as t
from ..net.http_messages import TEXT, IncomingRequest, Response
from ..net.http_routing import endpoint
from ..net.http_server import HttpServer
from ..net.http_status import OK, SERVICE_UNAVAILABLE
from ..net.limits import HttpServerLimits, NetworkLimits
from ..net.transaction_listener import TransactionListener
from .node_context import NodeContext

_LISTEN_BACKLOG = 64


class AdminEndpoints:
    """Serves the operators' calls."""

    def __init__(self, context: NodeContext, listener: TransactionListener) -> None:
        """Does not listen yet.

        Args:
            context: of the node.
            listener: the HTTP clients' listener, whose readiness is reported.
        """
        driver = context.driver
        products = context.configuration.names.products
        server_limits = _server_limits(context.configuration.limits)
        self._driver = driver
        self._gateway = context.gateway
        self._listener = listener
        self._log = context.log
        self._product_names = sorted(products, key=products.__getitem__)  # by index
        self._server = HttpServer(context.loop, driver.clock, [self], server_limits, self._handler_failed)

    async def listen(self, host: str, port: int) -> None:
        """Opens the listener."""
        await self._server.listen(host, port)

    def sweep(self) -> None:
        """Ends connections that are too slow."""
        self._server.sweep()

    @endpoint("GET", "/v1/readyz")
    def readyz(self, request: IncomingRequest) -> Response:
        """Whether clients are welcome."""
        if self._listener.ready():
            return _text(OK, b"ready")
        return _text(SERVICE_UNAVAILABLE, b"not ready")

    @endpoint("GET", "/v1/metrics")
    def metrics(self, request: IncomingRequest) -> Response:
        """Outcomes by product, and what is in flight and avoided now."""
        outcomes = dict(zip(self._product_names, self._gateway.outcomes, strict=False))
        driver = self._driver
        node = driver.node  # it is read between inputs, never while it takes one
        is_doubtful: Callable[[Any], bool] = node.is_doubtful  # `choice.py` has no types
        listed = [server for server in node.servers.values() if server.state != t.REMOVED]
        avoided = [server for server in listed if server.state != t.UP or is_doubtful(server)]
        figures = {
            "success": {name: counts.succeeded for name, counts in outcomes.items()},
            "overload": {name: counts.declined for name, counts in outcomes.items()},
            "error": {name: counts.unknown for name, counts in outcomes.items()},
            "dispatches": self._log.counts["dispatches"],
            "concurrent": driver.in_flight.unfinished,
            "targets": len(listed),
            "targets_disabled": len(avoided),
            "draining": self._listener.draining,
        }
        return Response(OK, orjson.dumps(figures))

    @endpoint("POST", "/v1/edge-node/drain")
    def drain(self, request: IncomingRequest) -> Response:
        """Sends clients elsewhere."""
        self._log.record("drain")
        self._gateway.drain()
        return _text(OK, b"draining")

    @endpoint("POST", "/v1/edge-node/activate")
    def activate(self, request: IncomingRequest) -> Response:
        """Welcomes clients again."""
        self._log.record("activate")
        self._gateway.activate()
        return _text(OK, b"taking clients")

    def _handler_failed(self, request: IncomingRequest, error: BaseException) -> None:
        """A call failed by a defect of ours."""
        self._log.counts["faults"] += 1
        self._log.record_limited("fault", request.path, trouble=repr(error))


def _text(status: int, body: bytes) -> Response:
    """A response of plain text."""
    return Response(status, body, content_type=TEXT)


def _server_limits(limits: NetworkLimits) -> HttpServerLimits:
    """The limits of the operators' listener, which the node's own sweep checks."""
    timeout_ns = limits.admin_timeout_ns
    return HttpServerLimits(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_connections=limits.max_admin_connections,
        head_timeout_ns=timeout_ns,
        body_timeout_ns=timeout_ns,
        idle_timeout_ns=timeout_ns,
        write_timeout_ns=timeout_ns,
        linger_timeout_ns=timeout_ns,
        sweep_interval_ns=0,
        listen_backlog=_LISTEN_BACKLOG,
        keep_alive=False,
        plain_text_errors=True,
    )
