"""A request's forms: as a client sent it, as it was admitted, and as it is under way.

`ReceivedRequest` is what the client's connection read, `Admission` what the checks found of it, both immutable. From
then on `ProxiedRequest` stands for it until the client has its one response. What it may still be answered depends on
what its attempts have left behind, so its life is one state and a table of transitions; nothing else may set the state:

    UNEXECUTED --attempt uncertain--> POSSIBLY_EXECUTED --failure response--> FAILURE_RETAINED
        |                                     |                                     |
        +--closed--> CLOSED_UNEXECUTED        +--closed--> CLOSED <--closed---------+

An attempt that certainly did not run changes nothing. Attempts may end behind the close: a hedged request's second
one, or those that were cancelled with it. A closed request keeps what is known of its execution, because a decision
that was taken just before the close is still carried out and counted by it.
"""

from enum import IntEnum
from typing import NamedTuple, Protocol

from ..net.decision_driver import DecisionDriver
from ..net.exchange import Exchange
from ..settings.configuration import Customer, Route
from .attempt_policy import READ_ONLY
from .outcomes import LocalResponse
from .server_response import ServerResponse

HeaderLine = tuple[bytes, bytes]  # a field's name in lower case, and the complete field as it came, with its line end


class ReceivedRequest(NamedTuple):
    """A client's complete request, its framing checked."""

    method: bytes
    target: bytes  # as it came: a path, or an absolute URL
    path: bytes  # of the target; begins with a slash
    header_lines: list[HeaderLine]  # all fields in their order
    header: dict[bytes, bytes]  # the fields that a proxy goes by, by their names in lower case; `host` is one
    body: bytes


class Admission(NamedTuple):
    """What the checks found of a request that passed them.

    Attributes:
        try_id: the identifier of this try of the request.
        route: the route by host and longest prefix.
        customer: whose key the request shows; None where the configuration has no customers, or where the route is
            public and the request shows no valid key.
        received_at_ns: ns of the clock.
        deadline_at_ns: when the response has to be out, ns of the clock.
    """

    try_id: bytes
    route: Route
    customer: Customer | None
    received_at_ns: int
    deadline_at_ns: int


class RequestState(IntEnum):
    """Where a request stands. (Hashing a plain `Enum` is slow.)"""

    UNEXECUTED = 0  # no server can have run it
    POSSIBLY_EXECUTED = 1  # a server may have run it; no response is at hand
    FAILURE_RETAINED = 2  # a server may have run it; its failure goes back if nothing better comes
    CLOSED_UNEXECUTED = 3  # the client has its response, or is gone; no server can have run it
    CLOSED = 4  # the client has its response, or is gone; a server may have run it


class RequestEvent(IntEnum):
    """What changes a request's state."""

    ATTEMPT_UNCERTAIN = 0  # an attempt ended, and its server may have run it
    FAILURE_RESPONSE = 1  # likewise, and the server gave a response that reports a failure
    CLOSE = 2  # the client got its response, or went away


_TRANSITIONS: dict[RequestState, dict[RequestEvent, RequestState]] = {
    RequestState.UNEXECUTED: {
        RequestEvent.ATTEMPT_UNCERTAIN: RequestState.POSSIBLY_EXECUTED,
        RequestEvent.FAILURE_RESPONSE: RequestState.FAILURE_RETAINED,
        RequestEvent.CLOSE: RequestState.CLOSED_UNEXECUTED,
    },
    RequestState.POSSIBLY_EXECUTED: {
        RequestEvent.ATTEMPT_UNCERTAIN: RequestState.POSSIBLY_EXECUTED,
        RequestEvent.FAILURE_RESPONSE: RequestState.FAILURE_RETAINED,
        RequestEvent.CLOSE: RequestState.CLOSED,
    },
    RequestState.FAILURE_RETAINED: {
        RequestEvent.ATTEMPT_UNCERTAIN: RequestState.FAILURE_RETAINED,
        RequestEvent.FAILURE_RESPONSE: RequestState.FAILURE_RETAINED,
        RequestEvent.CLOSE: RequestState.CLOSED,
    },
    RequestState.CLOSED_UNEXECUTED: {
        RequestEvent.ATTEMPT_UNCERTAIN: RequestState.CLOSED,
        RequestEvent.FAILURE_RESPONSE: RequestState.CLOSED,
        RequestEvent.CLOSE: RequestState.CLOSED_UNEXECUTED,
    },
    RequestState.CLOSED: dict.fromkeys(RequestEvent, RequestState.CLOSED),
}

ACCOUNT = "all"  # `choice.py` counts no accounts here
# Looked up once: they are needed for each request.
_UNEXECUTED = RequestState.UNEXECUTED
_CLOSE = RequestEvent.CLOSE
_NOT_EXECUTED = (RequestState.UNEXECUTED, RequestState.CLOSED_UNEXECUTED)


class RequestingClient(Protocol):
    """The client's side of a request: `client_front.RequestConnection`."""

    def accepted(self, exchange: "ProxiedRequest") -> None:
        """The request was admitted; the client is owed its response."""

    def forward(self, response: ServerResponse) -> None:
        """Writes a server's response."""

    def respond(self, response: LocalResponse) -> None:
        """Writes a response of this proxy."""


class ProxiedRequest(Exchange[RequestingClient]):
    """One admitted request: what is sent for it, who waits for it, and its state.

    Attributes:
        admission: what it was admitted with.
        driver: of its service, which has its attempts.
        once_only: whether no second server may run it once one may have.
        state: where it stands; `apply` changes it.
        failure_response: the last failure that a server gave for it.
    """

    __slots__ = ("admission", "driver", "once_only", "state", "failure_response")

    def __init__(
        self, client: RequestingClient, admission: Admission, line: "ServiceLine", head: bytes, body: bytes
    ) -> None:
        """`head` and `body`: what servers get."""
        super().__init__(client, admission.try_id, head, body, line.product)
        self.account = ACCOUNT
        self.admission = admission
        self.driver = line.driver
        self.once_only = admission.route.request_type != READ_ONLY
        self.state = _UNEXECUTED
        self.failure_response: ServerResponse | None = None

    def apply(self, event: RequestEvent) -> None:
        """Changes the state by the table."""
        self.state = _TRANSITIONS[self.state][event]

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run it, be it closed or not."""
        return self.state not in _NOT_EXECUTED

    @property
    def retained_failure(self) -> ServerResponse | None:
        """The failure that goes back if nothing better comes."""
        return self.failure_response if self.state is RequestState.FAILURE_RETAINED else None

    def retain_failure(self, response: ServerResponse) -> None:
        """Keeps a server's failure: the last one goes back if nothing better comes."""
        self.failure_response = response
        self.apply(RequestEvent.FAILURE_RESPONSE)

    def detach_client(self) -> RequestingClient | None:
        """Nothing is owed any more: the request is closed. Returns who waits for the response, once; None where the
        client is gone or has it."""
        self.state = _TRANSITIONS[self.state][_CLOSE]
        client = self.client
        self.client = None
        return client

    def cancel(self) -> None:
        """Ends every attempt of a request whose client is gone, by the one path there is for it."""
        self.driver.client_left(self)


class ServiceLine(NamedTuple):
    """Where a service takes the requests of a route. There are few, and they are kept.

    Attributes:
        driver: of the service's decisions.
        product: the index there of what these requests allow.
    """

    driver: DecisionDriver[ProxiedRequest]
    product: int
