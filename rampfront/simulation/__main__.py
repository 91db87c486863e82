"""`python -m rampfront.simulation --seeds 1000 --members 4`: plays seeded schedules against the core alone; with `--whole` against
whole stations, their clients, servers and operators (`system_run.py`)."""

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

PART = 25  # schedules that a worker plays before it reports


def told(run, what, log):
    """A failing schedule in lines."""
    course = run.world if hasattr(run, "world") else run.fleet
    lines = [what]
    lines += [f"  {at / 1e9:9.4f} s  {text} {' '.join(map(str, args))}" for at, text, args in log(course)]
    return "\n".join(lines + [f"  broken at {course.now / 1e9:.4f} s"]) + "\n" + format_exc()


def play(seed, members, survive):
    """(counts, steps, None), or what broke and the schedule."""
    run = None
    try:
        run = Run(seed, members, survive)
        return run.play(), run.world.steps, None
    except Exception:
        if run is None:
            return {}, 0, f"seed {seed}\n{format_exc()}"
        return run.world.counts, run.world.steps, told(run, f"seed {seed}, {members} members", lambda world: world.log)


def play_whole(kind, seed, nodes, disks):
    """The same for a run of the whole. `kind`: its class."""
    system_run = None
    try:
        system_run = kind(seed, nodes, disks)
        counts = system_run.play()
        failure = None
    except Exception:
        if system_run is None:
            return {}, 0, f"seed {seed}\n{format_exc()}"
        counts = system_run.fleet.counts
        failure = told(system_run, f"seed {seed}, {nodes} nodes", lambda fleet: fleet.log)
    counts.update(
        {f"near {what} % most": round(100 * part) for what, part in system_run.rule_checker.peak_ratios.items()}
    )
    return counts, system_run.fleet.steps, failure


def player(whole, closing, members, survive, nodes):
    """What plays one seed of the wanted kind."""
    if closing:
        return partial(play_whole, ClosingLossRun, nodes=nodes, disks=members)
    if whole:
        return partial(play_whole, SystemRun, nodes=nodes, disks=members)
    return partial(play, members=members, survive=survive)


def part(seeds, one):
    return [one(seed) for seed in seeds]


@click.command()
@click.option("--seeds", default=1000, show_default=True, help="How many schedules to play.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--members", default=4, show_default=True, help="Machines with a disk.")
@click.option("--survive", default=None, type=int, help="Of them that may be lost at once; else as many as can be.")
@click.option("--workers", default=os.cpu_count(), show_default=True)
@click.option("--show", default=3, show_default=True, help="Failing schedules to print whole.")
@click.option("--whole", is_flag=True, help="Whole stations, with clients, servers, platform and operators.")
@click.option("--closing", is_flag=True, help="The same, each ending with lost disks and a loss of power of all.")
@click.option("--nodes", default=11, show_default=True, help="Stations of the whole.")
@click.option(
    "--shrink",
    "small",
    is_flag=True,
    help="Of the whole: makes the plan of the seed --first small and prints it as a test.",
)
def main(seeds, first, members, survive, workers, show, whole, closing, nodes, small):
    """Plays schedules, each from its seed; prints those that break a promise, and counts."""
    members = members if members != 4 or nodes < 20 else 6
    if small:
        found = shrink(first, nodes, members, told=partial(click.echo, err=True))
        click.echo(f"{as_test(first, nodes, found[0])}\n{found[1]}" if found else f"seed {first} breaks nothing")
        raise SystemExit(bool(found))
    began, total, most, steps, broken = time.monotonic(), {}, {}, 0, []
    size = 5 if whole or closing else PART
    parts = [range(start, min(start + size, first + seeds)) for start in range(first, first + seeds, size)]
    one = player(whole, closing, members, survive, nodes)
    with ProcessPoolExecutor(workers) as pool:
        played = 0
        for results in pool.map(part, parts, [one] * len(parts)):
            for counts, taken, failure in results:
                played, steps = played + 1, steps + taken
                for what, count in counts.items():
                    if what.endswith("most"):
                        most[what] = max(most.get(what, 0), count)
                    else:
                        total[what] = total.get(what, 0) + count
                if failure is not None:
                    broken.append(failure)
                    if len(broken) <= show:
                        click.echo(failure)
            if played % (size * 40) == 0:
                click.echo(f"{played} schedules, {len(broken)} broken, {time.monotonic() - began:.0f} s", err=True)
    took = time.monotonic() - began
    pace = seeds / took * 60
    what = f"{nodes} nodes, {members} of them with a disk" if whole or closing else f"{members} members"
    click.echo(f"schedules {seeds} of {what}, {took:.1f} s ({pace:.0f} a minute), {steps} steps")
    click.echo("  ".join(f"{what} {count}" for what, count in sorted(total.items())))
    click.echo(
        "  ".join(
            f"{what.removesuffix(' most').removesuffix('_most')} {count} at most"
            for what, count in sorted(most.items())
        )
        + f"; broken {len(broken)}"
    )
    if broken:
        click.echo(
            "seeds: "
            + " ".join(
                f"{text.split(',', 1)[0][5:]} ({text.strip().splitlines()[-1][-110:]})\n  " for text in broken[:50]
            )
        )
    raise SystemExit(bool(broken))


if __name__ == "__main__":
    main()
