"""All metrics of a node's process as a scraper sees them, for the docs' table and for tests; not used by the node."""

from collections.abc import Iterator
from typing import NamedTuple

from .metrics import COUNTERS, GAUGES, HISTOGRAMS, counter_name, gauge_name, histogram_name


class Metric(NamedTuple):
    """A metric as a scraper sees it."""

    name: str
    kind: str
    help: str


def all_metrics() -> Iterator[Metric]:
    """Yield every metric, in output order."""
    for name, text in COUNTERS.items():
        yield Metric(counter_name(name), "counter", text)
    for name, text in GAUGES.items():
        yield Metric(gauge_name(name), "gauge", text)
    for name, text in HISTOGRAMS.items():
        yield Metric(histogram_name(name), "histogram", text)
