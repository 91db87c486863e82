"""The HTTP/1.1 server for calls of nodes, operators and the platform; `client_listener.py` serves clients' requests.

A server listens on one address and passes each request to the handler that is declared for it (`http_routing`). It
limits the number of connections and charges their memory (`memory_account`), ends slow connections
(`connection_timeouts`), and responds with 500 if a handler raises an exception. It does not interpret requests.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable

from .connection_timeouts import Phase, sweep
from .http_messages import JSON, TEXT, IncomingRequest, Response, parse_query
from .http_routing import Handler, RoutingError, RoutingTable
from .http_server_connection import RETRY_AFTER_S, HttpServerConnection
from .http_status import INTERNAL_SERVER_ERROR, SERVICE_UNAVAILABLE, HttpStatusError
from .limits import HttpServerLimits
from .listening import open_server
from .memory_account import DEFAULT_MEMORY_MB, machine_account

_NS_PER_S = 10**9
_MAX_SCHEME_BYTES = 9  # of a request target in absolute form, including "://"
_SHUTTING_DOWN = Response(SERVICE_UNAVAILABLE, b'{"Message":"ending"}', ((b"Retry-After", RETRY_AFTER_S),))
_INTERNAL_ERROR = Response(INTERNAL_SERVER_ERROR, b'{"Message":"a fault of ours"}')


class HttpServer:
    """The listener of one address.

    Attributes:
        clock: returns the time in ns.
        limits: its limits.
        counts: event counts by name: `connections`, `requests`, `refused`, `shed`, `slow`, `unanswered` (requests that
            exceeded the response timeout), `abandoned` (by their senders), `faults` (of handlers).
        memory: the memory account of the process.
        draining: whether each response closes its connection.
        address: the bound host and port, once it listens.
        connections: the open connections, oldest first.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        owners: Iterable[object],
        limits: HttpServerLimits | None = None,
        on_fault: Callable[[IncomingRequest, BaseException], None] | None = None,
    ) -> None:
        """Collects the endpoints; `listen` opens the listener.

        Args:
            loop: the event loop.
            clock: returns the time in ns.
            owners: objects whose methods are declared as endpoints.
            limits: the limits; None for the defaults.
            on_fault: called with each exception that a handler raises; the sender of the request gets a 500 response.

        Raises:
            ValueError: two declarations contradict each other.
        """
        self.clock = clock
        self.limits = limits or HttpServerLimits()
        self.counts: Counter[str] = Counter()
        self.memory = self.limits.memory or machine_account(clock, DEFAULT_MEMORY_MB, self.counts)
        self.draining = False
        self.address: tuple[str, int] | None = None
        self.connections: dict[HttpServerConnection, None] = {}
        self._loop = loop
        self._on_fault = on_fault
        self._routes = RoutingTable(owners, self.limits.max_body_bytes)
        self._tasks: set[asyncio.Future[Response | None]] = set()  # of coroutine handlers
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._closed = False

    @property
    def pending_requests(self) -> int:
        """The number of requests whose response is pending."""
        return sum(connection.request is not None for connection in self.connections)

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Opens the listener. With `port` 0 the system chooses one. Returns the bound host and port. Raises OSError."""
        backlog = self.limits.listen_backlog
        self._listener = await open_server(self._loop, lambda: HttpServerConnection(self), host, port, backlog)
        bound_host, bound_port = self._listener.sockets[0].getsockname()[:2]
        self.address = (bound_host, bound_port)
        return self.address

    def drain(self) -> None:
        """Closes idle connections now and busy ones after their response. The listening socket stays open."""
        self.draining = True
        for connection in [connection for connection in self.connections if connection.idle]:
            connection.close()

    def close(self) -> None:
        """Closes the listener, aborts all connections and cancels the handlers in progress."""
        self._closed = True
        if self._listener:
            self._listener.close()
            self._listener = None
        if self._sweep_timer:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for connection in list(self.connections):
            connection.abort()
        for task in list(self._tasks):
            task.cancel()

    def sweep(self) -> None:
        """Ends connections that exceeded the timeout of their phase. Called by a timer, or by the owner (`limits`)."""
        limits = self.limits
        limits_ns = {
            Phase.IDLE: limits.idle_timeout_ns,
            Phase.READING_HEAD: limits.head_timeout_ns,
            Phase.READING_BODY: limits.body_timeout_ns,
            Phase.AWAITING_RESPONSE: limits.response_timeout_ns,
            Phase.WRITING: limits.write_timeout_ns,
            Phase.FLUSHING: limits.write_timeout_ns,
            Phase.LINGERING: limits.linger_timeout_ns,
        }
        sweep(self.connections, self.clock(), limits_ns)

    # ---- called by connections

    def body_limit(self, target: bytes) -> int:
        """Returns the maximum size in bytes of the body for a request target."""
        return self._routes.max_body_bytes(target)

    def connection_opened(self, connection: HttpServerConnection) -> None:
        """Admits a connection; past the limit another one is closed."""
        self.counts["connections"] += 1
        self.connections[connection] = None
        if self._closed:
            connection.abort()
            return
        if len(self.connections) > self.limits.max_connections:
            self._shed()
        if self.limits.sweep_interval_ns and self._sweep_timer is None:
            self._start_sweep_timer()

    def connection_closed(self, connection: HttpServerConnection) -> None:
        """Removes a connection that has ended."""
        self.connections.pop(connection, None)

    def request_received(self, connection: HttpServerConnection) -> None:
        """Passes the complete request of a connection to its handler."""
        self.counts["requests"] += 1
        try:
            request = _read_request(connection)
        except HttpStatusError as error:
            connection.refuse(error)
            return
        connection.begin_request(request)
        try:
            handler = self._routes.find(request)
        except RoutingError as error:
            self._reject(request, error)
            return
        self._call(handler, request)

    # ---- connections

    def _shed(self) -> None:
        """Closes a connection in favour of the newest one.

        Closes the connection that has been idle longest, or else the one that has been reading its request for longest.
        If responses are pending on all of them, the newest one is refused with 503: a pending response is never lost
        for a new connection.
        """
        self.counts["shed"] += 1
        newest = next(reversed(self.connections))
        candidates = [
            connection for connection in self.connections if connection.request is None and connection is not newest
        ]
        if candidates:
            min(candidates, key=_shed_order).abort()
        else:
            newest.refuse(HttpStatusError(SERVICE_UNAVAILABLE, "too many callers at once"))

    def _start_sweep_timer(self) -> None:
        """Sets the timer of the next sweep."""
        self._sweep_timer = self._loop.call_later(self.limits.sweep_interval_ns / _NS_PER_S, self._sweep_on_timer)

    def _sweep_on_timer(self) -> None:
        """Sweeps, and restarts the timer while there are connections."""
        self._sweep_timer = None
        try:
            self.sweep()
        finally:  # an exception in one sweep must not stop later sweeps
            if self.connections and not self._closed and self._sweep_timer is None:
                self._start_sweep_timer()

    # ---- handlers

    def _call(self, handler: Handler, request: IncomingRequest) -> None:
        """Calls a handler and sends what it returns."""
        try:
            returned = handler(request)
        except Exception as error:
            self._report_fault(request, error)
            return
        if isinstance(returned, Response):
            _send(request, returned)
        elif returned is not None:
            self._await_response(request, returned)

    def _await_response(self, request: IncomingRequest, awaitable: Awaitable[Response | None]) -> None:
        """Runs a coroutine handler and sends its response."""
        task = asyncio.ensure_future(awaitable, loop=self._loop)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._task_done(request, done))

    def _task_done(self, request: IncomingRequest, task: "asyncio.Future[Response | None]") -> None:
        """Sends the response of a coroutine handler that has finished."""
        self._tasks.discard(task)
        if task.cancelled():
            _send(request, _SHUTTING_DOWN)
            return
        error = task.exception()
        if error is not None:
            self._report_fault(request, error)
            return
        response = task.result()
        if response is not None:
            _send(request, response)

    def _reject(self, request: IncomingRequest, error: RoutingError) -> None:
        """Responds to a request that no handler accepts; its connection is kept open."""
        self.counts["refused"] += 1
        message = str(error)
        if self.limits.plain_text_errors:
            request.respond(error.status, message.encode(), error.headers, TEXT)
        else:
            request.respond(error.status, json.dumps({"Message": message}).encode(), error.headers, JSON)

    def _report_fault(self, request: IncomingRequest, error: BaseException) -> None:
        """Responds with 500 to a request whose handler raised an exception, and reports the exception."""
        self.counts["faults"] += 1
        if self._on_fault:
            self._on_fault(request, error)
        _send(request, _INTERNAL_ERROR)


def _send(request: IncomingRequest, response: Response) -> None:
    """Sends a response."""
    request.respond(response.status, response.body, response.headers, response.content_type)


def _shed_order(connection: HttpServerConnection) -> tuple[bool, bool, int]:
    """Sort key; the connection to shed sorts first: closing before idle before reading, then by start of the phase."""
    return (not connection.closing, connection.reader.message_begun, connection.phase_since_ns)


def _read_request(connection: HttpServerConnection) -> IncomingRequest:
    """Takes the complete request of a connection. Raises HttpStatusError if its query is invalid."""
    raw = connection.reader.take()
    target = raw.target.partition(b"#")[0]
    if target[:1] != b"/" and b"://" in target[:_MAX_SCHEME_BYTES]:  # absolute form (RFC 9112, section 3.2.2)
        target = b"/" + target.partition(b"://")[2].partition(b"/")[2]
    path_and_query = target.split(b"?", 1)
    path = path_and_query[0].decode("latin-1")
    parameters = parse_query(path_and_query[1]) if len(path_and_query) > 1 else {}
    request = IncomingRequest(connection, raw.method.decode("ascii"), path, parameters, raw.body)
    request.idempotency_key = raw.idempotency_key
    return request
