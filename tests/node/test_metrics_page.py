"""The metrics page."""

from exposition import parse_exposition
from proxy_fixtures import MS, SEC

from rampfront.net.latency_histogram import LatencyHistogram
from rampfront.node import metrics, metrics_page


def test_a_scraper_gets_counters_and_complete_histograms_of_a_fixed_number_of_lines():
    histograms = {name: LatencyHistogram() for name in metrics.HISTOGRAMS}
    for ns in (0, MS, MS + 1, 60 * SEC):
        histograms["request"].record(ns)
    page = metrics_page.exposition({"taken": 4}, [("ready", True), ("lease_seconds", 4.4)], histograms)
    values = parse_exposition(page)
    assert (values["rampfront_taken_total"], values["rampfront_ready"], values["rampfront_lease_seconds"]) == (
        4,
        1,
        4.4,
    )
    name = "rampfront_request_seconds"
    assert [values[name + "_bucket", bound] for bound in ("0.001", "0.0025", "10", "+Inf")] == [2, 3, 3, 4]
    assert values[name + "_count"] == 4 and values[name + "_sum"] == 60.002000001
    for _ in range(1000):
        histograms["server_answer"].record(7 * MS)
    assert len(
        metrics_page.exposition({"taken": 10**9}, [("ready", True), ("lease_seconds", 4.4)], histograms).splitlines()
    ) == len(page.splitlines())
