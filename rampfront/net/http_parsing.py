"""What all readers of HTTP/1.1 share: the parser's errors as ours, and a few constants of the syntax."""

import httptools

from .http_status import BAD_REQUEST, HttpStatusError

FIELD_OVERHEAD_BYTES = 4  # of a header field: ": " and the line's end
FIRST_FINAL_STATUS = 200  # below it a response is only announced (RFC 9110, section 15.2)
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
FRAMING_SHIFT = 3  # chunk framing may add an eighth to a body


def feed_request(parser: httptools.HttpRequestParser, data: bytes | memoryview) -> HttpStatusError | None:
    """Feeds bytes to a parser of requests.

    Returns:
        Why they cannot be followed: what a callback raised, or that they are no HTTP/1.1. None if they can.
    """
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        return HttpStatusError(BAD_REQUEST, "no upgrades here")
    except httptools.HttpParserError as error:
        cause = error.__context__
        return cause if isinstance(cause, HttpStatusError) else HttpStatusError(BAD_REQUEST, "not HTTP/1.1")
    return None
