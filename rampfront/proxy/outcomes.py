"""The responses that this proxy generates itself, and whether the request may have been executed.

A client can safely send a request again only if no server executed it, so every response that is not a server's
states its `Execution`. The responses are fixed: there is one constant for each reason, and a successful request
allocates none. PROTOCOL.md, "Answers", has the status codes:

    401, 404        unknown key, unknown route                         not executed
    429             customer's quota exceeded                          not executed
    503             no configuration, server or capacity               not executed, with `Retry-After`
    502, 504        all attempts failed, or no response in time        possibly executed
    502             no memory for the server's response                possibly executed
"""

from enum import Enum, auto
from typing import NamedTuple

from ..settings.scalars import MS


class Execution(Enum):
    """What is known about whether a server executed a request."""

    NOT_EXECUTED = auto()  # certain: the request may be sent again, even if it changes data
    POSSIBLY_EXECUTED = auto()  # a server may have executed it, or may still execute it


class LocalResponse(NamedTuple):
    """A response that this proxy generates itself."""

    status: int  # HTTP status code
    reason: bytes  # the body, in plain text
    execution: Execution
    retry_after_ns: int = 0  # delay after which the client may send the request again; 0: none given
    counter: str = ""  # name of the log's counter to increment; "": counted elsewhere


class RequestRejectedError(Exception):
    """A request that was not admitted. It was not executed, and was sent to no server."""

    def __init__(self, response: LocalResponse) -> None:
        """`response`: the response for the client."""
        assert response.execution is Execution.NOT_EXECUTED, "a request that was not admitted cannot have been executed"
        super().__init__(response.reason.decode())
        self.response = response


NO_CONFIGURATION = LocalResponse(503, b"no configuration yet", Execution.NOT_EXECUTED, 300 * MS, "no_lease")
UNKNOWN_ROUTE = LocalResponse(404, b"no such route", Execution.NOT_EXECUTED, counter="unknown_route")
UNKNOWN_KEY = LocalResponse(401, b"no such key", Execution.NOT_EXECUTED, counter="unknown_key")
NO_SERVER = LocalResponse(503, b"no server", Execution.NOT_EXECUTED, 500 * MS, "no_server")
OVER_QUOTA = LocalResponse(429, b"beyond the quota", Execution.NOT_EXECUTED, counter="over_quota")
TOO_MANY_CONNECTIONS = LocalResponse(
    503, b"too many connections", Execution.NOT_EXECUTED, 500 * MS, counter="turned_away"
)
NO_CAPACITY = LocalResponse(503, b"no room", Execution.NOT_EXECUTED, 200 * MS)
FAILED = LocalResponse(502, b"it may have run", Execution.POSSIBLY_EXECUTED)
RESPONSE_DISCARDED = LocalResponse(502, b"no memory for the answer", Execution.POSSIBLY_EXECUTED)
TIMED_OUT = LocalResponse(504, b"no answer in time", Execution.POSSIBLY_EXECUTED)
