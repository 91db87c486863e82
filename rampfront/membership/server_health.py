"""Passive health checks of the servers by the fleet's own requests: what is observed, and what is concluded from it.

A proxy of a large fleet meets a server once in many seconds, so each would lose a request of its own to a server
without power before it knew; together they meet it several times a second. In each proxy `HealthReporter`
(`health_reporter.py`) reports to the leader what requests showed: a connect that timed out, a request without a
response for long, an answer that failed. At the leader `HealthRegistry` (`health_registry.py`) puts the reports
together, and tells all proxies its verdict once two or more of them agree. What a proxy does with that is
`choice.py`'s: a server that is called unreachable or unhealthy gets work by a draw of its chance, as one that failed
the proxy itself does.

Active health checks were weighed against this: they are priced, take a slot, and may lie (a health answer is good while
the server fails requests).
"""

from typing import NamedTuple

# What a proxy observes. The numbers go over the wire.
NO_RESPONSE = 0  # a request has no response for long
CONNECT_TIMED_OUT = 1
REQUEST_FAILED = 2
HEALTHY = 3  # it answered; as a verdict: it is healthy again
# What the leader concludes, beside HEALTHY.
UNREACHABLE = 10
UNHEALTHY = 11

OBSERVATIONS = frozenset((NO_RESPONSE, CONNECT_TIMED_OUT, REQUEST_FAILED, HEALTHY))
VERDICTS = frozenset((UNREACHABLE, UNHEALTHY, HEALTHY))

MAX_REPORTS = 64  # in a message


class ServerReport(NamedTuple):
    """An observation or a verdict.

    Attributes:
        server_id: the server's id on the endpoint list.
        status: one of OBSERVATIONS or VERDICTS.
    """

    server_id: str
    status: int
