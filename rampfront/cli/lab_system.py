"""The commands of the laboratory of the whole system."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .common import EXIT_FAILED, EXIT_INVALID, EXIT_NOT_REPORTABLE, OutFolder, PlanFile, draw_latency, fail, run_or_exit

if TYPE_CHECKING:
    from ..lab.system.plan import Experiment
    from ..lab.system.scale_run import Played

app = typer.Typer(
    help="The whole system: real proxies, everything else emulated, faults by schedule, rules checked.",
    no_args_is_help=True,
)
scale_app = typer.Typer()
_NS_PER_S = 1e9


def load_system_experiment(path: Path) -> Experiment:
    """The experiment in a file; an invalid one ends the command."""
    from ..lab.plan import BadPlan
    from ..lab.system.plan import read_plan

    try:
        return read_plan(path)
    except BadPlan as error:
        fail(error, EXIT_INVALID)


@scale_app.command("scale")
def lab_scale(  # noqa: PLR0913  # each parameter is an option of the command
    out: OutFolder = Path("found/scale"),
    sizes: Annotated[str, typer.Option(help="Numbers of nodes, separated by commas.")] = "30,100,300,460",
    real_sizes: Annotated[
        str, typer.Option(help="Numbers of nodes at which hollow nodes are compared with real ones.")
    ] = "11,30",
    routes: Annotated[int, typer.Option(min=1)] = 40,
    tenants: Annotated[int, typer.Option(min=0)] = 80,
    servers: Annotated[int, typer.Option(min=1)] = 280,
    services: Annotated[int, typer.Option(min=1)] = 20,
    quota_checks_per_s: Annotated[
        float, typer.Option("--quota-checks", "--asks", min=0, help="Quota checks a second at each node.")
    ] = 0.0,
    in_groups: Annotated[
        bool, typer.Option("--in-groups", help="Hollow nodes start 120 at a time, 4 s apart, not all in step.")
    ] = False,
    rest_only: Annotated[bool, typer.Option("--rest-only", help="Measure the start and the idle fleet alone.")] = False,
    most_s: Annotated[float, typer.Option(min=1, help="Time limit of each size, in s.")] = 600.0,
) -> None:
    """Control traffic by the size of the fleet, of real and hollow nodes on loopback; slopes, tables, plots into OUT.

    Exit 1 if a size ended early; 2 past the limits: half of the machine's memory, 200 processes.
    """
    options = {
        "routes": routes,
        "tenants": tenants,
        "servers": servers,
        "services": services,
        "asks_per_s": quota_checks_per_s,
        "in_groups": in_groups,
        "rest_only": rest_only,
    }
    if _measure_scale(out, _parse_sizes(sizes), _parse_sizes(real_sizes), options, most_s):
        raise typer.Exit(EXIT_FAILED)


def _parse_sizes(text: str) -> list[int]:
    """Numbers separated by commas; none of an empty text."""
    return [int(size) for size in text.split(",") if size]


def _measure_scale(out: Path, sizes: list[int], real_sizes: list[int], options: dict[str, Any], most_s: float) -> bool:
    """Measures each size and writes the results after each. `options`: of `Scale`. Returns whether one ended early."""
    from ..lab.system import scale_report as reports
    from ..lab.system import scale_run as runs
    from ..lab.system.scale_plan import Scale, ScaleError

    hollow_runs: list[Played] = []
    real_runs: list[Played] = []
    all_sizes = sorted({*real_sizes, *sizes})
    for hollow, nodes in [(False, size) for size in real_sizes] + [(True, size) for size in all_sizes]:
        folder = out / f"{nodes}{'' if hollow else '-real'}"
        try:
            played = runs.play(Scale(nodes, hollow=hollow, **options), folder, typer.echo, most_s)
        except ScaleError as error:
            fail(error, EXIT_INVALID)
        (hollow_runs if hollow else real_runs).append(played)
        reports.save(hollow_runs, out / "scale.json")
        reports.save(real_runs, out / "real.json")
        (out / "scale.md").write_text(reports.text(hollow_runs, real_runs))
    reports.plots(hollow_runs, out)
    typer.echo(f"{out / 'scale.md'}")
    return any(played.partial for played in hollow_runs + real_runs)


@app.command("check")
def system_check(plan: PlanFile) -> None:
    """Check an experiment file of the whole system and print what it would run."""
    from ..lab.system import plan as plans
    from ..lab.system import schedule

    experiment = load_system_experiment(plan)
    rate_per_s = sum(stream.rate for stream in experiment.streams)
    typer.echo(
        f"{experiment.name}: {len(plans.places(experiment))} pilots, {len(plans.servers(experiment))} servers, "
        f"{rate_per_s:g} requests/s for {experiment.duration_s:g} s, as {', '.join(experiment.variants)}"
    )
    lines = [
        (event.at, f"{event.target:10} {event.kind} {'on' if event.on else 'off'} {event.size or ''}")
        for event in schedule.faults(experiment, experiment.seed)
    ]
    lines += [
        (step.at, f"{step.call} {step.zone or f'r{step.revision}'}{'' if step.valid else ', invalid'}")
        for step in schedule.orders(experiment)
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
        fail(f"--variant: {only!r} is none of {', '.join(plans.VARIANTS)}", EXIT_INVALID)
    reports_by_variant = {}
    for variant in [only] if only else experiment.variants:
        report = run_or_exit(runs.play, experiment, variant, experiment.seed, out / variant)
        reports_by_variant[variant] = report
        typer.echo(reports.text(report))
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
    from ..lab.system import run as runs

    typer.echo(reports.speed_text(run_or_exit(runs.speed, load_system_experiment(plan), out)))
