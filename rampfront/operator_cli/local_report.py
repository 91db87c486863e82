"""The output of `up` on a small system."""

import os
import sys
from collections.abc import Iterable, Mapping, Sequence
from subprocess import Popen
from typing import NamedTuple

from ..settings.configuration import Configuration
from .control_answers import Json
from .formatting import format_table
from .local_layout import Node

NODE_HEADINGS = ("NODE", "ZONE", "FRONT", "CONTROL", "ROLE")
LISTED_CONTROLS = 3  # control addresses in the example for `RAMPFRONT_CONTROL`


class SampleRequest(NamedTuple):
    """A request that matches a route. An empty key means that the route does not require one."""

    host: str
    path: str
    key: str

    def curl(self, front: str) -> str:
        """Returns the command that sends it to a front (`host:port`)."""
        authorization = f" -H 'Authorization: Bearer {self.key}'" if self.key else ""
        return f"curl -i -H 'Host: {self.host}' -H \"Try-Id: $(date +%s%N)\"{authorization} http://{front}{self.path}"


def sample_request(configuration: Configuration) -> SampleRequest:
    """Returns a request that matches a route of a configuration, if possible a read-only one."""
    routes = [
        (host, route) for host, host_routes in configuration.hosts.items() for route in host_routes.routes.values()
    ]
    if not routes:
        return SampleRequest("", "/", "")
    host, route = min(routes, key=lambda row: row[1].request_type != "read_only")
    key = b"" if route.public else next(iter(configuration.customers_by_key), b"")
    return SampleRequest(host.decode(), route.prefix.decode() + "1", key.decode())


def describe(
    nodes: Sequence[Node], children: Mapping[str, Popen[bytes]], configuration: Configuration, folder: str
) -> Json:
    """Returns the addresses and processes of a small system, as `up --json` prints them."""
    request = sample_request(configuration)
    return {
        "Nodes": [_describe_node(node, children[node.name].pid) for node in nodes],
        "Host": request.host,
        "Path": request.path,
        "Key": request.key,
        "Folder": folder,
        "Curl": request.curl(nodes[0].front),
    }


def _describe_node(node: Node, pid: int) -> Json:
    return {
        "Name": node.name,
        "Zone": node.zone,
        "Front": node.front,
        "Control": node.control,
        "Directory": node.directory,
        "Ready": node.ready,
        "Disk": node.disk,
        "Pid": pid,
    }


def startup_message(nodes: Sequence[Node], server_count: int, configuration: Configuration, folder: str) -> str:
    """Returns the text that `up` prints: the nodes, a sample request, and how to query the system."""
    controls = ",".join(node.control for node in nodes[:LISTED_CONTROLS])
    return "\n".join(
        [
            f"The system serves: {len(nodes)} nodes, {server_count} simulated servers; logs in {folder}",
            "",
            format_table(NODE_HEADINGS, _node_rows(nodes)),
            "",
            "Send a request:",
            f"  {sample_request(configuration).curl(nodes[0].front)}",
            "",
            "Query the system, in another terminal:",
            f"  export RAMPFRONT_CONTROL={controls}",
            f"  {_program_command()} status",
            "",
            "Ctrl-C ends it.",
        ]
    )


def _node_rows(nodes: Iterable[Node]) -> list[tuple[str, ...]]:
    return [(node.name, node.zone, node.front, node.control, "core" if node.disk else "-") for node in nodes]


def _program_command() -> str:
    """Returns the command that starts this program in the repository's folder."""
    path = os.environ.get("PYTHONPATH")
    environment = f"PYTHONPATH={path} " if path else ""
    return f"{environment}{os.path.basename(sys.executable)} -m rampfront system"
