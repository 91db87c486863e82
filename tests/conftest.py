"""Distributes a complete run over a fixed number of processes, so that tests that wait in real time wait in parallel.

A test that takes seconds is marked with its duration (`@pytest.mark.slow(7)`). Slow tests start first, each in a group
of its own. Those marked with the same second argument share a group and run one after another, as each needs a core.
The other tests are grouped by file. A run of selected files or tests, a run with `-n` and a run without pytest-xdist
are not distributed here.

Tests marked `alone` measure a process, which other tests beside them would disturb. A complete or distributed run
leaves them out; `pytest -m alone` plays them, one after another.
"""

import asyncio
import os
import sys

import known_red
import pytest
import uvloop

PROCESSES = 6  # they are idle most of the time
# Ports of the laboratory's nodes: each process has its own range, so that no two use the same port.
FIRST_PORT, PORTS_PER_PROCESS = 20000, 2000


@pytest.hookimpl(tryfirst=True)
def pytest_cmdline_main(config):
    if "PYTEST_XDIST_WORKER" in os.environ or hasattr(config, "workerinput"):
        return  # A worker that started workers of its own would never end.
    complete_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    if complete_run and not config.option.markexpr:
        config.option.markexpr = "not alone"
    if (
        complete_run
        and config.option.markexpr != "alone"
        and config.pluginmanager.hasplugin("xdist")
        and config.option.numprocesses is None
        and not config.option.usepdb
    ):
        config.option.numprocesses, config.option.dist = PROCESSES, "loadgroup"
        config.option.loadscopereorder = False  # keeps the order set below, in which slow tests are first


def start_order(groups_and_seconds, count):
    """Returns the names of (name, seconds) in the order in which `count` processes receive them.

    Each process prefetches one group while it runs another. The longest groups are first; the prefetched ones follow in
    reverse, so that the shortest is queued behind the longest; then the rest.
    """
    names = [name for name, _ in sorted(groups_and_seconds, key=lambda row: (-row[1], row[0]))]
    return names[:count] + names[count : 2 * count][::-1] + names[2 * count :]


def pytest_terminal_summary(terminalreporter):
    known_red.print_outcome(terminalreporter, known_red.listed())


def pytest_collection_modifyitems(config, items):
    if "PYTEST_XDIST_WORKER" in os.environ:  # the workers do not know the option that is set above
        config.hook.pytest_deselected(items=[item for item in items if item.get_closest_marker("alone")])
        items[:] = [item for item in items if not item.get_closest_marker("alone")]
    known_red.expect_failures(items, known_red.listed())
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")
    if not worker:
        return
    groups, group_seconds = {}, {}
    for item in items:  # a slow test is alone or with those that must not run beside it; others are grouped by file
        seconds, *shared_group = (
            (mark.args or (9,)) if (mark := item.get_closest_marker("slow")) else (0, item.path.stem)
        )
        groups[item] = group = shared_group[0] if shared_group else item.nodeid.replace("@", " ")
        group_seconds[group] = group_seconds.get(group, 0) + seconds
        item.add_marker(pytest.mark.xdist_group(group))
    positions = {name: position for position, name in enumerate(start_order(group_seconds.items(), PROCESSES))}
    items.sort(key=lambda item: positions[groups[item]])
    if nodes := sys.modules.get("rampfront.lab.nodes"):
        lowest_port = FIRST_PORT + PORTS_PER_PROCESS * int(worker.removeprefix("gw"))
        nodes.free_port.__defaults__ = "127.0.0.1", lowest_port, lowest_port + PORTS_PER_PROCESS


@pytest.fixture
def loop():
    """A uvloop event loop, as the programs use it, closed after the test."""
    loop = uvloop.new_event_loop()
    yield loop
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
