"""An order that an operator submitted at this node and that has no answer yet."""

from collections.abc import Callable
from typing import TypeAlias

from ..consensus.state import State
from .order_messages import OUTCOMES_WITH_STATE, OrderReply, OrderRequest

# Called once with (outcome, state). The outcome is one of `consensus.events`, or BUSY, or None for a timeout; the state
# is the committed one with DONE and CONFLICT.
OrderCallback: TypeAlias = Callable[[str | None, State | None], None]


class OpenOrder:
    """An order in flight, as the submitting node tracks it; decides which replies complete it."""

    __slots__ = ("request", "due", "resend_at", "on_done", "sent_to", "last_sent_to", "state_index")

    def __init__(self, request: OrderRequest, due: int, state_index: int, on_done: OrderCallback) -> None:
        """`due`: latest time of the answer in ns; `state_index`: index of this node's state at the submission."""
        self.request = request
        self.due = due
        self.resend_at = 0
        self.on_done = on_done
        self.sent_to: set[str] = set()  # addresses
        self.last_sent_to: str | None = None
        self.state_index = state_index

    def note_sent(self, ip: str) -> None:
        """Record that the request is sent to the node at `ip`."""
        self.sent_to.add(ip)
        self.last_sent_to = ip

    def rejection_reason(self, ip: str, reply: OrderReply) -> str | None:
        """Return why a reply to this order is not accepted, or None if it completes the order.

        A reply with a state is accepted from any node that the order was sent to, unless its state is older than the
        one that this node had at the submission. Any other outcome is accepted only from the node that the order was
        sent to last: an earlier one may have replied before the order reached its successor.
        """
        if ip not in self.sent_to:
            return "the order was not sent to that node"
        if reply.outcome in OUTCOMES_WITH_STATE:
            is_older = reply.state is None or reply.state.index < self.state_index
            return "its state is older than this node's at the submission" if is_older else None
        return None if ip == self.last_sent_to else "the order was sent to another node since"
