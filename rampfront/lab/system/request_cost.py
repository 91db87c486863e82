"""Measures what one node adds to a request, by the size of its state.

Call: `python -m rampfront.lab.system.request_cost -o DIR`. `speed.measure_speed` runs each case: open loop, alternately
straight to the servers and through the one node. A line is fitted to the node's processor time against the rate: its
slope is the cost of a request, its base the time that the node uses without load.
"""

import json
import os
from dataclasses import dataclass
from pathlib import Path

import click

from . import plan as plans
from .line_fit import fit
from .plan import Experiment
from .speed import measure_speed

MICRO = 1e6
ZONES = {"north-a": "north", "south-a": "south"}
RATES, SECONDS, ROUNDS = (100.0, 300.0, 500.0), 3.0, 2


@dataclass(frozen=True)
class Case:
    """The size of a node's state. `servers`: of all services together; the requests use the first service."""

    name: str
    routes: int = 40
    tenants: int = 8
    servers: int = 24
    services: int = 2


CASES = (
    Case("small"),
    Case("routes", routes=2700),
    Case("tenants", tenants=32000),
    Case("servers of 130 services", servers=2600, services=130),
    Case("servers of one service", servers=2600, services=1),
    Case("all", routes=2700, tenants=32000, servers=2600, services=130),
)


def experiment(case: Case, rates: tuple[float, ...] = RATES, seconds: float = SECONDS) -> Experiment:
    """Returns an experiment with one node, the case's servers, all with spare capacity, and a stream on the last route.

    Raises InvalidPlanError."""
    services = [f"service-{number}" for number in range(case.services)]
    servers_per_zone = case.servers // case.services // len(ZONES)
    return plans.parse(
        {
            "name": case.name.replace(" ", "-"),
            "base": "127.81.0.1",
            "zones": ZONES,
            "pilots": [{"zone": "north-a", "count": 1, "disks": 1}],
            "services": [
                {
                    "name": name,
                    "servers": dict.fromkeys(ZONES, servers_per_zone),
                    "slots": 64,
                    "queue": 256,
                    "connections": 1000,
                    "latency": {"mean_ms": 5.0},
                }
                for name in services
            ],
            "routes": [
                {"name": f"route-{number}", "service": services[-1 - number % len(services)]}
                for number in range(case.routes - 1)
            ]
            + [{"name": "route-asked", "service": services[0]}],
            "tenants": [
                {"name": f"tenant-{number}", "per_s": 10000.0, "burst": 10000.0} for number in range(case.tenants)
            ],
            "streams": [{"name": "asked", "route": "route-asked", "rate": rates[0]}],
            "platform": {"page": 500, "per_s": 1000.0},
            "speed": {"rates": list(rates), "seconds": seconds, "rounds": ROUNDS},
        }
    )


def lines(case: Case, rows: list[dict]) -> list[str]:
    """Returns rows of a Markdown table: one for each rate, and one with the slope of the processor time."""
    through = [row for row in rows if row["way"] != "direct"]
    table = []
    for row in through:
        latency, added, lag = row["latency_ms"], row["added_ms"], row["lag_ms"]["p99"]
        table.append(
            f"| {case.name} | {row['rate']:g} | {row['settled']} of {row['offered']} | "
            f"{latency.get('p50', 0):.2f}, {latency.get('p99', 0):.2f} | {added.get('p50', 0):.2f}, "
            f"{added.get('p99', 0):.2f} | {lag:.2f} | {row['cores'][0] / row['rate'] * MICRO:.0f} |"
        )
    slope = fit([row["rate"] for row in through], [row["cores"][0] for row in through])
    table.append(
        f"| {case.name} | slope | | | | | {slope.each * MICRO:.0f} (error {slope.each_error * MICRO:.0f}), "
        f"and {slope.base:.3f} of a core without load |"
    )
    return table


TABLE_HEAD = (
    "| case | requests/s | answered | p50, p99 ms | added p50, p99 ms | lag of the tool p99 ms | processor us/request |"
    "\n| --- | --- | --- | --- | --- | --- | --- |"
)


@click.command()
@click.option("--out", "-o", type=click.Path(path_type=Path), default=Path("found/request-cost"), show_default=True)
@click.option("--case", "only", default="", help="Run only this case.")
def main(out: Path, only: str) -> None:
    """Run the cases one after another and print a table."""
    click.echo(TABLE_HEAD)
    for case in CASES:
        if only in ("", case.name):
            rows = measure_speed(experiment(case), out / case.name.replace(" ", "-"))
            for line in lines(case, rows):
                click.echo(line)
            click.echo(f"| {case.name} | load of the machine {os.getloadavg()[0]:.0f} | | | | | |")
            (out / "rows.json").write_text(json.dumps(rows))


if __name__ == "__main__":
    main()
