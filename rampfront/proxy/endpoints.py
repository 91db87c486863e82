"""The servers that may get requests, derived from the configuration, the server list and the evacuations. No I/O.

Only this module combines the three; `ServicePool.update` passes the changes on to the service's decisions.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING, NamedTuple

from .. import terms as t
from ..membership.endpoint_list import DRAINING, READY
from ..net.decision_ports import ServerRow
from .locality import server_weights
from .slow_start import warm_up_started_at

if TYPE_CHECKING:
    from ..membership.endpoint_list import Endpoint, EndpointList
    from ..settings.configuration import Configuration
    from ..settings.process_settings import ProcessSettings

_STATES = {READY: t.UP, DRAINING: t.DRAINING}
_ONE_CELL = 0  # servers of this system are not divided into cells
_FULL_WEIGHT = 1.0


class Zones(NamedTuple):
    """The state of the zones that determines which servers may get requests."""

    index_by_name: Mapping[str, int]  # servers of other zones get no requests
    evacuated: Collection[str]  # names
    reopened_at_ns: Mapping[str, int]  # when the evacuation of a zone ended (ns), for recently evacuated zones


def endpoints_by_service(
    configuration: Configuration, servers: EndpointList, zones: Zones, process_settings: ProcessSettings, now_ns: int
) -> dict[str, dict[str, ServerRow]]:
    """The endpoints of every service of the configuration, by service and by server id."""
    listed: dict[str, list[Endpoint]] = {name: [] for name in configuration.services}
    for endpoint in servers.endpoints:
        if endpoint.service in listed and endpoint.zone in zones.index_by_name:
            listed[endpoint.service].append(endpoint)
    found: dict[str, dict[str, ServerRow]] = {}
    for name, endpoints in listed.items():
        locality = server_weights(endpoints, process_settings)
        service = configuration.services[name]
        found[name] = {
            endpoint.id: ServerRow(
                endpoint.id,
                t.DRAINING if endpoint.zone in zones.evacuated else _STATES.get(endpoint.state, t.DRAINING),
                zones.index_by_name[endpoint.zone],
                _ONE_CELL,
                _FULL_WEIGHT,
                warm_up_started_at(endpoint, service, zones.reopened_at_ns.get(endpoint.zone), now_ns),
                (endpoint.host, endpoint.port),
                locality[endpoint.id],
            )
            for endpoint in endpoints
        }
    return found
