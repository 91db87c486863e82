"""The listening socket of clients and all their connections: admission, shedding, timeouts, draining, shutdown.

There may be more clients than file descriptors. At the limit, connections that are idle or have sent nothing are closed
in favour of new ones. If there are none, new clients are told to retry later, and past a margin their connections are
aborted.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from .client_connection import ClientConnection
from .connection_timeouts import Phase, sweep
from .decision_ports import RetryStormControl
from .event_log import EventLog
from .exchange import AnyExchange
from .http_status import REASON_PHRASES, REQUEST_TIMEOUT, SERVICE_UNAVAILABLE, HttpStatusError
from .limits import NetworkLimits
from .listening import open_inherited_server, open_server
from .memory_account import MemoryAccount

_RETRY_AFTER = b"Retry-After: 0.5\r\n"
_IMMEDIATELY_NS = -1  # a timeout that every connection exceeds


class ClientListener(ABC):
    """The listening socket and the connections of clients.

    Attributes:
        loop: the event loop.
        clock: returns the time in ns.
        limits: the limits of the process.
        memory: the memory account of the process.
        log: the event log.
        counts: the log's counters.
        storm: throttles reconnects; set by the program if the configuration enables it.
        server: the listening socket, once it listens.
        closing: whether the process shuts down; no new connections are accepted.
        draining: whether an operator has drained the node: clients are sent elsewhere, and the process keeps running.
        closes_connections: whether each response closes its connection, which is so while closing or draining.
        swept_ns: the time of the last sweep, which is precise enough for the ages of connections.
        read_buffer: the buffer that all connections read into.
        clients: the open connections, oldest first.
        active_clients: the number of them that have sent a complete request.
    """

    connection_type: type[ClientConnection]

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        limits: NetworkLimits,
        memory: MemoryAccount,
        log: EventLog,
    ) -> None:
        """Does not listen yet; see `listen`.

        Args:
            loop: the event loop.
            clock: returns the time in ns.
            limits: the limits of the process.
            memory: the memory account of the process.
            log: the event log.
        """
        self.loop = loop
        self.clock = clock
        self.limits = limits
        self.memory = memory
        self.log = log
        self.counts = log.counts
        self.storm: RetryStormControl | None = None
        self.server: asyncio.Server | None = None
        self.closing = False
        self.draining = False
        self.closes_connections = False
        self.swept_ns = clock()
        self.read_buffer = memoryview(bytearray(limits.read_buffer_bytes))
        self.clients: dict[ClientConnection, None] = {}
        self.active_clients = 0
        self._retired: Callable[[], None] | None = None

    # ---- implemented by subclasses

    @abstractmethod
    def ready(self) -> bool:
        """Whether new clients are accepted."""

    @abstractmethod
    def request_received(self, connection: ClientConnection) -> None:
        """Accepts or answers a complete request."""

    @abstractmethod
    def client_left(self, exchange: AnyExchange) -> None:
        """Cancels the submissions of an exchange whose client has disconnected."""

    # ---- the listening socket

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        """Opens the listening socket.

        Args:
            host: the address to bind.
            port: the port to bind.
            inherited: the descriptor of a listening socket that was passed to this process, which is used instead of
                the address. During an upgrade the old and the new process then accept from one queue, and connections
                that wait in it are not lost when the old process closes its copy.

        Raises:
            OSError: the address cannot be listened on.
        """
        backlog = self.limits.listen_backlog
        if inherited is None:
            self.server = await open_server(self.loop, self.make_connection, host, port, backlog)
        else:
            self.server = await open_inherited_server(self.loop, self.make_connection, inherited, backlog)

    def make_connection(self) -> ClientConnection:
        """Returns the protocol object of a new connection."""
        return self.connection_type(self)

    def drain(self) -> None:
        """Sends clients elsewhere: closes idle connections now, and busy ones after their response.

        The listening socket stays open, because the load balancer in front may still send requests.
        """
        self.draining = True
        self.closes_connections = True
        for connection in list(self.clients):
            if not (connection.busy or connection.message_begun or connection.fresh):
                connection.close()

    def activate(self) -> None:
        """Ends draining: connections are kept open again."""
        self.draining = False
        self.closes_connections = self.closing

    def retire(self, done: Callable[[], None]) -> None:
        """Stops accepting connections, and calls `done` once every client was answered and its connection is closed."""
        self.closing = True
        self.closes_connections = True
        self._retired = done
        if self.server is not None:
            self.server.close()
        for connection in list(self.clients):
            if connection.lingering:
                connection.abort()
            elif not connection.busy and not connection.message_begun:
                connection.close()
        if not self.clients:
            done()

    # ---- called by connections

    def connection_opened(self, connection: ClientConnection) -> None:
        """Admits a connection. Past the limits another one is closed, or the new one is rejected or aborted."""
        self.counts["clients"] += 1
        self.clients[connection] = None
        if self.storm and not self.storm.connected(self.clock()):
            # During a reconnect storm requests are declined immediately, with Retry-After times that spread them out.
            connection.over_limit = True
            connection.throttled = True
        limits = self.limits
        if len(self.clients) > limits.max_clients and not self._shed():
            connection.over_limit = True
            if len(self.clients) > limits.max_clients + limits.overflow_clients:
                connection.abort()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Removes a connection that has ended."""
        self.clients.pop(connection, None)
        if not connection.fresh:
            self.active_clients -= 1
        if self.closing and not self.clients and self._retired:
            self._retired()

    def connection_activated(self) -> None:
        """Counts a connection whose first complete request was received."""
        self.active_clients += 1

    def request_refused(self, connection: ClientConnection, error: HttpStatusError) -> None:
        """Responds to an invalid request, and cancels the pending exchange of the client."""
        if error.status != REQUEST_TIMEOUT:  # a slow request is not a malformed one
            self.counts["malformed"] += 1
        exchange = connection.exchange
        if exchange:
            exchange.detach_client()
            self.client_left(exchange)
        reason = REASON_PHRASES[error.status]
        head = b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n" % (error.status, reason)
        if error.status == SERVICE_UNAVAILABLE:
            head += _RETRY_AFTER
        connection.write_response(head, str(error).encode())

    # ---- limits

    def shed_idle_client(self, newest: ClientConnection) -> None:
        """Closes the active connection that has been idle longest, as too many are active.

        Clients that send one request and stay connected would otherwise use up the descriptors, and requests of other
        clients could not be received. `newest` is the connection that has a request now; it is never closed here.
        """
        idle = [
            connection
            for connection in self.clients
            if connection.idle and not connection.fresh and connection is not newest
        ]
        if idle:
            self.counts["clients_shed"] += 1
            min(idle, key=lambda connection: connection.phase_since_ns).close()

    def sweep(self) -> None:
        """Ends connections that exceeded the timeout of their phase. Called by the program in each sweep interval."""
        limits = self.limits
        first_request_ns = limits.first_request_timeout_ns
        idle_ns = limits.client_idle_timeout_ns
        if self.draining:
            first_request_ns = min(first_request_ns, limits.draining_first_request_timeout_ns)
            idle_ns = _IMMEDIATELY_NS
        self.swept_ns = self.clock()
        limits_ns = {
            Phase.WRITING: limits.write_timeout_ns,
            Phase.LINGERING: limits.linger_timeout_ns,
            Phase.READING_HEAD: limits.request_read_timeout_ns,
            Phase.FIRST_REQUEST: first_request_ns,
            Phase.IDLE: idle_ns,
        }
        sweep(self.clients, self.swept_ns, limits_ns)

    def _shed(self) -> bool:
        """Closes a connection that lingers, or the one that has sent nothing for longest, or else the one idle longest.

        Hundreds of clients may connect and send nothing, so these are closed first. A connection that was just opened
        is spared, because its first request may be in transit and would fail. Returns False if there is no candidate.
        """
        now_ns = self.clock()
        grace_ns = self.limits.new_client_grace_ns
        candidates = [
            connection
            for connection in self.clients
            if _may_be_shed(connection) and (not connection.fresh or now_ns - connection.phase_since_ns > grace_ns)
        ]
        if not candidates:
            return False
        self.counts["clients_shed"] += 1
        shed = min(candidates, key=_shed_order)
        if shed.lingering:
            shed.abort()
        else:
            shed.close()
        return True


def _shed_order(connection: ClientConnection) -> tuple[bool, bool, int]:
    """Sort key; the connection to shed sorts first."""
    return (not connection.lingering, not connection.fresh, connection.phase_since_ns)


def _may_be_shed(connection: ClientConnection) -> bool:
    """Whether a connection may be shed: it is idle, has not sent a complete request yet, or lingers."""
    if connection.lingering:
        return True
    if connection.fresh:
        return not (connection.busy or connection.closing or connection.write_paused)
    return connection.idle
