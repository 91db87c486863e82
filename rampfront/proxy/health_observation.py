"""Passive health checking: reports the outcomes of attempts for the fleet's view of server health.

`membership/server_health.py` evaluates the observations of all proxies; this module only determines which outcomes of
an attempt count as observations. It also records the response durations for the metrics.
"""

from .. import terms as t
from ..membership.health_reporter import CONNECT_TIMEOUT_NS, HealthReporter
from ..membership.server_health import CONNECT_TIMED_OUT, HEALTHY, REQUEST_FAILED
from ..net.latency_histogram import LatencyHistogram

# Outcomes of an attempt that indicate the server's health. A connect that timed out does too, by its duration.
_HEALTH_BY_OUTCOME = {t.DONE: HEALTHY, t.ERROR: REQUEST_FAILED, t.CONNECTION_LOST: REQUEST_FAILED}


class ServerObserver(HealthReporter):
    """Is notified of the start (`request_started`) and the end of every attempt of this proxy."""

    def __init__(self) -> None:
        """Starts without observations."""
        super().__init__()
        self.response_durations = LatencyHistogram()  # from sending a request to a server to its complete response

    def attempt_ended(self, reference: int, server_id: str, outcome: int, duration_ns: int, now_ns: int) -> None:
        """Records the end of an attempt: `outcome` is one of the constants of `terms`, `duration_ns` its duration."""
        connect_timed_out = outcome == t.CONNECT_FAILED and duration_ns >= CONNECT_TIMEOUT_NS
        self.request_ended(
            reference, server_id, now_ns, CONNECT_TIMED_OUT if connect_timed_out else _HEALTH_BY_OUTCOME.get(outcome)
        )
