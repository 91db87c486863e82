"""The listening socket of clients and all their connections: admission, shedding, timeouts, draining, shutdown.

Clients outnumber descriptors. Connections that are silent or idle make room for those that bring something; with none
of them left, newcomers are told to come back, and past a margin their connections are cut.
"""

import asyncio
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable

from .client_connection import ClientConnection
from .connection_timeouts import Phase, sweep
from .decision_ports import RetryStormControl
from .event_log import EventLog
from .exchange import AnyExchange
from .http_status import REASON_PHRASES, REQUEST_TIMEOUT, HttpStatusError
from .limits import NetworkLimits

_AT_ONCE_NS = -1  # a time limit that every connection exceeds


class ClientListener(ABC):
    """The listening socket and the connections of clients.

    Attributes:
        loop: the event loop.
        clock: gives the time in ns.
        limits: the limits of the process.
        log: the event log.
        counts: the log's counters.
        storm: damps reconnects; set by the program where the configuration has it.
        server: the listening socket, once it listens.
        closing: nothing new is taken; the process ends.
        draining: clients are sent elsewhere, by the operators' wish; the process stays.
        ends_connections: each response ends its connection, as in both of these.
        swept_ns: when connections were last looked at, which is near enough for their ages.
        read_buffer: what all connections read into.
        max_request_bytes: the largest request, head and body.
        clients: the open connections, oldest first.
        active_clients: those of them that have brought something complete.
    """

    connection_type: type[ClientConnection]

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Callable[[], int], limits: NetworkLimits, log: EventLog
    ) -> None:
        """Does not listen yet; see `listen`.

        Args:
            loop: the event loop.
            clock: gives the time in ns.
            limits: the limits of the process.
            log: the event log.
        """
        self.loop = loop
        self.clock = clock
        self.limits = limits
        self.log = log
        self.counts = log.counts
        self.storm: RetryStormControl | None = None
        self.server: asyncio.Server | None = None
        self.closing = False
        self.draining = False
        self.closes_connections = False
        self.swept_ns = clock()
        self.read_buffer = memoryview(bytearray(limits.read_buffer_bytes))
        self.max_request_bytes = limits.max_head_bytes + limits.max_body_bytes
        self.clients: dict[ClientConnection, None] = {}
        self.active_clients = 0
        self._retired: Callable[[], None] | None = None

    # ---- what a subclass adds

    @abstractmethod
    def ready(self) -> bool:
        """Whether new clients are welcome."""

    @abstractmethod
    def request_received(self, connection: ClientConnection) -> None:
        """A request is complete: it is accepted or answered."""

    @abstractmethod
    def client_left(self, exchange: AnyExchange) -> None:
        """The client of an exchange has gone: what is out for it is cancelled."""

    # ---- the listening socket

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        """Opens the listening socket.

        Args:
            host: the address to bind.
            port: the port to bind.
            inherited: the descriptor of a listening socket that was handed down, which is used in place of the address.
                The old and the new process of an upgrade then accept from one queue, and what waits in it is not lost
                when the old one closes its copy.
        """
        backlog = self.limits.listen_backlog
        if inherited is None:
            self.server = await self.loop.create_server(self.make_connection, host, port, backlog=backlog)
            return
        listening = socket.socket(fileno=inherited)
        listening.setblocking(False)
        self.server = await self.loop.create_server(self.make_connection, sock=listening, backlog=backlog)

    def make_connection(self) -> ClientConnection:
        """The protocol of one more connection."""
        return self.connection_type(self)

    def drain(self) -> None:
        """Sends clients elsewhere: each response ends its connection, and idle ones are closed now.

        The listening socket stays: what the load balancer in front of us still sends is served.
        """
        self.draining = True
        self.closes_connections = True
        for connection in list(self.clients):
            if not (connection.busy or connection.message_begun or connection.fresh):
                connection.close()

    def activate(self) -> None:
        """Welcomes clients again."""
        self.draining = False
        self.closes_connections = self.closing

    def retire(self, done: Callable[[], None]) -> None:
        """Takes nothing new, and calls `done` once every client has its answer and is gone."""
        self.closing = True
        self.closes_connections = True
        self._retired = done
        if self.server is not None:
            self.server.close()
        for connection in list(self.clients):
            if not connection.busy and not connection.message_begun:
                connection.close()
        if not self.clients:
            done()

    # ---- called by connections

    def connection_opened(self, connection: ClientConnection) -> None:
        """Admits a connection; past the limits another one makes room, or it is told to come back, or cut."""
        self.counts["clients"] += 1
        self.clients[connection] = None
        if self.storm and not self.storm.connected(self.clock()):
            # A wave of reconnects: what they bring is declined at once, with advice that spreads them over time.
            connection.over_limit = True
            connection.throttled = True
        limits = self.limits
        if len(self.clients) > limits.max_clients and not self._shed():
            connection.over_limit = True
            if len(self.clients) > limits.max_clients + limits.overflow_clients:
                connection.abort()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forgets a connection that has ended."""
        self.clients.pop(connection, None)
        if not connection.fresh:
            self.active_clients -= 1
        if self.closing and not self.clients and self._retired:
            self._retired()

    def connection_activated(self) -> None:
        """The first complete request of a connection has come."""
        self.active_clients += 1

    def request_refused(self, connection: ClientConnection, error: HttpStatusError) -> None:
        """Responds to what cannot be followed, and cancels what is out for the client."""
        if error.status != REQUEST_TIMEOUT:  # a client that is too slow is not a malformed one
            self.counts["malformed"] += 1
        exchange = connection.exchange
        if exchange:
            exchange.detach_client()
            self.client_left(exchange)
        reason = REASON_PHRASES[error.status]
        head = b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n" % (error.status, reason)
        connection.write_response(head, str(error).encode())

    # ---- limits

    def shed_idle_client(self, newest: ClientConnection) -> None:
        """Too many connections are active: closes the one idle longest; `newest` is the one that has a request now.

        Clients that send one request and stay would use up the descriptors, and requests of others would not reach us.
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
        """Ends connections that were too long in their phase. Called by the program in each sweep interval."""
        limits = self.limits
        first_request_ns = limits.first_request_timeout_ns
        idle_ns = limits.client_idle_timeout_ns
        if self.draining:
            first_request_ns = min(first_request_ns, limits.draining_first_request_timeout_ns)
            idle_ns = _AT_ONCE_NS
        self.swept_ns = self.clock()
        limits_ns = {
            Phase.WRITING: limits.write_timeout_ns,
            Phase.READING_HEAD: limits.request_read_timeout_ns,
            Phase.FIRST_REQUEST: first_request_ns,
            Phase.IDLE: idle_ns,
        }
        sweep(self.clients, self.swept_ns, limits_ns)

    def _shed(self) -> bool:
        """Closes the connection that has been silent or else idle longest. Returns False if there is none.

        Hundreds may connect and say nothing: these make room first. One that has just come is spared, as its first
        request may be on its way, and would fail.
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
        min(candidates, key=lambda connection: (not connection.fresh, connection.phase_since_ns)).close()
        return True


def _may_be_shed(connection: ClientConnection) -> bool:
    """Whether a connection may make room: an idle one, or one that has brought no complete request yet."""
    if connection.fresh:
        return not (connection.busy or connection.closing or connection.write_paused)
    return connection.idle
