"""Clients of the system: requests read whole and checked, answers passed back, on the shared front of `net/front.py`.

It owns the client connections. It must never choose an answer: it writes what it is given (`own`) or passes on a
server's (`passed`). Bounds are the configuration's `Caps`.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..net.core import Unfit
from ..net.front import REASONS, Client, Front

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

    from ..net.limits import NetworkLimits
    from ..node.log import Log
    from ..settings.configuration import Caps
    from .core import ProxiedRequest, RequestProxy
    from .forwarding import Answer

SEC = 10**9  # ns
REASONS = REASONS | {200: b"OK", 401: b"Unauthorized", 504: b"Gateway Timeout"}
ONCE = frozenset((b"host", b"try-id", b"time-left-ms", b"authorization", b"connection", b"content-length", b"expect"))
MOST_FIELDS = 128  # header fields of a request
MOST_HELD = 96 << 20  # bytes of bodies held at once, of all clients


class ClientConnection(Client):
    """One client's connection: a request at a time, read whole. The methods `on_...` are called by the parser."""

    __slots__ = ("rows", "held", "headed", "bare")
    relays = False

    def __init__(self, front: ClientFront) -> None:
        """Nothing has been read yet."""
        super().__init__(front)
        self.held = 0
        self.bare = False  # its answer has no body, as HEAD asks for

    def on_message_begin(self) -> None:
        """A request begins."""
        super().on_message_begin()
        self.rows, self.headed = [], False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field, as it came."""
        if self.headed:
            return  # Guards the head against trailers: a key or a tenant's name behind the body is none
        lowered = name.lower()
        if lowered in ONCE:
            if lowered in self.fields:
                raise Unfit(400, f"{lowered.decode()} twice")
            self.fields[lowered] = value
        self.rows.append((name, value))
        self.size += len(name) + len(value) + 4
        if self.size > self.front.bounds.max_head_bytes or len(self.rows) > MOST_FIELDS:
            raise Unfit(431, "the head is too large")

    def on_headers_complete(self) -> None:
        """The head is whole."""
        super().on_headers_complete()
        self.headed = True
        if b"host" not in self.fields:
            raise Unfit(400, "Host is missing")

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        super().on_body(part)
        self.held += len(part)
        self.front.held += len(part)
        if self.front.held > MOST_HELD:
            # Guards memory against many large bodies at once: nothing of this one was sent on.
            raise Unfit(503, "too much is held")

    def release(self) -> None:
        """The body is not needed any more."""
        self.front.held -= self.held
        self.held = 0

    def connection_lost(self, trouble: Exception | None) -> None:
        """The connection has ended."""
        super().connection_lost(trouble)
        self.release()

    def taken(self, exchange: ProxiedRequest) -> None:
        """The request was taken; it answers it."""
        self.rows = None
        super().taken(exchange)

    def answer(self, head: bytes, body: bytes) -> None:
        """Writes an answer."""
        super().answer(head, b"" if self.bare else body)

    def own(self, status: int, why: bytes, back_in: int = 0) -> None:
        """An answer of our own; `back_in` ns: when to come back, where it has not run; 0: no advice."""
        advice = b"Retry-After: %.3f\r\n" % (back_in / SEC) if back_in else b""
        self.release()
        self.answer(b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n%s" % (status, REASONS[status], advice), why)

    def passed(self, answer: Answer) -> None:
        """A server's answer."""
        self.release()
        head = b"".join([b"%s: %s\r\n" % field for field in answer.fields])
        self.answer(b"HTTP/1.1 %d %s\r\n%s" % (answer.status, REASONS.get(answer.status, b"-"), head), answer.body)


class ClientFront(Front):
    """All client connections of the process."""

    kind = ClientConnection

    def __init__(self, loop: AbstractEventLoop, request_proxy: RequestProxy, bounds: NetworkLimits, log: Log) -> None:
        """`request_proxy` takes the requests; `bounds` hold until the configuration's are known (`capped`)."""
        super().__init__(loop, request_proxy, bounds, log)
        self.held = 0  # bytes of bodies that came in and are still needed

    def capped(self, caps: Caps) -> None:
        """Bounds as the configuration has them, from now on."""
        self.bounds = replace(
            self.bounds,
            max_head_bytes=caps.header_bytes,
            max_body_bytes=caps.body_bytes,
            client_idle_timeout_ns=caps.idle,
            request_read_timeout_ns=max(caps.header_wait, self.bounds.request_read_timeout_ns),
        )
        self.most = self.bounds.max_head_bytes + self.bounds.max_body_bytes

    def ready(self) -> bool:
        """Whether new clients are welcome."""
        return not self.closing and not self.draining and self.core.ready()

    def read(self, client: ClientConnection) -> None:
        """A request is whole: it is taken or refused."""
        if self.served > self.bounds.max_active_clients:
            self.spread(client)
        self.counts["taken"] += 1
        method = client.parser.get_method()
        client.bare = method == b"HEAD"
        if client.crowded:
            self.counts["turned_away"] += 1
            return client.own(503, b"too many connections", SEC // 2)
        url = client.url
        path = url if url[:1] == b"/" else b"/" + url.partition(b"://")[2].partition(b"/")[2]
        try:
            self.core.take(
                client, method, url, client.fields[b"host"], path, client.rows, client.fields, b"".join(client.body)
            )
        except Unfit as error:
            client.refuse(error)

    def malformed(self, client: ClientConnection, trouble: Unfit) -> None:
        """What came is no request that can be followed."""
        client.release()
        client.fields = client.fields or {}
        super().malformed(client, trouble)
