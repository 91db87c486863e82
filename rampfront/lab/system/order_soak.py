"""The soak of orders on zones: impatient operators at real nodes that are stopped, frozen, killed and restarted.

An operator evacuates a zone and restores it, again and again, one operator a zone after the other. It gives up an
attempt after a second without an answer and repeats the order at another node; what it leaves behind may still arrive,
at a frozen node or through a network that delayed it. `judge_zone` decides what must hold, from what the operators
know: a zone that they hold evacuated is never open, and one that they have restored does not stay evacuated for ever.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random

from ...operator_cli.local_layout import Node
from ...settings.scalars import parse_address
from ..http import reset
from ..nodes import RunFailedError
from . import plan as plans
from . import run as runs
from .disturbances import NodeDisturbance, resume_nodes
from .seeded_runs import SeededResult
from .soak_plan import SoakSize, base_address, place_nodes

OK = 200
_PATIENCE_S = 1.0  # after which an attempt without an answer is given up (PROTOCOL.md, "The operator")
_ORDER_TIMEOUT_S = 30.0  # after which a run has no verdict; more than a node is away
_MIN_HOLD_S, _MAX_HOLD_S = 0.5, 4.0  # for which a zone is held evacuated
_MAX_REST_S = 2.5  # between a restoration and the next evacuation
_MIN_RETRY_S, _MAX_RETRY_S = 0.05, 0.3
_MIN_FREEZE_S, _MAX_FREEZE_S = 0.3, 4.8
_DELAYED_SHARE = 0.15  # of the attempts that the network delays
_KEPT_SHARE = 0.7  # of the connections that are kept for the next call after an answer
_MIN_DELAY_S, _MAX_DELAY_S = 1.2, 9.0
_END_BEHIND_S = 0.003  # the end of a stream arrives so long behind delayed bytes
_READ_INTERVAL_S = 0.15
_REOPENS_WITHIN_S = 12.0  # the time in which callers retry (7 s), and a change of leader meanwhile
_MAX_MEMBERS_DOWN = 1


class Departure(Enum):
    """What an operator does with the connection of an attempt that it gives up."""

    CLOSES = "closes"
    RESETS = "resets"
    LEAVES_OPEN = "leaves open"


@dataclass(slots=True)
class Holding:
    """One evacuation of a zone, as its operator knows it. Times are seconds of one steady clock.

    `acknowledged_at`: of the evacuation; `restoring_at`: when the first attempt to restore the zone was sent."""

    acknowledged_at: float
    restoring_at: float = float("inf")


@dataclass(slots=True)
class ZoneRead:
    """A read of the evacuated zones that a majority of the core confirmed."""

    began_at: float
    ended_at: float
    is_evacuated: bool


@dataclass(slots=True)
class ZoneHistory:
    """What was done with one zone, and what was read of it."""

    holdings: list[Holding] = field(default_factory=list)
    reads: list[ZoneRead] = field(default_factory=list)
    restored_at: float = float("inf")  # when the last restoration was acknowledged


def judge_zone(history: ZoneHistory) -> list[str]:
    """Returns what was broken: reads in which a held zone is open, and whether a restored one stayed evacuated."""
    broken = []
    for read in history.reads:
        for holding in history.holdings:
            if holding.acknowledged_at < read.began_at and read.ended_at < holding.restoring_at:
                if not read.is_evacuated:
                    broken.append(f"open {read.began_at - holding.acknowledged_at:.3f} s after it was evacuated")
                break
    late = [read for read in history.reads if read.began_at > history.restored_at + _REOPENS_WITHIN_S]
    if any(read.is_evacuated for read in late):
        broken.append(f"still evacuated {late[-1].began_at - history.restored_at:.1f} s after it was restored")
    return broken


class Caller:
    """Sends single calls to nodes, and keeps the connections that operators leave open."""

    def __init__(self, rng: Random) -> None:
        """`rng`: draws what becomes of attempts."""
        self.counts: Counter[str] = Counter()
        self._rng = rng
        self._left_open: list[asyncio.StreamWriter] = []
        self._kept: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}  # idle ones, by node
        self._delayed: set[asyncio.Task[None]] = set()

    async def attempt(self, node: Node, name: str, zone: str) -> bool:
        """Sends an order once. Returns whether it was acknowledged within the caller's patience."""
        if self._rng.random() < _DELAYED_SHARE:
            self.counts["delayed"] += 1
            task = asyncio.ensure_future(self._deliver_late(node, name, zone))
            self._delayed.add(task)
            task.add_done_callback(self._delayed.discard)
            await asyncio.sleep(_PATIENCE_S)
            return False
        status, _ = await self.call(node, name, zone)
        self.counts[f"{name} {status or 'given up'}"] += 1
        return status == OK

    async def call(self, node: Node, name: str, zone: str = "") -> tuple[int, bytes]:
        """Sends a call, and returns the status and the body of its answer; status 0 for none in time.

        A connection that was kept is used again, if its node has not closed it.
        """
        reader, writer = self._kept.pop(node.name, (None, None))
        try:
            async with asyncio.timeout(_PATIENCE_S):
                if reader is None or writer is None or writer.is_closing():
                    reader, writer = await asyncio.open_connection(*parse_address(node.control))
                writer.write(_request(name, zone))
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(_content_length(head))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            if writer is not None:
                self._depart(writer)
            return 0, b""
        if b"\r\nconnection: close\r\n" in head.lower() or self._rng.random() > _KEPT_SHARE:
            writer.close()
        else:
            self._kept[node.name] = reader, writer
        return int(head.split(b" ", 2)[1]), body

    def _depart(self, writer: asyncio.StreamWriter) -> None:
        match self._rng.choice(list(Departure)):
            case Departure.CLOSES:
                writer.close()
            case Departure.RESETS:
                reset(writer.transport)
            case Departure.LEAVES_OPEN:
                self._left_open.append(writer)

    async def _deliver_late(self, node: Node, name: str, zone: str) -> None:
        """Delivers an attempt that the network delayed, on the connection that its caller opened for it.

        The end of the caller's stream follows the bytes, unless the caller left the connection open.
        """
        with suppress(OSError):
            _, writer = await asyncio.open_connection(*parse_address(node.control))
            await asyncio.sleep(self._rng.uniform(_MIN_DELAY_S, _MAX_DELAY_S))
            if writer.is_closing():  # the node has ended
                return
            writer.write(_request(name, zone))
            await asyncio.sleep(_END_BEHIND_S)
            self._depart(writer)

    async def end(self) -> None:
        """Waits for delayed attempts, and closes the connections that were left open or kept."""
        await asyncio.gather(*self._delayed)
        for writer in (*self._left_open, *(writer for _, writer in self._kept.values())):
            writer.close()


def _request(name: str, zone: str) -> bytes:
    query = f"call={name}&of={zone}" if zone else f"call={name}"
    return f"POST /api/rpc?{query} HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n".encode()


def _content_length(head: bytes) -> int:
    return int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])


class PatientlyFrozenNode(NodeDisturbance):
    """Disturbs a node, and freezes it for longer than callers wait."""

    async def _freeze(self) -> None:
        """Stops the process for a while."""
        self._send(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(_MIN_FREEZE_S, _MAX_FREEZE_S))
        self._send(signal.SIGCONT)


@dataclass(slots=True)
class OrderSoakResult(SeededResult):
    """What came of one run. `broken`: by zone, what was broken, each case."""

    evacuations: int = 0
    reads: int = 0
    calls: dict[str, int] = field(default_factory=dict)

    def __str__(self) -> str:
        """One line for a terminal."""
        if self.error:
            return f"seed {self.seed}: no verdict: {self.error.splitlines()[0]}"
        given_up = sum(count for name, count in self.calls.items() if name.endswith("given up"))
        broken = "; ".join(f"{zone}: {len(rows)} times, {rows[0]}" for zone, rows in self.broken.items()) or "none"
        return (
            f"seed {self.seed}: {self.nodes} nodes, {sum(self.disturbances.values())} disturbances, "
            f"{self.evacuations} evacuations, {given_up} attempts given up, {self.calls.get('delayed', 0)} delayed, "
            f"{self.reads} reads, broken: {broken}"
        )


class OrderSoakSystem(runs.EmulatedSystem):
    """The system of one run, its operators and what is known of each zone."""

    def __init__(self, loop: asyncio.AbstractEventLoop, plan: plans.Experiment, folder: Path) -> None:
        """`plan`: that of the run's seed; `folder`: that of the run."""
        super().__init__(loop, plan, "system", plan.seed, folder)
        self.disturbances: Counter[str] = Counter()
        self.histories = {zone: ZoneHistory() for zone in plan.zones}
        self._random = Random(f"{plan.seed}/orders")
        self.caller = Caller(Random(self._random.random()))

    async def play(self) -> None:
        """Plays the whole run. Raises `RunFailedError` if an order is never acknowledged."""
        await self.start()
        ends_at = time.monotonic() + self.plan.duration_s
        core_slots = asyncio.Semaphore(_MAX_MEMBERS_DOWN)
        disturbances = [
            PatientlyFrozenNode(self, node, core_slots, Random(self._random.random())).run() for node in self.nodes
        ]
        tasks = [self.loop.create_task(run) for run in (*disturbances, self._read_zones())]
        operators = [self._operate(zone, Random(self._random.random()), ends_at) for zone in self.plan.zones]
        await asyncio.gather(*operators)
        for task in tasks[:-1]:
            await self._end_disturbance(task)
        resume_nodes(self)
        await self.caller.end()
        await asyncio.sleep(_REOPENS_WITHIN_S + 1.0)
        tasks[-1].cancel()

    @staticmethod
    async def _end_disturbance(task: asyncio.Task[None]) -> None:
        if task.done():  # it never ends by itself
            raise RunFailedError(f"defect of the laboratory: {task.exception()!r}")
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    async def _operate(self, zone: str, rng: Random, ends_at: float) -> None:
        """Evacuates and restores a zone until the run ends."""
        history = self.histories[zone]
        while time.monotonic() < ends_at:
            history.restored_at = float("inf")
            await self._order("empty.start", zone, rng)
            holding = Holding(time.monotonic())
            history.holdings.append(holding)
            await asyncio.sleep(rng.uniform(_MIN_HOLD_S, _MAX_HOLD_S))
            holding.restoring_at = time.monotonic()
            await self._order("empty.finish", zone, rng)
            history.restored_at = time.monotonic()
            await asyncio.sleep(rng.uniform(0.0, _MAX_REST_S))

    async def _order(self, name: str, zone: str, rng: Random) -> None:
        """Repeats an order at one node after the other until it is acknowledged."""
        deadline = time.monotonic() + _ORDER_TIMEOUT_S
        while not await self.caller.attempt(rng.choice(self.nodes), name, zone):
            if time.monotonic() > deadline:
                raise RunFailedError(f"{name} of {zone} was not acknowledged in {_ORDER_TIMEOUT_S} s")
            await asyncio.sleep(rng.uniform(_MIN_RETRY_S, _MAX_RETRY_S))

    async def _read_zones(self) -> None:
        """Reads the evacuated zones again and again, as a majority of the core confirms them."""
        while True:
            await asyncio.sleep(_READ_INTERVAL_S)
            began_at = time.monotonic()
            status, body = await self.caller.call(self._random.choice(self.nodes), "evacuations.read")
            if status == OK:
                evacuated = json.loads(body)["Emptied"]
                for zone, history in self.histories.items():
                    history.reads.append(ZoneRead(began_at, time.monotonic(), zone in evacuated))


def draw_plan(seed: int, size: SoakSize) -> plans.Experiment:
    """Returns the experiment of a seed: a small fleet with a server, and no traffic."""
    rng = Random(f"order-soak/{seed}")
    table = {
        "name": f"order-soak-{seed}",
        "seed": seed,
        "base": base_address(seed),
        "duration_s": size.seconds,
        "warmup_s": 0.0,
        **place_nodes(rng, size),
        "services": [{"name": "reads", "servers": {"north-a": 1}}],
        "routes": [{"name": "read", "service": "reads"}],
        "tenants": [{"name": "acme"}],
        "streams": [{"name": "reads", "route": "read", "rate": 1.0}],
        "guarantees": {"Grace": "2s"},
    }
    return plans.parse(table)


def play(seed: int, size: SoakSize, out: Path) -> OrderSoakResult:
    """Plays the run of a seed. Its folder below `out` is kept if the run broke a rule or came to no verdict."""
    folder = out / f"seed-{seed}"
    result = OrderSoakResult(seed)

    async def run_and_judge(system: OrderSoakSystem) -> None:
        """Runs the system and fills in the result."""
        await system.play()
        result.nodes = len(system.nodes)
        result.calls, result.disturbances = dict(system.caller.counts), dict(system.disturbances)
        result.evacuations = sum(len(history.holdings) for history in system.histories.values())
        result.reads = sum(len(history.reads) for history in system.histories.values())
        broken = {zone: judge_zone(history) for zone, history in system.histories.items()}
        result.broken = {zone: rows for zone, rows in broken.items() if rows}

    try:
        plan = draw_plan(seed, size)
        runs.run_system(lambda loop, path: OrderSoakSystem(loop, plan, path), plan, folder, run_and_judge)
    except RunFailedError as error:
        result.error = str(error)
    result.store(folder)
    return result
