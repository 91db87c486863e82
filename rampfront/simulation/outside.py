"""What stands around the stations in the model of the whole: the services' servers and the platform's list of them."""

import json

from ..membership.endpoint_list_pager import PageFailed, PageReceived
from ..membership.endpoint_list_poller import Poller

MS, SEC = 10**6, 10**9
STAYS = 3 * SEC  # a crashed server is on the list for so long


class Job:
    """A request at a server: its connection, and what it says."""

    __slots__ = ("conn", "request", "tag", "fields", "over")

    def __init__(self, conn, request, tag, fields):
        self.conn, self.request, self.tag, self.fields, self.over = conn, request, tag, fields, False


class Server:
    """One life of a server. Times are the fleet's."""

    def __init__(self, shore, uid, service, address, zone, capacity, cold_until):
        self.shore, self.uid, self.service, self.address, self.zone = shore, uid, service, address, zone
        self.capacity, self.cold_until, self.end = capacity, cold_until, f"s:{zone}"
        self.state, self.up, self.dark = "ready", True, False
        self.leaving_at = self.ended_at = None
        self.running, self.queue = 0, []
        self.arrivals = []  # (sent, arrived) while it is cold

    def take(self, conn, data):
        """A whole request, as it came off its connection."""
        if not self.up:
            return
        shore, head = self.shore, data.partition(b"\r\n\r\n")[0]
        lines = head.split(b"\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(b": ")
            fields[name.lower()] = value
        tag = fields[b"try-id"].decode()
        job = Job(conn, shore.requests[tag], tag, fields)
        job.request.path_seen = lines[0].split(b" ")[1]
        if fields[b"wanted-server"] != self.uid.encode():
            return self.answer(job, 421, b"", not_run=True)
        shore.rule_checker.on_server_request(self, conn.machine, job)
        if shore.refuses.get(self.service, 0) > shore.now or len(self.queue) >= 2 * self.capacity:
            return self.answer(job, 503, b"full", not_run=True)
        if self.running < self.capacity:
            self.run(job)
        else:
            self.queue.append(job)

    def run(self, job):
        shore = self.shore
        self.running += 1
        shore.rule_checker.on_execution(self, job)
        pace = 3.0 if self.cold_until > shore.now else 1.0
        work = int(min(2.0, shore.chance.expovariate(1 / 0.035) * pace + 0.003) * SEC)
        shore.at(shore.now + work, self.done, job)

    def done(self, job):
        if not self.up:
            return
        self.running -= 1
        if not job.over:
            self.answer(job, 200, job.tag.encode())
        while self.queue and self.running < self.capacity:
            job = self.queue.pop(0)
            if not job.over:
                self.run(job)

    def answer(self, job, status, body, not_run=False):
        more = (
            b"Not-Run: 1\r\n"
            if not_run
            else b"Server-Seal: s.%s\r\nServer-Load: %d,%d,%d\r\n"
            % (job.tag.encode(), self.running, len(self.queue), self.capacity)
        )
        job.over = True
        job.conn.reply(
            b"HTTP/1.1 %d -\r\nTry-Id: %s\r\n%sContent-Length: %d\r\n%s\r\n%s"
            % (
                status,
                job.tag.encode(),
                more,
                len(body),
                b"Connection: close\r\n" if self.state != "ready" else b"",
                body,
            )
        )

    def dropped(self, conn):
        """A connection has ended: what waits is not run; what runs goes on unheard."""
        for job in self.queue:
            job.over = job.over or job.conn is conn
        self.queue = [job for job in self.queue if not job.over]

    def stop(self, dark=False):
        self.up, self.dark, self.ended_at = False, dark, self.shore.now
        self.queue = []
        for conn in self.shore.links.pop(self, ()):
            if not dark:
                conn.lost()


class Platform:
    """The list, as it was a little while ago, on pages."""

    def __init__(self, shore, lag, page):
        self.shore, self.lag, self.page = shore, lag, page
        self.down_until, self.trouble_at = 0, -60 * SEC  # trouble_at: the newest end of any
        self.shown = [(-60 * SEC, ())]  # (since when, (server, state))

    def changed(self):
        now = self.shore.now
        rows = tuple(
            (s, s.state) for s in self.shore.servers if s.up or s.state == "ready" and now - s.ended_at < STAYS
        )
        self.shown = self.shown[-200:] + [(now, rows)]

    def ask(self, target):
        """(status, body) of a page."""
        shore = self.shore
        seen = shore.now - self.lag + shore.chance.randrange(self.lag // 4 + 1)
        rows = next(rows for since, rows in reversed(self.shown) if since <= seen)
        at = int(target.partition("=")[2] or 0)
        part = rows[at : at + self.page]
        said = {
            s.uid: {
                "Service": s.service,
                "Address": "%s:%d" % s.address,
                "Zone": s.zone,
                "Revision": "v1",
                "Capacity": s.capacity,
                "State": state,
                "ColdLeft": f"{max(0, s.cold_until - shore.now) // MS}ms",
            }
            for s, state in part
        }
        then = str(at + self.page) if at + self.page < len(rows) else None
        return 200, json.dumps({"Servers": said, "NextToken": then}).encode()


class Asking:
    """One question to the platform on its way: stands where the poller's task does."""

    def __init__(self, poller, effect):
        self.poller, self.effect, self.off = poller, effect, False
        loop = poller.loop
        fleet, machine, pair = loop.fleet, loop.machine, (loop.machine.ip, "platform")
        back = pair[::-1]
        platform = fleet.platform
        if fleet.cut(pair) or fleet.cut(back) or platform.down_until > fleet.now:
            return fleet.at(
                fleet.now + SEC, fleet.do, machine, loop.life, self.tell, PageFailed(effect.round, "silence")
            )
        status, body = platform.ask(effect.target)
        fleet.at(
            fleet.now + 2 * fleet.way(*pair),
            fleet.do,
            machine,
            loop.life,
            self.tell,
            PageReceived(effect.round, status, body),
        )

    def tell(self, told):
        if not self.off and self.poller.running:
            self.poller.take(told)

    def cancel(self):
        self.off = True


class Reader(Poller):
    """The poller that serves, but for its socket."""

    def fetch(self, effect):
        return Asking(self, effect)
