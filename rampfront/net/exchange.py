"""The state of one transaction between its client and the servers, and the interfaces for its answer."""

from typing import Any, Generic, Protocol, TypeVar

ResponseBody = Any
"""The result of a complete response: bytes on the edge node, a response object in the system's proxy."""


class StreamSource(Protocol):
    """A server connection that streams the body of a response."""

    @property
    def length(self) -> int | None:
        """The length of the body in bytes; None if the response does not declare it."""
        raise NotImplementedError

    def pause(self) -> None:
        """Stops reading until `resume`, because the client reads the body too slowly."""
        raise NotImplementedError

    def resume(self) -> None:
        """Resumes reading."""
        raise NotImplementedError

    def detach_client(self) -> None:
        """Ends the stream, because the client has disconnected."""
        raise NotImplementedError


class StreamSink(Protocol):
    """A client connection to which a body is streamed.

    Attributes:
        stream_source: the source of the body; None if no stream is in progress.
        write_paused: whether writing is paused because the client reads too slowly.
    """

    stream_source: StreamSource | None
    write_paused: bool

    def write_stream(self, data: bytes) -> None:
        """Writes bytes of the body, with the framing that the head declared."""
        raise NotImplementedError

    def stream_complete(self) -> None:
        """Ends the response after its complete body."""
        raise NotImplementedError

    def abort_stream(self) -> None:
        """Aborts the connection, so that a truncated response is not mistaken for a complete one."""
        raise NotImplementedError


class AnswerReceiver(Protocol):
    """The client of a transaction: encodes and writes its single answer in the client's protocol.

    Attributes:
        accepts_streams: whether `stream` may be called instead of `succeeded`.
        throttled: whether its connection exceeds the rate at which connections are accepted. Its transactions are
            declined with a time to retry after.
    """

    accepts_streams: bool
    throttled: bool

    def accepted(self, exchange: "AnyExchange") -> None:
        """Notes that the transaction is accepted; exactly one answer follows."""
        raise NotImplementedError

    def succeeded(self, body: bytes) -> None:
        """Answers with a server's complete response."""
        raise NotImplementedError

    def stream(self, source: StreamSource) -> None:
        """Answers with a server's response whose body `source` streams."""
        raise NotImplementedError

    def declined(self, retry_after_ns: int) -> None:
        """Answers that the transaction has not run. `retry_after_ns`: when to retry; 0 for no advice."""
        raise NotImplementedError

    def outcome_unknown(self) -> None:
        """Answers that the transaction may or may not have run."""
        raise NotImplementedError


class Submission(Protocol):
    """One submission in flight: a server connection, or an intent that waits for the journal."""

    def finish(self, outcome: int) -> None:
        """Ends it with `outcome`, a constant of `terms.py`. Every cancellation calls this method."""
        raise NotImplementedError


ClientT = TypeVar("ClientT")


class Exchange(Generic[ClientT]):
    """One transaction: its request as sent to servers, the client that waits for the answer, and its submissions.

    Two exchanges are equal if their ids are equal: while one is open, no other may be sent under the same id.

    Attributes:
        client: the client to answer; None once it is answered or has disconnected.
        id: its id, as given by the client.
        head: the encoded head of its submissions, without the fields that differ between them.
        body: the body of its submissions.
        product: the index of its product.
        account: the customer.
        txn: its index in the decision module; -1 until it has one.
        submissions: its submissions in flight, by number.
        server: the id of the server that its last submission was sent to.
        fingerprint: identifies retries of it during a retry storm.
        intent_number: the number of the journal record of its submission in flight.
    """

    __slots__ = (
        "client",
        "id",
        "head",
        "body",
        "product",
        "account",
        "txn",
        "submissions",
        "server",
        "fingerprint",
        "intent_number",
    )

    def __init__(self, client: ClientT, id: bytes, head: bytes, body: bytes, product: int) -> None:
        """Starts without submissions. The parameters are the attributes of the same names; the owner sets `account`."""
        self.client: ClientT | None = client
        self.id = id
        self.head = head
        self.body = body
        self.product = product
        self.account = ""
        self.txn = -1
        self.submissions: dict[int, Submission] = {}
        self.server: str | None = None
        self.fingerprint: tuple[str, int, bytes] | None = None
        self.intent_number: int | None = None

    def detach_client(self) -> ClientT | None:
        """Releases the client from the exchange. Returns it; None if it was answered or has disconnected before."""
        client = self.client
        self.client = None
        return client

    def __hash__(self) -> int:
        """Hashes the id."""
        return hash(self.id)

    def __eq__(self, other: object) -> bool:
        """Compares by id."""
        return isinstance(other, Exchange) and self.id == other.id


AnyExchange = Exchange[Any]
ExchangeT = TypeVar("ExchangeT", bound=AnyExchange)
