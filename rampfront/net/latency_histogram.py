"""Durations counted in fixed buckets, from which a scraper computes percentiles.

Fixed buckets keep the memory of a histogram constant and let a scraper add up the histograms of many processes, which
it could not do with percentiles. No I/O and no clock: callers measure, this module counts.
"""

from bisect import bisect_left

_MS = 10**6  # ns
BUCKET_BOUNDS_NS = (
    1 * _MS,
    int(2.5 * _MS),
    5 * _MS,
    10 * _MS,
    25 * _MS,
    50 * _MS,
    100 * _MS,
    250 * _MS,
    500 * _MS,
    1000 * _MS,
    2000 * _MS,
    3000 * _MS,
    4000 * _MS,
    5000 * _MS,
    10_000 * _MS,
)
"""Upper bounds of the buckets, each inclusive; one more bucket behind them takes what is longer."""


class LatencyHistogram:
    """Counts of durations by bucket, and their sum.

    Attributes:
        counts: one count for each of `BUCKET_BOUNDS_NS` and one for longer durations. Not cumulative.
        total_ns: sum of all durations.
    """

    __slots__ = ("counts", "total_ns")

    def __init__(self) -> None:
        """Starts with empty buckets."""
        self.counts = [0] * (len(BUCKET_BOUNDS_NS) + 1)
        self.total_ns = 0

    def record(self, duration_ns: int) -> None:
        """Counts one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_NS, duration_ns)] += 1
        self.total_ns += duration_ns
