"""Operators' orders on their way: taken at any node, passed on to the leader of the core, answered once.

An order goes to the leader as soon as one is known and again while nothing is heard. The leader carries it out once
however often it comes (`order_table.py`); whoever asked is answered within what operators wait for (PROTOCOL.md: a
second of silence). A reply counts only from a node that this order was sent to, in this life of ours; every other is
dropped and counted.
"""

from collections.abc import Callable
from typing import Any, Protocol, TypeAlias

from ..consensus import events
from ..consensus.events import Outcome
from ..consensus.state import State, digest
from .order_messages import BUSY, LIFE_BITS, WITH_STATE, Body, OrderKey, OrderReply, OrderRequest, identity
from .order_table import Admission, OrderTable

MS = 10**6
WAIT = 800 * MS  # an order is answered by then: a fifth of a caller's second is left for the way there and back
AGAIN = 300 * MS  # it is sent again
LEADER_CHANGED = AGAIN // 3  # the same once the node asked has said that it does not lead
MOST = 256  # orders of this node under way

Done: TypeAlias = Callable[[str | None, State | None], None]


class OrderHost(Protocol):
    """What orders need of the process that they stand in."""

    clock: Callable[[], int]
    counts: dict[str, int]
    core_member: Any
    disseminator: Any
    draw: Any
    log: Any
    process_settings: Any
    timers: Any

    def send(self, ip: str, message: dict[str, Any]) -> None:
        """Sends a frame to another node."""

    def tell(self, told: events.Order) -> None:
        """Hands an order to the core's member beside us."""


class OpenOrder:
    """An order given here that has no answer yet."""

    __slots__ = ("request", "due", "next", "done", "asked", "last_asked", "index")

    def __init__(self, request: OrderRequest, due: int, index: int, done: Done) -> None:
        """`due`: when it is answered at the latest; `index`: of the state held here when it was given."""
        self.request, self.due, self.next, self.done = request, due, 0, done
        self.asked: set[str] = set()  # addresses that it was sent to
        self.last_asked: str | None = None
        self.index = index  # no answer brings an older state

    def objection(self, ip: str, reply: OrderReply) -> str | None:
        """Why a reply that names this order does not end it, or None."""
        if ip not in self.asked:
            return "not from a node that was asked"
        if reply.verdict in WITH_STATE:
            older = reply.state is None or reply.state.index < self.index
            return "older than what was held when it was asked" if older else None
        return None if ip == self.last_asked else "another node was asked since"


class Orders:
    """`done(verdict, state)` of each order is called once: verdicts as of `consensus.events`, BUSY, or None for none in
    time; the state in force comes with DONE and CONFLICT."""

    def __init__(self, node_process: OrderHost) -> None:
        """Of a start of the process."""
        self.node_process = node_process
        self.life = node_process.draw.getrandbits(LIFE_BITS)  # another at each start: no reply to a former life fits
        self.number = 0
        self.open: dict[int, OpenOrder] = {}  # by number; emptied by answers and by time
        self.table = OrderTable()  # of those that came to this node as the leader

    # ---- orders of this node

    def give(self, kind: str, body: Body, done: Done) -> None:
        """Takes an order from an operator."""
        node_process = self.node_process
        now = node_process.clock()
        if len(self.open) >= MOST:
            node_process.counts["orders_busy"] += 1
            done(BUSY, None)
            return
        self.number += 1
        request = OrderRequest(self.life, self.number, kind, body)
        order = self.open[self.number] = OpenOrder(request, now + WAIT, node_process.disseminator.state_index, done)
        node_process.counts["orders"] += 1
        # Guards against an answer at the next beat of `tick`, when the caller has turned away.
        node_process.timers.at(order.due, self.expire, order)
        self.push(order, now)

    def expire(self, order: OpenOrder) -> None:
        """Answers an order that nobody has answered in time: whether it comes into force cannot be told."""
        if self.open.get(order.request.number) is order:
            del self.open[order.request.number]
            order.done(None, None)

    def push(self, order: OpenOrder, now: int) -> None:
        """Sends it to the leader, if one is known."""
        node_process = self.node_process
        leader, here = node_process.disseminator.leader, node_process.process_settings.ip
        order.next = now + AGAIN
        if node_process.core_member and node_process.core_member.is_leader:
            leader = here
        elif not leader or leader == here:
            return
        order.asked.add(leader)
        order.last_asked = leader
        if leader == here:
            self.requested(here, order.request)
        else:
            node_process.send(leader, order.request.encode())

    def answered(self, ip: str, plain: dict[str, Any]) -> None:
        """A reply of another node. Raises ValueError for one that does not hold."""
        _, number = identity(plain)
        order = self.open.get(number)
        if order is None:
            self.drop(ip, "nobody waits for it")
        else:
            body = order.request.body
            self.replied(ip, OrderReply.decode(plain, [body[1]] if isinstance(body, tuple) else ()))

    def replied(self, ip: str, reply: OrderReply) -> None:
        """What the node at `ip` says has become of an order."""
        order = self.open.get(reply.number) if reply.life == self.life else None
        if order is None:
            self.drop(ip, "nobody waits for it")
        elif objection := order.objection(ip, reply):
            self.drop(ip, objection)
        elif reply.verdict == Outcome.NOT_LEADER:
            order.next = self.node_process.clock() + LEADER_CHANGED
        else:
            del self.open[reply.number]
            order.done(reply.verdict, reply.state)

    def drop(self, ip: str, why: str) -> None:
        """Counts a reply that is not heeded."""
        self.node_process.counts["replies_unasked"] += 1
        self.node_process.log.record_limited("reply dropped", ip, why=why)

    # ---- orders at the leader

    def requested(self, ip: str, request: OrderRequest) -> None:
        """An order of the node at `ip`, or of this one."""
        node_process = self.node_process
        member, key = node_process.core_member, OrderKey(ip, request.life, request.number)
        verdict = self.table.known(key)
        if verdict is not None:
            node_process.counts["orders_repeated"] += 1
            self.reply(key, verdict, member.committed if verdict == Outcome.DONE else None)
        elif member is None or not member.is_leader:
            self.reply(key, Outcome.NOT_LEADER)
        else:
            self.admit(key, request)

    def admit(self, key: OrderKey, request: OrderRequest) -> None:
        """Hands a new order to the core's member beside us, which leads."""
        node_process = self.node_process
        mark = digest(request.body[1]) if isinstance(request.body, tuple) else b""
        admission = self.table.admit(key, request.kind, node_process.clock(), mark)
        if admission is Admission.NEW:
            node_process.tell(events.Order(key, request.kind, request.body))
        elif admission is Admission.UNDER_WAY:
            node_process.counts["orders_repeated"] += 1
        else:
            node_process.counts["orders_busy"] += 1
            self.reply(key, BUSY)

    def told(self, key: OrderKey, verdict: str, state: State | None) -> None:
        """The core's member beside us has answered an order."""
        mark = self.table.answer(key, verdict, self.node_process.clock())
        if mark is not None:
            self.reply(key, verdict, state, state is None or state.body_digest != mark)

    def reply(self, key: OrderKey, verdict: str, state: State | None = None, whole: bool = True) -> None:
        """Answers the one who gave the order. `whole`: with the body of the state."""
        reply = OrderReply(key.life, key.number, verdict, state, whole)
        if key.ip == self.node_process.process_settings.ip:
            self.replied(key.ip, reply)
        else:
            self.node_process.send(key.ip, reply.encode())

    # ---- of both

    def heard(self, ip: str, plain: dict[str, Any]) -> None:
        """A frame of another node. Raises ValueError for one that does not hold."""
        if plain["k"] == "said":
            self.answered(ip, plain)
        else:
            self.requested(ip, OrderRequest.decode(plain))

    def tick(self, now: int) -> None:
        """To be called about ten times a second."""
        self.node_process.counts["orders_abandoned"] += self.table.expire(now)
        for order in list(self.open.values()):
            if now >= order.next:
                self.push(order, now)
