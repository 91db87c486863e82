"""Requests and responses as handlers of the HTTP server see them."""

import json
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol, TypeAlias

from .http_status import BAD_REQUEST, HttpStatusError

JSON = b"application/json"
TEXT = b"text/plain"
_MAX_QUOTED_CHARACTERS = 64

Headers = tuple[tuple[bytes, bytes], ...]  # names and values


class Response(NamedTuple):
    """A complete response; `content_type` is sent only with a body."""

    status: int
    body: bytes = b""
    headers: Headers = ()
    content_type: bytes = JSON


def json_response(content: object, status: int = 200, headers: Headers = ()) -> Response:
    """A response whose body is `content` in JSON."""
    return Response(status, json.dumps(content, separators=(",", ":")).encode(), headers)


def error_response(status: int, message: str, headers: Headers = ()) -> Response:
    """A response that says in JSON what went wrong."""
    return json_response({"Message": message}, status, headers)


class Delivery(Enum):
    """What became of a response."""

    UNKNOWN = "unknown"  # its connection ended before that could be told
    DELIVERED = "delivered"  # the sender of the request has all of it
    LOST = "lost"  # the sender of the request has not got all of it


DeliveryCallback: TypeAlias = Callable[[Delivery], None]  # called once


class RequestConnection(Protocol):
    """The connection of a request, as far as the request needs it."""

    @property
    def request(self) -> "IncomingRequest | None":
        """The request that is owed a response."""
        raise NotImplementedError

    @property
    def peer(self) -> tuple[str, int] | None:
        """Host and port of the far end."""
        raise NotImplementedError

    def respond(self, response: Response, on_delivery: DeliveryCallback | None = None) -> None:
        """Writes the response to `request`, and tells what became of it."""
        raise NotImplementedError


class IncomingRequest:
    """One request. It is responded to once; where its connection has ended, the response goes nowhere.

    Attributes:
        method: the method.
        path: the path, decoded as Latin-1.
        query: the parameters of the query, percent-decoded.
        body: the body, without chunk framing.
        idempotency_key: by which the sender names the request, on each repeat anew; empty if it does not.
    """

    __slots__ = ("method", "path", "query", "body", "idempotency_key", "_connection")

    def __init__(
        self,
        connection: RequestConnection,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
    ) -> None:
        """`connection` is where the response goes."""
        self.method = method
        self.path = path
        self.query = query
        self.body = body
        self.idempotency_key = b""
        self._connection: RequestConnection | None = connection

    @property
    def peer(self) -> tuple[str, int] | None:
        """Host and port of its sender, or None once it is responded to. Each look is a system call."""
        return self._connection.peer if self._connection else None

    @property
    def finished(self) -> bool:
        """Whether it needs no response: it has one, or nobody waits for it."""
        return self._connection is None or self._connection.request is not self

    def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: Headers = (),
        content_type: bytes = JSON,
        on_delivery: DeliveryCallback | None = None,
    ) -> bool:
        """Sends the response.

        Args:
            status: its status code.
            body: its body.
            headers: its header fields, without those that follow from the others.
            content_type: of the body.
            on_delivery: is told once what became of the response.

        Returns:
            True if this was the response that its sender gets; False if it had one, or its connection has ended.
        """
        connection = self._connection
        self._connection = None
        if connection is None or connection.request is not self:
            if on_delivery is not None:
                on_delivery(Delivery.LOST)
            return False
        connection.respond(Response(status, body, headers, content_type), on_delivery)
        return True


def parse_query(text: bytes) -> dict[str, str]:
    """The parameters of a query string, percent-decoded.

    Raises:
        HttpStatusError: it is not UTF-8, or a name comes twice, so that its values could not be told apart.
    """
    query: dict[str, str] = {}
    for part in text.split(b"&"):
        if not part:
            continue
        name, value = _parse_parameter(part)
        if name in query:
            raise HttpStatusError(BAD_REQUEST, f"{name[:_MAX_QUOTED_CHARACTERS]}: comes twice in the query")
        query[name] = value
    return query


def _parse_parameter(part: bytes) -> tuple[str, str]:
    """Name and value of one parameter. Raises HttpStatusError."""
    separated = part.split(b"=", 1)
    raw_name = separated[0]
    raw_value = separated[1] if len(separated) > 1 else b""
    try:
        name = raw_name.decode("ascii")
        value = raw_value.decode("ascii")
        if b"%" in part or b"+" in part:
            from urllib.parse import unquote_plus  # 170 KB that no other call needs: loaded at the first such query

            name = unquote_plus(name, errors="strict")
            value = unquote_plus(value, errors="strict")
    except UnicodeError:
        raise HttpStatusError(BAD_REQUEST, "query: not UTF-8") from None
    return name, value
