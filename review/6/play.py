"""Each zone is emptied and taken back once, and one acknowledgement of each is lost: are the zones used again?"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import cell as c  # noqa: E402

SILENCE_S = 1.0  # without an answer, after which a caller moves on to another node
ACK_WITHIN_S, RECOVERY_S, DOWN_S = 6.0, 15.0, 1.0
EMPTY_S = 3.0  # for which a zone stays emptied


async def answer(server, request, writer):
    body = b"done"
    await asyncio.sleep(0.02)
    writer.write(c.head(request, server, body) + body)


class LossyPath:
    """A proxy between the operator and one node's control address: it loses the answers."""

    def __init__(self, cell, node, record):
        self.cell, self.node, self.record = cell, node, record

    async def open(self):
        self.server = await asyncio.start_server(self._carry, self.cell.stand_in_ip, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _carry(self, reader, writer):
        try:
            found = await c.read_head(reader)
            call = found[0].split()[1]
            outcome = await c.call(self.cell.ips[self.node], self.cell.port(c.CONTROL), "POST", call, timeout=1.5)
            self.record(f"machine {self.node} answers {outcome[0] if outcome else 'nothing'} to {call}: lost on its way")
            await asyncio.sleep(2.0)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def order(cell, record, name, zone, lossy=None):
    """The operator's order: again and again, at one machine after the other, until a 2xx. Returns whether it came."""
    until, n = record.now() + ACK_WITHIN_S, 0
    target = f"/api/rpc?call={name}&of={zone}"
    if lossy is not None:
        ip, port = lossy.address
        outcome = await c.call(ip, port, "POST", target, timeout=SILENCE_S)
        record(f"operator: {name} {zone} at machine {lossy.node}: {outcome[0] if outcome else 'no answer'}")
        n = lossy.node + 1
    pause = 0.1
    while record.now() < until:
        machine = n % cell.count
        outcome = await c.call(cell.ips[machine], cell.port(c.CONTROL), "POST", target, timeout=SILENCE_S)
        record(f"operator: {name} {zone} at machine {machine}: {outcome[0] if outcome else 'no answer'}")
        if outcome is not None and outcome[0] < 300:
            return True
        await asyncio.sleep(pause)
        pause = min(1.0, 2 * pause)
        n += 1
    return False


async def serve(cell, seconds):
    """Sends reads to all machines in turn. Returns how they were answered."""
    answers, n, until = Counter(), 0, cell.record.now() + seconds
    while cell.record.now() < until:
        _, found = await c.send(cell, n % cell.count, "/read/x", time_left_ms=2000, quiet=True)
        answers[str(found.status or found.why)[:40]] += 1
        n += 1
        await asyncio.sleep(0.02)
    return answers


async def emptied_for_good(cell, record, trouble):
    """Returns the breaches of RECOVER."""
    await cell.start(lambda _: [c.Server(record, "registry-core", zone, answer) for zone in c.ZONES], configuration())
    for server in cell.servers:
        server.quiet = True
    lossy = LossyPath(cell, 1, record)
    await lossy.open()
    before = await serve(cell, 10.0)
    for zone in c.ZONES:
        if not await order(cell, record, "empty.start", zone, lossy if trouble else None):
            raise c.CouldNotRun("an evacuation was not acknowledged")
        before += await serve(cell, EMPTY_S)
        if not await order(cell, record, "empty.finish", zone):
            raise c.CouldNotRun("the end of an evacuation was not acknowledged")
    before += await serve(cell, 3.0)
    record(f"answers before the closing fault: {dict(before)}")
    record("closing fault: all processes are killed; the disks stay")
    for process in cell.processes.values():
        process.kill()
    for process in cell.processes.values():
        process.wait()
    await asyncio.sleep(DOWN_S)
    for n in range(cell.count):
        cell.start_node(n)
    await asyncio.sleep(RECOVERY_S)
    after = await serve(cell, 5.0)
    record(f"answers to requests sent later than Recovery: {dict(after)}")
    if before["200"] * 4 < sum(before.values()) or after["200"] * 4 >= sum(after.values()):
        return []
    return [f"RECOVER: {after['200']} of {sum(after.values())} were served, all zones being taken back"]


def configuration():
    routes = [c.route("read", "/read/", "read_only", "registry-core", "3000ms")]
    return c.configuration(routes=routes, services=("registry-core",))


if __name__ == "__main__":
    c.main(emptied_for_good, HERE, nodes=5)
