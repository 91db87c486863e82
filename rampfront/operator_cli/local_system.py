"""A small system on loopback: pilots as child processes, the stand-ins of platform and servers beside them.

It owns the children, their folder and the stand-ins, from start to end. Every node has an address of its own, since
all machines of the system use alike ports. It must never take part: what it starts is the program as machines run it.
"""

import asyncio
import ipaddress
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from ..lab.boxes import Fleet, Make, Work
from ..lab.platform import Platform, open_platform
from ..net.http_client import HttpRequest, send_request
from ..settings import configuration_reader
from .control_client import Channel, place
from .spelling import table

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"north-a": "north", "south-a": "south", "north-b": "north", "south-b": "south"}
PORTS, LOW, HIGH = 8, 20000, 31000  # in a row for each node; below those that outgoing connections get
GRACE_S = 2.0  # from SIGTERM to SIGKILL
BACK_S = 1.0  # a pilot that ended is started again after so long
LIVES, SPELL_S = 5, 60.0  # ended so often in so long it is given up
LOG_TAIL = 12  # lines of a child's log that a failure shows
HOST, KEY = "shop.example", "key-of-acme"


class Stranded(Exception):
    """The system could not be started, or did not stay up; the text says why and the way out."""


@dataclass(frozen=True, slots=True)
class Node:
    """Where one node stands. `port` is the first of its row."""

    name: str
    ip: str
    zone: str
    port: int
    disk: bool

    def at(self, number):
        return f"{self.ip}:{self.port + number}"

    @property
    def front(self):
        return self.at(0)

    @property
    def ready(self):
        return self.at(1)

    @property
    def control(self):
        return self.at(2)

    @property
    def directory(self):
        return self.at(3)


def layout(count, base, port):
    """`count` nodes from the address `base` on, zone after zone; the first of each zone has a disk."""
    zones, first = list(ZONES)[:count], ipaddress.IPv4Address(base)
    return [Node(f"pilot-{k + 1}", str(first + k), zones[k % len(zones)], port, k < len(zones)) for k in range(count)]


def settings(node, nodes, platform, folder, first=True, zones=ZONES, lag="0ms", **guarantees):
    """A node's settings file, in the words of DEPLOY.md. `first`: at the first start of the whole system; `lag`: the
    platform's; `guarantees`: figures of the rules besides the grace."""
    disks = sum(other.disk for other in nodes)
    own = {
        "NodeName": node.name,
        "Role": "pilot",
        "MachineClass": "front",
        "Ip": node.ip,
        "Zone": node.zone,
        "Serves": ["front", "control", "directory"],
        "Region": zones[node.zone],
        "CountsAsLoss": node.disk,
        "FirstBoot": first,
        "Caps": {"CpuShare": 1.0, "Cores": 1, "MemoryMb": 300, "OpenFiles": 1024},
    }
    if node.disk:
        own["DataFolder"] = str(folder / node.name)
    return {
        "Self": own,
        "Network": {
            "ListenOn": {
                "Front": node.front,
                "ReadyCheck": node.ready,
                "Control": node.control,
                "Directory": node.directory,
            },
            "PortRange": [node.port + 4, node.port + PORTS - 1],
            "SeedNodes": [other.control for other in nodes[:3]],
            "Zones": zones,
        },
        "Hosting": {"PlatformApi": {"Address": platform, "PerS": 40.0, "MaxLag": lag}},
        "AgreedTerms": {
            "Survive": {"Machines": max(0, (disks - 1) // 2), "Zones": 0, "Regions": 0},
            "Guarantees": {"Grace": f"{int(GRACE_S * 1000)}ms", **guarantees},
        },
    }


def configuration():
    """The first configuration: one host, a service for reads, changes and uploads, one tenant, a public page."""

    def rule(name, kind, prefix, service, **more):
        return {
            "Name": name,
            "Type": kind,
            "Target": "800ms",
            "Priority": 0,
            "Public": False,
            "MatchesWhen": {"PathStart": prefix},
            "ThenDo": {"Service": service, "GiveUp": "3s", "Tries": 2},
            **more,
        }

    def group(name):
        return {"Name": name, "HealthPath": "/health", "MaxConns": 130, "Warmup": "3s", "ColdPerS": 2.0}

    return {
        "Revision": "r1",
        "Caps": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderWait": "3s", "Idle": "15s"},
        "Customers": [{"Name": "acme", "ApiKeys": [KEY], "Priority": 1, "PerS": 20, "Burst": 20, "HomeRegions": []}],
        "Sockets": [
            {
                "Hostname": HOST,
                "Rulebook": [
                    rule("read", "read_only", "/read/", "reads"),
                    rule("order", "changing", "/order/", "orders"),
                    rule("upload", "upload", "/upload/", "orders"),
                    rule("page", "read_only", "/", "reads", Public=True),
                ],
            }
        ],
        "Groups": [group("reads"), group("orders")],
    }


def free_row(ips, draw=secrets.randbelow):
    """The first of PORTS ports in a row that are free at every address. Raises Stranded."""
    for ip in ips:
        try:
            with socket.socket() as sock:
                sock.bind((ip, 0))
        except OSError as trouble:
            raise Stranded(
                f"{ip} is no address of this machine ({trouble.strerror}): on Linux all of 127.0.0.0/8 is; "
                f"elsewhere add it to the loopback interface, or name others with --base"
            ) from None
    for _ in range(200):
        first = LOW + draw((HIGH - LOW) // PORTS) * PORTS
        try:
            for ip in ips:
                for port in range(first, first + PORTS):
                    for kind in socket.SOCK_STREAM, socket.SOCK_DGRAM:
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((ip, port))
        except OSError:
            continue
        return first
    raise Stranded(f"no {PORTS} ports in a row are free on {', '.join(ips)}: name other addresses with --base")


def child_environment():
    """Ours, with what we import from in front, so that a child finds the same libraries."""
    paths = [str(ROOT), *(path for path in sys.path if path and os.path.isdir(path) and path != str(ROOT))]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


class LocalSystem:
    def __init__(self, loop, count=4, base="127.0.0.11", servers=3, body=None, work_ms=20.0, folder=None):
        """`servers` of each service; `body`: the first configuration as bytes; `folder`: kept at the end, if given."""
        self.loop, self.servers, self.work = loop, servers, Work(work_ms, "exponential")
        self.body = json.dumps(configuration(), indent=1).encode() if body is None else body
        self.configuration = configuration_reader.read(self.body).unwrap()
        self.kept = folder is not None
        self.folder = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="rampfront-"))
        self.count, self.base, self.nodes, self.children = count, base, [], {}
        self.ends = {}  # name: when it ended, as often as LIVES; of pilots that are to be started again
        self.platform = self.listener = self.fleet = None
        self.command = f"PYTHONPATH={os.environ['PYTHONPATH']} " if os.environ.get("PYTHONPATH") else ""
        self.command += f"{os.path.basename(sys.executable)} -m rampfront system"

    async def start(self, patience_s=60.0):
        """Returns once every node is ready. Raises Stranded."""
        until = time.monotonic() + patience_s
        await self.stand_ins()
        self.nodes = self.berths(free_row([node.ip for node in self.berths(0)]))
        await self.prepare()
        for node in self.nodes:
            self.launch(node)
        channel = Channel([tuple(ip_port(node.control)) for node in self.nodes], 1.0)
        while (found := await channel.call("config.replace", self.body)).is_err():
            await self.wait(until, f"the core takes no configuration: {found.err_value}")
        for node in self.nodes:
            while not await self.is_ready(node):
                await self.wait(until, f"{node.name} does not become ready")

    # ---- what another small system does its own way

    def berths(self, port):
        """The nodes, each with its row of ports from `port` on."""
        return layout(self.count, self.base, port)

    async def prepare(self):
        """Called once the nodes have their places, before any is started."""

    def process_settings(self, node, first):
        return settings(node, self.nodes, place(self.listener.address), self.folder, first)

    def program(self, node):
        """The command that starts a node."""
        return [sys.executable, "-m", "rampfront.node"]

    async def stand_ins(self):
        clock = time.time_ns
        self.platform = Platform(clock)
        self.listener = await open_platform(self.loop, self.platform)
        self.fleet = Fleet(self.loop, clock, self.platform, seed=1)
        for service in self.configuration.services.values():
            make = Make(
                service.name,
                slots=4,
                queue=16,
                latency=self.work,
                max_conns=min(4096, service.max_conns),
                health=service.health_path.decode(),
                cold_per_s=service.cold_per_s or 2.0,
            )
            for k in range(self.servers):
                await self.fleet.start(make, list(ZONES)[k % min(self.count, len(ZONES))])

    def launch(self, node, first=True):
        told = self.process_settings(node, first)
        if node.disk:
            os.makedirs(told["Self"]["DataFolder"], exist_ok=True)
        path = self.folder / f"{node.name}.json"
        path.write_text(json.dumps(told, indent=1))
        with open(self.folder / f"{node.name}.log", "ab") as log:
            self.children[node.name] = subprocess.Popen(
                self.program(node),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**child_environment(), "RAMPFRONT_SETTINGS": str(path)},
            )

    async def is_ready(self, node):
        found = await send_request(self.loop, ip_port(node.ready), HttpRequest("GET", "/api/ready"))
        return found.is_ok() and found.ok_value.status == 200

    async def wait(self, until, why):
        """A moment, in which all children have to live on."""
        self.look()
        if time.monotonic() > until:
            raise Stranded(f"{why}\n{self.tail()}")
        await asyncio.sleep(0.1)

    def look(self):
        """Raises Stranded if a child has ended."""
        for name, child in self.children.items():
            if child.poll() is not None:
                raise Stranded(f"{name} ended with status {child.returncode}\n{self.tail(name)}")

    def tail(self, *names):
        """The last lines of logs."""
        lines = []
        for name in names or self.children:
            path = self.folder / f"{name}.log"
            lines += path.read_text("utf-8", "replace").splitlines()[-LOG_TAIL:] if path.exists() else []
        return "\n".join(lines)

    def told(self):
        """Where it stands: of each node its addresses and process, and a request to send."""
        host, path, key = self.sample()
        return {
            "Nodes": [
                {
                    "Name": n.name,
                    "Zone": n.zone,
                    "Front": n.front,
                    "Control": n.control,
                    "Directory": n.directory,
                    "Ready": n.ready,
                    "Disk": n.disk,
                    "Pid": self.children[n.name].pid,
                }
                for n in self.nodes
            ],
            "Host": host,
            "Path": path,
            "Key": key,
            "Folder": str(self.folder),
            "Curl": self.curl(),
        }

    def sample(self):
        """(host, path, key or an empty text) of a request that a route takes; reads go first."""
        routes = [
            (route.request_type != "read_only", host, route)
            for host, book in self.configuration.hosts.items()
            for route in book.routes.values()
        ]
        if not routes:
            return "", "/", ""
        _, host, route = min(routes, key=lambda row: row[0])
        key = next(iter(self.configuration.customers_by_key), b"") if not route.public else b""
        return host.decode(), route.prefix.decode() + "1", key.decode()

    def curl(self):
        host, path, key = self.sample()
        said = f" -H 'Authorization: Bearer {key}'" if key else ""
        return f"curl -i -H 'Host: {host}' -H \"Try-Id: $(date +%s%N)\"{said} http://{self.nodes[0].front}{path}"

    def greeting(self):
        """What `up` says: nodes, a request, and how to ask the system."""
        rows = [(n.name, n.zone, n.front, n.control, "core" if n.disk else "-") for n in self.nodes]
        control = ",".join(n.control for n in self.nodes[:3])
        return "\n".join(
            [
                f"The system serves: {len(self.nodes)} pilots, {len(self.fleet.boxes)} stand-in servers; logs in "
                f"{self.folder}",
                "",
                table(("NODE", "ZONE", "FRONT", "CONTROL", "ROLE"), rows),
                "",
                "Send a request:",
                f"  {self.curl()}",
                "",
                "Ask the system, in another terminal:",
                f"  export RAMPFRONT_CONTROL={control}",
                f"  {self.command} status",
                "",
                "Ctrl-C ends it.",
            ]
        )

    async def watch(self, ended, seconds=None, say=print):
        """Returns when `ended` (an asyncio.Event) is set or the time is over. Pilots that end are started again."""
        until = time.monotonic() + seconds if seconds else None
        while not ended.is_set() and (until is None or time.monotonic() < until):
            self.revive(time.monotonic(), say)
            wait = 0.25 if until is None else max(0.01, min(0.25, until - time.monotonic()))
            try:
                await asyncio.wait_for(ended.wait(), wait)
            except TimeoutError:
                pass

    def revive(self, now, say):
        """Raises Stranded for a pilot that ends again and again."""
        for node in self.nodes:
            child, ends = self.children[node.name], self.ends.setdefault(node.name, [])
            if child.poll() is None:
                continue
            if not ends or ends[-1][0] != child.pid:
                ends.append((child.pid, now))
                del ends[:-LIVES]
                if len(ends) == LIVES and now - ends[0][1] < SPELL_S:
                    raise Stranded(
                        f"{node.name} ended {LIVES} times in {now - ends[0][1]:.0f} s, last with status "
                        f"{child.returncode}\n{self.tail(node.name)}"
                    )
                say(f"{node.name} ended with status {child.returncode}; it is started again in {BACK_S:g} s")
            elif now - ends[-1][1] >= BACK_S:
                self.launch(node, first=False)

    async def end(self):
        """Ends the children that we started, in order and then by force, and all else; returns their exit codes."""
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S + 8.0  # a busy machine: the grace is the child's own affair
        while any(child.poll() is None for child in self.children.values()) and time.monotonic() < until:
            await asyncio.sleep(0.05)
        for child in self.children.values():
            if child.poll() is None:
                child.kill()
            child.wait()
        if self.fleet:
            self.fleet.close()
        if self.listener:
            self.listener.close()
        if not self.kept:
            shutil.rmtree(self.folder, ignore_errors=True)
        return {name: child.returncode for name, child in self.children.items()}


def ip_port(text):
    host, _, port = text.rpartition(":")
    return host, int(port)
