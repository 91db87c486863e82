"""Inputs of a core member, and the effects that it requests.

`Member.take` processes one input at a time and returns the effects, which the caller carries out in order. Times are
integer nanoseconds of a monotonic clock. Both sets are closed: `Input` and `Effect` list all of their classes.
"""

from enum import StrEnum
from typing import Any, TypeAlias

from rampfront.terms import slotted

from .state import State


class OrderKind(StrEnum):
    """The kinds of orders. The values are sent between nodes."""

    CONFIGURE = "config"  # commit a new configuration
    EVACUATE = "empty"  # evacuate a zone
    RESTORE = "fill"  # restore an evacuated zone
    END_HOLD = "free"  # end one named hold on an evacuated zone
    READ = "read"  # read the committed state


class Outcome(StrEnum):
    """The result of an order. The values are sent between nodes."""

    DONE = "done"  # committed (or read)
    NOT_LEADER = "away"  # not accepted, because this member is not the leader
    REJECTED = "refused"  # not accepted; it will never be committed
    NEEDS_REPEAT = "again"  # not accepted, as it may have been sent before a later order; accepted if given once more
    UNKNOWN = "doubt"  # may already be committed, or may be committed later
    # Other content was confirmed under this configuration number, and this one will never be committed; or a zone was
    # restored that others keep evacuated by named holds.
    CONFLICT = "conflict"


@slotted
class Tick:
    """Periodic timer input, about every 100 ms."""


@slotted
class MessageReceived:
    """A frame was received from the member or node at `ip`; `message` is the map as received, not validated."""

    ip: str
    message: dict[str, Any]


@slotted
class RecordStored:
    """The record of the `StoreRecord` with this `version` is durable, or writing it failed."""

    version: int
    succeeded: bool


@slotted
class Order:
    """An operator's order. `ref` is opaque to the core and is returned in `OrderEnded`.

    `body`: (revision, compressed bytes) for a configuration, the zone's name, (zone, identity of the hold) to end a
    named hold, or None for a read; not validated. `identity`: of the order on a zone, by which a repeat of it is told
    from a second frame of it; 0 if an older node sent the order.
    """

    ref: object
    kind: str
    body: object = None
    identity: int = 0


@slotted
class Shutdown:
    """The process is shutting down: a leader transfers its leadership, and a follower starts no more elections."""


@slotted
class SendMessage:
    """Sends a frame to the member or node at `ip`; delivery is not guaranteed."""

    ip: str
    message: dict[str, Any]


@slotted
class StoreRecord:
    """Makes the record durable. The caller must answer with a `RecordStored` of the same `version`.

    At most one store is in flight at a time.
    """

    version: int
    record: bytes


@slotted
class OrderEnded:
    """Reports the result of an order.

    `state`: the committed state, with DONE and CONFLICT. `leader_ip`: the leader's address if known, with NOT_LEADER.
    """

    ref: object
    outcome: Outcome
    state: State | None = None
    leader_ip: str | None = None


@slotted
class StateCommitted:
    """Reports that a newer state is known to be committed."""

    state: State


Input: TypeAlias = Tick | MessageReceived | RecordStored | Order | Shutdown
Effect: TypeAlias = SendMessage | StoreRecord | OrderEnded | StateCommitted
