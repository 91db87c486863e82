"""Fixtures of the tests of `rampfront/net`."""

import asyncio

import pytest
import uvloop


@pytest.fixture(params=[uvloop.new_event_loop, asyncio.new_event_loop], ids=["uvloop", "asyncio"])
def any_loop(request):
    """Each of the two event loops, which report the end of a connection differently."""
    loop = request.param()
    yield loop
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
