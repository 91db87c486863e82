"""One connection to the counter. Calls are pipelined, and replies arrive in the order of the calls.

The connection holds the pending calls. Its owner (`counter_client.py`) acts on replies and on the connection's end.
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
    """A call that has no reply yet.

    Attributes:
        name: the number that identifies the count; None for a PING.
        started_ns: when the call was made.
        written: whether it was written to the connection, so that the counter may have applied it.
        reported: whether its reply is dropped, because it is a PING or has timed out.
        command: the bytes to write; None once they are written.
    """

    __slots__ = ("name", "started_ns", "written", "reported", "command")

    def __init__(self, name: int | None, started_ns: int, command: bytes) -> None:
        """Creates a call that is not written yet. See the class's attributes."""
        self.name = name
        self.started_ns = started_ns
        self.written = False
        self.reported = name is None
        self.command: bytes | None = command

    @property
    def is_ping(self) -> bool:
        """Whether the call is a PING."""
        return self.name is None

    def take_command(self) -> bytes:
        """Returns the bytes to write, and marks the call as written."""
        command = self.command
        assert command is not None, "a call is written once"
        self.command = None
        self.written = True
        return command


class CounterConnectionOwner(ABC):
    """Receives a connection's replies and its end."""

    clock: Callable[[], int]

    @abstractmethod
    def reply_received(self, connection: "CounterConnection", reply: Reply) -> bool:
        """Handles the reply to the oldest call. Returns whether it is a valid reply to that call."""

    @abstractmethod
    def connection_ended(self, connection: "CounterConnection", reason: str) -> None:
        """Handles a connection that was lost, or that must be closed after an error."""


class CounterConnection(asyncio.Protocol):
    """One connection.

    Attributes:
        calls: the pending calls, oldest first.
        received_at_ns: when data last arrived; before the first data, when the connection was opened or created.
        timer: the owner's timer for the oldest call that has not timed out.
        ended: whether the connection has ended; it then has no calls.
    """

    def __init__(self, owner: CounterConnectionOwner) -> None:
        """Creates a connection that is not open yet. `owner` receives its replies and its end."""
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
        """Whether the connection has been established, so that calls are written at once."""
        return self._transport is not None

    @property
    def has_partial_reply(self) -> bool:
        """Whether the last reply has arrived only in part."""
        return self._reader.has_partial_reply

    def connect(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> None:
        """Starts connecting. `address`: host and port of the counter."""
        host, port = address
        self._connecting = loop.create_task(loop.create_connection(lambda: self, host, port))
        self._connecting.add_done_callback(self._connected)

    def call(self, call: PendingCall) -> None:
        """Adds a call, and writes it as soon as the connection is open."""
        self.calls.append(call)
        if self._transport is not None:
            self._transport.write(call.take_command())

    def ping(self, now_ns: int) -> None:
        """Sends a PING to check whether the counter still answers. The connection must be open."""
        self.call(PendingCall(None, now_ns, _PING))

    def swap_calls(self, other: "CounterConnection") -> None:
        """Swaps the calls of two connections, neither of which is open."""
        calls = self.calls
        self.calls = other.calls
        other.calls = calls

    def close(self) -> deque[PendingCall]:
        """Aborts the connection. Returns the calls that had no reply."""
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
        """Writes the calls that were waiting for the connection."""
        stream = cast(asyncio.Transport, transport)
        self._transport = stream
        self.received_at_ns = self._owner.clock()
        if self.ended:
            stream.abort()
            return
        if self.calls:
            stream.write(b"".join([call.take_command() for call in self.calls]))

    def connection_lost(self, error: Exception | None) -> None:
        """Reports the end of the connection to the owner."""
        self._owner.connection_ended(self, "connection ended")

    def data_received(self, data: bytes) -> None:
        """Passes replies to the owner. Data that is no valid reply ends the connection."""
        if self.ended:
            return
        self.received_at_ns = self._owner.clock()
        self._reader.feed(data)
        try:
            while (reply := self._reader.next_reply()) is not None:
                if not self.calls or not self._owner.reply_received(self, reply):
                    raise RemoteProtocolError("reply does not belong to a call")
        except RemoteProtocolError:
            self._owner.connection_ended(self, "odd answer")

    def _connected(self, task: asyncio.Task[object]) -> None:
        """Reports a failed attempt to connect to the owner."""
        self._connecting = None
        if not task.cancelled() and task.exception() is not None:
            self._owner.connection_ended(self, "no connection")
