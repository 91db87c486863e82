"""Slopes of costs: fits a straight line to a figure at several sizes, and extrapolates it. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

MIN_SIZES = 3  # distinct sizes that a fit needs


class TooFewSizesError(ValueError):
    """A fit has fewer distinct sizes than MIN_SIZES."""


@dataclass(frozen=True)
class Slope:
    """The line `figure = base + each * size`.

    `spread`: standard deviation of the measured figures about the line; `each_error`: standard error of `each`; `least`
    and `most`: the range of the measured sizes."""

    base: float
    each: float
    spread: float
    each_error: float
    least: float
    most: float

    def at(self, size: float) -> float:
        """Returns the value of the line at `size`, at least 0."""
        return max(0.0, self.base + self.each * size)

    def extrapolated(self, size: float) -> bool:
        """Returns whether `size` lies outside the measured range."""
        return not self.least <= size <= self.most


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Slope:
    """Returns the least-squares line. Raises TooFewSizesError."""
    x, y = np.asarray(sizes, float), np.asarray(figures, float)
    if len(x) != len(y) or len(set(x)) < MIN_SIZES:
        raise TooFewSizesError(f"{len(set(x))} distinct sizes; a fit needs at least {MIN_SIZES}")
    mean = x.mean()
    squares = float(((x - mean) ** 2).sum())
    each = float(((x - mean) * (y - y.mean())).sum()) / squares
    base = float(y.mean() - each * mean)
    spread = float(np.sqrt(((y - base - each * x) ** 2).sum() / (len(x) - 2)))
    return Slope(base, each, spread, spread / squares**0.5, float(x.min()), float(x.max()))
