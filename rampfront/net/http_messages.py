"""Requests and responses of the HTTP server, as its handlers use them."""

import json
from typing import NamedTuple, Protocol

from .http_status import BAD_REQUEST, HttpStatusError
from .tcp_state import TcpState

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
    """Returns a response whose body is `content` in JSON."""
    return Response(status, json.dumps(content, separators=(",", ":")).encode(), headers)


def error_response(status: int, message: str, headers: Headers = ()) -> Response:
    """Returns an error response with `message` in a JSON body."""
    return json_response({"Message": message}, status, headers)


class RequestTiming(NamedTuple):
    """What is known of when a request was sent.

    Attributes:
        max_age_ns: its sender sent it no longer ago than this.
        gap_ns: how long after this machine's last bytes it arrived, whether it was sent late or was delayed.
        round_trip_ns: the round-trip time to its sender.
        is_bounded: whether `max_age_ns` holds.
    """

    max_age_ns: int = 0
    gap_ns: int = 0
    round_trip_ns: int = 0
    is_bounded: bool = True


UNKNOWN_TIMING = RequestTiming()  # of a request without a TCP connection


class RequestConnection(Protocol):
    """The interface of the connection that a request uses."""

    @property
    def request(self) -> "IncomingRequest | None":
        """The request whose response is pending."""
        raise NotImplementedError

    @property
    def peer(self) -> tuple[str, int] | None:
        """Host and port of the peer."""
        raise NotImplementedError

    @property
    def tcp_state(self) -> TcpState | None:
        """The state of its TCP connection, or None if that is not known."""
        raise NotImplementedError

    def respond(self, response: Response) -> None:
        """Writes the response to `request`."""
        raise NotImplementedError


class IncomingRequest:
    """One request. It gets exactly one response, which is discarded if the connection has ended.

    Attributes:
        method: the method.
        path: the path, decoded as Latin-1.
        query: the query parameters, percent-decoded.
        body: the body, without chunk framing.
        idempotency_key: the Idempotency-Key, which the sender repeats on each retry; empty if there is none.
        closes_connection: whether its connection is closed after the response.
    """

    __slots__ = ("method", "path", "query", "body", "idempotency_key", "closes_connection", "_connection")

    def __init__(
        self,
        connection: RequestConnection,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
    ) -> None:
        """`connection`: the connection that the response is written to."""
        self.method = method
        self.path = path
        self.query = query
        self.body = body
        self.idempotency_key = b""
        self.closes_connection = False
        self._connection: RequestConnection | None = connection

    @property
    def peer(self) -> tuple[str, int] | None:
        """Host and port of its sender; None once it has a response. Each access is a system call."""
        return self._connection.peer if self._connection else None

    @property
    def finished(self) -> bool:
        """Whether it needs no response, because it has one or its connection has ended."""
        return self._connection is None or self._connection.request is not self

    def is_awaited(self) -> bool:
        """Whether its sender still waits for the response. Each call is a system call.

        The end of the sender's stream counts as soon as the kernel has it, even if it is not read yet.
        """
        if self._connection is None or self.finished:
            return False
        state = self._connection.tcp_state
        return state is None or state.is_established

    def timing(self) -> RequestTiming:
        """When its sender can have sent it. Each call is a system call.

        A sender sends a request once it has the response to the one before, or the connection is established. So the
        last bytes of this machine bound its age, however long the network delayed it or this process did not read it.
        """
        state = self._connection.tcp_state if self._connection is not None else None
        if state is None:
            return UNKNOWN_TIMING
        gap_ns = max(0, state.sent_age_ns - state.received_age_ns)
        age_ns = max(state.sent_age_ns, state.received_age_ns) + state.round_trip_ns
        return RequestTiming(age_ns, gap_ns, state.round_trip_ns, state.is_delay_bounded)

    def respond(self, status: int, body: bytes = b"", headers: Headers = (), content_type: bytes = JSON) -> bool:
        """Sends the response.

        Args:
            status: the status code.
            body: the body.
            headers: the header fields, except Content-Type, Content-Length and Connection.
            content_type: the media type of the body.

        Returns:
            True if the response was written; False if the request already had one, or its connection has ended.
        """
        connection = self._connection
        self._connection = None
        if connection is None or connection.request is not self:
            return False
        connection.respond(Response(status, body, headers, content_type))
        return True


def parse_query(text: bytes) -> dict[str, str]:
    """Parses a query string. Returns its parameters, percent-decoded.

    Raises:
        HttpStatusError: it is not UTF-8, or a name occurs twice, so that its value would be ambiguous.
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
    """Parses one parameter. Returns its name and value. Raises HttpStatusError."""
    separated = part.split(b"=", 1)
    raw_name = separated[0]
    raw_value = separated[1] if len(separated) > 1 else b""
    try:
        name = raw_name.decode("ascii")
        value = raw_value.decode("ascii")
        if b"%" in part or b"+" in part:
            from urllib.parse import unquote_plus  # takes 170 KB that nothing else needs, so imported on first use

            name = unquote_plus(name, errors="strict")
            value = unquote_plus(value, errors="strict")
    except UnicodeError:
        raise HttpStatusError(BAD_REQUEST, "query: not UTF-8") from None
    return name, value
