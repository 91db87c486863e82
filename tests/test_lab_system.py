"""The laboratory of the whole system: its schedule, its judge and its report alone; one short run, slow by what it starts."""

import json
from copy import deepcopy
from random import Random
from types import SimpleNamespace

import numpy as np
import pytest
from typer.testing import CliRunner

from rampfront.cli import app
from rampfront.consensus.record_store import RecordStore
from rampfront.lab.client import DECLINED, ROW, SETTLED
from rampfront.lab.plan import InvalidPlanError
from rampfront.lab.simulated_servers import ExecutedRequest, ServerProfile, expected_response
from rampfront.lab.system import machine, report, run, schedule
from rampfront.lab.system import plan as plans
from rampfront.lab.system.judge import Ordered, Seen, Server, Try, broken, digest, judge
from rampfront.lab.system.relay import Relay

MS, SEC = 10**6, 10**9
PLAN = {
    "name": "t",
    "duration_s": 6.0,
    "warmup_s": 1.0,
    "zones": {"north-a": "north", "south-a": "south"},
    "pilots": [{"zone": "north-a", "count": 2}, {"zone": "south-a", "disks": 0}],
    "services": [
        {"name": "reads", "servers": {"north-a": 1, "south-a": 1}},
        {"name": "orders", "servers": {"north-a": 1}},
    ],
    "routes": [{"name": "read", "service": "reads"}, {"name": "order", "kind": "changing", "service": "orders"}],
    "tenants": [{"name": "acme", "per_s": 10, "burst": 10}, {"name": "hot"}],
    "streams": [{"name": "views", "route": "read", "rate": 30.0}, {"name": "buys", "route": "order", "rate": 10.0}],
}


def plan(**more):
    return plans.parse({**deepcopy(PLAN), **more})


@pytest.mark.parametrize(
    "more, said",
    [
        ({"pilots": [{"zone": "west"}]}, "pilots[0].zone: unknown 'west'"),
        ({"pilots": [{"zone": "north-a", "disks": 0}]}, "none has a disk"),
        ({"streams": [{"name": "s", "route": "none", "rate": 1.0}]}, "streams[0].route: unknown 'none'"),
        ({"routes": [{"name": "read"}]}, "routes[0].service: should stand there"),
        ({"orders": [{"kind": "empty", "at_s": 1}]}, "orders[0].zone: unknown ''"),
        ({"faults": [{"target": "node:3", "kind": "kill", "at_s": 1}]}, "faults[0].target: 'node:3' is no node:K"),
        ({"faults": [{"target": "server:any", "kind": "freeze", "at_s": 1}]}, "knows no 'freeze'"),
        ({"guarantees": {"QuotaWindow": "soon"}}, "guarantees: "),
        ({"base": "127.0.0.300"}, "base: "),
        ({"variants": ["clever"]}, "variants[0]: Invalid enum value 'clever'"),
    ],
)
def test_a_faulty_experiment_is_named_by_its_key(more, said):
    with pytest.raises(InvalidPlanError) as trouble:
        plan(**more)
    assert said in str(trouble.value)


def test_one_seed_gives_one_schedule_and_orders_heap_up():
    told = plan(
        faults=[{"target": "core", "kind": "kill", "at_s": [1, 3], "for_s": 1}],
        orders=[
            {"kind": "replace", "at_s": 2, "limits": {"acme": [5, 5]}},
            {"kind": "invalid", "at_s": 2.5},
            {"kind": "race", "at_s": 3, "revoke": ["hot"]},
            {"kind": "empty", "at_s": 1, "zone": "south-a"},
        ],
    )
    assert all(
        (a == b).all()
        for a, b in zip(
            *(
                [getattr(schedule.arrivals(told, 3), name) for name in ("at", "stream", "tenant", "zone")]
                for _ in range(2)
            )
        )
    )
    assert schedule.faults(told, 3) == schedule.faults(told, 3) != schedule.faults(told, 4)
    steps = schedule.orders(told)
    assert [(s.call, s.revision, s.valid, s.node) for s in steps] == [
        ("empty.start", 0, True, 0),
        ("config.replace", 3, True, 0),
        ("config.replace", 5, False, 0),
        ("config.replace", 7, True, 0),
        ("config.replace", 8, True, 1),
    ]
    last = json.loads(steps[-1].body)["Customers"]
    assert last[0]["PerS"] == 5 and last[1]["ApiKeys"] == ["key-hot-2"]  # both changes hold


# ---- the judge

READS, ORDERS = ServerProfile("reads", body_bytes=32), ServerProfile("orders", body_bytes=32)


def scene():
    """A good try on each route, the second one at 10 s; a test spoils it."""
    told, seen = plan(), Seen(end=60 * SEC)
    body = json.dumps(plans.configuration(told, 1)).encode()
    seen.orders = [Ordered("config.replace", 0, 1, body, acked=1 * SEC)]
    seen.read_back = body
    seen.servers = [Server("i-1", READS, "north-a", [], []), Server("i-2", ORDERS, "south-a", [], [])]
    add(seen, "t1", "read", 9 * SEC)
    add(seen, "t2", "order", 10 * SEC)
    return seen


def add(seen, uid, route, at, tenant="acme", key="key-acme-1", server=None):
    kind = "read_only" if route == "read" else "changing"
    one = Try(
        uid,
        0,
        at,
        plans.HOST,
        f"/{route}/1",
        "GET" if route == "read" else "POST",
        kind,
        route,
        tenant,
        key,
        b"",
        "127.0.0.11",
        at + 30 * MS,
        200,
        uid.encode(),
    )
    server = server or seen.servers[route == "order"]
    ran(server, one, at + 10 * MS)
    one.answer, one.seal = expected_response(server.uid, server.make, uid.encode(), b"")
    seen.tries.append(one)
    return one


def ran(server, one, at, **other):
    server.arrivals.append((at, one.id))
    server.runs.append(
        ExecutedRequest(
            **{
                "at": at,
                "try_id": one.id,
                "method": one.method,
                "url": one.path,
                "customer": one.tenant,
                "body": digest(one.body),
                **other,
            }
        )
    )


def verdict(seen, **more):
    return judge(seen, plans.terms(plan(**more)))


def change(seen, revision, acked, **changes):
    body = json.dumps(plans.configuration(plan(), revision, **changes)).encode()
    seen.orders.append(Ordered("config.replace", acked - SEC // 10, revision, body, acked=acked))
    seen.read_back = body
    return body


def twice(seen):
    ran(seen.servers[1], seen.tries[1], 11 * SEC)


def refused(seen):
    seen.tries[1].status = 503


def cut_short(seen):
    seen.tries[0].answer = seen.tries[0].answer[:8]


def anothers(seen):
    seen.tries[0].tag = b"t2"


def unsent(seen):
    ran(seen.servers[0], Try("t9", 0, 0, "", "/read/1", "GET", "read_only", "read", "", "", b""), 9 * SEC)


def other_tenant(seen):
    ran(seen.servers[0], seen.tries[0], 9 * SEC, customer="hot")


def other_body(seen):
    ran(seen.servers[0], seen.tries[0], 9 * SEC, body=b"other")


def other_service(seen):
    add(seen, "t3", "read", 9 * SEC, server=seen.servers[1])


def old_route(seen):
    change(seen, 2, 5 * SEC, moved={"read": "orders"})


def revoked(seen):
    change(seen, 2, 3 * SEC, revoked={"acme"})
    seen.troubles = [(0, 60 * SEC)]  # binds machines out of touch too


def old_read_back(seen):
    kept = seen.read_back
    change(seen, 2, 20 * SEC)
    seen.read_back = kept


def invalid_taken(seen):
    seen.orders.append(Ordered("config.replace", 0, 5, b"{}", valid=False, acked=SEC))


def flood(seen):
    for k in range(90):  # 5 s at 10, burst 10, a tenth and 20 more: 86
        add(seen, f"q{k}", "read", 20 * SEC + k * 50 * MS)


def repeats(seen):
    for k in range(60):
        seen.servers[0].arrivals.append((9 * SEC + k, "t1"))


def stampede(seen):
    seen.servers[0].most_cold = 9


def evacuated(seen):
    seen.orders.append(Ordered("empty.start", 0, zone="south-a", acked=2 * SEC))


def emptied(seen):
    seen.servers[0].emptied = 2 * SEC


def denied(seen):
    seen.tries[0].status = 404


def left_badly(seen):
    seen.tries[0].status, seen.tries[0].why = 0, "the connection ended"
    seen.stopped = [("127.0.0.11", 9 * SEC)]


def never_back(seen):
    seen.troubles, seen.lost_all = [(10 * SEC + 1, 12 * SEC)], 12 * SEC
    add(seen, "t7", "read", 40 * SEC).status = 503


@pytest.mark.parametrize(
    "spoil, rule",
    [
        (None, None),
        (twice, "TWICE"),
        (refused, "REFUSED"),
        (cut_short, "MIXED"),
        (anothers, "MIXED"),
        (unsent, "UNASKED"),
        (other_tenant, "UNASKED"),
        (other_body, "UNASKED"),
        (other_service, "ROUTE"),
        (old_route, "CONFIG"),
        (revoked, "CONFIG"),
        (old_read_back, "CONFIG"),
        (invalid_taken, "CONFIG"),
        (flood, "QUOTA"),
        (repeats, "BUDGET"),
        (stampede, "FAILBACK"),
        (evacuated, "EVAC"),
        (emptied, "DRAIN"),
        (denied, "DENIED"),
        (left_badly, "LOST"),
        (never_back, "RECOVER"),
    ],
)
def test_the_judge_finds_each_breach_and_nothing_else(spoil, rule):
    seen = scene()
    if spoil:
        spoil(seen)
    assert list(broken(verdict(seen))) == ([rule] if rule else [])


@pytest.mark.parametrize("spoil", [old_route, evacuated, emptied, denied])
def test_rules_bound_by_time_bind_machines_in_touch_alone(spoil):
    seen = scene()
    spoil(seen)
    seen.troubles = [(1 * SEC, 11 * SEC)]
    found = verdict(seen)
    assert found and not broken(found)


def test_a_quota_counts_what_is_both_sent_and_run_in_the_window():
    seen = scene()
    flood(seen)
    seen.servers[0].runs = [run for run in seen.servers[0].runs if run.try_id[0] != "q" or int(run.try_id[1:]) % 2]
    for k in range(0, 90, 2):  # half of them run long behind
        ran(seen.servers[0], next(one for one in seen.tries if one.id == f"q{k}"), 40 * SEC + k)
    assert "QUOTA" not in verdict(seen)


# ---- the report


def test_recovery_is_measured_from_a_fault_to_the_share_that_stays():
    share = [1.0] * 10 + [0.2, 0.95, 0.5, 0.95, 1.0, 1.0] + [1.0] * 30
    faults = [
        {"number": 0, "on": on, "at": at, "target": "node:1", "kind": "kill"} for on, at in ((True, 5.0), (False, 6.0))
    ]
    (said,) = report.recoveries(share, faults)
    assert (said["before"], said["least"], said["back_s"]) == (1.0, 0.2, 2.0)
    (said,) = report.recoveries(share[:10] + [0.1] * 30, faults)
    assert said["back_s"] is None


def test_a_tenant_earns_no_more_than_its_limit_whichever_requests_are_served():
    rows = np.zeros(4, ROW)
    rows["outcome"] = [SETTLED, DECLINED, SETTLED, SETTLED]
    worth, limited = np.ones(4), np.array([True] * 4)
    paid, due = report.weighed(
        rows, (rows["outcome"] == SETTLED) * 1.0, worth, np.array([True, True, False, False]), limited
    )
    assert paid.sum() == due.sum() == 2.0
    assert report.below(rows, limited, np.array([True, True, False, False]), limited) == 0


# ---- what the laboratory's own machines swap


@pytest.mark.parametrize("part, let", [(1.0, 10), (0.25, 2)])
def test_pilots_apart_keep_their_part_of_a_quota(part, let):
    limiter = machine.Apart(part, "n1", Random(1))
    limiter.set_quotas({"acme": SimpleNamespace(per_s=10.0, burst=10.0)}, 0)
    assert [limiter.take("acme", 0) for _ in range(20)].count(None) == let
    assert 0 < limiter.take("acme", 0) <= machine.LONGEST and limiter.due_update(SEC) is None
    limiter.refund("acme", 0)
    assert limiter.take("acme", 0) is None and limiter.take("nobody", 0) is None


def test_a_disk_in_trouble_refuses_and_keeps_the_last_record(tmp_path):
    book, told = RecordStore(tmp_path), tmp_path / "told"
    book.files = machine.FaultyDisk(told)
    book.save(b"one")
    told.write_text("full")
    with pytest.raises(OSError, match="no space"):
        book.save(b"two")
    assert RecordStore(tmp_path).load() == b"one"
    told.unlink()
    book.save(b"three")
    assert RecordStore(tmp_path).load() == b"three"


def test_a_cut_is_between_sides_and_each_ends_by_itself():
    relay = Relay(None, ["a", "b", "c"], 1, 2)
    relay.cuts = {0: {"a"}, 1: {"a", "b"}}
    assert relay.cut("a", "b") and relay.cut("b", "c") and not relay.cut("c", "c")
    del relay.cuts[0]
    assert relay.passes("a", "b") and not relay.passes("a", "c")


# ---- the whole, once


@pytest.mark.slow(12)
def test_a_short_run_with_a_cut_a_kill_and_orders_keeps_every_rule(tmp_path):
    told = plan(
        most_lag_ms=5000.0,
        base="127.0.0.71",
        faults=[
            {"target": "node:2", "kind": "cut", "at_s": 1.5, "for_s": 1.0},
            {"target": "node:2", "kind": "kill", "at_s": 3.0},
            {"target": "service:orders", "kind": "late", "at_s": 1.0, "for_s": 3.0, "size": 0.5},
        ],
        orders=[{"kind": "replace", "at_s": 2.0, "move": {"read": "orders"}}, {"kind": "invalid", "at_s": 2.5}],
    )
    said = run.play(told, "system", 1, tmp_path / "run")
    assert said["rules_broken"] == [] and said["settled"] > 0.6 * said["offered"]
    assert said["relay"]["cut"] > 0 and said["relay"]["datagrams"] > 0 and said["servers"]["late"] > 0
    assert [(o["version"], o["acked_ms"] is not None) for o in said["orders"]] == [(1, True), (3, True), (5, False)]
    assert [row["kind"] for row in said["faults"] if row["on"]] == ["late", "cut", "kill"]


def test_the_command_names_a_faulty_file(tmp_path):
    path = tmp_path / "x.toml"
    path.write_text('name = "x"\nzones = { a = "b" }\n')
    told = CliRunner().invoke(app, ["lab", "system", "check", str(path)])
    assert told.exit_code == 2
