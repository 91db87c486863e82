"""The endpoint list: all servers that requests may go to, as the platform lists them. No I/O, no clock.

The leader reads the platform's pages (`endpoint_pages.py`, `endpoint_list_pager.py`, `endpoint_list_poller.py`),
numbers each list that differs from the one before, and passes it on to all nodes (`endpoint_codec.py`).
"""

from socket import AF_INET, inet_pton
from typing import NamedTuple

from ..settings.errors import FieldError, quoted
from ..settings.scalars import SEC

READY = "ready"
DRAINING = "emptying"  # the platform's word for it
STATES = {READY: READY, DRAINING: DRAINING}  # the keys interned, so that all rows share them

MAX_ENDPOINTS = 20_000
MAX_NAME_CHARACTERS = 200  # of an id, a service, a zone
MAX_CAPACITY = 100_000  # slots of a server
MAX_WARMING_NS = 3600 * SEC


class Endpoint(NamedTuple):
    """One server.

    Attributes:
        id: its id.
        service: the service that it belongs to.
        host: an IPv4 address in numbers.
        port: its port.
        zone: the failure domain that it stands in.
        capacity: requests that it serves at a time.
        state: READY or DRAINING.
        warming_until_ns: end of its slow start, by the own clock; 0: it is not warming up. It stays the last field:
            digests leave it out (`endpoint_codec.endpoint_history`).
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    capacity: int
    state: str
    warming_until_ns: int


class EndpointList(NamedTuple):
    """One complete list.

    Attributes:
        version: rises when an endpoint differs from the list before.
        endpoints: sorted by id.
        read_at_ns: when its first page was asked for, by the own clock.
    """

    version: int
    endpoints: tuple[Endpoint, ...]
    read_at_ns: int = 0


class Changes(NamedTuple):
    """What differs between two lists.

    Attributes:
        added: endpoints that only the new list has.
        changed: endpoints that differ, as the new list has them.
        gone: endpoints that only the old list has.
    """

    added: tuple[Endpoint, ...]
    changed: tuple[Endpoint, ...]
    removed: tuple[Endpoint, ...]


def changes(old: EndpointList | None, new: EndpointList) -> Changes:
    """What `new` says that `old` did not; `old` None: an empty list."""
    old_by_id = {endpoint.id: endpoint for endpoint in old.endpoints} if old else {}
    added, changed = [], []
    for endpoint in new.endpoints:
        before = old_by_id.pop(endpoint.id, None)
        if before is None:
            added.append(endpoint)
        elif before != endpoint:
            changed.append(endpoint)
    return Changes(tuple(added), tuple(changed), tuple(old_by_id.values()))


def check_name(value: object, field: str) -> str:
    """`value`, if it can be an id or a name. Raises FieldError, which names `field`."""
    if type(value) is not str or not 0 < len(value) <= MAX_NAME_CHARACTERS or not value.isprintable():
        raise FieldError(f"{field}: {quoted(value)}")
    return value


def check_count(value: object, maximum: int, field: str) -> int:
    """`value`, if it is an integer from 1 to `maximum`. Raises FieldError, which names `field`."""
    if type(value) is not int or not 0 < value <= maximum:
        raise FieldError(f"{field}: {quoted(value)}")
    return value


def check_ip(host: str) -> str:
    """`host`, if it is an IPv4 address. Raises FieldError.

    Guards against a name: to resolve it would block the event loop, and the platform gives none.
    """
    try:
        inet_pton(AF_INET, host)
    except (OSError, ValueError):
        raise FieldError(f"Address: {quoted(host)}") from None
    return host
