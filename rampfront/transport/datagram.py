"""The UDP endpoint; each datagram contains one frame."""

import asyncio
from collections.abc import Callable
from typing import Any


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Passes every datagram to `on_frame(sender's IP address, frame)`."""

    def __init__(self, on_frame: Callable[[str, bytes], None]) -> None:
        """Does not bind the endpoint; `loop.create_datagram_endpoint` does."""
        self._on_frame = on_frame

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Passes on a received frame."""
        self._on_frame(addr[0], data)

    def error_received(self, exc: Exception) -> None:
        """Ignores a closed port at the receiver, since the protocols above detect a missing answer by a time-out."""
