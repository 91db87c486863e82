"""Scenes of the quota simulation: the rule holds, and normal load is not rejected."""

from dataclasses import replace

import pytest

from rampfront.simulation.quota_measures import TokenBucket, take
from rampfront.simulation.quota_runs import LARGE, SMALL, Size, play, scene_of
from rampfront.simulation.quota_scene import Counting, Scene, Span


@pytest.mark.parametrize("size", [SMALL, Size(nodes=82, other_tenants=10)], ids=["11", "82"])
def test_a_tenant_hot_at_all_proxies_at_once_stays_a_tenth_below_the_rule(size):
    scene = replace(scene_of("hot", size, seed=3), end_s=13.0, hot=Span(5.0, 12.0))
    shared = play(scene)
    assert shared.worst < 0.9 and shared.served_hot > 0.95
    assert shared.wrong_quiet < 0.005
    unshared = play(replace(scene, counting=Counting.NONE))
    assert unshared.worst > 2


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
    figures = play(scene_of(name, SMALL, seed=5))
    assert figures.worst < 0.95 and figures.served_hot > 0.95


def test_usual_load_is_not_rejected():
    figures = play(Scene(seed=4, hot=None))
    assert figures.wrong_usual < 0.005 and figures.wrong_quiet < 0.005 and figures.messages_per_s < 100
    assert take(TokenBucket(1, 1), 0) and LARGE.nodes == 82
