"""The interface of a running system, as the parts that disturb it use it. `run.EmulatedSystem` implements it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from subprocess import Popen
from typing import Protocol

from ...operator_cli.local_layout import Node
from ..faults import Event
from ..platform import Platform
from ..simulated_servers import Fleet, SimulatedServer
from .judge import Observations
from .plan import Experiment
from .relay import Relay


class RunningSystem(Protocol):
    """A running system.

    Attributes:
        loop: the event loop of the laboratory.
        plan: the experiment.
        folder: the folder of the run.
        started_at: when the schedule began, in monotonic ns.
        nodes: the nodes.
        boxes: the newest server of each number.
        fleet: all servers.
        platform: the platform, which lists the servers.
        relay: the relay between the nodes; None if the run needs none.
        events: the faults of the schedule.
        observed: the observations for the judge.
        earlier_cpu_s: the processor time of a node's former processes, by its name.
    """

    loop: asyncio.AbstractEventLoop
    plan: Experiment
    folder: Path
    started_at: int
    nodes: list[Node]
    boxes: list[SimulatedServer]
    fleet: Fleet
    platform: Platform
    relay: Relay | None
    events: list[Event]
    observed: Observations
    earlier_cpu_s: Counter[str]

    @property
    def children(self) -> dict[str, Popen[bytes]]:
        """The nodes' processes by name."""
        raise NotImplementedError

    def launch(self, node: Node, first: bool = True) -> None:
        """Starts a node's process."""
        raise NotImplementedError

    async def start_server(self, number: int, cold: int) -> None:
        """Starts the server of a number, which is cold for `cold` ns."""
        raise NotImplementedError

    def schedule_call(self, delay_ns: int, action: Callable[..., object], *arguments: object) -> None:
        """Calls an action after a delay, unless the run ends before."""
        raise NotImplementedError
