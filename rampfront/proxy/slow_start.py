"""Slow start: when a server began to warm up, and how many requests a second this proxy may send it meanwhile. No
I/O.

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


def warm_up_started_at(endpoint: Endpoint, service: Service, zone_reopened_at: int | None, now: int) -> int:
    """When the server came up as `choice.py` counts it (ns): 0 for long ago, else so that its slow start ends in time.

    `zone_reopened_at`: when the evacuation of its zone ended, None if it was not evacuated lately."""
    until = endpoint.warming_until_ns
    if zone_reopened_at is not None and zone_reopened_at + service.warmup > now:
        # Guards the servers of a zone that was evacuated: they may have become cold, and the list says so late.
        until = max(until, zone_reopened_at + service.warmup)
    return until - service.warmup if until > now else _WARMED_UP
