"""The connections to all servers: made, reused, limited, and the submissions and health checks that go over them.

The pool sends nothing again and nothing to a server that the list does not name as up. It reports how each submission
ended (`server_connection.py`); what follows from that is the decision module's matter.
"""

import asyncio
from typing import Generic

from .. import terms as t
from .decision_driver import DecisionDriver
from .decision_ports import ServerRow, SubmissionEnd
from .event_log import EventLog
from .exchange import ExchangeT
from .limits import NetworkLimits
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
        driver: is told how submissions end.
        clock: gives the time in ns.
        limits: the limits of the process.
        log: the event log.
        counts: the log's counters.
        read_buffer: what all connections read into.
        health_check_request: what a health check sends.
        servers: those on the list, by index.
        connections: how many connections there are.
    """

    connection_type: type[ServerConnection[ExchangeT]] = StreamingServerConnection

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        driver: DecisionDriver[ExchangeT],
        limits: NetworkLimits,
        reports_load: bool,
        log: EventLog,
    ) -> None:
        """Has no server yet.

        Args:
            loop: the event loop.
            driver: is told how submissions end.
            limits: the limits of the process.
            reports_load: whether servers report their load, which health checks then ask for.
            log: the event log.
        """
        self.loop = loop
        self.driver = driver
        self.clock = driver.clock
        self.limits = limits
        self.log = log
        self.counts = log.counts
        self.read_buffer = memoryview(bytearray(limits.read_buffer_bytes))
        self.health_check_request = _LOAD_REQUEST if reports_load else _HEALTH_REQUEST
        self.servers: dict[int, Server[ServerConnection[ExchangeT]]] = {}
        self.connections = 0
        self._reports_load = reports_load

    # ---- servers

    def uid(self, index: int) -> str | None:
        """The id of a server; None if it is not on the list."""
        server = self.servers.get(index)
        return server.uid if server else None

    def any_up(self) -> bool:
        """Whether a server is up."""
        return any(server.up for server in self.servers.values())

    def list_server(self, index: int, row: ServerRow) -> None:
        """The list names a server: its connections are used, or closed once they are idle."""
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
        """A server left the list. What is out there still ends; only then its index is handed out again."""
        server = self.servers.pop(index, None)
        if server:
            server.up = False
            server.close_idle()

    # ---- submissions and health checks

    def submit(self, exchange: ExchangeT, attempt: int, index: int, timeout_ns: int) -> None:
        """Sends a submission, which may take `allow_ns`. Its end is reported to the driver in any case."""
        connection = self.connection_to(index)
        if connection is None:
            self.counts["unseen"] += 1
            self.driver.submission_ended(SubmissionEnd(exchange, attempt, index, t.NOT_ACCEPTED, duration_ns=0))
        else:
            connection.begin(exchange, attempt, timeout_ns)

    def cancel(self, exchange: ExchangeT, attempt: int) -> None:
        """Cancels a submission, if it is still out."""
        if submission := exchange.submissions.get(attempt):
            submission.finish(t.CANCELLED)

    def check_health(self, index: int) -> None:
        """Sends a health check. Its end is reported to the driver in any case."""
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
        """A health check has ended. `report`: the text of the server's report of load, if it gave one."""
        if outcome != t.DONE:
            self.counts["probes_failed"] += 1
        load = self._read_report(connection.server, report) if report else {}
        self.driver.health_checked(connection.server.index, outcome, duration_ns, load)

    def _read_report(self, server: Server[ServerConnection[ExchangeT]], text: bytes) -> Report:
        """The numbers of a report; none if it cannot be read."""
        try:
            return parse_report(text)
        except ValueError:
            if self._reports_load:
                self.log.record_limited("odd report", server.uid)
            return {}

    # ---- connections

    def connection_to(self, index: int) -> ServerConnection[ExchangeT] | None:
        """The idle connection to a server that was used last, or a new one.

        Returns:
            None if the server is not up, or there are as many connections as there may be and none is idle.
        """
        server = self.servers.get(index)
        if server is None or not server.up:
            return None
        while server.idle:
            connection = server.idle[-1]
            if connection.usable:
                server.idle.pop()
                return connection
            connection.close()
        if self.connections >= self.limits.max_server_connections and not self._shed():
            self.counts["links_short"] += 1
            return None
        return self._connect(server)

    def sweep(self) -> None:
        """Closes connections that were idle for too long. Called by the program in each sweep interval."""
        oldest_ns = self.clock() - self.limits.server_idle_timeout_ns
        for server in self.servers.values():
            while server.idle and server.idle[0].idle_since_ns < oldest_ns:
                server.idle[0].close()

    def _connect(self, server: Server[ServerConnection[ExchangeT]]) -> ServerConnection[ExchangeT]:
        """Makes a connection, which connects on its own."""
        assert server.address is not None, "a server has an address until it is removed"
        connection = self.connection_type(self, server)
        server.connections += 1
        self.connections += 1
        self.counts["connects"] += 1
        connecting = self.loop.create_connection(lambda: connection, *server.address)
        connection.set_connect_task(self.loop.create_task(connecting))
        return connection

    def _shed(self) -> bool:
        """Closes the connection idle longest, whichever server it leads to. Returns False if none is idle."""
        candidates = [server.idle[0] for server in self.servers.values() if server.idle]
        if not candidates:
            return False
        self.counts["links_shed"] += 1
        min(candidates, key=lambda connection: connection.idle_since_ns).close()
        return True
