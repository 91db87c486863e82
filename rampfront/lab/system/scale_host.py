"""A child of the scale run: `python -m rampfront.lab.system.scale_host FILE`, FILE a `HostSpec` as JSON.

It runs one real node, or many hollow ones, and answers commands on standard input, one JSON line each, on standard
output: `events` gives what changed since the last question, `snapshot` the counters; `start`, `kill`, `cut` and `join`
act on nodes, `end` ends the process. So does the end of standard input: no child outlives the run.
"""

import asyncio
import json
import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache

os.environ.setdefault("UV_USE_IO_URING", "0")

import uvloop

from ...node.log import Log
from ...node.ports import Ports
from ...settings import configuration_reader, settings_reader
from ...settings.process_settings import ProcessSettings
from .hollow import CountedWire, Measured, build_hollow_node, build_measured_node

PORTS = Ports(wire=CountedWire)
KB = 1024
COMMANDS = {
    "start": "start",
    "kill": "kill",
    "cut": "cut",
    "join": "join",
    "events": "take_events",
    "snapshot": "snapshot",
}


def resident() -> tuple[int, int]:
    """Resident bytes of this process: now, and the most so far. What `getrusage` tells as the most counts the process
    that started this one too."""
    with open("/proc/self/status") as file:
        rows = dict(line.split(":", 1) for line in file)
    return tuple(int(rows[name].split()[0]) * KB for name in ("VmRSS", "VmHWM"))


@dataclass(frozen=True)
class HostSpec:
    """`settings`: paths of the nodes' settings files. `hollow`: all of them are; else there is one. `asks_per_s`: quota
    questions of each node a second."""

    settings: list[str]
    hollow: bool
    asks_per_s: float = 0.0


class Host:
    """The nodes of one process, and the commands to it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, spec: HostSpec) -> None:
        """Starts nothing yet."""
        self.loop, self.spec = loop, spec
        self.paths, self.nodes, self.events = {}, {}, []
        for path in spec.settings:
            self.paths[self.read(path).name] = path
        if spec.hollow:
            # One reading serves all nodes of the process: its cost is a real node's figure, not that of this host.
            configuration_reader.read = lru_cache(maxsize=4)(configuration_reader.read)

    @staticmethod
    def read(path: str) -> ProcessSettings:
        """The settings at `path`."""
        return settings_reader.load(path).unwrap()

    def note(self, name: str, what: str, value: int) -> None:
        """One change at a node, by the clock that all processes of the machine share."""
        self.events.append([name, what, value, time.monotonic_ns()])

    def make(self, name: str) -> Measured:
        """A node that is not started yet."""
        build = build_hollow_node if self.spec.hollow else build_measured_node
        settings, seed = self.read(self.paths[name]), int.from_bytes(os.urandom(8), "big")
        node = build(self.loop, settings, Log(name), seed, PORTS)
        node.on_event, node.asks_per_s = self.note, self.spec.asks_per_s
        return node

    async def start(self, names: list[str]) -> dict:
        """Starts nodes that do not run."""
        for name in names:
            if name in self.nodes:
                continue
            self.note(name, "started", 1)
            node = self.nodes[name] = self.make(name)
            await node.listen()
            node.start()
        return {}

    async def kill(self, names: list[str]) -> dict:
        """Ends hollow nodes at once."""
        for name in names:
            self.nodes.pop(name).kill()
        return {}

    async def cut(self, names: list[str]) -> dict:
        """Cuts nodes off from all others."""
        for name in names:
            self.nodes[name].context.wire.cut = True
        return {}

    async def join(self, names: list[str]) -> dict:
        """Ends a cut."""
        for name in names:
            self.nodes[name].context.wire.cut = False
        return {}

    async def take_events(self, _: list[str]) -> dict:
        """What changed since the last question."""
        events, self.events = self.events, []
        return {"events": events}

    async def snapshot(self, _: list[str]) -> dict:
        """Counters of the nodes, processor time (s) and memory (bytes) of the process."""
        now, most = resident()
        return {
            "at": time.monotonic(),
            "processor_s": time.process_time(),
            "memory": now,
            "memory_peak": most,
            "nodes": {name: self.describe(node) for name, node in self.nodes.items()},
        }

    @staticmethod
    def describe(node: Measured) -> dict:
        """One node's counters, and what it holds."""
        counts, look = node.context.wire.frame_counts, node.disseminator
        return {
            **counts.totals(),
            "sent": counts.sent,
            "received": counts.received,
            "leads": look.is_leader,
            "ready": look.ready,
            "known": sum(entry.ready for entry in look.roster),
            "counts_holder": node.quota_exchange.placement.counter_ip,
            "ip": node.context.process_settings.ip,
            "frames_lost": node.context.counts["frames_lost"],
            "stores": node.context.counts["stores"],
        }

    async def answer(self, line: bytes, say: Callable[[dict], None]) -> bool:
        """Carries out one command; False: it was the last."""
        said = json.loads(line)
        if said["do"] == "end":
            return False
        say(await getattr(self, COMMANDS[said["do"]])(said.get("nodes", [])))
        return True

    async def serve(self) -> None:
        """Answers commands until told to end, or until nobody is there to give any."""
        reader = asyncio.StreamReader(limit=1 << 24)
        await self.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

        def say(answer: dict) -> None:
            sys.stdout.write(json.dumps(answer) + "\n")
            sys.stdout.flush()

        while (line := await reader.readline()) and await self.answer(line, say):
            pass


def main() -> None:
    """Runs the host that the first argument describes."""
    with open(sys.argv[1], "rb") as file:
        spec = HostSpec(**json.load(file))
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.run_until_complete(Host(loop, spec).serve())
    sys.stderr.flush()
    os._exit(0)  # a disk's thread may hang; nothing here is kept


if __name__ == "__main__":
    main()
