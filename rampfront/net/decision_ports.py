"""What the decision driver exchanges with its neighbours: rows of the server list, ends of submissions, and the ports.

A port is the neighbour as far as the driver needs it. `TransactionGateway` and the system's `RequestProxy` are
gateways, `ServerConnectionPool` is a server pool, `edge/counter_client.py` has the counter, `rampfront/storm.py` the
control of retry storms, and `rampfront/syslog/` the recorder of decisions.
"""

from typing import Generic, Literal, NamedTuple, Protocol, TypeVar

from .exchange import AnyExchange, ExchangeT, ResponseBody, StreamSource

ExchangeT_contra = TypeVar("ExchangeT_contra", bound=AnyExchange, contravariant=True)


class ServerRow(NamedTuple):
    """One server as the server list names it.

    Attributes:
        uid: its id.
        state: UP, DRAINING or REMOVED of `terms.py`.
        zone: the index of its zone.
        cell: the index of its group.
        weight: its capacity beside the others'.
        came_up_ns: when it came up; 0 for long ago.
        address: host and port; None for one that is removed.
        near: weight by the way there.
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
        how: DONE, ERROR, ... of `terms.py`.
        took_ns: how long it was out.
        units: what the server says that the transaction drew; 0 if it does not say.
        use: what the server says that the account used of its quota; None if it does not say.
        body: of a complete response, as the server connection made it.
        stream: the connection that gives the body of a response as it comes.
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
    """Hands answers to clients."""

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
        """The id of a server."""
        raise NotImplementedError

    def any_up(self) -> bool:
        """Whether a server is up."""
        raise NotImplementedError

    def list_server(self, index: int, row: ServerRow) -> None:
        """The server list names a server."""
        raise NotImplementedError

    def remove_server(self, index: int) -> None:
        """A server left the list."""
        raise NotImplementedError

    def submit(self, exchange: ExchangeT_contra, attempt: int, index: int, timeout_ns: int) -> None:
        """Sends a submission."""
        raise NotImplementedError

    def cancel(self, exchange: ExchangeT_contra, attempt: int) -> None:
        """Cancels a submission that is out."""
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
    """Recognises and damps retry storms."""

    def sent(self, fingerprint: tuple[str, int, bytes]) -> None:
        """A submission of a transaction was sent."""
        raise NotImplementedError

    def settled(self, fingerprint: tuple[str, int, bytes], now_ns: int) -> None:
        """A transaction was answered with a response."""
        raise NotImplementedError

    def mark(self, account: str, product: int, key: bytes | None, target: bytes, body: bytes) -> tuple[str, int, bytes]:
        """The fingerprint of a transaction: its idempotency key, or a digest of what it asks for."""
        raise NotImplementedError

    def arrived(
        self, fingerprint: tuple[str, int, bytes], product: int, is_retry: bool, now_ns: int
    ) -> tuple[bool, int | None]:
        """A transaction came.

        Returns:
            Whether an earlier attempt took its units, and, where it is to be declined, when to come back in ns.
        """
        raise NotImplementedError

    def advice(self, least_ns: int, now_ns: int) -> int:
        """When a declined client should come back, in ns; at least `least_ns`."""
        raise NotImplementedError

    def connected(self, now_ns: int) -> bool:
        """Whether a new connection is within the rate at which connections are accepted."""
        raise NotImplementedError


class DecisionRecorder(Protocol):
    """Reports decisions to the operators' systems."""

    def record_transaction(
        self, decision: Literal["settled", "declined", "voided"], exchange: AnyExchange, **parameters: object
    ) -> None:
        """A transaction has ended. `parameters`: what more is reported of it."""
        raise NotImplementedError

    def record_counter_notice(self, notice: str, nodes: int) -> None:
        """News of the counter. `nodes`: how many nodes it hears of."""
        raise NotImplementedError

    def record_server_state(self, uid: str, state: int) -> None:
        """The server list gives the state of a server."""
        raise NotImplementedError

    def close(self) -> None:
        """At the end of the process: sends or stores what waits."""
        raise NotImplementedError
