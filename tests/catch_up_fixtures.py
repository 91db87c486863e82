"""Fixtures for tests of a core with frequent changes on links with limited bandwidth."""

import json
import zlib
from functools import cache
from random import Random

from rampfront.consensus.events import OrderKind
from rampfront.simulation.bandwidth import Bandwidth
from rampfront.simulation.world import MS, SEC, World

SLOW_LINK, FAST_LINK = 2_000_000 / 8, 100_000_000 / 8  # bytes per second of 2 and 100 Mbit/s links


CHANGE_INTERVAL = 100 * MS  # between two changes of a burst


def route_rule(name, weight):
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
def route_names(count):
    draw = Random(count)
    return [f"{draw.getrandbits(36):x}" for _ in range(count)]


def configuration_body(rev, routes, replaces_all=False):
    """Returns a compressed configuration. Each version changes one route, or all of them with `replaces_all`."""
    route_rules = [
        route_rule(name, rev if k == rev % routes else 90)
        for k, name in enumerate(route_names(routes + replaces_all * rev))
    ]
    whole = {
        "Revision": f"r{rev}",
        "Caps": {},
        "Sockets": [{"Hostname": "h.example", "Rulebook": route_rules}],
        "Groups": [{"Name": name, "HealthPath": "/health"} for name in ("one", "two")],
    }
    return zlib.compress(json.dumps(whole).encode())


class BusyCore(World):
    """A core with a configuration change every 100 ms.

    `rates`: bandwidth of machines' links in bytes per second, by machine number; the others have FAST_LINK.
    """

    def __init__(self, routes=50, rates=(), members=4, seed=1, replaces_all=False):
        super().__init__(seed, members, (members - 1) // 2)
        self.loss = self.repeat = 0
        self.routes, self.rev, self.replaces_all = routes, 0, replaces_all
        links = {f"10.0.0.{number}": rate for number, rate in dict(rates).items()}
        self.bandwidth = Bandwidth(self, links, FAST_LINK, lambda src, dst: (src, dst) in self.cuts)
        for node in self.nodes:
            self.start(node, True)
        self.advance(3 * SEC)
        assert len(self.leader.core_member.committed.members) == members
        self.change()
        self.advance(SEC)

    def advance(self, time):
        self.run(self.now + time)

    @property
    def leader(self):
        (leader,) = [node for node in self.nodes if node.up and not node.frozen and node.core_member.is_leader]
        return leader

    def follower(self, number=4):
        """Returns the member with this number, or the one before it if that is the leader."""
        node = self.nodes[number - 1]
        return node if node is not self.leader else self.nodes[number - 2]

    def change(self):
        self.rev += 1
        leader = next((node for node in self.nodes if node.up and node.core_member.is_leader), None)
        self.call(OrderKind.CONFIGURE, (self.rev, configuration_body(self.rev, self.routes, self.replaces_all)), leader)

    def burst(self, changes):
        """Makes a number of changes at intervals of CHANGE_INTERVAL."""
        for _ in range(changes):
            self.change()
            self.advance(CHANGE_INTERVAL)

    def committed_revision(self, node):
        """Returns the newest revision that a member knows to be committed, or 0."""
        return node.core_member.committed.revision if node.core_member.committed else 0

    def catch_up(self, node, limit=8 * SEC):
        """Starts a member while changes continue, and waits until it has the revision that was the newest at its start.

        Returns the elapsed seconds and the number of bytes that it received.
        """
        began, bytes_received = self.now, self.bandwidth.received_bytes(node.ip)
        self.start(node)
        target = self.rev
        while self.committed_revision(node) < target:
            assert self.now - began < limit, f"holds r{self.committed_revision(node)} of r{target}"
            self.burst(1)
        return (self.now - began) / SEC, self.bandwidth.received_bytes(node.ip) - bytes_received
