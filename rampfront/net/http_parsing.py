"""Shared by all readers of HTTP/1.1: translation of the parser's errors, and constants of the syntax."""

import re

import httptools

from .http_status import BAD_REQUEST, HttpStatusError

FIELD_OVERHEAD_BYTES = 4  # of a header field: ": " and CRLF
FIRST_FINAL_STATUS = 200  # lower status codes are interim responses (RFC 9110, section 15.2)
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
FRAMING_SHIFT = 3  # chunk framing may add an eighth to the size of a body
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")


def contains_status_line(text: bytes) -> bool:
    """Whether a reason phrase or a field value contains a status line.

    It then is the beginning of another response, in front of which an earlier one was broken off: the two make one
    head, of which nothing can be trusted.
    """
    return b"HTTP/1." in text and _STATUS_LINE.search(text) is not None


def feed_request(parser: httptools.HttpRequestParser, data: bytes | memoryview) -> HttpStatusError | None:
    """Feeds bytes to a parser of requests.

    Returns:
        The error, raised by a callback or because the bytes are not HTTP/1.1; None if there is none.
    """
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        return HttpStatusError(BAD_REQUEST, "no upgrades here")
    except httptools.HttpParserError as error:
        cause = error.__context__
        return cause if isinstance(cause, HttpStatusError) else HttpStatusError(BAD_REQUEST, "not HTTP/1.1")
    return None
