"""The scale run: its fit, its bounds, its hollow nodes against real ones on the fake clock, its tables."""

import asyncio
import json
from types import SimpleNamespace

import numpy as np
import pytest
from typer.testing import CliRunner

from rampfront.cli import app
from rampfront.lab.system import counts_cost, fleet_cost, scale_report, scale_run
from rampfront.lab.system import plan as plans
from rampfront.lab.system.configuration_cost import (
    ROWS,
    SHARDS,
    SharedTable,
    SharedTenants,
    read_change,
    read_slices,
    slices,
)
from rampfront.lab.system.hollow import CountsFrames, HollowNode, build_hollow_node
from rampfront.lab.system.request_cost import CASES, experiment
from rampfront.lab.system.scale_fit import TooFewSizesError, fit
from rampfront.lab.system.scale_plan import MOST_PROCESSES, Scale, ScaleError, check, configuration, server_entries
from rampfront.node.assembly import build_node_process
from rampfront.node.node_process import NodeProcess
from rampfront.settings import configuration_reader
from rampfront.settings.errors import FieldError
from rampfront.simulation import fleet as fleets
from rampfront.simulation.fleet import Asked

MS, SEC, GB = 10**6, 10**9, 1 << 30
NODES, CORE = 11, 4


def test_a_straight_line_is_found_with_its_spread():
    exact = fit([30, 100, 300], [10 + 2 * 30, 10 + 2 * 100, 10 + 2 * 300])
    assert (exact.base, exact.each) == pytest.approx((10, 2)) and exact.spread == pytest.approx(0, abs=1e-9)
    assert exact.at(460) == pytest.approx(930)
    assert exact.extrapolated(460) and exact.extrapolated(11) and not exact.extrapolated(82)
    sizes, figures = [30, 100, 300, 460], [71.0, 209.0, 612.0, 928.0]
    slope, (each, base) = fit(sizes, figures), np.polyfit(sizes, figures, 1)
    assert (slope.each, slope.base) == pytest.approx((each, base))
    left = np.asarray(figures) - np.polyval((each, base), sizes)
    assert slope.spread == pytest.approx(np.sqrt((left**2).sum() / 2))
    _, covariance = np.polyfit(sizes, figures, 1, cov=True)
    assert slope.each_error == pytest.approx(np.sqrt(covariance[0, 0]))


def test_two_sizes_make_no_slope():
    with pytest.raises(TooFewSizesError):
        fit([30, 100, 100], [1, 2, 3])


@pytest.mark.parametrize(
    "scale, memory, said",
    [
        (Scale(300, hollow=False), 64 * GB, f"301 processes would run, {MOST_PROCESSES} at most"),
        (Scale(460, tenants=32000, routes=2700), 8 * GB, "MB would be needed, 4096 MB at most"),
        (Scale(5), 64 * GB, "5 nodes: from 6 to"),
        (Scale(5000), 64 * GB, "5000 nodes: from 6 to"),
        (Scale(30, base="10.0.0.1"), 64 * GB, "not all of 127.0.0.0/8"),
        (Scale(300, base="127.255.255.0"), 64 * GB, "not all of 127.0.0.0/8"),
    ],
)
def test_a_run_past_its_bounds_is_refused(scale, memory, said):
    with pytest.raises(ScaleError) as trouble:
        check(scale, memory)
    assert said in str(trouble.value)


def test_the_sizes_asked_for_are_within_the_bounds():
    for nodes in (30, 100, 300, 460):
        check(Scale(nodes), 31 * GB)


def test_a_refused_run_starts_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(scale_run, "machine_memory", lambda: GB)
    monkeypatch.setattr(scale_run, "ScaleRun", lambda *about: pytest.fail("it was started"))
    found = CliRunner().invoke(app, ["lab", "scale", "-o", str(tmp_path / "out"), "--sizes", "300", "--real-sizes", ""])
    assert found.exit_code == 2 and "at most may be" in found.output and not (tmp_path / "out").exists()


def test_a_run_past_its_time_or_memory_stops(tmp_path):
    run = scale_run.ScaleRun(Scale(30), tmp_path, print, most_s=-1)
    with pytest.raises(scale_run.PartialRunError, match="its time is over"):
        run.check_bounds()
    run = scale_run.ScaleRun(Scale(30), tmp_path, print)
    run.check_bounds()
    run.memory_most = 1 << 20
    with pytest.raises(scale_run.PartialRunError, match="MB are held, 1 MB may be"):
        run.check_bounds()


def test_hollow_nodes_start_in_step_or_in_groups_behind_the_configuration(tmp_path, monkeypatch):
    def started(in_groups):
        run, seen = scale_run.ScaleRun(Scale(460, in_groups=in_groups), tmp_path, print), []
        run.children = {n: scale_run.Child(f"child-{n}", [], n >= 8) for n in range(16)}

        async def note(*about):
            seen.append(len(about[0]) if about else "replace")

        async def sleep(span):
            seen.append(span)

        run.start_nodes, run.replace = note, note
        monkeypatch.setattr(scale_run.asyncio, "sleep", sleep)
        asyncio.run(run.start_all())
        return seen

    assert started(False) == [16, "replace"]
    assert started(True) == [8, "replace"] + [scale_run.GROUP_S, scale_run.GROUP] * 4


def test_configuration_and_list_have_the_sizes_told():
    scale = Scale(30, routes=270, tenants=320, servers=260, services=13)
    read = configuration_reader.read(configuration(scale, 3)).unwrap()
    assert sum(len(book.routes) for book in read.hosts.values()) == 270
    assert (len(read.customers_by_name), len(read.services), read.revision) == (320, 13, 3)
    assert len(server_entries(scale)) == 260
    one, two = (json.loads(configuration(scale, revision)) for revision in (1, 2))
    assert one["Customers"] == two["Customers"] and one["Sockets"] != two["Sockets"]


# ---- hollow nodes against real ones, on the fake clock


class CountedFrames(CountsFrames, fleets.Frames):
    """The model's wire, counted."""


class SeededFleet(fleets.Fleet):
    """Draws of links and of nodes stand apart, so that one more draw of a node moves nobody else's."""

    def __init__(self, builder_of):
        super().__init__(seed=7, nodes=NODES, disks=CORE)
        self.loss = self.repeat = 0
        self.builder_of = builder_of
        self.watch = SimpleNamespace(join=lambda machine: None)

    def start(self, machine):
        fleets.build_node_process, kept = self.builder_of(machine), fleets.build_node_process
        try:
            super().start(machine)
        finally:
            fleets.build_node_process = kept


def play(monkeypatch, builder_of):
    """Starts, a configuration, a list, a zone emptied, a node killed and back; frames by kind of each node."""
    monkeypatch.setattr(fleets, "Frames", CountedFrames)
    fleet = SeededFleet(builder_of)
    for number, zone in enumerate(fleets.ZONES):
        fleet.serve("service-000", zone, False, (f"10.9.0.{number + 1}", 8080))
    for machine in fleet.machines:
        fleet.start(machine)
    fleet.run(4 * SEC)
    answers = []

    def order(call, query, body=b""):
        core = fleet.machines[0].control
        getattr(core, call)(Asked(query, body, lambda status, body=b"", *more, **_: answers.append(status) or True))
        fleet.run(fleet.now + 3 * SEC)

    order("replace_configuration", {}, configuration(Scale(NODES, routes=4, tenants=4, services=2)))
    order("start_evacuation", {"of": "b2"})
    fleet.run(fleet.now + 20 * SEC)
    assert answers == [200, 200]
    last = fleet.machines[-1]
    counted = {machine.name: machine.node_process.context.wire.frame_counts for machine in fleet.machines}
    fleet.stop(last)
    fleet.run(fleet.now + 4 * SEC)
    fleet.start(last)
    fleet.run(fleet.now + 4 * SEC)
    counted["again"] = last.node_process.context.wire.frame_counts
    states = {machine.name: machine.node_process for machine in fleet.machines}
    return counted, states


def test_a_hollow_node_sends_a_real_ones_messages(monkeypatch):
    real, real_nodes = play(monkeypatch, lambda machine: build_node_process)
    mixed, mixed_nodes = play(monkeypatch, lambda machine: build_node_process if machine.disk else build_hollow_node)
    names = [f"n{number}" for number in range(CORE + 1, NODES + 1)]

    def sums(counted, names, side):
        rows = [getattr(counted[name], side) for name in names]
        return {kind: np.sum([row.get(kind, (0, 0)) for row in rows], axis=0) for kind in set().union(*rows)}

    for some in (names, ["again"], [f"n{number}" for number in range(1, CORE + 1)]):
        for side in ("sent", "received"):
            one, two = sums(real, some, side), sums(mixed, some, side)
            assert one.keys() == two.keys()
            total = [sum(rows.values()) for rows in (one, two)]
            assert total[1] == pytest.approx(total[0], rel=0.1), (some, side, one, two)
    assert {type(node) for node in mixed_nodes.values()} == {NodeProcess, HollowNode}
    for name in names:
        one, two = real_nodes[name], mixed_nodes[name]
        assert two.disseminator.ready and not two.request_proxy.service_pools
        assert (
            one.replicated_state.state.revision,
            one.replicated_state.state.body,
            one.replicated_state.state.evacuated_zones,
        ) == (
            two.replicated_state.state.revision,
            two.replicated_state.state.body,
            two.replicated_state.state.evacuated_zones,
        )
        assert [row.id for row in one.request_proxy.servers.endpoints] == [
            row.id for row in two.request_proxy.servers.endpoints
        ]
        assert two.quota_exchange.limiter.tenants.keys() == one.quota_exchange.limiter.tenants.keys()


# ---- the trial of changes by rows


def told(rows):
    """Tenants by key or name, so that they compare."""
    return {
        key: (row.name, row.api_keys, row.priority, row.per_s, row.burst, row.home_regions) for key, row in rows.items()
    }


def all_of(table):
    return told({key: row for shard in table.shards for key, row in shard.items()})


def test_a_change_by_rows_gives_what_the_whole_gives():
    scale = Scale(30, routes=4, tenants=60, services=2)
    said = json.loads(configuration(scale))
    read = configuration_reader.read(json.dumps(said).encode()).unwrap()
    held = SharedTenants(SharedTable.of(read.customers_by_key), SharedTable.of(read.customers_by_name))
    said["Customers"][7]["ApiKeys"] = ["new-key", said["Customers"][7]["ApiKeys"][1]]
    whole = configuration_reader.read(json.dumps(said).encode()).unwrap()
    after = read_change(held, json.dumps([said["Customers"][7]]).encode())
    for shared, plain, old in (
        (after.by_key, whole.customers_by_key, held.by_key),
        (after.by_name, whole.customers_by_name, held.by_name),
    ):
        assert all_of(shared) == told(plain)
        assert (
            sum(one is two for one, two in zip(shared.shards, old.shards, strict=True)) >= SHARDS - 3
        )  # the key gone, the new one, the one that stays
    assert held.by_key.get(b"new-key") is None
    said["Customers"][8]["ApiKeys"] = ["new-key"]
    with pytest.raises(FieldError):
        read_change(after, json.dumps([said["Customers"][8]]).encode())


def test_slices_give_what_the_whole_gives():
    body = configuration(Scale(30, routes=4, tenants=3 * ROWS + 1, services=2))
    tables = SharedTenants(SharedTable.of({}), SharedTable.of({}))
    assert sum(1 for _ in read_slices(slices(body), tables)) == 4
    read = configuration_reader.read(body).unwrap()
    assert all_of(tables.by_key) == told(read.customers_by_key)


@pytest.mark.parametrize("case", CASES[:1] + CASES[3:5], ids=lambda case: case.name)
def test_a_case_of_request_cost_holds_what_it_says(case):
    told = experiment(case)
    assert len(plans.servers(told)) == case.servers and len(told.services) == case.services
    assert len(told.routes) == case.routes and told.routes[-1].name == told.streams[0].route


def test_costs_by_nodes_servers_and_tenants_are_of_the_parts_that_serve():
    assert fleet_cost.servers(60)["list: calls of the platform a round"] == 2
    assert (
        fleet_cost.directory(11)["roster, whole: bytes of its frame"]
        < fleet_cost.directory(82)["roster, whole: bytes of its frame"]
    )
    made = counts_cost.bench(5)
    assert made.add("node-1")["t"][0][0] == "tenant-1"
    made.node_missing()
    assert made.counter.missing_share != 0.5  # it was surveyed
    assert counts_cost.parts(82) == pytest.approx((204 * 0.8 / 82, 2.8 * 0.8 / 82))


# ---- tables


def run_of(nodes, partial="", **more):
    rest = {"node": {figure: 10.0 + nodes for figure in scale_run.FIGURES} | {"processor_s": 0.004}}
    scale, times = {**vars(Scale(nodes)), **more}, {"change": [nodes]}
    return scale_run.Played(scale, partial, rest, times=times, load=(1.0, 2.0))


def test_tables_say_what_is_extrapolated_and_what_is_partial():
    said = scale_report.text([run_of(30), run_of(100), run_of(300, "its time is over")])
    assert "| node | bytes sent | 21* | 92 | 470* | 1,010* |" in said
    assert "partial: its time is over" in said


def test_hollow_nodes_that_differ_are_called_so():
    real, mixed = run_of(30, hollow=False), run_of(30)
    mixed.rest["hollow"] = {**mixed.rest["node"]}
    assert scale_report.alike(scale_report.differences(mixed, real))
    mixed.rest["hollow"]["sent_bytes"] *= 1.11
    assert not scale_report.alike(scale_report.differences(mixed, real))
    assert "NOT within 10%" in scale_report.text([mixed], [real])
