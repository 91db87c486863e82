"""A complete node process on the fake loop of `proxy_fixtures`, with a wire that records sent frames.

A node that leads has a fake member of the core, which answers orders when the test calls `core_answers`."""

import zlib
from dataclasses import replace

from proxy_fixtures import ProxyHarness, SilentEventLog, configuration_bytes, settings

from rampfront.consensus import events
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.state import State, digest
from rampfront.membership import endpoint_codec
from rampfront.membership.endpoint_list import Endpoint, EndpointList
from rampfront.node.assembly import build_node_process
from rampfront.node.order_messages import OrderReply, OrderRequest
from rampfront.node.ports import Ports
from rampfront.settings import settings_reader

OWN_IP, LEADER, CALLER, OTHER = "10.1.0.1", "10.1.0.9", "10.1.0.7", "10.1.0.8"
BODY = zlib.compress(configuration_bytes(1))


def committed_state(index=5, zones=()):
    """A committed state with a configuration."""
    return State(index, 1, 1, BODY, frozenset(zones), {"x": (LEADER, 1)}, None, digest(BODY))


class FakeWire:
    """A wire that records the frames sent to other nodes."""

    def __init__(self, *about):
        self.sent = []

    def send(self, ip, message):
        self.sent.append((ip, message))

    def send_all(self, ips, message):
        self.sent += [(ip, message) for ip in ips]

    def sweep(self):
        pass

    def take(self, kind):
        """Remove and return the recorded frames of this kind, with their addresses."""
        found = [row for row in self.sent if row[1]["k"] == kind]
        self.sent = [row for row in self.sent if row[1]["k"] != kind]
        return found


class FakeCoreMember:
    """A leading member of the core that records the orders it gets, and answers none by itself."""

    def __init__(self):
        self.is_leader, self.quorum_confirmed_at, self.leader_ip = True, None, OWN_IP
        self.orders, self.committed, self.effects = [], committed_state(), []
        self.node_ips, self.is_member = [], True

    def is_leadership_expired(self, now):
        return False

    def remember_nodes(self, ips):
        pass

    def learn_contacts(self, ips):
        pass

    def core_strength(self, now):
        return None

    def take(self, now, event):
        if type(event) is events.Order:
            self.orders.append(event)
        effects, self.effects = self.effects, []
        return effects


def build_node(loop, seed=3, **changes):
    """A node without a disk on a `ProxyHarness`. `changes`: fields of its settings to replace."""
    loop.add_signal_handler = loop.run_in_executor = None
    process_settings = settings_reader.read(settings(Grace="6s", RevokeWithin="5s")).ok_value
    process_settings = replace(process_settings, **changes)
    ports = Ports(clock=lambda: loop.clock, wire=FakeWire)
    return build_node_process(loop, process_settings, SilentEventLog(), seed, ports)


class NodeHarness:
    """A node process for tests of orders. `leads`: the node has a member of the core, which leads."""

    def __init__(self, leads=False, seed=3):
        self.loop = ProxyHarness()
        self.process = build_node(self.loop, seed)
        self.wire, self.counts = self.process.context.wire, self.process.context.counts
        self.orders, self.table = self.process.orders, self.process.order_executor.table
        self.core = self.process.core.member = FakeCoreMember() if leads else None
        self.completed = []
        if not leads:
            self.process.disseminator.leadership.leader = LEADER
        self.process.tick()

    def receive(self, ip, frame):
        self.process.frame_dispatcher.dispatch(ip, frame)

    def submit(self, kind=OrderKind.EVACUATE, body="a1"):
        """Submit an operator's order at this node."""
        self.orders.submit(kind, body, lambda *completed: self.completed.append(completed))

    def receive_order(self, ip, number, incarnation=5, kind=OrderKind.EVACUATE, body="a1"):
        """Receive an order of the node at `ip`."""
        self.receive(ip, OrderRequest(incarnation, number, kind, body).encode())

    def receive_reply(self, ip, number, outcome=Outcome.DONE, incarnation=None, index=5):
        """Receive a reply of the node at `ip` to an order of this node."""
        incarnation = self.orders.incarnation if incarnation is None else incarnation
        state = committed_state(index) if outcome == Outcome.DONE else None
        self.receive(ip, OrderReply(incarnation, number, outcome, state).encode())

    def core_answers(self, at=0, outcome=Outcome.DONE):
        """Let the core answer the order with index `at` among those it got."""
        state = committed_state() if outcome == Outcome.DONE else None
        self.core.effects = [events.OrderEnded(self.core.orders[at].ref, outcome, state)]
        self.process.core.start()

    def sent_replies(self):
        return [(ip, frame["l"], frame["r"], frame["v"]) for ip, frame in self.wire.take("said")]


def receive_update(node_process, index=None, revision=1, servers=None, zones=(), **configuration):
    """Receive the leader's answer to a heartbeat sent now; `servers`: the server list's version and server ids."""
    loop = node_process.context.loop
    frame = {"k": "word", "l": LEADER, "e": 1, "t": node_process.context.clock(), "a": 0}
    if index:
        body = zlib.compress(configuration_bytes(revision, **configuration))
        state = State(index, 1, revision, body, frozenset(zones), {"x": (LEADER, 1)}, None, digest(body))
        frame["S"] = state.encode()
    if servers:
        rows = [
            Endpoint(uid, "one", f"10.9.0.{uid[1:]}", 9000 + int(uid[1:]), "a1", 4, "ready", 0) for uid in servers[1]
        ]
        loop.server_by_address.update({(row.host, row.port): row.id for row in rows})
        frame["V"] = endpoint_codec.encode(EndpointList(servers[0], tuple(rows)), loop.clock())
    node_process.frame_dispatcher.dispatch(LEADER, frame)
