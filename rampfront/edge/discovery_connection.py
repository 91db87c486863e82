"""One connection to discovery: a request that watches the server list, answered by an endless stream of JSON lines.

A complete response is therefore an error, like a status other than 200 or a line that is too long.
"""

import asyncio
from abc import ABC, abstractmethod
from typing import cast

import httptools

from .server_list import ServerListError

_OK = 200


class DiscoveryConnectionOwner(ABC):
    """Receives a connection's data and its end."""

    @abstractmethod
    def is_current(self, connection: "DiscoveryConnection") -> bool:
        """Returns whether data of this connection is still wanted."""

    @abstractmethod
    def note_data_received(self) -> None:
        """Notes that data arrived from discovery."""

    @abstractmethod
    def line_received(self, line: bytes) -> None:
        """Handles a line. Raises ServerListError if it is not a valid server list."""

    @abstractmethod
    def connection_ended(self, connection: "DiscoveryConnection", reason: str) -> None:
        """Handles a connection that was lost, or that must be closed after an error."""


class DiscoveryConnection(asyncio.Protocol):
    """One connection, which watches for changes of the list after a given version."""

    def __init__(
        self, owner: DiscoveryConnectionOwner, address: tuple[str, int], version: int, max_line_bytes: int
    ) -> None:
        """Creates a connection that is not open yet.

        Args:
            owner: receives the lines and the connection's end.
            address: host and port of discovery.
            version: the version of the list that is known.
            max_line_bytes: a longer line ends the connection.
        """
        self._owner = owner
        self._address = address
        self._version = version
        self._max_line_bytes = max_line_bytes
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task[object] | None = None
        self._partial_line = b""
        self._lines: list[bytes] = []  # complete lines of the current read
        self._parser = httptools.HttpResponseParser(self)

    def connect(self, loop: asyncio.AbstractEventLoop) -> None:
        """Starts connecting."""
        host, port = self._address
        self._connecting = loop.create_task(loop.create_connection(lambda: self, host, port))
        self._connecting.add_done_callback(self._connected)

    def close(self) -> None:
        """Aborts the connection."""
        if self._connecting:
            self._connecting.cancel()
        if self._transport:
            self._transport.abort()

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Writes the request, or aborts the connection if it is no longer the current one."""
        stream = cast(asyncio.Transport, transport)
        self._transport = stream
        if not self._owner.is_current(self):
            stream.abort()
            return
        host, port = self._address
        request = b"GET /api/targets?watch=1&after=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
        stream.write(request % (self._version, host.encode(), port))

    def connection_lost(self, error: Exception | None) -> None:
        """Reports the end of the connection to the owner."""
        self._owner.connection_ended(self, "connection ended")

    def data_received(self, data: bytes) -> None:
        """Passes complete lines to the owner. An invalid response ends the connection."""
        if not self._owner.is_current(self):
            return
        self._owner.note_data_received()
        error: BaseException | None = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as parser_error:
            error = parser_error.__context__ or parser_error
        lines = self._lines
        self._lines = []
        try:
            for line in lines:  # not in the parser's callback, where our own exception would look like a parse error
                self._owner.line_received(line)
        except ServerListError as list_error:
            error = error or list_error
        if error:
            self._owner.connection_ended(self, f"odd answer: {error}")

    # ---- called by the parser

    def on_headers_complete(self) -> None:
        """Checks the status of the response."""
        status = self._parser.get_status_code()
        if status != _OK:
            raise ValueError(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """Splits a part of the body into lines."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        self._lines += [line for line in lines if line.strip()]
        if len(self._partial_line) > self._max_line_bytes:
            raise ValueError("line exceeds the maximum length")

    def on_message_complete(self) -> None:
        """Ends the connection, because a complete response ends the watch."""
        raise ValueError("the watch ended")

    def _connected(self, task: asyncio.Task[object]) -> None:
        """Reports a failed attempt to connect to the owner."""
        self._connecting = None
        if not task.cancelled() and task.exception() is not None:
            self._owner.connection_ended(self, "no connection")
