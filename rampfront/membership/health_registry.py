"""The leader's view of server health: combines the reports of all proxies into verdicts. No I/O, no clock."""

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

# A server is unreachable once the weights of the observations within the window reach the sum.
UNREACHABLE_WEIGHTS = {NO_RESPONSE: 1, CONNECT_TIMED_OUT: 2}
UNREACHABLE_SUM = 3
UNREACHABLE_WINDOW_NS = 1200 * MS
# A server is unhealthy after this many failures within the window.
UNHEALTHY_FAILURES = 3
UNHEALTHY_WINDOW_NS = 3 * SEC
MIN_REPORTERS = 2  # proxies that must agree, in case one proxy's own link is down
# A whole zone is unreachable once at least this fraction of its servers, and this number, became so within the window.
ZONE_WINDOW_NS = SEC
ZONE_UNREACHABLE_FRACTION = 0.2
ZONE_MIN_UNREACHABLE_SERVERS = 3
VERDICT_REPEAT_INTERVAL_NS = 3 * SEC  # minimum interval at which a verdict is repeated
MAX_OBSERVATIONS = MAX_REPORTS  # kept per server
SWEEP_INTERVAL_NS = SEC


class _Observation(NamedTuple):
    """One proxy's observation of a server."""

    at_ns: int
    proxy_ip: str
    status: int


@slotted
class ServerRecord:
    """The health record of one server.

    Attributes:
        observations: recent ones, oldest first.
        verdict_at_ns: time of the last verdict; 0: none is in force.
        verdict: UNREACHABLE or UNHEALTHY; None: there was none, or it was withdrawn.
        inferred: the verdict was derived from the server's zone, without observations of the server itself.
    """

    observations: list[_Observation] = field(default_factory=list)
    verdict_at_ns: int = 0
    verdict: int | None = None
    inferred: bool = False


class HealthRegistry:
    """The observations of all proxies, by server."""

    def __init__(self) -> None:
        """Starts without servers."""
        self.records: dict[str, ServerRecord] = {}  # by server; swept (`_is_current`)
        self._servers_by_zone: dict[str, list[str]] = {}
        self._zone_of: dict[str, str] = {}
        self._swept_at_ns = 0

    def set_servers(self, servers: Iterable[tuple[str, str]]) -> None:
        """Replaces the known servers by those of the endpoint list, each as (id, zone)."""
        self._zone_of = dict(servers)
        self._servers_by_zone = {}
        for server_id, zone in self._zone_of.items():
            self._servers_by_zone.setdefault(zone, []).append(server_id)

    def add_reports(self, proxy_ip: str, reports: Iterable[ServerReport], proxies: int, now: int) -> list[ServerReport]:
        """Records one proxy's reports.

        Args:
            proxy_ip: address of the proxy.
            reports: the proxy's observations.
            proxies: number of proxies that serve.
            now: ns.

        Returns:
            The verdicts to send to all proxies.
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
        """Records an observation of a server; returns the resulting verdicts."""
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
        """Withdraws the verdict on an unreachable server that has answered; returns the servers that are healthy again.

        If its verdict was inferred, the zone is reachable, so all inferred verdicts of the zone are withdrawn.
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
        """Returns verdicts on the rest of a server's zone once enough of its servers became unreachable together.

        This spares the proxies from losing a request to each of these servers.
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
        """Drops outdated records, once per SWEEP_INTERVAL_NS."""
        if now - self._swept_at_ns <= SWEEP_INTERVAL_NS:
            return
        self._swept_at_ns = now
        self.records = {server_id: record for server_id, record in self.records.items() if _is_current(record, now)}


def derive_verdict(observations: Sequence[_Observation], min_reporters: int) -> int | None:
    """Derives a verdict from the observations of a server.

    Args:
        observations: recent ones.
        min_reporters: number of proxies that must agree.

    Returns:
        UNREACHABLE, UNHEALTHY, or None if the observations do not suffice.
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
