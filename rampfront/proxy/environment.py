"""The dependencies of the proxy of one process, passed to its components as one object."""

from __future__ import annotations

from asyncio import AbstractEventLoop
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..net.event_log import EventLog
from ..net.limits import NetworkLimits
from ..net.memory_account import MemoryAccount
from ..settings.process_settings import ProcessSettings


@dataclass(frozen=True, slots=True)
class ProxyEnvironment:
    """Created once per process."""

    loop: AbstractEventLoop
    clock: Callable[[], int]  # ns
    process_settings: ProcessSettings
    limits: NetworkLimits
    rng: Random
    log: EventLog
    memory: MemoryAccount
