"""Calls on sockets past the event loop."""

import asyncio
import socket

import pytest

from rampfront.net.socket_calls import has_unread_input, shut_down


def test_a_shutdown_is_seen_at_once(loop):
    """Rule 2 on the real loop: the far side sees the end now, before a second copy can be on its way. And what
    waits unread on an idle connection is seen before that is used again."""
    listener = socket.create_server(("127.0.0.1", 0))
    ours, _ = loop.run_until_complete(loop.create_connection(asyncio.Protocol, *listener.getsockname()))
    far, _ = listener.accept()
    far.setblocking(False)
    with pytest.raises(BlockingIOError):
        far.recv(1)
    shut_down(ours)
    assert far.recv(1) == b""
    far.close()
    ours, _ = loop.run_until_complete(loop.create_connection(asyncio.Protocol, *listener.getsockname()))
    far, _ = listener.accept()
    assert not has_unread_input(ours)
    far.send(b"left over")
    assert has_unread_input(ours)  # the loop has not had a turn to read it
    ours.abort()
    far.close()
    listener.close()
