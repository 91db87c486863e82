"""One transaction on its way between its client and the servers, and who receives its answer."""

from typing import Any, Generic, Protocol, TypeVar

ResponseBody = Any
"""What a server connection makes of a complete response: bytes on the edge node, more in the system's proxy."""


class StreamSource(Protocol):
    """A server's connection that gives the body of a response as it comes."""

    @property
    def length(self) -> int | None:
        """Bytes of the body; None if the server does not tell it first."""
        raise NotImplementedError

    def pause(self) -> None:
        """Reads no more until `resume`: the client takes the body too slowly."""
        raise NotImplementedError

    def resume(self) -> None:
        """Reads on."""
        raise NotImplementedError

    def detach_client(self) -> None:
        """The client is gone: what the server still gives has nobody to go to."""
        raise NotImplementedError


class StreamSink(Protocol):
    """A client's connection that a body is written to as it comes.

    Attributes:
        stream_source: where the body comes from; None if no stream is under way.
        write_paused: whether the client takes what is written too slowly.
    """

    stream_source: StreamSource | None
    write_paused: bool

    def write_stream(self, data: bytes) -> None:
        """Writes bytes of the body, framed as the head announced it."""
        raise NotImplementedError

    def stream_complete(self) -> None:
        """The body is written completely."""
        raise NotImplementedError

    def abort_stream(self) -> None:
        """The body broke off: the connection is cut, so that half a response is not taken for a complete one."""
        raise NotImplementedError


class AnswerReceiver(Protocol):
    """The client of a transaction, as its protocol has it: it words and writes the one answer.

    Attributes:
        accepts_streams: whether `stream` may be called in place of `succeeded`.
        throttled: whether its connection is past the rate at which connections are accepted, so that what it brings is
            declined with advice when to come back.
    """

    accepts_streams: bool
    throttled: bool

    def accepted(self, exchange: "AnyExchange") -> None:
        """The transaction is accepted: nothing but its one answer is owed from now on."""
        raise NotImplementedError

    def succeeded(self, body: bytes) -> None:
        """The answer is a server's response, complete."""
        raise NotImplementedError

    def stream(self, source: StreamSource) -> None:
        """The answer is a server's response whose body comes as `source` gives it."""
        raise NotImplementedError

    def declined(self, retry_after_ns: int) -> None:
        """The transaction has not run. `retry_after_ns`: when to come back; 0 for no advice."""
        raise NotImplementedError

    def outcome_unknown(self) -> None:
        """The transaction may have run, or not."""
        raise NotImplementedError


class Submission(Protocol):
    """One submission of a transaction that is out: a server's connection, or an intent that waits for the journal."""

    def finish(self, outcome: int) -> None:
        """Ends it, for the reason `how` of `terms.py`. This is the one path of every cancellation."""
        raise NotImplementedError


ClientT = TypeVar("ClientT")


class Exchange(Generic[ClientT]):
    """One transaction: what is passed on to servers, who waits for the answer, and where it is out.

    Two exchanges are equal if their ids are: while one is open, no other may go out under the same id.

    Attributes:
        client: who is owed the answer; None once it is answered or the client is gone.
        id: its id, as the client gave it.
        head: the encoded head of its submissions, without what differs between them.
        body: the body of its submissions.
        product: the index of its product.
        account: the customer.
        txn: its index at the decision module; -1 until it has one.
        submissions: those that are out, by their numbers.
        server: the id of the server that its last submission went to.
        fingerprint: by which repeats of it are recognised in a retry storm.
        intent_number: of the journal's record of the submission that is out.
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
        """Nothing of it is out yet. Parameters as the attributes of their names; its owner sets `account`."""
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
        """Nothing is owed to its client any more. Returns the client, once; None if it is gone or answered."""
        client = self.client
        self.client = None
        return client

    def __hash__(self) -> int:
        """By id."""
        return hash(self.id)

    def __eq__(self, other: object) -> bool:
        """By id."""
        return isinstance(other, Exchange) and self.id == other.id


AnyExchange = Exchange[Any]
ExchangeT = TypeVar("ExchangeT", bound=AnyExchange)
