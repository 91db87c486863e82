"""The laboratory's stand-ins for servers."""

import asyncio
import time
from collections import deque

from rampfront.lab.platform import Platform
from rampfront.lab.simulated_servers import Fleet, ServerProfile, ServiceTime
from rampfront.net.http_client import HttpClient, HttpRequest, send_request
from rampfront.settings.scalars import parse_address

MS, SEC = 10**6, 10**9


async def poll(true):
    while not true():
        await asyncio.sleep(0)


def test_stand_in_servers(loop):
    """They speak as the protocol says, spoil answers as told, and count what ran."""
    run, clock = loop.run_until_complete, time.monotonic_ns
    fleet = Fleet(loop, clock, Platform(clock), seed=1)
    spoils = deque([None, "cut", "garbled", "reset", "late", None, "chunked", "extra", "close", "error"])
    box = run(fleet.start(ServerProfile("s", latency=ServiceTime(1.0), queue=1), "z", choose_fault=spoils))
    client = HttpClient(loop, parse_address(box.address))

    def tell(method="GET", target="/x?a=b", client=client, **fields):
        rows = tuple((name.replace("_", "-").encode(), value.encode()) for name, value in fields.items())
        return client.request(HttpRequest(method, target, b"", rows), 5)

    said = [run(tell(Try_Id=f"{k:016x}")) for k in range(10)]
    assert [str(r.err_value) if r.is_err() else r.ok_value.status for r in said] == [
        200,
        "the connection ended",
        "no HTTP/1.1",
        "the connection ended",
        200,
        "bytes behind the answer",
        200,
        "bytes behind the answer",
        200,
        500,
    ]
    assert all(
        r.ok_value.headers[b"try-id"] == b"%016x" % k and b"server-seal" in r.ok_value.headers
        for k, r in enumerate(said)
        if r.is_ok()
    )
    assert len(box.runs) == 10 and not fleet.executed_more_than_once() and box.runs[0].url == "/x?a=b"
    assert run(tell(Wanted_Server="i-other", Try_Id="a")).ok_value.status == 421
    assert run(tell()).ok_value.headers[b"not-run"] == b"1" and len(box.runs) == 10
    assert run(tell(target="/health")).ok_value.headers[b"server-id"] == box.uid.encode()

    box.server_model.draw_service_time_ns = lambda: 100 * SEC

    async def crowd(count, turned):
        calls = [
            tell("POST", client=HttpClient(loop, parse_address(box.address)), Try_Id=f"c{k}") for k in range(count)
        ]
        calls = asyncio.gather(*calls)
        await asyncio.wait_for(poll(lambda: box.counts["turned_away"] == turned or not box.is_up), 5)
        return calls

    calls = run(crowd(6, 3))  # two slots, one waits, the rest has not run
    assert len(box.runs) == 12
    fleet.drain(box.uid)
    assert run(tell(target="/health")).ok_value.status == 503 and not client.connected
    box.begin_cold_spell(5 * SEC)
    more = run(crowd(20, -1))
    assert box.max_cold_arrivals == 12 and not box.is_up  # far above its rate it falls over
    said = [r.ok_value.status if r.is_ok() else 0 for r in run(calls) + run(more)]
    assert sorted(set(said)) == [0, 503] and said[:6].count(503) == 3 and not fleet.executed_more_than_once()
    fleet.end(box.uid)
    assert (
        run(send_request(loop, parse_address(box.address), HttpRequest("GET", "/x"))).is_err()
        and not fleet.platform.versions[-1][1]
    )
    client.close()
