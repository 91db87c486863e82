"""What one proxy's requests show of the servers, and which of the leader's verdicts it believes. No I/O, no clock."""

from collections.abc import Iterable
from heapq import heappop, heappush

from .server_health import (
    CONNECT_TIMED_OUT,
    HEALTHY,
    MAX_REPORTS,
    NO_RESPONSE,
    REQUEST_FAILED,
    UNREACHABLE,
    ServerReport,
)

MS = 10**6  # ns
SEC = 10**9

RESPONSE_TIMEOUT_FACTOR = 2.5  # mean times after which a request without a response is reported, within these bounds:
MIN_RESPONSE_TIMEOUT_NS = 300 * MS
MAX_RESPONSE_TIMEOUT_NS = 3 * SEC
# A connect that failed no sooner has timed out: one refused sooner tells of a full server as well as of a gone one.
CONNECT_TIMEOUT_NS = 150 * MS
RECENT_CONTACT_NS = 300 * MS  # a proxy that had an answer so lately does not believe that a server is unreachable
VERDICT_MEMORY_NS = 3 * SEC
SWEEP_INTERVAL_NS = SEC


class HealthReporter:
    """Observes requests as they start and end, and collects what is to be reported."""

    def __init__(self) -> None:
        """Nothing has been observed yet."""
        self.pending: dict[int, tuple[str, int]] = {}  # requests under way: number to (server, sent at); no class: each
        # request pays for it
        self.deadlines: list[tuple[int, int]] = []  # heap of (when patience ends, request number)
        self._last_number = 0
        self.last_response_at_ns: dict[str, int] = {}  # by server; swept
        self.unreachable_since_ns: dict[str, int] = {}  # by server, as the leader told; emptied by answers, and swept
        self._reports: list[ServerReport] = []
        self._swept_at_ns = 0

    def request_started(self, server_id: str, mean_duration_ns: float, now: int) -> int:
        """A request goes to a server.

        Args:
            server_id: the server's id.
            mean_duration_ns: what such requests take; 0: not known yet.
            now: ns.

        Returns:
            The number by which it ends (`request_ended`).
        """
        self._last_number += 1
        self.pending[self._last_number] = server_id, now
        if mean_duration_ns:
            timeout_ns = int(
                min(MAX_RESPONSE_TIMEOUT_NS, max(MIN_RESPONSE_TIMEOUT_NS, RESPONSE_TIMEOUT_FACTOR * mean_duration_ns))
            )
            heappush(self.deadlines, (now + timeout_ns, self._last_number))
        return self._last_number

    def request_ended(self, number: int, server_id: str, now: int, observation: int | None = None) -> None:
        """A request has ended.

        Args:
            number: as `request_started` gave it.
            server_id: the server's id.
            now: ns.
            observation: CONNECT_TIMED_OUT, REQUEST_FAILED or HEALTHY; None: it shows nothing of the server.
        """
        self.pending.pop(number, None)
        if observation in (HEALTHY, REQUEST_FAILED):
            self.last_response_at_ns[server_id] = now
            was_unreachable = self.unreachable_since_ns.pop(server_id, None) is not None
            if was_unreachable and observation == HEALTHY:
                self._reports.append(ServerReport(server_id, HEALTHY))
        if observation in (CONNECT_TIMED_OUT, REQUEST_FAILED):
            self._reports.append(ServerReport(server_id, observation))

    def take_reports(self, now: int) -> list[ServerReport]:
        """What is to be reported to the leader now; the rest beyond one message is dropped."""
        self._report_missing_responses(now)
        if now - self._swept_at_ns > SWEEP_INTERVAL_NS:
            self._sweep(now)
        reports = self._reports[:MAX_REPORTS]
        self._reports = []
        return reports

    def _report_missing_responses(self, now: int) -> None:
        """Notes requests whose patience has ended, unless the server answered another one since they were sent."""
        while self.deadlines and self.deadlines[0][0] <= now:
            _, number = heappop(self.deadlines)
            server_id, sent_at_ns = self.pending.get(number, (None, 0))
            if server_id and self.last_response_at_ns.get(server_id, -1) < sent_at_ns:
                self._reports.append(ServerReport(server_id, NO_RESPONSE))

    def _sweep(self, now: int) -> None:
        self._swept_at_ns = now
        responses = self.last_response_at_ns.items()
        verdicts = self.unreachable_since_ns.items()
        self.last_response_at_ns = {server_id: at for server_id, at in responses if now - at < MAX_RESPONSE_TIMEOUT_NS}
        self.unreachable_since_ns = {server_id: at for server_id, at in verdicts if now - at < VERDICT_MEMORY_NS}

    def accept_verdicts(self, verdicts: Iterable[ServerReport], now: int) -> list[ServerReport]:
        """The leader's verdicts that this proxy believes. It contradicts one of a server that has just answered it."""
        accepted: list[ServerReport] = []
        for verdict in verdicts:
            server_id = verdict.server_id
            if verdict.status == UNREACHABLE:
                if self._answered_recently(server_id, now):
                    self._reports.append(ServerReport(server_id, HEALTHY))
                    continue
                self.unreachable_since_ns[server_id] = now
            accepted.append(verdict)
        return accepted

    def _answered_recently(self, server_id: str, now: int) -> bool:
        last_response_at_ns = self.last_response_at_ns.get(server_id)
        return last_response_at_ns is not None and now - last_response_at_ns < RECENT_CONTACT_NS
