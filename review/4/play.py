"""The seeds become machines without a disk, and two core machines are replaced: is the configuration read back?"""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import cell as c  # noqa: E402

CORE, DISKLESS, NEW = (0, 1, 2, 3), (4, 5, 6), (7, 8)
GONE = (1, 2)  # the core machines that are replaced, one after the other
DOWN_S = 1.0  # until the empty machine starts at another address
BETWEEN_S = 10.0  # from one replacement to the next: more than `CatchUp`, 4 s
READ_S = 15.0  # for how long the operator asks at the end; RULES.md: at least `InTouch`, 4 s


async def answer(server, request, writer):
    body = b"done"
    await asyncio.sleep(0.05)
    writer.write(c.head(request, server, body) + body)


async def core_machines_that_never_join(cell, record, trouble):
    """Returns the breaches of CONFIG."""
    await cell.start(lambda _: [c.Server(record, "registry-core", zone, answer) for zone in c.ZONES], configuration(1))
    record("r1 is acknowledged")
    await asyncio.sleep(3.0)  # the core takes its first orders with three members; by now the fourth is in
    if trouble:  # `seed_turnover`: the settings name other seeds, which serve control as all machines do
        cell.seeds = DISKLESS
    else:  # the seeds stay machines of the core, as far as these stay
        cell.seeds = (0, 3, 2)
    for n in range(cell.count):
        cell.write_settings(n)
        cell.processes[n].send_signal(signal.SIGHUP)
    record(f"the settings of all machines name the seeds {cell.seeds}; SIGHUP")
    await asyncio.sleep(3.0)
    for gone, new in zip(GONE, NEW, strict=True):
        if gone in cell.seeds:
            cell.seeds = tuple(7 if seed == gone else seed for seed in cell.seeds)
        cell.processes[gone].kill()
        cell.processes[gone].wait()
        cell.control_list.remove(gone)
        record(f"core machine {gone} is gone for good")
        await asyncio.sleep(DOWN_S)
        cell.start_node(new)
        cell.control_list.append(new)
        record(f"machine {new} starts in its place at {cell.ips[new]}, with an empty disk and the seeds {cell.seeds}")
        await asyncio.sleep(BETWEEN_S)
        record(f"machine {new} is {'ready' if await cell.is_ready(new) else 'not ready'}")
    status, _ = await cell.operate("config.replace", configuration(2), within=10)
    record(f"r2: {status}")
    newest = 2 if status == 200 else 1
    read = await read_back(cell, record)
    _, served = await c.send(cell, 0, "/read/x", time_left_ms=3000)
    if read is None:
        return [f"CONFIG: r{newest} was acknowledged, and no configuration comes in {READ_S:.0f} s"]
    return [] if read >= newest else [f"CONFIG: r{newest} was acknowledged, r{read} comes"]


async def read_back(cell, record):
    until, n = time.monotonic() + READ_S, 0
    while time.monotonic() < until:
        machine = cell.control_list[n % len(cell.control_list)]
        found = await c.call(cell.ips[machine], cell.port(c.CONTROL), "POST", "/api/rpc?call=config.read")
        record(f"config.read at machine {machine}: {found[0] if found else 'no answer'}")
        if found is not None and found[0] == 200:
            return int(json.loads(found[1])["Revision"][1:])
        n += 1
        await asyncio.sleep(0.5)
    return None


def configuration(revision):
    routes = [c.route("read", "/read/", "read_only", "registry-core", "3000ms")]
    return c.configuration(revision, routes=routes, services=("registry-core",))


if __name__ == "__main__":
    c.main(core_machines_that_never_join, HERE, nodes=7, spare=2, disks=NEW)
