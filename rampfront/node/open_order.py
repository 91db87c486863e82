"""An order that an operator submitted at this node and that has no answer yet."""

from collections.abc import Callable
from typing import Protocol, TypeAlias

from ..consensus.state import State
from ..membership.leadership import LeaderAnswer
from ..net.http_messages import RequestTiming
from .order_messages import OUTCOMES_WITH_STATE, OrderDeadline, OrderReply, OrderRequest

# Called once with (outcome, state). The outcome is one of `consensus.events`, or BUSY, or None for a timeout; the state
# is the committed one with DONE and CONFLICT.
OrderCallback: TypeAlias = Callable[[str | None, State | None], None]


class Caller(Protocol):
    """The operator's call that an order came with."""

    def is_awaited(self) -> bool:
        """Whether the caller still waits for the answer."""
        raise NotImplementedError

    def timing(self) -> RequestTiming:
        """When the caller can have sent the call."""
        raise NotImplementedError


class OpenOrder:
    """An order in flight, as the submitting node tracks it; decides which replies complete it."""

    __slots__ = ("request", "due", "resend_at", "on_done", "sent_to", "last_sent_to", "state_index", "caller")

    def __init__(
        self, request: OrderRequest, due: int, state_index: int, on_done: OrderCallback, caller: Caller | None = None
    ) -> None:
        """Create an order that was sent to no node yet.

        `due`: latest time of the answer in ns; `state_index`: index of this node's state at the submission; `caller`:
        who must still wait for the answer when the order is carried out; None if nobody has to.
        """
        self.request = request
        self.due = due
        self.resend_at = 0
        self.on_done = on_done
        self.sent_to: set[str] = set()  # addresses
        self.last_sent_to: str | None = None
        self.state_index = state_index
        self.caller = caller

    def is_given_up(self, now: int) -> bool:
        """Whether the order must not be sent any more, because its caller no longer waits for the answer."""
        return self.caller is not None and (now >= self.due or not self.caller.is_awaited())

    def set_deadline(self, answer: LeaderAnswer) -> None:
        """Set until when the leader may carry out the order: until it is due here. `answer`: of that leader."""
        deadline = OrderDeadline(answer.requested_at_ns, max(0, self.due - answer.received_at_ns))
        self.request = self.request._replace(deadline=deadline)

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
