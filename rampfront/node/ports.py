"""What a node stands on: clock, frames, disk and platform. The serving process takes these as they are; the simulation
(`rampfront/simulation/`) gives others, so that it plays the very `NodeProcess` that serves."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from ..consensus.storage import RecordStore
from ..membership.endpoint_list_poller import Poller
from ..net.desk import Clock
from ..transport.wire import Wire


class Ports(NamedTuple):
    """Each is called once, as what stands there by default is."""

    clock: Callable[..., Any] = Clock
    wire: Callable[..., Any] = Wire
    record_store: Callable[..., Any] = RecordStore
    crew: Callable[..., Any] = (
        ThreadPoolExecutor  # of the disk: one that hangs holds up nobody but the member of the core
    )
    poller: Callable[..., Any] = Poller


PORTS = Ports()
