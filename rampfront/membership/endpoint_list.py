"""The platform's list of servers: its pages read and checked, and the snapshot that all nodes go by. No I/O, no clock.

A page comes from the platform, a packed list from another node; neither is trusted. What is not valid raises
`FieldError`, a `ValueError`. `server_list_pager.py` asks for the pages.
"""

import json
from dataclasses import dataclass
from socket import AF_INET, inet_pton
from typing import Any, NamedTuple

from ..settings.errors import FieldError, quoted
from ..settings.scalars import MS, PORTS, SEC, Json, parse_address, parse_duration
from .deltas import DeltaHistory

READY, DRAINING = "ready", "emptying"
STATES = {READY: READY, DRAINING: DRAINING}
LONGEST_NAME = 200  # characters of an id, a service, a zone
LONGEST_TOKEN = 512  # and of a page's token
LONGEST_SHOWN_ID = 40  # characters of an id that a reason quotes
MOST_ROWS = 20_000  # servers of a list
MOST_CAPACITY = 100_000  # slots of a server
MOST_COLD = 3600 * SEC
STEADY = 500 * MS  # a server's cold time that reads so much shorter than before is the list's lag, not news
WHOLE_PARTS = 4  # of a packed list that is no difference

Packed = Any  # a value as cbor2 gives it, of any type


class Endpoint(NamedTuple):
    """One server."""

    id: str
    service: str
    host: str  # an IPv4 address in numbers
    port: int
    zone: str
    capacity: int
    state: str  # READY or DRAINING
    warming_until_ns: int  # ns of the own clock, 0: not cold


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One whole list. `number` rises when a row differs from the list before; `read_at`: ns of the own clock, when its
    first page was asked for."""

    version: int
    endpoints: tuple[Endpoint, ...]  # by id
    read_at_ns: int = 0


class Changes(NamedTuple):
    """What differs between two lists."""

    added: tuple[Endpoint, ...]
    changed: tuple[Endpoint, ...]  # as they are now
    gone: tuple[Endpoint, ...]  # as they were


class ListPage(NamedTuple):
    """What a page of the platform's list says."""

    rows: list[Endpoint]
    token: str | None  # of the next page; None: this is the last one
    faults: list[str]  # why a row was dropped


def check_name(value: object, what: str) -> str:
    """`value`, if it can be an id or a name."""
    if type(value) is not str or not 0 < len(value) <= LONGEST_NAME or not value.isprintable():
        raise FieldError(f"{what}: {quoted(value)}")
    return value


def check_whole(value: object, most: int, what: str) -> int:
    """`value`, if it is a whole number from 1 on."""
    if type(value) is not int or not 0 < value <= most:
        raise FieldError(f"{what}: {quoted(value)}")
    return value


def check_ip(host: str) -> str:
    """`host`, if it is an IPv4 address. Guards against a name: to look it up would hold the loop, and none can be."""
    try:
        inet_pton(AF_INET, host)
    except (OSError, ValueError):
        raise FieldError(f"Address: {quoted(host)}") from None
    return host


def parse_endpoint(uid: object, entry: Json, now: int) -> Endpoint:
    """A server of a page. Fields that are not known are left alone."""
    if type(entry) is not dict:
        raise FieldError(f"not a table: {quoted(entry)}")
    host, port = parse_address(entry.get("Address"))
    state = entry.get("State")
    if type(state) is not str or state not in STATES:
        raise FieldError(f"State: {quoted(state)}")
    cold_left = entry.get("ColdLeft")
    cold = 0 if cold_left is None else min(parse_duration(cold_left), MOST_COLD)
    return Endpoint(
        check_name(uid, "Id"),
        check_name(entry.get("Service"), "Service"),
        check_ip(host),
        port,
        check_name(entry.get("Zone"), "Zone"),
        check_whole(entry.get("Capacity"), MOST_CAPACITY, "Capacity"),
        STATES[state],
        now + cold if cold else 0,
    )


def parse_page(body: bytes, now: int) -> ListPage:
    """A page of the platform's list. A row that is not valid is dropped, a page that cannot be read refused."""
    try:
        page = json.loads(body)
    except (ValueError, RecursionError):
        raise FieldError("not JSON") from None
    if type(page) is not dict or type(page.get("Servers")) is not dict:
        raise FieldError("no table Servers")
    if "NextToken" not in page:
        raise FieldError("NextToken: missing")  # guards against a page cut short that reads as the last
    token = page["NextToken"]
    if token is not None and (type(token) is not str or not 0 < len(token) <= LONGEST_TOKEN):
        raise FieldError(f"NextToken: {quoted(token)}")
    rows, faults = [], []
    for uid, entry in page["Servers"].items():
        try:
            rows.append(parse_endpoint(uid, entry, now))
        except FieldError as error:
            faults.append(f"{uid[:LONGEST_SHOWN_ID]!r}: {error}")
    return ListPage(rows, token, faults)


def believed(old: Endpoint, row: Endpoint, now: int, again: bool) -> tuple[Endpoint, bool]:
    """What is believed of a server that was `old` and reads `row`, and whether that waits for the next round.

    Bad news holds at once. Guards against a list that lags unevenly, or moved under its pages: that a server is no
    longer emptying, or is warm sooner than it said, is believed of two rounds in a row (`again`: the one before read so
    too). Likewise one that is gone without having been emptying."""
    if (old.service, old.host, old.port) != (row.service, row.host, row.port):
        return row, False  # nothing of the old one can be relied on
    state, cold, hold = row.state, row.warming_until_ns, False
    if old.state == DRAINING and state == READY and not again:
        state, hold = DRAINING, True
    if cold < old.warming_until_ns and now < old.warming_until_ns:
        if cold and old.warming_until_ns - cold <= STEADY:
            cold = old.warming_until_ns  # the same spell, read a little earlier
        elif not again:
            cold, hold = old.warming_until_ns, True
    if (state, cold) == (row.state, row.warming_until_ns):
        return row, hold
    return Endpoint(row.id, row.service, row.host, row.port, row.zone, row.capacity, state, cold), hold


def changes(old: EndpointList | None, new: EndpointList) -> Changes:
    """What `new` says that `old` did not; `old` may be None."""
    was = {row.id: row for row in old.endpoints} if old else {}
    added, changed = [], []
    for row in new.endpoints:
        before = was.pop(row.id, None)
        if before is None:
            added.append(row)
        elif before != row:
            changed.append(row)
    return Changes(tuple(added), tuple(changed), tuple(was.values()))


def encode(servers: EndpointList, now: int) -> list[Packed]:
    """Plain values for cbor2. Times go as ns that are left or past: clocks of two nodes differ."""
    names: dict[str, int] = {}
    rows = [
        [
            row.id,
            names.setdefault(row.service, len(names)),
            row.host,
            row.port,
            names.setdefault(row.zone, len(names)),
            row.capacity,
            row.state == DRAINING,
            max(0, row.warming_until_ns - now) if row.warming_until_ns else 0,
        ]
        for row in servers.endpoints
    ]
    return [servers.version, max(0, now - servers.read_at_ns), list(names), rows]


def decode(plain: Packed, now: int) -> EndpointList:
    """`EndpointList` of what `encode` made, in the own clock."""
    try:
        number, age, names, listed = plain
        if type(number) is not int or type(age) is not int or number < 0 or age < 0 or len(listed) > MOST_ROWS:
            raise FieldError("no list of servers")
        names = [check_name(name, "a name") for name in names]
        rows = {}
        for packed in listed:
            row = _unpack_row(packed, names, now)
            rows[row.id] = row
    except FieldError:
        raise
    except (TypeError, ValueError, IndexError) as error:
        raise FieldError(f"no list of servers: {error}") from None
    return EndpointList(number, tuple(rows.values()), now - age)


def _unpack_row(packed: Packed, names: list[str], now: int) -> Endpoint:
    uid, service, host, port, zone, capacity, emptying, cold = packed
    if type(cold) is not int or not 0 <= cold <= MOST_COLD or type(emptying) is not bool or service < 0 or zone < 0:
        raise FieldError(f"a row: {quoted(uid)}")
    return Endpoint(
        check_name(uid, "Id"),
        names[service],
        check_ip(host),
        check_whole(port, PORTS.stop - 1, "port"),
        names[zone],
        check_whole(capacity, MOST_CAPACITY, "Capacity"),
        DRAINING if emptying else READY,
        now + cold if cold else 0,
    )


def encode_since(servers: EndpointList, now: int, history: DeltaHistory, since: int) -> list[Packed]:
    """`encode`, or where `history` knows the list of number `since`: what changed, what that rests on, the mark, ids
    gone."""
    delta = history.difference_from(since)
    if delta is None:
        return encode(servers, now)
    mark, gone, rows = delta
    return [*encode(EndpointList(servers.version, tuple(rows), servers.read_at_ns), now), since, mark, gone]


def decode_since(plain: list[Packed], now: int, history: DeltaHistory, number: int) -> EndpointList | None:
    """The `EndpointList` that `encode_since` packed; None: not newer than `number`, which is held. Raises
    DeltaMismatchError too."""
    servers = decode(plain[:WHOLE_PARTS], now)
    if servers.version <= number:
        return None
    if len(plain) == WHOLE_PARTS:
        return servers
    base, mark, gone = plain[WHOLE_PARTS:]
    return EndpointList(servers.version, history.apply(number, base, mark, gone, servers.endpoints), servers.read_at_ns)
