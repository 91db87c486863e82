"""Measures the cost of lists by their size: the directory by nodes, the platform's list by servers.

`python -m rampfront.lab.system.fleet_cost` calls the real parts in one process. It prints the processor time of one
call and the bytes of a frame on the link.
"""

import json
import zlib
from collections.abc import Callable, Iterator
from random import Random
from types import SimpleNamespace

import cbor2
import click
import uvloop

from ...membership import endpoint_codec
from ...membership.endpoint_list import EndpointList
from ...membership.endpoint_pages import parse_page
from ...membership.roster import RosterEntry
from ...net.event_log import EventLog
from ...net.memory_account import machine_account
from ...node.directory_call import Directory
from ...node.limits import network_limits
from ...node.metrics import COUNTERS
from ...proxy.environment import ProxyEnvironment
from ...proxy.request_proxy import RequestProxy
from ...quota.limiter import Limiter
from ...settings import configuration_reader, settings_reader
from ...settings.process_settings import ProcessSettings
from ...simulation.link_bytes import link_bytes
from .counts_cost import cost
from .line_fit import fit
from .sized_configuration import ZONES, Size, configuration, server_entries

SEC = 10**9
NODES, SERVERS, SERVICES = (11, 82, 460, 1000), (24, 280, 1000, 2600), 130
PAGE, LIST_REPEATS, LOOKUP_REPEATS = 50, 5, 200
MS_PER_US = 1e-3


class SilentLog(EventLog):
    """An event log that keeps counters but writes no events."""

    def __init__(self) -> None:
        """Uses the counter names of the system."""
        super().__init__("n", SEC, COUNTERS)

    def record(self, event: str, **fields: object) -> None:
        """Writes nothing."""

    def record_limited(self, event: str, subject: str, **fields: object) -> None:
        """Writes nothing."""


def frame(message: dict) -> int:
    """Returns the bytes of a message on the link."""
    data = cbor2.dumps(message)
    return link_bytes(min(len(data), len(zlib.compress(data))))


def directory(nodes: int) -> dict[str, float]:
    """Returns the cost of one directory answer and the size of the roster's frame."""
    zones, names = list(ZONES), range(nodes)
    roster = tuple(
        RosterEntry(
            f"node-{index:04}", f"10.0.{index >> 8}.{index & 255}", zones[index % 23], f"10.0.0.1:{index}", True
        )
        for index in names
    )
    settings = SimpleNamespace(zones=ZONES, guarantees=SimpleNamespace(ttl_max=5 * SEC))
    query = SimpleNamespace(query={"Zone": zones[0], "Region": ZONES[zones[0]]})
    directory_service = Directory(SimpleNamespace(roster=roster), settings, Random(1))
    return {
        "directory: one answer, us": cost(lambda: directory_service.lookup(query), LOOKUP_REPEATS),
        "roster, whole: bytes of its frame": frame({"k": "word", "R": [list(row) for row in roster]}),
    }


def settings() -> ProcessSettings:
    """Returns the settings of one node."""
    zone = next(iter(ZONES))
    return settings_reader.read(
        {
            "Self": {"NodeName": "n", "Zone": zone, "Ip": "127.0.0.1"},
            "Network": {"ListenOn": {}, "PortRange": [1, 1], "Zones": ZONES},
        }
    ).unwrap()


def pages(size: Size) -> Iterator[bytes]:
    """Yields the pages of the platform's list."""
    rows = [(uid, {**entry, "ColdLeft": "0ms"}) for uid, (entry, _) in server_entries(size).items()]
    for start in range(0, len(rows), PAGE):
        yield json.dumps({"Servers": dict(rows[start : start + PAGE]), "NextToken": None}).encode()


def servers(count: int) -> dict[str, float]:
    """Returns the costs of the server list for the leader, which reads it, and for a node, which applies it."""
    size = Size(servers=count, services=min(SERVICES, count), tenants=8)
    bodies, now = list(pages(size)), 1000 * SEC
    rows = tuple(sorted(row for body in bodies for row in parse_page(body, now).rows))
    emptying = (rows[0]._replace(state="emptying"), *rows[1:])
    leader_history = endpoint_codec.endpoint_history()
    leader_history.add(1, rows)
    leader_history.add(2, emptying)
    ready_list, emptying_list = EndpointList(1, rows, now), EndpointList(2, emptying, now)
    loop, node_settings = uvloop.new_event_loop(), settings()
    log = SilentLog()
    memory = machine_account(lambda: now, node_settings.memory_mb, log.counts)
    environment = ProxyEnvironment(
        loop, lambda: now, node_settings, network_limits(node_settings), Random(1), log, memory
    )
    proxy = RequestProxy(environment, Limiter("n", Random(1)), lambda at: True)
    proxy.configuration = configuration_reader.read(configuration(size)).unwrap()
    turn = iter(range(1 << 30))
    delta = endpoint_codec.encode_since(emptying_list, now, leader_history, 1)
    held_history = endpoint_codec.endpoint_history()
    held_history.add(1, rows)

    def encode_delta() -> None:
        leader_history.add(2, emptying)
        endpoint_codec.encode_since(emptying_list, now, leader_history, 1)

    costs = {
        "list: calls of the platform a round": len(bodies),
        "list: pages parsed, ms": cost(lambda: [parse_page(body, now) for body in bodies], LIST_REPEATS) * MS_PER_US,
        "leader: delta of one server, ms": cost(encode_delta, LIST_REPEATS) * MS_PER_US,
        "node: delta decoded, ms": cost(lambda: endpoint_codec.decode_since(delta, now, held_history, 1), LIST_REPEATS)
        * MS_PER_US,
        "node: list applied, ms": cost(
            lambda: proxy.apply_server_list(emptying_list if next(turn) % 2 else ready_list), LIST_REPEATS
        )
        * MS_PER_US,
        "list, whole: bytes of its frame": frame({"k": "word", "L": endpoint_codec.encode(ready_list, now)}),
        "list, one server: bytes of its frame": frame({"k": "word", "L": delta}),
    }
    loop.close()
    return costs


def lines(sizes: tuple[int, ...], unit: str, measure: Callable[[int], dict[str, float]]) -> Iterator[str]:
    """Yields the lines of a Markdown table, with the slope of each row."""
    costs = {size: measure(size) for size in sizes}
    yield "| figure | " + " | ".join(f"{size} {unit}" for size in sizes) + f" | slope over {unit} (error) |"
    yield "| --- |" + " --- |" * (len(sizes) + 1)
    for name in costs[sizes[0]]:
        figures = [costs[size][name] for size in sizes]
        slope = fit(sizes, figures)
        cells = " | ".join(f"{value:,.2f}" for value in figures)
        yield f"| {name} | {cells} | {slope.each:.5f} ({slope.each_error:.5f}) |"


@click.command()
def main() -> None:
    """Print both tables."""
    for table in (lines(NODES, "nodes", directory), lines(SERVERS, "servers", servers)):
        for line in table:
            click.echo(line)
        click.echo()


if __name__ == "__main__":
    main()
