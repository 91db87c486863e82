"""Measures the cost of tenants' counts for their holder and for a node, by the number of tenants.

Call: `python -m rampfront.lab.system.counts_cost`. It uses the real `QuotaCounter` and `Limiter` in one process,
without frames, and prints the processor time of one call. It also prints the shares of the budgets that each node of a
fleet gets (`proxy.budget_shares`), by the number of nodes.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from types import SimpleNamespace

import click

from ...proxy.budget_shares import set_budgets
from ...quota.counter import QuotaCounter
from ...quota.limiter import Limiter
from ...quota.limits import QuotaRule
from ...settings.configuration import Customer
from .line_fit import fit

MICRO, SEC = 1e6, 10**9
TENANTS = 80, 800, 3200, 32000
NODES = 11, 82, 460, 1000
REPEATS = 20
EXTRA_TRIES, COLD_PER_S = 204, 2.8


@dataclass
class Bench:
    """A holder of counts and a limiter with the same tenants, each of which is used by a few requests."""

    counter: QuotaCounter
    limiter: Limiter
    names: list[str]
    now: int = 1000 * SEC
    number: int = 0

    def add(self, proxy: str, **fields: object) -> dict:
        """Delivers a node's message with one tenant's count; returns the answer."""
        self.now += SEC // 100
        self.number += 1
        name = self.names[self.number % len(self.names)]
        row = [name, self.now // (5 * SEC), 1, 0, 0]
        return self.counter.receive(self.now, proxy, {"l": 7, "s": self.number, "g": 1, "a": [row], **fields})

    def node_starts(self) -> None:
        """A node that has just started requests all counts in use."""
        self.add(f"node-{self.number}", w=1)

    def node_moves(self) -> None:
        """A node changes over from another holder: it sends its own counts and requests all."""
        self.add(f"node-{self.number}", f=60000, w=1)

    def node_missing(self) -> None:
        """The share of nodes that the holder does not hear changes."""
        self.counter.missing_share = 0.5
        self.counter.registry.missing_share_updated_at = self.now - SEC // 5
        self.counter.update_missing_share(self.now)

    def take(self) -> None:
        """A node asks its limiter to admit one request."""
        self.now += SEC // 100
        self.number += 1
        self.limiter.take(self.names[self.number % len(self.names)], self.now)


def bench(tenants: int) -> Bench:
    """Returns a bench of this many tenants, each with a quota and a burst."""
    customers = {f"tenant-{index}": Customer(f"tenant-{index}", (), 0, 20.0, 20.0) for index in range(tenants)}
    bench_state = Bench(QuotaCounter(1, 0, QuotaRule()), Limiter("node-0", Random(1)), list(customers))
    bench_state.counter.set_quotas(customers, bench_state.now)
    bench_state.counter.set_proxy_count(460)
    bench_state.limiter.set_quotas(customers, bench_state.now)
    return bench_state


def cost(action: Callable[[], object], repeats: int) -> float:
    """Returns the processor time of one call in microseconds: the minimum of several averages over `repeats` calls."""
    action()
    costs_us = []
    for _ in range(3):
        started_s = time.process_time()
        for _ in range(repeats):
            action()
        costs_us.append((time.process_time() - started_s) / repeats * MICRO)
    return min(costs_us)


def call_costs(bench_state: Bench) -> dict[str, float]:
    """Returns the cost of each call in microseconds."""
    return {
        "holder: one tenant's count": cost(lambda: bench_state.add("node-1"), 100 * REPEATS),
        "holder: announcements": cost(lambda: bench_state.counter.announcements(bench_state.now), 100 * REPEATS),
        "holder: a node starts": cost(bench_state.node_starts, REPEATS),
        "holder: a node changes over from another holder": cost(bench_state.node_moves, REPEATS),
        "holder: other nodes are missing": cost(bench_state.node_missing, REPEATS),
        "node: `take` of a request": cost(bench_state.take, 100 * REPEATS),
        "node: `switch_counter`": cost(lambda: bench_state.limiter.link.switch_counter(bench_state.now), REPEATS),
    }


def parts(nodes: int) -> tuple[float, float]:
    """Returns a node's shares of its fleet's budgets: the retries that it may save up, and the requests a second to a
    cold server."""
    bounds = SimpleNamespace(retry_ratio=0.2, extra_tries=EXTRA_TRIES)
    node = SimpleNamespace(saved_retries=1.0)
    service = SimpleNamespace(cold_per_s=COLD_PER_S, warmup=3 * SEC)
    set_budgets(node, bounds, service, nodes)
    return node.max_saved_retries, node.cold_limit


@click.command()
def main() -> None:
    """Print both tables."""
    costs = {tenants: call_costs(bench(tenants)) for tenants in TENANTS}
    click.echo("| call | " + " | ".join(f"{tenants} tenants" for tenants in TENANTS) + " | us per tenant (error) |")
    click.echo("| --- |" + " --- |" * (len(TENANTS) + 1))
    for call in costs[TENANTS[0]]:
        figures = [costs[tenants][call] for tenants in TENANTS]
        slope = fit(TENANTS, figures)
        cells = " | ".join(f"{value:,.1f}" for value in figures)
        click.echo(f"| {call} | {cells} | {slope.each:.4f} ({slope.each_error:.4f}) |")
    click.echo("\n| nodes | retries that a node may save up | requests a second of a node to a cold server |")
    click.echo("| --- | --- | --- |")
    for nodes in NODES:
        saved, cold = parts(nodes)
        click.echo(f"| {nodes} | {saved:.3f} | {cold:.5f} |")


if __name__ == "__main__":
    main()
