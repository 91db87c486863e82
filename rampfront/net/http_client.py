"""The HTTP/1.1 client for calls of the node and of its tools: returns a complete response or a typed error.

`HttpClient` keeps one connection open and reconnects when it fails; `send_request` uses a connection of its own. The
error says whether the request may have run, which a caller must know before it retries the request.
"""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from result import Err, Ok, Result

from .http_response_reader import HttpResponse, ResponseError, ResponseReader

MAX_BODY_BYTES = 8 << 20  # of a response, if the caller gives no limit
_MAX_QUOTED_CHARACTERS = 80  # of a target, in an error message
_TARGET_CHARACTERS = frozenset(b"!$&'()*+,-./:;=?@_~%0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


Address = tuple[str, int]  # host and port
Headers = Iterable[tuple[bytes, bytes]]  # names and values


class HttpRequest(NamedTuple):
    """A request, without its destination.

    Attributes:
        method: the method.
        target: path and query, percent-encoded.
        body: the body; empty for none.
        headers: header fields other than `Host`, `Content-Length` and `Connection`.
    """

    method: str
    target: str
    body: bytes = b""
    headers: Headers = ()


class RequestError(NamedTuple):
    """Why there is no response.

    Attributes:
        reason: the reason, as text.
        may_have_run: False only if no byte of the request was sent.
    """

    reason: str
    may_have_run: bool = False

    def __str__(self) -> str:
        """Returns the reason."""
        return self.reason


RequestResult = Result[HttpResponse, RequestError]


def encode_request(address: Address, request: HttpRequest, keep_alive: bool) -> bytes:
    """Encodes a request.

    Args:
        address: its destination, for the `Host` field.
        request: the request.
        keep_alive: whether to ask the server to keep the connection open.

    Raises:
        ValueError: the request would be parsed differently by the server: its target contains characters that end it,
            or a header value contains a line break.
    """
    method = request.method.encode("ascii")
    target = request.target.encode("ascii")
    if not target.startswith(b"/") or not _TARGET_CHARACTERS.issuperset(target):
        raise ValueError(f"invalid request target: {target[:_MAX_QUOTED_CHARACTERS]!r}")
    lines = b""
    for name, value in request.headers:
        if b"\r" in value or b"\n" in value:
            raise ValueError(f"header field {name.decode()} contains a line break")
        lines += b"%s: %s\r\n" % (name, value)
    if request.body or method != b"GET":
        lines += b"Content-Length: %d\r\n" % len(request.body)
    if not keep_alive:
        lines += b"Connection: close\r\n"
    host, port = address
    host_field = b"Host: %s:%d\r\n" % (host.encode("ascii"), port)
    return b"%s %s HTTP/1.1\r\n%s%s\r\n%s" % (method, target, host_field, lines, request.body)


class HttpClientConnection(asyncio.Protocol):
    """One connection to a server, one request at a time.

    Attributes:
        closed: whether no further request may be sent on it.
        response_begun: whether bytes of the response to the last request were received.
    """

    __slots__ = ("closed", "response_begun", "_transport", "_reader", "_pending")

    def __init__(self) -> None:
        """Starts unconnected; the event loop calls `connection_made`."""
        self.closed = False
        self.response_begun = False
        self._transport: asyncio.Transport
        self._reader = ResponseReader()
        self._pending: asyncio.Future[RequestResult] | None = None  # of the request in flight

    @property
    def in_flight(self) -> bool:
        """Whether a request waits for its response."""
        return self._pending is not None

    def send(self, encoded: bytes, max_body_bytes: int) -> "asyncio.Future[RequestResult]":
        """Sends an encoded request.

        Args:
            encoded: the bytes of the request, as returned by `encode_request`.
            max_body_bytes: the maximum size of the response body.

        Returns:
            A future of the result. It is always set, at the latest when the connection ends.
        """
        pending: asyncio.Future[RequestResult] = asyncio.get_running_loop().create_future()
        self._pending = pending
        self.response_begun = False
        self._reader.expect(max_body_bytes)
        self._transport.write(encoded)
        return pending

    def close(self, reason: str) -> None:
        """Aborts the connection. A request in flight fails with `reason` and may have run."""
        self.closed = True
        self._complete(Err(RequestError(reason, may_have_run=True)))
        self._transport.abort()

    def abandon(self) -> None:
        """Aborts the connection without setting the future of a request in flight, which is no longer awaited."""
        self._pending = None
        self.close("abandoned")

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]  # of streams
        """Called by the event loop when the connection is established."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with bytes of a response."""
        if self._pending is None:
            self.close("received bytes without a pending request")
            return
        self.response_begun = True
        try:
            response = self._reader.feed(data)
        except ResponseError as error:
            self.close(str(error))
            return
        if response is not None:
            self._complete(Ok(response))
            if not self._reader.keep_alive:
                self.close("closed")

    def eof_received(self) -> bool:
        """Called by the event loop at the end of the input. Returns False, so that the loop closes the transport."""
        self.closed = True  # set here, as a request could be sent before the loop closes the connection
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Called by the event loop when the connection has ended."""
        self.closed = True
        self._complete(Err(RequestError("the connection ended", may_have_run=True)))

    def _complete(self, result: RequestResult) -> None:
        """Sets the result of the request in flight, if there is one."""
        pending = self._pending
        self._pending = None
        self._reader.release()
        if pending is not None and not pending.done():
            pending.set_result(result)


class HttpClient:
    """Sends requests to one server, one at a time, on a persistent connection.

    Attributes:
        connects: the number of connections made so far.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Creates a client without a connection.

        Args:
            loop: the event loop.
            address: the server's host and port.
            max_body_bytes: the maximum size of a response body.
        """
        self.connects = 0
        self._loop = loop
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._connection: HttpClientConnection | None = None
        self._busy = False
        self._sent = False  # whether bytes of the current request may have been sent
        self._closed = False

    @property
    def connected(self) -> bool:
        """Whether there is a connection to reuse."""
        return self._connection is not None

    async def request(self, request: HttpRequest, timeout_s: float = 1.0, keep_alive: bool = True) -> RequestResult:
        """Sends a request and waits for its response.

        Args:
            request: the request.
            timeout_s: the timeout of the whole request, including the connect. A connection on which it expires is
                closed.
            keep_alive: whether to keep the connection for the next request.

        Returns:
            The response, or the reason why there is none.

        Raises:
            ValueError: the request cannot be encoded (see `encode_request`).
        """
        if self._busy:
            return Err(RequestError("a request is already in flight"))
        if self._closed:
            return Err(RequestError("closed"))
        encoded = encode_request(self._address, request, keep_alive)
        self._busy = True
        self._sent = False
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(encoded, may_repeat=request.method == "GET")
        except TimeoutError:
            return Err(RequestError("no answer in time" if self._sent else "no connection in time", self._sent))
        except OSError as error:
            return Err(RequestError(f"no connection: {error.strerror or error}", self._sent))
        finally:
            self._busy = False
            self._drop_unusable(keep_alive)

    def close(self) -> None:
        """Closes the client permanently; a request in flight fails."""
        self._closed = True
        connection = self._connection
        self._connection = None
        if connection is not None and not connection.closed:
            connection.close("closed")

    async def _exchange(self, encoded: bytes, may_repeat: bool) -> RequestResult:
        """Sends an encoded request on the existing or a new connection. `may_repeat`: whether the method is safe."""
        while True:
            connection = self._connection
            reused = connection is not None and not connection.closed
            if connection is None or connection.closed:
                connection = await self._connect()
                if connection is None:
                    return Err(RequestError("closed"))
            self._sent = True
            result = await connection.send(encoded, self._max_body_bytes)
            if result.is_ok() or not may_repeat or not reused or connection.response_begun or self._closed:
                return result
            # RFC 9112, section 9.3.1: the server may close a persistent connection just as a request is sent on it. A
            # safe request is retried once on a new connection, for which `reused` is False.

    async def _connect(self) -> HttpClientConnection | None:
        """Connects to the server. Returns None if the client was closed meanwhile."""
        self._connection = None
        self.connects += 1
        _, connection = await self._loop.create_connection(HttpClientConnection, *self._address)
        if self._closed:
            connection.abandon()
            return None
        self._connection = connection
        return connection

    def _drop_unusable(self, keep_alive: bool) -> None:
        """Drops the connection if its request was abandoned, if it has ended, or if it is not to be reused."""
        connection = self._connection
        if connection is not None and (connection.in_flight or connection.closed or not keep_alive):
            self._connection = None
            connection.abandon()


async def send_request(
    loop: asyncio.AbstractEventLoop,
    address: Address,
    request: HttpRequest,
    timeout_s: float = 1.0,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> RequestResult:
    """Sends one request on a connection of its own. For the parameters and the result see `HttpClient`."""
    return await HttpClient(loop, address, max_body_bytes).request(request, timeout_s, keep_alive=False)
