"""What this proxy answers by itself, and whether the request may have run when it does.

A client may send a request again without harm only if no server ran it, so every response that is not a server's
states its `Execution`. The forms are fixed: there is one constant for each reason, and nothing is built for a request
that goes well. PROTOCOL.md, "Answers", has the status codes:

    401, 404        no such key, no such route                         not executed
    429             beyond the customer's quota                        not executed
    503             no configuration, server or capacity               not executed, with `Retry-After`
    502, 504        every attempt failed, or none answered in time     possibly executed
"""

from enum import Enum, auto
from typing import NamedTuple

from ..settings.scalars import MS


class Execution(Enum):
    """What is known of whether a server ran a request."""

    NOT_EXECUTED = auto()  # certain: it may be sent again, whatever it changes
    POSSIBLY_EXECUTED = auto()  # a server may have run it, or may yet run it


class LocalResponse(NamedTuple):
    """A response that this proxy words itself."""

    status: int  # of HTTP
    reason: bytes  # the body, for whoever reads it
    execution: Execution
    retry_after_ns: int = 0  # advice when to send it again; 0: none
    counter: str = ""  # the log's counter that counts it; "": counted elsewhere


class RequestRejectedError(Exception):
    """A request that was not admitted. It was not executed, and no server has seen it."""

    def __init__(self, response: LocalResponse) -> None:
        """`response`: what the client gets."""
        assert response.execution is Execution.NOT_EXECUTED, "a request that was not admitted has not run"
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
TIMED_OUT = LocalResponse(504, b"no answer in time", Execution.POSSIBLY_EXECUTED)
