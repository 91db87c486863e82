"""What the network path to a server weighs: its zone, its region, and whether this proxy prefers it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..membership.endpoint_list import Endpoint
    from ..settings.process_settings import ProcessSettings


class _Distance(NamedTuple):
    """A class of servers by the path to them."""

    weight: float
    preferred: int  # servers of a service that one proxy prefers


_OWN_ZONE = _Distance(1.0, 8)
_OWN_REGION = _Distance(0.4, 6)
_ELSEWHERE = _Distance(0.02, 4)
_NOT_PREFERRED_FACTOR = 0.1  # on the weight of the servers that are not among the preferred

_LARGE_BODY_BYTES = 8 << 10  # from here on the path weighs more: each byte between zones and regions is priced
_USUAL_EXPONENT = 1.0
_LARGE_BODY_EXPONENT = 3.0


def server_weights(endpoints: Iterable[Endpoint], process_settings: ProcessSettings) -> dict[str, float]:
    """The weights of one service's servers by their ids.

    Of many at one distance each proxy prefers a few of its own, by a digest of both names (rendezvous hashing): so
    connections are used again, and all proxies together cover all servers evenly."""
    groups: dict[_Distance, list[tuple[bytes, str]]] = {_OWN_ZONE: [], _OWN_REGION: [], _ELSEWHERE: []}
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
    """How far a server is from this proxy."""
    if endpoint.zone == process_settings.zone:
        return _OWN_ZONE
    if process_settings.zones.get(endpoint.zone) == process_settings.region:
        return _OWN_REGION
    return _ELSEWHERE


def distance_exponent(body_bytes: int) -> float:
    """The power to which a server's weight is raised for a request with a body of this size."""
    return _USUAL_EXPONENT if body_bytes < _LARGE_BODY_BYTES else _LARGE_BODY_EXPONENT
