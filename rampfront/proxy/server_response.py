"""A server's complete response as it is returned to the client, and the header fields that the proxy evaluates.

Source: PROTOCOL.md, "Servers". Hop-by-hop fields (RFC 9110, 7.6.1) are not forwarded in either direction; all other
fields are forwarded unchanged.
"""

from typing import NamedTuple

from ..net.server_response import Report

HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)  # includes `content-length`, which is regenerated, because bodies are forwarded complete

MISDIRECTED = 421  # another server has the address
# Clients conclude from these that the request was not executed; without `Not-Run` it may have been.
NOT_RUN_STATUSES = frozenset((408, 429, 503))
FIRST_SERVER_ERROR = 500
SUCCESS_STATUSES = range(200, 300)


class ServerResponse(NamedTuple):
    """A response that was read completely and belongs to its request."""

    status: int
    header_lines: list[bytes]  # the fields as received, with their line ends, without hop-by-hop fields
    body: bytes


_LOAD_NAMES = ("running", "waiting", "slots")  # names of the parts, as `choice.py` expects them
_MAX_LOAD_DIGITS = 6


def parse_server_load(text: bytes) -> Report | None:
    """Parses a `Server-Load` field: requests running, requests waiting, and how many the server runs concurrently.

    Returns None if it is not three small integers."""
    parts = text.split(b",")
    if len(parts) != len(_LOAD_NAMES):
        return None
    for part in parts:
        if not part.strip().isdigit() or len(part) > _MAX_LOAD_DIGITS:
            return None
    return dict(zip(_LOAD_NAMES, map(int, parts), strict=True))
