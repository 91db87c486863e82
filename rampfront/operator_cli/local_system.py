"""A small system on loopback: nodes as child processes, with a simulated platform and simulated servers.

`LocalSystem` owns the child processes, their folder and the simulated parts. It is not part of the system itself: the
nodes run the same program as on real machines.
"""

import asyncio
import json
import os
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from subprocess import Popen
from typing import Any, NamedTuple

from result import Err, Ok

from ..lab import platform, simulated_servers
from ..lab.simulated_servers import ServerProfile, ServiceTime
from ..net.http_client import HttpRequest, send_request
from ..settings import configuration_reader
from ..settings.configuration import Configuration, Service
from ..settings.scalars import parse_address
from . import local_report
from .child_processes import MAX_EXITS, RESTART_DELAY_S, ChildProcesses, RestartHistory
from .control_answers import Json, format_address
from .control_client import ControlClient
from .local_layout import (
    ZONES,
    Environment,
    LocalSystemError,
    Node,
    find_free_ports,
    layout,
    node_settings,
)
from .sample_configuration import sample_configuration

ORDER_TIMEOUT_S = 1.0  # of one attempt to apply the first configuration
START_POLL_S = 0.1
WATCH_POLL_S = 0.25
MIN_POLL_S = 0.01
SERVER_WORK_MS = 20.0  # mean service time of a simulated server
SERVER_SLOTS = 4
SERVER_QUEUE = 16
MAX_SERVER_CONNECTIONS = 4096
DEFAULT_COLD_PER_S = 2.0


# These parts of the laboratory are not annotated.
_Platform: Any = platform.Platform
_open_platform: Any = platform.open_platform
_Fleet: Any = simulated_servers.Fleet


class SystemSize(NamedTuple):
    """The size of a small system: the number of nodes, the first one's IP address, and the servers of each service."""

    nodes: int = 4
    base: str = "127.0.0.11"
    servers_per_service: int = 3


class LocalSystem:
    """A small system. Subclasses may override the layout of the nodes and the simulated parts."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        size: SystemSize | None = None,
        body: bytes | None = None,
        folder: str | Path | None = None,
    ) -> None:
        """`body`: the first configuration, None for the built-in one; `folder`: for settings, data and logs, kept after
        the end; None for a temporary folder."""
        self.loop = loop
        self.size = size or SystemSize()
        self.body = json.dumps(sample_configuration(), indent=1).encode() if body is None else body
        self.configuration: Configuration = configuration_reader.read(self.body).unwrap()
        self.keeps_folder = folder is not None
        self.folder = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="rampfront-"))
        self.nodes: list[Node] = []
        self.processes = ChildProcesses(self.folder)
        self._restarts = RestartHistory()
        self.platform: Any = None  # the laboratory's simulated platform
        self.listener: Any = None  # the platform's listening socket
        self.fleet: Any = None  # the simulated servers

    @property
    def children(self) -> dict[str, Popen[bytes]]:
        """The nodes' processes by name."""
        return self.processes.by_name

    async def start(self, timeout_s: float = 60.0) -> None:
        """Starts the system and returns when every node is ready. Raises `LocalSystemError`."""
        deadline = time.monotonic() + timeout_s
        await self.start_simulated_parts()
        self.nodes = self.layout_nodes(find_free_ports([node.ip for node in self.layout_nodes(0)]))
        await self.prepare()
        for node in self.nodes:
            self.launch(node)
        client = ControlClient([parse_address(node.control) for node in self.nodes], ORDER_TIMEOUT_S)
        while isinstance(outcome := await client.call("config.replace", self.body), Err):
            await self._wait(deadline, f"the core does not accept the configuration: {outcome.err_value}")
        for node in self.nodes:
            while not await self._is_ready(node):
                await self._wait(deadline, f"{node.name} does not become ready")

    # Methods that subclasses may override.

    def layout_nodes(self, port: int) -> list[Node]:
        """Returns the nodes, whose ports begin at `port`."""
        return layout(self.size.nodes, self.size.base, port)

    async def prepare(self) -> None:
        """Called when the layout of the nodes is known and before any is started."""

    def process_settings(self, node: Node, first_boot: bool) -> Json:
        """Returns a node's settings file."""
        environment = Environment(self.nodes, format_address(self.listener.address), self.folder)
        return node_settings(node, environment, first_boot)

    def program(self, node: Node) -> list[str]:
        """Returns the command that starts a node."""
        return [sys.executable, "-m", "rampfront.node"]

    async def start_simulated_parts(self) -> None:
        """Starts the simulated platform and servers."""
        clock = time.time_ns
        self.platform = _Platform(clock)
        self.listener = await _open_platform(self.loop, self.platform)
        self.fleet = _Fleet(self.loop, clock, self.platform, seed=1)
        zones = list(ZONES)[: self.size.nodes]
        for service in self.configuration.services.values():
            for index in range(self.size.servers_per_service):
                await self.fleet.start(_server_kind(service), zones[index % len(zones)])

    # Nodes.

    def launch(self, node: Node, first: bool = True) -> None:
        """Starts a node's process. `first`: whether this is the first start of the whole system."""
        settings = self.process_settings(node, first)
        if node.disk:
            os.makedirs(settings["Self"]["DataFolder"], exist_ok=True)
        self.processes.start(node.name, self.program(node), settings)

    async def _is_ready(self, node: Node) -> bool:
        outcome = await send_request(self.loop, parse_address(node.ready), HttpRequest("GET", "/api/ready"))
        return isinstance(outcome, Ok) and outcome.ok_value.status == HTTPStatus.OK

    async def _wait(self, deadline: float, reason: str) -> None:
        """Waits for a poll interval. Raises `LocalSystemError` if a child has exited or the deadline has passed."""
        self.processes.check_running()
        if time.monotonic() > deadline:
            raise LocalSystemError(f"{reason}\n{self.processes.log_tail()}")
        await asyncio.sleep(START_POLL_S)

    async def supervise(
        self, ended: asyncio.Event, seconds: float | None = None, report: Callable[[str], object] = print
    ) -> None:
        """Restarts nodes that exit, until `ended` is set or `seconds` have passed. Raises `LocalSystemError`."""
        deadline = time.monotonic() + seconds if seconds else None
        while not ended.is_set() and (deadline is None or time.monotonic() < deadline):
            self.restart_exited(time.monotonic(), report)
            wait_s = WATCH_POLL_S
            if deadline is not None:
                wait_s = max(MIN_POLL_S, min(WATCH_POLL_S, deadline - time.monotonic()))
            try:
                await asyncio.wait_for(ended.wait(), wait_s)
            except TimeoutError:
                continue

    def restart_exited(self, now_s: float, report: Callable[[str], object]) -> None:
        """Restarts nodes that have exited, after a pause. Raises `LocalSystemError` if one exits repeatedly."""
        for node in self.nodes:
            child = self.children[node.name]
            if child.poll() is None:
                continue
            if self._restarts.record_exit(node.name, child.pid, now_s):
                self._check_restarts(node.name, child, now_s)
                report(
                    f"{node.name} ended with status {child.returncode}; it will be restarted in {RESTART_DELAY_S:g} s"
                )
            elif self._restarts.is_restart_due(node.name, now_s):
                self.launch(node, first=False)

    def _check_restarts(self, name: str, child: Popen[bytes], now_s: float) -> None:
        elapsed_s = self._restarts.crash_loop_duration_s(name, now_s)
        if elapsed_s is not None:
            raise LocalSystemError(
                f"{name} ended {MAX_EXITS} times in {elapsed_s:.0f} s, last with status "
                f"{child.returncode}\n{self.processes.log_tail(name)}"
            )

    # Output.

    def describe(self) -> Json:
        """Returns the addresses and processes of the system, as `up --json` prints them."""
        return local_report.describe(self.nodes, self.children, self.configuration, str(self.folder))

    def startup_message(self) -> str:
        """Returns the text that `up` prints: the nodes, a sample request, and how to query the system."""
        return local_report.startup_message(self.nodes, len(self.fleet.servers), self.configuration, str(self.folder))

    async def end(self) -> dict[str, int]:
        """Ends the nodes and the simulated parts; returns the exit codes of the nodes by name."""
        exit_codes = await self.processes.end()
        if self.fleet:
            self.fleet.close()
        if self.listener:
            self.listener.close()
        if not self.keeps_folder:
            shutil.rmtree(self.folder, ignore_errors=True)
        return exit_codes


def _server_kind(service: Service) -> ServerProfile:
    """Returns the properties of the simulated servers of a service."""
    return ServerProfile(
        service.name,
        slots=SERVER_SLOTS,
        queue=SERVER_QUEUE,
        latency=ServiceTime(SERVER_WORK_MS, "exponential"),
        max_conns=min(MAX_SERVER_CONNECTIONS, service.max_conns),
        health=service.health_path.decode(),
        cold_per_s=service.cold_per_s or DEFAULT_COLD_PER_S,
    )
