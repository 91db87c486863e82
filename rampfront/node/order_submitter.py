"""Operators' orders at the node where they are submitted: sends them to the core's leader, and answers each once.

An order is sent to the leader as soon as one is known, and resent until there is a reply. The leader executes it once,
however often it arrives (`order_executor.py`). The caller is answered before operators give up (PROTOCOL.md: after a
second without an answer). A reply is accepted only from a node that the order was sent to in this incarnation of the
process; every other reply is dropped and counted.

The caller of an order on a zone is not identified, and repeats the order at another node after a second without an
answer. If the order were carried out after that, it could undo one that was given and acknowledged meanwhile. Therefore
it is sent only while its caller waits for the answer, its time begins when it can have been sent at the earliest, and
the leader gets a deadline (`order_messages.OrderDeadline`). An order that may have been sent too long ago is rejected:
a caller who waits retries it on a new connection, whose age bounds that of the order. Each order is sent after a short
delay: if the network delivers the bytes of a caller who has left, the end of the stream follows within a round trip.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..consensus.events import Outcome
from ..net.http_messages import UNKNOWN_TIMING
from . import log_events
from .open_order import OpenOrder
from .order_messages import BUSY, GIVEN_UP, INCARNATION_BITS, LATE, OrderReply, OrderRequest, decode_identity

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from ..net.http_messages import RequestTiming
    from ..transport.frames import Message
    from .context import NodeContext
    from .core_driver import CoreDriver
    from .open_order import Caller, OrderCallback
    from .order_executor import OrderExecutor
    from .order_messages import OrderBody

MS = 10**6
ANSWER_TIMEOUT_NS = 800 * MS  # leaves a fifth of a caller's second for the network
RESEND_AFTER_NS = 300 * MS
RESEND_AFTER_NOT_LEADER_NS = RESEND_AFTER_NS // 3  # after a reply that the node does not lead, or was asked too late
MIN_SEND_DELAY_NS, MAX_SEND_DELAY_NS = 20 * MS, 200 * MS  # of an order that its caller has to wait for
SEND_DELAY_ROUND_TRIPS = 2  # twice the mean, as single round trips take longer
MAX_GAP_NS = 300 * MS  # between this machine's last bytes and an order; after a longer gap the order may be stale
MAX_OPEN = 256  # orders of this node without an answer
NUMBER_BITS = 20  # low bits of an order's identity; the higher bits are the incarnation
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
        """`disseminator` knows the leader; `core` and `executor` handle the orders if this node is the leader."""
        self._context = context
        self._own_ip = context.process_settings.ip
        self._wire = context.wire
        self._core = core
        self._disseminator = disseminator
        self._executor = executor
        self.clock = context.clock
        self._number = 0  # of the last order
        self._identities = 0  # issued so far
        # Differs at each start, so that a reply to a former incarnation is not accepted by this one.
        self.incarnation = context.rng.getrandbits(INCARNATION_BITS)
        self.open: dict[int, OpenOrder] = {}  # by number; each is removed by its answer or a timeout

    def next_identity(self) -> int:
        """Return a unique identity for an order on a zone. It is not reused even if the order is rejected.

        This prevents a late report on an order that never reached the core from being applied to another order.
        """
        self._identities = self._identities % MAX_IDENTITIES + 1
        return self.incarnation << NUMBER_BITS | self._identities

    def submit(
        self, kind: str, body: OrderBody, on_done: OrderCallback, identity: int = 0, caller: Caller | None = None
    ) -> None:
        """Submit an operator's order, or a report on an answer. `on_done` is called once, within ANSWER_TIMEOUT_NS.

        `identity`: identifies an order on a zone; 0 for all others. `caller`: if given, the order is carried out only
        while its caller waits for the answer.
        """
        counts = self._context.counts
        now = self._context.clock()
        timing = caller.timing() if caller is not None else UNKNOWN_TIMING
        due = now + ANSWER_TIMEOUT_NS - timing.max_age_ns
        if caller is not None and (_may_be_stale(timing) or now >= due or not caller.is_awaited()):
            self._note_given_up(kind, due, now)
            on_done(GIVEN_UP, None)
            return
        if len(self.open) >= MAX_OPEN:
            counts["orders_busy"] += 1
            on_done(BUSY, None)
            return
        self._number += 1
        request = OrderRequest(self.incarnation, self._number, kind, body, identity)
        order = OpenOrder(request, due, self._disseminator.state_index, on_done, caller)
        self.open[self._number] = order
        counts["orders"] += 1
        # A timer instead of the next tick, by which the caller may have given up.
        self._context.scheduler.call_at(order.due, self._expire, order)
        if caller is None:
            self._send(order, now)
        else:
            order.resend_at = now + ANSWER_TIMEOUT_NS  # no tick sends it before
            self._context.scheduler.call_after(_send_delay_ns(timing, due - now), self._send_if_open, order)

    def tick(self, now: int) -> None:
        """Resend orders without a reply; to be called about ten times a second."""
        for order in list(self.open.values()):
            if now >= order.resend_at:
                self._send(order, now)

    def _send(self, order: OpenOrder, now: int) -> None:
        """Send an order to the leader, if one is known, or end it if its caller has given up."""
        if order.is_given_up(now):
            self._note_given_up(order.request.kind, order.due, now)
            self._expire(order)
            return
        order.resend_at = now + RESEND_AFTER_NS
        leader = self._leader()
        if leader is None:
            return
        if order.caller is not None and leader != self._own_ip:
            answer = self._disseminator.leadership.last_answer
            if answer is None or answer.leader != leader:  # the next heartbeat is on its way
                order.resend_at = now + RESEND_AFTER_NOT_LEADER_NS
                return
            order.set_deadline(answer)
        order.note_sent(leader)
        if leader == self._own_ip:
            self._executor.execute(self._own_ip, order.request)
        else:
            self._wire.send(leader, order.request.encode())

    def _send_if_open(self, order: OpenOrder) -> None:
        """Send an order after its delay, unless it has ended."""
        if self.open.get(order.request.number) is order:
            self._send(order, self._context.clock())

    def _leader(self) -> str | None:
        """Return the leader's address. It is this node's own only if its core member says that it leads."""
        if self._core.is_leader:
            return self._own_ip
        leader = self._disseminator.leader
        return leader if leader and leader != self._own_ip else None

    def _expire(self, order: OpenOrder) -> None:
        """Complete an order that has timed out. Whether it takes effect is not known."""
        if self.open.get(order.request.number) is order:
            del self.open[order.request.number]
            order.on_done(None, None)

    # ---- replies

    def on_reply_frame(self, ip: str, frame: Message, now: int) -> None:
        """Handle another node's reply. Raises ValueError if it is not valid."""
        _, number = decode_identity(frame)
        order = self.open.get(number)
        if order is None:
            self._drop(ip, "reply to no open order")
            return
        configuration = order.request.configuration
        own_bodies = () if configuration is None else [configuration]
        self.on_reply(ip, OrderReply.decode(frame, own_bodies))

    def on_reply(self, ip: str, reply: OrderReply) -> None:
        """Handle the reply of the node at `ip` to an order."""
        order = self.open.get(reply.number) if reply.incarnation == self.incarnation else None
        if order is None:
            self._drop(ip, "reply to no open order")
            return
        rejection_reason = order.rejection_reason(ip, reply)
        if rejection_reason:
            self._drop(ip, rejection_reason)
        elif reply.outcome in (Outcome.NOT_LEADER, LATE):
            order.resend_at = self._context.clock() + RESEND_AFTER_NOT_LEADER_NS
        else:
            del self.open[reply.number]
            order.on_done(reply.outcome, reply.state)

    def _note_given_up(self, kind: str, due: int, now: int) -> None:
        age_ms = (now - due + ANSWER_TIMEOUT_NS) // MS
        self._context.counts["orders_given_up"] += 1
        self._context.log.record_limited(log_events.ORDER_GIVEN_UP, kind, age_ms=age_ms)

    def _drop(self, ip: str, reason: str) -> None:
        self._context.counts["replies_unsolicited"] += 1
        self._context.log.record_limited(log_events.ORDER_REPLY_DROPPED, ip, reason=reason)


def _may_be_stale(timing: RequestTiming) -> bool:
    """Whether an order may have been delayed for longer than its caller waits."""
    return timing.gap_ns > MAX_GAP_NS or not timing.is_bounded


def _send_delay_ns(timing: RequestTiming, remaining_ns: int) -> int:
    """Return the delay before an order is sent; at most half of the remaining time."""
    delay_ns = SEND_DELAY_ROUND_TRIPS * timing.round_trip_ns
    return min(max(delay_ns, MIN_SEND_DELAY_NS), MAX_SEND_DELAY_NS, remaining_ns // 2)
