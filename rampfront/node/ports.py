"""What a node stands on: clock, frames, disk, platform, and the parts that a laboratory swaps.

The serving process takes the defaults. The simulation (`rampfront/simulation/`) gives others, so that it plays the very
`NodeProcess` that serves; the laboratory (`rampfront/lab/system/`) swaps single parts, so that the program needs no
switch for tests. (Ports in the sense of Cockburn's "ports and adapters".)
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from ..net.clock import Clock
from ..proxy.request_proxy import RequestProxy
from ..quota.limiter import Limiter
from ..transport.wire import Wire
from .node_process import NodeProcess

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop
    from concurrent.futures import Executor

    from ..consensus.record_store import RecordStore
    from ..membership.endpoint_list_poller import PollCallbacks, Poller, PollSettings


def open_record_store(folder: str) -> RecordStore:
    """Return the store of the core's record in `folder`. Its modules are loaded only where there is a disk."""
    from ..consensus.record_store import RecordStore

    return RecordStore(folder)


def start_disk_executor(threads: int) -> Executor:
    """Return an executor of that many threads for calls that block. Loaded only where there is a disk, too."""
    from concurrent.futures import ThreadPoolExecutor

    return ThreadPoolExecutor(threads)


def make_poller(
    loop: AbstractEventLoop, clock: Callable[[], int], settings: PollSettings, callbacks: PollCallbacks
) -> Poller:
    """Return what polls the platform. Its modules are loaded only where a node may come to lead."""
    from ..membership.endpoint_list_poller import Poller

    return Poller(loop, clock, settings, callbacks)


class Ports(NamedTuple):
    """Factories. Each is called once by `assembly.build_node_process`, with the arguments of its default."""

    clock: Callable[..., Any] = Clock
    wire: Callable[..., Any] = Wire
    record_store: Callable[..., Any] = open_record_store
    # Of the disk: a disk that hangs holds up nobody but the member of the core.
    disk_executor: Callable[..., Any] = start_disk_executor
    poller: Callable[..., Any] = make_poller
    limiter: Callable[..., Any] = Limiter
    request_proxy: Callable[..., Any] = RequestProxy
    node_process: Callable[..., Any] = NodeProcess


DEFAULT_PORTS = Ports()
