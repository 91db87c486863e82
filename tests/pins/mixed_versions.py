"""A rolling change on a small system of real processes on loopback, from one text to another: by hand.

    python tests/pins/mixed_versions.py --from /path/to/old --to . [--seconds 6]

Four nodes of the text FROM start with an empty disk and get a configuration. While clients send requests to all fronts
and operators send orders to all nodes in turn, two nodes change to the text TO, on the folders that the text FROM has
written; each text leads the other for a while; then the other two change as well. At last all are ended at once and
started as the text FROM on what the text TO stored. Printed, and written with `-o FILE` as JSON: what was acknowledged
and how late, what was answered, whether all nodes hold the same, and how many frames a node could not read.
"""

import argparse
import asyncio
import json
import re
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

import uvloop  # noqa: E402

from rampfront.operator_cli.local_system import LocalSystem, SystemSize  # noqa: E402

OK, TOO_MANY, SERVER_ERROR = 200, 429, 500
SILENCE_S = 1.2  # behind which an operator turns to another node
ACKNOWLEDGED_S = 6.0  # within which an order is to be acknowledged
PUBLIC, UNDER_QUOTA = "/page", "/read/1"  # 20 a second and 20 at once of the latter
CLIENT_PAUSE_S, EAGER_PAUSE_S, OPERATOR_PAUSE_S = 0.02, 0.01, 0.25
GRACE_S = 12.0  # for a node to end
READY_S = 20.0  # for a node to become ready
BASE = "127.0.0.61"
ZONE = "south-b"


async def ask(address: str, method: str, path: str, body: bytes = b"", **fields: str) -> tuple[int, bytes]:
    """One HTTP call over a connection of its own; status 0 if there is no whole answer."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in {"Host": host, **fields}.items()]
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0, b""
    try:
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head, _, rest = (await reader.read()).partition(b"\r\n\r\n")
        return (int(head[9:12]), rest) if head else (0, b"")
    except OSError:
        return 0, b""
    finally:
        writer.close()


async def rpc(node: Any, call: str, body: bytes = b"", query: str = "") -> tuple[int, bytes]:
    """A call of an operator; status 0 behind a second's silence."""
    try:
        return await asyncio.wait_for(
            ask(node.control, "POST", f"/api/rpc?call={call}{query}", body), timeout=SILENCE_S
        )
    except TimeoutError:
        return 0, b""


class MixedSystemError(Exception):
    """The course could not be played to its end."""


class MixedSystem(LocalSystem):
    """A local system of which each node has a text of its own."""

    def __init__(self, loop: asyncio.AbstractEventLoop, text: Path) -> None:
        """All of one text."""
        super().__init__(loop, SystemSize(nodes=4, base=BASE))
        self.text = text
        self.texts: dict[str, Path] = {}  # by node; of those that differ from `text`

    def text_of(self, node: Any) -> Path:
        """The text that a node runs."""
        return self.texts.get(node.name, self.text)

    def program(self, node: Any) -> list[str]:
        """A node of the text that it has."""
        text = self.text_of(node)
        within = ["env", f"--chdir={text}", f"PYTHONPATH={text}", "PYTHONDONTWRITEBYTECODE=1"]
        return [*within, sys.executable, "-m", "rampfront.node"]

    async def stop(self, node: Any) -> int:
        """SIGTERM; the exit status, or -9 if it had to be killed."""
        child = self.children[node.name]
        child.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while child.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if child.poll() is None:
            child.kill()
        return child.wait()

    async def become_ready(self, node: Any) -> float:
        """s until it is ready. Raises MixedSystemError if it is not."""
        began = time.monotonic()
        while (await ask(node.ready, "GET", "/api/ready"))[0] != OK:
            if time.monotonic() - began > READY_S:
                raise MixedSystemError(f"{node.name} does not become ready")
            await asyncio.sleep(0.05)
        return time.monotonic() - began

    async def change(self, node: Any, text: Path) -> dict[str, Any]:
        """Ends a node in order and starts it as another text on its folder."""
        status = await self.stop(node)
        self.texts[node.name] = text
        self.launch(node, first=False)
        return {"node": node.name, "exit": status, "ready_s": round(await self.become_ready(node), 2)}


class Play:
    """What clients and operators do meanwhile, and what came of it."""

    def __init__(self, system: MixedSystem) -> None:
        """Nothing yet."""
        self.system, self.over = system, False  # over: for the operators, at the end of a phase
        self.phase = "before"
        self.requests: dict[str, Counter] = {}
        self.orders: dict[str, list[float]] = {}  # by phase: s until each was acknowledged
        self.failed: list[str] = []
        self.revision = int(json.loads(system.body)["Revision"][1:])
        self.emptied = False

    async def clients(self, path: str, pause_s: float) -> None:
        """Requests to all fronts in turn, until this is cancelled; those to a node that is being started again fail."""
        told = json.loads(self.system.body)
        host, key = told["Sockets"][0]["Hostname"], told["Customers"][0]["ApiKeys"][0]
        number = 0
        while True:
            node = self.system.nodes[number % len(self.system.nodes)]
            number += 1
            fields = {"Host": host, "Try_Id": f"t{number}-{time.time_ns()}", "Time_Left_Ms": "2000"}
            if path != PUBLIC:
                fields["Authorization"] = f"Bearer {key}"
            try:
                status, _ = await asyncio.wait_for(ask(node.front, "GET", path, **fields), 3.0)
            except TimeoutError:
                status = 0
            self.requests.setdefault(f"{self.phase}: {path}", Counter())[status] += 1
            await asyncio.sleep(pause_s)

    async def order(self, first: int, call: str, body: bytes = b"", query: str = "") -> bytes:
        """One order, sent to node after node until it is acknowledged."""
        began, number, nodes = time.monotonic(), first, self.system.nodes
        while time.monotonic() - began < 4 * ACKNOWLEDGED_S:
            status, answer = await rpc(nodes[number % len(nodes)], call, body, query)
            if status == OK:
                self.orders.setdefault(self.phase, []).append(time.monotonic() - began)
                return answer
            if 0 < status < SERVER_ERROR:
                self.failed.append(
                    f"{self.phase}: {call} at {nodes[number % len(nodes)].name}: {status} {answer[:200]}"
                )
                return answer
            number += 1
            await asyncio.sleep(0.1)
        self.failed.append(f"{self.phase}: {call} is not acknowledged")
        return b""

    async def operators(self) -> None:
        """A new configuration at each node in turn, and a zone emptied and taken back now and then."""
        number = 0
        while not self.over:
            number += 1
            self.revision += 1
            told = {**json.loads(self.system.body), "Revision": f"r{self.revision}"}
            await self.order(number, "config.replace", json.dumps(told).encode())
            if number % 6 == 0:
                await self.order(number + 1, "empty.finish" if self.emptied else "empty.start", query=f"&of={ZONE}")
                self.emptied = not self.emptied
            await asyncio.sleep(OPERATOR_PAUSE_S)

    async def states(self) -> list[dict[str, Any]]:
        """What each node says of itself."""
        return [json.loads((await rpc(node, "state.read"))[1] or b"{}") for node in self.system.nodes]

    async def leader(self) -> Any:
        """The node that leads."""
        for _ in range(100):
            leading = [state["Node"] for state in await self.states() if state.get("Leads")]
            if leading:
                return next(node for node in self.system.nodes if node.name == leading[0])
            await asyncio.sleep(0.1)
        raise MixedSystemError("nobody leads")

    async def lead_by(self, text: Path) -> dict[str, Any]:
        """Restarts leaders, on their own texts, until a node of `text` leads."""
        changes = []
        for _ in range(12):
            leader = await self.leader()
            if self.system.text_of(leader) == text:
                return {"leader": leader.name, "restarted": changes}
            changes.append((await self.system.change(leader, self.system.text_of(leader)))["exit"])
        raise MixedSystemError("no node of that text comes to lead")

    async def agree(self) -> dict[str, Any]:
        """Stops orders for a moment; whether all nodes hold the same and read the same configuration back."""
        for _ in range(30):
            states = await self.states()
            held = {(state.get("Revision"), state.get("Index"), str(state.get("Emptied"))) for state in states}
            bodies = {(await rpc(node, "config.read"))[1] for node in self.system.nodes}
            if len(held) == 1 and len(bodies) == 1:
                break
            await asyncio.sleep(0.1)
        odd = {state.get("Node"): state.get("Counts", {}).get("frames_odd") for state in states}
        read = json.loads(bodies.pop()).get("Revision") if len(bodies) == 1 else sorted(map(str, bodies))
        return {"held": sorted(map(str, held)), "read_back": read, "newest": f"r{self.revision}", "frames_odd": odd}


async def play(system: MixedSystem, old: Path, new: Path, seconds: float) -> dict[str, Any]:
    """The rolling change there, and back on what was stored."""
    loop = asyncio.get_running_loop()
    await system.start()
    course = Play(system)
    clients = [
        loop.create_task(course.clients(PUBLIC, CLIENT_PAUSE_S)),
        *(loop.create_task(course.clients(UNDER_QUOTA, EAGER_PAUSE_S)) for _ in range(2)),
    ]
    report: dict[str, Any] = {"changes": [], "agree": {}, "leads": {}}
    order = [*system.nodes]

    async def phase(name: str) -> None:
        course.phase, course.over = name, False
        task = loop.create_task(course.operators())
        await asyncio.sleep(seconds)
        course.over = True
        await task
        report["agree"][name] = await course.agree()
        course.over = False

    async def changed(nodes: list[Any], text: Path, name: str) -> None:
        course.phase, course.over = name, False
        task = loop.create_task(course.operators())
        for node in nodes:
            report["changes"].append({**await system.change(node, text), "phase": name})
        course.over = True
        await task
        course.over = False

    await phase("all of FROM")
    await changed(order[:2], new, "two change to TO")
    for text, name in ((new, "TO"), (old, "FROM"), (new, "TO once more")):
        course.phase = f"mixed, towards {name} leading"
        report["leads"][name] = await course.lead_by(text)
        await phase(f"mixed, {name} leads")
    await changed(order[2:], new, "the other two change to TO")
    await phase("all of TO")
    course.phase = "all ended at once, back to FROM"
    if not course.emptied:
        await course.order(0, "empty.start", query=f"&of={ZONE}")
        course.emptied = True
    report["agree"]["a zone emptied by TO"] = await course.agree()
    report["ended"] = [await each for each in [asyncio.ensure_future(system.stop(node)) for node in order]]
    for node in order:
        system.texts[node.name] = old
        system.launch(node, first=False)
    report["back_ready_s"] = [round(await system.become_ready(node), 2) for node in order]
    report["agree"]["back, before any order"] = await course.agree()
    await phase("all of FROM again")
    for client in clients:
        client.cancel()
    report["orders"] = {
        name: {"acknowledged": len(took), "most_s": round(max(took), 2)} for name, took in course.orders.items()
    }
    report["failed"] = course.failed
    report["requests"] = {name: dict(sorted(counts.items())) for name, counts in course.requests.items()}
    report["faults"] = [line for node in order for line in odd_lines(system.folder / f"{node.name}.log")]
    return report


def odd_lines(path: Path) -> list[str]:
    """Lines of a log that tell of defects, or of frames, records or configurations that could not be read."""
    words = re.compile(r"odd|invalid|malformed|unread|fault|Traceback|Error")
    counted = re.compile(r"(?:odd|invalid|faults)\w*=[1-9]\d*")
    lines = path.read_text("utf-8", "replace").splitlines()
    found = [" ".join(counted.findall(line)) if " totals " in line else line[:300] for line in lines]
    return [f"{path.name}: {line}" for line in found if words.search(line)]


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--from", dest="old", type=Path, required=True)
    parser.add_argument("--to", dest="new", type=Path, required=True)
    parser.add_argument("--seconds", type=float, default=6.0, help="of each phase")
    parser.add_argument("-o", "--out", type=Path)
    given = parser.parse_args()
    loop = uvloop.new_event_loop()
    system = MixedSystem(loop, given.old.resolve())
    try:
        report = loop.run_until_complete(play(system, given.old.resolve(), given.new.resolve(), given.seconds))
    finally:
        loop.run_until_complete(system.end())
    text = json.dumps(report, indent=1)
    if given.out:
        given.out.write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    main()
