"""Plays a scale run: real members and nodes as processes on loopback, hollow nodes beside them, and what befalls them.

`play(scale, folder, say)` gives a `Played`: figures of each role at rest, for each change and failure, and times. It
owns what it starts, and ends it whatever happens; past its time or its memory it stops and says that it is partial.
"""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median

import uvloop

from ...operator_cli.child_processes import ROOT, child_environment
from ...operator_cli.control_answers import format_address
from ...operator_cli.control_client import ControlClient
from ...operator_cli.local_layout import Environment, LocalSystemError, Node, find_free_ports, node_settings
from ...settings.scalars import parse_address
from ..platform import Platform, open_platform
from .scale_plan import HOSTED, MEMORY_PART, ZONES, Scale, check, configuration, layout, server_entries

MS = 10**6
REST_S, AFTER_S = 10.0, 3.0  # watched at rest; and behind each change
# Before the rest is watched: a limiter falls silent `quota.counter_link.SILENT_AFTER_NS` behind its last request.
SETTLE_S = 18.0
POLL_S = 0.05  # between looks at what changed
MOST_S = 600.0  # of one size, if not told otherwise
CHANGES = 5  # of the configuration, each timed
FAILURES = 3  # of the leader, and restarts of a node, each timed
GROUP, GROUP_S = 2, 4.0  # processes of hollow nodes that start together, and the gap behind them
CUT_S = 6.0  # of a region, longer than a lease
ORDER_S = 20.0  # for one order of the operator
EACH_WAIT_S = 30.0  # for one thing to come about everywhere
ROLES = "leader", "member", "holder", "node", "hollow"
FIGURES = "sent_frames", "sent_bytes", "received_frames", "received_bytes"


class PartialRunError(Exception):
    """The run stopped early; the text says why."""


@dataclass
class Played:
    """What one size gave. `partial`: why it stopped early, or nothing. Rates are a second and node, by role."""

    scale: dict
    partial: str = ""
    rest: dict = field(default_factory=dict)  # role to figures a second
    cut: dict = field(default_factory=dict)  # the same of nodes that are cut off from all
    memory: dict = field(default_factory=dict)  # role to bytes: now, and at the peak
    scenes: dict = field(default_factory=dict)  # what happened to (role to figures beyond the rest)
    times: dict = field(default_factory=dict)  # what to ms, one for each time that it happened
    load: tuple = ()  # of the machine, as it began and as it ended
    configuration_bytes: int = 0
    frames_lost: int = 0


class Child:
    """One process of the run."""

    def __init__(self, name: str, nodes: list[Node], hollow: bool) -> None:
        """Not started yet."""
        self.name, self.nodes, self.hollow = name, nodes, hollow
        self.process = None

    async def launch(self, spec: Path, log: Path) -> None:
        """Starts the process, and none of its nodes."""
        with open(log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rampfront.lab.system.scale_host",
                str(spec),
                cwd=ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=out,
                env=child_environment(),
                limit=1 << 24,
            )

    async def ask(self, what: str, nodes: list[str] | None = None) -> dict:
        """One command and its answer. Raises PartialRunError where the process has ended."""
        try:
            self.process.stdin.write(json.dumps({"do": what, "nodes": nodes or []}).encode() + b"\n")
            line = await asyncio.wait_for(self.process.stdout.readline(), EACH_WAIT_S)
        except (OSError, TimeoutError) as trouble:
            raise PartialRunError(f"{self.name} gives no answer to {what}: {trouble!r}") from None
        if not line:
            raise PartialRunError(f"{self.name} ended by itself, see its log")
        return json.loads(line)

    async def kill(self) -> None:
        """Ends it by force."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class ScaleRun:
    """One size, played from start to end."""

    def __init__(self, scale: Scale, folder: Path, say: Callable[[str], None], most_s: float = MOST_S) -> None:
        """`say` is told of progress; `most_s`: the time that the run may take."""
        self.scale, self.folder, self.say = scale, folder, say
        self.until = time.monotonic() + most_s
        self.played = Played(vars(scale))
        self.memory_most = machine_memory() * MEMORY_PART
        self.nodes, self.children, self.revision = [], {}, 0
        self.seen = {}  # (node, what) to {value: ns}, of the newest life
        self.lives = {}  # node to [ns of starts]
        self.listener = self.platform = self.channel = None

    # ---- what is started and ended

    async def open(self) -> None:
        """Starts the platform's stand-in, all processes and all nodes."""
        loop, scale = asyncio.get_running_loop(), self.scale
        self.platform = Platform(time.monotonic_ns)
        self.platform.change(server_entries(scale))
        self.listener = await open_platform(loop, self.platform)
        self.nodes = layout(scale, find_free_ports([node.ip for node in layout(scale, 0)]))
        real = scale.nodes - scale.hollow_count
        for node in self.nodes[:real]:
            self.children[node.name] = Child(node.name, [node], False)
        for start in range(real, scale.nodes, HOSTED):
            some = self.nodes[start : start + HOSTED]
            self.children[f"hollow-{start}"] = Child(f"hollow-{start}", some, True)
        for child in self.children.values():
            await self.launch(child, first=True)
        self.channel = ControlClient([parse_address(node.control) for node in self.nodes[: scale.core]], ORDER_S)
        await self.start_all()

    async def start_all(self) -> None:
        """All nodes in step, or the real ones first and the hollow ones in groups behind the first configuration."""
        hosts = [child for child in self.children.values() if child.hollow and self.scale.in_groups]
        await self.start_nodes([child for child in self.children.values() if child not in hosts])
        await self.replace()
        for start in range(0, len(hosts), GROUP):
            await asyncio.sleep(GROUP_S)
            await self.start_nodes(hosts[start : start + GROUP])

    async def launch(self, child: Child, first: bool) -> None:
        """Writes the settings of a process's nodes and starts it, without its nodes."""
        paths = []
        for node in child.nodes:
            environment = Environment(self.nodes, format_address(self.listener.address), self.folder, ZONES)
            told = node_settings(node, environment, first)
            if child.hollow:
                told["Self"].pop("DataFolder", None)
            elif node.disk:
                os.makedirs(told["Self"]["DataFolder"], exist_ok=True)
            path = self.folder / f"{node.name}.json"
            path.write_text(json.dumps(told))
            paths.append(str(path))
        spec = self.folder / f"{child.name}.host.json"
        spec.write_text(json.dumps({"settings": paths, "hollow": child.hollow, "asks_per_s": self.scale.asks_per_s}))
        await child.launch(spec, self.folder / f"{child.name}.log")

    async def start_nodes(self, children: list[Child]) -> None:
        """All nodes of some processes at once."""
        await asyncio.gather(*(child.ask("start", [node.name for node in child.nodes]) for child in children))

    async def close(self) -> None:
        """Ends all that was started."""
        await asyncio.gather(*(child.kill() for child in self.children.values()))
        if self.listener:
            self.listener.close()

    # ---- what is seen

    def check_bounds(self) -> None:
        """Raises PartialRunError past the run's time or memory."""
        if time.monotonic() > self.until:
            raise PartialRunError("its time is over")
        pids = [child.process.pid for child in self.children.values() if child.process.returncode is None]
        held = sum(resident(pid) for pid in pids) + resident(os.getpid())
        if held > self.memory_most:
            raise PartialRunError(f"{held >> 20} MB are held, {int(self.memory_most) >> 20} MB may be")

    async def look(self) -> None:
        """Takes in what changed at all nodes."""
        self.check_bounds()
        living = [child for child in self.children.values() if child.process.returncode is None]
        for said in await asyncio.gather(*(child.ask("events") for child in living)):
            for name, what, value, at in said["events"]:
                if what == "started":
                    for key in [key for key in self.seen if key[0] == name]:
                        del self.seen[key]
                self.seen.setdefault((name, what), {}).setdefault(value, at)

    def reached(self, names: list[str], what: str, least: int) -> list[int] | None:
        """When each node first had `least` or more of `what`, ns; None while one has not."""
        times = []
        for name in names:
            found = [at for value, at in self.seen.get((name, what), {}).items() if value >= least]
            if not found:
                return None
            times.append(min(found))
        return times

    async def wait(self, names: list[str], what: str, least: int) -> list[int]:
        """Waits until all have it. Raises PartialRunError."""
        until = time.monotonic() + EACH_WAIT_S
        while (times := self.reached(names, what, least)) is None:
            if time.monotonic() > until:
                lacking = [name for name in names if self.reached([name], what, least) is None]
                raise PartialRunError(f"{len(lacking)} of {len(names)} nodes lack {what} {least}: {lacking[:5]}")
            await asyncio.sleep(POLL_S)
            await self.look()
        return times

    def running(self) -> list[str]:
        """Names of the nodes whose processes run."""
        return [
            node.name for child in self.children.values() if child.process.returncode is None for node in child.nodes
        ]

    async def snapshot(self) -> dict:
        """Every node's counters, with the processor time of its process shared out evenly among its nodes."""
        rows = {}
        living = [child for child in self.children.values() if child.process.returncode is None]
        for child, said in zip(living, await asyncio.gather(*(c.ask("snapshot") for c in living)), strict=True):
            for name, row in said["nodes"].items():
                rows[name] = {
                    **row,
                    "at": said["at"],
                    "processor_s": said["processor_s"] / len(said["nodes"]),
                    "memory": said["memory"] // len(said["nodes"]),
                    "memory_peak": said["memory_peak"] // len(said["nodes"]),
                    "hollow": child.hollow,
                }
        return rows

    def role(self, name: str, rows: dict) -> str:
        """What a node is, by a snapshot."""
        row = rows[name]
        if row["hollow"]:
            return "hollow"
        if row["leads"]:
            return "leader"
        if any(other["counts_holder"] == row["ip"] for other in rows.values()):
            return "holder"
        return "member" if int(name.split("-")[1]) <= self.scale.core else "node"

    def by_role(self, before: dict, after: dict, seconds: bool) -> dict:
        """Role to the mean of what its nodes did between two snapshots; for each second, or in all."""
        sums = {}
        for name, row in after.items():
            old = before.get(name)
            if old is None or old["sent_frames"] > row["sent_frames"]:
                continue  # started in between
            span = row["at"] - old["at"] if seconds else 1.0
            done = {key: (row[key] - old[key]) / span for key in (*FIGURES, "processor_s")}
            for side in ("sent", "received"):
                for kind, (frames, _) in row[side].items():
                    done[f"{side} {kind}"] = (frames - old[side].get(kind, (0, 0))[0]) / span
            sums.setdefault(self.role(name, after), []).append(done)
        return {
            role: {key: sum(r.get(key, 0.0) for r in rows) / len(rows) for key in {key for r in rows for key in r}}
            for role, rows in sums.items()
        }

    def beyond(self, before: dict, after: dict) -> dict:
        """As `by_role` in all, less what the same time at rest costs."""
        found, span = self.by_role(before, after, False), 0.0
        for name in after:
            if name in before:
                span = max(span, after[name]["at"] - before[name]["at"])
        return {
            role: {key: value - span * self.played.rest.get(role, {}).get(key, 0.0) for key, value in row.items()}
            for role, row in found.items()
        }

    def note_time(self, what: str, ms: float) -> None:
        """One time that something took."""
        self.played.times.setdefault(what, []).append(round(ms, 1))

    # ---- what happens

    async def order(self, name: str, body: bytes = b"", **query: str) -> tuple[int, int]:
        """An order of the operator: when it was sent and when it was acknowledged. Raises PartialRunError."""
        sent = time.monotonic_ns()
        found = await self.channel.call(name, body, query)
        if found.is_err():
            raise PartialRunError(f"{name}: {found.err_value}")
        return sent, time.monotonic_ns()

    async def replace(self) -> tuple[int, int]:
        """The next configuration."""
        self.revision += 1
        body = configuration(self.scale, self.revision)
        self.played.configuration_bytes = len(body)
        return await self.order("config.replace", body)

    async def scene(self, what: str, act: Callable) -> None:
        """Something happens, and its cost beyond the rest is noted."""
        self.say(f"{self.scale.nodes} nodes: {what}")
        before = await self.snapshot()
        await act()
        await asyncio.sleep(AFTER_S)
        await self.look()
        row = self.beyond(before, await self.snapshot())
        self.played.scenes.setdefault(what, []).append(row)

    async def begin(self) -> None:
        """From nothing until every node is ready."""
        started = time.monotonic_ns()
        await self.open()
        times = await self.wait(self.running(), "ready", 1)
        self.note_time("start of all", (max(times) - started) / MS)

    async def rest(self) -> None:
        """What goes on when nothing happens."""
        await asyncio.sleep(SETTLE_S)
        self.say(f"{self.scale.nodes} nodes: at rest")
        before = await self.snapshot()
        await asyncio.sleep(REST_S)
        after = await self.snapshot()
        self.played.rest = self.by_role(before, after, True)

    async def change(self) -> None:
        """One weight of the configuration."""
        sent, acknowledged = await self.replace()
        times = await self.wait(self.running(), "revision", self.revision)
        self.note_time("change acknowledged", (acknowledged - sent) / MS)
        self.note_time("change in force everywhere", (max(times) - sent) / MS)
        self.note_time("from its acknowledgement", (max(times) - acknowledged) / MS)

    async def server_emptying(self) -> None:
        """One server of the platform's list changes its state."""
        known = max(max(self.seen[name, "servers"]) for name in self.running())
        uid = next(iter(self.platform.versions[-1][1]))
        changed = time.monotonic_ns()
        self.platform.state(uid, "emptying")
        times = await self.wait(self.running(), "servers", known + 1)
        self.note_time("server's state everywhere", (max(times) - changed) / MS)

    async def zone_emptied(self) -> None:
        """A zone is emptied, and taken back."""
        zone = list(ZONES)[-1]
        for call in ("empty.start", "empty.finish"):
            known = max(max(self.seen[name, "index"]) for name in self.running())
            sent, _ = await self.order(call, of=zone)
            times = await self.wait(self.running(), "index", known + 1)
            self.note_time("zone emptied or taken back everywhere", (max(times) - sent) / MS)

    async def real_node_restarts(self) -> None:
        """A real node without a disk is killed and started again, its process with it."""
        child = self.children[self.nodes[self.scale.core].name]
        await child.kill()
        await self.launch(child, first=False)
        await self.start_again([child.nodes[0].name], [child])
        self.note_time("node started to serving", self.taken([child.nodes[0].name]))

    async def start_again(self, names: list[str], children: list[Child]) -> None:
        """Starts nodes that were killed, and waits until they are ready."""
        for name in names:
            for key in [key for key in self.seen if key[0] == name]:
                del self.seen[key]
        await asyncio.gather(
            *(child.ask("start", [node.name for node in child.nodes if node.name in names]) for child in children)
        )
        await self.wait(names, "ready", 1)

    def taken(self, names: list[str]) -> float:
        """ms from the first start to the last ready."""
        started = min(self.seen[name, "started"][1] for name in names)
        return (max(self.reached(names, "ready", 1)) - started) / MS

    async def zone_back(self) -> None:
        """All hollow nodes of one zone, killed and back at once."""
        zone = self.nodes[-1].zone
        hosts = [child for child in self.children.values() if child.hollow]
        names = [node.name for child in hosts for node in child.nodes if node.zone == zone]
        for child in hosts:
            await child.ask("kill", [node.name for node in child.nodes if node.name in names])
        await asyncio.sleep(AFTER_S)
        await self.start_again(names, hosts)
        self.note_time("zone back to serving", self.taken(names))

    async def region_cut(self) -> None:
        """The hollow nodes of one region, cut off for longer than a lease, and joined again behind as many changes as
        a difference cannot bridge."""
        region = ZONES[self.nodes[-1].zone]
        hosts = [child for child in self.children.values() if child.hollow]
        names = [node.name for child in hosts for node in child.nodes if ZONES[node.zone] == region]
        own = {child.name: [node.name for node in child.nodes if node.name in names] for child in hosts}
        await asyncio.gather(*(child.ask("cut", own[child.name]) for child in hosts))
        rest = [name for name in self.running() if name not in names]
        before = await self.snapshot()
        for _ in range(CHANGES):
            await self.replace()
            await self.wait(rest, "revision", self.revision)
        await asyncio.sleep(CUT_S)
        self.played.cut = self.by_role(
            {name: before[name] for name in names},
            {name: row for name, row in (await self.snapshot()).items() if name in names},
            True,
        )
        await self.look()
        joined = time.monotonic_ns()
        await asyncio.gather(*(child.ask("join", own[child.name]) for child in hosts))
        times = await self.wait(names, "revision", self.revision)
        self.note_time("region joined to newest state", (max(times) - joined) / MS)

    async def leader_lost(self) -> None:
        """The leader is killed, a change is sent at once; then it starts again."""
        rows = await self.snapshot()
        name = next((name for name, row in rows.items() if row["leads"]), None)
        if name is None:
            raise PartialRunError("nobody leads")
        child = self.children[name]
        await child.kill()
        killed = time.monotonic_ns()
        _, acknowledged = await self.replace()
        self.note_time("leader lost to next acknowledgement", (acknowledged - killed) / MS)
        times = await self.wait(self.running(), "revision", self.revision)
        self.note_time("leader lost to change in force everywhere", (max(times) - killed) / MS)
        await self.launch(child, first=False)
        await self.start_again([name], [child])
        self.note_time("member started to serving", self.taken([name]))

    async def scenes(self) -> None:
        """All that happens, in order."""
        await self.begin()
        await self.rest()
        if self.scale.rest_only:
            return
        for _ in range(CHANGES):
            await self.scene("one weight changed", self.change)
        await self.scene("a server begins to empty", self.server_emptying)
        await self.scene("a zone emptied and taken back", self.zone_emptied)
        for _ in range(FAILURES if self.scale.real else 0):
            await self.scene("a node restarts", self.real_node_restarts)
        if self.scale.hollow_count:
            await self.scene("a zone's nodes come back", self.zone_back)
            await self.scene("a region is cut off and joined again", self.region_cut)
        for _ in range(FAILURES):
            await self.scene("the leader is lost", self.leader_lost)

    async def play(self) -> Played:
        """Plays all; a run that stopped early gives what it has, and says so."""
        began = os.getloadavg()[0]
        try:
            await self.scenes()
        except (PartialRunError, LocalSystemError) as trouble:
            self.played.partial = str(trouble)
            self.say(f"partial: {trouble}")
        try:
            await self.measure_memory()
        except PartialRunError as trouble:
            self.played.partial = self.played.partial or str(trouble)
        finally:
            await self.close()
        self.played.load = (round(began, 1), round(os.getloadavg()[0], 1))
        return self.played

    async def measure_memory(self) -> None:
        """Resident memory of the real processes by role, and of a hollow node its part of the process."""
        rows = await self.snapshot()
        for name, row in rows.items():
            held = self.played.memory.setdefault(self.role(name, rows), [])
            held.append((row["memory"], row["memory_peak"]))
            self.played.frames_lost += row["frames_lost"]
        self.played.memory = {
            role: (median(now for now, _ in held), max(peak for _, peak in held))
            for role, held in self.played.memory.items()
        }


def machine_memory() -> int:
    """Bytes of the machine."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def resident(pid: int) -> int:
    """Resident bytes of a process, 0 once it is gone."""
    try:
        with open(f"/proc/{pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except OSError:
        return 0


def play(scale: Scale, folder: Path, say: Callable[[str], None], most_s: float = MOST_S) -> Played:
    """Plays one size. Raises ScaleError past its bounds, before anything is started."""
    check(scale, machine_memory())
    folder.mkdir(parents=True, exist_ok=True)
    return uvloop.run(ScaleRun(scale, folder.resolve(), say, most_s).play())
