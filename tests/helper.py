"""Test harnesses that record readable traces and compare them with the files in `traces`.

`NodeHarness` passes inputs to one decision node and records its decisions. `Stage` runs the whole edge node on a
simulated event loop against simulated clients, servers, discovery and counter, and records the messages on their
connections. With KEEP=1 in the environment, the trace files are overwritten.
"""

import heapq
import json
import os
from pathlib import Path

from rampfront import terms as t
from rampfront.choice import Node

MS = 10**6
RATE = t.Plan(2.0, 10.0, 0, 0.0, 0.0, 0.0, 0.5)  # bursts of 10 units
CAP = t.Plan(0.0, 0.0, 2, 0.0, 0.0, 0.0, 0.5)
CEILING = t.Plan(10.0, 20.0, 0, 20.0, 40.0, 0.0, 0.5)
INQUIRY = t.Product(t.READ_ONLY, t.ALL, 1000 * MS, 0, 0.0)
CELL = t.Product(t.DEDUPLICATED, t.CELL, 1000 * MS, 3000 * MS, 0.0)
ONCE = t.Product(t.ONCE_ONLY, t.ALL, 1000 * MS, 0, 0.0)


class NodeHarness:
    """One decision node with simulated time, and the trace of its decisions."""

    def __init__(self, servers=1, nodes=2, plans=(RATE, CAP, CEILING), products=(INQUIRY, CELL, ONCE), seed=7, **other):
        terms = dict(
            products=list(products),
            plans=list(plans),
            nodes=nodes,
            max_submissions=3,
            may_probe=False,
            may_cancel=True,
            has_counter=True,
            counter_timeout=50 * MS,
            max_units=1.0,
            subscribes=False,
            max_retry_after=1000 * MS,
            min_input_gap=2 * MS,
            cold_share=0.2,
            warm_up=10000 * MS,
            cold_overload_factor=2.0,
            cold_overload_after=1000 * MS,
        )
        self.now_ms, self.lines, self.reminders, self.pending_adds = 10000, [], [], []
        self.node = Node(t.Terms(**{**terms, **other}), seed, self.now_ms * MS)
        self.record_effects(self.node.take(self.now_ms * MS, None))
        if servers:
            self.update_servers(*range(servers))

    def update_servers(self, *ids, state=t.UP, started_at_ms=0, complete=True, cell=0):
        self.apply_input(
            t.ServerList(complete, False, [t.ServerListRow(k, state, 0, cell, 1.0, started_at_ms * MS) for k in ids])
        )

    def record_effects(self, effects):
        for effect in effects:
            if isinstance(effect, t.Remind):
                heapq.heappush(self.reminders, (self.now_ms + effect.delay / MS, effect.ref))
                continue
            if isinstance(effect, t.AddToCount):
                self.pending_adds.append(effect)
            description = {
                t.Submit: lambda: f"txn {effect.txn} to {effect.server} for {effect.timeout // MS} ms",
                t.Decline: lambda: f"txn {effect.txn} declined, back in {effect.retry_after // MS} ms",
                t.Void: lambda: f"txn {effect.txn} voided",
                t.Cancel: lambda: f"txn {effect.txn} called off",
                t.AddToCount: lambda: f"adds {effect.amount:g}",
                t.Probe: lambda: f"probes {effect.server}",
                t.Subscribe: lambda: "subscribes",
            }[type(effect)]()
            self.lines.append(f"{self.now_ms - 10000:6.0f} ms  {description}")

    def say(self, text):
        self.lines.append(f"           -- {text}")

    def apply_input(self, event):
        self.record_effects(self.node.take(round(self.now_ms * 1000) * 1000, event))

    def wait(self, ms):
        until = self.now_ms + ms
        while self.reminders and self.reminders[0][0] <= until:
            due, ref = heapq.heappop(self.reminders)
            self.now_ms = max(self.now_ms, due)
            self.apply_input(t.Due(ref))
        self.now_ms = until

    def arrive(self, txn, product=0, plan=0, account="a", units=1, expiry=5000, nodes=2):
        self.apply_input(t.Arrival(txn, product, plan, account, units, expiry * MS, nodes))

    def end(self, txn, outcome=t.DONE, server=0, duration_ms=100, actual_units=0, final=None, usage=None, attempt=None):
        attempt = min(self.node.txns[txn].in_flight) if attempt is None else attempt
        self.apply_input(
            t.Ended(
                txn,
                server,
                outcome,
                duration_ms * MS,
                outcome == t.DONE if final is None else final,
                actual_units,
                attempt,
                usage,
            )
        )

    def count(self, total=0, outcome=t.DONE):
        self.apply_input(
            t.Counted(self.pending_adds.pop(0).name, total, outcome, (50 if outcome == t.TIMED_OUT else 2) * MS)
        )

    def free_all_places(self):
        """Frees all places: submissions in flight occupy none."""
        for server in self.node.servers.values():
            server.occupied = 0
        self.node.free_places, self.node.free_at, self.node.slack = 9.0, self.node.now + 10**12, 1.0

    def last_server(self):
        return int([line for line in self.lines if " to " in line][-1].split(" to ")[1].split()[0])

    def serve(self, txns, **arrival):
        for txn in txns:
            self.arrive(txn, **arrival)
            if self.node.txns.get(txn):
                self.end(txn)

    def check(self, name):
        path = Path(__file__).parent / "traces" / f"{name}.txt"
        text = "\n".join(self.lines) + "\n"
        if os.environ.get("KEEP"):
            path.write_text(text)
        assert text == path.read_text()


def experiment(plan, folder, seed=None, tries=3):
    """Runs an experiment; returns its report and the folder of its run.

    A run whose load tool fell behind on a busy machine is refused by the report and has no verdict, so it is repeated.
    """
    from rampfront.lab import report
    from rampfront.lab.run import Repeat

    for turn in range(tries):
        run = Repeat(plan, plan.seed if seed is None else seed, folder / f"run-{turn}").play()
        try:
            return report.write(run), run
        except report.RunRefusedError:
            if turn == tries - 1:
                raise


# ---- the whole edge node on a simulated event loop; the peers are implemented from the protocol documents

SETTINGS = {
    "Classes": [
        {"Name": "fetch", "Effect": "pure", "OnTime": 1000.0},
        {"Name": "publish", "Effect": "token", "OnTime": 1000.0, "RepeatWindow": 3000.0},
        {"Name": "ledger", "Effect": "side_effect", "OnTime": 1000.0},
    ],
    "Packages": [{"Name": "open"}, {"Name": "held", "PerSecond": 2.0, "StoreSize": 10.0}],
    "PeersTotal": 2,
    "Domain": {"HasCounter": True, "CountWait": 80.0, "Largest": 4},
    "Limits": {"AttemptsCap": 3, "MayCancel": True, "ConnectTimeout": 250.0, "Keepalive": 30000.0},
    "Rules": {"ColdShare": 0.2, "WarmWithin": 10000.0, "FallMultiple": 2.0, "TipAfter": 1000.0},
    "Tick": 2.0,
}
PORTS = {8500: "discovery", 6400: "counter", 8501: "discovery-2", 6401: "counter-2"}


def target(k, state="in_service", boot=0):
    return {"uid": f"s{k}", "endpoint": f"127.0.0.1:{9000 + k}", "state": state, "boot_ms": boot}


def config(servers=1, **settings):
    return {
        "name": "n0",
        "listen": "127.0.0.1:7070",
        "discovery": "127.0.0.1:8500",
        "counter": "127.0.0.1:6400",
        "seed": "7",
        "limits": {"sockets": 1024},
        "settings": {**SETTINGS, **settings},
        "known": {"rev": 1, "all": True, "targets": [target(k) for k in range(servers)]},
    }


def summarize_message(data):
    """Returns the parts of a message that are shown in a trace."""
    if data[:1] == b"*":
        parts = data.decode().split("\r\n")[2::2]
        return f"adds {parts[2]}"
    head, _, body = data.decode(errors="replace").partition("\r\n\r\n")
    lines = head.split("\r\n")
    wait = "".join(f" for {line[15:]} ms" for line in lines if line.startswith("X-Deadline-Ms"))
    ids = "".join(f" txn {line[14:]}" for line in lines if line.startswith("X-Request-Id"))
    last = " (last)" if "Connection: close" in lines else ""
    first = lines[0].replace(" HTTP/1.1", "").replace("HTTP/1.1 ", "")
    return first + ids + wait + last + f" {body}".rstrip()


class TimerHandle(list):
    """A scheduled call: due time in ns, sequence number and callback (None once cancelled)."""

    def cancel(self):
        self[2] = None


class Pipe:
    """The transport of one simulated connection, and also the task that opens it."""

    def __init__(self, stage, name, make):
        self.stage, self.name, self.make = stage, name, make
        self.protocol = self.connect_error = None
        self.callbacks, self.closed, self.was_cancelled = [], False, False
        self.pending_head = (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"  # of discovery's response, until sent
        )

    # ---- the task
    def add_done_callback(self, callback):
        self.callbacks.append(callback)

    def cancel(self):
        self.was_cancelled = True

    def cancelled(self):
        return self.was_cancelled

    def exception(self):
        return self.connect_error

    # ---- the transport
    def write(self, data):
        assert not self.closed
        if not data.endswith(b"PING\r\n"):
            self.stage.note(f"{self.name} < {summarize_message(data)}")
        elif self.stage.sends_heartbeats:
            self.stage.call_later(0.001, lambda: self.closed or self.feed("+PONG\r\n"))

    def get_extra_info(self, name):
        return self.stage.sockets.get(self.name)

    def get_write_buffer_size(self):
        return 0

    def can_write_eof(self):
        return False

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        self.stage.note(f"{self.name} is not read")

    def resume_reading(self):
        self.stage.note(f"{self.name} is read again")

    def close(self):
        if not self.closed:
            self.closed = True
            self.stage.note(f"{self.name} closed")
            self.stage.ends.append(self)

    abort = close

    # ---- the remote side
    def feed(self, data):
        data = data.encode() if isinstance(data, str) else data
        if hasattr(self.protocol, "data_received"):
            self.protocol.data_received(data)
        else:
            while data and not self.closed:
                space = self.protocol.get_buffer(-1)
                part, data = data[: len(space)], data[len(space) :]
                space[: len(part)] = part
                self.protocol.buffer_updated(len(part))
        self.stage.settle()

    def cut(self):
        if not self.closed:
            self.closed = True
            self.protocol.connection_lost(ConnectionResetError())
        self.stage.settle()


class Stage:
    """The edge node on a simulated event loop, with simulated peers, and the trace of their messages.

    `ways` says by name of a peer whether a connect succeeds ("up", the default), is refused ("refuses") or hangs
    ("silent").
    """

    def __init__(self, servers=1, limits=None, **settings):
        from rampfront.edge.configuration import read_configuration
        from rampfront.edge.log import Log
        from rampfront.edge.node import start  # here, as the tests of the system run with other libraries

        self.file = config(servers, **settings)  # the configuration file as read on SIGHUP
        self.sends_heartbeats = True  # whether discovery sends heartbeats and the counter answers a PING
        self.now, self.number, self.handles, self.lines = 0, 0, [], []
        self.opening, self.ends, self.ways, self.pipes, self.signals = [], [], {}, {}, {}
        self.sockets = {}  # real sockets by name of the peer, if a test needs them
        initial_file = config(servers, **settings)
        initial_file["limits"].update(limits or {})
        configuration = read_configuration(initial_file, {})
        self.log = Log("n0", 10**10, self)
        self.edge_node = start(
            self,
            lambda: 10**18 + self.now,
            configuration,
            self.log,
            lambda: read_configuration(self.file, {}),
        )
        self.driver = self.edge_node.driver
        self.settle()
        self.send_heartbeat()
        self.lines.clear()

    # ---- the event loop
    def call_later(self, delay, callback):
        self.number += 1
        handle = TimerHandle([self.now + round(delay * 1e9), self.number, callback])
        heapq.heappush(self.handles, handle)
        return handle

    def create_connection(self, make, host, port):
        return Pipe(self, PORTS.get(port, f"s{port - 9000}"), make)

    def create_task(self, pipe):
        self.opening.append(pipe)
        return pipe

    sockets = ()  # of the server that it is itself

    async def create_server(self, make, host, port, backlog):
        self.make = make
        return self

    def run_until_complete(self, coroutine):
        try:
            coroutine.send(None)
        except StopIteration:
            pass

    def add_signal_handler(self, number, callback, *about):
        self.signals[number] = lambda: (callback(*about), self.settle())

    def stop(self):
        self.note("exit")

    def close(self):
        self.note("listens no more")

    # ---- the log's output
    def write(self, line):
        record = json.loads(line)
        self.note("log: " + " ".join(str(record[k]) for k in ("event", "party", "why", "more") if k in record))

    def flush(self):
        pass

    # ---- control of the simulation

    def note(self, text):
        self.lines.append(f"{self.now / 1e6:6.0f} ms  {text}")

    def settle(self):
        """Runs the pending events of the loop: connects that succeed or fail, and notices of closed connections."""
        while self.ends or any(self.ways.get(p.name) != "silent" for p in self.opening):
            while self.ends:
                self.ends.pop(0).protocol.connection_lost(None)
            for pipe in list(self.opening):
                outcome = self.ways.get(pipe.name, "up")
                if outcome == "silent":
                    continue
                self.opening.remove(pipe)
                if outcome == "refuses" and not pipe.was_cancelled:
                    pipe.connect_error = ConnectionRefusedError()
                elif not pipe.was_cancelled:
                    self.pipes[pipe.name] = pipe
                    pipe.protocol = pipe.make()
                    pipe.protocol.connection_made(pipe)
                for callback in pipe.callbacks:
                    callback(pipe)

    def send_heartbeat(self):
        pipe = self.pipes["discovery"]
        if self.sends_heartbeats and not pipe.closed:
            pipe.feed(pipe.pending_head + "1\r\n\n\r\n")
            pipe.pending_head = ""
        self.call_later(2, self.send_heartbeat)

    def wait(self, ms):
        until = self.now + round(ms * 1e6)
        while self.handles and self.handles[0][0] <= until:
            handle = heapq.heappop(self.handles)
            self.now = max(self.now, handle[0])
            if handle[2]:
                handle[2]()
                self.settle()
        self.now = until

    def client(self, name="a"):
        pipe = self.pipes.get(name)
        if pipe is None or pipe.closed:
            pipe = self.pipes[name] = Pipe(self, name, None)
            pipe.protocol = self.make()
            pipe.protocol.connection_made(pipe)
        return pipe

    def ask(self, txn, client="a", product="fetch", plan="open", expiry=5000, units=1, more="", body="", **other):
        """Sends a request. `other` replaces a header, or omits it if None; underscores in names become hyphens."""
        fields = {
            "X-Request-Id": txn,
            "X-Class": product,
            "X-Tier": plan,
            "Cookie": "key=00000000b4d65521",
            "X-Deadline-Ms": expiry,
            "X-Call-Terms": f"units={units},spread=2,first=1",
        }
        if product == "publish":
            fields["Idempotency-Key"] = "k" * 8
        fields.update({name.replace("_", "-"): value for name, value in other.items()})
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items() if v is not None)
        method = "GET" if product == "fetch" else "POST"
        self.note(f"{client} > {product} {txn}")
        more += f"Content-Length: {len(body)}\r\n" if body else ""
        self.client(client).feed(f"{method} /api HTTP/1.1\r\n{head}{more}\r\n{body}")

    def reply(self, server, status=200, body="yes", more=""):
        self.note(f"{server} > {status}")
        self.pipes[server].feed(f"HTTP/1.1 {status} Said\r\nContent-Length: {len(body)}\r\n{more}\r\n{body}")

    def told(self, *rows, whole=False, rev=2):
        self.note("discovery > " + ", ".join(f"{row['uid']} {row['state']}" for row in rows))
        line = json.dumps({"rev": rev, "all": whole, "targets": rows}) + "\n"
        pipe = self.pipes["discovery"]
        pipe.feed(f"{pipe.pending_head}{len(line):x}\r\n{line}\r\n")
        pipe.pending_head = ""

    def out(self):
        """Returns the name of the app server that holds the latest pending submission; None if there is none."""
        sent = [
            pipe for name, pipe in self.pipes.items() if name[0] == "s" and not pipe.closed and pipe.protocol.exchange
        ]
        self.last = sent[-1].name if sent else self.last
        return sent[-1].name if sent else None

    def counts(self, *names):
        self.note(", ".join(f"{name} {self.log.counts[name]}" for name in names))

    say, check, last = NodeHarness.say, NodeHarness.check, None


def address_of(listener):
    """Returns `host:port` of a listening socket."""
    host, port = listener.getsockname()
    return f"{host}:{port}"
