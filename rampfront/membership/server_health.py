"""Passive health checks of servers, based on the fleet's own requests: the observations and the verdicts.

In a large fleet one proxy contacts a given server once in many seconds, so each proxy would lose a request to a server
without power before detecting it. Together the proxies contact the server several times a second. In each proxy,
`HealthReporter` (`health_reporter.py`) reports observations to the leader: a connect that timed out, a request without
a response for too long, a failed response. At the leader, `HealthRegistry` (`health_registry.py`) combines the reports,
and sends a verdict to all proxies once two or more of them agree. `choice.py` uses the verdict: a server that is
unreachable or unhealthy is selected only with a certain probability, like one that failed the proxy itself.

Active health checks were considered and rejected: they have a price, occupy a slot, and may be wrong (a health check
can succeed while the server fails requests).
"""

from typing import NamedTuple

# Observations of a proxy. The numbers are sent on the wire.
NO_RESPONSE = 0  # a request has had no response for too long
CONNECT_TIMED_OUT = 1
REQUEST_FAILED = 2
HEALTHY = 3  # it answered; as a verdict: it is healthy again
# Verdicts of the leader, besides HEALTHY.
UNREACHABLE = 10
UNHEALTHY = 11

OBSERVATIONS = frozenset((NO_RESPONSE, CONNECT_TIMED_OUT, REQUEST_FAILED, HEALTHY))
VERDICTS = frozenset((UNREACHABLE, UNHEALTHY, HEALTHY))

MAX_REPORTS = 64  # per message


class ServerReport(NamedTuple):
    """An observation or a verdict.

    Attributes:
        server_id: the server's id in the endpoint list.
        status: one of OBSERVATIONS or VERDICTS.
    """

    server_id: str
    status: int
