"""What the control traffic of a fleet costs, on a fake clock: the very lookouts that serve, frames as the wire makes them,
links that take time, and a leader that a majority stands behind all the while.

`python3 -m rampfront.simulation.fleet_growth` prints the tables of `docs/system/fleet.md`. Never imported by a serving process.
Counted are the bytes of frames with their heads (28 of a datagram; of a connection 40 for each packet and its six others).
Not modelled: elections, the quotas' counts, clients; processor time is that of the leader's own code without its sockets.
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
TICK, SOON = 100 * MS, 25 * MS  # as the station's
IN_ZONE, IN_REGION, APART = MS // 10, 9 * MS // 10, 20 * MS
SLOW, FAST = 2, 100  # Mbit/s of a link without and with a disk
# Zones, tenants, servers.
SITES = {11: (4, 8, 30), 69: (4, 74, 183), 82: (6, 81, 281), 300: (6, 200, 1000), 1000: (6, 400, 3400)}
DISKS = {11: 4, 69: 8, 82: 6, 300: 8, 1000: 8}


def letters(draw, count):
    return "".join(draw.choice("abcdefghijkmnpqrstuvwxyz23456789") for _ in range(count))


def orders(draw, tenants, routes):
    """A configuration in the words of the operator."""

    def rule():
        return {
            "Name": "r-" + letters(draw, 7),
            "Type": "read_only",
            "Target": "1000ms",
            "Priority": 2,
            "Public": False,
            "MatchesWhen": {"PathStart": f"/{letters(draw, 7)}/"},
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
                "Name": letters(draw, 7),
                "ApiKeys": [letters(draw, 20), letters(draw, 20)],
                "Priority": 1,
                "PerS": draw.randrange(5, 50),
                "Burst": draw.randrange(5, 50),
                "HomeRegions": [],
            }
            for _ in range(tenants)
        ],
        "Sockets": [{"Hostname": "ficu95.example", "Rulebook": [rule() for _ in range(routes)]}],
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
    }, rule


class Ship(Snapshots):
    """A node: its disseminator, and the snapshots that it holds as the process does."""

    def __init__(self, sea, k, life=0):
        super().__init__()
        self.sea, self.k, self.ip, self.zone, self.region = sea, k, sea.ip(k), k % sea.zones, k % sea.zones % 2
        self.disk, self.up, self.life = k <= sea.disks, True, life
        self.offset = k * 7_777_777_777
        own = RosterEntry(f"front-hall-{self.zone}-{k}", self.ip, f"north-hall-{self.zone}", f"{self.ip}:8388", False)
        seeds = [sea.ip(j) for j in range(1, min(sea.disks, 4) + 1)]
        self.look = Disseminator(own, seeds, sea.draw, self)
        self.out_free = self.in_free = 0
        self.out = []  # large frames under way, in the order they began

    def clock(self):
        return self.sea.now + self.offset

    def send(self, ip, message):
        self.sea.carry(self, ip, message)

    def send_all(self, ips, message):
        self.sea.spread(self, ips, message)

    def on_state(self, plain, now):
        state = self.decode_state(plain, self.look.state_index)
        if state is not None:
            self.apply(state)

    def apply(self, state):
        self.put_state(state)
        self.look.state_changed(state.index)
        self.look.ready = self.servers is not None
        if self.look.is_leader:
            self.look.push_updates(self.clock())

    def on_endpoints(self, plain, now):
        servers = self.decode_endpoints(plain, now, self.look.endpoints_version)
        if not self.look.is_leader and servers is not None:
            self.serve(servers)

    def serve(self, servers):
        self.put_endpoints(servers)
        self.look.endpoints_changed(servers.version)
        self.look.ready = self.state is not None

    def on_roster(self):
        pass


class Sea:
    """`count` nodes in step from nothing; node 1 leads. `loss`: part of the datagrams that come to nothing."""

    def __init__(self, count, seed=1, loss=0.0):
        self.zones, tenants, listed = SITES.get(count, (6, 81, 281))
        self.disks, self.loss, self.draw = DISKS.get(count, 6), loss, Random(seed)
        self.now, self.heap, self.order, self.cpu, self.cuts = EPOCH, [], 0, 0, set()
        self.began = {}  # when a node was started
        self.ships = {self.ip(k): Ship(self, k) for k in range(1, count + 1)}
        self.said, self.rule = orders(self.draw, tenants, 12)
        self.lead = self.ships[self.ip(1)]
        self.lead.apply(self.entry(State(1, 1, 0, members={"n1": MemberAddress(self.ip(1), 1)})))
        self.rows = [
            Endpoint(
                f"i-{self.draw.getrandbits(40):010x}",
                "huvo11a" if n % 3 else "wuno96b",
                f"10.{n % self.zones}.{64 + n // 250 % 100}.{n % 250}",
                8000 + self.draw.randrange(999),
                f"north-hall-{n % self.zones}",
                3,
                "ready",
                0,
            )
            for n in range(listed)
        ]
        self.clear()
        for ship in self.ships.values():
            self.start(ship)

    def ip(self, k):
        return f"10.1.{k // 250}.{k % 250 + 1}"

    def entry(self, state):
        raw = json.dumps(self.said, separators=(",", ":")).encode()
        body = zlib.compress(raw)
        return replace(state, index=state.index + 1, revision=state.revision + 1, body=body, body_digest=digest(body))

    # ---- what is counted

    def clear(self):
        self.since, self.cpu = self.now, 0
        self.sum = SimpleNamespace(all=0, zones=0, regions=0, messages=0, lost=0)
        self.tx = dict.fromkeys(self.ships, 0)
        self.rx, self.seen = dict(self.tx), dict(self.tx)

    def figures(self):
        """Bytes: of the leader (sent), of the other nodes (mean, both ways), all, between zones, between regions."""
        others = [ip for ip in self.ships if ip != self.lead.ip]
        return SimpleNamespace(
            leader=self.tx[self.lead.ip],
            others=sum(self.tx[ip] + self.rx[ip] for ip in others) / len(others),
            most=max(self.tx[ip] + self.rx[ip] for ip in others),
            cpu=self.cpu / 1e6,
            busiest=max(self.seen.values()),
            busy=max(self.seen[ip] for ip in others),
            **vars(self.sum),
        )

    # ---- the network

    def at(self, when, act, *args):
        self.order += 1
        heappush(self.heap, (when, self.order, act, args))

    def carry(self, ship, ip, message):
        self.spread(ship, (ip,), message)

    def spread(self, ship, ips, message):
        data = encode_frame(message)
        for ip in ips:
            self.post(ship, ip, data)

    def post(self, ship, ip, data):
        peer = self.ships.get(ip)
        if peer is None:
            return
        if peer is ship:
            return self.at(self.now, self.arrive, ship, peer, peer.life, data, None)
        large = len(data) > MAX_DATAGRAM_BYTES
        size = link_bytes(len(data))
        way = IN_ZONE if ship.zone == peer.zone else IN_REGION if ship.region == peer.region else APART
        self.tx[ship.ip] += size
        self.sum.all += size
        self.sum.messages += 1
        self.sum.zones += size * (ship.zone != peer.zone)
        self.sum.regions += size * (ship.region != peer.region)
        ship.out_free = left = max(ship.out_free, self.now) + size * 8000 // (FAST if ship.disk else SLOW)
        if (ship.ip, ip) in self.cuts or not large and self.draw.random() < self.loss:
            return
        ticket = [True] if large else None  # a large frame may be given up on the way
        if large:
            ship.out = [row for row in ship.out if row[0] > self.now and row[1][0]]
            ship.out.append((left + 4 * way, ticket))
            if len(ship.out) > MAX_OUTGOING_CONNECTIONS:
                ship.out.pop(0)[1][0] = False
        self.at(left + way * (3 if large else 1), self.reach, ship, peer, peer.life, data, size, ticket)

    def reach(self, ship, peer, life, data, size, ticket):
        if ticket and not ticket[0]:
            self.sum.lost += 1
            return
        peer.in_free = there = max(peer.in_free, self.now) + size * 8000 // (FAST if peer.disk else SLOW)
        self.rx[peer.ip] += size
        self.seen[peer.ip] += 1
        self.at(there, self.arrive, ship, peer, life, data, ticket)

    def arrive(self, ship, peer, life, data, ticket):
        if peer.up and peer.life == life:
            self.own(peer, self.read, ship.ip, peer, data)

    def read(self, ip, peer, data):
        message = decode_frame(data)
        (peer.look.on_heartbeat if message["k"] == messages.HEARTBEAT else peer.look.on_state_response)(
            ip, message, peer.clock()
        )

    def own(self, ship, act, *args):
        if ship is not self.lead:
            return act(*args)
        began = time.perf_counter_ns()
        act(*args)
        self.cpu += time.perf_counter_ns() - began

    # ---- nodes

    def start(self, ship):
        self.began[ship.ip] = self.now
        self.at(self.now + self.draw.randrange(50 * MS), self.tick, ship, ship.life)

    def tick(self, ship, life):
        if ship.up and ship.life == life:
            self.own(ship, self.beat, ship)
            self.at(self.now + (TICK if ship.look.confirmed_at_ns else SOON), self.tick, ship, life)

    def beat(self, ship):
        if ship is self.lead:
            ship.look.set_leadership(CoreStatus(True, ship.ip, 1, ship.clock()), ship.clock())
        ship.look.tick(ship.clock())

    def run(self, ms):
        until, heap = self.now + ms * MS, self.heap
        while heap and heap[0][0] <= until:
            self.now, _, act, args = heappop(heap)
            act(*args)
        self.now = until

    def until(self, reached, most=20000):
        """ms until `reached(ship)` of all that are up, and of 99 in 100; None: not in time."""
        began, part = self.now, None
        while self.now - began < most * MS:
            self.run(10)
            up = [ship for ship in self.ships.values() if ship.up]
            missing = sum(not reached(ship) for ship in up)
            if part is None and missing <= len(up) / 100:
                part = (self.now - began) // MS
            if not missing:
                return part, (self.now - began) // MS
        return part, None

    # ---- what happens

    def config(self):
        lead = self.lead
        self.own(lead, lead.apply, self.entry(lead.state))
        index = lead.state.index
        return lambda ship: ship.look.state_index >= index

    def weight(self):
        self.said["Sockets"][0]["Rulebook"][5]["ThenDo"]["Shares"][0]["Weight"] += 1
        return self.config()

    def routes(self):
        self.said["Sockets"][0]["Rulebook"] += [self.rule() for _ in range(350)]
        return self.config()

    def zone(self):
        lead = self.lead
        self.own(lead, lead.apply, lead.state.next_entry(evacuated_zones=frozenset({"north-hall-1"})))
        index = lead.state.index
        return lambda ship: ship.look.state_index >= index

    def listed(self, rows):
        lead = self.lead
        self.rows = rows
        made = EndpointList(max(lead.look.endpoints_version + 1, first_version(1)), tuple(sorted(rows)), lead.clock())
        lead.serve(made)
        self.own(lead, lead.look.push_updates, lead.clock())
        return lambda ship: ship.look.endpoints_version >= made.version

    def one_server(self):
        n = self.draw.randrange(len(self.rows))
        return self.listed([row._replace(state="emptying") if k == n else row for k, row in enumerate(self.rows)])

    def fifth(self):
        return self.listed(
            [
                row._replace(id=f"i-{self.draw.getrandbits(40):010x}", port=8000 + self.draw.randrange(999))
                if k % 5 == 0
                else row
                for k, row in enumerate(self.rows)
            ]
        )

    def known(self):
        """Everybody's roster shows just those that are up, each ready."""
        up = sum(ship.up for ship in self.ships.values())
        return lambda ship: len(ship.look.roster) == up and all(entry.ready for entry in ship.look.roster)

    def stop(self, ships):
        for ship in ships:
            ship.up = False

    def back(self, ships):
        for old in ships:
            ship = self.ships[old.ip] = Ship(self, old.k, old.life + 1)
            self.start(ship)

    def quarter(self):
        count = len(self.ships)
        return [self.ships[self.ip(k)] for k in self.draw.sample(range(self.disks + 1, count + 1), count // 4)]


CHANGES = (
    ("one weight changed", Sea.weight),
    ("350 routes added", Sea.routes),
    ("a zone emptied", Sea.zone),
    ("one server changes state", Sea.one_server),
    ("a fifth of the servers replaced", Sea.fifth),
)


def scenes(count, seed=1, loss=0.0):
    """(what, figures, ms until 99 in 100 and all have it) of each scene, the rest among them first; bytes of changes are
    those above the rest."""
    sea = Sea(count, seed, loss)
    sea.run(300)  # the founder is ready, and has read the list
    sea.clear()
    sea.listed(sea.rows)
    took = sea.until(sea.known())
    left = 3000 - (sea.now - sea.since) // MS
    if left > 0:
        sea.run(left)
    start = "start of all in step, first 3 s", sea.figures(), took
    sea.run(4000)
    sea.clear()
    sea.run(10000)
    rest = sea.figures()
    for name, value in vars(rest).items():
        setattr(rest, name, value / 10)
    yield "at rest, a second", rest, (None, None)
    yield start

    def played(what, reached, ms=4000):
        took = sea.until(reached)
        spent = (sea.now - sea.since) // MS
        if spent < ms:
            sea.run(ms - spent)
        found = sea.figures()
        for name in ("leader", "others", "all", "zones", "regions", "messages", "cpu"):
            setattr(found, name, max(0, getattr(found, name) - getattr(rest, name) * ((sea.now - sea.since) / SEC)))
        return what, found, took

    for what, change in CHANGES:
        sea.clear()
        yield played(what, change(sea))
    gone = [sea.ships[sea.ip(count)]]
    for what in ("one node goes", "a quarter killed"):
        sea.clear()
        sea.stop(gone)
        yield played(what, sea.known())
        sea.clear()
        sea.back(gone)
        yield played("and comes back", sea.known(), 3000)
        gone = sea.quarter()


@click.command()
@click.option("--nodes", default="11,69,82,300,1000", show_default=True, help="Sizes of fleets, with commas.")
@click.option("--seed", default=1, show_default=True)
@click.option("--loss", default=0.0, show_default=True, help="Part of the datagrams that are lost.")
def main(nodes, seed, loss):
    """Plays each fleet through its scenes; KB, and ms until all have it."""
    for count in map(int, nodes.split(",")):
        click.echo(
            f"\n{count} nodes" + " " * 24 + "leader KB  other KB  most KB   all KB  zones KB  regions KB  frames"
            "  lost  busiest  (other)  99 in 100  all ms  cpu ms"
        )
        for what, f, (part, whole) in scenes(count, seed, loss):
            click.echo(
                f"{what:33} {f.leader / 1e3:9.1f} {f.others / 1e3:9.2f} {f.most / 1e3:8.2f} {f.all / 1e3:8.0f}"
                f" {f.zones / 1e3:9.1f} {f.regions / 1e3:11.1f} {f.messages:7.0f} {f.lost:5.0f} {f.busiest:8.0f}"
                f" {f.busy:8.0f} {'-' if part is None else part:>10} {'-' if whole is None else whole:>7} {f.cpu:7.1f}"
            )


if __name__ == "__main__":
    main()
