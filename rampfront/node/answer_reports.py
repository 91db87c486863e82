"""Reports to the core whether callers read the answers to their orders on zones.

Only the node that answers an order knows whether the answer was delivered. The core needs this to distinguish a repeat
from the order of a second operator (`consensus/evacuation_claims.py`). A report is submitted like an order, and
resubmitted until the core accepts it. A report that is not accepted in time is dropped; the core then decides by the
time between the orders.
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
REPORT_TIMEOUT_NS = 20 * SEC
MAX_PENDING = 64  # reports that the core has not accepted yet


class AnswerReports:
    """The reports of one node that the core has not accepted yet."""

    def __init__(self, context: NodeContext, orders: OrderSubmitter) -> None:
        """`orders` submits the reports."""
        self._context = context
        self._orders = orders
        self._pending = 0

    def report(self, zone: str, identity: int, delivery: Delivery) -> None:
        """Report whether the answer to the order of that identity was delivered; nothing if that is not known."""
        self._context.counts[f"answers_{delivery.value}"] += 1
        if delivery is Delivery.UNKNOWN or self._pending >= MAX_PENDING:
            return
        self._pending += 1
        kind = OrderKind.ANSWER_DELIVERED if delivery is Delivery.DELIVERED else OrderKind.ANSWER_LOST
        self._submit(kind, (zone, identity), self._context.clock() + REPORT_TIMEOUT_NS)

    def _submit(self, kind: OrderKind, body: tuple[str, int], deadline: int) -> None:
        def on_done(outcome: str | None, _: State | None) -> None:
            """Submit the report again, unless it was accepted or is too old."""
            if outcome == Outcome.DONE or self._context.clock() >= deadline:
                self._pending -= 1
                return
            retry_at = self._context.clock() + RETRY_NS
            self._context.scheduler.call_at(retry_at, self._submit, kind, body, deadline)

        self._orders.submit(kind, body, on_done)
