"""Connections to the servers of one service: the system's own protocol on the connection pool of `net`.

A request is sent with `Wanted-Server`, `Customer` and the time left. A response is accepted only if it has the
request's `Try-Id` and, if it is a success, the server's seal. A request counts as not executed only if the response
has `Not-Run`. A server may send a response twice, the second copy in the place of a later one. `Try-Id` tells requests
apart, but not the attempts of one request, so a connection on which a request was rejected does not carry it again.
Source: PROTOCOL.md, "Servers".

This module owns the connections. It must never choose a server or retry a request: it reports how each attempt ended,
and `choice.py` decides.
"""

from __future__ import annotations

from typing import Protocol

from .. import terms as t
from ..net.decision_driver import DecisionDriver
from ..net.decision_ports import SubmissionEnd
from ..net.non_execution import NonExecution
from ..net.server import Server
from ..net.server_connection import AWAITING_RESPONSE, IDLE, ServerConnection
from ..net.server_connection_pool import ServerConnectionPool
from ..net.server_response import Report
from ..settings.scalars import MS
from .environment import ProxyEnvironment
from .health_observation import ServerObserver
from .idle_reuse import NEVER, IdleTrust, reusable_until
from .refusal_log import UnexecutedAttempt
from .request import ProxiedRequest, RequestEvent
from .server_response import (
    FIRST_SERVER_ERROR,
    MISDIRECTED,
    NOT_RUN_STATUSES,
    SUCCESS_STATUSES,
    ServerResponse,
    parse_server_load,
)
from .server_response_reader import SystemResponseReader

_OK = 200
_ANSWERED = (t.DONE, t.ERROR)
_ATTEMPT_UNCERTAIN = RequestEvent.ATTEMPT_UNCERTAIN
_NO_CONNECTION_NUMBER = 0
_MAX_REJECTED_IDS = 32  # per connection; bounds its memory, because the connection is closed then
_COUNTERS = {ground: f"unexecuted_{ground.value}" for ground in NonExecution}


class ServiceEvents(Protocol):
    """Notifications about the servers, taken from their responses; implemented by `service_pool.ServicePool`."""

    def server_load_reported(self, index: int, load: Report) -> None:
        """Notifies of the load that a server reported with a response."""
        raise NotImplementedError

    def address_reused(self, server_id: str) -> None:
        """Notifies that the server's address now belongs to another server."""
        raise NotImplementedError


class ForwardingConnection(ServerConnection[ProxiedRequest]):
    """One connection to one server.

    Attributes:
        reusable_until_ns: the time until which it may be reused while it is idle.
        idle_ns: how long it had been idle when the current attempt began; None for its first attempt.
        observation: the observer's reference of the current attempt.
        number: its serial number in this process.
        rejected_ids: the identifiers of the requests that the server rejected on it.
    """

    __slots__ = ("reusable_until_ns", "idle_ns", "observation", "number", "rejected_ids")
    pool: ConnectionPool
    reader: SystemResponseReader
    reader_type = SystemResponseReader

    def __init__(self, pool: ConnectionPool, server: Server[ServerConnection[ProxiedRequest]]) -> None:
        """Starts without a connection."""
        super().__init__(pool, server)
        self.reusable_until_ns = NEVER
        self.idle_ns: int | None = None
        self.observation = 0
        self.number = pool.counts["connects"] + 1
        self.rejected_ids: tuple[bytes, ...] = ()

    def may_carry(self, exchange: ProxiedRequest | None) -> bool:
        """Whether a response on this idle connection would prove to belong to the next attempt of the request."""
        return exchange is None or exchange.id not in self.rejected_ids

    def begin(self, exchange: ProxiedRequest | None, attempt: int, timeout_ns: int) -> None:
        """Starts an attempt, or a health check (`exchange` None), with a time limit of `timeout_ns`."""
        pool = self.pool
        now_ns = pool.clock()
        self.idle_ns = now_ns - self.idle_since_ns if self.state is IDLE else None
        self.reader.expects_no_body = exchange is not None and exchange.head[:5] == b"HEAD "
        if exchange:
            mean_ns = pool.driver.node.products[exchange.product].mean_time
            self.observation = pool.observer.request_started(self.server.uid, mean_ns, now_ns)
            if exchange.used_connection(self.number):
                pool.counts["resent_same_connection"] += 1
        super().begin(exchange, attempt, timeout_ns)

    def write_request(self, exchange: ProxiedRequest, remaining_ns: int) -> None:
        """Writes the request; `remaining_ns`: the time left until the attempt's deadline."""
        assert self.transport is not None
        fields = b"Time-Left-Ms: %d\r\nWanted-Server: %s\r\n\r\n" % (remaining_ns // MS, self.server.uid.encode())
        self.transport.writelines((exchange.head, fields, exchange.body))

    def connection_lost(self, error: Exception | None) -> None:
        """Called by the event loop when the connection has ended."""
        if self.state is AWAITING_RESPONSE and not self.reader.received_bytes and self.idle_ns is not None:
            now_ns = self.pool.clock()
            self.pool.idle_trust.connection_ended(self.idle_ns, now_ns - self.sent_at_ns, now_ns)
        super().connection_lost(error)

    def finish_with_response(self, intact: bool) -> None:
        """Handles a complete response; `intact`: no data that breaks the protocol followed it."""
        reader = self.reader
        reader.complete = False
        status = reader.status
        request = self.exchange
        fields = reader.fields
        if load_text := fields.get(b"server-load"):
            self.pool.load_reported(self.server, load_text)
        if request is None:
            self.finish(t.DONE if status == _OK else t.ERROR, intact and reader.keep_alive)
            return
        try_id = fields.get(b"try-id")
        keep = intact and reader.keep_alive
        rejected = reader.not_run or status == MISDIRECTED
        if try_id != request.id and not (rejected and try_id is None and self.idle_ns is None):
            # This may be a late response to an earlier request, which is most harmful if it says that the request
            # was not executed. A rejection without an identifier is accepted only on a connection that carried no
            # earlier request.
            self.protocol_broken("the response belongs to another request")
        elif status == MISDIRECTED:
            self.pool.address_reused(self.server)
            self.finish_unexecuted(NonExecution.MISDIRECTED, keep)
        elif rejected:
            self.finish_unexecuted(NonExecution.REJECTED if try_id else NonExecution.REJECTED_UNNAMED, keep)
        elif b"content-encoding" in fields or status in SUCCESS_STATUSES and not fields.get(b"server-seal"):
            # The response was not generated by the server, so no part of it may reach a client.
            self.protocol_broken("the response has a content encoding or no seal")
        else:
            failed = status >= FIRST_SERVER_ERROR or status in NOT_RUN_STATUSES
            self.finish(t.ERROR if failed else t.DONE, keep)

    def finish_unexecuted(self, ground: NonExecution, keep: bool = False) -> None:
        """Ends an attempt that was not executed. `keep`: the connection may be reused."""
        if keep and self.exchange:
            self.rejected_ids += (self.exchange.id,)
        super().finish_unexecuted(ground, keep and len(self.rejected_ids) < _MAX_REJECTED_IDS)

    def finish(self, outcome: int, keep: bool = False) -> None:
        """Ends the attempt; `outcome` is a constant of `terms`; `keep`: the connection may be reused."""
        now_ns = self.pool.clock()
        keep_alive = self.reader.fields.get(b"keep-alive") if keep else None
        self.reusable_until_ns = reusable_until(keep_alive, now_ns) if keep_alive else NEVER
        if self.exchange:
            duration_ns = now_ns - self.sent_at_ns
            self.pool.observer.attempt_ended(self.observation, self.server.uid, outcome, duration_ns, now_ns)
        super().finish(outcome, keep)

    def submission_end(self, exchange: ProxiedRequest, outcome: int, duration_ns: int) -> SubmissionEnd[ProxiedRequest]:
        """Builds the driver's notification of an attempt that ended with `outcome` after `duration_ns`.

        It has the response, if there is one, and no costs or quotas."""
        ground = self.non_execution
        if ground is None:
            exchange.apply(_ATTEMPT_UNCERTAIN)
        else:
            self.pool.note_unexecuted(exchange, UnexecutedAttempt(self.server.uid, ground, self.number))
        if outcome not in _ANSWERED:
            return SubmissionEnd(exchange, self.attempt, self.server.index, outcome, duration_ns)
        self.pool.observer.response_durations.record(duration_ns)
        reader = self.reader
        header_lines = reader.header_lines
        reader.header_lines = []  # releases the memory of the last response while the connection is idle
        if reader.is_discarded:
            return SubmissionEnd(exchange, self.attempt, self.server.index, outcome, duration_ns)
        response = ServerResponse(reader.status, header_lines, reader.body.take())
        if outcome == t.ERROR and response.status not in NOT_RUN_STATUSES:
            exchange.retain_failure(response)
        return SubmissionEnd(exchange, self.attempt, self.server.index, outcome, duration_ns, 0, None, response)

    def health_report(self) -> bytes | None:
        """Returns None, because load is reported by responses to requests, not to health checks."""
        return None


class ConnectionPool(ServerConnectionPool[ProxiedRequest]):
    """The connections to all servers of one service."""

    connection_type = ForwardingConnection

    def __init__(
        self,
        environment: ProxyEnvironment,
        driver: DecisionDriver[ProxiedRequest],
        health_path: bytes,
        events: ServiceEvents,
        observer: ServerObserver,
    ) -> None:
        """`events` is notified of load and address changes that responses report, `observer` of every attempt."""
        super().__init__(environment.loop, driver, environment.memory, False, environment.log)
        self.events = events
        self.observer = observer
        self.idle_trust = IdleTrust(environment.limits.server_idle_timeout_ns)
        self.health_check_request = b"GET %s HTTP/1.1\r\nHost: health\r\n\r\n" % health_path

    def submit(self, exchange: ProxiedRequest, attempt: int, index: int, timeout_ns: int) -> None:
        """Makes an attempt at a server, with a time limit of `timeout_ns`."""
        if exchange.once_only and (server := self.servers.get(index)):
            # On a connection that the server has dropped, the request would be lost, because it cannot be retried.
            self._close_distrusted(server)
        super().submit(exchange, attempt, index, timeout_ns)

    def end_unsent(self, exchange: ProxiedRequest, attempt: int, index: int) -> None:
        """Ends an attempt for which there is no connection."""
        server_id = self.uid(index) or ""
        self.note_unexecuted(exchange, UnexecutedAttempt(server_id, NonExecution.NO_CONNECTION, _NO_CONNECTION_NUMBER))
        super().end_unsent(exchange, attempt, index)

    def note_unexecuted(self, exchange: ProxiedRequest, attempt: UnexecutedAttempt) -> None:
        """Records the evidence of an attempt that was not executed."""
        self.counts[_COUNTERS[attempt.ground]] += 1
        exchange.unexecuted_attempts += (attempt,)

    def connection_to(
        self, index: int, exchange: ProxiedRequest | None = None
    ) -> ServerConnection[ProxiedRequest] | None:
        """A connection to a server that may carry the request: an idle one, or a new one; None if there can be none."""
        server = self.servers.get(index)
        if server and server.idle:
            newest = server.idle[-1]
            assert isinstance(newest, ForwardingConnection)
            if newest.reusable_until_ns <= self.clock():
                server.close_idle()  # the newest may not be reused, so the older ones may not either
        return super().connection_to(index, exchange)

    def load_reported(self, server: Server[ServerConnection[ProxiedRequest]], text: bytes) -> None:
        """Passes on the `Server-Load` of a response. An invalid one is ignored."""
        load = parse_server_load(text)
        if load is not None:
            self.events.server_load_reported(server.index, load)

    def address_reused(self, server: Server[ServerConnection[ProxiedRequest]]) -> None:
        """Stops requests to a server whose address was reassigned, until the server list reflects it."""
        self.counts["misdirected"] += 1
        self.events.address_reused(server.uid)

    def _close_distrusted(self, server: Server[ServerConnection[ProxiedRequest]]) -> None:
        """Closes idle connections that their server may have dropped."""
        now_ns = self.clock()
        trusted_ns = self.idle_trust.trusted_ns(now_ns)
        while server.idle and now_ns - server.idle[-1].idle_since_ns > trusted_ns:
            server.idle[-1].close()
