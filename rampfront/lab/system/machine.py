"""A proxy node as only the laboratory runs it: `python -m rampfront.lab.system.machine JSON`, with the usual settings.

It is the normal program with replaced parts, so that the program itself needs no switches for tests. Frames are sent
through the relay, the disk fails on command, and for comparison the quotas and the choice of servers may be simpler.
The JSON holds `relay` (port, 0 for none), `variant` (one of `plan.VARIANTS`), `pilots` (the number of nodes) and `disk`
(path of a file: while it exists, its content is the disk's fault).
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
MAX_RETRY_WAIT_NS = 2 * SEC


class FaultyDisk(Files):
    """A disk that fails while a command file exists.

    The file holds "full", or the delay of each sync in ms."""

    def __init__(self, command_path):
        """`command_path`: path of the command file."""
        self.command_path = command_path

    def apply_fault(self, sync):
        """Raises OSError if the disk is to be full; delays a sync."""
        try:
            with open(self.command_path) as file:
                command = file.read()
        except OSError:
            return
        if command == "full":
            raise OSError(errno.ENOSPC, "no space left (simulated by the laboratory)")
        if sync:
            time.sleep(float(command or 0) / 1000)

    def remove(self, path):
        """Removes a file."""
        self.apply_fault(False)
        super().remove(path)

    def sync(self, path):
        """Syncs a file."""
        self.apply_fault(True)
        super().sync(path)


class LocalLimiter(Limiter):
    """A limiter without a common counter: each node enforces a fixed share of each quota by itself."""

    def __init__(self, share, *arguments):
        """`share`: of each quota; `arguments`: those of `Limiter`."""
        super().__init__(*arguments)
        self.share, self.buckets = share, {}

    def set_quotas(self, settings, now):
        """Sets the quotas; the bucket of an unchanged quota keeps its level."""
        super().set_quotas(settings, now)
        former = self.buckets
        self.buckets = {}
        for name, tenant in self.tenants.items():
            rate, depth = tenant.quota.per_s * self.share, max(1.0, tenant.quota.depth * self.share)
            bucket = former.get(name)
            if bucket is None or (bucket.rate, bucket.burst) != (rate, depth):
                bucket = TokenBucket(rate, depth)
                bucket.updated_at = now
            self.buckets[name] = bucket

    def take(self, name, now):
        """Takes a token for a request; returns None, or the ns to wait if there is none."""
        bucket = self.buckets.get(name)
        if bucket is None or bucket.take(1.0, now):
            return None
        return min(MAX_RETRY_WAIT_NS, int((1.0 - bucket.level) / bucket.rate * SEC) + 1)

    def refund(self, name, now):
        """Returns the token of a request that was not executed."""
        if bucket := self.buckets.get(name):
            bucket.level = min(bucket.burst, bucket.level + 1.0)

    @property
    def next_update_at(self):
        """Never: there is no counter to update."""
        return NEVER

    def due_update(self, now):  # there is no counter to update
        return None


def choose_at_random(node, txn):
    """Returns a server at random, with equal odds for all eligible ones, or None."""
    candidates = node.eligible_servers(txn)
    candidates = [server for server in candidates if server.id != txn.last_server] or candidates
    return node.choices(candidates)[0] if candidates else None


def make_builder(options):
    """Returns the function that builds the node, to replace `build_node_process`."""
    if options["variant"] == "random":
        choice.Node.choose = choose_at_random
    share = {"split": 1.0 / options["pilots"], "unshared": 1.0}.get(options["variant"])
    ports = Ports(limiter=partial(LocalLimiter, share)) if share else Ports()

    def build(loop, settings, log, seed):
        node = build_node_process(loop, settings, log, seed, ports)
        if node.core.record_store:
            node.core.record_store.files = FaultyDisk(options["disk"])
        return node

    return build


def make_opener(options):
    """Returns the function that opens the listeners, to replace `open_listeners`."""

    async def open_behind_relay(node):
        await open_listeners(node)
        if options["relay"]:
            node.context.wire.port = options[
                "relay"
            ]  # the node already listens at its own port; from now on it sends to the relay's

    return open_behind_relay


if __name__ == "__main__":
    options = json.loads(sys.argv[1])
    exit_code = main(make_builder(options), make_opener(options))
    sys.stderr.flush()
    os._exit(exit_code)
