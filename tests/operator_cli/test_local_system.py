"""Shell completion, and a small system: settings, restarts, and a complete run."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from types import SimpleNamespace

import click.testing
import pytest
from cli_fixtures import configuration
from exposition import parse_exposition

from rampfront.operator_cli import commands, local_layout, local_system, start_commands
from rampfront.operator_cli.child_processes import child_environment
from rampfront.operator_cli.configuration_diff import unused_fields
from rampfront.operator_cli.sample_configuration import API_KEY, sample_configuration
from rampfront.settings import settings_reader


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_calls_the_program_by_its_path(shell):
    script = click.testing.CliRunner().invoke(commands.main, ["completion", shell]).stdout
    assert (
        script.count("-m rampfront.operator_cli") == 2
        and f"{start_commands.COMPLETION_VARIABLE}={shell}_complete" in script
    )


def test_nodes_never_import_the_command_line():
    result = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, rampfront.node.assembly, rampfront.node.endpoints\n"
            "forbidden = 'click', 'rampfront.operator_cli', 'rampfront.lab'\n"
            "print([m for m in sys.modules if m.startswith(forbidden)])",
        ],
        capture_output=True,
        text=True,
        env=child_environment(),
    )
    assert result.stdout.strip() == "[]", result.stderr


def test_settings_of_a_small_system_can_be_read_by_its_nodes(tmp_path):
    nodes = local_layout.layout(6, "127.0.0.250", 20000)
    assert [n.ip for n in nodes][-1] == "127.0.0.255" and [n.disk for n in nodes] == [True] * 4 + [False] * 2
    environment = local_layout.Environment(nodes, "127.0.0.1:9", tmp_path)
    for node in nodes:
        settings = settings_reader.read(local_layout.node_settings(node, environment, first_boot=False)).unwrap()
        assert settings.ip == node.ip and bool(settings.data_folder) == node.disk and not settings.first_boot
        assert len({settings.front, settings.ready_check, settings.control, settings.directory}) == 4
    assert unused_fields(sample_configuration()) == []


def test_a_node_that_ends_again_and_again_is_given_up(tmp_path):
    system = local_system.LocalSystem(None, local_system.SystemSize(1), folder=tmp_path)
    system.nodes, reports, pids = local_layout.layout(1, "127.0.0.11", 20000), [], iter(range(100))

    def launch(node, first=True):
        system.children[node.name] = SimpleNamespace(poll=lambda: 1, returncode=1, pid=next(pids))

    system.launch = launch
    launch(system.nodes[0])
    with pytest.raises(local_layout.LocalSystemError, match="ended 5 times in"):
        for tenth in range(200):
            system.restart_exited(tenth / 10, reports.append)
    assert len(reports) == 4 and next(pids) == 5


@pytest.mark.slow(4)
def test_a_small_system_starts_serves_answers_commands_and_ends(tmp_path):
    root, folder = Path(__file__).parents[2], tmp_path / "kept"
    system = subprocess.Popen(
        [sys.executable, "-m", "rampfront", "system", "up", "--json", "--keep", str(folder), "--seconds", "100"],
        cwd=root,
        stdout=subprocess.PIPE,
        text=True,
        env=child_environment(),
    )
    try:
        layout = json.loads(system.stdout.readline())
        assert len(layout["Nodes"]) == 4
        request = urllib.request.Request(
            f"http://{layout['Nodes'][3]['Front']}{layout['Path']}",
            headers={"Host": layout["Host"], "Try-Id": "t1", "Authorization": f"Bearer {layout['Key']}"},
        )
        for _ in range(20):  # retries as clients do: a node that has not read its quota counts yet may answer 429
            try:
                answer = urllib.request.urlopen(request, timeout=30)
                break
            except urllib.error.HTTPError as refusal:
                assert refusal.code == 429 and refusal.headers["Retry-After"]
                time.sleep(float(refusal.headers["Retry-After"]))
        assert answer.status == 200 and answer.headers["Server-Seal"]
        runner, at = click.testing.CliRunner(), [part for n in layout["Nodes"] for part in ("--at", n["Control"])]

        def run(*args, code=0):
            result = runner.invoke(commands.main, [*args, *at, "--within", "60"])
            assert result.exit_code == code, result.output
            return result.stdout

        status = json.loads(run("status", "--json"))
        assert status["Leader"] and len(status["Members"]) >= 1 and len(status["Nodes"]) == 4
        assert len(json.loads(run("servers", "--json"))["Servers"]) == 8
        for _ in range(
            100
        ):  # admitted requests are counted after the response, and the count may not be acknowledged yet
            with urllib.request.urlopen(f"http://{layout['Nodes'][3]['Control']}/metrics", timeout=30) as page:
                assert page.headers["Content-Type"] == "text/plain; version=0.0.4; charset=utf-8"
                metrics = parse_exposition(page.read().decode())
            if metrics["rampfront_quota_round_trip_seconds_count"] > 0:
                break
            time.sleep(0.1)
        assert metrics["rampfront_request_seconds_count"] == metrics["rampfront_server_answer_seconds_count"] == 1
        assert (
            metrics["rampfront_ready"] == metrics["rampfront_lease_valid"] == 1
            and metrics["rampfront_servers_listed"] == 8
        )
        assert (
            metrics["rampfront_lease_age_sampled_seconds_count"] > 0
            and metrics["rampfront_quota_round_trip_seconds_count"] > 0
        )
        assert json.loads(run("quotas", "--json"))["Quotas"][0]["Tenant"] == "acme"
        new = tmp_path / "r2.json"
        new.write_text(json.dumps(configuration("r2")))
        run("apply", str(new))
        run("evacuate", "north-a")
        run("evacuate", "nowhere", code=1)
        run("snapshot", "save", str(tmp_path / "s"))
        run("return", "north-a")
        new.write_text(json.dumps(configuration("r3", Customers=[])))
        run("apply", str(new))
        restored = json.loads(run("snapshot", "restore", str(tmp_path / "s"), "--json"))
        assert (restored["Gives"], restored["Raised"], restored["Evacuates"]) == ("r4", True, ["north-a"])
        assert "r4" in run("explain", "shop.example/read/1", "--key", API_KEY)
    finally:
        system.send_signal(signal.SIGINT)
        code = system.wait(60)
    assert code == 0
    for node in layout["Nodes"]:
        with pytest.raises(ProcessLookupError):
            os.kill(node["Pid"], 0)
        assert "end" in (folder / f"{node['Name']}.log").read_text()
