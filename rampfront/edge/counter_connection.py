"""One connection to the counter: calls are written one after another, and replies come in the order of the calls.

It holds the calls that await their replies. What follows from a reply, or from the end of the connection, is its
owner's matter (`counter_client.py`).
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import cast

from ..net.timers import Timer
from .resp import RemoteProtocolError, Reply, ReplyReader, encode_command

_PING = encode_command(b"PING")


class PendingCall:
    """A call that awaits its reply.

    Attributes:
        name: the number of the count; None for a PING.
        started_ns: when it was made.
        written: whether it was written to the connection, so that the counter may have taken it.
        reported: whether nobody waits for its end: it is a PING, or has timed out. Its reply is dropped.
        command: what is to be written; None once it is.
    """

    __slots__ = ("name", "started_ns", "written", "reported", "command")

    def __init__(self, name: int | None, started_ns: int, command: bytes) -> None:
        """It is not written yet. `name`, `started_ns`, `command`: as the attributes."""
        self.name = name
        self.started_ns = started_ns
        self.written = False
        self.reported = name is None
        self.command: bytes | None = command

    @property
    def is_ping(self) -> bool:
        """Whether it is a PING."""
        return self.name is None

    def take_command(self) -> bytes:
        """What is to be written; from now on it counts as written."""
        command = self.command
        assert command is not None, "a call is written once"
        self.command = None
        self.written = True
        return command


class CounterConnectionOwner(ABC):
    """What a connection reports to."""

    clock: Callable[[], int]

    @abstractmethod
    def reply_received(self, connection: "CounterConnection", reply: Reply) -> bool:
        """The reply to the oldest call came. Returns whether it is one to that call."""

    @abstractmethod
    def connection_ended(self, connection: "CounterConnection", reason: str) -> None:
        """The connection is to end, or has ended."""


class CounterConnection(asyncio.Protocol):
    """One connection.

    Attributes:
        calls: those that await their replies, oldest first.
        received_at_ns: when something came last, or when it was made.
        timer: the owner's, for the oldest call that has not timed out.
        ended: whether it has ended; it then has no calls.
    """

    def __init__(self, owner: CounterConnectionOwner) -> None:
        """Is not open yet. `owner` is told of replies and of the end."""
        self.calls: deque[PendingCall] = deque()
        self.received_at_ns = owner.clock()
        self.timer: Timer | None = None
        self.ended = False
        self._owner = owner
        self._reader = ReplyReader()
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task[object] | None = None

    @property
    def is_open(self) -> bool:
        """Whether it came up, so that calls are written at once."""
        return self._transport is not None

    @property
    def has_partial_reply(self) -> bool:
        """Whether a reply has begun and is not complete."""
        return self._reader.has_partial_reply

    def connect(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> None:
        """Begins to connect. `address`: host and port of the counter."""
        host, port = address
        self._connecting = loop.create_task(loop.create_connection(lambda: self, host, port))
        self._connecting.add_done_callback(self._connected)

    def call(self, call: PendingCall) -> None:
        """Adds a call, and writes it if the connection is open; else it is written once that is so."""
        self.calls.append(call)
        if self._transport is not None:
            self._transport.write(call.take_command())

    def ping(self, now_ns: int) -> None:
        """Asks whether the far end is there. The connection is open; `now_ns` is the time."""
        self.call(PendingCall(None, now_ns, _PING))

    def swap_calls(self, other: "CounterConnection") -> None:
        """Exchanges the calls of two connections, of which neither is open."""
        calls = self.calls
        self.calls = other.calls
        other.calls = calls

    def close(self) -> deque[PendingCall]:
        """Ends the connection at once. Returns the calls that were without a reply."""
        self.ended = True
        if self._connecting:
            self._connecting.cancel()
        if self._transport:
            self._transport.abort()
        calls = self.calls
        self.calls = deque()
        return calls

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It came up: what waited is written."""
        stream = cast(asyncio.Transport, transport)
        self._transport = stream
        self.received_at_ns = self._owner.clock()
        if self.ended:
            stream.abort()
            return
        if self.calls:
            stream.write(b"".join([call.take_command() for call in self.calls]))

    def connection_lost(self, error: Exception | None) -> None:
        """It ended."""
        self._owner.connection_ended(self, "connection ended")

    def data_received(self, data: bytes) -> None:
        """Something came: replies are handed on, and what is none ends the connection."""
        if self.ended:
            return
        self.received_at_ns = self._owner.clock()
        self._reader.feed(data)
        try:
            while (reply := self._reader.next_reply()) is not None:
                if not self.calls or not self._owner.reply_received(self, reply):
                    raise RemoteProtocolError("a reply to no call")
        except RemoteProtocolError:
            self._owner.connection_ended(self, "odd answer")

    def _connected(self, task: asyncio.Task[object]) -> None:
        """The attempt to connect has ended."""
        self._connecting = None
        if not task.cancelled() and task.exception() is not None:
            self._owner.connection_ended(self, "no connection")
