"""Slopes of costs: a straight line through a figure at several sizes, and where it leads. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

LEAST_SIZES = 3  # distinct sizes of a fit


class TooFewSizesError(ValueError):
    """A slope was asked for of fewer sizes than LEAST_SIZES."""


@dataclass(frozen=True)
class Slope:
    """`figure = base + each * size`. `spread`: standard deviation of what is measured about the line; `each_error`:
    standard error of `each`; `least` and `most`: the sizes that were measured."""

    base: float
    each: float
    spread: float
    each_error: float
    least: float
    most: float

    def at(self, size: float) -> float:
        """Where the line leads at `size`; never below 0."""
        return max(0.0, self.base + self.each * size)

    def extrapolated(self, size: float) -> bool:
        """Whether `size` lies outside of what was measured."""
        return not self.least <= size <= self.most


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Slope:
    """The line of least squares. Raises TooFewSizesError."""
    x, y = np.asarray(sizes, float), np.asarray(figures, float)
    if len(x) != len(y) or len(set(x)) < LEAST_SIZES:
        raise TooFewSizesError(f"{len(set(x))} sizes: a slope needs {LEAST_SIZES}")
    middle = x.mean()
    width = float(((x - middle) ** 2).sum())
    each = float(((x - middle) * (y - y.mean())).sum()) / width
    base = float(y.mean() - each * middle)
    spread = float(np.sqrt(((y - base - each * x) ** 2).sum() / (len(x) - 2)))
    return Slope(base, each, spread, spread / width**0.5, float(x.min()), float(x.max()))
