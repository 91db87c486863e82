"""A core under a burst of changes, on links of a bounded bandwidth."""

import json
import zlib
from functools import cache
from random import Random

from rampfront.consensus.events import OrderKind
from rampfront.simulation.bandwidth import Bandwidth
from rampfront.simulation.world import MS, SEC, World

SLOW, FAST = 2_000_000 / 8, 100_000_000 / 8  # bytes a second of links of 2 and 100 Mbit/s


GAP = 100 * MS  # between two changes of a storm


def rule(name, weight):
    return {
        "Name": f"r-{name}",
        "Type": "read_only",
        "Target": "800ms",
        "MatchesWhen": {"PathStart": f"/{name}/"},
        "ThenDo": {
            "Shares": [{"Service": "one", "Weight": weight}, {"Service": "two", "Weight": 10}],
            "GiveUp": "3000ms",
            "Tries": 2,
        },
    }


@cache
def names(count):
    draw = Random(count)
    return [f"{draw.getrandbits(36):x}" for _ in range(count)]


def body(rev, routes, anew=False):
    """A configuration in which each version changes one route (`anew`: all of it), compressed as the core holds it."""
    rules = [rule(name, rev if k == rev % routes else 90) for k, name in enumerate(names(routes + anew * rev))]
    whole = {
        "Revision": f"r{rev}",
        "Caps": {},
        "Sockets": [{"Hostname": "h.example", "Rulebook": rules}],
        "Groups": [{"Name": name, "HealthPath": "/health"} for name in ("one", "two")],
    }
    return zlib.compress(json.dumps(whole).encode())


class BusyCore(World):
    """A core under a change each 100 ms. `rates`: bytes a second of machines' links by number; the others' are FAST."""

    def __init__(self, routes=50, rates=(), members=4, seed=1, anew=False):
        super().__init__(seed, members, (members - 1) // 2)
        self.loss = self.repeat = 0
        self.routes, self.rev, self.anew = routes, 0, anew
        links = {f"10.0.0.{number}": rate for number, rate in dict(rates).items()}
        self.bandwidth = Bandwidth(self, links, FAST, lambda src, dst: (src, dst) in self.cuts)
        for node in self.nodes:
            self.start(node, True)
        self.go(3 * SEC)
        assert len(self.leader.core_member.committed.members) == members
        self.change()
        self.go(SEC)

    def go(self, time):
        self.run(self.now + time)

    @property
    def leader(self):
        (led,) = [node for node in self.nodes if node.up and not node.frozen and node.core_member.is_leader]
        return led

    def follower(self, number=4):
        """A member by its number, or another that doesn't lead."""
        node = self.nodes[number - 1]
        return node if node is not self.leader else self.nodes[number - 2]

    def change(self):
        self.rev += 1
        led = next((node for node in self.nodes if node.up and node.core_member.is_leader), None)
        self.call(OrderKind.CONFIGURE, (self.rev, body(self.rev, self.routes, self.anew)), led)

    def burst(self, changes):
        """So many changes, GAP apart."""
        for _ in range(changes):
            self.change()
            self.go(GAP)

    def held(self, node):
        """Number of the newest version that a member knows to be in force."""
        return node.core_member.committed.revision if node.core_member.committed else 0

    def catch_up(self, node, limit=8 * SEC):
        """Starts a member while changes go on; (seconds, bytes that came to it) until it knows what was the newest
        when it started."""
        began, came = self.now, self.bandwidth.received_bytes(node.ip)
        self.start(node)
        target = self.rev
        while self.held(node) < target:
            assert self.now - began < limit, f"holds r{self.held(node)} of r{target}"
            self.burst(1)
        return (self.now - began) / SEC, self.bandwidth.received_bytes(node.ip) - came
