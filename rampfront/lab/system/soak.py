"""The soak: runs of real nodes under series of signals, restarts and misbehaving servers, each drawn from a seed.

A run is judged by what clients were answered and what servers executed (`judge.py`), by `Try-Id`, so it finds a broken
promise without a hypothesis about its cause. `seeded_runs.py` plays many runs; the folder of a run that broke a rule is
kept, with the logs of its nodes.
"""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from ..nodes import RunFailedError
from ..simulated_servers import SimulatedServer
from . import run as runs
from .clients import Client, LoadGenerator
from .disturbances import resume_nodes, start_disturbances
from .judge import breaches, judge, summarize_findings
from .misbehaving_server import Manners, MisbehavingServer
from .plan import Experiment
from .seeded_runs import SeededResult
from .soak_plan import SoakSize, draw_plan, draw_shares

_STICKY_SHARE = 0.7  # of the requests that stay with a front while a connection to it is open
_EXECUTION_GRACE_S = 1.0  # after the last answer, in which servers execute what they still hold
_TOTALS = re.compile(r" totals why=end (.*)$", re.M)
_REFUSAL = re.compile(r"refusal try=(?P<try_id>\S+) attempts=\S+")
_UNEXECUTED_PREFIX = "unexecuted_"
_REPORTED_COUNTERS = ("declined", "declined_in_flight", "resent_same_connection", "faults")

Address = tuple[str, int]


@dataclass(slots=True)
class SoakResult(SeededResult):
    """What came of one run. `broken`: each broken rule, with its number of cases and the first ones."""

    tries: int = 0
    executed: int = 0
    statuses: dict[str, int] = field(default_factory=dict)
    misbehaviour: dict[str, int] = field(default_factory=dict)
    counters: dict[str, int] = field(default_factory=dict)  # of the processes that ended in order
    evidence: list[str] = field(default_factory=list)  # what the nodes logged of the requests concerned

    def __str__(self) -> str:
        """One line for a terminal."""
        if self.error:
            return f"seed {self.seed}: no verdict: {self.error.splitlines()[0]}"
        rules = ", ".join(f"{rule} {row['count']}" for rule, row in self.broken.items()) or "none"
        rules = "; ".join([rules, *self.evidence])
        disturbances = sum(self.disturbances.values())
        return (
            f"seed {self.seed}: {self.nodes} nodes, {disturbances} disturbances, {self.tries} tries, "
            f"{self.executed} executed, {self.statuses.get('503', 0)} answered 503, rules broken: {rules}"
        )


class SoakClient(Client):
    """A client that keeps using its open connections until they end, whatever the directory says of their front."""

    async def choose_front(self) -> Address | None:
        """Returns a front's address, or None if none is known."""
        open_fronts = [
            front
            for front, connections in self.idle_connections.items()
            if any(not connection.closed for connection, _ in connections)
        ]
        if open_fronts and self.rng.random() < _STICKY_SHARE:
            return self.rng.choice(open_fronts)
        return await super().choose_front()

    def drop_connections_to(self, fronts: Iterable[Address]) -> None:
        """Keeps the connections to fronts that the directory no longer names."""


class SoakSystem(runs.EmulatedSystem):
    """The system of one run.

    `manners`: how its servers misbehave; `disturbances`: how often each kind of disturbance was carried out."""

    def __init__(self, loop: asyncio.AbstractEventLoop, plan: Experiment, folder: Path) -> None:
        """`plan`: the plan of the run's seed; `folder`: that of the run."""
        super().__init__(loop, plan, "system", plan.seed, folder)
        self.disturbances: Counter[str] = Counter()
        rng = Random(f"{self.seed}/soak")
        self.manners = Manners(Random(rng.random()), draw_shares(rng))
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []

    def make_server(self, *arguments: object) -> SimulatedServer:
        """Returns a new misbehaving server."""
        return MisbehavingServer(*arguments, manners=self.manners)

    def make_clients(self) -> list[list[Client]]:
        """Returns the clients of each zone."""
        return [[SoakClient(self, zone, number) for number in range(self.plan.clients)] for zone in self.plan.zones]

    def begin_disturbances(self) -> None:
        """Starts the disturbances; the whole run counts as disturbed."""
        self.faults.begin_period("soak", self.started_at)
        self._tasks = start_disturbances(self, self._rng)

    async def end_disturbances(self) -> None:
        """Ends the disturbances, waits until all nodes serve again, and lets servers execute what they still hold."""
        for task in self._tasks:
            if task.done():  # it never ends by itself
                self.internal_error = task.exception()
            task.cancel()
        for server in self.fleet.servers.values():
            server.resume_reading()
        await asyncio.sleep(_EXECUTION_GRACE_S)
        resume_nodes(self)


def play(seed: int, size: SoakSize, out: Path) -> SoakResult:
    """Plays the run of a seed. Its folder below `out` is kept if the run broke a rule or came to no verdict."""
    folder = out / f"seed-{seed}"
    result = SoakResult(seed)

    async def run_and_judge(system: SoakSystem) -> None:
        """Runs the system and fills in the result."""
        generator = await system.run()
        _summarize(system, generator, result)

    try:
        plan = draw_plan(seed, size)
        runs.run_system(lambda loop, path: SoakSystem(loop, plan, path), plan, folder, run_and_judge)
    except RunFailedError as error:
        result.error = str(error)
    result.counters = dict(_node_counters(folder))
    result.evidence = _evidence(folder, result.broken)
    result.store(folder)
    return result


def _summarize(system: SoakSystem, generator: LoadGenerator, result: SoakResult) -> None:
    """Fills in the verdict and the figures of a run."""
    result.nodes = len(system.nodes)
    result.tries = len(generator.tries)
    result.executed = sum(len(server.runs) for server in system.observed.servers)
    result.statuses = dict(Counter(str(client_try.status) for client_try in generator.tries))
    result.disturbances = dict(system.disturbances)
    misbehaviour: Counter[str] = Counter()
    for server in system.fleet.servers.values():
        misbehaviour.update({name: count for name, count in server.counts.items() if isinstance(name, str)})
    result.misbehaviour = dict(misbehaviour)
    result.broken = summarize_findings(breaches(judge(system.observed, system.terms)))


def _node_counters(folder: Path) -> Counter[str]:
    """Returns the sums of some counters over all processes that ended in order."""
    total: Counter[str] = Counter()
    for path in folder.glob("*.log"):
        for line in _TOTALS.findall(path.read_text("utf-8", "replace")):
            for name, count in (pair.split("=") for pair in line.split()):
                if name in _REPORTED_COUNTERS or name.startswith(_UNEXECUTED_PREFIX):
                    total[name] += int(count)
    return total


def _evidence(folder: Path, broken: dict[str, Any]) -> list[str]:
    """Returns the logged refusals of the requests with which a rule was broken, each once."""
    try_ids = {text.split()[0] for row in broken.values() for text in row["first"]}
    found = {}
    for path in folder.glob("*.log"):
        for line in path.read_text("utf-8", "replace").splitlines():
            refusal = _REFUSAL.search(line)
            if refusal and refusal["try_id"] in try_ids:
                found[refusal["try_id"]] = f"{path.stem}: {refusal[0]}"
    return sorted(found.values())
