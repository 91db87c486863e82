"""Parses discovery's server lists into rows for the decision driver. No I/O."""

from collections.abc import Mapping
from typing import Any, NamedTuple, cast

import orjson

from .. import terms as t
from ..net.decision_ports import ServerRow

SERVER_STATES = {"in_service": t.UP, "terminating": t.DRAINING, "terminated": t.REMOVED}

_NS_PER_MS = 10**6
_MAX_PORT = 65535
_UNKNOWN_ZONE = -1
_READING_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


class ServerListError(Exception):
    """A server list is not valid."""


class ServerListUpdate(NamedTuple):
    """One update from discovery.

    Attributes:
        version: the version of the list.
        complete: whether it is the whole list, so that servers missing from it are removed.
        rows: the servers.
    """

    version: int
    complete: bool
    rows: list[ServerRow]


def parse_address(text: str) -> tuple[str, int]:
    """Parses `host:port`. Raises ValueError."""
    parts = text.rpartition(":")
    host = parts[0]
    port = parts[2]
    if not host or not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def parse_server_list(content: dict[str, Any], zones: Mapping[str, int]) -> ServerListUpdate:
    """Parses a server list from decoded JSON.

    Args:
        content: the decoded value, which need not be an object.
        zones: the announced zones, name to index.

    Raises:
        ServerListError: the value is not a valid server list.
    """
    try:
        rows = [_parse_row(row, zones) for row in content["targets"]]
        return ServerListUpdate(int(content["rev"]), bool(content.get("all", False)), rows)
    except _READING_ERRORS as error:
        raise _list_error(error) from None


def parse_server_list_line(line: bytes, zones: Mapping[str, int]) -> ServerListUpdate:
    """Parses a server list from a line of JSON. `zones`: see `parse_server_list`. Raises ServerListError."""
    try:
        content = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise _list_error(error) from None
    return parse_server_list(content, zones)


def _parse_row(row: dict[str, Any], zones: Mapping[str, int]) -> ServerRow:
    """Parses one server. Only a terminated server may lack an address."""
    has_address = "endpoint" in row or row["state"] != "terminated"
    return ServerRow(
        uid=row["uid"],
        state=SERVER_STATES[row["state"]],
        zone=zones.get(cast(str, row.get("az")), _UNKNOWN_ZONE),
        cell=int(row.get("pod_group", 0)),
        weight=float(row.get("capacity_hint", 1.0)),
        started_at_ns=int(row.get("boot_ms", 0)) * _NS_PER_MS,
        address=parse_address(row["endpoint"]) if has_address else None,
    )


def _list_error(error: Exception) -> ServerListError:
    """Returns the error for a list whose parsing failed with `error`."""
    return ServerListError(f"{type(error).__name__} {error}")
