"""A server's complete response, as it goes back to the client, and the header fields that are looked at on the way.

Source: PROTOCOL.md, "Servers". Fields that concern one connection alone (RFC 9110, 7.6.1) are left behind in both
directions; all others are passed on as they came.
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
)  # `content-length` too: bodies are passed on complete, so their length is written anew

MISDIRECTED = 421  # another server has the address
# A client takes these to say that the request has not run; without `Not-Run` it may have.
NOT_RUN_STATUSES = frozenset((408, 429, 503))
FIRST_SERVER_ERROR = 500
SUCCESS_STATUSES = range(200, 300)


class ServerResponse(NamedTuple):
    """A response that was read to its end and belongs to its request."""

    status: int
    header_lines: list[bytes]  # the fields as they came, with their line ends, without hop-by-hop fields
    body: bytes


_LOAD_NAMES = ("running", "waiting", "slots")  # of the parts, as `choice.py` reads them
_MAX_LOAD_DIGITS = 6


def parse_server_load(text: bytes) -> Report | None:
    """The figures of a `Server-Load` field: requests that run there, that wait there, and how many it runs at once.

    None where it is not three small integers."""
    parts = text.split(b",")
    if len(parts) != len(_LOAD_NAMES):
        return None
    for part in parts:
        if not part.strip().isdigit() or len(part) > _MAX_LOAD_DIGITS:
            return None
    return dict(zip(_LOAD_NAMES, map(int, parts), strict=True))
