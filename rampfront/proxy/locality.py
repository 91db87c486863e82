"""The locality weight of a server: by its zone, its region, and whether this proxy prefers it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..membership.endpoint_list import Endpoint
    from ..settings.process_settings import ProcessSettings


class _Distance(NamedTuple):
    """A class of servers by their network distance."""

    weight: float
    preferred: int  # how many servers of a service one proxy prefers


_OWN_ZONE = _Distance(1.0, 8)
_OWN_REGION = _Distance(0.4, 6)
_OTHER_REGION = _Distance(0.02, 4)
_NOT_PREFERRED_FACTOR = 0.1  # applied to the weight of servers that are not preferred

# From this body size on, locality counts more, because traffic between zones and regions is billed per byte.
_LARGE_BODY_BYTES = 8 << 10
_USUAL_EXPONENT = 1.0
_LARGE_BODY_EXPONENT = 3.0


def server_weights(endpoints: Iterable[Endpoint], process_settings: ProcessSettings) -> dict[str, float]:
    """The weights of one service's servers, by server id.

    Among many servers at the same distance each proxy prefers a few, selected by a digest of the names of proxy and
    server (rendezvous hashing). Connections are thus reused, and all proxies together cover all servers evenly."""
    groups: dict[_Distance, list[tuple[bytes, str]]] = {_OWN_ZONE: [], _OWN_REGION: [], _OTHER_REGION: []}
    for endpoint in endpoints:
        digest = blake2b(f"{process_settings.name}|{endpoint.id}".encode(), digest_size=8).digest()
        groups[_distance(endpoint, process_settings)].append((digest, endpoint.id))
    weights = {}
    for distance, servers in groups.items():
        for rank, (_, server_id) in enumerate(sorted(servers)):
            factor = 1.0 if rank < distance.preferred else _NOT_PREFERRED_FACTOR
            weights[server_id] = distance.weight * factor
    return weights


def _distance(endpoint: Endpoint, process_settings: ProcessSettings) -> _Distance:
    """The distance class of a server, seen from this proxy."""
    if endpoint.zone == process_settings.zone:
        return _OWN_ZONE
    if process_settings.zones.get(endpoint.zone) == process_settings.region:
        return _OWN_REGION
    return _OTHER_REGION


def distance_exponent(body_bytes: int) -> float:
    """The power to which a server's weight is raised for a request with a body of `body_bytes`."""
    return _USUAL_EXPONENT if body_bytes < _LARGE_BODY_BYTES else _LARGE_BODY_EXPONENT
