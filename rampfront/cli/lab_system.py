"""The commands of the laboratory of the whole system."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from .common import EXIT_FAILED, EXIT_INVALID, EXIT_NOT_REPORTABLE, OutFolder, PlanFile, draw_latency, fail, run_or_exit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..lab.system.plan import Experiment
    from ..lab.system.seeded_runs import SeededResult

app = typer.Typer(
    help="The whole system: real proxies, everything else emulated, faults by schedule, rules checked.",
    no_args_is_help=True,
)
# Options of the soaks.
SeedCount = Annotated[int, typer.Option(min=1, help="How many seeds.")]
FirstSeed = Annotated[int, typer.Option(min=0, help="The first seed.")]
NodeCount = Annotated[int, typer.Option(min=0, help="Nodes of each run; 0: drawn, from 3 to 6.")]
JobCount = Annotated[int, typer.Option(min=1, help="Runs at the same time.")]
_NS_PER_S = 1e9
_ORDER_SOAK_S = 20.0  # in which operators begin to evacuate zones
_ZONE_SOAK_S = 30.0  # the same, with several operators a zone


def load_system_experiment(path: Path) -> Experiment:
    """Returns the experiment in a file; ends the command if it is invalid."""
    from ..lab.plan import InvalidPlanError
    from ..lab.system.plan import read_plan

    try:
        return read_plan(path)
    except InvalidPlanError as error:
        fail(error, EXIT_INVALID)


@app.command("check")
def system_check(plan: PlanFile) -> None:
    """Check an experiment file of the whole system and print what it would run."""
    from ..lab.system import plan as plans
    from ..lab.system import schedule

    experiment = load_system_experiment(plan)
    rate_per_s = sum(stream.rate for stream in experiment.streams)
    typer.echo(
        f"{experiment.name}: {len(plans.node_placements(experiment))} pilots, "
        f"{len(plans.server_placements(experiment))} servers, "
        f"{rate_per_s:g} requests/s for {experiment.duration_s:g} s, as {', '.join(experiment.variants)}"
    )
    lines = [
        (event.at, f"{event.target:10} {event.kind} {'on' if event.on else 'off'} {event.size or ''}")
        for event in schedule.fault_events(experiment, experiment.seed)
    ]
    lines += [
        (step.at, f"{step.call} {step.zone or f'r{step.revision}'}{'' if step.valid else ', invalid'}")
        for step in schedule.order_steps(experiment)
    ]
    for at, line in sorted(lines):
        typer.echo(f"  {at / _NS_PER_S:8.2f} s  {line}")


@app.command("run")
def system_run(
    plan: PlanFile,
    out: OutFolder = Path("found/system"),
    only: Annotated[str | None, typer.Option("--variant", help="This variant alone.")] = None,
) -> None:
    """Run an experiment on the whole system, each of its variants, and report it.

    Exit 1 if the system itself (the variant "system") breaks a rule.
    """
    from ..lab import plots
    from ..lab.system import plan as plans
    from ..lab.system import report as reports
    from ..lab.system import run as runs

    experiment = load_system_experiment(plan)
    if only is not None and only not in plans.VARIANTS:
        fail(f"--variant: {only!r} is not one of {', '.join(plans.VARIANTS)}", EXIT_INVALID)
    reports_by_variant = {}
    for variant in [only] if only else experiment.variants:
        report = run_or_exit(runs.run_variant, experiment, variant, experiment.seed, out / variant)
        reports_by_variant[variant] = report
        typer.echo(reports.summary_text(report))
        draw_latency(report, report["routes"], out / variant)
    plots.shares(reports_by_variant, out / "worth.png", experiment.name)
    for row in next(iter(reports_by_variant.values()))["accounts"]:
        plots.quotas(reports_by_variant, out / f"quota-{row['account']}.png", row["account"], experiment.name)
    if "system" in reports_by_variant and reports_by_variant["system"]["rules_broken"]:
        raise typer.Exit(EXIT_FAILED)
    for variant, report in reports_by_variant.items():
        if report["refused"]:
            fail(f"{out / variant}: {report['refused']}", EXIT_NOT_REPORTABLE)


@app.command("speed")
def system_speed(plan: PlanFile, out: OutFolder = Path("found/speed")) -> None:
    """Run the rates of `speed.rates` straight to the servers, through one proxy, through all; what the proxies add."""
    from ..lab.system import report as reports
    from ..lab.system.speed import measure_speed

    typer.echo(reports.speed_text(run_or_exit(measure_speed, load_system_experiment(plan), out)))


@app.command("soak")
def system_soak(
    out: OutFolder = Path("found/soak"),
    seeds: SeedCount = 50,
    first: FirstSeed = 1,
    nodes: NodeCount = 0,
    jobs: JobCount = 2,
) -> None:
    """Play real nodes under signals, restarts and misbehaving servers, one run for each seed, and judge each run.

    Exit 1 if a run broke a rule or came to no verdict; the folder of such a run, with the logs, is kept.
    """
    from ..lab.system.seeded_runs import play_seeds
    from ..lab.system.soak import play
    from ..lab.system.soak_plan import SoakSize

    _report_soak(play_seeds(play, range(first, first + seeds), SoakSize(nodes=nodes), out, jobs))


@app.command("soak-orders")
def system_soak_orders(
    out: OutFolder = Path("found/soak-orders"),
    seeds: SeedCount = 50,
    first: FirstSeed = 1,
    nodes: NodeCount = 0,
    jobs: JobCount = 2,
) -> None:
    """Play operators who evacuate zones and give up orders at real nodes under signals and restarts; judge each run.

    Exit 1 if a run broke a rule or came to no verdict; the folder of such a run, with the logs, is kept.
    """
    from ..lab.system.order_soak import play
    from ..lab.system.seeded_runs import play_seeds
    from ..lab.system.soak_plan import SoakSize

    _report_soak(play_seeds(play, range(first, first + seeds), SoakSize(_ORDER_SOAK_S, nodes), out, jobs))


@app.command("soak-zones")
def system_soak_zones(
    out: OutFolder = Path("found/soak-zones"),
    seeds: SeedCount = 50,
    first: FirstSeed = 1,
    nodes: NodeCount = 0,
    jobs: JobCount = 2,
) -> None:
    """Play several operators who evacuate the same zones at real nodes; judge each run by the requests at servers.

    Exit 1 if a run broke a rule or came to no verdict; the folder of such a run, with the logs, is kept.
    """
    from ..lab.system.seeded_runs import play_seeds
    from ..lab.system.soak_plan import SoakSize
    from ..lab.system.zone_soak import play

    _report_soak(play_seeds(play, range(first, first + seeds), SoakSize(_ZONE_SOAK_S, nodes), out, jobs))


def _report_soak(results: Iterable[SeededResult]) -> None:
    """Prints each result once it is known. Exits with status 1 if a run failed."""
    runs = failed = 0
    for result in results:
        typer.echo(str(result))
        runs += 1
        failed += result.failed
    typer.echo(f"{runs} runs, {failed} failed")
    if failed:
        raise typer.Exit(EXIT_FAILED)
