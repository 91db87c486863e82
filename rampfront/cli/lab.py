"""The commands of the laboratory for the edge node."""

from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .common import EXIT_FAILED, EXIT_INVALID, OutFolder, PlanFile, draw_latency, fail, load_experiment, run_or_exit

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from ..lab.plan import Experiment

app = typer.Typer(
    help="The laboratory: emulated servers with scripted faults, and experiments on loopback.", no_args_is_help=True
)
load_app = typer.Typer()
_MAX_DISAGREEMENTS_SHOWN = 20
_START_DELAY_NS = 10**9  # from the start of the command to the first transaction
_JOURNAL_WAITING = (16, 64, 256)  # transactions that wait for the journal at the same time
_JOURNAL_BATCH_RECORDS = (1, 16, 64)


@app.command("serve")
def lab_serve(
    plan: PlanFile,
    seed: Annotated[int | None, typer.Option(help="Instead of the file's seed.")] = None,
    log: Annotated[Path | None, typer.Option(help="File for the log of faults, one JSON line for each event.")] = None,
) -> None:
    """Serve the emulated parts of an experiment until stopped: app servers, counter, discovery, a control address.

    Prints their addresses as one JSON line. Faults start with `POST /begin?at=UNIX_NS` at the control address, or by
    hand with `POST /fault?target=box:0&kind=hang`.
    """
    from ..lab.emulator import serve

    experiment = load_experiment(plan)
    run_or_exit(serve, experiment, experiment.seed if seed is None else seed, log)


@app.command("journal")
def lab_journal(
    out: OutFolder,
    batches: Annotated[str, typer.Option(help="Batch intervals in ms, separated by commas.")] = "1,2,5",
    counts: Annotated[str, typer.Option(help="Numbers of records, separated by commas.")] = "10000,100000,1000000",
) -> None:
    """Measure the journal alone on the disk of OUT: appends a second by batch, and how long it is read at start."""
    from ..lab import journals

    for batch in batches.split(","):
        for waiting in _JOURNAL_WAITING:
            typer.echo(journals.appends(out / "appends", float(batch), waiting))
    for size in _JOURNAL_BATCH_RECORDS:
        typer.echo(journals.batches(out / "batches", size))
    for count in counts.split(","):
        typer.echo(journals.start_time(out / "start", int(count)))


@app.command("crash")
def lab_crash(
    out: OutFolder, runs: Annotated[int, typer.Option(min=1)] = 50, seed: Annotated[int, typer.Option(min=0)] = 1
) -> None:
    """Kill an edge node with a journal at random points, and check the journal against what the app servers ran.

    Exit 1 if they disagree.
    """
    from ..lab import crash

    def run_crashes() -> None:
        """Executes all runs, saves the result and prints it; ends the command."""
        result = crash.Harness(out, seed).play(runs, typer.echo)
        crash.save(result, out / "crash.json")
        for disagreement in result["disagreements"][:_MAX_DISAGREEMENTS_SHOWN]:
            typer.echo(disagreement)
        counts = {name: len(value) if isinstance(value, list) else value for name, value in result.items()}
        typer.echo(", ".join(f"{count} {name.replace('_', ' ')}" for name, count in counts.items()))
        raise typer.Exit(EXIT_FAILED if result["disagreements"] else 0)

    run_or_exit(run_crashes)


@app.command("check")
def lab_check(plan: PlanFile) -> None:
    """Check an experiment file and print what it would run."""
    from ..lab.faults import timeline

    experiment = load_experiment(plan)
    servers = sum(group.count for group in experiment.topology.boxes)
    rate = sum(stream.rate for stream in experiment.load.streams)
    typer.echo(
        f"{experiment.name}: {experiment.topology.nodes} nodes, {servers} boxes, "
        f"{rate:g} txn/s for {experiment.duration_s:g} s, {experiment.repeats} repeats"
    )
    for event in timeline(experiment, experiment.seed):
        typer.echo(
            f"  {event.at / 1e9:8.2f} s  {event.target:10} {event.kind} {'on' if event.on else 'off'} "
            f"{event.size or ''}"
        )


@app.command("collector")
def lab_collector(
    out: Annotated[Path, typer.Option("--out", "-o", help="File for the messages (JSON lines).")],
    listen: Annotated[str, typer.Option(help="host:port; port 0 for a free one.")] = "127.0.0.1:0",
) -> None:
    """Serve an emulated syslog collector that parses every message strictly; its counts are printed at the end."""
    from ..lab.collector import serve as collect

    run_or_exit(collect, listen, out)


def write_reports(folders: Iterable[Path]) -> list[dict[str, Any]]:
    """Writes and prints the reports of a run's repeats, draws their plots, and returns the reports."""
    from ..lab import report as reports

    written = []
    for folder in folders:
        report = reports.write(folder)
        written.append(report)
        draw_latency(report, report["products"], folder)
        typer.echo(reports.text(report))
    return written


@app.command("run")
def lab_run(
    plan: PlanFile,
    out: OutFolder = Path("found/run"),
    repeats: Annotated[int | None, typer.Option(min=1, help="Instead of the file's repeats.")] = None,
) -> None:
    """Run an experiment, all its repeats, and report it."""
    from ..lab.plan import changed
    from ..lab.run import play

    experiment = load_experiment(plan)
    experiment = changed(experiment, repeats=repeats) if repeats else experiment
    run_or_exit(lambda: write_reports(play(experiment, out, typer.echo)))


@app.command("sweep")
def lab_sweep(
    plan: PlanFile,
    rates: Annotated[str, typer.Option(help="Rates in transactions/s, separated by commas.")],
    out: OutFolder = Path("found/sweep"),
    plot: Annotated[Path | None, typer.Option(help="Where to draw it.")] = None,
) -> None:
    """Run an experiment at rising rates, direct and through the nodes: overhead of a hop, and where it saturates."""
    import json

    from ..lab import plots
    from ..lab import sweep as sweeps

    experiment = load_experiment(plan)
    try:
        rates_per_s = [float(rate) for rate in rates.split(",")]
    except ValueError:
        fail(f"--rates: {rates!r} is not a list of numbers", EXIT_INVALID)
    rows = run_or_exit(sweeps.sweep, experiment, rates_per_s, out, typer.echo)
    out.mkdir(parents=True, exist_ok=True)
    (out / "sweep.json").write_text(json.dumps(rows, indent=1))
    plots.sweep(rows, plot or out / "sweep.png", experiment.name)
    typer.echo(f"highest rate sustained with p99 overhead under 1 ms: {sweeps.sustained(rows)} txn/s (emulated)")


@load_app.command("load")
def load(
    plan: PlanFile,
    target: Annotated[list[str], typer.Option(help="host:port of an edge node; may be given several times.")],
    out: Annotated[Path, typer.Option("--out", "-o", help="File for the rows (.npy).")] = Path("load.npy"),
) -> None:
    """Send an experiment's load to edge nodes that already run, and print the outcomes.

    Latency is measured from the intended time of each transaction. A run that lags by more than load.most_lag_ms is
    refused (exit 3).
    """
    import time

    from ..lab import client, schedule

    experiment = load_experiment(plan)

    def send_load() -> None:
        """Sends the load and prints the outcomes."""
        import numpy as np

        client.run_worker(
            {
                "plan": experiment,
                "seed": experiment.seed,
                "worker": 0,
                "targets": target,
                "due": schedule.arrivals(experiment, experiment.seed),
                "start": time.time_ns() + _START_DELAY_NS,
                "out": str(out),
            }
        )
        _print_outcomes(np.load(out), experiment)

    run_or_exit(send_load)


def _print_outcomes(rows: "NDArray[Any]", experiment: "Experiment") -> None:
    """Prints the outcomes and the latency of a load. Raises `RunRefusedError` if the load tool lagged too much."""
    from ..lab import client
    from ..lab import report as reports

    lag = reports.lag(rows, experiment)
    if lag["p99"] > experiment.load.most_lag_ms:
        raise reports.RunRefusedError(f"the load tool lagged by {lag['p99']:g} ms at p99")
    answered = rows[rows["outcome"] == client.SETTLED]
    latency = {name: value for name, value in reports.latency(answered["took"]).items() if name != "hdr"}
    typer.echo(f"{len(rows)} txns, {reports.count_outcomes(rows['outcome'])}, settled after (ms) {latency}, lag {lag}")
