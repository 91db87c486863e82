"""A small system on loopback: nodes as child processes, and simulated platform and servers beside them.

It owns the children, their folder and the simulated parts, from start to end. It takes no part in the system: what it
starts is the program as machines run it.
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

from ..lab import boxes, platform
from ..lab.boxes import Make, Work
from ..net.http_client import HttpRequest, send_request
from ..settings import configuration_reader
from ..settings.configuration import Configuration, Service
from ..settings.scalars import parse_address
from . import local_report
from .child_processes import MAX_ENDS, RESTART_DELAY_S, ChildProcesses, RestartHistory
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

ORDER_TIMEOUT_S = 1.0  # of one attempt to give the first configuration
START_POLL_S = 0.1
WATCH_POLL_S = 0.25
MIN_POLL_S = 0.01
SERVER_WORK_MS = 20.0  # mean time that a simulated server works on a request
SERVER_SLOTS = 4
SERVER_QUEUE = 16
MAX_SERVER_CONNECTIONS = 4096
DEFAULT_COLD_PER_S = 2.0


# These parts of the laboratory have no annotations yet.
_Platform: Any = platform.Platform
_open_platform: Any = platform.open_platform
_Fleet: Any = boxes.Fleet


class SystemSize(NamedTuple):
    """How large a small system is: nodes from the IP address `base` on, and servers of each service."""

    nodes: int = 4
    base: str = "127.0.0.11"
    servers_per_service: int = 3


class LocalSystem:
    """A small system. A subclass may lay out its nodes and the simulated parts in its own way."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        size: SystemSize | None = None,
        body: bytes | None = None,
        folder: str | Path | None = None,
    ) -> None:
        """`body`: the first configuration, None: the built-in one; `folder`: for settings, data and logs, kept at the
        end if it is given."""
        self.loop = loop
        self.size = size or SystemSize()
        self.body = json.dumps(sample_configuration(), indent=1).encode() if body is None else body
        self.configuration: Configuration = configuration_reader.read(self.body).unwrap()
        self.keeps_folder = folder is not None
        self.folder = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="rampfront-"))
        self.nodes: list[Node] = []
        self.processes = ChildProcesses(self.folder)
        self._restarts = RestartHistory()
        self.platform: Any = None  # the laboratory's simulated platform,
        self.listener: Any = None  # the socket at which it listens,
        self.fleet: Any = None  # and the simulated servers

    @property
    def children(self) -> dict[str, Popen[bytes]]:
        """The nodes' processes by name."""
        return self.processes.by_name

    async def start(self, patience_s: float = 60.0) -> None:
        """Returns once every node is ready. Raises `LocalSystemError`."""
        deadline = time.monotonic() + patience_s
        await self.start_simulated_parts()
        self.nodes = self.layout_nodes(find_free_ports([node.ip for node in self.layout_nodes(0)]))
        await self.prepare()
        for node in self.nodes:
            self.launch(node)
        client = ControlClient([parse_address(node.control) for node in self.nodes], ORDER_TIMEOUT_S)
        while isinstance(outcome := await client.call("config.replace", self.body), Err):
            await self._wait(deadline, f"the core takes no configuration: {outcome.err_value}")
        for node in self.nodes:
            while not await self._is_ready(node):
                await self._wait(deadline, f"{node.name} does not become ready")

    # What a subclass may do its own way.

    def layout_nodes(self, port: int) -> list[Node]:
        """Returns the nodes, each with its row of ports from `port` on."""
        return layout(self.size.nodes, self.size.base, port)

    async def prepare(self) -> None:
        """Called once the nodes have their places, before any is started."""

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
        """Starts a node's process. `first`: at the first start of the whole system."""
        settings = self.process_settings(node, first)
        if node.disk:
            os.makedirs(settings["Self"]["DataFolder"], exist_ok=True)
        self.processes.start(node.name, self.program(node), settings)

    async def _is_ready(self, node: Node) -> bool:
        outcome = await send_request(self.loop, parse_address(node.ready), HttpRequest("GET", "/api/ready"))
        return isinstance(outcome, Ok) and outcome.ok_value.status == HTTPStatus.OK

    async def _wait(self, deadline: float, reason: str) -> None:
        """Waits a moment, in which all children have to go on running."""
        self.processes.check_running()
        if time.monotonic() > deadline:
            raise LocalSystemError(f"{reason}\n{self.processes.log_tail()}")
        await asyncio.sleep(START_POLL_S)

    async def supervise(
        self, ended: asyncio.Event, seconds: float | None = None, report: Callable[[str], object] = print
    ) -> None:
        """Restarts nodes that end, until `ended` is set or the time is over. Raises `LocalSystemError`."""
        deadline = time.monotonic() + seconds if seconds else None
        while not ended.is_set() and (deadline is None or time.monotonic() < deadline):
            self.restart_ended(time.monotonic(), report)
            wait_s = WATCH_POLL_S
            if deadline is not None:
                wait_s = max(MIN_POLL_S, min(WATCH_POLL_S, deadline - time.monotonic()))
            try:
                await asyncio.wait_for(ended.wait(), wait_s)
            except TimeoutError:
                continue

    def restart_ended(self, now_s: float, report: Callable[[str], object]) -> None:
        """Restarts nodes that have ended, after a pause; `LocalSystemError`: one of them ends again and again."""
        for node in self.nodes:
            child = self.children[node.name]
            if child.poll() is None:
                continue
            if self._restarts.record_end(node.name, child.pid, now_s):
                self._check_restarts(node.name, child, now_s)
                report(
                    f"{node.name} ended with status {child.returncode}; it is started again in {RESTART_DELAY_S:g} s"
                )
            elif self._restarts.is_restart_due(node.name, now_s):
                self.launch(node, first=False)

    def _check_restarts(self, name: str, child: Popen[bytes], now_s: float) -> None:
        elapsed_s = self._restarts.time_since_first_s(name, now_s)
        if elapsed_s is not None:
            raise LocalSystemError(
                f"{name} ended {MAX_ENDS} times in {elapsed_s:.0f} s, last with status "
                f"{child.returncode}\n{self.processes.log_tail(name)}"
            )

    # What is printed of it.

    def describe(self) -> Json:
        """Returns where it runs, as `up --json` prints it."""
        return local_report.describe(self.nodes, self.children, self.configuration, str(self.folder))

    def greeting(self) -> str:
        """Returns what `up` prints: the nodes, a request to send, and how to ask the system."""
        return local_report.greeting(self.nodes, len(self.fleet.boxes), self.configuration, str(self.folder))

    async def end(self) -> dict[str, int]:
        """Ends all that was started; returns the exit codes of the nodes by name."""
        exit_codes = await self.processes.end()
        if self.fleet:
            self.fleet.close()
        if self.listener:
            self.listener.close()
        if not self.keeps_folder:
            shutil.rmtree(self.folder, ignore_errors=True)
        return exit_codes


def _server_kind(service: Service) -> Make:
    """What the simulated servers of a service are like."""
    return Make(
        service.name,
        slots=SERVER_SLOTS,
        queue=SERVER_QUEUE,
        latency=Work(SERVER_WORK_MS, "exponential"),
        max_conns=min(MAX_SERVER_CONNECTIONS, service.max_conns),
        health=service.health_path.decode(),
        cold_per_s=service.cold_per_s or DEFAULT_COLD_PER_S,
    )
