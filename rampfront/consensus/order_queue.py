"""Queue of the orders that a leader has not answered yet.

An order is answered once the entry that contains its result is committed. An order that changes nothing is answered
once a heartbeat round that began after it is confirmed (`heartbeat_rounds.py`). Invariants:

- Each order is answered exactly once, within `MAX_WAIT_NS`.
- An order that may still be committed is never answered as REJECTED, but as UNKNOWN.

`Leader` calls this module.
"""

from .context import MemberContext
from .events import OrderKind, Outcome
from .identifiers import MS, LogIndex, RoundNumber
from .order_application import PendingOrder
from .persistent_state import PersistentState

MAX_WAIT_NS = 2500 * MS  # after which an order is answered even if it is not committed
MAX_ORDERS = 256


class OrderQueue:
    """Pending orders, in the sequence of arrival."""

    def __init__(self, context: MemberContext, persistent: PersistentState) -> None:
        """Creates an empty queue."""
        self._context = context
        self._persistent = persistent
        self._orders: list[PendingOrder] = []

    @property
    def is_full(self) -> bool:
        """Whether no more orders are accepted."""
        return len(self._orders) >= MAX_ORDERS

    def add(self, order: PendingOrder) -> None:
        """Adds an order, which stays in the queue until it is answered."""
        self._orders.append(order)

    def waiting(self) -> list[PendingOrder]:
        """Returns the orders that neither an entry nor a round is in progress for."""
        return [order for order in self._orders if not order.is_in_progress]

    def needs_round(self, current: RoundNumber) -> bool:
        """Whether an order waits for a heartbeat round that has not begun."""
        return any(order.round > current for order in self._orders)

    def await_round(self, orders: list[PendingOrder], index: LogIndex, number: RoundNumber) -> None:
        """Makes orders that change nothing wait for round `number` and for the commit of entry `index` (0: any)."""
        for order in orders:
            order.await_commit(index, number)

    def await_entry(self, orders: list[PendingOrder], index: LogIndex) -> None:
        """Makes orders wait for the commit of the entry at `index`, which contains their results."""
        for order in orders:
            order.await_commit(index)

    def answer(self, commit_index: LogIndex, confirmed: RoundNumber) -> None:
        """Answers the orders whose entry is committed and whose round is confirmed.

        `commit_index`: 0 before the first commit of this term; nothing is answered then.
        """
        done = [order for order in self._orders if commit_index and _is_complete(order, commit_index, confirmed)]
        if done:
            self._orders = [order for order in self._orders if order not in done]
            for order in done:
                self.end(order, order.outcome)

    def expire(self) -> None:
        """Answers the orders that have waited for longer than `MAX_WAIT_NS`."""
        now = self._context.now
        overdue = [order for order in self._orders if now - order.received_at > MAX_WAIT_NS]
        if not overdue:
            return
        self._orders = [order for order in self._orders if now - order.received_at <= MAX_WAIT_NS]
        for order in overdue:
            self.end(order, _outcome_if_overdue(order))

    def abandon(self) -> None:
        """Answers all orders when the leader steps down; an order in an entry may still be committed."""
        for order in self._orders:
            self.end(order, Outcome.UNKNOWN if order.entry_index else Outcome.NOT_LEADER)
        self._orders = []

    def end(self, order: PendingOrder, outcome: Outcome) -> None:
        """Answers an order; the answer includes the committed state if the outcome depends on it."""
        rests_on_state = outcome in (Outcome.DONE, Outcome.CONFLICT)
        state = self._persistent.committed if rests_on_state else None
        self._context.end_order(order.ref, outcome, state)


def _is_complete(order: PendingOrder, commit_index: LogIndex, confirmed: RoundNumber) -> bool:
    return order.is_in_progress and order.entry_index <= commit_index and order.round <= confirmed


def _outcome_if_overdue(order: PendingOrder) -> Outcome:
    """Returns the outcome of an overdue order; one that may be committed must not be reported as rejected."""
    if order.kind is OrderKind.READ:
        return Outcome.NOT_LEADER
    return Outcome.UNKNOWN if order.is_in_progress else Outcome.REJECTED
