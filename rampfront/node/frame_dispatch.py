"""Dispatches each received frame to the handler registered for its kind."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

from ..membership.messages import KIND
from ..transport.frames import Message

if TYPE_CHECKING:
    from .core_driver import CoreDriver

FrameHandler: TypeAlias = Callable[[str, Message, int], object]  # (sender's address, frame, now in ns)


class FrameDispatcher:
    """The table of handlers by kind of frame. Frames of any other kind go to the core."""

    def __init__(self, clock: Callable[[], int]) -> None:
        """`clock` returns ns. `attach` adds the core, which depends on the wire, which depends on the dispatcher."""
        self._clock = clock
        self._handlers: dict[str, FrameHandler] = {}
        self._core: CoreDriver

    def attach(self, core: CoreDriver, handlers: dict[str, FrameHandler]) -> None:
        """Set the core, and the handler of each kind that isn't the core's."""
        self._core = core
        self._handlers = handlers

    def dispatch(self, ip: str, frame: Message) -> None:
        """Handle a frame of the node at `ip`.

        Raises ValueError, TypeError, KeyError and the like for a frame with invalid fields, which the wire counts and
        drops.
        """
        now = self._clock()
        core = self._core
        if core.member is not None:
            core.step_down_if_overdue(now)
        self._handlers.get(frame[KIND], core.on_frame)(ip, frame, now)
