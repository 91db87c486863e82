"""Drives the core's member of this node: inputs go in, and the effects that come back are carried out in order.

`consensus.member.Member` is a protocol without I/O (the pattern of h11): it decides, and returns what is to be done.
This module alone sends its messages, stores its record and hands its news to the parts that wait for them. A node
without a disk has no member, and for it everything here does nothing; nor does its process load the member's modules,
as the memory of every process is paid for.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any, assert_never, cast

from ..consensus import events
from ..consensus.errors import RemoteProtocolError
from ..membership.leadership import CoreStatus
from . import log_events

if TYPE_CHECKING:
    from asyncio import Future

    from ..consensus.core_strength import CoreStrength
    from ..consensus.member import Member
    from ..consensus.record_store import RecordStore
    from ..consensus.state import State
    from .context import NodeContext
    from .order_messages import OrderKey, OrderRequest
    from .receivers import LeadershipObserver, OrderAnswerReceiver, StateReceiver


class CoreDriver:
    """The member of this node, its record on disk, and the effects that it wants done."""

    def __init__(self, context: NodeContext) -> None:
        """Build a driver without a member; `recover` makes one where the node has a disk."""
        self._context = context
        self._orders: OrderAnswerReceiver
        self._replicated_state: StateReceiver
        self._leadership: LeadershipObserver
        self.record_store: RecordStore | None = None
        self.member: Member | None = None

    def attach(
        self, orders: OrderAnswerReceiver, replicated_state: StateReceiver, leadership: LeadershipObserver
    ) -> None:
        """Name the parts that get the member's news. They need the driver themselves, so they come second."""
        self._orders = orders
        self._replicated_state = replicated_state
        self._leadership = leadership

    def recover(self, record_store: RecordStore) -> None:
        """Make the member from the record on disk.

        A record that can't be read leaves the node without a member: it serves clients alone until it is started anew,
        and the record stays as it is. This guards the core against a member that does not know what it promised, or
        that reads what another machine promised.
        """
        from ..consensus.context import MemberSettings  # loaded only where there is a disk: see the module's text
        from ..consensus.member import Member

        settings = self._context.process_settings
        self.record_store = record_store
        try:
            member_settings = MemberSettings(
                settings.name,
                settings.ip,
                [host for host, _ in settings.seed_nodes],
                is_first_start=settings.first_boot,
                survive=settings.tolerated_losses.machines,
                order_repeat_ns=settings.guarantees.ack_within,
            )
            self.member = Member(member_settings, record_store.load(), self._context.rng, self._context.clock())
        except (OSError, ValueError) as error:
            self._context.log.record(log_events.RECORD_UNREADABLE, error=repr(error))

    @property
    def has_member(self) -> bool:
        """Whether this node is a member of the core."""
        return self.member is not None

    @property
    def leads(self) -> bool:
        """Whether the member beside us leads the core, as far as it knows."""
        return self.member is not None and self.member.is_leader

    @property
    def committed_state(self) -> State | None:
        """The newest state that the member knows to be committed."""
        return self.member.committed if self.member is not None else None

    def status(self, term: int) -> CoreStatus | None:
        """Return the member's role, for the disseminator; None without a member. `term`: of the state in force here.

        A leader counts as one once a majority stands behind it for the first time.
        """
        member = self.member
        if member is None:
            return None
        confirmed_at = member.quorum_confirmed_at
        return CoreStatus(member.is_leader and confirmed_at is not None, member.leader_ip, term, confirmed_at)

    def strength(self, now: int) -> CoreStrength | None:
        """Return what the leader knows of the core's members; None at all other nodes."""
        return self.member.core_strength(now) if self.member is not None else None

    @property
    def remembered_nodes(self) -> list[str]:
        """Addresses of the nodes that the member's record names."""
        return self.member.node_ips if self.member is not None else []

    def remember_nodes(self, ips: list[str]) -> None:
        """Keep the addresses of the nodes that there are beside the member's record."""
        if self.member is not None:
            self.member.remember_nodes(ips)

    def change_seeds(self, seeds: list[str]) -> None:
        """Take over the addresses that are asked first."""
        if self.member is not None:
            self.member.seeds = list(seeds)

    # ---- inputs

    def start(self) -> None:
        """Give the member its first input: what it recovered comes into force."""
        self.handle(None)

    def tick(self) -> None:
        """Let the member act on the time that has passed; to be called about ten times a second."""
        self.handle(events.Tick())

    def leave(self) -> None:
        """Tell the member that this process is about to end."""
        self.handle(events.Shutdown())

    def submit(self, key: OrderKey, request: OrderRequest) -> None:
        """Hand the member an order; `OrderAnswerReceiver.on_core_answer` gets its outcome."""
        self.handle(events.Order(key, request.kind, request.body, request.identity))

    def on_frame(self, ip: str, frame: dict[str, Any], now: int) -> None:
        """Hand the member a frame of another node. One that no member would send is counted and dropped."""
        if self.member is None:
            return
        try:
            self.handle(events.MessageReceived(ip, frame))
        except RemoteProtocolError as error:
            self._context.counts["frames_invalid"] += 1
            self._context.log.record_limited(log_events.FRAME_INVALID, ip, error=str(error))

    def step_down_if_overdue(self, now: int) -> None:
        """Let a leader without a majority behind it give way. To be called before anything that asks who leads.

        Closes a race: a process that was frozen while it led gets the frames that waited meanwhile before its own tick.
        Without this it would answer them as the leader that it no longer is.
        """
        if self.member is not None and self.member.is_leadership_expired(now):
            self.tick()

    def handle(self, event: events.Input | None) -> None:
        """Give the member one input, and carry out the effects in order. Without a member nothing happens."""
        if self.member is None:
            return
        for effect in self.member.take(self._context.clock(), event):
            self._carry_out(effect)
        self._leadership.update(self._context.clock())

    # ---- effects

    def _carry_out(self, effect: events.Effect) -> None:
        match effect:
            case events.SendMessage():
                self._context.wire.send(effect.ip, effect.message)
            case events.StoreRecord():
                self._store(effect.version, effect.record)
            case events.OrderEnded():
                key = cast("OrderKey", effect.ref)  # what `submit` gave
                self._orders.on_core_answer(key, effect.outcome, effect.state)
            case events.StateCommitted():
                self._replicated_state.apply(effect.state)
            case _:
                assert_never(effect)

    def _store(self, version: int, record: bytes) -> None:
        self._context.counts["stores"] += 1
        assert self.record_store is not None  # there is no member without one
        self._context.scheduler.call_on_disk_thread(self.record_store.save, record, partial(self._on_stored, version))

    def _on_stored(self, version: int, save: Future[None]) -> None:
        error = save.exception()
        if error is not None:
            self._context.counts["stores_failed"] += 1
            self._context.log.record_limited(log_events.STORE_FAILED, "disk", error=repr(error))
        self.handle(events.RecordStored(version, error is None))
