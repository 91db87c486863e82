"""The interfaces of the decision driver: rows of the server list, ends of submissions, and the ports.

A port is the protocol class of a component that the driver calls. `TransactionGateway` and the system's `RequestProxy`
implement `Gateway`, `ServerConnectionPool` implements `ServerPool`, `edge/counter_client.py` has the counter,
`rampfront/storm.py` the retry storm control, and `rampfront/syslog/` the recorder of decisions.
"""

from typing import Generic, Literal, NamedTuple, Protocol, TypeVar

from .exchange import AnyExchange, ExchangeT, ResponseBody, StreamSource

ExchangeT_contra = TypeVar("ExchangeT_contra", bound=AnyExchange, contravariant=True)


class ServerRow(NamedTuple):
    """One row of the server list.

    Attributes:
        uid: the server's id.
        state: UP, DRAINING or REMOVED of `terms.py`.
        zone: the index of its zone.
        cell: the index of its group.
        weight: its capacity relative to the other servers.
        started_at_ns: when it started; 0 for long ago.
        address: host and port; None for a removed server.
        proximity: weight by the network distance.
    """

    uid: str
    state: int
    zone: int
    cell: int
    weight: float
    started_at_ns: int
    address: tuple[str, int] | None
    proximity: float = 1.0


class SubmissionEnd(NamedTuple, Generic[ExchangeT]):
    """How a submission ended.

    Attributes:
        exchange: the transaction.
        attempt: the number of the submission among those of the transaction.
        server: the index of the server.
        outcome: DONE, ERROR, ... of `terms.py`.
        duration_ns: the time from its start to its end.
        units: the units that the transaction took, as the server reports them; 0 if it does not.
        usage: the share of the quota that the account has used, as the server reports it; None if it does not.
        body: the body of a complete response, as the server connection returns it; None if it was discarded.
        stream: the connection that streams the body of a response; None if the response is complete.
    """

    exchange: ExchangeT
    attempt: int
    server: int
    outcome: int
    duration_ns: int
    units: float = 0
    usage: float | None = None
    body: ResponseBody = None
    stream: StreamSource | None = None


class Gateway(Protocol[ExchangeT_contra]):
    """Returns answers to clients."""

    def complete(self, exchange: ExchangeT_contra, body: ResponseBody, stream: StreamSource | None) -> None:
        """Answers with a server's response."""
        raise NotImplementedError

    def decline(self, exchange: ExchangeT_contra, retry_after_ns: int) -> None:
        """Answers that the transaction has not run."""
        raise NotImplementedError

    def void(self, exchange: ExchangeT_contra) -> None:
        """Answers that the transaction may have run."""
        raise NotImplementedError


class ServerPool(Protocol[ExchangeT_contra]):
    """Sends submissions and health checks to servers."""

    def uid(self, index: int) -> str | None:
        """Returns the id of a server; None if it is not on the list."""
        raise NotImplementedError

    def any_up(self) -> bool:
        """Whether a server is up."""
        raise NotImplementedError

    def list_server(self, index: int, row: ServerRow) -> None:
        """Adds or updates a server of the server list."""
        raise NotImplementedError

    def remove_server(self, index: int) -> None:
        """Removes a server that is no longer on the list."""
        raise NotImplementedError

    def submit(self, exchange: ExchangeT_contra, attempt: int, index: int, timeout_ns: int) -> None:
        """Sends a submission."""
        raise NotImplementedError

    def cancel(self, exchange: ExchangeT_contra, attempt: int) -> None:
        """Cancels a submission in flight."""
        raise NotImplementedError

    def check_health(self, index: int) -> None:
        """Sends a health check."""
        raise NotImplementedError


class QuotaCounter(Protocol):
    """The shared counter of quotas."""

    def add(self, name: int, amount: float, lifetime_ns: int) -> None:
        """Adds to a count, and reports its total with `DecisionDriver.counted`."""
        raise NotImplementedError


class RetryStormControl(Protocol):
    """Detects and throttles retry storms."""

    def sent(self, fingerprint: tuple[str, int, bytes]) -> None:
        """Notes that a submission of a transaction was sent."""
        raise NotImplementedError

    def settled(self, fingerprint: tuple[str, int, bytes], now_ns: int) -> None:
        """Notes that a transaction was answered with a response."""
        raise NotImplementedError

    def mark(self, account: str, product: int, key: bytes | None, target: bytes, body: bytes) -> tuple[str, int, bytes]:
        """Returns the fingerprint of a transaction: its idempotency key, or a digest of its request."""
        raise NotImplementedError

    def arrived(
        self, fingerprint: tuple[str, int, bytes], product: int, is_retry: bool, now_ns: int
    ) -> tuple[bool, int | None]:
        """Notes that a transaction arrived, and decides whether to decline it.

        Returns:
            Whether an earlier attempt took its units; and, if it is to be declined, the time until a retry in ns.
        """
        raise NotImplementedError

    def advice(self, least_ns: int, now_ns: int) -> int:
        """Returns the time after which a declined client should retry, in ns; at least `least_ns`."""
        raise NotImplementedError

    def connected(self, now_ns: int) -> bool:
        """Whether a new connection is within the rate at which connections are accepted."""
        raise NotImplementedError


class DecisionRecorder(Protocol):
    """Reports decisions to the operators' monitoring systems."""

    def record_transaction(
        self, decision: Literal["settled", "declined", "voided"], exchange: AnyExchange, **parameters: object
    ) -> None:
        """Reports the end of a transaction. `parameters`: further reported values."""
        raise NotImplementedError

    def record_counter_notice(self, notice: str, nodes: int) -> None:
        """Reports a change of the counter. `nodes`: the number of nodes that it hears of."""
        raise NotImplementedError

    def record_server_state(self, uid: str, state: int) -> None:
        """Reports the state of a server on the server list."""
        raise NotImplementedError

    def close(self) -> None:
        """Sends or stores pending reports at the end of the process."""
        raise NotImplementedError
