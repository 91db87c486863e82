"""Maintains a connection to the collector, and reconnects with exponential backoff after it is lost."""

from asyncio import AbstractEventLoop, Task
from collections.abc import Callable
from typing import Any

from ..net.event_log import EventLog
from ..net.timers import TimerQueue
from .collector_connection import CollectorConnection
from .syslog_settings import SyslogSettings

_NS_PER_S = 10**9
_MIN_RETRY_DELAY_NS = _NS_PER_S // 4
_MAX_RETRY_DELAY_NS = 5 * _NS_PER_S

RandomUniform = Callable[[float, float], float]
"""Returns a random number between two bounds, uniformly distributed."""


class CollectorConnector:
    """Holds the connection to the collector, if there is one.

    The program must set `on_opened` and `on_lost` before it calls `connect`.

    Attributes:
        connection: the current connection; None while disconnected.
        on_opened: called when a connection has opened.
        on_lost: called when it has closed, with the number of unacknowledged bytes (`ConnectionOwner`).
    """

    on_opened: Callable[[], None]
    on_lost: Callable[[int | None], None]

    def __init__(
        self,
        loop: AbstractEventLoop,
        timers: TimerQueue,
        log: EventLog,
        settings: SyslogSettings,
        random_uniform: RandomUniform,
    ) -> None:
        """Creates the connector without connecting.

        Args:
            loop: the event loop.
            timers: schedule the reconnect attempts.
            log: the event log.
            settings: the collector's address, and whether to use UDP.
            random_uniform: draws the reconnect delays.
        """
        self.connection: CollectorConnection | None = None
        self._loop = loop
        self._timers = timers
        self._log = log
        self._address = settings.collector_address
        self._udp = settings.udp
        self._random_uniform = random_uniform
        self._connecting: Task[Any] | None = None
        self._retry_delay_ns = _MIN_RETRY_DELAY_NS
        self._stopped = False

    def connect(self) -> None:
        """Starts to connect, unless a connection or an attempt exists already."""
        if self._stopped or self._connecting or self.connection:
            return
        self._connecting = self._loop.create_task(self._open())
        self._connecting.add_done_callback(self._finish_connecting)

    def stop(self) -> None:
        """Makes no more attempts to connect. An open connection remains open."""
        self._stopped = True

    def connection_opened(self, connection: CollectorConnection) -> None:
        """Called by a connection that has opened."""
        self.connection = connection
        self._retry_delay_ns = _MIN_RETRY_DELAY_NS
        self.on_opened()
        host, port = self._address
        self._log.record("syslog collector there", address=f"{host}:{port}")

    def connection_closed(self, connection: CollectorConnection, unsent_bytes: int | None) -> None:
        """Called by a connection that has closed."""
        if self.connection is connection:
            self.connection = None
            self.on_lost(unsent_bytes)
            self._connect_later("connection ended")

    async def _open(self) -> None:
        """Opens one connection."""
        if self._udp:
            await self._loop.create_datagram_endpoint(self._make_connection, remote_addr=self._address)
        else:
            host, port = self._address
            await self._loop.create_connection(self._make_connection, host=host, port=port)

    def _make_connection(self) -> CollectorConnection:
        """Returns the protocol of a new connection."""
        return CollectorConnection(self)

    def _finish_connecting(self, task: Task[Any]) -> None:
        """Handles the end of an attempt to connect."""
        self._connecting = None
        if not task.cancelled() and task.exception() is not None:
            self._connect_later(str(task.exception()))

    def _connect_later(self, reason: str) -> None:
        """Schedules another attempt after a jittered delay that doubles with each one. `reason` is logged."""
        self._log.record_limited("syslog collector away", reason)
        delay_ns = self._random_uniform(self._retry_delay_ns / 2, self._retry_delay_ns)
        self._retry_delay_ns = min(_MAX_RETRY_DELAY_NS, 2 * self._retry_delay_ns)
        self._timers.after(int(delay_ns), self.connect)
