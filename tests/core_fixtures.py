"""Shared fixtures of the consensus tests: a core of real members on a simulated clock, which the test controls."""

import json
import zlib

from rampfront.consensus import events
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.frame_encoder import encode
from rampfront.simulation.world import MS, SEC, World


class Core(World):
    """A simulated core without random message loss, advanced by the test."""

    def __init__(self, members=4, survive=None, seed=1, start=True):
        super().__init__(seed, members, (members - 1) // 2 if survive is None else survive)
        self.loss = self.repeat = 0
        if start:
            for node in self.nodes:
                self.start(node, True)
            self.advance(3 * SEC)
            assert len(self.leader.core_member.committed.members) == members

    def advance(self, time):
        self.run(self.now + time)

    @property
    def leaders(self):
        return [node for node in self.nodes if node.up and not node.frozen and node.core_member.is_leader]

    @property
    def leader(self):
        (leader,) = self.leaders
        return leader

    def others(self, *nodes):
        return [node for node in self.nodes if node not in nodes]

    def place_order(self, node, kind, body=None):
        """Submits an order to one node, without retries. The returned object receives the outcome."""
        call = PlacedOrder(kind, body, self.safety_checker.newest_acknowledged())
        self.deliver(node, events.Order((call, 0), kind, body))
        return call

    def on_order_ended(self, node, effect):
        call, _ = effect.ref
        call.verdict, call.state, call.leader_ip = effect.outcome, effect.state, effect.leader_ip
        if effect.outcome == Outcome.DONE:
            self.safety_checker.record_acknowledgement(self.now, call, effect.state)

    def configure(self, rev, node=None, body=b""):
        return self.place_order(node or self.leader, OrderKind.CONFIGURE, (rev, body or b"body of %d" % rev))

    def cut_links(self, sources, targets, both=True):
        for source in sources:
            for target in targets:
                self.cuts[source.ip, target.ip] = 1
                if both:
                    self.cuts[target.ip, source.ip] = 1

    def heal_links(self):
        self.cuts.clear()


class PlacedOrder:
    """An order submitted to one node, and its outcome. The simulation's safety checker reads it."""

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


def received_frame(ip, message):
    """Returns the input by which a member receives a message from the member at `ip`."""
    return events.MessageReceived(ip, encode(message))


SMALL_CONFIGURATION = {
    "Revision": "r5",
    "Caps": {},
    "Customers": [],
    "Sockets": [],
    "Groups": [{"Name": "web", "HealthPath": "/health"}],
}


def compressed_configuration(number: int, group: str = "web", **dump_options: object) -> bytes:
    """Returns the body of a configuration, in the form that nodes send to the core."""
    content = {**SMALL_CONFIGURATION, "Revision": f"r{number}", "Groups": [{"Name": group, "HealthPath": "/health"}]}
    return zlib.compress(json.dumps(content, **dump_options).encode())


def run_until(core: Core, condition: object) -> None:
    """Advances the core in steps of 1 ms until the condition is true; fails after 5 s."""
    end = core.now + 5 * SEC
    while not condition():
        assert core.now < end
        core.advance(MS)
