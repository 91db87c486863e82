"""The soak of orders on zones: impatient operators at real nodes that are stopped, frozen, killed and restarted.

An operator evacuates a zone and restores it, again and again, one operator a zone after the other. It gives up an
attempt after a second without an answer and repeats the order at another node; what it leaves behind may still arrive,
at a frozen node, through a network that delayed it, or through a relay that sends it on behind the acknowledgement of
the order (`zone_calls.py`). `judge_zone` decides what must hold, from what the operators know: a zone is never open
between an acknowledged evacuation and the first attempt to restore it, and never evacuated between an acknowledged
restoration and the first attempt to evacuate it again.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec

from ..nodes import RunFailedError
from . import plan as plans
from . import run as runs
from .disturbances import NodeDisturbance, resume_nodes
from .seeded_runs import SeededResult
from .soak_plan import SoakSize, base_address, place_nodes
from .zone_calls import OK, AttemptRecord, Call, Caller

_MIN_HOLD_S, _MAX_HOLD_S = 0.5, 4.0  # for which a zone is held evacuated
_MAX_REST_S = 2.5  # between a restoration and the next evacuation
_NAMED_SHARE = 0.3  # of the evacuations whose orders have an idempotency key
_KEY_BITS = 64
_MIN_FREEZE_S, _MAX_FREEZE_S = 0.3, 4.8
_READ_INTERVAL_S = 0.15
_LAST_READS_S = 4.0  # behind the last late attempt, for the reads that show whether it did harm
_MAX_MEMBERS_DOWN = 1


@dataclass(slots=True)
class Holding:
    """One evacuation of a zone, as its operator knows it. Times are seconds of one steady clock.

    `starting_at`, `restoring_at`: when the first attempt to evacuate the zone, and to restore it, was sent;
    `acknowledged_at`, `restored_at`: when these orders were acknowledged."""

    starting_at: float
    acknowledged_at: float = float("inf")
    restoring_at: float = float("inf")
    restored_at: float = float("inf")


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


def judge_zone(history: ZoneHistory) -> list[str]:
    """Returns what was broken: reads in which a held zone is open, or a restored one is evacuated."""
    broken = []
    next_starts = [holding.starting_at for holding in history.holdings[1:]] + [float("inf")]
    for holding, next_start in zip(history.holdings, next_starts, strict=True):
        for read in history.reads:
            if holding.acknowledged_at < read.began_at and read.ended_at < holding.restoring_at:
                if not read.is_evacuated:
                    broken.append(f"open {read.began_at - holding.acknowledged_at:.3f} s after it was evacuated")
            elif holding.restored_at < read.began_at and read.ended_at < next_start and read.is_evacuated:
                broken.append(f"evacuated {read.began_at - holding.restored_at:.3f} s after it was restored")
    return broken


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
            f"{self.calls.get('relayed', 0)} relayed, "
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
        await asyncio.sleep(_LAST_READS_S)
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
            key = f"{rng.getrandbits(_KEY_BITS):x}" if rng.random() < _NAMED_SHARE else ""
            holding = Holding(time.monotonic())
            history.holdings.append(holding)
            await self._order(Call("empty.start", zone, key), rng)
            holding.acknowledged_at = time.monotonic()
            await asyncio.sleep(rng.uniform(_MIN_HOLD_S, _MAX_HOLD_S))
            holding.restoring_at = time.monotonic()
            await self._order(Call("empty.finish", zone, key), rng)
            holding.restored_at = time.monotonic()
            await asyncio.sleep(rng.uniform(0.0, _MAX_REST_S))

    async def _order(self, order: Call, rng: Random) -> None:
        """Repeats an order at one node after the other until it has a clear answer."""
        async with self.caller.zone_locks[order.zone]:
            await self.caller.give(order, self.nodes, rng, self.caller.attempt)
        self.caller.relay(rng.choice(self.nodes), order)

    async def _read_zones(self) -> None:
        """Reads the evacuated zones again and again, as a majority of the core confirms them."""
        while True:
            await asyncio.sleep(_READ_INTERVAL_S)
            began_at = time.monotonic()
            answer = await self.caller.call(self._random.choice(self.nodes), Call("evacuations.read"))
            if answer.status == OK:
                evacuated = json.loads(answer.body)["Emptied"]
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


def _store_attempts(attempts: list[AttemptRecord], path: Path) -> None:
    """Writes a line for each attempt, to be compared with the logs of the nodes."""
    path.write_bytes(b"".join(msgspec.json.encode(attempt) + b"\n" for attempt in attempts))


def play(seed: int, size: SoakSize, out: Path) -> OrderSoakResult:
    """Plays the run of a seed. Its folder below `out` is kept if the run broke a rule or came to no verdict."""
    folder = out / f"seed-{seed}"
    result = OrderSoakResult(seed)

    async def run_and_judge(system: OrderSoakSystem) -> None:
        """Runs the system and fills in the result."""
        await system.play()
        _store_attempts(system.caller.attempts, folder / "attempts.jsonl")
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
