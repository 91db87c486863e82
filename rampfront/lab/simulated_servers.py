"""Simulated app servers on loopback sockets, which follow the protocol between the system and its servers.

A `SimulatedServer` is one server process from start to end: slots and a queue (`ServerModel`), cold spells, request
deadlines, sealed responses, and response faults as `choose_fault` selects them. Its list `runs` is complete: it holds
every request that was executed. `Fleet` starts and ends servers and keeps the platform's list up to date with them.
"""

import hashlib
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from .http import REASONS, AppServerBase, Connection, Listener, Request, reset
from .server_model import GONE, MS, SEC, WORKING, Job, ServerModel

REASONS.update({421: "Misdirected Request", 504: "Gateway Timeout"})
NOT_RUN = b"Not-Run: 1\r\n"
RESPONSE_FAULTS = frozenset(("lost", "reset", "garbled", "cut", "extra", "late", "chunked", "error", "close"))


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """The distribution of service times; the terms are those of `server_model.sampler`."""

    mean_ms: float = 5.0
    kind: str = "constant"
    cv: float = 1.0


@dataclass(frozen=True, slots=True)
class ServerProfile:
    """The properties of a service's servers. During `warm_s` after its start a server works more slowly, from
    `cold_share` of its speed upwards."""

    service: str
    slots: int = 2
    queue: int = 4
    latency: ServiceTime = field(default_factory=ServiceTime)
    warm_s: float = 0.0
    cold_share: float = 0.25
    max_conns: int = 130
    idle_s: float = 15.0
    tells_load: bool = True
    health: str = "/health"
    cold_per_s: float = 2.0  # while cold; it crashes at more than three times that plus five
    body_bytes: int = 64


@dataclass(frozen=True, slots=True)
class ExecutedRequest:
    """A request that a server executed. `at`: time in ns."""

    at: int
    try_id: str
    method: str
    url: str
    customer: str
    body: bytes  # a digest


class Answer(NamedTuple):
    """An answer of a server. `extra_headers`: complete header lines; `close`: the connection is closed after it."""

    status: int
    body: bytes = b""
    extra_headers: bytes = b""
    try_id: bytes | None = None
    close: bool = False


def compute_seal(uid, try_id, body):
    """Returns the seal of a body: a digest of the server, the try and the body, in hex."""
    return hashlib.blake2b(b"%s %s %s" % (uid.encode(), try_id, body), digest_size=8).hexdigest().encode()


def expected_response(uid, profile, try_id, body):
    """Returns `(body, seal)` of a server's response to a request that it executed."""
    response = (compute_seal(uid, try_id, body) * (profile.body_bytes // 16 + 1))[: profile.body_bytes]
    return response, compute_seal(uid, try_id, response)


class SimulatedServer(AppServerBase):
    """One server process from start to end, in which it has one `uid`."""

    def __init__(self, loop, clock, rng, uid, profile, zone, host="127.0.0.1", port=0, cold=0, choose_fault=None):
        """`cold`: ns for which it is cold at first; `choose_fault`: a function of (server, request) that returns one of
        `RESPONSE_FAULTS` or None for each executed request, or a deque of such values."""
        self.loop, self.clock, self.uid, self.profile, self.zone, self.choose_fault = (
            loop,
            clock,
            uid,
            profile,
            zone,
            choose_fault,
        )
        super().__init__(ServerModel(profile, rng, clock(), warm=not cold), Counter())
        self.cold_until = clock() + cold if cold else 0
        self.listener = Listener(loop, lambda: Connection(self), host, port)
        self.runs = []
        self.arrivals = None  # optionally a list for (time, try ID) of all requests except those answered with 421
        self.draining = self.is_up = False
        # Arrivals during the last second of a cold spell, and the largest number of them so far.
        self.recent_arrivals, self.max_cold_arrivals = deque(), 0
        self.delayed_responses = {}  # connection -> a response that is sent before the next one

    async def open(self):
        """Starts to listen and returns the server."""
        await self.listener.open()
        self.is_up = True
        return self

    @property
    def address(self):
        """The address as `host:port`."""
        return self.listener.address

    def crash(self):
        """Stops listening, resets all connections and drops all jobs."""
        self.is_up = False
        self.counts["crashes"] += 1
        self.listener.close()
        self.server_model.crash(self.clock())
        self.reset_connections()

    def begin_cold_spell(self, span):
        """Makes a running server cold for `span` ns."""
        self.cold_until = self.clock() + span

    # ---- connections (called by `Connection`)

    def refuses_connections(self) -> bool:
        """Returns whether a new connection is reset at once, and counts it in that case."""
        refused = not self.is_up or len(self.connections) > self.profile.max_conns
        if refused:
            self.counts["reset"] += 1
        return refused

    def on_connection_closed(self, connection: Connection, pending_request: Request | None) -> None:
        """Removes a connection that ended, and the response that was delayed on it."""
        super().on_connection_closed(connection, pending_request)
        self.delayed_responses.pop(connection, None)

    def close_idle_connections(self):
        """Closes the connections that have been idle for `idle_s`. Callers that need this call it periodically."""
        now = self.clock()
        for connection in [
            c
            for c in self.connections
            if c.pending_request is None and now - c.last_active_at > self.profile.idle_s * SEC
        ]:
            connection.transport.close()

    # ---- requests

    def handle(self, request):
        """Handles a request: rejects, queues or starts it. A server that gets far more requests than it can take while
        cold crashes."""
        self.counts["arrivals"] += 1
        now, fields, connection = self.clock(), request.fields, request.connection
        wanted_server, try_id = fields.get(b"wanted-server"), fields.get(b"try-id")
        if wanted_server is not None and wanted_server != self.uid.encode():
            self.counts["misdirected"] += 1
            return self.respond(connection, Answer(421, b"", b"Server-Id: %s\r\n" % self.uid.encode(), try_id))
        health = request.method == b"GET" and request.path == self.profile.health
        if self.arrivals is not None and not health and try_id:
            self.arrivals.append((now, try_id.decode("latin-1")))
        if self.cold_until > now:
            self.recent_arrivals.append(now)
            while self.recent_arrivals[0] <= now - SEC:
                self.recent_arrivals.popleft()
            self.max_cold_arrivals = max(self.max_cold_arrivals, len(self.recent_arrivals))
            if len(self.recent_arrivals) > 3 * self.profile.cold_per_s + 5:
                return self.crash()
        if not health and not try_id:
            return self.respond(connection, Answer(400, b"", NOT_RUN))
        time_left = fields.get(b"time-left-ms", b"")
        job = connection.job = Job((request, health, now + int(time_left) * MS if time_left.isdigit() else 0))
        started = self.server_model.arrive(job, now)
        if started is None:
            self.counts["turned_away"] += 1
            return self.respond(connection, Answer(503, b"", NOT_RUN, try_id))
        self.start_jobs(started, now)

    def start_jobs(self, jobs, now):
        """Executes jobs that the model has started. A job whose deadline passed while it was queued is not executed."""
        while jobs:
            job, jobs = jobs[0], []
            request, health, deadline = job.payload
            if deadline and deadline <= now:  # its deadline passed in the queue: it is not executed
                self.counts["expired"] += 1
                jobs = self.server_model.finish(job, now)
                self.respond(request.connection, Answer(503, b"", NOT_RUN, request.fields.get(b"try-id")))
            elif health:
                jobs = self.server_model.finish(job, now)
                self.health(request, now)
            else:
                labels = [
                    text.decode("latin-1")
                    for text in (
                        request.fields[b"try-id"],
                        request.method,
                        request.connection.url,
                        request.fields.get(b"customer", b""),
                    )
                ]
                self.runs.append(ExecutedRequest(now, *labels, hashlib.blake2b(request.body, digest_size=8).digest()))
                deadline_exceeded = bool(deadline) and job.completes_at > deadline
                end = min(job.completes_at, deadline) if deadline else job.completes_at
                self.loop.call_later(max(0, end - now) / SEC, self.finish_job, job, deadline_exceeded)

    def health(self, request, now):
        """Responds to a health check."""
        self.counts["probes"] += 1
        cold = b"Cold-Ms: %d\r\n" % max(0, (self.cold_until - now) // MS) if self.cold_until else b""
        status = 503 if self.draining else 200
        self.respond(request.connection, Answer(status, b"", b"Server-Id: %s\r\n%s" % (self.uid.encode(), cold)))

    def finish_job(self, job, deadline_exceeded):
        """Completes a job and starts the next one."""
        if job.state != WORKING:
            return
        now = self.clock()
        started = self.server_model.finish(job, now)
        request = job.payload[0]
        if request.connection.pending_request is request:  # otherwise the client has disconnected
            request.connection.job = None
            self.send_result(request, deadline_exceeded)
        job.state = GONE
        self.start_jobs(started, now)

    def send_result(self, request, deadline_exceeded):
        """Sends the response to an executed request, with the fault that was chosen for it."""
        connection, try_id = request.connection, request.fields[b"try-id"]
        body, seal_value = expected_response(self.uid, self.profile, try_id, request.body)
        fault = None
        if self.choose_fault is not None:
            fault = (
                self.choose_fault(self, request)
                if callable(self.choose_fault)
                else self.choose_fault.popleft()
                if self.choose_fault
                else None
            )
        if fault:
            self.counts[fault] += 1
        seal = b"Server-Seal: %s\r\n" % seal_value
        if fault == "lost":  # executed, but never answered
            return None
        if fault == "reset":
            return reset(connection.transport)
        if fault == "garbled":
            connection.pending_request = None
            return connection.transport.write(b"\x00\x01 no answer \r\n\r\n" * 4)
        if fault == "cut":
            connection.transport.write(
                b"HTTP/1.1 200 OK\r\nTry-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s"
                % (try_id, seal, len(body), body[: len(body) // 2])
            )
            return connection.transport.close()
        if fault == "chunked":
            connection.pending_request = None
            half = len(body) // 2
            return connection.transport.write(
                b"HTTP/1.1 200 OK\r\nTry-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s"
                b"\r\n%x\r\n%s\r\n0\r\n\r\n" % (try_id, seal, half, body[:half], len(body) - half, body[half:])
            )
        if fault == "error" or deadline_exceeded:
            return self.respond(connection, Answer(504 if deadline_exceeded else 500, b"", seal, try_id))
        self.respond(connection, Answer(200, body, seal, try_id, fault == "close"))
        if fault == "extra":  # surplus bytes after a complete response
            self.respond(connection, Answer(200, body, seal, b"0000000000000000"))
        elif fault == "late":  # sent again in place of the response to the next request
            self.delayed_responses[connection] = Answer(200, body, seal, try_id)

    def respond(self, connection: Connection, answer: Answer) -> None:
        """Sends an answer with the headers that every one has, after the delayed one of this connection, if any."""
        if (delayed := self.delayed_responses.pop(connection, None)) is not None:
            self.respond(connection, delayed)
        self.counts[answer.status] += 1
        extra_headers = answer.extra_headers
        if answer.try_id:
            extra_headers += b"Try-Id: %s\r\n" % answer.try_id
        if self.profile.tells_load:
            extra_headers += b"Server-Load: %d,%d,%d\r\n" % (
                self.server_model.working,
                len(self.server_model.queue),
                self.profile.slots,
            )
        close = answer.close or self.draining
        extra_headers += b"Connection: close\r\n" if close else b"Keep-Alive: timeout=%d\r\n" % self.profile.idle_s
        connection.respond(answer.status, answer.body, extra_headers)
        if close and not connection.transport.is_closing():
            connection.transport.close()


class Fleet:
    """Servers by `uid`, and the platform's list of them. All random choices follow from one seed."""

    def __init__(self, loop, clock, platform, seed=0, host="127.0.0.1", make_server=SimulatedServer):
        """`platform`: gets the list of the servers; `make_server`: has the parameters of `SimulatedServer`."""
        self.loop, self.clock, self.platform, self.host, self.make_server = loop, clock, platform, host, make_server
        self.rng, self.servers, self.last_number = Random(seed), {}, 0

    async def start(self, profile, zone, port=0, cold=0, choose_fault=None):
        """Starts a server with a new `uid` and returns it. `port`: not 0 to reuse the address of a server that has
        ended."""
        self.last_number += 1
        uid = f"i-{self.last_number:08x}"
        rng = Random(self.rng.getrandbits(64))
        server = await self.make_server(
            self.loop, self.clock, rng, uid, profile, zone, self.host, port, cold, choose_fault
        ).open()
        self.servers[uid] = server
        self.platform.put(uid, profile.service, server.address, zone, profile.slots, cold=cold)
        return server

    def drain(self, uid):
        """Announces the end of a server: it continues to serve, and closes its connections with its responses."""
        self.servers[uid].draining = True
        self.platform.set_state(uid, "emptying")

    def end(self, uid, listed=False):
        """Ends a server. `listed`: it crashed and stays on the platform's list for now."""
        self.servers[uid].crash()
        if not listed:
            self.platform.remove(uid)

    def close(self):
        """Ends all servers."""
        for server in self.servers.values():
            server.crash()

    def executed_more_than_once(self):
        """Returns the try IDs that were executed more than once by any of the servers, with their number of
        executions."""
        ran = Counter(run.try_id for server in self.servers.values() for run in server.runs)
        return {try_id: count for try_id, count in ran.items() if count > 1}
