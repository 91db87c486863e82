"""The operators' calls over real sockets."""

import asyncio
import io
import socket

import orjson
import pytest
from helper import address_of, config

from rampfront.edge.configuration import read_configuration
from rampfront.edge.log import Log
from rampfront.edge.node import start
from rampfront.edge.server_list import parse_address
from rampfront.net.clock import Clock


@pytest.mark.slow(3)
def test_the_operators_address_over_real_sockets(loop):
    """Metrics agree with the responses that clients got; drain makes the clients' listener not ready and closes idle
    connections; activate reverts it. Unknown calls, malformed requests and silent connections end with an error."""

    class AppServer(asyncio.Protocol):
        def connection_made(self, transport):
            self.transport = transport

        def data_received(self, data):
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    configuration = config(1)
    server = loop.run_until_complete(loop.create_server(AppServer, "127.0.0.1", 0))
    configuration["known"]["targets"][0]["endpoint"] = address_of(server.sockets[0])
    for key in ("listen", "admin_addr"):
        with socket.create_server(("127.0.0.1", 0)) as free:
            configuration[key] = address_of(free)
    driver = start(loop, Clock(), read_configuration(configuration, {}), Log("n0", 0, io.BytesIO())).driver
    run = loop.run_until_complete

    async def call(listener, text, keep=None):
        read, write = await asyncio.open_connection(*parse_address(configuration[listener]))
        write.write(text)
        response = await asyncio.wait_for(read.read(), 3)
        write.close()
        return response.split(b"\r\n")[0], response.partition(b"\r\n\r\n")[2]

    fields = (
        b"X-Request-Id: %d\r\nX-Class: ledger\r\nX-Tier: open\r\nCookie: key=00000000B4D65521\r\n"
        b"X-Deadline-Ms: 900\r\nX-Call-Terms: units=1,spread=2,first=0\r\nContent-Length: 0\r\n\r\n"
    )
    transaction = b"POST /api HTTP/1.1\r\nConnection: close\r\n" + fields
    responses = [
        run(call("listen", transaction % 1)),
        run(call("listen", transaction.replace(b"X-Tier: open", b"X-Tier: z") % 2)),
        run(call("admin_addr", b"GET /v1/readyz HTTP/1.1\r\n\r\n")),
    ]
    responses.append(run(call("admin_addr", b"GET /v1/metrics HTTP/1.1\r\n\r\n")))
    idle = run(asyncio.open_connection(*parse_address(configuration["listen"])))
    idle[1].write(b"POST /api HTTP/1.1\r\n" + fields % 3)
    run(idle[0].readuntil(b"ok"))
    responses += [
        run(call("admin_addr", b"POST /v1/edge-node/drain HTTP/1.1\r\n\r\n")),
        run(call("listen", b"GET /-/ready HTTP/1.1\r\n\r\n")),
        (run(idle[0].read()),),  # drain closes the idle connection
        run(call("admin_addr", b"GET /v1/readyz HTTP/1.1\r\n\r\n")),
        run(call("admin_addr", b"POST /v1/edge-node/activate HTTP/1.1\r\n\r\n")),
        run(call("listen", b"GET /-/ready HTTP/1.1\r\n\r\n")),
        run(call("admin_addr", b"GET /v1/nothing HTTP/1.1\r\n\r\n")),
        run(call("admin_addr", b"POST /v1/metrics HTTP/1.1\r\n\r\n")),
        run(call("admin_addr", b"HELLO\r\n\r\n")),
    ]
    silent = [run(asyncio.open_connection(*parse_address(configuration["admin_addr"]))) for _ in range(3)]
    silent[1][1].write(b"GET /v1/rea")
    started_at = loop.time()
    ends = [run(asyncio.wait_for(read.read(), 3)) for read, _ in silent]  # closed by the sweep
    assert ends[0] == ends[2] == b"" and ends[1].startswith(b"HTTP/1.1 408 ")  # a partial head is answered
    assert 0.9 < loop.time() - started_at < 2.5
    status = [line[0].split(b" ")[1] if line[0] else b"closed" for line in responses]
    assert status == [
        b"200",
        b"400",
        b"200",
        b"200",
        b"200",
        b"503",
        b"closed",
        b"503",
        b"200",
        b"200",
        b"404",
        b"405",
        b"400",
    ]
    figures = orjson.loads(responses[3][1])
    assert figures["success"] == {"fetch": 0, "publish": 0, "ledger": 1} and figures["error"]["ledger"] == 1
    assert figures["dispatches"] == 1 and figures["targets"] == 1 and not figures["targets_disabled"]
    driver.gateway.listeners[0].retire(loop.stop)
    server.close()
    loop.run_forever()
