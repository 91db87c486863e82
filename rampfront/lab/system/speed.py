"""Measures what the proxies add to a request: straight to the servers, through one proxy, and through all of them.

The paths alternate within one run, so that a change of the machine's load affects all of them.
"""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import msgspec
from numpy.typing import NDArray

from ...settings.scalars import parse_address
from ..nodes import RunFailedError, process_usage
from . import report, schedule
from .clients import FixedFrontsClient, LoadGenerator
from .plan import Experiment
from .run import EmulatedSystem, run_in_system

_STABILIZATION_S = 1.0  # from the moment when all nodes are ready to the first measurement
_LEAD_S = 0.25  # from the creation of a load to its first request
_PAUSE_S = 0.3  # between two measurements
_WARMUP_DIVISOR = 4  # the longest warm-up is the measurement's length divided by this

Rows = NDArray[Any]
Addresses = list[tuple[str, int]]


def measure_speed(plan: Experiment, folder: Path) -> list[dict[str, Any]]:
    """Measures each of the plan's rates on each path; returns the report's rows and writes them to the folder.

    Raises `RunFailedError`."""

    async def measure(system: EmulatedSystem) -> list[dict[str, Any]]:
        """Returns the rows of all rates."""
        await system.start()
        await asyncio.sleep(_STABILIZATION_S)
        paths = _paths(system)
        rows: list[dict[str, Any]] = []
        for rate in plan.speed.rates:
            system.plan = _plan_of_rate(plan, rate)
            rounds = await _measure_rounds(system, paths, plan.speed.rounds)
            rows += [report.speed_row(system.plan, path, rate, results) for path, results in rounds.items()]
        return report.add_latency_differences(rows)

    written = run_in_system(plan, "system", plan.seed, folder, measure)
    (folder / "report.json").write_text(json.dumps(written, indent=1))
    return written


def _paths(system: EmulatedSystem) -> dict[str, Addresses]:
    """Returns the addresses that the load is sent to, by the name of the path."""
    stream = system.plan.streams[0]
    service = next(route for route in system.plan.routes if route.name == stream.route).service
    fronts = [parse_address(node.front) for node in system.nodes]
    return {
        "direct": [parse_address(box.address) for box in system.boxes if box.profile.service == service],
        "one pilot": fronts[:1],
        f"{len(fronts)} pilots": fronts,
    }


def _plan_of_rate(plan: Experiment, rate: float) -> Experiment:
    """Returns the plan of one measurement: its first stream alone, at this rate, on kept connections."""
    length_s = plan.speed.seconds
    stream = msgspec.structs.replace(plan.streams[0], rate=rate, kept=1.0, from_s=0.0, until_s=0.0)
    warmup_s = min(1.0, length_s / _WARMUP_DIVISOR)
    return msgspec.structs.replace(plan, duration_s=length_s, warmup_s=warmup_s, streams=[stream])


async def _measure_rounds(
    system: EmulatedSystem, paths: dict[str, Addresses], rounds: int
) -> dict[str, list[tuple[Rows, list[float]]]]:
    """Measures all paths in turn, `rounds` times; returns the results of each path."""
    results: dict[str, list[tuple[Rows, list[float]]]] = {path: [] for path in paths}
    for number in range(rounds):
        arrivals = schedule.arrivals(system.plan, system.seed + number)
        for path, addresses in paths.items():
            results[path].append(await _measure_path(system, arrivals, addresses))
    return results


async def _measure_path(
    system: EmulatedSystem, arrivals: schedule.Arrivals, addresses: Addresses
) -> tuple[Rows, list[float]]:
    """Measures one path at one rate; returns (rows, processor cores used by each node)."""
    length_s = system.plan.duration_s
    before = [process_usage(child.pid)[0] for child in system.children.values()]
    start_ns = time.monotonic_ns() + round(_LEAD_S * 10**9)
    generator = LoadGenerator(system, arrivals, start_ns, [[FixedFrontsClient(system, addresses)]])
    await asyncio.sleep(_LEAD_S + length_s)
    cores = [
        (process_usage(child.pid)[0] - cpu_s_before) / (length_s + _LEAD_S)
        for child, cpu_s_before in zip(system.children.values(), before, strict=True)
    ]
    await generator.wait_finished()
    generator.pacer.end()
    if system.internal_error is not None:
        raise RunFailedError(f"defect of the laboratory: {system.internal_error!r}")
    await asyncio.sleep(_PAUSE_S)
    return generator.rows, cores
