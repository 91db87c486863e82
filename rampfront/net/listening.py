"""Opens the listening sockets of both programs, and verifies that they listen.

Two processes can bind one port at once, as the event loop sets SO_REUSEADDR; the second one to listen fails. uvloop
closes its socket then and reports a server that is serving, so the failure is raised here.
"""

import asyncio
import errno
import os
import socket
from collections.abc import Callable


async def open_server(
    loop: asyncio.AbstractEventLoop, factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, backlog: int
) -> asyncio.Server:
    """Listens on an address and returns the server.

    Args:
        loop: the event loop.
        factory: returns the protocol object of a new connection.
        host: the address to bind.
        port: the port to bind; 0 lets the system choose one.
        backlog: the number of connections that may wait to be accepted.

    Raises:
        OSError: the address cannot be listened on.
    """
    return _verified(await loop.create_server(factory, host, port, backlog=backlog))


async def open_inherited_server(
    loop: asyncio.AbstractEventLoop, factory: Callable[[], asyncio.BaseProtocol], descriptor: int, backlog: int
) -> asyncio.Server:
    """Accepts connections from a socket that was passed to this process as an open descriptor, and returns the server.

    Raises:
        OSError: the socket cannot listen.
    """
    listening = socket.socket(fileno=descriptor)
    listening.setblocking(False)
    return _verified(await loop.create_server(factory, sock=listening, backlog=backlog))


def _verified(server: asyncio.Server) -> asyncio.Server:
    """Returns the server. Raises OSError if one of its sockets does not listen, for which uvloop lists None."""
    if any(listening is None for listening in server.sockets):
        server.close()
        raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
    return server
