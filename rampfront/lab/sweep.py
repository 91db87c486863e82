"""A sweep: the same experiment at rising rates, directly and through the nodes, which gives the overhead of a hop.

The overhead at a quantile is that quantile through the node minus that of the direct run, as the median over the
repeats. A rate is sustained if almost no transaction is declined, voided or unanswered, and the p99 overhead is below a
limit. Figures are emulated.
"""

from pathlib import Path
from statistics import median

import msgspec

from . import report as reports
from .plan import changed
from .report import RunRefusedError
from .run import Repeat


def scaled(plan, rate):
    """Returns the plan with its streams' rates scaled so that their sum is `rate`."""
    total = sum(stream.rate for stream in plan.load.streams)
    streams = [msgspec.structs.replace(stream, rate=stream.rate * rate / total) for stream in plan.load.streams]
    return changed(plan, load=msgspec.structs.replace(plan.load, streams=streams))


def direct(plan):
    """Returns the plan with the same load sent directly to the servers."""
    streams = [msgspec.structs.replace(stream, spread=0) for stream in plan.load.streams]
    return changed(
        plan,
        topology=msgspec.structs.replace(plan.topology, nodes=0),
        load=msgspec.structs.replace(plan.load, streams=streams),
        faults=[fault for fault in plan.faults if not fault.target.startswith("node")],
    )


def busiest_cores(report, kind):
    """Returns the CPU cores used by the busiest process of a kind."""
    return max((row["cores"] for name, row in report["usage"].items() if name.startswith(kind)), default=0.0)


def run_once(plan, out, seed):
    """Runs one repeat. Returns its report and None, or None and the reason why the run was refused."""
    try:
        return reports.write(Repeat(plan, seed, out).play()), None
    except RunRefusedError as error:
        return None, str(error).partition(": ")[2]


def sweep(plan, rates, out, report_progress=lambda text: None):
    """Returns one row for each rate: overhead in ms at p50 and p99, shares, cores. Stops after the first rate at which
    the load tool was too slow or less than half of the transactions were settled."""
    rows = []
    for rate in rates:
        reports_by_side, refusal_reason = {"direct": [], "node": []}, None
        for seed in range(plan.seed, plan.seed + plan.repeats):
            for name, variant in (("direct", direct(scaled(plan, rate))), ("node", scaled(plan, rate))):
                report, error = run_once(
                    changed(variant, seed=seed, repeats=1), Path(out) / f"{rate:g}-{name}" / f"seed-{seed}", seed
                )
                refusal_reason = refusal_reason or error and f"{name}: {error}"
                if report:
                    reports_by_side[name].append(report)
        row = {"rate": rate, "refused": refusal_reason, "overhead_ms": None, "cores": {}, "repeats": plan.repeats}
        complete = (
            reports_by_side["direct"]
            and reports_by_side["node"]
            and len(reports_by_side["direct"]) == len(reports_by_side["node"])
        )
        if complete:
            pairs = list(zip(reports_by_side["direct"], reports_by_side["node"]))
            row["overhead_ms"] = {
                quantile: round(
                    median(
                        through_node["latency_ms"][quantile] - through_direct["latency_ms"][quantile]
                        for through_direct, through_node in pairs
                    ),
                    3,
                )
                for quantile in ("p50", "p99")
                if all("p50" in report["latency_ms"] for pair in pairs for report in pair)
            }
            for name in ("direct", "node"):
                row[f"{name}_ms"] = {
                    quantile: round(median(report["latency_ms"][quantile] for report in reports_by_side[name]), 3)
                    for quantile in ("p50", "p99", "p999")
                }
        if reports_by_side["node"]:
            row["settled_share"] = round(
                median(report["settled"] / max(1, report["offered"]) for report in reports_by_side["node"]), 5
            )
            row["cores"] = {
                kind: round(median(busiest_cores(report, kind) for report in reports_by_side["node"]), 3)
                for kind in ("node", "load", "emulator")
            }
            row["lag_p99_ms"] = median(report["lag_ms"]["p99"] for report in reports_by_side["node"])
        rows.append(row)
        overhead = row["overhead_ms"] or {}
        report_progress(
            f"{rate:g} txn/s: overhead p50 {overhead.get('p50')} ms, p99 {overhead.get('p99')} ms, settled "
            f"{row.get('settled_share')}, cores {row['cores']}"
            + (f"; refused: {refusal_reason}" if refusal_reason else "")
        )
        if refusal_reason or row.get("settled_share", 1.0) < 0.5:
            break
    return rows


def sustained(rows, most_overhead_ms=1.0, least_settled=0.999):
    """Returns the highest sustained rate of the sweep, or None."""
    sustained_rates = [
        row["rate"]
        for row in rows
        if row["overhead_ms"] and row["overhead_ms"]["p99"] < most_overhead_ms and row["settled_share"] >= least_settled
    ]
    return max(sustained_rates, default=None)
