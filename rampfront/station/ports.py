"""What a station stands on: clock, frames, disk and platform. The serving process takes these as they are; the model
(`rampfront/model/`) gives others, so that it plays the very `Station` that serves."""

from concurrent.futures import ThreadPoolExecutor
from typing import Callable, NamedTuple

from ..flags.wire import Wire
from ..lighthouse.logbook import Logbook
from ..net.desk import Clock
from ..watch.poller import Poller


class Ports(NamedTuple):
    """Each is called once, as what stands there by default is."""
    clock: Callable = Clock
    wire: Callable = Wire
    logbook: Callable = Logbook
    crew: Callable = ThreadPoolExecutor  # of the disk: one that hangs holds up nobody but the keeper
    poller: Callable = Poller


PORTS = Ports()
