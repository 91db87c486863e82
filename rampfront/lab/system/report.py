"""The report of a run of the whole system, as one JSON object in the shape of the edge node's (`lab/report.py`), so that
its plots draw both. Figures are emulated, on loopback; what each key means is in docs/lab.md.
"""

from collections import Counter, defaultdict

import numpy as np

from ...settings import configuration_reader
from .. import report as those
from ..client import DECLINED, LOST, SETTLED
from ..tally import TokenBucket
from . import judge as judges

MS, SEC = 10**6, 10**9
BIN = 0.5  # s, of the share served
WELL = 0.9  # of the share before a fault: what counts as back
LAGS = 5.0  # ms at p99 by which the load may lag in a measurement of speed, for its p99 to be quoted
CALM = 3  # bins that have to be well in a row


def worths(plan, rows, tries):
    """(earned, owed by kind) of each request: its worth in time, the smaller one late, and half of both where it was refused
    early (within a quarter of its target) and then served within its target from the new try."""
    worth, late, target = (
        np.array([getattr(route, name) for route in plan.routes]) for name in ("worth", "late", "target_ms")
    )
    product = rows["product"]
    good = rows["outcome"] == SETTLED
    full, less = worth[product], np.minimum(late, worth)[product]
    early, took = np.zeros(len(rows), bool), rows["took"].copy()
    for one in tries:
        if one.id.endswith(".1"):
            early[one.request] = (
                one.status in judges.PROMISES and (one.done - one.at) / MS <= target[product[one.request]] / 4
            )
        took[one.request] = one.done - one.at  # of the last try, as they come in order
    in_time, again = rows["took"] <= target[product] * MS, early & (took <= target[product] * MS)
    return np.where(in_time, full, np.where(again, (full + less) / 2, less)) * good, full


def limits(orders):
    """What tenants may make by the time: [(from, {tenant: (per_s, burst)}, keys)] of acknowledged versions, in order."""
    found, newest = [], 0
    for order in sorted(
        (o for o in orders if o.call == "config.replace" and o.acked and o.valid), key=lambda o: o.acked
    ):
        if order.revision > newest:
            newest, configuration = order.revision, configuration_reader.read(order.body).unwrap()
            found.append(
                (
                    order.acked,
                    {name: (row.per_s, row.burst) for name, row in configuration.customers_by_name.items()},
                    frozenset(configuration.customers_by_key),
                )
            )
    return found


def owed(plan, rows, tries, orders, start):
    """Which requests are owed: allowed by the newest acknowledged version, and within the tenant's true store. Also the
    mask of those that had a limit."""
    first = {one.request: one for one in reversed(tries)}
    told, stores, now = limits(orders), {}, 0
    right, limited = np.zeros(len(rows), bool), np.zeros(len(rows), bool)
    for number, at in enumerate((rows["at"] + start).tolist()):
        while now + 1 < len(told) and told[now + 1][0] <= at:
            now += 1
        one = first.get(number)
        if one is None or not told:
            continue
        if one.tenant:
            if one.key.encode() not in told[now][2] and not plan.routes[rows["product"][number]].public:
                continue
            rate, burst = told[now][1].get(one.tenant, (0.0, 0.0))
            if rate:
                limited[number] = True
                store = stores.setdefault(one.tenant, TokenBucket(rate, max(1.0, burst + rate / 10)))
                store.updated_at, store.rate, store.burst = store.updated_at or start, rate, max(1.0, burst + rate / 10)
                if not store.take(1.0, at):
                    continue
        right[number] = True
    return right, limited


def weighed(rows, earned, worth, right, limited):
    """(earned, owed) of each request as they count. Which of a tenant's requests beyond its limit are served is the
    system's choice: so of a tenant with a limit what is owed in all is spread evenly over its requests, and it earns no more
    than that in all."""
    paid, due = earned * right, worth * right
    for tenant in np.unique(rows["account"][limited]):
        mine = limited & (rows["account"] == tenant)
        all_, most, got = worth[mine].sum(), due[mine].sum(), earned[mine].sum()
        due[mine] = worth[mine] * most / all_
        paid[mine] = earned[mine] * min(1.0, most / got) if got else 0.0
    return paid, due


def shares(rows, paid, due, length):
    """Share of the worth owed that was earned, by the bin of the intended moment; None where none was owed."""
    bins = (rows["at"] / (BIN * SEC)).astype(int)
    count = int(np.ceil(length / BIN))
    got, owed_ = np.bincount(bins, paid, count)[:count], np.bincount(bins, due, count)[:count]
    return [None if most <= 0 else round(min(1.0, part / most), 4) for part, most in zip(got.tolist(), owed_.tolist())]


def recoveries(share, faults, target=lambda row: row["target"]):
    """For each fault: the share before it, the least while it stood or within 10 s behind, and s from its start until the
    share was back (`CALM` bins of `WELL` of what it was); 0 where it never fell, None where it did not come back."""
    said, seen = [], set()
    for row in faults:
        if not row["on"] or row["number"] in seen:
            continue
        seen.add(row["number"])
        ended = max((r["at"] for r in faults if r["number"] == row["number"] and not r["on"]), default=row["at"])
        at = int(row["at"] / BIN)
        before = [v for v in share[max(0, at - int(5 / BIN)) : at] if v is not None]
        behind = share[at : int((ended + 10) / BIN) + 1]
        usual = sum(before) / len(before) if before else 1.0
        well = [v is None or v >= WELL * usual for v in behind]
        low = [k for k, good in enumerate(well) if not good]
        took = 0.0
        if low:
            back = next((k for k in range(low[0], len(well) - CALM + 1) if all(well[k : k + CALM])), None)
            took = None if back is None else round((at + back) * BIN - row["at"] + BIN, 2)
        said.append(
            {
                "fault": row["number"],
                "target": target(row),
                "kind": row["kind"],
                "at": row["at"],
                "lasted": round(ended - row["at"], 2),
                "before": round(usual, 3),
                "least": round(min((v for v in behind if v is not None), default=1.0), 3),
                "back_s": took,
            }
        )
    return said


def quotas(plan, seen, terms, start):
    """For each tenant with a limit: what ran against its limit at the run's start, over windows of QuotaWindow."""
    ran = defaultdict(list)
    for server in seen.servers:
        for run in server.runs:
            ran[run.customer].append(run.at - start)
    said, span = [], terms.quota_window / SEC
    for tenant in plan.tenants:
        if tenant.per_s:
            at = np.sort(np.array(ran[tenant.name], "i8"))
            rolling = those.rolling_overshoot(
                at, np.ones(len(at)), tenant.per_s, tenant.burst, plan.duration_s, window_s=span
            )
            allowance = tenant.per_s * plan.duration_s + tenant.burst
            said.append(
                {
                    "account": tenant.name,
                    "units": len(at),
                    "allowance": allowance,
                    "used": round(len(at) / allowance, 3),
                    "overshoot_pct": max(rolling, default=0.0),
                    "rolling_pct": rolling,
                }
            )
    return said


def below(rows, steady, right, limited):
    """Requests refused that were owed: of tenants with a limit, as many as fewer were served than were owed."""
    refused = int((right & steady & ~limited & (rows["outcome"] == DECLINED)).sum())
    for tenant in np.unique(rows["account"][limited]):
        mine = limited & steady & (rows["account"] == tenant)
        short = int((mine & right).sum() - (rows["outcome"][mine] == SETTLED).sum())
        refused += max(0, min(short, int((rows["outcome"][mine] == DECLINED).sum())))
    return refused


def lagging(behind, plan):
    """Why latencies and worth may not be reported, or nothing. The verdict on the rules stands in any case."""
    if behind["p99"] <= plan.most_lag_ms:
        return ""
    return (
        f"the load lagged behind its schedule by {behind['p99']:g} ms at p99, more than most_lag_ms "
        f"{plan.most_lag_ms:g}: latencies and worth tell of the tool. Ask for lower rates, or a quieter machine"
    )


def summarize(world, crowd):
    plan, rows, seen, terms = world.plan, crowd.rows, world.seen, world.terms
    behind = those.lag(rows, plan)
    right, limited = owed(plan, rows, crowd.tries, seen.orders, crowd.start)
    paid, due = weighed(rows, *worths(plan, rows, crowd.tries), right, limited)
    steady = rows["at"] >= plan.warmup_s * SEC
    faults = sorted(world.told, key=lambda row: row["at"])
    share = shares(rows, paid, due, plan.duration_s)
    found = judges.judge(seen, terms)
    done = rows[steady & (rows["outcome"] == SETTLED)]
    statuses = Counter(one.status for one in crowd.tries)

    counts = sum((box.counts for box in world.fleet.servers.values()), Counter())

    def worth(mask):
        got, most = float(paid[mask].sum()), float(due[mask].sum())
        return {"earned": round(got, 2), "owed": round(most, 2), "share": round(got / most, 4) if most else 1.0}

    def part(mask):
        some = rows[mask]
        return {
            "offered": int(mask.sum()),
            **those.count_outcomes(some["outcome"]),
            "tries": int(some["tries"].sum()),
            "owed": int((mask & right).sum()),
            "worth": worth(mask),
            "latency_ms": those.latency(some["took"][some["outcome"] == SETTLED]),
        }

    return {
        "name": plan.name,
        "variant": world.variant,
        "seed": world.seed,
        "emulated": True,
        "nodes": len(world.nodes),
        "seconds": plan.duration_s,
        "lag_ms": behind,
        "offered": int(steady.sum()),
        **those.count_outcomes(rows["outcome"][steady]),
        "worth": worth(steady),
        "refused_below_limit": below(rows, steady, right, limited),
        "refused": lagging(behind, plan),
        "unanswered": int((rows["outcome"] == LOST).sum()),
        "latency_ms": those.latency(done["took"]),
        "statuses": {str(key): n for key, n in sorted(statuses.items())},
        "routes": {route.name: part(steady & (rows["product"] == k)) for k, route in enumerate(plan.routes)},
        "tenants": {tenant.name: part(steady & (rows["account"] == k)) for k, tenant in enumerate(plan.tenants)},
        "accounts": (limited := quotas(plan, seen, terms, crowd.start)),
        "overshoot_pct": max((row["overshoot_pct"] for row in limited), default=0.0),
        "rules": judges.worded(found),
        "rules_broken": sorted(judges.broken(found)),
        "orders": [
            {
                "call": o.call,
                "version": o.revision,
                "zone": o.zone,
                "valid": o.valid,
                "at": round((o.sent - crowd.start) / SEC, 3),
                "refused": o.refused,
                "acked_ms": round((o.acked - o.sent) / MS, 1) if o.acked else None,
            }
            for o in seen.orders
        ],
        "series": {**those.per_second_series(rows, plan), "share": share, "share_every_s": BIN},
        "faults": faults,
        "recovery": recoveries(share, faults, lambda row: plan.faults[row["number"]].target),
        "usage": world.usage,
        "servers": {str(key): count for key, count in counts.items()},
        "platform": dict(world.platform.counts),
        "clients": dict(world.counts),
        "relay": dict(world.relay.counts) if world.relay else None,
    }


def text(said):
    """A few lines for a terminal."""
    worth, latency = said["worth"], said["latency_ms"]
    lines = [
        f"{said['name']}, {said['variant']}, seed {said['seed']} (emulated): worth {worth['share']:.3f} of "
        f"{worth['owed']:g}; {said['offered']} offered, {said['settled']} served, {said['declined']} refused "
        f"({said['refused_below_limit']} below a limit), {said['voided'] + said['lost'] + said['broken']} else; "
        f"p50 {latency.get('p50', 0):g}, p99 {latency.get('p99', 0):g} ms"
    ]
    lines += [
        f"  quota of {row['account']}: {row['units']} ran, {row['used']:.0%} of its allowance, "
        f"most over it in a window {row['overshoot_pct']:g} %"
        for row in said["accounts"]
    ]
    for row in said["recovery"]:
        took = row["back_s"]
        back = "did not come back" if took is None else f"back after {took:g} s" if took else "stood"
        lines.append(
            f"  {row['kind']} of {row['target']} at {row['at']:g} s: share {row['before']:.2f}, "
            f"least {row['least']:.2f}, {back}"
        )
    lines += [
        f"  {'' if rule in said['rules_broken'] else '(no breach) '}{rule}: {found['count']}, {found['first'][0]}"
        for rule, found in said["rules"].items()
    ]
    return "\n".join(lines + ([] if said["rules_broken"] else ["  no rule broken"]))


def speed(plan, way, rate, rounds):
    """One way at one rate, all rounds together; `rounds`: (rows, cores of each pilot)."""
    rows = np.concatenate([rows[rows["at"] >= plan.warmup_s * SEC] for rows, _ in rounds])
    done = rows[rows["outcome"] == SETTLED]
    cores = np.mean([cores for _, cores in rounds], axis=0).round(3).tolist()
    return {
        "way": way,
        "rate": rate,
        "offered": len(rows),
        "settled": len(done),
        "settled_per_s": round(len(done) / (plan.duration_s - plan.warmup_s) / len(rounds), 1),
        "latency_ms": those.latency(done["took"]),
        "lag_ms": those.lag(rows, plan),
        "cores": cores,
    }


def added(rows):
    """Each way's percentiles less those of the direct one at the same rate."""
    direct = {row["rate"]: row["latency_ms"] for row in rows if row["way"] == "direct"}
    for row in rows:
        base, mine = direct[row["rate"]], row["latency_ms"]
        row["added_ms"] = {q: round(mine[q] - base[q], 3) for q in ("p50", "p99") if q in mine and q in base}
    return rows


def speed_text(rows):
    lines = ["rate/s   way         served/s  p50 ms  p99 ms  added p50  added p99  lag p99  cores of the pilots in use"]
    for row in rows:
        latency, more = row["latency_ms"], row["added_ms"]
        cores = [c for c in row["cores"] if c >= 0.03] if row["way"] != "direct" else []
        lines.append(
            f"{row['rate']:6g}   {row['way']:10}  {row['settled_per_s']:8g}  {latency.get('p50', 0):6.2f}  "
            f"{latency.get('p99', 0):6.2f}  {more.get('p50', 0):9.2f}  {more.get('p99', 0):9.2f}  "
            f"{row['lag_ms']['p99']:7.2f}  "
            f"{', '.join(f'{c:.2f}' for c in cores) or '-'}"
            f"{'  (the tool lagged: no p99)' if row['lag_ms']['p99'] > LAGS else ''}"
        )
    return "\n".join(lines)
