"""The open listeners of the system's own addresses, as long as the process has them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..net.http_server import HttpServer


class OperatorListeners:
    """Filled by `endpoints.open_listeners`; emptied never."""

    def __init__(self) -> None:
        """None is open yet."""
        self._listeners: list[HttpServer] = []

    def add(self, listener: HttpServer) -> None:
        """Own a listener that has been opened."""
        self._listeners.append(listener)

    def drain(self) -> None:
        """Send callers away: each answer ends its connection."""
        for listener in self._listeners:
            listener.drain()

    def has_pending_calls(self) -> bool:
        """Whether a call has no answer yet."""
        return any(listener.pending_requests for listener in self._listeners)

    def close(self) -> None:
        """End all at once."""
        for listener in self._listeners:
            listener.close()
