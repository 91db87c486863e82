"""The layout of a small system: the addresses, ports and settings files of its nodes.

Each node has its own IP address, since all machines of the system use the same ports.
"""

import ipaddress
import secrets
import socket
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from .control_answers import Json

ZONES = {"north-a": "north", "south-a": "south", "north-b": "north", "south-b": "south"}
PORTS_PER_NODE = 8  # consecutive: front, ready check, control, directory, and the range for frames between nodes
FRAME_PORTS_FROM = 4  # offset of the first port of that range
FIRST_PORT = 20000
LAST_PORT = 31000  # below the range of ephemeral ports
PORT_ATTEMPTS = 200
SEED_NODES = 3
GRACE_S = 2.0  # from SIGTERM to SIGKILL


class LocalSystemError(Exception):
    """The system could not be started, or did not keep running; the message has the reason and the remedy."""


@dataclass(frozen=True, slots=True)
class Node:
    """The place of one node. `port`: the first of its ports; `disk`: whether it has one and is a member of the core."""

    name: str
    ip: str
    zone: str
    port: int
    disk: bool

    def address_at(self, offset: int) -> str:
        """Returns the address of the port at this offset from `port`, as `host:port`."""
        return f"{self.ip}:{self.port + offset}"

    @property
    def front(self) -> str:
        """Address for clients' requests."""
        return self.address_at(0)

    @property
    def ready(self) -> str:
        """Address for the platform's readiness checks."""
        return self.address_at(1)

    @property
    def control(self) -> str:
        """Address for operators' calls."""
        return self.address_at(2)

    @property
    def directory(self) -> str:
        """Address for clients that look up fronts."""
        return self.address_at(3)


def layout(count: int, base: str, port: int) -> list[Node]:
    """Returns `count` nodes from the IP address `base` on, spread over the zones; the first in each zone has a disk."""
    zones = list(ZONES)[:count]
    first = ipaddress.IPv4Address(base)
    return [
        Node(f"pilot-{index + 1}", str(first + index), zones[index % len(zones)], port, index < len(zones))
        for index in range(count)
    ]


@dataclass(frozen=True, slots=True)
class Environment:
    """The settings that all nodes of a small system share."""

    nodes: Sequence[Node]
    platform: str  # address of the platform's list of servers
    folder: Path  # parent of the nodes' data folders
    zones: Mapping[str, str] | None = None  # region of each zone; None: `ZONES`
    platform_lag: str = "0ms"
    guarantees: Mapping[str, object] | None = None  # figures of the rules that differ from the defaults, except `Grace`


def node_settings(node: Node, environment: Environment, first_boot: bool = True) -> Json:
    """Returns a node's settings file (DEPLOY.md). `first_boot`: whether this is the first start of the whole system."""
    return {
        "Self": _own_settings(node, environment, first_boot),
        "Network": {
            "ListenOn": {
                "Front": node.front,
                "ReadyCheck": node.ready,
                "Control": node.control,
                "Directory": node.directory,
            },
            "PortRange": [node.port + FRAME_PORTS_FROM, node.port + PORTS_PER_NODE - 1],
            "SeedNodes": [other.control for other in environment.nodes[:SEED_NODES]],
            "Zones": dict(environment.zones or ZONES),
        },
        "Hosting": {"PlatformApi": {"Address": environment.platform, "PerS": 40.0, "MaxLag": environment.platform_lag}},
        "AgreedTerms": {
            "Survive": {"Machines": _tolerated_machines(environment.nodes), "Zones": 0, "Regions": 0},
            "Guarantees": {"Grace": f"{int(GRACE_S * 1000)}ms", **(environment.guarantees or {})},
        },
    }


def _own_settings(node: Node, environment: Environment, first_boot: bool) -> Json:
    own: Json = {
        "NodeName": node.name,
        "Role": "pilot",
        "MachineClass": "front",
        "Ip": node.ip,
        "Zone": node.zone,
        "Serves": ["front", "control", "directory"],
        "Region": (environment.zones or ZONES)[node.zone],
        "CountsAsLoss": node.disk,
        "FirstBoot": first_boot,
        "Caps": {"CpuShare": 1.0, "Cores": 1, "MemoryMb": 300, "OpenFiles": 1024},
    }
    if node.disk:
        own["DataFolder"] = str(environment.folder / node.name)
    return own


def _tolerated_machines(nodes: Sequence[Node]) -> int:
    """Returns the size of the largest minority of the core's members."""
    members = sum(node.disk for node in nodes)
    return max(0, (members - 1) // 2)


def find_free_ports(ips: Sequence[str], random_below: Callable[[int], int] = secrets.randbelow) -> int:
    """Returns the first of `PORTS_PER_NODE` consecutive ports that are free at all addresses.

    Raises:
        LocalSystemError: an address does not belong to this machine, or no such ports were found.
    """
    for ip in ips:
        _check_ip(ip)
    for _ in range(PORT_ATTEMPTS):
        first = FIRST_PORT + random_below((LAST_PORT - FIRST_PORT) // PORTS_PER_NODE) * PORTS_PER_NODE
        if all(_is_free(ip, port) for ip in ips for port in range(first, first + PORTS_PER_NODE)):
            return first
    raise LocalSystemError(
        f"no {PORTS_PER_NODE} consecutive ports are free on {', '.join(ips)}: name other addresses with --base"
    )


def _check_ip(ip: str) -> None:
    """Raises `LocalSystemError` if an address does not belong to this machine."""
    try:
        with socket.socket() as sock:
            sock.bind((ip, 0))
    except OSError as error:
        raise LocalSystemError(
            f"{ip} is not an address of this machine ({error.strerror}): on Linux all of 127.0.0.0/8 is; "
            f"elsewhere add it to the loopback interface, or name others with --base"
        ) from None


def _is_free(ip: str, port: int) -> bool:
    """Returns whether a port is free for TCP and UDP."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind((ip, port))
    except OSError:
        return False
    return True
