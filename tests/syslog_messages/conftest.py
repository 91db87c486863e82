"""Fixtures for the tests of `rampfront/syslog`: a sender and a collector on loopback."""

import asyncio

import pytest
import uvloop

from rampfront.edge.log import Log
from rampfront.lab.collector import Collector
from rampfront.net.clock import Clock
from rampfront.net.timers import TimerQueue
from rampfront.syslog.syslog_sender import SyslogSender
from rampfront.syslog.syslog_settings import SyslogSettings


class DiscardedOutput:
    """An output for the log that discards all lines."""

    def write(self, line):
        """Discards the line."""

    def flush(self):
        """Does nothing, as nothing is buffered."""


def middle(low, high):
    """Returns the midpoint, so that reconnect delays are deterministic."""
    return (low + high) / 2


@pytest.fixture
def run_script():
    """Runs `script(sender, collector)` with both on one event loop, and returns its result."""

    def run(script, **settings):
        loop = uvloop.new_event_loop()

        async def start_and_run():
            collector = await Collector(loop).listen()
            timers = TimerQueue(loop, Clock())
            log = Log("n0", 10**10, DiscardedOutput())
            address = ("127.0.0.1", collector.listener.port)
            sender = SyslogSender(loop, timers, log, SyslogSettings(address, "n0", **settings), middle)
            sender.start()
            return await script(sender, collector)

        try:
            return loop.run_until_complete(asyncio.wait_for(start_and_run(), 60))
        finally:
            loop.close()

    return run
