"""Simulated servers that misbehave as PROTOCOL.md allows, for the soak: what they ran stays on record.

Beside the faults of answers to executed requests (`simulated_servers.RESPONSE_FAULTS`), a server may send a rejection
twice, or without the request's identifier, reject a large request before it has read the body or any request although
it has room, end a connection within an answer, and stop reading for a while. Requests that it finds in its buffers
afterwards are executed then.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from ..http import Connection, Request, encode_response, reset
from ..simulated_servers import NOT_RUN, Answer, SimulatedServer

_MISDIRECTED = 421
_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503
_MIN_EARLY_BODY_BYTES = 20_000  # smaller bodies arrive together with the head


class Misbehaviour(Enum):
    """How a server may spoil an answer."""

    COPY_ON_ARRIVAL = "copy_on_arrival"  # a rejection is sent again as soon as the next request has arrived
    COPY_BEFORE_ANSWER = "copy_before_answer"  # a rejection is sent again in front of the next answer
    COPY_AT_ONCE = "copy_at_once"  # a rejection is sent twice in one go
    UNNAMED = "unnamed"  # a rejection has no identifier
    UNNAMED_COPY = "unnamed_copy"  # the second copy of a rejection has none
    TRUNCATED = "truncated"  # the connection is reset within any answer
    EARLY = "early"  # a large request is rejected before its body is read
    SHED = "shed"  # a request is rejected although the server has room for it


REJECTION_MISBEHAVIOURS = (
    Misbehaviour.COPY_ON_ARRIVAL,
    Misbehaviour.COPY_BEFORE_ANSWER,
    Misbehaviour.COPY_AT_ONCE,
    Misbehaviour.UNNAMED,
    Misbehaviour.UNNAMED_COPY,
)


@dataclass(slots=True)
class Manners:
    """How the servers of a run misbehave: the share of the answers for each kind, drawn by `rng`."""

    rng: Random
    shares: dict[Misbehaviour, float] = field(default_factory=dict)

    def draw(self, *kinds: Misbehaviour) -> Misbehaviour | None:
        """Returns one of the kinds, or None for an answer that is not spoilt."""
        for kind in kinds:
            if self.rng.random() < self.shares.get(kind, 0.0):
                return kind
        return None


@dataclass(slots=True)
class _Copy:
    """A rejection that is still to be sent a second time."""

    response: bytes
    on_arrival: bool


class MisbehavingServer(SimulatedServer):
    """A simulated server with the manners of its run. `counts` also counts each kind of misbehaviour."""

    def __init__(self, *arguments: object, manners: Manners) -> None:
        """`arguments`: those of `SimulatedServer`."""
        super().__init__(*arguments)
        self._manners = manners
        self._copies: dict[Connection, _Copy] = {}
        self._rejected_early: set[Connection] = set()
        self._is_deaf = False

    # ---- silence

    def stop_reading(self) -> None:
        """Reads nothing any more, until `resume_reading`; connections are still accepted."""
        self._is_deaf = True
        for connection in self._open_connections():
            connection.transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads again, first what has arrived meanwhile."""
        self._is_deaf = False
        for connection in self._open_connections():
            connection.transport.resume_reading()

    def _open_connections(self) -> list[Connection]:
        """Returns the connections that are not being closed."""
        return [connection for connection in self.connections if not connection.transport.is_closing()]

    # ---- called by the connections

    def on_connection_opened(self, connection: Connection) -> None:
        """Accepts a connection, or resets it."""
        super().on_connection_opened(connection)
        if self._is_deaf and not connection.transport.is_closing():
            connection.transport.pause_reading()

    def on_connection_closed(self, connection: Connection, pending_request: Request | None) -> None:
        """Discards what remains to be sent on the connection."""
        super().on_connection_closed(connection, pending_request)
        self._copies.pop(connection, None)
        self._rejected_early.discard(connection)

    def on_request_head(self, connection: Connection) -> None:
        """May reject a large request before its body is read."""
        if int(connection.fields.get(b"content-length", b"0")) < _MIN_EARLY_BODY_BYTES:
            return
        if self._manners.draw(Misbehaviour.EARLY):
            self.counts[Misbehaviour.EARLY.value] += 1
            self._rejected_early.add(connection)
            super().respond(connection, Answer(_SERVICE_UNAVAILABLE, b"", NOT_RUN, connection.fields.get(b"try-id")))

    def handle(self, request: Request) -> None:
        """Handles a request, unless it was rejected early."""
        connection = request.connection
        if connection in self._rejected_early:
            self._rejected_early.discard(connection)
            connection.pending_request = None
            return
        copy = self._copies.get(connection)
        if copy and copy.on_arrival:
            self._send_copy(connection)
        if self._manners.draw(Misbehaviour.SHED):
            self.counts[Misbehaviour.SHED.value] += 1
            self.respond(connection, Answer(_TOO_MANY_REQUESTS, b"", NOT_RUN, request.fields.get(b"try-id")))
            return
        super().handle(request)

    # ---- answers

    def respond(self, connection: Connection, answer: Answer) -> None:
        """Sends an answer, spoilt or not."""
        self._send_copy(connection)
        fault = self._manners.draw(Misbehaviour.TRUNCATED, *_misbehaviours_of(answer))
        if fault:
            self.counts[fault.value] += 1
        if fault is Misbehaviour.TRUNCATED:
            self._truncate(connection, _encode(answer))
            return
        super().respond(connection, answer._replace(try_id=None) if fault is Misbehaviour.UNNAMED else answer)
        if fault in _COPIED and not connection.transport.is_closing():
            copy = answer._replace(try_id=None) if fault is Misbehaviour.UNNAMED_COPY else answer
            self._copies[connection] = _Copy(_encode(copy), fault is not Misbehaviour.COPY_BEFORE_ANSWER)
        if fault is Misbehaviour.COPY_AT_ONCE:
            self._send_copy(connection)

    def _send_copy(self, connection: Connection) -> None:
        """Sends the second copy of a rejection, if one is still to be sent."""
        copy = self._copies.pop(connection, None)
        if copy and not connection.transport.is_closing():
            connection.transport.write(copy.response)

    def _truncate(self, connection: Connection, response: bytes) -> None:
        """Sends a random part of an answer, and resets the connection."""
        connection.pending_request = None
        if not connection.transport.is_closing():
            connection.transport.write(response[: self._manners.rng.randrange(len(response))])
            reset(connection.transport)


_COPIED = frozenset(
    (
        Misbehaviour.COPY_ON_ARRIVAL,
        Misbehaviour.COPY_BEFORE_ANSWER,
        Misbehaviour.COPY_AT_ONCE,
        Misbehaviour.UNNAMED_COPY,
    )
)


def _misbehaviours_of(answer: Answer) -> tuple[Misbehaviour, ...]:
    """Returns the misbehaviours that only a rejection of a request may have; none for other answers."""
    is_rejection = answer.status == _MISDIRECTED or NOT_RUN in answer.extra_headers
    return REJECTION_MISBEHAVIOURS if is_rejection and answer.try_id else ()


def _encode(answer: Answer) -> bytes:
    """Returns the bytes of an answer, without the headers that do not matter for a copy or a part of it."""
    named = b"Try-Id: %s\r\n" % answer.try_id if answer.try_id else b""
    return encode_response(answer.status, answer.body, answer.extra_headers + named)
