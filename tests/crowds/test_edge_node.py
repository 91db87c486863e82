"""Crowds at an edge node whose machine has 192 MB, with one app server beside it."""

import asyncio
import json
import subprocess
import sys

import crowd_clients as clients
import pytest
from crowd_clients import KIB, MIB
from crowd_system import ANSWERS_WITHIN_S, OWN_HOST, ProcessMeter, ask_repeatedly, require_refused

from rampfront.lab.http import Connection as ServerConnection
from rampfront.lab.http import HttpServerBase, Listener
from rampfront.lab.nodes import free_port
from rampfront.operator_cli.child_processes import ROOT, child_environment
from rampfront.settings.scalars import parse_address

pytestmark = pytest.mark.alone
MEMORY_MB = 192
SOCKETS = 1024
HEAD_LIMIT = 16 * KIB
LARGEST_BODY = 65_000
IN_TRANSIT = 40 * MIB
SETTINGS = {
    "Classes": [{"Name": "fetch", "Effect": "pure", "OnTime": 1000.0}],
    "Packages": [{"Name": "basic", "PerSecond": 1000.0, "StoreSize": 10000.0}],
    "PeersTotal": 1,
    "Domain": {"HasCounter": False, "CountWait": 80.0, "Largest": 4},
    "Limits": {"AttemptsCap": 3, "MayCancel": True, "Probing": False},
    "Rules": {"ColdShare": 0.2, "WarmWithin": 10000.0, "FallMultiple": 2.0, "TipAfter": 1000.0},
}
TOPIC = {"filter": "fetch/+", "product": "fetch", "units": 1.0, "path": "/api?{1}"}
FIELDS = {
    "X-Class": "fetch",
    "X-Tier": "basic",
    "Cookie": "key=00000000b4d65521",
    "X-Deadline-Ms": "8000",
    "X-Call-Terms": "units=1,spread=1,first=0",
}


class AppServer(HttpServerBase):
    """Answers each request with a body of the same size."""

    def __init__(self, loop, answer_bytes):
        super().__init__()
        self.clock = loop.time
        self.body = b"a" * answer_bytes
        self.listener = Listener(loop, lambda: ServerConnection(self), "127.0.0.1")

    def handle(self, request):
        is_check = request.path.startswith("/-/")
        request.connection.respond(200, b"{}" if is_check else self.body)


class EdgeProcess:
    """An edge node's process, the app server that it sends to, and its measurement."""

    def __init__(self, folder):
        self.folder = folder
        self.address = f"{OWN_HOST}:{free_port(OWN_HOST)}"
        self.mqtt = f"{OWN_HOST}:{free_port(OWN_HOST)}"
        self.clients = []
        self.findings = []

    async def start(self, answer_bytes):
        server = AppServer(asyncio.get_running_loop(), answer_bytes)
        await server.listener.open()
        target = {"uid": "s0", "endpoint": server.listener.address, "state": "in_service", "boot_ms": 0}
        configuration = {
            "name": "n0",
            "listen": self.address,
            "discovery": f"127.0.0.1:{free_port()}",
            "seed": "8c1f30d2",
            "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": {"rev": 1, "all": True, "targets": [target]},
            "settings": SETTINGS,
            "mqtt": {"listen": self.mqtt, "plan": "basic", "topics": [TOPIC]},
        }
        path = self.folder / "node.json"
        path.write_text(json.dumps(configuration))
        with open(self.folder / "node.log", "wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "rampfront"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**child_environment(), "RELAY_CONFIG": str(path)},
            )
        self.meter = ProcessMeter(self.child.pid, OWN_HOST)
        status = await ask_repeatedly(self.address, "GET", "/-/ready")
        assert status == 200, (self.folder / "node.log").read_text()

    async def crowd(self, streams, address=""):
        crowd = await clients.push_all(parse_address(address or self.address), streams)
        self.clients += crowd
        return crowd

    async def check(self):
        status = await ask_repeatedly(self.address, "GET", "/api", fields={**FIELDS, "X-Request-Id": "ordinary"})
        self.meter.stop()
        self.findings += self.meter.findings(self.child, MEMORY_MB, SOCKETS, {"front": status})

    def end(self):
        for client in self.clients:
            client.close()
        self.child.kill()
        self.child.wait()


def play(tmp_path, scene, answer_bytes=64):
    async def run():
        node = EdgeProcess(tmp_path)
        try:
            await node.start(answer_bytes)
            await scene(node)
            await node.check()
        finally:
            node.end()
        return node.findings

    assert asyncio.run(run()) == []


def transaction(number):
    """A transaction whose answer is not read."""
    fields = [f"{name}: {value}" for name, value in FIELDS.items()]
    yield clients.head("GET", "/api", f"X-Request-Id: crowd{number}", *fields)


def test_bodies_in_chunks_of_two_bytes_that_do_not_end(tmp_path):
    async def scene(node):
        await node.crowd([clients.unsized_body("/api", LARGEST_BODY) for _ in range(300)])

    play(tmp_path, scene)


def test_bodies_that_stop_short_of_their_end(tmp_path):
    async def scene(node):
        await node.crowd([clients.sized_body("/api", LARGEST_BODY, withheld_bytes=1) for _ in range(600)])

    play(tmp_path, scene)


def test_heads_without_end(tmp_path):
    async def scene(node):
        await node.crowd([clients.endless_field(MIB) for _ in range(300)])

    play(tmp_path, scene)


def test_empty_lines_without_end_are_refused(tmp_path):
    async def scene(node):
        crowd = await node.crowd([clients.empty_lines(256 * MIB) for _ in range(4)])
        node.findings += require_refused(crowd, HEAD_LIMIT + IN_TRANSIT)

    play(tmp_path, scene)


def test_long_answers_that_nobody_reads(tmp_path):
    async def scene(node):
        await node.crowd([transaction(number) for number in range(60)])
        await asyncio.sleep(ANSWERS_WITHIN_S)

    play(tmp_path, scene, answer_bytes=8 * MIB)


def test_answers_just_below_streaming_that_nobody_reads(tmp_path):
    async def scene(node):
        await node.crowd([transaction(number) for number in range(250)])
        await asyncio.sleep(ANSWERS_WITHIN_S)

    play(tmp_path, scene, answer_bytes=60 * KIB)


def test_mqtt_packets_that_stop_short_of_their_end(tmp_path):
    """A CONNECT packet of the largest length that the encoding allows, which never ends."""

    async def scene(node):
        packet = b"\x10\xff\xff\xff\x7f\x00\x04MQTT\x04\x02\x00\x3c"
        await node.crowd([[packet, *clients.in_pieces(16 * MIB)] for _ in range(100)], node.mqtt)

    play(tmp_path, scene)
