"""Builds the request head that is sent to servers from the client's. Source: PROTOCOL.md, "Servers".

Hop-by-hop fields, the fields named by the client's `Connection`, and the fields that this proxy sets itself are not
forwarded. `Wanted-Server` and `Time-Left-Ms` differ between attempts, so the connection appends them to this head.
"""

from ..settings.configuration import Customer
from .request import ReceivedRequest
from .server_response import HOP_BY_HOP_FIELDS

_DROPPED_FIELDS = HOP_BY_HOP_FIELDS | {
    b"authorization",
    b"customer",
    b"wanted-server",
    b"time-left-ms",
    b"expect",
    b"content-length",
}
_ALWAYS_KEPT_FIELDS = frozenset((b"host", b"try-id"))  # even if the client's `Connection` names them
_METHODS_WITHOUT_BODY = (b"GET", b"HEAD")


def build_request_head(received: ReceivedRequest, customer: Customer | None) -> bytes:
    """Returns the request line and the fields, each with its line end, without the terminating empty line."""
    method = received.method
    body = received.body
    lines = [b"%s %s HTTP/1.1\r\n" % (method, received.target)]
    dropped = _dropped_fields(received.header) if b"connection" in received.header else _DROPPED_FIELDS
    lines += [line for name, line in received.header_lines if name not in dropped]
    if customer:
        lines.append(b"Customer: %s\r\n" % customer.name.encode())
    if body or method not in _METHODS_WITHOUT_BODY:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join(lines)


def _dropped_fields(header: dict[bytes, bytes]) -> frozenset[bytes]:
    """The lower-case names of the fields that are not forwarded, for a request with a `Connection` field."""
    named = {part.strip().lower() for part in header[b"connection"].split(b",")}
    return _DROPPED_FIELDS | (named - _ALWAYS_KEPT_FIELDS)
