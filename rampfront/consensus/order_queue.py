"""The orders that one leader has not answered yet.

An order is answered once the entry that carries it is committed, and once a round that began after it is confirmed if
it changes nothing (`heartbeat_rounds.py`). Invariants:

- Each order is answered once, within `MAX_WAIT_NS`.
- An order that may yet be committed is never called rejected: it ends as UNKNOWN.

Called by `Leader`.
"""

from .context import MemberContext
from .events import OrderKind, Outcome
from .identifiers import MS, LogIndex, RoundNumber
from .order_application import PendingOrder
from .persistent_state import PersistentState

MAX_WAIT_NS = 2500 * MS  # that an order may take
MAX_ORDERS = 256


class OrderQueue:
    """Pending orders, in the order in which they came."""

    def __init__(self, context: MemberContext, persistent: PersistentState) -> None:
        """An empty queue."""
        self._context = context
        self._persistent = persistent
        self._orders: list[PendingOrder] = []

    @property
    def is_full(self) -> bool:
        """Whether no more orders are taken."""
        return len(self._orders) >= MAX_ORDERS

    def add(self, order: PendingOrder) -> None:
        """Keeps an order until it is answered."""
        self._orders.append(order)

    def waiting(self) -> list[PendingOrder]:
        """Those for which nothing is under way yet."""
        return [order for order in self._orders if not order.is_taken_up]

    def needs_round(self, current: RoundNumber) -> bool:
        """Whether one waits for a round that has not begun."""
        return any(order.round > current for order in self._orders)

    def await_round(self, orders: list[PendingOrder], index: LogIndex, number: RoundNumber) -> None:
        """These change nothing: they are answered once that round is confirmed, and the entry of that index is
        committed (0: any)."""
        for order in orders:
            order.await_commit(index, number)

    def await_entry(self, orders: list[PendingOrder], index: LogIndex) -> None:
        """The entry of that index carries these."""
        for order in orders:
            order.await_commit(index)

    def answer(self, commit_index: LogIndex, confirmed: RoundNumber) -> None:
        """Answers what rests on a committed entry and a confirmed round. `commit_index`: 0 before the first one."""
        done = [order for order in self._orders if commit_index and _is_done(order, commit_index, confirmed)]
        if done:
            self._orders = [order for order in self._orders if order not in done]
            for order in done:
                self.end(order, order.outcome)

    def expire(self) -> None:
        """Ends those that have waited for too long."""
        now = self._context.now
        overdue = [order for order in self._orders if now - order.received_at > MAX_WAIT_NS]
        if not overdue:
            return
        self._orders = [order for order in self._orders if now - order.received_at <= MAX_WAIT_NS]
        for order in overdue:
            self.end(order, _outcome_if_overdue(order))

    def abandon(self) -> None:
        """The leader gives up: what it has sent to others may be committed yet."""
        for order in self._orders:
            self.end(order, Outcome.UNKNOWN if order.entry_index else Outcome.NOT_LEADER)
        self._orders = []

    def end(self, order: PendingOrder, outcome: Outcome) -> None:
        """Answers an order, with the committed state where the outcome rests on it."""
        rests_on_state = outcome in (Outcome.DONE, Outcome.CONFLICT)
        state = self._persistent.committed if rests_on_state else None
        self._context.end_order(order.ref, outcome, state)


def _is_done(order: PendingOrder, commit_index: LogIndex, confirmed: RoundNumber) -> bool:
    return order.is_taken_up and order.entry_index <= commit_index and order.round <= confirmed


def _outcome_if_overdue(order: PendingOrder) -> Outcome:
    """A repeat of what may be committed already must not be called rejected."""
    if order.kind is OrderKind.READ:
        return Outcome.NOT_LEADER
    return Outcome.UNKNOWN if order.is_taken_up else Outcome.REJECTED
