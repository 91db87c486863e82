"""Shrinks a failing plan: removes rows, many at first, as long as the plan still violates the same invariant."""

from .checks import InvariantError
from .system_run import SystemRun


def breach(seed, nodes, disks, plan):
    """Plays a plan. Returns (first word of the failure message, complete message, run), or None if no check fails."""
    system_run = SystemRun(seed, nodes, disks, plan=plan)
    try:
        system_run.play()
    except InvariantError as broken:
        return str(broken).split()[0], str(broken), system_run
    return None


def shrink(seed, nodes=11, disks=None, max_runs=300, report_progress=lambda text: None):
    """Returns (remaining rows, failure message), or None if the seed fails no check. Plays at most `max_runs` runs."""
    found = breach(seed, nodes, disks, None)
    if found is None:
        return None
    first_word, text, system_run = found
    plan = [row for row in system_run.plan if row[1] != "last" or row[0] * 10**6 <= system_run.fleet.now]
    chunk_size, runs = max(1, len(plan) // 2), 0
    while runs < max_runs:
        smaller = None
        for at in range(0, len(plan), chunk_size):
            candidate = plan[:at] + plan[at + chunk_size :]
            runs += 1
            if runs > max_runs:
                break
            result = breach(seed, nodes, disks, candidate)
            if result is not None and result[0] == first_word:
                smaller, text = candidate, result[1]
                report_progress(f"{len(candidate)} rows left after {runs} runs")
                break
        if smaller is not None:
            plan = smaller
            chunk_size = min(chunk_size, max(1, len(plan) // 2))
        elif chunk_size == 1:
            break
        else:
            chunk_size = max(1, chunk_size // 2)
    return plan, text


def as_test(seed, nodes, plan):
    """The Python code that plays a plan."""
    rows = "".join(f"    {row!r},\n" for row in plan)
    return f"SystemRun({seed}, {nodes}, plan=[\n{rows}]).play()"
