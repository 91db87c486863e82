"""An order that an operator submitted here and that has no answer yet."""

from collections.abc import Callable
from typing import TypeAlias

from ..consensus.state import State
from .order_messages import OUTCOMES_WITH_STATE, OrderReply, OrderRequest

# Called once with (outcome, state): outcomes as of `consensus.events`, BUSY, or None for no answer in time; the
# committed state comes with DONE and CONFLICT.
OrderCallback: TypeAlias = Callable[[str | None, State | None], None]


class OpenOrder:
    """What a node knows of an order while it is under way, and which replies end it."""

    __slots__ = ("request", "due", "resend_at", "on_done", "sent_to", "last_sent_to", "state_index")

    def __init__(self, request: OrderRequest, due: int, state_index: int, on_done: OrderCallback) -> None:
        """`due`: ns, when it is answered at the latest; `state_index`: of this node's state when it was submitted."""
        self.request = request
        self.due = due
        self.resend_at = 0
        self.on_done = on_done
        self.sent_to: set[str] = set()  # addresses
        self.last_sent_to: str | None = None
        self.state_index = state_index

    def note_sent(self, ip: str) -> None:
        """Note that the request goes to the node at `ip`."""
        self.sent_to.add(ip)
        self.last_sent_to = ip

    def objection(self, ip: str, reply: OrderReply) -> str | None:
        """Return why a reply that names this order does not end it, or None.

        A reply with a state counts from any node that was asked, unless its state is older than what the node had
        already. Any other outcome counts only from the node asked last: one asked before may have said so before the
        order came to its successor.
        """
        if ip not in self.sent_to:
            return "not from a node that was asked"
        if reply.outcome in OUTCOMES_WITH_STATE:
            is_older = reply.state is None or reply.state.index < self.state_index
            return "older than what was held when it was asked" if is_older else None
        return None if ip == self.last_sent_to else "another node was asked since"
