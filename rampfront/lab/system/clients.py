"""The clients of the system and its operator, as PROTOCOL.md has them: the directory, the choice of fronts, the retry rules.

Each client keeps its own answer of the directory and its own connections. Sending is open loop: a request starts at its
moment whatever is under way. What came of every try is kept for the judge. One departure: a client here cannot see whether
a node has read a try, so it gives up a repeatable one that has no answer after a second or a third of the time left,
whichever is more.
"""

import asyncio
import json
import re
import time
from random import Random

import numpy as np

from ...net.http_client import HttpClientConnection, HttpRequest, send_request
from ...operator_cli.control_answers import Rejection
from ...operator_cli.control_client import ControlClient
from ...settings.scalars import parse_address
from ..client import BROKEN, DECLINED, LOST, ROW, SETTLED, VOIDED, Pacer
from ..schedule import retry_wait
from . import plan as plans
from .judge import Ordered, Try

MS, SEC = 10**6, 10**9
FINAL = frozenset((400, 401, 404, 413, 431))  # never tried again
PROMISES = frozenset((408, 421, 429, 503))
CONNECT_S = 1.0
ASKED = 3  # nodes that a client asks the directory of
FRONTS = 64
SPAN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
KEEPS = re.compile(rb"timeout\s*=\s*(\d{1,5})")
MOST = 8 << 20


def seconds(text):
    """A time as bodies word it, or None."""
    found = SPAN.fullmatch(text) if isinstance(text, str) else None
    return float(found[1]) / (1000 if found[2] == "ms" else 1) if found else None


class Client:
    """One client of a zone."""

    def __init__(self, world, zone, number):
        self.world, self.zone, self.draw = world, zone, Random(f"{world.seed}/{zone}/{number}")
        self.fronts, self.until, self.asking = [], 0, None
        self.holds = 3 if number % 4 == 3 else 1  # some hold an answer three times as long
        self.failed, self.kept = set(), {}  # kept: front to idle connections, each with when it ends

    async def choose(self):
        """A front's address, or None where none is known."""
        if time.monotonic_ns() >= self.until or not self.fronts:
            if self.asking is None:
                self.asking = asyncio.ensure_future(self.look())
                self.asking.add_done_callback(lambda _: setattr(self, "asking", None))
            await asyncio.shield(self.asking)
        some = [front for front in self.fronts if front not in self.failed] or self.fronts
        return self.draw.choice(some) if some else None

    async def look(self):
        """Asks the directory; a former answer stands where no new one comes."""
        zone, region = self.zone, self.world.plan.zones[self.zone]
        near = sorted(
            self.world.nodes,
            key=lambda node: (node.zone != zone, self.world.plan.zones[node.zone] != region, self.draw.random()),
        )
        for node in near[:ASKED]:
            lookup = HttpRequest("GET", f"/api/lookup?Name={plans.HOST}&Region={region}&Zone={zone}")
            found = await send_request(self.world.loop, parse_address(node.directory), lookup)
            try:
                said = json.loads(found.unwrap().body) if found.is_ok() and found.ok_value.status == 200 else {}
                ttl = min(seconds(said.get("Ttl")) or 0, self.world.terms.ttl_max / SEC)
                fronts = [parse_address(text) for text in said["Addresses"][:FRONTS]]
            except (ValueError, KeyError, TypeError, AttributeError):
                fronts, ttl = [], 0
            if fronts and ttl:
                for gone in set(self.kept) - set(fronts):
                    for line, _ in self.kept.pop(gone):
                        line.close("closed")
                self.fronts, self.until = fronts, time.monotonic_ns() + int(ttl * SEC) * self.holds
                self.failed.clear()
                return
            self.world.counts["lookups_failed"] += 1
        self.until = time.monotonic_ns() + SEC // 2

    def idle(self, front):
        """A kept connection that still stands, or None."""
        lines = self.kept.get(front, [])
        while lines:
            line, until = lines.pop()
            if not line.closed and time.monotonic_ns() < until:
                return line
            if not line.closed:
                line.close("closed")
        return None

    def keep(self, front, line, reply):
        said = KEEPS.search(reply.headers.get(b"keep-alive", b""))
        span = int(said[1]) * SEC if said else 10 * SEC
        self.kept.setdefault(front, []).append((line, time.monotonic_ns() + span - SEC // 2))


class Fixed(Client):
    """A client that knows where to go: for measurements."""

    def __init__(self, world, fronts):
        super().__init__(world, next(iter(world.plan.zones)), 0)
        self.fronts, self.until = fronts, 1 << 62


class Crowd:
    """All clients of a run. `world` has `loop`, `plan`, `terms`, `seed`, `nodes` and `counts`; `due`: its arrivals;
    `start`: monotonic ns. `tries`: what came of each."""

    def __init__(self, world, due, start, clients=None):
        self.world, self.loop, self.due, self.start = world, world.loop, due, start
        self.draw, self.mark = Random(f"{world.seed}/crowd"), f"{self.clock() & 0xFFFFFFFFFF:x}"
        zones = list(world.plan.zones)
        self.clients = clients or [[Client(world, zone, k) for k in range(world.plan.clients)] for zone in zones]
        self.routes = {route.name: (index, route) for index, route in enumerate(world.plan.routes)}
        self.rows, self.tries, self.tasks = np.zeros(len(due.at), ROW), [], set()
        self.at, self.next = due.at.tolist(), 0
        self.pacer = Pacer(self.loop, due.at, start, self.fire)

    @staticmethod
    def clock():
        return time.monotonic_ns()

    def fire(self):
        now = self.clock() - self.start
        while self.next < len(self.at) and self.at[self.next] <= now:
            task = self.loop.create_task(self.request(self.next))
            self.next += 1
            self.tasks.add(task)
            task.add_done_callback(self.ended)

    def ended(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.world.counts["defects"] += 1
            self.world.defect = task.exception()

    async def over(self):
        """Returns once all that was begun has ended."""
        while self.tasks or self.next < len(self.at):
            await asyncio.sleep(0.05)

    async def request(self, number):
        plan, due, row = self.world.plan, self.due, self.rows[number]
        stream = plan.streams[due.stream[number]]
        index, route = self.routes[stream.route]
        some = self.clients[due.zone[number] % len(self.clients)]
        client, at = some[due.client[number] % len(some)], self.start + self.at[number]
        tenant = plan.tenants[due.tenant[number]].name if due.tenant[number] >= 0 else ""
        key = plans.keys(tenant)[due.key[number]] if tenant else ""
        body = b"%d." % number * (stream.body_bytes // 8 + 1) if stream.body_bytes else b""
        impatient = self.draw.random() < stream.impatient
        deadline, tries, one = at + round(stream.deadline_ms * MS), 0, None
        row["at"], row["lag"], row["product"], row["account"] = (
            self.at[number],
            self.clock() - at,
            index,
            due.tenant[number],
        )
        row["stream"] = due.stream[number]
        while True:
            tries += 1
            one = Try(
                f"{self.mark}{number:x}.{tries}",
                number,
                self.clock(),
                plans.HOST,
                f"/{route.name}/{number}",
                "GET" if route.kind == "read_only" else "POST",
                route.kind,
                route.name,
                tenant,
                key,
                body if route.kind != "read_only" else b"",
            )
            self.tries.append(one)
            advised, unread = await self.attempt(one, client, deadline, stream, tries == 1)
            now = one.done = self.clock()
            if 200 <= one.status < 300 or one.status in FINAL:
                break
            if route.kind != "read_only" and one.status not in PROMISES and not unread:
                break
            left = (deadline - now) / SEC
            if impatient:
                wait = 0.0 if tries < 2 * (stream.retries.most + 1) else None
            else:
                advised = None if advised is None else min(advised, left / 3)
                wait = retry_wait(stream.retries, tries, advised, self.draw.random())
            if wait is None or wait + 0.02 >= left:
                break
            await asyncio.sleep(wait)
        row["took"], row["tries"], row["first"] = one.done - at, tries, one.status == 200 and tries == 1
        row["advised"], row["node"] = -1.0 if advised is None else advised * 1000, 0
        row["outcome"] = (
            SETTLED
            if 200 <= one.status < 300
            else DECLINED
            if one.status in PROMISES | FINAL
            else VOIDED
            if one.status
            else BROKEN
            if one.why == "the connection ended"
            else LOST
        )

    async def attempt(self, one, client, deadline, stream, first):
        """One try: (what Retry-After says in s or None, whether no node can have read it)."""
        left = (deadline - self.clock()) / SEC
        wait = min(left, max(1.0, left / 3)) if one.kind == "read_only" else left
        front, sent, line = None, False, None
        try:
            async with asyncio.timeout(max(0.01, wait)):
                front = await client.choose()
                if front is None:
                    one.why = "no front is known"
                    return None, True
                one.node = front[0]
                if first and self.draw.random() < stream.kept:
                    line = client.idle(front)
                if line is None:
                    self.world.counts["connects"] += 1
                    async with asyncio.timeout(CONNECT_S):
                        _, line = await self.loop.create_connection(HttpClientConnection, *front)
                left = max(1, (deadline - self.clock()) // MS)
                sent = True
                result = await line.send(self.text(one, left, stream), MOST)
        except TimeoutError:
            one.why = "no answer in time" if sent else "no connection in time"
            client.failed.add(front)
            if line is not None:
                line.abandon()
            return None, not sent
        except OSError as trouble:
            one.why = f"no connection: {trouble.strerror or trouble}"
            client.failed.add(front)
            return None, True
        if result.is_err():
            one.why = str(result.err_value)
            client.failed.add(front)
            return None, False
        reply = result.ok_value
        one.status, one.answer = reply.status, reply.body
        one.tag, one.seal = reply.headers.get(b"try-id", b""), reply.headers.get(b"server-seal", b"")
        if b"content-encoding" in reply.headers:
            one.why = "an encoded body"
        if not line.closed:
            client.keep(front, line, reply)
        try:
            return float(reply.headers[b"retry-after"]), False
        except (KeyError, ValueError):
            return None, False

    def text(self, one, left, stream):
        head = (
            f"{one.method} {one.path} HTTP/1.1\r\nHost: {one.host}\r\nTry-Id: {one.id}\r\nTime-Left-Ms: {left}\r\n"
            + (f"Authorization: Bearer {one.key}\r\n" if one.key else "")
        ).encode()
        if one.method == "GET":
            return head + b"\r\n"
        if one.body and self.draw.random() < stream.chunked:
            half = len(one.body) // 2
            parts = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (one.body[:half], one.body[half:]) if part)
            return head + b"Transfer-Encoding: chunked\r\n\r\n" + parts + b"0\r\n\r\n"
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(one.body), one.body)


class Operator:
    """Gives the orders of a schedule. `given`: what became of each, for the judge."""

    def __init__(self, world):
        self.world, self.given = world, []

    async def give(self, step):
        order = Ordered(step.call, time.monotonic_ns(), step.revision, step.body, step.zone, step.valid)
        self.given.append(order)
        turn = step.node % len(self.world.nodes)
        places = [parse_address(node.control) for node in self.world.nodes[turn:] + self.world.nodes[:turn]]
        query = {"of": step.zone} if step.zone else {}
        found = await ControlClient(places, self.world.terms.ack_within / SEC).call(step.call, step.body, query)
        if found.is_ok():
            order.acked = time.monotonic_ns()
        else:
            order.refused = str(found.err_value)
            if step.valid and isinstance(found.err_value, Rejection):
                self.world.counts["orders_refused"] += 1
        return found

    async def read_back(self):
        places = [parse_address(node.control) for node in self.world.nodes]
        found = await ControlClient(places, self.world.terms.ack_within / SEC).call("config.read")
        return found.ok_value.body if found.is_ok() else None
