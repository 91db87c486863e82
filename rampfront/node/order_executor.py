"""Orders at the core's leader: passes each to the core's member once, and its outcome back to the submitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..consensus.events import Outcome
from ..consensus.state import digest
from .order_messages import BUSY, LATE, OrderDeadline, OrderKey, OrderReply, OrderRequest
from .order_table import Admission, OrderTable

if TYPE_CHECKING:
    from ..consensus.state import State
    from ..membership.peers import PeerTable
    from ..transport.frames import Message
    from .context import NodeContext
    from .core_driver import CoreDriver
    from .receivers import ReplyReceiver


class OrderExecutor:
    """Executes the orders that this node receives as the leader, and rejects them when it does not lead."""

    def __init__(self, context: NodeContext, core: CoreDriver, peers: PeerTable) -> None:
        """`core` executes the orders; `peers`: when other nodes' heartbeats arrived."""
        self._context = context
        self._own_ip = context.process_settings.ip
        self._wire = context.wire
        self._core = core
        self._peers = peers
        self._local_replies: ReplyReceiver
        self.table = OrderTable()

    def attach(self, local_replies: ReplyReceiver) -> None:
        """Set the receiver of replies to this node's own orders. It depends on the executor, so it is built later."""
        self._local_replies = local_replies

    def on_request_frame(self, ip: str, frame: Message, now: int) -> None:
        """Handle another node's order. Raises ValueError if it is not valid."""
        self.execute(ip, OrderRequest.decode(frame))

    def execute(self, ip: str, request: OrderRequest) -> None:
        """Execute an order of the node at `ip` once; a repeat gets the same outcome."""
        key = OrderKey(ip, request.incarnation, request.number)
        outcome = self.table.outcome_of(key)
        if outcome is not None:
            self._context.counts["orders_repeated"] += 1
            self._reply(key, outcome, self._core.committed_state if outcome == Outcome.DONE else None)
        elif not self._core.is_leader:
            self._reply(key, Outcome.NOT_LEADER)
        elif request.deadline is not None and self._is_late(ip, request.deadline):
            self._reject_late(key)
        else:
            self._admit(key, request)

    def _reject_late(self, key: OrderKey) -> None:
        """Tell the submitter that an order is not carried out, unless it is in flight: then this is a late repeat."""
        if not self.table.is_in_flight(key):
            self._context.counts["orders_late"] += 1
            self._reply(key, LATE)

    def _is_late(self, ip: str, deadline: OrderDeadline) -> bool:
        """Whether the deadline of an order of the node at `ip` has passed, or its heartbeat is not known here."""
        peer = self._peers.by_ip.get(ip)
        arrived_at = peer.arrival_of(deadline.heartbeat_sent_at) if peer is not None else None
        return arrived_at is None or self._context.clock() - arrived_at > deadline.valid_ns

    def _admit(self, key: OrderKey, request: OrderRequest) -> None:
        """Pass a new order to this node's core member, which leads."""
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
        """Send an outcome from this node's core member to the submitter of the order."""
        body_digest = self.table.answer(key, outcome, self._context.clock())
        if body_digest is not None:
            with_body = state is None or state.body_digest != body_digest
            self._reply(key, outcome, state, with_body)

    def tick(self, now: int) -> None:
        """Remove expired orders; to be called about ten times a second."""
        self._context.counts["orders_abandoned"] += self.table.expire(now)

    def _reply(self, key: OrderKey, outcome: str, state: State | None = None, with_body: bool = True) -> None:
        reply = OrderReply(key.incarnation, key.number, outcome, state, with_body)
        if key.ip == self._own_ip:
            self._local_replies.on_reply(key.ip, reply)
        else:
            self._wire.send(key.ip, reply.encode())
