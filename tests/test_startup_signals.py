"""SIGHUP and SIGUSR1 while a process starts do not end it, and the settings are read again."""

import json
import os
import signal
import subprocess
import sys

import pytest
from helper import config

from rampfront.lab.nodes import free_port
from rampfront.operator_cli.local_layout import Environment, find_free_ports, layout, node_settings

HOST = "127.77.0.11"

# Sends the signals between the first reading of the settings and the program's own handlers; ends once the loop runs.
SYSTEM = """
import os, signal
from rampfront.node import __main__ as program, assembly, endpoints
async def open_listeners(node):
    await endpoints.open_listeners(node)
    for number in (signal.SIGHUP, signal.SIGUSR1):
        os.kill(os.getpid(), number)
    node.context.loop.call_later(0.2, node.context.loop.stop)
program.main(assembly.build_node_process, open_listeners)
"""
EDGE = """
import os, signal
from rampfront.edge import node
build = node.start
def start(loop, *others):
    for number in (signal.SIGHUP, signal.SIGUSR1):
        os.kill(os.getpid(), number)
    loop.call_later(0.2, loop.stop)
    return build(loop, *others)
node.start = start
node.serve()
"""


def system_settings(folder):
    nodes = layout(1, HOST, find_free_ports([HOST]))
    own = node_settings(nodes[0], Environment(nodes, f"{HOST}:1", folder))
    os.makedirs(own["Self"]["DataFolder"])
    return own


def edge_settings(folder):
    return {**config(1), "listen": f"127.0.0.1:{free_port()}"}


@pytest.mark.parametrize(
    "program, make, variable, event",
    [
        (SYSTEM, system_settings, "RAMPFRONT_SETTINGS", "settings reloaded"),
        (EDGE, edge_settings, "RELAY_CONFIG", "configuration read"),
    ],
    ids=["system", "edge node"],
)
def test_a_process_that_is_signalled_while_it_starts_runs_and_reads_its_settings_again(
    program, make, variable, event, tmp_path
):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(make(tmp_path)))
    environment = {**os.environ, variable: str(path), "PYTHONPATH": os.pathsep.join(sys.path)}
    ended = subprocess.run([sys.executable, "-c", program], env=environment, capture_output=True, text=True, timeout=30)
    assert ended.returncode not in (-signal.SIGHUP, -signal.SIGUSR1), ended.stderr
    assert ended.returncode == 0 and event in ended.stderr and "totals" in ended.stderr, ended.stderr
