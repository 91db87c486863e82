"""`ProxyHarness`: a request proxy and its client listener, with scripted clients and servers, on a fake event loop.

The clock is simulated, so nothing here sleeps."""

import json
import random

from helper import Pipe, Stage

from rampfront.membership.endpoint_list import Endpoint, EndpointList
from rampfront.net.event_log import EventLog
from rampfront.net.memory_account import machine_account
from rampfront.node.limits import network_limits
from rampfront.node.metrics import COUNTERS
from rampfront.proxy.client_front import ClientFront
from rampfront.proxy.environment import ProxyEnvironment
from rampfront.proxy.request_proxy import RequestProxy
from rampfront.settings import configuration_reader, settings_reader

MS, SEC = 10**6, 10**9
ZONES = {"a1": "a", "a2": "a", "b1": "b"}
CLOCK_START_NS = 10**18  # start of the simulated clock
TWO_SERVERS = {"s1": ("one", "a1"), "s2": ("one", "a2")}  # server id to service and zone
READ, WRITE = "/read/x", "/write/x"


def settings(**guarantees):
    return {
        "Self": {"NodeName": "n1", "Zone": "a1", "Ip": "10.1.0.1", "Serves": ["front", "control", "directory"]},
        "Network": {
            "ListenOn": {
                "Front": "10.1.0.1:80",
                "ReadyCheck": "10.1.0.1:81",
                "Control": "10.1.0.1:82",
                "Directory": "10.1.0.1:83",
            },
            "PortRange": [7000, 7001],
            "SeedNodes": ["10.1.0.1:82", "10.1.0.2:82"],
            "Zones": ZONES,
        },
        "AgreedTerms": {"Guarantees": guarantees},
    }


def rule(prefix, kind="read_only", service="one", homes=(), tries=3, public=False, shares=None, give_up="4s"):
    then = {"Shares": shares} if shares else {"Service": service}
    return {
        "Type": kind,
        "Target": "1s",
        "Public": public,
        "MatchesWhen": {"PathStart": prefix},
        "ThenDo": {**then, "GiveUp": give_up, "Tries": tries, "HomeRegions": list(homes)},
    }


RULES = [
    rule("/read/"),
    rule("/read/two/", service="two"),
    rule("/write/", "changing"),
    rule("/put/", "upload"),
    rule("/free/", public=True),
    rule("/home/", homes=["a"]),
    rule("/split/", shares=[{"Service": "one", "Weight": 0}, {"Service": "two", "Weight": 1}]),
]
CUSTOMERS = [{"Name": "ann", "ApiKeys": ["ann-key"]}, {"Name": "bea", "ApiKeys": ["bea-key"], "HomeRegions": ["b"]}]


def configuration_bytes(revision=1, rules=RULES, customers=CUSTOMERS, **caps):
    """A configuration as an operator submits it."""
    return json.dumps(
        {
            "Revision": f"r{revision}",
            "Caps": caps,
            "Customers": customers,
            "Sockets": [{"Hostname": "host.example", "Rulebook": rules}],
            "Groups": [
                {"Name": name, "HealthPath": "/health", "Warmup": "3s", "ColdPerS": 2} for name in ("one", "two")
            ],
        }
    ).encode()


class FakeLimiter:
    """Replaces the limiter: admits `left` requests, over all customers."""

    def __init__(self, left=1000):
        self.left, self.refunded = left, []

    def take(self, name, now):
        self.left -= 1
        return None if self.left >= 0 else 700 * MS

    def refund(self, name, now):
        self.refunded.append(name)

    def set_quotas(self, named, now):
        self.named = named


class SilentEventLog(EventLog):
    """Counts events, but writes no log lines."""

    def __init__(self):
        super().__init__("n1", 10**10, COUNTERS)

    def record(self, event, **more):
        pass


class FakeConnection(Pipe):
    """One connection, from a client or to a server; records the bytes written to it."""

    def __init__(self, *args):
        super().__init__(*args)
        self.data = b""

    def write(self, data):
        assert not self.closed
        self.data += data

    def writelines(self, parts):
        self.write(b"".join(parts))

    def take(self):
        data, self.data = self.data, b""
        return data


class ClientResponse:
    """A response as received by a client."""

    def __init__(self, data):
        head, _, self.body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.text, self.status = data, int(lines[0].split()[1]) if data else None
        self.fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(": ")
            self.fields[name.lower()] = value

    def __getitem__(self, name):
        return self.fields.get(name)


class ProxyHarness(Stage):
    """A request proxy between scripted clients and servers.

    `servers`: id to (service, zone) or to (service, zone, state). Each has its own address; `ways[id]` determines
    whether a connect to it succeeds, is refused ("refuses") or hangs ("silent"). `fresh`: whether the core confirmed
    the configuration recently.
    """

    def __init__(self, servers=None, rules=RULES, customers=CUSTOMERS, quota=None, fresh=True, **caps):
        self.now, self.number, self.handles, self.lines = 0, 0, [], []
        self.opening, self.ends, self.ways, self.pipes, self.sockets = [], [], {}, {}, {}
        self.refill_retry_budget = True  # whether every request finds a full retry budget
        self.opened = []  # all connections to servers so far
        self.log, self.quota, self.fresh = SilentEventLog(), quota or FakeLimiter(), fresh
        self.process_settings = settings_reader.read(settings()).ok_value
        self.server_by_address, self.list_version = {}, 0
        limits = network_limits(self.process_settings)
        self.memory = machine_account(self.clock, self.process_settings.memory_mb, self.log.counts)
        rng = random.Random(5)
        environment = ProxyEnvironment(self, self.clock, self.process_settings, limits, rng, self.log, self.memory)
        self.request_proxy = RequestProxy(environment, self.quota, lambda now: self.fresh)
        self.client_front = ClientFront(environment, self.request_proxy)
        self.make = lambda: self.client_front.make_connection()
        if servers is not None:
            self.configure(rules=rules, customers=customers, **caps)
            self.set_servers(servers)

    def clock(self):
        return CLOCK_START_NS + self.now

    def create_connection(self, make, host, port):
        pipe = FakeConnection(self, self.server_by_address[host, port], make)
        self.opened.append(pipe)
        return pipe

    def configure(self, revision=1, **other):
        configuration = configuration_reader.read(configuration_bytes(revision, **other)).ok_value
        self.client_front.apply_caps(configuration.caps)
        self.request_proxy.apply_configuration(configuration)
        self.settle()

    def set_servers(self, servers, at=None, cold=None):
        """`at`: id to port, if it is not the default port; `cold`: id to the rest of its slow start in ms."""
        rows = []
        for server_id, (service, zone, *state) in servers.items():
            port = (at or {}).get(server_id, 9000 + int(server_id[1:]))
            self.server_by_address[f"10.9.0.{server_id[1:]}", port] = server_id
            rows.append(
                Endpoint(
                    server_id,
                    service,
                    f"10.9.0.{server_id[1:]}",
                    port,
                    zone,
                    4,
                    state[0] if state else "ready",
                    self.clock() + cold[server_id] * MS if cold and server_id in cold else 0,
                )
            )
        self.list_version += 1
        self.request_proxy.apply_server_list(EndpointList(self.list_version, tuple(rows)))
        self.settle()

    # ---- clients

    def client(self, name="c"):
        pipe = self.pipes.get(name)
        if pipe is None or pipe.closed:
            pipe = self.pipes[name] = FakeConnection(self, name, None)
            pipe.protocol = self.make()
            pipe.protocol.connection_made(pipe)
        return pipe

    def send_request(
        self,
        path="/read/x",
        try_id="t1",
        client="c",
        key="ann-key",
        method=None,
        body=b"",
        host="host.example",
        more="",
    ):
        """Sends one request; `more`: further header lines."""
        for service_pool in self.request_proxy.service_pools.values() if self.refill_retry_budget else ():
            # Only a test that clears `refill_retry_budget` tests the retry budget.
            service_pool.driver.node.saved_retries = service_pool.driver.node.max_saved_retries
        changing = path.startswith(("/write", "/put"))
        method = method or ("POST" if changing else "GET")
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        head += f"Try-Id: {try_id}\r\n" if try_id else ""
        head += f"Authorization: Bearer {key}\r\n" if key else ""
        head += more + (f"Content-Length: {len(body)}\r\n" if body else "")
        self.client(client).feed(head.encode() + b"\r\n" + body)

    def response(self, client="c"):
        """The response that the client received since the last call, or None."""
        data = self.pipes[client].take()
        return ClientResponse(data) if data else None

    # ---- servers

    def pending(self):
        """Server ids with an unanswered request, each with its newest such connection."""
        return {pipe.name: pipe for pipe in self.pending_connections()}

    def pending_connections(self):
        return [pipe for pipe in self.opened if pipe.protocol and not pipe.closed and pipe.data]

    def pending_server(self):
        """The id of the only server with an unanswered request."""
        ((name, pipe),) = self.pending().items()
        return name

    def forwarded(self, name=None):
        """The request that the server received: request line, header fields as a dict, and body."""
        request = self.pending()[name or self.pending_server()].data
        head, _, body = request.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:])
        assert len(fields) == len(lines) - 1, "a header field is repeated"
        return lines[0], fields, body

    def respond(self, name=None, status=200, body=b"yes", try_id="t1", seal="stamp", more="", then=b""):
        """Sends a server's response. `try_id` or `seal` None omits the field; `then`: bytes after the response."""
        head = f"HTTP/1.1 {status} Said\r\nContent-Length: {len(body)}\r\n{more}"
        head += f"Try-Id: {try_id}\r\n" if try_id else ""
        head += f"Server-Seal: {seal}\r\n" if seal else ""
        self.respond_raw(head.encode() + b"\r\n" + body + then, name)

    def respond_raw(self, data, name=None):
        pipe = self.pending()[name or self.pending_server()]
        pipe.take()
        pipe.feed(data)

    def respond_to(self, try_id):
        """Sends a response from the server that has the request with this id."""
        pipe = next(pipe for pipe in self.pending_connections() if b"Try-Id: %s\r\n" % try_id.encode() in pipe.data)
        pipe.take()
        pipe.feed(f"HTTP/1.1 200 OK\r\nTry-Id: {try_id}\r\nServer-Seal: x\r\nContent-Length: 2\r\n\r\nok")

    def reject(self, name=None, status=503, try_id="t1"):
        self.respond(name, status, b"", try_id, None, "Not-Run: 1\r\n")


def reset(proxy):
    """Resets the connection that the last request was sent on."""
    proxy.pipes[proxy.pending_server()].cut()
