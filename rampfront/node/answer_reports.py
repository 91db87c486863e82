"""Reports to the core whether callers read the answers to their orders on zones.

Only the node that answers an order knows whether the answer was delivered. The core needs this to distinguish a repeat
from the order of a second operator (`consensus/evacuation_claims.py`, `consensus/restorations.py`). A report is
submitted like an order, and resubmitted until the core accepts it. Without it, an order counts as one whose answer may
have been read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..consensus.events import OrderKind, Outcome
from ..net.http_messages import Delivery

if TYPE_CHECKING:
    from ..consensus.state import State
    from .context import NodeContext
    from .order_submitter import OrderSubmitter

SEC = 10**9
RETRY_NS = SEC // 2
MAX_PENDING = 256  # reports that the core has not accepted yet; further ones are dropped
CALLER_PATIENCE_NS = SEC  # of silence, after which a caller gives up (PROTOCOL.md, "The operator")


class AnswerReports:
    """The reports of one node that the core has not accepted yet."""

    def __init__(self, context: NodeContext, orders: OrderSubmitter) -> None:
        """`orders` submits the reports."""
        self._context = context
        self._orders = orders
        self._pending = 0

    def report(self, zone: str, identity: int, delivery: Delivery, sent_at: int) -> None:
        """Report whether the answer to the order of that identity was delivered; nothing if that is not known.

        `sent_at`: since when the caller may have waited for the answer, ns. A caller that resets its connection behind
        an answer has read it, unless it has waited for so long that it may have given up at the same moment.
        """
        if delivery is Delivery.RESET:
            is_prompt = self._context.clock() - sent_at < CALLER_PATIENCE_NS
            delivery = Delivery.DELIVERED if is_prompt else Delivery.UNKNOWN
        self._context.counts[f"answers_{delivery.value}"] += 1
        if delivery is Delivery.UNKNOWN or self._pending >= MAX_PENDING:
            return
        self._pending += 1
        kind = OrderKind.ANSWER_DELIVERED if delivery is Delivery.DELIVERED else OrderKind.ANSWER_LOST
        self._submit(kind, (zone, identity))

    def _submit(self, kind: OrderKind, body: tuple[str, int]) -> None:
        def on_done(outcome: str | None, _: State | None) -> None:
            """Submit the report again, unless it was accepted."""
            if outcome == Outcome.DONE:
                self._pending -= 1
                return
            retry_at = self._context.clock() + RETRY_NS
            self._context.scheduler.call_at(retry_at, self._submit, kind, body)

        self._orders.submit(kind, body, on_done)
