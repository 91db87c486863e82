"""Connections to the servers of one service: the system's own protocol on the pool of `net/server_connection_pool.py`.

A request leaves with `Wanted-Server`, `Customer` and the time left. A response is believed only when it carries the
request's `Try-Id` and, where it is a success, the server's seal; that a request has not run is believed only from a
response with `Not-Run`. Source: PROTOCOL.md, "Servers".

It owns the connections. It must never choose a server or send a request again: it reports how each attempt ended, by
which `choice.py` decides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .. import terms as t
from ..net.decision_driver import DecisionDriver
from ..net.decision_ports import SubmissionEnd
from ..net.limits import NetworkLimits
from ..net.server_connection import AWAITING_RESPONSE, IDLE, Server
from ..net.server_connection import ServerConnection as HttpServerConnection
from ..net.server_connection_pool import ServerConnectionPool
from ..net.server_response_reader import ServerResponseReader
from ..settings.scalars import MS
from .environment import ProxyEnvironment
from .health_observation import ServerObserver
from .idle_reuse import NEVER, IdleTrust, reusable_until
from .request import HeaderRow, ProxiedRequest, RequestEvent
from .server_response import (
    HOP_BY_HOP_FIELDS,
    MISDIRECTED,
    NOT_RUN_STATUSES,
    SUCCESS_STATUSES,
    ServerLoad,
    ServerResponse,
    is_failure,
    parse_server_load,
)

_OK = 200
_NOT_EXECUTED = frozenset((t.UNSEEN, t.UNSENT, t.UNREACHED))  # ends of attempts that no server has run
_ANSWERED = (t.DONE, t.ERROR)
_ATTEMPT_UNCERTAIN = RequestEvent.ATTEMPT_UNCERTAIN
_FALSE = (b"", b"0")  # of `Not-Run`
# Fields of a response that are looked at here.
_FIELDS = frozenset(
    (
        b"try-id",
        b"server-seal",
        b"not-run",
        b"server-load",
        b"content-encoding",
        b"content-length",
        b"transfer-encoding",
        b"keep-alive",
    )
)


class ServiceEvents(Protocol):
    """Who is told what responses say of their servers: `service_pool.ServicePool`."""

    def server_load_reported(self, index: int, load: ServerLoad) -> None:
        """A response says how busy its server is."""

    def address_reused(self, server_id: str) -> None:
        """Another server has the address."""


class ResponseReader(ServerResponseReader):
    """Reads the responses of one connection. The methods `on_...` are called by the parser."""

    __slots__ = ("fields", "header_rows", "expects_no_body")

    def __init__(self, limits: NetworkLimits, may_stream: Callable[[], bool]) -> None:
        """Nothing has been read yet."""
        super().__init__(limits, may_stream)
        self.fields: dict[bytes, bytes] = {}  # those of _FIELDS, by their names in lower case
        self.header_rows: list[HeaderRow] = []  # those that go back to the client, as they came
        self.expects_no_body = False  # the request is a HEAD

    def on_message_begin(self) -> None:
        """A response begins."""
        super().on_message_begin()
        self.fields = {}
        self.header_rows = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field."""
        if self.head_complete:
            return  # guards the head against trailers
        lowered = name.lower()
        if lowered in _FIELDS:
            self.fields[lowered] = value
        if lowered not in HOP_BY_HOP_FIELDS:
            self.header_rows.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is complete. A response to HEAD ends with it: the body that its length announces does not come."""
        fields = self.fields
        self.not_run = fields.get(b"not-run", b"").strip() not in _FALSE
        self.chunked = b"transfer-encoding" in fields
        if b"content-length" in fields:
            self.length = int(fields[b"content-length"])  # the parser has checked it
        super().on_headers_complete()
        if self.head_complete and self.expects_no_body:
            self.complete = True
            self.keep_alive = False

    @property
    def is_encoded(self) -> bool:
        """Whether the body has a content encoding, which the system's servers never use."""
        return b"content-encoding" in self.fields

    def take_header_rows(self) -> list[HeaderRow]:
        """Hands over the header fields that go back to the client."""
        rows = self.header_rows
        self.header_rows = []
        return rows


class ServerConnection(HttpServerConnection[ProxiedRequest]):
    """One connection to one server."""

    __slots__ = ("reusable_until", "idle_ns", "observation")
    reader_type = ResponseReader
    pool: ConnectionPool
    reader: ResponseReader

    # ---- one attempt or health check

    def begin(self, exchange: ProxiedRequest | None, attempt: int, allow: int) -> None:
        """Starts an attempt, or a health check (`exchange` None), that may take `allow` ns."""
        pool, now = self.pool, self.pool.clock()
        self.idle_ns = now - self.idle_since_ns if self.state is IDLE else None
        if exchange:
            mean_ns = pool.driver.node.lines[exchange.product].mean
            self.observation = pool.observer.attempt_started(self.server.uid, mean_ns, now)
        self.reader.expects_no_body = exchange is not None and exchange.head[:5] == b"HEAD "
        super().begin(exchange, attempt, allow)

    def write_request(self, exchange: ProxiedRequest, left: int) -> None:
        """Writes the request; `left` ns until the attempt has to be answered."""
        fields = b"Time-Left-Ms: %d\r\nWanted-Server: %s\r\n\r\n" % (left // MS, self.server.uid.encode())
        self.transport.writelines((exchange.head, fields, exchange.body))

    def connection_lost(self, trouble: Exception | None) -> None:
        """Of the loop: the connection has ended."""
        if self.state is AWAITING_RESPONSE and not self.reader.received_bytes and self.idle_ns is not None:
            now = self.pool.clock()
            self.pool.idle_trust.connection_ended(self.idle_ns, now - self.sent_at_ns, now)
        super().connection_lost(trouble)

    def conclude(self, sound: bool) -> None:
        """A whole response has come; `sound`: nothing that breaks the protocol came behind it."""
        reader = self.reader
        reader.complete = False
        status = reader.status
        request = self.exchange
        if text := reader.fields.get(b"server-load"):
            self.pool.load_reported(self.server, text)
        if request is None:
            self.finish(t.DONE if status == _OK else t.ERROR, sound and reader.keep_alive)
            return
        rejected = reader.not_run or status == MISDIRECTED
        if not self._is_of(request, rejected):
            self.protocol_broken("another request's answer")
        elif rejected:
            if status == MISDIRECTED:
                self.pool.address_reused(self.server)
            self.finish(t.UNSEEN, sound and reader.keep_alive)
        elif reader.is_encoded or status in SUCCESS_STATUSES and not reader.fields.get(b"server-seal"):
            # Guards against responses that are not the server's: none of it reaches a client.
            self.protocol_broken("not the server's answer")
        else:
            self.finish(t.ERROR if is_failure(status) else t.DONE, sound and reader.keep_alive)

    def _is_of(self, request: ProxiedRequest, rejected: bool) -> bool:
        """Guards against a late response to an earlier request, above all one that says that nothing ran. A rejection
        without an identifier is believed only on a connection that carried no earlier request."""
        try_id = self.reader.fields.get(b"try-id")
        if try_id == request.id:
            return True
        return rejected and try_id is None and self.idle_ns is None

    def finish(self, how: int, keep: bool = False) -> None:
        """The attempt has ended as `how` of `terms` says; `keep`: the connection may be used again."""
        now = self.pool.clock()
        keep_alive = self.reader.fields.get(b"keep-alive") if keep else None
        self.reusable_until = reusable_until(keep_alive, now) if keep_alive else NEVER
        if self.exchange:
            lasted_ns = now - self.sent_at_ns
            self.pool.observer.attempt_ended(self.observation, self.server.uid, how, lasted_ns, now)
        super().finish(how, keep)

    def submission_end(self, exchange: ProxiedRequest, how: int, took_ns: int) -> SubmissionEnd[ProxiedRequest]:
        """What the decisions are told of an attempt that ended as `how`: its response, no costs, no quota use."""
        if how not in _NOT_EXECUTED:
            exchange.apply(_ATTEMPT_UNCERTAIN)
        if how not in _ANSWERED:
            return SubmissionEnd(exchange, self.attempt, self.server.index, how, took_ns)
        self.pool.observer.response_durations.record(took_ns)
        reader = self.reader
        response = ServerResponse(reader.status, reader.take_header_rows(), b"".join(reader.body_parts))
        if how == t.ERROR and response.status not in NOT_RUN_STATUSES:
            exchange.retain_failure(response)
        return SubmissionEnd(exchange, self.attempt, self.server.index, how, took_ns, body=response)

    def health_report(self) -> None:
        """A health check reports no load: responses to requests do."""


class ConnectionPool(ServerConnectionPool[ProxiedRequest]):
    """The connections to all servers of one service."""

    connection_type = ServerConnection

    def __init__(
        self,
        environment: ProxyEnvironment,
        driver: DecisionDriver[ProxiedRequest],
        health_path: bytes,
        events: ServiceEvents,
        observer: ServerObserver,
    ) -> None:
        """`events` is told what responses say of their servers, `observer` of every attempt."""
        super().__init__(environment.loop, driver, environment.limits, False, environment.log)
        self.events = events
        self.observer = observer
        self.idle_trust = IdleTrust(environment.limits.server_idle_timeout_ns)
        self.health_check_request = b"GET %s HTTP/1.1\r\nHost: health\r\n\r\n" % health_path

    def submit(self, exchange: ProxiedRequest, attempt: int, index: int, allow: int) -> None:
        """Makes an attempt at a server, that may take `allow` ns."""
        if exchange.once_only and (server := self.servers.get(index)):
            # Guards it against a connection that its server has forgotten: it could not be sent again.
            self._close_distrusted(server)
        super().submit(exchange, attempt, index, allow)

    def _close_distrusted(self, server: Server[ProxiedRequest]) -> None:
        now = self.clock()
        trusted_ns = self.idle_trust.trusted_ns(now)
        while server.idle and now - server.idle[-1].idle_since_ns > trusted_ns:
            server.idle[-1].close()

    def connection_to(self, index: int) -> ServerConnection | None:
        """A connection to a server: the idle one used last, or a new one. None: there can be none."""
        server = self.servers.get(index)
        if server and server.idle and server.idle[-1].reusable_until <= self.clock():
            server.close_idle()  # the newest is too old, so the others are
        return super().connection_to(index)

    def load_reported(self, server: Server[ProxiedRequest], text: bytes) -> None:
        """A response's `Server-Load`. What cannot be read is left alone."""
        load = parse_server_load(text)
        if load is not None:
            self.events.server_load_reported(server.index, load)

    def address_reused(self, server: Server[ProxiedRequest]) -> None:
        """Guards against sending to a server that is gone, whose address is another's, until the list says so too."""
        self.counts["misplaced"] += 1
        self.events.address_reused(server.uid)
