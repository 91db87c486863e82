"""What two nodes say to each other about an operator's order: the request to the leader of the core and its reply.

Each message is an immutable class; `decode` of each is the one place where its fields are checked, and raises
`MalformedMessageError`, upon which the wire drops the frame and counts it. A caller is known by its address and its
life: a number that its process draws at its start. One process stands at an address and port at a time, so its name
would tell nothing more and is not sent.
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Self, TypeAlias

from ..consensus.events import OrderKind, Outcome
from ..consensus.state import MOST_BODY, MOST_ZONE, State, decode_state

BUSY = "busy"  # not taken: the table of orders under way is full, at the leader or here
VERDICTS = frozenset((Outcome.DONE, Outcome.NOT_LEADER, Outcome.REJECTED, Outcome.UNKNOWN, Outcome.CONFLICT, BUSY))
WITH_STATE = frozenset((Outcome.DONE, Outcome.CONFLICT))  # verdicts that rest on what is in force, and come with it
CONFIGURATION = ("revision", "bytes")  # the fields of a configuration's order
LIFE_BITS = 32
LIVES = 1 << LIFE_BITS
LARGEST_NUMBER = 1 << 53

Body: TypeAlias = tuple[int, bytes] | str | None  # a revision and its compressed bytes, a zone, or nothing


class MalformedMessageError(ValueError):
    """A message of which a field is missing or cannot be what it says."""


class OrderKey(NamedTuple):
    """An order as the leader knows it: who gave it, in which life, and its number there."""

    ip: str
    life: int
    number: int


class OrderRequest(NamedTuple):
    """An order on its way to the leader of the core."""

    life: int
    number: int
    kind: str
    body: Body

    def encode(self) -> dict[str, Any]:
        """The plain message for the wire."""
        return {"k": "order", "l": self.life, "r": self.number, "o": str(self.kind), "b": self.body}

    @classmethod
    def decode(cls, plain: dict[str, Any]) -> Self:
        """Raises MalformedMessageError."""
        kind = plain.get("o")
        body = BODIES.get(kind) if type(kind) is str else None
        if body is None:
            raise MalformedMessageError("order: kind")
        life, number = identity(plain)
        return cls(life, number, kind, body(plain.get("b")))


class OrderReply(NamedTuple):
    """How an order ended at the node that was asked. `state`: with DONE and CONFLICT, what is in force there. Without
    `whole` its body stays off the wire, being the one that the order brought: the caller holds that."""

    life: int
    number: int
    verdict: str
    state: State | None = None
    whole: bool = True

    def encode(self) -> dict[str, Any]:
        """The plain message for the wire."""
        plain = {"k": "said", "l": self.life, "r": self.number, "v": str(self.verdict)}
        if self.state is not None:
            plain["S"] = self.state.encode(self.whole)
        return plain

    @classmethod
    def decode(cls, plain: dict[str, Any], bodies: Sequence[bytes] = ()) -> Self:
        """`bodies`: those that the caller holds. Raises MalformedMessageError, and consensus' `RemoteProtocolError` (a
        ValueError too) for a state that does not hold."""
        verdict = plain.get("v")
        if type(verdict) is not str or verdict not in VERDICTS:
            raise MalformedMessageError("reply: verdict")
        state = None
        if plain.get("S") is not None:
            state = decode_state(plain["S"], bodies)
            if state is None:
                raise MalformedMessageError("reply: a state without its body")
        elif verdict in WITH_STATE:
            raise MalformedMessageError(f"reply: {verdict}, and no state")
        life, number = identity(plain)
        return cls(life, number, verdict, state)


def identity(plain: dict[str, Any]) -> tuple[int, int]:
    """The caller's life and the number of the order there. Raises MalformedMessageError."""
    life, number = plain.get("l"), plain.get("r")
    if type(life) is not int or not 0 <= life < LIVES:
        raise MalformedMessageError("life")
    if type(number) is not int or not 0 < number < LARGEST_NUMBER:
        raise MalformedMessageError("number")
    return life, number


def _configuration(body: object) -> tuple[int, bytes]:
    if not isinstance(body, (list, tuple)) or len(body) != len(CONFIGURATION):
        raise MalformedMessageError("order: a configuration is a revision and its bytes")
    revision, packed = body
    if type(revision) is not int or not 0 < revision < LARGEST_NUMBER:
        raise MalformedMessageError("order: revision")
    if type(packed) is not bytes or len(packed) > MOST_BODY:
        raise MalformedMessageError("order: bytes of the configuration")
    return revision, packed


def _zone(body: object) -> str:
    if type(body) is not str or not 0 < len(body) <= MOST_ZONE:
        raise MalformedMessageError("order: zone")
    return body


def _nothing(body: object) -> None:
    if body is not None:
        raise MalformedMessageError("order: a read has no body")


BODIES: dict[str, Callable[[object], Body]] = {
    OrderKind.CONFIGURE: _configuration,
    OrderKind.EVACUATE: _zone,
    OrderKind.RESTORE: _zone,
    OrderKind.READ: _nothing,
}
