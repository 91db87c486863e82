"""A member while it leads: it proposes entries, commits them, and answers orders. It ends with its term.

Raft's leader (paper, section 5.3), with a log of one entry: at most one entry is under way, and the next is proposed
only once it is committed, so orders that come meanwhile share the next one. The parts: `Replication` brings the entry
to the others, `HeartbeatRounds` tell whether a majority still follows, `OrderQueue` and `OrderApplication` carry out
orders, `MembershipChange` says who is added or removed next, `LeadershipTransfer` hands over.

Invariants:

- The entry found at the election is proposed anew in the own term before anything is committed or read (section 5.4.2).
- An entry is committed once it is on the disks of a majority; the leader counts itself only by its own disk.
- Orders and changes of members take turns, and a change of members begins only while no other one is under way.

`Member` calls it, and ends it when `is_expired`, `may_step_down` or `excludes_itself` says so. A leader that is not
counted by its own entry any more still leads until that is committed (section 6).
"""

from typing import Unpack

from .context import MemberContext
from .core_strength import CoreStrength, StrengthMonitor
from .electorate import Electorate
from .events import Order, OrderKind, Outcome
from .heartbeat_rounds import HeartbeatRounds
from .identifiers import SEC, MemberKey, TimeNs
from .leader_discovery import LeaderDiscovery
from .leadership_transfer import LeadershipTransfer, most_caught_up
from .membership_change import MembershipChange, MembershipView, Step
from .messages import AppendAcknowledged, JoinRequest, LeadershipEnded
from .order_application import OrderApplication, PendingOrder, pending_order
from .order_queue import OrderQueue
from .persistent_state import PersistentState
from .repeat_window import RepeatWindow
from .replication import Replication
from .state import State, StateChanges

FOUNDING_NS = 5 * SEC  # for which a core that knows nothing yet waits for more members before it takes orders


class Leader:
    """One member's leadership in one term. Its parts are public for tests alone."""

    def __init__(
        self,
        context: MemberContext,
        persistent: PersistentState,
        electorate: Electorate,
        discovery: LeaderDiscovery,
        password: int,
    ) -> None:
        """`password`: what those who ask to join must name, so that late requests of former terms count for nothing."""
        self.context = context
        self.persistent = persistent
        self._electorate = electorate
        self._discovery = discovery
        self.password = password
        self._began_at = context.now
        self._own = persistent.key
        self._term = persistent.term
        survive = context.settings.survive
        self.rounds = HeartbeatRounds(context.now)
        self.membership = MembershipChange(self._own, self._term, survive)
        self.replication = Replication(context, persistent, self.rounds, self.membership)
        self.strength_monitor = StrengthMonitor(self.membership, self.replication, survive)
        repeat_window = RepeatWindow(context.now, context.settings.order_repeat_ns)
        self._orders = OrderQueue(context, persistent)
        self._application = OrderApplication(repeat_window)
        self._transfer = LeadershipTransfer()
        self._last_was_for_orders = False  # the last entry: a change of members has its turn then

    # What is known.

    @property
    def quorum_confirmed_at(self) -> TimeNs | None:
        """All that was acknowledged anywhere before then is in the committed state here; None if that is not known."""
        return self.rounds.confirmed_at if self.replication.commit_index and self.rounds.confirmed else None

    @property
    def may_step_down(self) -> bool:
        """Whether a leader that is about to end gives up now."""
        return self._transfer.has_begun and self._transfer.is_due(self._is_entry_committed(), self.context.now)

    @property
    def excludes_itself(self) -> bool:
        """Whether it is committed that this leader is no member: it was elected while the change was under way."""
        return self.excludes(self._own)

    def is_expired(self, now: TimeNs) -> bool:
        """Whether no majority has answered for so long that another member may lead."""
        return self.rounds.is_expired(now)

    def excludes(self, key: MemberKey) -> bool:
        """Whether it is committed that this incarnation is no member: it may give up what it promised."""
        committed = self.persistent.committed
        if committed is None or self.quorum_confirmed_at is None:
            return False
        return not committed.has_member(*key) and not self._entry().has_member(*key)

    def _entry(self) -> State:
        """The newest entry; a leader always has one."""
        entry = self.persistent.entry
        assert entry is not None
        return entry

    def _is_entry_committed(self) -> bool:
        """Whether the newest entry is committed."""
        return self.replication.commit_index == self._entry().index

    # Beginning and end.

    def begin(self) -> None:
        """Proposes the entry found anew: only what is agreed in its own term counts for a leader."""
        self.replication.remember_versions(self._entry())
        found = self._electorate.state()
        target_size = found.target_size or len(found.members)  # an older record has none
        self._propose(members=found.members, previous_members=found.previous_members, target_size=target_size)

    def begin_transfer(self) -> None:
        """Takes nothing new from here on, and gives up once all is committed, or a little later."""
        self._transfer.begin(self.context.now)

    def close(self) -> None:
        """Tells all that it leads no longer; pending orders are answered."""
        successor = self._successor()
        for key, replica in self.replication.replicas.items():
            hands_over = None if successor is None else key == successor
            message = LeadershipEnded(self._own, key.incarnation, self._term, hands_over)
            self.context.send(replica.ip, message)
        self._orders.abandon()

    def _successor(self) -> MemberKey | None:
        """Which member is to stand for election at once; None unless this leader ends in order."""
        if not self.context.is_shutting_down and not self.excludes_itself:
            return None
        silent = self.replication.silent_keys()
        replicas = self.replication.replicas
        answering = {key: replica for key, replica in replicas.items() if key not in silent}
        return most_caught_up(self._entry(), answering)

    # Rounds and acknowledgements.

    def tick(self) -> None:
        """To be called about ten times a second."""
        now = self.context.now
        if self.rounds.is_due(now) or self._orders.needs_round(self.rounds.current):
            self._start_round()
        self.membership.expire(now)
        self.replication.resend_overdue()
        self._orders.expire()
        self.advance_commit()
        self.strength_monitor.watch(self._entry(), self._is_entry_committed(), now)

    def acknowledged(self, message: AppendAcknowledged) -> None:
        """A member or learner has answered a round."""
        if self.replication.acknowledged(message):
            self._confirm_rounds()
            self.advance_commit()

    def _start_round(self) -> None:
        self.rounds.start(self.context.now)
        self.replication.send_heartbeats()
        self._confirm_rounds()

    def _confirm_rounds(self) -> None:
        """Looks for the newest round that a majority answered, this leader being one of them."""
        electorate = self._electorate.state()
        self.rounds.confirm(lambda number: electorate.has_quorum({self._own, *self.replication.keys_in_round(number)}))

    # Entries.

    def _propose(self, **changes: Unpack[StateChanges]) -> None:
        """The next entry. Unless `changes` say otherwise, no change of members is under way in it."""
        proposal: StateChanges = {"previous_members": None, **changes, "term": self._term}
        entry = self._entry().next_entry(**proposal)
        self.persistent.append(entry)
        self.replication.remember_versions(entry)
        had_replicas = self.replication.replace_members(entry)
        self.rounds.start(self.context.now)
        self.replication.broadcast_entry(entry, is_first=not had_replicas)
        self._confirm_rounds()
        self.advance_commit()

    def advance_commit(self) -> None:
        """Looks whether the entry is committed now; if so, the next one may follow."""
        entry = self._entry()
        if self._is_entry_committed():
            self._answer()
            self._go_on()
        elif not entry.has_quorum(self._keys_with(entry)):
            self._answer()
        else:
            self.replication.commit(entry)
            self.persistent.commit(entry)
            self._answer()
            if not self._go_on():
                self._start_round()  # tells the others what is committed

    def _keys_with(self, entry: State) -> set[MemberKey]:
        """Who has the entry on disk."""
        keys = self.replication.keys_with(entry.position)
        durable = self.persistent.durable.entry
        if durable is not None and durable.position == entry.position:
            keys.add(self._own)
        return keys

    def _answer(self) -> None:
        self._orders.answer(self.replication.commit_index, self.rounds.confirmed)

    def _go_on(self) -> bool:
        """Proposes the next entry, if one is wanted. Orders and members take turns; members of before go last."""
        if not self._is_entry_committed() or self._transfer.has_begun:
            return False
        entry = self._entry()
        orders = self._orders.waiting() if self._takes_orders() else []
        is_changing = entry.previous_members is not None
        step = self._next_step() if not orders or self._last_was_for_orders or is_changing else None
        if step is not None:
            self._last_was_for_orders = False
            self._propose(members=step.members, previous_members=step.previous_members, target_size=step.target_size)
        elif orders:
            self._last_was_for_orders = True
            self._carry_out(orders)
        elif is_changing:
            self._propose()
        else:
            return self._reopen_zone(entry)
        return True

    def _next_step(self) -> Step | None:
        replication = self.replication
        assert replication.first_committed_at is not None
        view = MembershipView(
            self._entry(), replication.replicas, self.rounds.confirmed_at, replication.first_committed_at
        )
        return self.membership.next_step(view)

    def _reopen_zone(self, entry: State) -> bool:
        """Opens a zone that nobody certain keeps evacuated any more; returns whether there was one."""
        reopened = self._application.reopen_expired_zone(entry, self.context.now)
        if reopened is None:
            return False
        self._propose(evacuated_zones=reopened.zones, evacuations=reopened.evacuations)
        return True

    # Orders.

    def submit(self, order: Order) -> None:
        """Takes an operator's order, which may come from any node."""
        entry, now = self._entry(), self.context.now
        pending = None if self._orders.is_full else pending_order(order, entry, now)
        if pending is None:
            self.context.end_order(order.ref, Outcome.REJECTED)
            return
        is_first = not self._orders.waiting()  # none waits that might turn round what this one finds
        self._orders.add(pending)
        is_read = pending.kind is OrderKind.READ
        if is_read or (is_first and self._changes_nothing_under_way(pending)):
            pending.ends_as(self._application.outcome(entry, pending))
            self._application.note(pending, entry, entry, now)
            self._await_round([pending], 0 if is_read else entry.index)
        else:
            self._go_on()

    def _takes_orders(self) -> bool:
        """Guards against an acknowledgement by a core that is still too small to bear a loss."""
        entry = self._entry()
        has_orders = entry.revision > 0 or bool(entry.evacuated_zones)
        bears_loss = len(entry.members) > 2 * self.context.settings.survive
        return has_orders or bears_loss or self.context.now - self._began_at >= FOUNDING_NS

    def _changes_nothing_under_way(self, order: PendingOrder) -> bool:
        """Whether an entry is under way that already has what the order wants."""
        if self._is_entry_committed() or not self.replication.commit_index:
            return False
        entry = self._entry()
        return self._application.apply(entry, order, self.context.now) is entry

    def _await_round(self, orders: list[PendingOrder], index: int) -> None:
        """They change nothing: answered once a majority has answered a round that began after them. So is a CONFLICT:
        a leader that is deposed unawares may have what is never committed, and the order that it denies may yet be."""
        self._orders.await_round(orders, index, self.rounds.current + 1)
        if self.rounds.may_start(self.context.now):
            self._start_round()
            self._answer()

    def _carry_out(self, orders: list[PendingOrder]) -> None:
        """One entry for all that wait, as far as they may share one."""
        entry = self._entry()
        batch = self._application.batch(entry, orders, self.context.now)
        state = batch.state
        if state is not entry:
            self._orders.await_entry(batch.carried, entry.index + 1)
            self._propose(
                revision=state.revision,
                body=state.body,
                evacuated_zones=state.evacuated_zones,
                evacuations=state.evacuations,
                versions=state.versions,
            )
        if batch.unchanged:
            self._await_round(batch.unchanged, 0)

    # Newcomers.

    def receive_join_request(self, ip: str, request: JoinRequest) -> None:
        """One that is no member asks to become a member: it becomes a learner, and is sent what it lacks."""
        sender = request.sender
        if not self.membership.admits(sender):
            if self.membership.is_retired(sender.incarnation) and self.excludes(sender):
                # A newcomer may be cut off before it learns that it was added, and be removed again by now.
                self._discovery.send_hint(ip, excluded=sender.incarnation)
            return
        if request.password != self.password:
            self._discovery.send_hint(ip)
            return
        learner = self.membership.enrol(sender, ip, request.counts_towards_size)
        learner.replica.requested_to_join(ip, self.context.now)
        if not learner.replica.sent_at:
            self.replication.send_entry(learner.key, learner.replica)
        self._go_on()

    # For operators.

    def strength(self, now: TimeNs) -> CoreStrength:
        """The strength of the core at this moment."""
        return self.strength_monitor.strength(self._entry(), now)
