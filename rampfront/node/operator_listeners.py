"""The open listeners of the system's own addresses, which the process closes at its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..net.http_server import HttpServer


class OperatorListeners:
    """Owns the listeners that `endpoints.open_listeners` opens. None is ever removed."""

    def __init__(self) -> None:
        """Start without listeners."""
        self._listeners: list[HttpServer] = []

    def add(self, listener: HttpServer) -> None:
        """Add an open listener."""
        self._listeners.append(listener)

    def drain(self) -> None:
        """Drain all listeners: each connection closes after its next answer."""
        for listener in self._listeners:
            listener.drain()

    def has_pending_calls(self) -> bool:
        """Return whether any call has no answer yet."""
        return any(listener.pending_requests for listener in self._listeners)

    def close(self) -> None:
        """Close all listeners at once."""
        for listener in self._listeners:
            listener.close()
