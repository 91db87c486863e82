"""Disks lost while all other machines lose power: seeded runs, each situation, and planted faults that are found."""

from typing import Any

import pytest

from rampfront.consensus.persistent_state import PersistentState
from rampfront.simulation import closing_loss
from rampfront.simulation.checks import InvariantError
from rampfront.simulation.closing_loss import SITUATIONS, ClosingLossRun
from rampfront.simulation.fleet import Fleet

PLANTED_SEEDS = range(1, 60)


@pytest.mark.parametrize("disks, nodes, seed", [(4, 11, 1), (4, 11, 2), (6, 12, 3), (8, 14, 4)])
def test_what_was_acknowledged_outlives_it(disks: int, nodes: int, seed: int) -> None:
    counts = ClosingLossRun(seed, nodes, disks).play()
    assert counts["disks lost"] and counts["answer 200"] > 50


@pytest.mark.parametrize("situation", SITUATIONS, ids=lambda each: each.__name__)
def test_each_situation(situation: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(closing_loss, "SITUATIONS", (situation,))
    assert ClosingLossRun(11).play()[situation.__name__] == 1


@pytest.mark.parametrize("seed", [1062, 1183, 1188])
def test_nodes_whose_seeds_are_all_gone_are_found_by_the_leader(seed: int) -> None:
    """The settings name a machine that was just replaced and one that never existed; only disks keep their contents."""
    assert ClosingLossRun(seed).play()["replaced_in_order"]


def breaks(nodes: int = 8, disks: int = 4) -> str:
    """The message of the first run that fails, or an empty string if none does."""
    for seed in PLANTED_SEEDS:
        try:
            ClosingLossRun(seed, nodes, disks).play()
        except InvariantError as broken:
            return str(broken)
    return ""


def test_a_vote_by_an_empty_disk_would_be_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """The machine returns under its former incarnation, so that a vote that it lost still counts."""

    def same_incarnation(self: PersistentState, incarnation: int) -> None:
        fixed = sum(self._context.settings.name.encode())
        self.key = self.key._replace(name=self._context.settings.name, incarnation=fixed)

    monkeypatch.setattr(PersistentState, "_set_incarnation", same_incarnation)
    # Two members that lost the state and two that never had it are a majority of six.
    monkeypatch.setattr(closing_loss, "SITUATIONS", (ClosingLossRun.minority_cut_off,))
    assert breaks(8, 6)


def test_a_core_that_is_founded_anew_would_be_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine founds a core on an empty disk although its settings do not allow a first start."""
    start_empty = PersistentState._start_empty

    def founds(self: PersistentState) -> None:
        settings = self._context.settings
        self._context.settings = settings._replace(is_first_start=True)
        start_empty(self)
        self._context.settings = settings

    monkeypatch.setattr(PersistentState, "_start_empty", founds)
    assert breaks()


def test_an_acknowledgement_of_what_is_not_on_disk_would_be_found(monkeypatch: pytest.MonkeyPatch) -> None:
    stored = Fleet.stored

    def not_stored(self: Fleet, machine: Any, life: int, disk: Any, future: Any) -> None:
        before = disk.record
        stored(self, machine, life, disk, future)
        if before is not None and machine.has_started and self.now > 6 * closing_loss.SEC:
            disk.record = before  # the disk reported success but kept the old record

    monkeypatch.setattr(Fleet, "stored", not_stored)
    assert breaks()
