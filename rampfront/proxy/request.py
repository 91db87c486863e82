"""The representations of a request: as received, as admitted, and as forwarded.

`ReceivedRequest` is the request as the client's connection read it, `Admission` the result of the checks; both are
immutable. An admitted request is represented by a `ProxiedRequest` until the client has its one response. Which
responses are still possible depends on how its attempts ended, so its lifecycle is a state machine: one state and a
table of transitions. Nothing else may set the state:

    UNEXECUTED --attempt uncertain--> POSSIBLY_EXECUTED --failure response--> FAILURE_RETAINED
        |                                     |                                     |
        +--closed--> CLOSED_UNEXECUTED        +--closed--> CLOSED <--closed---------+

An attempt that certainly was not executed leaves the state unchanged. Attempts may end after the request is closed:
the second one of a hedged request, or those that were cancelled with the request. A closed request keeps the knowledge
about its execution, because a decision that was made just before the close is still carried out and counted by it.
"""

from enum import IntEnum
from typing import NamedTuple, Protocol

from ..net.decision_driver import DecisionDriver
from ..net.exchange import Exchange
from ..settings.configuration import Customer, Route
from .attempt_policy import READ_ONLY
from .outcomes import LocalResponse
from .refusal_log import UnexecutedAttempt
from .server_response import ServerResponse

HeaderLine = tuple[bytes, bytes]  # a field's name in lower case, and the complete field as received, with its line end


class ReceivedRequest(NamedTuple):
    """A client's complete request, with valid framing."""

    method: bytes
    target: bytes  # as received: a path, or an absolute URL
    path: bytes  # the target's path; begins with a slash
    header_lines: list[HeaderLine]  # all fields in their order
    header: dict[bytes, bytes]  # the fields that the proxy evaluates, by lower-case name; always includes `host`
    body: bytes


class Admission(NamedTuple):
    """The result of the admission checks for a request that passed them.

    Attributes:
        try_id: the identifier of this try of the request.
        route: the route matched by host and longest path prefix.
        customer: the owner of the request's key; None if the configuration has no customers, or if the route is public
            and the request has no valid key.
        received_at_ns: the time of receipt, in ns of the clock.
        deadline_at_ns: the time by which the response must be sent, in ns of the clock.
    """

    try_id: bytes
    route: Route
    customer: Customer | None
    received_at_ns: int
    deadline_at_ns: int


class RequestState(IntEnum):
    """The state of a request. An `IntEnum`, because hashing a plain `Enum` is slow."""

    UNEXECUTED = 0  # no server can have executed it
    POSSIBLY_EXECUTED = 1  # a server may have executed it; no response is available
    FAILURE_RETAINED = 2  # a server may have executed it; its failure response is returned if no better one arrives
    CLOSED_UNEXECUTED = 3  # the client has its response or has disconnected; no server can have executed it
    CLOSED = 4  # the client has its response or has disconnected; a server may have executed it


class RequestEvent(IntEnum):
    """The events that change a request's state."""

    ATTEMPT_UNCERTAIN = 0  # an attempt ended, and its server may have executed the request
    FAILURE_RESPONSE = 1  # likewise, and the server's response reports a failure
    CLOSE = 2  # the client got its response or disconnected


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

ACCOUNT = "all"  # one account for all requests: `choice.py` does not distinguish customers here
# Looked up once, because they are needed for each request.
_UNEXECUTED = RequestState.UNEXECUTED
_CLOSE = RequestEvent.CLOSE
_NOT_EXECUTED = (RequestState.UNEXECUTED, RequestState.CLOSED_UNEXECUTED)


class RequestingClient(Protocol):
    """The client's side of a request, implemented by `client_front.RequestConnection`."""

    def accepted(self, exchange: "ProxiedRequest") -> None:
        """Notifies that the request was admitted: `exchange` will produce the response."""

    def charge_retained(self, size: int) -> None:
        """Charges `size` bytes of a response that is kept for the client while further attempts are made."""

    def forward(self, response: ServerResponse) -> None:
        """Writes a server's response."""

    def respond(self, response: LocalResponse) -> None:
        """Writes a response that this proxy generated."""


class ProxiedRequest(Exchange[RequestingClient]):
    """One admitted request: the bytes sent to servers, the waiting client, and the state.

    Attributes:
        admission: the result of its admission checks.
        driver: the decision driver of its service, which makes its attempts.
        once_only: whether it must not be sent to a second server once one may have executed it.
        state: its state; changed by `apply`.
        failure_response: the last failure response of a server.
        unexecuted_attempts: the attempts that ended and were certainly not executed.
    """

    __slots__ = ("admission", "driver", "once_only", "state", "failure_response", "unexecuted_attempts")

    def __init__(
        self, client: RequestingClient, admission: Admission, handle: "ProductHandle", head: bytes, body: bytes
    ) -> None:
        """`head` and `body` are sent to servers."""
        super().__init__(client, admission.try_id, head, body, handle.product)
        self.account = ACCOUNT
        self.admission = admission
        self.driver = handle.driver
        self.once_only = admission.route.request_type != READ_ONLY
        self.state = _UNEXECUTED
        self.failure_response: ServerResponse | None = None
        self.unexecuted_attempts: tuple[UnexecutedAttempt, ...] = ()

    def apply(self, event: RequestEvent) -> None:
        """Changes the state according to the table of transitions."""
        self.state = _TRANSITIONS[self.state][event]

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have executed it, whether or not it is closed."""
        return self.state not in _NOT_EXECUTED

    @property
    def retained_failure(self) -> ServerResponse | None:
        """The failure response that is returned if no better one arrives."""
        return self.failure_response if self.state is RequestState.FAILURE_RETAINED else None

    def used_connection(self, connection: int) -> bool:
        """Whether an earlier attempt, which was not executed, was made on the connection with this number."""
        return any(attempt.connection == connection for attempt in self.unexecuted_attempts)

    def retain_failure(self, response: ServerResponse) -> None:
        """Keeps a server's failure response: the last one is returned if no better response arrives."""
        self.failure_response = response
        if self.client is not None:
            self.client.charge_retained(len(response.body))
        self.apply(RequestEvent.FAILURE_RESPONSE)

    def detach_client(self) -> RequestingClient | None:
        """Closes the request and returns the client that waits for the response.

        Returns None if the client has disconnected or already has its response."""
        self.state = _TRANSITIONS[self.state][_CLOSE]
        client = self.client
        self.client = None
        return client

    def cancel(self) -> None:
        """Cancels every attempt, because the client has disconnected. There is no other path for cancellation."""
        self.driver.client_left(self)


class ProductHandle(NamedTuple):
    """The entry point of a service for the requests of a route. There are few of them, and they are kept.

    Attributes:
        driver: the decision driver of the service.
        product: the index of these requests' decision parameters at the driver.
    """

    driver: DecisionDriver[ProxiedRequest]
    product: int
