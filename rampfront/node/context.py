"""What all parts of a node's process share: clock, timers, random source, settings, log, wire and snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop
    from collections.abc import Callable
    from random import Random

    from ..net.event_log import EventLog
    from ..settings.process_settings import ProcessSettings
    from ..transport.wire import Wire
    from .scheduler import Scheduler
    from .snapshots import Snapshots


class NodeContext(NamedTuple):
    """The shared objects; each part gets them when it is built."""

    loop: AbstractEventLoop
    clock: Callable[[], int]  # ns of a monotonic clock
    scheduler: Scheduler
    rng: Random
    process_settings: ProcessSettings
    log: EventLog
    wire: Wire  # sends frames to other nodes
    snapshots: Snapshots  # the state and the server list in force at this node

    @property
    def counts(self) -> dict[str, int]:
        """The process' counters by name; `metrics.py` says what each counts."""
        return self.log.counts
