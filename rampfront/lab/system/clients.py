"""The emulated clients and the emulated operator of the system.

They follow PROTOCOL.md: the directory, the choice of fronts, the retry rules. Each client keeps its own answer of the
directory and its own connections. Sending is open loop: a request starts at its scheduled time, whatever is in
progress. The outcome of each try is recorded for the judge.

There is one deviation from the protocol. A client here cannot see whether a node has read a try, so it abandons a
repeatable try that has no answer after a second or a third of the time left, whichever is longer.
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
from .judge import SentOrder, Try

MS, SEC = 10**6, 10**9
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))  # a client does not try again after these
UNEXECUTED_STATUSES = frozenset((408, 421, 429, 503))  # they promise that no server executed the try
CONNECT_TIMEOUT_S = 1.0
MAX_DIRECTORY_NODES = 3  # nodes that a client queries for one directory lookup
MAX_FRONTS = 64
DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d{1,5})")
MAX_RESPONSE_BYTES = 8 << 20


def parse_duration_s(text):
    """Returns the seconds of a duration as JSON bodies hold it, or None if it is invalid."""
    match = DURATION.fullmatch(text) if isinstance(text, str) else None
    return float(match[1]) / (1000 if match[2] == "ms" else 1) if match else None


class Client:
    """One client of a zone."""

    def __init__(self, system, zone, number):
        """`number`: of the client in its zone."""
        self.system, self.zone, self.rng = system, zone, Random(f"{system.seed}/{zone}/{number}")
        self.fronts, self.fronts_valid_until, self.lookup_task = [], 0, None
        self.ttl_factor = 3 if number % 4 == 3 else 1  # every fourth client uses an answer for three times its TTL
        self.failed_fronts, self.idle_connections = set(), {}  # idle_connections: front to (connection, expiry)

    async def choose_front(self):
        """Returns a front's address, or None if none is known."""
        if time.monotonic_ns() >= self.fronts_valid_until or not self.fronts:
            if self.lookup_task is None:
                self.lookup_task = asyncio.ensure_future(self.look_up())
                self.lookup_task.add_done_callback(lambda _: setattr(self, "lookup_task", None))
            await asyncio.shield(self.lookup_task)
        candidates = [front for front in self.fronts if front not in self.failed_fronts] or self.fronts
        return self.rng.choice(candidates) if candidates else None

    async def look_up(self):
        """Queries the directory; the former answer stays in use if there is no new one."""
        zone, region = self.zone, self.system.plan.zones[self.zone]
        nearest_first = sorted(
            self.system.nodes,
            key=lambda node: (node.zone != zone, self.system.plan.zones[node.zone] != region, self.rng.random()),
        )
        for node in nearest_first[:MAX_DIRECTORY_NODES]:
            lookup = HttpRequest("GET", f"/api/lookup?Name={plans.HOST}&Region={region}&Zone={zone}")
            response = await send_request(self.system.loop, parse_address(node.directory), lookup)
            try:
                answer = (
                    json.loads(response.unwrap().body) if response.is_ok() and response.ok_value.status == 200 else {}
                )
                ttl = min(parse_duration_s(answer.get("Ttl")) or 0, self.system.terms.ttl_max / SEC)
                fronts = [parse_address(text) for text in answer["Addresses"][:MAX_FRONTS]]
            except (ValueError, KeyError, TypeError, AttributeError):
                fronts, ttl = [], 0
            if fronts and ttl:
                self.drop_connections_to(set(self.idle_connections) - set(fronts))
                self.fronts, self.fronts_valid_until = fronts, time.monotonic_ns() + int(ttl * SEC) * self.ttl_factor
                self.failed_fronts.clear()
                return
            self.system.counts["lookups_failed"] += 1
        self.fronts_valid_until = time.monotonic_ns() + SEC // 2

    def drop_connections_to(self, fronts):
        """Closes the idle connections to fronts that the directory no longer names."""
        for front in fronts:
            for connection, _ in self.idle_connections.pop(front):
                connection.close("closed")

    def take_idle(self, front):
        """Removes and returns an idle connection to a front that is open and has not expired, or returns None."""
        connections = self.idle_connections.get(front, [])
        while connections:
            connection, expires_at = connections.pop()
            if not connection.closed and time.monotonic_ns() < expires_at:
                return connection
            if not connection.closed:
                connection.close("closed")
        return None

    def keep_idle(self, front, connection, reply):
        """Keeps a connection for reuse until half a second before its keep-alive timeout, 10 s if the reply has none."""
        match = KEEP_ALIVE_TIMEOUT.search(reply.headers.get(b"keep-alive", b""))
        timeout = int(match[1]) * SEC if match else 10 * SEC
        self.idle_connections.setdefault(front, []).append((connection, time.monotonic_ns() + timeout - SEC // 2))


class FixedFrontsClient(Client):
    """A client with fixed fronts and no directory, for measurements."""

    def __init__(self, system, fronts):
        """`fronts`: addresses as (host, port)."""
        super().__init__(system, next(iter(system.plan.zones)), 0)
        self.fronts, self.fronts_valid_until = fronts, 1 << 62


class LoadGenerator:
    """All clients of a run. `rows` holds a row for each request, `tries` the outcome of each try."""

    def __init__(self, system, arrivals, start, clients):
        """`system` has `loop`, `plan`, `terms`, `seed`, `nodes` and `counts`; `arrivals`: the schedule of the requests;
        `start`: the start of the schedule in monotonic ns; `clients`: those of each zone."""
        self.system, self.loop, self.arrivals, self.start = system, system.loop, arrivals, start
        self.rng, self.id_prefix = Random(f"{system.seed}/crowd"), f"{self.clock() & 0xFFFFFFFFFF:x}"
        self.clients = clients
        self.routes = {route.name: (index, route) for index, route in enumerate(system.plan.routes)}
        self.rows, self.tries, self.tasks = np.zeros(len(arrivals.at), ROW), [], set()
        self.arrival_times, self.next_index = arrivals.at.tolist(), 0
        self.pacer = Pacer(self.loop, arrivals.at, start, self.start_due)

    @staticmethod
    def clock():
        """Returns the time in monotonic ns."""
        return time.monotonic_ns()

    def start_due(self):
        """Starts the requests whose scheduled time has passed."""
        now = self.clock() - self.start
        while self.next_index < len(self.arrival_times) and self.arrival_times[self.next_index] <= now:
            task = self.loop.create_task(self.run_request(self.next_index))
            self.next_index += 1
            self.tasks.add(task)
            task.add_done_callback(self.task_ended)

    def task_ended(self, task):
        """Records the exception of a request's task: it is a defect of the laboratory."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.system.counts["defects"] += 1
            self.system.internal_error = task.exception()

    async def wait_finished(self):
        """Returns when all requests of the schedule have started and ended."""
        while self.tasks or self.next_index < len(self.arrival_times):
            await asyncio.sleep(0.05)

    async def run_request(self, number):
        """Sends the tries of one request and fills its row."""
        plan, arrivals, row = self.system.plan, self.arrivals, self.rows[number]
        stream = plan.streams[arrivals.stream[number]]
        index, route = self.routes[stream.route]
        zone_clients = self.clients[arrivals.zone[number] % len(self.clients)]
        client, at = zone_clients[arrivals.client[number] % len(zone_clients)], self.start + self.arrival_times[number]
        tenant = plan.tenants[arrivals.tenant[number]].name if arrivals.tenant[number] >= 0 else ""
        key = plans.api_keys(tenant)[arrivals.key[number]] if tenant else ""
        body = b"%d." % number * (stream.body_bytes // 8 + 1) if stream.body_bytes else b""
        impatient = self.rng.random() < stream.impatient
        deadline, tries, client_try = at + round(stream.deadline_ms * MS), 0, None
        row["at"], row["lag"], row["product"], row["account"] = (
            self.arrival_times[number],
            self.clock() - at,
            index,
            arrivals.tenant[number],
        )
        row["stream"] = arrivals.stream[number]
        while True:
            tries += 1
            client_try = Try(
                f"{self.id_prefix}{number:x}.{tries}",
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
            self.tries.append(client_try)
            advised_s, unsent = await self.send_try(client_try, client, deadline, stream, tries == 1)
            now = client_try.finished_at = self.clock()
            if 200 <= client_try.status < 300 or client_try.status in FINAL_STATUSES:
                break
            if route.kind != "read_only" and client_try.status not in UNEXECUTED_STATUSES and not unsent:
                break
            left_s = (deadline - now) / SEC
            if impatient:
                wait_s = 0.0 if tries < 2 * (stream.retries.most + 1) else None
            else:
                advised_s = None if advised_s is None else min(advised_s, left_s / 3)
                wait_s = retry_wait(stream.retries, tries, advised_s, self.rng.random())
            if wait_s is None or wait_s + 0.02 >= left_s:
                break
            await asyncio.sleep(wait_s)
        row["took"], row["tries"], row["first"] = (
            client_try.finished_at - at,
            tries,
            client_try.status == 200 and tries == 1,
        )
        row["advised"], row["node"] = -1.0 if advised_s is None else advised_s * 1000, 0
        row["outcome"] = (
            SETTLED
            if 200 <= client_try.status < 300
            else DECLINED
            if client_try.status in UNEXECUTED_STATUSES | FINAL_STATUSES
            else VOIDED
            if client_try.status
            else BROKEN
            if client_try.error == "the connection ended"
            else LOST
        )

    async def send_try(self, client_try, client, deadline, stream, first):
        """Sends one try; returns (seconds of Retry-After or None, whether certainly no node has read the try)."""
        left_s = (deadline - self.clock()) / SEC
        timeout_s = min(left_s, max(1.0, left_s / 3)) if client_try.kind == "read_only" else left_s
        front, sent, connection = None, False, None
        try:
            async with asyncio.timeout(max(0.01, timeout_s)):
                front = await client.choose_front()
                if front is None:
                    client_try.error = "no front is known"
                    return None, True
                client_try.node = front[0]
                if first and self.rng.random() < stream.kept:
                    connection = client.take_idle(front)
                if connection is None:
                    self.system.counts["connects"] += 1
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        _, connection = await self.loop.create_connection(HttpClientConnection, *front)
                left_ms = max(1, (deadline - self.clock()) // MS)
                sent = True
                result = await connection.send(self.encode_request(client_try, left_ms, stream), MAX_RESPONSE_BYTES)
        except TimeoutError:
            client_try.error = "no answer in time" if sent else "no connection in time"
            client.failed_fronts.add(front)
            if connection is not None:
                connection.abandon()
            return None, not sent
        except OSError as error:
            client_try.error = f"no connection: {error.strerror or error}"
            client.failed_fronts.add(front)
            return None, True
        if result.is_err():
            client_try.error = str(result.err_value)
            client.failed_fronts.add(front)
            return None, False
        reply = result.ok_value
        client_try.status, client_try.answer = reply.status, reply.body
        client_try.answered_id, client_try.seal = (
            reply.headers.get(b"try-id", b""),
            reply.headers.get(b"server-seal", b""),
        )
        if b"content-encoding" in reply.headers:
            client_try.error = "the answer has a content encoding"
        if not connection.closed:
            client.keep_idle(front, connection, reply)
        try:
            return float(reply.headers[b"retry-after"]), False
        except (KeyError, ValueError):
            return None, False

    def encode_request(self, client_try, left_ms, stream):
        """Returns the bytes of a try's HTTP request."""
        head = (
            f"{client_try.method} {client_try.path} HTTP/1.1\r\nHost: {client_try.host}\r\n"
            f"Try-Id: {client_try.id}\r\nTime-Left-Ms: {left_ms}\r\n"
            + (f"Authorization: Bearer {client_try.key}\r\n" if client_try.key else "")
        ).encode()
        if client_try.method == "GET":
            return head + b"\r\n"
        if client_try.body and self.rng.random() < stream.chunked:
            half = len(client_try.body) // 2
            parts = b"".join(
                b"%x\r\n%s\r\n" % (len(part), part) for part in (client_try.body[:half], client_try.body[half:]) if part
            )
            return head + b"Transfer-Encoding: chunked\r\n\r\n" + parts + b"0\r\n\r\n"
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(client_try.body), client_try.body)


class Operator:
    """Sends the orders of a schedule. `sent_orders` holds the outcome of each, for the judge."""

    def __init__(self, system):
        """`system` has `nodes`, `terms` and `counts`."""
        self.system, self.sent_orders = system, []

    async def send_order(self, step):
        """Sends an order to its node first, then to the others; returns the result of the call."""
        order = SentOrder(step.call, time.monotonic_ns(), step.revision, step.body, step.zone, step.valid)
        self.sent_orders.append(order)
        first_node = step.node % len(self.system.nodes)
        addresses = [
            parse_address(node.control) for node in self.system.nodes[first_node:] + self.system.nodes[:first_node]
        ]
        query = {"of": step.zone} if step.zone else {}
        result = await ControlClient(addresses, self.system.terms.ack_within / SEC).call(step.call, step.body, query)
        if result.is_ok():
            order.acked_at = time.monotonic_ns()
        else:
            order.error = str(result.err_value)
            if step.valid and isinstance(result.err_value, Rejection):
                self.system.counts["orders_refused"] += 1
        return result

    async def read_configuration(self):
        """Returns the configuration that the system holds, or None if no node answers."""
        addresses = [parse_address(node.control) for node in self.system.nodes]
        result = await ControlClient(addresses, self.system.terms.ack_within / SEC).call("config.read")
        return result.ok_value.body if result.is_ok() else None
