"""One connection to discovery: a request that watches the server list, answered by a stream of JSON lines without end.

A complete response is therefore an error, like a status other than 200 or a line that is too long.
"""

import asyncio
from abc import ABC, abstractmethod
from typing import cast

import httptools

from .server_list import ServerListError

_OK = 200


class DiscoveryConnectionOwner(ABC):
    """What a connection reports to."""

    @abstractmethod
    def is_current(self, connection: "DiscoveryConnection") -> bool:
        """Whether it is the connection that is read."""

    @abstractmethod
    def data_came(self) -> None:
        """Something came from discovery."""

    @abstractmethod
    def line_received(self, line: bytes) -> None:
        """A line came. Raises ServerListError if it holds no server list."""

    @abstractmethod
    def connection_ended(self, connection: "DiscoveryConnection", reason: str) -> None:
        """The connection is to end, or has ended."""


class DiscoveryConnection(asyncio.Protocol):
    """One connection, which watches the list from a version on."""

    def __init__(
        self, owner: DiscoveryConnectionOwner, address: tuple[str, int], version: int, max_line_bytes: int
    ) -> None:
        """Is not open yet.

        Args:
            owner: is told of lines and of the end.
            address: host and port of discovery.
            version: of the list that is known.
            max_line_bytes: a longer line ends the connection.
        """
        self._owner = owner
        self._address = address
        self._version = version
        self._max_line_bytes = max_line_bytes
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task[object] | None = None
        self._partial_line = b""
        self._lines: list[bytes] = []  # complete ones of the present read
        self._parser = httptools.HttpResponseParser(self)

    def connect(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begins to connect."""
        host, port = self._address
        self._connecting = loop.create_task(loop.create_connection(lambda: self, host, port))
        self._connecting.add_done_callback(self._connected)

    def close(self) -> None:
        """Ends the connection at once."""
        if self._connecting:
            self._connecting.cancel()
        if self._transport:
            self._transport.abort()

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It came up: the request is written."""
        stream = cast(asyncio.Transport, transport)
        self._transport = stream
        if not self._owner.is_current(self):
            stream.abort()
            return
        host, port = self._address
        request = b"GET /api/targets?watch=1&after=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
        stream.write(request % (self._version, host.encode(), port))

    def connection_lost(self, error: Exception | None) -> None:
        """It ended."""
        self._owner.connection_ended(self, "connection ended")

    def data_received(self, data: bytes) -> None:
        """Something came: complete lines are handed on, and what is no response ends the connection."""
        if not self._owner.is_current(self):
            return
        self._owner.data_came()
        error: BaseException | None = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as parser_error:
            error = parser_error.__context__ or parser_error
        lines = self._lines
        self._lines = []
        try:
            for line in lines:  # not within the parser's callback, where a defect of ours would pass for theirs
                self._owner.line_received(line)
        except ServerListError as list_error:
            error = error or list_error
        if error:
            self._owner.connection_ended(self, f"odd answer: {error}")

    # ---- called by the parser

    def on_headers_complete(self) -> None:
        """The head of the response is complete."""
        status = self._parser.get_status_code()
        if status != _OK:
            raise ValueError(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """Some of the body came."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        self._lines += [line for line in lines if line.strip()]
        if len(self._partial_line) > self._max_line_bytes:
            raise ValueError("a line too long")

    def on_message_complete(self) -> None:
        """The response is complete, which ends the watch."""
        raise ValueError("the watch ended")

    def _connected(self, task: asyncio.Task[object]) -> None:
        """The attempt to connect has ended."""
        self._connecting = None
        if not task.cancelled() and task.exception() is not None:
            self._owner.connection_ended(self, "no connection")
