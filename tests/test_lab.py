"""The laboratory: its models alone, and short experiments on loopback with scripted faults."""

import signal
import socket
from random import Random

import numpy as np
import pytest
from helper import experiment
from typer.testing import CliRunner

from rampfront.cli import app
from rampfront.lab import compare, faults, nodes, plots, report, schedule, tally
from rampfront.lab.emulator import parse_resp_array
from rampfront.lab.nodes import RunFailedError
from rampfront.lab.plan import InvalidPlanError, changed, merge_tables, parse_plan, read_plan
from rampfront.lab.run import Repeat
from rampfront.lab.server_model import SEC, Job, ServerModel

BASE = """
name = "t"
duration_s = 3.0
warmup_s = 0.5
[topology]
nodes = 1
[[topology.boxes]]
count = 3
latency = { mean_ms = 5.0 }
[[products]]
name = "fetch"
[[products]]
name = "ledger-entry"
effect = "once_only"
[[plans]]
name = "team"
rate = 1000.0
burst = 1000.0
[load]
most_lag_ms = 60.0
[[load.streams]]
name = "ordinary"
plan = "team"
rate = 80.0
accounts = 10
"""


def make_plan(more="", **parts):
    return changed(parse_plan(BASE + more), **parts)


def run_experiment(plan, tmp_path):
    return experiment(plan, tmp_path)[0]


# ---- the experiment file


@pytest.mark.parametrize(
    "old, new, message",
    [
        ("nodes = 1", 'nodes = "one"', "topology.nodes: Expected `int`, got `str`"),
        ("nodes = 1", "nods = 1", "topology: Object contains unknown field `nods`"),
        ("rate = 80.0", "rate = -1.0", "load.streams[0].rate: Expected `float` > 0.0"),
        ('plan = "team"\nrate', 'plan = "none"\nrate', "load.streams[0].plan: unknown plan 'none'"),
        ("warmup_s = 0.5", "warmup_s = 5.0", "warmup_s: 5 is not shorter than duration_s 3"),
        ('effect = "once_only"', 'effect = "twice"', "products[1].effect: Invalid enum value 'twice'"),
        ('name = "fetch"', 'name = "ledger-entry"', "products[1].name: 'ledger-entry' is taken already"),
        ("burst = 1000.0", "", "plans[0].burst: must be above 0 for a plan with a rate"),
        ("[load]", "[load", "not valid TOML"),
        ("", '[[faults]]\ntarget = "box:9"\nkind = "hang"\nat_s = 1.0', "faults[0].target: there is no 'box:9'"),
        (
            "",
            '[[faults]]\ntarget = "counter"\nkind = "hang"\nat_s = 1.0',
            "faults[0].kind: counter does not support 'hang'",
        ),
        ("", '[[faults]]\ntarget = "boxes"\nkind = "hang"\nat_s = [2.0, 1.0]', "faults[0].at_s: [low, high]"),
        ("", '[[faults]]\ntarget = "boxes"\nkind = "hang"\nat_s = 9.0', "faults[0].at_s: not before the end at 3 s"),
    ],
)
def test_a_faulty_file_is_named_by_key(old, new, message):
    text = BASE.replace(old, new, 1) if old else BASE + new
    with pytest.raises(InvalidPlanError) as error:
        parse_plan(text)
    assert message in str(error.value)


def test_settings_are_laid_over_key_by_key():
    assert merge_tables({"a": {"b": 1, "c": 2}, "d": 3}, {"a": {"c": 4}}) == {"a": {"b": 1, "c": 4}, "d": 3}


def test_same_seed_same_fault_timeline():
    plan = make_plan(
        '[[faults]]\ntarget = "box:any"\nkind = "slow"\nat_s = [0.5, 2.5]\nfor_s = [0.1, 0.4]\nsize = [2, 9]\n'
        '[[faults]]\ntarget = "boxes"\nkind = "hang"\nat_s = 1.0\nfor_s = 1.0\n'
    )
    first, second = faults.timeline(plan, 7), faults.timeline(plan, 7)
    assert first == second and first != faults.timeline(plan, 8)
    assert [e.at for e in first] == sorted(e.at for e in first) and len(first) == 2 + 2 * 3
    assert sum(e.on for e in first) == 4


# ---- the models


def test_a_box_queues_turns_away_warms_and_loses_its_work():
    group = make_plan().topology.boxes[0]
    group = type(group)(count=1, slots=1, queue=1, latency=group.latency, cold_share=0.25, warm_s=4.0)
    model, now = ServerModel(group, Random(1), 0, warm=False), 0
    first, second, third = Job(), Job(), Job()
    assert model.arrive(first, now) == [first] and first.completes_at == 20 * 10**6  # cold: a quarter of the full speed
    assert model.arrive(second, now) == [] and model.arrive(third, now) is None
    assert model.finish(first, 4 * SEC) == [second] and second.completes_at - 4 * SEC == 5 * 10**6  # warm
    assert model.crash(5 * SEC) == [second] and model.working == 0
    assert model.finish(second, 6 * SEC) == [] and model.working == 0  # its timer expires after the crash
    assert model.speed_share(5 * SEC) == 0.25 and model.arrive(Job(), 5 * SEC)[0].completes_at == 5 * SEC + 20 * 10**6


def test_the_counter_forgets_names_and_turns_calls_away():
    store = tally.CounterStore()
    assert [store.add(b"n", 2.5, SEC, t) for t in (0, SEC - 1)] == [2.5, 5.0]
    assert store.add(b"n", 1.0, SEC, 2 * SEC) == 1.0
    queue = tally.RateLimitedQueue(10.0, 150.0)
    assert [queue.take(0) for _ in range(4)] == [SEC / 10, SEC / 5, None, None]
    assert parse_resp_array(b"*2\r\n$4\r\nPING\r\n$1\r\nx\r\n*1\r\n$", 0) == ([b"PING", b"x"], 21)
    assert parse_resp_array(b"*1\r\n$4\r\nPI", 0) == (None, 0)


def test_runs_tell_a_second_run_from_a_dropped_repeat():
    runs = tally.Executions()
    runs.record(tally.ONCE_ONLY, "a", None, 0, 0)
    assert runs.executed_more_than_once() == {}
    runs.record(tally.ONCE_ONLY, "a", None, 0, 1)
    assert runs.executed_more_than_once() == {"a": 2}
    assert [runs.record(tally.REFERENCED, "b", b"k", SEC, t) for t in (0, SEC // 2, 2 * SEC)] == [True, False, True]


def test_workers_share_an_open_loop_schedule():
    plan = make_plan(duration_s=50.0)
    whole, parts = schedule.arrivals(plan, 3), [schedule.arrivals(plan, 3, k, 4) for k in range(4)]
    assert abs(len(whole) - 4000) < 250 and abs(sum(map(len, parts)) - 4000) < 250
    assert (schedule.arrivals(plan, 3).at == whole.at).all() and (np.diff(whole.at) >= 0).all()
    assert len(set(parts[0].at.tolist()) & set(parts[1].at.tolist())) < 3


def test_clients_wait_as_told_or_by_their_own_schedule():
    retries = type(make_plan().load.streams[0].retries)(most=2, wait_ms=100.0, factor=3.0, jitter=0.0)
    assert [schedule.retry_wait(retries, tries, None, 0.5) for tries in (1, 2, 3)] == [0.1, pytest.approx(0.3), None]
    assert schedule.retry_wait(retries, 1, 2.0, 0.0) == 2.0
    stubborn = type(retries)(most=2, wait_ms=100.0, jitter=0.0, honours=False)
    assert schedule.retry_wait(stubborn, 1, 2.0, 0.0) == 0.1


def test_overshoot_is_what_was_let_in_beyond_the_allowance():
    plan = make_plan(duration_s=10.0)
    plan = changed(plan, plans=[type(plan.plans[0])(name="team", rate=2.0, burst=10.0)])
    admitted = np.array([(k * SEC // 4, 0, 1.0) for k in range(40)], [("at", "i8"), ("account", "i4"), ("units", "f8")])
    row = report.overshoot(admitted, plan, 10.0)[0]
    assert (row["units"], row["allowance"], row["overshoot_pct"]) == (40.0, 30.0, pytest.approx(33.333, abs=1e-3))
    assert row["beyond_store"] == 11  # the bucket holds 10, and 2 a second from the first transaction on
    assert report.overshoot_between(admitted, plan, "ordinary-0", 5, 10) == pytest.approx(100.0)


def sample_report(settled, p99, seed):
    return {
        "name": "x",
        "seed": seed,
        "settled_per_s": settled,
        "settled": settled,
        "offered": 100,
        "declined": 0,
        "voided": 0,
        "lost": 0,
        "products": {},
        "latency_ms": {"p50": 1.0, "p99": p99, "p999": p99},
        "overshoot_pct": 0.0,
        "once_only_twice": 0,
        "usage": {},
    }


def test_a_comparison_pairs_seeds_and_says_what_the_interval_allows(tmp_path):
    first = [sample_report(90 + k, 10.0 + k, k) for k in range(4)]
    second = [sample_report(95 + k, 10.0 + (5 if k % 2 else -5), k) for k in range(4)]
    comparison = compare.compare_reports(first, second)
    rows = {row["figure"]: row for row in comparison["rows"]}
    assert rows["settled a second"]["difference"] == 5.0 and rows["settled a second"]["verdict"] == "better"
    assert rows["p99 ms"]["verdict"] == "no difference shown" and rows["p99 ms"]["half"] > 5
    assert compare.compare_reports(first[:1], second[:1])["rows"][0]["verdict"] == "one repeat, no interval"
    assert plots.comparison(comparison, tmp_path / "c.png").stat().st_size > 5000
    with pytest.raises(RunFailedError, match="no seed"):
        compare.compare_reports(first[:1], second[1:])


# ---- experiments on loopback


@pytest.mark.slow(7)
def test_a_box_that_never_answers_leaves_no_txn_without_its_answer(tmp_path):
    plan = make_plan('[[faults]]\ntarget = "box:0"\nkind = "hang"\nat_s = 0.8\nfor_s = 1.5\n')
    summary = run_experiment(plan, tmp_path)
    assert summary["emulator"]["boxes"]["box-0"]["hung"] > 0  # the fault was active
    assert summary["unanswered"] == 0 and summary["broken"] == 0 and summary["once_only_twice"] == 0
    assert (
        summary["settled"] > 0.7 * summary["offered"] and summary["voided"] > 0
    )  # once-only transactions at the hung server
    assert plots.timeline(summary, tmp_path / "t.png").stat().st_size > 5000


@pytest.mark.slow(6)
def test_a_once_only_txn_on_a_stale_connection_is_not_sent_again(tmp_path):
    plan = make_plan('[[faults]]\ntarget = "boxes"\nkind = "drop_idle"\nat_s = 0.2\nsize = 0.05\n')
    stream = plan.load.streams[0]
    stream = type(stream)(name="o", plan="team", rate=40.0, products={"ledger-entry": 1.0})
    summary = run_experiment(changed(plan, load=type(plan.load)(streams=[stream], most_lag_ms=60.0)), tmp_path)
    servers = summary["emulator"]["boxes"].values()
    dropped = sum(server["dropped_used"] for server in servers)
    assert dropped > 3  # transactions were written to connections that the server had silently forgotten
    assert summary["once_only_twice"] == 0 and summary["unanswered"] == 0
    assert summary["emulator"]["once_only"]["runs"] == sum(server["answered"] for server in servers)
    assert summary["node_totals"][0]["resent"] == 0 and summary["node_totals"][0]["broken"] >= dropped


@pytest.mark.slow(6)
def test_a_counter_that_starts_again_and_a_split_are_carried_out(tmp_path):
    plan = make_plan(
        '[[faults]]\ntarget = "counter"\nkind = "restart"\nat_s = 1.0\n'
        '[[faults]]\ntarget = "counter"\nkind = "split"\nat_s = 1.5\nfor_s = 0.7\n'
    )
    plan = changed(
        plan,
        plans=[type(plan.plans[0])(name="team", rate=10.0, burst=4.0)],
        topology=type(plan.topology)(nodes=2, boxes=plan.topology.boxes),
    )
    summary = run_experiment(plan, tmp_path)
    assert [(row["kind"], row["on"]) for row in summary["faults"]] == [
        ("restart", True),
        ("split", True),
        ("split", False),
    ]
    assert all(row["late_ms"] < 100 for row in summary["faults"])
    assert summary["unanswered"] == 0 and summary["emulator"]["counter"]["calls"] > 10
    assert all(totals["counter_connects"] >= 2 for totals in summary["node_totals"])  # reset by the restart


def test_no_two_nodes_get_one_port():
    """Guards against one port for two nodes: the first node may not have bound its port when the second one's is
    drawn."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    assert nodes.free_port(low=port, high=port + 1) == port
    with pytest.raises(RunFailedError, match=f"no port between {port} and {port + 1}"):
        nodes.free_port(low=port, high=port + 1)


@pytest.mark.slow(5)
def test_a_node_that_ended_by_itself_fails_the_run(tmp_path, monkeypatch):
    """Guards against reports without a node's totals. The second node gets the first one's port, cannot listen and
    ends; the first node answers its requests, so the load alone does not show it."""
    port = nodes.free_port()
    monkeypatch.setattr(nodes, "free_port", lambda: port)
    plan = make_plan(duration_s=1.0)
    plan = changed(plan, topology=type(plan.topology)(nodes=2, boxes=plan.topology.boxes))
    with pytest.raises(
        RunFailedError, match=r"(?s)node \d (ended by itself with status 1|did not become).*cannot listen"
    ):
        Repeat(plan, plan.seed, tmp_path).play()


def test_a_node_whose_process_does_not_listen_is_not_ready(tmp_path):
    """Another process answers at its address, as while a node on a busy machine has not tried to listen yet."""
    addresses = {"discovery": "127.0.0.1:1", "boxes": [], "counter": ["127.0.0.1:1"]}
    first = nodes.Node(make_plan(), 0, addresses, 1, tmp_path)
    second = nodes.Node(make_plan(), 1, {**addresses, "counter": 2 * addresses["counter"]}, 1, tmp_path)
    first.listen = second.listen
    first.configuration["listen"] = second.listen
    address = {"uid": "s0", "endpoint": "127.0.0.1:1", "state": "in_service", "boot_ms": 0}
    first.configuration["known"] = second.configuration["known"] = {"rev": 1, "all": True, "targets": [address]}
    try:
        first.start().wait_until_ready()
        second.start().process.send_signal(signal.SIGSTOP)
        with pytest.raises(RunFailedError, match="node 1 did not become ready"):
            second.wait_until_ready(timeout_s=0.5)
    finally:
        first.end()
        second.end()


@pytest.mark.slow(6)
def test_a_crash_a_drain_and_a_killed_node(tmp_path):
    plan = make_plan(
        '[[faults]]\ntarget = "box:0"\nkind = "crash"\nat_s = 0.8\nfor_s = 0.8\n'
        '[[faults]]\ntarget = "box:1"\nkind = "drain"\nat_s = 0.5\n'
        '[[faults]]\ntarget = "node:0"\nkind = "kill"\nat_s = 1.2\nfor_s = 0.3\n'
    )
    plan = changed(
        plan,
        topology=type(plan.topology)(
            nodes=2, boxes=plan.topology.boxes, discovery=type(plan.topology.discovery)(notice_s=0.1)
        ),
    )
    summary = run_experiment(plan, tmp_path)
    drained = summary["emulator"]["boxes"]["box-1"]
    assert drained["state"] == "terminating" and (drained["last_drained_arrival_ms"] or 0) < 200
    assert summary["once_only_twice"] == 0 and summary["broken"] > 0 and summary["settled"] > 0.5 * summary["offered"]
    assert summary["emulator"]["boxes"]["box-0"]["arrived"] > 0


@pytest.mark.slow(7)
def test_latency_runs_from_the_intended_send(tmp_path):
    """Guards against coordinated omission: at a server that is slower than the rate, latency includes the whole queue.
    The clients connect directly to the server."""
    plan = make_plan(warmup_s=0.0)
    servers = [
        type(plan.topology.boxes[0])(
            count=1, slots=1, queue=500, latency=type(plan.topology.boxes[0].latency)(mean_ms=20.0)
        )
    ]
    plan = changed(
        plan,
        topology=type(plan.topology)(nodes=0, boxes=servers),
        duration_s=2.0,
        products=[type(plan.products[0])(name="fetch", expiry_ms=20000.0)],
    )
    summary = run_experiment(plan, tmp_path)
    assert (
        summary["settled"] == summary["offered"] and summary["latency_ms"]["p99"] > 600
    )  # 80 a second at a capacity of 50


@pytest.mark.slow(5)
def test_a_run_whose_tool_lagged_is_refused(tmp_path):
    plan = make_plan(duration_s=1.0)
    plan = changed(plan, load=type(plan.load)(streams=plan.load.streams, most_lag_ms=0.001))
    folder = Repeat(plan, 1, tmp_path / "run").play()
    with pytest.raises(report.RunRefusedError, match="most_lag_ms 0.001"):
        report.summarize(folder)
    assert CliRunner().invoke(app, ["report", "show", str(folder)]).exit_code == 3


def test_the_command_line_says_what_is_wrong(tmp_path):
    bad = tmp_path / "bad.toml"
    bad.write_text(BASE.replace("nodes = 1", "nods = 1"))
    run = CliRunner().invoke(app, ["lab", "check", str(bad)])
    assert run.exit_code == 2 and "bad.toml: topology: Object contains unknown field `nods`" in run.output
    assert CliRunner().invoke(app, ["report", "show", str(tmp_path)]).exit_code == 1
    assert CliRunner().invoke(app, ["lab", "check", str(tmp_path / "none.toml")]).exit_code == 2


def test_a_file_is_laid_over_the_one_it_extends(tmp_path):
    (tmp_path / "base.toml").write_text(BASE)
    (tmp_path / "more.toml").write_text('extends = "base.toml"\nseed = 9\n[topology]\nnodes = 2\n')
    plan = read_plan(tmp_path / "more.toml")
    assert (plan.seed, plan.topology.nodes, plan.topology.boxes[0].count) == (9, 2, 3)
    (tmp_path / "ring.toml").write_text('extends = "ring.toml"\n')
    with pytest.raises(InvalidPlanError, match="four deep"):
        read_plan(tmp_path / "ring.toml")
