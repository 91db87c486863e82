"""A core of real members on a fake clock, driven by hand: what the tests of `consensus/` share."""

import json
import zlib

from rampfront.consensus import events
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.frame_encoder import encode
from rampfront.simulation.world import MS, SEC, World


class Core(World):
    """A world without chance losses, driven by hand."""

    def __init__(self, members=4, survive=None, seed=1, start=True):
        super().__init__(seed, members, (members - 1) // 2 if survive is None else survive)
        self.loss = self.repeat = 0
        if start:
            for node in self.nodes:
                self.start(node, True)
            self.go(3 * SEC)
            assert len(self.leader.core_member.committed.members) == members

    def go(self, time):
        self.run(self.now + time)

    @property
    def leaders(self):
        return [node for node in self.nodes if node.up and not node.frozen and node.core_member.is_leader]

    @property
    def leader(self):
        (led,) = self.leaders
        return led

    def others(self, *nodes):
        return [node for node in self.nodes if node not in nodes]

    def ask(self, node, kind, body=None):
        """Places an order at one node, once; its verdict is read off the call."""
        call = PlacedOrder(kind, body, self.safety_checker.newest_acknowledged())
        self.deliver(node, events.Order((call, 0), kind, body))
        return call

    def on_order_ended(self, node, effect):
        call, _ = effect.ref
        call.verdict, call.state, call.leader_ip = effect.outcome, effect.state, effect.leader_ip
        if effect.outcome == Outcome.DONE:
            self.safety_checker.record_acknowledgement(self.now, call, effect.state)

    def config(self, rev, node=None, body=b""):
        return self.ask(node or self.leader, OrderKind.CONFIGURE, (rev, body or b"body of %d" % rev))

    def cut(self, ones, twos, both=True):
        for one in ones:
            for two in twos:
                self.cuts[one.ip, two.ip] = 1
                if both:
                    self.cuts[two.ip, one.ip] = 1

    def heal(self):
        self.cuts.clear()


class PlacedOrder:
    """An order that was placed at one node, and how it ended there. The safety checker of the simulation reads it."""

    def __init__(self, kind, body, floor):
        self.kind = kind
        self.body = body
        self.floor = floor
        self.alone = False
        self.verdict = None
        self.state = None
        self.leader_ip = None


def done(call):
    return call.verdict == Outcome.DONE


def frame_of(ip, message):
    """A message of the member at `ip`, as a member gets it."""
    return events.MessageReceived(ip, encode(message))


SMALL = {
    "Revision": "r5",
    "Caps": {},
    "Customers": [],
    "Sockets": [],
    "Groups": [{"Name": "web", "HealthPath": "/health"}],
}


def packed(number: int, word: str = "web", **dumping: object) -> bytes:
    """A configuration's body, as nodes pass it on."""
    told = {**SMALL, "Revision": f"r{number}", "Groups": [{"Name": word, "HealthPath": "/health"}]}
    return zlib.compress(json.dumps(told, **dumping).encode())


def until(core: Core, what: object) -> None:
    """Goes on step by step until something holds."""
    end = core.now + 5 * SEC
    while not what():
        assert core.now < end
        core.go(MS)
