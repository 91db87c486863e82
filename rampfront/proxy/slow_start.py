"""Slow start: determines when a server began to warm up. No I/O.

A server that is warming up gets at most `ColdPerS` requests per second from all proxies together (RULES, FAILBACK). The
proxies do not coordinate: each has an equal share (`budget_shares.py`), which `choice.py` spends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..settings.scalars import SEC

if TYPE_CHECKING:
    from ..membership.endpoint_list import Endpoint
    from ..settings.configuration import Service

DEFAULT_WARM_UP_NS = SEC  # for a service without a warm-up time, whose servers are never in slow start
_WARMED_UP = 0  # how `choice.py` represents a server that started long ago


def warm_up_started_at(endpoint: Endpoint, service: Service, zone_reopened_at_ns: int | None, now_ns: int) -> int:
    """The server's start time (ns) for `choice.py`: 0 for long ago, else such that its slow start ends on time.

    `zone_reopened_at_ns`: when the evacuation of its zone ended, None if it was not evacuated recently."""
    until_ns = endpoint.warming_until_ns
    if zone_reopened_at_ns is not None and zone_reopened_at_ns + service.warmup > now_ns:
        # Servers of an evacuated zone may have cooled down, and the server list reports that only with a delay.
        until_ns = max(until_ns, zone_reopened_at_ns + service.warmup)
    return until_ns - service.warmup if until_ns > now_ns else _WARMED_UP
