"""Encodes endpoint lists for other nodes as values for cbor2, in full or as a delta. No I/O, no clock.

The encoded form is `[version, age, names, rows]`. Services and zones are encoded as positions in `names`. Times are
encoded as remaining or elapsed ns, since the clocks of two nodes differ. A delta lists only the changed endpoints in
`rows` and has three more parts: the version that it is based on, the digest of the result, and the removed ids. A list
from another node is not trusted: an invalid one raises `FieldError`, a `ValueError`.
"""

from __future__ import annotations

from operator import attrgetter
from typing import NamedTuple

from ..settings.errors import FieldError, quoted
from ..settings.scalars import PORTS
from .deltas import Delta, DeltaHistory, Packed
from .endpoint_list import (
    DRAINING,
    MAX_CAPACITY,
    MAX_ENDPOINTS,
    MAX_WARMING_NS,
    READY,
    Endpoint,
    EndpointList,
    check_count,
    check_ip,
    check_name,
)


class _EncodedList(NamedTuple):
    """The parts of an encoded complete list."""

    version: Packed
    age_ns: Packed
    names: Packed
    rows: Packed


_COMPLETE_PARTS = len(_EncodedList._fields)


def endpoint_history() -> DeltaHistory[Endpoint]:
    """Returns an empty history of lists. The digest leaves out the last field, which is a time by the local clock."""
    return DeltaHistory(attrgetter("id"), len(Endpoint._fields) - 1)


def encode(endpoint_list: EndpointList, now: int) -> list[Packed]:
    """Encodes the complete list."""
    positions: dict[str, int] = {}
    rows = [
        [
            endpoint.id,
            positions.setdefault(endpoint.service, len(positions)),
            endpoint.host,
            endpoint.port,
            positions.setdefault(endpoint.zone, len(positions)),
            endpoint.capacity,
            endpoint.state == DRAINING,
            max(0, endpoint.warming_until_ns - now) if endpoint.warming_until_ns else 0,
        ]
        for endpoint in endpoint_list.endpoints
    ]
    return [endpoint_list.version, max(0, now - endpoint_list.read_at_ns), list(positions), rows]


def decode(encoded: Packed, now: int) -> EndpointList:
    """Decodes what `encode` made, with times by the local clock. Raises FieldError."""
    try:
        parts = _EncodedList(*encoded)
        version = parts.version
        age_ns = parts.age_ns
        if type(version) is not int or type(age_ns) is not int or version < 0 or age_ns < 0:
            raise FieldError("invalid endpoint list")
        if len(parts.rows) > MAX_ENDPOINTS:
            raise FieldError("invalid endpoint list")
        names = [check_name(name, "a name") for name in parts.names]
        endpoints = _decode_endpoints(parts.rows, names, now)
    except FieldError:
        raise
    except (TypeError, ValueError, IndexError) as error:
        raise FieldError(f"invalid endpoint list: {error}") from None
    return EndpointList(version, endpoints, now - age_ns)


def _decode_endpoints(rows: Packed, names: list[str], now: int) -> tuple[Endpoint, ...]:
    """Decodes the rows; of several rows with the same id, the last one counts."""
    endpoints: dict[str, Endpoint] = {}
    for server_id, service, host, port, zone, capacity, draining, warming_ns in rows:
        if type(warming_ns) is not int or not 0 <= warming_ns <= MAX_WARMING_NS or type(draining) is not bool:
            raise FieldError(f"invalid endpoint row: {quoted(server_id)}")
        if service < 0 or zone < 0:
            raise FieldError(f"invalid endpoint row: {quoted(server_id)}")
        endpoints[server_id] = Endpoint(
            check_name(server_id, "Id"),
            names[service],
            check_ip(host),
            check_count(port, PORTS.stop - 1, "port"),
            names[zone],
            check_count(capacity, MAX_CAPACITY, "Capacity"),
            DRAINING if draining else READY,
            now + warming_ns if warming_ns else 0,
        )
    return tuple(endpoints.values())


def encode_since(endpoint_list: EndpointList, now: int, history: DeltaHistory[Endpoint], version: int) -> list[Packed]:
    """Encodes the list for a node that holds `version`: as a delta if `history` has one, otherwise complete."""
    delta = history.delta_since(version)
    if delta is None:
        return encode(endpoint_list, now)
    changed = EndpointList(endpoint_list.version, tuple(delta.changed), endpoint_list.read_at_ns)
    return [*encode(changed, now), delta.base, delta.digest, delta.removed]


def decode_since(
    encoded: list[Packed], now: int, history: DeltaHistory[Endpoint], current_version: int
) -> EndpointList | None:
    """Decodes what `encode_since` made; returns None if it is not newer than `current_version`.

    Raises:
        FieldError: the list is not valid.
        DeltaMismatchError: it is a delta that cannot be applied to version `current_version` of `history`.
    """
    received = decode(encoded[:_COMPLETE_PARTS], now)
    if received.version <= current_version:
        return None
    if len(encoded) == _COMPLETE_PARTS:
        return received
    delta = Delta(received.endpoints, *encoded[_COMPLETE_PARTS:])
    return EndpointList(received.version, history.apply(current_version, delta), received.read_at_ns)
