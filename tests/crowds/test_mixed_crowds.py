"""Crowds of all kinds drawn from a seed, which overlap with signals, restarts and a new configuration.

The clients of earlier crowds stay connected while later ones come, until the process that they met has ended. The whole
scene plays against one node; CI plays a few seeds, and `CROWD_SEEDS=FIRST-LAST` plays others.
"""

import asyncio
import json
import os
import signal
from random import Random

import crowd_clients as clients
import pytest
from crowd_clients import KIB, MIB
from crowd_system import ANSWERS_WITHIN_S, configuration_with_longer_routes, play

from rampfront.operator_cli.control_client import ControlClient
from rampfront.settings.scalars import parse_address

pytestmark = pytest.mark.alone
CALL = "/api/rpc?call=config.replace"
ROUNDS = 4
RESTART_WITHIN_S = 20.0
ORDER_TIMEOUT_S = 5.0
FIRST_SEED, LAST_SEED = map(int, os.environ.get("CROWD_SEEDS", "1-3").split("-"))


def draw_crowd(rng):
    """Returns where a crowd goes and what its clients send."""
    count, number = rng.randrange(2, 40), rng.randrange(10**6)
    kinds = {
        "endless field": ("front", lambda n: clients.endless_field(4 * MIB)),
        "endless target": ("directory", lambda n: clients.endless_target(4 * MIB)),
        "endless trailer": ("front", lambda n: clients.endless_trailer("/", 4 * MIB)),
        "empty lines": (rng.choice(("front", "control", "ready")), lambda n: clients.empty_lines(8 * MIB)),
        "half heads": ("front", lambda n: clients.endless_fields(rng.randrange(16 * KIB))),
        "stopped bodies": ("front", lambda n: clients.sized_body("/", rng.randrange(MIB, 64 * MIB), n, 1)),
        "bodies": ("front", lambda n: clients.sized_body("/", rng.randrange(KIB, 8 * MIB), n)),
        "small chunks": ("front", lambda n: clients.unsized_body("/", rng.randrange(KIB, MIB), n, rng.random() < 0.5)),
        "stopped calls": ("control", lambda n: clients.sized_body(CALL, rng.randrange(MIB, 8 * MIB), n, 1)),
        "chunked calls": ("control", lambda n: clients.unsized_body(CALL, rng.randrange(KIB, MIB), n)),
        "unread answers": ("front", lambda n: clients.plain_request("/", n)),
        "more behind": ("front", lambda n: clients.request_and_more("/", 8 * MIB, n)),
        "half frames": ("frames", lambda n: [(8 * MIB).to_bytes(4, "big"), bytes(rng.randrange(8 * MIB))]),
    }
    where, stream = kinds[rng.choice(sorted(kinds))]
    return where, [stream(number + client) for client in range(count)]


async def disturb(system, rng, revision):
    """Sends the node a signal or a new configuration, or restarts its process."""
    kind = rng.choice(("SIGHUP", "SIGUSR1", "configuration", "restart", "kill", "nothing"))
    if kind in ("SIGHUP", "SIGUSR1"):
        for _ in range(rng.randrange(1, 4)):
            system.child.send_signal(getattr(signal, kind))
            await asyncio.sleep(rng.random() / 4)
    elif kind == "configuration":
        body = {**configuration_with_longer_routes(), "Revision": f"r{revision}"}
        client = ControlClient([parse_address(system.node.control)], ORDER_TIMEOUT_S)
        await client.call("config.replace", json.dumps(body).encode())
    elif kind in ("restart", "kill"):
        await system.restart(signal.SIGTERM if kind == "restart" else signal.SIGKILL, RESTART_WITHIN_S)


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED + 1))
def test_a_node_outlives_mixed_crowds(tmp_path, seed):
    rng = Random(seed)

    async def scene(system):
        pushes = []
        for number in range(ROUNDS):
            for _ in range(rng.randrange(1, 4)):
                pushes.append(asyncio.ensure_future(system.crowd(*draw_crowd(rng))))
                await asyncio.sleep(rng.random())
            await disturb(system, rng, 2 + number)
        await asyncio.gather(*pushes)
        await asyncio.sleep(ANSWERS_WITHIN_S)

    play(tmp_path, scene, answer_bytes=rng.choice((64, MIB, 8 * MIB)))
