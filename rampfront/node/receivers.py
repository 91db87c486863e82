"""The interfaces through which `core_driver` and `order_executor` pass the core's events to a node's parts.

They are only for the type checker, and no process loads this module: import it under `TYPE_CHECKING`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..consensus.state import State
    from .order_messages import OrderKey, OrderReply


class OrderAnswerReceiver(Protocol):
    """Receives the member's answers to orders."""

    def on_core_answer(self, key: OrderKey, outcome: str, state: State | None) -> None:
        """Handle the outcome of the order `key`; `state`: the committed one, with DONE and CONFLICT."""


class StateReceiver(Protocol):
    """Receives states that are known to be committed."""

    def apply(self, state: State) -> None:
        """Apply a state at this node."""


class LeadershipObserver(Protocol):
    """Is called after each input to the member, which may have changed its role."""

    def update(self, now: int) -> None:
        """Check the member's role; `now` in ns."""


class ReplyReceiver(Protocol):
    """Receives the replies to this node's own orders."""

    def on_reply(self, ip: str, reply: OrderReply) -> None:
        """Handle the reply of the node at `ip` to an order."""
