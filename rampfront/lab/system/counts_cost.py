"""What counts of tenants cost their holder and a node, by the number of tenants: `python -m ...counts_cost`.

`QuotaCounter` and `Limiter` as they serve, in one process, without frames: processor time of one call, and the parts of
budgets that nodes of a fleet get (`proxy.budget_shares`), by the number of nodes.
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
    """A holder and a limiter that know so many tenants, each used by a few requests."""

    counter: QuotaCounter
    limiter: Limiter
    names: list[str]
    now: int = 1000 * SEC
    number: int = 0

    def add(self, proxy: str, **more: object) -> dict:
        """One node's message with one tenant's count."""
        self.now += SEC // 100
        self.number += 1
        name = self.names[self.number % len(self.names)]
        row = [name, self.now // (5 * SEC), 1, 0, 0]
        return self.counter.receive(self.now, proxy, {"l": 7, "s": self.number, "g": 1, "a": [row], **more})

    def node_starts(self) -> None:
        """A node that just started asks for all that is in use."""
        self.add(f"node-{self.number}", w=1)

    def node_moves(self) -> None:
        """A node that lived a while comes from another holder: it brings its part, and asks for all."""
        self.add(f"node-{self.number}", f=60000, w=1)

    def node_missing(self) -> None:
        """The part of nodes that are heard changes."""
        self.counter.missing_share = 0.5
        self.counter.registry.missing_share_updated_at = self.now - SEC // 5
        self.counter.update_missing_share(self.now)

    def take(self) -> None:
        """One request's question at a node."""
        self.now += SEC // 100
        self.number += 1
        self.limiter.take(self.names[self.number % len(self.names)], self.now)


def bench(tenants: int) -> Bench:
    """All tenants have a quota and a burst."""
    customers = {f"tenant-{n}": Customer(f"tenant-{n}", (), 0, 20.0, 20.0) for n in range(tenants)}
    made = Bench(QuotaCounter(1, 0, QuotaRule()), Limiter("node-0", Random(1)), list(customers))
    made.counter.set_quotas(customers, made.now)
    made.counter.set_proxy_count(460)
    made.limiter.set_quotas(customers, made.now)
    return made


def cost(act: Callable[[], object], repeats: int) -> float:
    """Least processor time of one call in microseconds, of several spans."""
    act()
    spans = []
    for _ in range(3):
        began = time.process_time()
        for _ in range(repeats):
            act()
        spans.append((time.process_time() - began) / repeats * MICRO)
    return min(spans)


def calls(made: Bench) -> dict[str, float]:
    """What to microseconds."""
    return {
        "holder: one tenant's add": cost(lambda: made.add("node-1"), 100 * REPEATS),
        "holder: what it tells unasked": cost(lambda: made.counter.announcements(made.now), 100 * REPEATS),
        "holder: a node starts": cost(made.node_starts, REPEATS),
        "holder: a node comes from another holder": cost(made.node_moves, REPEATS),
        "holder: other nodes are missing": cost(made.node_missing, REPEATS),
        "node: `take` of a request": cost(made.take, 100 * REPEATS),
        "node: `switch_counter`": cost(lambda: made.limiter.link.switch_counter(made.now), REPEATS),
    }


def parts(nodes: int) -> tuple[float, float]:
    """Further tries that a node may save up, and requests a second to a cold server, of its fleet's budgets."""
    bounds = SimpleNamespace(retry_ratio=0.2, extra_tries=EXTRA_TRIES)
    node = SimpleNamespace(saved_retries=1.0)
    service = SimpleNamespace(cold_per_s=COLD_PER_S, warmup=3 * SEC)
    set_budgets(node, bounds, service, nodes)
    return node.max_saved_retries, node.cold_limit


@click.command()
def main() -> None:
    """Prints both tables."""
    found = {tenants: calls(bench(tenants)) for tenants in TENANTS}
    click.echo("| call | " + " | ".join(f"{tenants} tenants" for tenants in TENANTS) + " | us a tenant (error) |")
    click.echo("| --- |" + " --- |" * (len(TENANTS) + 1))
    for what in found[TENANTS[0]]:
        figures = [found[tenants][what] for tenants in TENANTS]
        slope = fit(TENANTS, figures)
        told = " | ".join(f"{value:,.1f}" for value in figures)
        click.echo(f"| {what} | {told} | {slope.each:.4f} ({slope.each_error:.4f}) |")
    click.echo("\n| nodes | tries that a node may save up | requests a second of a node to a cold server |")
    click.echo("| --- | --- | --- |")
    for nodes in NODES:
        saved, cold = parts(nodes)
        click.echo(f"| {nodes} | {saved:.3f} | {cold:.5f} |")


if __name__ == "__main__":
    main()
