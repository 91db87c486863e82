"""A node's replaceable dependencies: clock, wire, disk, platform, and the parts that the laboratory replaces.

The serving process uses the defaults. The simulation (`rampfront/simulation/`) passes others, so that it runs the same
`NodeProcess` that serves clients; the laboratory (`rampfront/lab/system/`) replaces single parts, so that the program
needs no switch for tests. (Ports in the sense of Cockburn's "ports and adapters".)
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
    """Return the store of the core's record in `folder`. Its modules are loaded only on nodes with a disk."""
    from ..consensus.record_store import RecordStore

    return RecordStore(folder)


def start_disk_executor(threads: int) -> Executor:
    """Return an executor with `threads` threads for blocking calls. Loaded only on nodes with a disk as well."""
    from concurrent.futures import ThreadPoolExecutor

    return ThreadPoolExecutor(threads)


def make_poller(
    loop: AbstractEventLoop, clock: Callable[[], int], settings: PollSettings, callbacks: PollCallbacks
) -> Poller:
    """Return the poller of the platform. Its modules are loaded only on nodes that may become the leader."""
    from ..membership.endpoint_list_poller import Poller

    return Poller(loop, clock, settings, callbacks)


class Ports(NamedTuple):
    """Factories. Each is called once by `assembly.build_node_process`, with the arguments of its default."""

    clock: Callable[..., Any] = Clock
    wire: Callable[..., Any] = Wire
    record_store: Callable[..., Any] = open_record_store
    # A separate executor for the disk: if the disk hangs, only the member of the core is blocked.
    disk_executor: Callable[..., Any] = start_disk_executor
    poller: Callable[..., Any] = make_poller
    limiter: Callable[..., Any] = Limiter
    request_proxy: Callable[..., Any] = RequestProxy
    node_process: Callable[..., Any] = NodeProcess


DEFAULT_PORTS = Ports()
