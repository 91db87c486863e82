"""The runs of a soak, one for each seed: plays several at the same time, and keeps the folders of those that failed."""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from .soak_plan import SoakSize

Result = TypeVar("Result")


@dataclass(slots=True)
class SeededResult:
    """What came of one run. `disturbances`: how often each was carried out; `broken`: the cases of each broken rule."""

    seed: int
    nodes: int = 0
    disturbances: dict[str, int] = field(default_factory=dict)
    broken: dict[str, Any] = field(default_factory=dict)
    error: str = ""  # why the run has no verdict

    @property
    def failed(self) -> bool:
        """Whether the run broke a rule or came to no verdict."""
        return bool(self.broken or self.error)

    def store(self, folder: Path) -> None:
        """Writes the report to the folder of the run, which is removed if the run did not fail."""
        (folder / "report.json").write_text(json.dumps(asdict(self), indent=1))
        if not self.failed:
            shutil.rmtree(folder)


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
