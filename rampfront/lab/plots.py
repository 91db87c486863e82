"""Plots of reports as PNG files, drawn without a display. Every plot states that its figures are emulated."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import numpy as np  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402
from matplotlib import pyplot as plt  # noqa: E402

OUTCOME_COLOURS = {
    "settled": "tab:green",
    "declined": "tab:orange",
    "voided": "tab:red",
    "lost": "black",
    "broken": "tab:purple",
}
# Shares of transactions below the points of an HDR plot, whose axis is the inverse of the share above.
PERCENTILE_SHARES = np.concatenate(([0.0], 1.0 - np.logspace(0, -4, 120)[1:]))


def save_figure(figure, path):
    """Saves and closes a figure, and returns its path."""
    path = Path(path)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.text(0.995, 0.005, "emulated, loopback", ha="right", va="bottom", fontsize=7, color="grey")
    figure.tight_layout()
    figure.savefig(path, dpi=90, metadata={"Software": None})
    plt.close(figure)
    return path


def shade_faults(axes, faults, until):
    """Draws a grey band for the duration of each fault."""
    started = {}
    for row in faults:
        key = (row["number"], row["target"])
        if row["on"]:
            started[key] = row
        elif key in started:
            axes.axvspan(started.pop(key)["at"], row["at"], color="grey", alpha=0.15)
    for row in started.values():
        axes.axvline(row["at"], color="grey", ls=":") if row["kind"] == "restart" else axes.axvspan(
            row["at"], until, color="grey", alpha=0.15
        )


def timeline(report, path):
    """Draws the outcomes and the latency by second, with the faults in the background."""
    series = report["series"]
    seconds = np.arange(len(series["offered"])) + 0.5
    figure, (upper_axes, lower_axes) = plt.subplots(2, 1, figsize=(9, 6), sharex=True)
    upper_axes.plot(seconds, series["offered"], color="tab:blue", lw=1, label="offered")
    for name, colour in OUTCOME_COLOURS.items():
        if any(series[name]):
            upper_axes.plot(seconds, series[name], color=colour, lw=1.4, label=name)
    upper_axes.set_ylabel("txns a second")
    upper_axes.legend(fontsize=8, ncols=3)
    upper_axes.set_title(f"{report['name']}, seed {report['seed']}")
    for name, colour in (("p50", "tab:blue"), ("p99", "tab:red")):
        lower_axes.plot(seconds, [np.nan if v is None else v for v in series[name]], color=colour, label=name)
    lower_axes.set_yscale("log")
    lower_axes.set_ylabel("settled after, ms")
    lower_axes.set_xlabel("seconds")
    lower_axes.legend(fontsize=8)
    for axes in (upper_axes, lower_axes):
        shade_faults(axes, report["faults"], len(seconds))
        axes.grid(alpha=0.3)
    return save_figure(figure, path)


def percentiles(runs, path, title=""):
    """Draws an HDR plot: latency by percentile. `runs`: label to the encoded histogram of a report."""
    figure, axes = plt.subplots(figsize=(8, 4.5))
    for label, encoded in runs.items():
        hdr = HdrHistogram.decode(encoded)
        axes.plot(
            1.0 / (1.0 - PERCENTILE_SHARES),
            [hdr.get_value_at_percentile(100.0 * share) / 1000.0 for share in PERCENTILE_SHARES],
            label=label,
        )
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xticks([1, 10, 100, 1000, 10000], ["0", "p90", "p99", "p99.9", "p99.99"])
    axes.set_ylabel("latency, ms")
    axes.set_title(title)
    axes.grid(alpha=0.3, which="both")
    axes.legend(fontsize=8)
    return save_figure(figure, path)


def quotas(runs, path, account, title=""):
    """Draws the overshoot of an account in 10 s windows over time. `runs`: label to report."""
    figure, axes = plt.subplots(figsize=(9, 3.6))
    for label, report in runs.items():
        rows = [row for row in report["accounts"] if row["account"] == account]
        if rows:
            axes.plot(np.arange(len(rows[0]["rolling_pct"])) + 1, rows[0]["rolling_pct"], label=label)
    shade_faults(axes, next(iter(runs.values()))["faults"], next(iter(runs.values()))["seconds"])
    axes.axhline(5.0, color="tab:red", ls="--", lw=0.8)
    axes.set_xlabel("seconds")
    axes.set_ylabel(f"overshoot of {account}, %")
    axes.set_title(title)
    axes.legend(fontsize=8)
    axes.grid(alpha=0.3)
    return save_figure(figure, path)


def shares(runs, path, title=""):
    """Draws the share of the worth owed that was earned, over time, of runs of the whole system. `runs`: label to
    report."""
    figure, axes = plt.subplots(figsize=(9, 3.6))
    for label, report in runs.items():
        every, share = report["series"]["share_every_s"], report["series"]["share"]
        axes.plot((np.arange(len(share)) + 0.5) * every, [np.nan if v is None else v for v in share], label=label)
    first = next(iter(runs.values()))
    shade_faults(axes, first["faults"], first["seconds"])
    axes.set_ylim(0, 1.05)
    axes.set_xlabel("seconds")
    axes.set_ylabel("share of the worth owed")
    axes.set_title(title)
    axes.legend(fontsize=8)
    axes.grid(alpha=0.3)
    return save_figure(figure, path)


def recovery(runs, path, title=""):
    """Draws the share of each second's transactions that were settled within their SLA time. `runs`: label to
    report."""
    figure, axes = plt.subplots(figsize=(9, 3.6))
    for label, report in runs.items():
        series = report["series"]
        share = [on_time / max(1, offered) for on_time, offered in zip(series["on_time"], series["offered"])]
        axes.plot(np.arange(len(share)) + 0.5, share, label=label)
    first = next(iter(runs.values()))
    shade_faults(axes, first["faults"], first["seconds"])
    axes.set_ylim(0, 1.05)
    axes.set_xlabel("seconds")
    axes.set_ylabel("settled in time, share of the second")
    axes.set_title(title)
    axes.legend(fontsize=8)
    axes.grid(alpha=0.3)
    return save_figure(figure, path)


def comparison(result, path):
    """Draws the differences with their intervals, each relative to its own scale."""
    rows = [row for row in result["rows"] if row["half"] is not None]
    figure, axes = plt.subplots(figsize=(8, 0.5 + 0.42 * max(1, len(rows))))
    colours = {"better": "tab:green", "worse": "tab:red"}
    for k, row in enumerate(reversed(rows)):
        scale = max(abs(row["a"]), abs(row["b"]), 1e-9)
        axes.errorbar(
            100 * row["difference"] / scale,
            k,
            xerr=100 * row["half"] / scale,
            fmt="o",
            capsize=3,
            color=colours.get(row["verdict"], "grey"),
        )
    axes.set_yticks(range(len(rows)), [row["figure"] for row in reversed(rows)], fontsize=8)
    axes.axvline(0, color="black", lw=0.8)
    axes.set_xlabel(f"change from {result['a']} to {result['b']}, % of the larger side")
    axes.grid(alpha=0.3, axis="x")
    return save_figure(figure, path)


def sweep(rows, path, title=""):
    """Draws overhead and cores by the offered rate. `rows`: the result of `lab.sweep`."""
    rate = [row["rate"] for row in rows]
    figure, (upper_axes, lower_axes) = plt.subplots(2, 1, figsize=(8, 6.5), sharex=True)
    for name, colour in (("p50", "tab:blue"), ("p99", "tab:red")):
        upper_axes.plot(
            rate,
            [row["overhead_ms"][name] if row["overhead_ms"] else np.nan for row in rows],
            "o-",
            color=colour,
            label=f"overhead {name}",
        )
    upper_axes.axhline(1.0, color="grey", ls="--", lw=0.8)
    upper_axes.set_yscale("log")
    upper_axes.set_ylabel("through the node less direct, ms")
    upper_axes.set_title(title)
    upper_axes.legend(fontsize=8)
    for name, colour in (("node", "tab:red"), ("emulator", "tab:green"), ("load", "tab:blue")):
        lower_axes.plot(rate, [row["cores"].get(name, np.nan) for row in rows], "o-", color=colour, label=name)
    lower_axes.axhline(1.0, color="grey", ls="--", lw=0.8)
    lower_axes.set_ylabel("cores (busiest process of each kind)")
    lower_axes.set_xlabel("txns a second offered")
    lower_axes.legend(fontsize=8)
    for axes in (upper_axes, lower_axes):
        axes.grid(alpha=0.3, which="both")
    return save_figure(figure, path)
