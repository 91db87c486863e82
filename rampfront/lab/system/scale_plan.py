"""What a scale run plays: size, configuration, list of servers; the bounds past which it is refused. No I/O."""

import ipaddress
import json
from dataclasses import dataclass
from random import Random

from ...operator_cli.local_layout import Node

MB = 1 << 20
REGIONS = 6
ZONES = {f"z{number:02}": f"region-{number % REGIONS}" for number in range(23)}
MOST_PROCESSES = 200
MEMORY_PART = 0.5  # of the machine's memory
PROCESS_MB = 75  # of a child without nodes, measured, with room
NODE_MB = 1.0  # of a node without a configuration
ROUTE_BYTES, TENANT_BYTES, SERVER_BYTES = 2200, 900, 700  # held by a node for each
PEAK = 3  # times what is held, while a configuration is read
LARGEST = 4096  # nodes that a leader hears, as `Disseminator` has it
HOSTED = 60  # hollow nodes of a process
WEIGHT_TURN = 50  # weights that changes go through


class ScaleError(Exception):
    """The run was refused; the text says past which bound it would go."""


@dataclass(frozen=True)
class Scale:
    """`nodes` in all: `core` members and `real` further nodes in processes of their own, the others hollow."""

    nodes: int
    core: int = 5
    real: int = 3
    routes: int = 40
    tenants: int = 80
    servers: int = 280
    services: int = 20
    asks_per_s: float = 0.0  # quota questions of each node
    base: str = "127.80.0.1"
    in_groups: bool = False  # hollow nodes start by GROUP processes every GROUP_S seconds, not all in step
    rest_only: bool = False  # nothing happens: the start and the rest alone
    hollow: bool = True  # False: all nodes are real, for comparison

    @property
    def hollow_count(self) -> int:
        """Nodes that are hollow."""
        return max(0, self.nodes - self.core - self.real) if self.hollow else 0

    @property
    def hosts(self) -> int:
        """Processes of hollow nodes."""
        return -(-self.hollow_count // HOSTED)

    @property
    def processes(self) -> int:
        """All processes of the run, the one that leads it too."""
        return 1 + self.nodes - self.hollow_count + self.hosts

    @property
    def memory(self) -> int:
        """Bytes that the run may need at its peak, estimated."""
        held = self.routes * ROUTE_BYTES + self.tenants * TENANT_BYTES + self.servers * SERVER_BYTES + NODE_MB * MB
        return int(self.processes * PROCESS_MB * MB + held * (self.nodes + (PEAK - 1) * self.processes))


def check(scale: Scale, memory: int) -> None:
    """Raises ScaleError for a run past its bounds; `memory`: bytes of the machine."""
    if not scale.core + (1 if scale.real else 0) <= scale.nodes <= LARGEST:
        raise ScaleError(f"{scale.nodes} nodes: from {scale.core + 1} to {LARGEST} can be played")
    if scale.processes > MOST_PROCESSES:
        raise ScaleError(f"{scale.processes} processes would run, {MOST_PROCESSES} at most may")
    if scale.memory > memory * MEMORY_PART:
        raise ScaleError(
            f"about {scale.memory // MB} MB would be needed, {int(memory * MEMORY_PART) // MB} MB at most may be"
        )
    first = ipaddress.IPv4Address(scale.base)
    if not (first.is_loopback and (first + scale.nodes).is_loopback):
        raise ScaleError(f"{scale.base} and the {scale.nodes - 1} addresses behind it are not all of 127.0.0.0/8")


def layout(scale: Scale, port: int) -> list[Node]:
    """The nodes, those of the core first, spread over the zones."""
    first, zones = ipaddress.IPv4Address(scale.base), list(ZONES)
    return [
        Node(f"node-{k + 1:04}", str(first + k), zones[k % len(zones)], port, k < scale.core)
        for k in range(scale.nodes)
    ]


def configuration(scale: Scale, revision: int = 1) -> bytes:
    """A configuration of the run's size; each revision differs from the one before by one weight."""
    draw = Random(scale.routes)
    services = [f"service-{number:03}" for number in range(scale.services)]

    def rule(number: int) -> dict:
        first, second = draw.sample(services, 2) if len(services) > 1 else (services[0], services[0])
        weight = 50 + (revision % WEIGHT_TURN if number == 0 else 0)
        return {
            "Name": f"route-{number}",
            "Type": "read_only",
            "Target": "1000ms",
            "Priority": number % 3,
            "Public": False,
            "MatchesWhen": {"PathStart": f"/{draw.getrandbits(40):010x}/{number}/"},
            "ThenDo": {
                "Shares": [{"Service": first, "Weight": weight}, {"Service": second, "Weight": 10}],
                "GiveUp": "4000ms",
                "Tries": 2,
                "HomeRegions": [],
            },
        }

    def tenant(number: int) -> dict:
        return {
            "Name": f"tenant-{number:05}",
            "ApiKeys": [f"{draw.getrandbits(96):024x}", f"{draw.getrandbits(96):024x}"],
            "Priority": number % 3,
            "PerS": 5 + number % 45,
            "Burst": 5 + number % 45,
            "HomeRegions": [],
        }

    def service(name: str) -> dict:
        return {
            "Name": name,
            "HealthPath": "/health",
            "MaxConns": 130,
            "Protocol": "h1",
            "Tls": False,
            "Warmup": "3s",
            "ColdPerS": 2.8,
        }

    per_host = 100
    rules = [rule(number) for number in range(scale.routes)]
    said = {
        "Revision": f"r{revision}",
        "Caps": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderWait": "3000ms", "Idle": "15000ms"},
        "Customers": [tenant(number) for number in range(scale.tenants)],
        "Sockets": [
            {"Hostname": f"host-{start // per_host}.example", "Rulebook": rules[start : start + per_host]}
            for start in range(0, len(rules), per_host)
        ],
        "Groups": [service(name) for name in services],
    }
    return json.dumps(said, separators=(",", ":")).encode()


def server_entries(scale: Scale) -> dict[str, tuple[dict, int]]:
    """The platform's list: id to (entry, cold until)."""
    zones, draw = list(ZONES), Random(scale.servers)
    return {
        f"i-{draw.getrandbits(40):010x}": (
            {
                "Service": f"service-{number % scale.services:03}",
                "Address": f"127.100.{number // 250}.{number % 250 + 1}:{8000 + draw.randrange(900)}",
                "Zone": zones[number % len(zones)],
                "Revision": "v1",
                "Capacity": 3,
                "State": "ready",
            },
            0,
        )
        for number in range(scale.servers)
    }
