"""The TOML configuration, its command line, the levels of the log, and the delivery of decisions to a collector."""

import json
from pathlib import Path

import msgspec
import pytest
from helper import experiment
from typer.testing import CliRunner

from rampfront import config
from rampfront.cli import app
from rampfront.edge.configuration import load_configuration, read_configuration
from rampfront.edge.configuration_checks import ConfigurationError
from rampfront.edge.log import Log
from rampfront.lab.plan import changed, parse_plan

ROOT = Path(__file__).parents[1]
EXAMPLE = (ROOT / "rampfront.example.toml").read_text()


@pytest.mark.parametrize(
    "old, new, message",
    [
        ('name = "n0"', "", "name: is missing"),
        ("sla_ms = 500", "sla_ms = 0", "line 12: products[0].sla_ms: Expected `float` > 0.0"),
        ("sla_ms = 500", "sla_m = 500", "products[0].sla_m: no such key"),
        ('effect = "once_only"', 'effect = "twice"', "line 22: products[2].effect: Invalid enum value 'twice'"),
        ("rate = 20.0\nburst = 40.0", "rate = 20.0", "plans[0].burst: a plan with a rate needs one above 0"),
        ('name = "bulk"', 'name = "team"', "line 31: plans[1].name: 'team' is taken already"),
        ("nodes = 3", "nodes = 3.5", "line 36: fleet.nodes: Expected `int`, got `float`"),
        ('counter = "127.0.0.1:6400"', 'counter = "here"', "counter: should be host:port, not 'here'"),
        ('counter = "127.0.0.1:6400"', "", "quotas.marks: there is no counter to mark"),
        ('listen = "127.0.0.1:7070"', 'listen = "127.0.0.1:99999"', "no such port"),
        ('level = "info"', 'level = "loud"', "line 42: log.level: Invalid enum value 'loud'"),
        ('upstream = "error"', 'stream = "error"', "log.modules.stream: no such module"),
        ("spill_dir = ", "spil_dir = ", "line 49: syslog.spil_dir: no such key"),
        ("[fleet]", "[fleet", "no TOML"),
    ],
)
def test_a_faulty_file_is_named_by_line_and_key(old, new, message, tmp_path):
    assert EXAMPLE.count(old) >= 1
    path = tmp_path / "bad.toml"
    path.write_text(EXAMPLE.replace(old, new, 1))
    result = CliRunner().invoke(app, ["check-config", str(path)])
    assert result.exit_code == 2 and message in result.output, result.output


def test_the_example_is_good_and_becomes_the_platforms_form(monkeypatch):
    form = config.platform_form(config.parse_toml(EXAMPLE))
    configuration = read_configuration(json.loads(json.dumps(form)), {})
    assert [p.kind for p in configuration.terms.products] == [0, 1, 2] and configuration.terms.marks_counter
    assert (
        configuration.terms.plans[1].burst == 100.0
        and configuration.terms.nodes == 3
        and configuration.counter_address == ("127.0.0.1", 6400)
    )
    assert (
        configuration.log_levels == {"": "info", "upstream": "error"}
        and configuration.syslog.sender.max_queued_messages == 16384
    )
    configuration = load_configuration(
        {"RELAY_CONFIG": str(ROOT / "rampfront.example.toml"), "RELAY_ADMIN_ADDR": "127.0.0.1:7099"}
    )
    assert configuration.seed > 0 and configuration.admin_address == ("127.0.0.1", 7099)
    assert CliRunner().invoke(app, ["check-config", str(ROOT / "rampfront.example.toml")]).exit_code == 0


@pytest.mark.parametrize(
    "syslog, key",
    [
        ({}, "syslog.collector"),
        ({"collector": "x"}, "syslog.collector"),
        ({"collector": "h:1", "memory": 0}, "syslog.memory"),
        ({"collector": "h:1", "transport": "tls"}, "syslog.transport"),
    ],
)
def test_the_json_form_is_checked_too(syslog, key):
    form = config.platform_form(config.parse_toml(EXAMPLE))
    with pytest.raises(ConfigurationError, match=key):
        read_configuration({**form, "syslog": syslog}, {})
    with pytest.raises(ConfigurationError, match="log.level should be one of"):
        read_configuration({**form, "log": {"level": "loud"}}, {})


def test_the_reference_page_is_what_the_code_says():
    assert (ROOT / "docs/configuration.md").read_text() == config.reference()


class LogStream:
    def __init__(self):
        self.rows = []

    def write(self, line):
        self.rows.append(json.loads(line))

    def flush(self):
        pass


def test_the_log_keeps_its_fields_and_leaves_out_what_is_below_its_level():
    stream = LogStream()
    log = Log("n0", 10**10, stream, {"": "info", "upstream": "error"})
    log.record("serving", listen=("h", 1))
    log.record_limited("odd answer", "s1", why="x")
    log.record_limited("counter lost", "silent")
    log.record_limited("counter lost", "silent")
    assert [(row["event"], row["level"], row["node"]) for row in stream.rows] == [
        ("serving", "info", "n0"),
        ("counter lost", "warning", "n0"),
    ]
    assert list(stream.rows[0]) == ["at", "node", "level", "event", "listen"] and stream.rows[1]["party"] == "silent"


PLAN = """
name = "decisions"
duration_s = 4.0
warmup_s = 0.5
[topology]
nodes = 2
collector = true
[[topology.boxes]]
count = 2
[topology.discovery]
notice_s = 0.1
[[products]]
name = "fetch"
[[plans]]
name = "team"
rate = 10.0
burst = 10.0
[load]
most_lag_ms = 60.0
[[load.streams]]
name = "flood"
plan = "team"
rate = 150.0
[[faults]]
target = "collector"
kind = "away"
at_s = 1.0
for_s = 1.0
[[faults]]
target = "box:0"
kind = "drain"
at_s = 1.5
"""


@pytest.mark.slow(12)
def test_every_decline_and_drain_reaches_the_collector_past_an_outage(tmp_path):
    plan = parse_plan(PLAN)
    plan = changed(plan, topology=msgspec.structs.replace(plan.topology, syslog={"memory": 64}))
    report, _ = experiment(plan, tmp_path, 1)
    counts = report["emulator"]["collector"]
    declined = sum(totals["declined"] for totals in report["node_totals"])
    assert counts["malformed"] == 0 and counts["missing"] == 0, counts
    assert counts["msgid_declined"] == declined > 300
    assert counts["msgid_drain"] == 2  # each node was notified of the drain once
