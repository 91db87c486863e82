"""Cost measurements of single parts: the line fit, sized configurations, and changes of the configuration by rows."""

import json

import numpy as np
import pytest

from rampfront.lab.system import counts_cost, fleet_cost
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
from rampfront.lab.system.line_fit import TooFewSizesError, fit
from rampfront.lab.system.request_cost import CASES, experiment
from rampfront.lab.system.sized_configuration import Size, configuration, server_entries
from rampfront.settings import configuration_reader
from rampfront.settings.errors import FieldError

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
    residuals = np.asarray(figures) - np.polyval((each, base), sizes)
    assert slope.spread == pytest.approx(np.sqrt((residuals**2).sum() / 2))
    _, covariance = np.polyfit(sizes, figures, 1, cov=True)
    assert slope.each_error == pytest.approx(np.sqrt(covariance[0, 0]))


def test_two_sizes_make_no_slope():
    with pytest.raises(TooFewSizesError):
        fit([30, 100, 100], [1, 2, 3])


def test_configuration_and_list_have_the_sizes_told():
    size = Size(routes=270, tenants=320, servers=260, services=13)
    read = configuration_reader.read(configuration(size, 3)).unwrap()
    assert sum(len(book.routes) for book in read.hosts.values()) == 270
    assert (len(read.customers_by_name), len(read.services), read.revision) == (320, 13, 3)
    assert len(server_entries(size)) == 260
    first, second = (json.loads(configuration(size, revision)) for revision in (1, 2))
    assert first["Customers"] == second["Customers"] and first["Sockets"] != second["Sockets"]


# ---- changes to single rows


def comparable(rows):
    """The attributes of the tenants by key or name, which can be compared."""
    return {
        key: (row.name, row.api_keys, row.priority, row.per_s, row.burst, row.home_regions) for key, row in rows.items()
    }


def all_rows(table):
    return comparable({key: row for shard in table.shards for key, row in shard.items()})


def test_a_change_by_rows_gives_what_the_whole_gives():
    size = Size(routes=4, tenants=60, services=2)
    document = json.loads(configuration(size))
    read = configuration_reader.read(json.dumps(document).encode()).unwrap()
    held = SharedTenants(SharedTable.of(read.customers_by_key), SharedTable.of(read.customers_by_name))
    document["Customers"][7]["ApiKeys"] = ["new-key", document["Customers"][7]["ApiKeys"][1]]
    whole = configuration_reader.read(json.dumps(document).encode()).unwrap()
    after = read_change(held, json.dumps([document["Customers"][7]]).encode())
    for shared, plain, old in (
        (after.by_key, whole.customers_by_key, held.by_key),
        (after.by_name, whole.customers_by_name, held.by_name),
    ):
        assert all_rows(shared) == comparable(plain)
        assert (
            sum(first is second for first, second in zip(shared.shards, old.shards, strict=True)) >= SHARDS - 3
        )  # at most three shards change: those of the removed, the new and the kept key
    assert held.by_key.get(b"new-key") is None
    document["Customers"][8]["ApiKeys"] = ["new-key"]
    with pytest.raises(FieldError):
        read_change(after, json.dumps([document["Customers"][8]]).encode())


def test_slices_give_what_the_whole_gives():
    body = configuration(Size(routes=4, tenants=3 * ROWS + 1, services=2))
    tables = SharedTenants(SharedTable.of({}), SharedTable.of({}))
    assert sum(1 for _ in read_slices(slices(body), tables)) == 4
    read = configuration_reader.read(body).unwrap()
    assert all_rows(tables.by_key) == comparable(read.customers_by_key)


@pytest.mark.parametrize("case", CASES[:1] + CASES[3:5], ids=lambda case: case.name)
def test_a_case_of_request_cost_holds_what_it_says(case):
    plan = experiment(case)
    assert len(plans.server_placements(plan)) == case.servers and len(plan.services) == case.services
    assert len(plan.routes) == case.routes and plan.routes[-1].name == plan.streams[0].route


def test_costs_by_nodes_servers_and_tenants_are_of_the_parts_that_serve():
    assert fleet_cost.servers(60)["list: calls of the platform a round"] == 2
    assert (
        fleet_cost.directory(11)["roster, whole: bytes of its frame"]
        < fleet_cost.directory(82)["roster, whole: bytes of its frame"]
    )
    bench = counts_cost.bench(5)
    assert bench.add("node-1")["t"][0][0] == "tenant-1"
    bench.node_missing()
    assert bench.counter.missing_share != 0.5  # the counter has measured it
    assert counts_cost.parts(82) == pytest.approx((204 * 0.8 / 82, 2.8 * 0.8 / 82))
