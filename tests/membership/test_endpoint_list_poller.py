"""The poller on loopback."""

import asyncio
import time

from rampfront.lab.platform import Platform, open_platform
from rampfront.membership.endpoint_list_poller import PollCallbacks, Poller, PollSettings

MS, SEC = 10**6, 10**9


def test_the_poller_follows_the_platform(loop):
    """Complete lists only; a platform that moved is asked at its new address, and the old one's answers are ignored;
    one that answers nonsense is asked again; stopped, it asks nothing.
    """
    run = loop.run_until_complete
    clock = time.monotonic_ns
    one, two = Platform(clock, page=2), Platform(clock, page=2)
    for k in range(5):
        one.put(f"i-{k}", "s", f"10.0.0.{k + 1}:80", "z")
    two.put("j", "s", "10.0.0.1:80", "z")
    doors = [run(open_platform(loop, p)) for p in (one, two)]
    lists, drops, news = [], [], asyncio.Event()

    def told(to, what):
        to.append(what)
        news.set()

    async def until(true):
        while not true():
            news.clear()
            await asyncio.wait_for(news.wait(), 5)

    callbacks = PollCallbacks(lambda s: told(lists, s), lambda reason: told(drops, reason))
    poller = Poller(loop, clock, PollSettings(doors[0].address, 1000.0, 2 * MS), callbacks)
    poller.start()
    run(until(lambda: len(lists) >= 2))
    assert [row.id for row in lists[-1].endpoints] == [f"i-{k}" for k in range(5)]
    assert doors[0].counts["connections"] == 1
    assert poller.failing_ns(poller.since_ns + SEC) == SEC and poller.since_ns > lists[0].read_at_ns
    one.ill = "garbled"
    run(until(lambda: drops))
    one.ill = "silent"
    run(asyncio.wait_for(poll(lambda: one.held), 5))
    poller.change_address(doors[1].address)
    held = len(one.held)
    one.ill, count = None, len(lists)
    run(until(lambda: len(lists) > count))
    assert lists[count].endpoints[0].id == "i-0"  # a move does not forget: five are held for a round, then gone
    run(until(lambda: len(lists) > count + 1))
    assert [row.id for row in lists[count + 1].endpoints] == ["j"] and len(one.held) == held
    poller.stop()
    calls = two.counts["calls"]
    run(asyncio.wait_for(poll(lambda: not doors[1].connections), 5))
    assert two.counts["calls"] == calls and poller.timer is None
    for door in doors:
        door.close()


async def poll(true):
    while not true():
        await asyncio.sleep(0)
