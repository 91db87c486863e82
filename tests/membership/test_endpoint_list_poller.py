"""Tests of the poller on the loopback interface."""

import asyncio
import time

from rampfront.lab.platform import Platform, open_platform
from rampfront.membership.endpoint_list_poller import PollCallbacks, Poller, PollSettings

MS, SEC = 10**6, 10**9


def test_the_poller_follows_the_platform(loop):
    """Only complete lists are published. After a change of address only the new platform's answers count, invalid
    answers are retried, and a stopped poller sends no requests.
    """
    run = loop.run_until_complete
    clock = time.monotonic_ns
    one, two = Platform(clock, page=2), Platform(clock, page=2)
    for k in range(5):
        one.put(f"i-{k}", "s", f"10.0.0.{k + 1}:80", "z")
    two.put("j", "s", "10.0.0.1:80", "z")
    listeners = [run(open_platform(loop, p)) for p in (one, two)]
    lists, failures, notified = [], [], asyncio.Event()

    def notify(to, item):
        to.append(item)
        notified.set()

    async def until(condition):
        while not condition():
            notified.clear()
            await asyncio.wait_for(notified.wait(), 5)

    callbacks = PollCallbacks(lambda s: notify(lists, s), lambda reason: notify(failures, reason))
    poller = Poller(loop, clock, PollSettings(listeners[0].address, 1000.0, 2 * MS), callbacks)
    poller.start()
    run(until(lambda: len(lists) >= 2))
    assert [row.id for row in lists[-1].endpoints] == [f"i-{k}" for k in range(5)]
    assert listeners[0].counts["connections"] == 1
    assert poller.failing_ns(poller.since_ns + SEC) == SEC and poller.since_ns > lists[0].read_at_ns
    one.fault = "garbled"
    run(until(lambda: failures))
    one.fault = "silent"
    run(asyncio.wait_for(poll(lambda: one.unanswered_requests), 5))
    poller.change_address(listeners[1].address)
    held = len(one.unanswered_requests)
    one.fault, count = None, len(lists)
    run(until(lambda: len(lists) > count))
    # A change of address keeps the list: the five servers are kept for a round, then removed.
    assert lists[count].endpoints[0].id == "i-0"
    run(until(lambda: len(lists) > count + 1))
    assert [row.id for row in lists[count + 1].endpoints] == ["j"] and len(one.unanswered_requests) == held
    poller.stop()
    calls = two.counts["calls"]
    run(asyncio.wait_for(poll(lambda: not listeners[1].connections), 5))
    assert two.counts["calls"] == calls and poller.timer is None
    for listener in listeners:
        listener.close()


async def poll(condition):
    while not condition():
        await asyncio.sleep(0)
