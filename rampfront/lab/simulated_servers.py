"""Stand-in servers of the system, as its protocol describes them, on loopback sockets.

A `SimulatedServer` is one life of one server: slots and a queue (`ServerModel`), cold spells, a deadline kept, answers sealed, and
answers spoilt as `choose_fault` says. It must never lose count of what ran: `runs` has every request that was worked on.
`Fleet` starts and ends boxes and keeps the platform's list by them.
"""

import hashlib
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

from .http import REASONS, Listener, Request, Side, Worker, reset
from .server_model import GONE, MS, SEC, WORKING, Job, ServerModel

REASONS.update({421: "Misdirected Request", 504: "Gateway Timeout"})
NOT_RUN = b"Not-Run: 1\r\n"
RESPONSE_FAULTS = frozenset(("lost", "reset", "garbled", "cut", "extra", "late", "chunked", "error", "close"))


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """How long a request is worked on; words of `server_model.sampler`."""

    mean_ms: float = 5.0
    kind: str = "constant"
    cv: float = 1.0


@dataclass(frozen=True, slots=True)
class ServerProfile:
    """What the boxes of a service are like. `warm_s` and `cold_share` are of a start: it is slow for some seconds."""

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
    cold_per_s: float = 2.0  # while cold; it falls over at three times that and five
    body_bytes: int = 64


@dataclass(frozen=True, slots=True)
class ExecutedRequest:
    at: int
    try_id: str
    method: str
    url: str
    customer: str
    body: bytes  # a digest


def sealed(uid, try_id, body):
    return hashlib.blake2b(b"%s %s %s" % (uid.encode(), try_id, body), digest_size=8).hexdigest().encode()


def expected_response(uid, profile, try_id, body):
    """What a server says to a request that ran: (body, seal)."""
    said = (sealed(uid, try_id, body) * (profile.body_bytes // 16 + 1))[: profile.body_bytes]
    return said, sealed(uid, try_id, said)


class SimulatedServer(Worker):
    """`choose_fault(box, request)` gives one of `RESPONSE_FAULTS` or None for each request that ran; a deque of such words does too."""

    def __init__(self, loop, clock, rng, uid, profile, zone, host="127.0.0.1", port=0, cold=0, choose_fault=None):
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
        self.listener = Listener(loop, lambda: Side(self), host, port)
        self.runs = []
        self.arrivals = None  # a list, where a judge wants (at, try id) of all that came but what got 421
        self.draining = self.is_up = False
        self.lately, self.max_cold_arrivals = (
            deque(),
            0,
        )  # arrivals of the last second while cold, and the most there were
        self.owed = {}  # side -> an answer that is to come in the place of the next one

    async def open(self):
        await self.listener.open()
        self.is_up = True
        return self

    @property
    def address(self):
        return self.listener.address

    def crash(self):
        """All connections are reset, and nothing of it is left."""
        self.is_up = False
        self.counts["crashes"] += 1
        self.listener.close()
        self.server_model.crash(self.clock())
        self.cut()

    def begin_cold_spell(self, span):
        """Cold again, in the midst of work."""
        self.cold_until = self.clock() + span

    # ---- connections (`Side` asks for these)

    def refuses(self) -> bool:
        """Whether a connection that comes now is reset, which is counted."""
        refused = not self.is_up or len(self.sides) > self.profile.max_conns
        if refused:
            self.counts["reset"] += 1
        return refused

    def parted(self, side: Side, busy: Request | None) -> None:
        """A connection ended."""
        super().parted(side, busy)
        self.owed.pop(side, None)

    def close_idle_connections(self):
        """Idle connections are closed; call it now and then where that matters."""
        now = self.clock()
        for side in [s for s in self.sides if s.busy is None and now - s.since > self.profile.idle_s * SEC]:
            side.transport.close()

    # ---- requests

    def handle(self, request):
        self.counts["arrivals"] += 1
        now, fields, side = self.clock(), request.fields, request.side
        wanted, try_id = fields.get(b"wanted-server"), fields.get(b"try-id")
        if wanted is not None and wanted != self.uid.encode():
            self.counts["misdirected"] += 1
            return self.say(side, 421, b"", b"Server-Id: %s\r\n" % self.uid.encode(), try_id)
        health = request.method == b"GET" and request.path == self.profile.health
        if self.arrivals is not None and not health and try_id:
            self.arrivals.append((now, try_id.decode("latin-1")))
        if self.cold_until > now:
            self.lately.append(now)
            while self.lately[0] <= now - SEC:
                self.lately.popleft()
            self.max_cold_arrivals = max(self.max_cold_arrivals, len(self.lately))
            if len(self.lately) > 3 * self.profile.cold_per_s + 5:
                return self.crash()
        if not health and not try_id:
            return self.say(side, 400, b"", NOT_RUN)
        left = fields.get(b"time-left-ms", b"")
        job = side.mark = Job((request, health, now + int(left) * MS if left.isdigit() else 0))
        begun = self.server_model.arrive(job, now)
        if begun is None:
            self.counts["turned_away"] += 1
            return self.say(side, 503, b"", NOT_RUN, try_id)
        self.work(begun, now)

    def work(self, jobs, now):
        while jobs:
            job, jobs = jobs[0], []
            request, health, due = job.about
            if due and due <= now:  # it waited too long: it has not run
                self.counts["expired"] += 1
                jobs = self.server_model.finish(job, now)
                self.say(request.side, 503, b"", NOT_RUN, request.fields.get(b"try-id"))
            elif health:
                jobs = self.server_model.finish(job, now)
                self.health(request, now)
            else:
                told = [
                    text.decode("latin-1")
                    for text in (
                        request.fields[b"try-id"],
                        request.method,
                        request.side.url,
                        request.fields.get(b"customer", b""),
                    )
                ]
                self.runs.append(ExecutedRequest(now, *told, hashlib.blake2b(request.body, digest_size=8).digest()))
                late = bool(due) and job.due > due
                end = min(job.due, due) if due else job.due
                self.loop.call_later(max(0, end - now) / SEC, self.finish, job, late)

    def health(self, request, now):
        self.counts["probes"] += 1
        cold = b"Cold-Ms: %d\r\n" % max(0, (self.cold_until - now) // MS) if self.cold_until else b""
        self.say(request.side, 503 if self.draining else 200, b"", b"Server-Id: %s\r\n%s" % (self.uid.encode(), cold))

    def finish(self, job, late):
        if job.state != WORKING:
            return
        now = self.clock()
        following = self.server_model.finish(job, now)
        request = job.about[0]
        if request.side.busy is request:  # else its caller has gone
            request.side.mark = None
            self.settle(request, late)
        job.state = GONE
        self.work(following, now)

    def settle(self, request, late):
        side, try_id = request.side, request.fields[b"try-id"]
        body, stamp = expected_response(self.uid, self.profile, try_id, request.body)
        how = None
        if self.choose_fault is not None:
            how = (
                self.choose_fault(self, request)
                if callable(self.choose_fault)
                else self.choose_fault.popleft()
                if self.choose_fault
                else None
            )
        if how:
            self.counts[how] += 1
        seal = b"Server-Seal: %s\r\n" % stamp
        if how == "lost":  # it ran, and nobody hears of it
            return None
        if how == "reset":
            return reset(side.transport)
        if how == "garbled":
            side.busy = None
            return side.transport.write(b"\x00\x01 no answer \r\n\r\n" * 4)
        if how == "cut":
            side.transport.write(
                b"HTTP/1.1 200 OK\r\nTry-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s"
                % (try_id, seal, len(body), body[: len(body) // 2])
            )
            return side.transport.close()
        if how == "chunked":
            side.busy = None
            half = len(body) // 2
            return side.transport.write(
                b"HTTP/1.1 200 OK\r\nTry-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s"
                b"\r\n%x\r\n%s\r\n0\r\n\r\n" % (try_id, seal, half, body[:half], len(body) - half, body[half:])
            )
        if how == "error" or late:
            return self.say(side, 504 if late else 500, b"", seal, try_id)
        self.say(side, 200, body, seal, try_id, last=how == "close")
        if how == "extra":  # bytes behind a whole answer belong to no request
            self.say(side, 200, body, seal, b"0000000000000000")
        elif how == "late":  # once more, in the place where the next answer should come
            self.owed[side] = (200, body, seal, try_id)

    def say(self, side, status, body, more=b"", try_id=None, last=False):
        if (before := self.owed.pop(side, None)) is not None:
            self.say(side, *before)
        self.counts[status] += 1
        if try_id:
            more += b"Try-Id: %s\r\n" % try_id
        if self.profile.tells_load:
            more += b"Server-Load: %d,%d,%d\r\n" % (
                self.server_model.working,
                len(self.server_model.queue),
                self.profile.slots,
            )
        last = last or self.draining
        more += b"Connection: close\r\n" if last else b"Keep-Alive: timeout=%d\r\n" % self.profile.idle_s
        side.answer(status, body, more)
        if last and not side.transport.is_closing():
            side.transport.close()


class Fleet:
    """Boxes by id, and the platform's list kept by them. Drawn things come from one seed."""

    def __init__(self, loop, clock, platform, seed=0, host="127.0.0.1"):
        self.loop, self.clock, self.platform, self.host = loop, clock, platform, host
        self.rng, self.servers, self.number = Random(seed), {}, 0

    async def start(self, profile, zone, port=0, cold=0, choose_fault=None):
        """A new life with a new id; `port`: at the address of one that has ended."""
        self.number += 1
        uid = f"i-{self.number:08x}"
        rng = Random(self.rng.getrandbits(64))
        box = await SimulatedServer(
            self.loop, self.clock, rng, uid, profile, zone, self.host, port, cold, choose_fault
        ).open()
        self.servers[uid] = box
        self.platform.put(uid, profile.service, box.address, zone, profile.slots, cold=cold)
        return box

    def drain(self, uid):
        """It is to end: it serves on, and its answers close their connections."""
        self.servers[uid].draining = True
        self.platform.set_state(uid, "emptying")

    def end(self, uid, listed=False):
        """`listed`: it has crashed, and stands on the list for now."""
        self.servers[uid].crash()
        if not listed:
            self.platform.remove(uid)

    def close(self):
        for box in self.servers.values():
            box.crash()

    def executed_more_than_once(self):
        """Try ids that ran more than once, over all lives."""
        ran = Counter(run.try_id for box in self.servers.values() for run in box.runs)
        return {try_id: count for try_id, count in ran.items() if count > 1}
