"""The soak of zones: several operators evacuate the same zones, and clients send requests all the while.

Each operator evacuates its zone, holds it, restores it and rests, again and again, whatever the other one does. It
gives up an attempt after a second without an answer and repeats the order at another node. A run is undisturbed, or
its nodes are stopped, frozen, killed and restarted, all are killed at once, also with a lost disk,
or are cut off from the others. `zone_judge.py` judges it by the requests that reached servers.
"""

from __future__ import annotations

import asyncio
import shutil
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from ...operator_cli.local_layout import Node
from ..nodes import RunFailedError
from . import plan as plans
from . import run as runs
from .disturbances import resume_nodes
from .order_soak import PatientlyFrozenNode
from .seeded_runs import SeededResult
from .soak_plan import SoakSize, base_address
from .zone_calls import CONFLICT, OK, AttemptRecord, Call, Caller, Departure
from .zone_judge import SEC, Arrival, Bounds, Order, ZoneRecord, judge_holds, judge_restorations

_ZONES = {"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"}
_EVACUATED_ZONES = ("north-b", "south-b")
_OPERATORS_PER_ZONE = 2
_DEFAULT_NODES = 6
_REQUEST_RATE = 60.0  # per second
_EVACUATED_WITHIN_S, _STRETCH_S, _IN_TOUCH_AFTER_S = 1.5, 3.0, 4.0
_MIN_HOLD_S, _MAX_HOLD_S = 0.5, 12.0
_MAX_REST_S = 6.0
_OPERATORS_END_WITHIN_S = 20.0  # of the time at which they begin no evacuation any more
_LAST_REQUESTS_S = 14.0  # the time in which a zone opens, and some requests after it
_KEY_BITS = 64
_SECONDS_BETWEEN_KILLS = 9.0
_MIN_CUT_S, _MAX_CUT_S = 1.0, 8.0  # for which a node is cut off, and between the beginnings of two cuts
_MAX_MEMBERS_DOWN = 1


class Trouble(Enum):
    """What happens to the nodes of a run."""

    NONE = "none"
    SERIES = "series"
    ALL_KILLED = "all killed"
    DISK_LOST = "all killed, a disk lost"
    CUT = "cut off"


@dataclass(frozen=True, slots=True)
class Manners:
    """How the operators of a run behave. `named_share`: of the evacuations whose orders have an idempotency key."""

    trouble: Trouble
    departure: Departure
    named_share: float


class RecordedDisturbance(PatientlyFrozenNode):
    """Disturbs a node, and records when."""

    _system: ZoneSoakSystem

    def _send(self, *signals: signal.Signals) -> None:
        super()._send(*signals)
        self._system.note_disturbed(self._node)

    async def _restart(self) -> None:
        await super()._restart()
        self._system.note_disturbed(self._node)


@dataclass(slots=True)
class ZoneSoakResult(SeededResult):
    """What came of one run.

    `broken`: by zone, the requests that reached it while it was held, and the restorations behind which it got none;
    `holds`: acknowledged evacuations; `still_held`: restorations answered 409, since other keys hold the zone."""

    manners: dict[str, Any] = field(default_factory=dict)
    holds: int = 0
    arrivals: int = 0
    still_held: int = 0
    calls: dict[str, int] = field(default_factory=dict)

    def __str__(self) -> str:
        """One line for a terminal."""
        if self.error:
            return f"seed {self.seed}: no verdict: {self.error.splitlines()[0]}"
        broken = "; ".join(f"{zone}: {len(rows)} times, {rows[0]}" for zone, rows in self.broken.items()) or "none"
        return (
            f"seed {self.seed}: {self.nodes} nodes, trouble {self.manners['trouble']}, {self.manners['departure']}, "
            f"named {self.manners['named_share']:g}, {sum(self.disturbances.values())} disturbances, "
            f"{self.holds} holds, {self.arrivals} requests at their zones, still held: {self.still_held}, "
            f"broken: {broken}"
        )


class ZoneSoakSystem(runs.EmulatedSystem):
    """The system of one run, its operators and what is known of each zone."""

    def __init__(self, loop: asyncio.AbstractEventLoop, plan: plans.Experiment, folder: Path, manners: Manners) -> None:
        """`plan`: that of the run's seed; `folder`: that of the run."""
        super().__init__(loop, plan, "system", plan.seed, folder)
        self.disturbances: Counter[str] = Counter()
        self.manners = manners
        self.zones = {zone: ZoneRecord() for zone in _EVACUATED_ZONES}
        self.disturbed: dict[str, list[int]] = {}  # by a node's address
        self._random = Random(f"{plan.seed}/zones")
        self.caller = Caller(Random(self._random.random()), manners.departure)
        self._conductor: asyncio.Task[None] | None = None

    def note_disturbed(self, node: Node) -> None:
        """Records that a node is disturbed now."""
        self.disturbed.setdefault(node.ip, []).append(time.monotonic_ns())

    def begin_disturbances(self) -> None:
        """Starts the operators and the disturbances."""
        self._conductor = self.loop.create_task(self._conduct())

    async def end_disturbances(self) -> None:
        """Waits for the operators, who should have ended."""
        assert self._conductor is not None
        await self._conductor

    async def _conduct(self) -> None:
        """Runs the operators, disturbs the nodes meanwhile, and lets the zones open in calm."""
        ends_at = time.monotonic() + operating_s(self.plan)
        troubles = self._start_troubles()
        operators = [
            self._operate(zone, Random(self._random.random()), ends_at)
            for zone in self.zones
            for _ in range(_OPERATORS_PER_ZONE)
        ]
        await asyncio.gather(*operators)
        for trouble in troubles:
            trouble.cancel()
        await asyncio.gather(*troubles, return_exceptions=True)
        resume_nodes(self)
        for zone in self.zones.values():
            zone.calm_at = time.monotonic_ns()

    def _start_troubles(self) -> list[asyncio.Task[None]]:
        match self.manners.trouble:
            case Trouble.NONE | Trouble.CUT:  # a cut is a fault of the plan
                return []
            case Trouble.ALL_KILLED | Trouble.DISK_LOST:
                return [self.loop.create_task(self._kill_all_repeatedly())]
            case Trouble.SERIES:
                slots = asyncio.Semaphore(_MAX_MEMBERS_DOWN)
                rows = [RecordedDisturbance(self, node, slots, Random(self._random.random())) for node in self.nodes]
                return [self.loop.create_task(row.run()) for row in rows]

    async def _kill_all_repeatedly(self) -> None:
        """Kills all nodes at the same moment, and starts them again; one member's disk may be empty then."""
        while True:
            await asyncio.sleep(_SECONDS_BETWEEN_KILLS * self._random.uniform(0.5, 1.0))
            for node in self.nodes:
                self.children[node.name].kill()
                self.note_disturbed(node)
            self.disturbances[self.manners.trouble.value] += 1
            members = [node.name for node in self.nodes if node.disk]
            lost = self._random.choice(members) if self.manners.trouble is Trouble.DISK_LOST else ""
            for node in self.nodes:
                self.children[node.name].wait()
                if node.name == lost:
                    shutil.rmtree(self.process_settings(node, False)["Self"]["DataFolder"])
                self.launch(node, first=False)
                self.note_disturbed(node)

    async def _operate(self, name: str, rng: Random, ends_at: float) -> None:
        """Evacuates, holds and restores a zone until the run ends."""
        await asyncio.sleep(rng.uniform(0.0, _MAX_REST_S))
        while time.monotonic() < ends_at:
            key = f"{rng.getrandbits(_KEY_BITS):x}" if rng.random() < self.manners.named_share else ""
            await self.caller.give(Call("empty.start", name, key), self.nodes, rng)
            await asyncio.sleep(rng.uniform(_MIN_HOLD_S, _MAX_HOLD_S))
            await self.caller.give(Call("empty.finish", name, key), self.nodes, rng)
            await asyncio.sleep(rng.uniform(0.0, _MAX_REST_S))


def operating_s(plan: plans.Experiment) -> float:
    """Returns how long the operators of a run begin evacuations."""
    return float(plan.duration_s) - _OPERATORS_END_WITHIN_S - _LAST_REQUESTS_S


def draw_manners(seed: int) -> Manners:
    """Returns how the operators of a seed's run behave."""
    rng = Random(f"zone-soak/{seed}/manners")
    return Manners(
        rng.choice((*Trouble, Trouble.SERIES)),
        rng.choice((Departure.CLOSES, Departure.RESETS)),
        rng.choice((0.0, 0.0, 0.4)),
    )


def _draw_cuts(rng: Random, nodes: int, seconds: float) -> list[dict[str, Any]]:
    """Returns the faults of a run in which one node after the other is cut off from all others; cuts may overlap."""
    cuts, at_s = [], rng.uniform(0.0, _MAX_CUT_S)
    while at_s < seconds:
        target = f"node:{rng.randrange(nodes)}"
        cuts.append({"kind": "cut", "target": target, "at_s": at_s, "for_s": rng.uniform(_MIN_CUT_S, _MAX_CUT_S)})
        at_s += rng.uniform(_MIN_CUT_S, _MAX_CUT_S)
    return cuts


def draw_plan(seed: int, size: SoakSize, trouble: Trouble = Trouble.NONE) -> plans.Experiment:
    """Returns the experiment of a seed: servers and clients in all zones, one member of the core in each."""
    rng = Random(f"zone-soak/{seed}")
    counts, nodes = Counter(list(_ZONES)), size.nodes or _DEFAULT_NODES
    for _ in range(nodes - len(_ZONES)):
        counts[rng.choice(list(_ZONES))] += 1
    table = {
        "name": f"zone-soak-{seed}",
        "seed": seed,
        "base": base_address(seed),
        "duration_s": size.seconds + _OPERATORS_END_WITHIN_S + _LAST_REQUESTS_S,
        "warmup_s": 0.0,
        "most_lag_ms": 10_000.0,
        "zones": _ZONES,
        "pilots": [{"zone": zone, "count": count, "disks": 1} for zone, count in counts.items()],
        "services": [{"name": "reads", "servers": dict.fromkeys(_ZONES, 1), "slots": 8, "warmup_s": 0.5}],
        "routes": [{"name": "read", "service": "reads"}],
        "tenants": [{"name": "acme"}],
        "streams": [{"name": "reads", "route": "read", "rate": _REQUEST_RATE, "kept": 0.9}],
        "faults": _draw_cuts(rng, nodes, size.seconds) if trouble is Trouble.CUT else [],
        "guarantees": {
            "Grace": "2s",
            "EmptyZone": plans.format_ms(1000 * _EVACUATED_WITHIN_S),
            "Stretch": plans.format_ms(1000 * _STRETCH_S),
            "InTouch": plans.format_ms(1000 * _IN_TOUCH_AFTER_S),
        },
    }
    return plans.parse(table)


def judge_system(system: ZoneSoakSystem) -> dict[str, list[str]]:
    """Returns what was broken in a run that has ended, by zone."""
    terms = system.terms
    stretch = 0 if system.manners.trouble is Trouble.NONE else terms.stretch
    bounds = Bounds(terms.empty_zone + stretch, terms.in_touch)
    _note_cuts(system)
    for attempt in system.caller.attempts:
        _note_attempt(system.zones[attempt.call.zone], attempt)
    nodes = {one.id: one.node for one in system.observed.tries}
    broken = {}
    for name, zone in system.zones.items():
        servers = [server for server in system.observed.servers if server.zone == name]
        zone.arrivals = sorted(
            Arrival(at, try_id, nodes.get(try_id, "")) for server in servers for at, try_id in server.arrivals
        )
        rows = judge_holds(zone, system.disturbed, bounds) + judge_restorations(zone, time.monotonic_ns())
        if rows:
            broken[name] = rows
    return broken


def _note_attempt(zone: ZoneRecord, attempt: AttemptRecord) -> None:
    """Records an attempt at an order with its zone."""
    sent_at, ended_at = int(attempt.sent_at * SEC), int(attempt.ended_at * SEC)
    orders = zone.starts if attempt.call.name == "empty.start" else zone.finishes
    orders.append(Order(sent_at, ended_at, attempt.status == OK, attempt.call.key))


def _note_cuts(system: ZoneSoakSystem) -> None:
    """Records the nodes that were cut off as disturbed, at the beginning and the end of each cut and in between."""
    begun: dict[tuple[int, str], int] = {}
    for event in system.events:
        key, at = (event.number, event.target), system.started_at + event.at
        if event.on:
            begun[key] = at
            continue
        node = system.nodes[int(event.target.partition(":")[2])]
        times = system.disturbed.setdefault(node.ip, [])
        times.extend(range(begun[key], at, system.terms.in_touch))
        times.append(at)


def _store(system: ZoneSoakSystem, folder: Path) -> None:
    """Writes the attempts, to be compared with the logs of the nodes."""
    attempts: list[AttemptRecord] = system.caller.attempts
    (folder / "attempts.jsonl").write_bytes(b"".join(msgspec.json.encode(attempt) + b"\n" for attempt in attempts))


def play(seed: int, size: SoakSize, out: Path, manners: Manners | None = None) -> ZoneSoakResult:
    """Plays the run of a seed; `manners`: instead of those drawn from the seed.

    Its folder below `out` is kept if the run broke a rule or came to no verdict."""
    folder = out / f"seed-{seed}"
    result = ZoneSoakResult(seed)
    chosen = manners or draw_manners(seed)
    result.manners = {
        "trouble": chosen.trouble.value,
        "departure": chosen.departure.value,
        "named_share": chosen.named_share,
    }

    async def run_and_judge(system: ZoneSoakSystem) -> None:
        """Runs the system and fills in the result."""
        await system.run()
        _store(system, folder)
        result.broken = judge_system(system)
        result.nodes = len(system.nodes)
        result.calls, result.disturbances = dict(system.caller.counts), dict(system.disturbances)
        result.holds = sum(start.is_acknowledged for zone in system.zones.values() for start in zone.starts)
        result.still_held = system.caller.counts[f"empty.finish {CONFLICT}"]
        result.arrivals = sum(len(zone.arrivals) for zone in system.zones.values())

    try:
        plan = draw_plan(seed, size, chosen.trouble)
        runs.run_system(lambda loop, path: ZoneSoakSystem(loop, plan, path, chosen), plan, folder, run_and_judge)
    except RunFailedError as error:
        result.error = str(error)
    result.store(folder)
    return result
