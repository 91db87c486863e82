"""Scenes of the quota simulation, and the table of their figures in `docs/system/quotas.md`.

`python3 -m rampfront.simulation.quota_runs` plays all scenes with several seeds and prints a row for each. It measures
the most requests admitted within any QuotaWindow, as a fraction of what the rule allows; the fraction that was rejected
while a quota charged with all that was admitted still had room (`wrong`); and messages and bytes per second, of all
nodes and of the one that sends and receives the most. Never imported by a serving process."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from multiprocessing import Pool
from statistics import fmean
from typing import NamedTuple

from .quota_fleet import QuotaFleet
from .quota_measures import PhaseCounts, TenantMeasure
from .quota_scene import Fault, Phase, Scene, Span


class Size(NamedTuple):
    """The number of nodes with which a scene is played, and of tenants without a surge."""

    nodes: int
    other_tenants: int


SMALL = Size(nodes=11, other_tenants=7)
LARGE = Size(nodes=82, other_tenants=40)
SEEDS = 8
SURGE_FAULT = Span(8.0, 18.0)

SCENES = {
    "usual load": Scene(hot=None),
    "hot": Scene(),
    "hot, uneven": Scene(skew=1.0),
    "hot, counter dies": Scene(counter_dies_s=8.0),
    "counter dies, then hot": Scene(counter_dies_s=5.9),
    "hot, counter cut from a third": Scene(counter_partitions=(Fault(Span(8.0, 12.0), 1 / 3),)),
    "hot, counter frozen for 4 s": Scene(counter_frozen=Span(8.0, 12.0)),
    "hot, counter frozen for 1 s": Scene(counter_frozen=Span(8.0, 9.0)),
    "hot, rosters differ for 1 s": Scene(roster_gap=Fault(Span(8.0, 9.0), 1 / 3)),
    "hot, another dies": Scene(other_dies_s=8.0),
    "hot, a third cut off": Scene(partitions=(Fault(SURGE_FAULT, 1 / 3),)),
    "cut off, then hot": Scene(partitions=(Fault(Span(5.9, 16.0), 1 / 3),)),
    "hot, core in halves": Scene(partitions=(Fault(SURGE_FAULT, 0.5),)),
    "hot, 1 in 10 lost": Scene(loss=0.1),
    "hot, 50 ms more each way": Scene(extra_delay_ms=50.0),
    "hot, all restart": Scene(all_restart_s=8.0),
}


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of a run, or the means of several."""

    worst: float  # the most admitted within a window, as a fraction of what the rule allows
    most: float  # requests of the first hot tenant admitted within a window
    allowed: float  # by the rule
    wrong_usual: float  # fraction of the hot tenants' requests outside of the surge
    wrong_quiet: float  # fraction of the other tenants' requests
    wrong_hot: float  # fraction of the hot tenants' requests in the surge
    served_hot: float  # admitted in the surge, relative to a perfect counter
    served_usual: float  # admitted of all tenants outside of it, relative to a perfect counter
    busiest_per_s: float  # messages sent and received by the busiest node
    messages_per_s: float
    kb_per_s: float
    far_kb_per_s: float  # between regions


def _counts_in(measures: Iterable[TenantMeasure], phase: Phase) -> list[PhaseCounts]:
    return [measure.phases[phase] for measure in measures if phase in measure.phases]


def _wrong(measures: Iterable[TenantMeasure], phase: Phase) -> float:
    """The fraction of the requests that was wrongly rejected."""
    rows = _counts_in(measures, phase)
    return sum(row.wrongly_rejected for row in rows) / max(1, sum(row.requested for row in rows))


def _served(measures: Iterable[TenantMeasure], phase: Phase) -> float:
    """What was admitted, relative to what a perfect counter admits."""
    rows = _counts_in(measures, phase)
    return sum(row.admitted for row in rows) / max(1, sum(row.perfectly_admitted for row in rows))


def play(scene: Scene) -> Figures:
    """Plays a scene."""
    fleet = QuotaFleet(scene)
    fleet.run()
    measures = fleet.measures
    hot = [measures[name] for name in fleet.hot_names]
    quiet = [measure for name, measure in measures.items() if name not in fleet.hot_names]
    return Figures(
        worst=max(measure.most_in_window / measure.allowed_in_window for measure in measures.values()),
        most=hot[0].most_in_window,
        allowed=hot[0].allowed_in_window,
        wrong_usual=_wrong(hot, Phase.USUAL),
        wrong_quiet=_wrong(quiet, Phase.USUAL),
        wrong_hot=_wrong(hot, Phase.HOT),
        served_hot=_served(hot, Phase.HOT),
        served_usual=_served(hot + quiet, Phase.USUAL),
        busiest_per_s=max(fleet.network.messages_of) / scene.end_s,
        messages_per_s=fleet.network.sent / scene.end_s,
        kb_per_s=fleet.network.sent_bytes / scene.end_s / 1000,
        far_kb_per_s=fleet.network.far_bytes / scene.end_s / 1000,
    )


def scene_of(name: str, size: Size, seed: int) -> Scene:
    """The scene with this name, size and seed."""
    return replace(SCENES[name], nodes=size.nodes, other_tenants=size.other_tenants, seed=seed)


def print_row(name: str, size: Size, runs: Sequence[Figures]) -> None:
    """Prints the maxima and the means of several runs of a scene."""

    def mean(field: str) -> float:
        """The mean of a figure over the runs."""
        return fmean(getattr(run, field) for run in runs)

    print(
        f"{size.nodes:3} {name:30} most {max(run.worst for run in runs):.3f} of the bound"
        f" ({max(run.most for run in runs)}/{runs[0].allowed:.0f})  wrong: usual {mean('wrong_usual'):.2%}"
        f" quiet {mean('wrong_quiet'):.2%} hot {mean('wrong_hot'):.2%}  served hot {mean('served_hot'):.2f}"
        f" usual {mean('served_usual'):.3f} {mean('messages_per_s'):6.0f} msgs/s, busiest {mean('busiest_per_s'):.0f},"
        f" {mean('kb_per_s'):.1f} kB/s far {mean('far_kb_per_s'):.1f}",
        flush=True,
    )


def main(seeds: int = SEEDS, names: Sequence[str] = tuple(SCENES), sizes: Sequence[Size] = (SMALL, LARGE)) -> None:
    """Prints the table."""
    with Pool() as pool:
        for size in sizes:
            for name in names:
                scenes = [scene_of(name, size, seed) for seed in range(seeds)]
                print_row(name, size, pool.map(play, scenes, 1))


if __name__ == "__main__":
    main()
