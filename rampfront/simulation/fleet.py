"""Whole stations, joined as the serving process joins them, in one process on a fake clock: machines with their loops,
disks, clocks and links, and what may befall them. The `NodeProcess`, and all below it, is the one that serves; what stands
for the kernel is here: `Loop`, `Link`, `Caller`, `Frames`, `Plate`."""

from functools import partial
from random import Random

import cbor2

from ..net.event_log import EventLog
from ..node.assembly import build_node_process
from ..node.endpoints import build_control_calls, build_directory
from ..node.metrics import COUNTERS
from ..node.ports import Ports
from ..settings import settings_reader
from ..transport.frames import MAX_DATAGRAM_BYTES
from ..transport.transfer_scheduler import Transfer
from ..transport.wire import Wire
from .checks import InvariantError, SafetyChecker
from .outside import Platform, Reader, Server
from .world import CATCH_UP, Disk, EventScheduler, is_joining, still_members

MS, SEC = 10**6, 10**9
EPOCH = 10**17  # ns: the fleet's time 0 by the machines' clocks
AGAIN = 200 * MS  # what a cut or a loss keeps from a connection is sent again
ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}


class Quiet(EventLog):
    def __init__(self, name):
        super().__init__(name, SEC, COUNTERS)

    def record(self, event, **more):
        pass

    def record_limited(self, event, party, **more):
        pass

    def sweep(self):
        pass


class Handle:
    __slots__ = "what", "about"

    def __init__(self, what, about):
        self.what, self.about = what, about

    def run(self):
        if self.what is not None:
            self.what(*self.about)

    def cancel(self):
        self.what = None


class Stored:
    """A save on its way to the disk."""

    __slots__ = "trouble", "done"

    def exception(self):
        return self.trouble

    def add_done_callback(self, done):
        self.done = done


class Loop:
    """What a station uses of its event loop, for one life of its machine. What comes due while the machine is frozen
    waits until it is thawed."""

    def __init__(self, fleet, machine):
        self.fleet, self.machine, self.life = fleet, machine, machine.life

    def call_later(self, delay, what, *about):
        handle = Handle(what, about)
        self.fleet.at(self.fleet.now + int(delay * SEC), self.fleet.do, self.machine, self.life, handle.run)
        return handle

    def call_soon(self, what, *about):
        return self.call_later(0, what, *about)

    def run_in_executor(self, _, save, record):
        return self.fleet.store(self, record)

    def create_connection(self, make, host, port):
        return Link(self, make, host, port)

    def create_task(self, task):
        return task  # it is under way

    def stop(self):
        self.fleet.stop(self.machine, "ended")


class Link:
    """A connection from a station to a server: the task that opens it, then its transport."""

    def __init__(self, loop, make, host, port):
        self.loop, self.fleet, self.machine, self.make = loop, loop.fleet, loop.machine, make
        self.address, self.protocol, self.server, self.trouble = (host, port), None, None, None
        self.closed, self.off, self.ends = False, False, []
        self.request = None
        self.far = self.fleet.place_of.get(self.address, "s:?")
        self.pair, self.back = (self.machine.ip, self.far), (self.far, self.machine.ip)
        self.fleet.flow(self.pair, self, self.knock)

    # as a task

    def add_done_callback(self, what):
        self.ends.append(what)

    def cancel(self):
        self.off = self.closed = True

    def cancelled(self):
        return self.off

    def exception(self):
        return self.trouble

    def knock(self):
        fleet, server = self.fleet, self.fleet.at_address.get(self.address)
        if server is None or not server.up:
            if server is None or not server.dark:
                fleet.flow(self.back, self, fleet.do, self.machine, self.loop.life, self.refused)
            return
        self.server = server
        fleet.links.setdefault(server, {})[self] = None
        fleet.flow(self.back, self, fleet.do, self.machine, self.loop.life, self.opened)

    def refused(self):
        if not self.closed:
            self.trouble, self.closed = ConnectionRefusedError(), True
            for what in self.ends:
                what(self)

    def opened(self):
        if not self.closed:
            self.protocol = self.make()
            self.protocol.connection_made(self)
            for what in self.ends:
                what(self)

    # as a transport

    def write(self, data):
        if not self.closed:
            self.fleet.flow(self.pair, self, self.server.take, self, bytes(data))

    def writelines(self, parts):
        self.write(b"".join(parts))

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.closed

    def abort(self):
        if not self.closed:
            self.closed = True
            if self.server:
                self.fleet.links.get(self.server, {}).pop(self, None)
                self.fleet.at(self.fleet.now + self.fleet.way(*self.pair), self.server.dropped, self)

    close = abort

    # the far side

    def reply(self, data):
        self.fleet.flow(self.back, self, self.fleet.do, self.machine, self.loop.life, self.feed, data)

    def feed(self, data):
        feed(self, data)

    def lost(self):
        """The server's end is gone, or the network says so."""
        fleet = self.fleet
        fleet.at(fleet.now + fleet.way(*self.pair), fleet.do, self.machine, self.loop.life, self.reset)

    def reset(self):
        if not self.closed:
            self.closed = True
            if self.server:
                self.fleet.links.get(self.server, {}).pop(self, None)
                self.server.dropped(self)
            if self.protocol is None:
                self.trouble = ConnectionResetError()
                for what in self.ends:
                    what(self)
            else:
                self.protocol.connection_lost(ConnectionResetError())


def feed(conn, data):
    while data and not conn.closed:
        space = conn.protocol.get_buffer(-1)
        part, data = data[: len(space)], data[len(space) :]
        space[: len(part)] = part
        conn.protocol.buffer_updated(len(part))


class Caller:
    """A client's connection, as the front sees it: one request, one answer."""

    def __init__(self, fleet, machine, far, request):
        self.fleet, self.machine, self.far, self.request = fleet, machine, far, request
        self.life, self.closed, self.protocol = machine.life, False, None
        self.pair, self.back = (far, machine.ip), (machine.ip, far)

    def arrive(self, data):
        machine = self.machine
        if not machine.up or machine.life != self.life:
            return self.fleet.flow(self.back, self, self.request.failed, "refused")
        self.fleet.callers.setdefault(machine, {})[self] = None
        self.fleet.do(machine, self.life, self.take, data)

    def take(self, data):
        client_front = self.machine.node_process.client_front
        if self.closed:
            return
        if client_front.closing:
            return self.fleet.flow(self.back, self, self.request.failed, "refused")
        self.protocol = client_front.make_connection()
        self.protocol.connection_made(self)
        feed(self, data)

    def write(self, data):
        if not self.closed:
            self.fleet.flow(self.back, self, self.request.answered, bytes(data))

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def abort(self):
        if not self.closed:
            self.closed = True
            self.fleet.callers.get(self.machine, {}).pop(self, None)
            self.fleet.at(self.fleet.now, self.fleet.do, self.machine, self.life, self.parted)
            # behind whatever answer is on its way
            self.fleet.at(self.fleet.now + self.fleet.way(*self.back) + 2 * AGAIN, self.request.failed, "closed")

    close = abort

    def parted(self):
        if self.protocol:
            self.protocol.connection_lost(None)

    def left(self):
        """The client goes away."""
        if not self.closed:
            self.closed = True
            self.fleet.callers.get(self.machine, {}).pop(self, None)
            fleet = self.fleet
            fleet.at(fleet.now + fleet.way(*self.pair), fleet.do, self.machine, self.life, self.parted)


class Frames(Wire):
    """The wire that serves, but for its sockets."""

    def send_frame(self, ip, data, kind):
        if ip == self.ip:
            self.loop.call_soon(self.receive_frame, ip, data)
        elif self.loop.fleet.bandwidth is None:
            self.loop.fleet.frame(self, ip, data)
        elif len(data) <= MAX_DATAGRAM_BYTES:
            self.loop.fleet.datagram(self, ip, data)
        else:
            self.transfer_scheduler.offer(self.clock(), Transfer(ip, kind, data))

    def start_transfer(self, transfer):
        self.loop.fleet.transfer(self, transfer)


class Plate:
    """The machine's disk, where the logbook stands."""

    def __init__(self, machine, folder):
        self.machine, self.save = machine, None

    def load(self):
        return self.machine.disk.record


class Machine:
    def __init__(self, number, zone, disk, sync):
        self.name, self.ip, self.zone, self.region = (
            f"n{number}",
            f"10.0.{number >> 8}.{number & 255}",
            zone,
            ZONES[zone],
        )
        self.counted, self.disk = disk, Disk(sync) if disk else None
        self.node_process, self.loop, self.life, self.up, self.frozen = None, None, 0, False, False
        self.inbox, self.offset, self.applied_index, self.revision = [], 0, 0, 0
        self.wiped_at, self.incarnation, self.leads = -60 * SEC, 0, False  # incarnation: of its memory; 0: none yet
        self.troubles, self.calm_at, self.began = 0, 0, False
        self.control = self.directory = None
        self.seeds = self.replaces = None  # seeds: of its settings; None: the fleet's

    @property
    def core_member(self):
        return self.node_process.core.member


class Asked:
    """A call to the directory or of an operator."""

    __slots__ = "query", "body", "respond", "path", "idempotency_key"

    def __init__(self, query, body=b"", respond=None):
        self.query, self.body, self.respond, self.path, self.idempotency_key = query, body, respond, "", b""


class Fleet(EventScheduler):
    """`rule_checker`: what looks on (`rules.RuleChecker`). Machines with a disk go first; the first of them founds."""

    def __init__(self, seed, nodes=11, disks=4, survive=None, sync=MS):
        super().__init__()
        self.chance = Random(seed)
        zones = list(ZONES)
        self.machines = [Machine(k + 1, zones[k % 4], k < disks, sync) for k in range(nodes)]
        self.core = self.machines[:disks]
        self.removed, self.machines_made, self.sync = [], nodes, sync  # removed: those that are gone for good
        self.by_ip = {machine.ip: machine for machine in self.machines}
        self.survive = max(0, (disks - 1) // 2) if survive is None else survive
        self.seeds = [machine.ip for machine in self.core[:3]]
        self.safety_checker, self.rule_checker = SafetyChecker(), None
        self.cuts, self.reset, self.loss, self.repeat, self.slow = {}, set(), 0.005, 0.002, 0
        self.core_troubles, self.core_calm_at = 0, 0
        self.kept = {}  # (name, incarnation) to the stamp of the entry that it synced last, whether or not the disk is lost since
        self.links, self.callers = {}, {}  # by server and by machine: connections that stand
        self.place_of, self.at_address, self.servers, self.requests, self.refuses = {}, {}, [], {}, {}
        self.platform = Platform(self, self.chance.choice((200, 500, 1000)) * MS, 10 if nodes < 20 else 60)
        self.uids = 0
        self.way_of = {}
        self.bandwidth = None  # links without a bound, unless one is set

    # ---- time and links

    def do(self, machine, life, act, *args):
        """In one life of a machine; while it is frozen, later."""
        if machine.life == life and machine.up:
            if machine.frozen:
                machine.inbox.append((act, args))
            else:
                self.steps += 1
                act(*args)

    def zone(self, end):
        machine = self.by_ip.get(end)
        return machine.zone if machine else end[2:] if end[1:2] == ":" else "a1"

    def way(self, src, dst):
        """ns from one place to another."""
        base = self.way_of.get((src, dst))
        if base is None:
            one, two = self.zone(src), self.zone(dst)
            base = 200_000 if one == two else 500_000 if ZONES.get(one) == ZONES.get(two) else 12 * MS
            base += 3 * MS if src[:2] == "c:" or dst[:2] == "c:" else 0
            self.way_of[src, dst] = base
        return (
            base
            + int(self.chance.random() * (base // 2 + 300_000))
            + (self.chance.randrange(self.slow) if self.slow else 0)
        )

    def cut(self, pair):
        return pair in self.cuts

    def flow(self, pair, conn, what, *args):
        """Bytes of a connection: they come, however late, unless it ends first."""
        if conn.closed:
            return
        if pair in self.cuts:
            if pair in self.reset and hasattr(conn, "reset"):
                return conn.lost()
            return self.at(self.now + AGAIN, self.flow, pair, conn, what, *args)
        late = AGAIN if self.chance.random() < self.loss else 0
        self.at(self.now + self.way(*pair) + late, what, *args)

    def frame(self, wire, ip, data):
        """A frame between two machines: it may be lost, come twice, or be passed by a later one."""
        peer, mine = self.by_ip.get(ip), wire.ip
        if peer is None or (mine, ip) in self.cuts or self.chance.random() < self.loss:
            return
        wait = self.way(mine, ip)
        self.at(self.now + wait, self.land, mine, peer, data)
        if self.chance.random() < self.repeat:
            self.at(self.now + wait + self.chance.randrange(300 * MS), self.land, mine, peer, data)

    def datagram(self, wire, ip, data):
        """A small frame over links of a bounded bandwidth."""
        peer = self.by_ip.get(ip)
        if peer is not None and (wire.ip, ip) not in self.cuts and self.chance.random() >= self.loss:
            self.bandwidth.datagram(wire.ip, ip, len(data), partial(self.land, wire.ip, peer, data))

    def transfer(self, wire, transfer):
        """A large one, over a connection of its own."""
        peer, machine, life = self.by_ip.get(transfer.ip), wire.loop.machine, wire.loop.life
        land = partial(self.land, wire.ip, peer, transfer.data) if peer is not None else EventScheduler.discard
        over = partial(self.do, machine, life, self.transferred, wire, transfer)
        made = self.bandwidth.transfer(wire.ip, transfer.ip, len(transfer.data), land, over)
        transfer.abort, transfer.connected = made.end, True

    @staticmethod
    def transferred(wire, transfer):
        """A large frame has come, or is lost."""
        wire.finish_transfer(transfer)

    def land(self, ip, peer, data):
        if peer.up and (ip, peer.ip) not in self.cuts:
            self.do(peer, peer.life, peer.node_process.context.wire.receive_frame, ip, data)

    # ---- machines

    def process_settings(self, machine):
        ip, own = machine.ip, f"{machine.ip}:"
        found = settings_reader.read(
            {
                "Self": {
                    "NodeName": machine.name,
                    "Zone": machine.zone,
                    "Ip": ip,
                    "Serves": ["front", "control", "directory"],
                    "DataFolder": "disk" if machine.disk else "",
                    "FirstBoot": not machine.began,
                },
                "Network": {
                    "ListenOn": {
                        "Front": own + "80",
                        "ReadyCheck": own + "81",
                        "Control": own + "82",
                        "Directory": own + "83",
                    },
                    "PortRange": [7000, 7001],
                    "SeedNodes": [f"{seed}:82" for seed in machine.seeds or self.seeds],
                    "Zones": ZONES,
                },
                "Hosting": {"PlatformApi": {"Address": "10.200.0.1:80", "PerS": 10, "MaxLag": "1s"}},
                "AgreedTerms": {"Survive": {"Machines": self.survive}, "Guarantees": {"QuotaWindow": "5s"}},
            }
        )
        return found.ok_value

    def start(self, machine):
        if machine.up or machine in self.removed:
            return
        machine.life += 1
        machine.up, machine.frozen, machine.inbox, machine.applied_index, machine.revision = True, False, [], 0, 0
        machine.leads = False
        machine.offset = EPOCH + self.chance.randrange(SEC)
        machine.loop = loop = Loop(self, machine)
        ports = Ports(
            clock=lambda: (lambda: machine.offset + self.now),
            wire=Frames,
            record_store=partial(Plate, machine),
            disk_executor=lambda count: None,
            poller=Reader,
        )
        node_process = machine.node_process = build_node_process(
            loop, self.process_settings(machine), Quiet(machine.name), self.chance.getrandbits(64), ports=ports
        )
        node_process.client_front.server = Listener
        machine.control, machine.directory = build_control_calls(node_process), build_directory(node_process)
        self.rule_checker.attach(machine)
        if machine.counted and not machine.began and node_process.core.member.entry is not None:
            self.safety_checker.founders.add(machine.name)
            if len(self.safety_checker.founders) > 1:
                raise InvariantError("founded twice")
        machine.began = True
        self.calmer(machine)
        self.do(machine, machine.life, node_process.start)

    def stop(self, machine, why="kill"):
        """A kill, or a loss of power: a store under way has happened or not."""
        if not machine.up:
            return
        if machine.frozen:
            self.calmer(machine)
        if machine.core_member is not None:
            machine.incarnation = machine.core_member.incarnation
        machine.up, machine.frozen, machine.inbox, machine.node_process = False, False, [], None
        self.rougher(machine)
        if (disk := machine.disk) is not None:
            if disk.pending is not None and self.chance.random() < 0.3:
                disk.record = disk.pending
                self.keep(machine)
            disk.pending, disk.hangs = None, False
        for server in self.links.values():
            for conn in [conn for conn in server if conn.machine is machine]:
                conn.abort()
        for conn in list(self.callers.pop(machine, ())):
            conn.closed = True
            self.at(self.now + self.way(*conn.back), conn.request.failed, "reset")

    def wipe(self, machine):
        self.stop(machine)
        machine.disk = Disk(machine.disk.default_wait)
        machine.wiped_at, machine.incarnation = self.now, 0

    def is_joining(self, machine):
        """Whether it is no whole member, by the newest state in force, with the memory that it has now."""
        if machine.up and machine.core_member is not None:
            machine.incarnation = machine.core_member.incarnation
        return is_joining(self.safety_checker.newest_state, machine)

    def lost(self):
        """The machines of the core that count as lost; see `World.lost`."""
        lost = [m for m in self.core if self.is_joining(m) or self.now - m.wiped_at < CATCH_UP]
        return lost + still_members(self.safety_checker.newest_state, self.removed, lost)

    def add_machine(self, like):
        """An empty machine of the core, in the zone of another one, at an address and under a name of its own."""
        self.machines_made += 1
        machine = Machine(self.machines_made, like.zone, True, self.sync)
        machine.began, machine.wiped_at, machine.replaces = True, self.now, like
        machine.seeds = [other.ip for other in self.core if other is not like][:3]
        self.machines.append(machine)
        self.core.append(machine)
        self.by_ip[machine.ip] = machine
        return machine

    def replace_machine(self, machine, successor=None):
        """Gone for good; its successor, which may run already, takes its number in plans."""
        successor = successor or self.add_machine(machine)
        self.stop(machine)
        machine.life += 1  # no start that is under way
        self.removed.append(machine)
        for machines in (self.machines, self.core):
            machines.remove(successor)
            machines[machines.index(machine)] = successor
        return successor

    def freeze(self, machine):
        if machine.up and not machine.frozen:
            machine.frozen = True
            self.rougher(machine)

    def thaw(self, machine, life):
        if machine.up and machine.life == life and machine.frozen:
            machine.frozen = False
            self.calmer(machine)
            inbox, machine.inbox = machine.inbox, []
            if self.chance.random() < 0.5:  # the loop's timers go before its sockets, or the other way round
                inbox.sort(key=lambda row: getattr(row[0], "__func__", None) is not Handle.run)
            for act, args in inbox:
                self.do(machine, life, act, *args)

    def store(self, loop, record):
        """A save on the disk's thread."""
        machine, disk, future = loop.machine, loop.machine.disk, Stored()
        if disk.pending is not None:
            raise InvariantError("two stores at once")
        disk.pending = record
        wait = disk.wait // 2 + self.chance.randrange(disk.wait + MS)
        self.at(self.now + wait, self.stored, machine, loop.life, disk, future)
        return future

    def stored(self, machine, life, disk, future):
        if machine.life != life or not machine.up or machine.disk is not disk:
            return
        if disk.hangs:
            return self.at(self.now + 50 * MS, self.stored, machine, life, disk, future)
        future.trouble = OSError("full") if disk.full else None
        if not disk.full:
            disk.record = disk.pending
            self.keep(machine)
        disk.pending = None
        self.do(machine, life, future.done, future)

    def keep(self, machine):
        _, incarnation, _, _, _, entry, *_ = cbor2.loads(machine.disk.record)
        if entry:
            self.kept[machine.name, incarnation] = entry[1], entry[0]

    # ---- who is in touch, as RULES has it, a little stricter

    def rougher(self, machine):
        machine.troubles += 1
        if machine.counted:
            self.core_calm_at = self.now

    def calmer(self, machine):
        machine.troubles = max(0, machine.troubles - 1)
        machine.calm_at = self.now
        if machine.counted:
            self.core_calm_at = self.now

    def settled_since(self):
        """Since when the core is calm, and more than half of it up; None if it is not."""
        up = sum(machine.up and not machine.frozen for machine in self.core)
        if self.core_troubles or 2 * up <= len(self.core) or any(m.troubles and m.up for m in self.core):
            return None
        return self.core_calm_at

    def touch_since(self, machine):
        """Since when a machine is untroubled, the core too; None if it is not."""
        settled = self.settled_since()
        if settled is None or not machine.up or machine.troubles:
            return None
        return max(settled, machine.calm_at)

    def sever(self, pairs, reset=False):
        """Cuts pairs, one way each; each is counted, as cuts may overlap."""
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1
            if reset:
                self.reset.add(pair)
            self.touched(pair, self.rougher, 1)
        if reset:
            for conns in self.links.values():
                for conn in [conn for conn in conns if conn.pair in self.reset or conn.back in self.reset]:
                    self.do(conn.machine, conn.loop.life, conn.reset)

    def mend(self, pairs):
        for pair in pairs:
            if pair in self.cuts:
                self.cuts[pair] -= 1
                if not self.cuts[pair]:
                    del self.cuts[pair]
                    self.reset.discard(pair)
                self.touched(pair, self.calmer, -1)

    def touched(self, pair, what, count):
        """Who is out of touch by the cut: whoever has no path both ways to a machine of the core."""
        one, two = (self.by_ip.get(end) for end in pair)
        if one and two:
            if one.counted and two.counted:
                self.core_troubles += count
                self.core_calm_at = self.now
            for end, other in ((one, two), (two, one)):
                if other.counted:
                    what(end) if not end.counted else self.plain(end, count)

    def plain(self, machine, count):
        machine.troubles = max(0, machine.troubles + count)
        if count < 0:
            machine.calm_at = self.now

    # ---- servers

    def serve(self, service, zone, cold, address=None):
        self.uids += 1
        uid = f"i{self.uids}"
        if address is None:
            address = (f"10.9.{self.uids >> 8}.{self.uids & 255}", 8080)
        server = Server(self, uid, service, address, zone, 4, self.now + 3 * SEC if cold else 0)
        self.servers.append(server)
        self.place_of[address], self.at_address[address] = server.end, server
        self.platform.changed()
        return server

    def retire(self, server):
        """Off the list, behind its end."""
        if server in self.servers:
            self.servers.remove(server)
            self.platform.changed()


class Listener:
    """Of a front: nothing to close."""

    @staticmethod
    def close():
        pass
