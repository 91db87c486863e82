"""Direct calls on the sockets of connections."""

import asyncio
import socket

import pytest

from rampfront.net.socket_calls import has_unread_input, shut_down


def test_a_shutdown_is_seen_at_once(loop):
    """Rule 2 on the real event loop: the peer sees the end of the connection before a second copy can be sent.

    Unread input of an idle connection is detected before the connection is used again.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    transport, _ = loop.run_until_complete(loop.create_connection(asyncio.Protocol, *listener.getsockname()))
    peer, _ = listener.accept()
    peer.setblocking(False)
    with pytest.raises(BlockingIOError):
        peer.recv(1)
    shut_down(transport)
    assert peer.recv(1) == b""
    peer.close()
    transport, _ = loop.run_until_complete(loop.create_connection(asyncio.Protocol, *listener.getsockname()))
    peer, _ = listener.accept()
    assert not has_unread_input(transport)
    peer.send(b"left over")
    assert has_unread_input(transport)  # before the event loop has read it
    transport.abort()
    peer.close()
    listener.close()
