"""Direct calls on the socket of a connection; through the event loop they would be made one iteration later."""

import asyncio
import socket
from collections.abc import Callable
from typing import TypeVar

Value = TypeVar("Value")


def shut_down(transport: asyncio.Transport) -> None:
    """Ends a connection now, so that the peer sees its end before anything that is sent elsewhere afterwards."""
    _call(transport, lambda duplicate: duplicate.shutdown(socket.SHUT_RDWR))
    transport.abort()


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether there are bytes or an EOF that the event loop has not read; they would be taken for a response."""
    return _call(transport, lambda duplicate: duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)) is not None


def _call(transport: asyncio.Transport, call: Callable[[socket.socket], Value]) -> Value | None:
    """Calls `call` with the connection's socket. None if there is no open socket, or the call fails or would block."""
    handle = transport.get_extra_info("socket")
    if handle is None or handle.fileno() < 0:
        return None
    duplicate = socket.socket(handle.family, socket.SOCK_STREAM, 0, handle.fileno())  # uvloop's lacks these methods
    try:
        return call(duplicate)
    except OSError:
        return None
    finally:
        duplicate.detach()  # it must not close the descriptor
