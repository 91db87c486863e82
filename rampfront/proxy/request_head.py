"""The head that a server gets in place of the client's. Source: PROTOCOL.md, "Servers".

Left behind are hop-by-hop fields, those that the client's `Connection` names, and those that are this proxy's to set.
`Wanted-Server` and `Time-Left-Ms` differ from attempt to attempt: the connection writes them behind this head.
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
_ALWAYS_KEPT_FIELDS = frozenset((b"host", b"try-id"))  # whatever a client's `Connection` says
_METHODS_WITHOUT_BODY = (b"GET", b"HEAD")


def build_request_head(received: ReceivedRequest, customer: Customer | None) -> bytes:
    """The request line and the fields, each with its line end; the empty line is not in it."""
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
    """Names of the fields that stay behind where the client's `Connection` names some, in lower case."""
    named = {part.strip().lower() for part in header[b"connection"].split(b",")}
    return _DROPPED_FIELDS | (named - _ALWAYS_KEPT_FIELDS)
