"""Reports to the core on whether callers read the answers to their orders on zones.

Only the node that answers an order sees what becomes of the answer. The core needs it to tell a repeat from the order
of a second operator (`consensus/evacuation_claims.py`). A report is submitted as an order is, and again until the core
has taken it; reports that were not taken in time are dropped, and the core then goes by the time between the orders.
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
GIVE_UP_NS = 20 * SEC
MAX_PENDING = 64  # reports under way


class AnswerReports:
    """The reports of one node that the core has not taken yet."""

    def __init__(self, context: NodeContext, orders: OrderSubmitter) -> None:
        """`orders` submits them."""
        self._context = context
        self._orders = orders
        self._pending = 0

    def report(self, zone: str, identity: int, delivery: Delivery) -> None:
        """Tell the core what became of the answer to the order of that identity; nothing if that is not known."""
        self._context.counts[f"answers_{delivery.value}"] += 1
        if delivery is Delivery.UNKNOWN or self._pending >= MAX_PENDING:
            return
        self._pending += 1
        kind = OrderKind.ANSWER_DELIVERED if delivery is Delivery.DELIVERED else OrderKind.ANSWER_LOST
        self._submit(kind, (zone, identity), self._context.clock() + GIVE_UP_NS)

    def _submit(self, kind: OrderKind, body: tuple[str, int], give_up_at: int) -> None:
        def on_done(outcome: str | None, _: State | None) -> None:
            """Try again unless it is taken, or too old."""
            if outcome == Outcome.DONE or self._context.clock() >= give_up_at:
                self._pending -= 1
                return
            again_at = self._context.clock() + RETRY_NS
            self._context.scheduler.call_at(again_at, self._submit, kind, body, give_up_at)

        self._orders.submit(kind, body, on_done)
