"""The client of discovery: watches the server list, and connects again when the watch breaks or falls silent.

What is known of the list is never dropped because discovery has a fault: the node serves on by the last list that it
was given.
"""

from .discovery_connection import DiscoveryConnection, DiscoveryConnectionOwner
from .node_context import NodeContext
from .server_list import parse_server_list_line

_MAX_DOUBLINGS = 8  # of the delay between attempts to connect


class DiscoveryClient(DiscoveryConnectionOwner):
    """Watches the server list, and hands it to the decision driver."""

    def __init__(self, context: NodeContext) -> None:
        """Is not connected yet. `context`: of the node."""
        configuration = context.configuration
        driver = context.driver
        self._loop = context.loop
        self._driver = driver
        self._address = configuration.discovery_address
        self._version = configuration.known_servers.version
        self._zones = configuration.zones
        self._limits = configuration.limits
        self._draw = context.draw
        self._log = context.log
        self._clock = driver.clock
        self._timers = driver.timers
        self._connection: DiscoveryConnection | None = None
        self._received_at_ns = self._clock()
        self._failures = 0  # connections in a row that brought no list

    def start(self) -> None:
        """Begins to connect, unless it does already."""
        if self._connection:
            return
        self._log.counts["watches"] += 1
        self._received_at_ns = self._clock()
        max_line_bytes = self._limits.max_list_line_bytes
        self._connection = DiscoveryConnection(self, self._address, self._version, max_line_bytes)
        self._connection.connect(self._loop)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is at another address from now on: what the former one still gives would be out of date."""
        if address == self._address:
            return
        self._address = address
        if self._connection:
            self._end(self._connection)
        self.start()

    def sweep(self) -> None:
        """Connects again where nothing, not even a heartbeat, has come for too long."""
        silent_ns = self._clock() - self._received_at_ns
        if self._connection and silent_ns > self._limits.discovery_silence_timeout_ns:
            self.connection_ended(self._connection, "silent")

    # ---- called by connections

    def is_current(self, connection: DiscoveryConnection) -> bool:
        """Whether it is the connection that is read."""
        return self._connection is connection

    def data_came(self) -> None:
        """Something came from discovery."""
        self._received_at_ns = self._clock()

    def line_received(self, line: bytes) -> None:
        """A line came. Raises ServerListError if it holds no server list."""
        update = parse_server_list_line(line, self._zones)
        self._version = update.version
        self._failures = 0
        self._log.counts["lists"] += 1
        self._driver.update_servers(update.complete, update.rows)

    def connection_ended(self, connection: DiscoveryConnection, reason: str) -> None:
        """Ends a connection, and connects again after a drawn delay.

        Nodes that were cut off together must not come back together.

        Args:
            connection: the connection; a former one only ends.
            reason: why it ends, for the log.
        """
        was_current = self.is_current(connection)
        self._end(connection)
        if not was_current:
            return
        self._log.record_limited("watch lost", reason)
        limits = self._limits
        doubled_ns = limits.max_reconnect_delay_ns << min(self._failures, _MAX_DOUBLINGS)
        max_delay_ns = min(limits.reconnect_delay_cap_ns, doubled_ns)
        min_delay_ns = max_delay_ns * limits.min_reconnect_delay_ns // limits.max_reconnect_delay_ns
        self._failures += 1
        self._timers.after(int(self._draw(min_delay_ns, max_delay_ns)), self.start)

    def _end(self, connection: DiscoveryConnection) -> None:
        """Ends a connection."""
        connection.close()
        if self._connection is connection:
            self._connection = None
