"""Shared by the commands: exit codes, types of arguments, and the handling of errors that end a command."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, NoReturn, ParamSpec, TypeVar

import typer

if TYPE_CHECKING:
    from ..lab.plan import Experiment

P = ParamSpec("P")
T = TypeVar("T")

# Exit codes; `cli/__init__.py` explains them.
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_NOT_REPORTABLE = 3

PlanFile = Annotated[Path, typer.Argument(help="The experiment file (TOML).", show_default=False)]
OutFolder = Annotated[Path, typer.Option("--out", "-o", help="Folder for the results.")]
RunFolder = Annotated[Path, typer.Argument(help="The folder of a run.", show_default=False)]


def fail(reason: object, code: int) -> NoReturn:
    """Prints the reason to standard error and ends the command with the exit code."""
    typer.echo(f"rampfront: {reason}", err=True)
    raise typer.Exit(code)


def load_experiment(path: Path) -> Experiment:
    """Returns the experiment in a file; ends the command if it is invalid."""
    from ..lab.plan import InvalidPlanError, read_plan

    try:
        return read_plan(path)
    except InvalidPlanError as error:
        fail(error, EXIT_INVALID)


def run_or_exit(run: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
    """Calls `run` with the arguments; ends the command with an exit code if it raises an error of a run."""
    from ..lab.nodes import RunFailedError
    from ..lab.report import RunRefusedError

    try:
        return run(*args, **kwargs)
    except RunRefusedError as error:
        fail(error, EXIT_NOT_REPORTABLE)
    except (RunFailedError, OSError) as error:
        fail(error, EXIT_FAILED)


def draw_latency(report: dict[str, Any], rows: dict[str, Any], folder: Path) -> None:
    """Draws the timeline of a report and, if there were responses, the latency percentiles of its rows.

    `rows`: the rows of the report that have a latency, by name."""
    from ..lab import plots

    plots.timeline(report, folder / "timeline.png")
    if report["latency_ms"]["count"]:
        histograms = {name: row["latency_ms"]["hdr"] for name, row in rows.items() if row["latency_ms"]["count"]}
        plots.percentiles(histograms, folder / "latency.png", report["name"])
