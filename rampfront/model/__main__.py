"""`python -m rampfront.model --seeds 1000 --members 4`: plays seeded schedules against the core."""

import os
import time
from concurrent.futures import ProcessPoolExecutor
from traceback import format_exc

import click

from .schedule import Run

PART = 25  # schedules that a worker plays before it reports


def play(seed, members, survive):
    """(counts, steps, None), or what broke and the schedule."""
    run = None
    try:
        run = Run(seed, members, survive)
        counts = run.play()
        return counts, run.world.steps, None
    except Exception:
        lines = [f"seed {seed}, {members} members"]
        if run is not None:
            lines += [f"  {at / 1e9:9.4f} s  {text} {' '.join(map(str, args))}" for at, text, args in run.world.log]
            lines.append(f"  broken at {run.world.now / 1e9:.4f} s")
        return (run.world.counts if run else {}), run.world.steps if run else 0, "\n".join(lines) + "\n" + format_exc()


def part(seeds, members, survive):
    return [play(seed, members, survive) for seed in seeds]


@click.command()
@click.option("--seeds", default=1000, show_default=True, help="How many schedules to play.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--members", default=4, show_default=True, help="Machines with a disk.")
@click.option("--survive", default=None, type=int, help="Of them that may be lost at once; else as many as can be.")
@click.option("--workers", default=os.cpu_count(), show_default=True)
@click.option("--show", default=3, show_default=True, help="Failing schedules to print whole.")
def main(seeds, first, members, survive, workers, show):
    """Plays schedules, each from its seed; prints those that break a promise, and counts."""
    began, total, most, steps, broken = time.monotonic(), {}, 0, 0, []
    parts = [range(start, min(start + PART, first + seeds)) for start in range(first, first + seeds, PART)]
    with ProcessPoolExecutor(workers) as pool:
        played = 0
        for results in pool.map(part, parts, [members] * len(parts), [survive] * len(parts)):
            for counts, taken, failure in results:
                played, steps = played + 1, steps + taken
                most = max(most, counts.pop("calm_ms_most", 0))
                for what, count in counts.items():
                    total[what] = total.get(what, 0) + count
                if failure is not None:
                    broken.append(failure)
                    if len(broken) <= show:
                        click.echo(failure)
            if played % (PART * 40) == 0:
                click.echo(f"{played} schedules, {len(broken)} broken, {time.monotonic() - began:.0f} s", err=True)
    took = time.monotonic() - began
    pace = seeds / took * 60
    click.echo(f"schedules {seeds} of {members} members, {took:.1f} s ({pace:.0f} a minute), {steps} steps")
    click.echo("  ".join(f"{what} {count}" for what, count in sorted(total.items())))
    click.echo(f"slowest order in calm {most} ms; broken {len(broken)}")
    if broken:
        click.echo("seeds: " + " ".join(text.split(",", 1)[0][5:] for text in broken[:50]))
    raise SystemExit(bool(broken))


if __name__ == "__main__":
    main()
