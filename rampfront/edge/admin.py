"""The operators' HTTP interface: readiness, metrics, drain and activate. Each connection carries one call.

`net/http_server.py` implements the listener and its connections. This module neither decides about transactions nor
counts outcomes: it reads the figures from the gateway, the decision driver and the decision module.
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
from ..net.memory_account import MemoryAccount
from ..net.transaction_listener import TransactionListener
from .node_context import NodeContext

_LISTEN_BACKLOG = 64


class AdminEndpoints:
    """Serves the operators' calls."""

    def __init__(self, context: NodeContext, listener: TransactionListener) -> None:
        """Creates the endpoints; `listen` opens the listener.

        Args:
            context: the node's context.
            listener: the HTTP clients' listener, whose readiness is reported.
        """
        driver = context.driver
        products = context.configuration.names.products
        server_limits = _server_limits(context.configuration.limits, listener.memory)
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
        """Closes connections that have exceeded a timeout."""
        self._server.sweep()

    @endpoint("GET", "/v1/readyz")
    def readyz(self, request: IncomingRequest) -> Response:
        """Responds 200 while the node accepts clients, else 503."""
        if self._listener.ready():
            return _text(OK, b"ready")
        return _text(SERVICE_UNAVAILABLE, b"not ready")

    @endpoint("GET", "/v1/metrics")
    def metrics(self, request: IncomingRequest) -> Response:
        """Returns the outcomes by product, and the current numbers of open transactions and of avoided servers."""
        outcomes = dict(zip(self._product_names, self._gateway.outcomes, strict=False))
        driver = self._driver
        node = driver.node  # safe to read: it never processes an input while this call runs
        is_doubtful: Callable[[Any], bool] = node.is_doubtful  # `choice.py` is untyped
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
        """Makes the node not ready, so that clients go to other nodes."""
        self._log.record("drain")
        self._gateway.drain()
        return _text(OK, b"draining")

    @endpoint("POST", "/v1/edge-node/activate")
    def activate(self, request: IncomingRequest) -> Response:
        """Makes the node ready again after a drain."""
        self._log.record("activate")
        self._gateway.activate()
        return _text(OK, b"taking clients")

    def _handler_failed(self, request: IncomingRequest, error: BaseException) -> None:
        """Counts and logs an exception that a handler raised."""
        self._log.counts["faults"] += 1
        self._log.record_limited("fault", request.path, trouble=repr(error))


def _text(status: int, body: bytes) -> Response:
    """Returns a plain-text response."""
    return Response(status, body, content_type=TEXT)


def _server_limits(limits: NetworkLimits, memory: MemoryAccount) -> HttpServerLimits:
    """Returns the limits of the operators' listener. Its timeouts are checked by the node's sweep, not by its own."""
    timeout_ns = limits.admin_timeout_ns
    return HttpServerLimits(
        memory,
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
