"""The whole run goes side by side in a fixed number of processes, so that what plays in real time waits side by side.

A test that takes seconds says how many (`@pytest.mark.slow(7)`); such tests go first, each by itself, the others by their files.
One file or test alone, `-n`, or a machine without pytest-xdist: one process, as ever.
"""

import os
import sys

import pytest

PROCESSES = 6  # most of them wait most of the time
PORTS, ROW = 20000, 2000  # of the laboratory's nodes: a row for each process, so that no two take one port


@pytest.hookimpl(tryfirst=True)
def pytest_cmdline_main(config):
    if "PYTEST_XDIST_WORKER" in os.environ or hasattr(config, "workerinput"):
        return  # Guards the machine: a process of the run that began processes of its own would never end
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    if whole and config.pluginmanager.hasplugin("xdist") and config.option.numprocesses is None and not config.option.usepdb:
        config.option.numprocesses, config.option.dist = PROCESSES, "loadgroup"
        config.option.loadscopereorder = False  # the slow ones go first, as they are sorted below


def order(rows, count):
    """Names of (name, seconds) in the order in which `count` processes get them, which take one ahead of the one they play: the
    longest first, then those ahead so that the shortest waits behind the longest, then the rest as each comes free."""
    names = [name for name, _ in sorted(rows, key=lambda row: (-row[1], row[0]))]
    return names[:count] + names[count:2 * count][::-1] + names[2 * count:]


def pytest_collection_modifyitems(items):
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")
    if not worker:
        return
    slow = {item.nodeid: item.get_closest_marker("slow").args[0] for item in items if item.get_closest_marker("slow")}
    turns = {name: turn for turn, name in enumerate(order(slow.items(), PROCESSES))}
    for item in items:  # a slow test goes alone, all others by their files
        item.add_marker(pytest.mark.xdist_group(f"slow-{turns[item.nodeid]}" if item.nodeid in turns else item.path.stem))
    items.sort(key=lambda item: turns.get(item.nodeid, len(turns)))
    if nodes := sys.modules.get("rampfront.lab.nodes"):
        low = PORTS + ROW * int(worker.removeprefix("gw"))
        nodes.free_port.__defaults__ = "127.0.0.1", low, low + ROW
