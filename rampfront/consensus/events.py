"""The inputs of a member of the core, and the effects that it wants carried out.

`Member.take` is given one input at a time and returns the effects, to be carried out in order. Times are whole
nanoseconds of a steady clock. Both sets are closed: `Input` and `Effect` name all of their classes.
"""

from enum import StrEnum
from typing import Any, TypeAlias

from rampfront.terms import slotted

from .state import State


class OrderKind(StrEnum):
    """What an operator wants of the core. The values go over the wire between nodes."""

    CONFIGURE = "config"  # a new configuration is to be committed
    EVACUATE = "empty"  # a zone is to be evacuated
    RESTORE = "fill"  # an evacuated zone is to be taken back
    READ = "read"  # the committed state is wanted
    ANSWER_DELIVERED = "got"  # an order on a zone: its caller has read the answer
    ANSWER_LOST = "lost"  # an order on a zone: its caller never read the answer


class Outcome(StrEnum):
    """How an order ended. The values go over the wire between nodes."""

    DONE = "done"  # committed (or read)
    NOT_LEADER = "away"  # not taken, because this member does not lead
    REJECTED = "refused"  # not taken, and never will be
    UNKNOWN = "doubt"  # may or may not be committed yet
    CONFLICT = "conflict"  # another content was confirmed under the configuration's number, so it never will be


@slotted
class Tick:
    """Time has passed; comes about every 100 ms."""


@slotted
class MessageReceived:
    """A frame came from the member or node at `ip`; `message` is the map as it came, unchecked."""

    ip: str
    message: dict[str, Any]


@slotted
class RecordStored:
    """The record of `StoreRecord` with this `version` is durable, or could not be written."""

    version: int
    succeeded: bool


@slotted
class Order:
    """An operator's order. `ref` is the caller's, and comes back with `OrderEnded`.

    `body`: (revision, compressed bytes) of a configuration, the name of a zone, (zone, identity of the order) of a
    report on an answer, or None for a read; unchecked. `identity`: of an order on a zone, by which reports name it; 0
    for an older node's.
    """

    ref: object
    kind: str
    body: object = None
    identity: int = 0


@slotted
class Shutdown:
    """The process is about to end: a leader hands over, and a follower no longer stands for election."""


@slotted
class SendMessage:
    """Send a frame to the member or node at `ip`; it may be lost."""

    ip: str
    message: dict[str, Any]


@slotted
class StoreRecord:
    """Make the record durable; `RecordStored` with the same `version` is owed. One is under way at a time."""

    version: int
    record: bytes


@slotted
class OrderEnded:
    """Answer an order. `state`: what is committed, with DONE and CONFLICT. `leader_ip`: with NOT_LEADER."""

    ref: object
    outcome: Outcome
    state: State | None = None
    leader_ip: str | None = None


@slotted
class StateCommitted:
    """A newer state is known to be committed."""

    state: State


Input: TypeAlias = Tick | MessageReceived | RecordStored | Order | Shutdown
Effect: TypeAlias = SendMessage | StoreRecord | OrderEnded | StateCommitted
