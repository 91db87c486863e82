"""Operators' orders at the node where they are submitted: sent on to the core's leader, answered once.

An order goes to the leader as soon as one is known, and again while nothing is heard. The leader carries it out once
however often it arrives (`order_executor.py`). Whoever submitted it is answered within what operators wait for
(PROTOCOL.md: a second of silence). A reply counts only from a node that this order was sent to, in this incarnation of
the process; every other reply is dropped and counted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..consensus.events import Outcome
from . import log_events
from .open_order import OpenOrder
from .order_messages import BUSY, INCARNATION_BITS, OrderReply, OrderRequest, decode_identity

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from ..transport.frames import Message
    from .context import NodeContext
    from .core_driver import CoreDriver
    from .open_order import OrderCallback
    from .order_executor import OrderExecutor
    from .order_messages import OrderBody

MS = 10**6
ANSWER_WITHIN_NS = 800 * MS  # a fifth of a caller's second is left for the way there and back
RESEND_AFTER_NS = 300 * MS
RESEND_AFTER_NOT_LEADER_NS = RESEND_AFTER_NS // 3  # the node asked has said that it does not lead
MAX_OPEN = 256  # orders of this node under way
NUMBER_BITS = 20  # of an order's identity; the others are the incarnation's
MAX_IDENTITIES = (1 << NUMBER_BITS) - 1


class OrderSubmitter:
    """The orders of this node, from their submission to their answer."""

    def __init__(
        self,
        context: NodeContext,
        core: CoreDriver,
        disseminator: Disseminator,
        executor: OrderExecutor,
    ) -> None:
        """`disseminator` knows the leader; `core` and `executor` serve the orders where this node leads itself."""
        self._context = context
        self._own_ip = context.process_settings.ip
        self._wire = context.wire
        self._core = core
        self._disseminator = disseminator
        self._executor = executor
        self._number = 0  # of the last order
        self._identities = 0  # given out
        # Another one at each start: no reply to a former incarnation is taken for one to this.
        self.incarnation = context.rng.getrandbits(INCARNATION_BITS)
        self.open: dict[int, OpenOrder] = {}  # by number; emptied by answers and by time

    def next_identity(self) -> int:
        """Return the identity for an order on a zone: no other order has the same, not even one that was turned away.

        Guards a claim against a late report on an order that never reached the core.
        """
        self._identities = self._identities % MAX_IDENTITIES + 1
        return self.incarnation << NUMBER_BITS | self._identities

    def submit(self, kind: str, body: OrderBody, on_done: OrderCallback, identity: int = 0) -> None:
        """Take an order from an operator, or a report on an answer. `on_done` is called once, within ANSWER_WITHIN_NS.

        `identity`: of an order on a zone.
        """
        counts = self._context.counts
        now = self._context.clock()
        if len(self.open) >= MAX_OPEN:
            counts["orders_busy"] += 1
            on_done(BUSY, None)
            return
        self._number += 1
        request = OrderRequest(self.incarnation, self._number, kind, body, identity)
        order = OpenOrder(request, now + ANSWER_WITHIN_NS, self._disseminator.state_index, on_done)
        self.open[self._number] = order
        counts["orders"] += 1
        # A timer of its own, not the next tick: by then the caller may have turned away.
        self._context.scheduler.call_at(order.due, self._expire, order)
        self._send(order, now)

    def tick(self, now: int) -> None:
        """Send again what nobody has answered; to be called about ten times a second."""
        for order in list(self.open.values()):
            if now >= order.resend_at:
                self._send(order, now)

    def _send(self, order: OpenOrder, now: int) -> None:
        """Send an order to the leader, if one is known."""
        order.resend_at = now + RESEND_AFTER_NS
        leader = self._leader()
        if leader is None:
            return
        order.note_sent(leader)
        if leader == self._own_ip:
            self._executor.execute(self._own_ip, order.request)
        else:
            self._wire.send(leader, order.request.encode())

    def _leader(self) -> str | None:
        """Return the address to send to. This node's own counts only if its member of the core says that it leads."""
        if self._core.leads:
            return self._own_ip
        leader = self._disseminator.leader
        return leader if leader and leader != self._own_ip else None

    def _expire(self, order: OpenOrder) -> None:
        """Answer an order that nobody has answered in time: whether it comes into force is not known."""
        if self.open.get(order.request.number) is order:
            del self.open[order.request.number]
            order.on_done(None, None)

    # ---- replies

    def on_reply_frame(self, ip: str, frame: Message, now: int) -> None:
        """Take a reply of another node. Raises ValueError for one that is not valid."""
        _, number = decode_identity(frame)
        order = self.open.get(number)
        if order is None:
            self._drop(ip, "nobody waits for it")
            return
        configuration = order.request.configuration
        own_bodies = () if configuration is None else [configuration]
        self.on_reply(ip, OrderReply.decode(frame, own_bodies))

    def on_reply(self, ip: str, reply: OrderReply) -> None:
        """Take what the node at `ip` says has become of an order."""
        order = self.open.get(reply.number) if reply.incarnation == self.incarnation else None
        if order is None:
            self._drop(ip, "nobody waits for it")
            return
        objection = order.objection(ip, reply)
        if objection:
            self._drop(ip, objection)
        elif reply.outcome == Outcome.NOT_LEADER:
            order.resend_at = self._context.clock() + RESEND_AFTER_NOT_LEADER_NS
        else:
            del self.open[reply.number]
            order.on_done(reply.outcome, reply.state)

    def _drop(self, ip: str, reason: str) -> None:
        self._context.counts["replies_unsolicited"] += 1
        self._context.log.record_limited(log_events.ORDER_REPLY_DROPPED, ip, reason=reason)
