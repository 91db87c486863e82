"""Plays seeded schedules against a simulated core, or against complete nodes with clients, servers and operators.

`python -m rampfront.simulation --seeds 1000 --members 4` plays the core alone; `--whole` plays complete nodes
(`system_run.py`)."""

import os
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from traceback import format_exc

import click

from .closing_loss import ClosingLossRun
from .schedule import Run
from .shrink import as_test, shrink
from .system_run import SystemRun

SEEDS_PER_TASK = 25  # schedules that a worker plays per task


def failure_report(run, what, log):
    """The log of a failing run, its failure time and the traceback."""
    scheduler = run.world if hasattr(run, "world") else run.fleet
    lines = [what]
    lines += [f"  {at / 1e9:9.4f} s  {text} {' '.join(map(str, args))}" for at, text, args in log(scheduler)]
    return "\n".join(lines + [f"  failed at {scheduler.now / 1e9:.4f} s"]) + "\n" + format_exc()


def play(seed, members, survive):
    """Plays a run of the core. Returns (counts, steps, None), or the report of the failure as the last item."""
    run = None
    try:
        run = Run(seed, members, survive)
        return run.play(), run.world.steps, None
    except Exception:
        if run is None:
            return {}, 0, f"seed {seed}\n{format_exc()}"
        return (
            run.world.counts,
            run.world.steps,
            failure_report(run, f"seed {seed}, {members} members", lambda world: world.log),
        )


def play_system(kind, seed, nodes, disks):
    """Plays a run of complete nodes with the same results. `kind`: the class of the run."""
    system_run = None
    try:
        system_run = kind(seed, nodes, disks)
        counts = system_run.play()
        failure = None
    except Exception:
        if system_run is None:
            return {}, 0, f"seed {seed}\n{format_exc()}"
        counts = system_run.fleet.counts
        failure = failure_report(system_run, f"seed {seed}, {nodes} nodes", lambda fleet: fleet.log)
    counts.update(
        {f"near {what} % most": round(100 * part) for what, part in system_run.rule_checker.peak_ratios.items()}
    )
    return counts, system_run.fleet.steps, failure


def player(whole, closing, members, survive, nodes):
    """The function that plays one seed of the requested kind."""
    if closing:
        return partial(play_system, ClosingLossRun, nodes=nodes, disks=members)
    if whole:
        return partial(play_system, SystemRun, nodes=nodes, disks=members)
    return partial(play, members=members, survive=survive)


def play_seeds(seeds, play_seed):
    """Plays some seeds in a worker process."""
    return [play_seed(seed) for seed in seeds]


@click.command()
@click.option("--seeds", default=1000, show_default=True, help="Number of schedules to play.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--members", default=4, show_default=True, help="Machines with a disk.")
@click.option(
    "--survive", default=None, type=int, help="Machines that may be lost at once; the most possible by default."
)
@click.option("--workers", default=os.cpu_count(), show_default=True)
@click.option("--show", default=3, show_default=True, help="Failing schedules to print completely.")
@click.option("--whole", is_flag=True, help="Complete nodes with clients, servers, platform and operators.")
@click.option("--closing", is_flag=True, help="The same, each ending with lost disks and a power loss of all machines.")
@click.option("--nodes", default=11, show_default=True, help="Number of complete nodes.")
@click.option(
    "--shrink",
    "small",
    is_flag=True,
    help="Complete nodes: shrinks the plan of the seed --first and prints it as a test.",
)
def main(seeds, first, members, survive, workers, show, whole, closing, nodes, small):
    """Plays schedules, each from its seed; prints those that violate an invariant, and counts."""
    members = members if members != 4 or nodes < 20 else 6
    if small:
        found = shrink(first, nodes, members, report_progress=partial(click.echo, err=True))
        click.echo(f"{as_test(first, nodes, found[0])}\n{found[1]}" if found else f"seed {first} violates no invariant")
        raise SystemExit(bool(found))
    began, total, maxima, steps, failures = time.monotonic(), {}, {}, 0, []
    size = 5 if whole or closing else SEEDS_PER_TASK
    parts = [range(start, min(start + size, first + seeds)) for start in range(first, first + seeds, size)]
    play_seed = player(whole, closing, members, survive, nodes)
    with ProcessPoolExecutor(workers) as pool:
        played = 0
        for results in pool.map(play_seeds, parts, [play_seed] * len(parts)):
            for counts, run_steps, failure in results:
                played, steps = played + 1, steps + run_steps
                for what, count in counts.items():
                    if what.endswith("most"):
                        maxima[what] = max(maxima.get(what, 0), count)
                    else:
                        total[what] = total.get(what, 0) + count
                if failure is not None:
                    failures.append(failure)
                    if len(failures) <= show:
                        click.echo(failure)
            if played % (size * 40) == 0:
                click.echo(f"{played} schedules, {len(failures)} failed, {time.monotonic() - began:.0f} s", err=True)
    elapsed = time.monotonic() - began
    pace = seeds / elapsed * 60
    what = f"{nodes} nodes, {members} of them with a disk" if whole or closing else f"{members} members"
    click.echo(f"schedules {seeds} of {what}, {elapsed:.1f} s ({pace:.0f} per minute), {steps} steps")
    click.echo("  ".join(f"{what} {count}" for what, count in sorted(total.items())))
    click.echo(
        "  ".join(
            f"{what.removesuffix(' most').removesuffix('_most')} {count} at most"
            for what, count in sorted(maxima.items())
        )
        + f"; failed {len(failures)}"
    )
    if failures:
        click.echo(
            "seeds: "
            + " ".join(
                f"{text.split(',', 1)[0][5:]} ({text.strip().splitlines()[-1][-110:]})\n  " for text in failures[:50]
            )
        )
    raise SystemExit(bool(failures))


if __name__ == "__main__":
    main()
