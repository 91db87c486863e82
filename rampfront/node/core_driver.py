"""Drives this node's member of the core: passes inputs to it, and performs the effects that it returns, in order.

`consensus.member.Member` is a protocol without I/O (the pattern of h11): it decides, and returns the actions to take.
Only this module sends its messages, stores its record and passes its events to the parts that act on them. A node
without a disk has no member: all operations here then do nothing, and the process does not load the member's modules,
in order to save memory.
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
    from ..membership.dissemination import Disseminator
    from .context import NodeContext
    from .order_messages import OrderKey, OrderRequest
    from .receivers import LeadershipObserver, OrderAnswerReceiver, StateReceiver


class CoreDriver:
    """Owns this node's member and its record on disk, and performs the member's effects."""

    def __init__(self, context: NodeContext, disseminator: Disseminator) -> None:
        """Build a driver without a member; `recover` creates one on a node with a disk. `disseminator` knows which
        leader other nodes follow."""
        self._context = context
        self._disseminator = disseminator
        self._orders: OrderAnswerReceiver
        self._replicated_state: StateReceiver
        self._leadership: LeadershipObserver
        self.record_store: RecordStore | None = None
        self.member: Member | None = None

    def attach(
        self, orders: OrderAnswerReceiver, replicated_state: StateReceiver, leadership: LeadershipObserver
    ) -> None:
        """Set the parts that receive the member's events. They depend on the driver, so they are built after it."""
        self._orders = orders
        self._replicated_state = replicated_state
        self._leadership = leadership

    def recover(self, record_store: RecordStore) -> None:
        """Create the member from the record on disk.

        If the record can't be read, the node has no member: it only serves clients until it is restarted, and the
        record is left unchanged. This protects the core from a member that has lost its promises, or that has read the
        promises of another machine.
        """
        from ..consensus.context import MemberSettings  # loaded only on nodes with a disk: see the module's text
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
    def is_leader(self) -> bool:
        """Whether this node's member leads the core, as far as it knows."""
        return self.member is not None and self.member.is_leader

    @property
    def committed_state(self) -> State | None:
        """The newest state that the member knows to be committed."""
        return self.member.committed if self.member is not None else None

    def status(self, term: int) -> CoreStatus | None:
        """Return the member's role for the disseminator; None without a member. `term`: of the state in force here.

        A leader counts as one only after a majority has confirmed it for the first time.
        """
        member = self.member
        if member is None:
            return None
        confirmed_at = member.quorum_confirmed_at
        return CoreStatus(member.is_leader and confirmed_at is not None, member.leader_ip, term, confirmed_at)

    def strength(self, now: int) -> CoreStrength | None:
        """Return what the leader knows about the core's members; None on all other nodes."""
        return self.member.core_strength(now) if self.member is not None else None

    @property
    def is_outside_core(self) -> bool:
        """Whether this node has a disk and its member is not in the core, so that it counts in no majority."""
        return self.member is not None and not self.member.is_member

    @property
    def remembered_nodes(self) -> list[str]:
        """Addresses of the nodes stored with the member's record."""
        return self.member.node_ips if self.member is not None else []

    def remember_nodes(self, ips: list[str]) -> None:
        """Store the addresses of all known nodes with the member's record."""
        if self.member is not None:
            self.member.remember_nodes(ips)

    def change_seeds(self, seeds: list[str]) -> None:
        """Set the addresses that are contacted first."""
        if self.member is not None:
            self.member.seeds = list(seeds)

    # ---- inputs

    def start(self) -> None:
        """Give the member its first input, upon which the recovered state is applied."""
        self.handle(None)

    def tick(self) -> None:
        """Let the member handle its timeouts; to be called about ten times a second.

        A newcomer, and a member that was away, may know no address at which a member still is. Other nodes know them,
        whether or not they have a member themselves.
        """
        if self.member is not None and not self.member.is_leader:
            self.member.learn_contacts(self._contacts())
        self.handle(events.Tick())

    def _contacts(self) -> list[str]:
        """Return the addresses of the leader that other nodes follow, and of the members in the state in force."""
        leader, state = self._disseminator.leader, self._context.snapshots.state
        return ([leader] if leader else []) + (state.addresses() if state is not None else [])

    def leave(self) -> None:
        """Tell the member that this process is shutting down."""
        self.handle(events.Shutdown())

    def submit(self, key: OrderKey, request: OrderRequest) -> None:
        """Pass an order to the member; its outcome goes to `OrderAnswerReceiver.on_core_answer`."""
        self.handle(events.Order(key, request.kind, request.body, request.identity))

    def on_frame(self, ip: str, frame: dict[str, Any], now: int) -> None:
        """Pass another node's frame to the member. An invalid frame is counted and dropped."""
        if self.member is None:
            return
        try:
            self.handle(events.MessageReceived(ip, frame))
        except RemoteProtocolError as error:
            self._context.counts["frames_invalid"] += 1
            self._context.log.record_limited(log_events.FRAME_INVALID, ip, error=str(error))

    def step_down_if_overdue(self, now: int) -> None:
        """Make a leader without a confirmed majority step down. To be called before anything that asks who leads.

        Closes a race: a leader whose process was frozen receives the frames that queued up before its own next tick.
        Without this check it would answer them as the leader that it no longer is.
        """
        if self.member is not None and self.member.is_leadership_expired(now):
            self.tick()

    def handle(self, event: events.Input | None) -> None:
        """Pass one input to the member, and perform its effects in order. Does nothing without a member."""
        if self.member is None:
            return
        for effect in self.member.take(self._context.clock(), event):
            self._perform(effect)
        self._leadership.update(self._context.clock())

    # ---- effects

    def _perform(self, effect: events.Effect) -> None:
        match effect:
            case events.SendMessage():
                self._context.wire.send(effect.ip, effect.message)
            case events.StoreRecord():
                self._store(effect.version, effect.record)
            case events.OrderEnded():
                key = cast("OrderKey", effect.ref)  # the key passed by `submit`
                self._orders.on_core_answer(key, effect.outcome, effect.state)
            case events.StateCommitted():
                self._replicated_state.apply(effect.state)
            case _:
                assert_never(effect)

    def _store(self, version: int, record: bytes) -> None:
        self._context.counts["stores"] += 1
        assert self.record_store is not None  # every member has one
        self._context.scheduler.call_on_disk_thread(self.record_store.save, record, partial(self._on_stored, version))

    def _on_stored(self, version: int, save: Future[None]) -> None:
        error = save.exception()
        if error is not None:
            self._context.counts["stores_failed"] += 1
            self._context.log.record_limited(log_events.STORE_FAILED, "disk", error=repr(error))
        self.handle(events.RecordStored(version, error is None))
