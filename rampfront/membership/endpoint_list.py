"""The endpoint list: all servers that can receive requests, as the platform lists them. No I/O, no clock.

The leader reads the platform's pages (`endpoint_pages.py`, `endpoint_list_pager.py`, `endpoint_list_poller.py`),
gives each list that differs from the one before a new version, and sends it to all nodes (`endpoint_codec.py`).
"""

from socket import AF_INET, inet_pton
from typing import NamedTuple

from ..settings.errors import FieldError, quoted
from ..settings.scalars import SEC

READY = "ready"
DRAINING = "emptying"  # the platform's name for this state
STATES = {READY: READY, DRAINING: DRAINING}  # maps each state to one string object, so that all rows share it

MAX_ENDPOINTS = 20_000
MAX_NAME_CHARACTERS = 200  # of an id, a service or a zone
MAX_CAPACITY = 100_000  # concurrent requests of a server
MAX_WARMING_NS = 3600 * SEC


class Endpoint(NamedTuple):
    """One server.

    Attributes:
        id: unique id of the server.
        service: the service that the server belongs to.
        host: an IPv4 address in dotted decimal.
        port: TCP port.
        zone: failure domain of the server.
        capacity: maximum number of concurrent requests.
        state: READY or DRAINING.
        warming_until_ns: end of the slow start, by the local clock; 0 if the server is not warming up. This must remain
            the last field, since digests leave it out (`endpoint_codec.endpoint_history`).
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
        version: increases whenever an endpoint differs from the list before.
        endpoints: sorted by id.
        read_at_ns: when the first page was requested, by the local clock.
    """

    version: int
    endpoints: tuple[Endpoint, ...]
    read_at_ns: int = 0


class Changes(NamedTuple):
    """The differences between two lists.

    Attributes:
        added: endpoints that only the new list has.
        changed: endpoints that differ, as the new list has them.
        removed: endpoints that only the old list has.
    """

    added: tuple[Endpoint, ...]
    changed: tuple[Endpoint, ...]
    removed: tuple[Endpoint, ...]


def changes(old: EndpointList | None, new: EndpointList) -> Changes:
    """Returns the differences between `old` and `new`; None stands for an empty list."""
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
    """Returns `value` if it is a valid id or name. Raises FieldError, which names `field`."""
    if type(value) is not str or not 0 < len(value) <= MAX_NAME_CHARACTERS or not value.isprintable():
        raise FieldError(f"{field}: {quoted(value)}")
    return value


def check_count(value: object, maximum: int, field: str) -> int:
    """Returns `value` if it is an integer from 1 to `maximum`. Raises FieldError, which names `field`."""
    if type(value) is not int or not 0 < value <= maximum:
        raise FieldError(f"{field}: {quoted(value)}")
    return value


def check_ip(host: str) -> str:
    """Returns `host` if it is an IPv4 address. Raises FieldError.

    A host name is rejected: resolving it would block the event loop, and the platform lists none.
    """
    try:
        inet_pton(AF_INET, host)
    except (OSError, ValueError):
        raise FieldError(f"Address: {quoted(host)}") from None
    return host
