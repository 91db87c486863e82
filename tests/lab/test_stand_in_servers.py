"""The laboratory's simulated servers."""

import asyncio
import time
from collections import deque

from rampfront.lab.platform import Platform
from rampfront.lab.simulated_servers import Fleet, ServerProfile, ServiceTime
from rampfront.net.http_client import HttpClient, HttpRequest, send_request
from rampfront.settings.scalars import parse_address

MS, SEC = 10**6, 10**9


async def poll(condition):
    while not condition():
        await asyncio.sleep(0)


def test_stand_in_servers(loop):
    """They follow the protocol, apply the chosen response faults, and record what was executed."""
    run, clock = loop.run_until_complete, time.monotonic_ns
    fleet = Fleet(loop, clock, Platform(clock), seed=1)
    faults = deque([None, "cut", "garbled", "reset", "late", None, "chunked", "extra", "close", "error"])
    server = run(fleet.start(ServerProfile("s", latency=ServiceTime(1.0), queue=1), "z", choose_fault=faults))
    client = HttpClient(loop, parse_address(server.address))

    def request(method="GET", target="/x?a=b", client=client, **fields):
        rows = tuple((name.replace("_", "-").encode(), value.encode()) for name, value in fields.items())
        return client.request(HttpRequest(method, target, b"", rows), 5)

    results = [run(request(Try_Id=f"{k:016x}")) for k in range(10)]
    assert [str(result.err_value) if result.is_err() else result.ok_value.status for result in results] == [
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
        result.ok_value.headers[b"try-id"] == b"%016x" % k and b"server-seal" in result.ok_value.headers
        for k, result in enumerate(results)
        if result.is_ok()
    )
    assert len(server.runs) == 10 and not fleet.executed_more_than_once() and server.runs[0].url == "/x?a=b"
    assert run(request(Wanted_Server="i-other", Try_Id="a")).ok_value.status == 421
    assert run(request()).ok_value.headers[b"not-run"] == b"1" and len(server.runs) == 10
    assert run(request(target="/health")).ok_value.headers[b"server-id"] == server.uid.encode()

    server.server_model.draw_service_time_ns = lambda: 100 * SEC

    async def send_requests(count, expected_turned_away):
        responses = [
            request("POST", client=HttpClient(loop, parse_address(server.address)), Try_Id=f"c{k}")
            for k in range(count)
        ]
        responses = asyncio.gather(*responses)
        await asyncio.wait_for(
            poll(lambda: server.counts["turned_away"] == expected_turned_away or not server.is_up), 5
        )
        return responses

    responses = run(send_requests(6, 3))  # two slots, one is queued, the others are turned away unexecuted
    assert len(server.runs) == 12
    fleet.drain(server.uid)
    assert run(request(target="/health")).ok_value.status == 503 and not client.connected
    server.begin_cold_spell(5 * SEC)
    more_responses = run(send_requests(20, -1))
    assert server.max_cold_arrivals == 12 and not server.is_up  # it crashes far above its cold rate
    results = [result.ok_value.status if result.is_ok() else 0 for result in run(responses) + run(more_responses)]
    assert sorted(set(results)) == [0, 503] and results[:6].count(503) == 3 and not fleet.executed_more_than_once()
    fleet.end(server.uid)
    assert (
        run(send_request(loop, parse_address(server.address), HttpRequest("GET", "/x"))).is_err()
        and not fleet.platform.versions[-1][1]
    )
    client.close()
