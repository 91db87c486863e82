"""Collects one proxy's observations of servers, and filters the leader's verdicts. No I/O, no clock."""

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

# A request without a response is reported after this multiple of the mean duration, within the bounds below.
RESPONSE_TIMEOUT_FACTOR = 2.5
MIN_RESPONSE_TIMEOUT_NS = 300 * MS
MAX_RESPONSE_TIMEOUT_NS = 3 * SEC
# A connect that fails no sooner than this timed out. A server that refuses sooner may be full as well as gone.
CONNECT_TIMEOUT_NS = 150 * MS
RECENT_CONTACT_NS = 300 * MS  # a proxy with a response this recent rejects the verdict that the server is unreachable
VERDICT_MEMORY_NS = 3 * SEC
SWEEP_INTERVAL_NS = SEC


class HealthReporter:
    """Observes the start and end of requests, and collects observations to report."""

    def __init__(self) -> None:
        """Starts without observations."""
        self.pending: dict[int, tuple[str, int]] = {}  # in-flight requests: number to (server, sent at); a plain tuple,
        # since each request pays for it
        self.deadlines: list[tuple[int, int]] = []  # heap of (response deadline, request number)
        self._last_number = 0
        self.last_response_at_ns: dict[str, int] = {}  # by server; swept
        self.unreachable_since_ns: dict[str, int] = {}  # by server, from verdicts; cleared by responses, and swept
        self._reports: list[ServerReport] = []
        self._swept_at_ns = 0

    def request_started(self, server_id: str, mean_duration_ns: float, now: int) -> int:
        """Records the start of a request to a server.

        Args:
            server_id: the server's id.
            mean_duration_ns: mean duration of such requests; 0: not known yet.
            now: ns.

        Returns:
            The request number to pass to `request_ended`.
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
        """Records the end of a request.

        Args:
            number: returned by `request_started`.
            server_id: the server's id.
            now: ns.
            observation: CONNECT_TIMED_OUT, REQUEST_FAILED or HEALTHY; None: it shows nothing about the server.
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
        """Returns the observations to report to the leader now; those that exceed one message are dropped."""
        self._report_missing_responses(now)
        if now - self._swept_at_ns > SWEEP_INTERVAL_NS:
            self._sweep(now)
        reports = self._reports[:MAX_REPORTS]
        self._reports = []
        return reports

    def _report_missing_responses(self, now: int) -> None:
        """Reports requests past their deadline, unless the server answered another request since they were sent."""
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
        """Returns the accepted verdicts. Contradicts a verdict that a server is unreachable if it answered recently."""
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
