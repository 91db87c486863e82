"""Plays the runs of a soak, one for each seed, several at the same time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import TypeVar

from .soak_plan import SoakSize

Result = TypeVar("Result")


def play_seeds(
    play: Callable[[int, SoakSize, Path], Result], seeds: Iterable[int], size: SoakSize, out: Path, jobs: int
) -> Iterator[Result]:
    """Plays the run of each seed, `jobs` at the same time, in processes; yields each result once it is known.

    `play`: a function of a module, which plays the run of a seed below the folder `out`.
    """
    with ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(play, seed, size, out) for seed in seeds]
        for future in as_completed(futures):
            yield future.result()
