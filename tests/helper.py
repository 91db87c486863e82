"""Plays: `Play` tells one node inputs and prints what it decides, `Stage` runs the whole program against
parties of its own and prints what goes over the connections. KEEP=1 writes the traces anew."""

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


class Play:
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
        self.ms, self.lines, self.due, self.adds = 10000, [], [], []
        self.node = Node(t.Terms(**{**terms, **other}), seed, self.ms * MS)
        self.note(self.node.take(self.ms * MS, None))
        if servers:
            self.list(*range(servers))

    def list(self, *ids, state=t.UP, born=0, whole=True, cell=0):
        self.tell(t.ServerList(whole, False, [t.ServerListRow(k, state, 0, cell, 1.0, born * MS) for k in ids]))

    def note(self, effects):
        for e in effects:
            if isinstance(e, t.Remind):
                heapq.heappush(self.due, (self.ms + e.delay / MS, e.ref))
                continue
            if isinstance(e, t.AddToCount):
                self.adds.append(e)
            said = {
                t.Submit: lambda: f"txn {e.txn} to {e.server} for {e.timeout // MS} ms",
                t.Decline: lambda: f"txn {e.txn} declined, back in {e.retry_after // MS} ms",
                t.Void: lambda: f"txn {e.txn} voided",
                t.Cancel: lambda: f"txn {e.txn} called off",
                t.AddToCount: lambda: f"adds {e.amount:g}",
                t.Probe: lambda: f"probes {e.server}",
                t.Subscribe: lambda: "subscribes",
            }[type(e)]()
            self.lines.append(f"{self.ms - 10000:6.0f} ms  {said}")

    def say(self, text):
        self.lines.append(f"           -- {text}")

    def tell(self, told):
        self.note(self.node.take(round(self.ms * 1000) * 1000, told))

    def wait(self, ms):
        until = self.ms + ms
        while self.due and self.due[0][0] <= until:
            due, ref = heapq.heappop(self.due)
            self.ms = max(self.ms, due)
            self.tell(t.Due(ref))
        self.ms = until

    def arrive(self, txn, product=0, plan=0, account="a", units=1, expiry=5000, nodes=2):
        self.tell(t.Arrival(txn, product, plan, account, units, expiry * MS, nodes))

    def end(self, txn, how=t.DONE, server=0, took=100, true=0, final=None, use=None, attempt=None):
        attempt = min(self.node.txns[txn].in_flight) if attempt is None else attempt
        self.tell(t.Ended(txn, server, how, took * MS, how == t.DONE if final is None else final, true, attempt, use))

    def count(self, total=0, how=t.DONE):
        self.tell(t.Counted(self.adds.pop(0).name, total, how, (50 if how == t.TIMED_OUT else 2) * MS))

    def room(self):
        """Room for all: what is out holds no place."""
        for server in self.node.servers.values():
            server.occupied = 0
        self.node.free, self.node.looked_at, self.node.saved = 9.0, self.node.now + 10**12, 1.0

    def sent_to(self):
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


def experiment(told, folder, seed=None, tries=3):
    """An experiment's report, and the folder of its run. A run whose load tool fell behind on a busy machine may not be
    reported, so it has no verdict: it is played again."""
    from rampfront.lab import report
    from rampfront.lab.run import Repeat

    for turn in range(tries):
        run = Repeat(told, told.seed if seed is None else seed, folder / f"run-{turn}").play()
        try:
            return report.write(run), run
        except report.RunRefusedError:
            if turn == tries - 1:
                raise


# ---- the sockets: the whole program on a loop of ours, whose parties are written from the protocol's pages

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


def short(data):
    """What is worth reading of a message."""
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


class Handle(list):
    def cancel(self):
        self[2] = None


class Pipe:
    """One connection as our side sees it; also the task that opens it."""

    def __init__(self, stage, name, make):
        self.stage, self.name, self.make = stage, name, make
        self.protocol = self.trouble = None
        self.callbacks, self.closed, self.off = [], False, False
        self.greeting = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"  # discovery's, once

    # as a task
    def add_done_callback(self, what):
        self.callbacks.append(what)

    def cancel(self):
        self.off = True

    def cancelled(self):
        return self.off

    def exception(self):
        return self.trouble

    # as a transport
    def write(self, data):
        assert not self.closed
        if not data.endswith(b"PING\r\n"):
            self.stage.note(f"{self.name} < {short(data)}")
        elif self.stage.beats:
            self.stage.call_later(0.001, lambda: self.closed or self.feed("+PONG\r\n"))

    def get_extra_info(self, name):
        return self.stage.sockets.get(self.name)

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

    # as the far side
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
    def __init__(self, servers=1, limits=None, **settings):
        from rampfront.edge.configuration import read_configuration
        from rampfront.edge.log import Log
        from rampfront.edge.node import start  # here, since what plays the system has other libraries

        self.file = config(servers, **settings)  # what SIGHUP finds
        self.beats = True  # whether discovery beats and the counter answers a PING
        self.now, self.number, self.handles, self.lines = 0, 0, [], []
        self.opening, self.ends, self.ways, self.pipes, self.signals = [], [], {}, {}, {}
        self.sockets = {}  # of a party, where a test gives it a real one
        told = config(servers, **settings)
        told["limits"].update(limits or {})
        configuration = read_configuration(told, {})
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
        self.beat()
        self.lines.clear()

    # as the loop
    def call_later(self, delay, what):
        self.number += 1
        handle = Handle([self.now + round(delay * 1e9), self.number, what])
        heapq.heappush(self.handles, handle)
        return handle

    def create_connection(self, make, host, port):
        return Pipe(self, PORTS.get(port, f"s{port - 9000}"), make)

    def create_task(self, pipe):
        self.opening.append(pipe)
        return pipe

    async def create_server(self, make, host, port, backlog):
        self.make = make
        return self

    def run_until_complete(self, coroutine):
        try:
            coroutine.send(None)
        except StopIteration:
            pass

    def add_signal_handler(self, number, what, *about):
        self.signals[number] = lambda: (what(*about), self.settle())

    def stop(self):
        self.note("exit")

    def close(self):
        self.note("listens no more")

    # as the log's output
    def write(self, line):
        said = json.loads(line)
        self.note("log: " + " ".join(str(said[k]) for k in ("event", "party", "why", "more") if k in said))

    def flush(self):
        pass

    # ---- the play

    def note(self, text):
        self.lines.append(f"{self.now / 1e6:6.0f} ms  {text}")

    def settle(self):
        """What the loop does in its next turns: connects that come up or fail, ends that are told."""
        while self.ends or any(self.ways.get(p.name) != "silent" for p in self.opening):
            while self.ends:
                self.ends.pop(0).protocol.connection_lost(None)
            for pipe in list(self.opening):
                way = self.ways.get(pipe.name, "up")
                if way == "silent":
                    continue
                self.opening.remove(pipe)
                if way == "refuses" and not pipe.off:
                    pipe.trouble = ConnectionRefusedError()
                elif not pipe.off:
                    self.pipes[pipe.name] = pipe
                    pipe.protocol = pipe.make()
                    pipe.protocol.connection_made(pipe)
                for what in pipe.callbacks:
                    what(pipe)

    def beat(self):
        pipe = self.pipes["discovery"]
        if self.beats and not pipe.closed:
            pipe.feed(pipe.greeting + "1\r\n\n\r\n")
            pipe.greeting = ""
        self.call_later(2, self.beat)

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
        """`other` replaces a header, or leaves it out where None; underscores stand for hyphens."""
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
        pipe.feed(f"{pipe.greeting}{len(line):x}\r\n{line}\r\n")
        pipe.greeting = ""

    def out(self):
        """The app server that a submission went to last and is out at; None if none is."""
        sent = [
            pipe for name, pipe in self.pipes.items() if name[0] == "s" and not pipe.closed and pipe.protocol.exchange
        ]
        self.last = sent[-1].name if sent else self.last
        return sent[-1].name if sent else None

    def counts(self, *names):
        self.note(", ".join(f"{name} {self.log.counts[name]}" for name in names))

    say, check, last = Play.say, Play.check, None


def address_of(listening):
    """`host:port` of a listening socket."""
    host, port = listening.getsockname()
    return f"{host}:{port}"
