"""The leader's view of the servers' health: the reports of all proxies together, and its verdicts. No I/O, no clock."""

from collections.abc import Iterable, Sequence
from dataclasses import field
from typing import NamedTuple

from ..terms import slotted
from .server_health import (
    CONNECT_TIMED_OUT,
    HEALTHY,
    MAX_REPORTS,
    NO_RESPONSE,
    REQUEST_FAILED,
    UNHEALTHY,
    UNREACHABLE,
    ServerReport,
)

MS = 10**6  # ns
SEC = 10**9

# Observations within the window whose weights reach the sum make a server unreachable.
UNREACHABLE_WEIGHTS = {NO_RESPONSE: 1, CONNECT_TIMED_OUT: 2}
UNREACHABLE_SUM = 3
UNREACHABLE_WINDOW_NS = 1200 * MS
# So many failures within the window make it unhealthy.
UNHEALTHY_FAILURES = 3
UNHEALTHY_WINDOW_NS = 3 * SEC
MIN_REPORTERS = 2  # proxies that must agree: guards against one whose own link is cut
# This part of a zone's servers, and so many, that became unreachable within the window: the whole zone is.
ZONE_WINDOW_NS = SEC
ZONE_UNREACHABLE_FRACTION = 0.2
ZONE_MIN_UNREACHABLE_SERVERS = 3
VERDICT_REPEAT_INTERVAL_NS = 3 * SEC  # a verdict is repeated no sooner
MAX_OBSERVATIONS = MAX_REPORTS  # kept of a server
SWEEP_INTERVAL_NS = SEC


class _Observation(NamedTuple):
    """What one proxy saw of a server."""

    at_ns: int
    proxy_ip: str
    status: int


@slotted
class ServerRecord:
    """What is known of one server.

    Attributes:
        observations: recent ones, oldest first.
        verdict_at_ns: when the last verdict was given; 0: none stands.
        verdict: UNREACHABLE or UNHEALTHY; None: none was given, or it was withdrawn.
        inferred: the verdict was given with the server's zone, without observations of its own.
    """

    observations: list[_Observation] = field(default_factory=list)
    verdict_at_ns: int = 0
    verdict: int | None = None
    inferred: bool = False


class HealthRegistry:
    """Observations of all proxies, by server."""

    def __init__(self) -> None:
        """No server is listed yet."""
        self.records: dict[str, ServerRecord] = {}  # by server; swept a window behind the last observation
        self._servers_by_zone: dict[str, list[str]] = {}
        self._zone_of: dict[str, str] = {}
        self._swept_at_ns = 0

    def set_servers(self, servers: Iterable[tuple[str, str]]) -> None:
        """The endpoint list: (server's id, zone) of all."""
        self._zone_of = dict(servers)
        self._servers_by_zone = {}
        for server_id, zone in self._zone_of.items():
            self._servers_by_zone.setdefault(zone, []).append(server_id)

    def add_reports(self, proxy_ip: str, reports: Iterable[ServerReport], proxies: int, now: int) -> list[ServerReport]:
        """Takes in one proxy's reports.

        Args:
            proxy_ip: its address.
            reports: its observations.
            proxies: how many proxies serve.
            now: ns.

        Returns:
            The verdicts that all proxies are to be told.
        """
        verdicts: list[ServerReport] = []
        for server_id, status in reports:
            if status == HEALTHY:
                verdicts += self._withdraw(server_id)
            elif server_id in self.records or server_id in self._zone_of:
                observation = _Observation(now, proxy_ip, status)
                verdicts += self._observe(server_id, observation, min(MIN_REPORTERS, proxies))
        self._sweep(now)
        return verdicts

    def _observe(self, server_id: str, observation: _Observation, min_reporters: int) -> list[ServerReport]:
        """Takes in an observation against a server; returns the verdicts that follow."""
        now = observation.at_ns
        record = self.records.setdefault(server_id, ServerRecord())
        recent = [seen for seen in record.observations if now - seen.at_ns < _window_ns(seen.status)]
        record.observations = [*recent[-MAX_OBSERVATIONS:], observation]
        verdict = derive_verdict(record.observations, min_reporters)
        if verdict is None:
            return []
        record.inferred = False
        if verdict == record.verdict and now - record.verdict_at_ns <= VERDICT_REPEAT_INTERVAL_NS:
            return []
        record.verdict = verdict
        record.verdict_at_ns = now
        verdicts = [ServerReport(server_id, verdict)]
        if verdict == UNREACHABLE:
            verdicts += self._infer_zone(server_id, now)
        return verdicts

    def _withdraw(self, server_id: str) -> list[ServerReport]:
        """An unreachable server has answered; returns who is healthy again.

        Guards against a zone that was taken for unreachable and is not: all that was inferred goes with the first.
        """
        record = self.records.get(server_id)
        if record is None or record.verdict != UNREACHABLE:
            return []
        recovered = [server_id]
        if record.inferred:
            zone_servers = self._servers_in_zone_of(server_id)
            recovered = [each for each in zone_servers if each in self.records and self.records[each].inferred]
        for each in recovered:
            self._reset(self.records[each])
        return [ServerReport(each, HEALTHY) for each in recovered]

    @staticmethod
    def _reset(record: ServerRecord) -> None:
        record.observations = [seen for seen in record.observations if seen.status == REQUEST_FAILED]
        record.verdict = None
        record.verdict_at_ns = 0
        record.inferred = False

    def _infer_zone(self, server_id: str, now: int) -> list[ServerReport]:
        """The rest of a server's zone, once so many became unreachable together that the zone must be.

        So no proxy need find out each of them by a request of its own.
        """
        zone_servers = self._servers_in_zone_of(server_id)
        unreachable = [
            record
            for each in zone_servers
            if (record := self.records.get(each)) and record.verdict == UNREACHABLE and not record.inferred
        ]
        together = sum(now - record.verdict_at_ns < ZONE_WINDOW_NS for record in unreachable)
        if together < max(ZONE_MIN_UNREACHABLE_SERVERS, ZONE_UNREACHABLE_FRACTION * len(zone_servers)):
            return []
        rest = [each for each in zone_servers if not self._is_unreachable(each)]
        for each in rest:
            record = self.records.setdefault(each, ServerRecord())
            record.verdict = UNREACHABLE
            record.verdict_at_ns = now
            record.inferred = True
        return [ServerReport(each, UNREACHABLE) for each in rest]

    def _servers_in_zone_of(self, server_id: str) -> Sequence[str]:
        return self._servers_by_zone.get(self._zone_of.get(server_id, ""), ())

    def _is_unreachable(self, server_id: str) -> bool:
        return server_id in self.records and self.records[server_id].verdict == UNREACHABLE

    def _sweep(self, now: int) -> None:
        """Forgets what is over, once a second."""
        if now - self._swept_at_ns <= SWEEP_INTERVAL_NS:
            return
        self._swept_at_ns = now
        self.records = {server_id: record for server_id, record in self.records.items() if _is_current(record, now)}


def derive_verdict(observations: Sequence[_Observation], min_reporters: int) -> int | None:
    """What the observations of a server amount to.

    Args:
        observations: recent ones.
        witnesses: proxies that must agree, at least.

    Returns:
        UNREACHABLE, UNHEALTHY, or None where they do not suffice.
    """
    failures = [seen for seen in observations if seen.status == REQUEST_FAILED]
    missing = [seen for seen in observations if seen.status != REQUEST_FAILED]
    weight = sum(UNREACHABLE_WEIGHTS[seen.status] for seen in missing)
    if weight >= UNREACHABLE_SUM and _count_reporters(missing) >= min_reporters:
        return UNREACHABLE
    if len(failures) >= UNHEALTHY_FAILURES and _count_reporters(failures) >= min_reporters:
        return UNHEALTHY
    return None


def _count_reporters(observations: Iterable[_Observation]) -> int:
    return len({seen.proxy_ip for seen in observations})


def _window_ns(status: int) -> int:
    return UNHEALTHY_WINDOW_NS if status == REQUEST_FAILED else UNREACHABLE_WINDOW_NS


def _is_current(record: ServerRecord, now: int) -> bool:
    if now - record.verdict_at_ns < VERDICT_REPEAT_INTERVAL_NS:
        return True
    return bool(record.observations) and now - record.observations[-1].at_ns < UNHEALTHY_WINDOW_NS
