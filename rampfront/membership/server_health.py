"""What the fleet's own requests tell of the servers' health, shared. No I/O, no clock; times in ns.

A proxy of a large fleet meets a server once in many seconds, so each would lose a request of its own to a server
without power before it knew; together they meet it several times a second. `HealthReporter`, in each proxy, reports to
the leader what it saw: a connect that hung, a request that hears nothing for long, an answer that failed.
`HealthRegistry`, at the leader, puts the reports of all together and tells all proxies when two or more of them bear
each other out. What a proxy then does with it is `choice.py`'s: a server told dark or ill gets work by a draw of its
chance, as one that failed it itself does.

Weighed against probes: these are priced, take a slot, and may lie (a health answer is good while the server is ill).
"""

from collections.abc import Container, Iterable
from dataclasses import field
from heapq import heappop, heappush
from typing import Any, NamedTuple

from ..terms import slotted

MS, SEC = 10**6, 10**9
NO_RESPONSE, CONNECT_TIMED_OUT, REQUEST_FAILED, HEALTHY = range(
    4
)  # what a proxy saw: nothing for long, a connect that hung, a failure, an answer
UNREACHABLE, UNHEALTHY = 10, 11  # what the register makes of it; and HEALTHY again

PATIENT = 2.5  # mean times behind which a request that hears nothing is a sighting
LEAST, MAX_PATIENCE_NS = 300 * MS, 3 * SEC  # and bounds of that
# A connect that failed no sooner hung: one refused sooner tells of a full server as well as of a gone one.
CONNECT_TIMEOUT_NS = 150 * MS
RECENT_CONTACT_NS = 300 * MS  # a proxy that heard from a server so lately does not believe that it is dark
MAX_REPORTS = 64  # in a message
ROW_WIDTH = 2  # of a row: a server's id, and what was seen of it
LONGEST_ID = 200  # characters
WEIGHT = {NO_RESPONSE: 1, CONNECT_TIMED_OUT: 2}
ENOUGH, UNREACHABLE_WINDOW_NS = 3, 1200 * MS  # weight of sightings within the span that make a server dark
FAILURES, SPELL = 3, 3 * SEC  # failures within the spell that make it ill
WITNESSES = 2  # proxies at least: guards against one whose own link is cut
# Dark so soon behind each other, this part of a zone's servers, and so many: all of it is.
TOGETHER, PART, FEW = SEC, 0.2, 3
REPEAT_AFTER_NS = 3 * SEC  # a server is told of again no sooner

Report = list[Any]  # a row of a message: [server's id, what was seen]


class HealthReporter:
    """What this proxy sees of the servers, and what of the leader's news it believes."""

    def __init__(self) -> None:
        """Nothing has been seen yet."""
        self.open: dict[int, tuple[str, int]] = {}  # requests under way: ref to (server, sent); emptied by their ends
        self.waits: list[tuple[int, int]] = []  # heap of (when patience ends, ref); emptied as it does
        self.number = 0  # the last ref
        self.last: dict[str, int] = {}  # when a server was last heard; emptied by `take_reports`
        self.dark: dict[str, int] = {}  # when a server was told dark; emptied by answers and after REPEAT_AFTER_NS
        self.rows: list[Report] = []  # to be reported
        self.swept_at = 0

    def request_started(self, uid: str, mean: float, now: int) -> int:
        """A request goes to a server. `mean`: ns that such requests take, 0 if not known yet. Returns the ref by which
        it ends."""
        self.number += 1
        self.open[self.number] = uid, now
        if mean:
            heappush(self.waits, (now + int(min(MAX_PATIENCE_NS, max(LEAST, PATIENT * mean))), self.number))
        return self.number

    def request_ended(self, ref: int, uid: str, now: int, saw: int | None = None) -> None:
        """It has ended; `saw`: CONNECT_TIMED_OUT, REQUEST_FAILED, HEALTHY, or None for what tells nothing of the
        server."""
        self.open.pop(ref, None)
        if saw in (HEALTHY, REQUEST_FAILED):
            self.last[uid] = now
            if self.dark.pop(uid, None) is not None and saw == HEALTHY:
                self.rows.append([uid, HEALTHY])
        if saw in (CONNECT_TIMED_OUT, REQUEST_FAILED):
            self.rows.append([uid, saw])

    def take_reports(self, now: int) -> list[Report]:
        """The rows to report to the leader."""
        while self.waits and self.waits[0][0] <= now:
            uid, sent_at = self.open.get(heappop(self.waits)[1], (None, 0))
            if uid and self.last.get(uid, -1) < sent_at:
                self.rows.append([uid, NO_RESPONSE])
        if now - self.swept_at > SEC:
            self.swept_at = now
            self.last = {uid: at for uid, at in self.last.items() if now - at < MAX_PATIENCE_NS}
            self.dark = {uid: at for uid, at in self.dark.items() if now - at < REPEAT_AFTER_NS}
        rows, self.rows = self.rows[:MAX_REPORTS], []
        return rows

    def accept_verdicts(self, rows: object, now: int) -> list[Report]:
        """The rows of the leader that are believed: [server, UNREACHABLE, UNHEALTHY or HEALTHY]. Raises ValueError."""
        believed: list[Report] = []
        for uid, state in check_reports(rows, (UNREACHABLE, UNHEALTHY, HEALTHY)):
            if state == UNREACHABLE:
                if now - self.last.get(uid, now - RECENT_CONTACT_NS) < RECENT_CONTACT_NS:
                    self.rows.append([uid, HEALTHY])
                    continue
                self.dark[uid] = now
            believed.append([uid, state])
        return believed


class Sighting(NamedTuple):
    """What one proxy saw of a server."""

    at: int
    ip: str  # the proxy's
    saw: int


@slotted
class Record:
    """What is known of one server."""

    sightings: list[Sighting] = field(default_factory=list)
    told_at: int = 0  # when it was last told of
    state: int | None = None  # UNREACHABLE, UNHEALTHY; None: nothing was told, or it was cleared
    inferred: bool = False  # told dark with its zone, without a sighting of its own


class HealthRegistry:
    """The leader's: sightings of all proxies, by server."""

    def __init__(self) -> None:
        """No server is listed yet."""
        self.zones: dict[str, list[str]] = {}  # servers of each zone of the list
        self.zone_of: dict[str, str] = {}  # of each server of the list
        self.rows: dict[str, Record] = {}  # by server; emptied a spell behind the last sighting
        self.swept_at = 0

    def set_servers(self, servers: Iterable[tuple[str, str]]) -> None:
        """`servers`: (id, zone) of all."""
        self.zone_of, self.zones = dict(servers), {}
        for uid, zone in self.zone_of.items():
            self.zones.setdefault(zone, []).append(uid)

    def add_reports(self, ip: str, rows: object, proxies: int, now: int) -> list[Report]:
        """Takes in one proxy's report; returns what all are to be told. `proxies`: how many serve.

        Raises ValueError for rows that are not valid."""
        news: list[Report] = []
        for uid, saw in check_reports(rows, (NO_RESPONSE, CONNECT_TIMED_OUT, REQUEST_FAILED, HEALTHY)):
            if saw == HEALTHY:
                news += self.clear(uid)
            elif uid in self.rows or uid in self.zone_of:
                news += self.note(uid, Sighting(now, ip, saw), min(WITNESSES, proxies))
        self.sweep(now)
        return news

    def note(self, uid: str, sighting: Sighting, witnesses: int) -> list[Report]:
        """A sighting that tells against a server; returns what all are to be told."""
        now, record = sighting.at, self.rows.setdefault(uid, Record())
        recent = [
            seen
            for seen in record.sightings
            if now - seen.at < (SPELL if seen.saw == REQUEST_FAILED else UNREACHABLE_WINDOW_NS)
        ]
        record.sightings = [*recent[-MAX_REPORTS:], sighting]
        state = self.weigh(record, witnesses)
        if state is None:
            return []
        record.inferred = False
        if state == record.state and now - record.told_at <= REPEAT_AFTER_NS:
            return []
        record.state, record.told_at = state, now
        return [[uid, state], *(self.spread(uid, now) if state == UNREACHABLE else ())]

    def clear(self, uid: str) -> list[Report]:
        """A dark server was heard again. Guards against a zone that was taken for dark and is not: what was inferred
        goes with the first."""
        record = self.rows.get(uid)
        if record is None or record.state != UNREACHABLE:
            return []
        cleared = [uid]
        if record.inferred:
            mates = self.zones.get(self.zone_of.get(uid, ""), ())
            cleared = [mate for mate in mates if mate in self.rows and self.rows[mate].inferred]
        for mate in cleared:
            record = self.rows[mate]
            record.sightings = [seen for seen in record.sightings if seen.saw == REQUEST_FAILED]
            record.state, record.told_at, record.inferred = None, 0, False
        return [[mate, HEALTHY] for mate in cleared]

    def spread(self, uid: str, now: int) -> list[Report]:
        """The rest of its zone, where so many went dark together that the zone has: no request need find out each by
        itself."""
        mates = self.zones.get(self.zone_of.get(uid, ""), ())
        dark = [record for mate in mates if (record := self.rows.get(mate)) and record.state == UNREACHABLE]
        together = sum(now - record.told_at < TOGETHER and not record.inferred for record in dark)
        if together < max(FEW, PART * len(mates)):
            return []
        rest = [mate for mate in mates if mate not in self.rows or self.rows[mate].state != UNREACHABLE]
        for mate in rest:
            record = self.rows.setdefault(mate, Record())
            record.state, record.told_at, record.inferred = UNREACHABLE, now, True
        return [[mate, UNREACHABLE] for mate in rest]

    @staticmethod
    def weigh(record: Record, witnesses: int) -> int | None:
        """What the sightings of a server amount to: UNREACHABLE, UNHEALTHY or None, by `witnesses` proxies at least."""
        dark = [seen for seen in record.sightings if seen.saw != REQUEST_FAILED]
        ill = [seen for seen in record.sightings if seen.saw == REQUEST_FAILED]
        if sum(WEIGHT[seen.saw] for seen in dark) >= ENOUGH and len({seen.ip for seen in dark}) >= witnesses:
            return UNREACHABLE
        if len(ill) >= FAILURES and len({seen.ip for seen in ill}) >= witnesses:
            return UNHEALTHY
        return None

    def sweep(self, now: int) -> None:
        """Forgets what is over, once a second."""
        if now - self.swept_at > SEC:
            self.swept_at = now
            self.rows = {
                uid: record
                for uid, record in self.rows.items()
                if now - record.told_at < REPEAT_AFTER_NS or record.sightings and now - record.sightings[-1].at < SPELL
            }


def check_reports(rows: object, kinds: Container[int]) -> list[Report]:
    """`rows`, if they are those of a message. Raises ValueError."""
    if type(rows) is not list or len(rows) > MAX_REPORTS:
        raise ValueError("sightings are no rows")
    if any(type(row) is not list or len(row) != ROW_WIDTH for row in rows):
        raise ValueError("sightings are no rows")
    for uid, saw in rows:
        if type(uid) is not str or len(uid) > LONGEST_ID or type(saw) is not int or saw not in kinds:
            raise ValueError("a sighting is none")
    return rows
