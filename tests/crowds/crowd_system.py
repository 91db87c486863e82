"""The process that a crowd meets: one node of the system with simulated servers, or an edge node, and its measurements.

The measurements do not depend on the machine's speed: whether the process lives, the most memory that it had (`VmHWM`,
and its resident memory together with the bytes that its kernel holds unread for it), its open descriptors, and whether
one ordinary request is answered.
"""

import asyncio
import contextlib
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import urllib.request
from collections.abc import Iterable
from http import HTTPStatus
from pathlib import Path

import crowd_clients
from exposition import parse_exposition

from rampfront.lab.simulated_servers import Answer, ServerProfile, ServiceTime, SimulatedServer
from rampfront.operator_cli.local_layout import FRAME_PORTS_FROM
from rampfront.operator_cli.local_system import LocalSystem, SystemSize
from rampfront.operator_cli.sample_configuration import API_KEY, HOST, sample_configuration
from rampfront.settings.scalars import parse_address

MB = 10**6  # the unit of `MemoryMb`, in which a machine's memory is stated
MEMORY_MB = 200  # of the machine: the default of the settings file
OPEN_FILES = 1024
OWN_HOST = f"127.1.{os.getpid() % 250}.1"  # so that two runs beside each other do not measure each other's sockets
SAMPLE_INTERVAL_S = 0.05
ORDINARY_TRIES = 8  # a client honours the time that a refusal names, and tries again
ORDINARY_TIMEOUT_S = 20.0
RETRY_PAUSE_S = 0.5
GIVE_UP = "8s"  # of all routes, as one process simulates all servers and clients
ANSWERS_WITHIN_S = 2.0  # the answers of a whole crowd
CUSTOMER_FIELDS = {"Host": HOST, "Authorization": f"Bearer {API_KEY}", "Time-Left-Ms": "8000"}
MOST_LEFT_BYTES = 16 << 10  # charged for calls of the moment
REASON_BYTES = 60  # of an answer, which a failed test prints
_KB = 1024  # the unit of /proc/PID/status
_HEX = 16
_numbers = itertools.count()


class ProcessMeter:
    """Measures one process until `stop`."""

    def __init__(self, pid: int, host: str) -> None:
        """`host`: the IP address that the process listens at; its sockets are told apart by it."""
        self.pid = pid
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._local = socket.inet_aton(host)[::-1].hex().upper()
        self._task = asyncio.ensure_future(self._sample_repeatedly())

    def stop(self) -> None:
        """Takes a last sample and ends."""
        self._task.cancel()
        self.sample()

    def sample(self) -> None:
        """Reads the figures of now; those of a process that has ended stay as they were."""
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            status = dict(
                line.split(":", 1) for line in Path(f"/proc/{self.pid}/status").read_text().splitlines() if ":" in line
            )
            resident, peak = (int(status[name].split()[0]) * _KB for name in ("VmRSS", "VmHWM"))
            self.peak_bytes = max(self.peak_bytes, peak, resident + self.unread_bytes())
            self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))

    def unread_bytes(self) -> int:
        """Returns the bytes that have arrived on connections to the host and were not read yet."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if local.startswith(self._local) and state != "0A":  # the queue of a listening socket holds connections
                total += int(queues.split(":")[1], _HEX)
        return total

    def findings(
        self, child: subprocess.Popen[bytes], memory_mb: int, descriptors: int, answers: dict[str, int]
    ) -> list[str]:
        """Returns what does not hold: the process lives, stays within its limits, and answers ordinary requests."""
        measured = f"{self.peak_bytes / MB:.0f} MB, {self.peak_descriptors} descriptors, answers {answers}"
        conditions = {
            "the process has ended": child.poll() is None,
            "more memory than the machine has": self.peak_bytes <= memory_mb * MB,
            "more descriptors than the machine has": self.peak_descriptors <= descriptors,
            "an ordinary request is not answered": set(answers.values()) <= {HTTPStatus.OK},
        }
        print(measured)
        return [f"{finding}: {measured}" for finding, holds in conditions.items() if not holds]

    async def _sample_repeatedly(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def configuration_with_longer_routes():
    """Returns the sample configuration, whose routes wait for as long as a busy machine needs, without quotas: a node
    that has just started may answer the second request of a tenant with 429."""
    configuration = sample_configuration()
    configuration["Customers"][0].update(PerS=0, Burst=0)
    for rule in configuration["Sockets"][0]["Rulebook"]:
        rule["ThenDo"]["GiveUp"] = GIVE_UP
    return configuration


class LongAnswerServer(SimulatedServer):
    """A server whose answers cost this process little, whatever their size."""

    def send_result(self, request, deadline_exceeded):
        body = bytes(self.profile.body_bytes)
        self.respond(request.connection, Answer(200, body, b"Server-Seal: s\r\n", request.fields[b"try-id"]))


class CrowdSystem(LocalSystem):
    """One node on a machine of the given size, whose `reads` service answers with bodies of the given size."""

    def __init__(self, loop, folder, memory_mb: int = MEMORY_MB, answer_bytes: int = 64) -> None:
        configuration = json.dumps(configuration_with_longer_routes()).encode()
        super().__init__(loop, SystemSize(1, OWN_HOST, 3), configuration, folder)
        self.memory_mb = memory_mb
        self.answer_bytes = answer_bytes
        self.meter: ProcessMeter
        self.clients: list[crowd_clients.Client] = []
        self.findings: list[str] = []  # what does not hold

    def process_settings(self, node, first_boot):
        settings = super().process_settings(node, first_boot)
        settings["Self"]["Caps"].update(MemoryMb=self.memory_mb, OpenFiles=OPEN_FILES)
        return settings

    async def start_simulated_parts(self) -> None:
        """Replaces the servers of `reads` by some that take a whole crowd at once."""
        await super().start_simulated_parts()
        self.fleet.make_server = LongAnswerServer
        profile = ServerProfile("reads", slots=32, queue=64, latency=ServiceTime(5.0), body_bytes=self.answer_bytes)
        for uid, server in list(self.fleet.servers.items()):
            if server.profile.service == profile.service:
                self.fleet.end(uid)
                await self.fleet.start(profile, server.zone)

    @property
    def node(self):
        return self.nodes[0]

    @property
    def child(self):
        return self.children[self.node.name]

    async def enter(self) -> "CrowdSystem":
        """Starts the system and the measurement, once the node has read the tenants' counts and answers requests."""
        await self.start()
        assert await self.ordinary_request() == HTTPStatus.OK
        self.meter = ProcessMeter(self.child.pid, self.node.ip)
        return self

    async def restart(self, number: signal.Signals, within_s: float) -> None:
        """Ends the process with a signal and starts it again; the measurement goes on with the new one."""
        self.meter.stop()
        self.findings += self.meter.findings(self.child, self.memory_mb, OPEN_FILES, {})
        self.child.send_signal(number)
        async with asyncio.timeout(within_s):
            while self.child.poll() is None:
                await asyncio.sleep(SAMPLE_INTERVAL_S)
        if self.child.returncode != (0 if number == signal.SIGTERM else -number):
            self.findings.append(f"the process ended with {self.child.returncode} on {number.name}")
        self.launch(self.node, first=False)
        self.meter = ProcessMeter(self.child.pid, self.node.ip)
        assert await self.ordinary_call("ready") == HTTPStatus.OK

    async def crowd(self, where: str, streams) -> list[crowd_clients.Client]:
        """Lets clients send these streams to the address `where` of the node. They stay connected until the end."""
        node = self.node
        address = node.address_at(FRAME_PORTS_FROM) if where == "frames" else getattr(node, where)
        clients = await crowd_clients.push_all(parse_address(address), streams)
        self.clients += clients
        return clients

    async def ask_all(self, requests) -> None:
        """Lets clients send these requests, and waits until the servers have answered them."""
        await self.crowd("front", requests)
        await asyncio.sleep(ANSWERS_WITHIN_S)

    async def ordinary_request(self, path: str = "/order/1", body: bytes = b"one small order") -> int:
        """Sends a request as an ordinary client does, which retries when it is told so. Returns the last status."""
        return await ask_repeatedly(self.node.front, "POST", path, body, CUSTOMER_FIELDS)

    async def single_request(self, path: str, body: bytes | Iterable[bytes]) -> int:
        """Sends a request once. Returns the status."""
        return await asyncio.to_thread(_ask, self.node.front, "POST", path, body, CUSTOMER_FIELDS)

    async def ordinary_call(self, where: str) -> int:
        """Sends a call of an operator or a client's look-up. Returns the last status."""
        request = {
            "control": ("POST", "/api/rpc?call=config.read"),
            "directory": ("GET", f"/api/lookup?Name={HOST}&Region=north&Zone=north-a"),
            "ready": ("GET", "/api/ready"),
        }[where]
        return await ask_repeatedly(getattr(self.node, where), *request)

    async def check(self) -> None:
        """Checks what must hold behind every crowd, while its clients are still connected."""
        answers = {"front": await self.ordinary_request()}
        for where in ("control", "directory", "ready"):
            answers[where] = await self.ordinary_call(where)
        self.meter.stop()
        self.findings += self.meter.findings(self.child, self.memory_mb, OPEN_FILES, answers)
        await self.check_nothing_stays_charged()

    async def check_nothing_stays_charged(self) -> None:
        """Checks that the memory account is empty but for the call that asks, once the clients have left."""
        for client in self.clients:
            client.close()
        charged_bytes = 0.0
        for _ in range(ORDINARY_TRIES):
            await asyncio.sleep(RETRY_PAUSE_S)
            charged_bytes = await asyncio.to_thread(_read_gauge, self.node.control, "rampfront_memory_charged_bytes")
            if charged_bytes <= MOST_LEFT_BYTES:
                return
        self.findings.append(f"{charged_bytes:.0f} bytes stay charged")

    async def leave(self) -> None:
        """Ends the clients and the system."""
        for client in self.clients:
            client.close()
        await self.end()


def require_refused(clients: list[crowd_clients.Client], most_bytes: int) -> list[str]:
    """Returns the finding that a client could send more than this, if there is one."""
    sent = [client.sent_bytes for client in clients]
    return [] if max(sent) <= most_bytes else [f"not refused: {[size >> 20 for size in sent]} MiB were taken"]


async def ask_repeatedly(
    address: str, method: str, path: str, body: bytes = b"", fields: dict[str, str] | None = None
) -> int:
    """Sends a request until it is answered with 200, on a new connection each time. Returns the last status."""
    status = 0
    for _ in range(ORDINARY_TRIES):
        status = await asyncio.to_thread(_ask, address, method, path, body, fields or {})
        if status == HTTPStatus.OK:
            break
        await asyncio.sleep(RETRY_PAUSE_S)
    return status


def _read_gauge(address: str, name: str) -> float:
    """Returns the value of a gauge of a node."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=ORDINARY_TIMEOUT_S) as page:
        return float(parse_exposition(page.read().decode())[name])


def _ask(address: str, method: str, path: str, body: bytes | Iterable[bytes], fields: dict[str, str]) -> int:
    """Sends one request. Returns the status of the answer; 0 if there is none."""
    connection = http.client.HTTPConnection(address, timeout=ORDINARY_TIMEOUT_S)
    try:
        connection.request(method, path, body, {**fields, "Try-Id": f"ordinary{next(_numbers)}"})
        answer = connection.getresponse()
        print(answer.status, path, answer.read()[:REASON_BYTES])
        return answer.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def play(tmp_path, scene, **size) -> None:
    """Plays `scene`, a coroutine function of a `CrowdSystem`, and checks what must hold behind it."""

    async def run() -> list[str]:
        system = CrowdSystem(asyncio.get_running_loop(), tmp_path / "system", **size)
        system.folder.mkdir()
        try:
            await system.enter()
            await scene(system)
            await system.check()
        finally:
            await system.leave()
        return system.findings

    assert asyncio.run(run()) == []
