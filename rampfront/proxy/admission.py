"""Admission checks that depend only on the request and the configuration; they run before a server is selected.

The checks run in this order, and the first that fails determines the response: identifier, route, key, time left. A
request that they reject has not been sent to any server. The checks that need more than the configuration (a server
that is up, the quota, an identifier that is in use) are in `RequestProxy`.
"""

from ..net.http_status import BAD_REQUEST, HttpStatusError
from ..settings.configuration import Configuration
from ..settings.scalars import MS, SEC
from .outcomes import UNKNOWN_KEY, UNKNOWN_ROUTE, RequestRejectedError
from .request import Admission, ReceivedRequest

_MAX_TRY_ID_BYTES = 256
_BEARER = b"bearer "  # the authentication scheme of RFC 6750, compared case-insensitively
_MAX_TIME_DIGITS = 9  # longest accepted value of `Time-Left-Ms`
_DEFAULT_TIME_LEFT_NS = 60 * SEC  # for a request without a valid `Time-Left-Ms`


def admit(configuration: Configuration, received: ReceivedRequest, margin_ns: int, now_ns: int) -> Admission:
    """Checks a request against the configuration.

    Args:
        configuration: the current configuration.
        received: the request as read from the client.
        margin_ns: part of the request's time that is reserved for returning the response.
        now_ns: the current time.

    Raises:
        HttpStatusError: the request has no usable identifier.
        RequestRejectedError: no route matches, or the key is unknown.
    """
    header = received.header
    try_id = header.get(b"try-id")
    if not try_id or len(try_id) > _MAX_TRY_ID_BYTES:
        raise HttpStatusError(BAD_REQUEST, "Try-Id is missing or too long")
    route = configuration.route(header[b"host"], received.path)
    if route is None:
        raise RequestRejectedError(UNKNOWN_ROUTE)
    customer = None
    if configuration.requires_key:
        credentials = header.get(b"authorization", b"")
        if credentials[: len(_BEARER)].lower() == _BEARER:
            customer = configuration.customer(credentials[len(_BEARER) :].strip())
        if customer is None and not route.public:
            raise RequestRejectedError(UNKNOWN_KEY)
    time_text = header.get(b"time-left-ms", b"")
    time_given = time_text.isdigit() and len(time_text) <= _MAX_TIME_DIGITS
    time_left_ns = int(time_text) * MS if time_given else _DEFAULT_TIME_LEFT_NS
    if route.timeout_ns and route.timeout_ns < time_left_ns:
        time_left_ns = route.timeout_ns
    return Admission(try_id, route, customer, now_ns, now_ns + time_left_ns - margin_ns)
