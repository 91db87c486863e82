"""The laboratory of the whole system: its schedule, judge and report by themselves, and one short run.

The run is slow, as it starts real processes.
"""

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
from rampfront.lab.system.judge import Observations, SentOrder, Server, Try, breaches, digest, judge
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
    "more, message",
    [
        ({"pilots": [{"zone": "west"}]}, "pilots[0].zone: unknown 'west'"),
        ({"pilots": [{"zone": "north-a", "disks": 0}]}, "none has a disk"),
        ({"streams": [{"name": "s", "route": "none", "rate": 1.0}]}, "streams[0].route: unknown 'none'"),
        ({"routes": [{"name": "read"}]}, "routes[0].service: either service or shares must be set"),
        ({"orders": [{"kind": "empty", "at_s": 1}]}, "orders[0].zone: unknown ''"),
        (
            {"faults": [{"target": "node:3", "kind": "kill", "at_s": 1}]},
            "faults[0].target: 'node:3' is not one of node:K",
        ),
        ({"faults": [{"target": "server:any", "kind": "freeze", "at_s": 1}]}, "'freeze' is not a fault of server:any"),
        ({"guarantees": {"QuotaWindow": "soon"}}, "guarantees: "),
        ({"base": "127.0.0.300"}, "base: "),
        ({"variants": ["clever"]}, "variants[0]: Invalid enum value 'clever'"),
    ],
)
def test_a_faulty_experiment_is_named_by_its_key(more, message):
    with pytest.raises(InvalidPlanError) as error:
        plan(**more)
    assert message in str(error.value)


def test_one_seed_gives_one_schedule_and_orders_heap_up():
    experiment = plan(
        faults=[{"target": "core", "kind": "kill", "at_s": [1, 3], "for_s": 1}],
        orders=[
            {"kind": "replace", "at_s": 2, "limits": {"acme": [5, 5]}},
            {"kind": "invalid", "at_s": 2.5},
            {"kind": "race", "at_s": 3, "revoke": ["hot"]},
            {"kind": "empty", "at_s": 1, "zone": "south-a"},
        ],
    )
    assert all(
        (first == second).all()
        for first, second in zip(
            *(
                [getattr(schedule.arrivals(experiment, 3), name) for name in ("at", "stream", "tenant", "zone")]
                for _ in range(2)
            )
        )
    )
    assert (
        schedule.fault_events(experiment, 3)
        == schedule.fault_events(experiment, 3)
        != schedule.fault_events(experiment, 4)
    )
    steps = schedule.order_steps(experiment)
    assert [(step.call, step.revision, step.valid, step.node) for step in steps] == [
        ("empty.start", 0, True, 0),
        ("config.replace", 3, True, 0),
        ("config.replace", 5, False, 0),
        ("config.replace", 7, True, 0),
        ("config.replace", 8, True, 1),
    ]
    tenants = json.loads(steps[-1].body)["Customers"]
    assert tenants[0]["PerS"] == 5 and tenants[1]["ApiKeys"] == ["key-hot-2"]  # both changes are in force


# ---- the judge

READS, ORDERS = ServerProfile("reads", body_bytes=32), ServerProfile("orders", body_bytes=32)


def scene():
    """A correct try on each route, the second one at 10 s; a test changes the scene."""
    experiment, observed = plan(), Observations(end=60 * SEC)
    body = json.dumps(plans.configuration(experiment, 1)).encode()
    observed.orders = [SentOrder("config.replace", 0, 1, body, acked_at=1 * SEC)]
    observed.final_configuration = body
    observed.servers = [Server("i-1", READS, "north-a", [], []), Server("i-2", ORDERS, "south-a", [], [])]
    add(observed, "t1", "read", 9 * SEC)
    add(observed, "t2", "order", 10 * SEC)
    return observed


def add(observed, uid, route, at, tenant="acme", key="key-acme-1", server=None):
    kind = "read_only" if route == "read" else "changing"
    client_try = Try(
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
    server = server or observed.servers[route == "order"]
    ran(server, client_try, at + 10 * MS)
    client_try.answer, client_try.seal = expected_response(server.uid, server.make, uid.encode(), b"")
    observed.tries.append(client_try)
    return client_try


def ran(server, client_try, at, **changes):
    server.arrivals.append((at, client_try.id))
    server.runs.append(
        ExecutedRequest(
            **{
                "at": at,
                "try_id": client_try.id,
                "method": client_try.method,
                "url": client_try.path,
                "customer": client_try.tenant,
                "body": digest(client_try.body),
                **changes,
            }
        )
    )


def verdict(observed, **more):
    return judge(observed, plans.read_terms(plan(**more)))


def change(observed, revision, acked, **changes):
    body = json.dumps(plans.configuration(plan(), revision, **changes)).encode()
    observed.orders.append(SentOrder("config.replace", acked - SEC // 10, revision, body, acked_at=acked))
    observed.final_configuration = body
    return body


def twice(observed):
    ran(observed.servers[1], observed.tries[1], 11 * SEC)


def refused(observed):
    observed.tries[1].status = 503


def cut_short(observed):
    observed.tries[0].answer = observed.tries[0].answer[:8]


def anothers(observed):
    observed.tries[0].answered_id = b"t2"


def unsent(observed):
    ran(observed.servers[0], Try("t9", 0, 0, "", "/read/1", "GET", "read_only", "read", "", "", b""), 9 * SEC)


def other_tenant(observed):
    ran(observed.servers[0], observed.tries[0], 9 * SEC, customer="hot")


def other_body(observed):
    ran(observed.servers[0], observed.tries[0], 9 * SEC, body=b"other")


def other_service(observed):
    add(observed, "t3", "read", 9 * SEC, server=observed.servers[1])


def old_route(observed):
    change(observed, 2, 5 * SEC, moved={"read": "orders"})


def revoked(observed):
    change(observed, 2, 3 * SEC, revoked={"acme"})
    observed.fault_periods = [(0, 60 * SEC)]  # also applies to machines out of touch


def old_read_back(observed):
    former = observed.final_configuration
    change(observed, 2, 20 * SEC)
    observed.final_configuration = former


def invalid_taken(observed):
    observed.orders.append(SentOrder("config.replace", 0, 5, b"{}", valid=False, acked_at=SEC))


def flood(observed):
    for index in range(90):  # the limit is 86: 5 s at 10 and a burst of 10, a tenth more, and 20
        add(observed, f"q{index}", "read", 20 * SEC + index * 50 * MS)


def repeats(observed):
    for index in range(60):
        observed.servers[0].arrivals.append((9 * SEC + index, "t1"))


def stampede(observed):
    observed.servers[0].most_cold = 9


def evacuated(observed):
    observed.orders.append(SentOrder("empty.start", 0, zone="south-a", acked_at=2 * SEC))


def emptied(observed):
    observed.servers[0].draining_since = 2 * SEC


def denied(observed):
    observed.tries[0].status = 404


def left_badly(observed):
    observed.tries[0].status, observed.tries[0].error = 0, "the connection ended"
    observed.stops = [("127.0.0.11", 9 * SEC)]


def never_back(observed):
    observed.fault_periods, observed.all_restored_at = [(10 * SEC + 1, 12 * SEC)], 12 * SEC
    add(observed, "t7", "read", 40 * SEC).status = 503


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
    observed = scene()
    if spoil:
        spoil(observed)
    assert list(breaches(verdict(observed))) == ([rule] if rule else [])


@pytest.mark.parametrize("spoil", [old_route, evacuated, emptied, denied])
def test_rules_bound_by_time_bind_machines_in_touch_alone(spoil):
    observed = scene()
    spoil(observed)
    observed.fault_periods = [(1 * SEC, 11 * SEC)]
    findings = verdict(observed)
    assert findings and not breaches(findings)


def test_a_quota_counts_what_is_both_sent_and_run_in_the_window():
    observed = scene()
    flood(observed)
    observed.servers[0].runs = [
        run for run in observed.servers[0].runs if run.try_id[0] != "q" or int(run.try_id[1:]) % 2
    ]
    for index in range(0, 90, 2):  # half of them are executed much later
        ran(
            observed.servers[0],
            next(client_try for client_try in observed.tries if client_try.id == f"q{index}"),
            40 * SEC + index,
        )
    assert "QUOTA" not in verdict(observed)


# ---- the report


def test_recovery_is_measured_from_a_fault_to_the_share_that_stays():
    share = [1.0] * 10 + [0.2, 0.95, 0.5, 0.95, 1.0, 1.0] + [1.0] * 30
    faults = [
        {"number": 0, "on": on, "at": at, "target": "node:1", "kind": "kill"} for on, at in ((True, 5.0), (False, 6.0))
    ]
    (recovery,) = report.fault_recoveries(share, faults)
    assert (recovery["before"], recovery["least"], recovery["back_s"]) == (1.0, 0.2, 2.0)
    (recovery,) = report.fault_recoveries(share[:10] + [0.1] * 30, faults)
    assert recovery["back_s"] is None


def test_a_tenant_earns_no_more_than_its_limit_whichever_requests_are_served():
    rows = np.zeros(4, ROW)
    rows["outcome"] = [SETTLED, DECLINED, SETTLED, SETTLED]
    worth, limited = np.ones(4), np.array([True] * 4)
    paid, due = report.cap_by_quota(
        rows, (rows["outcome"] == SETTLED) * 1.0, worth, np.array([True, True, False, False]), limited
    )
    assert paid.sum() == due.sum() == 2.0
    assert report.refused_below_limit(rows, limited, np.array([True, True, False, False]), limited) == 0


# ---- the replaced parts of the laboratory's nodes


@pytest.mark.parametrize("share, allowed", [(1.0, 10), (0.25, 2)])
def test_pilots_apart_keep_their_part_of_a_quota(share, allowed):
    limiter = machine.LocalLimiter(share, "n1", Random(1))
    limiter.set_quotas({"acme": SimpleNamespace(per_s=10.0, burst=10.0)}, 0)
    assert [limiter.take("acme", 0) for _ in range(20)].count(None) == allowed
    assert 0 < limiter.take("acme", 0) <= machine.MAX_RETRY_WAIT_NS and limiter.due_update(SEC) is None
    limiter.refund("acme", 0)
    assert limiter.take("acme", 0) is None and limiter.take("nobody", 0) is None


def test_a_disk_in_trouble_refuses_and_keeps_the_last_record(tmp_path):
    store, command = RecordStore(tmp_path), tmp_path / "told"
    store.files = machine.FaultyDisk(command)
    store.save(b"one")
    command.write_text("full")
    with pytest.raises(OSError, match="no space"):
        store.save(b"two")
    assert RecordStore(tmp_path).load() == b"one"
    command.unlink()
    store.save(b"three")
    assert RecordStore(tmp_path).load() == b"three"


def test_a_cut_is_between_sides_and_each_ends_by_itself():
    relay = Relay(None, ["a", "b", "c"], 1, 2)
    relay.cuts = {0: {"a"}, 1: {"a", "b"}}
    assert relay.is_cut("a", "b") and relay.is_cut("b", "c") and not relay.is_cut("c", "c")
    del relay.cuts[0]
    assert relay.admits("a", "b") and not relay.admits("a", "c")


# ---- one run of the whole system


@pytest.mark.slow(12)
def test_a_short_run_with_a_cut_a_kill_and_orders_keeps_every_rule(tmp_path):
    experiment = plan(
        most_lag_ms=5000.0,
        base="127.0.0.71",
        faults=[
            {"target": "node:2", "kind": "cut", "at_s": 1.5, "for_s": 1.0},
            {"target": "node:2", "kind": "kill", "at_s": 3.0},
            {"target": "service:orders", "kind": "late", "at_s": 1.0, "for_s": 3.0, "size": 0.5},
        ],
        orders=[{"kind": "replace", "at_s": 2.0, "move": {"read": "orders"}}, {"kind": "invalid", "at_s": 2.5}],
    )
    summary = run.run_variant(experiment, "system", 1, tmp_path / "run")
    assert summary["rules_broken"] == [] and summary["settled"] > 0.6 * summary["offered"]
    assert summary["relay"]["cut"] > 0 and summary["relay"]["datagrams"] > 0 and summary["servers"]["late"] > 0
    assert [(order["version"], order["acked_ms"] is not None) for order in summary["orders"]] == [
        (1, True),
        (3, True),
        (5, False),
    ]
    assert [row["kind"] for row in summary["faults"] if row["on"]] == ["late", "cut", "kill"]


def test_the_command_names_a_faulty_file(tmp_path):
    path = tmp_path / "x.toml"
    path.write_text('name = "x"\nzones = { a = "b" }\n')
    result = CliRunner().invoke(app, ["lab", "system", "check", str(path)])
    assert result.exit_code == 2
