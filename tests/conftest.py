"""The whole run goes side by side in a fixed number of processes, so that what plays in real time waits side by side.

A test that takes seconds says how many (`@pytest.mark.slow(7)`); such tests go first, each by itself or, with a second word, one
after another with those of the same word, as they need a core each; the others go by their files.
One file or test alone, `-n`, or a machine without pytest-xdist: one process, as ever.
"""

import asyncio
import os
import sys

import known_red
import pytest
import uvloop

PROCESSES = 6  # most of them wait most of the time
PORTS, ROW = 20000, 2000  # of the laboratory's nodes: a row for each process, so that no two take one port


@pytest.hookimpl(tryfirst=True)
def pytest_cmdline_main(config):
    if "PYTEST_XDIST_WORKER" in os.environ or hasattr(config, "workerinput"):
        return  # Guards the machine: a process of the run that began processes of its own would never end
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    if (
        whole
        and config.pluginmanager.hasplugin("xdist")
        and config.option.numprocesses is None
        and not config.option.usepdb
    ):
        config.option.numprocesses, config.option.dist = PROCESSES, "loadgroup"
        config.option.loadscopereorder = False  # the slow ones go first, as they are sorted below


def order(rows, count):
    """Names of (name, seconds) in the order in which `count` processes get them, which take one ahead of the one they play: the
    longest first, then those ahead so that the shortest waits behind the longest, then the rest as each comes free."""
    names = [name for name, _ in sorted(rows, key=lambda row: (-row[1], row[0]))]
    return names[:count] + names[count : 2 * count][::-1] + names[2 * count :]


def pytest_terminal_summary(terminalreporter):
    known_red.print_outcome(terminalreporter, known_red.listed())


def pytest_collection_modifyitems(items):
    known_red.expect_failures(items, known_red.listed())
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")
    if not worker:
        return
    groups, load = {}, {}
    for item in items:  # a slow test goes alone, or with those that it may not stand beside; all others by their files
        seconds, *beside = (mark.args or (9,)) if (mark := item.get_closest_marker("slow")) else (0, item.path.stem)
        groups[item] = group = beside[0] if beside else item.nodeid.replace("@", " ")
        load[group] = load.get(group, 0) + seconds
        item.add_marker(pytest.mark.xdist_group(group))
    turns = {name: turn for turn, name in enumerate(order(load.items(), PROCESSES))}
    items.sort(key=lambda item: turns[groups[item]])
    if nodes := sys.modules.get("rampfront.lab.nodes"):
        low = PORTS + ROW * int(worker.removeprefix("gw"))
        nodes.free_port.__defaults__ = "127.0.0.1", low, low + ROW


@pytest.fixture
def loop():
    """An event loop as programs run it, closed behind the test."""
    loop = uvloop.new_event_loop()
    yield loop
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
