"""Whole nodes in one process on a fake clock, assembled by the code that assembles the production process: machines
with their event loops, disks, clocks and links, and the faults that may hit them.

The `NodeProcess` and everything below it is production code. These classes take the kernel's place:
`SimulatedEventLoop`, `ServerConnection`, `ClientConnection`, `SimulatedWire` and `SimulatedRecordStore`.
"""

from functools import partial
from random import Random

import cbor2

from ..net.event_log import EventLog
from ..net.http_messages import UNKNOWN_TIMING
from ..node.assembly import build_node_process
from ..node.endpoints import build_control_calls, build_directory
from ..node.metrics import COUNTERS
from ..node.ports import Ports
from ..settings import settings_reader
from ..transport.frames import MAX_DATAGRAM_BYTES
from ..transport.transfer_scheduler import Transfer
from ..transport.wire import Wire
from .checks import InvariantError, SafetyChecker
from .outside import Platform, Server, SimulatedPoller
from .world import CATCH_UP, Disk, EventScheduler, is_joining, still_members

MS, SEC = 10**6, 10**9
EPOCH = 10**17  # ns on the machines' clocks when the fleet's clock is at 0
RETRANSMIT_AFTER = 200 * MS  # until bytes of a connection that were lost or met a cut are sent again
ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}


class SilentEventLog(EventLog):
    """An event log that drops every event."""

    def __init__(self, name):
        """`name`: of the node."""
        super().__init__(name, SEC, COUNTERS)

    def record(self, event, **more):
        """Drops an event."""
        pass

    def record_limited(self, event, party, **more):
        """Drops a rate-limited event."""
        pass

    def sweep(self):
        """Has no suppressed events to report."""
        pass


class TimerHandle:
    """The handle of a scheduled callback."""

    __slots__ = "callback", "arguments"

    def __init__(self, callback, arguments):
        """`arguments`: of the callback."""
        self.callback, self.arguments = callback, arguments

    def run(self):
        """Calls the callback, unless it was cancelled."""
        if self.callback is not None:
            self.callback(*self.arguments)

    def cancel(self):
        """Keeps the callback from being called."""
        self.callback = None


class SaveFuture:
    """The future of a save that the disk has not finished yet."""

    __slots__ = "error", "done"

    def exception(self):
        """The error of a failed save, or None."""
        return self.error

    def add_done_callback(self, done):
        """Sets the one callback, which the fleet calls when the save has ended."""
        self.done = done


class SimulatedEventLoop:
    """The part of the event loop's interface that a node uses, for one life of its machine. Callbacks that come due
    while the machine is frozen wait until it is thawed."""

    def __init__(self, fleet, machine):
        """Belongs to the machine's current life."""
        self.fleet, self.machine, self.life = fleet, machine, machine.life

    def call_later(self, delay, callback, *arguments):
        """Schedules a callback on the fleet's clock. `delay`: seconds."""
        handle = TimerHandle(callback, arguments)
        self.fleet.at(self.fleet.now + int(delay * SEC), self.fleet.do, self.machine, self.life, handle.run)
        return handle

    def call_soon(self, callback, *arguments):
        """Schedules a callback for the present moment, behind those already due."""
        return self.call_later(0, callback, *arguments)

    def run_in_executor(self, _, save, record):
        """Starts a save on the simulated disk, the only work that a node gives to an executor."""
        return self.fleet.store(self, record)

    def create_connection(self, protocol_factory, host, port):
        """Opens a connection to a server."""
        return ServerConnection(self, protocol_factory, host, port)

    def create_task(self, task):
        """Returns the task as it is: connections and fetches start when they are made."""
        return task

    def stop(self):
        """Ends the machine's process."""
        self.fleet.stop(self.machine, "ended")


class ServerConnection:
    """A connection from a node to a server: first the task that opens it, then its transport."""

    def __init__(self, loop, protocol_factory, host, port):
        """Sends the connection request."""
        self.loop, self.fleet, self.machine, self.protocol_factory = loop, loop.fleet, loop.machine, protocol_factory
        self.address, self.protocol, self.server, self.error = (host, port), None, None, None
        self.closed, self.is_cancelled, self.done_callbacks = False, False, []
        self.request = None
        self.remote = self.fleet.location_by_address.get(self.address, "s:?")
        self.forward_path, self.return_path = (self.machine.ip, self.remote), (self.remote, self.machine.ip)
        self.fleet.transmit_bytes(self.forward_path, self, self.reach_server)

    # The interface of a task.

    def add_done_callback(self, callback):
        """Adds a callback for the moment at which the connection is open or has failed."""
        self.done_callbacks.append(callback)

    def cancel(self):
        """Abandons the connection attempt."""
        self.is_cancelled = self.closed = True

    def cancelled(self):
        """Whether the attempt was abandoned."""
        return self.is_cancelled

    def exception(self):
        """Why the connection could not be opened, or None."""
        return self.error

    def reach_server(self):
        """The connection request is at the address. A server that ended silently, as without power, does not refuse
        it."""
        fleet, server = self.fleet, self.fleet.server_by_address.get(self.address)
        if server is None or not server.up:
            if server is None or not server.silent:
                fleet.transmit_bytes(self.return_path, self, fleet.do, self.machine, self.loop.life, self.refused)
            return
        self.server = server
        fleet.server_connections.setdefault(server, {})[self] = None
        fleet.transmit_bytes(self.return_path, self, fleet.do, self.machine, self.loop.life, self.opened)

    def refused(self):
        """The refusal is at the node."""
        if not self.closed:
            self.error, self.closed = ConnectionRefusedError(), True
            for callback in self.done_callbacks:
                callback(self)

    def opened(self):
        """The server's acceptance is at the node."""
        if not self.closed:
            self.protocol = self.protocol_factory()
            self.protocol.connection_made(self)
            for callback in self.done_callbacks:
                callback(self)

    # The interface of a transport.

    def write(self, data):
        """Sends bytes to the server. Each write holds one whole request."""
        if not self.closed:
            self.fleet.transmit_bytes(self.forward_path, self, self.server.receive, self, bytes(data))

    def writelines(self, parts):
        """Sends several pieces as one write."""
        self.write(b"".join(parts))

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        """Whether either side has closed it."""
        return self.closed

    def abort(self):
        """Closes it from the node's side; the server notices one latency later."""
        if not self.closed:
            self.closed = True
            if self.server:
                self.fleet.server_connections.get(self.server, {}).pop(self, None)
                self.fleet.at(
                    self.fleet.now + self.fleet.draw_latency(*self.forward_path), self.server.connection_dropped, self
                )

    close = abort

    # The server's side.

    def reply(self, data):
        """Sends bytes from the server to the node."""
        self.fleet.transmit_bytes(
            self.return_path, self, self.fleet.do, self.machine, self.loop.life, self.receive, data
        )

    def receive(self, data):
        """Hands bytes from the server to the node's protocol."""
        feed(self, data)

    def lost(self):
        """Resets the connection from the server's side or from the network; the node notices one latency later."""
        fleet = self.fleet
        fleet.at(fleet.now + fleet.draw_latency(*self.forward_path), fleet.do, self.machine, self.loop.life, self.reset)

    def reset(self):
        """The node notices the reset."""
        if not self.closed:
            self.closed = True
            if self.server:
                self.fleet.server_connections.get(self.server, {}).pop(self, None)
                self.server.connection_dropped(self)
            if self.protocol is None:
                self.error = ConnectionResetError()
                for callback in self.done_callbacks:
                    callback(self)
            else:
                self.protocol.connection_lost(ConnectionResetError())


def feed(conn, data):
    """Hands bytes to a buffered protocol, in parts as large as its buffer."""
    while data and not conn.closed:
        space = conn.protocol.get_buffer(-1)
        part, data = data[: len(space)], data[len(space) :]
        space[: len(part)] = part
        conn.protocol.buffer_updated(len(part))


class ClientConnection:
    """A client's connection to a front, for one request and one response."""

    def __init__(self, fleet, machine, remote, request):
        """`remote`: where the client is, `c:` and its zone."""
        self.fleet, self.machine, self.remote, self.request = fleet, machine, remote, request
        self.life, self.closed, self.protocol = machine.life, False, None
        self.forward_path, self.return_path = (remote, machine.ip), (machine.ip, remote)

    def reach_machine(self, data):
        """The request is at the machine, which refuses it if its process has ended or is another one by now."""
        machine = self.machine
        if not machine.up or machine.life != self.life:
            return self.fleet.transmit_bytes(self.return_path, self, self.request.failed, "refused")
        self.fleet.client_connections.setdefault(machine, {})[self] = None
        self.fleet.do(machine, self.life, self.accept, data)

    def accept(self, data):
        """The front accepts the connection and reads the request, unless it is closing."""
        client_front = self.machine.node_process.client_front
        if self.closed:
            return
        if client_front.closing:
            return self.fleet.transmit_bytes(self.return_path, self, self.request.failed, "refused")
        self.protocol = client_front.make_connection()
        self.protocol.connection_made(self)
        feed(self, data)

    def write(self, data):
        """Sends the response to the client. Each write holds one whole response."""
        if not self.closed:
            self.fleet.transmit_bytes(self.return_path, self, self.request.answered, bytes(data))

    def writelines(self, parts):
        """Sends several pieces as one write."""
        self.write(b"".join(parts))

    def get_write_buffer_size(self):
        """Everything is sent at once."""
        return 0

    def can_write_eof(self):
        """The client reads a whole response, and needs no end of the stream."""
        return False

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        """Whether either side has closed it."""
        return self.closed

    def pause_reading(self):
        """Needs no flow control: the whole request has been read."""
        pass

    resume_reading = pause_reading

    def abort(self):
        """Closes it from the front's side; the client notices after any response that is still on its way."""
        if not self.closed:
            self.closed = True
            self.fleet.client_connections.get(self.machine, {}).pop(self, None)
            self.fleet.at(self.fleet.now, self.fleet.do, self.machine, self.life, self.notify_connection_lost)
            # Later than any response that is still on its way.
            self.fleet.at(
                self.fleet.now + self.fleet.draw_latency(*self.return_path) + 2 * RETRANSMIT_AFTER,
                self.request.failed,
                "closed",
            )

    close = abort

    def notify_connection_lost(self):
        """Tells the front's protocol that the connection has ended."""
        if self.protocol:
            self.protocol.connection_lost(None)

    def close_by_client(self):
        """Closes it from the client's side."""
        if not self.closed:
            self.closed = True
            self.fleet.client_connections.get(self.machine, {}).pop(self, None)
            fleet = self.fleet
            fleet.at(
                fleet.now + fleet.draw_latency(*self.forward_path),
                fleet.do,
                self.machine,
                self.life,
                self.notify_connection_lost,
            )


class SimulatedWire(Wire):
    """The production wire with its sockets replaced by the fleet's links."""

    def send_frame(self, ip, data, kind):
        """Sends a frame; where links have a bounded bandwidth, a large one as a transfer."""
        if ip == self.ip:
            self.loop.call_soon(self.receive_frame, ip, data)
        elif self.loop.fleet.bandwidth is None:
            self.loop.fleet.transmit_frame(self, ip, data)
        elif len(data) <= MAX_DATAGRAM_BYTES:
            self.loop.fleet.transmit_datagram(self, ip, data)
        else:
            self.transfer_scheduler.offer(self.clock(), Transfer(ip, kind, data))

    def start_transfer(self, transfer):
        """Starts a transfer that the scheduler lets through."""
        self.loop.fleet.begin_transfer(self, transfer)


class SimulatedRecordStore:
    """Loads the record from the machine's simulated disk; takes the place of the production record store."""

    def __init__(self, machine, folder):
        """`folder` is not used. `save` is only a name for the executor: the fleet saves the record itself."""
        self.machine, self.save = machine, None

    def load(self):
        """The record that was synced last, or None."""
        return self.machine.disk.record


class Machine:
    """A machine with its clock and disk, through all lives of its process."""

    def __init__(self, number, zone, disk, sync):
        """`disk`: whether it has a disk, and so belongs to the core; `sync`: ns that a sync of its disk takes."""
        self.name, self.ip, self.zone, self.region = (
            f"n{number}",
            f"10.0.{number >> 8}.{number & 255}",
            zone,
            ZONES[zone],
        )
        self.in_core, self.disk = disk, Disk(sync) if disk else None
        self.node_process, self.loop, self.life, self.up, self.frozen = None, None, 0, False, False
        self.inbox, self.offset, self.applied_index, self.revision = [], 0, 0, 0
        # incarnation: of its disk contents; 0: none yet
        self.wiped_at, self.incarnation, self.leads = -60 * SEC, 0, False
        self.active_faults, self.calm_at, self.has_started = 0, 0, False
        self.control = self.directory = None
        self.seeds = self.replaces = None  # seeds: in its settings; None: those of the fleet

    @property
    def core_member(self):
        """The process's member of the core, or None without a disk."""
        return self.node_process.core.member


class ApiCall:
    """A call to a node's directory or control API."""

    __slots__ = "query", "body", "respond", "path", "idempotency_key", "is_awaited", "closes_connection"

    def __init__(self, query, body=b"", respond=None, is_awaited=lambda: True):
        """`respond`: called with an answer that is not given at once; `is_awaited`: returns whether the caller still
        waits for it."""
        self.query, self.body, self.respond, self.path, self.idempotency_key = query, body, respond, "", b""
        self.is_awaited = is_awaited

    def timing(self):
        """When the caller can have sent the call."""
        return UNKNOWN_TIMING


class Fleet(EventScheduler):
    """All machines, their links, the servers and the platform, on one fake clock.

    `rule_checker` observes the run and checks the rules (`rules.RuleChecker`). Machines with a disk come first in the
    list; the first of them founds the core.
    """

    def __init__(self, seed, nodes=11, disks=4, survive=None, sync=MS):
        """`disks`: machines of the core; `survive`: machines that may be lost at once, by default the most that a
        majority allows; `sync`: ns that a sync of a disk takes."""
        super().__init__()
        self.rng = Random(seed)
        zones = list(ZONES)
        self.machines = [Machine(k + 1, zones[k % 4], k < disks, sync) for k in range(nodes)]
        self.core = self.machines[:disks]
        self.removed, self.machines_made, self.sync = [], nodes, sync  # removed: machines that were removed for good
        self.by_ip = {machine.ip: machine for machine in self.machines}
        self.survive = max(0, (disks - 1) // 2) if survive is None else survive
        self.seeds = [machine.ip for machine in self.core[:3]]
        self.safety_checker, self.rule_checker = SafetyChecker(), None
        self.cuts, self.reset_pairs, self.loss, self.repeat, self.max_extra_delay = {}, set(), 0.005, 0.002, 0
        self.core_active_faults, self.core_calm_at = 0, 0
        # (name, incarnation) to the position of the entry that it synced last, even if the disk is lost since
        self.synced_positions = {}
        self.server_connections, self.client_connections = {}, {}  # open connections, by server and by machine
        self.location_by_address, self.server_by_address, self.servers, self.requests, self.refused_until = (
            {},
            {},
            [],
            {},
            {},
        )
        self.platform = Platform(self, self.rng.choice((200, 500, 1000)) * MS, 10 if nodes < 20 else 60)
        self.servers_made = 0
        self.base_latencies = {}
        self.bandwidth = None  # None: links have no limit of bandwidth

    # ---- Time and links

    def do(self, machine, life, callback, *args):
        """Runs a callback on a machine if the given life of its process has not ended; while the machine is frozen, the
        callback waits in its inbox."""
        if machine.life == life and machine.up:
            if machine.frozen:
                machine.inbox.append((callback, args))
            else:
                self.steps += 1
                callback(*args)

    def zone_of(self, location):
        """The zone of a machine's address, of a client or server location (`c:` or `s:` and the zone), or of the
        platform."""
        machine = self.by_ip.get(location)
        return machine.zone if machine else location[2:] if location[1:2] == ":" else "a1"

    def draw_latency(self, src, dst):
        """Draws the time (ns) that a message takes from one location to another."""
        base = self.base_latencies.get((src, dst))
        if base is None:
            one, two = self.zone_of(src), self.zone_of(dst)
            base = 200_000 if one == two else 500_000 if ZONES.get(one) == ZONES.get(two) else 12 * MS
            base += 3 * MS if src[:2] == "c:" or dst[:2] == "c:" else 0
            self.base_latencies[src, dst] = base
        return (
            base
            + int(self.rng.random() * (base // 2 + 300_000))
            + (self.rng.randrange(self.max_extra_delay) if self.max_extra_delay else 0)
        )

    def is_cut(self, pair):
        """Whether nothing passes from the first to the second of a pair."""
        return pair in self.cuts

    def transmit_bytes(self, pair, conn, callback, *args):
        """Delivers bytes of a connection by a callback: after retransmissions if they are lost or the path is cut,
        never if the connection ends first."""
        if conn.closed:
            return
        if pair in self.cuts:
            if pair in self.reset_pairs and hasattr(conn, "reset"):
                return conn.lost()
            return self.at(self.now + RETRANSMIT_AFTER, self.transmit_bytes, pair, conn, callback, *args)
        retransmission_delay = RETRANSMIT_AFTER if self.rng.random() < self.loss else 0
        self.at(self.now + self.draw_latency(*pair) + retransmission_delay, callback, *args)

    def transmit_frame(self, wire, ip, data):
        """Sends a frame between two machines. It may be lost, duplicated, or overtaken by a later one."""
        peer, sender_ip = self.by_ip.get(ip), wire.ip
        if peer is None or (sender_ip, ip) in self.cuts or self.rng.random() < self.loss:
            return
        wait = self.draw_latency(sender_ip, ip)
        self.at(self.now + wait, self.deliver_frame, sender_ip, peer, data)
        if self.rng.random() < self.repeat:
            self.at(self.now + wait + self.rng.randrange(300 * MS), self.deliver_frame, sender_ip, peer, data)

    def transmit_datagram(self, wire, ip, data):
        """Sends a small frame over links of a bounded bandwidth."""
        peer = self.by_ip.get(ip)
        if peer is not None and (wire.ip, ip) not in self.cuts and self.rng.random() >= self.loss:
            self.bandwidth.datagram(wire.ip, ip, len(data), partial(self.deliver_frame, wire.ip, peer, data))

    def begin_transfer(self, wire, transfer):
        """Sends a large frame over a connection of its own, on links of a bounded bandwidth."""
        peer, machine, life = self.by_ip.get(transfer.ip), wire.loop.machine, wire.loop.life
        deliver = (
            partial(self.deliver_frame, wire.ip, peer, transfer.data) if peer is not None else EventScheduler.discard
        )
        on_end = partial(self.do, machine, life, self.end_transfer, wire, transfer)
        bandwidth_transfer = self.bandwidth.transfer(wire.ip, transfer.ip, len(transfer.data), deliver, on_end)
        transfer.abort, transfer.connected = bandwidth_transfer.end, True

    @staticmethod
    def end_transfer(wire, transfer):
        """Tells the sender that a large frame has arrived or is lost."""
        wire.finish_transfer(transfer)

    def deliver_frame(self, ip, peer, data):
        """Hands a frame to the machine that it is for."""
        if peer.up and (ip, peer.ip) not in self.cuts:
            self.do(peer, peer.life, peer.node_process.context.wire.receive_frame, ip, data)

    # ---- Machines

    def process_settings(self, machine):
        """The settings of a machine's process."""
        ip, own = machine.ip, f"{machine.ip}:"
        settings = settings_reader.read(
            {
                "Self": {
                    "NodeName": machine.name,
                    "Zone": machine.zone,
                    "Ip": ip,
                    "Serves": ["front", "control", "directory"],
                    "DataFolder": "disk" if machine.disk else "",
                    "FirstBoot": not machine.has_started,
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
        return settings.ok_value

    def start(self, machine):
        """Starts the process of a machine, with the record on its disk."""
        if machine.up or machine in self.removed:
            return
        machine.life += 1
        machine.up, machine.frozen, machine.inbox, machine.applied_index, machine.revision = True, False, [], 0, 0
        machine.leads = False
        machine.offset = EPOCH + self.rng.randrange(SEC)
        machine.loop = loop = SimulatedEventLoop(self, machine)
        ports = Ports(
            clock=lambda: (lambda: machine.offset + self.now),
            wire=SimulatedWire,
            record_store=partial(SimulatedRecordStore, machine),
            disk_executor=lambda count: None,
            poller=SimulatedPoller,
        )
        node_process = machine.node_process = build_node_process(
            loop, self.process_settings(machine), SilentEventLog(machine.name), self.rng.getrandbits(64), ports=ports
        )
        node_process.client_front.server = Listener
        machine.control, machine.directory = build_control_calls(node_process), build_directory(node_process)
        self.rule_checker.attach(machine)
        if machine.in_core and not machine.has_started and node_process.core.member.entry is not None:
            self.safety_checker.founders.add(machine.name)
            if len(self.safety_checker.founders) > 1:
                raise InvariantError("founded twice")
        machine.has_started = True
        self.fault_ended(machine)
        self.do(machine, machine.life, node_process.start)

    def stop(self, machine, why="kill"):
        """Ends a process as a kill or a loss of power does. A save under way has reached the disk or has not."""
        if not machine.up:
            return
        if machine.frozen:
            self.fault_ended(machine)
        if machine.core_member is not None:
            machine.incarnation = machine.core_member.incarnation
        machine.up, machine.frozen, machine.inbox, machine.node_process = False, False, [], None
        self.fault_began(machine)
        if (disk := machine.disk) is not None:
            if disk.pending is not None and self.rng.random() < 0.3:
                disk.record = disk.pending
                self.note_synced_position(machine)
            disk.pending, disk.hangs = None, False
        for server in self.server_connections.values():
            for conn in [conn for conn in server if conn.machine is machine]:
                conn.abort()
        for conn in list(self.client_connections.pop(machine, ())):
            conn.closed = True
            self.at(self.now + self.draw_latency(*conn.return_path), conn.request.failed, "reset")

    def wipe(self, machine):
        """Ends a process and empties its disk."""
        self.stop(machine)
        machine.disk = Disk(machine.disk.default_wait)
        machine.wiped_at, machine.incarnation = self.now, 0

    def is_joining(self, machine):
        """Whether a machine is not yet a full member by the newest state in force, under the incarnation of its present
        disk contents."""
        if machine.up and machine.core_member is not None:
            machine.incarnation = machine.core_member.incarnation
        return is_joining(self.safety_checker.newest_state, machine)

    def lost(self):
        """The machines of the core that count as lost; see `World.lost`."""
        lost = [m for m in self.core if self.is_joining(m) or self.now - m.wiped_at < CATCH_UP]
        return lost + still_members(self.safety_checker.newest_state, self.removed, lost)

    def add_machine(self, replaced):
        """Adds an empty machine to the core, in the zone of the one that it replaces, with an address and a name of its
        own."""
        self.machines_made += 1
        machine = Machine(self.machines_made, replaced.zone, True, self.sync)
        machine.has_started, machine.wiped_at, machine.replaces = True, self.now, replaced
        machine.seeds = [other.ip for other in self.core if other is not replaced][:3]
        self.machines.append(machine)
        self.core.append(machine)
        self.by_ip[machine.ip] = machine
        return machine

    def replace_machine(self, machine, successor=None):
        """Removes a machine for good. Its successor, which may be running already, takes its number in plans."""
        successor = successor or self.add_machine(machine)
        self.stop(machine)
        machine.life += 1  # cancels a start that is scheduled
        self.removed.append(machine)
        for machines in (self.machines, self.core):
            machines.remove(successor)
            machines[machines.index(machine)] = successor
        return successor

    def freeze(self, machine):
        """Suspends a machine's process."""
        if machine.up and not machine.frozen:
            machine.frozen = True
            self.fault_began(machine)

    def thaw(self, machine, life):
        """Resumes a suspended process, which then handles all that waited in its inbox."""
        if machine.up and machine.life == life and machine.frozen:
            machine.frozen = False
            self.fault_ended(machine)
            inbox, machine.inbox = machine.inbox, []
            if self.rng.random() < 0.5:  # the loop handles its timers before its sockets, or after them
                inbox.sort(key=lambda row: getattr(row[0], "__func__", None) is not TimerHandle.run)
            for callback, args in inbox:
                self.do(machine, life, callback, *args)

    def store(self, loop, record):
        """Starts a save on the disk's thread; returns its future."""
        machine, disk, future = loop.machine, loop.machine.disk, SaveFuture()
        if disk.pending is not None:
            raise InvariantError("two stores at once")
        disk.pending = record
        wait = disk.wait // 2 + self.rng.randrange(disk.wait + MS)
        self.at(self.now + wait, self.stored, machine, loop.life, disk, future)
        return future

    def stored(self, machine, life, disk, future):
        """Ends a save, with an error if the disk is full. A disk that hangs is asked again later."""
        if machine.life != life or not machine.up or machine.disk is not disk:
            return
        if disk.hangs:
            return self.at(self.now + 50 * MS, self.stored, machine, life, disk, future)
        future.error = OSError("full") if disk.full else None
        if not disk.full:
            disk.record = disk.pending
            self.note_synced_position(machine)
        disk.pending = None
        self.do(machine, life, future.done, future)

    def note_synced_position(self, machine):
        """Notes the position of the entry that a disk has just synced."""
        _, incarnation, _, _, _, entry, *_ = cbor2.loads(machine.disk.record)
        if entry:
            self.synced_positions[machine.name, incarnation] = entry[1], entry[0]

    # ---- Which machines are in touch: by the definition in RULES, a little stricter

    def fault_began(self, machine):
        """Counts a fault that takes a machine out of touch; in the core it also restarts the core's calm."""
        machine.active_faults += 1
        if machine.in_core:
            self.core_calm_at = self.now

    def fault_ended(self, machine):
        """Counts the end of a fault of a machine."""
        machine.active_faults = max(0, machine.active_faults - 1)
        machine.calm_at = self.now
        if machine.in_core:
            self.core_calm_at = self.now

    def settled_since(self):
        """Since when the core is free of faults with more than half of it up; None if it is not."""
        up = sum(machine.up and not machine.frozen for machine in self.core)
        if self.core_active_faults or 2 * up <= len(self.core) or any(m.active_faults and m.up for m in self.core):
            return None
        return self.core_calm_at

    def in_touch_since(self, machine):
        """Since when both a machine and the core are free of faults; None if they are not."""
        settled = self.settled_since()
        if settled is None or not machine.up or machine.active_faults:
            return None
        return max(settled, machine.calm_at)

    def sever(self, pairs, reset=False):
        """Cuts pairs, each in one direction, and counts them, because cuts may overlap. `reset`: open connections are
        reset too."""
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1
            if reset:
                self.reset_pairs.add(pair)
            self.count_cut(pair, self.fault_began, 1)
        if reset:
            for conns in self.server_connections.values():
                for conn in [
                    conn
                    for conn in conns
                    if conn.forward_path in self.reset_pairs or conn.return_path in self.reset_pairs
                ]:
                    self.do(conn.machine, conn.loop.life, conn.reset)

    def mend(self, pairs):
        """Ends cuts, one for each pair given."""
        for pair in pairs:
            if pair in self.cuts:
                self.cuts[pair] -= 1
                if not self.cuts[pair]:
                    del self.cuts[pair]
                    self.reset_pairs.discard(pair)
                self.count_cut(pair, self.fault_ended, -1)

    def count_cut(self, pair, change_faults, count):
        """Counts a cut (`count` 1) or its end (-1) for those that it takes out of touch: each machine without a path in
        both directions to some machine of the core."""
        one, two = (self.by_ip.get(end) for end in pair)
        if one and two:
            if one.in_core and two.in_core:
                self.core_active_faults += count
                self.core_calm_at = self.now
            for end, other in ((one, two), (two, one)):
                if other.in_core:
                    change_faults(end) if not end.in_core else self.adjust_active_faults(end, count)

    def adjust_active_faults(self, machine, count):
        """Changes the number of faults of a machine of the core without unsettling the core a second time."""
        machine.active_faults = max(0, machine.active_faults + count)
        if count < 0:
            machine.calm_at = self.now

    # ---- Servers

    def add_server(self, service, zone, cold, address=None):
        """Starts a server of a service. `cold`: for its first 3 s; `address`: that of a former server, or None for a
        new one."""
        self.servers_made += 1
        uid = f"i{self.servers_made}"
        if address is None:
            address = (f"10.9.{self.servers_made >> 8}.{self.servers_made & 255}", 8080)
        server = Server(self, uid, service, address, zone, 4, self.now + 3 * SEC if cold else 0)
        self.servers.append(server)
        self.location_by_address[address], self.server_by_address[address] = server.location, server
        self.platform.changed()
        return server

    def remove_server(self, server):
        """Removes a server that has ended from the platform's list."""
        if server in self.servers:
            self.servers.remove(server)
            self.platform.changed()


class Listener:
    """A listener of the front, without a socket."""

    @staticmethod
    def close():
        """Has no socket to close."""
        pass
