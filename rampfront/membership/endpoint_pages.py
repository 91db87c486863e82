"""Pages of the platform's list of servers: read, checked, and compared with what was read before. No I/O, no clock.

Source of the fields: PROTOCOL.md, "The platform". A page is not trusted: what is not valid raises `FieldError`, a
`ValueError`.
"""

import json
from typing import NamedTuple

from ..settings.errors import FieldError, quoted
from ..settings.scalars import MS, Json, parse_address, parse_duration
from .endpoint_list import (
    DRAINING,
    MAX_CAPACITY,
    MAX_WARMING_NS,
    READY,
    STATES,
    Endpoint,
    check_count,
    check_ip,
    check_name,
)

MAX_TOKEN_CHARACTERS = 512
MAX_QUOTED_ID_CHARACTERS = 40
# A warm-up that reads so much shorter than before is the list's lag, not a change.
WARMING_TOLERANCE_NS = 500 * MS


class ListPage(NamedTuple):
    """What a page of the platform's list says.

    Attributes:
        rows: its servers.
        token: of the next page; None: this is the last one.
        faults: why rows were dropped.
    """

    rows: list[Endpoint]
    token: str | None
    faults: list[str]


class Confirmation(NamedTuple):
    """What is believed of a server.

    Attributes:
        endpoint: as it is believed to be.
        pending: good news of it waits for the next round.
    """

    endpoint: Endpoint
    pending: bool


def parse_endpoint(server_id: object, entry: Json, now: int) -> Endpoint:
    """A server of a page. Fields that are not known are ignored. Raises FieldError."""
    if type(entry) is not dict:
        raise FieldError(f"not a table: {quoted(entry)}")
    host, port = parse_address(entry.get("Address"))
    state = entry.get("State")
    if type(state) is not str or state not in STATES:
        raise FieldError(f"State: {quoted(state)}")
    cold_left = entry.get("ColdLeft")
    warming_ns = 0 if cold_left is None else min(parse_duration(cold_left), MAX_WARMING_NS)
    return Endpoint(
        check_name(server_id, "Id"),
        check_name(entry.get("Service"), "Service"),
        check_ip(host),
        port,
        check_name(entry.get("Zone"), "Zone"),
        check_count(entry.get("Capacity"), MAX_CAPACITY, "Capacity"),
        STATES[state],
        now + warming_ns if warming_ns else 0,
    )


def parse_page(body: bytes, now: int) -> ListPage:
    """A page of the platform's list. A row that is not valid is dropped.

    Raises:
        FieldError: the page itself is not valid.
    """
    try:
        page = json.loads(body)
    except (ValueError, RecursionError):
        raise FieldError("not JSON") from None
    if type(page) is not dict or type(page.get("Servers")) is not dict:
        raise FieldError("no table Servers")
    if "NextToken" not in page:
        raise FieldError("NextToken: missing")  # guards against a page cut short that reads as the last
    token = page["NextToken"]
    if token is not None and (type(token) is not str or not 0 < len(token) <= MAX_TOKEN_CHARACTERS):
        raise FieldError(f"NextToken: {quoted(token)}")
    rows, faults = [], []
    for server_id, entry in page["Servers"].items():
        try:
            rows.append(parse_endpoint(server_id, entry, now))
        except FieldError as error:
            faults.append(f"{server_id[:MAX_QUOTED_ID_CHARACTERS]!r}: {error}")
    return ListPage(rows, token, faults)


def confirm(old: Endpoint, read: Endpoint, now: int, seen_before: bool) -> Confirmation:
    """What is believed of a server that was `old` and now reads `read`.

    Bad news counts at once. Guards against a list that lags unevenly, or moved under its pages: that a server no longer
    drains, or is warm sooner than it said, counts once two rounds in a row say so. The same holds for a server that is
    gone without having drained (`Pager`).

    Args:
        old: as it was believed to be.
        read: as this round has it.
        now: ns.
        read_before: the round before had such news of it too.
    """
    if (old.service, old.host, old.port) != (read.service, read.host, read.port):
        return Confirmation(read, False)  # nothing of the old one can be relied on
    state = read.state
    warming_until_ns = read.warming_until_ns
    pending = False
    if old.state == DRAINING and state == READY and not seen_before:
        state = DRAINING
        pending = True
    if warming_until_ns < old.warming_until_ns and now < old.warming_until_ns:
        if warming_until_ns and old.warming_until_ns - warming_until_ns <= WARMING_TOLERANCE_NS:
            warming_until_ns = old.warming_until_ns  # the same warm-up, read a little earlier
        elif not seen_before:
            warming_until_ns = old.warming_until_ns
            pending = True
    if state == read.state and warming_until_ns == read.warming_until_ns:
        return Confirmation(read, pending)
    return Confirmation(read._replace(state=state, warming_until_ns=warming_until_ns), pending)
