"""The pool of connections to all servers, which sends submissions and health checks.

The pool creates, reuses and limits connections. It never retries, and sends nothing to a server that the server list
does not give as up. It reports the outcome of each submission (`server_connection.py`); the decision module decides
what follows from it.
"""

import asyncio
from typing import Generic

from .. import terms as t
from .decision_driver import DecisionDriver
from .decision_ports import ServerRow, SubmissionEnd
from .event_log import EventLog
from .exchange import ExchangeT
from .memory_account import MemoryAccount
from .non_execution import NonExecution
from .server import Server
from .server_connection import ServerConnection
from .server_response import Report, parse_report
from .streaming_connection import StreamingServerConnection

_LOAD_REQUEST = b"GET /-/load HTTP/1.1\r\nHost: app.svc\r\n\r\n"
_HEALTH_REQUEST = b"GET /-/healthy HTTP/1.1\r\nHost: app.svc\r\n\r\n"


class ServerConnectionPool(Generic[ExchangeT]):
    """The connections to all servers.

    Attributes:
        loop: the event loop.
        driver: receives the outcomes of submissions.
        clock: returns the time in ns.
        limits: the limits of the process.
        memory: the memory account of the process.
        log: the event log.
        counts: the log's counters.
        read_buffer: the buffer that all connections read into.
        health_check_request: the request of a health check.
        servers: the servers on the server list, by index.
        connections: the number of connections.
    """

    connection_type: type[ServerConnection[ExchangeT]] = StreamingServerConnection

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        driver: DecisionDriver[ExchangeT],
        memory: MemoryAccount,
        reports_load: bool,
        log: EventLog,
    ) -> None:
        """Starts without servers.

        Args:
            loop: the event loop.
            driver: receives the outcomes of submissions.
            memory: the memory account of the process.
            reports_load: whether servers report their load; health checks then request the report.
            log: the event log.
        """
        self.loop = loop
        self.driver = driver
        self.clock = driver.clock
        self.limits = driver.limits
        self.memory = memory
        self.log = log
        self.counts = log.counts
        self.read_buffer = memoryview(bytearray(self.limits.read_buffer_bytes))
        self.health_check_request = _LOAD_REQUEST if reports_load else _HEALTH_REQUEST
        self.servers: dict[int, Server[ServerConnection[ExchangeT]]] = {}
        self.connections = 0
        self._reports_load = reports_load

    # ---- servers

    def uid(self, index: int) -> str | None:
        """Returns the id of a server; None if it is not on the list."""
        server = self.servers.get(index)
        return server.uid if server else None

    def any_up(self) -> bool:
        """Whether a server is up."""
        return any(server.up for server in self.servers.values())

    def list_server(self, index: int, row: ServerRow) -> None:
        """Adds or updates a server. If it is not up, its connections are closed once they are idle."""
        server = self.servers.get(index)
        if server is None:
            server = self.servers[index] = Server(index, row.uid, row.address)
        elif server.address != row.address or server.uid != row.uid:
            server.uid = row.uid
            server.address = row.address
            server.close_idle()
        server.up = row.state == t.UP
        if not server.up:
            server.close_idle()

    def remove_server(self, index: int) -> None:
        """Removes a server from the list. Its submissions still end, and its index is not reused before that."""
        server = self.servers.pop(index, None)
        if server:
            server.up = False
            server.close_idle()

    # ---- submissions and health checks

    def submit(self, exchange: ExchangeT, attempt: int, index: int, timeout_ns: int) -> None:
        """Sends a submission with a timeout of `timeout_ns`. Its end is always reported to the driver."""
        connection = self.connection_to(index, exchange)
        if connection is None:
            self.end_unsent(exchange, attempt, index)
        else:
            connection.begin(exchange, attempt, timeout_ns)

    def end_unsent(self, exchange: ExchangeT, attempt: int, index: int) -> None:
        """Ends a submission for which there is no connection."""
        self.counts["unseen"] += 1
        outcome = NonExecution.NO_CONNECTION.outcome
        self.driver.submission_ended(SubmissionEnd(exchange, attempt, index, outcome, duration_ns=0))

    def cancel(self, exchange: ExchangeT, attempt: int) -> None:
        """Cancels a submission, if it is still in flight."""
        if submission := exchange.submissions.get(attempt):
            submission.finish(t.CANCELLED)

    def check_health(self, index: int) -> None:
        """Sends a health check. Its end is always reported to the driver."""
        self.counts["probes"] += 1
        connection = self.connection_to(index)
        if connection is None:
            self.counts["probes_failed"] += 1
            self.driver.health_checked(index, t.NOT_ACCEPTED, 0, {})
        else:
            connection.begin(None, 0, self.limits.health_check_timeout_ns)

    def health_check_ended(
        self, connection: ServerConnection[ExchangeT], outcome: int, duration_ns: int, report: bytes | None
    ) -> None:
        """Reports the end of a health check. `report`: the text of the server's load report, if there is one."""
        if outcome != t.DONE:
            self.counts["probes_failed"] += 1
        load = self._read_report(connection.server, report) if report else {}
        self.driver.health_checked(connection.server.index, outcome, duration_ns, load)

    def _read_report(self, server: Server[ServerConnection[ExchangeT]], text: bytes) -> Report:
        """Returns the numbers of a load report; none if it is invalid."""
        try:
            return parse_report(text)
        except ValueError:
            if self._reports_load:
                self.log.record_limited("odd report", server.uid)
            return {}

    # ---- connections

    def connection_to(self, index: int, exchange: ExchangeT | None = None) -> ServerConnection[ExchangeT] | None:
        """Returns the most recently used idle connection to a server that may carry the exchange, or a new one.

        Returns:
            None if the server is not up, or if the limit of connections is reached and none is idle.
        """
        server = self.servers.get(index)
        if server is None or not server.up:
            return None
        if idle := _take_idle(server, exchange):
            return idle
        if self.connections >= self.limits.max_server_connections and not self._shed():
            self.counts["links_short"] += 1
            return None
        return self._connect(server)

    def sweep(self) -> None:
        """Closes connections that exceeded the idle timeout. Called by the program in each sweep interval."""
        oldest_ns = self.clock() - self.limits.server_idle_timeout_ns
        for server in self.servers.values():
            while server.idle and server.idle[0].idle_since_ns < oldest_ns:
                server.idle[0].close()

    def _connect(self, server: Server[ServerConnection[ExchangeT]]) -> ServerConnection[ExchangeT]:
        """Creates a connection and starts its connect."""
        assert server.address is not None, "a server on the list has an address"
        connection = self.connection_type(self, server)
        server.connections += 1
        self.connections += 1
        self.counts["connects"] += 1
        connecting = self.loop.create_connection(lambda: connection, *server.address)
        connection.set_connect_task(self.loop.create_task(connecting))
        return connection

    def _shed(self) -> bool:
        """Closes the connection to any server that has been idle longest. Returns False if none is idle."""
        candidates = [server.idle[0] for server in self.servers.values() if server.idle]
        if not candidates:
            return False
        self.counts["links_shed"] += 1
        min(candidates, key=lambda connection: connection.idle_since_ns).close()
        return True


def _take_idle(
    server: Server[ServerConnection[ExchangeT]], exchange: ExchangeT | None
) -> ServerConnection[ExchangeT] | None:
    """Removes and returns the most recently used idle connection that may carry the exchange; closes unusable ones."""
    for position in range(len(server.idle) - 1, -1, -1):
        connection = server.idle[position]
        if not connection.usable:
            connection.close()
        elif connection.may_carry(exchange):
            del server.idle[position]
            return connection
    return None
