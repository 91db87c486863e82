"""Keeps a connection to the collector: opens it, and opens it anew with growing delays after it is lost."""

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

Draw = Callable[[float, float], float]
"""A random number between two others."""


class CollectorConnector:
    """The connection to the collector, while there is one.

    The program sets `on_opened` and `on_lost` before it calls `connect`.

    Attributes:
        connection: the present connection; None while there is none.
        on_opened: called when a connection is there.
        on_lost: called when it has ended, with the bytes that the collector had not taken (`ConnectionOwner`).
    """

    on_opened: Callable[[], None]
    on_lost: Callable[[int | None], None]

    def __init__(
        self, loop: AbstractEventLoop, timers: TimerQueue, log: EventLog, settings: SyslogSettings, draw: Draw
    ) -> None:
        """Not connected yet.

        Args:
            loop: the event loop.
            timers: for the delays.
            log: the event log.
            settings: the collector's address, and whether to use UDP.
            draw: draws the delays.
        """
        self.connection: CollectorConnection | None = None
        self._loop = loop
        self._timers = timers
        self._log = log
        self._address = settings.collector_address
        self._udp = settings.udp
        self._draw = draw
        self._connecting: Task[Any] | None = None
        self._retry_delay_ns = _MIN_RETRY_DELAY_NS
        self._stopped = False

    def connect(self) -> None:
        """Begins to connect, unless there is a connection or an attempt already."""
        if self._stopped or self._connecting or self.connection:
            return
        self._connecting = self._loop.create_task(self._open())
        self._connecting.add_done_callback(self._finish_connecting)

    def stop(self) -> None:
        """Connects no more. The connection stays."""
        self._stopped = True

    def connection_opened(self, connection: CollectorConnection) -> None:
        """Called by a connection that is there."""
        self.connection = connection
        self._retry_delay_ns = _MIN_RETRY_DELAY_NS
        self.on_opened()
        host, port = self._address
        self._log.record("syslog collector there", address=f"{host}:{port}")

    def connection_closed(self, connection: CollectorConnection, unsent_bytes: int | None) -> None:
        """Called by a connection that has ended."""
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
        """The protocol of a new connection."""
        return CollectorConnection(self)

    def _finish_connecting(self, task: Task[Any]) -> None:
        """An attempt to connect has ended."""
        self._connecting = None
        if not task.cancelled() and task.exception() is not None:
            self._connect_later(str(task.exception()))

    def _connect_later(self, reason: str) -> None:
        """Tries again after a delay that doubles with each attempt. `reason`: for the log."""
        self._log.record_limited("syslog collector away", reason)
        delay_ns = self._draw(self._retry_delay_ns / 2, self._retry_delay_ns)
        self._retry_delay_ns = min(_MAX_RETRY_DELAY_NS, 2 * self._retry_delay_ns)
        self._timers.after(int(delay_ns), self.connect)
