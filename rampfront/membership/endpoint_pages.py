"""Parses and validates pages of the platform's server list, and compares them with earlier reads. No I/O, no clock.

The fields are defined in PROTOCOL.md, "The platform". A page is not trusted: an invalid one raises `FieldError`, a
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
# A remaining warm-up that is shorter by at most this much is a lagging list, not a change.
WARMING_TOLERANCE_NS = 500 * MS


class ListPage(NamedTuple):
    """The decoded contents of a page.

    Attributes:
        rows: the servers on the page.
        token: of the next page; None: this is the last page.
        faults: reasons why rows were dropped.
    """

    rows: list[Endpoint]
    token: str | None
    faults: list[str]


class Confirmation(NamedTuple):
    """The state of a server that is accepted after a round.

    Attributes:
        endpoint: the accepted state.
        pending: an improvement waits for confirmation by the next round.
    """

    endpoint: Endpoint
    pending: bool


def parse_endpoint(server_id: object, entry: Json, now: int) -> Endpoint:
    """Parses one server of a page. Unknown fields are ignored. Raises FieldError."""
    if type(entry) is not dict:
        raise FieldError(f"not a JSON object: {quoted(entry)}")
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
    """Parses a page of the platform's list. Invalid rows are dropped.

    Raises:
        FieldError: the page itself is invalid.
    """
    try:
        page = json.loads(body)
    except (ValueError, RecursionError):
        raise FieldError("not JSON") from None
    if type(page) is not dict or type(page.get("Servers")) is not dict:
        raise FieldError("no Servers object")
    if "NextToken" not in page:
        raise FieldError("NextToken: missing")  # a truncated page must not pass for the last one
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
    """Returns the accepted state of a server that was `old` and now reads `read`.

    A change for the worse is accepted at once. The end of draining, or a warm-up that ends sooner than announced, is
    accepted once two rounds in a row show it, since the list may lag unevenly, or change between its pages. The same
    applies to a server that is removed without having drained (`Pager`).

    Args:
        old: the accepted state so far.
        read: the state in this round.
        now: ns.
        seen_before: the round before showed such an improvement too.
    """
    if (old.service, old.host, old.port) != (read.service, read.host, read.port):
        return Confirmation(read, False)  # not the same server: its earlier state does not apply
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
