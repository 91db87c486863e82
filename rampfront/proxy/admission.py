"""The checks that a request passes before a server is looked for: pure functions of the request and the
configuration.

`RequestProxy` calls them in this order, and the first that fails decides the response: configuration in force,
Try-Id, route, customer, time left. What they refuse was seen by no server (`RequestRejectedError`). The checks that
need more than the configuration (a server that is up, the quota, an identifier already in use) are the
`RequestProxy`'s own.
"""

from ..net.http_status import HttpStatusError
from ..settings.configuration import Configuration, Customer, Route
from ..settings.scalars import MS, SEC
from .outcomes import UNKNOWN_KEY, UNKNOWN_ROUTE, RequestRejectedError
from .request import ReceivedRequest

LONGEST_TRY_ID_BYTES = 256
_MOST_TIME_DIGITS = 9  # of `Time-Left-Ms`
_DEFAULT_TIME_LEFT_NS = 60 * SEC  # of a request that does not say


def check_try_id(header: dict[bytes, bytes]) -> bytes:
    """The request's identifier. Raises `HttpStatusError` (400) where it has none that can be used."""
    try_id = header.get(b"try-id")
    if not try_id or len(try_id) > LONGEST_TRY_ID_BYTES:
        raise HttpStatusError(400, "Try-Id is missing or too long")
    return try_id


def find_route(configuration: Configuration, received: ReceivedRequest) -> Route:
    """The route by host and longest prefix. Raises `RequestRejectedError` (404)."""
    route = configuration.route(received.header[b"host"], received.path)
    if route is None:
        raise RequestRejectedError(UNKNOWN_ROUTE)
    return route


def authenticate(configuration: Configuration, route: Route, header: dict[bytes, bytes]) -> Customer | None:
    """The customer whose key the request shows; None where the configuration has no customers, or the route is public
    and the request shows no valid key. Raises `RequestRejectedError` (401)."""
    if not configuration.requires_key:
        return None
    scheme, _, key = header.get(b"authorization", b"").partition(b" ")
    customer = configuration.customer(key.strip()) if scheme.lower() == b"bearer" else None
    if customer is None and not route.public:
        raise RequestRejectedError(UNKNOWN_KEY)
    return customer


def time_left_ns(header: dict[bytes, bytes], route: Route, margin_ns: int) -> int:
    """The time until the response has to be out: the client's or the route's, whichever ends sooner, less `margin_ns`
    for the way back. 0 or less: it is too late."""
    text = header.get(b"time-left-ms", b"")
    left = int(text) * MS if text.isdigit() and len(text) <= _MOST_TIME_DIGITS else _DEFAULT_TIME_LEFT_NS
    if route.timeout_ns:
        left = min(left, route.timeout_ns)
    return left - margin_ns
