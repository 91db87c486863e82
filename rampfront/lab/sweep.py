"""A sweep: the same experiment at rising rates, straight to the boxes and through the nodes, for the overhead of a hop.

The overhead at a quantile is that of the node's run less that of the direct run, quantile by quantile, the median over
the repeats. A rate is sustained where nothing is declined, voided or unanswered for want of room and p99 overhead is
under the bound. Figures are emulated.
"""

from pathlib import Path
from statistics import median

import msgspec

from . import report as reports
from .plan import changed
from .report import RunRefusedError
from .run import Repeat


def scaled(plan, rate):
    """The plan with its streams' rates scaled so that they add up to `rate`."""
    total = sum(stream.rate for stream in plan.load.streams)
    streams = [msgspec.structs.replace(s, rate=s.rate * rate / total) for s in plan.load.streams]
    return changed(plan, load=msgspec.structs.replace(plan.load, streams=streams))


def direct(plan):
    """The same load straight to the boxes."""
    streams = [msgspec.structs.replace(s, spread=0) for s in plan.load.streams]
    return changed(
        plan,
        topology=msgspec.structs.replace(plan.topology, nodes=0),
        load=msgspec.structs.replace(plan.load, streams=streams),
        faults=[f for f in plan.faults if not f.target.startswith("node")],
    )


def busiest(report, kind):
    return max((row["cores"] for name, row in report["usage"].items() if name.startswith(kind)), default=0.0)


def one(plan, out, seed):
    """A report, or why there is none."""
    try:
        return reports.write(Repeat(plan, seed, out).play()), None
    except RunRefusedError as trouble:
        return None, str(trouble).partition(": ")[2]


def sweep(plan, rates, out, say=lambda text: None):
    """One row a rate: overhead in ms at p50 and p99, shares, cores. Stops behind the first rate that is refused."""
    rows = []
    for rate in rates:
        sides, why = {"direct": [], "node": []}, None
        for seed in range(plan.seed, plan.seed + plan.repeats):
            for name, what in (("direct", direct(scaled(plan, rate))), ("node", scaled(plan, rate))):
                report, trouble = one(
                    changed(what, seed=seed, repeats=1), Path(out) / f"{rate:g}-{name}" / f"seed-{seed}", seed
                )
                why = why or trouble and f"{name}: {trouble}"
                if report:
                    sides[name].append(report)
        row = {"rate": rate, "refused": why, "overhead_ms": None, "cores": {}, "repeats": plan.repeats}
        both = sides["direct"] and sides["node"] and len(sides["direct"]) == len(sides["node"])
        if both:
            pairs = list(zip(sides["direct"], sides["node"]))
            row["overhead_ms"] = {
                q: round(median(n["latency_ms"][q] - d["latency_ms"][q] for d, n in pairs), 3)
                for q in ("p50", "p99")
                if all("p50" in r["latency_ms"] for p in pairs for r in p)
            }
            for name in ("direct", "node"):
                row[f"{name}_ms"] = {
                    q: round(median(r["latency_ms"][q] for r in sides[name]), 3) for q in ("p50", "p99", "p999")
                }
        if sides["node"]:
            row["settled_share"] = round(median(r["settled"] / max(1, r["offered"]) for r in sides["node"]), 5)
            row["cores"] = {
                kind: round(median(busiest(r, kind) for r in sides["node"]), 3) for kind in ("node", "load", "emulator")
            }
            row["lag_p99_ms"] = median(r["lag_ms"]["p99"] for r in sides["node"])
        rows.append(row)
        over = row["overhead_ms"] or {}
        say(
            f"{rate:g} txn/s: overhead p50 {over.get('p50')} ms, p99 {over.get('p99')} ms, settled "
            f"{row.get('settled_share')}, cores {row['cores']}" + (f"; refused: {why}" if why else "")
        )
        if why or row.get("settled_share", 1.0) < 0.5:
            break
    return rows


def sustained(rows, most_overhead_ms=1.0, least_settled=0.999):
    """The highest rate of the sweep that held, or None."""
    good = [
        row["rate"]
        for row in rows
        if row["overhead_ms"] and row["overhead_ms"]["p99"] < most_overhead_ms and row["settled_share"] >= least_settled
    ]
    return max(good, default=None)
