"""The commands for reports of experiments."""

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import typer

from .common import RunFolder, run_or_exit
from .lab import write_reports

app = typer.Typer(help="Reports of experiments: percentiles, outcomes, quota overshoot, plots.", no_args_is_help=True)


@app.command("show")
def report_show(run: RunFolder) -> None:
    """Report a run again: JSON, plots and a summary for each of its repeats."""
    from ..lab import report as reports

    run_or_exit(lambda: write_reports(reports.repeats(run)))


@app.command("compare")
def report_compare(
    first_run: Annotated[Path, typer.Argument(metavar="A", help="The folder of a run.", show_default=False)],
    second_run: Annotated[Path, typer.Argument(metavar="B", help="The folder of a run.", show_default=False)],
    confidence: Annotated[float, typer.Option(min=0.5, max=0.999)] = 0.95,
    plot: Annotated[Path | None, typer.Option(help="Where to draw the differences.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="JSON instead of text.")] = False,
) -> None:
    """Compare two runs, paired by seed, with confidence intervals."""
    import json

    from ..lab import compare as comparisons
    from ..lab import plots

    comparison, _ = run_or_exit(comparisons.compare, first_run, second_run, confidence)
    typer.echo(json.dumps(comparison, indent=1) if as_json else comparisons.text(comparison))
    if plot:
        plots.comparison(comparison, plot)


def first_repeats(runs: Iterable[Path]) -> dict[str, dict[str, Any]]:
    """Returns the report of the first repeat of each run, by the name of the run's folder."""
    from ..lab import report as reports

    return run_or_exit(lambda: {run.name: reports.summarize(reports.repeats(run)[0]) for run in runs})


@app.command("quota")
def report_quota(
    account: Annotated[str, typer.Argument(help="The account, as reports name it.")],
    runs: Annotated[list[Path], typer.Argument(help="Folders of runs; the first repeat of each is drawn.")],
    plot: Annotated[Path, typer.Option(help="Where to draw it.")],
) -> None:
    """Draw an account's overshoot over time, several runs in one plot."""
    from ..lab import plots

    plots.quotas(first_repeats(runs), plot, account)


@app.command("recovery")
def report_recovery(
    runs: Annotated[list[Path], typer.Argument(help="Folders of runs; the first repeat of each is drawn.")],
    plot: Annotated[Path, typer.Option(help="Where to draw it.")],
) -> None:
    """Draw the share of transactions answered within their target over time, several runs in one plot."""
    from ..lab import plots

    plots.recovery(first_repeats(runs), plot)
