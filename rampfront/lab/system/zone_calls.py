"""Calls about zones to real nodes, as impatient operators make them and as networks and relays deliver them.

A caller gives up an attempt after a second without an answer. What it leaves behind may still arrive, on a connection
that was opened for it, or on a new one that a relay opens when it delivers the attempt.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import NamedTuple, TypeAlias

from ...operator_cli.control_answers import Json
from ...operator_cli.local_layout import Node
from ...settings.scalars import parse_address
from ..http import reset
from ..nodes import RunFailedError

OK, CONFLICT = 200, 409
_ORDER_TIMEOUT_S = 30.0  # after which a run has no verdict; more than a node is away
_MIN_RETRY_S, _MAX_RETRY_S = 0.05, 0.3
PATIENCE_S = 1.0  # after which an attempt without an answer is given up (PROTOCOL.md, "The operator")
_DELAYED_SHARE = 0.15  # of the attempts that the network delays
_MIN_DELAY_S, _MAX_DELAY_S = 1.2, 9.0
_END_BEHIND_S = 0.003  # the end of a stream arrives so long behind delayed bytes
_KEPT_SHARE = 0.2  # of the connections that are used for the next call, although the node ends them behind an answer
_RELAYED_SHARE = 0.6  # of the orders of which a relay holds an attempt, and delivers it behind the acknowledgement
_MIN_RELAY_S, _MAX_RELAY_S = 0.2, 15.0  # for which it does
_RELAY_PAUSE_S = 8.0  # between two relayed attempts of a zone: within 7 s the second one counts as the caller's repeat


class Departure(Enum):
    """What an operator does with the connection of an attempt that it gives up."""

    CLOSES = "closes"
    RESETS = "resets"
    LEAVES_OPEN = "leaves open"


@dataclass(frozen=True, slots=True)
class Call:
    """A call to a node's control address; `zone`: of an order; `key`: the idempotency key of an order that has one."""

    name: str
    zone: str = ""
    key: str = ""

    def encode(self) -> bytes:
        """Returns the request."""
        query = f"call={self.name}&of={self.zone}" if self.zone else f"call={self.name}"
        key = f"Idempotency-Key: {self.key}\r\n" if self.key else ""
        return f"POST /api/rpc?{query} HTTP/1.1\r\nHost: control\r\n{key}Content-Length: 0\r\n\r\n".encode()


class Answer(NamedTuple):
    """A complete answer."""

    status: int
    body: bytes


NO_ANSWER = Answer(0, b"")
Attempt: TypeAlias = Callable[[Node, Call], Awaitable[Answer]]


class Route(Enum):
    """How an attempt at an order reaches its node."""

    DIRECT = "direct"
    DELAYED = "delayed"
    RELAYED = "relayed"


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt at an order. Times are seconds of a steady clock; `status` is 0 if no answer was read."""

    sent_at: float
    ended_at: float
    route: Route
    node: str
    call: Call
    status: int
    answer: str


class Caller:
    """Sends single calls to nodes, and keeps the connections that operators leave open."""

    def __init__(self, rng: Random, departure: Departure | None = None) -> None:
        """`rng`: draws what becomes of attempts; `departure`: how connections end once the whole answer has been read;
        None: they are closed or kept, by chance."""
        self._departure = departure
        self.counts: Counter[str] = Counter()
        self.attempts: list[AttemptRecord] = []  # in the order in which they ended
        self._rng = rng
        self._left_open: list[asyncio.StreamWriter] = []
        self._kept: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}  # idle ones, by node
        self._late: set[asyncio.Task[None]] = set()  # deliveries of attempts that arrive late
        self._relay_free_at: dict[str, float] = {}  # by zone
        # By zone; held during an order. A relayed attempt between the demand to repeat an order and the repeat would
        # count as the repeat.
        self.zone_locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def give(self, order: Call, nodes: Sequence[Node], rng: Random, attempt: Attempt | None = None) -> Json:
        """Repeats an order at one node after the other until it has a clear answer; returns the answer's document.

        `attempt`: sends it once; None: at once. Raises `RunFailedError` if there is none in time."""
        deadline = time.monotonic() + _ORDER_TIMEOUT_S
        while True:
            answer = await (attempt or self.attempt_directly)(rng.choice(nodes), order)
            if answer.status in (OK, CONFLICT):
                document: Json = json.loads(answer.body)
                return document
            if time.monotonic() > deadline:
                raise RunFailedError(f"{order.name} of {order.zone} was not acknowledged in {_ORDER_TIMEOUT_S} s")
            await asyncio.sleep(rng.uniform(_MIN_RETRY_S, _MAX_RETRY_S))

    async def attempt(self, node: Node, order: Call) -> Answer:
        """Sends an order once, unless the network delays it. Returns its answer, or `NO_ANSWER` for none in time."""
        if self._rng.random() < _DELAYED_SHARE:
            self.counts["delayed"] += 1
            self._deliver_later(self._deliver_late(node, order))
            await asyncio.sleep(PATIENCE_S)
            return NO_ANSWER
        return await self.attempt_directly(node, order)

    async def attempt_directly(self, node: Node, order: Call) -> Answer:
        """Sends an order once, at once. Returns its answer, or `NO_ANSWER` for none in time."""
        sent_at = time.monotonic()
        answer = await self.call(node, order)
        self._record(sent_at, Route.DIRECT, node, order, answer)
        self.counts[f"{order.name} {answer.status or 'given up'}"] += 1
        return answer

    def _record(self, sent_at: float, route: Route, node: Node, order: Call, answer: Answer) -> None:
        text = answer.body.decode()
        self.attempts.append(AttemptRecord(sent_at, time.monotonic(), route, node.name, order, answer.status, text))

    def relay(self, node: Node, order: Call) -> None:
        """Has a relay deliver, in some cases, an attempt at an order that is acknowledged by now."""
        now = time.monotonic()
        if self._rng.random() > _RELAYED_SHARE or now < self._relay_free_at.get(order.zone, now):
            return
        delay = self._rng.uniform(_MIN_RELAY_S, _MAX_RELAY_S)
        self._relay_free_at[order.zone] = now + delay + _RELAY_PAUSE_S
        self.counts["relayed"] += 1
        self._deliver_later(self._deliver_relayed(node, order, delay))

    def _deliver_later(self, delivery: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(delivery)
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def call(self, node: Node, call: Call) -> Answer:
        """Sends a call, and returns its answer, or `NO_ANSWER` for none in time.

        A connection that was kept is used again, until it is gone.
        """
        reader, writer = self._kept.pop(node.name, (None, None))
        try:
            async with asyncio.timeout(PATIENCE_S):
                if reader is None or writer is None or writer.is_closing():
                    reader, writer = await asyncio.open_connection(*parse_address(node.control))
                writer.write(call.encode())
                answer = await _read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            if writer is not None:
                self._depart(writer)
            return NO_ANSWER
        if self._departure is not None:
            self._end(writer, self._departure)
        elif self._rng.random() > _KEPT_SHARE:
            writer.close()
        else:
            self._keep(node, reader, writer)
        return answer

    def _keep(self, node: Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Keeps an idle connection; another one that was kept meanwhile is closed."""
        if node.name in self._kept:
            self._kept[node.name][1].close()
        self._kept[node.name] = reader, writer

    def _depart(self, writer: asyncio.StreamWriter) -> None:
        self._end(writer, self._rng.choice(list(Departure)))

    def _end(self, writer: asyncio.StreamWriter, departure: Departure) -> None:
        match departure:
            case Departure.CLOSES:
                writer.close()
            case Departure.RESETS:
                reset(writer.transport)
            case Departure.LEAVES_OPEN:
                self._left_open.append(writer)

    async def _deliver_late(self, node: Node, order: Call) -> None:
        """Delivers an attempt that the network delayed, on the connection that its caller opened for it.

        The end of the caller's stream follows the bytes, unless the caller left the connection open.
        """
        with suppress(OSError):
            _, writer = await asyncio.open_connection(*parse_address(node.control))
            await asyncio.sleep(self._rng.uniform(_MIN_DELAY_S, _MAX_DELAY_S))
            if writer.is_closing():  # the node has ended
                return
            sent_at = time.monotonic()
            writer.write(order.encode())
            await asyncio.sleep(_END_BEHIND_S)
            self._record(sent_at, Route.DELAYED, node, order, NO_ANSWER)
            self._depart(writer)

    async def _deliver_relayed(self, node: Node, order: Call, delay: float) -> None:
        """Delivers an attempt as a relay does, on a new connection; it may wait for an answer that nobody wants."""
        await asyncio.sleep(delay)
        async with self.zone_locks[order.zone]:
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                await self._send_relayed(node, order)

    async def _send_relayed(self, node: Node, order: Call) -> None:
        reader, writer = await asyncio.open_connection(*parse_address(node.control))
        sent_at = time.monotonic()
        answer = NO_ANSWER
        writer.write(order.encode())
        try:
            async with asyncio.timeout(PATIENCE_S):
                answer = await _read_answer(reader)
        finally:
            self._record(sent_at, Route.RELAYED, node, order, answer)
            self._depart(writer)

    async def end(self) -> None:
        """Waits for late attempts, and closes the connections that were left open or kept."""
        await asyncio.gather(*self._late)
        for writer in (*self._left_open, *(writer for _, writer in self._kept.values())):
            writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = await reader.readuntil(b"\r\n\r\n")
    body = await reader.readexactly(_content_length(head))
    return Answer(int(head.split(b" ", 2)[1]), body)


def _content_length(head: bytes) -> int:
    return int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
