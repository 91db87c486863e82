"""The two messages that carry an operator's order between nodes: the request to the core's leader, and its reply.

Each message is an immutable class that is built, checked and encoded only in this module. The short keys of the wire
format are defined in one list below; no other module uses them. `decode` raises `MalformedMessageError`, upon which the
transport drops and counts the frame.

An order on a zone is carried out only until a deadline, by which its caller gives up. The leader decides by its own
clock (`OrderDeadline`), so a request that was delayed on its way is not carried out however late it arrives.

An order is identified like a client's request in Raft (dissertation, section 6.3): by the client and the client's
sequence number. The client is a node's address together with its incarnation, which its process draws at random at each
start. Only one process at a time uses an address, so the node's name is not needed and not sent.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Self, TypeAlias

from ..consensus.evacuations import IDENTITY_LIMIT, encode_names
from ..consensus.events import OrderKind, Outcome
from ..consensus.state import MAX_BODY_BYTES, MAX_ZONE_CHARS, State, decode_state
from ..transport.frames import Message

# Keys of the frames on the wire.
FRAME_KIND = "k"
INCARNATION = "l"
NUMBER = "r"
ORDER_KIND = "o"
BODY = "b"
IDENTITY = "i"
OUTCOME = "v"
STATE = "S"
DEADLINE = "d"
CLAIMS = "c"
NEEDS_REPEAT = "n"

REQUEST_FRAME = "order"
REPLY_FRAME = "said"

BUSY = "busy"  # not accepted: the table of orders in flight is full, at the leader or at this node
LATE = "late"  # not carried out: the deadline has passed, or the leader cannot tell whether it has
GIVEN_UP = "given up"  # not sent: the caller no longer waits for the answer; at the submitting node only
OUTCOMES = frozenset(
    (
        Outcome.DONE,
        Outcome.NOT_LEADER,
        Outcome.REJECTED,
        Outcome.UNKNOWN,
        Outcome.CONFLICT,
        BUSY,
        LATE,
    )
)
OUTCOMES_WITH_STATE = frozenset((Outcome.DONE, Outcome.CONFLICT))  # they are based on the committed state, and carry it
CONFIGURATION_FIELDS = ("revision", "bytes")  # of the body of an order with a configuration
HOLD_FIELDS = ("zone", "identity")  # of the body of an order that ends a named hold
INCARNATION_BITS = 32
INCARNATION_LIMIT = 1 << INCARNATION_BITS
LARGEST_NUMBER = 1 << 53  # JSON parsers of other languages represent smaller integers exactly
LARGEST_TIME = 1 << 62  # ns

# A revision and its compressed bytes; a zone and the identity of an order on it; a zone; or nothing.
OrderBody: TypeAlias = tuple[int, bytes] | tuple[str, int] | str | None


class MalformedMessageError(ValueError):
    """A message in which a field is missing or invalid."""


class OrderDeadline(NamedTuple):
    """Until when the leader may carry out an order, without a comparison of the clocks of two machines.

    The submitting node has the leader's answer to one of its heartbeats. The leader received the heartbeat before the
    node received the answer. So a time that is `valid_ns` behind the answer at the node comes no earlier than the one
    that is as much behind the heartbeat at the leader, whatever the delays of heartbeat, answer and order.

    `heartbeat_sent_at`: identifies the heartbeat; ns of the node's clock. `valid_ns`: how long after the arrival of
    that heartbeat the leader may carry out the order.
    """

    heartbeat_sent_at: int
    valid_ns: int


class OrderKey(NamedTuple):
    """Identifies an order at the leader: the submitting node, its incarnation, and the order's number there."""

    ip: str
    incarnation: int
    number: int


class OrderRequest(NamedTuple):
    """An order, as it is sent to the leader of the core.

    `kind`: one of `OrderKind`. `identity`: tells a repeat of an order on a zone from a second frame of it; 0 for all
    other orders, and from nodes of older versions. `deadline`: after which the order is not carried out; None if it has
    none.
    """

    incarnation: int
    number: int
    kind: str
    body: OrderBody
    identity: int = 0
    deadline: OrderDeadline | None = None

    @property
    def configuration(self) -> bytes | None:
        """The compressed bytes of the configuration in the order, or None."""
        match self.body:
            case (int(), bytes() as compressed):
                return compressed
        return None

    def encode(self) -> Message:
        """Return the frame for the transport."""
        frame: Message = {
            FRAME_KIND: REQUEST_FRAME,
            INCARNATION: self.incarnation,
            NUMBER: self.number,
            ORDER_KIND: str(self.kind),
            BODY: self.body,
        }
        if self.identity:
            frame[IDENTITY] = self.identity
        if self.deadline is not None:
            frame[DEADLINE] = list(self.deadline)
        return frame

    @classmethod
    def decode(cls, frame: Message) -> Self:
        """Check a frame and return its message. Raises MalformedMessageError.

        Nodes of older versions report what became of their answers, as reads with a further key: these change nothing.
        """
        incarnation, number = decode_identity(frame)
        kind = frame.get(ORDER_KIND)
        if type(kind) is not str or kind not in BODY_CHECKS:
            raise MalformedMessageError("order: unknown kind")
        check_body = BODY_CHECKS[kind]
        identity, deadline = _check_order_identity(frame), _check_deadline(frame)
        return cls(incarnation, number, kind, check_body(frame.get(BODY)), identity, deadline)


class OrderReply(NamedTuple):
    """The outcome of an order at the node that it was sent to.

    `state`: with DONE and CONFLICT, the committed state there. If `with_body` is false, the state's body is not sent,
    because it is the body of the order, which the submitter has.
    """

    incarnation: int
    number: int
    outcome: str
    state: State | None = None
    with_body: bool = True

    def encode(self) -> Message:
        """Return the frame for the transport.

        The outcome NEEDS_REPEAT is encoded as REJECTED with an additional key: nodes of older versions do not know it,
        and answer 503 to either, upon which the order is repeated.
        """
        needs_repeat = self.outcome == Outcome.NEEDS_REPEAT
        frame = {
            FRAME_KIND: REPLY_FRAME,
            INCARNATION: self.incarnation,
            NUMBER: self.number,
            OUTCOME: str(Outcome.REJECTED if needs_repeat else self.outcome),
        }
        if needs_repeat:
            frame[NEEDS_REPEAT] = True
        if self.state is not None:
            frame[STATE] = self.state.encode(self.with_body)
            names = encode_names(self.state.evacuations)
            if names is not None:
                frame[CLAIMS] = names
        return frame

    @classmethod
    def decode(cls, frame: Message, bodies: Sequence[bytes] = ()) -> Self:
        """Check a frame and return its message.

        `bodies`: configuration bodies that the caller has, for a state that was sent without its body. Raises
        MalformedMessageError, and the consensus package's own ValueError for an invalid state.
        """
        outcome = frame.get(OUTCOME)
        if type(outcome) is not str or outcome not in OUTCOMES:
            raise MalformedMessageError("reply: unknown outcome")
        if outcome == Outcome.REJECTED and frame.get(NEEDS_REPEAT) is True:
            outcome = Outcome.NEEDS_REPEAT
        state = None
        if frame.get(STATE) is not None:
            state = decode_state(frame[STATE], bodies)
            if state is None:
                raise MalformedMessageError("reply: the state's body is missing and not known here")
            state = state.with_names(frame.get(CLAIMS))
        elif outcome in OUTCOMES_WITH_STATE:
            raise MalformedMessageError(f"reply: outcome {outcome} without a state")
        incarnation, number = decode_identity(frame)
        return cls(incarnation, number, outcome, state)


def decode_identity(frame: Message) -> tuple[int, int]:
    """Return the submitter's incarnation and the order's number. Raises MalformedMessageError."""
    incarnation, number = frame.get(INCARNATION), frame.get(NUMBER)
    if type(incarnation) is not int or not 0 <= incarnation < INCARNATION_LIMIT:
        raise MalformedMessageError("invalid incarnation")
    if type(number) is not int or not 0 < number < LARGEST_NUMBER:
        raise MalformedMessageError("invalid number")
    return incarnation, number


def _check_configuration(body: object) -> tuple[int, bytes]:
    if not isinstance(body, (list, tuple)) or len(body) != len(CONFIGURATION_FIELDS):
        raise MalformedMessageError("order: a configuration must be a revision and its bytes")
    revision, compressed = body
    if type(revision) is not int or not 0 < revision < LARGEST_NUMBER:
        raise MalformedMessageError("order: invalid revision")
    if type(compressed) is not bytes or len(compressed) > MAX_BODY_BYTES:
        raise MalformedMessageError("order: invalid bytes of the configuration")
    return revision, compressed


def _check_zone(body: object) -> str:
    if type(body) is not str or not 0 < len(body) <= MAX_ZONE_CHARS:
        raise MalformedMessageError("order: invalid zone")
    return body


def _check_hold(body: object) -> tuple[str, int]:
    """Return the zone and the identity of the hold that is to be ended."""
    if not isinstance(body, (list, tuple)) or len(body) != len(HOLD_FIELDS):
        raise MalformedMessageError("order: a hold must be a zone and an identity")
    zone, identity = body
    if type(identity) is not int or not 0 < identity < IDENTITY_LIMIT:
        raise MalformedMessageError("order: invalid identity")
    return _check_zone(zone), identity


def _check_order_identity(frame: Message) -> int:
    """Return the identity of an order on a zone; 0 if there is none."""
    identity = frame.get(IDENTITY, 0)
    if type(identity) is not int or not 0 <= identity < IDENTITY_LIMIT:
        raise MalformedMessageError("order: invalid identity")
    return identity


def _check_deadline(frame: Message) -> OrderDeadline | None:
    """Return the deadline of an order; None if it has none."""
    if DEADLINE not in frame:
        return None
    fields = frame[DEADLINE]
    if not isinstance(fields, (list, tuple)) or len(fields) != len(OrderDeadline._fields):
        raise MalformedMessageError("order: a deadline must be the time of a heartbeat and a duration")
    if any(type(field) is not int or not 0 <= field < LARGEST_TIME for field in fields):
        raise MalformedMessageError("order: invalid deadline")
    return OrderDeadline(*fields)


def _check_empty(body: object) -> None:
    if body is not None:
        raise MalformedMessageError("order: a read must have no body")


BODY_CHECKS: dict[str, Callable[[object], OrderBody]] = {
    OrderKind.CONFIGURE: _check_configuration,
    OrderKind.EVACUATE: _check_zone,
    OrderKind.RESTORE: _check_zone,
    OrderKind.READ: _check_empty,
    OrderKind.END_HOLD: _check_hold,
}
