"""Who gets the core's news within a node: the interfaces that `core_driver` and `order_executor` call.

They serve the type checker alone, and no process loads this module: import it under `TYPE_CHECKING`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..consensus.state import State
    from .order_messages import OrderKey, OrderReply


class OrderAnswerReceiver(Protocol):
    """Gets the member's answers to orders."""

    def on_core_answer(self, key: OrderKey, outcome: str, state: State | None) -> None:
        """Take the outcome of the order `key`; `state`: the committed one, with DONE and CONFLICT."""


class StateReceiver(Protocol):
    """Gets states that are known to be committed."""

    def apply(self, state: State) -> None:
        """Bring a state into force at this node."""


class LeadershipObserver(Protocol):
    """Is called after each input to the member, whose role may have changed."""

    def update(self, now: int) -> None:
        """Look at the member's role; `now` in ns."""


class ReplyReceiver(Protocol):
    """Gets the replies to orders of this node itself."""

    def on_reply(self, ip: str, reply: OrderReply) -> None:
        """Take what the node at `ip` says has become of an order."""
