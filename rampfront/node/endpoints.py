"""Opens the system's own HTTP listeners that the settings name, with the calls that each of them serves.

Calls are declared on their handlers with `net.http_routing.endpoint`. A call makes no decisions: it reads the node's
state, or submits an order. Source of names and bodies: PROTOCOL.md, "How clients arrive" and "The operator".
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..net.http_messages import Response, error_response
from ..net.http_routing import endpoint
from ..net.http_server import HttpServer
from ..net.limits import HttpServerLimits
from . import log_events
from .control_calls import ControlCalls
from .directory_call import Directory
from .limits import call_connections
from .metrics_page import MetricsPage
from .status_views import StatusViews

if TYPE_CHECKING:
    from ..net.http_messages import IncomingRequest
    from .context import NodeContext
    from .node_process import NodeProcess
    from .readiness import Readiness


class ReadyCheck:
    """The platform's readiness check of this node's front."""

    def __init__(self, readiness: Readiness) -> None:
        """`readiness`: of the node."""
        self._readiness = readiness

    @endpoint("GET", "/api/ready")
    def ready(self, _: IncomingRequest) -> Response:
        """Respond 200 while the node is ready, else 503."""
        return Response(200) if self._readiness.is_ready() else error_response(503, "not ready")


class CallFaults:
    """Counts and logs exceptions of handlers, whose callers get a 500."""

    def __init__(self, context: NodeContext) -> None:
        """`context` provides the counters and the log."""
        self._context = context

    def note(self, request: IncomingRequest, error: BaseException) -> None:
        """Count and log the exception of a handler."""
        self._context.counts["faults"] += 1
        self._context.log.record_limited(log_events.INTERNAL_ERROR, request.path, error=repr(error))


def build_control_calls(node: NodeProcess) -> ControlCalls:
    """Return a node's handler of operators' orders."""
    return ControlCalls(node.orders, node.context.process_settings.zones, node.client_front.memory)


def build_directory(node: NodeProcess) -> Directory:
    """Return the directory of a node."""
    return Directory(node.disseminator, node.context.process_settings, node.context.rng)


async def open_listeners(node: NodeProcess) -> None:
    """Open the wire between nodes, the system's own listeners, and the clients' front, in this order."""
    await node.context.wire.listen()
    await open_call_listeners(node)
    front = node.context.process_settings.front
    if front:
        await node.client_front.listen(*front)


async def open_call_listeners(node: NodeProcess) -> None:
    """Open a listener for each address of calls in the settings. Handlers of one address share its listener.

    That of operators takes one call a connection: an order on a connection that was idle has no known age, so that it
    would have to be rejected (`order_submitter.py`).
    """
    context = node.context
    settings = context.process_settings
    handlers_at: dict[tuple[str, int], list[object]] = {}
    for address, handler in (
        (settings.ready_check, ReadyCheck(node.readiness)),
        (settings.directory, build_directory(node)),
        (settings.control, build_control_calls(node)),
        (settings.control, StatusViews(node)),
        (settings.control, MetricsPage(node)),
    ):
        if address:
            handlers_at.setdefault(address, []).append(handler)
    faults = CallFaults(context)
    for (host, port), handlers in handlers_at.items():
        limits = HttpServerLimits(
            node.client_front.memory,
            max_connections=call_connections(settings),
            keep_alive=(host, port) != settings.control,
        )
        listener = HttpServer(context.loop, context.clock, handlers, limits, on_fault=faults.note)
        await listener.listen(host, port)
        node.shutdown.listeners.add(listener)
