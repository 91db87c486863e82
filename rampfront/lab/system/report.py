"""The report of a run of the whole system: one JSON object.

It has the structure of the edge node's report (`lab/report.py`), so that the same plots draw both. The figures are
emulated, on loopback; docs/lab.md explains each key.
"""

from collections import Counter, defaultdict

import numpy as np

from ...settings import configuration_reader
from .. import report as those
from ..client import DECLINED, LOST, SETTLED
from ..tally import TokenBucket
from . import judge as judges

MS, SEC = 10**6, 10**9
BIN_S = 0.5  # of the series of worth shares
RECOVERED_SHARE = 0.9  # of the share before a fault; a bin at or above it counts as recovered
MAX_SPEED_LAG_MS = 5.0  # at p99; with a higher lag of the load, the p99 of a speed measurement is not valid
RECOVERED_BINS = 3  # consecutive bins that must be recovered


def request_worths(plan, rows, tries):
    """Returns two arrays with a value for each request: the worth earned, and the full worth of its route.

    A request served within its target earns the full worth, a late one the smaller `late` worth. It earns the mean of
    both if its first try was refused early (within a quarter of the target) and its last try was served within the
    target."""
    worth, late, target = (
        np.array([getattr(route, name) for route in plan.routes]) for name in ("worth", "late", "target_ms")
    )
    product = rows["product"]
    good = rows["outcome"] == SETTLED
    full, late_worth = worth[product], np.minimum(late, worth)[product]
    early, took = np.zeros(len(rows), bool), rows["took"].copy()
    for client_try in tries:
        if client_try.id.endswith(".1"):
            early[client_try.request] = (
                client_try.status in judges.UNEXECUTED_STATUSES
                and (client_try.finished_at - client_try.sent_at) / MS <= target[product[client_try.request]] / 4
            )
        took[client_try.request] = (
            client_try.finished_at - client_try.sent_at
        )  # the last try overwrites the others, as tries are in order of time
    in_time, again = rows["took"] <= target[product] * MS, early & (took <= target[product] * MS)
    return np.where(in_time, full, np.where(again, (full + late_worth) / 2, late_worth)) * good, full


def acknowledged_limits(orders):
    """Returns the limits and keys of the acknowledged versions in order of time, as rows of
    (acknowledged at, {tenant: (per_s, burst)}, keys)."""
    limits, newest = [], 0
    for order in sorted(
        (order for order in orders if order.call == "config.replace" and order.acked_at and order.valid),
        key=lambda order: order.acked_at,
    ):
        if order.revision > newest:
            newest, configuration = order.revision, configuration_reader.read(order.body).unwrap()
            limits.append(
                (
                    order.acked_at,
                    {name: (row.per_s, row.burst) for name, row in configuration.customers_by_name.items()},
                    frozenset(configuration.customers_by_key),
                )
            )
    return limits


def owed_requests(plan, rows, tries, orders, start):
    """Returns two masks: the requests that the system owes, and those of tenants with a limit.

    A request is owed if the newest acknowledged version allows it and the tenant's exact token bucket has a token."""
    first = {client_try.request: client_try for client_try in reversed(tries)}
    limits, buckets, current = acknowledged_limits(orders), {}, 0
    owed, limited = np.zeros(len(rows), bool), np.zeros(len(rows), bool)
    for number, at in enumerate((rows["at"] + start).tolist()):
        while current + 1 < len(limits) and limits[current + 1][0] <= at:
            current += 1
        client_try = first.get(number)
        if client_try is None or not limits:
            continue
        if client_try.tenant:
            if client_try.key.encode() not in limits[current][2] and not plan.routes[rows["product"][number]].public:
                continue
            rate, burst = limits[current][1].get(client_try.tenant, (0.0, 0.0))
            if rate:
                limited[number] = True
                bucket = buckets.setdefault(client_try.tenant, TokenBucket(rate, max(1.0, burst + rate / 10)))
                bucket.updated_at, bucket.rate, bucket.burst = (
                    bucket.updated_at or start,
                    rate,
                    max(1.0, burst + rate / 10),
                )
                if not bucket.take(1.0, at):
                    continue
        owed[number] = True
    return owed, limited


def cap_by_quota(rows, earned, worth, owed, limited):
    """Returns the worth earned and the worth owed of each request, corrected for tenants with a limit.

    The system may choose which of a tenant's requests beyond its limit it serves. So the total owed to such a tenant is
    spread evenly over its requests, and it earns no more than that in total."""
    earned_worth, owed_worth = earned * owed, worth * owed
    for tenant in np.unique(rows["account"][limited]):
        own = limited & (rows["account"] == tenant)
        total, most, got = worth[own].sum(), owed_worth[own].sum(), earned[own].sum()
        owed_worth[own] = worth[own] * most / total
        earned_worth[own] = earned[own] * min(1.0, most / got) if got else 0.0
    return earned_worth, owed_worth


def worth_shares(rows, earned_worth, owed_worth, length):
    """Returns the share of the owed worth that was earned, by bin of the intended send time; None where none was owed."""
    bins = (rows["at"] / (BIN_S * SEC)).astype(int)
    count = int(np.ceil(length / BIN_S))
    got, most = np.bincount(bins, earned_worth, count)[:count], np.bincount(bins, owed_worth, count)[:count]
    return [None if due <= 0 else round(min(1.0, part / due), 4) for part, due in zip(got.tolist(), most.tolist())]


def fault_recoveries(share, faults, target=lambda row: row["target"]):
    """Returns a row for each fault: the share before it, the lowest share during the fault and the 10 s after it, and the
    seconds from its start to the recovery.

    The share has recovered once `RECOVERED_BINS` consecutive bins reach `RECOVERED_SHARE` of the share before the fault.
    The time is 0 if the share never fell below that, None if it did not recover."""
    recoveries, reported = [], set()
    for row in faults:
        if not row["on"] or row["number"] in reported:
            continue
        reported.add(row["number"])
        ended = max(
            (other["at"] for other in faults if other["number"] == row["number"] and not other["on"]), default=row["at"]
        )
        at = int(row["at"] / BIN_S)
        before = [value for value in share[max(0, at - int(5 / BIN_S)) : at] if value is not None]
        during = share[at : int((ended + 10) / BIN_S) + 1]
        usual = sum(before) / len(before) if before else 1.0
        recovered = [value is None or value >= RECOVERED_SHARE * usual for value in during]
        low = [index for index, is_recovered in enumerate(recovered) if not is_recovered]
        took = 0.0
        if low:
            back = next(
                (
                    index
                    for index in range(low[0], len(recovered) - RECOVERED_BINS + 1)
                    if all(recovered[index : index + RECOVERED_BINS])
                ),
                None,
            )
            took = None if back is None else round((at + back) * BIN_S - row["at"] + BIN_S, 2)
        recoveries.append(
            {
                "fault": row["number"],
                "target": target(row),
                "kind": row["kind"],
                "at": row["at"],
                "lasted": round(ended - row["at"], 2),
                "before": round(usual, 3),
                "least": round(min((value for value in during if value is not None), default=1.0), 3),
                "back_s": took,
            }
        )
    return recoveries


def quota_rows(plan, observed, terms, start):
    """Returns a row for each tenant with a limit: its executed requests against its limit at the start of the run, over
    windows of QuotaWindow."""
    executed_at = defaultdict(list)
    for server in observed.servers:
        for run in server.runs:
            executed_at[run.customer].append(run.at - start)
    quotas, span = [], terms.quota_window / SEC
    for tenant in plan.tenants:
        if tenant.per_s:
            at = np.sort(np.array(executed_at[tenant.name], "i8"))
            rolling = those.rolling_overshoot(
                at, np.ones(len(at)), tenant.per_s, tenant.burst, plan.duration_s, window_s=span
            )
            allowance = tenant.per_s * plan.duration_s + tenant.burst
            quotas.append(
                {
                    "account": tenant.name,
                    "units": len(at),
                    "allowance": allowance,
                    "used": round(len(at) / allowance, 3),
                    "overshoot_pct": max(rolling, default=0.0),
                    "rolling_pct": rolling,
                }
            )
    return quotas


def refused_below_limit(rows, steady, owed, limited):
    """Returns the number of refused requests that were owed.

    For a tenant with a limit it is the shortfall of served against owed requests, at most the number of its refused
    ones."""
    refused = int((owed & steady & ~limited & (rows["outcome"] == DECLINED)).sum())
    for tenant in np.unique(rows["account"][limited]):
        own = limited & steady & (rows["account"] == tenant)
        shortfall = int((own & owed).sum() - (rows["outcome"][own] == SETTLED).sum())
        refused += max(0, min(shortfall, int((rows["outcome"][own] == DECLINED).sum())))
    return refused


def lag_objection(lag, plan):
    """Returns why latencies and worth must not be reported, or an empty string.

    The lag of the load does not affect the judgement of the rules."""
    if lag["p99"] <= plan.most_lag_ms:
        return ""
    return (
        f"the load lagged behind its schedule by {lag['p99']:g} ms at p99, more than most_lag_ms "
        f"{plan.most_lag_ms:g}: latencies and worth would measure the tool. Use lower rates, or a less busy machine"
    )


def summarize(system, generator):
    """Returns the report of a run."""
    plan, rows, observed, terms = system.plan, generator.rows, system.observed, system.terms
    lag = those.lag(rows, plan)
    owed, limited = owed_requests(plan, rows, generator.tries, observed.orders, generator.start)
    earned_worth, owed_worth = cap_by_quota(rows, *request_worths(plan, rows, generator.tries), owed, limited)
    steady = rows["at"] >= plan.warmup_s * SEC
    faults = sorted(system.faults.log, key=lambda row: row["at"])
    share = worth_shares(rows, earned_worth, owed_worth, plan.duration_s)
    findings = judges.judge(observed, terms)
    served = rows[steady & (rows["outcome"] == SETTLED)]
    statuses = Counter(client_try.status for client_try in generator.tries)

    counts = sum((box.counts for box in system.fleet.servers.values()), Counter())

    def worth(mask):
        got, most = float(earned_worth[mask].sum()), float(owed_worth[mask].sum())
        return {"earned": round(got, 2), "owed": round(most, 2), "share": round(got / most, 4) if most else 1.0}

    def part(mask):
        selected = rows[mask]
        return {
            "offered": int(mask.sum()),
            **those.count_outcomes(selected["outcome"]),
            "tries": int(selected["tries"].sum()),
            "owed": int((mask & owed).sum()),
            "worth": worth(mask),
            "latency_ms": those.latency(selected["took"][selected["outcome"] == SETTLED]),
        }

    return {
        "name": plan.name,
        "variant": system.variant,
        "seed": system.seed,
        "emulated": True,
        "nodes": len(system.nodes),
        "seconds": plan.duration_s,
        "lag_ms": lag,
        "offered": int(steady.sum()),
        **those.count_outcomes(rows["outcome"][steady]),
        "worth": worth(steady),
        "refused_below_limit": refused_below_limit(rows, steady, owed, limited),
        "refused": lag_objection(lag, plan),
        "unanswered": int((rows["outcome"] == LOST).sum()),
        "latency_ms": those.latency(served["took"]),
        "statuses": {str(status): count for status, count in sorted(statuses.items())},
        "routes": {route.name: part(steady & (rows["product"] == index)) for index, route in enumerate(plan.routes)},
        "tenants": {
            tenant.name: part(steady & (rows["account"] == index)) for index, tenant in enumerate(plan.tenants)
        },
        "accounts": (quotas := quota_rows(plan, observed, terms, generator.start)),
        "overshoot_pct": max((row["overshoot_pct"] for row in quotas), default=0.0),
        "rules": judges.summarize_findings(findings),
        "rules_broken": sorted(judges.breaches(findings)),
        "orders": [
            {
                "call": order.call,
                "version": order.revision,
                "zone": order.zone,
                "valid": order.valid,
                "at": round((order.sent_at - generator.start) / SEC, 3),
                "refused": order.error,
                "acked_ms": round((order.acked_at - order.sent_at) / MS, 1) if order.acked_at else None,
            }
            for order in observed.orders
        ],
        "series": {**those.per_second_series(rows, plan), "share": share, "share_every_s": BIN_S},
        "faults": faults,
        "recovery": fault_recoveries(share, faults, lambda row: plan.faults[row["number"]].target),
        "usage": system.usage,
        "servers": {str(key): count for key, count in counts.items()},
        "platform": dict(system.platform.counts),
        "clients": dict(system.counts),
        "relay": dict(system.relay.counts) if system.relay else None,
    }


def summary_text(report):
    """Returns a summary of a few lines for a terminal."""
    worth, latency = report["worth"], report["latency_ms"]
    lines = [
        f"{report['name']}, {report['variant']}, seed {report['seed']} (emulated): worth {worth['share']:.3f} of "
        f"{worth['owed']:g}; {report['offered']} offered, {report['settled']} served, {report['declined']} refused "
        f"({report['refused_below_limit']} below a limit), {report['voided'] + report['lost'] + report['broken']} failed otherwise; "
        f"p50 {latency.get('p50', 0):g}, p99 {latency.get('p99', 0):g} ms"
    ]
    lines += [
        f"  quota of {row['account']}: {row['units']} executed, {row['used']:.0%} of its allowance, "
        f"highest excess in a window {row['overshoot_pct']:g} %"
        for row in report["accounts"]
    ]
    for row in report["recovery"]:
        took = row["back_s"]
        back = "did not recover" if took is None else f"recovered after {took:g} s" if took else "did not fall"
        lines.append(
            f"  {row['kind']} of {row['target']} at {row['at']:g} s: share {row['before']:.2f}, "
            f"lowest {row['least']:.2f}, {back}"
        )
    lines += [
        f"  {'' if rule in report['rules_broken'] else '(no breach) '}{rule}: {findings['count']}, {findings['first'][0]}"
        for rule, findings in report["rules"].items()
    ]
    return "\n".join(lines + ([] if report["rules_broken"] else ["  no rule broken"]))


def speed_row(plan, path, rate, rounds):
    """Returns the report row of one path at one rate, over all rounds.

    `rounds` holds (rows, processor cores used by each proxy) of each round."""
    rows = np.concatenate([rows[rows["at"] >= plan.warmup_s * SEC] for rows, _ in rounds])
    served = rows[rows["outcome"] == SETTLED]
    cores = np.mean([cores for _, cores in rounds], axis=0).round(3).tolist()
    return {
        "way": path,
        "rate": rate,
        "offered": len(rows),
        "settled": len(served),
        "settled_per_s": round(len(served) / (plan.duration_s - plan.warmup_s) / len(rounds), 1),
        "latency_ms": those.latency(served["took"]),
        "lag_ms": those.lag(rows, plan),
        "cores": cores,
    }


def add_latency_differences(rows):
    """Adds to each row the differences of its percentiles to those of the direct path at the same rate."""
    direct = {row["rate"]: row["latency_ms"] for row in rows if row["way"] == "direct"}
    for row in rows:
        base, own = direct[row["rate"]], row["latency_ms"]
        row["added_ms"] = {
            quantile: round(own[quantile] - base[quantile], 3)
            for quantile in ("p50", "p99")
            if quantile in own and quantile in base
        }
    return rows


def speed_text(rows):
    """Returns the table of a speed measurement for a terminal."""
    lines = [
        "rate/s   path        served/s  p50 ms  p99 ms  added p50  added p99  lag p99  cores of the proxies in use"
    ]
    for row in rows:
        latency, added = row["latency_ms"], row["added_ms"]
        cores = [core_count for core_count in row["cores"] if core_count >= 0.03] if row["way"] != "direct" else []
        lines.append(
            f"{row['rate']:6g}   {row['way']:10}  {row['settled_per_s']:8g}  {latency.get('p50', 0):6.2f}  "
            f"{latency.get('p99', 0):6.2f}  {added.get('p50', 0):9.2f}  {added.get('p99', 0):9.2f}  "
            f"{row['lag_ms']['p99']:7.2f}  "
            f"{', '.join(f'{core_count:.2f}' for core_count in cores) or '-'}"
            f"{'  (the tool lagged: p99 not valid)' if row['lag_ms']['p99'] > MAX_SPEED_LAG_MS else ''}"
        )
    return "\n".join(lines)
