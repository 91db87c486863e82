"""A failing plan made small: rows are left out, many at first, for as long as it still breaks the same promise."""

from .checks import InvariantError
from .system_run import SystemRun


def breach(seed, nodes, disks, plan):
    """(what broke, in its first word; the whole text; the run), or None."""
    system_run = SystemRun(seed, nodes, disks, plan=plan)
    try:
        system_run.play()
    except InvariantError as broken:
        return str(broken).split()[0], str(broken), system_run
    return None


def shrink(seed, nodes=11, disks=None, most=300, told=lambda text: None):
    """(the rows that are left, what they break), or None if the seed breaks nothing. `most` runs at most."""
    found = breach(seed, nodes, disks, None)
    if found is None:
        return None
    word, text, system_run = found
    plan = [row for row in system_run.plan if row[1] != "last" or row[0] * 10**6 <= system_run.fleet.now]
    part, runs = max(1, len(plan) // 2), 0
    while runs < most:
        smaller = None
        for at in range(0, len(plan), part):
            tried = plan[:at] + plan[at + part :]
            runs += 1
            if runs > most:
                break
            again = breach(seed, nodes, disks, tried)
            if again is not None and again[0] == word:
                smaller, text = tried, again[1]
                told(f"{len(tried)} rows left behind {runs} runs")
                break
        if smaller is not None:
            plan = smaller
            part = min(part, max(1, len(plan) // 2))
        elif part == 1:
            break
        else:
            part = max(1, part // 2)
    return plan, text


def as_test(seed, nodes, plan):
    """The lines that play it."""
    rows = "".join(f"    {row!r},\n" for row in plan)
    return f"SystemRun({seed}, {nodes}, plan=[\n{rows}]).play()"
