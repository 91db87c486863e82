"""HTTP status codes and reason phrases of both servers, and the exception that refuses a request with a status code.

`http.HTTPStatus` has the codes too, but importing it would make every start slower.
"""

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
REQUEST_TIMEOUT = 408
CONFLICT = 409
CONTENT_TOO_LARGE = 413
HEADER_FIELDS_TOO_LARGE = 431
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503

REASON_PHRASES = {
    OK: b"OK",
    202: b"Accepted",
    204: b"No Content",
    307: b"Temporary Redirect",
    BAD_REQUEST: b"Bad Request",
    401: b"Unauthorized",
    NOT_FOUND: b"Not Found",
    METHOD_NOT_ALLOWED: b"Method Not Allowed",
    REQUEST_TIMEOUT: b"Request Timeout",
    CONFLICT: b"Conflict",
    412: b"Precondition Failed",
    CONTENT_TOO_LARGE: b"Content Too Large",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    HEADER_FIELDS_TOO_LARGE: b"Request Header Fields Too Large",
    INTERNAL_SERVER_ERROR: b"Internal Server Error",
    502: b"Bad Gateway",
    SERVICE_UNAVAILABLE: b"Service Unavailable",
    504: b"Gateway Timeout",
}
"""Reason phrases by status code, from RFC 9110, section 15."""


class HttpStatusError(Exception):
    """Refuses a request with a status code.

    Attributes:
        status: the status code of its response.
    """

    def __init__(self, status: int, message: str) -> None:
        """`message` describes the error in the request; it is the body of the response."""
        super().__init__(message)
        self.status = status
