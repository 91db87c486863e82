"""The environment of the simulated nodes: the servers of the services and the platform that lists them."""

import json

from ..membership.endpoint_list_pager import PageFailed, PageReceived
from ..membership.endpoint_list_poller import Poller

MS, SEC = 10**6, 10**9
LISTED_AFTER_CRASH = 3 * SEC  # for which a crashed server stays listed


class Job:
    """A request at a server: its connection, its header fields, and whether it was answered or dropped (`is_over`)."""

    __slots__ = ("conn", "request", "tag", "fields", "is_over")

    def __init__(self, conn, request, tag, fields):
        """`request`: the client's `Request` that it belongs to; `tag`: its Try-Id; `fields`: header fields, names in
        lower case."""
        self.conn, self.request, self.tag, self.fields, self.is_over = conn, request, tag, fields, False


class Server:
    """One life of a server process. Times are those of the fleet's clock."""

    def __init__(self, fleet, uid, service, address, zone, capacity, cold_until):
        """`capacity`: requests that run at once; `cold_until`: until then each request takes three times as long."""
        self.fleet, self.uid, self.service, self.address, self.zone = fleet, uid, service, address, zone
        self.capacity, self.cold_until, self.location = capacity, cold_until, f"s:{zone}"
        self.state, self.up, self.silent = "ready", True, False
        self.leaving_at = self.ended_at = None
        self.running, self.queue = 0, []
        self.arrivals = []  # (sent, arrived) of requests that arrived while it was cold

    def receive(self, conn, data):
        """Takes a whole request from a connection: runs it, queues it, or refuses it with Not-Run."""
        if not self.up:
            return
        fleet, head = self.fleet, data.partition(b"\r\n\r\n")[0]
        lines = head.split(b"\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(b": ")
            fields[name.lower()] = value
        tag = fields[b"try-id"].decode()
        job = Job(conn, fleet.requests[tag], tag, fields)
        job.request.received_path = lines[0].split(b" ")[1]
        if fields[b"wanted-server"] != self.uid.encode():
            return self.answer(job, 421, b"", not_run=True)
        fleet.rule_checker.on_server_request(self, conn.machine, job)
        if fleet.refused_until.get(self.service, 0) > fleet.now or len(self.queue) >= 2 * self.capacity:
            return self.answer(job, 503, b"full", not_run=True)
        if self.running < self.capacity:
            self.start_job(job)
        else:
            self.queue.append(job)

    def start_job(self, job):
        """Runs a request for a time that is drawn from an exponential distribution: 35 ms in the mean, three times that
        while the server is cold, 2 s at most."""
        fleet = self.fleet
        self.running += 1
        fleet.rule_checker.on_execution(self, job)
        slowdown = 3.0 if self.cold_until > fleet.now else 1.0
        duration = int(min(2.0, fleet.rng.expovariate(1 / 0.035) * slowdown + 0.003) * SEC)
        fleet.at(fleet.now + duration, self.finish_job, job)

    def finish_job(self, job):
        """Answers a request whose run has ended, and starts queued ones."""
        if not self.up:
            return
        self.running -= 1
        if not job.is_over:
            self.answer(job, 200, job.tag.encode())
        while self.queue and self.running < self.capacity:
            job = self.queue.pop(0)
            if not job.is_over:
                self.start_job(job)

    def answer(self, job, status, body, not_run=False):
        """Sends a response. `not_run`: the response says that the request was not run, so that it may be repeated."""
        headers = (
            b"Not-Run: 1\r\n"
            if not_run
            else b"Server-Seal: s.%s\r\nServer-Load: %d,%d,%d\r\n"
            % (job.tag.encode(), self.running, len(self.queue), self.capacity)
        )
        job.is_over = True
        job.conn.reply(
            b"HTTP/1.1 %d -\r\nTry-Id: %s\r\n%sContent-Length: %d\r\n%s\r\n%s"
            % (
                status,
                job.tag.encode(),
                headers,
                len(body),
                b"Connection: close\r\n" if self.state != "ready" else b"",
                body,
            )
        )

    def connection_dropped(self, conn):
        """Handles the end of a connection: its queued requests are not run, its running ones end without a response."""
        for job in self.queue:
            job.is_over = job.is_over or job.conn is conn
        self.queue = [job for job in self.queue if not job.is_over]

    def stop(self, silent=False):
        """Ends the process. `silent`: its connections are not reset, and new ones get no answer, as after a loss of
        power."""
        self.up, self.silent, self.ended_at = False, silent, self.fleet.now
        self.queue = []
        for conn in self.fleet.server_connections.pop(self, ()):
            if not silent:
                conn.lost()


class Platform:
    """The platform's paginated list of servers, which lags behind their state."""

    def __init__(self, fleet, lag, page_size):
        """`lag`: age of the list that the platform returns, or up to a quarter less (ns)."""
        self.fleet, self.lag, self.page_size = fleet, lag, page_size
        self.down_until, self.outage_ends_at = (
            0,
            -60 * SEC,
        )  # outage_ends_at: of the latest outage, not cut short by the calm
        self.list_history = [(-60 * SEC, ())]  # (time from which it held, rows of (server, state)), oldest first

    def changed(self):
        """Records the list as it is now; read_page returns it once the lag is over."""
        now = self.fleet.now
        rows = tuple(
            (s, s.state)
            for s in self.fleet.servers
            if s.up or s.state == "ready" and now - s.ended_at < LISTED_AFTER_CRASH
        )
        self.list_history = self.list_history[-200:] + [(now, rows)]

    def read_page(self, target):
        """Returns (status, body) of a page of the list."""
        fleet = self.fleet
        seen = fleet.now - self.lag + fleet.rng.randrange(self.lag // 4 + 1)
        rows = next(rows for since, rows in reversed(self.list_history) if since <= seen)
        start = int(target.partition("=")[2] or 0)
        page = rows[start : start + self.page_size]
        servers = {
            s.uid: {
                "Service": s.service,
                "Address": "%s:%d" % s.address,
                "Zone": s.zone,
                "Revision": "v1",
                "Capacity": s.capacity,
                "State": state,
                "ColdLeft": f"{max(0, s.cold_until - fleet.now) // MS}ms",
            }
            for s, state in page
        }
        next_token = str(start + self.page_size) if start + self.page_size < len(rows) else None
        return 200, json.dumps({"Servers": servers, "NextToken": next_token}).encode()


class PageFetch:
    """A request for a page of the platform's list; takes the place of the task that the poller starts."""

    def __init__(self, poller, effect):
        """Sends the request; over a cut path or to a platform that is down it fails after one second."""
        self.poller, self.effect, self.is_cancelled = poller, effect, False
        loop = poller.loop
        fleet, machine, pair = loop.fleet, loop.machine, (loop.machine.ip, "platform")
        reverse_pair = pair[::-1]
        platform = fleet.platform
        if fleet.is_cut(pair) or fleet.is_cut(reverse_pair) or platform.down_until > fleet.now:
            return fleet.at(
                fleet.now + SEC, fleet.do, machine, loop.life, self.deliver, PageFailed(effect.round, "silence")
            )
        status, body = platform.read_page(effect.target)
        fleet.at(
            fleet.now + 2 * fleet.draw_latency(*pair),
            fleet.do,
            machine,
            loop.life,
            self.deliver,
            PageReceived(effect.round, status, body),
        )

    def deliver(self, event):
        """Hands the result to the poller, unless the fetch was cancelled or the poller stopped."""
        if not self.is_cancelled and self.poller.running:
            self.poller.handle_event(event)

    def cancel(self):
        """Drops the result."""
        self.is_cancelled = True


class SimulatedPoller(Poller):
    """The production poller with the HTTP request replaced by a call to `Platform`."""

    def fetch(self, effect):
        """Starts the fetch that an effect asks for."""
        return PageFetch(self, effect)
