"""Model of the control traffic of a growing fleet, on a fake clock: production disseminators, frames as the wire
encodes them, links with latency and bandwidth, and a leader that a majority confirms throughout.

`python3 -m rampfront.simulation.fleet_growth` prints the tables of `docs/system/fleet.md`. A serving process never
imports this module. Frames are counted with their headers: 28 bytes for a datagram; for a connection 40 bytes for each
packet and for its six other packets. The model leaves out elections, the quotas' counts and clients. The processor time
is that of the leader's own code without its sockets.
"""

import json
import time
import zlib
from dataclasses import replace
from heapq import heappop, heappush
from random import Random
from types import SimpleNamespace

import click

from ..consensus.identifiers import MemberAddress
from ..consensus.state import State, digest
from ..membership import messages
from ..membership.dissemination import Disseminator
from ..membership.endpoint_list import Endpoint, EndpointList
from ..membership.leadership import CoreStatus
from ..membership.roster import RosterEntry
from ..membership.versions import first_version
from ..node.snapshots import Snapshots
from ..transport.frames import MAX_DATAGRAM_BYTES, decode_frame, encode_frame
from ..transport.wire import MAX_OUTGOING_CONNECTIONS
from .link_bytes import link_bytes

MS, SEC = 10**6, 10**9
EPOCH = 10**15
TICK, FAST_TICK = 100 * MS, 25 * MS  # as in a production node
# Latencies in one direction.
IN_ZONE, IN_REGION, BETWEEN_REGIONS = MS // 10, 9 * MS // 10, 20 * MS
DISKLESS_MBIT_S, CORE_MBIT_S = 2, 100  # bandwidth of the links of nodes without and with a disk
# By the number of nodes: zones, tenants and servers; and members of the core.
FLEETS = {11: (4, 8, 30), 69: (4, 74, 183), 82: (6, 81, 281), 300: (6, 200, 1000), 1000: (6, 400, 3400)}
CORE_SIZES = {11: 4, 69: 8, 82: 6, 300: 8, 1000: 8}


def random_name(rng, count):
    """A random string of lower-case letters and digits."""
    return "".join(rng.choice("abcdefghijkmnpqrstuvwxyz23456789") for _ in range(count))


def build_configuration(rng, tenants, routes):
    """A configuration in the operators' format, and a function that makes further routing rules for it."""

    def new_rule():
        return {
            "Name": "r-" + random_name(rng, 7),
            "Type": "read_only",
            "Target": "1000ms",
            "Priority": 2,
            "Public": False,
            "MatchesWhen": {"PathStart": f"/{random_name(rng, 7)}/"},
            "ThenDo": {
                "Shares": [{"Service": "huvo11a", "Weight": 90}, {"Service": "wuno96b", "Weight": 10}],
                "GiveUp": "4000ms",
                "Tries": 2,
                "HomeRegions": [],
            },
        }

    return {
        "Revision": "r7",
        "Caps": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderWait": "3000ms", "Idle": "15000ms"},
        "Customers": [
            {
                "Name": random_name(rng, 7),
                "ApiKeys": [random_name(rng, 20), random_name(rng, 20)],
                "Priority": 1,
                "PerS": rng.randrange(5, 50),
                "Burst": rng.randrange(5, 50),
                "HomeRegions": [],
            }
            for _ in range(tenants)
        ],
        "Sockets": [{"Hostname": "ficu95.example", "Rulebook": [new_rule() for _ in range(routes)]}],
        "Groups": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 130,
                "Protocol": "h1",
                "Tls": False,
                "Warmup": "3s",
                "ColdPerS": 1.9,
            }
            for name in ("huvo11a", "wuno96b")
        ],
    }, new_rule


class ModelNode(Snapshots):
    """A node: its disseminator, and the snapshots that it holds as a production process does."""

    def __init__(self, model, number, life=0):
        """`number`: from 1; the first `model.core_size` have a disk; `life`: which process this is on the node's
        machine."""
        super().__init__()
        self.model, self.number, self.ip, self.zone, self.region = (
            model,
            number,
            model.ip(number),
            number % model.zones,
            number % model.zones % 2,
        )
        self.has_disk, self.up, self.life = number <= model.core_size, True, life
        self.offset = number * 7_777_777_777
        own = RosterEntry(
            f"front-hall-{self.zone}-{number}", self.ip, f"north-hall-{self.zone}", f"{self.ip}:8388", False
        )
        seeds = [model.ip(j) for j in range(1, min(model.core_size, 4) + 1)]
        self.disseminator = Disseminator(own, seeds, model.rng, self)
        self.uplink_free_at = self.downlink_free_at = 0
        self.large_frames = []  # (when its transfer ends, [not given up]) of each large frame on its way, oldest first

    def clock(self):
        """The time on the node's own clock (ns)."""
        return self.model.now + self.offset

    def send(self, ip, message):
        """Sends a message to one node."""
        self.model.send(self, ip, message)

    def send_all(self, ips, message):
        """Sends a message to several nodes, encoded once."""
        self.model.send_all(self, ips, message)

    def on_state(self, plain, now):
        """Applies a state that the disseminator received."""
        state = self.decode_state(plain, self.disseminator.state_index)
        if state is not None:
            self.apply(state)

    def apply(self, state):
        """Holds a state; the leader sends it to the others."""
        self.put_state(state)
        self.disseminator.state_changed(state.index)
        self.disseminator.ready = self.servers is not None
        if self.disseminator.is_leader:
            self.disseminator.push_updates(self.clock())

    def on_endpoints(self, plain, now):
        """Holds an endpoint list that the disseminator received."""
        servers = self.decode_endpoints(plain, now, self.disseminator.endpoints_version)
        if not self.disseminator.is_leader and servers is not None:
            self.serve(servers)

    def serve(self, servers):
        """Holds an endpoint list; the node is ready once it has a state too."""
        self.put_endpoints(servers)
        self.disseminator.endpoints_changed(servers.version)
        self.disseminator.ready = self.state is not None

    def on_roster(self):
        """Needs nothing from a new roster."""
        pass


class FleetModel:
    """`count` nodes that all start together; node 1 leads."""

    def __init__(self, count, seed=1, loss=0.0):
        """`loss`: share of the datagrams that are lost."""
        self.zones, tenants, endpoint_count = FLEETS.get(count, (6, 81, 281))
        self.core_size, self.loss, self.rng = CORE_SIZES.get(count, 6), loss, Random(seed)
        self.now, self.heap, self.sequence, self.cpu, self.cuts = EPOCH, [], 0, 0, set()
        self.started_at = {}  # when each node was started
        self.nodes = {self.ip(number): ModelNode(self, number) for number in range(1, count + 1)}
        self.configuration, self.new_rule = build_configuration(self.rng, tenants, 12)
        self.leader = self.nodes[self.ip(1)]
        self.leader.apply(self.entry(State(1, 1, 0, members={"n1": MemberAddress(self.ip(1), 1)})))
        self.endpoints = [
            Endpoint(
                f"i-{self.rng.getrandbits(40):010x}",
                "huvo11a" if n % 3 else "wuno96b",
                f"10.{n % self.zones}.{64 + n // 250 % 100}.{n % 250}",
                8000 + self.rng.randrange(999),
                f"north-hall-{n % self.zones}",
                3,
                "ready",
                0,
            )
            for n in range(endpoint_count)
        ]
        self.reset_figures()
        for node in self.nodes.values():
            self.start(node)

    def ip(self, number):
        """The address of a node."""
        return f"10.1.{number // 250}.{number % 250 + 1}"

    def entry(self, state):
        """The state that follows `state`, with the present configuration."""
        raw = json.dumps(self.configuration, separators=(",", ":")).encode()
        body = zlib.compress(raw)
        return replace(state, index=state.index + 1, revision=state.revision + 1, body=body, body_digest=digest(body))

    # ---- Figures

    def reset_figures(self):
        """Begins a new measurement."""
        self.counted_since, self.cpu = self.now, 0
        self.totals = SimpleNamespace(all=0, zones=0, regions=0, messages=0, lost=0)
        self.tx = dict.fromkeys(self.nodes, 0)
        self.rx, self.frames_received = dict(self.tx), dict(self.tx)

    def figures(self):
        """The figures of the present measurement. Bytes: sent by the leader; of the other nodes, the mean and the most
        in both directions; in total; between zones; and between regions."""
        others = [ip for ip in self.nodes if ip != self.leader.ip]
        return SimpleNamespace(
            leader=self.tx[self.leader.ip],
            others=sum(self.tx[ip] + self.rx[ip] for ip in others) / len(others),
            most=max(self.tx[ip] + self.rx[ip] for ip in others),
            cpu=self.cpu / 1e6,
            busiest=max(self.frames_received.values()),
            busy=max(self.frames_received[ip] for ip in others),
            **vars(self.totals),
        )

    # ---- The network

    def at(self, when, callback, *args):
        """Schedules a callback. `when`: ns on the model's clock."""
        self.sequence += 1
        heappush(self.heap, (when, self.sequence, callback, args))

    def send(self, node, ip, message):
        """Sends a message to one node."""
        self.send_all(node, (ip,), message)

    def send_all(self, node, ips, message):
        """Sends a message to several nodes, encoded once."""
        data = encode_frame(message)
        for ip in ips:
            self.send_frame(node, ip, data)

    def send_frame(self, node, ip, data):
        """Sends a frame over the sender's uplink: a small one as a datagram, a large one over a connection."""
        peer = self.nodes.get(ip)
        if peer is None:
            return
        if peer is node:
            return self.at(self.now, self.deliver, node, peer, peer.life, data, None)
        large = len(data) > MAX_DATAGRAM_BYTES
        size = link_bytes(len(data))
        latency = IN_ZONE if node.zone == peer.zone else IN_REGION if node.region == peer.region else BETWEEN_REGIONS
        self.tx[node.ip] += size
        self.totals.all += size
        self.totals.messages += 1
        self.totals.zones += size * (node.zone != peer.zone)
        self.totals.regions += size * (node.region != peer.region)
        node.uplink_free_at = leaves_at = max(node.uplink_free_at, self.now) + size * 8000 // (
            CORE_MBIT_S if node.has_disk else DISKLESS_MBIT_S
        )
        if (node.ip, ip) in self.cuts or not large and self.rng.random() < self.loss:
            return
        is_live = [True] if large else None  # set to False where the sender gives up a large frame
        if large:
            node.large_frames = [sent for sent in node.large_frames if sent[0] > self.now and sent[1][0]]
            node.large_frames.append((leaves_at + 4 * latency, is_live))
            if len(node.large_frames) > MAX_OUTGOING_CONNECTIONS:
                node.large_frames.pop(0)[1][0] = False
        self.at(
            leaves_at + latency * (3 if large else 1), self.enter_downlink, node, peer, peer.life, data, size, is_live
        )

    def enter_downlink(self, node, peer, life, data, size, is_live):
        """A frame reaches the receiver's downlink, unless its sender gave it up on the way."""
        if is_live and not is_live[0]:
            self.totals.lost += 1
            return
        peer.downlink_free_at = arrives_at = max(peer.downlink_free_at, self.now) + size * 8000 // (
            CORE_MBIT_S if peer.has_disk else DISKLESS_MBIT_S
        )
        self.rx[peer.ip] += size
        self.frames_received[peer.ip] += 1
        self.at(arrives_at, self.deliver, node, peer, life, data, is_live)

    def deliver(self, node, peer, life, data, is_live):
        """A frame has arrived in full."""
        if peer.up and peer.life == life:
            self.run_timed(peer, self.receive_frame, node.ip, peer, data)

    def receive_frame(self, ip, peer, data):
        """Decodes a frame and hands it to the node's disseminator."""
        message = decode_frame(data)
        (peer.disseminator.on_heartbeat if message["k"] == messages.HEARTBEAT else peer.disseminator.on_state_response)(
            ip, message, peer.clock()
        )

    def run_timed(self, node, callback, *args):
        """Runs a callback of a node and adds the leader's to the measured processor time."""
        if node is not self.leader:
            return callback(*args)
        started_at = time.perf_counter_ns()
        callback(*args)
        self.cpu += time.perf_counter_ns() - started_at

    # ---- Nodes

    def start(self, node):
        """Starts a node's process."""
        self.started_at[node.ip] = self.now
        self.at(self.now + self.rng.randrange(50 * MS), self.tick, node, node.life)

    def tick(self, node, life):
        """Ticks a node's disseminator and schedules the next tick, sooner while the node has no confirmed state."""
        if node.up and node.life == life:
            self.run_timed(node, self.tick_disseminator, node)
            self.at(self.now + (TICK if node.disseminator.confirmed_at_ns else FAST_TICK), self.tick, node, life)

    def tick_disseminator(self, node):
        """One tick; the leader first confirms that it leads."""
        if node is self.leader:
            node.disseminator.set_leadership(CoreStatus(True, node.ip, 1, node.clock()), node.clock())
        node.disseminator.tick(node.clock())

    def run(self, ms):
        """Runs the model for `ms` ms."""
        until, heap = self.now + ms * MS, self.heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heappop(heap)
            callback(*args)
        self.now = until

    def run_until(self, reached, most=20000):
        """Runs until `reached(node)` holds for all nodes that are up. Returns the times (ms) at which it held for 99 in
        100 and for all; None for a time not within `most` ms."""
        started_at, nearly_all_ms = self.now, None
        while self.now - started_at < most * MS:
            self.run(10)
            up = [node for node in self.nodes.values() if node.up]
            missing = sum(not reached(node) for node in up)
            if nearly_all_ms is None and missing <= len(up) / 100:
                nearly_all_ms = (self.now - started_at) // MS
            if not missing:
                return nearly_all_ms, (self.now - started_at) // MS
        return nearly_all_ms, None

    # ---- Changes

    def publish_configuration(self):
        """Publishes the configuration; returns whether a node holds it, as a function."""
        leader = self.leader
        self.run_timed(leader, leader.apply, self.entry(leader.state))
        index = leader.state.index
        return lambda node: node.disseminator.state_index >= index

    def change_weight(self):
        """Changes one weight in the configuration."""
        self.configuration["Sockets"][0]["Rulebook"][5]["ThenDo"]["Shares"][0]["Weight"] += 1
        return self.publish_configuration()

    def add_routes(self):
        """Adds 350 routes to the configuration."""
        self.configuration["Sockets"][0]["Rulebook"] += [self.new_rule() for _ in range(350)]
        return self.publish_configuration()

    def evacuate_zone(self):
        """Evacuates a zone."""
        leader = self.leader
        self.run_timed(leader, leader.apply, leader.state.next_entry(evacuated_zones=frozenset({"north-hall-1"})))
        index = leader.state.index
        return lambda node: node.disseminator.state_index >= index

    def publish_endpoints(self, endpoints):
        """Publishes a list of endpoints; returns whether a node holds it, as a function."""
        leader = self.leader
        self.endpoints = endpoints
        made = EndpointList(
            max(leader.disseminator.endpoints_version + 1, first_version(1)), tuple(sorted(endpoints)), leader.clock()
        )
        leader.serve(made)
        self.run_timed(leader, leader.disseminator.push_updates, leader.clock())
        return lambda node: node.disseminator.endpoints_version >= made.version

    def change_one_server(self):
        """Changes the state of one server."""
        n = self.rng.randrange(len(self.endpoints))
        return self.publish_endpoints(
            [
                endpoint._replace(state="emptying") if number == n else endpoint
                for number, endpoint in enumerate(self.endpoints)
            ]
        )

    def replace_fifth(self):
        """Replaces a fifth of the servers."""
        return self.publish_endpoints(
            [
                endpoint._replace(id=f"i-{self.rng.getrandbits(40):010x}", port=8000 + self.rng.randrange(999))
                if number % 5 == 0
                else endpoint
                for number, endpoint in enumerate(self.endpoints)
            ]
        )

    def complete_rosters(self):
        """Returns, as a function, whether a node's roster shows exactly the nodes that are up, each ready."""
        up = sum(node.up for node in self.nodes.values())
        return lambda node: len(node.disseminator.roster) == up and all(
            entry.ready for entry in node.disseminator.roster
        )

    def stop(self, nodes):
        """Ends the processes of nodes."""
        for node in nodes:
            node.up = False

    def restart(self, nodes):
        """Starts new processes in the place of those that ended."""
        for old in nodes:
            node = self.nodes[old.ip] = ModelNode(self, old.number, old.life + 1)
            self.start(node)

    def sample_quarter(self):
        """A random quarter of the nodes, all without a disk."""
        count = len(self.nodes)
        return [
            self.nodes[self.ip(number)] for number in self.rng.sample(range(self.core_size + 1, count + 1), count // 4)
        ]


CHANGES = (
    ("one weight changed", FleetModel.change_weight),
    ("350 routes added", FleetModel.add_routes),
    ("a zone emptied", FleetModel.evacuate_zone),
    ("one server changes state", FleetModel.change_one_server),
    ("a fifth of the servers replaced", FleetModel.replace_fifth),
)


def play_scenes(count, seed=1, loss=0.0):
    """Yields (what happens, figures, times for 99 in 100 and for all nodes) of each scene, the idle fleet first. The
    bytes of the other scenes, except the start, are those beyond the idle fleet's."""
    model = FleetModel(count, seed, loss)
    model.run(300)  # the founder is ready and has the endpoint list
    model.reset_figures()
    model.publish_endpoints(model.endpoints)
    times = model.run_until(model.complete_rosters())
    remaining = 3000 - (model.now - model.counted_since) // MS
    if remaining > 0:
        model.run(remaining)
    start = "start of all in step, first 3 s", model.figures(), times
    model.run(4000)
    model.reset_figures()
    model.run(10000)
    idle = model.figures()
    for name, value in vars(idle).items():
        setattr(idle, name, value / 10)
    yield "at rest, a second", idle, (None, None)
    yield start

    def measure(what, reached, ms=4000):
        times = model.run_until(reached)
        spent = (model.now - model.counted_since) // MS
        if spent < ms:
            model.run(ms - spent)
        found = model.figures()
        for name in ("leader", "others", "all", "zones", "regions", "messages", "cpu"):
            setattr(
                found,
                name,
                max(0, getattr(found, name) - getattr(idle, name) * ((model.now - model.counted_since) / SEC)),
            )
        return what, found, times

    for what, change in CHANGES:
        model.reset_figures()
        yield measure(what, change(model))
    gone = [model.nodes[model.ip(count)]]
    for what in ("one node goes", "a quarter killed"):
        model.reset_figures()
        model.stop(gone)
        yield measure(what, model.complete_rosters())
        model.reset_figures()
        model.restart(gone)
        yield measure("and comes back", model.complete_rosters(), 3000)
        gone = model.sample_quarter()


@click.command()
@click.option("--nodes", default="11,69,82,300,1000", show_default=True, help="Sizes of fleets, with commas.")
@click.option("--seed", default=1, show_default=True)
@click.option("--loss", default=0.0, show_default=True, help="Part of the datagrams that are lost.")
def main(nodes, seed, loss):
    """Plays the scenes for each size of fleet; prints KB, and ms until all nodes hold the change."""
    for count in map(int, nodes.split(",")):
        click.echo(
            f"\n{count} nodes" + " " * 24 + "leader KB  other KB  most KB   all KB  zones KB  regions KB  frames"
            "  lost  busiest  (other)  99 in 100  all ms  cpu ms"
        )
        for what, row, (part_ms, all_ms) in play_scenes(count, seed, loss):
            click.echo(
                f"{what:33} {row.leader / 1e3:9.1f} {row.others / 1e3:9.2f} {row.most / 1e3:8.2f}"
                f" {row.all / 1e3:8.0f} {row.zones / 1e3:9.1f} {row.regions / 1e3:11.1f} {row.messages:7.0f}"
                f" {row.lost:5.0f} {row.busiest:8.0f} {row.busy:8.0f} {'-' if part_ms is None else part_ms:>10}"
                f" {'-' if all_ms is None else all_ms:>7} {row.cpu:7.1f}"
            )


if __name__ == "__main__":
    main()
