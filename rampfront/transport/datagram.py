"""The UDP endpoint: one datagram is one frame."""

import asyncio
from collections.abc import Callable
from typing import Any


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Hands every datagram to `on_frame(sender's IP address, frame)`."""

    def __init__(self, on_frame: Callable[[str, bytes], None]) -> None:
        """The endpoint is bound by `loop.create_datagram_endpoint`."""
        self._on_frame = on_frame

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """A frame came in."""
        self._on_frame(addr[0], data)

    def error_received(self, exc: Exception) -> None:
        """Ignores a port that nobody listens at: whoever waits for an answer learns of it by a time-out."""
