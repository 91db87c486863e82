"""Orders at the core's leader: each is handed to the core's member once, and its outcome goes back to the submitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..consensus.events import Outcome
from ..consensus.state import digest
from .order_messages import BUSY, OrderKey, OrderReply, OrderRequest
from .order_table import Admission, OrderTable

if TYPE_CHECKING:
    from ..consensus.state import State
    from ..transport.frames import Message
    from .context import NodeContext
    from .core_driver import CoreDriver
    from .receivers import ReplyReceiver


class OrderExecutor:
    """Orders that came to this node as the leader, or that it turns away because it isn't."""

    def __init__(self, context: NodeContext, core: CoreDriver) -> None:
        """`core` carries the orders out."""
        self._context = context
        self._own_ip = context.process_settings.ip
        self._wire = context.wire
        self._core = core
        self._local_replies: ReplyReceiver
        self.table = OrderTable()

    def attach(self, local_replies: ReplyReceiver) -> None:
        """Name the part that gets replies to this node's own orders. It needs the executor, and so comes second."""
        self._local_replies = local_replies

    def on_request_frame(self, ip: str, frame: Message, now: int) -> None:
        """Take another node's order. Raises ValueError for one that is not valid."""
        self.execute(ip, OrderRequest.decode(frame))

    def execute(self, ip: str, request: OrderRequest) -> None:
        """Carry out an order of the node at `ip`, once: a repeat gets the same outcome."""
        key = OrderKey(ip, request.incarnation, request.number)
        outcome = self.table.outcome_of(key)
        if outcome is not None:
            self._context.counts["orders_repeated"] += 1
            self._reply(key, outcome, self._core.committed_state if outcome == Outcome.DONE else None)
        elif not self._core.leads:
            self._reply(key, Outcome.NOT_LEADER)
        else:
            self._admit(key, request)

    def _admit(self, key: OrderKey, request: OrderRequest) -> None:
        """Hand a new order to the core's member beside us, which leads."""
        configuration = request.configuration
        body_digest = b"" if configuration is None else digest(configuration)
        admission = self.table.admit(key, request.kind, self._context.clock(), body_digest)
        if admission is Admission.NEW:
            self._core.submit(key, request)
        elif admission is Admission.IN_FLIGHT:
            self._context.counts["orders_repeated"] += 1
        else:
            self._context.counts["orders_busy"] += 1
            self._reply(key, BUSY)

    def on_core_answer(self, key: OrderKey, outcome: str, state: State | None) -> None:
        """Take the outcome of the core's member beside us, and pass it on to who submitted the order."""
        body_digest = self.table.answer(key, outcome, self._context.clock())
        if body_digest is not None:
            with_body = state is None or state.body_digest != body_digest
            self._reply(key, outcome, state, with_body)

    def tick(self, now: int) -> None:
        """Forget what is over; to be called about ten times a second."""
        self._context.counts["orders_abandoned"] += self.table.expire(now)

    def _reply(self, key: OrderKey, outcome: str, state: State | None = None, with_body: bool = True) -> None:
        reply = OrderReply(key.incarnation, key.number, outcome, state, with_body)
        if key.ip == self._own_ip:
            self._local_replies.on_reply(key.ip, reply)
        else:
            self._wire.send(key.ip, reply.encode())
