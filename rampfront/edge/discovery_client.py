"""The client of discovery: watches the server list, and reconnects when the watch breaks or becomes silent.

A fault of discovery never discards the list that is known: the node continues to serve with the last list received.
"""

from .discovery_connection import DiscoveryConnection, DiscoveryConnectionOwner
from .node_context import NodeContext
from .server_list import parse_server_list_line

_MAX_DOUBLINGS = 8  # how often the reconnect delay doubles


class DiscoveryClient(DiscoveryConnectionOwner):
    """Watches the server list, and passes it to the decision driver."""

    def __init__(self, context: NodeContext) -> None:
        """Creates the client; `start` opens a connection. `context`: the node's context."""
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
        self._failures = 0  # consecutive connections without a list

    def start(self) -> None:
        """Starts connecting, unless there is a connection already."""
        if self._connection:
            return
        self._log.counts["watches"] += 1
        self._received_at_ns = self._clock()
        max_line_bytes = self._limits.max_list_line_bytes
        self._connection = DiscoveryConnection(self, self._address, self._version, max_line_bytes)
        self._connection.connect(self._loop)

    def change_address(self, address: tuple[str, int]) -> None:
        """Uses another address of discovery from now on.

        The former connection is closed at once, because its lists may be out of date.
        """
        if address == self._address:
            return
        self._address = address
        if self._connection:
            self._end(self._connection)
        self.start()

    def sweep(self) -> None:
        """Reconnects if no data, not even a heartbeat, has arrived for too long."""
        silent_ns = self._clock() - self._received_at_ns
        if self._connection and silent_ns > self._limits.discovery_silence_timeout_ns:
            self.connection_ended(self._connection, "silent")

    # ---- called by connections

    def is_current(self, connection: DiscoveryConnection) -> bool:
        """Returns whether data of this connection is still wanted."""
        return self._connection is connection

    def note_data_received(self) -> None:
        """Notes that data arrived, which resets the silence timeout."""
        self._received_at_ns = self._clock()

    def line_received(self, line: bytes) -> None:
        """Applies the server list in a line. Raises ServerListError if it is not valid."""
        update = parse_server_list_line(line, self._zones)
        self._version = update.version
        self._failures = 0
        self._log.counts["lists"] += 1
        self._driver.update_servers(update.complete, update.rows)

    def connection_ended(self, connection: DiscoveryConnection, reason: str) -> None:
        """Ends a connection, and reconnects after a random delay.

        The delay is random so that nodes that lost their connections together do not reconnect at the same moment.

        Args:
            connection: the connection; if it is not the current one, the client does not reconnect.
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
        """Closes a connection."""
        connection.close()
        if self._connection is connection:
            self._connection = None
