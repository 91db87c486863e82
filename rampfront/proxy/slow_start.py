"""Slow start: when a server began to warm up. No I/O.

A server that is warming up takes `ColdPerS` requests a second from all proxies together (RULES, FAILBACK). No proxy
asks another: each keeps an even part (`budget_shares.py`), and `choice.py` spends it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..settings.scalars import SEC

if TYPE_CHECKING:
    from ..membership.endpoint_list import Endpoint
    from ..settings.configuration import Service

DEFAULT_WARM_UP_NS = SEC  # of a service that has none: its servers never warm up
_WARMED_UP = 0  # `choice.py`'s form of "long ago"


def warm_up_started_at(endpoint: Endpoint, service: Service, zone_reopened_at_ns: int | None, now_ns: int) -> int:
    """When the server came up as `choice.py` counts it (ns): 0 for long ago, else so that its slow start ends in time.

    `zone_reopened_at_ns`: when the evacuation of its zone ended, None if it was not evacuated lately."""
    until_ns = endpoint.warming_until_ns
    if zone_reopened_at_ns is not None and zone_reopened_at_ns + service.warmup > now_ns:
        # Guards the servers of a zone that was evacuated: they may have cooled down, and the list says so late.
        until_ns = max(until_ns, zone_reopened_at_ns + service.warmup)
    return until_ns - service.warmup if until_ns > now_ns else _WARMED_UP
