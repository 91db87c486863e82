"""Connections to the servers of one service: the system's own protocol on the pool of `net/upstream.py`.

A request leaves with `Wanted-Server`, `Customer` and the time left. A response is believed only when it carries the
request's `Try-Id` and, where it is a success, the server's seal; that a request has not run is believed only from a
response with `Not-Run`. Source: PROTOCOL.md, "Servers".

It owns the connections. It must never choose a server or send a request again: it reports how each attempt ended, by
which `choice.py` decides.
"""

from __future__ import annotations

from typing import Protocol

from .. import terms as t
from ..net.desk import Desk
from ..net.upstream import IDLE, WAITING, Link, Target, Upstream
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


class ServerConnection(Link):
    """One connection to one server. The methods `on_...` are called by the parser."""

    __slots__ = ("reusable_until", "fields", "header_rows", "idle_ns", "observation")
    pool: ConnectionPool
    exchange: ProxiedRequest | None

    # ---- of the parser

    def on_message_begin(self) -> None:
        """A response begins."""
        super().on_message_begin()
        self.fields: dict[bytes, bytes] = {}  # those of _FIELDS, by their names in lower case
        self.header_rows: list[HeaderRow] = []  # those that go back to the client, as they came

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field."""
        if self.headed:
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
        if self.headed and self.exchange and self.exchange.head[:5] == b"HEAD ":
            self.whole = True
            self.keep = False

    # ---- one attempt or health check

    def begin(self, exchange: ProxiedRequest | None, attempt: int, allow: int) -> None:
        """Starts an attempt, or a health check (`exchange` None), that may take `allow` ns."""
        pool, now = self.pool, self.pool.clock()
        self.idle_ns = now - self.since if self.state == IDLE else None
        if exchange:
            mean_ns = pool.desk.node.lines[exchange.product].mean
            self.observation = pool.observer.attempt_started(self.target.uid, mean_ns, now)
        super().begin(exchange, attempt, allow)

    def say(self, exchange: ProxiedRequest, left: int) -> None:
        """Writes the request; `left` ns until the attempt has to be answered."""
        fields = b"Time-Left-Ms: %d\r\nWanted-Server: %s\r\n\r\n" % (left // MS, self.target.uid.encode())
        self.transport.writelines((exchange.head, fields, exchange.body))

    def connection_lost(self, trouble: Exception | None) -> None:
        """Of the loop: the connection has ended."""
        if self.state == WAITING and not self.fed and self.idle_ns is not None:
            now = self.pool.clock()
            self.pool.idle_trust.connection_ended(self.idle_ns, now - self.sent_at, now)
        super().connection_lost(trouble)

    def conclude(self, sound: bool) -> None:
        """A whole response has come; `sound`: nothing that breaks the protocol came behind it."""
        self.whole = False
        status = self.parser.get_status_code()
        request = self.exchange
        if text := self.fields.get(b"server-load"):
            self.pool.load_reported(self.target, text)
        if request is None:
            self.finish(t.DONE if status == _OK else t.ERROR, sound and self.keep)
            return
        rejected = self.not_run or status == MISDIRECTED
        if not self._is_of(request, rejected):
            self.odd("another request's answer")
        elif rejected:
            if status == MISDIRECTED:
                self.pool.address_reused(self.target)
            self.finish(t.UNSEEN, sound and self.keep)
        elif b"content-encoding" in self.fields or status in SUCCESS_STATUSES and not self.fields.get(b"server-seal"):
            # Guards against responses that are not the server's: none of it reaches a client.
            self.odd("not the server's answer")
        else:
            self.finish(t.ERROR if is_failure(status) else t.DONE, sound and self.keep)

    def _is_of(self, request: ProxiedRequest, rejected: bool) -> bool:
        """Guards against a late response to an earlier request, above all one that says that nothing ran. A rejection
        without an identifier is believed only on a connection that carried no earlier request."""
        try_id = self.fields.get(b"try-id")
        if try_id == request.id:
            return True
        return rejected and try_id is None and self.idle_ns is None

    def finish(self, how: int, keep: bool = False) -> None:
        """The attempt has ended as `how` of `terms` says; `keep`: the connection may be used again."""
        now = self.pool.clock()
        keep_alive = self.fields.get(b"keep-alive") if keep else None
        self.reusable_until = reusable_until(keep_alive, now) if keep_alive else NEVER
        if self.exchange:
            lasted_ns = now - self.sent_at
            self.pool.observer.attempt_ended(self.observation, self.target.uid, how, lasted_ns, now)
        super().finish(how, keep)

    def outcome(self, how: int, took: int) -> tuple[ServerResponse | None, int, None]:
        """The response that an attempt brought which ended as `how`, `took` ns after its start; no costs, no quota
        use."""
        request = self.exchange
        if request and how not in _NOT_EXECUTED:
            request.apply(_ATTEMPT_UNCERTAIN)
        if request is None or how not in _ANSWERED:
            return None, 0, None
        self.pool.observer.response_durations.record(took)
        response = ServerResponse(self.parser.get_status_code(), self.header_rows, b"".join(self.body))
        self.header_rows = []  # an idle connection holds nothing of its last response
        if how == t.ERROR and response.status not in NOT_RUN_STATUSES:
            request.retain_failure(response)
        return response, 0, None


class ConnectionPool(Upstream):
    """The connections to all servers of one service."""

    kind = ServerConnection

    def __init__(
        self,
        environment: ProxyEnvironment,
        desk: Desk,
        health_path: bytes,
        events: ServiceEvents,
        observer: ServerObserver,
    ) -> None:
        """`events` is told what responses say of their servers, `observer` of every attempt."""
        super().__init__(environment.loop, desk, environment.limits, False, environment.log)
        self.events = events
        self.observer = observer
        self.idle_trust = IdleTrust(environment.limits.server_idle_timeout_ns)
        self.probe_text = b"GET %s HTTP/1.1\r\nHost: health\r\n\r\n" % health_path

    def submit(self, exchange: ProxiedRequest, attempt: int, index: int, allow: int) -> None:
        """Makes an attempt at a server, that may take `allow` ns."""
        if exchange.once_only and (target := self.targets.get(index)):
            # Guards it against a connection that its server has forgotten: it could not be sent again.
            self._close_distrusted(target)
        super().submit(exchange, attempt, index, allow)

    def _close_distrusted(self, target: Target) -> None:
        now = self.clock()
        trusted_ns = self.idle_trust.trusted_ns(now)
        while target.idle and now - target.idle[-1].since > trusted_ns:
            target.idle[-1].close()

    def link_to(self, index: int) -> ServerConnection | None:
        """A connection to a server: the idle one used last, or a new one. None: there can be none."""
        target = self.targets.get(index)
        if target and target.idle and target.idle[-1].reusable_until <= self.clock():
            self.close_idle(target)  # the newest is too old, so the others are
        return super().link_to(index)

    def load_reported(self, target: Target, text: bytes) -> None:
        """A response's `Server-Load`. What cannot be read is left alone."""
        load = parse_server_load(text)
        if load is not None:
            self.events.server_load_reported(target.index, load)

    def address_reused(self, target: Target) -> None:
        """Guards against sending to a server that is gone, whose address is another's, until the list says so too."""
        self.counts["misplaced"] += 1
        self.events.address_reused(target.uid)
