"""The disturbances of a soak run: series of overlapping signals and restarts of nodes, faults of servers.

Each node has a task of its own that disturbs it again and again, and a further one disturbs the servers. Few members of
the core are disturbed at the same time, so that the system serves in between.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol

from ...operator_cli.local_layout import Node
from .misbehaving_server import MisbehavingServer
from .running_system import RunningSystem

_NS_PER_S = 10**9
_MAX_MEMBERS_DOWN = 1
_MIN_PAUSE_S, _MAX_PAUSE_S = 0.2, 2.5  # between two disturbances of one node
_MAX_GAP_S = 0.4  # between two signals of one series
_EXIT_TIMEOUT_S = 4.0  # after which a node that got SIGTERM is killed
_POLL_S = 0.01
_EVIDENCE_INTERVAL_S = 0.5
_SERVER_PAUSE_S = 0.8  # the longest between two disturbances of servers
_MIN_SILENCE_S, _MAX_SILENCE_S = 0.05, 2.5  # for how long a server does not read
# Odds of what else happens in a series.
_RELOAD_WHILE_FROZEN = 0.5
_SIGNALS_WHILE_ENDING = 0.4
_FREEZE_WHILE_ENDING = 0.2
_KILL_WHILE_ENDING = 0.2

Action = Callable[[], Awaitable[None]]


class DisturbedSystem(RunningSystem, Protocol):
    """The running system, whose servers misbehave; implemented by `soak.SoakSystem`.

    `disturbances`: how often each kind was carried out."""

    boxes: list[MisbehavingServer]
    disturbances: Counter[str]


class NodeDisturbance:
    """Disturbs one node until it is cancelled."""

    def __init__(self, system: DisturbedSystem, node: Node, core_slots: asyncio.Semaphore, rng: Random) -> None:
        """`core_slots`: limits how many members of the core are disturbed at the same time."""
        self._system = system
        self._node = node
        self._core_slots = core_slots
        self._rng = rng

    async def run(self) -> None:
        """Disturbs the node again and again."""
        actions: list[Action] = [self._terminate, self._terminate, self._kill, self._freeze, self._reload]
        while True:
            await asyncio.sleep(self._rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
            action = self._rng.choice(actions)
            if self._node.disk:
                async with self._core_slots:
                    await action()
            else:
                await action()

    def _send(self, *signals: signal.Signals) -> None:
        """Sends signals to the node's process, if it runs."""
        child = self._system.children[self._node.name]
        for number in signals:
            if child.poll() is None:
                child.send_signal(number)
        self._system.disturbances[signals[0].name] += 1

    async def _gap(self) -> None:
        """Waits for a moment within a series of signals."""
        await asyncio.sleep(self._rng.uniform(0.0, _MAX_GAP_S))

    async def _reload(self) -> None:
        """Several SIGHUPs in a row: the settings are read again each time."""
        for _ in range(self._rng.randint(1, 4)):
            self._send(signal.SIGHUP)
            await self._gap()

    async def _freeze(self) -> None:
        """The process is stopped for a while; signals that arrive meanwhile are delivered together afterwards."""
        self._send(signal.SIGSTOP)
        await self._gap()
        if self._rng.random() < _RELOAD_WHILE_FROZEN:
            self._send(signal.SIGHUP)
        await self._gap()
        await self._gap()
        self._send(signal.SIGCONT)

    async def _terminate(self) -> None:
        """A graceful shutdown, disturbed by further signals or cut short, and an immediate restart."""
        self._system.observed.stops.append((self._node.ip, time.monotonic_ns()))
        self._send(signal.SIGTERM)
        await self._gap()
        if self._rng.random() < _SIGNALS_WHILE_ENDING:
            self._send(signal.SIGHUP, signal.SIGTERM)
        if self._rng.random() < _FREEZE_WHILE_ENDING:
            await self._freeze()
        if self._rng.random() < _KILL_WHILE_ENDING:
            await self._gap()
            self._send(signal.SIGKILL)
        await self._restart()

    async def _kill(self) -> None:
        """The process is killed and started again at the same ports."""
        self._send(signal.SIGKILL)
        await self._restart()

    async def _restart(self) -> None:
        """Starts the process again as soon as the former one has ended."""
        child = self._system.children[self._node.name]
        deadline_s = time.monotonic() + _EXIT_TIMEOUT_S
        while child.poll() is None:
            if time.monotonic() > deadline_s:
                child.kill()
            await asyncio.sleep(_POLL_S)
        self._system.launch(self._node, first=False)


class ServerDisturbance:
    """Disturbs the servers until it is cancelled."""

    def __init__(self, system: DisturbedSystem, rng: Random) -> None:
        """`rng`: draws the disturbances."""
        self._system = system
        self._rng = rng

    async def run(self) -> None:
        """Disturbs one server after the other; disturbances overlap."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, _SERVER_PAUSE_S))
            number = self._rng.randrange(len(self._system.boxes))
            await self._rng.choice((self._crash, self._hand_over_address, self._silence, self._silence))(number)

    async def _crash(self, number: int) -> None:
        """A server crashes; its successor has another address."""
        self._system.disturbances["crash"] += 1
        self._end(self._system.boxes[number])
        await self._system.start_server(number, 0)

    async def _hand_over_address(self, number: int) -> None:
        """A server crashes, and a server of a service drawn at random starts at its address at once."""
        self._system.disturbances["hand_over"] += 1
        box = self._system.boxes[number]
        self._end(box)
        await self._system.start_server(number, 0)
        other = self._rng.choice(self._system.boxes)
        try:
            successor = await self._system.fleet.start(other.profile, box.zone, port=box.listener.port)
        except OSError:
            return  # another socket has taken the port meanwhile
        successor.arrivals = []

    async def _silence(self, number: int) -> None:
        """A server reads nothing for a while."""
        self._system.disturbances["silence"] += 1
        box = self._system.boxes[number]
        box.stop_reading()
        length_ns = round(self._rng.uniform(_MIN_SILENCE_S, _MAX_SILENCE_S) * _NS_PER_S)
        self._system.schedule_call(length_ns, box.resume_reading)

    def _end(self, server: MisbehavingServer) -> None:
        """Ends a server, which stays on the platform's list for a while."""
        self._system.fleet.end(server.uid, listed=True)
        listed_ns = round(self._system.plan.platform.listed_s * _NS_PER_S)
        self._system.schedule_call(listed_ns, self._system.platform.remove, server.uid)


async def collect_evidence(system: DisturbedSystem) -> None:
    """Has all nodes write their latest refusals again and again, because a process that is killed writes nothing."""
    while True:
        await asyncio.sleep(_EVIDENCE_INTERVAL_S)
        for child in system.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGUSR1)


def start_disturbances(system: DisturbedSystem, rng: Random) -> list[asyncio.Task[None]]:
    """Starts the disturbances of all nodes and servers, and the collection of evidence; returns their tasks."""
    core_slots = asyncio.Semaphore(_MAX_MEMBERS_DOWN)
    runs = [NodeDisturbance(system, node, core_slots, Random(rng.random())).run() for node in system.nodes]
    runs += [ServerDisturbance(system, Random(rng.random())).run(), collect_evidence(system)]
    return [system.loop.create_task(run) for run in runs]


def resume_nodes(system: RunningSystem) -> None:
    """Continues the processes of all nodes that are stopped, and starts those that have ended."""
    for node in system.nodes:
        child = system.children[node.name]
        if child.poll() is None:
            child.send_signal(signal.SIGCONT)
        else:
            system.launch(node, first=False)
