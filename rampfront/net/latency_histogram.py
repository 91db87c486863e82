"""Histograms of durations with fixed buckets, from which a scraper computes percentiles.

With fixed buckets, the memory of a histogram is constant and a scraper can add up the histograms of many processes,
which is not possible with percentiles. This module does no I/O and reads no clock; callers measure the durations.
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
"""Inclusive upper bounds of the buckets; a last bucket counts longer durations."""


class LatencyHistogram:
    """The counts of durations by bucket, and the sum of all durations.

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
