"""What requests show of the servers' health, handed to where it is put together for the fleet.

`membership/server_health.py` weighs the observations of all proxies; here stands only which end of an attempt is one.
The durations of responses are counted here too: they go to the metrics.
"""

from .. import terms as t
from ..membership.health_reporter import CONNECT_TIMEOUT_NS, HealthReporter
from ..membership.server_health import CONNECT_TIMED_OUT, HEALTHY, REQUEST_FAILED
from ..net.latency_histogram import LatencyHistogram

# Ends of an attempt that tell of the server's health. A connect that hung is one too, by its time.
_SEEN = {t.DONE: HEALTHY, t.ERROR: REQUEST_FAILED, t.CONNECTION_LOST: REQUEST_FAILED}


class ServerObserver(HealthReporter):
    """Takes the begin (`request_started`) and the end of every attempt of this proxy."""

    def __init__(self) -> None:
        """Nothing was observed yet."""
        super().__init__()
        self.response_durations = LatencyHistogram()  # from a request handed to a server to its complete response

    def attempt_ended(self, reference: int, server_id: str, outcome: int, lasted_ns: int, now_ns: int) -> None:
        """An attempt has ended: `outcome` as `terms` has it, `lasted_ns` since its start."""
        hung = outcome == t.CONNECT_FAILED and lasted_ns >= CONNECT_TIMEOUT_NS
        self.request_ended(reference, server_id, now_ns, CONNECT_TIMED_OUT if hung else _SEEN.get(outcome))
