"""An emulation of the platform's server list: pages, lag, a rate limit, and faults that are set by hand.

`Platform` is told about the servers and answers `GET /servers` by its clock; `open_platform` serves it on a socket.
"""

import json
from collections import Counter, deque

from ..net.http_messages import error_response, json_response
from ..net.http_routing import endpoint
from ..net.http_server import HttpServer
from ..net.limits import HttpServerLimits

SEC = 10**9


def format_ms(span):
    """Returns a duration in ns as the platform writes it, in whole ms and not below 0."""
    return f"{max(0, span) // 10**6}ms"


class Platform:
    """The emulated list. `fault`: None, or the response that calls get instead of the list: "silent" (none), "garbled"
    (JSON of another shape), "cut" (half of a page, which is not valid JSON), or a status code."""

    def __init__(self, clock, page=50, lag_ns=0, per_s=1000.0):
        """`page`: entries on a page; `lag_ns`: delay with which changes become visible; `per_s`: calls a second, with a
        burst of one second's worth."""
        self.clock, self.page, self.lag_ns, self.per_s = clock, page, lag_ns, per_s
        self.versions = deque([(clock(), {})])  # (since, {id: (entry, cold until)}), as far back as the lag requires
        self.tokens, self.refilled_at, self.fault = per_s, clock(), None
        self.counts, self.unanswered_requests = Counter(), []

    def put(self, uid, service, address, zone, capacity=2, state="ready", cold=0, revision="v1"):
        """Adds or replaces a server. `cold`: ns for which it is cold from now on."""
        entry = {
            "Service": service,
            "Address": address,
            "Zone": zone,
            "Revision": revision,
            "Capacity": capacity,
            "State": state,
        }
        self.replace_entries({**self.versions[-1][1], uid: (entry, self.clock() + cold if cold else 0)})

    def set_state(self, uid, state):
        """Changes the state of a server."""
        entry, cold = self.versions[-1][1][uid]
        self.replace_entries({**self.versions[-1][1], uid: ({**entry, "State": state}, cold)})

    def remove(self, uid):
        """Removes a server."""
        self.replace_entries({key: row for key, row in self.versions[-1][1].items() if key != uid})

    def replace_entries(self, rows):
        """Makes `rows` the newest version of the list, and drops versions that the lag no longer needs."""
        now = self.clock()
        self.versions.append((now, rows))
        while len(self.versions) > 1 and self.versions[1][0] <= now - self.lag_ns:
            self.versions.popleft()

    def visible_entries(self, now):
        """Returns the entries that the list shows at `now`."""
        entries = {}
        for since, rows in self.versions:
            if since <= now - self.lag_ns:
                entries = rows
        return entries

    @endpoint("GET", "/servers")
    def servers(self, request):
        """Handles `GET /servers`; returns None if the call is to get no response."""
        now = self.clock()
        self.counts["calls"] += 1
        self.tokens = min(self.per_s, self.tokens + (now - self.refilled_at) * self.per_s / SEC)
        self.refilled_at = now
        if self.tokens < 1:
            self.counts["over"] += 1
            return error_response(429, "too many calls")
        self.tokens -= 1
        if self.fault == "silent":
            self.unanswered_requests.append(request)
            return None
        if type(self.fault) is int:
            return error_response(self.fault, "ill")
        token, zone = request.query.get("PageToken", "p-0"), request.query.get("Zone")
        if not token.startswith("p-") or not token[2:].isdecimal():
            return error_response(400, "PageToken: none of ours")
        start = int(token[2:])
        rows = [(uid, row) for uid, row in sorted(self.visible_entries(now).items()) if zone in (None, row[0]["Zone"])]
        page = {
            uid: {**entry, "ColdLeft": format_ms(cold - now if cold else 0)}
            for uid, (entry, cold) in rows[start : start + self.page]
        }
        end = start + self.page
        answer = json_response({"Servers": page, "NextToken": f"p-{end}" if end < len(rows) else None})
        if self.fault in ("garbled", "cut"):
            body = answer.body[: len(answer.body) // 2]
            return (
                json_response(json.loads('{"Servers": 7}')) if self.fault == "garbled" else answer.__class__(200, body)
            )
        return answer


async def open_platform(loop, platform, host="127.0.0.1", port=0):
    """Serves the platform and returns its server, whose `address` is the listening address."""
    server = HttpServer(loop, platform.clock, [platform], HttpServerLimits())
    await server.listen(host, port)
    return server
