"""Hands each frame that arrives to the part that its kind belongs to, by a table."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

from ..membership.messages import KIND
from ..transport.frames import Message

if TYPE_CHECKING:
    from .core_driver import CoreDriver

FrameHandler: TypeAlias = Callable[[str, Message, int], object]  # (sender's address, frame, now in ns)


class FrameDispatcher:
    """The table of handlers by kind of frame. What no handler is registered for is the core's."""

    def __init__(self, clock: Callable[[], int]) -> None:
        """`clock` gives ns. The wire needs a dispatcher to be built, the core needs the wire: see `attach`."""
        self._clock = clock
        self._handlers: dict[str, FrameHandler] = {}
        self._core: CoreDriver

    def attach(self, core: CoreDriver, handlers: dict[str, FrameHandler]) -> None:
        """Name the core, and the handler of each kind that isn't the core's."""
        self._core = core
        self._handlers = handlers

    def dispatch(self, ip: str, frame: Message) -> None:
        """Handle a frame of the node at `ip`. Raises ValueError and the like for a frame whose fields aren't valid:
        the wire counts and drops it."""
        now = self._clock()
        core = self._core
        if core.member is not None:
            core.step_down_if_overdue(now)
        self._handlers.get(frame[KIND], core.on_frame)(ip, frame, now)
