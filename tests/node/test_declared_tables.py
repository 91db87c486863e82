"""All metrics and log events that the code uses are declared in their tables, and all declared ones are used."""

import re
from pathlib import Path

from rampfront.net.event_log import SHARED_COUNTERS
from rampfront.node.log_events import all_events
from rampfront.node.metrics import COUNTERS, GAUGES
from rampfront.node.metrics_catalogue import all_metrics
from rampfront.node.metrics_page import gauges
from rampfront.simulation.isolation import IsolationRun

ROOT = Path(__file__).parents[2] / "rampfront"
SEC = 10**9
OF_SERVERS = {"odd answer", "odd status", "odd report", "fault"}  # logged by `net/`, which the edge node uses as well


def sources(*packages):
    return "\n".join(path.read_text() for package in packages for path in sorted((ROOT / package).glob("*.py")))


def test_every_counter_that_a_node_adds_to_is_declared():
    text = sources("node", "transport") + (ROOT / "proxy/request_proxy.py").read_text()
    counted = set(re.findall(r'\bcounts\["(\w+)"\] \+=', text))
    assert counted and counted <= set(COUNTERS)
    assert tuple(COUNTERS)[: len(SHARED_COUNTERS)] == SHARED_COUNTERS


def test_gauges_come_as_declared_and_in_their_order():
    run = IsolationRun()
    run.go(SEC)
    shown = [name for name, _ in gauges(run.leader().node_process)]
    assert shown == [name for name in GAUGES if name in shown]
    assert set(GAUGES) - set(shown) <= {"lease_age_seconds"}


def test_no_two_metrics_share_a_name():
    names = [metric.name for metric in all_metrics()]
    assert len(set(names)) == len(names)


def test_every_event_of_the_log_is_declared():
    events = all_events()
    written = set(re.findall(r'\.record(?:_limited)?\(\s*"([\w ]+)"', sources("node", "transport", "proxy")))
    assert written <= set(events.values())
    used = set(re.findall(r"log_events\.([A-Z_]+)", sources("node")))
    of_others = {name for name, event in events.items() if event in written | OF_SERVERS | {"totals"}}
    assert used <= set(events) and set(events) - of_others == used - of_others
