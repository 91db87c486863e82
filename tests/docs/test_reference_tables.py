"""The tables of log events and metrics in the docs match the declarations in the code."""

import ast
import re
from pathlib import Path

import pytest

from rampfront.node.log_events import all_events
from rampfront.node.metrics_catalogue import all_metrics

ROOT = Path(__file__).parents[2]
LOGGING = (ROOT / "docs/logging.md").read_text()
OBSERVING = (ROOT / "docs/system/observing.md").read_text()
EDGE_PACKAGES = ("edge", "net", "syslog", "journal", "mqtt")
DECISIONS = {"settled", "declined", "voided"}  # kinds of syslog decision records, not events of the log


def section(page, heading):
    """Returns the text below a second-level heading."""
    return re.split(r"^## ", page.split(f"## {heading}\n", 1)[1], flags=re.M)[0]


def names_in_first_column(text):
    """Returns the names in code font in the first column of a section's tables."""
    rows = [line.split("|")[1] for line in text.splitlines() if line.startswith("| `")]
    return [name for cell in rows for name in re.findall(r"`([^`]+)`", cell)]


def edge_events():
    """Yields the literal names of events in the packages of the edge node."""
    for package in EDGE_PACKAGES:
        for path in (ROOT / "rampfront" / package).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute) or not node.args:
                    continue
                literal = isinstance(node.args[0], ast.Constant) and isinstance(node.args[0].value, str)
                if literal and node.func.attr in ("record", "record_limited"):
                    yield node.args[0].value


@pytest.mark.parametrize("event", list(all_events().values()))
def test_each_event_of_the_system_stands_in_the_table(event):
    fields = ", ".join(f"`{field}`" for field in event.fields)
    assert f"| `{event}` | {event.level} | {fields} | {event.meaning} |" in LOGGING


def test_the_table_of_the_systems_events_has_no_other():
    table = names_in_first_column(section(LOGGING, "The system (`python -m rampfront.node`)"))
    assert table == list(all_events().values())


def test_the_table_of_the_edge_nodes_events_is_complete():
    table = names_in_first_column(section(LOGGING, "The edge node (`python -m rampfront`)"))
    assert sorted(set(table)) == sorted(set(edge_events()) - DECISIONS)


@pytest.mark.parametrize("metric", list(all_metrics()), ids=lambda metric: metric.name)
def test_each_metric_stands_in_its_table(metric):
    assert f"| `{metric.name}` | {metric.help} |" in OBSERVING


def test_the_tables_of_metrics_have_no_other():
    table = names_in_first_column(section(OBSERVING, "Metrics"))
    assert table == [metric.name for metric in all_metrics()]
