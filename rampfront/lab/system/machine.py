"""A pilot as the laboratory alone runs it: `python -m rampfront.lab.system.machine JSON`, settings as ever.

It is the program itself with parts swapped behind its back, so that the program needs no switch for tests: frames go by the
relay, the disk refuses on command, and for comparison quotas and the pick of servers may be simpler ones. JSON holds
`relay` (port, 0: none), `variant` (of `plan.VARIANTS`), `pilots` (their number) and `disk` (a file: while it stands, its
words say what the disk does).
"""

import errno
import json
import os
import sys
import time
from functools import partial

from ... import choice
from ...consensus.record_store import Files
from ...node.__main__ import main
from ...node.assembly import build_node_process
from ...node.endpoints import open_listeners
from ...node.ports import Ports
from ...quota.limiter import Limiter
from ...quota.update_schedule import NEVER
from ..tally import TokenBucket

SEC = 10**9
LONGEST = 2 * SEC


class FaultyDisk(Files):
    """A disk in trouble while the file `told` stands: "full", or so many ms for each sync."""

    def __init__(self, told):
        self.told = told

    def trouble(self, sync):
        try:
            with open(self.told) as file:
                said = file.read()
        except OSError:
            return
        if said == "full":
            raise OSError(errno.ENOSPC, "no space left (by the laboratory)")
        if sync:
            time.sleep(float(said or 0) / 1000)

    def remove(self, path):
        self.trouble(False)
        super().remove(path)

    def sync(self, path):
        self.trouble(True)
        super().sync(path)


class Apart(Limiter):
    """Each pilot keeps quotas by itself: `part` of each, and nobody is told."""

    def __init__(self, part, *about):
        super().__init__(*about)
        self.part, self.buckets = part, {}

    def set_quotas(self, settings, now):
        super().set_quotas(settings, now)
        old = self.buckets
        self.buckets = {}
        for name, row in self.tenants.items():
            rate, depth = row.quota.per_s * self.part, max(1.0, row.quota.depth * self.part)
            bucket = old.get(name)
            if bucket is None or (bucket.rate, bucket.burst) != (rate, depth):
                bucket = TokenBucket(rate, depth)
                bucket.updated_at = now
            self.buckets[name] = bucket

    def take(self, name, now):
        bucket = self.buckets.get(name)
        if bucket is None or bucket.take(1.0, now):
            return None
        return min(LONGEST, int((1.0 - bucket.level) / bucket.rate * SEC) + 1)

    def refund(self, name, now):
        if bucket := self.buckets.get(name):
            bucket.level = min(bucket.burst, bucket.level + 1.0)

    @property
    def next_update_at(self):
        return NEVER

    def due_update(self, now):
        return None


def by_chance(node, txn):
    """Any server that the rules leave, all alike."""
    some = node.lawful(txn)
    some = [server for server in some if server.id != txn.last_server] or some
    return node.pick(some)[0] if some else None


def builder(told):
    """What builds the process, in place of `build_node_process`."""
    if told["variant"] == "random":
        choice.Node.choose = by_chance
    part = {"split": 1.0 / told["pilots"], "unshared": 1.0}.get(told["variant"])
    ports = Ports(limiter=partial(Apart, part)) if part else Ports()

    def build(loop, settings, log, seed):
        node = build_node_process(loop, settings, log, seed, ports)
        if node.core.record_store:
            node.core.record_store.files = FaultyDisk(told["disk"])
        return node

    return build


def opener(told):
    """What opens the listeners, in place of `open_listeners`."""

    async def open_behind_relay(node):
        await open_listeners(node)
        if told["relay"]:
            node.context.wire.port = told["relay"]  # it listens at its own by now, and sends here

    return open_behind_relay


if __name__ == "__main__":
    told = json.loads(sys.argv[1])
    code = main(builder(told), opener(told))
    sys.stderr.flush()
    os._exit(code)
