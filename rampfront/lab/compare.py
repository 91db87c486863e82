"""Compares two runs of different settings or versions, over the same seeds. Figures are emulated.

The interval of a figure is Student's t interval of the paired repeats, at the confidence asked for; a single repeat has
none.
"""

from math import sqrt

import numpy as np
from scipy import stats

from . import report as reports
from .nodes import RunFailedError

# Name, whether more is better (None: neither), and how to read it from a report.
FIGURES = (
    ("settled a second", True, lambda r: r["settled_per_s"]),
    ("settled, share", True, lambda r: r["settled"] / max(1, r["offered"])),
    ("on time, share", True, lambda r: sum(p["on_time"] for p in r["products"].values()) / max(1, r["offered"])),
    ("declined, share", None, lambda r: r["declined"] / max(1, r["offered"])),
    ("voided, share", False, lambda r: r["voided"] / max(1, r["offered"])),
    ("unanswered", False, lambda r: r["lost"]),
    ("p50 ms", False, lambda r: r["latency_ms"].get("p50")),
    ("p99 ms", False, lambda r: r["latency_ms"].get("p99")),
    ("p999 ms", False, lambda r: r["latency_ms"].get("p999")),
    ("overshoot %", False, lambda r: r["overshoot_pct"]),
    ("once-only run twice", False, lambda r: r["once_only_twice"]),
    ("node cores", False, lambda r: sum(u["cores"] for n, u in r["usage"].items() if n.startswith("node-")) or None),
)


def interval(values, confidence=0.95):
    """Returns the mean and the half width of its confidence interval; the half width is None for fewer than two
    values."""
    values = np.asarray(values, float)
    mean = float(values.mean())
    if len(values) < 2:
        return mean, None
    half_width = stats.t.ppf(0.5 + confidence / 2, len(values) - 1) * values.std(ddof=1) / sqrt(len(values))
    return mean, float(half_width)


def verdict(mean, half_width, more_is_better):
    """Returns what a difference shows, by its confidence interval."""
    if half_width is None:
        return "one repeat, no interval"
    if abs(mean) <= half_width or mean == 0:
        return "no difference shown"
    if more_is_better is None:
        return "higher" if mean > 0 else "lower"
    return "better" if (mean > 0) == more_is_better else "worse"


def compare_reports(first, second, confidence=0.95):
    """Returns the means of both runs and of their differences, paired by seed. `first`, `second`: the reports of the
    repeats."""
    seeds = sorted({r["seed"] for r in first} & {r["seed"] for r in second})
    if not seeds:
        raise RunFailedError("the two runs share no seed, so that no repeats can be paired")
    first_by_seed, second_by_seed = ({r["seed"]: r for r in side} for side in (first, second))
    rows = []
    for name, more_is_better, read_figure in FIGURES:
        pairs = [(read_figure(first_by_seed[s]), read_figure(second_by_seed[s])) for s in seeds]
        pairs = [(a, b) for a, b in pairs if a is not None and b is not None]
        if not pairs:
            continue
        a, b = (interval([pair[k] for pair in pairs], confidence) for k in (0, 1))
        difference = interval([y - x for x, y in pairs], confidence)
        rows.append(
            {
                "figure": name,
                "a": a[0],
                "a_half": a[1],
                "b": b[0],
                "b_half": b[1],
                "difference": difference[0],
                "half": difference[1],
                "repeats": len(pairs),
                "verdict": verdict(*difference, more_is_better),
            }
        )
    return {
        "a": first[0]["name"],
        "b": second[0]["name"],
        "seeds": seeds,
        "confidence": confidence,
        "emulated": True,
        "rows": rows,
    }


def compare(a, b, confidence=0.95):
    """Compares the runs in two folders. Returns the comparison and the reports of both runs."""
    reports_by_run = [[reports.summarize(folder) for folder in reports.repeats(out)] for out in (a, b)]
    return compare_reports(*reports_by_run, confidence), reports_by_run


def text(comparison):
    """Returns the comparison as text."""

    def figure(mean, half_width):
        return f"{mean:.4g}" if half_width is None else f"{mean:.4g} ± {half_width:.2g}"

    lines = [
        f"{comparison['a']} against {comparison['b']}, {len(comparison['seeds'])} paired repeats, "
        f"{comparison['confidence']:.0%} intervals (emulated)"
    ]
    for row in comparison["rows"]:
        lines.append(
            f"  {row['figure']:20} {figure(row['a'], row['a_half']):>22} {figure(row['b'], row['b_half']):>22}"
            f"   {figure(row['difference'], row['half']):>22}  {row['verdict']}"
        )
    return "\n".join(lines)
