"""The emulator: one process on loopback that emulates N app servers (registry boxes), the counter and discovery.

It follows the platform's specification, executes the fault timeline, logs each fault, and counts what really happened:
executions of each transaction, and admitted units by account. These counts must be complete, since reports rely on
them.

It is controlled over HTTP/1.1: `GET /state` (the present counts), `POST /begin?at=UNIX_NS` (the start of the run, which
faults are timed from), `POST /fault?target=T&kind=K&on=1&size=S` (a single fault by hand), `POST /dump?dir=D` (writes
the counts).
"""

import asyncio
import hashlib
from pathlib import Path
from random import Random

import numpy as np
import orjson
import uvloop

from ..net.clock import Clock
from ..net.timers import TimerQueue
from . import tally
from .collector import Collector
from .faults import Event, timeline
from .http import AppServerBase, Connection, HttpServerBase, Listener, Request, reset, run_until_stopped
from .plan import named_servers
from .server_model import GONE, MS, SEC, Job, ServerModel

KINDS = {"inquiry": tally.INQUIRY, "referenced": tally.REFERENCED, "once_only": tally.ONCE_ONLY}
NOT_RUN = b"X-Not-Run: 1\r\n"
COUNTED = (
    "arrived",
    "answered",
    "turned_away",
    "errors",
    "hung",
    "lost",
    "abandoned",
    "connections",
    "dropped_used",
    "after_drain",
    "probes",
)


class EmulatedServer(AppServerBase):
    """One app server (registry box): a listener, a model of its work, and its active faults."""

    def __init__(self, emulator, number, uid, group):
        """`number`: its index in the plan; `group`: its properties."""
        self.emulator, self.number, self.uid, self.group = emulator, number, uid, group
        self.clock, self.timers = emulator.clock, emulator.timers
        self.rng = Random(f"{emulator.seed}/box/{number}")
        super().__init__(ServerModel(group, self.rng, self.clock()), dict.fromkeys(COUNTED, 0))
        self.started_at_ms, self.state = 0, "in_service"
        self.listener = Listener(emulator.loop, lambda: Connection(self), emulator.host)
        self.hang = self.down = False
        self.error_share = self.turn_away_share = self.drop_after_s = 0.0
        self.drained_at = None
        self.last_drained_arrival = None

    def as_listing_entry(self):
        """Returns the server as an entry of the discovery list."""
        return {
            "uid": self.uid,
            "endpoint": self.listener.address,
            "az": self.group.zone,
            "model": self.group.name,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.started_at_ms,
        }

    # ---- connections

    def refuses_connections(self) -> bool:
        """Returns whether a new connection is reset at once."""
        return self.down

    def close_idle_connections(self) -> None:
        """Closes idle connections, or silently forgets them if the active fault says so."""
        now = self.clock()
        for connection in list(self.connections):
            if connection.pending_request is None and now - connection.last_active_at > self.group.idle_s * SEC:
                connection.transport.close()
            elif (
                self.drop_after_s
                and connection.pending_request is None
                and now - connection.last_active_at > abs(self.drop_after_s) * SEC
            ):
                if self.drop_after_s > 0:
                    connection.dropped = True  # silently: the peer is not notified
                else:
                    connection.transport.close()

    # ---- transactions

    def handle(self, request):
        """Handles a probe or a transaction."""
        if request.path.startswith("/-/"):
            self.counts["probes"] += 1
            if self.hang:
                return None
            load = {"inflight": self.server_model.working, "queue": len(self.server_model.queue)}
            return request.connection.respond(200, orjson.dumps(load))
        now, counts = self.clock(), self.counts
        request_id = request.fields.get(b"x-request-id")
        if not request_id:
            return request.connection.respond(404)
        counts["arrived"] += 1
        if self.drained_at is not None:
            counts["after_drain"] += 1
            self.last_drained_arrival = now - self.drained_at
        self.emulator.record_admission(request, request_id, now)
        if (
            len(self.connections) > self.group.connections
            or self.turn_away_share
            and self.rng.random() < self.turn_away_share
        ):
            counts["turned_away"] += 1
            return request.connection.respond(503, b"", NOT_RUN)
        if self.error_share and self.rng.random() < self.error_share:
            counts["errors"] += 1  # a 500 may follow an execution, and here it does
            self.emulator.record_execution(request, now)
            return request.connection.respond(500)
        job = request.connection.job = Job(request)
        started = self.server_model.arrive(job, now)
        if started is None:
            counts["turned_away"] += 1
            return request.connection.respond(503, b"", NOT_RUN)
        self.start_jobs(started, now)

    def start_jobs(self, jobs, now):
        """Executes jobs that the model has started."""
        for job in jobs:
            self.emulator.record_execution(job.payload, now)  # it counts as executed even if its response is lost
            if job.completes_at - now < MS // 4:
                self.finish_job(job)
            else:
                self.timers.at(job.completes_at, self.finish_job, job)

    def finish_job(self, job):
        """Responds to a completed job and starts the next one."""
        if job.state == GONE:
            return
        now = self.clock()
        started = self.server_model.finish(job, now)
        connection = job.payload.connection
        if self.hang:
            self.counts["hung"] += 1
        elif connection.pending_request is job.payload:
            self.counts["answered"] += 1
            connection.job = None
            connection.respond(200, self.emulator.body_of_size(self.group.body_bytes))
        self.start_jobs(started, now)

    # ---- faults

    def fault(self, event):
        """Starts or ends a fault."""
        on = event.on
        if event.kind == "slow":
            self.server_model.slow_factor = event.size or 4.0 if on else 1.0
        elif event.kind == "hang":
            self.hang = on
            if not on:  # pending requests are never answered, as when a hung process is replaced
                for connection in [
                    connection for connection in self.connections if connection.pending_request is not None
                ]:
                    reset(connection.transport)
        elif event.kind == "errors":
            self.error_share = (event.size or 1.0) if on else 0.0
        elif event.kind == "turn_away":
            self.turn_away_share = (event.size or 1.0) if on else 0.0
        elif event.kind in ("drop_idle", "close_idle"):
            sign = 1.0 if event.kind == "drop_idle" else -1.0
            self.drop_after_s = sign * (event.size or 0.5) if on else 0.0
        elif event.kind == "drain":
            self.state = "terminating" if on else "in_service"
            self.drained_at = None
            self.emulator.discovery.announce_change(self, self.emulator.plan.topology.discovery.notice_s)
            if on:
                self.timers.after(round(self.emulator.plan.topology.discovery.notice_s * SEC), self.on_notice_elapsed)
        elif event.kind in ("refuse", "crash"):
            self.down = on
            if on:
                self.listener.close()
                for job in self.server_model.crash(self.clock()) if event.kind == "crash" else ():
                    self.counts["lost"] += 1
                self.reset_connections()
            else:
                self.emulator.loop.create_task(self.reopen(event.kind == "crash"))

    def on_notice_elapsed(self):
        """Called when the nodes should know that the server is draining: transactions that arrive from now on are
        counted."""
        if self.state == "terminating":
            self.drained_at = self.clock()

    async def reopen(self, cold):
        """Ends an outage. `cold`: the server was restarted."""
        if cold:
            self.server_model = ServerModel(self.group, self.rng, self.clock(), warm=False)
            self.started_at_ms = self.clock() // MS
            self.emulator.discovery.announce_change(self, self.emulator.plan.topology.discovery.notice_s)
        await self.listener.open()


class CounterConnection(asyncio.Protocol):
    """One connection of a node to the counter: RESP2 arrays in, replies in the same order."""

    def __init__(self, counter, node_index):
        """`node_index`: the node that uses this connection's listener."""
        self.counter, self.node_index, self.unparsed, self.transport = counter, node_index, b"", None
        self.last_reply_at = 0  # time of the last scheduled reply on this connection

    def connection_made(self, transport):
        """Called by the event loop: the connection is up."""
        self.transport = transport
        self.counter.connections[self] = None
        if self.counter.down:
            reset(transport)

    def connection_lost(self, error):
        """Called by the event loop: the connection has ended."""
        self.counter.connections.pop(self, None)

    def data_received(self, data):
        """Called by the event loop: bytes of calls. A malformed call resets the connection."""
        data, at = self.unparsed + data, 0
        while at < len(data):
            try:
                arguments, at = parse_resp_array(data, at)
            except ValueError:
                return reset(self.transport)
            if arguments is None:
                break
            self.counter.execute(self, arguments)
        self.unparsed = data[at:]

    def reply(self, response):
        """Sends a reply, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(response)


def parse_resp_array(data, at):
    """Parses the RESP2 array of bulk strings at `at`. Returns its elements and the offset after it, or (None, `at`) if
    it is incomplete. Raises ValueError if it is malformed."""
    end = data.find(b"\r\n", at)
    if end < 0:
        return None, at
    if data[at : at + 1] != b"*":
        raise ValueError("not an array")
    arguments, here = [], end + 2
    for _ in range(int(data[at + 1 : end])):
        end = data.find(b"\r\n", here)
        if end < 0:
            return None, at
        if data[here : here + 1] != b"$":
            raise ValueError("not a bulk string")
        length = int(data[here + 1 : end])
        if len(data) < end + 4 + length:
            return None, at
        arguments.append(data[end + 2 : end + 2 + length])
        here = end + 4 + length
    return arguments, here


class Counter:
    """The shared counter, with a separate address for each node. A split gives the second half of the nodes a copy of
    the store; when it ends, the first half's store remains and what the other half counted is lost."""

    def __init__(self, emulator):
        """Creates a listener for each node of the plan."""
        self.emulator, self.clock, self.timers = emulator, emulator.clock, emulator.timers
        self.model = emulator.plan.topology.counter_model
        self.stores, self.halves = [tally.CounterStore()], ()
        self.queue = tally.RateLimitedQueue(self.model.per_s, self.model.longest_wait_ms)
        self.connections, self.down, self.silent, self.extra_delay_ns = {}, False, False, 0
        self.counts = dict.fromkeys(("calls", "busy", "unheard", "odd"), 0)
        self.listeners = [
            Listener(emulator.loop, lambda k=k: CounterConnection(self, k), emulator.host)
            for k in range(emulator.plan.topology.nodes)
        ]

    def execute(self, connection, arguments):
        """Executes a call and schedules its reply."""
        now, command = self.clock(), arguments[0].upper()
        if command == b"ADDGET" and len(arguments) == 4:
            self.counts["calls"] += 1
            if self.silent:
                self.counts["unheard"] += 1
                return
            try:
                amount, life = float(arguments[2]), int(arguments[3]) * MS
            except ValueError:
                self.counts["odd"] += 1
                return connection.reply(b"-ERR odd number\r\n")
            due = self.queue.take(now)
            if due is None:
                self.counts["busy"] += 1
                response, due = b"-BUSY\r\n", now
            else:
                store = self.stores[self.halves[connection.node_index] if self.halves else 0]
                total = tally.format_total(store.add(arguments[1], amount, life, now))
                response = b"$%d\r\n%s\r\n" % (len(total), total)
            due = connection.last_reply_at = max(
                connection.last_reply_at, round(due + self.model.latency_ms * MS) + self.extra_delay_ns
            )
            return self.timers.at(due, connection.reply, response)
        if not self.silent:
            known = {b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}
            response = known.get(command, b"-ERR unknown call\r\n")
            connection.reply(response) if connection.last_reply_at <= now else self.timers.at(
                connection.last_reply_at, connection.reply, response
            )

    def fault(self, event):
        """Starts or ends a fault."""
        on = event.on
        if event.kind == "down":
            self.down = on
            if on:
                for listener in self.listeners:
                    listener.close()
                self.reset_connections()
            else:
                for listener in self.listeners:
                    self.emulator.loop.create_task(listener.open())
        elif event.kind == "silent":
            self.silent = on
        elif event.kind == "slow":
            self.extra_delay_ns = round((event.size or 200.0) * MS) if on else 0
        elif event.kind == "restart":
            self.stores = [tally.CounterStore() for _ in self.stores]
            self.reset_connections()
        elif event.kind == "split":
            if on:
                copy = tally.CounterStore()
                copy.rows = {name: list(row) for name, row in self.stores[0].rows.items()}
                self.stores, self.halves = [self.stores[0], copy], event.halves
            else:
                self.stores, self.halves = self.stores[:1], ()

    def reset_connections(self):
        """Resets all connections."""
        for connection in list(self.connections):
            reset(connection.transport)


class Discovery(HttpServerBase):
    """The server list, complete on request or as a watch. `stale` freezes what it sends; `down` and `silent` stop it
    from answering."""

    def __init__(self, emulator):
        """Starts with an empty list."""
        super().__init__()
        self.emulator, self.clock, self.timers = emulator, emulator.clock, emulator.timers
        self.listener = Listener(emulator.loop, lambda: Connection(self), emulator.host)
        # listed_rows: published entries by uid; recent_changes: (revision, entry), bounded.
        self.revision, self.listed_rows, self.recent_changes = 1, {}, []
        self.watches = {}
        self.down = self.silent = self.stale = False
        self.pending_servers = []  # servers that changed while the list was frozen

    def start(self):
        """Fills the list and starts the heartbeat."""
        self.listed_rows = {server.uid: server.as_listing_entry() for server in self.emulator.servers}
        self.send_heartbeat()

    def refuses_connections(self) -> bool:
        """Returns whether a new connection is reset at once."""
        return self.down

    def on_connection_closed(self, connection: Connection, pending_request: Request | None) -> None:
        """Removes a connection that ended, and its watch."""
        super().on_connection_closed(connection, pending_request)
        self.watches.pop(connection, None)

    def encode_listing(self, rows, complete):
        """Returns one line with the rows. `complete`: whether they are the whole list."""
        return orjson.dumps({"rev": self.revision, "all": complete, "targets": rows}) + b"\n"

    def handle(self, request):
        """Handles a request for the list, or starts a watch, which continues after the given revision if that is still
        known."""
        if self.silent:
            return None
        if request.path != "/api/targets":
            return request.connection.respond(404)
        if "watch" not in request.query:
            return request.connection.respond(200, self.encode_listing(list(self.listed_rows.values()), True))
        connection = request.connection
        connection.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches[connection] = None
        after_revision = request.query.get("after", "0")
        after_revision = int(after_revision) if after_revision.isdigit() else 0
        if (
            self.recent_changes
            and self.recent_changes[0][0] <= after_revision + 1 <= self.revision + 1
            or after_revision == self.revision
        ):
            rows = {row["uid"]: row for revision, row in self.recent_changes if revision > after_revision}
            self.push(connection, self.encode_listing(list(rows.values()), False) if rows else b"\n")
        else:
            self.push(connection, self.encode_listing(list(self.listed_rows.values()), True))

    @staticmethod
    def push(connection, line):
        """Sends a line to a watch, as one chunk."""
        if not connection.transport.is_closing():
            connection.transport.write(b"%x\r\n%s\r\n" % (len(line), line))

    def send_heartbeat(self):
        """Sends an empty line to every watch every 2 s."""
        self.timers.after(2 * SEC, self.send_heartbeat)
        if not self.silent:
            for connection in self.watches:
                self.push(connection, b"\n")

    def announce_change(self, server, notice_s):
        """Publishes a change of a server after `notice_s` seconds."""
        self.timers.after(round(notice_s * SEC), self.publish_change, server)

    def publish_change(self, server):
        """Sends a server's entry to every watch, or keeps it until the list is no longer frozen."""
        if self.stale or self.silent:
            self.pending_servers.append(server)
            return
        self.revision += 1
        row = self.listed_rows[server.uid] = server.as_listing_entry()
        self.recent_changes = [*self.recent_changes[-255:], (self.revision, row)]
        for connection in list(self.watches):
            self.push(connection, self.encode_listing([row], False))

    def fault(self, event):
        """Starts or ends a fault."""
        if event.kind == "stale":
            self.stale = event.on
        elif event.kind == "silent":
            self.silent = event.on
        else:
            self.down = event.on
            if event.on:
                self.listener.close()
                self.reset_connections()
            else:
                self.emulator.loop.create_task(self.listener.open())
        if not (self.stale or self.silent):
            pending_servers, self.pending_servers = self.pending_servers, []
            for server in pending_servers:
                self.publish_change(server)


class RunCollector(Collector):
    """The collector of a run, which counts messages by MSGID and does not keep them."""

    def fault(self, event):
        """Starts or ends an outage."""
        if event.on:
            self.disconnect(event.kind == "abort")
        else:
            self.loop.create_task(self.listen_again())

    def summary(self):
        """Returns the counts and the first parse errors."""
        for message in self.messages:
            key = f"msgid_{message.message_id}"
            self.counts[key] = self.counts.get(key, 0) + 1
        self.messages.clear()
        return {**self.counts, "missing": sum(self.missing().values()), "troubles": self.errors[:5]}


class Control(HttpServerBase):
    """The emulator's control address."""

    def __init__(self, emulator):
        """`emulator`: the emulator that it controls."""
        super().__init__()
        self.emulator, self.clock, self.listener = (
            emulator,
            emulator.clock,
            Listener(emulator.loop, lambda: Connection(self), emulator.host),
        )

    def handle(self, request):
        """Handles a control request; the module's doc comment lists them."""
        query, respond = request.query, request.connection.respond
        try:
            if request.path == "/state":
                return respond(200, orjson.dumps(self.emulator.state()))
            if request.method == b"POST" and request.path == "/begin":
                self.emulator.start_run(int(query["at"]))
            elif request.method == b"POST" and request.path == "/fault":
                self.emulator.carry_out(
                    Event(
                        self.clock() - (self.emulator.started_at or self.clock()),
                        -1,
                        query.get("on") != "0",
                        query["target"],
                        query["kind"],
                        float(query.get("size", 0)),
                    )
                )
            elif request.method == b"POST" and request.path == "/dump":
                self.emulator.dump(Path(query["dir"]))
            else:
                return respond(404)
        except (KeyError, ValueError, IndexError, OSError) as error:
            return respond(400, f"{type(error).__name__}: {error}\n".encode())
        respond(204)


class Emulator:
    """All emulated parts of one run."""

    def __init__(self, loop, plan, seed, log, host="127.0.0.1"):
        """`log`: a binary file for the fault log, with one JSON line for each event."""
        self.loop, self.plan, self.seed, self.log, self.host = loop, plan, seed, log, host
        self.clock = Clock()
        self.timers = TimerQueue(loop, self.clock)
        self.executions, self.admissions = tally.Executions(), tally.Admissions()
        self.products = [(KINDS[p.effect], round(p.repeat_window_ms * MS)) for p in plan.products]
        self.servers = [EmulatedServer(self, k, uid, group) for k, (uid, group) in enumerate(named_servers(plan))]
        self.counter, self.discovery, self.control = Counter(self), Discovery(self), Control(self)
        self.collector = RunCollector(loop, host) if plan.topology.collector else None
        self.events, self.started_at, self.unknown_requests = timeline(plan, seed), None, 0
        self.bodies = {}

    async def listen(self):
        """Opens all addresses and returns the emulator."""
        for target in [*self.servers, self.discovery, self.control]:
            await target.listener.open()
        for listener in self.counter.listeners:
            await listener.open()
        if self.collector:
            await self.collector.listen()
        self.discovery.start()
        self.sweep()
        return self

    def addresses(self):
        """Returns the addresses of all parts."""
        return {
            "control": self.control.listener.address,
            "discovery": self.discovery.listener.address,
            "counter": [listener.address for listener in self.counter.listeners],
            "collector": self.collector.listener.address if self.collector else None,
            "boxes": [server.as_listing_entry() for server in self.servers],
        }

    def sweep(self):
        """Closes the servers' idle connections every 0.1 s."""
        self.timers.after(SEC // 10, self.sweep)
        for server in self.servers:
            server.close_idle_connections()

    def body_of_size(self, size):
        """Returns a response body of this size."""
        if size not in self.bodies:
            self.bodies[size] = b"y" * size
        return self.bodies[size]

    # ---- counts

    def record_admission(self, request, request_id, now):
        """Records the units of a submission that arrived at a server."""
        query = request.query
        try:
            self.admissions.record(request_id, int(query["a"]), float(query["u"]), now)
        except (KeyError, ValueError):
            self.unknown_requests += 1  # not from the load tool, so its account is unknown

    def record_execution(self, request, now):
        """Records that a server executed a transaction."""
        query = request.query
        try:
            effect, window = self.products[int(query["p"])]
        except (KeyError, ValueError, IndexError):
            return
        self.executions.record(effect, query.get("x", ""), request.fields.get(b"idempotency-key"), window, now)

    # ---- faults

    def start_run(self, at):
        """Schedules the faults of a run that starts at `at`, Unix time in ns."""
        self.started_at = at
        for event in self.events:
            if not event.target.startswith("node:"):
                self.timers.at(at + event.at, self.carry_out, event)

    def carry_out(self, event):
        """Starts or ends a fault at its target, and logs it. Raises ValueError for an unknown target."""
        target_kind, _, number = event.target.partition(":")
        if target_kind == "box":
            target = self.servers[int(number)]
        elif target_kind in ("counter", "discovery", "collector"):
            target = getattr(self, target_kind)
        else:
            raise ValueError(f"no target {event.target!r}")
        late_ns = self.clock() - (self.started_at or self.clock()) - event.at
        self.log.write(orjson.dumps({**event.as_log_row(), "late_ms": round(late_ns / MS, 3)}) + b"\n")
        self.log.flush()
        target.fault(event)

    def state(self):
        """Returns the present counts."""
        return {
            "began": self.started_at,
            "boxes": {
                server.uid: {
                    **server.counts,
                    "working": server.server_model.working,
                    "queued": len(server.server_model.queue),
                    "most_working": server.server_model.most_working,
                    "most_queued": server.server_model.most_queued,
                    "open": len(server.connections),
                    "state": server.state,
                    "last_drained_arrival_ms": None
                    if server.last_drained_arrival is None
                    else server.last_drained_arrival / MS,
                }
                for server in self.servers
            },
            "counter": {**self.counter.counts, "names": sum(len(s.rows) for s in self.counter.stores)},
            "once_only": {
                "txns": len(self.executions.once_only_counts),
                "runs": sum(self.executions.once_only_counts.values()),
                "twice": self.executions.executed_more_than_once(),
            },
            "referenced": {
                "keys": len(self.executions.last_run_by_key),
                "repeats_dropped": self.executions.dropped_repeats,
            },
            "collector": self.collector.summary() if self.collector else None,
            "admitted": len(self.admissions.times),
            "again": self.admissions.repeated,
            "odd": self.unknown_requests,
        }

    def dump(self, folder):
        """Writes `emulator.json` and `admissions.npy` (rows of the time since the start in ns, account, units)."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "emulator.json").write_bytes(orjson.dumps(self.state(), option=orjson.OPT_INDENT_2))
        rows = np.empty(len(self.admissions.times), dtype=[("at", "i8"), ("account", "i4"), ("units", "f8")])
        rows["at"] = np.asarray(self.admissions.times, dtype="i8") - (self.started_at or 0)
        rows["account"] = np.asarray(self.admissions.account)
        rows["units"] = np.asarray(self.admissions.units)
        np.save(folder / "admissions.npy", rows)


def serve(plan, seed, log_path=None, print_line=print):
    """Runs the emulator until SIGTERM or SIGINT; prints its addresses as one JSON line when it listens."""
    loop = uvloop.new_event_loop()
    with open(log_path or "/dev/null", "ab") as log:
        emulator = loop.run_until_complete(Emulator(loop, plan, seed, log).listen())
        run_until_stopped(loop, orjson.dumps(emulator.addresses()).decode(), print_line)


def account_key(name):
    """Returns an account's key on the wire: 16 hex digits for a number below 2^33, which depends on the name alone."""
    return "%016x" % (int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") >> 31)
