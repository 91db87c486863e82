"""Scenes of the quota simulation: the rule holds, and usual load is not rejected."""

import pytest

from rampfront.simulation.quota_runs import LARGE, SMALL, Bucket, figures, scene


@pytest.mark.parametrize("fleet", [SMALL, dict(nodes=82, others=10)], ids=["11", "82"])
def test_a_tenant_hot_at_all_proxies_at_once_stays_a_tenth_below_the_rule(fleet):
    got = figures(seed=3, end=13.0, hot=(5.0, 12.0), **fleet)
    assert got["worst"] < 0.9 and got["served"] > 0.95
    assert got["quiet"] < 0.005
    none = figures(seed=3, end=13.0, hot=(5.0, 12.0), way="none", **fleet)
    assert none["worst"] > 2  # without sharing


@pytest.mark.parametrize(
    "name",
    [
        "hot, counter dies",
        "hot, counter cut from a third",
        "hot, counter frozen for 4 s",
        "hot, rosters differ for 1 s",
        "hot, a third cut off",
        "cut off, then hot",
        "hot, core in halves",
        "hot, 1 in 10 lost",
        "hot, all restart",
    ],
)
def test_the_rule_holds_under_faults(name):
    got = scene(name, SMALL, 5)
    assert got["worst"] < 0.95 and got["served"] > 0.95


def test_usual_load_is_not_rejected():
    got = figures(seed=4, hot=None, **SMALL)
    assert got["usual"] < 0.005 and got["quiet"] < 0.005 and got["msgs"] < 100
    assert Bucket(1, 1).take(0) and LARGE["nodes"] == 82
